#include "daemon/config_puller.h"

#include "base/error.h"
#include "base/event.h"

namespace ebonylift {
namespace {

constexpr Duration kPullTimeout = seconds(5);
constexpr Duration kPullRetryDelay = milliseconds(200);  // after a failed pull

}  // namespace

void ConfigPuller::Tick(Time now) {
  if (in_progress_ || now < next_pull_ || !replica_->NeedsPull()) return;
  std::optional<HostId> host = PullTarget(*membership_, *rng_);
  if (host) PullFrom(*host);
}

void ConfigPuller::PullFrom(const HostId& host) {
  in_progress_ = true;
  rpc_->ConfigSince(host, replica_->revision(), replica_->pull_offset(), kPullTimeout,
                    [this, host](const std::optional<std::string>& data) { OnPulled(host, data); });
}

void ConfigPuller::OnPulled(const HostId& host, const std::optional<std::string>& data) {
  in_progress_ = false;
  if (!data) {
    next_pull_ = SteadyNow() + kPullRetryDelay;
    return;
  }
  try {
    if (replica_->ApplyPullResponse(*data, host)) PullFrom(host);
  } catch (const Error& e) {
    next_pull_ = SteadyNow() + kPullRetryDelay;
    LogEvent(EventId::kPeerMessageRefused, {{"host", host.value()}, {"reason", e.what()}});
  }
}

}  // namespace ebonylift
