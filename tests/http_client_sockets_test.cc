#define BOOST_TEST_MODULE http_client_sockets
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <asio.hpp>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/descriptor_claim.h"
#include "tests/support/http_fixture.h"

namespace {
// Makes the next addition to an epoll set fail, as when the limit of watched descriptors is
// reached.
bool fail_next_epoll_add = false;
}  // namespace

// Replaces the function of the C library in the whole process, including Asio.
extern "C" int epoll_ctl(int epoll_fd, int operation, int fd, epoll_event* event) {
  if (fail_next_epoll_add && operation == EPOLL_CTL_ADD) {
    fail_next_epoll_add = false;
    errno = ENOSPC;
    return -1;
  }
  return static_cast<int>(syscall(SYS_epoll_ctl, epoll_fd, operation, fd, event));
}

namespace ebonylift {
namespace {

using asio::ip::tcp;
using test::kHttpTestTimeout;
using test::Reply;

// Ends before Linux sends the first packet of an unanswered connection again, which is after 1 s.
constexpr Duration kCallTimeout = milliseconds(800);
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

// Returns what a caller sends to request the path.
std::string RequestOf(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// Returns what a caller receives from a server that answers with the path.
std::string ResponseTo(const std::string& path) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
}

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
  // Waits for a late connect after MakeSpace(). No event loop runs meanwhile.
  void WaitForConnection() {
    pollfd listener = {acceptor_.native_handle(), POLLIN, 0};
    BOOST_REQUIRE(poll(&listener, 1, static_cast<int>(ToMillis(kHttpTestTimeout))) == 1);
  }
  // Accepts all connections from now on, and keeps them open.
  void KeepAccepting() {
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket connection) {
      if (error) return;
      accepted_.push_back(std::move(connection));
      KeepAccepting();
    });
  }
  // Refuses all connections from now on.
  void Close() { acceptor_.close(); }

 private:
  tcp::acceptor acceptor_;
  tcp::socket filler_;
  tcp::socket queued_;
  std::vector<tcp::socket> accepted_;
};

// A client, and a server that answers with the path of the request.
struct Fixture : test::HttpFixture {
  Fixture() {
    Serve([](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
      responder->Send(200, {}, request.path);
    });
  }

  using HttpFixture::Start;
  // Starts a call on a new connection.
  CallId Start(const std::string& url, Duration timeout, Reply* reply) {
    HttpCall call = Get(url);
    call.connect_timeout = milliseconds(500);
    call.timeout = timeout;
    call.new_connection = true;
    return Start(std::move(call), reply);
  }
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
  BOOST_REQUIRE(!timed_out.done);
  std::this_thread::sleep_until(start + kCallTimeout + milliseconds(50));
  asio::write(backend_connection, asio::buffer(std::string(kEmptyResponse)));
  Reply next;
  Start(UrlOf(server->port(), "/next"), seconds(5), &next);
  full.MakeSpace();
  full.WaitForConnection();
  caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
  asio::write(caller, asio::buffer(RequestOf("/caller")));
  RunUntil([&] { return timed_out.done && answered.done; }, "the first calls are done");
  BOOST_TEST((timed_out.result.outcome == CallOutcome::kNotConnected));
  BOOST_TEST((answered.result.outcome == CallOutcome::kComplete));

  RunUntil([&] { return next.done; }, "the next call is done");
  RunFor(milliseconds(50));
  BOOST_TEST((next.result.outcome == CallOutcome::kComplete));
  BOOST_TEST(next.body == "/next");
  BOOST_TEST(ReadAvailable(caller) == ResponseTo("/caller"));
  BOOST_TEST(DescriptorConflictCount() == conflicts);
}

// Guards against two owners of one descriptor number, as above, after a call that the daemon
// cancels while it connects: libcurl closes its socket, too.
BOOST_AUTO_TEST_CASE(SocketOpenedAfterACancelWhileConnectingIsLeftAlone) {
  uint64_t conflicts = DescriptorConflictCount();
  FullListener full(io);
  tcp::acceptor backend(io, Loopback());
  tcp::socket backend_connection(io);
  tcp::socket canceller(io);
  tcp::socket cancel_sender(io);
  tcp::socket caller(io, tcp::v4());
  cancel_sender.connect(backend.local_endpoint());
  backend.accept(canceller);

  HttpCall connecting;
  connecting.url = UrlOf(full.port(), "/cancelled");
  connecting.connect_timeout = kHttpTestTimeout;
  connecting.new_connection = true;
  Reply cancelled;
  Reply answered;
  Reply next;
  CallId cancelled_id = Start(std::move(connecting), &cancelled);
  canceller.async_wait(tcp::socket::wait_read, [&](const asio::error_code&) {
    client->Cancel(cancelled_id);
    Start(UrlOf(server->port(), "/next"), seconds(5), &next);
  });
  Start(UrlOf(backend.local_endpoint().port(), "/answered"), seconds(5), &answered);
  RunFor(milliseconds(50));
  backend.accept(backend_connection);
  RunFor(milliseconds(50));

  // The thread is busy until the cancel, a response, a late connect and a caller wait for it, in
  // this order. When libcurl handles the response, it opens the socket of the next call.
  asio::write(cancel_sender, asio::buffer("x", 1));
  asio::write(backend_connection, asio::buffer(std::string(kEmptyResponse)));
  full.MakeSpace();
  full.WaitForConnection();
  caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
  asio::write(caller, asio::buffer(RequestOf("/caller")));
  RunUntil([&] { return answered.done; }, "the first call is done");
  BOOST_TEST((answered.result.outcome == CallOutcome::kComplete));

  RunUntil([&] { return next.done; }, "the next call is done");
  RunFor(milliseconds(50));
  BOOST_TEST((next.result.outcome == CallOutcome::kComplete));
  BOOST_TEST(next.body == "/next");
  BOOST_TEST(ReadAvailable(caller) == ResponseTo("/caller"));
  BOOST_TEST(!cancelled.done);
  BOOST_TEST(DescriptorConflictCount() == conflicts);
}

// Guards against a call that waits until its timeout because its socket cannot be polled.
BOOST_AUTO_TEST_CASE(CallWhoseSocketCannotBePolledFailsAtOnce) {
  HttpCall call;
  call.url = UrlOf(server->port(), "/first");
  Reply first;
  Start(call, &first);
  RunUntil([&] { return first.done; }, "the first call is done");
  BOOST_TEST((first.result.outcome == CallOutcome::kComplete));

  // The second call uses the connection of the first one, so its request is written before the
  // polling starts.
  Reply second;
  Time start = SteadyNow();
  Start(call, &second);
  fail_next_epoll_add = true;
  RunUntil([&] { return second.done; }, "the second call is done");
  BOOST_TEST(!fail_next_epoll_add);
  BOOST_TEST((second.result.outcome == CallOutcome::kFailed));
  BOOST_TEST(second.result.error.find("cannot poll the socket") == 0u);
  BOOST_TEST((SteadyNow() - start < seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

// Load of random calls and callers, from a seed.
struct MixedLoad : Fixture {
  static constexpr uint32_t kSeed = 20261204;
  static constexpr Duration kRunTime = milliseconds(3500);
  // Connects start in this time, so that the packets that are sent again fall into the run time.
  static constexpr Duration kConnectTime = milliseconds(2400);
  static constexpr Duration kListenerPeriod = milliseconds(200);
  static constexpr Duration kListenerFull = milliseconds(900);

  struct Caller {
    explicit Caller(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string request;
    std::string expected;
    std::string received;
    asio::error_code error;
  };
  struct IdCall {
    std::string path;
    Reply reply;
  };
  struct ConnectingCall {
    CallId id = 0;
    Time cancel_at;
    Reply reply;
  };
  struct Listener {
    Listener(asio::io_context& io, Time now) : full(io), opened(now) {}
    FullListener full;
    Time opened;
    bool has_space = false;
  };

  int64_t Random(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(rng);
  }
  std::string NewPath() { return "/id-" + std::to_string(++last_id); }

  // A call that is cancelled or times out close to the time of its late connect, about 1 s.
  void StartConnect() {
    auto connecting = std::make_unique<ConnectingCall>();
    HttpCall call;
    call.url = UrlOf(listeners.back()->full.port(), "/connecting");
    call.new_connection = true;
    Duration end = milliseconds(Random(985, 1015));
    bool cancel = Random(0, 1) == 0;
    call.connect_timeout = cancel ? kHttpTestTimeout : end;
    call.timeout = seconds(2);
    connecting->cancel_at = SteadyNow() + (cancel ? end : kHttpTestTimeout);
    connecting->id = Start(std::move(call), &connecting->reply);
    connecting_calls.push_back(std::move(connecting));
  }
  void CancelDueConnects() {
    for (const auto& connecting : connecting_calls) {
      if (SteadyNow() >= connecting->cancel_at) client->Cancel(connecting->id);
    }
  }
  void StartIdCall() {
    auto id_call = std::make_unique<IdCall>();
    id_call->path = NewPath();
    HttpCall call;
    call.url = UrlOf(server->port(), id_call->path);
    call.connect_timeout = kHttpTestTimeout;
    call.timeout = kHttpTestTimeout;
    call.new_connection = Random(0, 3) > 0;
    Start(std::move(call), &id_call->reply);
    id_calls.push_back(std::move(id_call));
  }
  void StartCaller() {
    callers.push_back(std::make_unique<Caller>(io));
    Caller& caller = *callers.back();
    std::string path = NewPath();
    caller.request = RequestOf(path);
    caller.expected = ResponseTo(path);
    tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), server->port());
    caller.socket.async_connect(endpoint, [this, &caller](const asio::error_code& error) {
      caller.error = error;
      if (!error) Write(caller);
    });
  }
  void Write(Caller& caller) {
    asio::async_write(caller.socket, asio::buffer(caller.request),
                      [this, &caller](const asio::error_code& error, size_t) {
                        caller.error = error;
                        if (!error) Read(caller);
                      });
  }
  // Cancels due connects at an answer, as the daemon does at the events of its callers. Late
  // connects may already be queued behind it.
  void Read(Caller& caller) {
    asio::async_read(caller.socket, asio::dynamic_buffer(caller.received, caller.expected.size()),
                     [this, &caller](const asio::error_code& error, size_t) {
                       caller.error = error;
                       caller.socket.close();
                       CancelDueConnects();
                     });
  }
  void ReplaceListeners() {
    Time now = SteadyNow();
    if (listeners.empty() || now - listeners.back()->opened >= kListenerPeriod) {
      listeners.push_back(std::make_unique<Listener>(io, now));
    }
    for (const auto& listener : listeners) {
      if (listener->has_space || now - listener->opened < kListenerFull) continue;
      listener->has_space = true;
      if (Random(0, 1) == 0) {
        listener->full.KeepAccepting();
      } else {
        listener->full.Close();
      }
    }
  }
  bool AllAnswered() const {
    for (const auto& id_call : id_calls) {
      if (!id_call->reply.done) return false;
    }
    for (const auto& caller : callers) {
      if (!caller->error && caller->received.size() < caller->expected.size()) return false;
    }
    return true;
  }

  std::mt19937 rng{kSeed};
  int last_id = 0;
  std::vector<std::unique_ptr<Listener>> listeners;
  std::vector<std::unique_ptr<ConnectingCall>> connecting_calls;
  std::vector<std::unique_ptr<IdCall>> id_calls;
  std::vector<std::unique_ptr<Caller>> callers;
};

BOOST_FIXTURE_TEST_SUITE(http_client_sockets_load, MixedLoad)

// Guards against any other order of events that gives a connection two users: connects to full
// listeners end by a timeout or a cancel close to their late connects, while the numbers of their
// sockets go to calls and to connections of the server. Each answer must carry the id of its
// request.
BOOST_AUTO_TEST_CASE(AnswersCarryTheIdsOfTheirRequests) {
  uint64_t conflicts = DescriptorConflictCount();
  Time start = SteadyNow();
  while (SteadyNow() < start + kRunTime) {
    ReplaceListeners();
    for (int64_t n = Random(1, 4); n > 0 && SteadyNow() < start + kConnectTime; --n) StartConnect();
    StartIdCall();
    StartCaller();
    RunFor(milliseconds(Random(0, 3)));
    // Events, and calls that have no socket yet, wait for a thread that is busy.
    if (Random(0, 1) == 0) continue;
    for (int64_t n = Random(1, 4); n > 0; --n) StartIdCall();
    std::this_thread::sleep_for(milliseconds(Random(10, 40)));
  }
  RunUntil([&] { return AllAnswered(); }, "all requests are answered");

  for (const auto& id_call : id_calls) {
    BOOST_TEST_CONTEXT("call " << id_call->path << " of seed " << kSeed) {
      BOOST_TEST((id_call->reply.result.outcome == CallOutcome::kComplete));
      BOOST_TEST(id_call->reply.body == id_call->path);
    }
  }
  for (const auto& caller : callers) {
    BOOST_TEST_CONTEXT("caller of seed " << kSeed) {
      BOOST_TEST(!caller->error);
      BOOST_TEST(caller->received == caller->expected);
    }
  }
  BOOST_TEST_MESSAGE(connecting_calls.size() << " connects, " << id_calls.size() << " calls, "
                                             << callers.size() << " callers");
  BOOST_TEST(!connecting_calls.empty());
  BOOST_TEST(!id_calls.empty());
  BOOST_TEST(!callers.empty());
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
