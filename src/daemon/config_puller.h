#ifndef EBONYLIFT_DAEMON_CONFIG_PULLER_H_
#define EBONYLIFT_DAEMON_CONFIG_PULLER_H_

// Pulls new revisions of the configuration from other hosts, on hosts that do not get them by
// consensus; see daemon/config_replica.h.
//
// A host that is busy, stopped or cut off is not known to be so at once, and a pull from it ends
// only after kPullTimeout. So whenever the newest pull takes long, another host is asked as well.
//
// Not thread safe: all methods and callbacks run on the control thread. Memory: kMaxPulls pending
// pulls.

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "daemon/config_pull.h"

namespace ebonylift {

constexpr Duration kPullTimeout = seconds(5);
constexpr Duration kPullRetryDelay = milliseconds(200);  // after a pull that brought nothing
// After this time without a response, another host is asked as well. A response of differences
// takes a fraction of it; a part of a snapshot may take longer, so a transfer in parts waits more.
constexpr Duration kSlowPull = milliseconds(700);
constexpr Duration kSlowSnapshotPull = milliseconds(2'500);
// More pulls than start within kPullTimeout, so that hosts which do not respond never keep this one
// from asking another.
constexpr size_t kMaxPulls = 8;
static_assert(kMaxPulls * kSlowPull > kPullTimeout);

class ConfigPuller {
 public:
  using PullDone = std::function<void(const std::optional<std::string>& data)>;

  struct Options {
    // ConfigReplica::NeedsPull(), and whether a snapshot is partly received.
    std::function<bool()> needs_pull;
    std::function<bool()> in_snapshot;
    // Returns a host with a newer revision that is not one of `excluded`.
    std::function<std::optional<HostId>(const std::set<HostId>& excluded)> choose_host;
    // The newest revision that the replica has.
    std::function<uint64_t()> revision;
    // Rpc::ConfigSince() for what the replica lacks.
    std::function<void(const HostId& host, Duration timeout, PullDone done)> pull;
    // ConfigReplica::OnPullFailed().
    std::function<void(const HostId& host)> on_failed = [](const HostId&) {};
    // ConfigReplica::ApplyPullResponse().
    std::function<bool(const std::string& data, const HostId& host)> apply;
    std::function<Time()> clock = SteadyNow;  // steady clock
  };

  explicit ConfigPuller(Options options) : options_(std::move(options)) {}

  // Starts a pull if the replica needs one and a host with a newer revision is known. Call it at
  // short intervals.
  void Tick();

 private:
  struct PendingPull {
    HostId host;
    Time started;
  };

  bool MayPull(Time now) const;
  void PullFrom(const HostId& host);
  void OnPulled(const HostId& host, const std::optional<std::string>& data);

  const Options options_;
  std::vector<PendingPull> pending_;  // oldest first
  Time next_pull_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PULLER_H_
