#ifndef EBONYLIFT_DAEMON_FORWARD_H_
#define EBONYLIFT_DAEMON_FORWARD_H_

// Encoding and verification of the x-ebonylift-forward header, which one daemon adds when it
// forwards a request to another.
//
// The header carries the decisions of the first host (team, route, class, deadline, request id) and
// the hop count and region flag that prevent forwarding loops. An HMAC keyed with the cluster key
// covers all fields, the method, the path, the idempotency key and the body hash, so a caller can
// neither forge the header nor reuse it for a different request.

#include <optional>
#include <string>

#include "base/hash.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/routing.h"
#include "ports/views.h"

namespace ebonylift {

inline constexpr char kForwardHeader[] = "x-ebonylift-forward";
// In a forwarded request: the software version that its server must have. In the answer to one: the
// software version of the server that gave it.
inline constexpr char kSoftwareVersionHeader[] = "x-ebonylift-software-version";
// In a forwarded request: the caller's workspace and the digest of its key; see
// FormatWorkspaceHeader().
inline constexpr char kWorkspaceHeader[] = "x-ebonylift-workspace";
// Largest accepted difference between the sender's timestamp and the receiver's clock, either way.
inline constexpr WallMillis kMaxForwardAgeMs = 30'000;

// The decoded fields of the header.
struct ForwardHeader {
  HostId from;  // the sending host
  RequestId request;
  int hops = 0;                 // number of forwards so far, including this one
  bool crossed_region = false;  // a forward has already crossed a region boundary
  bool claimed = false;         // the sender holds the idempotency key's claim; do not claim again
  int64_t deadline_ms = 0;      // time remaining at `time`, in ms
  TeamId team;
  RouteId route;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  uint64_t revision = 0;  // the sender's configuration revision
  WallMillis time = 0;    // the sender's clock at encoding
};

// Request properties that the MAC covers in addition to the header's fields.
struct ForwardBinding {
  std::string method;
  std::string path;  // path, '?' and query; the '?' is present even if the query is empty
  std::string idempotency_key;
  std::string body_sha256;
  std::string software_version = "";  // the value of kSoftwareVersionHeader
  std::string workspace = "";         // the value of kWorkspaceHeader
};

// The caller of a forwarded request. The key itself does not leave the host that got it.
struct ForwardedWorkspace {
  WorkspaceId workspace;
  Sha256Digest key_digest;
};

std::string FormatWorkspaceHeader(const ForwardedWorkspace& caller);

// Returns nullopt if `value` is empty. Throws Error(kForwardRefused) if it is malformed.
std::optional<ForwardedWorkspace> ParseWorkspaceHeader(const std::string& value);

// Returns the header value, including the MAC. Precondition: no id contains ';', the field
// separator. Thread safe.
std::string EncodeForward(const ForwardHeader& forward_header, const ForwardBinding& binding,
                          const std::string& cluster_key);

// Verifies and decodes a header value. Throws Error(kForwardRefused) if it is malformed, its MAC is
// invalid or its timestamp differs from `now` by more than 30 s (kMaxForwardAgeMs), and
// Error(kHopLimit) if `hops` exceeds kMaxHops. Thread safe.
ForwardHeader DecodeForward(const std::string& value, const ForwardBinding& binding,
                            const std::string& cluster_key, WallMillis now);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_FORWARD_H_
