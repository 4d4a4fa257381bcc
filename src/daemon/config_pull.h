#ifndef EBONYLIFT_DAEMON_CONFIG_PULL_H_
#define EBONYLIFT_DAEMON_CONFIG_PULL_H_

// Responses to configuration pulls: their encoding, and the state that both sides keep while a
// snapshot is transferred in parts.
//
// A response starts with PullHints. Its body says that the puller is up to date, or holds deltas,
// or one part of a snapshot for a puller whose revision is older than the history.
//
// Threads: not thread safe; a ConfigReplica uses its objects on the control thread.
//
// Memory: ServedSnapshot caches one snapshot, ReceivedSnapshot holds one partly received snapshot
// of at most 256 MiB.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "core/codec.h"
#include "core/config_tree.h"
#include "ports/control_port.h"

namespace ebonylift {

// Approximate limit for the payload of one pull response or watch answer.
constexpr size_t kMaxPullBytes = 1 << 20;
// Snapshots that are received at a time, each from another host. They share the bandwidth of this
// host.
constexpr size_t kMaxSnapshotPulls = 2;

// What the responding host knows about the consensus.
struct PullHints {
  HostId leader;  // empty: unknown
  std::vector<HostId> voters;
};

struct PullDeltas {
  bool more = false;  // the responding host has more changes after `changes`
  std::vector<StoredChange> changes;
};

struct SnapshotPart {
  uint64_t revision = 0;
  uint64_t total = 0;   // size of the whole snapshot in bytes
  uint64_t offset = 0;  // of `data` in the snapshot
  std::string data;
};

struct PullUpToDate {};
using PullBody = std::variant<PullUpToDate, PullDeltas, SnapshotPart>;

// The snapshot that this host sends in parts to pulling hosts.
class ServedSnapshot {
 public:
  // Returns the part of a snapshot of `tree`, or of an earlier revision of it, that starts at
  // `offset`. The snapshot is newer than `revision`, the revision of the puller. Precondition:
  // `tree` is newer than `revision`.
  SnapshotPart MakePart(const ConfigTree& tree, uint64_t revision, uint64_t offset);

 private:
  void Refresh(const ConfigTree& tree, uint64_t revision);

  std::shared_ptr<const std::string> snapshot_;  // null: none is cached
  uint64_t snapshot_revision_ = 0;
};

// The snapshot that this host receives in parts, one in each pull response.
class ReceivedSnapshot {
 public:
  struct Result {
    bool more = false;               // pull again from offset()
    std::optional<ConfigTree> tree;  // set when the snapshot is complete
  };

  // Adds a part. A part of another snapshot, or the first part of this one, discards what was
  // received; a part that does not start at offset() is ignored. A snapshot that is not newer than
  // `current_revision` ends the transfer. Throws Error(kBadRequest) when the snapshot is complete
  // and malformed.
  Result Add(const SnapshotPart& part, uint64_t current_revision);

  // The number of bytes received, where the next part must start.
  uint64_t offset() const { return received_.size(); }

 private:
  std::string received_;
  uint64_t revision_ = 0;
};

// Encodes a response for a puller at `revision`. `offset` is the number of snapshot bytes that the
// puller has received.
std::string EncodePullResponse(const PullHints& hints, const ConfigTree& tree, uint64_t revision,
                               uint64_t offset, ServedSnapshot* snapshot);

// Decode the two parts of a response, in this order. They throw Error(kBadRequest) on malformed
// input.
PullHints DecodePullHints(ByteReader* reader);
PullBody DecodePullBody(ByteReader* reader);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PULL_H_
