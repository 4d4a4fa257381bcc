#ifndef EBONYLIFT_CORE_PEER_WORK_H_
#define EBONYLIFT_CORE_PEER_WORK_H_

// What the hosts that share backend servers have there, as they tell each other.
//
// Every host sends its own list about every kPeerWorkInterval, and at once after it sent a long
// prompt; a newer list replaces the one before. A
// list that is older than kPeerWorkTtl no longer counts, so a host that is gone does not make a
// server look busy for long.
//
// Not thread safe. Memory: one list for each known host, of at most kMaxServers servers.

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kPeerWorkInterval = milliseconds(100);
constexpr int64_t kUrgentTokenIncrease = 8'000;
constexpr Duration kPeerWorkTtl = seconds(1);
// With more hosts the interval grows, so that a host sends at most this many lists a second.
constexpr int kMaxPeerWorkSendsPerSecond = 40;

struct PeerWork {
  struct List {
    Time received_at;
    std::vector<ServerWork> work;
  };
  std::map<HostId, List> lists;
};

void OnPeerWork(PeerWork* state, const HostId& from, std::vector<ServerWork> work, Time now);

// Sets `elsewhere` and `elsewhere_tokens` of the servers.
void AddPeerWork(const PeerWork& state, Time now, std::vector<BackendServer>* servers);

// Whether some server got a prompt since `before` that others should know of at once.
bool MuchMoreWork(const std::vector<ServerWork>& before, const std::vector<ServerWork>& after);

// The time between two lists to each of `hosts` hosts.
Duration PeerWorkInterval(size_t hosts);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PEER_WORK_H_
