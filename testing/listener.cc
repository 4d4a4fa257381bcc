#include "testing/listener.h"

#include <algorithm>

#include "testing/sockets.h"

namespace ebonylift::standin {
namespace {

using asio::ip::tcp;

HttpLimits StandinLimits() {
  HttpLimits limits;
  // Longer than the idle timeout of the gateway's connection pool, so that the gateway rarely
  // reuses a connection that this server is closing.
  limits.read_timeout = seconds(120);
  limits.max_body_bytes = 64 << 20;
  return limits;
}

}  // namespace

Listener::Listener(asio::io_context& io, const std::string& address,
                   const std::string& control_address, HttpHandler handler)
    : io_(io), host_(address.substr(0, address.rfind(':'))), handler_(std::move(handler)) {
  servers_.push_back(StartHttpServer(io_, address, StandinLimits(), handler_));
  port_ = servers_.back()->port();
  if (!control_address.empty()) {
    control_server_ = StartHttpServer(io_, control_address, StandinLimits(), handler_);
  }
}

Listener::~Listener() = default;

std::string Listener::address() const { return host_ + ":" + std::to_string(port_); }

void Listener::SetMode(ListenMode mode) {
  if (mode == mode_) return;
  if (mode_ == ListenMode::kServe) servers_.back()->StopAcceptingAtOnce();
  reset_acceptor_.reset();
  mode_ = mode;
  if (mode == ListenMode::kServe) {
    // Servers that stopped accepting are kept until all their connections have closed.
    auto idle = [](const auto& server) { return server->connection_count() == 0; };
    servers_.erase(std::remove_if(servers_.begin(), servers_.end(), idle), servers_.end());
    servers_.push_back(StartHttpServer(io_, address(), StandinLimits(), handler_));
  } else if (mode == ListenMode::kReset) {
    reset_acceptor_ = std::make_shared<tcp::acceptor>(io_, ParseEndpoint(address()), true);
    AcceptAndReset();
  }
}

void Listener::AcceptAndReset() {
  reset_acceptor_->async_accept([this, acceptor = std::weak_ptr<tcp::acceptor>(reset_acceptor_)](
                                    const asio::error_code& error, tcp::socket socket) {
    if (error) return;
    ResetSocket(socket);
    // The mode may have changed since the connection was accepted.
    if (!acceptor.expired()) AcceptAndReset();
  });
}

}  // namespace ebonylift::standin
