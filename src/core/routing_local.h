#ifndef EBONYLIFT_CORE_ROUTING_LOCAL_H_
#define EBONYLIFT_CORE_ROUTING_LOCAL_H_

// Chooses one of the backend servers of this host's scope; see the contract of Choose() in
// core/routing.h.
//
// The functions are pure but for the random numbers that they draw.

#include <random>

#include "core/routing_candidates.h"

namespace ebonylift {

// Returns kLocal, or kQueue if no server has room for the request. Fills the groups of `local`.
// Precondition: `local` is the result of FindLocalServers() for the same arguments, and its `count`
// is not 0.
Choice ChooseLocal(const RouteQuery& query, const RoutingView& view,
                   const RoutingState& routing_state, LocalServers& local, Time now,
                   std::mt19937_64& rng);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_LOCAL_H_
