#ifndef EBONYLIFT_DAEMON_CONFIG_LAG_H_
#define EBONYLIFT_DAEMON_CONFIG_LAG_H_

// Measures how long this host takes from the first word of a newer configuration revision until it
// is in force, and logs who told of it.
//
// Not thread safe. Memory: at most kMaxAwaitedRevisions revisions.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

constexpr size_t kMaxAwaitedRevisions = 256;

class ConfigLag {
 public:
  // The newest revision that this host knows of. `source` told of it, `holder` has it, and this
  // host has `held`.
  void OnHeard(uint64_t newest, const HostId& source, const HostId& holder, uint64_t held,
               Time now);

  // The revision that is in force. Returns for how long the oldest revision was awaited that is in
  // force now; nullopt if none was awaited.
  std::optional<Duration> OnInForce(uint64_t revision, Time now);

  // For how long a revision has been known that is not in force; 0 if there is none.
  Duration Behind(Time now) const {
    return awaited_.empty() ? Duration(0) : now - awaited_.front().heard_at;
  }

 private:
  struct Awaited {
    uint64_t revision = 0;
    Time heard_at;
  };

  uint64_t newest_ = 0;          // known or in force
  std::deque<Awaited> awaited_;  // known and not in force, oldest first
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_LAG_H_
