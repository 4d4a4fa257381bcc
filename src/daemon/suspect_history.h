#ifndef EBONYLIFT_DAEMON_SUSPECT_HISTORY_H_
#define EBONYLIFT_DAEMON_SUSPECT_HISTORY_H_

// Keeps the suspect reports (core/poison.h) that this host sent recently. They are sent again to a
// host that reconnects, which may have missed them.
//
// Not thread safe. Memory: at most kMaxRecentSuspects reports; the oldest one is dropped first.

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "adapters/rpc.h"
#include "base/time.h"

namespace ebonylift {

constexpr size_t kMaxRecentSuspects = 256;
constexpr Duration kSuspectResendWindow = seconds(60);  // older reports are not sent again

class SuspectHistory {
 public:
  // Records a report that is sent at `now`, which must not go back.
  void Add(const SuspectReport& report, Time now);

  // Returns the reports of the last kSuspectResendWindow, oldest first.
  std::vector<SuspectReport> Recent(Time now) const;

 private:
  std::deque<std::pair<SuspectReport, Time>> reports_;  // with the time of sending, oldest first
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SUSPECT_HISTORY_H_
