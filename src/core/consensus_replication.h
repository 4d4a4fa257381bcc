#ifndef EBONYLIFT_CORE_CONSENSUS_REPLICATION_H_
#define EBONYLIFT_CORE_CONSENSUS_REPLICATION_H_

// Replication of log entries, and commits by counting replicas.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

void OnAppendRequest(Context& c, const ConsensusMessage& m, const AppendRequest& request);
void OnAppendReply(Context& c, const ConsensusMessage& m, const AppendReply& reply);

// Replies to an append request; see AppendReply for `ok` and `match`.
void ReplyAppend(Context& c, const HostId& to, const AppendRequest& request, bool ok,
                 uint64_t match);

// Records on the leader that a peer has acknowledged a message sent at `sent_at`.
void RecordAck(Context& c, Progress* progress, bool confirmed, Time sent_at);

// Records on the leader that the log of a peer matches up to `match`. May commit entries and then
// step down, which deletes `progress`.
void AdvanceMatch(Context& c, Progress* progress, uint64_t match, bool confirmed);

// On the leader: commits the entries that a quorum stores durably. Steps down when that removes
// this host from the members.
void MaybeCommit(Context& c);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_REPLICATION_H_
