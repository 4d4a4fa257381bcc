#include "core/entry_list.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "core/ingress.h"
#include "core/membership.h"

namespace ebonylift {
namespace {

// Returns true if the host takes requests and is in an allowed region.
bool IsUsable(const HostEntry& host, const std::vector<RegionId>& allowed) {
  if (host.status != HostStatus::kAlive || host.overloaded) return false;
  return std::find(allowed.begin(), allowed.end(), host.region) != allowed.end();
}

EntryHost MakeEntry(const HostEntry& host, const RegionId& preferred_region) {
  EntryHost entry;
  entry.host = host.id;
  entry.address = host.http_address;
  entry.region = host.region;
  entry.domain = host.domain;
  entry.weight = host.region == preferred_region ? kSameRegionWeight : kOtherRegionWeight;
  return entry;
}

// Returns how many ingress routes may be served in the region.
int CountRoutesServedIn(const RoutingView& view, const RegionId& region) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  const auto& routes = view.config->ingress->route_configs;
  return static_cast<int>(std::count_if(routes.begin(), routes.end(), [&](const auto& entry) {
    const std::vector<RegionId>& regions = entry.second.regions;
    return std::find(regions.begin(), regions.end(), region) != regions.end();
  }));
}

// In ascending order of preference.
enum class Proximity {
  kUnusable,
  kOtherRegion,
  // In the caller's region, but suspected or overloaded. A suspected host is probably still alive.
  kSameRegionDegraded,
  kSameRegion,
  kSameDomain,
};

Proximity GetProximity(const HostEntry& host, const DomainId& domain, const RegionId& region) {
  if (host.caller_address.empty()) return Proximity::kUnusable;
  bool same_region = host.region == region;
  if (same_region && host.status == HostStatus::kSuspect) return Proximity::kSameRegionDegraded;
  if (host.status != HostStatus::kAlive) return Proximity::kUnusable;
  if (same_region && host.overloaded) return Proximity::kSameRegionDegraded;
  if (same_region) return host.domain == domain ? Proximity::kSameDomain : Proximity::kSameRegion;
  return Proximity::kOtherRegion;
}

// How suitable a host is for a caller; a larger value is better. Among hosts in other regions,
// those in the region where the data of more routes may go are preferred.
using Suitability = std::pair<Proximity, int>;

Suitability GetSuitability(const RoutingView& view, const HostEntry& host, const DomainId& domain,
                           const RegionId& region) {
  Proximity proximity = GetProximity(host, domain, region);
  return {proximity,
          proximity == Proximity::kOtherRegion ? CountRoutesServedIn(view, host.region) : 0};
}

}  // namespace

EntryList EntryHosts(const RoutingView& view, const std::vector<RegionId>& allowed,
                     const RegionId& caller_region, uint64_t hash_seed) {
  const RegionId& preferred_region = caller_region.empty() ? view.self.region : caller_region;
  EntryList list;
  for (const HostEntry& host : view.hosts) {
    if (IsUsable(host, allowed)) list.hosts.push_back(MakeEntry(host, preferred_region));
  }
  std::sort(list.hosts.begin(), list.hosts.end(), [&](const EntryHost& a, const EntryHost& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    uint64_t hash_a = Hash64(a.host.value(), hash_seed);
    uint64_t hash_b = Hash64(b.host.value(), hash_seed);
    return std::tie(hash_a, a.host) < std::tie(hash_b, b.host);
  });
  return list;
}

std::vector<EntryHost> NearestEntryHosts(const RoutingView& view, const DomainId& domain,
                                         const RegionId& region, size_t limit) {
  std::vector<EntryHost> hosts;
  Suitability best = {Proximity::kUnusable, 0};
  for (const HostEntry& host : view.hosts) {
    Suitability suitability = GetSuitability(view, host, domain, region);
    if (suitability.first == Proximity::kUnusable || suitability < best) continue;
    if (suitability > best) hosts.clear();
    best = suitability;
    EntryHost entry = MakeEntry(host, region);
    entry.address = host.caller_address;
    if (hosts.size() < limit) hosts.push_back(entry);
  }
  return hosts;
}

bool IsAwaitingReplacement(const RoutingView& view) {
  bool expected = false;
  for (const HostEntry& host : view.hosts) {
    bool other = host.id != view.self.host && host.region == view.self.region;
    if (!other || host.caller_address.empty()) continue;
    if (host.status == HostStatus::kAlive) return false;
    expected = expected || host.status != HostStatus::kFailed;
  }
  return expected;
}

std::string DescribeEntryHosts(const RoutingView& view, const RegionId& region) {
  std::string text;
  for (const HostEntry& host : view.hosts) {
    if (host.region != region || host.caller_address.empty()) continue;
    if (!text.empty()) text += ' ';
    text += host.id.value() + '=' + HostStatusName(host.status);
    if (host.overloaded) text += "/overloaded";
  }
  return text;
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
