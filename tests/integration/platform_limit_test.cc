#define BOOST_TEST_MODULE platform_limit
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <thread>

#include "tests/support/portal_deployment.h"
#include "tests/support/wait_for.h"

// A replica that names the requests a second that it takes from all hosts together, while callers
// send many times as much through the gateways of all regions.

namespace ebonylift::test {
namespace {

constexpr Duration kStartTimeout = seconds(20);
// The platform's bound: from kContactTime after a replica first named its limit, it gets in any
// kLimitWindow at most kLimitFactor times what the limit allows, plus kLimitSlack requests.
constexpr Duration kContactTime = seconds(5);
constexpr Duration kLimitWindow = seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr int kGatewaysPerZone = 2;
constexpr int kCallers = 4;
constexpr Duration kCallerInterval = milliseconds(50);
constexpr double kLimit = 2;
const char kLimitText[] = "2.0";

class Deployment : public PortalDeployment {
 public:
  Deployment() : PortalDeployment(kGatewaysPerZone, {"este-a", "este-a", "este-a", "centro-a"}) {
    BOOST_REQUIRE(WaitFor(
        [this] {
          Serves("este-a");
          Serves("centro-a");
          return std::all_of(replicas.begin(), replicas.end(), [](PlatformReplica* replica) {
            return replica->RunTimes().size() > 2;
          });
        },
        kStartTimeout));
  }

  void StartCallers() {
    callers = std::make_unique<PortalCallers>(this, kCallers, kCallerInterval);
  }
  void StopCallers() { callers->Stop(); }

  std::unique_ptr<PortalCallers> callers;
};

// The most runs in any kLimitWindow that begins at `from` or later and ends by `to`.
size_t MostRuns(const std::vector<Time>& runs, Time from, Time to) {
  size_t most = 0;
  for (auto first = std::lower_bound(runs.begin(), runs.end(), from); first != runs.end();
       ++first) {
    Time end = std::min(*first + kLimitWindow, to);
    auto after = std::lower_bound(first, runs.end(), end);
    most = std::max(most, static_cast<size_t>(after - first));
  }
  return most;
}

size_t AllowedRuns() {
  return static_cast<size_t>(
      kLimitFactor * kLimit * std::chrono::duration<double>(kLimitWindow).count() + kLimitSlack);
}

}  // namespace

// Guards against a replica in need that gets as many requests as before because the hosts do not
// read its limit, or each of them takes all of it; and against one that gets few requests for ever
// because the hosts that have no share of them do not learn that the limit is withdrawn.
BOOST_FIXTURE_TEST_CASE(NamedLimitHoldsForAllHostsTogether, Deployment) {
  PlatformReplica* limited = replicas[0];
  StartCallers();
  for (int round = 0; round < 2; ++round) {
    limited->SetLimit(kLimitText);
    Time named = SteadyNow();
    std::this_thread::sleep_for(kContactTime + 2 * kLimitWindow);
    Time withdrawn = SteadyNow();
    limited->SetLimit("");
    size_t most = MostRuns(limited->RunTimes(), named + kContactTime, withdrawn);
    BOOST_TEST_MESSAGE("round " << round << ": most runs in a window " << most);
    BOOST_TEST(most <= AllowedRuns());
    BOOST_TEST(most > 0u);
    // The other two replicas of the region get about a third of the requests each.
    std::this_thread::sleep_for(2 * kLimitWindow);
    BOOST_TEST(MostRuns(limited->RunTimes(), withdrawn, SteadyNow()) > 2 * AllowedRuns());
  }
  StopCallers();
  BOOST_TEST(callers->not_served() == 0);
}

// Guards against a gateway that takes all of the limit for itself after it was frozen or started
// again.
BOOST_FIXTURE_TEST_CASE(NamedLimitHoldsAcrossRestartsAndFreezes, Deployment) {
  PlatformReplica* limited = replicas[0];
  limited->SetLimit(kLimitText);
  Time named = SteadyNow();
  StartCallers();
  std::this_thread::sleep_for(kContactTime);
  platform.KillGateway("este-a");
  platform.StartGateway("este-a");
  std::this_thread::sleep_for(kContactTime);
  platform.StopGateway("este-a");
  std::this_thread::sleep_for(seconds(2));
  platform.ContinueGateway("este-a");
  std::this_thread::sleep_for(kContactTime);
  StopCallers();
  BOOST_TEST(MostRuns(limited->RunTimes(), named + kContactTime, SteadyNow()) <= AllowedRuns());
}

}  // namespace ebonylift::test
