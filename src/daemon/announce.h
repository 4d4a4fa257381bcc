#ifndef EBONYLIFT_DAEMON_ANNOUNCE_H_
#define EBONYLIFT_DAEMON_ANNOUNCE_H_

#include <map>
#include <mutex>
#include <string>

#include "base/time.h"
#include "core/registry.h"
#include "ports/views.h"

namespace ebonylift {

// Upper limit on the time to live in an announcement. Together with 1 s of transit time it ensures
// that a server receives no new work more than 3 s after it stopped announcing itself.
inline constexpr Duration kMaxAnnouncementTtl = milliseconds(2000);

struct ReceivedAnnouncement {
  Announcement announcement;
  WallMillis sent_at = 0;  // by the server's wall clock; 0: not given
};

// Parses the body of POST /v1/backend-servers/announce. A time to live above kMaxAnnouncementTtl is
// reduced to it. Throws Error(kBadRequest) that names the invalid field. Thread safe.
ReceivedAnnouncement ParseAnnouncement(const std::string& body);

// Estimates how long each announcement was delayed before this host read it, for example by the
// network or because this process was stopped. The clocks of the servers need not be synchronised
// with this host's: the smallest difference between receive time and send time seen for a server
// counts as zero delay. For the first announcement of a server the two wall clocks are compared, so
// a server whose clock is slow loses at most one heartbeat.
//
// If a server's clock is set back, every later announcement would look delayed. Announcements that
// arrive at the same intervals at which they were sent therefore restart the measurement; delayed
// announcements arrive in a burst instead.
//
// Thread safe. Memory: one entry per server, at most kMaxServers; the least recently used entry is
// evicted.
class AnnouncementDelayEstimator {
 public:
  // Returns the delay of an announcement that `server` sent at `sent_at` (by the server's wall
  // clock) and that this host read at `now` and `wall_now`. Returns 0 when `sent_at` is 0 (not
  // given).
  Duration Delay(const ServerId& server, WallMillis sent_at, Time now, WallMillis wall_now);

 private:
  struct Entry {
    TransitDelayMeter meter;
    Duration last_sent{0};
    Time last_at;
  };

  std::mutex mutex_;
  std::map<ServerId, Entry> entries_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANNOUNCE_H_
