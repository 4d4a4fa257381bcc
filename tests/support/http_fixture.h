#ifndef EBONYLIFT_TESTS_SUPPORT_HTTP_FIXTURE_H_
#define EBONYLIFT_TESTS_SUPPORT_HTTP_FIXTURE_H_

// The fixture of the tests of the HTTP client and server. A test program includes this file after
// Boost.Test.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/time.h"
#include "tests/support/raw_tcp.h"

namespace ebonylift {

inline std::ostream& operator<<(std::ostream& out, CallOutcome outcome) {
  static const char* const names[] = {"kComplete", "kNotConnected", "kNothingWritten", "kFailed",
                                      "kTimedOut"};
  return out << names[static_cast<int>(outcome)];
}

namespace test {

constexpr Duration kHttpTestTimeout = seconds(10);

// What a call passed to its callbacks.
struct Reply {
  bool done = false;
  int on_headers_calls = 0;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  CallResult result;
};

// An HTTP server and client on one event loop, which the test runs. The server is started by
// Serve().
struct HttpFixture {
  // Runs the event loop until the condition is true; fails the case after kHttpTestTimeout.
  void RunUntil(const std::function<bool()>& condition, const char* description) {
    auto deadline = SteadyNow() + kHttpTestTimeout;
    while (!condition() && SteadyNow() < deadline) io.run_one_for(milliseconds(20));
    BOOST_REQUIRE_MESSAGE(condition(), "timed out waiting until " << description);
  }
  void RunFor(Duration time) {
    auto end = SteadyNow() + time;
    while (SteadyNow() < end) io.run_one_for(milliseconds(5));
  }

  void Serve(HttpHandler handler) {
    server = StartHttpServer(io, "127.0.0.1:0", limits, std::move(handler));
  }
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(server->port()) + path;
  }
  // Connects to the server.
  std::shared_ptr<RawPeer> Connect() {
    asio::ip::tcp::socket socket(io);
    socket.connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->Read();
    return peer;
  }

  // Starts a call whose callbacks record what they get in `reply`, which must outlive the call.
  // Only an on_data callback that `call` already has is kept.
  CallId Start(HttpCall call, Reply* reply) {
    call.on_headers = [reply](int status, const HttpHeaders& headers) {
      ++reply->on_headers_calls;
      reply->status = status;
      reply->headers = headers;
    };
    if (!call.on_data) {
      call.on_data = [reply](std::string_view data) {
        reply->body.append(data);
        return true;
      };
    }
    call.on_done = [reply](const CallResult& result) {
      BOOST_TEST(!reply->done);
      reply->done = true;
      reply->result = result;
    };
    return client->Start(std::move(call));
  }
  // Starts a call and runs the event loop until it is done.
  Reply Fetch(HttpCall call) {
    Reply reply;
    Start(std::move(call), &reply);
    BOOST_TEST(!reply.done);
    RunUntil([&] { return reply.done; }, "the call is done");
    return reply;
  }
  HttpCall Get(const std::string& url) {
    HttpCall call;
    call.url = url;
    return call;
  }
  HttpCall Post(const std::string& url, std::string body) {
    HttpCall call;
    call.method = "POST";
    call.url = url;
    call.body = std::move(body);
    return call;
  }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard{io.get_executor()};
  HttpLimits limits;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = MakeHttpClient(io);
};

// Answers with the parts of the request as headers, and with its body.
inline HttpHandler Echo() {
  return [](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    responder->Send(200,
                    {{"x-method", request.method},
                     {"x-path", request.path},
                     {"x-query", request.query},
                     {"x-seen", FindHeader(request.headers, "X-Sent")},
                     {"x-accept", FindHeader(request.headers, "accept")},
                     {"x-expect", FindHeader(request.headers, "expect")}},
                    request.body);
  };
}

}  // namespace test
}  // namespace ebonylift

#endif  // EBONYLIFT_TESTS_SUPPORT_HTTP_FIXTURE_H_
