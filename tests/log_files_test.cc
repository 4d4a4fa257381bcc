#define BOOST_TEST_MODULE log_files
#include "cli/log_files.h"

#include <boost/test/included/unit_test.hpp>
#include <sstream>

namespace ebonylift {
namespace {

std::string Line(HlcStamp hlc, const std::string& daemon, const std::string& request) {
  return "{\"event\":200,\"name\":\"request_received\",\"time\":1,\"hlc\":" + std::to_string(hlc) +
         ",\"daemon\":\"" + daemon + "\",\"request_id\":\"" + request + "\"}\n";
}

std::vector<nlohmann::json> Read(const std::string& log, const EventFilter& filter) {
  std::istringstream in(log);
  std::vector<nlohmann::json> events;
  ReadLogEvents(in, filter, &events);
  return events;
}

}  // namespace

// Guards against an order by file instead of by what happened.
BOOST_AUTO_TEST_CASE(EventsOfSeveralDaemonsAreMergedByStamp) {
  std::vector<nlohmann::json> events = Read(Line(3, "a", "r-1") + Line(9, "a", "r-1"), {});
  std::istringstream other(Line(5, "b", "r-1"));
  ReadLogEvents(other, {}, &events);
  SortByStamp(&events);
  BOOST_REQUIRE(events.size() == 3u);
  BOOST_TEST(events[0]["hlc"] == 3);
  BOOST_TEST(events[1]["daemon"] == "b");
  BOOST_TEST(events[2]["hlc"] == 9);
}

// Guards against a log that cannot be read because of lines of other programs or a torn line.
BOOST_AUTO_TEST_CASE(OtherLinesArePassedOver) {
  std::string whole = Line(3, "a", "r-1");
  std::string log = "started\n{\"event\":\n0.05 front-1 " + whole + "{\"event\":1}\n\n" +
                    whole.substr(0, whole.size() / 2);
  BOOST_TEST(Read(log, {}).size() == 1u);
}

// Guards against events of other requests, or older ones, in the answer.
BOOST_AUTO_TEST_CASE(FilterSelects) {
  std::string log = Line(3, "a", "r-1") + Line(4, "a", "r-2") + Line(5, "a", "r-1");
  BOOST_TEST(Read(log, {"r-1", 0}).size() == 2u);
  BOOST_TEST(Read(log, {"r-1", 3}).size() == 1u);
  BOOST_TEST(Read(log, {"r-", 0}).empty());
  BOOST_TEST(Read(log, {"", 4}).size() == 1u);
}

}  // namespace ebonylift
