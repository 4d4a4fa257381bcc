#include "core/consensus_election.h"

#include <cstdint>
#include <string>
#include <utility>

#include "core/consensus_log.h"
#include "core/consensus_members.h"
#include "core/consensus_roles.h"
#include "core/consensus_sending.h"

namespace ebonylift::consensus {

namespace {

void BecomeLeader(Context& c) {
  c.s.role = Role::kLeader;
  c.s.leader = c.s.self;
  c.s.leader_since = c.now;
  c.s.heartbeat_due = c.now + kHeartbeatInterval;
  c.s.progress.clear();
  UpdateProgressHosts(c);
  c.s.term_start = AppendNewEntry(c, EntryKind::kMembers, EncodeMembers(c.s.members)).index;
  AddNotice(c, NoticeKind::kElected, std::to_string(c.s.hard_state.term));
  Broadcast(c);
}

void RequestVotes(Context& c, bool pre_vote, uint64_t term) {
  for (const HostId& host : c.s.members.voters) {
    if (host == c.s.self) continue;
    VoteRequest request;
    request.pre_vote = pre_vote;
    request.last_index = LastIndex(c.s);
    request.last_term = LastTerm(c.s);
    SendWithTerm(c, host, term, request);
  }
}

// The time of the next attempt if the current election is not won.
Time NextVoteRetry(Context& c) { return RandomDeadline(c, kVoteRetryInterval, kVoteRetryInterval); }

void StartElection(Context& c) {
  c.s.role = Role::kCandidate;
  ++c.s.hard_state.term;
  c.s.hard_state.voted_for = c.s.self;
  c.ready.hard_state_changed = true;
  c.s.votes_granted = {c.s.self};
  c.s.election_due = NextVoteRetry(c);
  if (c.s.votes_granted.size() >= QuorumSize(c.s)) {
    BecomeLeader(c);
    return;
  }
  RequestVotes(c, /*pre_vote=*/false, c.s.hard_state.term);
}

bool IsUpToDate(const Consensus& s, const VoteRequest& request) {
  return std::make_pair(request.last_term, request.last_index) >=
         std::make_pair(LastTerm(s), LastIndex(s));
}

}  // namespace

void StartPreVote(Context& c) {
  c.s.role = Role::kPreCandidate;
  c.s.leader = HostId();
  c.s.votes_granted = {c.s.self};
  c.s.election_due = NextVoteRetry(c);
  if (c.s.votes_granted.size() >= QuorumSize(c.s)) {
    StartElection(c);
    return;
  }
  RequestVotes(c, /*pre_vote=*/true, c.s.hard_state.term + 1);
}

void OnVoteRequest(Context& c, const ConsensusMessage& m, const VoteRequest& request) {
  bool protect_leader = LeaderMayHoldLease(c.s, c.now);
  if (request.pre_vote) {
    bool granted = c.s.hard_state.confirmed && m.term > c.s.hard_state.term &&
                   IsUpToDate(c.s, request) && !protect_leader;
    SendWithTerm(c, m.from, granted ? m.term : c.s.hard_state.term, VoteReply{true, granted});
    return;
  }
  if (m.term > c.s.hard_state.term) {
    if (protect_leader) return;
    BecomeFollower(c, m.term, HostId());
  }
  bool vote_available = c.s.hard_state.voted_for.empty() || c.s.hard_state.voted_for == m.from;
  bool granted = m.term == c.s.hard_state.term && c.s.hard_state.confirmed && vote_available &&
                 IsUpToDate(c.s, request);
  if (granted && c.s.hard_state.voted_for != m.from) {
    c.s.hard_state.voted_for = m.from;
    c.ready.hard_state_changed = true;
  }
  if (granted) c.s.election_due = NextElectionDeadline(c);
  Send(c, m.from, VoteReply{false, granted});
}

void OnVoteReply(Context& c, const ConsensusMessage& m, const VoteReply& reply) {
  if (!reply.granted || c.s.members.voters.count(m.from) == 0) return;
  if (reply.pre_vote) {
    if (c.s.role != Role::kPreCandidate || m.term != c.s.hard_state.term + 1) return;
    c.s.votes_granted.insert(m.from);
    if (c.s.votes_granted.size() >= QuorumSize(c.s)) StartElection(c);
    return;
  }
  if (c.s.role != Role::kCandidate || m.term != c.s.hard_state.term) return;
  c.s.votes_granted.insert(m.from);
  if (c.s.votes_granted.size() >= QuorumSize(c.s)) BecomeLeader(c);
}

}  // namespace ebonylift::consensus
