#define BOOST_TEST_MODULE records
#include "core/records.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <random>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
constexpr WallMillis kNow = 1'800'000'000'000;
const RecordKey kKey{TeamId("punjab"), "notice-7"};

StoredAnswer MakeAnswer(const std::string& body) {
  StoredAnswer answer;
  answer.status = 200;
  answer.headers = {{"content-type", "application/json"}};
  answer.body = body;
  return answer;
}

const char* ClaimKindName(ClaimKind kind) {
  switch (kind) {
    case ClaimKind::kNew:
      return "new";
    case ClaimKind::kInProgress:
      return "in_progress";
    case ClaimKind::kCompleted:
      return "completed";
    case ClaimKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ClaimKind::kKeyConflict:
      return "key_conflict";
    case ClaimKind::kOverloaded:
      return "overloaded";
    case ClaimKind::kNotOwned:
      return "not_owned";
    case ClaimKind::kInvalidKey:
      return "invalid_key";
  }
  return "?";
}

std::string ClaimKindFor(Records& records, uint64_t body = 1, WallMillis now = kNow) {
  return ClaimKindName(Claim(records, kKey, body, now).kind);
}

Records Restart(const std::vector<std::string>& journal, WallMillis now) {
  Records records;
  for (const std::string& entry : journal) BOOST_TEST_REQUIRE(Replay(records, entry));
  FinishReplay(records, now);
  return records;
}

}  // namespace

// Guards against a claim that returns kNew while the work may be running or has run (invariant I6).
BOOST_AUTO_TEST_CASE(RepeatedClaimsFollowTheRecordState) {
  struct Row {
    const char* name;
    // c: claim, d: dispatch, f: complete, u: mark unknown, x: release, X: release confirmed as not
    // run, s: snapshot, r: restart
    const char* steps;
    const char* expected;
    Run run;
  };
  for (const Row& row : std::vector<Row>{
           {"first", "", "new", Run::kNotRun},
           {"claimed", "c", "in_progress", Run::kMayHaveRun},
           {"dispatched", "cd", "in_progress", Run::kMayHaveRun},
           {"completed", "cdf", "completed", Run::kRan},
           {"completed without being marked as dispatched", "cf", "completed", Run::kRan},
           {"unknown", "cdu", "outcome_unknown", Run::kMayHaveRun},
           {"unknown, then a late answer", "cduf", "completed", Run::kRan},
           {"released", "cx", "new", Run::kNotRun},
           {"a dispatched claim is not released", "cdx", "in_progress", Run::kMayHaveRun},
           {"the server confirmed that it did not run", "cdX", "new", Run::kNotRun},
           {"a completed claim is not released", "cdfX", "completed", Run::kRan},
           {"restart after the claim", "cr", "outcome_unknown", Run::kMayHaveRun},
           {"restart after the dispatch", "cdr", "outcome_unknown", Run::kMayHaveRun},
           {"restart after completion", "cdfr", "completed", Run::kRan},
           {"restart after release", "cxr", "new", Run::kNotRun},
           {"released, claimed again, restart", "cxcr", "outcome_unknown", Run::kMayHaveRun},
           {"two restarts", "crr", "outcome_unknown", Run::kMayHaveRun},
           {"snapshot of an open claim, restart", "cdsr", "outcome_unknown", Run::kMayHaveRun},
           {"snapshot of a completed claim, restart", "cdfsr", "completed", Run::kRan},
           {"snapshot of a released claim, restart", "cxsr", "new", Run::kNotRun},
       }) {
    Records records;
    std::vector<std::string> journal;
    uint64_t claim_id = 0;
    auto append = [&](const std::string& entry) {
      if (!entry.empty()) journal.push_back(entry);
    };
    for (const char* step = row.steps; *step != 0; ++step) {
      if (*step == 'c') {
        ClaimResult result = Claim(records, kKey, 1, kNow);
        BOOST_TEST_REQUIRE(ClaimKindName(result.kind) == "new", row.name);
        claim_id = result.claim_id;
        append(result.entry);
      }
      if (*step == 'd') BOOST_TEST_REQUIRE(MarkDispatched(records, kKey, claim_id), row.name);
      if (*step == 'f') append(Complete(records, kKey, claim_id, MakeAnswer("done"), kNow));
      if (*step == 'u') BOOST_TEST_REQUIRE(MarkUnknown(records, kKey, claim_id), row.name);
      if (*step == 'x') append(Release(records, kKey, claim_id));
      if (*step == 'X') append(Release(records, kKey, claim_id, true));
      if (*step == 's') journal = {EncodeSnapshot(records)};
      if (*step == 'r') records = Restart(journal, kNow);
    }
    ClaimResult resend = Claim(records, kKey, 1, kNow);
    BOOST_TEST(ClaimKindName(resend.kind) == row.expected, row.name);
    BOOST_TEST((resend.run == row.run), row.name);
    if (resend.kind == ClaimKind::kCompleted) BOOST_TEST((*resend.answer == MakeAnswer("done")));
    if (resend.kind != ClaimKind::kNew) {
      BOOST_TEST(ClaimKindFor(records, 2) == "key_conflict", row.name);
      BOOST_TEST(ClaimKindName(Claim(records, {TeamId("rocha"), kKey.key}, 2, kNow).kind) == "new");
    }
  }
}

// Guards against a request whose claim was released and that changes the record of a later claim.
BOOST_AUTO_TEST_CASE(ReleasedClaimIdsAreIgnored) {
  Records records;
  uint64_t released_claim_id = Claim(records, kKey, 1, kNow).claim_id;
  Release(records, kKey, released_claim_id);
  uint64_t claim_id = Claim(records, kKey, 1, kNow).claim_id;
  BOOST_TEST(claim_id != released_claim_id);
  BOOST_TEST(!MarkDispatched(records, kKey, released_claim_id));
  BOOST_TEST(Complete(records, kKey, released_claim_id, MakeAnswer("old"), kNow).empty());
  BOOST_TEST(!MarkUnknown(records, kKey, released_claim_id));
  BOOST_TEST(Release(records, kKey, released_claim_id, true).empty());
  BOOST_TEST(MarkDispatched(records, kKey, claim_id));
  BOOST_TEST(!MarkDispatched(records, kKey, claim_id));
}

// Guards against a record that expires before its retention has passed, or while its request runs.
BOOST_AUTO_TEST_CASE(RecordsAreKeptForTheirRetention) {
  Records records;
  ClaimResult result = Claim(records, kKey, 1, kNow);
  BOOST_TEST(result.expires_at == kNow + kRecordRetention);
  WallMillis end = kNow + kRecordRetention;
  BOOST_TEST(Expire(records, end + 1) == 0u);
  BOOST_TEST(ClaimKindFor(records, 1, end + 1) == "in_progress");
  Complete(records, kKey, result.claim_id, MakeAnswer("done"), end + 1);
  BOOST_TEST(ClaimKindFor(records, 1, end + kRecordRetention) == "completed");
  BOOST_TEST(ClaimKindFor(records, 1, end + kRecordRetention + 1) == "new");

  Records replayed = Restart({EncodeSnapshot(records)}, kNow);
  BOOST_TEST(replayed.records.size() == 1u);
  replayed = Restart({EncodeSnapshot(records)}, end + 3 * kRecordRetention);
  BOOST_TEST(replayed.records.empty());
  BOOST_TEST(replayed.expiry_queue.empty());
}

// Guards against unbounded memory, and against an answer that is truncated instead of dropped.
BOOST_AUTO_TEST_CASE(AnswersAreBounded) {
  Records records;
  ClaimResult claim = Claim(records, kKey, 1, kNow);
  std::string entry = Complete(records, kKey, claim.claim_id,
                               MakeAnswer(std::string(kMaxAnswerBytes + 1, 'x')), kNow);
  ClaimResult resend = Claim(records, kKey, 1, kNow);
  BOOST_TEST(ClaimKindName(resend.kind) == "outcome_unknown");
  BOOST_TEST((resend.run == Run::kRan));
  BOOST_TEST(records.total_answer_bytes == 0u);
  Records replayed = Restart({claim.entry, entry}, kNow);
  resend = Claim(replayed, kKey, 1, kNow);
  BOOST_TEST(ClaimKindName(resend.kind) == "outcome_unknown");
  BOOST_TEST((resend.run == Run::kRan));

  // Fill the store with answers of 900,000 bytes.
  std::string body(900'000, 'x');
  int stored = 0;
  while (true) {
    RecordKey key{kKey.team, "k" + std::to_string(stored)};
    claim = Claim(records, key, 1, kNow);
    if (claim.kind != ClaimKind::kNew) break;
    Complete(records, key, claim.claim_id, MakeAnswer(body), kNow);
    ++stored;
  }
  BOOST_TEST(ClaimKindName(claim.kind) == "overloaded");
  BOOST_TEST(records.total_answer_bytes <= kMaxTotalAnswerBytes);
  BOOST_TEST(records.total_answer_bytes + kReservedAnswerBytes >= kMaxTotalAnswerBytes);
  BOOST_TEST(ClaimKindName(Claim(records, {kKey.team, "k0"}, 1, kNow).kind) == "completed");
  Expire(records, kNow + kRecordRetention);
  BOOST_TEST(records.total_answer_bytes == 0u);
  BOOST_TEST(ClaimKindFor(records, 1, kNow + kRecordRetention) == "new");
}

// Guards against more records than the limit, and against a record that is dropped to make room.
BOOST_AUTO_TEST_CASE(RecordsAreBounded) {
  Records records;
  Record record;
  record.state = RecordState::kCompleted;
  record.expires_at = kNow + 1'000;
  for (size_t i = 0; i < kMaxRecords; ++i) {
    records.records[{kKey.team, std::to_string(i)}] = record;
    records.expiry_queue.emplace_back(record.expires_at, RecordKey{kKey.team, std::to_string(i)});
  }
  BOOST_TEST(ClaimKindFor(records) == "overloaded");
  BOOST_TEST(records.records.size() == kMaxRecords);
  BOOST_TEST(ClaimKindFor(records, 1, kNow + 1'000) == "new");

  for (size_t length : {size_t{0}, kMaxKeyBytes + 1}) {
    ClaimResult result = Claim(records, {kKey.team, std::string(length, 'k')}, 1, kNow);
    BOOST_TEST(ClaimKindName(result.kind) == "invalid_key");
  }
  for (int i = 0; i < 100'000; ++i) {
    Release(records, kKey, Claim(records, kKey, 1, kNow + 1'000).claim_id);
  }
  BOOST_TEST(records.expiry_queue.size() < 10'000u,
             "expiry entries of released claims are removed");
}

// Guards against a key that runs again at its new owner after a change of the record hosts (section
// 9, item 4), and against claims that are accepted after the loss of a disk.
BOOST_AUTO_TEST_CASE(RecordHostChangesRefuseClaims) {
  const std::vector<HostId> before = {HostId("a"), HostId("b")};
  Records records;
  records.self = HostId("c");
  std::string entry = OnRecordHostsChanged(records, before, false, kNow);
  ClaimResult refused = Claim(records, kKey, 1, kNow);
  BOOST_TEST(ClaimKindName(refused.kind) == "not_owned");
  BOOST_TEST(refused.expires_at == kNow + kRecordRetention);
  BOOST_TEST((ClaimError(refused.kind) == ErrorKind::kOwnerUnreachable));
  BOOST_TEST(ClaimKindFor(records, 1, kNow + kRecordRetention) == "new");

  Records replayed = Restart({entry}, kNow);
  replayed.self = HostId("c");
  BOOST_TEST(ClaimKindFor(replayed) == "not_owned", "the refusal persists across a restart");
  OnRecordHostsChanged(replayed, before, true, kNow);
  BOOST_TEST(ClaimKindFor(replayed) == "new", "takeover");

  Records owner;
  owner.self = SelectOwner(kKey, before);
  OnRecordHostsChanged(owner, before, false, kNow);
  BOOST_TEST(ClaimKindFor(owner) == "new", "this host was the owner");

  Records many;
  many.self = HostId("c");
  for (size_t i = 0; i < 3 * kMaxOwnershipChanges; ++i) {
    OnRecordHostsChanged(many, {HostId("h" + std::to_string(i))}, false, kNow);
  }
  BOOST_TEST(many.ownership_changes.size() == kMaxOwnershipChanges);
  BOOST_TEST(ClaimKindFor(many) == "not_owned");

  Records lost;
  std::string loss = RefuseClaims(lost, kNow + kRecordRetention);
  BOOST_TEST(ClaimKindFor(lost) == "not_owned");
  std::string confirmed = RefuseClaims(lost, 0);
  BOOST_TEST(ClaimKindFor(lost) == "new");
  replayed = Restart({loss}, kNow);
  BOOST_TEST(ClaimKindFor(replayed) == "not_owned");
  replayed = Restart({loss, confirmed}, kNow);
  BOOST_TEST(ClaimKindFor(replayed) == "new");
}

// Guards against hosts that select different owners for a key, against an uneven distribution of
// keys, and against a key that moves although its owner remains a record host.
BOOST_AUTO_TEST_CASE(OwnerSelectionIsStable) {
  std::vector<HostId> hosts = {HostId("a"), HostId("b"), HostId("c"), HostId("d")};
  std::vector<HostId> reversed(hosts.rbegin(), hosts.rend());
  std::vector<HostId> fewer(hosts.begin(), hosts.end() - 1);
  std::map<HostId, int> count;
  for (int i = 0; i < 4'000; ++i) {
    RecordKey key{kKey.team, std::to_string(i)};
    HostId owner = SelectOwner(key, hosts);
    ++count[owner];
    BOOST_TEST_REQUIRE((SelectOwner(key, reversed) == owner));
    if (owner != HostId("d")) BOOST_TEST_REQUIRE((SelectOwner(key, fewer) == owner));
  }
  for (const HostId& host : hosts) BOOST_TEST(std::abs(count[host] - 1'000) < 150);
  BOOST_TEST(SelectOwner(kKey, {}).empty());
}

// Guards against a crash, or a record that was never written, when a journal entry is damaged.
BOOST_AUTO_TEST_CASE(DamagedEntriesAreRejected) {
  Records records;
  std::vector<std::string> entries;
  ClaimResult claim = Claim(records, kKey, 1, kNow);
  entries.push_back(claim.entry);
  entries.push_back(Complete(records, kKey, claim.claim_id, MakeAnswer("done"), kNow));
  claim = Claim(records, {kKey.team, "other"}, 1, kNow);
  entries.push_back(Release(records, {kKey.team, "other"}, claim.claim_id));
  entries.push_back(OnRecordHostsChanged(records, {HostId("a")}, false, kNow));
  entries.push_back(RefuseClaims(records, kNow));
  entries.push_back(EncodeSnapshot(records));
  for (const std::string& entry : entries) {
    for (size_t size = 0; size < entry.size(); ++size) {
      Records target;
      BOOST_TEST_REQUIRE(!Replay(target, std::string_view(entry).substr(0, size)));
      BOOST_TEST_REQUIRE(target.records.empty());
    }
    Records target;
    BOOST_TEST(!Replay(target, entry + "x"));
    BOOST_TEST(Replay(target, entry));
  }
  std::mt19937_64 rng(kSeed);
  for (int i = 0; i < 20'000; ++i) {
    std::string entry = entries[rng() % entries.size()];
    entry[rng() % entry.size()] = static_cast<char>(rng());
    Records target;
    Replay(target, entry);
  }
  Records target;
  BOOST_TEST(!Replay(target, "J"));
}

// Simulates a host that crashes at random and then may lose the unsynced tail of its journal,
// compacts the journal at random, and serves callers that resend the same few keys. Guards against
// a second run of a key (invariant I6), against a not_run answer for work that ran (I5), and
// against the answer of another run (I4).
BOOST_AUTO_TEST_CASE(RandomCrashesRunEachKeyAtMostOnce) {
  struct OpenRequest {
    RecordKey key;
    uint64_t claim_id;
    size_t position;  // of its claim entry in the journal
    bool dispatched = false;
  };
  int total_runs = 0;
  int total_crashes = 0;
  int total_unknown = 0;
  int total_completed = 0;
  for (uint64_t seed = kSeed; seed < kSeed + 400; ++seed) {
    std::mt19937_64 rng(seed);
    Records records;
    std::vector<std::string> journal;
    size_t synced = 0;
    std::vector<OpenRequest> open;
    std::map<std::string, int> runs;
    std::map<std::string, std::string> answers;
    auto append = [&](std::string entry) {
      if (!entry.empty()) journal.push_back(std::move(entry));
      return journal.size();
    };
    for (int step = 0; step < 300; ++step) {
      switch (rng() % 10) {
        case 0:
        case 1:
        case 2: {
          RecordKey key{kKey.team, std::to_string(rng() % 6)};
          ClaimResult result = Claim(records, key, 1, kNow);
          if (result.kind == ClaimKind::kNew) {
            BOOST_TEST_REQUIRE(runs[key.key] == 0, "seed " << seed << ", step " << step);
            open.push_back({key, result.claim_id, append(result.entry)});
          } else if (result.kind == ClaimKind::kCompleted) {
            ++total_completed;
            BOOST_TEST_REQUIRE(result.answer->body == answers[key.key], "seed " << seed);
          } else if (result.kind == ClaimKind::kOutcomeUnknown) {
            ++total_unknown;
          }
          if (runs[key.key] > 0) BOOST_TEST_REQUIRE((result.run != Run::kNotRun), "seed " << seed);
          break;
        }
        case 3:
        case 4:
          synced = journal.size();
          break;
        case 5:
        case 6:
          for (OpenRequest& request : open) {
            if (request.dispatched || request.position > synced) continue;
            if (!MarkDispatched(records, request.key, request.claim_id)) continue;
            request.dispatched = true;
            if (rng() % 8 == 0) {
              // The backend server refused the connection.
              append(Release(records, request.key, request.claim_id, true));
              request.claim_id = 0;
              continue;
            }
            ++total_runs;
            BOOST_TEST_REQUIRE(++runs[request.key.key] == 1, "seed " << seed << ", step " << step);
          }
          break;
        case 7: {
          if (open.empty()) break;
          OpenRequest request = open[rng() % open.size()];
          std::string body = "answer " + std::to_string(step);
          if (request.dispatched && rng() % 4 != 0) {
            std::string entry =
                Complete(records, request.key, request.claim_id, MakeAnswer(body), kNow);
            if (!entry.empty()) answers[request.key.key] = body;
            append(entry);
          } else if (request.dispatched) {
            MarkUnknown(records, request.key, request.claim_id);
          } else {
            // The caller disconnected, or the claim could not be written.
            append(Release(records, request.key, request.claim_id));
          }
          break;
        }
        case 8:
          if (rng() % 3 != 0) break;
          journal = {EncodeSnapshot(records)};
          synced = 1;
          for (OpenRequest& request : open) request.position = 1;
          break;
        default: {
          if (rng() % 3 != 0) break;
          ++total_crashes;
          journal.resize(synced + rng() % (journal.size() - synced + 1));
          synced = journal.size();
          open.clear();
          records = Restart(journal, kNow);
        }
      }
    }
  }
  BOOST_TEST(total_runs > 500);
  BOOST_TEST(total_crashes > 1'000);
  BOOST_TEST(total_unknown > 1'000);
  BOOST_TEST(total_completed > 1'000);
  BOOST_TEST_MESSAGE("seeds from " << kSeed << ": runs " << total_runs << ", crashes "
                                   << total_crashes);
}

}  // namespace ebonylift
