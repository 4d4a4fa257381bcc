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
  paths.connections.clear();
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

bool TakeConnectionCheck(ServerPaths& paths, const ServerId& server, Time now) {
  if (!paths.cut_off) return false;
  auto [connection, is_new] = paths.connections.try_emplace(server);
  if (!is_new && now - connection->second.checked_at < kPathTrialInterval) return false;
  connection->second.checked_at = now;
  return true;
}

void OnPathConnection(ServerPaths& paths, const ServerId& server, bool connected, Time now) {
  paths.connections[server] = {now, !connected};
}

bool CannotConnect(const ServerPaths& paths, const ServerId& server, Time now) {
  auto found = paths.connections.find(server);
  return found != paths.connections.end() && found->second.failed &&
         now - found->second.checked_at < kPathEvidenceTime;
}

}  // namespace ebonylift
