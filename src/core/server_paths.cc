#include "core/server_paths.h"

#include <algorithm>
#include <utility>

namespace ebonylift {
namespace {

void ForgetOldFailures(ServerPaths& paths, Time now) {
  for (auto it = paths.failures.begin(); it != paths.failures.end();) {
    bool old = now - it->second >= kPathEvidenceTime;
    it = old ? paths.failures.erase(it) : std::next(it);
  }
}

}  // namespace

bool OnServerByte(ServerPaths& paths, Time now) {
  paths.failures.clear();
  paths.last_byte_at = now;
  return std::exchange(paths.cut_off, false);
}

bool OnServerSilent(ServerPaths& paths, const ServerId& server, size_t servers, Time since,
                    Time now) {
  if (paths.last_byte_at > since) return false;
  ForgetOldFailures(paths, now);
  paths.failures[server] = now;
  size_t needed = std::clamp((servers + 1) / 2, kMinFailedServers, kMaxFailedServers);
  if (paths.cut_off || paths.failures.size() < needed) return false;
  paths.cut_off = true;
  paths.next_trial = now + kPathTrialInterval;
  return true;
}

bool MayTryPath(const ServerPaths& paths, Time now) { return now >= paths.next_trial; }

void OnPathTrial(ServerPaths& paths, Time now) { paths.next_trial = now + kPathTrialInterval; }

}  // namespace ebonylift
