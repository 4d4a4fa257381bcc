#ifndef EBONYLIFT_CORE_RECORDS_H_
#define EBONYLIFT_CORE_RECORDS_H_

// Idempotency records of the keys that this host owns. A request claims its key before it runs; a
// resend with the same key receives the stored answer instead of running again.
//
// Contract:
// - Of all claims of one (team, key) within kRecordRetention, at most one returns kNew, unless that
//   claim is released. The work therefore runs at most once, also across restarts, if the caller
//   keeps this order: Claim(); append its entry to the journal and wait for the sync;
//   MarkDispatched(); dispatch; Complete(); append its entry and wait for the sync; answer.
// - Release() succeeds only before MarkDispatched(), or if the backend server confirmed that the
//   attempt did not run.
// - Replay() and FinishReplay() turn each claim that was neither completed nor released into
//   kUnknown, which never runs again.
// - The journal keeps the order of the calls, so after a failed append a Release() in memory is
//   enough: if the claim turns up in a later replay nevertheless, its key only becomes kUnknown.
// - A second caller may receive a completed answer before its entry is synced. If the host crashes
//   at that moment, later claims of the key return kOutcomeUnknown, and the work does not run
//   again.
//
// Expiry times are wall-clock milliseconds because they must hold across restarts.
// Not thread safe: the caller serialises all calls on one Records. Throws nothing.
// Memory: kMaxRecords records with keys of at most kMaxKeyBytes; answers of at most kMaxAnswerBytes
// each and kMaxTotalAnswerBytes together. New claims are refused before these limits are reached.
// Of an answer that does not fit, only the hash is kept.

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

constexpr WallMillis kRecordRetention = 24LL * 3600 * 1000;
constexpr size_t kMaxRecords = 1'000'000;
constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxAnswerBytes = 1u << 20;
constexpr size_t kMaxTotalAnswerBytes = 256u << 20;
// New claims are refused this far below kMaxTotalAnswerBytes, so that the answers of running
// requests still fit.
constexpr size_t kReservedAnswerBytes = 32u << 20;
constexpr size_t kMaxOwnershipChanges = 16;

struct RecordKey {
  TeamId team;
  std::string key;
  friend bool operator==(const RecordKey& a, const RecordKey& b) {
    return std::tie(a.team, a.key) == std::tie(b.team, b.key);
  }
};

struct RecordKeyHash {
  size_t operator()(const RecordKey& key) const {
    return Hash64(key.key, Hash64(key.team.value()));
  }
};

// A complete answer, stored to be sent again to a caller that resends its request.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  friend bool operator==(const StoredAnswer& a, const StoredAnswer& b) {
    return std::tie(a.status, a.headers, a.body) == std::tie(b.status, b.headers, b.body);
  }
};

// kUnknown: the work may have run, and its outcome will not be known.
enum class RecordState { kClaimed, kDispatched, kCompleted, kUnknown };

struct Record {
  RecordState state = RecordState::kClaimed;
  uint64_t body_hash = 0;
  uint64_t claim_id = 0;  // identifies the claim; a later claim of a released key has another id
  WallMillis expires_at = 0;
  std::shared_ptr<const StoredAnswer> answer;  // kCompleted; null if it was too large to keep
  uint64_t answer_hash = 0;                    // kCompleted: hash of the body of the answer
};

// A change of record_hosts. Until `refuse_until`, claims are refused for keys that another host
// owned before the change, because that host may have run them.
struct OwnershipChange {
  std::vector<HostId> previous;
  WallMillis refuse_until = 0;
};

struct Records {
  HostId self;
  std::unordered_map<RecordKey, Record, RecordKeyHash> records;
  // Expiry times in the order of the claims. Entries of released claims are skipped, and removed
  // once the queue is more than twice as long as `records`.
  std::deque<std::pair<WallMillis, RecordKey>> expiry_queue;
  std::vector<OwnershipChange> ownership_changes;  // at most kMaxOwnershipChanges
  WallMillis refuse_until = 0;                     // no new claims until then; see RefuseClaims()
  uint64_t next_claim_id = 1;
  size_t total_answer_bytes = 0;
};

// Selects the owner of a key among `record_hosts` by rendezvous hashing: every host selects the
// same owner for the same set of hosts, in any order. Returns an empty id if there are no record
// hosts.
HostId SelectOwner(const RecordKey& key, const std::vector<HostId>& record_hosts);

enum class ClaimKind {
  kNew,             // append `entry` to the journal, then call MarkDispatched()
  kInProgress,      // the request of another claim of the key is running
  kCompleted,       // answer the resend with `answer`
  kOutcomeUnknown,  // `run` is kMayHaveRun, or kRan if it completed but the answer was not kept
  kKeyConflict,     // the key was used for another request, by `body_hash`
  kOverloaded,      // a memory limit is reached
  kNotOwned,        // the key's previous owner may have run it, or this host lost its disk
  kInvalidKey,      // empty or over kMaxKeyBytes
};

struct ClaimResult {
  ClaimKind kind = ClaimKind::kOverloaded;
  uint64_t claim_id = 0;                       // kNew
  std::string entry;                           // kNew: to append to the journal
  std::shared_ptr<const StoredAnswer> answer;  // kCompleted
  Run run = Run::kNotRun;
  WallMillis expires_at = 0;  // when the record expires; for kNotOwned, when claims are accepted
};

// Returns the error for a claim that is neither kNew nor kCompleted.
ErrorKind ClaimError(ClaimKind kind);

// Claims the key for a new request, or returns the state of its earlier claim. `body_hash` is the
// hash of everything that must be equal in a resend: the route and the body.
ClaimResult Claim(Records& records, const RecordKey& key, uint64_t body_hash, WallMillis now);

// Returns false if the claim is not the current one of its key or not in state kClaimed. The caller
// must then not dispatch the request.
bool MarkDispatched(Records& records, const RecordKey& key, uint64_t claim_id);

// Stores the answer and returns the journal entry, which is empty if the claim is not the current
// one or is already completed. Also completes a claim that was never marked as dispatched.
std::string Complete(Records& records, const RecordKey& key, uint64_t claim_id, StoredAnswer answer,
                     WallMillis now);

// Records that the work was dispatched and its outcome will not be known: later claims return
// kOutcomeUnknown. Needs no journal entry, because a replay has the same effect. Returns false if
// the claim is not the current one or is completed.
bool MarkUnknown(Records& records, const RecordKey& key, uint64_t claim_id);

// Frees the key after a request that ended without running: nothing was dispatched or, with
// `confirmed_not_run`, the backend server confirmed by `not_run` that the dispatched attempt never
// started. Returns the journal entry. Changes nothing and returns an empty string if the claim is
// not the current one, is completed, or was dispatched without this confirmation.
std::string Release(Records& records, const RecordKey& key, uint64_t claim_id,
                    bool confirmed_not_run = false);

// Removes expired records and returns how many. Records of running requests are extended instead.
size_t Expire(Records& records, WallMillis now);

// Handles a change of the configured record hosts from `previous`. Claims of keys that another host
// owned among `previous` are refused for kRecordRetention. With `takeover` they are accepted at
// once, and an earlier refusal for the same `previous` ends. Returns the journal entry.
std::string OnRecordHostsChanged(Records& records, const std::vector<HostId>& previous,
                                 bool takeover, WallMillis now);

// Refuses all claims of new keys until `until`, for a journal that was lost. With 0, accepts claims
// again, for an operator who confirmed that no key of the lost journal is used again. Returns the
// journal entry.
std::string RefuseClaims(Records& records, WallMillis until);

// Applies one journal entry or snapshot. Call it in the order of the journal and before the first
// Claim(), then call FinishReplay(). Returns false if the bytes are malformed or do not belong to
// this module, whose entries and snapshots all start with the byte 'R'.
bool Replay(Records& records, std::string_view entry);

struct ReplaySummary {
  size_t records = 0;
  size_t unknown = 0;
};

// Turns claims that were not completed into kUnknown and removes expired records.
ReplaySummary FinishReplay(Records& records, WallMillis now);

// Encodes the whole state as one entry for Journal::Compact(). Claims that are neither completed
// nor released stay claims.
std::string EncodeSnapshot(const Records& records);

// Encode and decode an answer in the format of the journal, also for other modules that store one.
// ReadAnswer() returns null if null was encoded. For malformed input, its result is null or
// incomplete and NonThrowingReader::ok() is false.
class NonThrowingReader;
void AppendAnswer(std::string& out, const StoredAnswer* answer);
std::shared_ptr<const StoredAnswer> ReadAnswer(NonThrowingReader& in);
size_t AnswerSize(const StoredAnswer& answer);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_RECORDS_H_
