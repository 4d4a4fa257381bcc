#include "core/consensus_messages.h"

#include <utility>

#include "base/error.h"
#include "core/codec.h"

namespace ebonylift {
namespace {

void WriteTime(ByteWriter* writer, Time time) { writer->I64(time.time_since_epoch().count()); }
Time ReadTime(ByteReader* reader) { return Time(microseconds(reader->I64())); }

void WriteHosts(ByteWriter* writer, const std::set<HostId>& hosts) {
  writer->U32(static_cast<uint32_t>(hosts.size()));
  for (const HostId& host : hosts) writer->String(host.value());
}

std::set<HostId> ReadHosts(ByteReader* reader) {
  std::set<HostId> hosts;
  for (uint32_t n = reader->U32(); n > 0; --n) hosts.insert(HostId(reader->String()));
  return hosts;
}

void WriteMembers(ByteWriter* writer, const MemberSet& members) {
  WriteHosts(writer, members.voters);
  WriteHosts(writer, members.learners);
}

MemberSet ReadMembers(ByteReader* reader) {
  MemberSet members;
  members.voters = ReadHosts(reader);
  members.learners = ReadHosts(reader);
  return members;
}

void WriteEntries(ByteWriter* writer, const std::vector<LogEntry>& entries) {
  writer->U32(static_cast<uint32_t>(entries.size()));
  for (const LogEntry& entry : entries) {
    writer->U64(entry.index);
    writer->U64(entry.term);
    writer->U8(static_cast<uint8_t>(entry.kind));
    writer->String(entry.data);
  }
}

std::vector<LogEntry> ReadEntries(ByteReader* reader) {
  std::vector<LogEntry> entries;
  for (uint32_t n = reader->U32(); n > 0; --n) {
    LogEntry entry;
    entry.index = reader->U64();
    entry.term = reader->U64();
    entry.kind = static_cast<EntryKind>(reader->U8());
    entry.data = reader->String();
    entries.push_back(std::move(entry));
  }
  return entries;
}

void WriteHardState(ByteWriter* writer, const HardState& hard_state) {
  writer->U64(hard_state.term);
  writer->String(hard_state.voted_for.value());
  writer->U64(hard_state.commit);
  writer->String(hard_state.disk_id);
  writer->Bool(hard_state.confirmed);
  writer->Bool(hard_state.may_bootstrap);
  writer->U32(static_cast<uint32_t>(hard_state.peer_disk_ids.size()));
  for (const auto& [host, disk_id] : hard_state.peer_disk_ids) {
    writer->String(host.value());
    writer->String(disk_id);
  }
}

HardState ReadHardState(ByteReader* reader) {
  HardState hard_state;
  hard_state.term = reader->U64();
  hard_state.voted_for = HostId(reader->String());
  hard_state.commit = reader->U64();
  hard_state.disk_id = reader->String();
  hard_state.confirmed = reader->Bool();
  hard_state.may_bootstrap = reader->Bool();
  for (uint32_t n = reader->U32(); n > 0; --n) {
    HostId host(reader->String());
    hard_state.peer_disk_ids[host] = reader->String();
  }
  return hard_state;
}

struct BodyWriter {
  ByteWriter* w;
  void operator()(const VoteRequest& b) const {
    w->Bool(b.pre_vote);
    w->U64(b.last_index);
    w->U64(b.last_term);
  }
  void operator()(const VoteReply& b) const {
    w->Bool(b.pre_vote);
    w->Bool(b.granted);
  }
  void operator()(const AppendRequest& b) const {
    w->U64(b.prev_index);
    w->U64(b.prev_term);
    w->U64(b.commit);
    WriteTime(w, b.sent_at);
    WriteEntries(w, b.entries);
  }
  void operator()(const AppendReply& b) const {
    w->Bool(b.ok);
    w->U64(b.match);
    w->Bool(b.confirmed);
    WriteTime(w, b.sent_at);
  }
  void operator()(const SnapshotChunk& b) const {
    w->U64(b.index);
    w->U64(b.snapshot_term);
    WriteMembers(w, b.members);
    w->U64(b.offset);
    w->U64(b.total);
    WriteTime(w, b.sent_at);
    w->String(b.data);
  }
  void operator()(const SnapshotReply& b) const {
    w->U64(b.index);
    w->U64(b.next_offset);
    w->Bool(b.confirmed);
    WriteTime(w, b.sent_at);
  }
  void operator()(const Hello& b) const { w->String(b.disk_id); }
  void operator()(const HelloReply& b) const {
    w->String(b.hello_disk_id);
    w->Bool(b.is_new);
    w->String(b.disk_id);
    w->String(b.known_disk_id);
  }
};

VoteRequest ReadVoteRequest(ByteReader* r) {
  VoteRequest b;
  b.pre_vote = r->Bool();
  b.last_index = r->U64();
  b.last_term = r->U64();
  return b;
}
VoteReply ReadVoteReply(ByteReader* r) {
  VoteReply b;
  b.pre_vote = r->Bool();
  b.granted = r->Bool();
  return b;
}
AppendRequest ReadAppendRequest(ByteReader* r) {
  AppendRequest b;
  b.prev_index = r->U64();
  b.prev_term = r->U64();
  b.commit = r->U64();
  b.sent_at = ReadTime(r);
  b.entries = ReadEntries(r);
  // The log requires consecutive indexes and valid member sets. DecodeMembers() throws on malformed
  // data.
  for (size_t i = 0; i < b.entries.size(); ++i) {
    if (b.entries[i].kind == EntryKind::kMembers) DecodeMembers(b.entries[i].data);
    if (b.entries[i].index == b.prev_index + 1 + i) continue;
    throw Error(ErrorKind::kBadRequest, "log entries of an append request are not consecutive");
  }
  return b;
}
AppendReply ReadAppendReply(ByteReader* r) {
  AppendReply b;
  b.ok = r->Bool();
  b.match = r->U64();
  b.confirmed = r->Bool();
  b.sent_at = ReadTime(r);
  return b;
}
SnapshotChunk ReadSnapshotChunk(ByteReader* r) {
  SnapshotChunk b;
  b.index = r->U64();
  b.snapshot_term = r->U64();
  b.members = ReadMembers(r);
  b.offset = r->U64();
  b.total = r->U64();
  b.sent_at = ReadTime(r);
  b.data = r->String();
  return b;
}
SnapshotReply ReadSnapshotReply(ByteReader* r) {
  SnapshotReply b;
  b.index = r->U64();
  b.next_offset = r->U64();
  b.confirmed = r->Bool();
  b.sent_at = ReadTime(r);
  return b;
}
HelloReply ReadHelloReply(ByteReader* r) {
  HelloReply b;
  b.hello_disk_id = r->String();
  b.is_new = r->Bool();
  b.disk_id = r->String();
  b.known_disk_id = r->String();
  return b;
}

}  // namespace

std::string EncodeMessage(const ConsensusMessage& message) {
  ByteWriter writer;
  writer.String(message.from.value());
  writer.String(message.to.value());
  writer.U64(message.term);
  writer.U8(static_cast<uint8_t>(message.body.index()));
  std::visit(BodyWriter{&writer}, message.body);
  return writer.Take();
}

ConsensusMessage DecodeMessage(std::string_view bytes) {
  ByteReader reader(bytes);
  ConsensusMessage message;
  message.from = HostId(reader.String());
  message.to = HostId(reader.String());
  message.term = reader.U64();
  switch (reader.U8()) {
    case 0:
      message.body = ReadVoteRequest(&reader);
      break;
    case 1:
      message.body = ReadVoteReply(&reader);
      break;
    case 2:
      message.body = ReadAppendRequest(&reader);
      break;
    case 3:
      message.body = ReadAppendReply(&reader);
      break;
    case 4:
      message.body = ReadSnapshotChunk(&reader);
      break;
    case 5:
      message.body = ReadSnapshotReply(&reader);
      break;
    case 6:
      message.body = Hello{reader.String()};
      break;
    case 7:
      message.body = ReadHelloReply(&reader);
      break;
    default:
      throw Error(ErrorKind::kBadRequest, "unknown consensus message type");
  }
  if (!reader.AtEnd())
    throw Error(ErrorKind::kBadRequest, "trailing bytes after a consensus message");
  return message;
}

std::string EncodeMembers(const MemberSet& members) {
  ByteWriter writer;
  WriteMembers(&writer, members);
  return writer.Take();
}

MemberSet DecodeMembers(std::string_view bytes) {
  ByteReader reader(bytes);
  return ReadMembers(&reader);
}

std::string EncodeHardState(const HardState& hard_state) {
  ByteWriter writer;
  WriteHardState(&writer, hard_state);
  return writer.Take();
}

HardState DecodeHardState(std::string_view bytes) {
  ByteReader reader(bytes);
  return ReadHardState(&reader);
}

std::string EncodeEntries(const std::vector<LogEntry>& entries) {
  ByteWriter writer;
  WriteEntries(&writer, entries);
  return writer.Take();
}

std::vector<LogEntry> DecodeEntries(std::string_view bytes) {
  ByteReader reader(bytes);
  return ReadEntries(&reader);
}

std::string EncodePersisted(const PersistedState& state) {
  ByteWriter writer;
  WriteHardState(&writer, state.hard_state);
  writer.U64(state.base_index);
  writer.U64(state.base_term);
  WriteMembers(&writer, state.base_members);
  writer.U64(state.snapshot_index);
  writer.Bool(state.snapshot != nullptr);
  if (state.snapshot) writer.String(*state.snapshot);
  WriteEntries(&writer, state.log);
  return writer.Take();
}

PersistedState DecodePersisted(std::string_view bytes) {
  ByteReader reader(bytes);
  PersistedState state;
  state.hard_state = ReadHardState(&reader);
  state.base_index = reader.U64();
  state.base_term = reader.U64();
  state.base_members = ReadMembers(&reader);
  state.snapshot_index = reader.U64();
  if (reader.Bool()) state.snapshot = std::make_shared<const std::string>(reader.String());
  state.log = ReadEntries(&reader);
  return state;
}

}  // namespace ebonylift
