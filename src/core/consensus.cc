#include "core/consensus.h"

#include <algorithm>
#include <utility>

#include "core/codec.h"

namespace ebonylift {
namespace {

// Marks a peer's disk ID in HardState::peer_disk_ids that was recorded from a kRejoin entry.
constexpr char kRejoinedPrefix[] = "rejoined:";
// How long after proposing a kRejoin entry the leader may propose it again.
constexpr Duration kRejoinRetryInterval = milliseconds(2'000);
constexpr Duration kMaxFirstElectionDelay = milliseconds(400);
constexpr uint64_t kMaxSnapshotBytes = 256 << 20;

// The arguments of one input function and the Ready it builds.
struct Context {
  Consensus& s;
  Time now;
  std::mt19937_64& rng;
  Ready& ready;
};

// ---- the log

std::optional<uint64_t> TermAt(const Consensus& s, uint64_t index) {
  if (index == s.base_index) return s.base_term;
  if (index < s.base_index || index > s.base_index + s.log.size()) return std::nullopt;
  return s.log[index - s.base_index - 1].term;
}

uint64_t LastTerm(const Consensus& s) { return s.log.empty() ? s.base_term : s.log.back().term; }

MemberSet MembersAt(const Consensus& s, uint64_t index) {
  for (auto it = s.log.rbegin(); it != s.log.rend(); ++it) {
    if (it->index <= index && it->kind == EntryKind::kMembers) return DecodeMembers(it->data);
  }
  return s.base_members;
}

void LoadMembersFromLog(Consensus* s) {
  s->members = s->base_members;
  s->members_index = s->base_index;
  for (auto it = s->log.rbegin(); it != s->log.rend(); ++it) {
    if (it->kind != EntryKind::kMembers) continue;
    s->members = DecodeMembers(it->data);
    s->members_index = it->index;
    return;
  }
}

std::string FormatMembers(const MemberSet& members) {
  std::string text;
  for (const HostId& host : members.voters) text += (text.empty() ? "" : ",") + host.value();
  for (const HostId& host : members.learners) text += "," + host.value() + "(learner)";
  return text;
}

bool IsMember(const MemberSet& members, const HostId& host) {
  return members.voters.count(host) != 0 || members.learners.count(host) != 0;
}

size_t QuorumSize(const Consensus& s) { return s.members.voters.size() / 2 + 1; }

void AddNotice(Context& c, NoticeKind kind, std::string details) {
  c.ready.notices.push_back({kind, std::move(details)});
}

// Adds a Progress for each new peer and marks the peers that are no longer members.
void UpdateProgressHosts(Context& c) {
  for (const std::set<HostId>* hosts : {&c.s.members.voters, &c.s.members.learners}) {
    for (const HostId& host : *hosts) {
      if (host == c.s.self) continue;
      auto [it, added] = c.s.progress.try_emplace(host);
      if (added) it->second.next = LastIndex(c.s) + 1;
      it->second.removed_at.reset();
    }
  }
  for (auto& [host, progress] : c.s.progress) {
    if (!IsMember(c.s.members, host) && !progress.removed_at) progress.removed_at = c.now;
  }
}

// Reloads the member set after the log has changed, and reports a difference.
void UpdateMembers(Context& c) {
  MemberSet before = c.s.members;
  LoadMembersFromLog(&c.s);
  if (before == c.s.members) return;
  AddNotice(c, NoticeKind::kMembersChanged, FormatMembers(c.s.members));
  if (c.s.role == Role::kLeader) UpdateProgressHosts(c);
}

void AppendEntry(Context& c, LogEntry entry) {
  bool changes_members = entry.kind == EntryKind::kMembers;
  c.ready.append.push_back(entry);
  c.s.log.push_back(std::move(entry));
  if (changes_members) UpdateMembers(c);
}

// Appends a new entry of the current term on the leader.
LogEntry& AppendNewEntry(Context& c, EntryKind kind, std::string data) {
  LogEntry entry;
  entry.index = LastIndex(c.s) + 1;
  entry.term = c.s.hard_state.term;
  entry.kind = kind;
  entry.data = std::move(data);
  AppendEntry(c, std::move(entry));
  return c.s.log.back();
}

void TruncateFrom(Context& c, uint64_t index) {
  if (index <= c.s.hard_state.commit) {
    throw Error(ErrorKind::kInternal, "log conflict with the leader at a committed entry");
  }
  c.s.log.resize(index - c.s.base_index - 1);
  c.s.durable_index = std::min(c.s.durable_index, index - 1);
  UpdateMembers(c);
}

// ---- sending

template <typename Body>
void SendWithTerm(Context& c, const HostId& to, uint64_t term, Body body) {
  ConsensusMessage message;
  message.from = c.s.self;
  message.to = to;
  message.term = term;
  message.body = std::move(body);
  c.ready.send.push_back(std::move(message));
}

template <typename Body>
void Send(Context& c, const HostId& to, Body body) {
  SendWithTerm(c, to, c.s.hard_state.term, std::move(body));
}

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

void SendHeartbeatOnly(Context& c, const HostId& to) {
  // With prev_index 0 the log matching check always succeeds.
  AppendRequest request;
  request.sent_at = c.now;
  Send(c, to, std::move(request));
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

// ---- time

// A uniformly random time between `min_delay` and `min_delay + max_extra` from now.
Time RandomDeadline(Context& c, Duration min_delay, Duration max_extra) {
  std::uniform_int_distribution<int64_t> extra(0, max_extra.count());
  return c.now + min_delay + microseconds(extra(c.rng));
}

Time NextElectionDeadline(Context& c) {
  return RandomDeadline(c, kMinElectionTimeout, kMaxElectionTimeout - kMinElectionTimeout);
}

// The latest time T for which a quorum of voters has acknowledged a message sent at T or later.
// This host counts with `now`, every other voter with at least `baseline`.
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

// ---- commit

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

void SetCommit(Context& c, uint64_t commit) {
  if (commit <= c.s.hard_state.commit) return;
  c.s.hard_state.commit = commit;
  c.ready.hard_state_changed = true;
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

void ApplyRejoin(Context& c, const LogEntry& entry) {
  ByteReader reader(entry.data);
  HostId host(reader.String());
  std::string disk_id = reader.String();
  if (host != c.s.self) {
    c.s.hard_state.peer_disk_ids[host] = kRejoinedPrefix + disk_id;
    c.ready.hard_state_changed = true;
  } else if (disk_id == c.s.hard_state.disk_id && !c.s.hard_state.confirmed) {
    c.s.hard_state.confirmed = true;
    c.s.disk_lost = false;
    c.ready.hard_state_changed = true;
    AddNotice(c, NoticeKind::kConfirmed,
              "rejoin committed at index " + std::to_string(entry.index));
  }
}

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

// ---- roles

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

// ---- lost disks

void SendHellos(Context& c) {
  if (c.now < c.s.hello_due) return;
  c.s.hello_due = c.now + kHelloInterval;
  std::set<HostId> hosts = c.s.members.voters;
  if (!c.s.leader.empty()) hosts.insert(c.s.leader);
  for (const HostId& host : hosts) {
    if (host != c.s.self) Send(c, host, Hello{c.s.hard_state.disk_id});
  }
}

// Confirms the disk at the first start of a deployment, once every other voter has replied that it
// is new as well or that it knows this disk.
void MaybeConfirmFirstStart(Context& c) {
  if (c.s.hard_state.confirmed || !c.s.hard_state.may_bootstrap || LastIndex(c.s) != 0) return;
  if (c.s.members.voters.count(c.s.self) == 0) return;
  for (const HostId& host : c.s.members.voters) {
    if (host == c.s.self) continue;
    auto found = c.s.hello_replies.find(host);
    if (found == c.s.hello_replies.end()) return;
    if (!found->second.is_new && found->second.known_disk_id != c.s.hard_state.disk_id) return;
  }
  c.s.hard_state.confirmed = true;
  for (const auto& [host, reply] : c.s.hello_replies)
    c.s.hard_state.peer_disk_ids[host] = reply.disk_id;
  c.ready.hard_state_changed = true;
  // This disk has never helped to elect a leader, so no lease can depend on it and this host need
  // not wait for kMinElectionTimeout.
  c.s.last_leader_contact = c.now - kMinElectionTimeout;
  c.s.election_due = RandomDeadline(c, Duration(0), kMaxFirstElectionDelay);
  AddNotice(c, NoticeKind::kConfirmed, "confirmed at the first start");
}

// Proposes the kRejoin entry that confirms `disk_id` on `host`.
void MaybeProposeRejoin(Context& c, const HostId& host, const std::string& disk_id) {
  if (c.s.role != Role::kLeader || !CanPropose(c.s) || !IsMember(c.s.members, host)) return;
  auto found = c.s.progress.find(host);
  if (found == c.s.progress.end()) return;
  Progress& progress = found->second;
  // A host that is far behind would receive the entry as part of a snapshot and not apply it.
  if (progress.confirmed || progress.match + kMaxAppendEntries < c.s.hard_state.commit) return;
  if (progress.match < c.s.base_index) return;
  bool proposed_recently = progress.rejoin_proposed_at != Time() &&
                           c.now - progress.rejoin_proposed_at < kRejoinRetryInterval;
  if (proposed_recently) return;
  progress.rejoin_proposed_at = c.now;
  ByteWriter writer;
  writer.String(host.value());
  writer.String(disk_id);
  AppendNewEntry(c, EntryKind::kRejoin, writer.Take());
  Broadcast(c);
}

// ---- messages

bool IsUpToDate(const Consensus& s, const VoteRequest& request) {
  return std::make_pair(request.last_term, request.last_index) >=
         std::make_pair(LastTerm(s), LastIndex(s));
}

// Whether a leader may hold a lease that granting a vote would violate. On the leader itself:
// whether it has heard from a quorum recently.
bool LeaderMayHoldLease(const Consensus& s, Time now) {
  if (s.role == Role::kLeader) return LeaderHasQuorum(s, now);
  return now - s.last_leader_contact < kMinElectionTimeout;
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

void RecordLeaderContact(Context& c, const HostId& leader) {
  BecomeFollower(c, c.s.hard_state.term, leader);
  c.s.last_leader_contact = c.now;
  c.s.election_due = NextElectionDeadline(c);
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

// Where the leader should look for the last matching entry: before all entries of the term that
// conflicts at `prev_index`.
uint64_t ConflictHint(const Consensus& s, uint64_t prev_index) {
  if (prev_index > LastIndex(s)) return LastIndex(s);
  uint64_t term = *TermAt(s, prev_index);
  uint64_t hint = prev_index;
  while (hint > s.base_index && hint > s.hard_state.commit && TermAt(s, hint) == term) --hint;
  return hint;
}

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

void OnHello(Context& c, const ConsensusMessage& m, const Hello& hello) {
  HelloReply reply;
  reply.hello_disk_id = hello.disk_id;
  reply.disk_id = c.s.hard_state.disk_id;
  reply.is_new = !c.s.hard_state.confirmed && LastIndex(c.s) == 0 && c.s.hard_state.may_bootstrap;
  auto known = c.s.hard_state.peer_disk_ids.find(m.from);
  if (known != c.s.hard_state.peer_disk_ids.end()) reply.known_disk_id = known->second;
  Send(c, m.from, reply);
  MaybeProposeRejoin(c, m.from, hello.disk_id);
}

void OnHelloReply(Context& c, const ConsensusMessage& m, const HelloReply& reply) {
  if (c.s.hard_state.confirmed || reply.hello_disk_id != c.s.hard_state.disk_id) return;
  c.s.hello_replies[m.from] = reply;
  bool other_disk = !reply.known_disk_id.empty() && reply.known_disk_id != c.s.hard_state.disk_id &&
                    reply.known_disk_id != kRejoinedPrefix + c.s.hard_state.disk_id;
  if (other_disk && !c.s.disk_lost) {
    c.s.disk_lost = true;
    AddNotice(c, NoticeKind::kDiskLost, "another disk is recorded on " + m.from.value());
  }
  MaybeConfirmFirstStart(c);
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

void FinishReady(Context& c) {
  DeliverCommitted(c);
  c.ready.mark = {LastIndex(c.s), LastTerm(c.s), c.s.hard_state.commit};
}

// ---- periodic work of the leader

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

void DropRemovedHosts(Context& c) {
  for (auto it = c.s.progress.begin(); it != c.s.progress.end();) {
    bool expired =
        it->second.removed_at && c.now - *it->second.removed_at > kRemovedMemberRetention;
    it = expired ? c.s.progress.erase(it) : std::next(it);
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

// ---- public interface

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

void TakeSnapshot(Consensus* state, uint64_t index, std::shared_ptr<const std::string> snapshot,
                  uint64_t keep) {
  bool valid_index = index <= state->delivered_index && index > state->snapshot_index;
  if (!valid_index || state->restore_pending) return;
  uint64_t base = std::max(state->base_index, index > keep ? index - keep : 0);
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
