#ifndef EBONYLIFT_CORE_SERVER_NOTICE_H_
#define EBONYLIFT_CORE_SERVER_NOTICE_H_

// What backend servers say of themselves in their answers, and which of it keeps a server from
// getting requests of this host.
//
// A notice holds for the incarnation that gave it, whatever announcements say, and whether or not
// this host is connected to others. Limits on the rate of requests are in request_rate.h.
//
// All functions are pure and thread safe.

#include <optional>

#include "base/time.h"

namespace ebonylift {

// A server's wish for a longer pause counts as this one.
constexpr Duration kMaxServerPause = seconds(3'600);
// Bounds of PauseAfterRejection().
constexpr Duration kMinPauseAfterRejection = milliseconds(500);
constexpr Duration kMaxPauseAfterRejection = seconds(10);
// Share of its slots that a brittle server's requests may take.
constexpr double kBrittleSlotShare = 0.75;
// The state of a server that leaves is kept for at least this long after its last such answer. It
// exits earlier.
constexpr Duration kLeavingRetention = seconds(120);

// What one answer says.
struct ServerNotice {
  std::optional<double> requests_per_s;  // from all hosts together
  bool leaving = false;
  // The server turned the request away and wants nothing from this host for this time; 0: it does
  // not say so.
  Duration pause{0};
  // The server fails if it has to turn away more requests than this in a second; nullopt: it does
  // not say so.
  std::optional<double> max_rejections_per_s;
  bool turned_away = false;  // this request, for want of room
};

// What this host has seen of one incarnation of a server.
struct SeenNotices {
  Time leaving_at;       // the last answer that said that the server leaves; Time(): none
  Time paused_until;     // Time(): no pause
  bool brittle = false;  // the last answer named a number of rejections at which the server fails
};

// What changed by a notice.
struct NoticeChange {
  bool leaving = false;  // the server had not said that it leaves before
  bool pause = false;    // a pause began or became longer
  bool brittle = false;  // the server has become brittle, or is so no longer
};

// Why a server gets nothing from this host.
enum class NoticeReason { kNone, kLeaving, kPaused };

// Records the notice. A pause never becomes shorter by a later answer, because answers overtake
// each other. `attributable` is false if the answer may not be of this server: then it does not
// show that the server no longer says something.
NoticeChange OnNotice(SeenNotices& seen, const ServerNotice& notice, bool attributable, Time now);

// Returns the time for which a host sends nothing to a brittle server that has turned away one of
// its requests. `senders` is the number of hosts that send to the server: each of them may find it
// full, so together they stay below `max_rejections_per_s`.
Duration PauseAfterRejection(double max_rejections_per_s, int senders);

// How many requests a brittle server gets at most at the same time. Hosts know of each other's
// requests with some delay, and long prompts may fill its memory before its slots are taken.
int RoomAtBrittleServer(int slots);

NoticeReason ExcludedBy(const SeenNotices& seen, Time now);

// Whether the notices must be kept although the server is not announced any more.
bool MustKeep(const SeenNotices& seen, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_NOTICE_H_
