#include "core/load_shedding.h"

#include <algorithm>

namespace ebonylift {
namespace {

double RefusedShare(Duration delay, bool urgent) {
  double ratio = urgent ? 1 : kLessUrgentDelayRatio;
  Duration range = kMaxLoopDelay - kMinSheddingDelay;
  double min_us = static_cast<double>(kMinSheddingDelay.count()) * ratio;
  double range_us = static_cast<double>(range.count()) * ratio;
  return std::clamp((static_cast<double>(delay.count()) - min_us) / range_us, 0.0, 1.0);
}

}  // namespace

void OnLoopDelay(LoadShedding& state, Duration delay, Time now) {
  state.delay = delay;
  if (delay >= kMinSheddingDelay) state.busy_at = now;
  if (delay >= kMaxLoopDelay) state.overloaded = true;
  if (now - state.busy_at >= kOverloadEndTime) state.overloaded = false;
}

// Spreads the refusals evenly over the requests.
bool MustShed(LoadShedding& state, const SheddingQuery& query) {
  if (query.forwarded) return state.delay >= kMaxLoopDelayOfForwarded;
  state.due += RefusedShare(state.delay, query.urgent);
  if (state.due < 1) return false;
  state.due -= 1;
  return true;
}

}  // namespace ebonylift
