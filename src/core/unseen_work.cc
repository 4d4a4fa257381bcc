#include "core/unseen_work.h"

#include <algorithm>
#include <cmath>

namespace ebonylift {
namespace {

double SecondsBetween(Time from, Time to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

// The part of an average that is left after `since`.
double Decay(const PlacementRate& rate, Time now) {
  if (rate.updated_at == Time()) return 0;
  return std::exp(-SecondsBetween(rate.updated_at, now) /
                  std::chrono::duration<double>(kPlacementRateTime).count());
}

}  // namespace

void OnPlacement(PlacementRate* rate, int64_t prefill_tokens, Time now) {
  double decay = Decay(*rate, now);
  double per_s = 1 / std::chrono::duration<double>(kPlacementRateTime).count();
  rate->requests_per_s = rate->requests_per_s * decay + per_s;
  rate->tokens_per_s = rate->tokens_per_s * decay + static_cast<double>(prefill_tokens) * per_s;
  rate->updated_at = now;
}

UnseenWork EstimateUnseenWork(const PlacementRate& rate, const KnownWork& known, Time now) {
  if (known.age_s <= 0 || rate.requests_per_s <= 0) return {};
  bool service_known = known.service_s > 0;
  double per_s = service_known
                     ? known.requests / known.service_s
                     : rate.requests_per_s * Decay(rate, now) * static_cast<double>(known.hosts);
  UnseenWork unseen;
  unseen.placed = per_s * known.age_s;
  unseen.requests = service_known ? per_s * std::min(known.age_s, known.service_s) : 0;
  unseen.prefill_tokens = unseen.placed * rate.tokens_per_s / rate.requests_per_s;
  return unseen;
}

double TokenDeviation(const UnseenWork& unseen, size_t servers) {
  if (unseen.placed <= 0 || servers == 0) return 0;
  double tokens_per_request = unseen.prefill_tokens / unseen.placed;
  return std::sqrt(unseen.placed / static_cast<double>(servers)) * tokens_per_request;
}

size_t CountPlacingHosts(const RoutingView& view) {
  size_t with_callers = 0;
  size_t all = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.id == view.self.host || host.status != HostStatus::kAlive) continue;
    if (!InScope(view.self, view.server_scope, host.domain, host.region)) continue;
    ++all;
    if (TakesCallers(host)) ++with_callers;
  }
  return with_callers > 0 ? with_callers : all;
}

double FillLevel(std::vector<double> levels, double volume) {
  if (levels.empty()) return 0;
  std::sort(levels.begin(), levels.end());
  double filled = 0;  // the volume up to levels[i]
  for (size_t i = 1; i < levels.size(); ++i) {
    double step = (levels[i] - levels[i - 1]) * static_cast<double>(i);
    if (filled + step >= volume) {
      return levels[i - 1] + (volume - filled) / static_cast<double>(i);
    }
    filled += step;
  }
  return levels.back() + (volume - filled) / static_cast<double>(levels.size());
}

double ShareOfRoom(double room, double unseen) {
  if (unseen <= 0 || room >= unseen) return 1;
  return std::max(0.0, room / unseen);
}

}  // namespace ebonylift
