#ifndef EBONYLIFT_TESTING_SOCKETS_H_
#define EBONYLIFT_TESTING_SOCKETS_H_

#include <asio/ip/tcp.hpp>
#include <string>

namespace ebonylift::standin {

// Splits host:port. Throws Error(kBadRequest).
asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

// Closes with a TCP reset instead of an orderly end.
void ResetSocket(asio::ip::tcp::socket& socket);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_SOCKETS_H_
