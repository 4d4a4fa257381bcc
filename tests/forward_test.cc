#define BOOST_TEST_MODULE forward
#include "daemon/forward.h"

#include <boost/test/included/unit_test.hpp>

#include "base/error.h"

namespace ebonylift {
namespace {

const char kKey[] = "cluster-key-of-the-test";
constexpr WallMillis kNow = 1'000'000;

ForwardMark SomeMark() {
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

ForwardBinding SomeBinding() { return {"POST", "/v1/completions?", "key-1", "abc"}; }

ErrorKind DecodeError(const std::string& value, const ForwardBinding& binding, WallMillis now) {
  try {
    DecodeForward(value, binding, kKey, now);
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

}  // namespace

BOOST_AUTO_TEST_CASE(MarkSurvivesARoundTrip) {
  std::string value = EncodeForward(SomeMark(), SomeBinding(), kKey);
  ForwardMark mark = DecodeForward(value, SomeBinding(), kKey, kNow + 10);
  BOOST_TEST(mark.from == HostId("este-1"));
  BOOST_TEST(mark.hops == 1);
  BOOST_TEST(mark.crossed);
  BOOST_TEST(!mark.claimed);
  BOOST_TEST(!mark.idempotent);
  BOOST_TEST((mark.traffic_class == TrafficClass::kCheck));
  BOOST_TEST(mark.deadline_ms == 5000);
}

// Guards against a caller that forges the mark or reuses one for another request.
BOOST_AUTO_TEST_CASE(AnyChangeIsRefused) {
  std::string value = EncodeForward(SomeMark(), SomeBinding(), kKey);
  std::string fewer_hops = value;
  fewer_hops.replace(fewer_hops.find(";1;"), 3, ";0;");
  BOOST_TEST((DecodeError(fewer_hops, SomeBinding(), kNow) == ErrorKind::kForwardRefused));
  const ForwardBinding others[] = {{"GET", "/v1/completions?", "key-1", "abc"},
                                   {"POST", "/v1/completions?x=1", "key-1", "abc"},
                                   {"POST", "/v1/completions?", "key-2", "abc"},
                                   {"POST", "/v1/completions?", "key-1", "abd"}};
  for (const ForwardBinding& binding : others) {
    BOOST_TEST((DecodeError(value, binding, kNow) == ErrorKind::kForwardRefused));
  }
  BOOST_TEST((DecodeError("v1;x", SomeBinding(), kNow) == ErrorKind::kForwardRefused));
  BOOST_TEST((DecodeError(value, SomeBinding(), kNow + kForwardValidMs + 1) ==
              ErrorKind::kForwardRefused));
}

// Guards against requests that circle between hosts.
BOOST_AUTO_TEST_CASE(TooManyHopsAreRefused) {
  ForwardMark mark = SomeMark();
  mark.hops = kMaxHops + 1;
  std::string value = EncodeForward(mark, SomeBinding(), kKey);
  BOOST_TEST((DecodeError(value, SomeBinding(), kNow) == ErrorKind::kHopLimit));
}

}  // namespace ebonylift
