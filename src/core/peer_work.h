#ifndef EBONYLIFT_CORE_PEER_WORK_H_
#define EBONYLIFT_CORE_PEER_WORK_H_

// Tracks the load that other hosts place on shared backend servers, as they report it.
//
// Every host sends the list of its own work to its peers about every kPeerWorkInterval, and at once
// after it has sent a long prompt to a server. A newer list replaces the previous one. A list older
// than kPeerWorkTtl is ignored, so that the work of a host that has failed does not make a server
// look busy for long.
//
// Not thread safe. Memory: one list for each known host, of at most kMaxServers servers.

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kPeerWorkInterval = milliseconds(100);
// A list is sent at once if the prompt tokens waiting for prefill on some server have grown by this
// many since the last one.
constexpr int64_t kUrgentTokenIncrease = 8'000;
constexpr Duration kPeerWorkTtl = seconds(1);
// The interval grows with the number of hosts, so that a host sends at most this many lists per
// second.
constexpr int kMaxPeerWorkSendsPerSecond = 40;

struct PeerWork {
  struct List {
    Time received_at;
    std::vector<ServerWork> work;
  };
  std::map<HostId, List> lists;
};

// Replaces the list of `from`.
void OnPeerWork(PeerWork* state, const HostId& from, std::vector<ServerWork> work, Time now);

// Sets `other_hosts_requests` and `other_hosts_prefill_tokens` of the servers to the sums over all
// current lists, `other_hosts_limit` to the newest limit and `other_hosts_speed` to the weighted
// mean of the speeds in them.
void ApplyPeerWork(const PeerWork& state, Time now, std::vector<BackendServer>* servers);

// ApplyPeerWork() for lists in any order. Null pointers are ignored.
void ApplyWorkLists(const std::vector<const PeerWork::List*>& lists, Time now,
                    std::vector<BackendServer>* servers);

// Whether the waiting prompt tokens of some server have grown by kUrgentTokenIncrease or more from
// `before` to `after`, so that other hosts should be told at once.
bool HasUrgentIncrease(const std::vector<ServerWork>& before, const std::vector<ServerWork>& after);

// The time between two lists sent to each of `hosts` peers.
Duration PeerWorkInterval(size_t hosts);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PEER_WORK_H_
