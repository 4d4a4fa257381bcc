#ifndef EBONYLIFT_TESTS_SUPPORT_RAW_TCP_H_
#define EBONYLIFT_TESTS_SUPPORT_RAW_TCP_H_

// TCP connections and a TCP server on the loopback address whose bytes a test writes and reads
// itself, to meet an HTTP client or server with any input.
//
// Not thread safe: a test runs all objects on one thread with one asio::io_context.

#include <asio.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ebonylift::test {

// One end of a plain TCP connection, which records all data it receives.
struct RawPeer : std::enable_shared_from_this<RawPeer> {
  explicit RawPeer(asio::ip::tcp::socket connected) : socket(std::move(connected)) {}

  void Read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](const asio::error_code& error, size_t n) {
                             self->received.append(self->buffer, n);
                             if (error) {
                               self->closed = true;
                               return;
                             }
                             self->Read();
                           });
  }
  void Send(const std::string& text) {
    asio::error_code error;
    asio::write(socket, asio::buffer(text), error);
  }
  void Close() {
    asio::error_code ignored;
    socket.close(ignored);
  }
  // Ends the sending side only.
  void EndSending() {
    asio::error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  // Closes with a TCP reset.
  void Reset() {
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  bool HasReceived(const std::string& text) const {
    return received.find(text) != std::string::npos;
  }

  asio::ip::tcp::socket socket;
  char buffer[16384];
  std::string received;
  bool closed = false;
};

// A TCP server whose responses the test writes as raw bytes.
struct RawServer {
  explicit RawServer(asio::io_context& io)
      : acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
  }
  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
      if (reads) peers.back()->Read();
      Accept();
    });
  }
  uint16_t port() const { return acceptor.local_endpoint().port(); }
  std::string Url() const { return "http://127.0.0.1:" + std::to_string(port()) + "/x"; }
  bool PeerReceived(size_t peer, const std::string& text) const {
    return peers.size() > peer && peers[peer]->HasReceived(text);
  }

  bool reads = true;  // whether it reads the connections that it accepts from now on
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::shared_ptr<RawPeer>> peers;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_RAW_TCP_H_
