#ifndef EBONYLIFT_CORE_CONSENSUS_ELECTION_H_
#define EBONYLIFT_CORE_CONSENSUS_ELECTION_H_

// Elections with pre-vote.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Asks the voters whether they would vote for this host, and starts an election once a quorum
// would. Precondition: this host is a confirmed voter.
void StartPreVote(Context& c);

void OnVoteRequest(Context& c, const ConsensusMessage& m, const VoteRequest& request);
void OnVoteReply(Context& c, const ConsensusMessage& m, const VoteReply& reply);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_ELECTION_H_
