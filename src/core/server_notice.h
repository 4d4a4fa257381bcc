#ifndef EBONYLIFT_CORE_SERVER_NOTICE_H_
#define EBONYLIFT_CORE_SERVER_NOTICE_H_

// What backend servers say of themselves in their answers, and which of it keeps a server from
// getting requests of this host.
//
// A notice holds for the incarnation that gave it, whatever announcements say, and whether or not
// this host is connected to others. Limits on the rate of requests are in request_rate.h.
//
// Hosts tell each other at once when a brittle server turns a request away (RoomReport), so that
// the rejections do not grow with the number of hosts. They come back one after the other, each
// with a single request, until one of them is served and tells the others so.
//
// All functions are pure and thread safe.

#include <optional>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// A server's wish for a longer pause counts as this one.
constexpr Duration kMaxServerPause = seconds(3'600);
// Bounds of the time between two hosts that try a server after a rejection.
constexpr Duration kMinTrialInterval = milliseconds(500);
constexpr Duration kMaxTrialInterval = seconds(10);
// The longest time for which a host does not try a server after a rejection, but for the order of
// the hosts.
constexpr Duration kMaxPauseAfterRejection = seconds(10);
// The time between two hosts that come back to a server that has room again.
constexpr Duration kReturnInterval = milliseconds(50);
// Share of its slots that a brittle server's requests with prompts may take.
constexpr double kBrittleSlotShare = 0.75;
// The state of a brittle server is kept for at least this long after it last said so, and a server
// that has not answered yet counts as brittle for this time after one of its service said so.
constexpr Duration kBrittleRetention = seconds(10);
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
  Time leaving_at;    // the last answer that said that the server leaves; Time(): none
  Time paused_until;  // the server asked for this pause; Time(): none
  // As the last answer said to this host or to another one; nullopt: the server is not brittle.
  std::optional<double> max_rejections_per_s;
  Time brittle_at;          // the last answer that said so
  bool any_answer = false;  // at this host or at another one
  // The newest rejection by the brittle server after which none of the hosts was served;
  // Time(): none.
  Time full_since;
  Time full_until;  // this host sends nothing before; Time(): no rejection
};

// What changed by a notice.
struct NoticeChange {
  bool leaving = false;   // the server had not said that it leaves before
  bool pause = false;     // a pause began or became longer
  bool brittle = false;   // the server has become brittle, or is so no longer
  bool full = false;      // the brittle server turned a request away
  bool has_room = false;  // it served a request that was sent after the last rejection
};

// Why a server gets nothing from this host.
enum class NoticeReason { kNone, kLeaving, kPaused };

// An answer as OnNotice() needs it.
struct AnswerContext {
  Time dispatched_at;  // of the request
  // False if the answer may not be of this server: then it does not show that the server no longer
  // says something.
  bool attributable = true;
  int rank = 0;  // see RankSender() in request_rate.h
};

// Records the notice. A pause that the server asked for never becomes shorter by a later answer,
// because answers overtake each other.
NoticeChange OnNotice(SeenNotices& seen, const ServerNotice& notice, const AnswerContext& answer,
                      Time now);

// Records what another host saw.
void OnRoomReport(SeenNotices& seen, const RoomReport& report, int rank, Time now);

// Records that this host sends the server a request. If the server is full, no other follows until
// one is served or the next trial is due.
void OnTrial(SeenNotices& seen, Time now);

// Returns the time between two trials of a full server by any hosts. Together they have at most
// half as many requests turned away as the server bears.
Duration TrialInterval(double max_rejections_per_s);

// Returns the time for which the host of this rank sends nothing to a brittle server after one of
// its rejections, so that hosts try it one after the other.
Duration PauseAfterRejection(double max_rejections_per_s, int rank);

// How many requests a brittle server gets at most at the same time. Hosts know of each other's
// requests with some delay, so each has a share of the room (ShareOfRoomAtServer() in
// request_rate.h). Some slots stay free for health checks and hosts that disagree about the shares,
// and more of them with prompts, which may fill the server's memory before its slots are taken.
int RoomAtBrittleServer(int slots, bool has_prompt);

NoticeReason ExcludedBy(const SeenNotices& seen, Time now);

// Returns the end of the time in which the server gets nothing from this host; Time(): none.
Time PauseEnd(const SeenNotices& seen);

// What this host tells a host that connects; nullopt: nothing. Without server and incarnation.
std::optional<RoomReport> ReportOf(const SeenNotices& seen, Time now);

// Whether the notices must be kept although the server is not announced any more.
bool MustKeep(const SeenNotices& seen, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_NOTICE_H_
