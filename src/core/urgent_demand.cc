#include "core/urgent_demand.h"

#include <algorithm>
#include <iterator>

namespace ebonylift {
namespace {

constexpr double kDemandSmoothing = 0.05;  // weight of the newest request

bool IsRecent(const RankDemand& demand, Time now) {
  return now - demand.seen_at < kUrgentDemandTime;
}

// Drops ranks without recent requests. With too many ranks left, drops the least urgent one, which
// limits the fewest others.
void LimitRanks(UrgentDemand* demand, Time now) {
  for (auto it = demand->begin(); it != demand->end();) {
    it = IsRecent(it->second, now) ? std::next(it) : demand->erase(it);
  }
  if (demand->size() > kMaxUrgentRanks) demand->erase(std::prev(demand->end()));
}

}  // namespace

void OnDemand(UrgentDemand* demand, const RequestRank& rank, Duration target, int64_t prompt_tokens,
              Time now) {
  double target_s = std::chrono::duration<double>(target).count();
  auto tokens = static_cast<double>(prompt_tokens);
  auto [entry, first] = demand->try_emplace(rank, RankDemand{target_s, tokens, now});
  if (first) {
    LimitRanks(demand, now);
    return;
  }
  RankDemand& known = entry->second;
  known.target_s += kDemandSmoothing * (target_s - known.target_s);
  known.prompt_tokens += kDemandSmoothing * (tokens - known.prompt_tokens);
  known.seen_at = now;
}

std::optional<double> MaxWaitBehindUrgent(const UrgentDemand& demand, const RequestRank& rank,
                                          double tokens_per_s, Time now) {
  std::optional<double> wait_s;
  for (const auto& [urgent_rank, urgent] : demand) {
    if (!(urgent_rank < rank)) break;
    if (!IsRecent(urgent, now)) continue;
    double bearable_s = urgent.target_s - urgent.prompt_tokens / tokens_per_s;
    // Urgent requests that are late even at an idle server gain nothing from the room of others.
    if (bearable_s <= 0) continue;
    double share_s = std::max(kMinLessUrgentWait, kLessUrgentShare * bearable_s);
    wait_s = std::min(wait_s.value_or(share_s), share_s);
  }
  return wait_s;
}

}  // namespace ebonylift
