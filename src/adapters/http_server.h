#ifndef EBONYLIFT_ADAPTERS_HTTP_SERVER_H_
#define EBONYLIFT_ADAPTERS_HTTP_SERVER_H_

// HTTP/1.1 server on one Asio io_context.
//
// A server is used only on the thread that runs `io`: the handler and all callbacks run on that
// thread, and all methods of HttpServer and HttpResponder must be called on it. Several servers,
// for example one per thread, may listen on the same address (SO_REUSEPORT). HttpLimits bounds the
// memory that requests use per connection.
//
// This header does not include RESTinio, because a file that does takes about 14 s to compile.

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

// Returns the value of the first header with this name, ignoring case, or an empty string.
const std::string& FindHeader(const HttpHeaders& headers, const std::string& name);

struct HttpRequest {
  std::string method;  // upper case
  std::string path;    // without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  std::string body;
  std::string remote_address;  // the IP address of the client, without the port
};

struct HttpLimits {
  size_t max_url_bytes = 8 << 10;
  size_t max_header_bytes = 16 << 10;  // per header value
  size_t max_headers = 100;
  size_t max_body_bytes = 8 << 20;
  Duration read_timeout = seconds(10);   // to receive a whole request, or while idle
  size_t max_connections = 4096;         // further ones get `overloaded` and are closed
  size_t max_kept_connections = 4096;    // with more open ones, each response ends its connection
  Duration write_timeout = seconds(60);  // per write; closes clients that do not read
};

// Sends the response to one request: either one Send(), or Begin(), any number of Write() and
// End(). Calls after the connection closed do nothing. Destroying the responder before the response
// has ended closes the connection.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a complete response and adds Content-Length.
  virtual void Send(int status, const HttpHeaders& headers, std::string body) = 0;

  // Starts a response with chunked transfer encoding. Data passed to Write() during one callback is
  // sent together after it, and chunks are merged while an earlier write is in progress.
  virtual void Begin(int status, const HttpHeaders& headers) = 0;
  virtual void Write(std::string chunk) = 0;
  virtual void End() = 0;

  // Closes the connection without ending the response, so that the client sees it as truncated.
  virtual void Abort() = 0;

  // Bytes passed to Write() that the kernel has not accepted yet.
  virtual size_t PendingBytes() const = 0;

  // Sets the function that runs each time pending bytes have been written to the socket.
  virtual void OnDrained(std::function<void()> fn) = 0;

  // Sets the function that runs once if the connection closes before the response is complete,
  // unless this responder aborted it. It runs from the event loop and never after the server is
  // destroyed. A client that closes only its sending side counts as closed.
  virtual void OnClosed(std::function<void()> fn) = 0;

  // Whether the client has closed the connection. Looks at the socket, so it is also true while the
  // close waits behind other events and the OnClosed() callback has not run.
  virtual bool ClosedByClient() const = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // The port that the server listens on, also when port 0 was requested.
  virtual uint16_t port() const = 0;

  // Responses that start from now on carry `Connection: close`. While several pipelined requests of
  // one connection are in progress, only the response to the latest one does.
  virtual void DisableKeepAlive() = 0;

  // Stops accepting connections. Open connections stay open. Connections that wait in the kernel's
  // accept queue, and those that are being established, are still served, because closing the
  // listening socket would reset them; it closes a moment later. Attempts in that moment are
  // ignored, so their clients are refused when they repeat them.
  virtual void StopAccepting() = 0;

  // As StopAccepting(), but the listening socket is closed when the call returns, so that another
  // one may be bound to its address. Connections that are being established are reset.
  virtual void StopAcceptingAtOnce() = 0;

  // The number of open connections, plus one while others may still be established after
  // StopAccepting().
  virtual size_t connection_count() const = 0;
};

// Starts listening on `address`, which is ip:port, with an IPv6 address in brackets. Port 0 selects
// a free port. Throws Error(kInternal) if the address is invalid or cannot be bound. No connection
// is served before `io` runs.
std::unique_ptr<HttpServer> StartHttpServer(asio::io_context& io, const std::string& address,
                                            const HttpLimits& limits, HttpHandler handler);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_SERVER_H_
