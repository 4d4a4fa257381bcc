#ifndef EBONYLIFT_CORE_INGRESS_H_
#define EBONYLIFT_CORE_INGRESS_H_

// Routes by host name and path: the configuration document at kIngressPath.
//
// The document is replaced whole. Its `version` is the operator's; a document with a version that
// is not higher than the stored one changes nothing (see daemon/ingress_config.h). The document:
//
//   {"version": 7,
//    "routes": [{"id", "host", "path_prefix", "idempotent", "resumable", "deadline_ms",
//                "first_byte_target_ms", "rank", "max_attempts", "regions": [...],
//                "backends": [{"service", "weight"}]}],
//    "services": [{"id", "health_path", "max_connections", "cold_start_ms", "cold_per_s",
//                  "fetch_tokens_per_s"}],
//    "source": "the text that the operator sent, for reading it back"}
//
// All functions are pure and thread safe. Memory: the routes and services of one document, which is
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
#include "ports/views.h"

namespace ebonylift {

// The team to which the RouteConfigs of the document belong.
inline constexpr char kIngressTeam[] = "ingress";
// Routes of this class leave slots to more urgent ones; see kReservedShare in core/routing.h.
constexpr int kUrgentRank = 0;

struct IngressBackend {
  RouteId route;  // of the RouteConfig that sends to this service
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
  double cold_per_s = 0;  // requests a second that a cold server bears; 0: no limit
  // Tokens of a prompt that one server fetches from the cache of another in a second; 0: it can't.
  double fetch_tokens_per_s = 0;
};

struct IngressConfig {
  uint64_t version = 0;
  std::map<std::string, std::vector<IngressRoute>> routes;  // by host; longest prefix first
  std::map<std::string, IngressService> services;           // by name
  std::map<RouteId, RouteConfig> route_configs;             // of kIngressTeam
  std::vector<RegionId> regions;                            // of all routes
};

// Empty: valid. Beside missing and ill-typed keys it reports a route to an unknown service, two
// routes with one host and prefix, weights that add up to 0 and a deadline of 0.
std::vector<SchemaIssue> ValidateIngress(const nlohmann::json& document);

// Precondition: ValidateIngress() found nothing; throws nlohmann::json::exception otherwise.
IngressConfig ParseIngress(const nlohmann::json& document);

// 0 when `value` is not a document with a version.
uint64_t IngressVersion(std::string_view value);

// The route of the host with the longest prefix that begins the path; null when there is none.
const IngressRoute* FindIngressRoute(const IngressConfig& config, const std::string& host,
                                     std::string_view path);

// One of the backends, by weight; equal `spread` gives the same one.
const IngressBackend& PickBackend(const IngressRoute& route, uint64_t spread);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_INGRESS_H_
