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

}  // namespace ebonylift
