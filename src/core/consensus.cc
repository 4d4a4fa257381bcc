#include "core/consensus.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "core/consensus_context.h"
#include "core/consensus_disks.h"
#include "core/consensus_election.h"
#include "core/consensus_log.h"
#include "core/consensus_members.h"
#include "core/consensus_replication.h"
#include "core/consensus_roles.h"
#include "core/consensus_sending.h"
#include "core/consensus_snapshots.h"

namespace ebonylift {
namespace {

using consensus::AppendNewEntry;
using consensus::ApplyRejoin;
using consensus::BecomeFollower;
using consensus::Broadcast;
using consensus::Context;
using consensus::DropRemovedHosts;
using consensus::IsMember;
using consensus::LastTerm;
using consensus::LeaderHasQuorum;
using consensus::LoadMembersFromLog;
using consensus::MaybeCommit;
using consensus::MaybeConfirmFirstStart;
using consensus::MembersAt;
using consensus::NextElectionDeadline;
using consensus::OnAppendReply;
using consensus::OnAppendRequest;
using consensus::OnHello;
using consensus::OnHelloReply;
using consensus::OnSnapshotChunk;
using consensus::OnSnapshotReply;
using consensus::OnVoteReply;
using consensus::OnVoteRequest;
using consensus::QuorumAckTime;
using consensus::SendHellos;
using consensus::StartPreVote;
using consensus::StepDown;
using consensus::TermAt;

// Moves the installed snapshot and the entries whose commit is durable to the Ready.
void DeliverCommitted(Context& c) {
  if (c.s.restore_pending) {
    if (c.s.durable_commit < c.s.snapshot_index) return;
    c.ready.restored_snapshot = c.s.snapshot;
    c.s.delivered_index = c.s.snapshot_index;
    c.s.restore_pending = false;
  }
  uint64_t end = std::min(c.s.durable_commit, LastIndex(c.s));
  while (c.s.delivered_index < end) {
    const LogEntry& entry = c.s.log[c.s.delivered_index - c.s.base_index];
    ++c.s.delivered_index;
    if (entry.kind == EntryKind::kRejoin) ApplyRejoin(c, entry);
    c.ready.committed.push_back(entry);
  }
}

// Adopts a newer term. Returns false if the message is to be ignored.
bool AcceptTerm(Context& c, const ConsensusMessage& m) {
  bool is_hello =
      std::holds_alternative<Hello>(m.body) || std::holds_alternative<HelloReply>(m.body);
  bool is_vote_request = std::holds_alternative<VoteRequest>(m.body);
  if (is_hello || is_vote_request) return true;  // their handlers check the term
  if (const auto* reply = std::get_if<VoteReply>(&m.body)) {
    if (reply->pre_vote && reply->granted) return true;  // has the term that would be started
  }
  bool from_leader = std::holds_alternative<AppendRequest>(m.body) ||
                     std::holds_alternative<SnapshotChunk>(m.body);
  if (m.term > c.s.hard_state.term) BecomeFollower(c, m.term, from_leader ? m.from : HostId());
  return from_leader || m.term == c.s.hard_state.term;
}

void Dispatch(Context& c, const ConsensusMessage& m) {
  if (const auto* vote = std::get_if<VoteRequest>(&m.body)) OnVoteRequest(c, m, *vote);
  if (const auto* reply = std::get_if<VoteReply>(&m.body)) OnVoteReply(c, m, *reply);
  if (const auto* append = std::get_if<AppendRequest>(&m.body)) OnAppendRequest(c, m, *append);
  if (const auto* reply = std::get_if<AppendReply>(&m.body)) OnAppendReply(c, m, *reply);
  if (const auto* chunk = std::get_if<SnapshotChunk>(&m.body)) OnSnapshotChunk(c, m, *chunk);
  if (const auto* reply = std::get_if<SnapshotReply>(&m.body)) OnSnapshotReply(c, m, *reply);
  if (const auto* hello = std::get_if<Hello>(&m.body)) OnHello(c, m, *hello);
  if (const auto* reply = std::get_if<HelloReply>(&m.body)) OnHelloReply(c, m, *reply);
}

// Adds to the Ready what follows from the state after the input.
void FinishReady(Context& c) {
  DeliverCommitted(c);
  c.ready.mark = {LastIndex(c.s), LastTerm(c.s), c.s.hard_state.commit};
}

// Proposes to make a voter of a learner that is confirmed and has every committed entry.
void PromoteLearners(Context& c) {
  if (!CanPropose(c.s) || c.s.members_index > c.s.hard_state.commit) return;
  for (const HostId& host : c.s.members.learners) {
    const Progress& progress = c.s.progress.at(host);
    if (!progress.confirmed || progress.confirmed_match < c.s.hard_state.commit) continue;
    MemberSet next = c.s.members;
    next.learners.erase(host);
    next.voters.insert(host);
    AppendNewEntry(c, EntryKind::kMembers, EncodeMembers(next));
    Broadcast(c);
    return;
  }
}

void TickLeader(Context& c) {
  if (!LeaderHasQuorum(c.s, c.now)) {
    StepDown(c, "no contact with a quorum for the minimum election timeout");
    return;
  }
  DropRemovedHosts(c);
  PromoteLearners(c);
  if (c.now < c.s.heartbeat_due) return;
  c.s.heartbeat_due = c.now + kHeartbeatInterval;
  Broadcast(c);
}

}  // namespace

uint64_t LastIndex(const Consensus& state) { return state.base_index + state.log.size(); }

bool IsVoter(const Consensus& state) {
  return state.hard_state.confirmed && state.members.voters.count(state.self) != 0;
}

bool CanPropose(const Consensus& state) {
  return state.role == Role::kLeader && state.hard_state.commit >= state.term_start;
}

bool LeaseValid(const Consensus& state, Time now) {
  return CanPropose(state) && QuorumAckTime(state, now, Time()) + kLease > now;
}

uint64_t ReadIndex(const Consensus& state) {
  // Entries of earlier terms may be committed although a new leader does not know it yet. They all
  // precede term_start.
  return std::max(state.hard_state.commit, state.term_start);
}

Consensus NewConsensus(const HostId& self, const std::set<HostId>& voters,
                       const std::string& disk_id, bool may_bootstrap, Time now,
                       std::mt19937_64& rng) {
  Consensus state;
  state.self = self;
  state.base_members.voters = voters;
  state.hard_state.disk_id = disk_id;
  state.hard_state.may_bootstrap = may_bootstrap;
  LoadMembersFromLog(&state);
  Ready ignored;
  Context c{state, now, rng, ignored};
  state.last_leader_contact = now;
  state.election_due = NextElectionDeadline(c);
  // Without peers no other host can have recorded another disk.
  if (voters.size() == 1) MaybeConfirmFirstStart(c);
  return state;
}

Consensus RestoreConsensus(const HostId& self, PersistedState persisted, Time now,
                           std::mt19937_64& rng) {
  Consensus state;
  state.self = self;
  state.hard_state = std::move(persisted.hard_state);
  state.base_index = persisted.base_index;
  state.base_term = persisted.base_term;
  state.base_members = std::move(persisted.base_members);
  state.snapshot_index = persisted.snapshot_index;
  state.snapshot = std::move(persisted.snapshot);
  state.log.assign(std::make_move_iterator(persisted.log.begin()),
                   std::make_move_iterator(persisted.log.end()));
  LoadMembersFromLog(&state);
  state.durable_index = LastIndex(state);
  state.durable_commit = state.hard_state.commit;
  state.delivered_index = state.snapshot_index;
  Ready ignored;
  Context c{state, now, rng, ignored};
  state.last_leader_contact = now;
  state.election_due = NextElectionDeadline(c);
  return state;
}

Ready Step(Consensus* state, const ConsensusMessage& message, Time now, std::mt19937_64& rng) {
  Ready ready;
  Context c{*state, now, rng, ready};
  if (message.to == state->self && message.from != state->self && AcceptTerm(c, message)) {
    Dispatch(c, message);
  }
  FinishReady(c);
  return ready;
}

Ready Tick(Consensus* state, Time now, std::mt19937_64& rng) {
  Ready ready;
  Context c{*state, now, rng, ready};
  if (state->role == Role::kLeader) {
    TickLeader(c);
  } else if (!state->hard_state.confirmed) {
    if (IsMember(state->members, state->self)) SendHellos(c);
  } else if (IsVoter(*state)) {
    // A single voter needs no election timeout.
    if (now >= state->election_due || state->members.voters.size() == 1) StartPreVote(c);
  }
  FinishReady(c);
  return ready;
}

Ready OnPersisted(Consensus* state, const PersistMark& mark, Time now, std::mt19937_64& rng) {
  Ready ready;
  Context c{*state, now, rng, ready};
  if (TermAt(*state, mark.last_index) == mark.last_term) {
    state->durable_index = std::max(state->durable_index, mark.last_index);
  }
  state->durable_commit = std::max(state->durable_commit, mark.commit);
  MaybeCommit(c);
  FinishReady(c);
  return ready;
}

std::optional<Proposal> Propose(Consensus* state, EntryKind kind, std::string data, Time now) {
  if (!CanPropose(*state)) return std::nullopt;
  Proposal proposal;
  std::mt19937_64 unused;  // proposing draws no random numbers
  Context c{*state, now, unused, proposal.ready};
  proposal.index = AppendNewEntry(c, kind, std::move(data)).index;
  proposal.term = state->hard_state.term;
  Broadcast(c);
  FinishReady(c);
  return proposal;
}

std::optional<Proposal> ProposeMembers(Consensus* state, const MemberSet& members, Time now) {
  if (!CanPropose(*state) || state->members_index > state->hard_state.commit) return std::nullopt;
  std::vector<HostId> difference;
  std::set_symmetric_difference(members.voters.begin(), members.voters.end(),
                                state->members.voters.begin(), state->members.voters.end(),
                                std::back_inserter(difference));
  // Any quorums of two voter sets that differ by one host overlap; with a larger difference they
  // may not.
  if (difference.size() > 1 || members.voters.empty()) return std::nullopt;
  return Propose(state, EntryKind::kMembers, EncodeMembers(members), now);
}

namespace {

// Returns the index before the first of the entries up to `index` that are kept.
uint64_t OldestKept(const Consensus& state, uint64_t index, uint64_t keep, size_t keep_bytes) {
  uint64_t base = index;
  size_t bytes = 0;
  while (base > state.base_index && index - base < keep) {
    bytes += state.log[base - state.base_index - 1].data.size();
    if (bytes > keep_bytes) break;
    --base;
  }
  return base;
}

}  // namespace

void TakeSnapshot(Consensus* state, uint64_t index, std::shared_ptr<const std::string> snapshot,
                  uint64_t keep, size_t keep_bytes) {
  bool valid_index = index <= state->delivered_index && index > state->snapshot_index;
  if (!valid_index || state->restore_pending) return;
  uint64_t base = OldestKept(*state, index, keep, keep_bytes);
  MemberSet members = MembersAt(*state, base);
  uint64_t base_term = *TermAt(*state, base);
  while (!state->log.empty() && state->log.front().index <= base) state->log.pop_front();
  state->base_index = base;
  state->base_term = base_term;
  state->base_members = std::move(members);
  state->snapshot_index = index;
  state->snapshot = std::move(snapshot);
}

PersistedState ToPersisted(const Consensus& state) {
  PersistedState persisted;
  persisted.hard_state = state.hard_state;
  persisted.base_index = state.base_index;
  persisted.base_term = state.base_term;
  persisted.base_members = state.base_members;
  persisted.snapshot_index = state.snapshot_index;
  persisted.snapshot = state.snapshot;
  persisted.log.assign(state.log.begin(), state.log.end());
  return persisted;
}

}  // namespace ebonylift
