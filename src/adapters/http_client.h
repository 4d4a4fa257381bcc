#ifndef EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_
#define EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_

// HTTP/1.1 client: libcurl's multi interface driven by one Asio io_context. No thread per call, no
// blocking call. All methods and callbacks run on the thread that runs `io`. A callback may call
// any method, but on_headers and on_data must not destroy the client.

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http_server.h"

namespace ebonylift {

using CallId = uint64_t;

enum class CallOutcome {
  kComplete,        // a whole response arrived
  kNotConnected,    // no connection: nothing was sent
  kNothingWritten,  // connected, but no byte of the request was written
  kFailed,          // failed after at least one byte of the request was written
  kTimedOut,        // the deadline passed after at least one byte was written
};

// In lower case with '_', as in log lines and metrics. Thread safe.
const char* CallOutcomeName(CallOutcome outcome);

struct CallResult {
  CallOutcome outcome = CallOutcome::kFailed;
  int status = 0;         // 0 when no status line arrived
  std::string error;      // for logs
  bool got_body = false;  // at least one body byte arrived
};

struct HttpCall {
  std::string method = "GET";
  std::string url;  // http://ip:port/path
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = seconds(1);
  Duration timeout = seconds(60);  // for the whole call
  Duration idle_timeout{0};        // fail when no byte arrives for this long; 0: no limit
  // The kernel gives up the connection when sent bytes stay unacknowledged for this long, also
  // while this process is stopped and cannot apply `timeout`. 0: the default of the system. Applies
  // to connections that the call opens, so it is used together with `new_connection`.
  Duration unacknowledged_timeout{0};
  // libcurl silently repeats a request when a reused connection turns out to be closed, so a call
  // that must not be repeated uses a new connection.
  // Such a connection is not kept afterwards.
  bool new_connection = false;

  std::function<void(int status, const HttpHeaders&)> on_headers;
  // Return false to pause reading; Resume() continues. The data is delivered again after a pause.
  std::function<bool(std::string_view)> on_data;
  // Runs exactly once, last, unless the call was cancelled.
  std::function<void(const CallResult&)> on_done;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // Starts a call; callbacks never run inside Start().
  virtual CallId Start(HttpCall call) = 0;

  // Ends a call; none of its callbacks run afterwards. Unknown ids are ignored.
  virtual void Cancel(CallId id) = 0;

  // Continues a call that on_data paused. Unknown ids are ignored.
  virtual void Resume(CallId id) = 0;
};

// Precondition: `io` outlives the client.
std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context& io);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_CLIENT_H_
