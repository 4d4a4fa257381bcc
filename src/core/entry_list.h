#ifndef EBONYLIFT_CORE_ENTRY_LIST_H_
#define EBONYLIFT_CORE_ENTRY_LIST_H_

// The hosts that a caller may use.
//
// Only alive hosts that are not overloaded and that are in an allowed region are listed: a caller
// that uses a listed host stays inside the regions of its team. Hosts of the caller's region come
// first. Hosts of equal weight are in the order of a hash of host and caller, so that callers that
// take the first entry spread over the hosts. Memory: one entry per known host.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kEntryListTtl = seconds(5);
constexpr int kNearWeight = 100;
constexpr int kFarWeight = 10;

struct EntryHost {
  HostId host;
  std::string address;
  RegionId region;
  DomainId domain;
  int weight = 0;
  friend bool operator==(const EntryHost& a, const EntryHost& b) {
    return std::tie(a.host, a.address, a.region, a.domain, a.weight) ==
           std::tie(b.host, b.address, b.region, b.domain, b.weight);
  }
};

struct EntryList {
  Duration ttl = kEntryListTtl;
  std::vector<EntryHost> hosts;  // best first
};

// `allowed`: the regions of the caller's team; none: no host. `caller_region`: empty means the
// region of the own host. `spread`: any number that differs between callers.
EntryList EntryHosts(const RoutingView& view, const std::vector<RegionId>& allowed,
                     const RegionId& caller_region, uint64_t spread = 0);

// The hosts that callers at this place are told to use, of the first kind that there is: alive in
// the failure domain, alive in the region, suspected or overloaded in the region, in the other
// region that may serve most routes. Only hosts with an address for callers, which is the address
// of the result. At most `limit`.
std::vector<EntryHost> NearestEntryHosts(const RoutingView& view, const DomainId& domain,
                                         const RegionId& region, size_t limit);

// The address for operators of a live host near this place, of the failure domain or else of the
// region; empty when there is none.
std::string NearestOperatorAddress(const RoutingView& view, const DomainId& domain,
                                   const RegionId& region);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ENTRY_LIST_H_
