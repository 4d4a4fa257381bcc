#include "core/routing_remote.h"

#include <algorithm>

#include "core/request_rate.h"
#include "core/routing_terms.h"
#include "core/server_notice.h"

namespace ebonylift {
namespace {

bool MayForwardTo(const RouteQuery& query, const RoutingView& view, const RegionId& region) {
  if (query.hops >= kMaxHops || !RegionAllowed(query, region)) return false;
  return region == view.self.region || (!query.crossed_region && query.route->send_away);
}

// False if no server of the failure domain has the software version that the request needs.
bool MayHaveSoftware(const RouteQuery& query, const DomainSummary& summary) {
  const std::vector<std::string>& versions = summary.software_versions;
  return query.software_version.empty() || versions.empty() ||
         Contains(versions, query.software_version);
}

bool IsUsableHost(const RouteQuery& query, const RoutingView& view, const HostEntry& host) {
  return host.status == HostStatus::kAlive && !host.overloaded && host.id != view.self.host &&
         !host.region.empty() && !Contains(query.avoid_hosts, host.id);
}

// A random usable host for which `matches` returns true, or null if there is none.
template <typename Matches>
const HostEntry* PickHost(const RouteQuery& query, const RoutingView& view, std::mt19937_64& rng,
                          Matches matches) {
  const HostEntry* picked = nullptr;
  size_t seen = 0;
  for (const HostEntry& host : view.hosts) {
    if (!matches(host) || !IsUsableHost(query, view, host)) continue;
    if (RandomIndex(++seen, rng) == 0) picked = &host;
  }
  return picked;
}

// Null if this host never forwarded to the failure domain.
const TargetState* FindDomainState(const RoutingState& routing_state, const DomainId& domain) {
  auto found = routing_state.domains.find(domain);
  return found == routing_state.domains.end() ? nullptr : &found->second;
}

// Estimates the number of requests in the failure domain: those in its summary plus those forwarded
// since. The other live hosts of the own failure domain see the same local load and are assumed to
// have forwarded as many as this host.
int RequestsAt(const RoutingView& view, const RoutingState& routing_state,
               const DomainSummary& summary) {
  int requests = std::max(summary.running, 0) + std::max(summary.waiting, 0);
  const TargetState* state = FindDomainState(routing_state, summary.domain);
  if (state == nullptr) return requests;
  int dispatched = DispatchedSince(*state, summary.reported_at);
  if (dispatched == 0) return requests;
  int hosts = 1;
  for (const HostEntry& host : view.hosts) {
    if (host.domain != view.self.domain || host.id == view.self.host) continue;
    if (host.status == HostStatus::kAlive) ++hosts;
  }
  return requests + dispatched * hosts;
}

// Seconds until a server of the failure domain starts to read the prompt: the round trip plus the
// prompts ahead. Prompts forwarded since the summary are assumed to be as long as this one.
double RemotePromptWaitSeconds(const RouteQuery& query, const RoutingView& view,
                               const TargetState* state, const DomainSummary& summary,
                               double rate) {
  int64_t ahead = summary.prefill_tokens;
  if (state != nullptr) ahead += DispatchedSince(*state, summary.reported_at) * query.prompt_tokens;
  bool crosses_region = summary.region != view.self.region;
  return PrefillSeconds(ahead, rate) / std::max(summary.servers, 1) +
         ToSeconds(crosses_region ? kRegionRoundTrip : kDomainRoundTrip);
}

double RemoteCost(const RouteQuery& query, const RoutingView& view,
                  const RoutingState& routing_state, const DomainSummary& summary, int requests) {
  const TargetState* state = FindDomainState(routing_state, summary.domain);
  bool crosses_region = summary.region != view.self.region;
  double wait = WaitSeconds(requests, std::max(summary.slots, 1), ServiceSeconds(state));
  double rate = PrefillRate(query, routing_state);
  wait += RemotePromptWaitSeconds(query, view, state, summary, rate);
  return query.route->weight_latency * wait +
         query.route->weight_cost * PrefillSeconds(query.prompt_tokens, rate) +
         (crosses_region ? query.route->weight_remote : 0);
}

// Precondition: the query has a first-byte target.
bool StartsInTimeRemotely(const RouteQuery& query, const RoutingView& view,
                          const RoutingState& routing_state, const DomainSummary& summary,
                          Time now) {
  double rate = PrefillRate(query, routing_state);
  double left =
      ToSeconds(query.first_byte_deadline - now) - PrefillSeconds(query.prompt_tokens, rate);
  left = std::min(left, WaitBehindUrgent(query, routing_state, now).value_or(left));
  return RemotePromptWaitSeconds(query, view, FindDomainState(routing_state, summary.domain),
                                 summary, rate) <= left;
}

bool HasRemoteCapacity(const RouteQuery& query, const RoutingView& view,
                       const RoutingState& routing_state, const DomainSummary& summary,
                       int requests, RemoteCapacity required, Time now) {
  if (required == RemoteCapacity::kAny) return true;
  if (required == RemoteCapacity::kFreeSlot) return requests < summary.slots;
  const TargetState* state = FindDomainState(routing_state, summary.domain);
  if (state != nullptr && now < state->full_until) return false;
  double backlog = IsPromptlessWithTarget(query) ? kPromptlessBacklogPerSlot : 0;
  if (requests >= summary.slots * (1 + backlog)) return false;
  return StartsInTimeRemotely(query, view, routing_state, summary, now);
}

// Forwards to a host that reaches the same servers as this one and that matches.
template <typename Matches>
Choice ChooseHostOfScope(const RouteQuery& query, const RoutingView& view, std::mt19937_64& rng,
                         Matches matches) {
  Choice choice;
  if (!MayForwardTo(query, view, view.self.region)) return choice;
  const HostEntry* host = PickHost(query, view, rng, [&](const HostEntry& entry) {
    return InScope(view.self, view.server_scope, entry.domain, entry.region) && matches(entry);
  });
  if (host == nullptr) return choice;
  choice.kind = ChoiceKind::kForward;
  choice.host = host->id;
  choice.domain = host->domain;
  return choice;
}

}  // namespace

Choice ChooseRemote(const RouteQuery& query, const RoutingView& view,
                    const RoutingState& routing_state, Time now, RemoteCapacity required,
                    std::mt19937_64& rng) {
  Choice best;
  best.cost = kInfinity;
  for (const DomainSummary& summary : view.summaries) {
    if (summary.servers <= 0 || summary.served != ServedName(*query.route)) continue;
    if (summary.domain.empty() || IsEvacuated(view, summary.domain)) continue;
    if (InScope(view.self, view.server_scope, summary.domain, summary.region)) continue;
    if (now - summary.reported_at > kSummaryTtl) continue;
    if (!MayForwardTo(query, view, summary.region)) continue;
    if (!MayHaveSoftware(query, summary)) continue;
    if (!DomainMatchesConfig(view, summary.domain, summary.region)) continue;
    const TargetState* state = FindDomainState(routing_state, summary.domain);
    if (state != nullptr && now < state->ejected_until) continue;
    int requests = RequestsAt(view, routing_state, summary);
    if (!HasRemoteCapacity(query, view, routing_state, summary, requests, required, now)) continue;
    double cost = RemoteCost(query, view, routing_state, summary, requests);
    if (cost >= best.cost) continue;
    const HostEntry* host = PickHost(query, view, rng, [&](const HostEntry& entry) {
      return entry.domain == summary.domain && entry.region == summary.region;
    });
    if (host == nullptr) continue;
    best.kind = ChoiceKind::kForward;
    best.host = host->id;
    best.domain = summary.domain;
    best.crosses_region = summary.region != view.self.region;
    best.cost = cost;
  }
  return best;
}

Choice ChooseRelay(const RouteQuery& query, const RoutingView& view, std::mt19937_64& rng) {
  return ChooseHostOfScope(query, view, rng, [](const HostEntry&) { return true; });
}

Choice ChooseHostWithShare(const RouteQuery& query, const RoutingView& view,
                           const std::vector<const BackendServer*>& servers, std::mt19937_64& rng) {
  const BackendServer& server = *servers[RandomIndex(servers.size(), rng)];
  int slots = std::max(server.announced.load.slots, 1);
  std::vector<HostId> hosts =
      HostsWithShare(view, server, RoomAtBrittleServer(slots, HasPrompt(query)));
  return ChooseHostOfScope(query, view, rng,
                           [&](const HostEntry& entry) { return Contains(hosts, entry.id); });
}

double MinRemoteCost(const RouteQuery& query, const RoutingState& routing_state) {
  return query.route->weight_latency * ToSeconds(kDomainRoundTrip) +
         query.route->weight_cost *
             PrefillSeconds(query.prompt_tokens, PrefillRate(query, routing_state));
}

bool AnyUsableHost(const RouteQuery& query, const RoutingView& view) {
  return std::any_of(view.hosts.begin(), view.hosts.end(), [&](const HostEntry& host) {
    return IsUsableHost(query, view, host) && RegionAllowed(query, host.region);
  });
}

}  // namespace ebonylift
