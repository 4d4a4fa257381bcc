#ifndef EBONYLIFT_DAEMON_CONFIG_PULLER_H_
#define EBONYLIFT_DAEMON_CONFIG_PULLER_H_

// Pulls new revisions of the configuration from other hosts, on hosts that do not get them by
// consensus; see daemon/config_replica.h.
//
// Not thread safe: all methods run on the control thread. Memory: one pending pull.

#include <optional>
#include <random>
#include <string>

#include "adapters/rpc.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"
#include "daemon/config_replica.h"

namespace ebonylift {

class ConfigPuller {
 public:
  // The arguments must outlive this object, and this object must outlive `rpc`'s pending calls.
  // They need not be constructed yet.
  ConfigPuller(ConfigReplica* replica, const Membership* membership, std::mt19937_64* rng, Rpc* rpc)
      : replica_(replica), membership_(membership), rng_(rng), rpc_(rpc) {}

  // Starts a pull if the replica needs one, a host with a newer revision is known, and no pull is
  // in progress. Call it at short intervals.
  void Tick(Time now);

 private:
  void PullFrom(const HostId& host);
  void OnPulled(const HostId& host, const std::optional<std::string>& data);

  ConfigReplica* replica_;
  const Membership* membership_;
  std::mt19937_64* rng_;
  Rpc* rpc_;
  bool in_progress_ = false;
  Time next_pull_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PULLER_H_
