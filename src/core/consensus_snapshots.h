#ifndef EBONYLIFT_CORE_CONSENSUS_SNAPSHOTS_H_
#define EBONYLIFT_CORE_CONSENSUS_SNAPSHOTS_H_

// Transfer of the snapshot in chunks to a peer that needs entries before the base of the log.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Adds a chunk to the partial snapshot, and installs the snapshot when it is complete.
void OnSnapshotChunk(Context& c, const ConsensusMessage& m, const SnapshotChunk& chunk);

// Sends the next chunk, or continues with log entries after the snapshot.
void OnSnapshotReply(Context& c, const ConsensusMessage& m, const SnapshotReply& reply);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_SNAPSHOTS_H_
