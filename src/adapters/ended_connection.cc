#include "adapters/ended_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

namespace ebonylift {
namespace {

// Returns the error that the kernel has noted for the socket, as a reset; 0: none.
int SocketError(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

// Returns the number of bytes that the peer's kernel has not acknowledged; 0 if it is unknown.
int UnacknowledgedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

}  // namespace

EndedConnection::EndedConnection(asio::io_context& io, int fd)
    : socket_(io, fd), claim_(fd, DescriptorUser::kClientSocket), timer_(io) {}

const char* EndedConnection::UnreadFault() {
  int fd = socket_.native_handle();
  if (SocketError(fd) != 0) return "connection reset after the end of the response";
  // What the server has read is acknowledged by the segment that ends the stream, if not before.
  if (UnacknowledgedBytes(fd) > 0) return "connection closed before the request was received";
  return nullptr;
}

void EndedConnection::AwaitReset(Duration timeout, std::function<void(const char*)> done) {
  done_ = std::move(done);
  auto finish = [weak = weak_from_this()](const asio::error_code& error) {
    std::shared_ptr<EndedConnection> connection = weak.lock();
    if (!error && connection) connection->Finish();
  };
  socket_.async_wait(asio::posix::stream_descriptor::wait_error, finish);
  timer_.expires_after(timeout);
  timer_.async_wait(finish);
}

void EndedConnection::Finish() {
  if (!done_) return;
  std::exchange(done_, nullptr)(UnreadFault());
}

}  // namespace ebonylift
