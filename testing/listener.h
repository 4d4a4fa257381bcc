#ifndef EBONYLIFT_TESTING_LISTENER_H_
#define EBONYLIFT_TESTING_LISTENER_H_

// The listening side of a stand-in: an HTTP server whose port can refuse connections or reset them
// before a byte is read, and a control server that remains reachable in every mode.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"

namespace ebonylift::standin {

// How new connections are handled: served, refused, or accepted and then reset.
enum class ListenMode { kServe, kRefuse, kReset };

class Listener {
 public:
  // Listens on `address` and, when it is not empty, on `control_address`; `handler` receives the
  // requests of both. Throws Error(kInternal) when an address cannot be bound.
  Listener(asio::io_context& io, const std::string& address, const std::string& control_address,
           HttpHandler handler);
  ~Listener();

  // Affects only new connections; open ones continue in every mode.
  void SetMode(ListenMode mode);

  // Returns the host:port it listens on, with the actual port when the configured one is 0.
  std::string address() const;

 private:
  void AcceptAndReset();

  asio::io_context& io_;
  std::string host_;
  uint16_t port_ = 0;
  HttpHandler handler_;
  ListenMode mode_ = ListenMode::kServe;
  // In kServe the last one accepts connections. The others only serve their open connections.
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::unique_ptr<HttpServer> control_server_;
  std::shared_ptr<asio::ip::tcp::acceptor> reset_acceptor_;  // set in kReset; has no other owner
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_LISTENER_H_
