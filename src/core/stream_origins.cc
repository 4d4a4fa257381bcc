#include "core/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "base/hash.h"
#include "core/domain_summary.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

struct RankedHost {
  bool takes_callers = true;
  uint64_t weight = 0;
  const HostEntry* host = nullptr;
};

bool RanksHigher(const RankedHost& a, const RankedHost& b) {
  return std::tie(a.takes_callers, b.weight, b.host->id) <
         std::tie(b.takes_callers, a.weight, a.host->id);
}

bool MayHold(const HostEntry& host) {
  return host.status == HostStatus::kAlive && !host.region.empty();
}

RankedHost Rank(const HostEntry& host, uint64_t stream) {
  return {TakesCallers(host), Hash64(host.id.value(), stream), &host};
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

// Returns false if no host of some region is alive, so that its servers may change unnoticed.
bool HearsOfAllRegions(const RoutingView& view) {
  std::map<RegionId, bool> heard;
  for (const HostEntry& host : view.hosts) {
    if (host.region.empty()) continue;  // known by its address only
    bool& alive = heard[host.region];
    alive = alive || host.status == HostStatus::kAlive;
  }
  return std::all_of(heard.begin(), heard.end(), [](const auto& entry) { return entry.second; });
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

void RecordVersions(RecentVersions* versions, const RoutingView& view, Time now) {
  for (const BackendServer& server : view.servers) {
    for (const std::string& name : ServedNames(server.announced)) {
      versions->last_known[name][server.announced.software_version] = now;
    }
  }
  for (const DomainSummary& summary : view.summaries) {
    for (const std::string& version : summary.software_versions) {
      versions->last_known[summary.served][version] = now;
    }
  }
  for (auto& [name, last_known] : versions->last_known) {
    for (auto it = last_known.begin(); it != last_known.end();) {
      it = now - it->second > kStreamOriginInterval ? last_known.erase(it) : std::next(it);
    }
  }
  bool missed_some = now - versions->recorded_at > kMaxVersionsGap;
  versions->recorded_at = now;
  if (!HearsOfAllRegions(view)) {
    versions->complete_since = Time();
  } else if (missed_some || versions->complete_since == Time()) {
    versions->complete_since = now;
  }
}

bool IsConfirmed(const StreamOrigin& origin, const std::vector<HostEntry>& hosts,
                 const Identity& self, const VersionSearch& search) {
  std::set<RegionId> silent;
  for (const HostEntry& host : hosts) {
    if (!host.region.empty() && host.id != self.host) silent.insert(host.region);
  }
  for (const HostEntry& host : hosts) {
    bool answered =
        std::find(search.answered.begin(), search.answered.end(), host.id) != search.answered.end();
    if (answered) silent.erase(host.region);
  }
  bool other_version =
      std::any_of(search.versions.begin(), search.versions.end(),
                  [&](const std::string& version) { return version != origin.software_version; });
  return silent.empty() && !other_version;
}

std::optional<StreamOrigin> OnlyOrigin(const RecentVersions& versions, const RouteConfig& route,
                                       Time now) {
  bool complete =
      versions.complete_since != Time() && now - versions.complete_since > kStreamOriginInterval;
  if (!complete) return std::nullopt;
  auto known = versions.last_known.find(ServedName(route));
  if (known == versions.last_known.end() || known->second.size() != 1) return std::nullopt;
  const std::string& version = known->second.begin()->first;
  if (version.empty()) return std::nullopt;
  return StreamOrigin{route.service, version};
}

}  // namespace ebonylift
