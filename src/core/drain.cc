#include "core/drain.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Requests that come in this part of the shutdown, one in so many, have the rest of it to end.
constexpr int kEarlyDivisor = 3;
// Hosts that are restarted one after the other can be slow to end their open requests.
constexpr Duration kMaxDrainDelay = milliseconds(1500);
constexpr int kDelayDivisor = 5;  // of the shutdown; larger than kEarlyDivisor

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
