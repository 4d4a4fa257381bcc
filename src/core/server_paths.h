#ifndef EBONYLIFT_CORE_SERVER_PATHS_H_
#define EBONYLIFT_CORE_SERVER_PATHS_H_

// Judges whether this host still has a path to the backend servers of its scope, by what its own
// requests see. Announcements say nothing about that: other hosts relay them.
//
// - A byte of any server's answer shows that there is a path.
// - A server fails if it gave no byte of an answer: it could not be connected to, its connection
//   was lost first, or it stayed silent while no other server gave a byte either. One server may
//   fail by its own fault, so the host is cut off only when several have failed since the last
//   byte.
// - A host that is cut off lets single requests try the servers again, to see whether the path is
//   back.
// - Silence alone may be that of sound servers, so a host that is cut off also finds out whether it
//   can connect to them, before it ends a request that one of them may still answer.
//
// Not thread safe: the caller serialises all calls on one ServerPaths. The functions throw nothing.
// Memory: one entry for each server that failed in the last kPathEvidenceTime, and one for each
// that was connected to while the host was cut off.

#include <cstddef>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

// Failures are forgotten after this long, so that those of an idle host do not add up.
constexpr Duration kPathEvidenceTime = seconds(5);
// A host is cut off when half of its servers have failed, but at least and at most this many.
constexpr size_t kMinFailedServers = 2;
constexpr size_t kMaxFailedServers = 8;
// Time between two requests that try the servers of a host that is cut off.
constexpr Duration kPathTrialInterval = seconds(1);
// Such a request goes elsewhere when its server has given no byte for this long and cannot be
// connected to. After this silence a host that is cut off also checks whether it can connect.
constexpr Duration kPathTrialTime = milliseconds(600);
// A server that has given no byte for this long counts as failed if no other server has either. A
// sound one may pause for a second or so, and may need longer than that for the first byte.
constexpr Duration kPathSilenceTime = milliseconds(2'000);

// A request to which this many servers could not be connected is handed to another host, whatever
// other requests see: connections that were open may live on while new ones fail.
constexpr int kConnectFailuresToRelay = 2;

// What the last connection to a server showed while the host was cut off.
struct PathConnection {
  Time checked_at;      // when it was attempted
  bool failed = false;  // false also while it is being made
};

struct ServerPaths {
  std::unordered_map<ServerId, Time> failures;               // since the last byte of any server
  std::unordered_map<ServerId, PathConnection> connections;  // since the last byte of any server
  Time last_byte_at;
  Time next_trial;
  bool cut_off = false;
};

// Records a byte of an answer. Returns true if the host is no longer cut off by it.
bool OnServerByte(ServerPaths& paths, Time now);

// Records that the server failed, for a request of which nothing was heard since `since`: a byte of
// another server after that outweighs it. `servers` is the number of servers of the scope. Returns
// true if the host is cut off by it.
bool OnServerSilent(ServerPaths& paths, const ServerId& server, size_t servers, Time since,
                    Time now);

// Whether a host that is cut off may let a request try a server.
bool MayTryPath(const ServerPaths& paths, Time now);

// Records that a request was sent to a server by a host that is cut off.
void OnPathTrial(ServerPaths& paths, Time now);

// Whether a host that is cut off should find out whether it can connect to the server. If it
// returns true, the caller connects and calls OnPathConnection().
bool TakeConnectionCheck(ServerPaths& paths, const ServerId& server, Time now);

// Records whether a new connection to the server could be made.
void OnPathConnection(ServerPaths& paths, const ServerId& server, bool connected, Time now);

// Whether no connection to the server could be made in the last kPathEvidenceTime, and no server
// has given a byte since.
bool CannotConnect(const ServerPaths& paths, const ServerId& server, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_PATHS_H_
