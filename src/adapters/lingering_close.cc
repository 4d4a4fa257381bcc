#include "adapters/lingering_close.h"

#include <sys/socket.h>

#include <array>
#include <memory>
#include <utility>

#include "base/descriptor_claim.h"
#include "base/time.h"

namespace ebonylift {
namespace {

using asio::ip::tcp;

constexpr auto kLingerTimeout = seconds(2);
constexpr size_t kDiscardBufferBytes = 4096;

class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  LingeringClose(asio::io_context& io, tcp::socket socket, std::function<void()> on_end)
      : socket_(std::move(socket)),
        claim_(socket_.native_handle(), DescriptorUser::kServerConnection),
        timer_(io),
        on_end_(std::move(on_end)) {}
  ~LingeringClose() { on_end_(); }
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

  void Start(const std::string& response) {
    asio::error_code error;
    socket_.non_blocking(true, error);
    // The response fits into the empty socket buffer, so one send writes all of it.
    socket_.send(asio::buffer(response), MSG_NOSIGNAL, error);
    socket_.shutdown(tcp::socket::shutdown_send, error);
    timer_.expires_after(kLingerTimeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& wait_error) {
      asio::error_code ignored;
      if (wait_error) return;
      self->claim_.Release();
      self->socket_.close(ignored);
    });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const asio::error_code& error, size_t) {
                              if (error) {
                                self->timer_.cancel();
                              } else {
                                self->Read();
                              }
                            });
  }

  tcp::socket socket_;
  DescriptorClaim claim_;  // after socket_, so that it ends before the socket is closed
  asio::steady_timer timer_;
  const std::function<void()> on_end_;
  std::array<char, kDiscardBufferBytes> buffer_;
};

}  // namespace

void StartLingeringClose(asio::io_context& io, tcp::socket socket, const std::string& response,
                         std::function<void()> on_end) {
  std::make_shared<LingeringClose>(io, std::move(socket), std::move(on_end))->Start(response);
}

}  // namespace ebonylift
