#ifndef EBONYLIFT_CORE_CONSENSUS_ROLES_H_
#define EBONYLIFT_CORE_CONSENSUS_ROLES_H_

// Follower and leader roles: contact with a leader, contact of the leader with a quorum, and the
// return to the role of a follower.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Returns a random time after which a host that hears from no leader starts an election.
Time NextElectionDeadline(Context& c);

// Returns the latest time T for which a quorum of voters has acknowledged a message sent at T or
// later. This host counts with `now`, every other voter with at least `baseline`.
Time QuorumAckTime(const Consensus& s, Time now, Time baseline);

// Returns whether a quorum has acknowledged a message of this leader that was sent within
// kMinElectionTimeout. The start of the leadership counts as such contact.
bool LeaderHasQuorum(const Consensus& s, Time now);

// Returns whether a leader may hold a lease that granting a vote would violate. On the leader
// itself: whether it has heard from a quorum recently.
bool LeaderMayHoldLease(const Consensus& s, Time now);

// Makes this host a follower in the same term without a known leader.
void StepDown(Context& c, const std::string& reason);

// Makes this host a follower of `leader`, which may be empty, in `term`.
void BecomeFollower(Context& c, uint64_t term, const HostId& leader);

// Follows the leader of the current term, from which a message has arrived.
void RecordLeaderContact(Context& c, const HostId& leader);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_ROLES_H_
