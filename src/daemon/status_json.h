#ifndef EBONYLIFT_DAEMON_STATUS_JSON_H_
#define EBONYLIFT_DAEMON_STATUS_JSON_H_

// Formats the state of a daemon as JSON, as shown by `ebonylift status`.

#include "adapters/rpc.h"
#include "core/membership.h"
#include "core/registry.h"
#include "daemon/config_replica.h"
#include "daemon/control.h"
#include "ports/control_port.h"

namespace ebonylift {

// Runs on the control thread, which owns the replica, the membership, the registry and the
// connections. Invalid UTF-8 in ids is replaced.
StatusJson MakeStatusJson(const ControlOptions& options, const ConfigReplica& replica,
                          const Membership& membership, const Registry& registry, const Rpc& rpc);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_STATUS_JSON_H_
