#ifndef EBONYLIFT_DAEMON_VOTER_MAINTENANCE_H_
#define EBONYLIFT_DAEMON_VOTER_MAINTENANCE_H_

// On the leader: changes the voters of the configuration one at a time, for example to replace a
// failed one. core/voter_selection.h decides which change is next.
//
// Not thread safe: all methods and callbacks run on the control thread.

#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"
#include "daemon/config_replica.h"

namespace ebonylift {

class VoterMaintenance {
 public:
  // The arguments must outlive the use of this object and need not be constructed yet.
  VoterMaintenance(const Membership* membership, ConfigReplica* replica)
      : membership_(membership), replica_(replica) {}

  // Starts the next change if this host is the leader, no change is in progress and the last check
  // was kVoterCheckInterval ago. Call it at short intervals.
  void Tick(Time now);

 private:
  const Membership* membership_;
  ConfigReplica* replica_;
  Time next_check_;
  bool change_in_progress_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_VOTER_MAINTENANCE_H_
