#ifndef EBONYLIFT_DAEMON_PUBLISH_TIMER_H_
#define EBONYLIFT_DAEMON_PUBLISH_TIMER_H_

// Decides when the control thread publishes the next routing view, so that several changes share
// one view.
//
// Not thread safe: all methods and callbacks run on the control thread.

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace ebonylift {

class PublishTimer {
 public:
  // Calls a function on the control thread after `delay`.
  using RunAfter = std::function<void(Duration delay, std::function<void()> fn)>;

  // `publish` must call MarkPublished().
  PublishTimer(RunAfter run_after, std::function<void()> publish)
      : run_after_(std::move(run_after)), publish_(std::move(publish)) {}
  PublishTimer(const PublishTimer&) = delete;
  PublishTimer& operator=(const PublishTimer&) = delete;

  // Schedules a publication at the earliest time that is `interval` after the last one, unless one
  // is already scheduled for that time or earlier.
  void Schedule(Duration interval);

  // Records that a view was published, which includes all changes up to now.
  void MarkPublished();

 private:
  RunAfter run_after_;
  std::function<void()> publish_;
  Time last_publish_;
  std::optional<Time> due_;
  uint64_t generation_ = 0;  // of the newest scheduled publication
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_PUBLISH_TIMER_H_
