#include "core/entry_list.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "core/ingress.h"

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

// How many routes may be served in the region.
int RoutesServedIn(const RoutingView& view, const RegionId& region) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  const auto& routes = view.config->ingress->route_configs;
  return static_cast<int>(std::count_if(routes.begin(), routes.end(), [&](const auto& entry) {
    const std::vector<RegionId>& regions = entry.second.regions;
    return std::find(regions.begin(), regions.end(), region) != regions.end();
  }));
}

enum class Nearness {
  kUnusable,
  kFar,
  kRegionSuspect,  // probably still there, and its region is the callers' own
  kRegion,
  kDomain,
};

Nearness NearnessOf(const HostEntry& host, const DomainId& domain, const RegionId& region) {
  if (host.caller_address.empty()) return Nearness::kUnusable;
  bool near = host.region == region;
  if (near && host.status == HostStatus::kSuspect) return Nearness::kRegionSuspect;
  if (host.status != HostStatus::kAlive) return Nearness::kUnusable;
  if (near && host.overloaded) return Nearness::kRegionSuspect;
  if (near) return host.domain == domain ? Nearness::kDomain : Nearness::kRegion;
  return Nearness::kFar;
}

// How well a host fits callers at a place; the larger, the better. Among far regions, those count
// more where the data of more routes may go.
using Fitness = std::pair<Nearness, int>;

Fitness FitnessOf(const RoutingView& view, const HostEntry& host, const DomainId& domain,
                  const RegionId& region) {
  Nearness nearness = NearnessOf(host, domain, region);
  return {nearness, nearness == Nearness::kFar ? RoutesServedIn(view, host.region) : 0};
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
  Fitness best = {Nearness::kUnusable, 0};
  for (const HostEntry& host : view.hosts) {
    Fitness fitness = FitnessOf(view, host, domain, region);
    if (fitness.first == Nearness::kUnusable || fitness < best) continue;
    if (fitness > best) hosts.clear();
    best = fitness;
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
