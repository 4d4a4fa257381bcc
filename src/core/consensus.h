#ifndef EBONYLIFT_CORE_CONSENSUS_H_
#define EBONYLIFT_CORE_CONSENSUS_H_

// Raft consensus for the configuration log, implemented as a pure state machine without I/O.
//
// Every input function takes the state, an input and the current time, and those that may draw
// random timeouts also a random source. It returns a Ready: what to persist, what to send and what
// was committed. The caller must
//  1. write the hard state, `append` and, if `persist_all` is set, the full state to the journal,
//     in the order in which the Readys were returned;
//  2. send the messages of a Ready only after everything persisted for it and for earlier Readys is
//     durable;
//  3. call OnPersisted() with `mark` once it is. Committed entries are returned for application
//     only then, so that a restarted host never serves older state than it served before.
//
// Elections. A voter that has heard from a leader within kMinElectionTimeout grants neither a
// pre-vote nor a vote. The start of the process counts as such contact. A leader that has not heard
// from a quorum for that time steps down (check-quorum). Pre-vote prevents a voter that returns
// from a partition from raising the term.
//
// Leases. A leader may serve reads locally while a quorum has acknowledged messages that it sent
// less than kLease ago by its own clock. A voter that acknowledged a message elects no other leader
// for kMinElectionTimeout after receiving it, which was after it was sent. kLease is 10% shorter
// than kMinElectionTimeout to tolerate clocks that run at different rates.
//
// Lost disks. Each disk has a random ID. A voter with an empty disk is unconfirmed: it neither
// votes nor counts towards a commit. It sends Hello to its peers and becomes confirmed
//  - at the first start of a deployment, when every other voter has replied that it is new as well
//    or that it knows this disk, or
//  - otherwise, when it applies a committed kRejoin entry with the ID of its disk. The leader
//    proposes that entry in response to the Hello, and the commit does not count this voter. So
//    every committed entry that the lost disk had acknowledged is on the new disk, and a candidate
//    that collected a vote of the lost disk can no longer win, because the quorum that holds the
//    entry rejects it.
//
// Membership. One change at a time, which takes effect as soon as it is appended. A learner becomes
// a voter when it is confirmed and has every committed entry. The first entry of each term contains
// the member set, so that a host that starts with an empty log learns it.
//
// The messages and the stored state are in consensus_messages.h. The other headers consensus_*.h
// are internal: members, log, sending, roles, election, replication, snapshots and disks.
//
// Memory: the log after the base (the caller compacts it with TakeSnapshot()), one snapshot, one
// partially received snapshot and one Progress per member.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/consensus_messages.h"

namespace ebonylift {

constexpr Duration kHeartbeatInterval = milliseconds(250);
constexpr Duration kMinElectionTimeout = milliseconds(1'500);
constexpr Duration kMaxElectionTimeout = milliseconds(3'000);
// A host that did not win an election retries after one to two times this interval. Each attempt
// starts with a pre-vote, which changes no term and so does not disrupt a leader.
constexpr Duration kVoteRetryInterval = milliseconds(400);
constexpr Duration kLease = milliseconds(1'350);
constexpr Duration kHelloInterval = milliseconds(500);
constexpr Duration kSnapshotResendInterval = milliseconds(2'000);
// How long the leader still sends the log to a removed member.
constexpr Duration kRemovedMemberRetention = seconds(30);
constexpr size_t kMaxAppendBytes = 1 << 20;
constexpr size_t kMaxAppendEntries = 256;
constexpr uint64_t kMaxUnacknowledgedEntries = 4'096;  // entries sent but not yet acknowledged
constexpr size_t kSnapshotChunkBytes = 512 << 10;

// ---- state

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// The leader's view of one peer.
struct Progress {
  uint64_t next = 1;
  uint64_t match = 0;            // last index known to match the peer's log
  uint64_t confirmed_match = 0;  // last index acknowledged while confirmed; counts towards commits
  bool confirmed = false;        // as of the newest reply
  Time last_acked_sent_at;       // send time of the newest acknowledged message; epoch: none
  Time rejoin_proposed_at;
  bool sending_snapshot = false;
  uint64_t snapshot_offset = 0;
  Time snapshot_sent_at;
  std::optional<Time> removed_at;  // set when the peer stops being a member
};

struct Consensus {
  HostId self;
  HardState hard_state;

  // The log after `base_index`. The snapshot covers the entries up to `snapshot_index`, which is at
  // or after the base.
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  MemberSet base_members;
  std::deque<LogEntry> log;
  uint64_t snapshot_index = 0;
  std::shared_ptr<const std::string> snapshot;  // null: none

  // Volatile state, rebuilt after a restart.
  Role role = Role::kFollower;
  HostId leader;  // empty: unknown
  MemberSet members;
  uint64_t members_index = 0;
  uint64_t durable_index = 0;   // last log index that is durable on this host
  uint64_t durable_commit = 0;  // the newest `hard_state.commit` that is durable on this host
  // Last index returned in Ready::committed or covered by Ready::restored_snapshot.
  uint64_t delivered_index = 0;
  // When the last message from a leader arrived; initially the start of the process.
  Time last_leader_contact;
  Time election_due;
  Time heartbeat_due;
  Time hello_due;
  Time leader_since;
  uint64_t term_start = 0;         // leader: index of the first entry of its term
  std::set<HostId> votes_granted;  // candidate or pre-candidate: hosts that granted their vote
  std::map<HostId, Progress> progress;
  std::map<HostId, HelloReply> hello_replies;
  bool may_bootstrap = true;  // not used; see HardState::may_bootstrap
  bool disk_lost = false;     // a peer has recorded another disk ID for this host
  // An installed snapshot is not yet returned in Ready::restored_snapshot.
  bool restore_pending = false;
  std::string partial_snapshot;  // bytes received so far of a snapshot in transfer
  uint64_t partial_snapshot_index = 0;
  uint64_t partial_snapshot_term = 0;
};

// Identifies the log state that becomes durable when the writes of a Ready complete.
struct PersistMark {
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  uint64_t commit = 0;
};

// State changes that the caller reports.
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
  std::string details;  // for logs
};

struct Ready {
  bool hard_state_changed = false;  // persist `Consensus::hard_state`
  std::vector<LogEntry> append;     // persist; replaces the log from append[0].index on
  bool persist_all = false;  // persist the full state (ToPersisted()): a snapshot was installed
  PersistMark mark;
  std::vector<ConsensusMessage> send;
  // To be applied in this order: first the snapshot if there is one, then the entries.
  std::shared_ptr<const std::string> restored_snapshot;
  std::vector<LogEntry> committed;
  std::vector<Notice> notices;

  bool NeedsPersist() const { return hard_state_changed || !append.empty() || persist_all; }
};

// ---- operations

// Creates the state of a host with an empty disk. `voters` is the initial set of the deployment and
// `disk_id` a new random ID. `may_bootstrap` is false on a host that is known to have lost its
// disk: it is then never confirmed by the first-start check. The caller makes ToPersisted() durable
// before the first Tick().
Consensus NewConsensus(const HostId& self, const std::set<HostId>& voters,
                       const std::string& disk_id, bool may_bootstrap, Time now,
                       std::mt19937_64& rng);

// Restores the state after a restart.
Consensus RestoreConsensus(const HostId& self, PersistedState persisted, Time now,
                           std::mt19937_64& rng);

// Handles a message from a peer.
Ready Step(Consensus* state, const ConsensusMessage& message, Time now, std::mt19937_64& rng);
// Runs timers: heartbeats, elections and Hello messages.
Ready Tick(Consensus* state, Time now, std::mt19937_64& rng);

// Records that everything up to the Ready with this mark is durable. Marks are passed in the order
// of the Readys.
Ready OnPersisted(Consensus* state, const PersistMark& mark, Time now, std::mt19937_64& rng);

struct Proposal {
  uint64_t index = 0;
  uint64_t term = 0;
  Ready ready;
};
// Appends an entry. Returns nullopt unless CanPropose().
std::optional<Proposal> Propose(Consensus* state, EntryKind kind, std::string data, Time now);

// Proposes a member set whose voters differ from the current ones by at most one host. Returns
// nullopt for a larger difference, for a set without voters, while an earlier membership change is
// uncommitted, and unless CanPropose().
std::optional<Proposal> ProposeMembers(Consensus* state, const MemberSet& members, Time now);

// Whether this host is a leader that has committed an entry of its own term and so knows every
// committed entry.
bool CanPropose(const Consensus& state);

// Whether this host is a leader that may serve linearizable reads locally, once it has applied the
// entries up to ReadIndex().
bool LeaseValid(const Consensus& state, Time now);
// The index up to which entries must be applied before a read is served. Precondition: this host is
// the leader.
uint64_t ReadIndex(const Consensus& state);

// Whether this host is a confirmed voter.
bool IsVoter(const Consensus& state);
uint64_t LastIndex(const Consensus& state);

// Replaces the log up to `index` by a snapshot of its effect, but keeps the last of those entries,
// at most `keep` and `keep_bytes` of them, for peers that are slightly behind. Does nothing unless
// `index` has been returned as committed and is after the current snapshot, or while
// `restore_pending` is set. The caller persists the full state (ToPersisted()) next.
void TakeSnapshot(Consensus* state, uint64_t index, std::shared_ptr<const std::string> snapshot,
                  uint64_t keep, size_t keep_bytes);

PersistedState ToPersisted(const Consensus& state);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONSENSUS_H_
