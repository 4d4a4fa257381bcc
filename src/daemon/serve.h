#ifndef EBONYLIFT_DAEMON_SERVE_H_
#define EBONYLIFT_DAEMON_SERVE_H_

#include <string>
#include <vector>

namespace ebonylift {

// Runs the daemon until SIGTERM, SIGINT or a drain, then shuts down gracefully: out of the entry
// list, no new connections after a grace time, open requests finished. Returns the exit code: 0
// after a whole drain, 1 when requests were still open at --drain_timeout_s or the daemon could not
// start, 2 for wrong settings.
int RunServe(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVE_H_
