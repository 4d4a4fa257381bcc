#define BOOST_TEST_MODULE forward
#include "daemon/forward.h"

#include <boost/test/included/unit_test.hpp>

#include "base/error.h"

namespace ebonylift {
namespace {

const char kKey[] = "cluster-key-of-the-test";
constexpr WallMillis kNow = 1'000'000;

ForwardMark MakeMark() {
  ForwardMark mark;
  mark.from = HostId("este-1");
  mark.request = RequestId("r-1");
  mark.hops = 1;
  mark.crossed = true;
  mark.deadline_ms = 5000;
  mark.team = TeamId("rocha");
  mark.route = RouteId("trails");
  mark.traffic_class = TrafficClass::kCheck;
  mark.idempotent = false;
  mark.revision = 7;
  mark.time = kNow;
  return mark;
}

ForwardBinding MakeBinding() { return {"POST", "/v1/completions?", "key-1", "abc"}; }

// Returns the kind of the error that DecodeForward() throws, kInternal if it succeeds.
ErrorKind DecodeErrorKind(const std::string& value, const ForwardBinding& binding, WallMillis now) {
  try {
    DecodeForward(value, binding, kKey, now);
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

}  // namespace

BOOST_AUTO_TEST_CASE(EncodeDecodeRoundTrip) {
  std::string value = EncodeForward(MakeMark(), MakeBinding(), kKey);
  ForwardMark mark = DecodeForward(value, MakeBinding(), kKey, kNow + 10);
  BOOST_TEST(mark.from == HostId("este-1"));
  BOOST_TEST(mark.hops == 1);
  BOOST_TEST(mark.crossed);
  BOOST_TEST(!mark.claimed);
  BOOST_TEST(!mark.idempotent);
  BOOST_TEST((mark.traffic_class == TrafficClass::kCheck));
  BOOST_TEST(mark.deadline_ms == 5000);
}

// A caller must not be able to forge the header, modify a field, use it for a different request or
// replay it after it expired.
BOOST_AUTO_TEST_CASE(TamperedReusedOrExpiredHeaderIsRefused) {
  std::string value = EncodeForward(MakeMark(), MakeBinding(), kKey);
  std::string fewer_hops = value;
  fewer_hops.replace(fewer_hops.find(";1;"), 3, ";0;");
  BOOST_TEST((DecodeErrorKind(fewer_hops, MakeBinding(), kNow) == ErrorKind::kForwardRefused));
  const ForwardBinding different_bindings[] = {{"GET", "/v1/completions?", "key-1", "abc"},
                                               {"POST", "/v1/completions?x=1", "key-1", "abc"},
                                               {"POST", "/v1/completions?", "key-2", "abc"},
                                               {"POST", "/v1/completions?", "key-1", "abd"}};
  for (const ForwardBinding& binding : different_bindings) {
    BOOST_TEST((DecodeErrorKind(value, binding, kNow) == ErrorKind::kForwardRefused));
  }
  BOOST_TEST((DecodeErrorKind("v1;x", MakeBinding(), kNow) == ErrorKind::kForwardRefused));
  BOOST_TEST((DecodeErrorKind(value, MakeBinding(), kNow + kMaxForwardAgeMs + 1) ==
              ErrorKind::kForwardRefused));
}

// The hop limit prevents forwarding loops between hosts.
BOOST_AUTO_TEST_CASE(TooManyHopsAreRefused) {
  ForwardMark mark = MakeMark();
  mark.hops = kMaxHops + 1;
  std::string value = EncodeForward(mark, MakeBinding(), kKey);
  BOOST_TEST((DecodeErrorKind(value, MakeBinding(), kNow) == ErrorKind::kHopLimit));
}

}  // namespace ebonylift
