#define BOOST_TEST_MODULE server_snapshot
#include "daemon/server_snapshot.h"

#include <boost/test/included/unit_test.hpp>
#include <filesystem>
#include <future>

#include "adapters/file_journal.h"
#include "base/error.h"
#include "tests/support/process.h"

namespace ebonylift {
namespace {

Announcement MakeServer(const std::string& id, bool leaving) {
  Announcement server;
  server.id = ServerId(id);
  server.incarnation = 3;
  server.seq = 9;
  server.kind = ServerKind::kService;
  server.region = RegionId("este");
  server.address = "10.0.0.1:80";
  server.services = {"model"};
  server.leaving = leaving;
  server.ttl = seconds(7);
  return server;
}

std::vector<Announcement> LoadFrom(const std::string& folder) {
  return ServerSnapshot(std::make_shared<FileJournal>(folder, "servers")).Load();
}

}  // namespace

// After a restart of all hosts, a host must know the servers from before the restart, and must
// still know which of them were leaving.
BOOST_AUTO_TEST_CASE(SnapshotSurvivesRestart) {
  test::TempDir dir;
  {
    ServerSnapshot snapshot(std::make_shared<FileJournal>(dir.path(), "servers"));
    BOOST_TEST(snapshot.Load().empty());
    Time now(seconds(100));
    BOOST_TEST(!snapshot.SaveDue(now));
    snapshot.MarkChanged(false);
    BOOST_TEST(snapshot.SaveDue(now));
    snapshot.Save({MakeServer("a", false), MakeServer("b", false)}, now);
    snapshot.MarkChanged(false);
    BOOST_TEST(!snapshot.SaveDue(now + seconds(1)));
    snapshot.MarkChanged(true);
    BOOST_TEST(snapshot.SaveDue(now + seconds(1)));
    snapshot.Save({MakeServer("a", false), MakeServer("b", true)}, now + seconds(1));
  }
  std::vector<Announcement> loaded = LoadFrom(dir.path());
  BOOST_REQUIRE(loaded.size() == 2u);
  BOOST_TEST(loaded[0].id.value() == "a");
  BOOST_TEST(loaded[0].seq == 9u);
  BOOST_TEST(!loaded[0].leaving);
  BOOST_TEST(loaded[1].leaving);
  BOOST_TEST((loaded[1].ttl == seconds(7)));
}

// A damaged snapshot must not keep a host from starting.
BOOST_AUTO_TEST_CASE(DamagedSnapshotLoadsAsEmpty) {
  test::TempDir dir;
  {
    FileJournal journal(dir.path(), "servers");
    journal.Replay([](std::string_view, bool) {});
    std::promise<void> written;
    journal.Compact("not an encoding of servers", [&written](bool) { written.set_value(); });
    written.get_future().wait();
  }
  BOOST_TEST(LoadFrom(dir.path()).empty());
  BOOST_CHECK_THROW(DecodeServers("\x01\x02\x03"), Error);
}

}  // namespace ebonylift
