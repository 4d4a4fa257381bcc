#ifndef EBONYLIFT_CORE_CONSENSUS_MEMBERS_H_
#define EBONYLIFT_CORE_CONSENSUS_MEMBERS_H_

// The member set as the log defines it, and the leader's list of peers that follows from it.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include <cstddef>
#include <cstdint>

#include "base/ids.h"
#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Returns whether `host` is a voter or a learner.
bool IsMember(const MemberSet& members, const HostId& host);

// The number of voters that form a quorum.
size_t QuorumSize(const Consensus& s);

// Returns the member set as of the log entry at `index`. Precondition: `index` is not before the
// base of the log.
MemberSet MembersAt(const Consensus& s, uint64_t index);

// Sets the current member set from the log and its base.
void LoadMembersFromLog(Consensus* s);

// Reloads the member set after the log has changed, and reports a difference.
void UpdateMembers(Context& c);

// On the leader: adds a Progress for each new peer and marks the peers that are no longer members.
void UpdateProgressHosts(Context& c);

// On the leader: stops sending the log to peers that were removed kRemovedMemberRetention ago.
void DropRemovedHosts(Context& c);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_MEMBERS_H_
