#ifndef EBONYLIFT_DAEMON_CONTROL_OPTIONS_H_
#define EBONYLIFT_DAEMON_CONTROL_OPTIONS_H_

// Derives the options of the parts of the control thread from ControlOptions.
//
// Stateless and thread safe.

#include <memory>
#include <vector>

#include "adapters/rpc.h"
#include "core/membership.h"
#include "core/registry.h"
#include "daemon/control.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

// Entries of this host and of the configured peers in the host list.
HostEntry SelfEntry(const ControlOptions& options);
std::vector<HostEntry> PeerEntries(const ControlOptions& options);

RpcOptions MakeRpcOptions(const ControlOptions& options);
MembershipParams MakeMembershipParams(const ControlOptions& options);

// Returns an empty registry.
Registry MakeRegistry(const ControlOptions& options);

// Returns the journal of the backend servers, or null if they are not stored on disk.
std::shared_ptr<Journal> MakeServerJournal(const ControlOptions& options);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONTROL_OPTIONS_H_
