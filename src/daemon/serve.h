#ifndef EBONYLIFT_DAEMON_SERVE_H_
#define EBONYLIFT_DAEMON_SERVE_H_

#include <string>
#include <vector>

#include "daemon/dialect.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"

namespace ebonylift {

// A daemon with another interface beside its own.
struct ServeOptions {
  Settings settings;
  std::vector<Listener> listeners;
  const Dialect* dialect = nullptr;  // of the requests that hosts forward to each other
};

// Checks the settings and runs the daemon as RunServe() does.
int Serve(const ServeOptions& options, std::vector<SettingIssue> issues);

// Runs the daemon until SIGTERM, SIGINT or a drain, then shuts down gracefully: out of the entry
// list, no new connections after a grace time, open requests finished. Returns the exit code: 0
// after a whole drain, 1 when requests were still open at --drain_timeout_s or the daemon could not
// start, 2 for wrong settings.
int RunServe(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVE_H_
