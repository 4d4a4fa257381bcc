#ifndef EBONYLIFT_DAEMON_REQUEST_H_
#define EBONYLIFT_DAEMON_REQUEST_H_

// Parses an HTTP request of the gateway's native interface into a RequestSpec, the input of routing
// and scheduling.
//
// The parsing functions depend only on the request, the published view and the clock. They throw
// Error with the kind that is reported to the caller.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "base/error.h"
#include "base/hash.h"
#include "core/poison.h"
#include "daemon/dialect.h"
#include "daemon/forward.h"
#include "ports/views.h"

namespace ebonylift {

// A parsed request. ParseRequest() fills it for the native interface, ingress_request.h for a
// dialect.
struct RequestSpec {
  RequestId id;
  // The caller's own name of the request, or of this try of it; empty: none. Only logged and, by
  // the native interface, echoed in the response. `id` identifies the request.
  std::string caller_request_id;
  std::shared_ptr<const RoutingView> view;
  const RouteConfig* route = nullptr;  // points into `view`
  TeamId team;
  const WorkspaceConfig* workspace = nullptr;  // of the caller; points into `view`; null: none
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  std::string idempotency_key;  // empty: requests are not deduplicated
  Time arrived;
  Time deadline;
  // Data residency: allowed by the team, the route and the workspace.
  std::vector<RegionId> allowed_regions;
  bool stream = false;
  int64_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;  // one per prefix of the prompt, shortest first
  std::vector<int64_t> prefix_tokens;   // length of each; empty: multiples of kPrefixBlockTokens
  // Identifies requests that crash servers: the hash of target and body, and the shared parts.
  RequestContent content;
  std::string body_sha256;      // computed on demand by BodyHash()
  int hops = 0;                 // forwards between hosts so far
  bool crossed_region = false;  // a forward has already crossed a region boundary
  bool claimed = false;         // forwarded by the host that holds the idempotency key's claim
  bool forwarded = false;       // received from another host
  std::optional<Sha256Digest> key_digest;  // of the caller's key, in ingress routing
  // Of a forwarded request: what the sender's configuration said.
  uint64_t sender_revision = 0;
  WorkspaceId sender_workspace;  // empty: none

  // Of a request that continues a stream, also of one whose own stream has begun: the software
  // version that its servers must have, and the service that began it. Empty: any.
  std::string software_version;
  std::string stream_service;

  const Dialect* dialect = nullptr;  // null: native interface
  DialectRequest dialect_request;    // set if `dialect` is

  std::string method;
  std::string request_path;  // as received; used when forwarding to another host
  std::string path;          // path to send to the backend server
  std::string query;
  HttpHeaders headers;  // see EndToEndHeaders()
  std::string body;
};

// Returns the team whose API key is in the Authorization header. Throws Error(kUnauthorized) if the
// key is missing or unknown and Error(kNotReady) if no configuration is loaded.
TeamId AuthenticateTeam(const HttpHeaders& headers, const ConfigView& config);

// Parses a request to a model (`/v1/chat/completions`, `/v1/completions`) or a plain HTTP service
// (`/svc/{route}/...`), either from a caller or forwarded by another host. Refuses it if data
// residency excludes this host's region. Thread safe.
// Throws Error(kBadRequest, kUnauthorized, kForbidden, kUnknownModel, kResidencyRefused,
// kForwardRefused, kHopLimit, kNotReady).
RequestSpec ParseRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                         const std::string& cluster_key, Time now);

enum class HeaderSet {
  kEndToEnd,                  // drops Host and Authorization
  kWithHostAndAuthorization,  // keeps both, for backend servers that use the caller's host name and
                              // credentials
};

// Returns `headers` without hop-by-hop headers and the gateway's own `x-ebonylift-*` headers.
// Thread safe.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers, HeaderSet set = HeaderSet::kEndToEnd);

// Thread safe.
RequestRank RankOf(const RequestSpec& spec);

// Returns the SHA-256 of the body in hex. Computed on the first call and cached in the spec.
const std::string& BodyHash(RequestSpec* spec);

// Returns a random, globally unique request id. Thread safe.
RequestId NewRequestId();

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_REQUEST_H_
