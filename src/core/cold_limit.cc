#include "core/cold_limit.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

double ColdRate(const RoutingView& view, const BackendServer& server) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  for (const std::string& name : server.announced.services) {
    auto service = view.config->ingress->services.find(name);
    if (service != view.config->ingress->services.end()) return service->second.cold_per_s;
  }
  return 0;
}

// Whether the host sends work to the server itself.
bool Reaches(const RoutingView& view, const HostEntry& host, const BackendServer& server) {
  if (host.id != view.self.host) {
    if (host.caller_address.empty() || host.status == HostStatus::kFailed) return false;
  }
  Identity place{host.id, host.region, host.domain};
  return InScope(place, view.server_scope, server.announced.domain, server.announced.region);
}

}  // namespace

bool IsCold(const BackendServer& server, Time now) {
  return now < server.reported_at + server.announced.cold_for;
}

std::optional<Duration> ColdInterval(const RoutingView& view, const BackendServer& server) {
  double rate = ColdRate(view, server);
  if (rate <= 0) return Duration(0);
  uint64_t seed = Hash64(server.announced.id.value());
  uint64_t own = Hash64(view.self.host.value(), seed);
  int hosts = 0;
  int ahead = 0;
  for (const HostEntry& host : view.hosts) {
    if (!Reaches(view, host, server)) continue;
    ++hosts;
    if (host.id != view.self.host && Hash64(host.id.value(), seed) > own) ++ahead;
  }
  if (ahead >= kColdOwners) return std::nullopt;
  int owners = std::clamp(hosts, 1, kColdOwners);
  return Duration(static_cast<int64_t>(owners * 1e6 / rate));
}

}  // namespace ebonylift
