#ifndef EBONYLIFT_BASE_TIME_H_
#define EBONYLIFT_BASE_TIME_H_

// Time types. Code in core/ takes the current time as an argument; only adapters and the daemon
// read a clock. Time is monotonic and meaningful only within this process. WallMillis may jump
// backwards and is used only for display, expiry of records across restarts and ordering of events.

#include <chrono>
#include <cstdint>

namespace ebonylift {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallMillis = int64_t;  // milliseconds since 1970-01-01 UTC

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline Time SteadyNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

inline WallMillis WallNow() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Converts to whole milliseconds, rounding towards zero.
inline int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_TIME_H_
