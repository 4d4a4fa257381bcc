#define BOOST_TEST_MODULE chunked_body
#include "adapters/chunked_body.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

constexpr size_t kMaxHeldBytes = 1 << 20;

}  // namespace

// Guards against a result that depends on where the received bytes are split.
BOOST_AUTO_TEST_CASE(SplitBytesDecodeAlike) {
  const std::string valid = "3;x=\"y\"\r\na\r\n\r\nA\r\n0123456789\r\n000\r\nx: y\r\n\r\nHTTP/1.1";
  const std::string invalid = "3\r\nabc\r\n4g\r\nabcd\r\n";
  for (size_t first = 0; first <= valid.size(); ++first) {
    for (size_t second = first; second <= valid.size(); ++second) {
      ChunkedBody body;
      std::string out;
      BOOST_TEST(!DecodeChunks(valid.substr(0, first), &body, &out));
      BOOST_TEST(!DecodeChunks(valid.substr(first, second - first), &body, &out));
      BOOST_TEST(!DecodeChunks(valid.substr(second), &body, &out));
      BOOST_TEST(out == "a\r\n0123456789");
      BOOST_TEST((body.next == ChunkedBodyPart::kEnd));
    }
  }
  for (size_t split = 0; split <= invalid.size(); ++split) {
    ChunkedBody body;
    std::string out;
    bool failed = DecodeChunks(invalid.substr(0, split), &body, &out) != nullptr ||
                  DecodeChunks(invalid.substr(split), &body, &out) != nullptr;
    BOOST_TEST(failed, "split at " << split);
    BOOST_TEST(out == "abc");
  }
}

// Guards against a server that sends a line, or trailer fields, without end.
BOOST_AUTO_TEST_CASE(LinesWithoutEndAreBounded) {
  for (const char* start : {"4;", "4\r\nbody", "0\r\nx: ", "0\r\n"}) {
    for (const char* repeated : {"yyyyyyyy", "y: y\r\n"}) {
      ChunkedBody body;
      std::string out;
      const char* error = DecodeChunks(start, &body, &out);
      size_t held = 0;
      while (error == nullptr && held < kMaxHeldBytes) {
        error = DecodeChunks(repeated, &body, &out);
        held += std::string_view(repeated).size();
      }
      BOOST_TEST(error != nullptr, start << repeated);
    }
  }
}

}  // namespace ebonylift
