#include "core/stream_origins.h"

#include <algorithm>
#include <map>
#include <set>

#include "base/hash.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

struct RankedHost {
  uint64_t weight = 0;
  const HostEntry* host = nullptr;
};

bool RanksHigher(const RankedHost& a, const RankedHost& b) {
  return std::tie(b.weight, b.host->id) < std::tie(a.weight, a.host->id);
}

// The live hosts of each region, the preferred holder first.
std::map<RegionId, std::vector<RankedHost>> RankHolders(const std::vector<HostEntry>& hosts,
                                                        uint64_t stream) {
  std::map<RegionId, std::vector<RankedHost>> ranked;
  for (const HostEntry& host : hosts) {
    if (host.status != HostStatus::kAlive || host.region.empty()) continue;
    ranked[host.region].push_back({Hash64(host.id.value(), stream), &host});
  }
  for (auto& [region, holders] : ranked) std::sort(holders.begin(), holders.end(), RanksHigher);
  return ranked;
}

}  // namespace

uint64_t StreamKey(std::string_view caller_request_id) { return Hash64(caller_request_id); }

std::vector<HostId> HoldersToTell(const std::vector<HostEntry>& hosts, const Identity& self,
                                  uint64_t stream) {
  std::vector<HostId> told;
  RankedHost remote;  // the highest of the other regions
  for (const auto& [region, holders] : RankHolders(hosts, stream)) {
    if (region != self.region) {
      if (remote.host == nullptr || RanksHigher(holders.front(), remote)) remote = holders.front();
      continue;
    }
    for (const RankedHost& holder : holders) {
      if (holder.host->id == self.host) continue;
      told.push_back(holder.host->id);
      break;
    }
  }
  if (remote.host != nullptr) told.push_back(remote.host->id);
  return told;
}

std::vector<HostId> HoldersToAsk(const std::vector<HostEntry>& hosts, const Identity& self,
                                 uint64_t stream) {
  std::vector<HostId> asked;
  for (const auto& [region, holders] : RankHolders(hosts, stream)) {
    for (size_t i = 0; i < holders.size() && i < kHoldersToAsk; ++i) {
      if (holders[i].host->id != self.host) asked.push_back(holders[i].host->id);
    }
  }
  return asked;
}

std::optional<StreamOrigin> OnlyOrigin(const RoutingView& view, const RouteConfig& route,
                                       Time now) {
  std::set<std::string> versions;
  for (const BackendServer& server : view.servers) {
    if (CanServe(server, route, view, now)) versions.insert(server.announced.software_version);
  }
  for (const DomainSummary& summary : view.summaries) {
    if (summary.served != ServedName(route)) continue;
    versions.insert(summary.software_versions.begin(), summary.software_versions.end());
  }
  if (versions.size() != 1 || versions.begin()->empty()) return std::nullopt;
  return StreamOrigin{route.service, *versions.begin()};
}

}  // namespace ebonylift
