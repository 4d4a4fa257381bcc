#ifndef EBONYLIFT_TESTING_SOCKETS_H_
#define EBONYLIFT_TESTING_SOCKETS_H_

#include <asio/ip/tcp.hpp>
#include <string>

namespace ebonylift::standin {

// Parses ip:port. Throws Error(kBadRequest) when the IP address is invalid or the port is missing.
asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

// Closes the socket with a TCP reset instead of an orderly shutdown.
void ResetSocket(asio::ip::tcp::socket& socket);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_SOCKETS_H_
