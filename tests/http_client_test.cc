#define BOOST_TEST_MODULE http_client
#include "adapters/http_client.h"

#include <sys/socket.h>

#include <asio.hpp>
#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <list>

#include "adapters/http_server.h"
#include "tests/support/http_fixture.h"

namespace {
// Makes the next send() of this process fail, so that a test can break a connection after it is
// established and before the first byte of the request is written.
bool fail_next_send = false;
}  // namespace

// Replaces the function of the C library in the whole process, including libcurl.
extern "C" ssize_t send(int fd, const void* data, size_t size, int flags) {
  if (fail_next_send) {
    fail_next_send = false;
    errno = ECONNRESET;
    return -1;
  }
  return sendto(fd, data, size, flags, nullptr, 0);
}

namespace ebonylift::test {

using asio::ip::tcp;

BOOST_FIXTURE_TEST_SUITE(Http, HttpFixture)

// Guards against an outcome that is wrong about whether any of the request was written, and so
// about whether the server may have run it.
BOOST_AUTO_TEST_CASE(FailureBeforeTheRequestIsWritten) {
  std::string url;
  {
    RawServer closed_server(io);
    url = closed_server.Url();
  }
  Reply refused = Fetch(Post(url, "body"));
  BOOST_TEST(refused.result.outcome == CallOutcome::kNotConnected);
  BOOST_TEST(refused.result.status == 0);
  BOOST_TEST(!refused.result.error.empty());
  BOOST_TEST(refused.result.connect_errno == ECONNREFUSED);

  BOOST_TEST(Fetch(Get("nonsense://x")).result.outcome == CallOutcome::kNotConnected);
  BOOST_TEST(Fetch(Get("http://127.0.0.1:1:1/")).result.outcome == CallOutcome::kNotConnected);

  RawServer raw(io);
  Reply reset;
  Start(Post(raw.Url(), "body"), &reset);
  fail_next_send = true;
  RunUntil([&] { return reset.done; }, "the call is done");
  BOOST_TEST(!fail_next_send);
  BOOST_TEST(reset.result.outcome == CallOutcome::kNothingWritten);
  RunFor(milliseconds(20));
  BOOST_REQUIRE(raw.peers.size() == 1u);
  BOOST_TEST(raw.peers[0]->received.empty());
}

// Guards against reporting a request as sent when the connection attempt got no response.
BOOST_AUTO_TEST_CASE(ConnectTimeoutIsReportedAsNotConnected) {
  tcp::acceptor full_acceptor(io, tcp::v4());
  full_acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  full_acceptor.listen(0);
  std::list<tcp::socket> fill;
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(io);
    fill.back().async_connect(full_acceptor.local_endpoint(), [](const asio::error_code&) {});
  }
  RunFor(milliseconds(50));
  HttpCall call =
      Post("http://127.0.0.1:" + std::to_string(full_acceptor.local_endpoint().port()), "b");
  call.connect_timeout = milliseconds(100);
  Reply reply = Fetch(std::move(call));
  BOOST_TEST(reply.result.outcome == CallOutcome::kNotConnected);
  BOOST_TEST(reply.result.connect_errno == 0);
}

// Guards against a server that sends header lines without end, in the head, in interim responses or
// after the body: the call would last until its timeout.
BOOST_AUTO_TEST_CASE(HeaderLinesWithoutEndFail) {
  constexpr size_t kMaxBytes = 4 << 20;
  const std::string line = "x-filler: " + std::string(1'000, 'y') + "\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n";
  struct Case {
    const char* name;
    std::string start;
    std::string repeated;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  for (const Case& row : {Case{"head", "HTTP/1.1 200 OK\r\n", line}, Case{"interim", "", interim},
                          Case{"trailers", chunked, line}}) {
    RawServer raw(io);
    Reply reply;
    Start(Get(raw.Url()), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the request has arrived");
    raw.peers[0]->Send(row.start);
    size_t written = 0;
    while (!reply.done && written < kMaxBytes) {
      raw.peers[0]->Send(row.repeated);
      written += row.repeated.size();
      io.poll();
      io.restart();
    }
    RunFor(milliseconds(200));
    BOOST_TEST(reply.done, row.name);
    BOOST_TEST((reply.result.outcome == CallOutcome::kFailed), row.name);
  }
}

// Guards against a probe of a server that sends it a request or leaves a connection open, and
// against one that cannot tell a server that has ended from one that listens.
BOOST_AUTO_TEST_CASE(ConnectOnlySendsNothing) {
  RawServer raw(io);
  HttpCall call = Get(raw.Url());
  call.connect_only = true;
  for (int i = 0; i < 3; ++i) {
    Reply connected = Fetch(call);
    BOOST_TEST(connected.result.outcome == CallOutcome::kComplete);
    BOOST_TEST(connected.result.status == 0);
  }
  RunFor(milliseconds(20));
  BOOST_REQUIRE(raw.peers.size() == 3u);
  for (const auto& peer : raw.peers) {
    BOOST_TEST(peer->received.empty());
    BOOST_TEST(peer->closed);
  }
  {
    RawServer closed_server(io);
    call.url = closed_server.Url();
  }
  Reply refused = Fetch(call);
  BOOST_TEST(refused.result.outcome == CallOutcome::kNotConnected);
  BOOST_TEST(refused.result.connect_errno == ECONNREFUSED);
}

// Guards against treating a truncated or malformed response as complete, wherever it ends.
BOOST_AUTO_TEST_CASE(IncompleteResponseFails) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string stream = chunked + "5\r\nhello\r\n";
  std::vector<std::string> cases = {"",
                                    "HTTP/1.1",
                                    head,
                                    head + "Content-Length: 3",
                                    head + "Content-Length: 3\r\n",
                                    head + "Content-Length: 3\r\n\r\n",
                                    head + "Content-Length: 3\r\n\r\nab",
                                    "HTTP/1.1 100 Continue\r\n\r\n",
                                    "garbage\r\n\r\n",
                                    chunked + "zz\r\n",
                                    head + "h: " + std::string(300 << 10, 'x')};
  const std::string whole = stream + "3\r\nabc\r\n0\r\n\r\n";
  // The loop omits the prefix that lacks only the last byte: it counts as complete, because the
  // final chunk, of size 0, has arrived.
  for (size_t i = chunked.size(); i < whole.size() - 1; ++i) cases.push_back(whole.substr(0, i));
  for (bool reset : {false, true}) {
    for (const std::string& text : cases) {
      RawServer raw(io);
      Reply reply;
      HttpCall call = Post(raw.Url(), "request-body");
      call.new_connection = true;
      Start(std::move(call), &reply);
      RunUntil([&] { return raw.PeerReceived(0, "request-body"); }, "the request arrives");
      raw.peers[0]->Send(text);
      RunFor(milliseconds(2));
      if (reset) {
        raw.peers[0]->Reset();
      } else {
        raw.peers[0]->Close();
      }
      RunUntil([&] { return reply.done; }, "the call is done");
      BOOST_TEST_CONTEXT("after " << text.substr(0, 200) << (reset ? ", reset" : ", closed")) {
        BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
        BOOST_TEST(!reply.result.error.empty());
      }
    }
  }
  // The whole response is complete, even with a trailer and after an interim response.
  for (const std::string& text :
       {whole, "HTTP/1.1 100 Continue\r\n\r\n" + stream + "3\r\nabc\r\n0\r\nx: y\r\n\r\n"}) {
    RawServer raw(io);
    Reply reply;
    Start(Post(raw.Url(), "request-body"), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "request-body"); }, "the request arrives");
    raw.peers[0]->Send(text);
    RunUntil([&] { return reply.done; }, "the call is done");
    BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
    BOOST_TEST(reply.on_headers_calls == 1);
    BOOST_TEST(reply.body == "helloabc");
  }
}

// Guards against calls that hang, and against a timeout outcome that hides that the server may have
// run the request.
BOOST_AUTO_TEST_CASE(TimeoutsAfterTheRequestIsWritten) {
  for (bool idle : {false, true}) {
    for (const char* response : {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"}) {
      RawServer raw(io);
      Reply reply;
      HttpCall call = Post(raw.Url(), "request-body");
      (idle ? call.idle_timeout : call.timeout) = milliseconds(150);
      Time start = SteadyNow();
      Start(std::move(call), &reply);
      RunUntil([&] { return raw.PeerReceived(0, "request-body"); }, "the request arrives");
      raw.peers[0]->Send(response);
      RunUntil([&] { return reply.done; }, "the call is done");
      BOOST_TEST(reply.result.outcome == CallOutcome::kTimedOut);
      BOOST_TEST(ToMillis(SteadyNow() - start) >= 140);
      BOOST_TEST(reply.result.body_received == (response[0] != 0));
      RunUntil([&] { return raw.peers[0]->closed; }, "the connection closes");
    }
  }
}

// Guards against an idle timeout that ends a response that arrives slowly or whose reader is
// paused.
BOOST_AUTO_TEST_CASE(IdleTimeoutAppliesOnlyWithoutData) {
  RawServer raw(io);
  Reply reply;
  bool reading = true;
  HttpCall call = Get(raw.Url());
  call.idle_timeout = milliseconds(150);
  call.on_data = [&](std::string_view data) {
    if (reading) reply.body.append(data);
    return reading;
  };
  CallId id = Start(std::move(call), &reply);
  RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the request arrives");
  raw.peers[0]->Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  for (int i = 0; i < 4; ++i) {
    RunFor(milliseconds(75));
    raw.peers[0]->Send(std::to_string(i));
  }
  RunUntil([&] { return reply.body == "0123"; }, "the bytes arrive");
  reading = false;
  raw.peers[0]->Send("4");
  RunFor(milliseconds(400));
  BOOST_TEST(!reply.done);
  reading = true;
  client->Resume(id);
  RunUntil([&] { return reply.done; }, "the call is done");
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_TEST(reply.body == "01234");
}

// Guards against sending a non-retryable request twice: libcurl retries a request by itself when a
// reused connection closes before the response.
BOOST_AUTO_TEST_CASE(CallOnNewConnectionIsNotRetried) {
  for (bool new_connection : {false, true}) {
    RawServer raw(io);
    Reply first;
    Start(Get(raw.Url()), &first);
    RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the first request arrives");
    raw.peers[0]->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunUntil([&] { return first.done; }, "the first call is done");

    Reply second;
    HttpCall call = Post(raw.Url(), "only-once");
    call.new_connection = new_connection;
    Start(std::move(call), &second);
    size_t second_peer = new_connection ? 1 : 0;
    RunUntil([&] { return raw.PeerReceived(second_peer, "only-once"); },
             "the second request arrives");
    raw.peers[second_peer]->Close();
    if (new_connection) {
      RunUntil([&] { return second.done; }, "the second call is done");
      BOOST_TEST(second.result.outcome == CallOutcome::kFailed);
      RunFor(milliseconds(50));
      BOOST_TEST(raw.peers.size() == 2u);
    } else {
      // On a reused connection libcurl does retry, which is why new_connection exists.
      RunUntil([&] { return raw.PeerReceived(1, "only-once"); }, "libcurl retries the request");
      raw.peers[1]->Close();
      RunUntil([&] { return second.done; }, "the second call is done");
      BOOST_TEST(second.result.outcome == CallOutcome::kFailed);
    }
  }
}

// Guards against reporting that nothing was sent when libcurl wrote the request, retried it on a
// new connection and could not connect.
BOOST_AUTO_TEST_CASE(RetryThatCannotConnectCountsAsWritten) {
  RawServer raw(io);
  Reply first;
  Start(Get(raw.Url()), &first);
  RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the first request arrives");
  raw.peers[0]->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RunUntil([&] { return first.done; }, "the first call is done");
  Reply second;
  Start(Post(raw.Url(), "may-have-run"), &second);
  RunUntil([&] { return raw.PeerReceived(0, "may-have-run"); }, "the second request arrives");
  raw.acceptor.close();
  raw.peers[0]->Close();
  RunUntil([&] { return second.done; }, "the second call is done");
  BOOST_TEST(second.result.outcome == CallOutcome::kFailed);
}

// Guards against libcurl features that would contact another host or change the path: redirects,
// proxies from the environment and the removal of dot segments.
BOOST_AUTO_TEST_CASE(RedirectsAndProxySettingsAreIgnored) {
  setenv("http_proxy", "http://127.0.0.1:1", 1);
  Serve([&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    responder->Send(302, {{"location", Url("/other")}}, request.path);
  });
  Reply reply = Fetch(Get(Url("/a/../b")));
  unsetenv("http_proxy");
  BOOST_TEST(reply.status == 302);
  BOOST_TEST(reply.body == "/a/../b");
}

// Guards against callbacks that run after a call was cancelled, even from its own callback, and
// against a server that is not told and continues the response.
BOOST_AUTO_TEST_CASE(CancelledCallRunsNoCallbacks) {
  int closed = 0;
  int opened = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    ++opened;
    responder->OnClosed([&, responder] { ++closed; });
    responder->Begin(200, {});
    responder->Write("part");
  });
  for (std::string where : {"immediately", "after data arrived", "in on_headers", "in on_data"}) {
    BOOST_TEST_CONTEXT(where) {
      opened = closed = 0;
      int data = 0;
      bool done = false;
      bool cancelled = false;
      CallId id = 0;
      auto cancel = [&] {
        client->Cancel(id);
        cancelled = true;
      };
      HttpCall call = Get(Url("/"));
      call.on_headers = [&](int, const HttpHeaders&) {
        if (where == "in on_headers") cancel();
      };
      call.on_data = [&](std::string_view) {
        ++data;
        if (where == "in on_data") cancel();
        return true;
      };
      call.on_done = [&](const CallResult&) { done = true; };
      id = client->Start(std::move(call));
      if (where == "immediately") cancel();
      if (where == "after data arrived") {
        RunUntil([&] { return data == 1; }, "data arrives");
        cancel();
      }
      RunUntil([&] { return cancelled; }, "the call is cancelled");
      RunUntil([&] { return closed == opened; }, "the server detects the close");
      RunFor(milliseconds(30));
      BOOST_TEST(!done);
      BOOST_TEST(data == (where == "in on_data" || where == "after data arrived" ? 1 : 0));
      client->Cancel(id);
      client->Resume(id);
    }
  }
}

// Guards against re-entering libcurl from its callbacks.
BOOST_AUTO_TEST_CASE(CallsCanStartFromCallbacks) {
  Serve(Echo());
  Reply inner[3];
  Reply outer;
  HttpCall call = Post(Url("/"), "outer");
  call.on_data = [&](std::string_view data) {
    outer.body.append(data);
    Start(Post(Url("/"), "from on_data"), &inner[0]);
    return true;
  };
  call.on_done = [&](const CallResult&) { Start(Post(Url("/"), "from on_done"), &inner[1]); };
  call.on_headers = [&](int, const HttpHeaders&) {
    Start(Post(Url("/"), "from on_headers"), &inner[2]);
  };
  client->Start(std::move(call));
  for (Reply& reply : inner) RunUntil([&] { return reply.done; }, "the inner call is done");
  BOOST_TEST(inner[0].body == "from on_data");
  BOOST_TEST(inner[1].body == "from on_done");
  BOOST_TEST(inner[2].body == "from on_headers");
}

// Guards against an exception that propagates through libcurl's C code.
BOOST_AUTO_TEST_CASE(CallbackExceptionFailsCall) {
  Serve(Echo());
  HttpCall call = Post(Url("/"), "body");
  call.on_data = [](std::string_view) -> bool { throw std::runtime_error("fault"); };
  Reply reply = Fetch(std::move(call));
  BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
  BOOST_TEST(reply.result.error == "fault");
}

// Guards against responses delivered to the wrong call, and against responses that starve each
// other.
BOOST_AUTO_TEST_CASE(ManyConcurrentCalls) {
  constexpr int kCalls = 400;
  constexpr int kChunks = 20;
  struct Stream {
    std::shared_ptr<HttpResponder> responder;
    std::string body;
    int sent = 0;
  };
  std::vector<Stream> streams;
  Serve([&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    responder->Begin(200, {});
    streams.push_back({responder, request.body, 0});
  });
  std::vector<Reply> replies(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    Start(Post(Url("/"), "call-" + std::to_string(i) + ";"), &replies[i]);
  }
  RunUntil([&] { return streams.size() == kCalls; }, "all calls are open at once");
  for (int i = 0; i < kChunks; ++i) {
    for (Stream& stream : streams) stream.responder->Write(stream.body);
    RunFor(milliseconds(2));
  }
  for (Stream& stream : streams) stream.responder->End();
  for (int i = 0; i < kCalls; ++i) {
    RunUntil([&] { return replies[i].done; }, "the call is done");
    std::string expected;
    for (int j = 0; j < kChunks; ++j) expected += "call-" + std::to_string(i) + ";";
    BOOST_REQUIRE(replies[i].result.outcome == CallOutcome::kComplete);
    BOOST_REQUIRE(replies[i].body == expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift::test
