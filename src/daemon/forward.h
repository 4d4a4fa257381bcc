#ifndef EBONYLIFT_DAEMON_FORWARD_H_
#define EBONYLIFT_DAEMON_FORWARD_H_

// The header that marks a request as forwarded by another daemon.
//
// It carries what the first host decided (team, route, class, deadline, request id) and the hop
// counters that stop loops. An HMAC with the cluster key covers all fields, the method, the path,
// the idempotency key and the body hash, so a caller can neither forge nor reuse it for another
// request.

#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "core/routing.h"
#include "ports/views.h"

namespace ebonylift {

inline constexpr char kForwardHeader[] = "x-ebonylift-forward";
inline constexpr WallMillis kForwardValidMs = 30'000;

struct ForwardMark {
  HostId from;
  RequestId request;
  int hops = 0;             // host hops so far, this one included
  bool crossed = false;     // a region border was crossed
  bool claimed = false;     // the idempotency key is claimed by the sender; do not claim again
  int64_t deadline_ms = 0;  // time left when the mark was made
  TeamId team;
  RouteId route;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  uint64_t revision = 0;  // configuration revision of the sender
  WallMillis time = 0;    // when the mark was made
};

// The parts of the request that the mark is bound to.
struct ForwardBinding {
  std::string method;
  std::string path;  // with '?' and the query
  std::string idempotency_key;
  std::string body_sha256;
};

// The header value. Precondition: ids contain no ';'. Thread safe.
std::string EncodeForward(const ForwardMark& mark, const ForwardBinding& binding,
                          const std::string& cluster_key);

// The mark of a header value. Throws Error(kForwardRefused) when it is malformed, when the MAC does
// not fit or when it is older than 30 s, and Error(kHopLimit) when it has more than kMaxHops hops.
// Thread safe.
ForwardMark DecodeForward(const std::string& value, const ForwardBinding& binding,
                          const std::string& cluster_key, WallMillis now);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_FORWARD_H_
