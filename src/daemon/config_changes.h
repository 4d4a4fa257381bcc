#ifndef EBONYLIFT_DAEMON_CONFIG_CHANGES_H_
#define EBONYLIFT_DAEMON_CONFIG_CHANGES_H_

// Configuration changes for callers that do not supply a base revision.
//
// Each change is first proposed on the revision in the local replica. Thread safe. `done` runs
// once, on the control thread or on that of a CallerCheck; it gets std::nullopt when the change is
// durable on a majority of the voters, or when the durable configuration already makes the change
// unnecessary.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/shared_text.h"
#include "daemon/caller_check.h"
#include "ports/control_port.h"

namespace ebonylift {

using ChangeDone = std::function<void(std::optional<Error>)>;

// Replaces the document at kIngressPath, unless the stored document has version `version` or a
// higher one. On a conflict it is retried on the revision that the leader returned, because the
// highest version wins in any order. Fails with kConfigInvalid or with the errors of
// ControlPort::Put().
void ReplaceIngress(ControlPort* control, uint64_t version, const SharedText& document,
                    ChangeDone done);

// Starts or ends the evacuation of a failure domain. Fails with the errors of ControlPort::Put().
//
// Nothing in the change says whether it is older than the stored one. A caller that waits too long
// repeats its change through another host and may make the opposite change there, so this one must
// not take effect any later: it fails with kConfigUnknown if the caller no longer waits, and with
// kConfigConflict if another change of the failure domain was accepted since this call.
void SetEvacuated(ControlPort* control, const DomainId& domain, bool evacuated,
                  const CallerCheck& check, ChangeDone done);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_CHANGES_H_
