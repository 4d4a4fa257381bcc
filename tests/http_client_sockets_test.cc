#define BOOST_TEST_MODULE http_client_sockets
#include <sys/socket.h>
#include <unistd.h>

#include <asio.hpp>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <string>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/descriptor_claim.h"

namespace ebonylift {
namespace {

using asio::ip::tcp;

constexpr Duration kTestTimeout = seconds(10);
constexpr Duration kCallTimeout = milliseconds(400);
// Linux sends the first packet of a connection again after 1 s if it was not answered.
constexpr Duration kSynRetransmitted = milliseconds(1300);
// Enough for the two threads to meet: if connecting sockets are claimed, dozens to thousands of
// these calls are reported as conflicts.
constexpr int kConnectTimeouts = 20000;
constexpr int kReopenedDescriptors = 100000;
constexpr Duration kThreadsTimeout = seconds(60);
constexpr int kConcurrentCalls = 20;

tcp::endpoint Loopback() { return tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0); }

std::string UrlOf(uint16_t port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

constexpr const char* kEmptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Returns what has arrived on the connection.
std::string ReadAvailable(tcp::socket& socket) {
  std::string received(socket.available(), '\0');
  received.resize(socket.read_some(asio::buffer(received)));
  return received;
}

// A listener whose queue of new connections is full, so that connects to it get no answer until
// MakeSpace().
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : acceptor_(io, tcp::v4()), filler_(io), queued_(io) {
    acceptor_.bind(Loopback());
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());
  }
  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void MakeSpace() { acceptor_.accept(queued_); }

 private:
  tcp::acceptor acceptor_;
  tcp::socket filler_;
  tcp::socket queued_;
};

// What a call passed to its callbacks.
struct Reply {
  bool done = false;
  std::string body;
  CallResult result;
};

struct Fixture {
  Fixture() {
    server = StartHttpServer(
        io, "127.0.0.1:0", limits,
        [](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          responder->Send(200, {}, request.path);
        });
  }

  CallId Start(const std::string& url, Duration timeout, Reply* reply) {
    HttpCall call;
    call.url = url;
    call.connect_timeout = milliseconds(500);
    call.timeout = timeout;
    call.new_connection = true;
    call.on_data = [reply](std::string_view data) {
      reply->body.append(data);
      return true;
    };
    call.on_done = [reply](const CallResult& result) {
      reply->done = true;
      reply->result = result;
    };
    return client->Start(std::move(call));
  }
  void RunFor(Duration time) {
    Time end = SteadyNow() + time;
    while (SteadyNow() < end) io.run_one_for(milliseconds(5));
  }
  void RunUntil(const std::function<bool()>& condition, const char* description) {
    Time deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) io.run_one_for(milliseconds(20));
    BOOST_REQUIRE_MESSAGE(condition(), "timed out waiting until " << description);
  }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard{io.get_executor()};
  HttpLimits limits;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = MakeHttpClient(io);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_sockets, Fixture)

// Guards against two owners of one descriptor number. libcurl closes the socket of a call that
// times out while it connects, and the next socket gets the number. The client must not close that
// socket: its number would go to a connection of the server, whose caller would get the request of
// a call.
BOOST_AUTO_TEST_CASE(SocketOpenedAfterATimeoutWhileConnectingIsLeftAlone) {
  uint64_t conflicts = DescriptorConflictCount();
  FullListener full(io);
  tcp::acceptor backend(io, Loopback());
  tcp::socket backend_connection(io);
  tcp::socket caller(io, tcp::v4());

  Reply timed_out;
  Reply answered;
  Time start = SteadyNow();
  Start(UrlOf(full.port(), "/timed-out"), kCallTimeout, &timed_out);
  Start(UrlOf(backend.local_endpoint().port(), "/answered"), seconds(5), &answered);
  RunFor(milliseconds(50));
  backend.accept(backend_connection);
  RunFor(milliseconds(50));

  // The thread is busy until a response, the timeout, a new call, a late connect and a caller wait
  // for it, in this order.
  std::this_thread::sleep_until(start + kCallTimeout + milliseconds(50));
  asio::write(backend_connection, asio::buffer(std::string(kEmptyResponse)));
  Reply next;
  Start(UrlOf(server->port(), "/next"), seconds(5), &next);
  full.MakeSpace();
  std::this_thread::sleep_until(start + kSynRetransmitted);
  caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
  asio::write(caller, asio::buffer(std::string("GET /caller HTTP/1.1\r\nHost: x\r\n\r\n")));
  RunUntil([&] { return timed_out.done && answered.done; }, "the first calls are done");
  BOOST_TEST((timed_out.result.outcome == CallOutcome::kNotConnected));
  BOOST_TEST((answered.result.outcome == CallOutcome::kComplete));

  RunUntil([&] { return next.done; }, "the next call is done");
  RunFor(milliseconds(50));
  BOOST_TEST((next.result.outcome == CallOutcome::kComplete));
  BOOST_TEST(next.body == "/next");
  BOOST_TEST(ReadAvailable(caller) == "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n/caller");
  BOOST_TEST(DescriptorConflictCount() == conflicts);
}

// Guards against false reports: libcurl closes the socket of a call that times out while it
// connects before it tells the client, and another thread may open and claim the number in between.
BOOST_AUTO_TEST_CASE(TimeoutWhileConnectingIsNoConflictWithAnotherThread) {
  uint64_t conflicts = DescriptorConflictCount();
  FullListener full(io);
  std::atomic<bool> stop{false};
  std::atomic<int> reopened{0};
  std::thread other([&stop, &reopened] {
    for (; !stop; ++reopened) {
      int fd = socket(AF_INET, SOCK_STREAM, 0);
      { DescriptorClaim claim(fd, DescriptorUser::kServerConnection); }
      close(fd);
    }
  });

  int timeouts = 0;
  std::function<void()> start_call = [&] {
    HttpCall call;
    call.url = UrlOf(full.port(), "/timed-out");
    call.timeout = milliseconds(1);
    call.on_done = [&](const CallResult&) {
      ++timeouts;
      start_call();
    };
    client->Start(std::move(call));
  };
  for (int i = 0; i < kConcurrentCalls; ++i) start_call();
  auto enough = [&] { return timeouts >= kConnectTimeouts && reopened >= kReopenedDescriptors; };
  Time deadline = SteadyNow() + kThreadsTimeout;
  while (!enough() && SteadyNow() < deadline) io.run_one_for(milliseconds(20));
  stop = true;
  other.join();
  client.reset();

  BOOST_TEST(enough());
  BOOST_TEST(DescriptorConflictCount() == conflicts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift
