#define BOOST_TEST_MODULE record_store
#include "daemon/record_store.h"

#include <boost/test/included/unit_test.hpp>
#include <deque>

#include "daemon/key_claim.h"

namespace ebonylift {
namespace {

// In-memory journal. Entries persist across RecordStore instances; callbacks wait for Sync().
class FakeJournal : public Journal {
 public:
  void Replay(const std::function<void(std::string_view, bool)>& fn) override {
    for (const std::string& entry : entries_) fn(entry, false);
  }
  void Append(std::string record, Done done) override {
    entries_.push_back(std::move(record));
    pending_.push_back(std::move(done));
  }
  void Compact(std::string /*snapshot*/, Done done) override {
    pending_.push_back(std::move(done));
  }
  bool LostContents() const override { return lost_; }
  uint64_t SizeBytes() const override { return 0; }

  // Runs the pending callbacks, after the caller has released its locks, as the journal thread
  // does.
  void Sync(bool ok = true) {
    while (!pending_.empty()) {
      Done done = std::move(pending_.front());
      pending_.pop_front();
      done(ok);
    }
  }
  void set_lost(bool lost) { lost_ = lost; }

 private:
  std::vector<std::string> entries_;
  std::deque<Done> pending_;
  bool lost_ = false;
};

struct ClaimOutcome {
  ClaimKind kind = ClaimKind::kOverloaded;
  uint64_t claim_id = 0;
  std::optional<ErrorKind> error;
};

// Claims `key`, syncs the journal and returns the result of the claim.
ClaimOutcome ClaimNow(RecordStore* store, FakeJournal* journal, const std::string& key,
                      bool sync_ok = true) {
  ClaimOutcome out;
  store->Claim(RecordKey{TeamId("rocha"), key}, 1,
               [&](const ClaimResult& result, std::optional<ErrorKind> error) {
                 out = ClaimOutcome{result.kind, result.claim_id, error};
               });
  journal->Sync(sync_ok);
  return out;
}

const HostId kSelf("este-1");

}  // namespace

// After a restart between claim and response, the work may have run and must not run again.
BOOST_AUTO_TEST_CASE(ClaimWithoutAnswerIsUnknownAfterRestart) {
  auto journal = std::make_shared<FakeJournal>();
  {
    RecordStore store(kSelf, journal);
    store.Recover(WallNow());
    store.OnDiskConfirmed();
    BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNew));
  }
  RecordStore restarted(kSelf, journal);
  restarted.Recover(WallNow());
  restarted.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&restarted, journal.get(), "k").kind == ClaimKind::kOutcomeUnknown));
}

// A claim that could not be synced must be reported, so that it is not dispatched, and released.
BOOST_AUTO_TEST_CASE(FailedSyncIsReportedAndReleasesClaim) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k", false).error == ErrorKind::kStorageFailed));
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNew));
}

// A key must become available again if the work did not run, and stay unavailable if it may have
// run. Ending a claim twice must have no further effect.
BOOST_AUTO_TEST_CASE(KeyIsReleasedOnlyIfWorkDidNotRun) {
  for (Run run : {Run::kNotRun, Run::kMayHaveRun}) {
    auto journal = std::make_shared<FakeJournal>();
    RecordStore store(kSelf, journal);
    store.Recover(WallNow());
    store.OnDiskConfirmed();
    ClaimOutcome claimed = ClaimNow(&store, journal.get(), "k");
    ClaimResult result;
    result.claim_id = claimed.claim_id;
    KeyClaim claim(&store, RecordKey{TeamId("rocha"), "k"});
    claim.TakeOver(result);
    BOOST_TEST(claim.MarkDispatched());
    BOOST_TEST(claim.dispatched());
    claim.Resolve(run);
    BOOST_TEST(!claim.held());
    claim.Resolve(run);  // no effect
    ClaimKind expected = run == Run::kNotRun ? ClaimKind::kNew : ClaimKind::kOutcomeUnknown;
    BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == expected));
  }
}

// A request must not be dispatched under a claim number that is no longer the key's current one.
BOOST_AUTO_TEST_CASE(StaleClaimIsNotDispatched) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  ClaimOutcome claimed = ClaimNow(&store, journal.get(), "k");
  ClaimResult result;
  result.claim_id = claimed.claim_id + 1;
  KeyClaim claim(&store, RecordKey{TeamId("rocha"), "k"});
  claim.TakeOver(result);
  BOOST_TEST(!claim.MarkDispatched());
  BOOST_TEST(!claim.dispatched());
}

// A new owner must not run work that the previous owner may have run. This includes a change of the
// record hosts made while the new owner was down.
BOOST_AUTO_TEST_CASE(RecordHostChangeRefusesKeysOfPreviousOwner) {
  const std::vector<HostId> before = {kSelf, HostId("este-2")};
  const std::vector<HostId> after = {kSelf};
  std::string foreign_key;
  for (int i = 0; foreign_key.empty(); ++i) {
    std::string key = "k" + std::to_string(i);
    if (SelectOwner(RecordKey{TeamId("rocha"), key}, before) != kSelf) foreign_key = key;
  }
  for (bool restart : {false, true}) {
    auto journal = std::make_shared<FakeJournal>();
    auto store = std::make_unique<RecordStore>(kSelf, journal);
    store->Recover(WallNow());
    store->OnDiskConfirmed();
    store->SetRecordHosts(before, false);
    journal->Sync();
    if (restart) {
      store = std::make_unique<RecordStore>(kSelf, journal);
      store->Recover(WallNow());
      store->OnDiskConfirmed();
    }
    store->SetRecordHosts(after, false);
    BOOST_TEST((ClaimNow(store.get(), journal.get(), foreign_key).kind == ClaimKind::kNotOwned));
    store->SetRecordHosts(before, true);
    store->SetRecordHosts(after, true);
    BOOST_TEST((ClaimNow(store.get(), journal.get(), foreign_key).kind == ClaimKind::kNew));
  }
}

// After journal loss, keys claimed earlier must not be accepted as new.
BOOST_AUTO_TEST_CASE(LostJournalRefusesClaims) {
  auto journal = std::make_shared<FakeJournal>();
  journal->set_lost(true);
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNotOwned));
}

// If the whole data directory was lost, only the peers can detect it: no local file is left to show
// the loss.
BOOST_AUTO_TEST_CASE(DiskLossReportedByPeersRefusesClaimsUntilAccepted) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  store.OnDiskLost();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNotOwned));
  RecordStore restarted(kSelf, journal);
  restarted.Recover(WallNow());
  restarted.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&restarted, journal.get(), "k").kind == ClaimKind::kNotOwned));
  restarted.AcceptClaims();
  BOOST_TEST((ClaimNow(&restarted, journal.get(), "k").kind == ClaimKind::kNew));
}

// A host that starts with an empty journal must not accept claims before the peers confirm that its
// disk was not lost.
BOOST_AUTO_TEST_CASE(EmptyJournalRefusesClaimsUntilDiskConfirmed) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").error == ErrorKind::kOwnerUnreachable));
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNew));
}

}  // namespace ebonylift
