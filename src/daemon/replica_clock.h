#ifndef EBONYLIFT_DAEMON_REPLICA_CLOCK_H_
#define EBONYLIFT_DAEMON_REPLICA_CLOCK_H_

// The time of a configuration replica: the latest time that it read from its clock or was given by
// its caller. It never goes back. Not thread safe.

#include <algorithm>
#include <functional>
#include <utility>

#include "base/time.h"

namespace ebonylift {

class ReplicaClock {
 public:
  explicit ReplicaClock(std::function<Time()> clock) : clock_(std::move(clock)) {}

  // The time of the last Update() or AdvanceTo().
  Time now() const { return now_; }

  // Reads the clock and returns the new now().
  Time Update() {
    AdvanceTo(clock_());
    return now_;
  }

  void AdvanceTo(Time time) { now_ = std::max(now_, time); }

  // Reads the clock to measure a duration, without changing now().
  Time Read() const { return clock_(); }

 private:
  std::function<Time()> clock_;
  Time now_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_REPLICA_CLOCK_H_
