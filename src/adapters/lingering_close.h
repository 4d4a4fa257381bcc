#ifndef EBONYLIFT_ADAPTERS_LINGERING_CLOSE_H_
#define EBONYLIFT_ADAPTERS_LINGERING_CLOSE_H_

// The end of a connection whose client may still be sending.

#include <asio.hpp>
#include <functional>
#include <string>

namespace ebonylift {

// Sends the response, then reads and discards input until the client closes the connection or a
// time limit of a few seconds has passed. Closing a socket with unread data at once would send a
// TCP reset, which can discard the response before the client reads it.
//
// Runs on the event loop `io`, as does `on_end`, once, when the socket is closed. Precondition: the
// response fits into the send buffer of the socket.
void StartLingeringClose(asio::io_context& io, asio::ip::tcp::socket socket,
                         const std::string& response, std::function<void()> on_end);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_LINGERING_CLOSE_H_
