#define BOOST_TEST_MODULE drain_times
#include <boost/test/included/unit_test.hpp>

#include "core/drain.h"

namespace ebonylift {
namespace {

constexpr Time kBegan{seconds(1'000)};

}  // namespace

// Guards against a host that waits for others so long that it refuses requests as soon as it leaves
// the lists, or before.
BOOST_AUTO_TEST_CASE(HostLeavesWhileItTakesRequests) {
  for (Duration timeout : {seconds(1), seconds(3), seconds(8), seconds(120), seconds(3'600)}) {
    DrainTimes drain{kBegan, kBegan + timeout};
    Time left = kBegan + MaxDrainDelay(timeout);
    Time long_after = drain.ends + seconds(60);
    BOOST_TEST_CONTEXT("timeout " << ToMillis(timeout) << " ms") {
      BOOST_TEST(MayTakeRequest(drain, long_after, left));
      BOOST_TEST((TakesLongRequestsUntil(drain) - left >= timeout / 10));
      BOOST_TEST(MaxDrainDelay(timeout).count() <= Duration(milliseconds(1'500)).count());
    }
  }
}

// Guards against requests that are taken without the time to end.
BOOST_AUTO_TEST_CASE(RequestThatMayOutlastTheShutdownIsTakenEarlyOnly) {
  const DrainTimes drain{kBegan, kBegan + milliseconds(7'500)};
  const Time until = TakesLongRequestsUntil(drain);
  BOOST_TEST((until == kBegan + milliseconds(2'500)));
  const Time longer = drain.ends + milliseconds(1);
  BOOST_TEST(MayTakeRequest(drain, longer, kBegan));
  BOOST_TEST(MayTakeRequest(drain, longer, until - milliseconds(1)));
  BOOST_TEST(!MayTakeRequest(drain, longer, until));
  BOOST_TEST(MayTakeRequest(drain, drain.ends, until));
  BOOST_TEST(MayTakeRequest(DrainTimes(), longer, until));
}

}  // namespace ebonylift
