#define BOOST_TEST_MODULE condemned_store
#include "daemon/condemned_store.h"

#include <boost/test/included/unit_test.hpp>
#include <fstream>

#include "adapters/file_journal.h"
#include "tests/support/process.h"

namespace ebonylift {
namespace {

constexpr WallMillis kNow = 1'800'000'000'000;

std::vector<KnownSuspect> LoadAt(const test::TempDir& dir, WallMillis now) {
  CondemnedStore store(std::make_shared<FileJournal>(dir.path(), "condemned"));
  return store.Load(now);
}

}  // namespace

// Guards against condemned contents that are forgotten when the process ends, that expire later
// because of a restart, or that are kept without limit.
BOOST_AUTO_TEST_CASE(CondemnedContentsOutliveTheProcess) {
  test::TempDir dir;
  {
    CondemnedStore store(std::make_shared<FileJournal>(dir.path(), "condemned"));
    BOOST_TEST(store.Load(kNow).empty());
    store.Add({7, kLossesToCondemn, seconds(10)}, kNow);
    store.Add({8, kLossesToCondemn, seconds(0)}, kNow);
  }
  std::vector<KnownSuspect> loaded = LoadAt(dir, kNow + 5'000);
  BOOST_REQUIRE(loaded.size() == 2u);
  BOOST_TEST(loaded[0].content == 7u);
  BOOST_TEST(loaded[0].losses == kLossesToCondemn);
  BOOST_TEST((loaded[0].age == seconds(15)));
  loaded = LoadAt(dir, kNow + ToMillis(kSuspectTtl) - 5'000);
  BOOST_REQUIRE(loaded.size() == 1u);
  BOOST_TEST(loaded[0].content == 8u);
}

// Guards against a host that does not start because this file is damaged.
BOOST_AUTO_TEST_CASE(DamagedFileCountsAsEmpty) {
  test::TempDir dir;
  {
    FileJournal journal(dir.path(), "condemned");
    journal.Replay([](std::string_view, bool) {});
    journal.Compact("too short", [](bool) {});
  }
  CondemnedStore store(std::make_shared<FileJournal>(dir.path(), "condemned"));
  BOOST_TEST(store.Load(kNow).empty());
  store.Add({7, kLossesToCondemn, seconds(0)}, kNow);
}

// Guards against a content that is refused again after a restart although its condemnation was
// revoked: nothing that is refused can show once more that it is harmless.
BOOST_AUTO_TEST_CASE(RevokedContentIsNotLoaded) {
  test::TempDir dir;
  {
    CondemnedStore store(std::make_shared<FileJournal>(dir.path(), "condemned"));
    store.Load(kNow);
    store.Add({7, kLossesToCondemn, seconds(0)}, kNow);
    store.Add({8, kLossesToCondemn, seconds(0)}, kNow);
    store.Remove(7, kNow);
    store.Remove(9, kNow);
  }
  std::vector<KnownSuspect> loaded = LoadAt(dir, kNow);
  BOOST_REQUIRE(loaded.size() == 1u);
  BOOST_TEST(loaded[0].content == 8u);
}

// Guards against a host without a disk that fails.
BOOST_AUTO_TEST_CASE(NothingIsStoredWithoutAJournal) {
  CondemnedStore store(nullptr);
  BOOST_TEST(store.Load(kNow).empty());
  store.Add({7, kLossesToCondemn, seconds(0)}, kNow);
}

}  // namespace ebonylift
