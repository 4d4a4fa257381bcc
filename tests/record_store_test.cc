#define BOOST_TEST_MODULE record_store
#include "daemon/record_store.h"

#include <boost/test/included/unit_test.hpp>
#include <deque>

#include "daemon/key_claim.h"

namespace ebonylift {
namespace {

// Keeps entries in memory; every append is durable at once.
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

  // Runs the callbacks as the journal thread does: after the caller has released its locks.
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

struct Claimed {
  ClaimKind kind = ClaimKind::kOverloaded;
  uint64_t claim = 0;
  std::optional<ErrorKind> error;
};

Claimed ClaimNow(RecordStore* store, FakeJournal* journal, const std::string& key,
                 bool sync_ok = true) {
  Claimed out;
  store->Claim(RecordKey{TeamId("rocha"), key}, 1,
               [&](const ClaimResult& result, std::optional<ErrorKind> error) {
                 out = Claimed{result.kind, result.claim, error};
               });
  journal->Sync(sync_ok);
  return out;
}

const HostId kSelf("este-1");

}  // namespace

// Guards against a second run after a restart between the claim and the answer.
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

// Guards against a dispatch whose claim is not durable.
BOOST_AUTO_TEST_CASE(FailedSyncIsReportedAndReleased) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k", false).error == ErrorKind::kStorageFailed));
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNew));
}

// Guards against a key that stays claimed after work that did not run, is free after work that may
// have run, or is claimed by a request that gave its claim up.
BOOST_AUTO_TEST_CASE(KeyIsFreeOnlyAfterWorkThatDidNotRun) {
  for (Run run : {Run::kNotRun, Run::kMayHaveRun}) {
    auto journal = std::make_shared<FakeJournal>();
    RecordStore store(kSelf, journal);
    store.Recover(WallNow());
    store.OnDiskConfirmed();
    Claimed claimed = ClaimNow(&store, journal.get(), "k");
    ClaimResult result;
    result.claim = claimed.claim;
    KeyClaim claim(&store, RecordKey{TeamId("rocha"), "k"});
    claim.Hold(result);
    BOOST_TEST(claim.MarkDispatched());
    BOOST_TEST(claim.dispatched());
    claim.End(run);
    BOOST_TEST(!claim.held());
    claim.End(run);  // does nothing
    ClaimKind expected = run == Run::kNotRun ? ClaimKind::kNew : ClaimKind::kOutcomeUnknown;
    BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == expected));
  }
}

// Guards against a dispatch under a claim that another request holds by now.
BOOST_AUTO_TEST_CASE(ClaimThatIsNoLongerCurrentIsNotDispatched) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  Claimed claimed = ClaimNow(&store, journal.get(), "k");
  ClaimResult result;
  result.claim = claimed.claim + 1;
  KeyClaim claim(&store, RecordKey{TeamId("rocha"), "k"});
  claim.Hold(result);
  BOOST_TEST(!claim.MarkDispatched());
  BOOST_TEST(!claim.dispatched());
}

// Guards against a new owner that runs what the previous owner ran, also when the change of the
// record hosts was made while the new owner was down.
BOOST_AUTO_TEST_CASE(ChangeOfRecordHostsRefusesForeignKeys) {
  const std::vector<HostId> before = {kSelf, HostId("este-2")};
  const std::vector<HostId> after = {kSelf};
  std::string foreign;
  for (int i = 0; foreign.empty(); ++i) {
    std::string key = "k" + std::to_string(i);
    if (Owner(RecordKey{TeamId("rocha"), key}, before) != kSelf) foreign = key;
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
    BOOST_TEST((ClaimNow(store.get(), journal.get(), foreign).kind == ClaimKind::kNotOwned));
    store->SetRecordHosts(before, true);
    store->SetRecordHosts(after, true);
    BOOST_TEST((ClaimNow(store.get(), journal.get(), foreign).kind == ClaimKind::kNew));
  }
}

// Guards against a lost disk that makes old keys look new.
BOOST_AUTO_TEST_CASE(LostJournalRefusesClaims) {
  auto journal = std::make_shared<FakeJournal>();
  journal->set_lost(true);
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNotOwned));
}

// Guards against a host whose whole folder was lost, which its own files cannot show.
BOOST_AUTO_TEST_CASE(DiskLostByPeersWordRefusesUntilConfirmed) {
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

// Guards against claims between the start on an empty disk and the peers' word on that disk.
BOOST_AUTO_TEST_CASE(EmptyJournalWaitsForConfirmation) {
  auto journal = std::make_shared<FakeJournal>();
  RecordStore store(kSelf, journal);
  store.Recover(WallNow());
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").error == ErrorKind::kOwnerUnreachable));
  store.OnDiskConfirmed();
  BOOST_TEST((ClaimNow(&store, journal.get(), "k").kind == ClaimKind::kNew));
}

}  // namespace ebonylift
