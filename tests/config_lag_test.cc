#define BOOST_TEST_MODULE config_lag
#include "daemon/config_lag.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {

// Guards against a late configuration that no metric shows: a revision counts as awaited from the
// first word of it until it is in force, also while newer ones become known.
BOOST_AUTO_TEST_CASE(RevisionIsAwaitedUntilItIsInForce) {
  const HostId source("a");
  ConfigLag lag;
  Time start{seconds(100)};
  lag.OnHeard(5, source, source, 4, start);
  lag.OnHeard(5, source, source, 4, start + seconds(1));
  lag.OnHeard(6, source, source, 4, start + seconds(1));
  BOOST_TEST(ToMillis(lag.Behind(start + seconds(2))) == 2000);
  BOOST_TEST(!lag.OnInForce(4, start + seconds(2)).has_value());
  std::optional<Duration> first = lag.OnInForce(5, start + seconds(3));
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(ToMillis(*first) == 3000);
  BOOST_TEST(ToMillis(lag.Behind(start + seconds(3))) == 2000);
  BOOST_TEST(lag.OnInForce(7, start + seconds(4)).has_value());
  BOOST_TEST(ToMillis(lag.Behind(start + seconds(5))) == 0);
  lag.OnHeard(7, source, source, 7, start + seconds(5));
  BOOST_TEST(ToMillis(lag.Behind(start + seconds(6))) == 0);
}

}  // namespace ebonylift
