#ifndef EBONYLIFT_DAEMON_CONFIG_WATCHES_H_
#define EBONYLIFT_DAEMON_CONFIG_WATCHES_H_

// Calls that wait for a revision newer than the one that the caller has. Not thread safe.

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"
#include "core/config_tree.h"
#include "daemon/callback_queue.h"
#include "ports/control_port.h"

namespace ebonylift {

class ConfigWatches {
 public:
  using Done = std::function<void(std::vector<ConfigChange>)>;

  // Precondition: `callbacks` outlives this object.
  explicit ConfigWatches(CallbackQueue* callbacks) : callbacks_(callbacks) {}

  // Adds a watch for the changes after revision `from`. Answer() answers it.
  void Add(uint64_t from, Time deadline, Done done);

  // Answers the watches for which `tree` has changes, and those whose deadline has passed at `now`,
  // with the changes since then or none. A long list of changes is cut off; when the history of
  // `tree` does not reach back far enough, the whole history is the answer.
  void Answer(const ConfigTree& tree, Time now);

 private:
  struct PendingWatch {
    uint64_t from = 0;
    Time deadline;
    Done done;
  };

  CallbackQueue* const callbacks_;
  std::vector<PendingWatch> pending_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_WATCHES_H_
