#define BOOST_TEST_MODULE log_files
#include "cli/log_files.h"

#include <boost/test/included/unit_test.hpp>
#include <sstream>

namespace ebonylift {
namespace {

std::string Line(HlcStamp hlc, const std::string& daemon, const std::string& request_id) {
  return "{\"event\":200,\"name\":\"request_received\",\"time\":1,\"hlc\":" + std::to_string(hlc) +
         ",\"daemon\":\"" + daemon + "\",\"request_id\":\"" + request_id + "\"}\n";
}

std::vector<nlohmann::json> Read(const std::string& log, const EventFilter& filter) {
  std::istringstream in(log);
  std::vector<nlohmann::json> events;
  ReadLogEvents(in, filter, &events);
  return events;
}

}  // namespace

// The merged events must be ordered by timestamp, not by file.
BOOST_AUTO_TEST_CASE(EventsOfSeveralDaemonsAreMergedByTimestamp) {
  std::vector<nlohmann::json> events = Read(Line(3, "a", "r-1") + Line(9, "a", "r-1"), {});
  std::istringstream other(Line(5, "b", "r-1"));
  ReadLogEvents(other, {}, &events);
  SortByTimestamp(&events);
  BOOST_REQUIRE(events.size() == 3u);
  BOOST_TEST(events[0]["hlc"] == 3);
  BOOST_TEST(events[1]["daemon"] == "b");
  BOOST_TEST(events[2]["hlc"] == 9);
}

// Lines of other programs, malformed events and a truncated last line must be skipped.
BOOST_AUTO_TEST_CASE(OtherLinesAreSkipped) {
  std::string complete = Line(3, "a", "r-1");
  std::string log = "started\n{\"event\":\n0.05 front-1 " + complete + "{\"event\":1}\n\n" +
                    complete.substr(0, complete.size() / 2);
  BOOST_TEST(Read(log, {}).size() == 1u);
}

// The filter must exclude events of other requests, even if the id is a prefix, and older events.
BOOST_AUTO_TEST_CASE(FilterByRequestIdAndTime) {
  std::string log = Line(3, "a", "r-1") + Line(4, "a", "r-2") + Line(5, "a", "r-1");
  BOOST_TEST(Read(log, {"r-1", 0}).size() == 2u);
  BOOST_TEST(Read(log, {"r-1", 3}).size() == 1u);
  BOOST_TEST(Read(log, {"r-", 0}).empty());
  BOOST_TEST(Read(log, {"", 4}).size() == 1u);
}

// Guards against a request that cannot be found in any log by the id under which its caller reports
// it.
BOOST_AUTO_TEST_CASE(FilterByTheIdOfTheCaller) {
  std::string log =
      "{\"event\":202,\"name\":\"request_answered\",\"time\":1,\"hlc\":4,"
      "\"daemon\":\"a\",\"request_id\":\"r-1\",\"caller_request_id\":\"39ed\"}\n" +
      Line(5, "a", "r-2");
  BOOST_TEST(Read(log, {"39ed", 0}).size() == 1u);
  BOOST_TEST(Read(log, {"39", 0}).empty());
}

}  // namespace ebonylift
