#ifndef EBONYLIFT_DAEMON_SUSPECT_OUTBOX_H_
#define EBONYLIFT_DAEMON_SUSPECT_OUTBOX_H_

// Collects the suspect reports (core/poison.h) of this host until they are sent to the other hosts.
//
// When a server is lost, nearly all of the contents that it ran complete on another server soon
// after. Their first losses are therefore sent after kSuspectReportDelay, together with others, and
// not at all if the content has completed by then. A further loss in succession is urgent.
//
// Not thread safe. Memory: at most kMaxPendingSuspects reports; further ones are not added.

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "ports/control_port.h"

namespace ebonylift {

constexpr size_t kMaxPendingSuspects = 1'024;
constexpr Duration kSuspectReportDelay = milliseconds(100);

class SuspectOutbox {
 public:
  void Add(const SuspectReport& report);

  // Returns whether the pending reports must be sent without delay.
  bool IsUrgent() const { return urgent_; }
  bool IsEmpty() const { return pending_.empty(); }

  // Returns the pending reports, oldest first, and removes them.
  std::vector<SuspectReport> Take();

 private:
  std::vector<SuspectReport> pending_;
  bool urgent_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SUSPECT_OUTBOX_H_
