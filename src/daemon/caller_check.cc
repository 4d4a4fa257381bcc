#include "daemon/caller_check.h"

#include <asio/post.hpp>
#include <utility>

namespace ebonylift {

CallerCheck MakeCallerCheck(asio::io_context* io, const std::shared_ptr<HttpResponder>& responder) {
  return [io, responder](std::function<void(bool waits)> done) {
    asio::post(*io, [responder, done = std::move(done)] { done(!responder->ClosedByClient()); });
  };
}

}  // namespace ebonylift
