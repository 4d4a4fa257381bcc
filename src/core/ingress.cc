#include "core/ingress.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/hash.h"
#include "core/json_range.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxDeadlineMs = 86'400'000;
constexpr int64_t kMaxWeight = 1'000'000;
constexpr int64_t kMaxCount = 1'000'000;

using Issues = std::vector<SchemaIssue>;

void AddIssue(Issues* issues, const std::string& key, const Json& value, const char* allowed) {
  constexpr size_t kMaxDisplayedBytes = 100;
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  issues->push_back({key, text.substr(0, kMaxDisplayedBytes), allowed, ""});
}

// Returns the value of the key, or null if the object does not have it.
const Json& Member(const Json& object, const char* key) {
  static const Json missing;
  auto found = object.find(key);
  return found == object.end() ? missing : *found;
}

void RequireInteger(const Json& object, const std::string& key_prefix, const char* key, int64_t min,
                    int64_t max, const char* allowed, Issues* issues) {
  const Json& value = Member(object, key);
  if (!IsIntegerInRange(value, min, max)) AddIssue(issues, key_prefix + key, value, allowed);
}

void RequireBool(const Json& object, const std::string& key_prefix, const char* key,
                 Issues* issues) {
  const Json& value = Member(object, key);
  if (!value.is_boolean()) AddIssue(issues, key_prefix + key, value, "true or false");
}

void RequireNonEmptyString(const Json& object, const std::string& key_prefix, const char* key,
                           Issues* issues) {
  const Json& value = Member(object, key);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    AddIssue(issues, key_prefix + key, value, "a non-empty string");
  }
}

bool IsPathPrefix(const Json& value) {
  if (!value.is_string()) return false;
  const std::string& text = value.get_ref<const std::string&>();
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

void CheckBackends(const Json& route, const std::string& key_prefix,
                   const std::set<std::string>& services, Issues* issues) {
  const Json& backends = Member(route, "backends");
  if (!backends.is_array() || backends.empty()) {
    AddIssue(issues, key_prefix + "backends", backends, "a non-empty list");
    return;
  }
  int64_t sum = 0;
  for (const Json& backend : backends) {
    const Json& service = Member(backend, "service");
    bool known = service.is_string() && services.count(service.get<std::string>()) != 0;
    if (!known) AddIssue(issues, key_prefix + "service", service, "the id of a listed service");
    const Json& weight = Member(backend, "weight");
    if (IsIntegerInRange(weight, 0, kMaxWeight)) {
      sum += weight.get<int64_t>();
    } else {
      AddIssue(issues, key_prefix + "weight", weight, "an integer from 0 to 1000000");
    }
  }
  if (sum == 0) AddIssue(issues, key_prefix + "weight", sum, "weights with a sum greater than 0");
}

void CheckRegions(const Json& route, const std::string& key_prefix, Issues* issues) {
  const Json& regions = Member(route, "regions");
  bool valid = regions.is_array() && !regions.empty() &&
               std::all_of(regions.begin(), regions.end(),
                           [](const Json& region) { return region.is_string(); });
  if (!valid) AddIssue(issues, key_prefix + "regions", regions, "a non-empty list of regions");
}

void CheckRoute(const Json& route, const std::set<std::string>& services, Issues* issues) {
  if (!route.is_object()) {
    AddIssue(issues, "routes", route, "a list of objects");
    return;
  }
  const Json& id = Member(route, "id");
  std::string key_prefix = "routes." + (id.is_string() ? id.get<std::string>() : "") + ".";
  RequireNonEmptyString(route, key_prefix, "id", issues);
  RequireNonEmptyString(route, key_prefix, "host", issues);
  if (!IsPathPrefix(Member(route, "path_prefix"))) {
    AddIssue(issues, key_prefix + "path_prefix", Member(route, "path_prefix"),
             "a path that starts and ends with a slash");
  }
  RequireBool(route, key_prefix, "idempotent", issues);
  RequireBool(route, key_prefix, "resumable", issues);
  RequireInteger(route, key_prefix, "deadline_ms", 1, kMaxDeadlineMs, "1 to 86400000", issues);
  RequireInteger(route, key_prefix, "first_byte_target_ms", 0, kMaxDeadlineMs, "0 to 86400000",
                 issues);
  // Documents stored by an earlier version of the program do not have this key.
  if (route.contains("max_event_gap_ms")) {
    RequireInteger(route, key_prefix, "max_event_gap_ms", 0, kMaxDeadlineMs, "0 to 86400000",
                   issues);
  }
  RequireInteger(route, key_prefix, "rank", 0, kMaxCount, "0 to 1000000", issues);
  RequireInteger(route, key_prefix, "max_attempts", 1, kMaxCount, "1 to 1000000", issues);
  // Documents stored by an earlier version of the program do not have this key.
  if (route.contains("open")) RequireBool(route, key_prefix, "open", issues);
  CheckRegions(route, key_prefix, issues);
  CheckBackends(route, key_prefix, services, issues);
}

void RequireRate(const Json& service, const char* key, Issues* issues) {
  const Json& rate = Member(service, key);
  bool valid = rate.is_number() && rate.get<double>() >= 0;
  if (!valid) AddIssue(issues, std::string("services.") + key, rate, "a number of at least 0");
}

void CheckService(const Json& service, std::set<std::string>* names, Issues* issues) {
  if (!service.is_object()) {
    AddIssue(issues, "services", service, "a list of objects");
    return;
  }
  RequireNonEmptyString(service, "services.", "id", issues);
  RequireNonEmptyString(service, "services.", "health_path", issues);
  RequireInteger(service, "services.", "max_connections", 0, kMaxCount, "0 to 1000000", issues);
  RequireInteger(service, "services.", "cold_start_ms", 0, kMaxDeadlineMs, "0 to 86400000", issues);
  RequireRate(service, "cold_per_s", issues);
  // Documents stored by an earlier version of the program do not have this key.
  if (service.contains("fetch_tokens_per_s")) RequireRate(service, "fetch_tokens_per_s", issues);
  const Json& id = Member(service, "id");
  if (id.is_string() && !names->insert(id.get<std::string>()).second) {
    AddIssue(issues, "services.id", id, "each id once");
  }
}

void CheckUniquePrefixes(const Json& routes, Issues* issues) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const Json& route : routes) {
    const Json& host = Member(route, "host");
    const Json& prefix = Member(route, "path_prefix");
    if (!host.is_string() || !prefix.is_string()) continue;
    if (!seen.insert({host.get<std::string>(), prefix.get<std::string>()}).second) {
      AddIssue(issues, "routes.path_prefix", prefix, "each pair of host and path prefix once");
    }
  }
}

// Returns the name of the route, made unique if other routes of the document have the same.
std::string UniqueName(const Json& json, const std::set<std::string>& shared_names) {
  std::string name = json.at("id").get<std::string>();
  if (shared_names.count(name) == 0) return name;
  uint64_t place =
      Hash64(json.at("path_prefix").get<std::string>(), Hash64(json.at("host").get<std::string>()));
  return name + "#" + std::to_string(place);
}

std::set<std::string> SharedNames(const Json& routes) {
  std::set<std::string> names;
  std::set<std::string> shared;
  for (const Json& route : routes) {
    std::string name = route.at("id").get<std::string>();
    if (!names.insert(name).second) shared.insert(name);
  }
  return shared;
}

RouteConfig ParseRouteConfig(const Json& json, const std::string& name,
                             const std::string& service) {
  RouteConfig route;
  route.team = TeamId(kIngressTeam);
  route.id = RouteId(name + "/" + service);
  route.kind = ServerKind::kService;
  route.service = service;
  for (const Json& region : json.at("regions")) {
    route.regions.emplace_back(region.get<std::string>());
  }
  route.home = *std::min_element(route.regions.begin(), route.regions.end());
  route.rank = json.at("rank").get<int>();
  route.traffic_class = TrafficClassOfRank(route.rank);
  route.idempotent = json.at("idempotent").get<bool>();
  route.resumable = json.at("resumable").get<bool>();
  route.deadline = milliseconds(json.at("deadline_ms").get<int64_t>());
  route.first_byte_target = milliseconds(json.at("first_byte_target_ms").get<int64_t>());
  route.max_event_gap = milliseconds(json.value("max_event_gap_ms", int64_t{0}));
  route.max_attempts = json.at("max_attempts").get<int>();
  route.open = json.value("open", false);
  // The only cost of another region is the round trip to it, which routing always adds.
  route.weight_remote = 0;
  return route;
}

IngressService ParseService(const Json& json) {
  IngressService service;
  service.name = json.at("id").get<std::string>();
  service.health_path = json.at("health_path").get<std::string>();
  service.max_connections = json.at("max_connections").get<int>();
  service.cold_start = milliseconds(json.at("cold_start_ms").get<int64_t>());
  service.cold_per_s = json.at("cold_per_s").get<double>();
  service.fetch_tokens_per_s = json.value("fetch_tokens_per_s", 0.0);
  return service;
}

void AddRoute(const Json& json, const std::set<std::string>& shared_names, IngressConfig* config) {
  std::string name = UniqueName(json, shared_names);
  IngressRoute route;
  route.host = json.at("host").get<std::string>();
  route.path_prefix = json.at("path_prefix").get<std::string>();
  for (const Json& item : json.at("backends")) {
    RouteConfig route_config = ParseRouteConfig(json, name, item.at("service").get<std::string>());
    route.backends.push_back(
        {route_config.id, route_config.service, item.at("weight").get<int64_t>()});
    config->route_configs[route_config.id] = std::move(route_config);
  }
  config->routes[route.host].push_back(std::move(route));
}

// Reads the version of a document of routes without building the document in memory, which takes
// several times its size.
class VersionReader : public Json::json_sax_t {
 public:
  // 0: none was read.
  uint64_t version() const { return version_; }

  bool number_unsigned(number_unsigned_t value) override {
    if (IsVersion()) version_ = value;
    return true;
  }
  bool key(string_t& name) override {
    is_version_key_ = depth_ == 1 && name == "version";
    return true;
  }
  bool start_object(size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool parse_error(size_t, const std::string&, const Json::exception&) override { return false; }

 private:
  bool IsVersion() const { return depth_ == 1 && is_version_key_; }
  bool Enter() {
    ++depth_;
    return true;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool is_version_key_ = false;  // of the newest key
  uint64_t version_ = 0;
};

}  // namespace

std::vector<SchemaIssue> ValidateIngress(const Json& document) {
  Issues issues;
  RequireInteger(document, "", "version", 1, std::numeric_limits<int64_t>::max(),
                 "an integer of at least 1", &issues);
  const Json& routes = Member(document, "routes");
  const Json& services = Member(document, "services");
  if (!routes.is_array()) AddIssue(&issues, "routes", routes, "a list");
  if (!services.is_array()) AddIssue(&issues, "services", services, "a list");
  if (!issues.empty()) return issues;
  std::set<std::string> names;
  for (const Json& service : services) CheckService(service, &names, &issues);
  for (const Json& route : routes) CheckRoute(route, names, &issues);
  CheckUniquePrefixes(routes, &issues);
  if (document.contains("workspaces")) {
    Issues of_workspaces = ValidateWorkspaces(document["workspaces"]);
    issues.insert(issues.end(), of_workspaces.begin(), of_workspaces.end());
  }
  return issues;
}

IngressConfig ParseIngress(const Json& document, const IngressConfig* previous) {
  IngressConfig config;
  if (document.contains("workspaces")) {
    config.workspaces = ParseWorkspaces(document["workspaces"],
                                        previous == nullptr ? nullptr : &previous->workspaces);
  }
  config.version = document.at("version").get<uint64_t>();
  for (const Json& item : document.at("services")) {
    IngressService service = ParseService(item);
    config.services[service.name] = std::move(service);
  }
  std::set<std::string> shared_names = SharedNames(document.at("routes"));
  for (const Json& item : document.at("routes")) AddRoute(item, shared_names, &config);
  for (auto& [host, routes] : config.routes) {
    std::sort(routes.begin(), routes.end(), [](const IngressRoute& a, const IngressRoute& b) {
      return a.path_prefix.size() > b.path_prefix.size();
    });
  }
  std::set<RegionId> regions;
  for (const auto& [id, route] : config.route_configs) {
    regions.insert(route.regions.begin(), route.regions.end());
  }
  config.regions.assign(regions.begin(), regions.end());
  return config;
}

bool HasWorkspaces(const ConfigView& config) {
  return config.ingress != nullptr && !config.ingress->workspaces.empty();
}

uint64_t IngressVersion(std::string_view value) {
  VersionReader reader;
  return Json::sax_parse(value, &reader) ? reader.version() : 0;
}

const IngressRoute* FindIngressRoute(const IngressConfig& config, const std::string& host,
                                     std::string_view path) {
  auto routes = config.routes.find(host);
  if (routes == config.routes.end()) return nullptr;
  for (const IngressRoute& route : routes->second) {
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) return &route;
  }
  return nullptr;
}

const IngressBackend& PickBackend(const IngressRoute& route, uint64_t selector) {
  int64_t sum = 0;
  for (const IngressBackend& backend : route.backends) sum += backend.weight;
  int64_t remaining = sum > 0 ? static_cast<int64_t>(selector % static_cast<uint64_t>(sum)) : 0;
  for (const IngressBackend& backend : route.backends) {
    if (remaining < backend.weight) return backend;
    remaining -= backend.weight;
  }
  return route.backends.front();
}

}  // namespace ebonylift
