#ifndef EBONYLIFT_CORE_CONSENSUS_H_
#define EBONYLIFT_CORE_CONSENSUS_H_

// Raft as a pure state machine.
//
// Every function takes the state, an input, the time and a random source, and returns a Ready: what
// to write, what to send and what was committed. The caller must
//  1. write `hard`, `append` and `install` of each Ready to the journal, in the order of the
//  Readys;
//  2. send the messages of a Ready only after everything written for it and for earlier Readys is
//     durable;
//  3. call OnPersisted() with `mark` when it is. Committed entries are handed out only then, so
//  that
//     a host that restarts never serves less than it has served.
//
// Elections. A voter that has heard from a leader within kMinElectionTimeout grants neither a
// pre-vote nor a vote, also just after its own start. A leader that has not heard from a quorum for
// that time steps down (check-quorum). Pre-vote keeps a voter that returns from a partition from
// raising the term.
//
// Lease. A leader may answer reads while a quorum has acknowledged messages that it sent less than
// kLease ago by its own clock. Voters that acknowledged elect nobody for kMinElectionTimeout after
// they received the message, which was after it was sent; kLease is 10% shorter to allow for clocks
// of different speed.
//
// Lost disks. Each disk has a random name. A voter with an empty disk is unconfirmed: it neither
// votes nor counts for a commit. It sends Hello to its peers and becomes confirmed
//  - at the first start of a deployment, when every other voter answered that it is new as well or
//    that it knows this disk, or
//  - otherwise, when it applies a committed kRejoin entry with the name of its disk. The leader
//    proposes that entry after the Hello, and the commit does not count this voter. So every
//    entry that the lost disk had acknowledged and that was committed is on the new disk, and a
//    candidate that collected a vote of the lost disk can no longer win: the quorum that holds the
//    entry refuses it.
//
// Members. One change at a time, in force from the moment it is appended. A learner becomes a voter
// when it is confirmed and has every committed entry. The first entry of each term carries the
// members, so that a host that starts with an empty log learns them.
//
// Memory: the log after the base (the caller compacts it by TakeSnapshot), one snapshot, one partly
// received snapshot, one Progress for each member.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

constexpr Duration kHeartbeatInterval = milliseconds(250);
constexpr Duration kMinElectionTimeout = milliseconds(1'500);
constexpr Duration kMaxElectionTimeout = milliseconds(3'000);
// A host that asked for votes in vain asks again after this long and at most twice as long. It asks
// whether it would get them first, which changes no term, so that it disturbs no leader.
constexpr Duration kVoteRetryInterval = milliseconds(400);
constexpr Duration kLease = milliseconds(1'350);
constexpr Duration kHelloInterval = milliseconds(500);
constexpr Duration kSnapshotResendInterval = milliseconds(2'000);
constexpr Duration kRemovedMemberRetention = seconds(30);  // a removed member still gets the log
constexpr size_t kMaxAppendBytes = 1 << 20;
constexpr size_t kMaxAppendEntries = 256;
constexpr uint64_t kMaxUnacknowledgedEntries = 4'096;  // entries sent ahead of the acknowledgements
constexpr size_t kSnapshotChunkBytes = 512 << 10;

enum class EntryKind : uint8_t { kNoop, kPut, kMembers, kRejoin };

struct LogEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;
  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return std::tie(a.index, a.term, a.kind, a.data) == std::tie(b.index, b.term, b.kind, b.data);
  }
};

struct MemberSet {
  std::set<HostId> voters;
  std::set<HostId> learners;
  friend bool operator==(const MemberSet& a, const MemberSet& b) {
    return std::tie(a.voters, a.learners) == std::tie(b.voters, b.learners);
  }
  friend bool operator!=(const MemberSet& a, const MemberSet& b) { return !(a == b); }
};

// What must survive a restart beside the log.
struct HardState {
  uint64_t term = 0;
  HostId voted_for;     // empty: nobody in this term
  uint64_t commit = 0;  // entries up to here were handed out or are about to be
  std::string disk_id;  // random name of this disk
  bool confirmed = false;
  bool may_found = true;  // false: the host knows that an earlier disk of it was lost
  std::map<HostId, std::string> peer_disk_ids;  // names of the peers' disks at the first start
};

// ---- messages

struct VoteRequest {
  bool pre_vote = false;  // asks whether a vote would be granted; changes nothing
  uint64_t last_index = 0;
  uint64_t last_term = 0;
};
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
};
struct AppendRequest {
  uint64_t prev_index = 0;
  uint64_t prev_term = 0;
  uint64_t commit = 0;
  Time sent_at;  // the leader's clock; comes back in the reply
  std::vector<LogEntry> entries;
};
struct AppendReply {
  bool ok = false;
  uint64_t match = 0;  // ok: entries up to here are durable and equal; else: try from here
  bool confirmed = false;
  Time sent_at;
};
struct SnapshotChunk {
  uint64_t index = 0;
  uint64_t snapshot_term = 0;
  MemberSet members;
  uint64_t offset = 0;
  uint64_t total = 0;
  Time sent_at;
  std::string data;
};
struct SnapshotReply {
  uint64_t index = 0;
  uint64_t next_offset = 0;  // `total` when the snapshot is installed or not needed
  bool confirmed = false;
  Time sent_at;
};
struct Hello {
  std::string disk_id;
};
struct HelloReply {
  std::string hello_disk_id;  // of the Hello
  bool is_new = false;        // the replier is itself new
  std::string disk_id;        // of the replier
  std::string known_disk_id;  // what the replier knows of the asker; empty: nothing
};

struct ConsensusMessage {
  HostId from;
  HostId to;
  uint64_t term = 0;  // of a pre-vote request: the term the sender would start
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
               Hello, HelloReply>
      body;
};

std::string EncodeMessage(const ConsensusMessage& message);
// Throws Error(kBadRequest) on malformed bytes.
ConsensusMessage DecodeMessage(std::string_view bytes);

// ---- state

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct Progress {
  uint64_t next = 1;
  uint64_t match = 0;            // what the host has, for replication
  uint64_t confirmed_match = 0;  // what it acknowledged as a confirmed voter; counts for commits
  bool confirmed = false;        // in the newest reply
  Time last_acked_sent_at;       // when the newest acknowledged message was sent; epoch: never
  Time rejoin_proposed_at;
  bool sending_snapshot = false;
  uint64_t snapshot_offset = 0;
  Time snapshot_sent_at;
  std::optional<Time> removed_at;  // no longer a member
};

struct Consensus {
  HostId self;
  HardState hard;

  // The log after `base_index`. The snapshot is at or after the base.
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  MemberSet base_members;
  std::deque<LogEntry> log;
  uint64_t snapshot_index = 0;
  std::shared_ptr<const std::string> snapshot;  // null: none

  // Not durable.
  Role role = Role::kFollower;
  HostId leader;  // empty: not known
  MemberSet members;
  uint64_t members_index = 0;
  uint64_t durable_index = 0;   // log entries up to here are durable on this host
  uint64_t durable_commit = 0;  // the commit that is durable on this host
  uint64_t handed_out = 0;
  Time last_leader_contact;  // from a leader; the start of the process before
  Time election_due;
  Time heartbeat_due;
  Time hello_due;
  Time leader_since;
  uint64_t term_start = 0;         // leader: index of the first entry of its term
  std::set<HostId> votes_granted;  // candidate
  std::map<HostId, Progress> progress;
  std::map<HostId, HelloReply> hello_replies;
  bool may_found = true;         // false: the host knows that its disk was lost
  bool disk_lost = false;        // a peer knows this host with another disk
  bool restore_pending = false;  // an installed snapshot is not handed out yet
  std::string partial_snapshot;  // a partly received snapshot
  uint64_t partial_snapshot_index = 0;
  uint64_t partial_snapshot_term = 0;
};

// Names the state of the log that a write made durable.
struct PersistMark {
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  uint64_t commit = 0;
};

enum class NoticeKind {
  kElected,
  kSteppedDown,
  kTermChanged,
  kMembersChanged,
  kDiskLost,
  kConfirmed
};

struct Notice {
  NoticeKind kind;
  std::string text;  // for people
};

struct Ready {
  bool hard_changed = false;     // write `Consensus::hard`
  std::vector<LogEntry> append;  // write; replaces what the log has from append[0].index on
  bool install = false;          // write everything: a snapshot was installed
  PersistMark mark;
  std::vector<ConsensusMessage> send;
  // Hand out in this order: first the snapshot, then the entries.
  std::shared_ptr<const std::string> restored;
  std::vector<LogEntry> committed;
  std::vector<Notice> notices;

  bool NeedsPersist() const { return hard_changed || !append.empty() || install; }
};

// What a journal holds.
struct PersistedState {
  HardState hard;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  MemberSet base_members;
  uint64_t snapshot_index = 0;
  std::shared_ptr<const std::string> snapshot;
  std::vector<LogEntry> log;
};

// ---- functions

// A new host. `voters` is the set of the first start; `disk` is a new random name. `may_found` is
// false on a host that knows that it has lost its disk. The caller makes ToPersisted() durable
// before the first Tick().
Consensus NewConsensus(const HostId& self, const std::set<HostId>& voters,
                       const std::string& disk_id, bool may_found, Time now, std::mt19937_64& rng);

// After a restart.
Consensus RestoreConsensus(const HostId& self, PersistedState persisted, Time now,
                           std::mt19937_64& rng);

Ready Step(Consensus* state, const ConsensusMessage& message, Time now, std::mt19937_64& rng);
Ready Tick(Consensus* state, Time now, std::mt19937_64& rng);

// Everything up to the Ready with this mark is durable. Marks come in the order of the Readys.
Ready OnPersisted(Consensus* state, const PersistMark& mark, Time now, std::mt19937_64& rng);

// Appends an entry. nullopt when this host is not a leader that may propose (see CanPropose).
struct Proposal {
  uint64_t index = 0;
  uint64_t term = 0;
  Ready ready;
};
std::optional<Proposal> Propose(Consensus* state, EntryKind kind, std::string data, Time now);

// Proposes members that differ from the present ones by one host. nullopt also while another change
// is not committed.
std::optional<Proposal> ProposeMembers(Consensus* state, const MemberSet& members, Time now);

// The leader has committed an entry of its term, so it knows every committed entry.
bool CanPropose(const Consensus& state);

// A leader that may answer linearizable reads from what it has handed out up to ReadIndex().
bool LeaseValid(const Consensus& state, Time now);
// Precondition: the host is the leader.
uint64_t ReadIndex(const Consensus& state);

bool IsVoter(const Consensus& state);
uint64_t LastIndex(const Consensus& state);

// Puts a snapshot of the entries up to `index` in place of them; keeps the last `keep` entries for
// hosts that are a little behind. Precondition: `index` was handed out. The caller writes the whole
// state (ToPersisted) next.
void TakeSnapshot(Consensus* state, uint64_t index, std::shared_ptr<const std::string> snapshot,
                  uint64_t keep);

PersistedState ToPersisted(const Consensus& state);

std::string EncodeMembers(const MemberSet& members);
MemberSet DecodeMembers(std::string_view bytes);
std::string EncodeHard(const HardState& hard);
HardState DecodeHard(std::string_view bytes);
std::string EncodeEntries(const std::vector<LogEntry>& entries);
std::vector<LogEntry> DecodeEntries(std::string_view bytes);
std::string EncodePersisted(const PersistedState& state);
PersistedState DecodePersisted(std::string_view bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONSENSUS_H_
