#ifndef EBONYLIFT_DAEMON_ANNOUNCE_H_
#define EBONYLIFT_DAEMON_ANNOUNCE_H_

#include <string>

#include "ports/views.h"

namespace ebonylift {

// Longest time to live that an announcement may ask for. With 1 s for transit it keeps the bound of
// 3 s for new work to a server that stopped announcing.
inline constexpr Duration kMaxAnnouncementTtl = milliseconds(2000);

// Parses the body of POST /v1/backend-servers/announce; a longer time to live is cut to
// kMaxAnnouncementTtl. Throws Error(kBadRequest) that names the wrong key. Thread safe.
Announcement ParseAnnouncement(const std::string& body);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANNOUNCE_H_
