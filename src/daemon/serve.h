#ifndef EBONYLIFT_DAEMON_SERVE_H_
#define EBONYLIFT_DAEMON_SERVE_H_

#include <string>
#include <vector>

#include "daemon/dialect.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"

namespace ebonylift {

// Settings of a daemon, and what a program that embeds it adds to it.
struct ServeOptions {
  Settings settings;
  std::vector<Listener> listeners;   // in addition to the daemon's own addresses
  const Dialect* dialect = nullptr;  // of the requests that hosts forward to each other
};

// Checks the settings and runs the daemon; returns the exit codes of RunServe(). `issues` are the
// problems found while the settings were read; the daemon starts only when there are none.
int Serve(const ServeOptions& options, std::vector<SettingIssue> issues);

// Runs the daemon with the settings of the command line until SIGTERM, SIGINT or an operator's
// drain request, then shuts it down gracefully: the host leaves the list of entry hosts, stops
// accepting connections after a grace period, and finishes its open requests. `args` are the
// arguments left after the flags; there must be none. Returns the exit code: 0 when all requests
// finished, 1 when requests were still open after --drain_timeout_s or the daemon could not start,
// 2 for invalid settings.
int RunServe(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVE_H_
