#include "core/consensus_sending.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/consensus_log.h"
#include "core/consensus_members.h"

namespace ebonylift::consensus {

namespace {

void SendHeartbeatOnly(Context& c, const HostId& to) {
  // With prev_index 0 the log matching check always succeeds.
  AppendRequest request;
  request.sent_at = c.now;
  Send(c, to, std::move(request));
}

}  // namespace

void SendSnapshotChunk(Context& c, const HostId& to, Progress* progress) {
  SnapshotChunk chunk;
  chunk.index = c.s.snapshot_index;
  chunk.snapshot_term = *TermAt(c.s, c.s.snapshot_index);
  chunk.members = MembersAt(c.s, c.s.snapshot_index);
  chunk.total = c.s.snapshot->size();
  chunk.offset = std::min<uint64_t>(progress->snapshot_offset, chunk.total);
  chunk.data = c.s.snapshot->substr(chunk.offset, kSnapshotChunkBytes);
  chunk.sent_at = c.now;
  progress->snapshot_sent_at = c.now;
  Send(c, to, std::move(chunk));
}

void SendAppend(Context& c, const HostId& to, Progress* progress) {
  if (progress->next <= c.s.base_index && c.s.snapshot) {
    bool resend = c.now - progress->snapshot_sent_at >= kSnapshotResendInterval;
    if (!progress->sending_snapshot) {
      progress->sending_snapshot = true;
      progress->snapshot_offset = 0;
      resend = true;
    }
    if (resend) {
      SendSnapshotChunk(c, to, progress);
    } else {
      SendHeartbeatOnly(c, to);
    }
    return;
  }
  progress->sending_snapshot = false;
  AppendRequest request;
  request.prev_index = progress->next - 1;
  request.prev_term = *TermAt(c.s, request.prev_index);
  request.commit = c.s.hard_state.commit;
  request.sent_at = c.now;
  size_t bytes = 0;
  bool may_send = progress->next <= progress->match + kMaxUnacknowledgedEntries;
  for (uint64_t i = progress->next; may_send && i <= LastIndex(c.s); ++i) {
    const LogEntry& entry = c.s.log[i - c.s.base_index - 1];
    bytes += entry.data.size() + sizeof(LogEntry);
    bool full = bytes > kMaxAppendBytes || request.entries.size() >= kMaxAppendEntries;
    if (full && !request.entries.empty()) break;
    request.entries.push_back(entry);
  }
  progress->next += request.entries.size();
  Send(c, to, std::move(request));
}

void Broadcast(Context& c) {
  for (auto& [host, progress] : c.s.progress) SendAppend(c, host, &progress);
}

}  // namespace ebonylift::consensus
