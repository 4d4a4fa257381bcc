#ifndef EBONYLIFT_DAEMON_CONFIG_CHANGES_H_
#define EBONYLIFT_DAEMON_CONFIG_CHANGES_H_

// Changes of the configuration by callers that do not name the revision on which they are based.
//
// Each change is put on top of the newest revision that this host knows; on a conflict it is tried
// again on top of the one that the leader named. Thread safe. `done` runs once, on the control
// thread, with std::nullopt when the change is durable at a majority or changes nothing that is.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "ports/control_port.h"

namespace ebonylift {

using ChangeDone = std::function<void(std::optional<Error>)>;

// Replaces the document at kIngressPath unless the stored one has this version or a higher one.
// Fails with kConfigInvalid, or as ControlPort::Put().
void ReplaceIngress(ControlPort* control, uint64_t version, const std::string& document,
                    ChangeDone done);

// Starts or ends the evacuation of a failure domain. Fails as ControlPort::Put().
void SetEvacuated(ControlPort* control, const DomainId& domain, bool evacuated, ChangeDone done);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_CHANGES_H_
