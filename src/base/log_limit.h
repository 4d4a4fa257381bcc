#ifndef EBONYLIFT_BASE_LOG_LIMIT_H_
#define EBONYLIFT_BASE_LOG_LIMIT_H_

// Rate limits for log lines.
//
// Each kind of line has its own token bucket, so that a high rate of successful requests never
// causes lines about refusals and failures to be dropped. A line over its limit is counted and not
// written.
//
// Not thread-safe: the caller must serialise calls for the same LogTokenBucket. Nothing here
// throws.

#include <cstdint>

#include "base/time.h"

namespace ebonylift {

enum class LogLineKind {
  kRoutine,  // the steps of a request that succeeds at its first attempt
  kNotable,  // everything else: refusals, failures, retries, changes of cluster state
};

constexpr double kRoutineLinesPerSecond = 500;
constexpr double kNotableLinesPerSecond = 2'000;

// The token bucket of one kind of line. It holds at most the lines of one second.
struct LogTokenBucket {
  double lines_per_second = kNotableLinesPerSecond;
  double available_lines = 0;  // how many lines may be written now
  Time refilled_at;            // Time(): never; the first call fills the bucket
  uint64_t dropped = 0;        // lines over the limit
};

// Refills the bucket up to `now` and takes one line from it. Returns false if the bucket is empty;
// the line is then counted in `dropped` and must not be written.
bool TryTakeLine(LogTokenBucket& bucket, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_LOG_LIMIT_H_
