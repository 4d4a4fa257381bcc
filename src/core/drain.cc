#include "core/drain.h"

namespace ebonylift {
namespace {

// Requests that come in this part of the shutdown, one in so many, have the rest of it to end.
constexpr int kEarlyDivisor = 3;

}  // namespace

Time TakesLongRequestsUntil(const DrainTimes& drain) {
  return drain.began + (drain.ends - drain.began) / kEarlyDivisor;
}

bool MayTakeRequest(const DrainTimes& drain, Time deadline, Time now) {
  if (drain.began == Time() || deadline <= drain.ends) return true;
  return now < TakesLongRequestsUntil(drain);
}

}  // namespace ebonylift
