#ifndef EBONYLIFT_ADAPTERS_ENDED_CONNECTION_H_
#define EBONYLIFT_ADAPTERS_ENDED_CONNECTION_H_

// Tells whether a server that has ended a connection had read the request.
//
// A kernel resets a connection that is closed with unread data. If the server ends its sending side
// first, the client reads the end of the stream as after any close, and the reset follows it.

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "base/descriptor_claim.h"
#include "base/time.h"

namespace ebonylift {

// A connection that is kept open for a moment after the end of its stream was read. Not thread
// safe: used on the thread that runs `io`.
class EndedConnection : public std::enable_shared_from_this<EndedConnection> {
 public:
  // Takes over `fd`, a TCP socket.
  EndedConnection(asio::io_context& io, int fd);
  // Closes the socket. A pending callback does not run.
  ~EndedConnection() = default;
  EndedConnection(const EndedConnection&) = delete;
  EndedConnection& operator=(const EndedConnection&) = delete;

  // Returns what shows that the server has not read all that was written, for logs; nullptr if
  // nothing does. Names a reset only once, as reading the error of a socket clears it.
  const char* UnreadFault();

  // Calls `done` with the result of UnreadFault() when the connection is reset or after `timeout`.
  // Precondition: called once, on an object that a shared_ptr owns.
  void AwaitReset(Duration timeout, std::function<void(const char* fault)> done);

 private:
  void Finish();

  asio::posix::stream_descriptor socket_;
  DescriptorClaim claim_;  // after socket_, so that it ends before the socket is closed
  asio::steady_timer timer_;
  std::function<void(const char* fault)> done_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_ENDED_CONNECTION_H_
