#define BOOST_TEST_MODULE stream
#include "daemon/stream.h"

#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace ebonylift {
namespace {

std::string ChatEvent(const std::string& text) {
  nlohmann::json body = {{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
  return "data: " + body.dump() + "\n\n";
}

}  // namespace

// The resume offset must equal the byte length of the decoded text, including escapes and
// multi-byte characters, no matter how the input is split into chunks.
BOOST_AUTO_TEST_CASE(CountsTextBytesForAnySplit) {
  const std::string texts[] = {"plain", "line\nbreak", "quote\"",    "back\\slash",
                               "اردو",  "\x01",        "emoji 🧭", ""};
  std::string stream;
  size_t want = 0;
  for (const std::string& text : texts) {
    stream += ChatEvent(text);
    want += text.size();
  }
  constexpr unsigned kSeed = 7;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937 rng(kSeed);
  for (int round = 0; round < 200; ++round) {
    StreamTracker tracker;
    std::string relayed;
    for (size_t at = 0; at < stream.size();) {
      size_t size = 1 + rng() % 40;
      relayed += tracker.Feed(std::string_view(stream).substr(at, size));
      at += size;
    }
    BOOST_REQUIRE(relayed == stream);
    BOOST_REQUIRE(tracker.generated_text_bytes() == want);
  }
}

BOOST_AUTO_TEST_CASE(CountsEscapedUnicode) {
  BOOST_TEST(EventTextBytes(R"(data: {"text":"\u0041\u00e9\u0627\ud83e\udded"})") ==
             1u + 2u + 2u + 4u);
  BOOST_TEST(EventTextBytes(R"(data: {"usage":{}})") == 0u);
}

// The end marker must not reach the caller before the response is recorded.
BOOST_AUTO_TEST_CASE(EndMarkerIsWithheld) {
  StreamTracker tracker;
  std::string out = tracker.Feed(ChatEvent("a") + "data: [DONE]\n\n");
  BOOST_TEST(out == ChatEvent("a"));
  BOOST_TEST(tracker.done());
  BOOST_TEST(tracker.end_marker() == "data: [DONE]\n\n");
}

// An incomplete event must not be relayed or count as the end marker, or a truncated stream would
// look complete.
BOOST_AUTO_TEST_CASE(PartialEventIsNotRelayed) {
  StreamTracker tracker;
  BOOST_TEST(tracker.Feed("data: {\"choices\"").empty());
  BOOST_TEST(!tracker.done());
  tracker.DiscardPartialEvent();
  BOOST_TEST(tracker.Feed("data: [DO").empty());
  BOOST_TEST(!tracker.done());
}

BOOST_AUTO_TEST_CASE(ErrorEventAndOversizedEventSetError) {
  StreamTracker error;
  error.Feed("data: {\"error\":{}}\n\n");
  BOOST_TEST(error.error());
  StreamTracker large;
  large.Feed(std::string(StreamTracker::kMaxEventBytes + 1, 'x'));
  BOOST_TEST(large.error());
}

}  // namespace ebonylift
