#ifndef EBONYLIFT_CORE_RECORDS_H_
#define EBONYLIFT_CORE_RECORDS_H_

// Idempotency records of the keys that this host owns.
//
// Contract:
// - Of all claims of one (team, key) within kRecordRetention, at most one is answered kNew until
//   that claim is released. So the work runs at most once, also over restarts, if the caller keeps
//   to the order: Claim(), journal its entry and wait for the sync, MarkDispatched(), dispatch,
//   Complete(), journal its entry and wait for the sync, answer.
// - Release() is allowed only before MarkDispatched(). It is refused afterwards.
// - Replay() makes each claim without completion and without release kUnknown: it is never run
//   again.
// - The journal keeps the order of calls, so a journal entry whose append failed needs no undo
//   beyond Release() in memory: a claim that appears in a later replay although its append failed
//   only makes the key kUnknown.
// - A second caller may get a completed answer before its entry is synced. After a crash in that
//   moment, the same key answers kOutcomeUnknown; it does not run again.
//
// Expiry uses wall milliseconds because it spans restarts.
// Not thread safe: the caller serialises all calls on one Records. No errors are thrown.
// Memory: kMaxRecords records with keys of at most kMaxKeyBytes; answers of at most kMaxAnswerBytes
// each and kMaxAnswersBytes together. Claims are refused before the bound is reached; an answer
// that no longer fits is kept as its hash only.

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
constexpr size_t kMaxAnswersBytes = 256u << 20;
// Claims stop this far below kMaxAnswersBytes, so that the answers of running requests still fit.
constexpr size_t kAnswersReserveBytes = 32u << 20;
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

// A complete answer as it is sent again.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  friend bool operator==(const StoredAnswer& a, const StoredAnswer& b) {
    return std::tie(a.status, a.headers, a.body) == std::tie(b.status, b.headers, b.body);
  }
};

enum class RecordState { kClaimed, kDispatched, kCompleted, kUnknown };

struct Record {
  RecordState state = RecordState::kClaimed;
  uint64_t body_hash = 0;
  uint64_t claim = 0;  // names the claim; a later claim of a released key has another number
  WallMillis expires_at = 0;
  std::shared_ptr<const StoredAnswer> answer;  // kCompleted; null when it was not kept
  uint64_t answer_hash = 0;                    // of the body, kCompleted
};

// A change of record_hosts after which keys of other owners are refused for a time.
struct OwnershipChange {
  std::vector<HostId> previous;
  WallMillis refuse_until = 0;
};

struct Records {
  HostId self;
  std::unordered_map<RecordKey, Record, RecordKeyHash> records;
  // In the order of the claims; pairs of released claims are skipped and removed once they are as
  // many as the records.
  std::deque<std::pair<WallMillis, RecordKey>> expiry;
  std::vector<OwnershipChange> changes;  // at most kMaxOwnershipChanges
  WallMillis refuse_until = 0;           // the disk was lost; see RefuseClaims()
  uint64_t next_claim = 1;
  size_t answers_bytes = 0;
};

// The owner of a key among `record_hosts` by rendezvous hashing: the same on every host for the
// same set, in any order. Empty when there are no record hosts.
HostId Owner(const RecordKey& key, const std::vector<HostId>& record_hosts);

enum class ClaimKind {
  kNew,             // journal `entry`, then MarkDispatched()
  kInProgress,      // another claim runs
  kCompleted,       // send `answer` again
  kOutcomeUnknown,  // `run`: kMayHaveRun, or kRan when the answer was not kept
  kKeyConflict,     // the key was used with another body
  kOverloaded,      // a bound is reached
  kNotOwned,        // the key's previous owner may have run it, or the disk was lost
  kInvalidKey,      // empty or over kMaxKeyBytes
};

struct ClaimResult {
  ClaimKind kind = ClaimKind::kOverloaded;
  uint64_t claim = 0;                          // kNew
  std::string entry;                           // kNew: for the journal
  std::shared_ptr<const StoredAnswer> answer;  // kCompleted
  Run run = Run::kNotRun;
  WallMillis expires_at = 0;  // when the record ends; for kNotOwned, when claims are taken again
};

// The error of a claim that is not kNew and not kCompleted.
ErrorKind ClaimError(ClaimKind kind);

// `body_hash` is the hash of everything that must be equal for a resend (route and body).
ClaimResult Claim(Records& records, const RecordKey& key, uint64_t body_hash, WallMillis now);

// False when the claim is not the current one or not in state kClaimed: don't dispatch.
bool MarkDispatched(Records& records, const RecordKey& key, uint64_t claim);

// Stores the answer and returns the journal entry; empty when the claim is not current or is
// already completed. Also completes a claim that was never marked as dispatched.
std::string Complete(Records& records, const RecordKey& key, uint64_t claim, StoredAnswer answer,
                     WallMillis now);

// The work was dispatched and its outcome will never be known: later claims get kOutcomeUnknown.
// Nothing to journal. False when the claim is not current or is completed.
bool MarkUnknown(Records& records, const RecordKey& key, uint64_t claim);

// The request ended and no work was dispatched, or the backend server confirmed with `not_run` that
// the dispatched attempt never started (`confirmed_not_run`). Returns the journal entry; empty,
// with no change, when the claim is not current, is completed, or was dispatched unconfirmed.
std::string Release(Records& records, const RecordKey& key, uint64_t claim,
                    bool confirmed_not_run = false);

// Forgets records past their retention, except those of running requests. Returns how many.
size_t Expire(Records& records, WallMillis now);

// The configured record hosts changed. Claims of keys whose owner among `previous` was another host
// are refused for kRecordRetention, unless `takeover`, which also ends an earlier refusal
// because of the same `previous`. Returns the journal entry.
std::string OnRecordHostsChanged(Records& records, const std::vector<HostId>& previous,
                                 bool takeover, WallMillis now);

// The journal was lost: refuses claims until `until`, or takes them again with 0 (an operator
// confirmed). Returns the journal entry.
std::string RefuseClaims(Records& records, WallMillis until);

// Applies one journal entry or snapshot, in order. False when the bytes are not of this module (the
// first byte of all entries and snapshots of this module is 'R') or are malformed. Precondition: no
// Claim() yet; call FinishReplay() after the last one.
bool Replay(Records& records, std::string_view entry);

struct ReplaySummary {
  size_t records = 0;
  size_t unknown = 0;
};

// Turns claims without completion into kUnknown and drops expired records.
ReplaySummary FinishReplay(Records& records, WallMillis now);

// The whole state as one entry for Journal::Compact(). Open claims are kept as claims.
std::string EncodeSnapshot(const Records& records);

// An answer in the form of the journal, for modules that store one. ReadAnswer: null when the input
// says so or is malformed (see EntryReader::ok()).
class EntryReader;
void AppendAnswer(std::string& out, const StoredAnswer* answer);
std::shared_ptr<const StoredAnswer> ReadAnswer(EntryReader& in);
size_t AnswerBytes(const StoredAnswer& answer);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_RECORDS_H_
