#include "daemon/ingress_request.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "core/ingress.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

// Sets the hashes of the parts of the prompt that other requests may share: all but the last. Each
// covers the model and the part alone.
void SetContentParts(RequestSpec* spec) {
  uint64_t model = Hash64("part of a prompt for " + spec->dialect_request.model.value());
  const std::vector<PromptPart>& prompt = spec->dialect_request.prompt;
  for (size_t i = 0; i + 1 < prompt.size(); ++i) {
    spec->content.parts.push_back(Hash64(std::to_string(prompt[i].id), model));
  }
}

// Sets the hash and token count of every prefix of the prompt. Hashes are chained, so each one
// covers the model and all preceding parts.
void SetPrefixHashes(RequestSpec* spec) {
  uint64_t hash = Hash64(spec->dialect_request.model.value());
  int64_t tokens = 0;
  for (const PromptPart& part : spec->dialect_request.prompt) {
    hash = Hash64(std::to_string(part.id), hash);
    tokens += part.tokens;
    spec->prefix_hashes.push_back(hash);
    spec->prefix_tokens.push_back(tokens);
  }
}

RequestSpec MakeSpec(HttpRequest request, const Dialect& dialect, Time now) {
  RequestSpec spec;
  spec.dialect = &dialect;
  spec.dialect_request = dialect.read_request(request);
  spec.caller_request_id = spec.dialect_request.caller_request_id;
  spec.team = TeamId(kIngressTeam);
  spec.arrived = now;
  spec.method = request.method;
  spec.request_path = request.path;
  spec.path = request.path;
  spec.query = request.query;
  spec.headers = EndToEndHeaders(request.headers, HeaderSet::kWithHostAndAuthorization);
  spec.body = std::move(request.body);
  spec.content.content =
      Hash64(spec.body, Hash64(spec.method + spec.dialect_request.host + spec.path + spec.query));
  spec.prompt_tokens = spec.dialect_request.prompt_tokens;
  SetPrefixHashes(&spec);
  SetContentParts(&spec);
  return spec;
}

// Removes from `regions` what `allowed` does not contain.
void KeepCommon(std::vector<RegionId>* regions, const std::vector<RegionId>& allowed) {
  auto excluded = [&allowed](const RegionId& region) {
    return std::find(allowed.begin(), allowed.end(), region) == allowed.end();
  };
  regions->erase(std::remove_if(regions->begin(), regions->end(), excluded), regions->end());
}

void RequireIngressConfig(const RoutingView& view) {
  if (view.config->ingress != nullptr) return;
  throw Error(ErrorKind::kNotReady, "this host has not received its configuration of routes yet");
}

// Returns the workspace of the caller, null if it belongs to none. `route` is null if no route
// matches the request, which then needs a key as well, so that routes cannot be guessed without
// one. Throws Error(kUnauthorized) if the route needs a key that is missing or unknown, and
// Error(kNotReady) if this host may not know whether it is: another one with a newer configuration
// forwarded the request, or RoutingView::keys_valid_until has passed.
const WorkspaceConfig* IdentifyWorkspace(RequestSpec* spec, const RoutingView& view,
                                         const RouteConfig* route, Time now) {
  const WorkspaceTable& table = view.config->ingress->workspaces;
  const WorkspaceConfig* workspace = nullptr;
  if (!table.empty()) {
    const std::string& key = spec->dialect_request.key;
    if (!spec->key_digest && !key.empty()) spec->key_digest = Sha256(key);
    if (spec->key_digest) workspace = FindWorkspace(table, *spec->key_digest);
  }
  bool needs_key = !table.empty() && (route == nullptr || !route->open);
  if (needs_key && now > view.keys_valid_until) {
    throw Error(ErrorKind::kNotReady, "this host has lost contact with the control hosts");
  }
  const WorkspaceId& named = spec->sender_workspace;
  if (workspace != nullptr && (named.empty() || named == workspace->id)) return workspace;
  bool outdated = spec->forwarded && spec->sender_revision > view.config->revision;
  if (outdated && (needs_key || !named.empty())) {
    throw Error(ErrorKind::kNotReady,
                "this host has an older configuration than the one that forwarded the request");
  }
  if (needs_key) throw Error(ErrorKind::kUnauthorized, "the key is missing or unknown");
  return nullptr;
}

// Switches to the settings of `route` and of the caller's workspace. Throws as IdentifyWorkspace(),
// and then leaves the settings unchanged.
void SetRoute(RequestSpec* spec, std::shared_ptr<const RoutingView> view, const RouteConfig& route,
              Time now) {
  const WorkspaceConfig* workspace = IdentifyWorkspace(spec, *view, &route, now);
  spec->workspace = workspace;
  spec->route = &route;
  spec->allowed_regions = AllowedRegions(*view->config, route);
  spec->traffic_class = route.traffic_class;
  if (workspace != nullptr) {
    KeepCommon(&spec->allowed_regions, workspace->regions);
    if (workspace->rank.value_or(kUrgentRank) != kUrgentRank)
      spec->traffic_class = TrafficClass::kCheck;
  }
  spec->idempotent = route.idempotent;
  spec->view = std::move(view);
}

// The backend of the route that the request uses. A stream goes on at the service that began it,
// unless that is no longer one of the route's.
const IngressBackend& SelectBackend(const RequestSpec& spec, const IngressRoute& route) {
  for (const IngressBackend& backend : route.backends) {
    if (backend.weight > 0 && backend.service == spec.stream_service) return backend;
  }
  return PickBackend(route, Hash64(spec.id.value()));
}

const RouteConfig* FindRouteConfig(const RoutingView& view, const RouteId& id) {
  const auto& routes = view.config->ingress->route_configs;
  auto found = routes.find(id);
  return found == routes.end() ? nullptr : &found->second;
}

// Returns the settings that another host chose for the request, or null if this host's
// configuration has no such choice at the request's host name and path: a version before or after
// may give the route's name to another route.
const RouteConfig* FindForwardedRoute(const RequestSpec& spec, const RoutingView& view,
                                      const RouteId& id) {
  const IngressRoute* route =
      FindIngressRoute(*view.config->ingress, spec.dialect_request.host, spec.path);
  if (route == nullptr) return nullptr;
  bool chosen = std::any_of(route->backends.begin(), route->backends.end(),
                            [&id](const IngressBackend& backend) { return backend.route == id; });
  return chosen ? FindRouteConfig(view, id) : nullptr;
}

}  // namespace

std::vector<WorkspaceId> WorkspaceIds(const IngressConfig* config) {
  std::vector<WorkspaceId> ids;
  if (config == nullptr) return ids;
  for (const auto& [id, workspace] : config->workspaces.by_id) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool ResolveIngressRoute(RequestSpec* spec, std::shared_ptr<const RoutingView> view, Time now) {
  if (view->config->ingress == nullptr) return false;
  const RouteConfig* config = nullptr;
  if (spec->forwarded) {
    config = FindForwardedRoute(*spec, *view, spec->route->id);
  } else {
    const IngressRoute* route =
        FindIngressRoute(*view->config->ingress, spec->dialect_request.host, spec->path);
    if (route == nullptr) return false;
    config = FindRouteConfig(*view, SelectBackend(*spec, *route).route);
  }
  if (config == nullptr) return false;
  SetRoute(spec, std::move(view), *config, now);
  return true;
}

RequestSpec ParseIngressRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                const Dialect& dialect, Time now) {
  RequireIngressConfig(*view);
  RequestSpec spec = MakeSpec(std::move(request), dialect, now);
  spec.id = NewRequestId();
  if (!ResolveIngressRoute(&spec, view, now)) {
    IdentifyWorkspace(&spec, *view, nullptr, now);
    throw Error(ErrorKind::kUnknownPath,
                "no route matches " + spec.dialect_request.host + spec.path);
  }
  spec.deadline = now + spec.route->deadline;
  if (spec.dialect_request.caller_timeout > Duration(0)) {
    spec.deadline = std::min(spec.deadline, now + spec.dialect_request.caller_timeout);
  }
  return spec;
}

RequestSpec ParseForwardedIngress(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                  const Dialect& dialect, const std::string& cluster_key,
                                  Time now) {
  RequireIngressConfig(*view);
  std::string header = FindHeader(request.headers, kForwardHeader);
  std::string software_version = FindHeader(request.headers, kSoftwareVersionHeader);
  std::string workspace = FindHeader(request.headers, kWorkspaceHeader);
  RequestSpec spec = MakeSpec(std::move(request), dialect, now);
  spec.software_version = std::move(software_version);
  ForwardBinding binding{spec.method,     spec.path + "?" + spec.query, "",
                         BodyHash(&spec), spec.software_version,        workspace};
  ForwardHeader forward_header = DecodeForward(header, binding, cluster_key, WallNow());
  spec.forwarded = true;
  spec.sender_revision = forward_header.revision;
  if (std::optional<ForwardedWorkspace> caller = ParseWorkspaceHeader(workspace)) {
    spec.sender_workspace = caller->workspace;
    spec.key_digest = caller->key_digest;
  }
  const RouteConfig* route = FindForwardedRoute(spec, *view, forward_header.route);
  if (route == nullptr) {
    // Expected briefly while a configuration change reaches the two hosts at different times.
    throw Error(ErrorKind::kNoServer,
                "the forwarded request uses a route that is unknown on this host");
  }
  SetRoute(&spec, std::move(view), *route, now);
  spec.id = forward_header.request;
  spec.hops = forward_header.hops;
  spec.crossed_region = forward_header.crossed_region;
  spec.traffic_class = forward_header.traffic_class;
  spec.idempotent = spec.idempotent && forward_header.idempotent;
  spec.deadline = now + milliseconds(forward_header.deadline_ms);
  return spec;
}

bool IsForwardedIngress(const HttpHeaders& headers) {
  const std::string& header = FindHeader(headers, kForwardHeader);
  return header.find(std::string(";") + kIngressTeam + ";") != std::string::npos;
}

}  // namespace ebonylift
