#define BOOST_TEST_MODULE event_relay
#include "daemon/event_relay.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {

// Guards against losing or repeating bytes, or relaying them before their event is complete, for
// every position at which the stream can be split into two reads.
BOOST_AUTO_TEST_CASE(RelaysOnlyCompleteEvents) {
  const std::string stream = "id: 1\ndata: a\n\nweight-versions: 3\nid: 22\ndata: id: 9\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    EventRelay relay;
    std::string first = relay.Feed(stream.substr(0, cut));
    BOOST_TEST((first.empty() || first.substr(first.size() - 2) == "\n\n"));
    std::string all = first + relay.Feed(stream.substr(cut));
    BOOST_TEST(all == stream, "cut at " << cut);
    BOOST_TEST(relay.at_event_boundary());
    BOOST_TEST(relay.last_event_id() == "22");
  }
}

// Guards against continuing a stream after an event that was received only in part.
BOOST_AUTO_TEST_CASE(IncompleteEventDoesNotChangeTheLastEventId) {
  EventRelay relay;
  BOOST_TEST(relay.Feed("id: 4\ndata: x\n\nid: 5\nda") == "id: 4\ndata: x\n\n");
  BOOST_TEST(!relay.at_event_boundary());
  BOOST_TEST(relay.last_event_id() == "4");
  relay.DiscardPartialEvent();
  BOOST_TEST(relay.Feed("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
  BOOST_TEST(relay.last_event_id() == "5");
  BOOST_TEST(relay.at_event_boundary());
}

// Guards against unbounded memory use by an event that never ends.
BOOST_AUTO_TEST_CASE(OversizedEventIsReported) {
  EventRelay relay;
  BOOST_TEST(relay.Feed(std::string(EventRelay::kMaxEventBytes + 1, 'x')).empty());
  BOOST_TEST(relay.too_large());
  BOOST_TEST(!relay.at_event_boundary());
}

}  // namespace ebonylift
