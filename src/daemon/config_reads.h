#ifndef EBONYLIFT_DAEMON_CONFIG_READS_H_
#define EBONYLIFT_DAEMON_CONFIG_READS_H_

// Linearizable reads that wait on the leader until the entries committed before the read are
// applied and the lease is valid. Not thread safe.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "core/config_tree.h"
#include "core/consensus.h"
#include "daemon/callback_queue.h"
#include "daemon/replica_clock.h"
#include "ports/control_port.h"

namespace ebonylift {

class ConfigReads {
 public:
  using Done = std::function<void(std::optional<Error>, ConfigRead)>;

  // Precondition: `clock` and `callbacks` outlive this object.
  ConfigReads(ReplicaClock* clock, CallbackQueue* callbacks)
      : clock_(clock), callbacks_(callbacks) {}

  // Adds a read of the entries at or below `path`. Answer() answers it. Precondition: `leader` is
  // the state of this host, which is the leader.
  void Add(const Consensus& leader, const std::string& path, Done done);

  // Answers the reads that can be served from `committed`. Reads that have waited for 2 s fail with
  // kNoQuorum. `leader` is the state of this host, or null when it is not the leader: then all
  // reads fail with kNoQuorum.
  void Answer(const Consensus* leader, const ConfigTree& committed);

  // Queues the answer kNoQuorum for a read that was not added.
  void AnswerNoQuorum(Done done);

 private:
  struct PendingRead {
    std::string path;
    Done done;
    uint64_t index = 0;  // log entries up to here must be applied
    Time deadline;
  };

  void Queue(Done done, std::optional<Error> error, ConfigRead read);

  ReplicaClock* const clock_;
  CallbackQueue* const callbacks_;
  std::vector<PendingRead> pending_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_READS_H_
