#include "core/server_notice.h"

#include <algorithm>

namespace ebonylift {

namespace {

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

void SetBrittle(SeenNotices& seen, std::optional<double> max_rejections_per_s, Time now) {
  seen.max_rejections_per_s = max_rejections_per_s;
  seen.any_answer = true;
  if (max_rejections_per_s) seen.brittle_at = now;
}

void SetFull(SeenNotices& seen, int rank, Time now) {
  seen.full_since = now;
  seen.full_until = now + PauseAfterRejection(*seen.max_rejections_per_s, rank);
}

void SetRoom(SeenNotices& seen, int rank, Time now) {
  seen.full_since = Time();
  seen.full_until = std::min<Time>(seen.full_until, now + rank * kReturnInterval);
}

}  // namespace

NoticeChange OnNotice(SeenNotices& seen, const ServerNotice& notice, const AnswerContext& answer,
                      Time now) {
  NoticeChange change;
  if (notice.max_rejections_per_s || answer.attributable) {
    change.brittle =
        notice.max_rejections_per_s.has_value() != seen.max_rejections_per_s.has_value();
    SetBrittle(seen, notice.max_rejections_per_s, now);
  }
  if (notice.max_rejections_per_s && notice.turned_away) {
    change.full = true;
    SetFull(seen, answer.rank, now);
  } else if (answer.attributable && !notice.turned_away && seen.full_since != Time() &&
             answer.dispatched_at > seen.full_since) {
    change.has_room = true;
    // This host knows first and has just been served.
    SetRoom(seen, /*rank=*/0, now);
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

void OnRoomReport(SeenNotices& seen, const RoomReport& report, int rank, Time now) {
  SetBrittle(seen, report.max_rejections_per_s, now);
  if (report.room == RoomState::kFull && seen.max_rejections_per_s) SetFull(seen, rank, now);
  if (report.room == RoomState::kHasRoom) SetRoom(seen, rank, now);
}

void OnTrial(SeenNotices& seen, Time now) {
  if (seen.full_since == Time() || !seen.max_rejections_per_s) return;
  seen.full_until = now + TrialInterval(*seen.max_rejections_per_s);
}

Duration TrialInterval(double max_rejections_per_s) {
  // Requests that are already on their way when the server becomes full are turned away as well.
  constexpr double kSafetyFactor = 2;
  double interval_s =
      kSafetyFactor / std::max(max_rejections_per_s, 1 / ToSeconds(kMaxTrialInterval));
  auto interval = Duration(static_cast<int64_t>(interval_s * 1e6));
  return std::clamp<Duration>(interval, kMinTrialInterval, kMaxTrialInterval);
}

Duration PauseAfterRejection(double max_rejections_per_s, int rank) {
  Duration in_turn = (rank + 1) * TrialInterval(max_rejections_per_s);
  return std::min<Duration>(in_turn, kMaxPauseAfterRejection) + rank * kReturnInterval;
}

int RoomAtBrittleServer(int slots, bool has_prompt) {
  int room = has_prompt ? static_cast<int>(slots * kBrittleSlotShare) : slots - 1;
  return std::max(1, room);
}

NoticeReason ExcludedBy(const SeenNotices& seen, Time now) {
  if (seen.leaving_at != Time()) return NoticeReason::kLeaving;
  return now < PauseEnd(seen) ? NoticeReason::kPaused : NoticeReason::kNone;
}

Time PauseEnd(const SeenNotices& seen) { return std::max(seen.paused_until, seen.full_until); }

std::optional<RoomReport> ReportOf(const SeenNotices& seen, Time now) {
  if (!seen.max_rejections_per_s) return std::nullopt;
  RoomReport report;
  report.max_rejections_per_s = seen.max_rejections_per_s;
  bool full = seen.full_since != Time() && now < seen.full_until;
  report.room = full ? RoomState::kFull : RoomState::kUnknown;
  return report;
}

bool MustKeep(const SeenNotices& seen, Time now) {
  bool left_recently = seen.leaving_at != Time() && now - seen.leaving_at < kLeavingRetention;
  bool brittle_lately = seen.max_rejections_per_s && now - seen.brittle_at < kBrittleRetention;
  return left_recently || brittle_lately || now < PauseEnd(seen);
}

}  // namespace ebonylift
