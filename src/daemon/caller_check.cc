#include "daemon/caller_check.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace ebonylift {

CallerCheck MakeCallerCheck(asio::io_context* io, const std::shared_ptr<HttpResponder>& responder) {
  auto closed = std::make_shared<bool>(false);  // used on the thread that runs `io` only
  responder->OnClosed([closed] { *closed = true; });
  return [io, closed](std::function<void(bool waits)> done) {
    asio::post(*io, [io, closed, done = std::move(done)] {
      auto timer = std::make_shared<asio::steady_timer>(*io, kCallerCheckDelay);
      timer->async_wait(
          [timer, closed, done](const asio::error_code& error) { done(!error && !*closed); });
    });
  };
}

}  // namespace ebonylift
