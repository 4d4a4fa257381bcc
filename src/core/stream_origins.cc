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

bool MayHold(const HostEntry& host) {
  return host.status == HostStatus::kAlive && !host.region.empty();
}

RankedHost Rank(const HostEntry& host, uint64_t stream) {
  return {Hash64(host.id.value(), stream), &host};
}

// The live hosts of each region, the preferred holder first.
std::map<RegionId, std::vector<RankedHost>> RankHolders(const std::vector<HostEntry>& hosts,
                                                        uint64_t stream) {
  std::map<RegionId, std::vector<RankedHost>> ranked;
  for (const HostEntry& host : hosts) {
    if (MayHold(host)) ranked[host.region].push_back(Rank(host, stream));
  }
  for (auto& [region, holders] : ranked) std::sort(holders.begin(), holders.end(), RanksHigher);
  return ranked;
}

}  // namespace

uint64_t StreamKey(std::string_view caller_request_id) { return Hash64(caller_request_id); }

std::vector<HostId> HoldersToTell(const std::vector<HostEntry>& hosts, const Identity& self,
                                  uint64_t stream) {
  RankedHost local;
  RankedHost remote;  // the highest of the other regions
  for (const HostEntry& host : hosts) {
    if (!MayHold(host) || host.id == self.host) continue;
    RankedHost ranked = Rank(host, stream);
    RankedHost& best = host.region == self.region ? local : remote;
    if (best.host == nullptr || RanksHigher(ranked, best)) best = ranked;
  }
  std::vector<HostId> told;
  if (local.host != nullptr) told.push_back(local.host->id);
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
