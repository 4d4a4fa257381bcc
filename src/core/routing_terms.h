#ifndef EBONYLIFT_CORE_ROUTING_TERMS_H_
#define EBONYLIFT_CORE_ROUTING_TERMS_H_

// Conditions and cost terms that the choice of a local server (routing.cc) and of another failure
// domain (routing_remote.cc) share.
//
// The functions are pure and thread-safe. Costs are in seconds, rates in tokens per second.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/routing.h"
#include "ports/views.h"

namespace ebonylift {

inline constexpr double kInfinity = std::numeric_limits<double>::infinity();

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// Returns whether both the team's residency and the route allow the region.
bool RegionAllowed(const RouteQuery& query, const RegionId& region);

// Returns false if the configuration lists the failure domains of the region and `domain` is not
// one of them. A host that announces the wrong region must not receive data that is confined to it.
bool DomainMatchesConfig(const RoutingView& view, const DomainId& domain, const RegionId& region);

bool IsEvacuated(const RoutingView& view, const DomainId& domain);

// Returns the number of requests in flight that were dispatched after `since`.
int DispatchedSince(const TargetState& state, Time since);

// Returns the seconds until a new request starts at a target that already has `requests` requests.
double WaitSeconds(double requests, int slots, double service_s);

// Returns the mean service time at the target. `state` may be null.
double ServiceSeconds(const TargetState* state);

double PrefillRate(const RouteQuery& query, const RoutingState& routing_state);
double PrefillSeconds(int64_t tokens, double rate);

// Returns the longest wait for prompts ahead that leaves room for more urgent requests, in seconds;
// nullopt if none arrive.
std::optional<double> WaitBehindUrgent(const RouteQuery& query, const RoutingState& routing_state,
                                       Time now);

inline bool HasPrompt(const RouteQuery& query) { return query.prompt_tokens > 0; }

// Returns true for a request without a prompt that has a first-byte target.
bool IsPromptlessWithTarget(const RouteQuery& query);

// Returns a random index below `count`. Precondition: `count` is above 0.
size_t RandomIndex(size_t count, std::mt19937_64& rng);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_TERMS_H_
