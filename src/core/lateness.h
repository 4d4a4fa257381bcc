#ifndef EBONYLIFT_CORE_LATENESS_H_
#define EBONYLIFT_CORE_LATENESS_H_

// Names what made an answer late.
//
// The functions are pure and thread-safe.

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

enum class LateCause {
  kNone,   // not late
  kWait,   // the first byte, mostly because the request waited in the queue or for retries
  kRead,   // the first byte, mostly by the time at the server
  kPause,  // a gap between two events
  kPace,   // the end, although the first byte was in time and no gap was too long
};
constexpr int kLateCauses = 5;

// Returns "none", "wait", "read", "pause" or "pace".
const char* LateCauseName(LateCause cause);

// Times of an answer since the request arrived.
struct AnswerTimes {
  Duration dispatched{0};  // of the last attempt
  Duration first_byte{0};
  Duration longest_gap{0};  // between two events
  Duration end{0};
  Duration deadline{0};
};

// Returns the first cause for which the answer misses a target of the route or its deadline.
LateCause FindLateCause(const AnswerTimes& times, const RouteConfig& route);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_LATENESS_H_
