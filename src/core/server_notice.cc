#include "core/server_notice.h"

#include <algorithm>

namespace ebonylift {

NoticeChange OnNotice(SeenNotices& seen, const ServerNotice& notice, bool attributable, Time now) {
  NoticeChange change;
  bool brittle = notice.max_rejections_per_s.has_value();
  if (brittle || attributable) {
    change.brittle = brittle != seen.brittle;
    seen.brittle = brittle;
  }
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

Duration PauseAfterRejection(double max_rejections_per_s, int senders) {
  // Twice the time in which the hosts take turns, as their rejections may coincide.
  constexpr double kSafetyFactor = 2;
  double longest = std::chrono::duration<double>(kMaxPauseAfterRejection).count();
  double pause = kSafetyFactor * senders / std::max(max_rejections_per_s, 1 / longest);
  auto duration = Duration(static_cast<int64_t>(std::min(pause, longest) * 1e6));
  return std::max<Duration>(duration, kMinPauseAfterRejection);
}

int RoomAtBrittleServer(int slots) {
  return std::max(1, static_cast<int>(slots * kBrittleSlotShare));
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
