#define BOOST_TEST_MODULE load_shedding
#include "core/load_shedding.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

constexpr int kRequests = 1000;

// Returns how many of kRequests are refused at this delay.
int Refused(Duration delay, const SheddingQuery& query) {
  LoadShedding state;
  OnLoopDelay(state, delay, Time());
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    if (MustShed(state, query)) ++refused;
  }
  return refused;
}

}  // namespace

// Guards against requests that are refused by a thread with time to spare, and against one that is
// late and takes more than it can handle.
BOOST_AUTO_TEST_CASE(RefusedShareGrowsWithTheDelay) {
  const SheddingQuery urgent;
  BOOST_TEST(Refused(kMinSheddingDelay, urgent) == 0);
  BOOST_TEST(Refused((kMinSheddingDelay + kMaxLoopDelay) / 2, urgent) == kRequests / 2);
  BOOST_TEST(Refused(kMaxLoopDelay, urgent) == kRequests);
  BOOST_TEST(Refused(10 * kMaxLoopDelay, urgent) == kRequests);
}

// Guards against urgent requests that are refused while others are served, and against work of
// another host that is lost.
BOOST_AUTO_TEST_CASE(LessUrgentRequestsAreRefusedFirstAndForwardedOnesLast) {
  const SheddingQuery less_urgent{false, false};
  const SheddingQuery forwarded{true, true};
  BOOST_TEST(Refused(kMinSheddingDelay / 2, less_urgent) == 0);
  BOOST_TEST(Refused(kMinSheddingDelay, less_urgent) > 0);
  BOOST_TEST(Refused(kMaxLoopDelay / 2, less_urgent) == kRequests);
  BOOST_TEST(Refused(kMaxLoopDelay, forwarded) == 0);
  BOOST_TEST(Refused(kMaxLoopDelayOfForwarded, forwarded) == kRequests);
}

// Guards against a host that changes its state at each measurement, which other hosts would be
// told.
BOOST_AUTO_TEST_CASE(OverloadEndsAfterACalmTime) {
  LoadShedding state;
  Time now = Time() + seconds(100);
  OnLoopDelay(state, kMinSheddingDelay, now);
  BOOST_TEST(!state.overloaded);
  OnLoopDelay(state, kMaxLoopDelay, now);
  BOOST_TEST(state.overloaded);
  OnLoopDelay(state, Duration(0), now + kOverloadEndTime / 2);
  BOOST_TEST(state.overloaded);
  OnLoopDelay(state, kMinSheddingDelay, now + kOverloadEndTime);
  OnLoopDelay(state, Duration(0), now + 2 * kOverloadEndTime - milliseconds(1));
  BOOST_TEST(state.overloaded);
  OnLoopDelay(state, Duration(0), now + 2 * kOverloadEndTime);
  BOOST_TEST(!state.overloaded);
}

}  // namespace ebonylift
