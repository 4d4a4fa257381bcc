#define BOOST_TEST_MODULE announce
#include "daemon/announce.h"

#include <boost/test/included/unit_test.hpp>

#include "base/error.h"

namespace ebonylift {
namespace {

const Time kStart{seconds(1000)};
constexpr WallMillis kWall = 1'700'000'000'000;

struct Step {
  int64_t sent_ms;     // by the server's clock, from kWall on
  int64_t arrived_ms;  // by this host's clocks, from kStart and kWall on
  int64_t age_ms;
};

void Check(const std::string& name, const std::vector<Step>& steps) {
  AnnouncementAges ages;
  for (const Step& step : steps) {
    Duration age = ages.Age(ServerId("s1"), kWall + step.sent_ms,
                            kStart + milliseconds(step.arrived_ms), kWall + step.arrived_ms);
    // The allowance for clock drift takes less than a millisecond here.
    int64_t error = ToMillis(age) - step.age_ms;
    BOOST_TEST((error >= -1 && error <= 1),
               name << ": sent " << step.sent_ms << ", age " << ToMillis(age));
  }
}

}  // namespace

// Guards against held-up announcements that extend the life of a server that has been silent since,
// and against clocks of servers that differ or are set back and make live servers look silent.
BOOST_AUTO_TEST_CASE(AgesOfAnnouncements) {
  Check("in time", {{0, 0, 0}, {700, 701, 1}, {1400, 1400, 0}});
  Check("the first one is late", {{0, 5000, 5000}, {5100, 5101, 0}});
  Check("held up together", {{0, 0, 0}, {700, 5000, 4300}, {1400, 5000, 3600}, {5700, 5700, 0}});
  Check("clock is fast", {{9000, 0, 0}, {9700, 700, 0}, {10'400, 5400, 4000}});
  Check("clock is slow", {{-9000, 0, 9000}, {-8300, 700, 0}, {-7600, 5400, 4000}});
  Check("clock set back",
        {{0, 0, 0}, {700, 700, 0}, {-3600, 1400, 5000}, {-2900, 2100, 0}, {-2200, 2800, 0}});
}

// Guards against a parser that drops the time of sending.
BOOST_AUTO_TEST_CASE(ParsesTheTimeOfSending) {
  const std::string head =
      R"({"id":"s1","kind":"model","domain":"d","region":"r","address":"127.0.0.1:1")";
  BOOST_TEST(ParseAnnouncement(head + "}").sent_at == 0);
  BOOST_TEST(ParseAnnouncement(head + R"(,"sent_at":1700000000000})").sent_at == kWall);
  BOOST_CHECK_THROW(ParseAnnouncement(head + R"(,"sent_at":-1})"), Error);
}

}  // namespace ebonylift
