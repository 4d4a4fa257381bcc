#define BOOST_TEST_MODULE announce
#include "daemon/announce.h"

#include <boost/test/included/unit_test.hpp>

#include "base/error.h"

namespace ebonylift {
namespace {

const Time kStart{seconds(1000)};
constexpr WallMillis kWall = 1'700'000'000'000;

struct Arrival {
  int64_t sent_ms;     // by the server's clock, from kWall on
  int64_t arrived_ms;  // by this host's clocks, from kStart and kWall on
  int64_t delay_ms;    // expected
};

void CheckDelays(const std::string& name, const std::vector<Arrival>& arrivals) {
  AnnouncementDelayEstimator estimator;
  for (const Arrival& arrival : arrivals) {
    Duration delay =
        estimator.Delay(ServerId("s1"), kWall + arrival.sent_ms,
                        kStart + milliseconds(arrival.arrived_ms), kWall + arrival.arrived_ms);
    // The correction for clock drift is below 1 ms in these cases.
    int64_t error = ToMillis(delay) - arrival.delay_ms;
    BOOST_TEST((error >= -1 && error <= 1),
               name << ": sent " << arrival.sent_ms << ", delay " << ToMillis(delay));
  }
}

}  // namespace

// A delayed announcement must not extend the life of a server that has been silent since it was
// sent. A server whose clock differs from this host's, or is set back, must not be treated as
// silent.
BOOST_AUTO_TEST_CASE(EstimatesAnnouncementDelay) {
  CheckDelays("on time", {{0, 0, 0}, {700, 701, 1}, {1400, 1400, 0}});
  CheckDelays("first announcement delayed", {{0, 5000, 5000}, {5100, 5101, 0}});
  CheckDelays("delayed and delivered together",
              {{0, 0, 0}, {700, 5000, 4300}, {1400, 5000, 3600}, {5700, 5700, 0}});
  CheckDelays("server clock is fast", {{9000, 0, 0}, {9700, 700, 0}, {10'400, 5400, 4000}});
  CheckDelays("server clock is slow", {{-9000, 0, 9000}, {-8300, 700, 0}, {-7600, 5400, 4000}});
  CheckDelays("server clock set back",
              {{0, 0, 0}, {700, 700, 0}, {-3600, 1400, 5000}, {-2900, 2100, 0}, {-2200, 2800, 0}});
}

// If the parser dropped `sent_at`, a delayed announcement would count as just sent.
BOOST_AUTO_TEST_CASE(ParsesSentAt) {
  const std::string head =
      R"({"id":"s1","kind":"model","domain":"d","region":"r","address":"127.0.0.1:1")";
  BOOST_TEST(ParseAnnouncement(head + "}").sent_at == 0);
  BOOST_TEST(ParseAnnouncement(head + R"(,"sent_at":1700000000000})").sent_at == kWall);
  BOOST_CHECK_THROW(ParseAnnouncement(head + R"(,"sent_at":-1})"), Error);
}

}  // namespace ebonylift
