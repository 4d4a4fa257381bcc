#include "core/server_notice.h"

#include <algorithm>

namespace ebonylift {

NoticeChange OnNotice(SeenNotices& seen, const ServerNotice& notice, Time now) {
  NoticeChange change;
  if (notice.leaving) {
    change.leaving = seen.leaving_at == Time();
    seen.leaving_at = now;
  }
  if (notice.pause > Duration(0)) {
    Time until = now + std::min(notice.pause, kMaxServerPause);
    change.pause = until > seen.paused_until;
    seen.paused_until = std::max(seen.paused_until, until);
  }
  return change;
}

NoticeReason ExcludedBy(const SeenNotices& seen, Time now) {
  if (seen.leaving_at != Time()) return NoticeReason::kLeaving;
  return now < seen.paused_until ? NoticeReason::kPaused : NoticeReason::kNone;
}

bool MustKeep(const SeenNotices& seen, Time now) {
  bool left_recently = seen.leaving_at != Time() && now - seen.leaving_at < kLeavingRetention;
  return left_recently || now < seen.paused_until;
}

}  // namespace ebonylift
