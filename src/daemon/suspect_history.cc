#include "daemon/suspect_history.h"

namespace ebonylift {

void SuspectHistory::Add(const SuspectReport& report, Time now) {
  while (!reports_.empty() && (reports_.size() >= kMaxRecentSuspects ||
                               now - reports_.front().second >= kSuspectResendWindow)) {
    reports_.pop_front();
  }
  reports_.emplace_back(report, now);
}

std::vector<SuspectReport> SuspectHistory::Recent(Time now) const {
  std::vector<SuspectReport> recent;
  for (const auto& [report, at] : reports_) {
    if (now - at < kSuspectResendWindow) recent.push_back(report);
  }
  return recent;
}

}  // namespace ebonylift
