#define BOOST_TEST_MODULE server_paths
#include "core/server_paths.h"

#include <boost/test/included/unit_test.hpp>
#include <string>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));
constexpr size_t kServers = 9;
constexpr size_t kNeeded = 5;  // half of them, rounded up

ServerId Server(size_t i) { return ServerId("s" + std::to_string(i)); }

// Lets `count` servers fail, each for a request that was sent 10 ms before. Returns whether the
// host became cut off.
bool Fail(ServerPaths& paths, size_t count, Time now, size_t servers = kServers) {
  bool cut_off = false;
  for (size_t i = 0; i < count; ++i) {
    bool by_this = OnServerSilent(paths, Server(i), servers, now - milliseconds(10), now);
    cut_off = cut_off || by_this;
  }
  return cut_off;
}

}  // namespace

// Guards against a host that hands its requests to others because one server, or a few, are down.
BOOST_AUTO_TEST_CASE(SomeFailedServersDoNotCutOff) {
  ServerPaths paths;
  BOOST_TEST(!Fail(paths, kNeeded - 1, kNow));
  BOOST_TEST(!Fail(paths, kNeeded - 1, kNow + milliseconds(100)), "the same servers again");
  BOOST_TEST(!OnServerByte(paths, kNow + milliseconds(200)));
  BOOST_TEST(!Fail(paths, kNeeded - 1, kNow + milliseconds(300)), "an answer came in between");
  ServerPaths with_one_server;
  BOOST_TEST(!Fail(with_one_server, 1, kNow, 1), "the only server");
}

// Guards against a host that goes on trying servers that it cannot reach.
BOOST_AUTO_TEST_CASE(HostIsCutOffWhenHalfOfItsServersFailed) {
  for (size_t servers : {2u, 3u, 9u, 100u}) {
    ServerPaths paths;
    BOOST_TEST(Fail(paths, kMaxFailedServers, kNow, servers), servers);
    BOOST_TEST(paths.cut_off);
    BOOST_TEST(!Fail(paths, kMaxFailedServers, kNow, servers), "reported once");
  }
}

// Guards against old failures of an idle host that add up, and against a request that was sent
// before another server answered: the path was there after it.
BOOST_AUTO_TEST_CASE(OldEvidenceDoesNotCount) {
  ServerPaths paths;
  Fail(paths, kNeeded - 1, kNow);
  Time later = kNow + kPathEvidenceTime;
  BOOST_TEST(!OnServerSilent(paths, Server(8), kServers, later - milliseconds(1), later));
  OnServerByte(paths, later + milliseconds(10));
  for (size_t i = 0; i < kServers; ++i) {
    BOOST_TEST(!OnServerSilent(paths, Server(i), kServers, later, later + milliseconds(20)));
  }
}

// Guards against a host that stays cut off after the path is back, and against one that sends many
// requests to servers that it cannot reach.
BOOST_AUTO_TEST_CASE(TrialsShowThatThePathIsBack) {
  ServerPaths paths;
  Fail(paths, kNeeded, kNow);
  Time trial = kNow + kPathTrialInterval;
  BOOST_TEST(!MayTryPath(paths, trial - milliseconds(1)));
  BOOST_TEST(MayTryPath(paths, trial));
  BOOST_TEST(MayTryPath(paths, trial), "a request that is queued instead uses up no trial");
  OnPathTrial(paths, trial);
  BOOST_TEST(!MayTryPath(paths, trial + milliseconds(1)));
  BOOST_TEST(OnServerByte(paths, kNow + 2 * kPathTrialInterval));
  BOOST_TEST(!paths.cut_off);
  BOOST_TEST(!OnServerByte(paths, kNow + 2 * kPathTrialInterval));
}

// Guards against a host that connects to a silent server again and again, against one that takes a
// server that it can connect to for out of reach, and against old knowledge.
BOOST_AUTO_TEST_CASE(ConnectionsAreCheckedWhileCutOff) {
  ServerPaths paths;
  BOOST_TEST(!TakeConnectionCheck(paths, Server(0), kNow), "not cut off");
  Fail(paths, kNeeded, kNow);
  BOOST_TEST(TakeConnectionCheck(paths, Server(0), kNow));
  BOOST_TEST(!TakeConnectionCheck(paths, Server(0), kNow + milliseconds(1)));
  BOOST_TEST(TakeConnectionCheck(paths, Server(1), kNow + milliseconds(1)));
  BOOST_TEST(!CannotConnect(paths, Server(0), kNow), "not known yet");
  OnPathConnection(paths, Server(0), false, kNow);
  OnPathConnection(paths, Server(1), true, kNow);
  BOOST_TEST(CannotConnect(paths, Server(0), kNow));
  BOOST_TEST(!CannotConnect(paths, Server(1), kNow));
  BOOST_TEST(!CannotConnect(paths, Server(0), kNow + kPathEvidenceTime), "old");
  OnPathConnection(paths, Server(0), false, kNow);
  OnServerByte(paths, kNow + milliseconds(1));
  BOOST_TEST(!CannotConnect(paths, Server(0), kNow + milliseconds(2)), "a server answered since");
}

}  // namespace ebonylift
