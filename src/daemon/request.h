#ifndef EBONYLIFT_DAEMON_REQUEST_H_
#define EBONYLIFT_DAEMON_REQUEST_H_

// From an HTTP request to what the decision logic needs to know about it.
//
// The functions are pure: they read the request, the published view and the time, and throw Error
// with the kind that the caller is told.

#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "base/error.h"
#include "daemon/dialect.h"
#include "daemon/forward.h"
#include "ports/views.h"

namespace ebonylift {

struct RequestSpec {
  RequestId id;
  std::string caller_request_id;  // echoed, never used as ours
  std::shared_ptr<const RoutingView> view;
  const RouteConfig* route = nullptr;  // inside `view`
  TeamId team;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  std::string idempotency_key;  // empty: every arrival is a new request
  Time arrived;
  Time deadline;
  std::vector<RegionId> allowed_regions;  // residency of the team and the route
  bool stream = false;
  int64_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;  // of growing prefixes of the prompt
  std::vector<int64_t> prefix_tokens;   // of each of them; empty: kPrefixBlockTokens more each
  uint64_t content = 0;                 // identity of (model, body) for crash suspicion
  std::string body_sha256;              // empty until it is needed, see BodyHash()
  int hops = 0;
  bool crossed = false;
  bool claimed = false;  // the owner of the idempotency key sent this request here
  bool forwarded = false;

  const Dialect* dialect = nullptr;  // null: the gateway's own interface
  RequestFacts facts;                // with a dialect

  std::string method;
  std::string request_path;  // as the caller sent it, for forwarding
  std::string path;          // sent to the backend server
  std::string query;
  HttpHeaders headers;  // without hop-by-hop, authorisation and ebonylift headers
  std::string body;
};

// Requires a loaded configuration; the Authorization header names the team.
// Throws Error(kUnauthorized), Error(kNotReady).
TeamId AuthenticateTeam(const HttpHeaders& headers, const ConfigView& config);

// Parses a request to a model (`/v1/chat/completions`, `/v1/completions`) or a plain service
// (`/svc/{route}/...`). Checks the residency of this host's region. Thread safe.
// Throws Error(kBadRequest, kUnauthorized, kUnknownModel, kResidencyRefused, kForwardRefused,
// kHopLimit, kNotReady).
RequestSpec ParseRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                         const std::string& cluster_key, Time now);

enum class HeaderSet {
  kEndToEnd,                  // without Host and Authorization
  kWithHostAndAuthorization,  // for backend servers that share the callers' names and keys
};

// The headers without hop-by-hop and ebonylift ones. Thread safe.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers, HeaderSet set = HeaderSet::kEndToEnd);

// The SHA-256 of the body, computed on the first call.
const std::string& BodyHash(RequestSpec* spec);

// A request id that no other host makes. Thread safe.
RequestId NewRequestId();

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_REQUEST_H_
