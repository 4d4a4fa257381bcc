#include "core/consensus_roles.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "core/consensus_members.h"

namespace ebonylift::consensus {

Time NextElectionDeadline(Context& c) {
  return RandomDeadline(c, kMinElectionTimeout, kMaxElectionTimeout - kMinElectionTimeout);
}

Time QuorumAckTime(const Consensus& s, Time now, Time baseline) {
  std::vector<Time> times;
  for (const HostId& host : s.members.voters) {
    if (host == s.self) {
      times.push_back(now);
      continue;
    }
    auto found = s.progress.find(host);
    times.push_back(found == s.progress.end()
                        ? baseline
                        : std::max(baseline, found->second.last_acked_sent_at));
  }
  if (times.empty()) return baseline;
  std::sort(times.begin(), times.end(), std::greater<Time>());
  return times[QuorumSize(s) - 1];
}

bool LeaderHasQuorum(const Consensus& s, Time now) {
  return QuorumAckTime(s, now, s.leader_since) + kMinElectionTimeout > now;
}

bool LeaderMayHoldLease(const Consensus& s, Time now) {
  if (s.role == Role::kLeader) return LeaderHasQuorum(s, now);
  return now - s.last_leader_contact < kMinElectionTimeout;
}

void StepDown(Context& c, const std::string& reason) {
  if (c.s.role == Role::kLeader) {
    AddNotice(c, NoticeKind::kSteppedDown, reason);
    // last_leader_contact stays as it was before this host led, so that it may vote at once.
    c.s.progress.clear();
  }
  c.s.role = Role::kFollower;
  c.s.leader = HostId();
  c.s.votes_granted.clear();
  c.s.election_due = NextElectionDeadline(c);
}

void BecomeFollower(Context& c, uint64_t term, const HostId& leader) {
  if (c.s.role == Role::kLeader) StepDown(c, "observed a newer term");
  c.s.role = Role::kFollower;
  c.s.votes_granted.clear();
  bool changed = term != c.s.hard_state.term || leader != c.s.leader;
  if (term != c.s.hard_state.term) {
    c.s.hard_state.term = term;
    c.s.hard_state.voted_for = HostId();
    c.ready.hard_state_changed = true;
  }
  c.s.leader = leader;
  if (changed) {
    AddNotice(c, NoticeKind::kTermChanged,
              std::to_string(term) + " " + (leader.empty() ? "unknown" : leader.value()));
  }
}

void RecordLeaderContact(Context& c, const HostId& leader) {
  BecomeFollower(c, c.s.hard_state.term, leader);
  c.s.last_leader_contact = c.now;
  c.s.election_due = NextElectionDeadline(c);
}

}  // namespace ebonylift::consensus
