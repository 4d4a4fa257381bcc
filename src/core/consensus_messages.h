#ifndef EBONYLIFT_CORE_CONSENSUS_MESSAGES_H_
#define EBONYLIFT_CORE_CONSENSUS_MESSAGES_H_

// What the consensus (core/consensus.h) sends to other hosts and stores in the journal, and the
// encoding of both.
//
// All functions are thread safe. The Decode functions throw Error(kBadRequest) on malformed bytes.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

// ---- the log and the durable state

enum class EntryKind : uint8_t {
  kNoop,
  kPut,
  kMembers,
  kRejoin,
  kPutDifference,  // a put whose value is a difference (core/value_difference.h)
};

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

// State that must survive a restart in addition to the log.
struct HardState {
  uint64_t term = 0;
  HostId voted_for;     // empty: no vote in this term
  uint64_t commit = 0;  // last index known to be committed
  std::string disk_id;  // random ID of this disk
  bool confirmed = false;
  bool may_bootstrap = true;  // false: the host has lost an earlier disk, so this is no first start
  // Disk IDs of the peers, recorded at the first start and from committed kRejoin entries.
  std::map<HostId, std::string> peer_disk_ids;
};

// The full durable state.
struct PersistedState {
  HardState hard_state;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  MemberSet base_members;
  uint64_t snapshot_index = 0;
  std::shared_ptr<const std::string> snapshot;
  std::vector<LogEntry> log;
};

// ---- messages

struct VoteRequest {
  bool pre_vote = false;  // asks whether a vote would be granted; changes no state
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
  Time sent_at;  // by the leader's clock; echoed in the reply
  std::vector<LogEntry> entries;
};
struct AppendReply {
  bool ok = false;
  // If `ok`, entries up to here are durable and match the leader's log; otherwise a hint: the index
  // at which the leader should look for a match.
  uint64_t match = 0;
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
  uint64_t next_offset = 0;  // `total` if the snapshot is installed or not needed
  bool confirmed = false;
  Time sent_at;
};
struct Hello {
  std::string disk_id;
};
struct HelloReply {
  std::string hello_disk_id;  // echoes Hello::disk_id
  bool is_new = false;        // the replying host is itself at its first start
  std::string disk_id;        // of the replying host
  std::string known_disk_id;  // disk ID recorded for the host that sent the Hello; empty: none
};

struct ConsensusMessage {
  HostId from;
  HostId to;
  uint64_t term = 0;  // for a pre-vote request: the term that the sender would start
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
               Hello, HelloReply>
      body;
};

// ---- encoding

std::string EncodeMessage(const ConsensusMessage& message);
// Also rejects an append request whose entries are not consecutive.
ConsensusMessage DecodeMessage(std::string_view bytes);

std::string EncodeMembers(const MemberSet& members);
MemberSet DecodeMembers(std::string_view bytes);
std::string EncodeHardState(const HardState& hard_state);
HardState DecodeHardState(std::string_view bytes);
std::string EncodeEntries(const std::vector<LogEntry>& entries);
std::vector<LogEntry> DecodeEntries(std::string_view bytes);
std::string EncodePersisted(const PersistedState& state);
PersistedState DecodePersisted(std::string_view bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONSENSUS_MESSAGES_H_
