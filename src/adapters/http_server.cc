#include "adapters/http_server.h"

#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>

#include "base/error.h"

namespace ebonylift {

// RESTinio 0.6.16 parses requests, orders pipelined responses and guards timeouts. Its acceptor and
// its response builders are not used:
//  - its acceptor stops for good after one failed accept (EMFILE) and cannot hand over the
//    connections that wait in the kernel when it closes;
//  - its builders always use chunked encoding or Content-Length, also for HTTP/1.0, HEAD and 204,
//    and a handler cannot close a connection through them;
//  - it answers malformed and oversized requests by closing the connection.
// The connection's socket type is a template parameter of RESTinio; TrackedSocket uses it to
// observe and to direct the closing of connections.
namespace {

using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 8 << 10;
constexpr size_t kMaxHeaderNameBytes = 256;
// A connection that has this many requests in progress is not read until one is answered.
constexpr size_t kMaxPipelinedRequests = 4;
constexpr auto kAcceptRetry = milliseconds(100);
// A refused connection is read until the client closes it: closing it with unread data would send a
// TCP reset, which can discard the refusal before the client reads it.
constexpr auto kLingerTime = seconds(2);
constexpr size_t kMaxLingering = 128;
// The deadline of a request is the business of the handler.
constexpr auto kHandlerTimeLimit = std::chrono::hours(24 * 365);
// RESTinio closes the connection when a response is written for an unknown request; it has no other
// way to close one from outside.
constexpr restinio::request_id_t kUnknownRequest = UINT32_MAX;

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 508:
      return "Loop Detected";
    default:
      return "Status";
  }
}

bool EqualNoCase(const std::string& a, const char* b) { return strcasecmp(a.c_str(), b) == 0; }

// The server itself frames the message.
bool IsFramingHeader(const std::string& name) {
  return EqualNoCase(name, "content-length") || EqualNoCase(name, "transfer-encoding") ||
         EqualNoCase(name, "connection");
}

// A line break in a name or value would start another header.
void AppendField(std::string* out, const std::string& text) {
  for (char c : text) out->push_back(c == '\r' || c == '\n' || c == '\0' ? ' ' : c);
}

std::string ResponseHead(int status, const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  for (const auto& [name, value] : headers) {
    if (IsFramingHeader(name)) continue;
    AppendField(&head, name);
    head += ": ";
    AppendField(&head, value);
    head += "\r\n";
  }
  return head;
}

bool HasNoBody(int status) { return status < 200 || status == 204 || status == 304; }

std::string ErrorBody(const ErrorInfo& info) {
  const char* type = info.http_status < 500 ? "invalid_request_error" : "server_error";
  return std::string(R"({"error":{"message":")") + info.meaning + R"(","type":")" + type +
         R"(","code":")" + info.code + R"(","run":")" + RunName(info.run) +
         R"(","retry_after_ms":)" + std::to_string(info.retry_after_ms) + R"(,"request_id":""}})";
}

// A whole response that closes the connection.
std::string Refusal(ErrorKind kind) {
  const ErrorInfo& info = LookupError(kind);
  std::string body = ErrorBody(info);
  return ResponseHead(info.http_status, {{"content-type", "application/json"}}) +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Server;
class Stream;

// What the server knows about one connection. `socket` is null once it closed.
struct Connection {
  std::weak_ptr<Server> server;
  restinio::connection_id_t id = 0;
  tcp::socket* socket = nullptr;
  std::weak_ptr<restinio::impl::connection_base_t> handle;
  std::vector<std::shared_ptr<Stream>> streams;  // in the order of the requests
  // Set when a request announced the end of the connection: later requests are not handled.
  bool last_request = false;
  bool closed = false;
  std::optional<ErrorKind> refused;
};

void ForceClose(const std::shared_ptr<Connection>& connection);
void OnConnectionClosed(const std::shared_ptr<Connection>& connection);
bool RefuseAndLinger(const std::shared_ptr<Connection>& connection, tcp::socket* socket);

// RESTinio's socket of one connection. RESTinio calls shutdown() and close() only to end the
// connection, in this order.
class TrackedSocket : public tcp::socket {
 public:
  TrackedSocket(tcp::socket socket, std::shared_ptr<Connection> connection)
      : tcp::socket(std::move(socket)), connection_(std::move(connection)) {
    connection_->socket = this;
  }
  TrackedSocket(TrackedSocket&& other) noexcept
      : tcp::socket(std::move(other)), connection_(std::move(other.connection_)) {
    if (connection_) connection_->socket = this;
  }
  TrackedSocket& operator=(TrackedSocket&&) = delete;
  ~TrackedSocket() { Closed(); }

  void shutdown(shutdown_type type, asio::error_code& error) {
    if (connection_ && RefuseAndLinger(connection_, this)) return;
    tcp::socket::shutdown(type, error);
  }

  void close() {
    asio::error_code ignored;
    tcp::socket::close(ignored);
    Closed();
  }

 private:
  void Closed() {
    if (connection_) OnConnectionClosed(std::exchange(connection_, nullptr));
  }

  std::shared_ptr<Connection> connection_;
};

// RESTinio reports why it closes a connection only to its logger, on the line before the close.
class ErrorLogger {
 public:
  explicit ErrorLogger(std::weak_ptr<Server> server) : server_(std::move(server)) {}
  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    OnError(builder());
  }

 private:
  void OnError(const std::string& text) const;

  std::weak_ptr<Server> server_;
};

struct Traits : restinio::traits_t<restinio::asio_timer_manager_t, ErrorLogger,
                                   restinio::details::autodetect_request_handler_type,
                                   restinio::noop_strand_t, TrackedSocket> {};

// The response to one request. Alive until the response is complete or the connection closed, also
// when its responder was dropped.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(std::shared_ptr<Connection> connection, restinio::request_handle_t request);

  void Send(int status, const HttpHeaders& headers, std::string body);
  void Begin(int status, const HttpHeaders& headers);
  void Write(std::string chunk);
  void End();
  void Abort();
  void Drop();
  void Close();
  size_t PendingBytes() const { return queue_.size() + writing_bytes_; }
  void OnDrained(std::function<void()> fn) { on_drained_ = std::move(fn); }
  void OnClosed(std::function<void()> fn) { on_closed_ = std::move(fn); }
  bool started() const { return started_; }
  bool closed() const { return closed_; }

 private:
  enum class Framing { kChunked, kUntilClose, kNoBody };

  bool Start(int status, const HttpHeaders& headers);
  void FlushSoon();
  void Flush();
  void OnWritten(const asio::error_code& error, bool final);

  std::shared_ptr<Connection> connection_;
  restinio::impl::connection_handle_t handle_;
  restinio::request_id_t request_id_;
  bool keep_alive_;
  bool head_request_;
  // RESTinio does not tell the version. Only an HTTP/1.0 request ends the connection without saying
  // so. One that asks to keep the connection is taken for HTTP/1.1.
  bool http_1_0_;
  Framing framing_ = Framing::kChunked;
  bool started_ = false;
  bool ended_ = false;
  bool writing_ = false;
  bool flush_posted_ = false;
  bool end_written_ = false;
  bool closed_ = false;
  std::string head_;
  std::string queue_;
  size_t writing_bytes_ = 0;
  std::function<void()> on_drained_;
  std::function<void()> on_closed_;
};

class Responder : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<Stream> stream) : stream_(std::move(stream)) {}
  ~Responder() override { stream_->Drop(); }
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

 private:
  std::shared_ptr<Stream> stream_;
};

// Reads and drops what the client still sends, until it closes or the time is over.
class Lingering : public std::enable_shared_from_this<Lingering> {
 public:
  Lingering(asio::io_context& io, tcp::socket socket, std::weak_ptr<Server> server)
      : socket_(std::move(socket)), timer_(io), server_(std::move(server)) {}
  ~Lingering();

  void Start(const std::string& response) {
    asio::error_code error;
    socket_.non_blocking(true, error);
    // The response is shorter than an empty socket buffer.
    socket_.send(asio::buffer(response), MSG_NOSIGNAL, error);
    socket_.shutdown(tcp::socket::shutdown_send, error);
    timer_.expires_after(kLingerTime);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& wait_error) {
      asio::error_code ignored;
      if (!wait_error) self->socket_.close(ignored);
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
  asio::steady_timer timer_;
  std::weak_ptr<Server> server_;
  std::array<char, 4096> buffer_;
};

class Server : public std::enable_shared_from_this<Server> {
 public:
  Server(asio::io_context& io, const HttpLimits& limits, HttpHandler handler)
      : io_(io), limits_(limits), handler_(std::move(handler)), acceptor_(io), retry_timer_(io) {}

  void Listen(const tcp::endpoint& endpoint);
  void Accept();
  void StopAccepting();
  void Shutdown();
  void Handle(const restinio::request_handle_t& request);
  void CallHandler(HttpRequest message, const std::shared_ptr<Stream>& stream);
  void OnParseError(restinio::connection_id_t id, ErrorKind kind);
  void OnClosed(const Connection& connection);
  bool Linger(tcp::socket socket, ErrorKind kind);
  void LingeringEnded() { --lingering_; }

  uint16_t port() const { return port_; }
  void CloseAfterResponse() { close_after_response_ = true; }
  bool closes_after_response() const { return close_after_response_; }
  size_t connections() const { return connections_.size(); }
  void Post(std::function<void()> fn) { asio::post(io_, std::move(fn)); }
  // `fn` does not run after the server was destroyed.
  void PostCallback(std::function<void()> fn) {
    Post([self = shared_from_this(), fn = std::move(fn)] {
      if (self->handler_) fn();
    });
  }

 private:
  using Factory = restinio::impl::connection_factory_t<Traits>;

  std::unique_ptr<Factory> MakeFactory();
  void Adopt(tcp::socket socket);
  void WatchForClose(const std::shared_ptr<Connection>& connection);

  asio::io_context& io_;
  const HttpLimits limits_;
  HttpHandler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::unique_ptr<Factory> factory_;
  uint16_t port_ = 0;
  bool close_after_response_ = false;
  size_t lingering_ = 0;
  std::unordered_map<restinio::connection_id_t, std::shared_ptr<Connection>> connections_;
};

// --- Stream

Stream::Stream(std::shared_ptr<Connection> connection, restinio::request_handle_t request)
    : connection_(std::move(connection)),
      handle_(std::move(restinio::impl::access_req_connection(*request))),
      request_id_(request->request_id()),
      keep_alive_(request->header().should_keep_alive()),
      head_request_(request->header().method() == restinio::http_method_head()),
      http_1_0_(!keep_alive_ && !request->header().has_field("connection")) {}

bool Stream::Start(int status, const HttpHeaders& headers) {
  if (closed_ || started_) return false;
  started_ = true;
  std::shared_ptr<Server> server = connection_->server.lock();
  // A later request of this connection that is already in progress gets its answer first.
  bool last = connection_->streams.empty() || connection_->streams.back().get() == this;
  if (server && server->closes_after_response() && last) keep_alive_ = false;
  head_ = ResponseHead(status, headers);
  return true;
}

void Stream::Send(int status, const HttpHeaders& headers, std::string body) {
  if (!Start(status, headers)) return;
  framing_ = Framing::kNoBody;
  if (!HasNoBody(status)) head_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!head_request_ && !HasNoBody(status)) {
    framing_ = Framing::kUntilClose;
    queue_ = std::move(body);
  }
  ended_ = true;
  Flush();
}

void Stream::Begin(int status, const HttpHeaders& headers) {
  if (!Start(status, headers)) return;
  if (head_request_ || HasNoBody(status)) {
    framing_ = Framing::kNoBody;
  } else if (http_1_0_) {
    framing_ = Framing::kUntilClose;
    keep_alive_ = false;
  } else {
    framing_ = Framing::kChunked;
    head_ += "Transfer-Encoding: chunked\r\n";
  }
  FlushSoon();
}

void Stream::Write(std::string chunk) {
  if (closed_ || !started_ || ended_ || framing_ == Framing::kNoBody || chunk.empty()) return;
  if (queue_.empty()) {
    queue_ = std::move(chunk);
  } else {
    queue_ += chunk;
  }
  FlushSoon();
}

// Flushes after the callback in progress: a relay often begins, writes and ends a short response in
// one callback, which is then one write instead of three.
void Stream::FlushSoon() {
  std::shared_ptr<Server> server = connection_->server.lock();
  if (flush_posted_ || writing_ || !server) return;
  flush_posted_ = true;
  server->Post([self = shared_from_this()] {
    self->flush_posted_ = false;
    if (!self->head_.empty() || !self->queue_.empty()) self->Flush();
  });
}

void Stream::End() {
  if (closed_ || !started_ || ended_) return;
  ended_ = true;
  Flush();
}

// Hands everything queued to RESTinio as one write. While a write is in progress the queue grows,
// so that chunks of a fast sender share one system call and one HTTP chunk.
void Stream::Flush() {
  if (writing_ || closed_ || end_written_) return;
  restinio::writable_items_container_t items;
  items.reserve(4);
  std::string prefix = std::move(head_);
  head_.clear();
  if (!prefix.empty()) {
    prefix += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
  }
  writing_bytes_ = queue_.size();
  bool chunked = framing_ == Framing::kChunked;
  if (writing_bytes_ > 0 && chunked) {
    char size[24];
    snprintf(size, sizeof(size), "%zx\r\n", writing_bytes_);
    prefix += size;
  }
  if (!prefix.empty()) items.emplace_back(std::move(prefix));
  if (writing_bytes_ > 0) {
    items.emplace_back(std::move(queue_));
    queue_.clear();
    if (chunked) items.emplace_back(ended_ ? "\r\n0\r\n\r\n" : "\r\n");
  } else if (ended_ && chunked) {
    items.emplace_back("0\r\n\r\n");
  }
  end_written_ = ended_;
  writing_ = true;
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

void Stream::OnWritten(const asio::error_code& error, bool final) {
  if (error || closed_) return;  // Close() follows or ran.
  writing_ = false;
  writing_bytes_ = 0;
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
  if (!queue_.empty() || ended_) Flush();
  if (std::function<void()> drained = on_drained_) drained();
}

void Stream::Abort() {
  if (closed_) return;
  on_closed_ = nullptr;
  std::shared_ptr<Server> server = connection_->server.lock();
  std::shared_ptr<Connection> connection = connection_;
  Close();
  // A callback may run inside RESTinio's code for this connection, which must not be closed there.
  if (server) server->Post([connection] { ForceClose(connection); });
}

void Stream::Drop() {
  if (!ended_) Abort();
}

// The connection closed; nothing more is written.
void Stream::Close() {
  if (closed_) return;
  closed_ = true;
  queue_.clear();
  writing_bytes_ = 0;
  handle_ = nullptr;
  on_drained_ = nullptr;
  std::function<void()> fn = std::move(on_closed_);
  on_closed_ = nullptr;
  std::shared_ptr<Server> server = connection_->server.lock();
  if (fn && server) server->PostCallback(std::move(fn));
}

// --- Connection

void ForceClose(const std::shared_ptr<Connection>& connection) {
  auto handle = connection->handle.lock();
  if (!handle) return;
  handle->write_response_parts(
      kUnknownRequest,
      restinio::response_output_flags_t(restinio::response_parts_attr_t::final_parts,
                                        restinio::response_connection_attr_t::connection_close),
      restinio::write_group_t(restinio::writable_items_container_t{}));
  // RESTinio ignores the write while it sends a response that ends the connection. This makes that
  // write fail, after which it closes.
  asio::error_code ignored;
  if (connection->socket) connection->socket->shutdown(tcp::socket::shutdown_both, ignored);
}

void OnConnectionClosed(const std::shared_ptr<Connection>& connection) {
  connection->socket = nullptr;
  connection->closed = true;
  std::vector<std::shared_ptr<Stream>> streams = std::move(connection->streams);
  connection->streams.clear();
  for (const auto& stream : streams) stream->Close();
  if (std::shared_ptr<Server> server = connection->server.lock()) server->OnClosed(*connection);
}

// Takes the socket over from RESTinio when a refusal is due. Earlier responses that are not written
// yet would have to come first, so then the connection is only closed.
bool RefuseAndLinger(const std::shared_ptr<Connection>& connection, tcp::socket* socket) {
  std::shared_ptr<Server> server = connection->server.lock();
  if (!server || !connection->refused || !connection->streams.empty()) return false;
  asio::error_code error;
  tcp::endpoint local = socket->local_endpoint(error);
  if (error) return false;
  auto executor = socket->get_executor();
  int fd = socket->release(error);
  if (error) return false;
  return server->Linger(tcp::socket(executor, local.protocol(), fd), *connection->refused);
}

void ErrorLogger::OnError(const std::string& text) const {
  // "[connection:<id>] parser error <name>: <description>"
  std::shared_ptr<Server> server = server_.lock();
  unsigned long long id = 0;
  char name[64] = "";
  if (!server || sscanf(text.c_str(), "[connection:%llu] parser error %63[^:]", &id, name) != 2) {
    return;
  }
  // RESTinio's callbacks for the end of the headers and for the body fail only on the body limit.
  bool too_large = !strcmp(name, "HPE_CB_headers_complete") || !strcmp(name, "HPE_CB_body");
  server->OnParseError(id, too_large ? ErrorKind::kBodyTooLarge : ErrorKind::kBadRequest);
}

Lingering::~Lingering() {
  if (std::shared_ptr<Server> server = server_.lock()) server->LingeringEnded();
}

// --- Server

std::unique_ptr<Server::Factory> Server::MakeFactory() {
  restinio::server_settings_t<Traits> settings;
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
      .handle_request_timeout(kHandlerTimeLimit)
      .incoming_http_msg_limits(message_limits)
      .logger(weak)
      .request_handler([weak](const restinio::request_handle_t& request) {
        if (std::shared_ptr<Server> server = weak.lock()) server->Handle(request);
        return restinio::request_accepted();
      });
  auto timers = std::make_shared<restinio::asio_timer_manager_t>(io_, check_period);
  auto connection_settings = std::make_shared<restinio::impl::connection_settings_t<Traits>>(
      settings, restinio::impl::create_parser_settings<Traits::http_methods_mapper_t>(), timers);
  auto socket_options = std::make_unique<restinio::socket_options_setter_t>(
      [](restinio::socket_options_t& options) { options.set_option(tcp::no_delay(true)); });
  return std::make_unique<Factory>(std::move(connection_settings), std::move(socket_options));
}

void Server::Listen(const tcp::endpoint& endpoint) {
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  factory_ = MakeFactory();
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
        if (!self->acceptor_.is_open()) return;
        if (!error) {
          self->Adopt(std::move(socket));
          self->Accept();
          return;
        }
        // Out of descriptors or memory: accepting again at once would spin.
        self->retry_timer_.expires_after(kAcceptRetry);
        self->retry_timer_.async_wait([self](const asio::error_code& wait_error) {
          if (!wait_error && self->acceptor_.is_open()) self->Accept();
        });
      });
}

void Server::Adopt(tcp::socket socket) {
  asio::error_code error;
  tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) return;  // closed in the meantime
  if (connections_.size() >= limits_.max_connections) {
    Linger(std::move(socket), ErrorKind::kOverloaded);
    return;
  }
  auto connection = std::make_shared<Connection>();
  connection->server = weak_from_this();
  auto restinio_connection = factory_->create_new_connection(
      TrackedSocket(std::move(socket), connection), remote,
      restinio::connection_count_limit_types<Traits>::lifetime_monitor_t(nullptr));
  connection->id = restinio_connection->connection_id();
  connection->handle = restinio_connection;
  connections_.emplace(connection->id, connection);
  restinio_connection->init();
}

// Connections that the kernel has accepted are served: closing the listening socket would reset
// them.
void Server::StopAccepting() {
  if (!acceptor_.is_open()) return;
  asio::error_code error;
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Adopt(std::move(socket));
  }
  acceptor_.close(error);
  retry_timer_.cancel();
}

void Server::Shutdown() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  handler_ = nullptr;
  auto connections = std::move(connections_);
  connections_.clear();
  for (auto& [id, connection] : connections) {
    connection->server.reset();
    auto streams = std::move(connection->streams);
    connection->streams.clear();
    for (const auto& stream : streams) stream->Close();
    if (connection->socket) connection->socket->shutdown(tcp::socket::shutdown_both, ignored);
  }
}

bool Server::Linger(tcp::socket socket, ErrorKind kind) {
  if (lingering_ >= kMaxLingering) return true;
  ++lingering_;
  std::make_shared<Lingering>(io_, std::move(socket), weak_from_this())->Start(Refusal(kind));
  return true;
}

void Server::OnParseError(restinio::connection_id_t id, ErrorKind kind) {
  auto it = connections_.find(id);
  if (it != connections_.end()) it->second->refused = kind;
}

void Server::OnClosed(const Connection& connection) { connections_.erase(connection.id); }

void Server::Handle(const restinio::request_handle_t& request) {
  auto it = connections_.find(request->connection_id());
  if (it == connections_.end() || !handler_) return;
  std::shared_ptr<Connection> connection = it->second;
  if (connection->last_request) return;

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

  auto stream = std::make_shared<Stream>(connection, request);
  connection->streams.push_back(stream);
  // RESTinio treats CONNECT and requests with an Upgrade header specially: it does not parse
  // another request and does not read while the handler works. They are answered as plain requests.
  bool upgrade = header.connection() == restinio::http_connection_header_t::upgrade;
  connection->last_request = !header.should_keep_alive();
  if (upgrade || connection->streams.size() == kMaxPipelinedRequests) WatchForClose(connection);
  // RESTinio 0.6.16 fails a connection with pipelined requests ("response_context_table is full")
  // when a response is written from inside its request handler: it then reads the next request
  // twice, once after the handler and once after the write.
  asio::post(io_, [self = shared_from_this(), message = std::move(message), stream]() mutable {
    self->CallHandler(std::move(message), stream);
  });
}

void Server::CallHandler(HttpRequest message, const std::shared_ptr<Stream>& stream) {
  if (!handler_ || stream->closed()) return;
  auto responder = std::make_shared<Responder>(stream);
  try {
    handler_(std::move(message), responder);
  } catch (const std::exception&) {
    const ErrorInfo& info = LookupError(ErrorKind::kInternal);
    if (stream->started()) {
      stream->Abort();
    } else {
      stream->Send(info.http_status, {{"content-type", "application/json"}}, ErrorBody(info));
    }
  }
}

// Notices that the client closed while RESTinio does not read. Data that arrives ends the watch:
// RESTinio reads it after the next response.
void Server::WatchForClose(const std::shared_ptr<Connection>& connection) {
  if (!connection->socket) return;
  connection->socket->async_wait(
      tcp::socket::wait_read, [connection](const asio::error_code& error) {
        if (error || !connection->socket) return;
        char byte;
        ssize_t n = recv(connection->socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool gone = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
        if (!gone) return;
        ForceClose(connection);
      });
}

// Owns the server; connections keep only weak references to it.
class ServerHandle : public HttpServer {
 public:
  explicit ServerHandle(std::shared_ptr<Server> server) : server_(std::move(server)) {}
  ~ServerHandle() override { server_->Shutdown(); }
  uint16_t port() const override { return server_->port(); }
  void CloseAfterResponse() override { server_->CloseAfterResponse(); }
  void StopAccepting() override { server_->StopAccepting(); }
  size_t connections() const override { return server_->connections(); }

 private:
  std::shared_ptr<Server> server_;
};

tcp::endpoint ParseAddress(const std::string& address) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos) throw Error(ErrorKind::kInternal, "no port in " + address);
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
  std::string port = address.substr(colon + 1);
  bool digits = !port.empty() && port.size() <= 5 &&
                std::all_of(port.begin(), port.end(), [](unsigned char c) { return isdigit(c); });
  if (!digits || std::stoi(port) > 65535) {
    throw Error(ErrorKind::kInternal, "invalid port in " + address);
  }
  asio::error_code error;
  asio::ip::address ip = asio::ip::make_address(host, error);
  if (error) throw Error(ErrorKind::kInternal, "invalid IP address in " + address);
  return tcp::endpoint(ip, static_cast<uint16_t>(std::stoi(port)));
}

}  // namespace

const std::string& FindHeader(const HttpHeaders& headers, const std::string& name) {
  static const std::string empty;
  for (const auto& [key, value] : headers) {
    if (EqualNoCase(key, name.c_str())) return value;
  }
  return empty;
}

std::unique_ptr<HttpServer> StartHttpServer(asio::io_context& io, const std::string& address,
                                            const HttpLimits& limits, HttpHandler handler) {
  tcp::endpoint endpoint = ParseAddress(address);
  auto server = std::make_shared<Server>(io, limits, std::move(handler));
  try {
    server->Listen(endpoint);
  } catch (const std::system_error& error) {
    throw Error(ErrorKind::kInternal, "cannot listen on " + address + ": " + error.what());
  }
  return std::make_unique<ServerHandle>(std::move(server));
}

}  // namespace ebonylift
