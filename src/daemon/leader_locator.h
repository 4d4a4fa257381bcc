#ifndef EBONYLIFT_DAEMON_LEADER_LOCATOR_H_
#define EBONYLIFT_DAEMON_LEADER_LOCATOR_H_

// Which hosts are the leader and the voters of the configuration, as far as this host knows: from
// the consensus if it is a member, else from the responses to its pulls. Not thread safe.

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "daemon/config_pull.h"
#include "daemon/durable_consensus.h"

namespace ebonylift {

class LeaderLocator {
 public:
  // `initial_voters` are used while nothing newer is known. Precondition: `consensus` outlives this
  // object.
  LeaderLocator(const HostId& self, const std::vector<HostId>& initial_voters,
                const DurableConsensus* consensus);

  // Stores the hints of a pull response; empty ones are ignored.
  void AddHints(const PullHints& hints);

  // The leader, which may be this host.
  std::optional<HostId> Leader() const;

  // The voters in the newest known membership.
  std::vector<HostId> Voters() const;

  // Returns the host to ask instead of this one: the leader or, when this host is not a member and
  // knows no leader, the next voter in turn. Returns nullopt when there is none.
  std::optional<HostId> HostToAsk();

 private:
  const HostId self_;
  const std::vector<HostId> initial_voters_;
  const DurableConsensus* const consensus_;
  PullHints hints_;
  size_t next_voter_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_LEADER_LOCATOR_H_
