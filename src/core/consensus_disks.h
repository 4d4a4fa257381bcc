#ifndef EBONYLIFT_CORE_CONSENSUS_DISKS_H_
#define EBONYLIFT_CORE_CONSENSUS_DISKS_H_

// Confirmation of disks: at the first start of a deployment, and after the loss of a disk; see
// "Lost disks" in core/consensus.h.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// On an unconfirmed member: sends Hello to its peers when it is due.
void SendHellos(Context& c);

// Confirms the disk at the first start of a deployment, once every other voter has replied that it
// is new as well or that it knows this disk.
void MaybeConfirmFirstStart(Context& c);

// Applies a committed kRejoin entry. Throws Error(kBadRequest) when its data is malformed.
void ApplyRejoin(Context& c, const LogEntry& entry);

void OnHello(Context& c, const ConsensusMessage& m, const Hello& hello);
void OnHelloReply(Context& c, const ConsensusMessage& m, const HelloReply& reply);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_DISKS_H_
