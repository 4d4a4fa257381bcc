#include "daemon/publish_timer.h"

#include <algorithm>

namespace ebonylift {

void PublishTimer::Schedule(Duration interval) {
  Time now = SteadyNow();
  Time due = std::max(now, last_publish_ + interval);
  if (due_ && *due_ <= due) return;
  due_ = due;
  uint64_t generation = ++generation_;
  // Checks the generation instead of the current time, because the timer may fire early: it counts
  // from the time at which the event loop woke up.
  run_after_(due - now, [this, generation]() {
    if (due_ && generation == generation_) publish_();
  });
}

void PublishTimer::MarkPublished() {
  last_publish_ = SteadyNow();
  due_.reset();
}

}  // namespace ebonylift
