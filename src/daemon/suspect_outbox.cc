#include "daemon/suspect_outbox.h"

#include <algorithm>
#include <utility>

namespace ebonylift {

void SuspectOutbox::Add(const SuspectReport& report) {
  if (report.cleared) {
    // The other hosts know of no suspicion whose report was still pending.
    auto same_content = [&report](const SuspectReport& pending) {
      return !pending.cleared && pending.losses <= 1 && pending.content == report.content;
    };
    auto removed = std::remove_if(pending_.begin(), pending_.end(), same_content);
    bool was_pending = removed != pending_.end();
    pending_.erase(removed, pending_.end());
    if (was_pending) return;
  }
  if (pending_.size() >= kMaxPendingSuspects) return;
  pending_.push_back(report);
  urgent_ = urgent_ || report.losses > 1;
}

std::vector<SuspectReport> SuspectOutbox::Take() {
  urgent_ = false;
  return std::exchange(pending_, {});
}

}  // namespace ebonylift
