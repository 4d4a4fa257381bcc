#ifndef EBONYLIFT_ADAPTERS_TCP_ENDPOINT_H_
#define EBONYLIFT_ADAPTERS_TCP_ENDPOINT_H_

#include <asio/ip/tcp.hpp>
#include <string>

namespace ebonylift {

// Parses `host:port`, where the host is an IP address, in brackets or not. Throws Error(kInternal)
// if it is malformed. Thread safe.
asio::ip::tcp::endpoint ParseTcpEndpoint(const std::string& address);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_TCP_ENDPOINT_H_
