#include "core/request_rate.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/hash.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

// Returns the requests per second that the cold server can handle; 0 if there is no limit.
double ColdRequestRate(const RoutingView& view, const BackendServer& server) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  for (const std::string& name : server.announced.services) {
    auto service = view.config->ingress->services.find(name);
    if (service != view.config->ingress->services.end()) return service->second.cold_per_s;
  }
  return 0;
}

// Returns true if the host sends requests to the server directly.
bool SendsDirectly(const RoutingView& view, const HostEntry& host, const BackendServer& server) {
  if (host.id != view.self.host) {
    if (host.caller_address.empty() || host.status == HostStatus::kFailed) return false;
  }
  Identity identity{host.id, host.region, host.domain};
  return InScope(identity, view.server_scope, server.announced.domain, server.announced.region);
}

}  // namespace

bool IsCold(const BackendServer& server, Time now) {
  return now < server.reported_at + server.announced.cold_for;
}

double RequestRate(const RoutingView& view, const BackendServer& server, const RequestLimit& limit,
                   Time now) {
  double cold_rate = IsCold(server, now) ? ColdRequestRate(view, server) : 0;
  if (cold_rate <= 0 || limit.per_s <= 0) return std::max(cold_rate, limit.per_s);
  return std::min(cold_rate, limit.per_s);
}

SenderRank RankSender(const RoutingView& view, const BackendServer& server) {
  uint64_t seed = Hash64(server.announced.id.value());
  uint64_t own_hash = Hash64(view.self.host.value(), seed);
  SenderRank own;
  for (const HostEntry& host : view.hosts) {
    if (!SendsDirectly(view, host, server)) continue;
    ++own.hosts;
    if (host.id != view.self.host && Hash64(host.id.value(), seed) > own_hash) ++own.rank;
  }
  return own;
}

uint64_t SendersHash(const RoutingView& view) {
  uint64_t hash = 0;
  for (const HostEntry& host : view.hosts) {
    bool may_send = !host.caller_address.empty() && host.status != HostStatus::kFailed;
    hash ^= Hash64(host.id.value(), may_send ? 1 : 0);
  }
  return hash;
}

int ShareOfRoomAtServer(const SenderRank& own, int room) {
  int hosts = std::max(own.hosts, 1);
  return room / hosts + (own.rank < room % hosts ? 1 : 0);
}

std::vector<HostId> HostsWithShare(const RoutingView& view, const BackendServer& server, int room) {
  uint64_t seed = Hash64(server.announced.id.value());
  std::vector<std::pair<uint64_t, HostId>> ranked;
  for (const HostEntry& host : view.hosts) {
    if (SendsDirectly(view, host, server)) {
      ranked.emplace_back(Hash64(host.id.value(), seed), host.id);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<HostId> hosts;
  for (size_t i = 0; i < ranked.size() && i < static_cast<size_t>(room); ++i) {
    hosts.push_back(ranked[i].second);
  }
  return hosts;
}

std::optional<Duration> RequestInterval(const RoutingView& view, const BackendServer& server,
                                        double rate) {
  SenderRank own = RankSender(view, server);
  if (own.rank >= kLimitedSenders) return std::nullopt;
  int senders = std::clamp(own.hosts, 1, kLimitedSenders);
  return Duration(static_cast<int64_t>(senders * 1e6 / rate));
}

}  // namespace ebonylift
