#include "adapters/http_server.h"

#include <poll.h>

#include <algorithm>
#include <asio.hpp>
#include <cstdio>
#include <cstring>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>

#include "adapters/http_headers.h"
#include "adapters/http_response_text.h"
#include "adapters/lingering_close.h"
#include "adapters/listening_socket.h"
#include "adapters/tcp_endpoint.h"
#include "base/descriptor_claim.h"
#include "base/error.h"

namespace ebonylift {

// RESTinio 0.6.16 parses requests, orders pipelined responses and enforces timeouts. This file
// replaces the parts that do not fit:
//  - Its acceptor stops permanently after one failed accept (EMFILE), and when it closes it cannot
//    hand over the connections that wait in the kernel's accept queue.
//  - Its response builders always use chunked encoding or Content-Length, even for HTTP/1.0, HEAD
//    and 204, and do not let a handler close the connection.
//  - It closes the connection on a malformed or oversized request without sending a response.
// RESTinio takes the type of a connection's socket as a template parameter. TrackedSocket is that
// type, to detect when a connection closes and to send an error response before it does.
namespace {

using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 8 << 10;
constexpr size_t kMaxHeaderNameBytes = 256;
// A connection with this many requests in progress is not read until one has been answered.
constexpr size_t kMaxPipelinedRequests = 4;
constexpr auto kAcceptRetryDelay = milliseconds(100);
// Further connections wait for the next turn of the event loop, so that open ones are not held up.
constexpr int kMaxAcceptsPerTurn = 64;
// Further connections are closed without an error response.
constexpr size_t kMaxLingeringCloses = 128;
// How long handshakes may go on after new connection attempts are ignored. Clients are at most some
// 20 ms away, since they use the hosts of their region first.
constexpr auto kHandshakeTime = milliseconds(50);
// Effectively unlimited, as handlers enforce the deadlines of requests themselves.
constexpr auto kHandlerTimeout = std::chrono::hours(24 * 365);
// RESTinio closes the connection when a response is written for an unknown request id. It offers no
// other way to close a connection from outside.
constexpr restinio::request_id_t kUnknownRequestId = UINT32_MAX;

class Server;
class ResponseStream;

// The server's state of one connection.
struct Connection {
  std::weak_ptr<Server> server;
  restinio::connection_id_t id = 0;
  tcp::socket* socket = nullptr;  // null once closed
  std::weak_ptr<restinio::impl::connection_base_t> restinio_connection;
  // Incomplete responses, in the order of the requests.
  std::vector<std::shared_ptr<ResponseStream>> streams;
  // A request announced the end of the connection, so later requests are ignored.
  bool last_request_received = false;
  bool closed = false;
  std::optional<ErrorKind> rejection;  // error to send before RESTinio closes the connection
};

void ForceClose(const std::shared_ptr<Connection>& connection);
bool IsClosedByClient(const Connection& connection);
void OnConnectionClosed(const std::shared_ptr<Connection>& connection);
class TrackedSocket;
bool RejectAndLinger(const std::shared_ptr<Connection>& connection, TrackedSocket* socket);

// The socket type of RESTinio's connections. RESTinio calls shutdown() and then close(), and only
// to end the connection.
class TrackedSocket : public tcp::socket {
 public:
  TrackedSocket(tcp::socket socket, std::shared_ptr<Connection> connection)
      : tcp::socket(std::move(socket)),
        connection_(std::move(connection)),
        claim_(native_handle(), DescriptorUser::kServerConnection) {
    connection_->socket = this;
  }
  TrackedSocket(TrackedSocket&& other) noexcept
      : tcp::socket(std::move(other)),
        connection_(std::move(other.connection_)),
        claim_(std::move(other.claim_)) {
    if (connection_) connection_->socket = this;
  }
  TrackedSocket& operator=(TrackedSocket&&) = delete;
  ~TrackedSocket() { NotifyClosed(); }

  void shutdown(shutdown_type type, asio::error_code& error) {
    if (connection_ && RejectAndLinger(connection_, this)) return;
    tcp::socket::shutdown(type, error);
  }

  // Gives up the ownership of the descriptor and returns it.
  int release(asio::error_code& error) {
    claim_.Release();
    return tcp::socket::release(error);
  }

  void close() {
    claim_.Release();
    asio::error_code ignored;
    tcp::socket::close(ignored);
    NotifyClosed();
  }

 private:
  void NotifyClosed() {
    if (connection_) OnConnectionClosed(std::exchange(connection_, nullptr));
  }

  std::shared_ptr<Connection> connection_;
  DescriptorClaim claim_;
};

// Extracts parse errors from RESTinio's log: it reports why it closes a connection only to its
// logger, directly before the close.
class ParseErrorLogger {
 public:
  explicit ParseErrorLogger(std::weak_ptr<Server> server) : server_(std::move(server)) {}
  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    OnErrorMessage(builder());
  }

 private:
  void OnErrorMessage(const std::string& text) const;

  std::weak_ptr<Server> server_;
};

struct RestinioTraits : restinio::traits_t<restinio::asio_timer_manager_t, ParseErrorLogger,
                                           restinio::details::autodetect_request_handler_type,
                                           restinio::noop_strand_t, TrackedSocket> {};

// The response to one request. Lives until the response is complete or the connection has closed,
// even if its responder is destroyed earlier.
class ResponseStream : public std::enable_shared_from_this<ResponseStream> {
 public:
  ResponseStream(std::shared_ptr<Connection> connection, restinio::request_handle_t request);

  void Send(int status, const HttpHeaders& headers, std::string body);
  void Begin(int status, const HttpHeaders& headers);
  void Write(std::string chunk);
  void End();
  void Abort();
  void OnResponderDestroyed();
  void MarkClosed();
  size_t PendingBytes() const { return pending_body_.size() + bytes_in_flight_; }
  void OnDrained(std::function<void()> fn) { on_drained_ = std::move(fn); }
  void OnClosed(std::function<void()> fn) { on_closed_ = std::move(fn); }
  bool ClosedByClient() const;
  bool started() const { return started_; }
  bool closed() const { return closed_; }

 private:
  // kRaw: the body is sent as is and ends by Content-Length or with the connection.
  enum class Framing { kChunked, kRaw, kNoBody };

  // Fills pending_head_. Returns false if the response has started or the connection has closed.
  bool PrepareHead(int status, const HttpHeaders& headers);
  void ScheduleFlush();
  void Flush();
  void OnWritten(const asio::error_code& error, bool final);

  std::shared_ptr<Connection> connection_;
  restinio::impl::connection_handle_t handle_;
  restinio::request_id_t request_id_;
  bool keep_alive_;
  bool is_head_method_;
  // RESTinio does not expose the HTTP version. Only an HTTP/1.0 request ends the connection without
  // a Connection header, so an HTTP/1.0 request with keep-alive is treated as HTTP/1.1.
  bool is_http_1_0_;
  Framing framing_ = Framing::kChunked;
  bool started_ = false;
  bool ended_ = false;
  bool write_in_progress_ = false;
  bool flush_scheduled_ = false;
  bool final_write_started_ = false;
  bool closed_ = false;
  std::string pending_head_;
  std::string pending_body_;
  size_t bytes_in_flight_ = 0;
  std::function<void()> on_drained_;
  std::function<void()> on_closed_;
};

// Passes all calls to the ResponseStream, and aborts an unfinished response on destruction.
class Responder : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<ResponseStream> stream) : stream_(std::move(stream)) {}
  ~Responder() override { stream_->OnResponderDestroyed(); }
  void Send(int status, const HttpHeaders& headers, std::string body) override {
    stream_->Send(status, headers, std::move(body));
  }
  void Begin(int status, const HttpHeaders& headers) override { stream_->Begin(status, headers); }
  void Write(std::string chunk) override { stream_->Write(std::move(chunk)); }
  void End() override { stream_->End(); }
  void Abort() override { stream_->Abort(); }
  size_t PendingBytes() const override { return stream_->PendingBytes(); }
  void OnDrained(std::function<void()> fn) override { stream_->OnDrained(std::move(fn)); }
  void OnClosed(std::function<void()> fn) override { stream_->OnClosed(std::move(fn)); }
  bool ClosedByClient() const override { return stream_->ClosedByClient(); }

 private:
  std::shared_ptr<ResponseStream> stream_;
};

class Server : public std::enable_shared_from_this<Server> {
 public:
  Server(asio::io_context& io, const HttpLimits& limits, HttpHandler handler)
      : io_(io),
        limits_(limits),
        handler_(std::move(handler)),
        acceptor_(io),
        retry_timer_(io),
        handshake_timer_(io) {}

  void Listen(const tcp::endpoint& endpoint);
  void Accept();
  void StopAccepting();
  void StopAcceptingAtOnce();
  void Shutdown();
  void HandleRequest(const restinio::request_handle_t& request);
  void CallHandler(HttpRequest message, const std::shared_ptr<ResponseStream>& stream);
  void OnParseError(restinio::connection_id_t id, ErrorKind kind);
  void OnClosed(const Connection& connection);
  // Sends the error response for `kind` and closes the socket gracefully. Beyond
  // kMaxLingeringCloses closes the socket at once.
  void Reject(tcp::socket socket, ErrorKind kind);

  uint16_t port() const { return port_; }
  void DisableKeepAlive() { close_after_response_ = true; }
  bool close_after_response() const {
    return close_after_response_ || connections_.size() > limits_.max_kept_connections;
  }
  size_t connection_count() const { return connections_.size() + (stopping_accepting_ ? 1 : 0); }
  void Post(std::function<void()> fn) { asio::post(io_, std::move(fn)); }
  // `fn` does not run after Shutdown().
  void PostCallback(std::function<void()> fn) {
    Post([self = shared_from_this(), fn = std::move(fn)] {
      if (self->handler_) fn();
    });
  }

 private:
  using ConnectionFactory = restinio::impl::connection_factory_t<RestinioTraits>;

  std::unique_ptr<ConnectionFactory> MakeConnectionFactory();
  // Accepts a connection that waits in the kernel's accept queue. Returns whether there was one.
  bool AcceptWaiting();
  void AddConnection(tcp::socket socket);
  void WatchForClose(const std::shared_ptr<Connection>& connection);

  asio::io_context& io_;
  const HttpLimits limits_;
  HttpHandler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  asio::steady_timer handshake_timer_;
  bool stopping_accepting_ = false;  // new attempts are ignored, handshakes may still end
  std::unique_ptr<ConnectionFactory> connection_factory_;
  uint16_t port_ = 0;
  bool close_after_response_ = false;
  size_t lingering_closes_ = 0;
  std::unordered_map<restinio::connection_id_t, std::shared_ptr<Connection>> connections_;
};

// --- ResponseStream

ResponseStream::ResponseStream(std::shared_ptr<Connection> connection,
                               restinio::request_handle_t request)
    : connection_(std::move(connection)),
      handle_(std::move(restinio::impl::access_req_connection(*request))),
      request_id_(request->request_id()),
      keep_alive_(request->header().should_keep_alive()),
      is_head_method_(request->header().method() == restinio::http_method_head()),
      is_http_1_0_(!keep_alive_ && !request->header().has_field("connection")) {}

bool ResponseStream::PrepareHead(int status, const HttpHeaders& headers) {
  if (closed_ || started_) return false;
  started_ = true;
  std::shared_ptr<Server> server = connection_->server.lock();
  // Later requests of this connection that are already in progress must still be answered.
  bool is_latest_request =
      connection_->streams.empty() || connection_->streams.back().get() == this;
  if (server && server->close_after_response() && is_latest_request) keep_alive_ = false;
  pending_head_ = ResponseHead(status, headers);
  return true;
}

void ResponseStream::Send(int status, const HttpHeaders& headers, std::string body) {
  if (!PrepareHead(status, headers)) return;
  framing_ = Framing::kNoBody;
  if (!StatusForbidsBody(status))
    pending_head_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!is_head_method_ && !StatusForbidsBody(status)) {
    framing_ = Framing::kRaw;
    pending_body_ = std::move(body);
  }
  ended_ = true;
  Flush();
}

void ResponseStream::Begin(int status, const HttpHeaders& headers) {
  if (!PrepareHead(status, headers)) return;
  if (is_head_method_ || StatusForbidsBody(status)) {
    framing_ = Framing::kNoBody;
  } else if (is_http_1_0_) {
    framing_ = Framing::kRaw;
    keep_alive_ = false;
  } else {
    framing_ = Framing::kChunked;
    pending_head_ += "Transfer-Encoding: chunked\r\n";
  }
  ScheduleFlush();
}

void ResponseStream::Write(std::string chunk) {
  if (closed_ || !started_ || ended_ || framing_ == Framing::kNoBody || chunk.empty()) return;
  if (pending_body_.empty()) {
    pending_body_ = std::move(chunk);
  } else {
    pending_body_ += chunk;
  }
  ScheduleFlush();
}

// Flushes after the current callback. A handler that forwards a short response often calls Begin(),
// Write() and End() in one callback, which then takes one write instead of three.
void ResponseStream::ScheduleFlush() {
  std::shared_ptr<Server> server = connection_->server.lock();
  if (flush_scheduled_ || write_in_progress_ || !server) return;
  flush_scheduled_ = true;
  server->Post([self = shared_from_this()] {
    self->flush_scheduled_ = false;
    if (!self->pending_head_.empty() || !self->pending_body_.empty()) self->Flush();
  });
}

void ResponseStream::End() {
  if (closed_ || !started_ || ended_) return;
  ended_ = true;
  Flush();
}

// Passes all pending data to RESTinio as one write. While a write is in progress, data accumulates,
// so that the chunks of a fast sender share one system call and one HTTP chunk.
void ResponseStream::Flush() {
  if (write_in_progress_ || closed_ || final_write_started_) return;
  restinio::writable_items_container_t items;
  items.reserve(4);
  std::string prefix = std::move(pending_head_);
  pending_head_.clear();
  if (!prefix.empty()) {
    prefix += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
  }
  bytes_in_flight_ = pending_body_.size();
  bool chunked = framing_ == Framing::kChunked;
  if (bytes_in_flight_ > 0 && chunked) {
    char size[24];
    snprintf(size, sizeof(size), "%zx\r\n", bytes_in_flight_);
    prefix += size;
  }
  if (!prefix.empty()) items.emplace_back(std::move(prefix));
  if (bytes_in_flight_ > 0) {
    items.emplace_back(std::move(pending_body_));
    pending_body_.clear();
    if (chunked) items.emplace_back(ended_ ? "\r\n0\r\n\r\n" : "\r\n");
  } else if (ended_ && chunked) {
    items.emplace_back("0\r\n\r\n");
  }
  final_write_started_ = ended_;
  write_in_progress_ = true;
  restinio::write_group_t group(std::move(items));
  group.after_write_notificator(
      [self = shared_from_this(), final = ended_](const asio::error_code& error) {
        self->OnWritten(error, final);
      });
  restinio::response_output_flags_t flags(ended_ ? restinio::response_parts_attr_t::final_parts
                                                 : restinio::response_parts_attr_t::not_final_parts,
                                          restinio::response_connection_attr(keep_alive_));
  restinio::impl::connection_handle_t handle = handle_;
  handle->write_response_parts(request_id_, flags, std::move(group));
}

void ResponseStream::OnWritten(const asio::error_code& error, bool final) {
  // On an error RESTinio closes the connection, which calls MarkClosed().
  if (error || closed_) return;
  write_in_progress_ = false;
  bytes_in_flight_ = 0;
  if (final) {
    closed_ = true;
    auto& streams = connection_->streams;
    auto self = shared_from_this();
    streams.erase(std::remove(streams.begin(), streams.end(), self), streams.end());
    handle_ = nullptr;
    on_closed_ = nullptr;
    std::function<void()> drained = std::move(on_drained_);
    on_drained_ = nullptr;
    if (drained) drained();
    return;
  }
  if (!pending_body_.empty() || ended_) Flush();
  if (std::function<void()> drained = on_drained_) drained();
}

void ResponseStream::Abort() {
  if (closed_) return;
  on_closed_ = nullptr;
  std::shared_ptr<Server> server = connection_->server.lock();
  std::shared_ptr<Connection> connection = connection_;
  MarkClosed();
  // Deferred, because a callback may run inside RESTinio's code for this connection, where it must
  // not be closed.
  if (server) server->Post([connection] { ForceClose(connection); });
}

bool ResponseStream::ClosedByClient() const { return closed_ || IsClosedByClient(*connection_); }

void ResponseStream::OnResponderDestroyed() {
  if (!ended_) Abort();
}

// Runs when the connection has closed or is about to: discards pending data and schedules the
// OnClosed() callback.
void ResponseStream::MarkClosed() {
  if (closed_) return;
  closed_ = true;
  pending_body_.clear();
  bytes_in_flight_ = 0;
  handle_ = nullptr;
  on_drained_ = nullptr;
  std::function<void()> fn = std::move(on_closed_);
  on_closed_ = nullptr;
  std::shared_ptr<Server> server = connection_->server.lock();
  if (fn && server) server->PostCallback(std::move(fn));
}

// --- Connection

void ForceClose(const std::shared_ptr<Connection>& connection) {
  auto handle = connection->restinio_connection.lock();
  if (!handle) return;
  handle->write_response_parts(
      kUnknownRequestId,
      restinio::response_output_flags_t(restinio::response_parts_attr_t::final_parts,
                                        restinio::response_connection_attr_t::connection_close),
      restinio::write_group_t(restinio::writable_items_container_t{}));
  // RESTinio ignores this write while it sends a response that ends the connection. Shutting down
  // the socket makes that response fail, and RESTinio then closes the connection.
  asio::error_code ignored;
  if (connection->socket) connection->socket->shutdown(tcp::socket::shutdown_both, ignored);
}

// Also true if the client sent more requests before it closed, which are not read yet.
bool IsClosedByClient(const Connection& connection) {
  if (connection.socket == nullptr) return true;
  pollfd polled{connection.socket->native_handle(), POLLRDHUP, 0};
  return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void OnConnectionClosed(const std::shared_ptr<Connection>& connection) {
  connection->socket = nullptr;
  connection->closed = true;
  std::vector<std::shared_ptr<ResponseStream>> streams = std::move(connection->streams);
  connection->streams.clear();
  for (const auto& stream : streams) stream->MarkClosed();
  if (std::shared_ptr<Server> server = connection->server.lock()) server->OnClosed(*connection);
}

// Takes the socket over from RESTinio to send a pending error response. Returns whether it took it.
// Without an error to send, or if earlier responses are incomplete and would have to be sent first,
// RESTinio closes the connection itself.
bool RejectAndLinger(const std::shared_ptr<Connection>& connection, TrackedSocket* socket) {
  std::shared_ptr<Server> server = connection->server.lock();
  if (!server || !connection->rejection || !connection->streams.empty()) return false;
  asio::error_code error;
  tcp::endpoint local = socket->local_endpoint(error);
  if (error) return false;
  auto executor = socket->get_executor();
  int fd = socket->release(error);
  if (error) return false;
  server->Reject(tcp::socket(executor, local.protocol(), fd), *connection->rejection);
  return true;
}

void ParseErrorLogger::OnErrorMessage(const std::string& text) const {
  // Format: "[connection:<id>] parser error <name>: <description>"
  std::shared_ptr<Server> server = server_.lock();
  unsigned long long id = 0;
  char name[64] = "";
  if (!server || sscanf(text.c_str(), "[connection:%llu] parser error %63[^:]", &id, name) != 2) {
    return;
  }
  // RESTinio's parser callbacks for the end of the headers and for the body fail only if the body
  // exceeds its limit.
  bool body_too_large = !strcmp(name, "HPE_CB_headers_complete") || !strcmp(name, "HPE_CB_body");
  server->OnParseError(id, body_too_large ? ErrorKind::kBodyTooLarge : ErrorKind::kBadRequest);
}

// --- Server

std::unique_ptr<Server::ConnectionFactory> Server::MakeConnectionFactory() {
  restinio::server_settings_t<RestinioTraits> settings;
  auto message_limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(limits_.max_url_bytes)
                            .max_field_name_size(kMaxHeaderNameBytes)
                            .max_field_value_size(limits_.max_header_bytes + 1)
                            .max_field_count(limits_.max_headers)
                            .max_body_size(limits_.max_body_bytes);
  auto check_period = std::clamp<Duration>(limits_.read_timeout / 4, milliseconds(10), seconds(1));
  std::weak_ptr<Server> weak = weak_from_this();
  settings.buffer_size(kReadBufferBytes)
      .max_pipelined_requests(kMaxPipelinedRequests)
      .read_next_http_message_timelimit(limits_.read_timeout)
      .write_http_response_timelimit(limits_.write_timeout)
      .handle_request_timeout(kHandlerTimeout)
      .incoming_http_msg_limits(message_limits)
      .logger(weak)
      .request_handler([weak](const restinio::request_handle_t& request) {
        if (std::shared_ptr<Server> server = weak.lock()) server->HandleRequest(request);
        return restinio::request_accepted();
      });
  auto timers = std::make_shared<restinio::asio_timer_manager_t>(io_, check_period);
  auto connection_settings =
      std::make_shared<restinio::impl::connection_settings_t<RestinioTraits>>(
          settings, restinio::impl::create_parser_settings<RestinioTraits::http_methods_mapper_t>(),
          timers);
  auto socket_options = std::make_unique<restinio::socket_options_setter_t>(
      [](restinio::socket_options_t& options) { options.set_option(tcp::no_delay(true)); });
  return std::make_unique<ConnectionFactory>(std::move(connection_settings),
                                             std::move(socket_options));
}

void Server::Listen(const tcp::endpoint& endpoint) {
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  connection_factory_ = MakeConnectionFactory();
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.set_option(ReusePort(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  port_ = acceptor_.local_endpoint().port();
  Accept();
}

void Server::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
        // The connection may have been accepted before StopAccepting(). After Shutdown() there is
        // no handler.
        if (!error && self->handler_) self->AddConnection(std::move(socket));
        if (!self->acceptor_.is_open()) return;
        // Other connections give the loop many handlers in a turn, and Accept() one.
        for (int i = 0; !error && i < kMaxAcceptsPerTurn && self->AcceptWaiting(); ++i) {
        }
        if (!error) {
          self->Accept();
          return;
        }
        // Out of file descriptors or memory: accepting again immediately would loop without
        // progress.
        self->retry_timer_.expires_after(kAcceptRetryDelay);
        self->retry_timer_.async_wait([self](const asio::error_code& wait_error) {
          if (!wait_error && self->acceptor_.is_open()) self->Accept();
        });
      });
}

void Server::AddConnection(tcp::socket socket) {
  asio::error_code error;
  tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) return;  // already closed
  if (connections_.size() >= limits_.max_connections) {
    Reject(std::move(socket), ErrorKind::kOverloaded);
    return;
  }
  auto connection = std::make_shared<Connection>();
  connection->server = weak_from_this();
  auto restinio_connection = connection_factory_->create_new_connection(
      TrackedSocket(std::move(socket), connection), remote,
      restinio::connection_count_limit_types<RestinioTraits>::lifetime_monitor_t(nullptr));
  connection->id = restinio_connection->connection_id();
  connection->restinio_connection = restinio_connection;
  connections_.emplace(connection->id, connection);
  restinio_connection->init();
}

bool Server::AcceptWaiting() {
  tcp::socket socket(io_);
  asio::error_code error;
  acceptor_.accept(socket, error);
  if (error) return false;
  if (handler_) AddConnection(std::move(socket));
  return true;
}

// Lets the handshakes in progress end first: connections that are established after the last accept
// would be reset.
void Server::StopAccepting() {
  if (!acceptor_.is_open() || stopping_accepting_) return;
  if (!IgnoreNewConnections(acceptor_.native_handle())) return StopAcceptingAtOnce();
  stopping_accepting_ = true;
  handshake_timer_.expires_after(kHandshakeTime);
  handshake_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    self->stopping_accepting_ = false;
    if (!error) self->StopAcceptingAtOnce();
  });
}

// Accepts the connections that wait in the kernel's accept queue before closing the listening
// socket, because closing it would reset them.
void Server::StopAcceptingAtOnce() {
  if (!acceptor_.is_open()) return;
  while (AcceptWaiting()) {
  }
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void Server::Shutdown() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  handshake_timer_.cancel();
  handler_ = nullptr;
  auto connections = std::move(connections_);
  connections_.clear();
  for (auto& [id, connection] : connections) {
    connection->server.reset();
    auto streams = std::move(connection->streams);
    connection->streams.clear();
    for (const auto& stream : streams) stream->MarkClosed();
    if (connection->socket) connection->socket->shutdown(tcp::socket::shutdown_both, ignored);
  }
}

void Server::Reject(tcp::socket socket, ErrorKind kind) {
  if (lingering_closes_ >= kMaxLingeringCloses) return;
  ++lingering_closes_;
  std::weak_ptr<Server> weak = weak_from_this();
  StartLingeringClose(io_, std::move(socket), ClosingErrorResponse(kind), [weak] {
    if (std::shared_ptr<Server> server = weak.lock()) --server->lingering_closes_;
  });
}

void Server::OnParseError(restinio::connection_id_t id, ErrorKind kind) {
  auto it = connections_.find(id);
  if (it != connections_.end()) it->second->rejection = kind;
}

void Server::OnClosed(const Connection& connection) { connections_.erase(connection.id); }

void Server::HandleRequest(const restinio::request_handle_t& request) {
  auto it = connections_.find(request->connection_id());
  if (it == connections_.end() || !handler_) return;
  std::shared_ptr<Connection> connection = it->second;
  if (connection->last_request_received) return;

  const restinio::http_request_header_t& header = request->header();
  HttpRequest message;
  message.method = header.method().c_str();
  message.path = std::string(header.path());
  message.query = std::string(header.query());
  header.for_each_field([&message](const restinio::http_header_field_t& field) {
    message.headers.emplace_back(field.name(), field.value());
  });
  message.body = request->body();
  message.remote_address = request->remote_endpoint().address().to_string();

  auto stream = std::make_shared<ResponseStream>(connection, request);
  connection->streams.push_back(stream);
  // This server answers CONNECT and requests with an Upgrade header like any other request, but
  // RESTinio parses no further request after them and does not read until they are answered.
  bool upgrade = header.connection() == restinio::http_connection_header_t::upgrade;
  connection->last_request_received = !header.should_keep_alive();
  if (upgrade || connection->streams.size() == kMaxPipelinedRequests) WatchForClose(connection);
  // The handler runs from the event loop because RESTinio 0.6.16 fails a connection with pipelined
  // requests ("response_context_table is full") when a response is written inside its request
  // handler: it then starts reading the next request twice, after the handler and after the write.
  asio::post(io_, [self = shared_from_this(), message = std::move(message), stream]() mutable {
    self->CallHandler(std::move(message), stream);
  });
}

void Server::CallHandler(HttpRequest message, const std::shared_ptr<ResponseStream>& stream) {
  if (!handler_ || stream->closed()) return;
  auto responder = std::make_shared<Responder>(stream);
  try {
    handler_(std::move(message), responder);
  } catch (const std::exception&) {
    const ErrorInfo& info = LookupError(ErrorKind::kInternal);
    if (stream->started()) {
      stream->Abort();
    } else {
      stream->Send(info.http_status, {{"content-type", "application/json"}},
                   ErrorResponseBody(info));
    }
  }
}

// Detects that the client closed the connection while RESTinio does not read from it. Stops when
// data arrives, which RESTinio reads after the next response.
void Server::WatchForClose(const std::shared_ptr<Connection>& connection) {
  if (!connection->socket) return;
  connection->socket->async_wait(tcp::socket::wait_read,
                                 [connection](const asio::error_code& error) {
                                   if (error || !connection->socket) return;
                                   if (IsClosedByClient(*connection)) ForceClose(connection);
                                 });
}

// Owns the Server and shuts it down on destruction. Connections hold only weak references to it.
class HttpServerImpl : public HttpServer {
 public:
  explicit HttpServerImpl(std::shared_ptr<Server> server) : server_(std::move(server)) {}
  ~HttpServerImpl() override { server_->Shutdown(); }
  uint16_t port() const override { return server_->port(); }
  void DisableKeepAlive() override { server_->DisableKeepAlive(); }
  void StopAccepting() override { server_->StopAccepting(); }
  void StopAcceptingAtOnce() override { server_->StopAcceptingAtOnce(); }
  size_t connection_count() const override { return server_->connection_count(); }

 private:
  std::shared_ptr<Server> server_;
};

}  // namespace

const std::string& FindHeader(const HttpHeaders& headers, const std::string& name) {
  static const std::string empty;
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name.c_str())) return value;
  }
  return empty;
}

std::unique_ptr<HttpServer> StartHttpServer(asio::io_context& io, const std::string& address,
                                            const HttpLimits& limits, HttpHandler handler) {
  tcp::endpoint endpoint = ParseTcpEndpoint(address);
  auto server = std::make_shared<Server>(io, limits, std::move(handler));
  try {
    server->Listen(endpoint);
  } catch (const std::system_error& error) {
    throw Error(ErrorKind::kInternal, "cannot listen on " + address + ": " + error.what());
  }
  return std::make_unique<HttpServerImpl>(std::move(server));
}

}  // namespace ebonylift
