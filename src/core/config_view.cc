#include "core/config_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "core/config_schema.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

constexpr char kHedgingPath[] = "/deployment/hedging";

template <typename IdType>
std::vector<IdType> ParseIds(const Json& json, const char* key) {
  std::vector<IdType> ids;
  for (const Json& item : json.at(key)) ids.emplace_back(item.get<std::string>());
  return ids;
}

TrafficClass ParseClass(const std::string& name) {
  if (name == "check") return TrafficClass::kCheck;
  if (name == "chapter") return TrafficClass::kChapter;
  if (name == "interactive") return TrafficClass::kInteractive;
  throw Error(ErrorKind::kConfigInvalid, "unknown traffic class");
}

RouteConfig ParseRoute(const TeamId& team, const std::string& name, const Json& json) {
  RouteConfig route;
  route.team = team;
  route.id = RouteId(name);
  std::string kind = json.at("kind").get<std::string>();
  if (kind != "model" && kind != "service")
    throw Error(ErrorKind::kConfigInvalid, "unknown route kind");
  route.kind = kind == "service" ? ServerKind::kService : ServerKind::kModel;
  if (route.kind == ServerKind::kModel) {
    route.model = ModelId(json.at("model").get<std::string>());
  } else {
    route.service = json.at("service").get<std::string>();
  }
  route.adapter = json.value("adapter", route.adapter);
  route.version = json.value("version", route.version);
  route.regions = ParseIds<RegionId>(json, "regions");
  if (route.regions.empty()) throw Error(ErrorKind::kConfigInvalid, "route without a region");
  route.home = *std::min_element(route.regions.begin(), route.regions.end());
  if (json.contains("home")) route.home = RegionId(json["home"].get<std::string>());
  route.traffic_class = ParseClass(json.value("class", "interactive"));
  route.idempotent = json.value("idempotent", route.idempotent);
  route.key_from_body = json.value("key_from_body", route.key_from_body);
  route.deadline = milliseconds(json.value("deadline_ms", ToMillis(route.deadline)));
  route.send_away = json.value("send_away", route.send_away);
  route.hedge = json.value("hedge", route.hedge);
  route.weight_latency = json.value("weight_latency", route.weight_latency);
  route.weight_cost = json.value("weight_cost", route.weight_cost);
  route.weight_remote = json.value("weight_remote", route.weight_remote);
  return route;
}

TeamLimits ParseLimits(const Json& json) {
  TeamLimits limits;
  limits.requests_per_s = json.value("requests_per_s", limits.requests_per_s);
  limits.concurrency = json.value("concurrency", limits.concurrency);
  limits.retry_percent = json.value("retry_percent", limits.retry_percent);
  return limits;
}

RegionConfig ParseRegion(const std::string& name, const Json& json) {
  RegionConfig region;
  region.id = RegionId(name);
  region.domains = ParseIds<DomainId>(json, "domains");
  region.record_hosts = ParseIds<HostId>(json, "record_hosts");
  region.takeover = json.value("takeover", false);
  return region;
}

OperatorConfig ParseOperator(const std::string& name, const Json& json) {
  OperatorConfig config;
  config.name = name;
  config.token_sha256 = json.at("token_sha256").get<std::string>();
  config.subtrees = json.at("subtrees").get<std::vector<std::string>>();
  return config;
}

DesiredModel ParseModel(uint64_t revision, const Json& json) {
  DesiredModel model;
  model.revision = revision;
  model.version = json.at("version").get<std::string>();
  model.adapters = json.value("adapters", model.adapters);
  model.min_available_percent = json.value("min_available_percent", model.min_available_percent);
  model.max_loading = json.value("max_loading", model.max_loading);
  return model;
}

OrdererEntry ParseOrderer(uint64_t revision, const Json& json) {
  OrdererEntry entry;
  entry.revision = revision;
  entry.host = HostId(json.at("host").get<std::string>());
  entry.lease = milliseconds(json.at("lease_ms").get<int64_t>());
  return entry;
}

// Returns the team of this name, added to the view if it has none yet.
TeamConfig& GetOrAddTeam(ConfigView* view, const std::string& name) {
  TeamConfig& team = view->teams[TeamId(name)];
  team.id = TeamId(name);
  return team;
}

void AddTeamEntry(ConfigView* view, const std::vector<std::string>& segments, const Json& json) {
  TeamId team(segments[1]);
  if (segments.size() == 3 && segments[2] == "residency") {
    GetOrAddTeam(view, segments[1]).regions = ParseIds<RegionId>(json, "regions");
  } else if (segments.size() == 3 && segments[2] == "limits") {
    GetOrAddTeam(view, segments[1]).limits = ParseLimits(json);
  } else if (segments.size() == 4 && segments[2] == "keys") {
    std::string hash = json.at("sha256").get<std::string>();
    GetOrAddTeam(view, segments[1]);
    view->keys[hash] = team;
  } else if (segments.size() == 4 && segments[2] == "routes") {
    RouteConfig route = ParseRoute(team, segments[3], json);
    GetOrAddTeam(view, segments[1]).routes[route.id] = route;
  }
}

void AddIngress(ConfigView* view, const Json& json, const IngressConfig* previous) {
  auto ingress = std::make_shared<const IngressConfig>(ParseIngress(json, previous));
  TeamConfig& team = GetOrAddTeam(view, kIngressTeam);
  team.regions = ingress->regions;
  team.routes = ingress->route_configs;
  view->ingress = std::move(ingress);
}

void AddEvacuation(ConfigView* view, const std::string& domain, const Json& json) {
  if (json.at("evacuated").get<bool>()) view->evacuated.insert(DomainId(domain));
}

HedgingConfig ParseHedging(const Json& json) {
  HedgingConfig hedging;
  hedging.max_request_percent = json.at("max_request_percent").get<int>();
  hedging.max_token_percent = json.value("max_token_percent", hedging.max_request_percent);
  return hedging;
}

// Adds the value at `path`. A value that cannot be parsed is skipped. `previous_ingress` is of the
// view before the change; null: none.
void AddEntry(ConfigView* view, const std::string& path, const TreeEntry& entry,
              const IngressConfig* previous_ingress = nullptr) {
  std::vector<std::string> segments = SplitPath(path);
  try {
    Json json = Json::parse(entry.value.text());
    if (segments.size() >= 3 && segments[0] == "teams") {
      AddTeamEntry(view, segments, json);
    } else if (path == kIngressPath) {
      AddIngress(view, json, previous_ingress);
    } else if (path == kHedgingPath) {
      view->hedging = ParseHedging(json);
    } else if (segments.size() == 3 && segments[1] == "evacuations") {
      AddEvacuation(view, segments[2], json);
    } else if (segments.size() == 3 && segments[1] == "regions") {
      view->regions[RegionId(segments[2])] = ParseRegion(segments[2], json);
    } else if (segments.size() == 3 && segments[1] == "operators") {
      view->operators.push_back(ParseOperator(segments[2], json));
    } else if (segments.size() == 3 && segments[1] == "models") {
      view->models[ModelId(segments[2])] = ParseModel(entry.revision, json);
    } else if (segments.size() == 3 && segments[1] == "orderers") {
      view->orderers[DomainId(segments[2])] = ParseOrderer(entry.revision, json);
    }
  } catch (const Json::exception&) {
    return;
  } catch (const Error&) {
    return;
  }
}

void AddSubtree(ConfigView* view, const ConfigTree& tree, const std::string& prefix) {
  for (auto it = tree.entries.lower_bound(prefix); it != tree.entries.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    AddEntry(view, it->first, it->second);
  }
}

// Replaces what the view holds for a changed path below /deployment.
void UpdateDeploymentEntry(ConfigView* view, const ConfigTree& tree, const std::string& path,
                           const std::vector<std::string>& segments) {
  std::shared_ptr<const IngressConfig> previous_ingress = view->ingress;
  if (path == kIngressPath) {
    view->teams.erase(TeamId(kIngressTeam));
    view->ingress = nullptr;
  } else if (path == kHedgingPath) {
    view->hedging.reset();
  } else if (segments.size() != 3) {
    return;
  }
  std::vector<OperatorConfig>& operators = view->operators;
  std::string name = segments.size() == 3 ? segments[2] : "";
  if (segments[1] == "regions") view->regions.erase(RegionId(name));
  if (segments[1] == "models") view->models.erase(ModelId(name));
  if (segments[1] == "orderers") view->orderers.erase(DomainId(name));
  if (segments[1] == "evacuations") view->evacuated.erase(DomainId(name));
  if (segments[1] == "operators") {
    operators.erase(std::remove_if(operators.begin(), operators.end(),
                                   [&](const OperatorConfig& o) { return o.name == name; }),
                    operators.end());
  }
  auto entry = tree.entries.find(path);
  if (entry == tree.entries.end()) return;
  AddEntry(view, path, entry->second, previous_ingress.get());
  std::sort(operators.begin(), operators.end(),
            [](const OperatorConfig& a, const OperatorConfig& b) { return a.name < b.name; });
}

void RemoveKeysOfTeams(ConfigView* view, const std::set<TeamId>& teams) {
  std::vector<std::string> removed;
  for (const auto& [key, team] : view->keys) {
    if (teams.count(team) != 0) removed.push_back(key);
  }
  for (const std::string& key : removed) view->keys.erase(key);
}

}  // namespace

ConfigView BuildConfigView(const ConfigTree& tree) {
  ConfigView view;
  view.revision = tree.revision;
  AddSubtree(&view, tree, "/");
  return view;
}

ConfigView UpdateConfigView(const ConfigView& view, const ConfigTree& tree,
                            const std::vector<std::string>& changed_paths) {
  ConfigView next = view;
  next.revision = tree.revision;
  std::set<TeamId> teams;
  for (const std::string& path : changed_paths) {
    std::vector<std::string> segments = SplitPath(path);
    if (segments.size() >= 2 && segments[0] == "teams") {
      teams.insert(TeamId(segments[1]));
    } else {
      UpdateDeploymentEntry(&next, tree, path, segments);
    }
  }
  // All removals come before additions, because a key may have moved between two changed teams.
  if (!teams.empty()) RemoveKeysOfTeams(&next, teams);
  for (const TeamId& team : teams) next.teams.erase(team);
  for (const TeamId& team : teams) AddSubtree(&next, tree, "/teams/" + team.value() + "/");
  return next;
}

}  // namespace ebonylift
