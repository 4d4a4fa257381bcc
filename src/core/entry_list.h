#ifndef EBONYLIFT_CORE_ENTRY_LIST_H_
#define EBONYLIFT_CORE_ENTRY_LIST_H_

// Selects the hosts that a caller may send requests to.
//
// EntryHosts() lists only live hosts that are not overloaded and are in an allowed region, so a
// caller that uses a listed host stays within the regions of its team. Hosts in the caller's region
// come first. Hosts of equal weight are ordered by a hash of host and caller, so that callers that
// always take the first entry are spread over the hosts. Memory: one entry per known host.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kEntryListTtl = seconds(5);
// Weights of hosts in the caller's region and in other regions.
constexpr int kSameRegionWeight = 100;
constexpr int kOtherRegionWeight = 10;

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
  std::vector<EntryHost> hosts;  // in order of preference
};

// Returns the hosts for one caller. `allowed` holds the regions of the caller's team; if it is
// empty, no host is returned. An empty `caller_region` stands for the region of this host.
// `hash_seed` is any number that differs between callers.
EntryList EntryHosts(const RoutingView& view, const std::vector<RegionId>& allowed,
                     const RegionId& caller_region, uint64_t hash_seed = 0);

// Returns the hosts that callers in this failure domain and region are directed to, at most
// `limit`. All are from the first of these groups that has any:
//  - alive in the failure domain;
//  - alive in the region;
//  - suspected or overloaded in the region;
//  - alive in the other region that may serve the most routes.
// Only hosts with a caller address are considered; `address` of the result is that address.
std::vector<EntryHost> NearestEntryHosts(const RoutingView& view, const DomainId& domain,
                                         const RegionId& region, size_t limit);

// Returns whether this host should go on taking requests although it is to stop: no other host of
// its region takes requests now, and one of them is stopping or out of reach, so it may soon be
// back.
bool IsAwaitingReplacement(const RoutingView& view);

// Returns the status of each host of the region that takes requests of callers, as "id=status" with
// spaces between, for the log.
std::string DescribeEntryHosts(const RoutingView& view, const RegionId& region);

// Returns the operator address of a live host in the failure domain, or else in the region; empty
// if there is none.
std::string NearestOperatorAddress(const RoutingView& view, const DomainId& domain,
                                   const RegionId& region);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ENTRY_LIST_H_
