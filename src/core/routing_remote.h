#ifndef EBONYLIFT_CORE_ROUTING_REMOTE_H_
#define EBONYLIFT_CORE_ROUTING_REMOTE_H_

// Chooses the failure domain and host to which a request is forwarded; see the contract of Choose()
// in core/routing.h.
//
// The functions are pure but for the random numbers that they draw.

#include <random>
#include <vector>

#include "core/routing.h"
#include "ports/views.h"

namespace ebonylift {

// The capacity that a failure domain must have to get a forward.
enum class RemoteCapacity {
  kAny,          // no requirement
  kFreeSlot,     // its summary and later forwards leave a slot free
  kStartsInTime  // it can meet the first-byte target despite the prompts ahead
};

// Returns the cheapest forward, or a refusal with infinite cost if there is none.
Choice ChooseRemote(const RouteQuery& query, const RoutingView& view,
                    const RoutingState& routing_state, Time now, RemoteCapacity required,
                    std::mt19937_64& rng);

// Chooses another host that reaches the same servers as this one, for a request for which this host
// has no path to them. kRefuse if there is none.
Choice ChooseRelay(const RouteQuery& query, const RoutingView& view, std::mt19937_64& rng);

// Chooses a host that has a share of one of these brittle servers, at which this host has none.
// kRefuse if there is none.
Choice ChooseHostWithShare(const RouteQuery& query, const RoutingView& view,
                           const std::vector<const BackendServer*>& servers, std::mt19937_64& rng);

// Returns a lower bound for the cost of a forward. Usually it is too high already, which saves the
// scan of the summaries.
double MinRemoteCost(const RouteQuery& query, const RoutingState& routing_state);

// Returns whether this host knows a host to which it may forward the request.
bool AnyUsableHost(const RouteQuery& query, const RoutingView& view);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_REMOTE_H_
