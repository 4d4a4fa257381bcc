#ifndef EBONYLIFT_ADAPTERS_HTTP_SERVER_H_
#define EBONYLIFT_ADAPTERS_HTTP_SERVER_H_

// HTTP/1.1 server on one Asio io_context.
//
// One HttpServer belongs to one thread that runs `io`; several servers may listen on the same
// address (SO_REUSEPORT). The handler and all callbacks run on that thread, and all methods of
// HttpResponder are called on it. Memory per connection is bounded by the limits.
//
// This header does not include RESTinio: a file that does takes about 14 s to compile.

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace ebonylift {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first value of a header, compared without case; empty when it is absent.
const std::string& FindHeader(const HttpHeaders& headers, const std::string& name);

struct HttpRequest {
  std::string method;  // upper case
  std::string path;    // without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  std::string body;
  std::string remote_address;
};

struct HttpLimits {
  size_t max_url_bytes = 8 << 10;
  size_t max_header_bytes = 16 << 10;  // one header value
  size_t max_headers = 100;
  size_t max_body_bytes = 8 << 20;
  Duration read_timeout = seconds(10);   // for one whole message and for an idle connection
  size_t max_connections = 4096;         // one more gets `overloaded` and is closed
  Duration write_timeout = seconds(60);  // for one write; a caller that reads nothing is closed
};

// The response to one request: either one Send(), or Begin(), any number of Write(), End().
// Calls after the connection closed do nothing. Dropping the responder without an answer closes the
// connection.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a whole response. Content-Length is added.
  virtual void Send(int status, const HttpHeaders& headers, std::string body) = 0;

  // Starts a response with chunked transfer encoding. What is written within one callback is sent
  // together after it; while the socket is busy, chunks are joined.
  virtual void Begin(int status, const HttpHeaders& headers) = 0;
  virtual void Write(std::string chunk) = 0;
  virtual void End() = 0;

  // Closes the connection without ending the response, so that the caller sees a truncated message.
  virtual void Abort() = 0;

  // Bytes handed to Write() that are not yet passed to the kernel.
  virtual size_t PendingBytes() const = 0;

  // `fn` runs each time pending bytes were written to the socket.
  virtual void OnDrained(std::function<void()> fn) = 0;

  // `fn` runs once if the connection closes before the response is complete, except by this
  // responder's Abort(). It runs from the event loop, and not after the server was destroyed. A
  // caller that closes only its sending side counts as closed.
  virtual void OnClosed(std::function<void()> fn) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // The port in use; differs from the requested one when that was 0.
  virtual uint16_t port() const = 0;

  // From now on every response carries `Connection: close`, unless a later request of the same
  // connection is already in progress; that one's response carries it.
  virtual void CloseAfterResponse() = 0;

  // Stops accepting connections; open requests go on. Connections that the kernel has accepted are
  // served, as closing the listening socket would reset them.
  virtual void StopAccepting() = 0;

  // Connections that are open now.
  virtual size_t connections() const = 0;
};

// Starts listening. `address` is host:port with an IP number; port 0 takes a free one.
// Throws Error(kInternal) when the address cannot be bound. Runs nothing until `io` runs.
std::unique_ptr<HttpServer> StartHttpServer(asio::io_context& io, const std::string& address,
                                            const HttpLimits& limits, HttpHandler handler);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_SERVER_H_
