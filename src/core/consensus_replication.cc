#include "core/consensus_replication.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "core/consensus_log.h"
#include "core/consensus_members.h"
#include "core/consensus_roles.h"
#include "core/consensus_sending.h"

namespace ebonylift::consensus {

namespace {

// Where the leader should look for the last matching entry: before all entries of the term that
// conflicts at `prev_index`.
uint64_t ConflictHint(const Consensus& s, uint64_t prev_index) {
  if (prev_index > LastIndex(s)) return LastIndex(s);
  uint64_t term = *TermAt(s, prev_index);
  uint64_t hint = prev_index;
  while (hint > s.base_index && hint > s.hard_state.commit && TermAt(s, hint) == term) --hint;
  return hint;
}

}  // namespace

void OnAppendRequest(Context& c, const ConsensusMessage& m, const AppendRequest& request) {
  if (m.term < c.s.hard_state.term) {
    ReplyAppend(c, m.from, request, false, 0);  // the newer term makes the sender step down
    return;
  }
  RecordLeaderContact(c, m.from);
  if (request.prev_index >= c.s.base_index &&
      TermAt(c.s, request.prev_index) != request.prev_term) {
    ReplyAppend(c, m.from, request, false, ConflictHint(c.s, request.prev_index));
    return;
  }
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= c.s.base_index) continue;  // committed, so it matches
    if (entry.index <= LastIndex(c.s)) {
      if (TermAt(c.s, entry.index) == entry.term) continue;
      TruncateFrom(c, entry.index);
    }
    AppendEntry(c, entry);
  }
  uint64_t match = std::max(c.s.base_index, request.prev_index + request.entries.size());
  SetCommit(c, std::min(request.commit, match));
  ReplyAppend(c, m.from, request, true, match);
}

void OnAppendReply(Context& c, const ConsensusMessage& m, const AppendReply& reply) {
  auto found = c.s.progress.find(m.from);
  if (c.s.role != Role::kLeader || found == c.s.progress.end()) return;
  Progress& progress = found->second;
  RecordAck(c, &progress, reply.confirmed, reply.sent_at);
  if (!reply.ok) {
    // The host may have lost its disk, so earlier acknowledgements say nothing about its log now.
    if (!reply.confirmed) progress.match = std::min(progress.match, reply.match);
    uint64_t next = std::max(progress.match, reply.match) + 1;
    if (next >= progress.next) return;  // a stale reply
    progress.next = next;
    SendAppend(c, m.from, &progress);
    return;
  }
  AdvanceMatch(c, &progress, reply.match, reply.confirmed);
  found = c.s.progress.find(m.from);  // MaybeCommit() may have stepped down
  if (found != c.s.progress.end() && found->second.next <= LastIndex(c.s) &&
      found->second.next > c.s.base_index) {
    SendAppend(c, m.from, &found->second);
  }
}

void ReplyAppend(Context& c, const HostId& to, const AppendRequest& request, bool ok,
                 uint64_t match) {
  AppendReply reply;
  reply.ok = ok;
  reply.match = match;
  reply.confirmed = c.s.hard_state.confirmed;
  reply.sent_at = request.sent_at;
  Send(c, to, reply);
}

void RecordAck(Context& c, Progress* progress, bool confirmed, Time sent_at) {
  progress->confirmed = confirmed;
  // An unconfirmed host does not vote, so its acknowledgements cannot support a lease.
  if (confirmed && sent_at <= c.now) {
    progress->last_acked_sent_at = std::max(progress->last_acked_sent_at, sent_at);
  }
}

void AdvanceMatch(Context& c, Progress* progress, uint64_t match, bool confirmed) {
  progress->match = std::max(progress->match, match);
  progress->next = std::max(progress->next, progress->match + 1);
  if (confirmed) progress->confirmed_match = std::max(progress->confirmed_match, match);
  MaybeCommit(c);
}

void MaybeCommit(Context& c) {
  if (c.s.role != Role::kLeader || c.s.members.voters.empty()) return;
  std::vector<uint64_t> matches;
  for (const HostId& host : c.s.members.voters) {
    if (host == c.s.self) {
      matches.push_back(c.s.durable_index);
      continue;
    }
    auto found = c.s.progress.find(host);
    matches.push_back(found == c.s.progress.end() ? 0 : found->second.confirmed_match);
  }
  std::sort(matches.begin(), matches.end(), std::greater<uint64_t>());
  uint64_t commit = std::min(matches[QuorumSize(c.s) - 1], LastIndex(c.s));
  // Only entries of the current term are committed by counting replicas, which commits all earlier
  // entries as well. An entry of an earlier term could still be replaced by another leader even
  // though a quorum stores it (Raft, section 5.4.2).
  if (commit <= c.s.hard_state.commit || TermAt(c.s, commit) != c.s.hard_state.term) return;
  SetCommit(c, commit);
  Broadcast(c);
  bool self_removed = c.s.members_index <= commit && !IsMember(c.s.members, c.s.self);
  if (self_removed) StepDown(c, "removed from the voters");
}

}  // namespace ebonylift::consensus
