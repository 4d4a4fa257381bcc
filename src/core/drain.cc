#include "core/drain.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Requests that come in the first third of the shutdown have the rest of it to end.
constexpr int kEarlyDivisor = 3;
// Hosts that are restarted one after the other can be slow to end their open requests. The wait for
// them is at most a fifth of the shutdown, so that the host still takes requests when it leaves.
constexpr Duration kMaxDrainDelay = milliseconds(1500);
constexpr int kDelayDivisor = 5;

}  // namespace

Duration MaxDrainDelay(Duration drain_timeout) {
  return std::min(kMaxDrainDelay, drain_timeout / kDelayDivisor);
}

Time TakesLongRequestsUntil(const DrainTimes& drain) {
  return drain.began + (drain.ends - drain.began) / kEarlyDivisor;
}

bool MayTakeRequest(const DrainTimes& drain, Time deadline, Time now) {
  if (drain.began == Time() || deadline <= drain.ends) return true;
  return now < TakesLongRequestsUntil(drain);
}

}  // namespace ebonylift
