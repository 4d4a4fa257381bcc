#include "testing/sockets.h"

#include <cstdlib>

#include "base/error.h"

namespace ebonylift::standin {

using asio::ip::tcp;

tcp::endpoint ParseEndpoint(const std::string& address) {
  size_t colon = address.rfind(':');
  asio::error_code error;
  asio::ip::address host = asio::ip::make_address(address.substr(0, colon), error);
  if (colon == std::string::npos || error) {
    throw Error(ErrorKind::kBadRequest, "expected an address of the form ip:port, got: " + address);
  }
  return {host, static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1))};
}

void ResetSocket(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace ebonylift::standin
