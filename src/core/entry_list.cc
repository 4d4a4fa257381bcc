#include "core/entry_list.h"

#include <algorithm>

#include "base/hash.h"

namespace ebonylift {
namespace {

bool Usable(const HostEntry& host, const std::vector<RegionId>& allowed) {
  if (host.status != HostStatus::kAlive || host.overloaded) return false;
  return std::find(allowed.begin(), allowed.end(), host.region) != allowed.end();
}

EntryHost MakeEntry(const HostEntry& host, const RegionId& near) {
  EntryHost entry;
  entry.host = host.id;
  entry.address = host.http_address;
  entry.region = host.region;
  entry.domain = host.domain;
  entry.weight = host.region == near ? kNearWeight : kFarWeight;
  return entry;
}

}  // namespace

EntryList EntryHosts(const RoutingView& view, const std::vector<RegionId>& allowed,
                     const RegionId& caller_region, uint64_t spread) {
  const RegionId& near = caller_region.empty() ? view.self.region : caller_region;
  EntryList list;
  for (const HostEntry& host : view.hosts) {
    if (Usable(host, allowed)) list.hosts.push_back(MakeEntry(host, near));
  }
  std::sort(list.hosts.begin(), list.hosts.end(), [&](const EntryHost& a, const EntryHost& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    uint64_t hash_a = Hash64(a.host.value(), spread);
    uint64_t hash_b = Hash64(b.host.value(), spread);
    return std::tie(hash_a, a.host) < std::tie(hash_b, b.host);
  });
  return list;
}

std::vector<EntryHost> NearestEntryHosts(const RoutingView& view, const DomainId& domain,
                                         const RegionId& region, size_t limit) {
  std::vector<EntryHost> hosts;
  int best = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.status != HostStatus::kAlive || host.caller_address.empty()) continue;
    // The distance in the order of preference; an overloaded host is as bad as a far one.
    int rank = host.domain == domain ? 3 : host.region == region ? 2 : 1;
    if (host.overloaded) rank = 1;
    if (rank < best) continue;
    if (rank > best) hosts.clear();
    best = rank;
    EntryHost entry = MakeEntry(host, region);
    entry.address = host.caller_address;
    if (hosts.size() < limit) hosts.push_back(entry);
  }
  return hosts;
}

std::string NearestOperatorAddress(const RoutingView& view, const DomainId& domain,
                                   const RegionId& region) {
  std::string address;
  for (const HostEntry& host : view.hosts) {
    bool usable = host.status == HostStatus::kAlive && !host.operator_address.empty();
    if (!usable || host.region != region) continue;
    if (host.domain == domain) return host.operator_address;
    address = host.operator_address;
  }
  return address;
}

}  // namespace ebonylift
