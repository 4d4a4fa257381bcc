#include "daemon/config_pull.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace ebonylift {
namespace {

constexpr size_t kMaxPulledSnapshotBytes = 256 << 20;

enum class PullResponseKind : uint8_t {
  kUpToDate = 0,
  kDeltas = 1,
  kSnapshot = 2,
  // As kDeltas, with changes that hosts of earlier versions cannot read.
  kDeltasWithDifferences = 3,
};

void WriteHints(ByteWriter* writer, const PullHints& hints) {
  writer->String(hints.leader.value());
  writer->U32(static_cast<uint32_t>(hints.voters.size()));
  for (const HostId& voter : hints.voters) writer->String(voter.value());
}

void WriteSnapshotPart(ByteWriter* writer, const SnapshotPart& part) {
  writer->U64(part.revision);
  writer->U64(part.total);
  writer->U64(part.offset);
  writer->String(part.data);
}

SnapshotPart ReadSnapshotPart(ByteReader* reader) {
  SnapshotPart part;
  part.revision = reader->U64();
  part.total = reader->U64();
  part.offset = reader->U64();
  part.data = reader->String();
  bool malformed = part.total > kMaxPulledSnapshotBytes || part.offset > part.total ||
                   part.data.size() > part.total - part.offset ||
                   (part.data.empty() && part.total != part.offset);
  if (malformed) throw Error(ErrorKind::kBadRequest, "malformed snapshot part");
  return part;
}

}  // namespace

SnapshotPart ServedSnapshot::MakePart(const ConfigTree& tree, uint64_t revision, uint64_t offset) {
  Refresh(tree, revision);
  SnapshotPart part;
  part.revision = snapshot_revision_;
  part.total = snapshot_->size();
  part.offset = std::min<uint64_t>(offset, part.total);
  part.data = snapshot_->substr(part.offset, kMaxPullBytes);
  return part;
}

// Keeps the cached snapshot while the history still has all later changes. A transfer in parts
// can then complete and continue with deltas.
void ServedSnapshot::Refresh(const ConfigTree& tree, uint64_t revision) {
  bool usable = snapshot_ && snapshot_revision_ > revision &&
                DeltasSince(tree, snapshot_revision_, 1).has_value();
  if (usable) return;
  snapshot_ = std::make_shared<const std::string>(ToSnapshot(tree, /*with_requests=*/false));
  snapshot_revision_ = tree.revision;
}

ReceivedSnapshot::Result ReceivedSnapshot::Add(const SnapshotPart& part,
                                               uint64_t current_revision) {
  Result result;
  if (part.revision <= current_revision) {
    received_.clear();
    return result;
  }
  if (part.revision != revision_ || part.offset == 0) received_.clear();
  revision_ = part.revision;
  result.more = true;
  if (part.offset != received_.size()) return result;
  received_ += part.data;
  if (received_.size() < part.total) return result;
  result.more = false;
  result.tree = FromSnapshot(received_);
  received_.clear();
  return result;
}

std::string EncodePullResponse(const PullHints& hints, const ConfigTree& tree, uint64_t revision,
                               uint64_t offset, ServedSnapshot* snapshot) {
  ByteWriter writer;
  WriteHints(&writer, hints);
  if (revision >= tree.revision) {
    writer.U8(static_cast<uint8_t>(PullResponseKind::kUpToDate));
    return writer.Take();
  }
  if (auto changes = DeltasSince(tree, revision, kMaxPullBytes)) {
    bool differences = HasDifference(*changes);
    writer.U8(static_cast<uint8_t>(differences ? PullResponseKind::kDeltasWithDifferences
                                               : PullResponseKind::kDeltas));
    writer.Bool(changes->back().revision < tree.revision);
    writer.String(EncodeChanges(*changes));
    return writer.Take();
  }
  writer.U8(static_cast<uint8_t>(PullResponseKind::kSnapshot));
  WriteSnapshotPart(&writer, snapshot->MakePart(tree, revision, offset));
  return writer.Take();
}

PullHints DecodePullHints(ByteReader* reader) {
  PullHints hints;
  hints.leader = HostId(reader->String());
  for (uint32_t n = reader->U32(); n > 0; --n) hints.voters.emplace_back(reader->String());
  return hints;
}

PullBody DecodePullBody(ByteReader* reader) {
  switch (static_cast<PullResponseKind>(reader->U8())) {
    case PullResponseKind::kUpToDate:
      return PullUpToDate();
    case PullResponseKind::kDeltas:
    case PullResponseKind::kDeltasWithDifferences: {
      PullDeltas deltas;
      deltas.more = reader->Bool();
      deltas.changes = DecodeChanges(reader->String());
      return deltas;
    }
    case PullResponseKind::kSnapshot:
      return ReadSnapshotPart(reader);
  }
  throw Error(ErrorKind::kBadRequest, "unknown kind of response to a configuration pull");
}

}  // namespace ebonylift
