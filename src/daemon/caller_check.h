#ifndef EBONYLIFT_DAEMON_CALLER_CHECK_H_
#define EBONYLIFT_DAEMON_CALLER_CHECK_H_

// Finds out whether the caller of an order still waits for its answer.

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "adapters/http_server.h"
#include "base/time.h"

namespace ebonylift {

// Long enough for the thread of a listener to read what has arrived at its connections: after a
// pause of the process the close of a connection may follow the order directly.
constexpr Duration kCallerCheckDelay = milliseconds(20);

// Passes to `done`, on any thread, whether the caller still waits.
using CallerCheck = std::function<void(std::function<void(bool waits)> done)>;

// Returns a check that answers after kCallerCheckDelay whether the connection of `responder` is
// open. It uses OnClosed() of the responder. Precondition: called on the thread that runs `io`, to
// which the responder belongs and which outlives the check; the check may run on any thread.
CallerCheck MakeCallerCheck(asio::io_context* io, const std::shared_ptr<HttpResponder>& responder);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CALLER_CHECK_H_
