#ifndef EBONYLIFT_CORE_INGRESS_H_
#define EBONYLIFT_CORE_INGRESS_H_

// Routes by host name and path: the configuration document at kIngressPath.
//
// The document is always replaced as a whole. The operator assigns its `version`; a document whose
// version is not higher than the stored one has no effect (see daemon/config_changes.h). Format:
//
//   {"version": 7,
//    "routes": [{"id", "host", "path_prefix", "idempotent", "resumable", "deadline_ms",
//                "first_byte_target_ms", "rank", "max_attempts", "regions": [...],
//                "open" (optional), "max_event_gap_ms" (optional),
//                "backends": [{"service", "weight"}]}],
//    "services": [{"id", "health_path", "max_connections", "cold_start_ms", "cold_per_s",
//                  "fetch_tokens_per_s"}],
//    "workspaces": [...],
//    "source": "the text that the operator sent, kept to be returned on reads"}
//
// `open` and `workspaces` are optional; core/workspaces.h describes the latter. If there are
// workspaces, callers need a key of one of them for all routes that are not open.
//
// All functions are pure and thread-safe. Memory: the routes and services of one document, which is
// at most kMaxDocumentBytes.

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/config_schema.h"
#include "core/config_tree.h"
#include "core/workspaces.h"
#include "ports/views.h"

namespace ebonylift {

// The team to which the RouteConfigs of the document belong.
inline constexpr char kIngressTeam[] = "ingress";
// Routes of this rank are in the interactive traffic class, all others in the check class.
constexpr int kUrgentRank = 0;
inline TrafficClass TrafficClassOfRank(int rank) {
  return rank == kUrgentRank ? TrafficClass::kInteractive : TrafficClass::kCheck;
}

struct IngressBackend {
  RouteId route;  // the RouteConfig that sends to this service
  std::string service;
  int64_t weight = 0;
};

struct IngressRoute {
  std::string host;
  std::string path_prefix;  // starts and ends with a slash
  std::vector<IngressBackend> backends;
};

struct IngressService {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  Duration cold_start{0};
  double cold_per_s = 0;  // requests per second that a cold server can handle; 0: no limit
  // Prompt tokens per second that one server fetches from another's cache; 0: it cannot fetch.
  double fetch_tokens_per_s = 0;
};

struct IngressConfig {
  uint64_t version = 0;
  std::map<std::string, std::vector<IngressRoute>> routes;  // by host; longest prefix first
  std::map<std::string, IngressService> services;           // by name
  // Of kIngressTeam, by NAME/SERVICE. The name of a route that shares it with others of the
  // document is extended, as each has settings of its own.
  std::map<RouteId, RouteConfig> route_configs;
  std::vector<RegionId> regions;  // of all routes, without duplicates
  WorkspaceTable workspaces;
};

// Returns no issues if the document is valid. Besides missing and ill-typed keys, reports a route
// to an unknown service, two routes with the same host and path prefix, backend weights that sum to
// 0, and a deadline of 0.
std::vector<SchemaIssue> ValidateIngress(const nlohmann::json& document);

// Shares with `previous`, which may be null and must outlive the call, the workspaces that are
// equal in both. Precondition: ValidateIngress() returns no issues; otherwise throws
// nlohmann::json::exception.
IngressConfig ParseIngress(const nlohmann::json& document, const IngressConfig* previous = nullptr);

// Whether the configuration has workspaces, so that callers need keys.
bool HasWorkspaces(const ConfigView& config);

// Returns the version of the document, or 0 if `value` is not a document with a version.
uint64_t IngressVersion(std::string_view value);

// Returns the route of the host whose path prefix is the longest match, or null if none matches.
const IngressRoute* FindIngressRoute(const IngressConfig& config, const std::string& host,
                                     std::string_view path);

// Selects a backend by weight. Equal values of `selector` select the same backend.
const IngressBackend& PickBackend(const IngressRoute& route, uint64_t selector);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_INGRESS_H_
