#define BOOST_TEST_MODULE base
#include <boost/test/included/unit_test.hpp>

#include "base/error.h"
#include "base/event.h"
#include "base/hash.h"
#include "base/hlc.h"
#include "base/shared_text.h"

namespace ebonylift {

// LookupError() uses the kind as an index, so the rows must be in the order of the enum.
BOOST_AUTO_TEST_CASE(ErrorTableMatchesEnum) {
  for (size_t i = 0; i < AllErrors().size(); ++i) {
    BOOST_TEST(static_cast<size_t>(AllErrors()[i].kind) == i);
    BOOST_TEST((ErrorKindFromCode(AllErrors()[i].code) == AllErrors()[i].kind));
  }
  BOOST_TEST(AllErrors().size() == static_cast<size_t>(ErrorKind::kInternal) + 1);
}

// The number that is logged and documented must equal the enum value of the event.
BOOST_AUTO_TEST_CASE(EventTableMatchesEnum) {
  for (const EventInfo& info : AllEvents()) {
    BOOST_TEST(static_cast<int>(info.id) == info.number);
  }
}

BOOST_AUTO_TEST_CASE(HashesMatchPublishedTestVectors) {
  BOOST_TEST(Crc32c("123456789") == 0xe3069283u);
  BOOST_TEST(Sha256Hex("abc") ==
             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(HmacHex("Jefe", "what do ya want for nothing?") ==
             "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Timestamps must increase when the wall clock goes backwards and after receipt of a larger remote
// timestamp. A remote timestamp too far ahead must be ignored.
BOOST_AUTO_TEST_CASE(HybridClockIsMonotonic) {
  HybridClock clock;
  HlcStamp first = clock.Now(1000);
  BOOST_TEST(clock.Now(500) > first);
  HlcStamp remote = static_cast<HlcStamp>(5000) << 16;
  BOOST_TEST(clock.Receive(remote, 1000) > remote);
  HlcStamp far_ahead = static_cast<HlcStamp>(60'000) << 16;
  BOOST_TEST(clock.Receive(far_ahead, 1000) < far_ahead);
}

// The event buffer must be bounded and remove the oldest events first.
BOOST_AUTO_TEST_CASE(EventRecordDropsOldest) {
  EventRecord record;
  for (size_t i = 0; i < EventRecord::kCapacity + 10; ++i) {
    Event event;
    event.hlc = i + 1;
    record.Add(event);
  }
  std::vector<Event> all = record.Read(0, "", 100'000);
  BOOST_TEST(all.size() == EventRecord::kCapacity);
  BOOST_TEST(all.front().hlc == 11u);
}

// Guards against control hosts that hold a copy of a large document at each stage of its change.
BOOST_AUTO_TEST_CASE(CopiesOfASharedTextShareItsBuffer) {
  SharedText text("a large document");
  SharedText copy = text;
  BOOST_TEST(&copy.text() == &text.text());
  BOOST_TEST(copy == text);
  BOOST_TEST((SharedText("a large document") == text));
  BOOST_TEST((SharedText("another") != text));
  copy = "another";
  BOOST_TEST(text.text() == "a large document");
  BOOST_TEST(SharedText().size() == 0u);
}

}  // namespace ebonylift
