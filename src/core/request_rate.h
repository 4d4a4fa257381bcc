#ifndef EBONYLIFT_CORE_REQUEST_RATE_H_
#define EBONYLIFT_CORE_REQUEST_RATE_H_

// Limits the request rate to backend servers that take only a few requests per second from all
// hosts together: those that are cold (just started, or without their caches) and may crash above
// the rate of their service, and those that name a limit in their answers.
//
// The hosts that send to such a server agree on their shares without messages: the kLimitedSenders
// hosts with the highest rendezvous hash of host and server share the rate, and the others send
// nothing. While hosts disagree about each other's status, there may be one additional sender. A
// host learns of a limit from an answer, or from the work lists of other hosts (peer_work.h), by
// which it also learns that a limit is withdrawn when it sends nothing itself.
//
// The functions are pure and thread-safe and keep no state.

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr int kLimitedSenders = 2;

// Returns true until `cold_for` has passed since the server sent its announcement.
bool IsCold(const BackendServer& server, Time now);

// Returns the requests per second that the server takes from all hosts together; 0 if there is no
// limit. `limit` is the newest one known to this host.
double RequestRate(const RoutingView& view, const BackendServer& server, const RequestLimit& limit,
                   Time now);

// The place of this host among those that send requests to a server directly.
struct SenderRank {
  int hosts = 0;  // with this one
  int rank = 0;   // 0 is the first
};

// Hosts agree on the order in which they share the server.
SenderRank RankSender(const RoutingView& view, const BackendServer& server);

// A hash of what determines RankSender() besides the server. Does not depend on the order of hosts.
uint64_t SendersHash(const RoutingView& view);

// Returns how many requests this host may have at a server at a time if all hosts together may have
// `room`. With less room than hosts, only the first hosts in that order have a share.
int ShareOfRoomAtServer(const SenderRank& own, int room);

// Returns the hosts with a share, in no particular order.
std::vector<HostId> HostsWithShare(const RoutingView& view, const BackendServer& server, int room);

// Returns the minimum time between two requests from this host to a server that takes `rate`
// requests per second; nullopt if the rate is shared by other hosts and this one must not send.
// Precondition: `rate` is above 0.
std::optional<Duration> RequestInterval(const RoutingView& view, const BackendServer& server,
                                        double rate);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_REQUEST_RATE_H_
