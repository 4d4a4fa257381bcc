#include "core/records.h"

#include <algorithm>
#include <iterator>

#include "core/bytes.h"

namespace ebonylift {
namespace {

constexpr char kModule = 'R';
constexpr char kClaimEntry = 'C';
constexpr char kCompleteEntry = 'F';
constexpr char kReleaseEntry = 'X';
constexpr char kOwnershipEntry = 'O';
constexpr char kRefuseEntry = 'L';
constexpr char kSnapshotEntry = 'S';
constexpr size_t kMinExpiryPairs = 1'024;  // below this, stale pairs are not worth a removal

std::string StartEntry(char kind) { return {kModule, kind}; }

bool Running(const Record& record) {
  return record.state == RecordState::kClaimed || record.state == RecordState::kDispatched;
}

void PutKey(std::string& out, const RecordKey& key) {
  PutString(out, key.team.value());
  PutString(out, key.key);
}

RecordKey ReadKey(EntryReader& in) {
  RecordKey key;
  key.team = TeamId(in.String());
  key.key = in.String();
  return key;
}

void PutHosts(std::string& out, const std::vector<HostId>& hosts) {
  PutInt(out, hosts.size());
  for (const HostId& host : hosts) PutString(out, host.value());
}

std::vector<HostId> ReadHosts(EntryReader& in) {
  std::vector<HostId> hosts;
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) hosts.emplace_back(in.String());
  return hosts;
}

void PutRecord(std::string& out, const RecordKey& key, const Record& record) {
  PutKey(out, key);
  PutInt(out, static_cast<uint64_t>(record.state));
  PutInt(out, record.body_hash);
  PutInt(out, record.claim);
  PutInt(out, static_cast<uint64_t>(record.expires_at));
  PutInt(out, record.answer_hash);
  AppendAnswer(out, record.answer.get());
}

Record ReadRecord(EntryReader& in) {
  Record record;
  uint64_t state = in.Int();
  // An unknown state is taken as one that is never run again.
  record.state = state <= static_cast<uint64_t>(RecordState::kUnknown)
                     ? static_cast<RecordState>(state)
                     : RecordState::kUnknown;
  record.body_hash = in.Int();
  record.claim = in.Int();
  record.expires_at = static_cast<WallMillis>(in.Int());
  record.answer_hash = in.Int();
  record.answer = ReadAnswer(in);
  return record;
}

void PutChange(std::string& out, const OwnershipChange& change) {
  PutInt(out, static_cast<uint64_t>(change.refuse_until));
  PutHosts(out, change.previous);
}

OwnershipChange ReadChange(EntryReader& in) {
  OwnershipChange change;
  change.refuse_until = static_cast<WallMillis>(in.Int());
  change.previous = ReadHosts(in);
  return change;
}

using RecordMap = decltype(Records::records);

void Erase(Records& records, RecordMap::iterator position) {
  if (position->second.answer != nullptr) {
    records.answers_bytes -= AnswerBytes(*position->second.answer);
  }
  records.records.erase(position);
}

void Erase(Records& records, const RecordKey& key) {
  auto found = records.records.find(key);
  if (found != records.records.end()) Erase(records, found);
}

void Store(Records& records, const RecordKey& key, Record record) {
  Erase(records, key);
  if (record.answer != nullptr) records.answers_bytes += AnswerBytes(*record.answer);
  records.next_claim = std::max(records.next_claim, record.claim + 1);
  records.records[key] = std::move(record);
}

// The record of this claim. Null when the claim is not the current one.
Record* Current(Records& records, const RecordKey& key, uint64_t claim) {
  auto found = records.records.find(key);
  if (found == records.records.end() || found->second.claim != claim) return nullptr;
  return &found->second;
}

bool StalePair(const Records& records, const std::pair<WallMillis, RecordKey>& pair) {
  auto found = records.records.find(pair.second);
  return found == records.records.end() || found->second.expires_at != pair.first;
}

void RemoveStalePairs(Records& records) {
  size_t bound = std::max(kMinExpiryPairs, 2 * records.records.size());
  if (records.expiry.size() <= bound) return;
  auto& expiry = records.expiry;
  expiry.erase(std::remove_if(expiry.begin(), expiry.end(),
                              [&](const auto& pair) { return StalePair(records, pair); }),
               expiry.end());
}

bool Full(const Records& records) {
  return records.records.size() >= kMaxRecords ||
         records.answers_bytes >= kMaxAnswersBytes - kAnswersReserveBytes;
}

// When claims of this key are taken again; 0: now.
WallMillis RefusedUntil(const Records& records, const RecordKey& key, WallMillis now) {
  WallMillis until = records.refuse_until;
  for (const OwnershipChange& change : records.changes) {
    if (change.previous.empty() || Owner(key, change.previous) == records.self) continue;
    until = std::max(until, change.refuse_until);
  }
  return until > now ? until : 0;
}

ClaimResult AnswerFromRecord(const Record& record, uint64_t body_hash) {
  ClaimResult result;
  result.expires_at = record.expires_at;
  if (record.body_hash != body_hash) {
    result.kind = ClaimKind::kKeyConflict;
    return result;
  }
  if (Running(record)) {
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

ClaimResult NewClaim(Records& records, const RecordKey& key, uint64_t body_hash, WallMillis now) {
  Record record;
  record.body_hash = body_hash;
  record.claim = records.next_claim++;
  record.expires_at = now + kRecordRetention;

  ClaimResult result;
  result.kind = ClaimKind::kNew;
  result.claim = record.claim;
  result.expires_at = record.expires_at;
  result.entry = StartEntry(kClaimEntry);
  PutRecord(result.entry, key, record);

  records.expiry.emplace_back(record.expires_at, key);
  records.records[key] = std::move(record);
  RemoveStalePairs(records);
  return result;
}

ClaimResult RefusedClaim(ClaimKind kind, WallMillis until = 0) {
  ClaimResult result;
  result.kind = kind;
  result.expires_at = until;
  return result;
}

bool Fits(const Records& records, const StoredAnswer& answer) {
  size_t bytes = AnswerBytes(answer);
  return bytes <= kMaxAnswerBytes && records.answers_bytes + bytes <= kMaxAnswersBytes;
}

// A takeover (refuse_until 0) ends the refusals of the same previous hosts. The list stays bounded
// without taking a claim that an old change refuses.
void AddChange(Records& records, OwnershipChange change) {
  auto same =
      std::find_if(records.changes.begin(), records.changes.end(),
                   [&](const OwnershipChange& other) { return other.previous == change.previous; });
  if (change.refuse_until == 0) {
    if (same != records.changes.end()) records.changes.erase(same);
    return;
  }
  if (same != records.changes.end()) {
    same->refuse_until = std::max(same->refuse_until, change.refuse_until);
    return;
  }
  if (records.changes.size() >= kMaxOwnershipChanges) {
    records.refuse_until = std::max(records.refuse_until, records.changes.front().refuse_until);
    records.changes.erase(records.changes.begin());
  }
  records.changes.push_back(std::move(change));
}

bool ReplayRecord(Records& records, EntryReader& in) {
  RecordKey key = ReadKey(in);
  Record record = ReadRecord(in);
  if (!in.ok() || !in.AtEnd()) return false;
  Store(records, key, std::move(record));
  return true;
}

bool ReplayRelease(Records& records, EntryReader& in) {
  RecordKey key = ReadKey(in);
  uint64_t claim = in.Int();
  if (!in.ok() || !in.AtEnd()) return false;
  records.next_claim = std::max(records.next_claim, claim + 1);
  if (Current(records, key, claim) != nullptr) Erase(records, key);
  return true;
}

bool ReplayChange(Records& records, EntryReader& in) {
  OwnershipChange change = ReadChange(in);
  if (!in.ok() || !in.AtEnd()) return false;
  AddChange(records, std::move(change));
  return true;
}

bool ReplayRefuse(Records& records, EntryReader& in) {
  auto until = static_cast<WallMillis>(in.Int());
  if (!in.ok() || !in.AtEnd()) return false;
  records.refuse_until = until;
  return true;
}

bool ReplaySnapshot(Records& records, EntryReader& in) {
  Records loaded;
  loaded.self = records.self;
  loaded.next_claim = in.Int();
  loaded.refuse_until = static_cast<WallMillis>(in.Int());
  uint64_t changes = in.Int();
  for (uint64_t i = 0; i < changes && in.ok(); ++i) loaded.changes.push_back(ReadChange(in));
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) {
    RecordKey key = ReadKey(in);
    Store(loaded, key, ReadRecord(in));
  }
  if (!in.ok() || !in.AtEnd()) return false;
  records = std::move(loaded);
  return true;
}

void RebuildExpiry(Records& records) {
  records.expiry.clear();
  for (const auto& [key, record] : records.records) {
    records.expiry.emplace_back(record.expires_at, key);
  }
  std::sort(records.expiry.begin(), records.expiry.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
}

}  // namespace

size_t AnswerBytes(const StoredAnswer& answer) {
  size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers) bytes += name.size() + value.size();
  return bytes;
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

std::shared_ptr<const StoredAnswer> ReadAnswer(EntryReader& in) {
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

HostId Owner(const RecordKey& key, const std::vector<HostId>& record_hosts) {
  uint64_t seed = RecordKeyHash()(key);
  const HostId* owner = nullptr;
  uint64_t best = 0;
  for (const HostId& host : record_hosts) {
    uint64_t weight = Hash64(host.value(), seed);
    bool better = owner == nullptr || weight > best || (weight == best && host < *owner);
    if (!better) continue;
    owner = &host;
    best = weight;
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
    return RefusedClaim(ClaimKind::kInvalidKey);
  }
  Expire(records, now);
  auto found = records.records.find(key);
  if (found != records.records.end()) {
    bool ended = !Running(found->second) && found->second.expires_at <= now;
    if (!ended) return AnswerFromRecord(found->second, body_hash);
    Erase(records, found);
  }
  WallMillis until = RefusedUntil(records, key, now);
  if (until > 0) return RefusedClaim(ClaimKind::kNotOwned, until);
  if (Full(records)) return RefusedClaim(ClaimKind::kOverloaded);
  return NewClaim(records, key, body_hash, now);
}

bool MarkDispatched(Records& records, const RecordKey& key, uint64_t claim) {
  Record* record = Current(records, key, claim);
  if (record == nullptr || record->state != RecordState::kClaimed) return false;
  record->state = RecordState::kDispatched;
  return true;
}

std::string Complete(Records& records, const RecordKey& key, uint64_t claim, StoredAnswer answer,
                     WallMillis now) {
  Record* record = Current(records, key, claim);
  if (record == nullptr || record->state == RecordState::kCompleted) return {};
  record->state = RecordState::kCompleted;
  record->answer_hash = Hash64(answer.body);
  if (record->expires_at <= now) {
    record->expires_at = now + kRecordRetention;
    records.expiry.emplace_back(record->expires_at, key);
  }
  if (Fits(records, answer)) {
    records.answers_bytes += AnswerBytes(answer);
    record->answer = std::make_shared<const StoredAnswer>(std::move(answer));
  }
  std::string entry = StartEntry(kCompleteEntry);
  PutRecord(entry, key, *record);
  return entry;
}

bool MarkUnknown(Records& records, const RecordKey& key, uint64_t claim) {
  Record* record = Current(records, key, claim);
  if (record == nullptr || record->state == RecordState::kCompleted) return false;
  record->state = RecordState::kUnknown;
  return true;
}

std::string Release(Records& records, const RecordKey& key, uint64_t claim,
                    bool confirmed_not_run) {
  Record* record = Current(records, key, claim);
  if (record == nullptr || record->state == RecordState::kCompleted) return {};
  if (record->state != RecordState::kClaimed && !confirmed_not_run) return {};
  Erase(records, key);
  std::string entry = StartEntry(kReleaseEntry);
  PutKey(entry, key);
  PutInt(entry, claim);
  return entry;
}

size_t Expire(Records& records, WallMillis now) {
  size_t dropped = 0;
  while (!records.expiry.empty() && records.expiry.front().first <= now) {
    auto [expires_at, key] = std::move(records.expiry.front());
    records.expiry.pop_front();
    auto found = records.records.find(key);
    if (found == records.records.end() || found->second.expires_at != expires_at) continue;
    if (Running(found->second)) {
      found->second.expires_at = now + kRecordRetention;
      records.expiry.emplace_back(found->second.expires_at, key);
      continue;
    }
    Erase(records, found);
    ++dropped;
  }
  return dropped;
}

std::string OnRecordHostsChanged(Records& records, const std::vector<HostId>& previous,
                                 bool takeover, WallMillis now) {
  auto& changes = records.changes;
  changes.erase(
      std::remove_if(changes.begin(), changes.end(),
                     [&](const OwnershipChange& change) { return change.refuse_until <= now; }),
      changes.end());
  OwnershipChange change;
  change.previous = previous;
  change.refuse_until = takeover ? 0 : now + kRecordRetention;
  std::string entry = StartEntry(kOwnershipEntry);
  PutChange(entry, change);
  AddChange(records, std::move(change));
  return entry;
}

std::string RefuseClaims(Records& records, WallMillis until) {
  records.refuse_until = until;
  std::string entry = StartEntry(kRefuseEntry);
  PutInt(entry, static_cast<uint64_t>(until));
  return entry;
}

bool Replay(Records& records, std::string_view entry) {
  EntryReader in(entry);
  if (in.Byte() != kModule) return false;
  switch (in.Byte()) {
    case kClaimEntry:
    case kCompleteEntry:
      return ReplayRecord(records, in);
    case kReleaseEntry:
      return ReplayRelease(records, in);
    case kOwnershipEntry:
      return ReplayChange(records, in);
    case kRefuseEntry:
      return ReplayRefuse(records, in);
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
    if (Running(record)) record.state = RecordState::kUnknown;
    if (record.expires_at <= now) {
      Erase(records, position);
      continue;
    }
    ++summary.records;
    if (record.state == RecordState::kUnknown) ++summary.unknown;
  }
  RebuildExpiry(records);
  return summary;
}

std::string EncodeSnapshot(const Records& records) {
  std::string out = StartEntry(kSnapshotEntry);
  PutInt(out, records.next_claim);
  PutInt(out, static_cast<uint64_t>(records.refuse_until));
  PutInt(out, records.changes.size());
  for (const OwnershipChange& change : records.changes) PutChange(out, change);
  PutInt(out, records.records.size());
  for (const auto& [key, record] : records.records) PutRecord(out, key, record);
  return out;
}

}  // namespace ebonylift
