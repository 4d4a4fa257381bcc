#define BOOST_TEST_MODULE http_server
#include "adapters/http_server.h"

#include <sys/resource.h>

#include <asio.hpp>
#include <boost/test/included/unit_test.hpp>
#include <optional>

#include "adapters/http_client.h"
#include "base/error.h"
#include "tests/support/http_fixture.h"

namespace ebonylift::test {

using asio::ip::tcp;

BOOST_FIXTURE_TEST_SUITE(Http, HttpFixture)

// Guards against parts of a request or response that are lost, changed or added in transfer.
BOOST_AUTO_TEST_CASE(RequestAndResponseArriveComplete) {
  Serve(Echo());
  HttpCall call = Post(Url("/a/b?c=d&e"), std::string(3 << 20, 'z'));
  call.headers = {{"x-sent", "value"}};
  Reply reply = Fetch(std::move(call));
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.result.status == 200);
  BOOST_TEST(reply.result.body_received);
  BOOST_TEST(reply.on_headers_calls == 1);
  BOOST_TEST((reply.body == std::string(3 << 20, 'z')));
  BOOST_TEST(FindHeader(reply.headers, "X-METHOD") == "POST");
  BOOST_TEST(FindHeader(reply.headers, "x-path") == "/a/b");
  BOOST_TEST(FindHeader(reply.headers, "x-query") == "c=d&e");
  BOOST_TEST(FindHeader(reply.headers, "x-seen") == "value");
  BOOST_TEST(FindHeader(reply.headers, "x-accept").empty());
  BOOST_TEST(FindHeader(reply.headers, "x-expect").empty());
}

// Guards against a chunk that is buffered until the next one is written.
BOOST_AUTO_TEST_CASE(EachChunkIsSentImmediately) {
  std::shared_ptr<HttpResponder> stream;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->Begin(200, {{"content-type", "text/event-stream"}});
    stream = responder;
  });
  Reply reply;
  Start(Get(Url("/")), &reply);
  RunUntil([&] { return reply.on_headers_calls == 1; },
           "the headers arrive before the first chunk");
  std::string expected;
  for (int i = 0; i < 20; ++i) {
    std::string chunk = "data: " + std::to_string(i) + "\n\n";
    stream->Write(chunk);
    expected += chunk;
    RunUntil([&] { return reply.body == expected; }, "the chunk arrives");
  }
  stream->End();
  RunUntil([&] { return reply.done; }, "the call is done");
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
}

// Guards against unbounded buffering while the reader is paused, and against data that is lost or
// duplicated when it resumes.
BOOST_AUTO_TEST_CASE(PausedReaderStopsSender) {
  constexpr size_t kTotal = 24 << 20;
  constexpr size_t kPauseAbove = 256 << 10;
  std::shared_ptr<HttpResponder> stream;
  size_t sent = 0;
  size_t max_pending = 0;
  auto fill = [&] {
    while (sent < kTotal && stream->PendingBytes() < kPauseAbove) {
      std::string chunk(8192, static_cast<char>('a' + (sent / 8192) % 26));
      sent += chunk.size();
      stream->Write(std::move(chunk));
      max_pending = std::max(max_pending, stream->PendingBytes());
    }
    if (sent == kTotal) stream->End();
  };
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    stream = responder;
    responder->Begin(200, {});
    responder->OnDrained(fill);
    fill();
  });
  Reply reply;
  bool reading = false;
  HttpCall call = Get(Url("/"));
  call.on_data = [&](std::string_view data) {
    if (reading) reply.body.append(data);
    return reading;
  };
  CallId id = Start(std::move(call), &reply);
  RunUntil([&] { return stream && stream->PendingBytes() > 0; }, "the sender has pending bytes");
  RunFor(milliseconds(200));
  size_t sent_while_paused = sent;
  BOOST_TEST(sent_while_paused < kTotal);
  BOOST_TEST(max_pending < kPauseAbove + 8192);
  reading = true;
  client->Resume(id);
  RunUntil([&] { return reply.done; }, "the call is done");
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_REQUIRE(reply.body.size() == kTotal);
  bool intact = true;
  for (size_t i = 0; i < kTotal; i += 8192) {
    intact = intact && reply.body[i] == static_cast<char>('a' + (i / 8192) % 26);
    intact = intact && reply.body[i + 8191] == reply.body[i];
  }
  BOOST_TEST(intact);
  RunUntil([&] { return stream->PendingBytes() == 0; }, "the server has written all pending bytes");
}

// Guards against work that continues for a client that has disconnected, whatever it sent before.
BOOST_AUTO_TEST_CASE(ClientCloseIsReported) {
  struct {
    const char* name;
    std::string input;
    size_t requests;
    bool begin;
  } cases[] = {
      {"before the response", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 1, false},
      {"during the response", "GET /a HTTP/1.1\r\n\r\n", 1, true},
      {"with a second request", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 2, false},
      {"with part of a request", "GET /a HTTP/1.1\r\n\r\nGET /b HT", 1, false},
      {"with the maximum number of pipelined requests",
       "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
       "GET /c HTTP/1.1\r\n\r\nGET /d HTTP/1.1\r\n\r\n",
       4, false},
      {"with an upgrade", "GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 1,
       false},
  };
  std::vector<std::shared_ptr<HttpResponder>> open;
  size_t closed = 0;
  bool begin = false;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { ++closed; });
    if (begin) responder->Begin(200, {});
    open.push_back(std::move(responder));
  });
  for (bool reset : {false, true}) {
    for (const auto& row : cases) {
      BOOST_TEST_CONTEXT(row.name << (reset ? ", reset" : ", closed")) {
        open.clear();
        closed = 0;
        begin = row.begin;
        auto peer = Connect();
        peer->Send(row.input);
        RunUntil([&] { return open.size() == row.requests; }, "the requests arrive");
        RunFor(milliseconds(20));
        BOOST_TEST(closed == 0u);
        if (reset) {
          peer->Reset();
        } else {
          peer->Close();
        }
        RunUntil([&] { return closed == row.requests; }, "every responder reports the close");
        for (auto& responder : open) responder->Send(200, {}, "late");
        RunUntil([&] { return server->connection_count() == 0; }, "the connection is removed");
        BOOST_TEST(closed == row.requests);
      }
    }
  }
}

// Guards against a request that is started after its client has left, because the end of the
// connection lies unread behind it.
BOOST_AUTO_TEST_CASE(ClientThatLeftBeforeItsRequestIsHandledIsNoticed) {
  const std::string request = "GET /a HTTP/1.1\r\n\r\n";
  std::string pipelined;
  for (int i = 0; i < 4; ++i) pipelined += request;
  size_t handled = 0;
  size_t left = 0;
  Serve([&](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
    ++handled;
    if (responder->ClosedByClient()) ++left;
    responder->Send(200, {}, "");
  });
  enum class End { kStays, kCloses, kClosesItsSendingSide, kResets };
  for (End end : {End::kStays, End::kCloses, End::kClosesItsSendingSide, End::kResets}) {
    for (const std::string& input : {request, pipelined}) {
      BOOST_TEST_CONTEXT("end " << static_cast<int>(end) << ", " << input.size() << " bytes") {
        handled = 0;
        left = 0;
        auto peer = Connect();
        peer->Send(input);
        asio::error_code error;
        if (end == End::kCloses) peer->Close();
        if (end == End::kClosesItsSendingSide)
          peer->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        if (end == End::kResets) peer->Reset();
        RunFor(milliseconds(50));
        // A connection with the maximum number of pipelined requests is closed before they are
        // handled.
        bool must_be_handled = end == End::kStays || (end != End::kResets && input == request);
        if (must_be_handled) BOOST_TEST(handled > 0u);
        BOOST_TEST(left == (end == End::kStays ? 0u : handled));
        peer->Close();
        RunUntil([&] { return server->connection_count() == 0; }, "the connection is removed");
      }
    }
  }
}

// Guards against connections that wait in the accept queue until their clients give up, as each
// turn of a busy event loop accepted only one.
BOOST_AUTO_TEST_CASE(ConnectionsThatWaitAreAcceptedTogether) {
  constexpr size_t kConnections = 40;
  constexpr int kMaxTurns = 10;  // of the loop, until all requests are answered
  size_t answered = 0;
  Serve([&](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
    ++answered;
    responder->Send(200, {}, "");
  });
  std::vector<std::shared_ptr<RawPeer>> peers;
  for (size_t i = 0; i < kConnections; ++i) {
    peers.push_back(Connect());
    peers.back()->Send("GET / HTTP/1.1\r\n\r\n");
  }
  int turns = 0;
  std::function<void()> count_turn = [&] {
    ++turns;
    if (answered < kConnections) asio::post(io, count_turn);
  };
  asio::post(io, count_turn);
  RunUntil([&] { return answered == kConnections; }, "all requests are answered");
  BOOST_TEST(turns <= kMaxTurns);
}

// Guards against an aborted or abandoned response that looks complete to the client.
BOOST_AUTO_TEST_CASE(AbortedResponseIsNotComplete) {
  int closed = 0;
  Serve([&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { ++closed; });
    if (request.path == "/dropped") return;
    responder->Begin(200, {});
    responder->Write("part");
    if (request.path == "/aborted") responder->Abort();
    if (request.path == "/aborted-late") {
      responder->OnDrained([responder] { responder->Abort(); });
    }
  });
  for (const char* path : {"/dropped", "/begun-and-dropped", "/aborted", "/aborted-late"}) {
    BOOST_TEST_CONTEXT(path) {
      Reply reply = Fetch(Get(Url(path)));
      BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
      RunUntil([&] { return server->connection_count() == 0; }, "the connection is closed");
    }
  }
  BOOST_TEST(closed == 0);
}

// Guards against responses on one connection that are reordered, lost or interleaved.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  std::vector<std::shared_ptr<HttpResponder>> waiting;
  Serve([&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/first") {
      waiting.push_back(responder);
      return;
    }
    if (request.path == "/stream") {
      responder->Begin(200, {});
      responder->Write("[" + request.body);
      responder->Write("]");
      responder->End();
      return;
    }
    responder->Send(200, {}, "<" + request.body + ">");
  });
  auto peer = Connect();
  std::string input = "GET /first HTTP/1.1\r\n\r\n";
  for (int i = 0; i < 10; ++i) {
    input += std::string("POST ") + (i % 2 ? "/stream" : "/plain") +
             " HTTP/1.1\r\nContent-Length: 2\r\n\r\nb" + std::to_string(i);
  }
  peer->Send(input);
  RunUntil([&] { return waiting.size() == 1; }, "the first request arrives");
  RunFor(milliseconds(50));
  BOOST_TEST(peer->received.empty());
  waiting[0]->Send(200, {}, "first");
  std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  for (int i = 0; i < 10; ++i) {
    std::string body = "b" + std::to_string(i);
    expected += i % 2 ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<" + body + ">";
    // Both chunks were written before the headers were sent, so they were merged.
    if (i % 2) expected += "4\r\n[" + body + "]\r\n0\r\n\r\n";
  }
  RunUntil([&] { return peer->closed || peer->received.size() >= expected.size(); },
           "all responses arrive");
  BOOST_TEST(peer->received == expected);
}

// Guards against handling a pipelined request after the one whose response announced the end of the
// connection to the client.
BOOST_AUTO_TEST_CASE(RequestsAfterFinalRequestAreIgnored) {
  int handled = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    ++handled;
    responder->Send(200, {}, "x");
  });
  for (const char* first : {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
                            "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"}) {
    handled = 0;
    auto peer = Connect();
    peer->Send(std::string(first) + "GET /second HTTP/1.1\r\n\r\n");
    RunUntil([&] { return peer->closed; }, "the connection closes");
    BOOST_TEST(handled == 1);
    BOOST_TEST(peer->HasReceived("Connection: close"));
  }
}

// Guards against malformed or oversized requests that reach the handler, and against a connection
// that is closed without an error response where one is possible.
BOOST_AUTO_TEST_CASE(InvalidRequestsAreRejected) {
  limits.max_url_bytes = 200;
  limits.max_header_bytes = 300;
  limits.max_headers = 10;
  limits.max_body_bytes = 1000;
  std::string many;
  for (int i = 0; i < 11; ++i) many += "h" + std::to_string(i) + ": x\r\n";
  const char* const bad = "400 Bad Request";
  const char* const large = "413 Payload Too Large";
  struct {
    const char* name;
    std::string input;
    const char* expected;
  } cases[] = {
      {"garbage", std::string("\x16\x03\x01\x00\x00garbage\r\n\r\n", 16), bad},
      {"unknown method", "FROB / HTTP/1.1\r\n\r\n", bad},
      {"bad version", "GET / HTTP/x\r\n\r\n", bad},
      {"no colon", "GET / HTTP/1.1\r\nbroken header\r\n\r\n", bad},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", bad},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", bad},
      {"length and chunked",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", bad},
      {"bad chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", bad},
      {"long URL", "GET /" + std::string(200, 'u') + " HTTP/1.1\r\n\r\n", bad},
      {"long header", "GET / HTTP/1.1\r\nh: " + std::string(301, 'v') + "\r\n\r\n", bad},
      {"long header name", "GET / HTTP/1.1\r\n" + std::string(300, 'n') + ": v\r\n\r\n", bad},
      {"many headers", "GET / HTTP/1.1\r\n" + many + "\r\n", bad},
      {"large body", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", large},
      {"huge body", "POST / HTTP/1.1\r\nContent-Length: 999999999999999\r\n\r\n", large},
      {"large chunk",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + std::string(1024, 'b'),
       large},
  };
  int handled = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    ++handled;
    responder->Send(200, {}, "ok");
  });
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      auto peer = Connect();
      peer->Send(row.input);
      RunUntil([&] { return peer->closed; }, "the connection closes");
      BOOST_TEST(peer->HasReceived(std::string("HTTP/1.1 ") + row.expected));
      BOOST_TEST(peer->HasReceived(row.expected == large ? R"("code":"body_too_large")"
                                                         : R"("code":"bad_request")"));
      BOOST_TEST(peer->HasReceived(R"("run":"not_run")"));
      BOOST_TEST(handled == 0);
      RunUntil([&] { return server->connection_count() == 0; }, "the connection is removed");
    }
  }
  // A request exactly at the limits is handled.
  auto peer = Connect();
  peer->Send("POST /" + std::string(199, 'u') + " HTTP/1.1\r\nh: " + std::string(300, 'v') +
             "\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'b'));
  RunUntil([&] { return peer->HasReceived("200 OK"); }, "the response arrives");
  BOOST_TEST(handled == 1);
}

// Guards against an error response that is lost to a TCP reset while the client still sends its
// body.
BOOST_AUTO_TEST_CASE(ClientSendingLargeBodyReceivesErrorResponse) {
  limits.max_body_bytes = 1 << 20;
  Serve(Echo());
  for (int i = 0; i < 20; ++i) {
    Reply reply = Fetch(Post(Url("/"), std::string(16 << 20, 'b')));
    BOOST_REQUIRE(reply.status == 413);
    BOOST_TEST(reply.body.find("body_too_large") != std::string::npos);
  }
}

// Guards against clients that hold a connection open by sending slowly or not at all.
BOOST_AUTO_TEST_CASE(SlowClientsAreDisconnected) {
  limits.read_timeout = milliseconds(200);
  int handled = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    ++handled;
    responder->Send(200, {}, "x");
  });
  struct {
    const char* name;
    std::string input;
    int expected;
  } cases[] = {
      {"nothing", "", 0},
      {"headers", "GET / HTTP/1.1\r\nslow: header", 0},
      {"body", "POST / HTTP/1.1\r\nContent-Length: 10000\r\n\r\n", 0},
      {"idle after a request", "GET / HTTP/1.1\r\n\r\n", 1},
      {"slow after a request", "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nslow: header", 1},
  };
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      handled = 0;
      auto peer = Connect();
      peer->Send(row.input);
      bool trickle = row.input.find("slow") != std::string::npos || row.name[0] == 'b';
      Time start = SteadyNow();
      while (!peer->closed && SteadyNow() < start + kHttpTestTimeout) {
        if (trickle) peer->Send("x");
        RunFor(milliseconds(10));
      }
      BOOST_TEST(peer->closed);
      BOOST_TEST(ToMillis(SteadyNow() - start) >= 190);
      BOOST_TEST(handled == row.expected);
    }
  }
}

// Guards against a read timeout that ends a long response.
BOOST_AUTO_TEST_CASE(ReadTimeoutDoesNotLimitResponses) {
  limits.read_timeout = milliseconds(100);
  std::shared_ptr<HttpResponder> stream;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) { stream = responder; });
  Reply reply;
  Start(Get(Url("/")), &reply);
  RunFor(milliseconds(400));
  BOOST_REQUIRE(stream);
  stream->Begin(200, {});
  RunFor(milliseconds(400));
  stream->Write("late");
  stream->End();
  RunUntil([&] { return reply.done; }, "the call is done");
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_TEST(reply.body == "late");
}

// Guards against a client that never reads and so holds its response open forever.
BOOST_AUTO_TEST_CASE(ClientThatDoesNotReadIsDisconnected) {
  limits.write_timeout = milliseconds(200);
  limits.read_timeout = milliseconds(200);
  bool closed = false;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { closed = true; });
    responder->Send(200, {}, std::string(64 << 20, 'x'));
  });
  tcp::socket socket(io);
  socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  RunUntil([&] { return closed; }, "the server closes");
}

// Guards against handling a request that its sender truncated.
BOOST_AUTO_TEST_CASE(TruncatedRequestIsNotHandled) {
  int handled = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    ++handled;
    responder->Send(200, {}, "x");
  });
  for (const char* input : {"GET / HTTP/1.1\r\nh: v\r\n", "GET / HT",
                            "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n123456789",
                            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}) {
    auto peer = Connect();
    peer->Send(input);
    RunFor(milliseconds(20));
    asio::error_code ignored;
    peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
    RunUntil([&] { return peer->closed; }, "the connection closes");
    BOOST_TEST(handled == 0);
  }
}

// Guards against response framing that an HTTP/1.0 client or a HEAD request does not allow, and
// against header values that inject another header.
BOOST_AUTO_TEST_CASE(ResponseFramingMatchesRequest) {
  Serve([&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/send") responder->Send(200, {{"h", "a\r\nevil: b"}}, "body");
    if (request.path == "/empty") responder->Send(204, {}, "");
    if (request.path != "/stream") return;
    responder->Begin(200, {{"transfer-encoding", "gzip"}, {"content-length", "99"}});
    responder->Write("body");
    responder->End();
  });
  struct {
    std::string request;
    std::string expected;
  } cases[] = {
      {"HEAD /send HTTP/1.1\r\nConnection: close\r\n\r\n",
       "HTTP/1.1 200 OK\r\nh: a  evil: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"},
      {"HEAD /stream HTTP/1.1\r\nConnection: close\r\n\r\n",
       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
      {"GET /empty HTTP/1.1\r\nConnection: close\r\n\r\n",
       "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"},
      {"GET /stream HTTP/1.0\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody"},
      {"GET /send HTTP/1.0\r\n\r\n",
       "HTTP/1.1 200 OK\r\nh: a  evil: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"},
  };
  for (const auto& row : cases) {
    auto peer = Connect();
    peer->Send(row.request);
    RunUntil([&] { return peer->closed; }, "the connection closes");
    BOOST_TEST(peer->received == row.expected);
  }
}

// Guards against a shutdown that loses requests in progress, or requests of connections that wait
// in the kernel's accept queue.
BOOST_AUTO_TEST_CASE(StopAcceptingLosesNoRequests) {
  std::vector<std::shared_ptr<HttpResponder>> open;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) { open.push_back(responder); });
  Reply first;
  Start(Get(Url("/")), &first);
  RunUntil([&] { return open.size() == 1; }, "the request arrives");
  std::vector<std::shared_ptr<RawPeer>> waiting;
  for (int i = 0; i < 20; ++i) {
    waiting.push_back(Connect());
    waiting.back()->Send("GET / HTTP/1.1\r\n\r\n");
  }
  server->DisableKeepAlive();
  server->StopAccepting();
  tcp::socket refused(io);
  std::optional<asio::error_code> error;
  refused.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()),
                        [&](const asio::error_code& result) { error = result; });
  RunUntil([&] { return error.has_value(); }, "the new connection is refused");
  BOOST_TEST(*error == asio::error::connection_refused);
  RunUntil([&] { return open.size() == 21; }, "the requests of the queued connections arrive");
  for (auto& responder : open) responder->Send(200, {}, "answer");
  RunUntil([&] { return first.done; }, "the first call is done");
  BOOST_TEST(first.body == "answer");
  BOOST_TEST(FindHeader(first.headers, "connection") == "close");
  for (auto& peer : waiting) {
    RunUntil([&] { return peer->closed; }, "the connection closes");
    BOOST_TEST(peer->HasReceived("answer"));
  }
  BOOST_TEST(server->connection_count() == 0u);
}

// Guards against a shutdown that closes a connection whose accept is complete but not handled yet.
BOOST_AUTO_TEST_CASE(StopAcceptingServesAConnectionThatIsAlreadyAccepted) {
  Serve(Echo());
  auto first = Connect();
  auto second = Connect();
  second->Send("GET / HTTP/1.1\r\n\r\n");
  while (server->connection_count() == 0) BOOST_REQUIRE(io.run_one_for(kHttpTestTimeout) == 1u);
  server->StopAccepting();
  RunUntil([&] { return second->closed || second->HasReceived("HTTP/1.1 200"); },
           "the second connection is answered or closed");
  BOOST_TEST(second->HasReceived("HTTP/1.1 200"));
}

// Guards against a connection limit that leaves clients waiting without a response.
BOOST_AUTO_TEST_CASE(ConnectionsOverLimitAreRejected) {
  limits.max_connections = 2;
  Serve(Echo());
  auto first = Connect();
  auto second = Connect();
  RunUntil([&] { return server->connection_count() == 2; }, "both connections are open");
  auto third = Connect();
  third->Send("GET / HTTP/1.1\r\n\r\n");
  RunUntil([&] { return third->closed; }, "the third connection is closed");
  BOOST_TEST(third->HasReceived("HTTP/1.1 503"));
  BOOST_TEST(third->HasReceived(R"("code":"overloaded")"));
  first->Close();
  RunUntil([&] { return server->connection_count() == 1; }, "the first connection is removed");
  BOOST_TEST(Fetch(Get(Url("/"))).status == 200);
}

// Guards against idle connections of clients that use up the descriptors of the process.
BOOST_AUTO_TEST_CASE(ResponsesEndConnectionsOverLimit) {
  limits.max_kept_connections = 2;
  Serve(Echo());
  std::vector<std::shared_ptr<RawPeer>> peers;
  for (int i = 0; i < 3; ++i) {
    peers.push_back(Connect());
    peers.back()->Send("GET / HTTP/1.1\r\n\r\n");
    RunUntil([&] { return peers.back()->HasReceived("200 OK"); }, "the response arrives");
  }
  RunUntil([&] { return peers[2]->closed; }, "the third connection ends");
  BOOST_TEST(peers[2]->HasReceived("Connection: close"));
  BOOST_TEST(!peers[0]->closed);
  BOOST_TEST(!peers[1]->closed);
}

// Guards against a server that stops accepting connections permanently after it ran out of file
// descriptors.
BOOST_AUTO_TEST_CASE(AcceptResumesAfterDescriptorExhaustion) {
  Serve(Echo());
  BOOST_TEST(Fetch(Get(Url("/"))).status == 200);
  auto peer = Connect();
  peer->Send("GET / HTTP/1.1\r\n\r\n");
  rlimit saved;
  getrlimit(RLIMIT_NOFILE, &saved);
  rlimit no_descriptors = saved;
  no_descriptors.rlim_cur = 1;
  setrlimit(RLIMIT_NOFILE, &no_descriptors);
  RunFor(milliseconds(250));
  setrlimit(RLIMIT_NOFILE, &saved);
  BOOST_TEST(peer->received.empty());
  RunUntil([&] { return peer->HasReceived("200 OK"); }, "the connection is accepted");
}

// Guards against servers of several threads that cannot listen on the same address.
BOOST_AUTO_TEST_CASE(SeveralServersShareOneAddress) {
  int counts[2] = {0, 0};
  auto handler = [&counts](int index) {
    return [&counts, index](HttpRequest, std::shared_ptr<HttpResponder> responder) {
      ++counts[index];
      responder->Send(200, {}, "x");
    };
  };
  Serve(handler(0));
  std::string address = "127.0.0.1:" + std::to_string(server->port());
  auto second = StartHttpServer(io, address, limits, handler(1));
  BOOST_TEST(second->port() == server->port());
  for (int i = 0; i < 64; ++i) {
    HttpCall call = Get(Url("/"));
    call.new_connection = true;
    Reply reply = Fetch(std::move(call));
    BOOST_TEST(reply.status == 200);
  }
  BOOST_TEST(counts[0] + counts[1] == 64);
  BOOST_TEST(counts[0] > 0);
  BOOST_TEST(counts[1] > 0);
}

BOOST_AUTO_TEST_CASE(InvalidAddressesThrow) {
  for (const char* address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1",
                              "host:80", "203.0.113.1:0"}) {
    BOOST_CHECK_THROW(StartHttpServer(io, address, limits, Echo()), Error);
  }
}

// Guards against a handler's exception that ends the thread or leaves the client without a
// response.
BOOST_AUTO_TEST_CASE(HandlerExceptionIsAnswered) {
  Serve([](HttpRequest, std::shared_ptr<HttpResponder>) { throw std::runtime_error("fault"); });
  Reply reply = Fetch(Get(Url("/")));
  BOOST_TEST(reply.status == 500);
  BOOST_TEST(reply.body.find(R"("code":"internal")") != std::string::npos);
}

// Guards against callbacks that use the server or the client after its destruction.
BOOST_AUTO_TEST_CASE(DestructionWithOpenStreams) {
  std::vector<std::shared_ptr<HttpResponder>> open;
  int closed = 0;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { ++closed; });
    responder->Begin(200, {});
    responder->Write(std::string(32 << 20, 'x'));
    open.push_back(responder);
  });
  Reply replies[4];
  for (Reply& reply : replies) {
    HttpCall call = Get(Url("/"));
    call.on_data = [](std::string_view) { return false; };
    Start(std::move(call), &reply);
  }
  RunUntil([&] { return open.size() == 4; }, "the calls arrive");
  server.reset();
  for (auto& responder : open) responder->Write("late");
  RunFor(milliseconds(50));
  client.reset();
  RunFor(milliseconds(50));
  for (Reply& reply : replies)
    BOOST_TEST((!reply.done || reply.result.outcome == CallOutcome::kFailed));
  BOOST_TEST(closed == 0);
}

// Guards against an OnClosed callback that is queued when the server is destroyed and then runs,
// using objects that the server's owner has destroyed as well.
BOOST_AUTO_TEST_CASE(QueuedCallbackDoesNotRunAfterServerDestruction) {
  std::shared_ptr<HttpResponder> open;
  bool called = false;
  Serve([&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { called = true; });
    open = responder;
  });
  auto peer = Connect();
  peer->Send("GET / HTTP/1.1\r\n\r\n");
  RunUntil([&] { return open != nullptr; }, "the request arrives");
  peer->Close();
  RunUntil([&] { return server->connection_count() == 0; }, "the server detects the close");
  BOOST_REQUIRE(!called);
  server.reset();
  RunFor(milliseconds(20));
  BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift::test
