#define BOOST_TEST_MODULE config_puller
#include "daemon/config_puller.h"

#include <boost/test/included/unit_test.hpp>
#include <map>
#include <vector>

namespace ebonylift {
namespace {

const HostId kFrozen("frozen");
const HostId kSound("sound");

// A puller whose replica lacks a revision that other hosts have. All but one of them never respond.
struct Fixture {
  Fixture() : puller(MakeOptions()) {}

  ConfigPuller::Options MakeOptions() {
    ConfigPuller::Options options;
    options.needs_pull = [this] { return !applied; };
    options.in_snapshot = [this] { return in_snapshot; };
    options.choose_host = [this](const std::set<HostId>& excluded) -> std::optional<HostId> {
      for (const HostId& host : frozen) {
        if (excluded.count(host) == 0) return host;
      }
      if (excluded.count(kSound) == 0) return kSound;
      return std::nullopt;
    };
    options.revision = [] { return uint64_t{1}; };
    options.pull = [this](const HostId& host, Duration, ConfigPuller::PullDone done) {
      ++pulls;
      pending[host] = std::move(done);
    };
    options.apply = [this](const std::string&, const HostId&) {
      applied = true;
      return false;
    };
    options.clock = [this] { return now; };
    return options;
  }

  // Advances the time in steps of 50 ms. The sound host responds within a step.
  void Run(Duration duration) {
    for (Time end = now + duration; now < end;) {
      now += milliseconds(50);
      puller.Tick();
      if (pending.count(kSound) == 0) continue;
      ConfigPuller::PullDone done = std::move(pending.at(kSound));
      pending.erase(kSound);
      done("data");
    }
  }

  Time now{seconds(100)};
  std::vector<HostId> frozen{kFrozen};
  bool applied = false;
  bool in_snapshot = false;
  int pulls = 0;
  std::map<HostId, ConfigPuller::PullDone> pending;
  ConfigPuller puller;
};

}  // namespace

// Guards against a host that serves an old configuration until the pull from a stopped host times
// out, which takes longer than a change may take until it is in force.
BOOST_FIXTURE_TEST_CASE(PullFromStoppedHostDoesNotDelayTheChange, Fixture) {
  // The platform's shortest bound for a change to be in force.
  constexpr Duration kApplyTime = seconds(3);
  Run(kApplyTime / 2);
  BOOST_TEST(applied);
  BOOST_TEST(pulls == 2);
}

// Guards against a host that serves an old configuration because pulls from two hosts that are too
// busy to respond keep it from asking a third.
BOOST_FIXTURE_TEST_CASE(TwoBusyHostsDoNotDelayTheChange, Fixture) {
  frozen = {HostId("busy-1"), HostId("busy-2")};
  // The platform's shortest bound for a change to be in force.
  constexpr Duration kApplyTime = seconds(3);
  Run(kApplyTime);
  BOOST_TEST(applied);
}

// Guards against more and more pulls that wait for hosts that do not respond.
BOOST_FIXTURE_TEST_CASE(PendingPullsAreBounded, Fixture) {
  frozen.clear();
  for (int i = 0; i < 30; ++i) frozen.emplace_back("silent-" + std::to_string(i));
  Run(kPullTimeout + kPullTimeout);
  BOOST_TEST(pulls == static_cast<int>(kMaxPulls));
}

// Guards against a host that has nothing newer and is asked again in each step.
BOOST_FIXTURE_TEST_CASE(PullWithoutProgressIsRepeatedAfterADelay, Fixture) {
  now += milliseconds(50);
  puller.Tick();
  pending.at(kFrozen)("nothing newer");
  applied = false;
  puller.Tick();
  BOOST_TEST(pulls == 1);
  now += kPullRetryDelay;
  puller.Tick();
  BOOST_TEST(pulls == 2);
}

// Guards against a snapshot that is requested from many hosts at a time, which share the bandwidth
// of this one.
BOOST_FIXTURE_TEST_CASE(PendingSnapshotPullsAreFewer, Fixture) {
  frozen = {HostId("1"), HostId("2"), HostId("3"), HostId("4")};
  in_snapshot = true;
  Run(kPullTimeout + kPullTimeout);
  BOOST_TEST(pulls == static_cast<int>(kMaxSnapshotPulls));
}

// Guards against a snapshot that is requested from a second host while a large part of it is still
// on its way over a narrow link.
BOOST_FIXTURE_TEST_CASE(PartOfASnapshotGetsMoreTime, Fixture) {
  in_snapshot = true;
  Run(kSlowSnapshotPull - milliseconds(100));
  BOOST_TEST(pulls == 1);
  Run(milliseconds(300));
  BOOST_TEST(applied);
}

// Guards against a failed pull that is repeated at once, and against one that is not repeated.
BOOST_FIXTURE_TEST_CASE(FailedPullIsRepeatedAfterADelay, Fixture) {
  now += milliseconds(50);
  puller.Tick();
  pending.at(kFrozen)(std::nullopt);
  puller.Tick();
  BOOST_TEST(pulls == 1);
  now += kPullRetryDelay;
  puller.Tick();
  BOOST_TEST(pulls == 2);
}

}  // namespace ebonylift
