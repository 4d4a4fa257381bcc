#define BOOST_TEST_MODULE platform_cut
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "tests/support/portal_deployment.h"
#include "tests/support/wait_for.h"

// Gateways that have lost their paths to all replicas, while clients and the other hosts still
// reach them.

namespace ebonylift::test {
namespace {

constexpr int kGatewaysPerZone = 2;
// The platform's bounds: from kContactTime after the cut began, the first tries of clients at these
// gateways are served at least kMinShare as often as those at the others.
constexpr Duration kContactTime = seconds(5);
constexpr double kMinShare = 2.0 / 3;
constexpr Duration kMeasuredTime = seconds(5);
constexpr Duration kHealTime = seconds(5);
constexpr Duration kCallerInterval = milliseconds(50);
constexpr int kCallersPerGateway = 3;

// First tries of clients at one gateway.
struct Tries {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  double Share() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

struct Deployment : PortalDeployment {
  Deployment()
      : PortalDeployment(kGatewaysPerZone, {"este-a", "este-a", "este-a", "centro-a", "norte-a"}) {}
  ~Deployment() { Heal(); }

  void Cut(CutMode mode, const std::set<std::string>& hosts) {
    for (PlatformReplica* replica : replicas) replica->SetCut(mode, hosts);
  }
  void Heal() { Cut(CutMode::kReset, {}); }

  std::string Ip(int gateway) const { return platform.GatewayIpIn("este-a", gateway); }

  // Sends safe and unsafe requests to the gateways of este, from several clients each, for `time`.
  void Load(Duration time) {
    for (int gateway = 0; gateway < kGatewaysPerZone; ++gateway) {
      tries[gateway].sent = 0;
      tries[gateway].served = 0;
    }
    Time end = SteadyNow() + time;
    std::vector<std::thread> clients;
    for (int i = 0; i < kGatewaysPerZone * kCallersPerGateway; ++i) {
      clients.emplace_back([this, i, end] { Client(i % kGatewaysPerZone, i, end); });
    }
    for (std::thread& client : clients) client.join();
  }

  void Client(int gateway, int number, Time end) {
    for (int i = number; SteadyNow() < end; ++i) {
      bool safe = i % 4 != 0;
      std::string id = NextRequestId();
      ++tries[gateway].sent;
      TestResponse response = platform.RequestAt("este-a", gateway, safe ? "GET" : "POST",
                                                 safe ? "/look/x" : "/post/x", id);
      if (response.status == 200) ++tries[gateway].served;
      std::this_thread::sleep_for(kCallerInterval);
    }
  }

  int ArrivalsFrom(int gateway) const {
    int arrivals = 0;
    for (PlatformReplica* replica : replicas) {
      std::map<std::string, int> by_host = replica->ArrivalsByHost();
      arrivals += by_host[Ip(gateway)];
    }
    return arrivals;
  }

  Tries tries[kGatewaysPerZone];
};

const char* Name(CutMode mode) { return mode == CutMode::kSilent ? "silent" : "reset"; }

}  // namespace

// Guards against a gateway that goes on trying servers that it cannot reach instead of handing its
// requests to another gateway of its region, and against one that does not return to them when the
// path is back.
BOOST_FIXTURE_TEST_CASE(CutOffGatewayServesThroughAnother, Deployment) {
  for (CutMode mode : {CutMode::kSilent, CutMode::kReset}) {
    Cut(mode, {Ip(0)});
    Load(kContactTime);
    Load(kMeasuredTime);
    BOOST_TEST_MESSAGE(Name(mode) << ": " << tries[0].served << " of " << tries[0].sent
                                  << " served, at the other gateway " << tries[1].served << " of "
                                  << tries[1].sent);
    BOOST_TEST(tries[0].Share() >= kMinShare * tries[1].Share(), Name(mode));
    BOOST_TEST(tries[1].Share() > 0.9, Name(mode));
    Heal();
    Load(kHealTime);
    int before = ArrivalsFrom(0);
    Load(kMeasuredTime);
    BOOST_TEST(tries[0].Share() > 0.9, "healed after " << Name(mode));
    BOOST_TEST(ArrivalsFrom(0) - before > tries[0].sent / 2, "healed after " << Name(mode));
  }
}

// Guards against requests that are refused because all gateways of the region are cut off, although
// another region can serve them.
BOOST_FIXTURE_TEST_CASE(CutOffRegionIsServedByAnother, Deployment) {
  for (CutMode mode : {CutMode::kSilent, CutMode::kReset}) {
    Cut(mode, {Ip(0), Ip(1)});
    Load(kContactTime);
    Load(kMeasuredTime);
    for (const Tries& at_gateway : tries) {
      BOOST_TEST_MESSAGE(Name(mode) << ": " << at_gateway.served << " of " << at_gateway.sent);
      BOOST_TEST(at_gateway.Share() >= kMinShare, Name(mode));
    }
    Heal();
    Load(kHealTime);
  }
}

}  // namespace ebonylift::test
