#define BOOST_TEST_MODULE timeline_merge
#include "daemon/timeline_merge.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

Event MakeEvent(HlcStamp hlc, const std::string& host) {
  Event event;
  event.hlc = hlc;
  event.host = host;
  return event;
}

// A page with events of `host` at the given times.
TimelinePage MakePage(const std::string& host, const std::vector<HlcStamp>& stamps, bool more) {
  TimelinePage page;
  for (HlcStamp stamp : stamps) page.events.push_back(MakeEvent(stamp, host));
  page.more = more;
  return page;
}

struct Fixture {
  int done_calls = 0;
  std::vector<HlcStamp> stamps;  // of the merged events

  TimelineMerge Merge(size_t pages, size_t limit) {
    return TimelineMerge(pages, limit, [this](const std::vector<Event>& events) {
      ++done_calls;
      for (const Event& event : events) stamps.push_back(event.hlc);
    });
  }
  void Check(const std::vector<HlcStamp>& expected) {
    BOOST_TEST(done_calls == 1);
    BOOST_TEST(stamps == expected, boost::test_tools::per_element());
  }
};

// Guards against a timeline with a gap: a caller that asks again after the last event would never
// get the events that a page did not have room for.
BOOST_FIXTURE_TEST_CASE(EndsWhereTheFirstTruncatedPageEnds, Fixture) {
  TimelineMerge merge = Merge(3, 100);
  merge.AddPage(MakePage("h1", {10, 20, 60}, true));
  merge.AddPage(MakePage("h2", {15, 30}, true));
  BOOST_TEST(done_calls == 0);
  merge.AddPage(MakePage("h3", {5, 25, 30, 31, 90}, false));
  Check({5, 10, 15, 20, 25, 30, 30});
}

// Guards against a timeline that never completes, or is cut off, because one daemon is down.
BOOST_FIXTURE_TEST_CASE(CompletesWithoutAnUnreachableDaemon, Fixture) {
  TimelineMerge merge = Merge(2, 100);
  merge.AddPage(MakePage("h1", {10, 20}, false));
  merge.AddPage(std::nullopt);
  Check({10, 20});
}

// Guards against events that are shown twice when several daemons return the same ones, and against
// the loss of events of different hosts with the same time.
BOOST_FIXTURE_TEST_CASE(DropsOnlyDuplicates, Fixture) {
  TimelineMerge merge = Merge(3, 100);
  merge.AddPage(MakePage("h1", {10, 20}, false));
  merge.AddPage(MakePage("h1", {10, 20}, false));
  merge.AddPage(MakePage("h2", {20}, false));
  Check({10, 20, 20});
}

// Guards against a limit that keeps the newest events, after which the caller could not continue.
BOOST_FIXTURE_TEST_CASE(KeepsTheOldestEventsWithinTheLimit, Fixture) {
  TimelineMerge merge = Merge(2, 2);
  merge.AddPage(MakePage("h1", {20, 40}, false));
  merge.AddPage(MakePage("h2", {10, 30}, false));
  Check({10, 20});
}

// Guards against a merged timeline of many daemons that exceeds the memory limit, and against pages
// so small that a timeline takes very many calls.
BOOST_AUTO_TEST_CASE(PagesShareTheLimitForAllEvents) {
  BOOST_TEST(TimelinePageLimit(1, 1'000'000) == kMaxTimelineEvents);
  BOOST_TEST(TimelinePageLimit(10, 1'000'000) * 10 <= kMaxTimelineEvents);
  BOOST_TEST(TimelinePageLimit(100'000, 1'000'000) == kMinTimelinePage);
  BOOST_TEST(TimelinePageLimit(3, 7) == 7);
}

}  // namespace
}  // namespace ebonylift
