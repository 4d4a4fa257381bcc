#ifndef EBONYLIFT_DAEMON_CONFIG_VIEW_PUBLISHER_H_
#define EBONYLIFT_DAEMON_CONFIG_VIEW_PUBLISHER_H_

// Builds the typed view of the configuration after changes, at limited frequency.
//
// Building a view copies the previous one, which takes tens of milliseconds with 28,000 teams.
// During a burst of changes at most a tenth of the time is spent on views, so that heartbeats are
// still sent in time. A view is at most 1 s older than the tree.
//
// Not thread safe; the views are immutable and may be read on any thread.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "core/config_tree.h"
#include "daemon/callback_queue.h"
#include "daemon/replica_clock.h"
#include "ports/views.h"

namespace ebonylift {

class ConfigViewPublisher {
 public:
  // Precondition: `clock` and `callbacks` outlive this object.
  ConfigViewPublisher(ReplicaClock* clock, CallbackQueue* callbacks)
      : clock_(clock), callbacks_(callbacks) {}

  // The newest view. Never null; each new view is a new object.
  std::shared_ptr<const ConfigView> view() const { return view_; }

  // `fn` is added to the callbacks after each new view.
  void SetChangedCallback(std::function<void()> fn) { changed_callback_ = std::move(fn); }

  // Records what the next view must include: the paths of `changed`, or the whole tree.
  void AddChanges(bool whole_tree, const std::vector<std::string>& changed);

  // Publishes a view of `tree` unless the previous one was built too recently.
  void PublishIfDue(const ConfigTree& tree);

 private:
  void Publish(const ConfigTree& tree);

  ReplicaClock* const clock_;
  CallbackQueue* const callbacks_;
  std::shared_ptr<const ConfigView> view_ = std::make_shared<ConfigView>();
  std::function<void()> changed_callback_;
  bool rebuild_ = false;                    // build the next view from the whole tree
  std::vector<std::string> changed_paths_;  // since `view_`
  Time next_view_at_;                       // earliest time of the next view
  std::optional<Time> changed_at_;          // of the first change since `view_`
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_VIEW_PUBLISHER_H_
