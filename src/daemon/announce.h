#ifndef EBONYLIFT_DAEMON_ANNOUNCE_H_
#define EBONYLIFT_DAEMON_ANNOUNCE_H_

#include <map>
#include <mutex>
#include <string>

#include "base/time.h"
#include "core/registry.h"
#include "ports/views.h"

namespace ebonylift {

// Longest time to live that an announcement may ask for. With 1 s for transit it keeps the bound of
// 3 s for new work to a server that stopped announcing.
inline constexpr Duration kMaxAnnouncementTtl = milliseconds(2000);

struct ReceivedAnnouncement {
  Announcement announcement;
  WallMillis sent_at = 0;  // by the server's wall clock; 0: not said
};

// Parses the body of POST /v1/backend-servers/announce; a longer time to live is cut to
// kMaxAnnouncementTtl. Throws Error(kBadRequest) that names the wrong key. Thread safe.
ReceivedAnnouncement ParseAnnouncement(const std::string& body);

// How long announcements were held up before this host read them, for example by a link or while
// this process was stopped. The clocks of servers need not agree with this host's: the smallest
// difference seen from a server stands for no delay. For the first announcement of a server the
// wall clocks are compared, which costs a server whose clock is slow one heartbeat at most.
//
// A clock that was set back would make every later announcement look old. Announcements that keep
// arriving at the pace at which they were sent therefore start the measurement again; those that
// were held up arrive together.
//
// Thread safe. Memory: one entry per server, at most kMaxServers; the one unused longest goes.
class AnnouncementAges {
 public:
  // `sent_at` as in ReceivedAnnouncement; 0 gives no delay.
  Duration Age(const ServerId& server, WallMillis sent_at, Time now, WallMillis wall_now);

 private:
  struct Entry {
    TransitMeter meter;
    Duration last_sent{0};
    Time last_at;
  };

  std::mutex mutex_;
  std::map<ServerId, Entry> entries_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANNOUNCE_H_
