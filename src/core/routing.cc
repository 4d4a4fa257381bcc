#include "core/routing.h"

#include <algorithm>

#include "core/routing_local.h"
#include "core/routing_remote.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

Choice Refuse(ErrorKind error) {
  Choice choice;
  choice.kind = ChoiceKind::kRefuse;
  choice.error = error;
  choice.retry_after = milliseconds(LookupError(error).retry_after_ms);
  return choice;
}

bool ServesModel(const Announcement& server, const RouteConfig& route) {
  for (const ServedModel& model : server.models) {
    if (model.name != route.model) continue;
    if (!route.version.empty() && model.version != route.version) continue;
    if (route.adapter.empty() || Contains(model.adapters, route.adapter)) return true;
  }
  return false;
}

// How much cheaper than the local choice a forward must be.
double ForwardMargin(const RouteQuery& query, double local_cost) {
  return std::max(kHysteresisShare * local_cost,
                  query.route->weight_latency * ToSeconds(kHysteresisMin));
}

// Why the request can neither run on a local server nor be forwarded.
ErrorKind RefusalReason(const RouteQuery& query, const RoutingView& view, bool local_allowed) {
  if (query.hops >= kMaxHops) return ErrorKind::kHopLimit;
  if (local_allowed) return ErrorKind::kNoServer;
  if (query.crossed_region) return ErrorKind::kHopLimit;
  if (!query.route->send_away) return ErrorKind::kResidencyRefused;
  return AnyUsableHost(query, view) ? ErrorKind::kNoServer : ErrorKind::kRegionUnreachable;
}

// True if this host has heard of the servers of the region: of its own servers directly, of those
// of another region by summaries, for which it also needs a host to forward to. If the request
// needs a software version, that of a server that has it.
bool HasHeardOf(const RouteQuery& query, const RoutingView& view, const RegionId& region) {
  const std::string& version = query.software_version;
  if (region == view.self.region) {
    return std::any_of(view.servers.begin(), view.servers.end(), [&](const BackendServer& server) {
      return version.empty() || server.announced.software_version == version;
    });
  }
  auto knows_servers = [&](const DomainSummary& summary) {
    return summary.region == region &&
           (version.empty() || Contains(summary.software_versions, version));
  };
  auto in_region = [&](const HostEntry& host) { return host.region == region; };
  return std::any_of(view.summaries.begin(), view.summaries.end(), knows_servers) &&
         std::any_of(view.hosts.begin(), view.hosts.end(), in_region);
}

// True if a region that this host will probably hear of soon may serve the request.
bool MayBeServedSoon(const RouteQuery& query, const RoutingView& view,
                     const RoutingState& routing_state, Time now) {
  if (now >= routing_state.learning_until || query.hops > 0) return false;
  return std::any_of(
      query.allowed_regions.begin(), query.allowed_regions.end(), [&](const RegionId& region) {
        bool reachable = region == view.self.region || query.route->send_away;
        return reachable && RegionAllowed(query, region) && !HasHeardOf(query, view, region);
      });
}

// Refuses the request until some time after `pause_end`, so that callers do not return together.
Choice RefusePaused(Time pause_end, Time now, std::mt19937_64& rng) {
  constexpr double kMaxDelaySeconds = 1;
  double delay = std::uniform_real_distribution<double>(0, kMaxDelaySeconds)(rng);
  Choice choice = Refuse(ErrorKind::kOverloaded);
  choice.retry_after = pause_end - now + Duration(static_cast<int64_t>(delay * 1e6));
  return choice;
}

Choice HoldUntil(Time time) {
  Choice choice;
  choice.kind = ChoiceKind::kQueue;
  choice.hold_until = time;
  return choice;
}

bool AnyRegionAllowed(const RouteQuery& query) {
  return std::any_of(query.allowed_regions.begin(), query.allowed_regions.end(),
                     [&](const RegionId& region) { return RegionAllowed(query, region); });
}

}  // namespace

const std::string& ServedName(const RouteConfig& route) {
  return route.kind == ServerKind::kModel ? route.model.value() : route.service;
}

std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name) {
  constexpr std::pair<std::string_view, RoutingPolicy> kPolicies[] = {
      {"cost", RoutingPolicy::kCost},
      {"round_robin", RoutingPolicy::kRoundRobin},
      {"least_reported", RoutingPolicy::kLeastReported},
      {"power_of_two", RoutingPolicy::kPowerOfTwo},
      {"prefix_hash", RoutingPolicy::kPrefixHash}};
  for (const auto& [known, policy] : kPolicies) {
    if (known == name) return policy;
  }
  return std::nullopt;
}

std::vector<RegionId> AllowedRegions(const ConfigView& config, const RouteConfig& route) {
  std::vector<RegionId> allowed;
  auto team = config.teams.find(route.team);
  if (team == config.teams.end()) return allowed;
  for (const RegionId& region : route.regions) {
    if (Contains(team->second.regions, region)) allowed.push_back(region);
  }
  return allowed;
}

bool CanServe(const BackendServer& server, const RouteConfig& route, const RoutingView& view,
              Time now) {
  const Announcement& announced = server.announced;
  if (announced.leaving || now >= server.expires_at || announced.kind != route.kind) return false;
  if (!InScope(view.self, view.server_scope, announced.domain, announced.region)) return false;
  if (IsEvacuated(view, announced.domain)) return false;
  if (route.kind == ServerKind::kModel) return ServesModel(announced, route);
  return Contains(announced.services, route.service);
}

Choice Choose(const RouteQuery& query, const RoutingView& view, const RoutingState& routing_state,
              Time now, std::mt19937_64& rng) {
  if (query.route == nullptr || !AnyRegionAllowed(query)) {
    return Refuse(ErrorKind::kResidencyRefused);
  }
  if (query.hops > kMaxHops) return Refuse(ErrorKind::kHopLimit);
  if (now >= query.deadline) return Refuse(ErrorKind::kDeadlineNotRun);

  bool local_allowed = RegionAllowed(query, view.self.region);
  LocalServers local;
  if (local_allowed) local = FindLocalServers(query, view, routing_state, now);
  if (query.relay) {
    Choice relay = ChooseRelay(query, view, rng);
    if (relay.kind == ChoiceKind::kForward) return relay;
    relay = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (relay.kind == ChoiceKind::kForward) return relay;
  } else if (local.reachable == 0 && local.unreachable > 0 && query.hops == 0) {
    // The servers may be down for all hosts, so other failure domains come first.
    Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
    remote = ChooseRelay(query, view, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
  }
  if (local.count == 0) {
    Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
    if (MayBeServedSoon(query, view, routing_state, now)) {
      return HoldUntil(std::min(routing_state.learning_until, query.deadline));
    }
    if (local.first_pause_end != Time()) return RefusePaused(local.first_pause_end, now, rng);
    return Refuse(RefusalReason(query, view, local_allowed));
  }

  if (local.usable.empty() && !local.of_other_hosts.empty() && query.hops == 0) {
    Choice relay = ChooseHostWithShare(query, view, local.of_other_hosts, rng);
    if (relay.kind == ChoiceKind::kForward) return relay;
  }

  Choice local_choice = ChooseLocal(query, view, routing_state, local, now, rng);
  if (query.hops > 0 || query.suspect) return local_choice;
  if (local_choice.kind == ChoiceKind::kQueue && query.first_byte_deadline != Time()) {
    Choice remote =
        ChooseRemote(query, view, routing_state, now, RemoteCapacity::kStartsInTime, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
  }
  double threshold = local_choice.cost - ForwardMargin(query, local_choice.cost);
  if (MinRemoteCost(query, routing_state) >= threshold) return local_choice;
  Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kFreeSlot, rng);
  return remote.kind == ChoiceKind::kForward && remote.cost < threshold ? remote : local_choice;
}

Choice ChooseHedge(const RouteQuery& query, const RoutingView& view,
                   const RoutingState& routing_state, Time now, std::mt19937_64& rng) {
  Choice no_room;
  no_room.kind = ChoiceKind::kQueue;
  if (query.route == nullptr || !RegionAllowed(query, view.self.region)) return no_room;
  if (now >= query.deadline) return no_room;
  LocalServers local = FindLocalServers(query, view, routing_state, now);
  local.usable.erase(std::remove_if(local.usable.begin(), local.usable.end(),
                                    [](const Candidate& candidate) { return candidate.ejected; }),
                     local.usable.end());
  if (local.usable.empty()) return no_room;
  return ChooseLocal(query, view, routing_state, local, now, rng);
}

}  // namespace ebonylift
