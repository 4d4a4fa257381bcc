#ifndef EBONYLIFT_ADAPTERS_LISTENING_SOCKET_H_
#define EBONYLIFT_ADAPTERS_LISTENING_SOCKET_H_

// What the HTTP server does with a listening socket beyond Asio.

namespace ebonylift {

// Makes the kernel ignore new connection attempts at the listening TCP socket `fd`, while the
// handshakes in progress go on. Closing the socket without this resets the connections that are
// established after the last accept, and those whose client has not yet confirmed the handshake.
//
// A client whose attempt is ignored repeats it, on Linux after one second, and is refused if the
// socket is closed by then. Accepted connections inherit the filter, which lets all their segments
// pass. Returns false if the kernel refuses the filter. Thread safe.
bool IgnoreNewConnections(int fd);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_LISTENING_SOCKET_H_
