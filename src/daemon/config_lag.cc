#include "daemon/config_lag.h"

#include <algorithm>
#include <string>

#include "base/event.h"

namespace ebonylift {

void ConfigLag::OnHeard(uint64_t newest, const HostId& source, const HostId& holder, uint64_t held,
                        Time now) {
  if (newest <= newest_) return;
  newest_ = newest;
  if (awaited_.size() < kMaxAwaitedRevisions) awaited_.push_back({newest, now});
  if (newest <= held) return;
  LogEvent(EventId::kConfigRevisionHeard, {{"revision", std::to_string(newest)},
                                           {"host", source.value()},
                                           {"holder", holder.value()},
                                           {"held", std::to_string(held)}});
}

std::optional<Duration> ConfigLag::OnInForce(uint64_t revision, Time now) {
  newest_ = std::max(newest_, revision);
  std::optional<Duration> lag;
  while (!awaited_.empty() && awaited_.front().revision <= revision) {
    if (!lag) lag = now - awaited_.front().heard_at;
    awaited_.pop_front();
  }
  return lag;
}

}  // namespace ebonylift
