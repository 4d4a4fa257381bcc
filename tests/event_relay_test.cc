#define BOOST_TEST_MODULE event_relay
#include "daemon/event_relay.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {

// Guards against bytes that are lost, repeated or passed on before their event is whole, for every
// way in which the stream can be cut into two reads.
BOOST_AUTO_TEST_CASE(OnlyWholeEventsPass) {
  const std::string stream = "id: 1\ndata: a\n\nweight-versions: 3\nid: 22\ndata: id: 9\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    EventRelay relay;
    std::string first = relay.Feed(stream.substr(0, cut));
    BOOST_TEST((first.empty() || first.substr(first.size() - 2) == "\n\n"));
    std::string all = first + relay.Feed(stream.substr(cut));
    BOOST_TEST(all == stream, "cut at " << cut);
    BOOST_TEST(relay.whole());
    BOOST_TEST(relay.last_event() == "22");
  }
}

// Guards against a stream that goes on after an event that the caller did not get.
BOOST_AUTO_TEST_CASE(ABrokenEventIsNotCounted) {
  EventRelay relay;
  BOOST_TEST(relay.Feed("id: 4\ndata: x\n\nid: 5\nda") == "id: 4\ndata: x\n\n");
  BOOST_TEST(!relay.whole());
  BOOST_TEST(relay.last_event() == "4");
  relay.DropPartial();
  BOOST_TEST(relay.Feed("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
  BOOST_TEST(relay.last_event() == "5");
  BOOST_TEST(relay.whole());
}

// Guards against an event without end that fills the memory.
BOOST_AUTO_TEST_CASE(AnEventHasABound) {
  EventRelay relay;
  BOOST_TEST(relay.Feed(std::string(EventRelay::kMaxEventBytes + 1, 'x')).empty());
  BOOST_TEST(relay.too_large());
  BOOST_TEST(!relay.whole());
}

}  // namespace ebonylift
