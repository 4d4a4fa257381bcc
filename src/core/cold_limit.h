#ifndef EBONYLIFT_CORE_COLD_LIMIT_H_
#define EBONYLIFT_CORE_COLD_LIMIT_H_

// Work for backend servers that are cold: just started, or without their caches.
//
// A cold server bears a few requests a second from all hosts together and may crash above that. The
// hosts that reach it agree without messages: the kColdOwners ones with the highest rendezvous hash
// of host and server share the rate, and the others send nothing. While hosts see each other's
// status differently there may be one owner more.
//
// Pure and thread safe. No memory.

#include <optional>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr int kColdOwners = 2;

// The server counts down from the announcement on.
bool IsCold(const BackendServer& server, Time now);

// The least time between two requests of this host to the cold server; 0 where its service has no
// limit, nullopt when other hosts own the rate.
std::optional<Duration> ColdInterval(const RoutingView& view, const BackendServer& server);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_COLD_LIMIT_H_
