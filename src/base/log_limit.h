#ifndef EBONYLIFT_BASE_LOG_LIMIT_H_
#define EBONYLIFT_BASE_LOG_LIMIT_H_

// How many log lines a process writes a second.
//
// Two kinds of lines have budgets of their own, so that ordinary successes never displace refusals
// and failures. A line over its budget is counted and not written.
//
// Not thread safe: the caller serialises calls on one LogBudget. No errors are thrown.

#include <cstdint>

#include "base/time.h"

namespace ebonylift {

enum class LineKind {
  kRoutine,  // the steps of a request that goes well
  kNotable,  // all else: refusals, failures, repetitions, changed beliefs
};

constexpr double kRoutineLinesPerSecond = 500;
constexpr double kNotableLinesPerSecond = 2'000;

struct LogBudget {
  double lines_per_second = kNotableLinesPerSecond;
  double lines = 0;  // that may be written now; at most those of one second
  Time refilled;     // the epoch: never
  uint64_t dropped = 0;
};

// Takes a line from the budget; false: the line is over the budget and was counted in `dropped`.
bool TakeLine(LogBudget& budget, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_LOG_LIMIT_H_
