#include "core/records.h"

#include <algorithm>
#include <iterator>

#include "core/bytes.h"

namespace ebonylift {
namespace {

constexpr char kModuleTag = 'R';
constexpr char kClaimEntry = 'C';
constexpr char kCompleteEntry = 'F';
constexpr char kReleaseEntry = 'X';
constexpr char kOwnershipEntry = 'O';
constexpr char kRefusalEntry = 'L';
constexpr char kSnapshotEntry = 'S';
// In a shorter queue, removing stale entries is not worth its cost.
constexpr size_t kMinExpiryQueueToPrune = 1'024;

std::string BeginEntry(char kind) { return {kModuleTag, kind}; }

bool IsRunning(const Record& record) {
  return record.state == RecordState::kClaimed || record.state == RecordState::kDispatched;
}

void PutKey(std::string& out, const RecordKey& key) {
  PutString(out, key.team.value());
  PutString(out, key.key);
}

RecordKey ReadKey(NonThrowingReader& in) {
  RecordKey key;
  key.team = TeamId(in.String());
  key.key = in.String();
  return key;
}

void PutHosts(std::string& out, const std::vector<HostId>& hosts) {
  PutInt(out, hosts.size());
  for (const HostId& host : hosts) PutString(out, host.value());
}

std::vector<HostId> ReadHosts(NonThrowingReader& in) {
  std::vector<HostId> hosts;
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) hosts.emplace_back(in.String());
  return hosts;
}

void PutRecord(std::string& out, const RecordKey& key, const Record& record) {
  PutKey(out, key);
  PutInt(out, static_cast<uint64_t>(record.state));
  PutInt(out, record.body_hash);
  PutInt(out, record.claim_id);
  PutInt(out, static_cast<uint64_t>(record.expires_at));
  PutInt(out, record.answer_hash);
  AppendAnswer(out, record.answer.get());
}

Record ReadRecord(NonThrowingReader& in) {
  Record record;
  uint64_t state = in.Int();
  // An unrecognised state is read as kUnknown, so that the work is not run again.
  record.state = state <= static_cast<uint64_t>(RecordState::kUnknown)
                     ? static_cast<RecordState>(state)
                     : RecordState::kUnknown;
  record.body_hash = in.Int();
  record.claim_id = in.Int();
  record.expires_at = static_cast<WallMillis>(in.Int());
  record.answer_hash = in.Int();
  record.answer = ReadAnswer(in);
  return record;
}

void PutOwnershipChange(std::string& out, const OwnershipChange& change) {
  PutInt(out, static_cast<uint64_t>(change.refuse_until));
  PutHosts(out, change.previous);
}

OwnershipChange ReadOwnershipChange(NonThrowingReader& in) {
  OwnershipChange change;
  change.refuse_until = static_cast<WallMillis>(in.Int());
  change.previous = ReadHosts(in);
  return change;
}

using RecordMap = decltype(Records::records);

void EraseRecord(Records& records, RecordMap::iterator position) {
  if (position->second.answer != nullptr) {
    records.total_answer_bytes -= AnswerSize(*position->second.answer);
  }
  records.records.erase(position);
}

void EraseRecord(Records& records, const RecordKey& key) {
  auto found = records.records.find(key);
  if (found != records.records.end()) EraseRecord(records, found);
}

void InsertRecord(Records& records, const RecordKey& key, Record record) {
  EraseRecord(records, key);
  if (record.answer != nullptr) records.total_answer_bytes += AnswerSize(*record.answer);
  records.next_claim_id = std::max(records.next_claim_id, record.claim_id + 1);
  records.records[key] = std::move(record);
}

// Returns the record of the claim, or null if the claim is not the current one of its key.
Record* FindCurrentRecord(Records& records, const RecordKey& key, uint64_t claim_id) {
  auto found = records.records.find(key);
  if (found == records.records.end() || found->second.claim_id != claim_id) return nullptr;
  return &found->second;
}

bool IsStaleExpiry(const Records& records, const std::pair<WallMillis, RecordKey>& pair) {
  auto found = records.records.find(pair.second);
  return found == records.records.end() || found->second.expires_at != pair.first;
}

void PruneExpiryQueue(Records& records) {
  size_t bound = std::max(kMinExpiryQueueToPrune, 2 * records.records.size());
  if (records.expiry_queue.size() <= bound) return;
  auto& expiry_queue = records.expiry_queue;
  expiry_queue.erase(std::remove_if(expiry_queue.begin(), expiry_queue.end(),
                                    [&](const auto& pair) { return IsStaleExpiry(records, pair); }),
                     expiry_queue.end());
}

bool IsFull(const Records& records) {
  return records.records.size() >= kMaxRecords ||
         records.total_answer_bytes >= kMaxTotalAnswerBytes - kReservedAnswerBytes;
}

// Returns the time from which claims of this key are accepted, or 0 if they are accepted now.
WallMillis RefusedUntil(const Records& records, const RecordKey& key, WallMillis now) {
  WallMillis until = records.refuse_until;
  for (const OwnershipChange& change : records.ownership_changes) {
    if (change.previous.empty() || SelectOwner(key, change.previous) == records.self) continue;
    until = std::max(until, change.refuse_until);
  }
  return until > now ? until : 0;
}

ClaimResult ResultFromRecord(const Record& record, uint64_t body_hash) {
  ClaimResult result;
  result.expires_at = record.expires_at;
  if (record.body_hash != body_hash) {
    result.kind = ClaimKind::kKeyConflict;
    return result;
  }
  if (IsRunning(record)) {
    result.kind = ClaimKind::kInProgress;
    result.run = Run::kMayHaveRun;
    return result;
  }
  bool kept = record.state == RecordState::kCompleted && record.answer != nullptr;
  result.kind = kept ? ClaimKind::kCompleted : ClaimKind::kOutcomeUnknown;
  result.answer = record.answer;
  result.run = record.state == RecordState::kCompleted ? Run::kRan : Run::kMayHaveRun;
  return result;
}

ClaimResult CreateClaim(Records& records, const RecordKey& key, uint64_t body_hash,
                        WallMillis now) {
  Record record;
  record.body_hash = body_hash;
  record.claim_id = records.next_claim_id++;
  record.expires_at = now + kRecordRetention;

  ClaimResult result;
  result.kind = ClaimKind::kNew;
  result.claim_id = record.claim_id;
  result.expires_at = record.expires_at;
  result.entry = BeginEntry(kClaimEntry);
  PutRecord(result.entry, key, record);

  records.expiry_queue.emplace_back(record.expires_at, key);
  records.records[key] = std::move(record);
  PruneExpiryQueue(records);
  return result;
}

ClaimResult RefusalResult(ClaimKind kind, WallMillis until = 0) {
  ClaimResult result;
  result.kind = kind;
  result.expires_at = until;
  return result;
}

bool HasRoomFor(const Records& records, const StoredAnswer& answer) {
  size_t size = AnswerSize(answer);
  return size <= kMaxAnswerBytes && records.total_answer_bytes + size <= kMaxTotalAnswerBytes;
}

// Adds a change, or with refuse_until 0 (a takeover) removes the refusal for the same previous
// hosts. When the list is full, the oldest change becomes a refusal of all claims, so that no claim
// is accepted that the removed change would refuse.
void AddOwnershipChange(Records& records, OwnershipChange change) {
  auto same =
      std::find_if(records.ownership_changes.begin(), records.ownership_changes.end(),
                   [&](const OwnershipChange& other) { return other.previous == change.previous; });
  if (change.refuse_until == 0) {
    if (same != records.ownership_changes.end()) records.ownership_changes.erase(same);
    return;
  }
  if (same != records.ownership_changes.end()) {
    same->refuse_until = std::max(same->refuse_until, change.refuse_until);
    return;
  }
  if (records.ownership_changes.size() >= kMaxOwnershipChanges) {
    records.refuse_until =
        std::max(records.refuse_until, records.ownership_changes.front().refuse_until);
    records.ownership_changes.erase(records.ownership_changes.begin());
  }
  records.ownership_changes.push_back(std::move(change));
}

bool ReplayRecord(Records& records, NonThrowingReader& in) {
  RecordKey key = ReadKey(in);
  Record record = ReadRecord(in);
  if (!in.ok() || !in.AtEnd()) return false;
  InsertRecord(records, key, std::move(record));
  return true;
}

bool ReplayRelease(Records& records, NonThrowingReader& in) {
  RecordKey key = ReadKey(in);
  uint64_t claim_id = in.Int();
  if (!in.ok() || !in.AtEnd()) return false;
  records.next_claim_id = std::max(records.next_claim_id, claim_id + 1);
  if (FindCurrentRecord(records, key, claim_id) != nullptr) EraseRecord(records, key);
  return true;
}

bool ReplayOwnershipChange(Records& records, NonThrowingReader& in) {
  OwnershipChange change = ReadOwnershipChange(in);
  if (!in.ok() || !in.AtEnd()) return false;
  AddOwnershipChange(records, std::move(change));
  return true;
}

bool ReplayRefusal(Records& records, NonThrowingReader& in) {
  auto until = static_cast<WallMillis>(in.Int());
  if (!in.ok() || !in.AtEnd()) return false;
  records.refuse_until = until;
  return true;
}

bool ReplaySnapshot(Records& records, NonThrowingReader& in) {
  Records loaded;
  loaded.self = records.self;
  loaded.next_claim_id = in.Int();
  loaded.refuse_until = static_cast<WallMillis>(in.Int());
  uint64_t change_count = in.Int();
  for (uint64_t i = 0; i < change_count && in.ok(); ++i)
    loaded.ownership_changes.push_back(ReadOwnershipChange(in));
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) {
    RecordKey key = ReadKey(in);
    InsertRecord(loaded, key, ReadRecord(in));
  }
  if (!in.ok() || !in.AtEnd()) return false;
  records = std::move(loaded);
  return true;
}

void RebuildExpiry(Records& records) {
  records.expiry_queue.clear();
  for (const auto& [key, record] : records.records) {
    records.expiry_queue.emplace_back(record.expires_at, key);
  }
  std::sort(records.expiry_queue.begin(), records.expiry_queue.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
}

}  // namespace

size_t AnswerSize(const StoredAnswer& answer) {
  size_t size = answer.body.size();
  for (const auto& [name, value] : answer.headers) size += name.size() + value.size();
  return size;
}

void AppendAnswer(std::string& out, const StoredAnswer* answer) {
  PutInt(out, answer == nullptr ? 0 : 1);
  if (answer == nullptr) return;
  PutInt(out, static_cast<uint64_t>(answer->status));
  PutInt(out, answer->headers.size());
  for (const auto& [name, value] : answer->headers) {
    PutString(out, name);
    PutString(out, value);
  }
  PutString(out, answer->body);
}

std::shared_ptr<const StoredAnswer> ReadAnswer(NonThrowingReader& in) {
  if (in.Int() == 0) return nullptr;
  auto answer = std::make_shared<StoredAnswer>();
  answer->status = static_cast<int>(in.Int());
  uint64_t headers = in.Int();
  for (uint64_t i = 0; i < headers && in.ok(); ++i) {
    std::string name = in.String();
    answer->headers.emplace_back(std::move(name), in.String());
  }
  answer->body = in.String();
  return answer;
}

HostId SelectOwner(const RecordKey& key, const std::vector<HostId>& record_hosts) {
  uint64_t key_hash = RecordKeyHash()(key);
  const HostId* owner = nullptr;
  uint64_t best_weight = 0;
  for (const HostId& host : record_hosts) {
    uint64_t weight = Hash64(host.value(), key_hash);
    bool wins =
        owner == nullptr || weight > best_weight || (weight == best_weight && host < *owner);
    if (!wins) continue;
    owner = &host;
    best_weight = weight;
  }
  return owner == nullptr ? HostId() : *owner;
}

ErrorKind ClaimError(ClaimKind kind) {
  switch (kind) {
    case ClaimKind::kInProgress:
      return ErrorKind::kInProgress;
    case ClaimKind::kOutcomeUnknown:
      return ErrorKind::kOutcomeUnknown;
    case ClaimKind::kKeyConflict:
      return ErrorKind::kKeyConflict;
    case ClaimKind::kOverloaded:
      return ErrorKind::kOverloaded;
    case ClaimKind::kNotOwned:
      return ErrorKind::kOwnerUnreachable;
    case ClaimKind::kInvalidKey:
      return ErrorKind::kBadRequest;
    case ClaimKind::kNew:
    case ClaimKind::kCompleted:
      break;
  }
  return ErrorKind::kInternal;
}

ClaimResult Claim(Records& records, const RecordKey& key, uint64_t body_hash, WallMillis now) {
  if (key.key.empty() || key.key.size() > kMaxKeyBytes) {
    return RefusalResult(ClaimKind::kInvalidKey);
  }
  Expire(records, now);
  auto found = records.records.find(key);
  if (found != records.records.end()) {
    bool expired = !IsRunning(found->second) && found->second.expires_at <= now;
    if (!expired) return ResultFromRecord(found->second, body_hash);
    EraseRecord(records, found);
  }
  WallMillis until = RefusedUntil(records, key, now);
  if (until > 0) return RefusalResult(ClaimKind::kNotOwned, until);
  if (IsFull(records)) return RefusalResult(ClaimKind::kOverloaded);
  return CreateClaim(records, key, body_hash, now);
}

bool MarkDispatched(Records& records, const RecordKey& key, uint64_t claim_id) {
  Record* record = FindCurrentRecord(records, key, claim_id);
  if (record == nullptr || record->state != RecordState::kClaimed) return false;
  record->state = RecordState::kDispatched;
  return true;
}

std::string Complete(Records& records, const RecordKey& key, uint64_t claim_id, StoredAnswer answer,
                     WallMillis now) {
  Record* record = FindCurrentRecord(records, key, claim_id);
  if (record == nullptr || record->state == RecordState::kCompleted) return {};
  record->state = RecordState::kCompleted;
  record->answer_hash = Hash64(answer.body);
  if (record->expires_at <= now) {
    record->expires_at = now + kRecordRetention;
    records.expiry_queue.emplace_back(record->expires_at, key);
  }
  if (HasRoomFor(records, answer)) {
    records.total_answer_bytes += AnswerSize(answer);
    record->answer = std::make_shared<const StoredAnswer>(std::move(answer));
  }
  std::string entry = BeginEntry(kCompleteEntry);
  PutRecord(entry, key, *record);
  return entry;
}

bool MarkUnknown(Records& records, const RecordKey& key, uint64_t claim_id) {
  Record* record = FindCurrentRecord(records, key, claim_id);
  if (record == nullptr || record->state == RecordState::kCompleted) return false;
  record->state = RecordState::kUnknown;
  return true;
}

std::string Release(Records& records, const RecordKey& key, uint64_t claim_id,
                    bool confirmed_not_run) {
  Record* record = FindCurrentRecord(records, key, claim_id);
  if (record == nullptr || record->state == RecordState::kCompleted) return {};
  if (record->state != RecordState::kClaimed && !confirmed_not_run) return {};
  EraseRecord(records, key);
  std::string entry = BeginEntry(kReleaseEntry);
  PutKey(entry, key);
  PutInt(entry, claim_id);
  return entry;
}

size_t Expire(Records& records, WallMillis now) {
  size_t dropped = 0;
  while (!records.expiry_queue.empty() && records.expiry_queue.front().first <= now) {
    auto [expires_at, key] = std::move(records.expiry_queue.front());
    records.expiry_queue.pop_front();
    auto found = records.records.find(key);
    if (found == records.records.end() || found->second.expires_at != expires_at) continue;
    if (IsRunning(found->second)) {
      found->second.expires_at = now + kRecordRetention;
      records.expiry_queue.emplace_back(found->second.expires_at, key);
      continue;
    }
    EraseRecord(records, found);
    ++dropped;
  }
  return dropped;
}

std::string OnRecordHostsChanged(Records& records, const std::vector<HostId>& previous,
                                 bool takeover, WallMillis now) {
  auto& ownership_changes = records.ownership_changes;
  ownership_changes.erase(
      std::remove_if(ownership_changes.begin(), ownership_changes.end(),
                     [&](const OwnershipChange& change) { return change.refuse_until <= now; }),
      ownership_changes.end());
  OwnershipChange change;
  change.previous = previous;
  change.refuse_until = takeover ? 0 : now + kRecordRetention;
  std::string entry = BeginEntry(kOwnershipEntry);
  PutOwnershipChange(entry, change);
  AddOwnershipChange(records, std::move(change));
  return entry;
}

std::string RefuseClaims(Records& records, WallMillis until) {
  records.refuse_until = until;
  std::string entry = BeginEntry(kRefusalEntry);
  PutInt(entry, static_cast<uint64_t>(until));
  return entry;
}

bool Replay(Records& records, std::string_view entry) {
  NonThrowingReader in(entry);
  if (in.Byte() != kModuleTag) return false;
  switch (in.Byte()) {
    case kClaimEntry:
    case kCompleteEntry:
      return ReplayRecord(records, in);
    case kReleaseEntry:
      return ReplayRelease(records, in);
    case kOwnershipEntry:
      return ReplayOwnershipChange(records, in);
    case kRefusalEntry:
      return ReplayRefusal(records, in);
    case kSnapshotEntry:
      return ReplaySnapshot(records, in);
    default:
      return false;
  }
}

ReplaySummary FinishReplay(Records& records, WallMillis now) {
  ReplaySummary summary;
  for (auto it = records.records.begin(); it != records.records.end();) {
    auto position = it++;
    Record& record = position->second;
    if (IsRunning(record)) record.state = RecordState::kUnknown;
    if (record.expires_at <= now) {
      EraseRecord(records, position);
      continue;
    }
    ++summary.records;
    if (record.state == RecordState::kUnknown) ++summary.unknown;
  }
  RebuildExpiry(records);
  return summary;
}

std::string EncodeSnapshot(const Records& records) {
  std::string out = BeginEntry(kSnapshotEntry);
  PutInt(out, records.next_claim_id);
  PutInt(out, static_cast<uint64_t>(records.refuse_until));
  PutInt(out, records.ownership_changes.size());
  for (const OwnershipChange& change : records.ownership_changes) PutOwnershipChange(out, change);
  PutInt(out, records.records.size());
  for (const auto& [key, record] : records.records) PutRecord(out, key, record);
  return out;
}

}  // namespace ebonylift
