#include "adapters/tcp_endpoint.h"

#include <algorithm>
#include <cctype>

#include "base/error.h"

namespace ebonylift {

asio::ip::tcp::endpoint ParseTcpEndpoint(const std::string& address) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    throw Error(ErrorKind::kInternal, "missing port in address " + address);
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
  std::string port = address.substr(colon + 1);
  bool is_number =
      !port.empty() && port.size() <= 5 &&
      std::all_of(port.begin(), port.end(), [](unsigned char c) { return isdigit(c); });
  if (!is_number || std::stoi(port) > 65535) {
    throw Error(ErrorKind::kInternal, "invalid port in address " + address);
  }
  asio::error_code error;
  asio::ip::address ip = asio::ip::make_address(host, error);
  if (error) throw Error(ErrorKind::kInternal, "invalid IP address in " + address);
  return asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(std::stoi(port)));
}

}  // namespace ebonylift
