#ifndef EBONYLIFT_DAEMON_CALLER_CHECK_H_
#define EBONYLIFT_DAEMON_CALLER_CHECK_H_

// Finds out whether the caller of an order still waits for its answer.

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "adapters/http_server.h"

namespace ebonylift {

// Passes to `done`, on any thread, whether the caller still waits.
using CallerCheck = std::function<void(std::function<void(bool waits)> done)>;

// Returns a check of whether the connection of `responder` is open, also if its close has not been
// handled: after a pause of the process it may lie behind the order. Precondition: the responder
// belongs to the thread that runs `io`, which outlives the check; the check may run on any thread.
CallerCheck MakeCallerCheck(asio::io_context* io, const std::shared_ptr<HttpResponder>& responder);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CALLER_CHECK_H_
