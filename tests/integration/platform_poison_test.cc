#define BOOST_TEST_MODULE platform_poison
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <thread>

#include "tests/support/portal_deployment.h"

// A request that crashes every replica that runs it, sent again and again through the gateways of
// all regions. Each region has one replica of its service, so each crash is in another region than
// the one before.

namespace ebonylift::test {
namespace {

// The platform's bound: of the requests that have crashed three replicas, at most this many more
// may reach replicas later than kContactTime after the third crash.
constexpr size_t kCrashesBeforeTheBound = 3;
constexpr size_t kPartCrashesBeforeTheBound = 5;  // the same for a part of a prompt
constexpr size_t kMaxLateRuns = 3;
constexpr Duration kContactTime = seconds(5);
constexpr Duration kCallerInterval = milliseconds(100);
const std::string kCrashingPath = std::string("/look") + PlatformReplica::kCrashPath;

class Deployment : public PortalDeployment {
 public:
  Deployment() : PortalDeployment(1, PlatformDeployment::Zones()) {}

  TestResponse SendCrashing(const std::string& zone) {
    return platform.Request(zone, "GET", kCrashingPath, NextRequestId());
  }

  // Sends the crashing request to the gateways of `zones` in turn for `time`.
  void SendCrashingFor(const std::vector<std::string>& zones, Duration time) {
    Time end = SteadyNow() + time;
    for (size_t i = 0; SteadyNow() < end; ++i) {
      SendCrashing(zones[i % zones.size()]);
      std::this_thread::sleep_for(kCallerInterval);
    }
  }

  // Sends requests that share a part of their prompt that crashes replicas, no two alike, and three
  // times as many sound ones that share the other parts, to the gateways of all zones in turn.
  void SendCrashingPartFor(Duration time) {
    Time end = SteadyNow() + time;
    for (size_t i = 0; SteadyNow() < end; ++i) {
      for (int k = 0; k < 4; ++k) {
        const std::string& zone = PlatformDeployment::Zones()[(i + k) % 3];
        bool served = SendPrompt(zone, /*crashing=*/k == 0).status == 200;
        if (k > 0 && served) ++sound_served;
        if (k > 0) ++sound_sent;
      }
      std::this_thread::sleep_for(kCallerInterval);
    }
  }

  TestResponse SendPrompt(const std::string& zone, bool crashing) {
    std::string id = NextRequestId();
    std::string own_part = std::to_string(++last_part_) + ":20";
    std::string prompt = std::string("a1:800,b2:400,") +
                         (crashing ? PlatformReplica::kCrashPart : "c3:100,") + own_part;
    return platform.Request(zone, "GET", "/look/" + id, id,
                            {{"Model", "m"}, {"Prompt-Prefix", prompt}});
  }

  int sound_sent = 0;
  int sound_served = 0;

  // When the crashing request ran, oldest first.
  std::vector<Time> Runs() const {
    std::vector<Time> runs;
    for (PlatformReplica* replica : replicas) {
      std::vector<Time> times = replica->CrashTimes();
      runs.insert(runs.end(), times.begin(), times.end());
    }
    std::sort(runs.begin(), runs.end());
    return runs;
  }

  // The number of runs that count against kMaxLateRuns.
  size_t LateRuns(size_t crashes_before = kCrashesBeforeTheBound) const {
    std::vector<Time> runs = Runs();
    if (runs.size() < crashes_before) return 0;
    Time from = runs[crashes_before - 1] + kContactTime;
    return static_cast<size_t>(
        std::count_if(runs.begin(), runs.end(), [from](Time run) { return run > from; }));
  }

 private:
  int last_part_ = 0x100000;
};

}  // namespace

// Guards against a request that crashes its servers and is run without end, because the gateways do
// not record the losses, or because each region knows only its own; and against other requests that
// are refused with it.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesServersIsRefusedInAllRegions, Deployment) {
  SendCrashingFor(PlatformDeployment::Zones(), 2 * kContactTime + seconds(2));
  BOOST_REQUIRE(Runs().size() >= kCrashesBeforeTheBound);
  BOOST_TEST(LateRuns() <= kMaxLateRuns);
  BOOST_REQUIRE(WaitUntilAllServe());
  size_t runs = Runs().size();
  BOOST_TEST_MESSAGE("runs of the crashing request: " << runs);
  for (const std::string& zone : PlatformDeployment::Zones()) {
    TestResponse refusal = SendCrashing(zone);
    BOOST_TEST(refusal.status == 503, zone);
    BOOST_TEST(!refusal.Header("Retry-After").empty(), zone);
    for (int i = 0; i < 20; ++i) BOOST_TEST(Serves(zone), zone);
  }
  BOOST_TEST(Runs().size() == runs);
}

// Guards against a gateway that runs a refused request again because it was frozen, or not running,
// when the others learned of it.
BOOST_FIXTURE_TEST_CASE(GatewayThatWasAwayRefusesTheRequest, Deployment) {
  platform.StopGateway("norte-a");
  SendCrashingFor({"este-a", "centro-a"}, kContactTime + seconds(2));
  BOOST_REQUIRE(Runs().size() >= kCrashesBeforeTheBound);
  platform.ContinueGateway("norte-a");
  platform.KillGateway("este-a");
  platform.StartGateway("este-a");
  std::this_thread::sleep_for(kContactTime);
  BOOST_REQUIRE(WaitUntilAllServe());
  SendCrashingFor({"norte-a", "este-a"}, seconds(6));
  BOOST_TEST(LateRuns() <= kMaxLateRuns);
}

// Guards against a request that crashes its servers anew after each time that all hosts were killed
// at once.
BOOST_FIXTURE_TEST_CASE(RefusalOutlivesAllProcesses, Deployment) {
  SendCrashingFor(PlatformDeployment::Zones(), kContactTime + seconds(2));
  BOOST_REQUIRE(Runs().size() >= kCrashesBeforeTheBound);
  for (int round = 0; round < 2; ++round) {
    for (size_t i = 0; i < PlatformDeployment::Zones().size(); ++i) {
      platform.KillControl(static_cast<int>(i));
      platform.KillGateway(PlatformDeployment::Zones()[i]);
    }
    for (size_t i = 0; i < PlatformDeployment::Zones().size(); ++i) {
      platform.StartControl(static_cast<int>(i), false);
      platform.StartGateway(PlatformDeployment::Zones()[i]);
    }
    BOOST_REQUIRE(WaitUntilAllServe());
    std::this_thread::sleep_for(kContactTime);
    SendCrashingFor(PlatformDeployment::Zones(), seconds(5));
  }
  BOOST_TEST(LateRuns() <= kMaxLateRuns);
}

// Guards against requests that crash their servers one after the other because each of them is new
// and only a part of their prompts is the same, and against sound requests that are refused because
// they share the other parts.
BOOST_FIXTURE_TEST_CASE(PartOfAPromptThatCrashesServersIsRefused, Deployment) {
  SendCrashingPartFor(2 * kContactTime + seconds(4));
  BOOST_TEST(Runs().size() >= kCrashesBeforeTheBound);
  BOOST_TEST_MESSAGE("runs of requests with the part: " << Runs().size());
  BOOST_TEST(LateRuns(kPartCrashesBeforeTheBound) <= kMaxLateRuns);
  BOOST_REQUIRE(WaitUntilAllServe());
  sound_sent = 0;
  sound_served = 0;
  size_t runs = Runs().size();
  SendCrashingPartFor(seconds(3));
  BOOST_TEST(Runs().size() == runs);
  BOOST_TEST(sound_served == sound_sent);
  for (const std::string& zone : PlatformDeployment::Zones()) {
    TestResponse refusal = SendPrompt(zone, /*crashing=*/true);
    BOOST_TEST(refusal.status == 503, zone);
    BOOST_TEST(!refusal.Header("Retry-After").empty(), zone);
  }
}

}  // namespace ebonylift::test
