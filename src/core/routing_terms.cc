#include "core/routing_terms.h"

namespace ebonylift {

bool RegionAllowed(const RouteQuery& query, const RegionId& region) {
  return !region.empty() && Contains(query.allowed_regions, region) &&
         Contains(query.route->regions, region);
}

bool DomainMatchesConfig(const RoutingView& view, const DomainId& domain, const RegionId& region) {
  if (view.config == nullptr) return false;
  auto found = view.config->regions.find(region);
  if (found == view.config->regions.end() || found->second.domains.empty()) return true;
  return Contains(found->second.domains, domain);
}

bool IsEvacuated(const RoutingView& view, const DomainId& domain) {
  return view.config != nullptr && view.config->evacuated.count(domain) != 0;
}

int DispatchedSince(const TargetState& state, Time since) {
  return static_cast<int>(
      state.dispatch_times.end() -
      std::upper_bound(state.dispatch_times.begin(), state.dispatch_times.end(), since));
}

double WaitSeconds(double requests, int slots, double service_s) {
  if (requests < slots) return 0;
  return (requests - slots + 1) * service_s / slots;
}

double ServiceSeconds(const TargetState* state) {
  if (state == nullptr || state->mean_service_time == Duration::zero())
    return ToSeconds(kDefaultServiceTime);
  return ToSeconds(state->mean_service_time);
}

double PrefillRate(const RouteQuery& query, const RoutingState& routing_state) {
  auto found = routing_state.prefill_rates.find(ServedName(*query.route));
  return found == routing_state.prefill_rates.end() ? kDefaultPrefillTokensPerSecond
                                                    : found->second;
}

double PrefillSeconds(int64_t tokens, double rate) {
  return static_cast<double>(std::max<int64_t>(tokens, 0)) / rate;
}

std::optional<double> WaitBehindUrgent(const RouteQuery& query, const RoutingState& routing_state,
                                       Time now) {
  auto found = routing_state.urgent_demand.find(ServedName(*query.route));
  if (found == routing_state.urgent_demand.end()) return std::nullopt;
  return MaxWaitBehindUrgent(found->second, query.rank, PrefillRate(query, routing_state), now);
}

bool IsPromptlessWithTarget(const RouteQuery& query) {
  return !HasPrompt(query) && query.first_byte_deadline != Time();
}

size_t RandomIndex(size_t count, std::mt19937_64& rng) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(rng);
}

}  // namespace ebonylift
