#include "daemon/config_puller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/error.h"
#include "base/event.h"

namespace ebonylift {

bool ConfigPuller::MayPull(Time now) const {
  if (now < next_pull_ || !options_.needs_pull()) return false;
  if (pending_.empty()) return true;
  bool in_snapshot = options_.in_snapshot();
  if (pending_.size() >= (in_snapshot ? kMaxSnapshotPulls : kMaxPulls)) return false;
  return now - pending_.back().started >= (in_snapshot ? kSlowSnapshotPull : kSlowPull);
}

void ConfigPuller::Tick() {
  if (!MayPull(options_.clock())) return;
  std::set<HostId> asked;
  for (const PendingPull& pull : pending_) asked.insert(pull.host);
  std::optional<HostId> host = options_.choose_host(asked);
  if (host) PullFrom(*host);
}

void ConfigPuller::PullFrom(const HostId& host) {
  LogEvent(EventId::kConfigPullStarted, {{"host", host.value()},
                                         {"held", std::to_string(options_.revision())},
                                         {"pending", std::to_string(pending_.size())}});
  pending_.push_back({host, options_.clock()});
  options_.pull(host, kPullTimeout,
                [this, host](const std::optional<std::string>& data) { OnPulled(host, data); });
}

void ConfigPuller::OnPulled(const HostId& host, const std::optional<std::string>& data) {
  auto pull = std::find_if(pending_.begin(), pending_.end(),
                           [&](const PendingPull& pending) { return pending.host == host; });
  Time now = options_.clock();
  Time started = now;
  if (pull != pending_.end()) {
    started = pull->started;
    pending_.erase(pull);
  }
  if (!data) {
    LogEvent(EventId::kConfigPullFailed,
             {{"host", host.value()}, {"ms", std::to_string(ToMillis(now - started))}});
    next_pull_ = now + kPullRetryDelay;
    options_.on_failed(host);
    return;
  }
  try {
    uint64_t held = options_.revision();
    if (options_.apply(*data, host)) return PullFrom(host);
    if (options_.revision() == held) next_pull_ = now + kPullRetryDelay;
  } catch (const Error& e) {
    next_pull_ = options_.clock() + kPullRetryDelay;
    LogEvent(EventId::kPeerMessageRefused, {{"host", host.value()}, {"reason", e.what()}});
  }
}

}  // namespace ebonylift
