#ifndef EBONYLIFT_TESTING_LISTENER_H_
#define EBONYLIFT_TESTING_LISTENER_H_

// The listening side of a stand-in: an HTTP server whose port can refuse connections or reset them
// before a byte is read, and a control server that stays reachable meanwhile.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"

namespace ebonylift::standin {

enum class ListenMode { kServe, kRefuse, kReset };

class Listener {
 public:
  // Listens on `address` and, when it is not empty, on `control_address`; `handler` gets the
  // requests of both. Throws Error(kInternal) when an address cannot be bound.
  Listener(asio::io_context& io, const std::string& address, const std::string& control_address,
           HttpHandler handler);
  ~Listener();

  // Connections that are open go on in each mode.
  void SetMode(ListenMode mode);

  // host:port in use.
  std::string address() const;

 private:
  void AcceptAndReset();

  asio::io_context& io_;
  std::string host_;
  uint16_t port_ = 0;
  HttpHandler handler_;
  ListenMode mode_ = ListenMode::kServe;
  std::vector<std::unique_ptr<HttpServer>> servers_;  // the last one accepts; others finish
  std::unique_ptr<HttpServer> control_;
  std::unique_ptr<asio::ip::tcp::acceptor> resetting_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_LISTENER_H_
