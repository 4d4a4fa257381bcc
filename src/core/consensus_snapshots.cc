#include "core/consensus_snapshots.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "core/consensus_log.h"
#include "core/consensus_members.h"
#include "core/consensus_replication.h"
#include "core/consensus_roles.h"
#include "core/consensus_sending.h"

namespace ebonylift::consensus {

namespace {

constexpr uint64_t kMaxSnapshotBytes = 256 << 20;

void InstallSnapshot(Context& c, const SnapshotChunk& chunk) {
  bool keep_log = TermAt(c.s, chunk.index) == chunk.snapshot_term;
  if (keep_log) {
    while (!c.s.log.empty() && c.s.log.front().index <= chunk.index) c.s.log.pop_front();
  } else {
    c.s.log.clear();
  }
  c.s.base_index = chunk.index;
  c.s.base_term = chunk.snapshot_term;
  c.s.base_members = chunk.members;
  c.s.snapshot_index = chunk.index;
  c.s.snapshot = std::make_shared<const std::string>(std::move(c.s.partial_snapshot));
  c.s.partial_snapshot.clear();
  c.s.restore_pending = true;
  c.s.durable_index = keep_log ? std::max(c.s.durable_index, chunk.index) : chunk.index;
  c.ready.persist_all = true;
  SetCommit(c, chunk.index);
  UpdateMembers(c);
}

}  // namespace

void OnSnapshotChunk(Context& c, const ConsensusMessage& m, const SnapshotChunk& chunk) {
  if (m.term < c.s.hard_state.term) {
    AppendRequest request;
    request.sent_at = chunk.sent_at;
    ReplyAppend(c, m.from, request, false, 0);
    return;
  }
  RecordLeaderContact(c, m.from);
  SnapshotReply reply;
  reply.index = chunk.index;
  reply.sent_at = chunk.sent_at;
  reply.confirmed = c.s.hard_state.confirmed;
  if (chunk.index <= c.s.hard_state.commit) {
    reply.next_offset = chunk.total;
    c.s.partial_snapshot.clear();
    Send(c, m.from, reply);
    return;
  }
  bool same_snapshot =
      c.s.partial_snapshot_index == chunk.index && c.s.partial_snapshot_term == chunk.snapshot_term;
  if (!same_snapshot || chunk.offset == 0) {
    c.s.partial_snapshot.clear();
    c.s.partial_snapshot_index = chunk.index;
    c.s.partial_snapshot_term = chunk.snapshot_term;
  }
  bool valid = chunk.total <= kMaxSnapshotBytes && chunk.offset == c.s.partial_snapshot.size() &&
               chunk.data.size() <= chunk.total - chunk.offset;
  if (valid) c.s.partial_snapshot += chunk.data;
  reply.next_offset = c.s.partial_snapshot.size();
  if (valid && c.s.partial_snapshot.size() == chunk.total) InstallSnapshot(c, chunk);
  Send(c, m.from, reply);
}

void OnSnapshotReply(Context& c, const ConsensusMessage& m, const SnapshotReply& reply) {
  auto found = c.s.progress.find(m.from);
  if (c.s.role != Role::kLeader || found == c.s.progress.end()) return;
  Progress& progress = found->second;
  RecordAck(c, &progress, reply.confirmed, reply.sent_at);
  if (!progress.sending_snapshot || !c.s.snapshot) return;
  if (reply.index != c.s.snapshot_index) {
    progress.snapshot_offset = 0;  // a newer snapshot has replaced the one in transfer
    SendSnapshotChunk(c, m.from, &progress);
    return;
  }
  if (reply.next_offset < c.s.snapshot->size()) {
    // A duplicate reply: the chunk it asks for is already in flight.
    bool sent_recently = reply.next_offset == progress.snapshot_offset &&
                         c.now - progress.snapshot_sent_at < kSnapshotResendInterval;
    if (sent_recently) return;
    progress.snapshot_offset = reply.next_offset;
    SendSnapshotChunk(c, m.from, &progress);
    return;
  }
  progress.sending_snapshot = false;
  progress.next = std::max(progress.next, reply.index + 1);
  AdvanceMatch(c, &progress, reply.index, reply.confirmed);
  found = c.s.progress.find(m.from);
  if (found != c.s.progress.end()) SendAppend(c, m.from, &found->second);
}

}  // namespace ebonylift::consensus
