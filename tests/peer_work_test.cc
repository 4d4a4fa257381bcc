#define BOOST_TEST_MODULE peer_work
#include "core/peer_work.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));

BackendServer Server(const std::string& id) {
  BackendServer server;
  server.announced.id = ServerId(id);
  return server;
}

}  // namespace

// Guards against counting an older list of a host in addition to its newest one, and against lists
// that still count after they expire.
BOOST_AUTO_TEST_CASE(OnlyNewestListOfEachHostCounts) {
  PeerWork state;
  OnPeerWork(&state, HostId("a"),
             {{ServerId("s1"), 5, 5'000, std::nullopt}, {ServerId("s2"), 1, 0, std::nullopt}},
             kNow);
  OnPeerWork(&state, HostId("a"), {{ServerId("s1"), 2, 2'000, std::nullopt}}, kNow);
  OnPeerWork(&state, HostId("b"), {{ServerId("s1"), 1, 100, std::nullopt}},
             kNow + milliseconds(500));
  std::vector<BackendServer> servers = {Server("s1"), Server("s2")};
  ApplyPeerWork(state, kNow + milliseconds(600), &servers);
  BOOST_TEST(servers[0].other_hosts_requests == 3);
  BOOST_TEST(servers[0].other_hosts_prefill_tokens == 2'100);
  BOOST_TEST(servers[1].other_hosts_requests == 0);
  ApplyPeerWork(state, kNow + kPeerWorkTtl, &servers);
  BOOST_TEST(servers[0].other_hosts_requests == 1);
}

// Guards against reporting a long prompt too late for other hosts to avoid its server.
BOOST_AUTO_TEST_CASE(LongPromptsAreUrgent) {
  std::vector<ServerWork> before = {{ServerId("s1"), 1, 1'000, std::nullopt}};
  BOOST_TEST(!HasUrgentIncrease(before, {{ServerId("s1"), 2, 2'000, std::nullopt}}));
  BOOST_TEST(
      HasUrgentIncrease(before, {{ServerId("s1"), 2, 1'000 + kUrgentTokenIncrease, std::nullopt}}));
  BOOST_TEST(HasUrgentIncrease(before, {{ServerId("s2"), 1, kUrgentTokenIncrease, std::nullopt}}));
  BOOST_TEST(!HasUrgentIncrease({{ServerId("s1"), 1, 50'000, std::nullopt}}, before));
}

// Guards against a number of lists sent by all hosts that grows with the square of their number.
BOOST_AUTO_TEST_CASE(SendRateOfHostIsBounded) {
  for (size_t hosts : {1u, 3u, 13u, 28u, 100u}) {
    double per_s =
        static_cast<double>(hosts) / std::chrono::duration<double>(PeerWorkInterval(hosts)).count();
    BOOST_TEST(per_s <= kMaxPeerWorkSendsPerSecond + 1e-6, hosts << " hosts");
  }
}

// Guards against a limit that is taken from a host that saw it earlier than another saw it
// withdrawn, and against one that never ends because its host has failed.
BOOST_AUTO_TEST_CASE(NewestLimitOfAllListsHolds) {
  PeerWork state;
  OnPeerWork(&state, HostId("a"), {{ServerId("s1"), 0, 0, ObservedLimit{1.2, seconds(3)}}}, kNow);
  OnPeerWork(&state, HostId("b"), {{ServerId("s1"), 0, 0, ObservedLimit{0, seconds(1)}}}, kNow);
  OnPeerWork(&state, HostId("c"), {{ServerId("s1"), 4, 0, std::nullopt}}, kNow);
  std::vector<BackendServer> servers(1);
  servers[0].announced.id = ServerId("s1");
  ApplyPeerWork(state, kNow, &servers);
  BOOST_TEST(servers[0].other_hosts_limit.per_s == 0);
  BOOST_TEST((servers[0].other_hosts_limit.seen_at == kNow - seconds(1)));
  OnPeerWork(&state, HostId("a"), {{ServerId("s1"), 0, 0, ObservedLimit{1.5, Duration(0)}}}, kNow);
  ApplyPeerWork(state, kNow, &servers);
  BOOST_TEST(servers[0].other_hosts_limit.per_s == 1.5);
  ApplyPeerWork(state, kNow + kPeerWorkTtl, &servers);
  BOOST_TEST((servers[0].other_hosts_limit.seen_at == Time()));
}

}  // namespace ebonylift
