#ifndef EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_
#define EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_

// HTTP/1.1 client that drives libcurl's multi interface from one Asio io_context, without a thread
// per call and without blocking. All methods and callbacks run on the thread that runs `io`. A
// callback may call any method, but on_headers and on_data must not destroy the client.

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http_server.h"

namespace ebonylift {

using CallId = uint64_t;

// A response that RFC 9112 does not define is kFailed, and nothing of a malformed head is passed
// on.
enum class CallOutcome {
  kComplete,        // the complete response was received
  kNotConnected,    // no connection was established, so nothing was sent
  kNothingWritten,  // connected, but no byte of the request was written
  kFailed,          // failed after at least one byte of the request was written
  kTimedOut,        // the deadline passed after at least one byte was written
};

// Returns the snake_case name that log lines and metrics use. Thread safe.
const char* CallOutcomeName(CallOutcome outcome);

struct CallResult {
  CallOutcome outcome = CallOutcome::kFailed;
  int status = 0;     // 0 if no status line was received
  std::string error;  // description for logs
  // kNotConnected: the errno with which connecting failed, for example ECONNREFUSED where nothing
  // listens, or ECONNRESET where the connection was accepted and reset at once; 0: none, as after a
  // timeout.
  int connect_errno = 0;
  bool body_received = false;  // at least one body byte was received
};

struct HttpCall {
  std::string method = "GET";
  std::string url;  // http://ip:port/path, optionally with a query
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = seconds(1);
  Duration timeout = seconds(60);  // for the whole call
  Duration idle_timeout{0};        // fails after this long without received data; 0: no limit
  // Value of TCP_USER_TIMEOUT: the kernel drops the connection when sent data stays unacknowledged
  // for this long, even while this process is stopped and cannot apply `timeout`. 0: the system
  // default. Applies only to connections that the call opens, so set `new_connection` as well.
  Duration unacknowledged_timeout{0};
  // Opens a new connection and closes it after the call. Required for requests that must not be
  // sent twice: libcurl silently retries a request when a reused connection turns out to be closed.
  bool new_connection = false;
  // Ends as kComplete, with status 0, when the connection is established; nothing is sent. Implies
  // `new_connection`.
  bool connect_only = false;

  // Runs at most once, when the headers of the final response are complete.
  std::function<void(int status, const HttpHeaders&)> on_headers;
  // Returns false to pause reading. After Resume() the same data is delivered again.
  std::function<bool(std::string_view)> on_data;
  // Runs exactly once, after all other callbacks, unless the call was cancelled. If only the end of
  // the connection ends a success, and the request has a body, this is 50 ms after that end: a
  // reset in that time shows that the server has not read the request.
  std::function<void(const CallResult&)> on_done;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // Starts a call. Its callbacks never run inside Start().
  virtual CallId Start(HttpCall call) = 0;

  // Ends a call. None of its callbacks run afterwards. Unknown ids are ignored.
  virtual void Cancel(CallId id) = 0;

  // Resumes a call that on_data paused. Unknown ids are ignored.
  virtual void Resume(CallId id) = 0;
};

// `io` must outlive the client. Connections are opened from the IP address `source_address`; if it
// is empty, the kernel chooses one.
std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context& io, std::string source_address = "");

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_
