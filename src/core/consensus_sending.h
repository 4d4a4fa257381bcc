#ifndef EBONYLIFT_CORE_CONSENSUS_SENDING_H_
#define EBONYLIFT_CORE_CONSENSUS_SENDING_H_

// Sends the log from the leader to its peers: entries, or the snapshot in chunks to a peer that
// needs entries before the base of the log.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include "base/ids.h"
#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Sends the entries that the peer needs next, or a chunk of the snapshot; a heartbeat when nothing
// is due. Precondition: this host is the leader, and `progress` is that of `to`.
void SendAppend(Context& c, const HostId& to, Progress* progress);

// Calls SendAppend() for every peer.
void Broadcast(Context& c);

// Sends the chunk at the snapshot offset of `progress`. Precondition: this host has a snapshot.
void SendSnapshotChunk(Context& c, const HostId& to, Progress* progress);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_SENDING_H_
