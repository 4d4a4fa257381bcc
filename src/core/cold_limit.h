#ifndef EBONYLIFT_CORE_COLD_LIMIT_H_
#define EBONYLIFT_CORE_COLD_LIMIT_H_

// Limits the request rate to backend servers that are cold: just started, or without their caches.
//
// A cold server can handle a few requests per second from all hosts together and may crash above
// that rate. The hosts that send to it agree on their shares without messages: the kColdSenders
// hosts with the highest rendezvous hash of host and server share the rate, and the others send
// nothing. While hosts disagree about each other's status, there may be one additional sender.
//
// The functions are pure and thread-safe and keep no state.

#include <optional>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr int kColdSenders = 2;

// Returns true until `cold_for` has passed since the server sent its announcement.
bool IsCold(const BackendServer& server, Time now);

// Returns the minimum time between two requests from this host to the cold server: 0 if its service
// has no limit, nullopt if the rate is shared by other hosts and this one must not send.
std::optional<Duration> ColdRequestInterval(const RoutingView& view, const BackendServer& server);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_COLD_LIMIT_H_
