#define BOOST_TEST_MODULE http_client_faulty_server
#include <boost/test/included/unit_test.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/support/http_fixture.h"

// Responses of a server in trouble, at the HTTP client.

namespace ebonylift::test {
namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

struct Fixture : HttpFixture {
  // Fetches from a server that sends `response` and then closes the connection.
  Reply FetchResponse(const std::string& response, const char* method = "GET") {
    RawServer raw(io);
    Reply reply;
    HttpCall call = Get(raw.Url());
    call.method = method;
    call.new_connection = true;
    Start(std::move(call), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the request arrives");
    raw.peers[0]->Send(response);
    raw.peers[0]->Close();
    RunUntil([&] { return reply.done; }, "the call is done");
    return reply;
  }

  // Sends `upload` to a server that does not read it, answers with a body without a length, ends
  // its sending side and resets the connection after `pause`. Returns the time between these two.
  Duration ResetAfterEnd(const std::string& upload, const char* body, Duration pause,
                         Reply* reply) {
    RawServer raw(io);
    raw.reads = false;
    Start(Post(raw.Url(), upload), reply);
    RunUntil([&] { return !raw.peers.empty() && raw.peers[0]->socket.available() > 0; },
             "the upload begins");
    RunFor(milliseconds(20));  // the client writes what the buffers take
    raw.peers[0]->Send(kOk + "\r\n" + body);
    raw.peers[0]->EndSending();
    Time ended = SteadyNow();
    RunFor(pause);
    raw.peers[0]->Reset();
    Duration reset_after = SteadyNow() - ended;
    RunUntil([&] { return reply->done; }, "the call is done");
    return reset_after;
  }

  // Checks that nothing of the response is passed on.
  void CheckNoResponse(const std::string& response) {
    Reply reply = FetchResponse(response);
    BOOST_TEST_CONTEXT("response " << response) {
      BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
      BOOST_TEST(!reply.result.error.empty());
      BOOST_TEST(reply.on_headers_calls == 0);
      BOOST_TEST(reply.body.empty());
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FaultyServer, Fixture)

// Guards against a response that ends the process: libcurl 7.88 followed a pointer into the freed
// headers of the response before.
BOOST_AUTO_TEST_CASE(FoldedFirstLineAfterAnotherResponse) {
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(FetchResponse(kOk + "Content-Length: 4\r\n\r\nbody").body == "body");
    CheckNoResponse(kOk + " x: folded\r\n\r\nbody");
  }
}

// Guards against a body that is cut short, or goes on to the end of the connection, because the
// fields that give its length are malformed.
BOOST_AUTO_TEST_CASE(MalformedLengthIsRejected) {
  for (const char* fields : {"Content-Length:",
                             "Content-Length: x",
                             "Content-Length: 1x",
                             "Content-Length: 0x4",
                             "Content-Length: -4",
                             "Content-Length: +4",
                             "Content-Length: 1 2",
                             "Content-Length: 1,2",
                             "Content-Length: 4, 4",
                             "Content-Length: 1.0",
                             "Content-Length: 99999999999999999999",
                             "Content-Length: 9223372036854775808",
                             "Content-Length: 1\r\nContent-Length: 4",
                             "Content-Length: 4\r\nContent-Length: 1",
                             "Content-Length: 4\r\nContent-Length: 4",
                             "Transfer-Encoding:",
                             "Transfer-Encoding: chunke",
                             "Transfer-Encoding: chunkedx",
                             "Transfer-Encoding: identity",
                             "Transfer-Encoding: chunked, chunked",
                             "Transfer-Encoding: gzip, chunked",
                             "Transfer-Encoding: chunked, identity",
                             "Transfer-Encoding: chunked;q=1",
                             "Transfer-Encoding: identity\r\nContent-Length: 4",
                             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                             "Transfer-Encoding: chunked\r\nContent-Length: 4",
                             "Content-Length: 4\r\nTransfer-Encoding: chunked"}) {
    bool chunks = std::string(fields).find("chunked") != std::string::npos;
    CheckNoResponse(kOk + fields + "\r\n\r\n" + (chunks ? "4\r\nbody\r\n0\r\n\r\n" : "body"));
  }
  CheckNoResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  // An interim response has no body, so its length would be that of the next response.
  for (const char* field : {"Content-Length: 1", "Transfer-Encoding: chunked"}) {
    CheckNoResponse("HTTP/1.1 103 Early Hints\r\n" + std::string(field) + "\r\n\r\n" + kOk +
                    "\r\nbody");
  }
  CheckNoResponse("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

// Guards against a head in which a line was damaged: it may have given the body's length.
BOOST_AUTO_TEST_CASE(LineThatIsNoFieldIsRejected) {
  for (const char* line :
       {"Content-Length", "garbage", "garbage without a colon", ": value", " Content-Length: 1",
        "\tContent-Length: 1", "x: a\r\n Content-Length: 1", "x: a\r\n\tb", " ", "\t",
        "HTTP/1.1 200 OK", "HTTP/1.1 500 Error"}) {
    CheckNoResponse(kOk + line + "\r\n\r\nbody");
    CheckNoResponse(kOk + "Content-Length: 4\r\n" + line + "\r\n\r\nbody");
  }
  CheckNoResponse(kOk + "Content-Length: 4\n\r\nbody");
  CheckNoResponse("HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody");
  CheckNoResponse(kOk + "Content-Length: 4\r\n\nbody");
}

// Guards against a field with whitespace or a control byte in its name: it is passed on, or its
// value is ignored although it gives the body's length. A control byte in a value shows damage,
// too.
BOOST_AUTO_TEST_CASE(MalformedFieldIsRejected) {
  std::vector<std::string> names = {"Content-Length ",
                                    "Content-Length\t",
                                    "Content Length",
                                    "Content-Length\x01",
                                    "Content\x7f-Length",
                                    "Content-L\rength",
                                    "Transfer-Encoding ",
                                    "X(Y)",
                                    "x\"y",
                                    "x\xc3\xa4",
                                    "x/y"};
  names.push_back("Content-" + std::string(1, '\0') + "Length");
  for (const std::string& name : names) {
    CheckNoResponse(kOk + name + ": 4\r\n\r\nbody");
    CheckNoResponse(kOk + "Content-Length: 4\r\n" + name + ": 4\r\n\r\nbody");
  }
  for (const char* value : {"a\rb", "a\nb", "a\x01", "a\x7f", "\x1b[0m"}) {
    CheckNoResponse(kOk + "Content-Length: 4\r\nx: " + value + "\r\n\r\nbody");
  }
  CheckNoResponse(kOk + "Content-Length: 4\r\nx: a" + std::string(1, '\0') + "b\r\n\r\nbody");
}

// Guards against a status that no response can have.
BOOST_AUTO_TEST_CASE(InvalidStatusIsRejected) {
  for (const char* line :
       {"HTTP/1.1 000 OK",  "HTTP/1.1 099 OK",  "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 OK",  "HTTP/1.1 999 OK",  "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",  "HTTP/1.1 200x OK",
        "HTTP/1.1 -20 OK",  "HTTP/1.1  200 OK", "HTTP/1.1 \x01",
        "HTTP/1.1 OK",      "HTTP/1.1",         "HTTP/1.1 200 O\x01K",
        "HTTP/1.7 200 OK",  "HTTP/1.x 200 OK",  "HTTP/2 200 OK",
        "HTTP/2.0 200 OK",  "HTTP/3 200",       "HTTP/11 200 OK",
        "http/1.1 200 OK",  " HTTP/1.1 200 OK", "HTTP 200 OK",
        "RTSP/1.0 200 OK"}) {
    CheckNoResponse(std::string(line) + "\r\nContent-Length: 4\r\n\r\nbody");
    CheckNoResponse("HTTP/1.1 100 Continue\r\n\r\n" + std::string(line) +
                    "\r\nContent-Length: 4\r\n\r\nbody");
  }
}

// Guards against a body that is cut short because the size of a chunk is malformed.
BOOST_AUTO_TEST_CASE(MalformedChunkFailsTheCall) {
  for (const char* chunks : {"0x9\r\ndata: a\r\n\r\n0\r\n\r\n",
                             "0x4\r\nbody\r\n0\r\n\r\n",
                             "4x\r\nbody\r\n0\r\n\r\n",
                             "0body\r\n\r\n",
                             "4 x\r\nbody\r\n0\r\n\r\n",
                             "4\nbody\r\n0\r\n\r\n",
                             "4\r\nbody\n0\r\n\r\n",
                             "4\r\nbody0\r\n\r\n",
                             "4\r\nbodybody\r\n0\r\n\r\n",
                             "\r\n4\r\nbody\r\n0\r\n\r\n",
                             ";x\r\nbody\r\n0\r\n\r\n",
                             "+4\r\nbody\r\n0\r\n\r\n",
                             "-4\r\nbody\r\n0\r\n\r\n",
                             "ffffffffffffffff\r\nbody",
                             "10000000000000000\r\nbody",
                             "4\r\nbody\r\n0x\r\n\r\n",
                             "4\r\nbody\r\n0\n\r\n",
                             "4;a\x01\r\nbody\r\n0\r\n\r\n",
                             "4\r\nbody\r\n0\r\ngarbage\r\n\r\n",
                             "4\r\nbody\r\n0\r\nx y: z\r\n\r\n",
                             "4\r\nbody\r\n0\r\nx: y\n\r\n"}) {
    Reply reply = FetchResponse(kChunked + chunks);
    BOOST_TEST_CONTEXT("chunks " << chunks) {
      BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
      BOOST_TEST(!reply.result.error.empty());
    }
  }
}

// Guards against bytes of a chunked body that are lost or come twice when its reader pauses.
BOOST_AUTO_TEST_CASE(PausedChunkedBodyIsDeliveredOnce) {
  RawServer raw(io);
  Reply reply;
  bool reading = false;
  HttpCall call = Get(raw.Url());
  call.on_data = [&](std::string_view data) {
    if (reading) reply.body.append(data);
    return std::exchange(reading, false);
  };
  CallId id = Start(std::move(call), &reply);
  RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the request arrives");
  for (const char* bytes : {"", "4\r\nab", "cd\r", "\n2\r\nef\r\n1", "\r\ng\r\n0\r\n", "\r\n"}) {
    raw.peers[0]->Send((*bytes == 0 ? kChunked : "") + bytes);
    RunFor(milliseconds(5));
  }
  for (int i = 0; i < 100 && !reply.done; ++i) {
    reading = true;
    client->Resume(id);
    RunFor(milliseconds(5));
  }
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_TEST(reply.body == "abcdefg");
}

// Guards against a partial body that looks complete: the server answers while the request is still
// being written, without a length, and resets the connection. After a close, the reset follows the
// end of the connection.
BOOST_AUTO_TEST_CASE(ResetDuringTheUploadDoesNotEndTheBody) {
  enum class End { kReset, kCloseUnread, kClose };
  const std::string upload(8 << 20, 'u');
  std::string buffer(64 << 10, ' ');
  for (End end : {End::kReset, End::kCloseUnread, End::kClose}) {
    for (Duration pause : {milliseconds(0), milliseconds(1), milliseconds(20)}) {
      asio::ip::tcp::acceptor acceptor(
          io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      asio::ip::tcp::socket peer(io);
      acceptor.async_accept(peer, [](const asio::error_code&) {});
      Reply reply;
      HttpCall call =
          Post("http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), upload);
      call.new_connection = true;
      Start(std::move(call), &reply);
      RunUntil([&] { return peer.is_open() && peer.available() > 0; }, "the upload begins");
      asio::write(peer, asio::buffer(kOk + "\r\npart"));
      RunFor(pause);
      if (end == End::kReset) peer.set_option(asio::socket_base::linger(true, 0));
      while (end == End::kClose && peer.available() > 0) peer.read_some(asio::buffer(buffer));
      peer.close();
      RunUntil([&] { return reply.done; }, "the call is done");
      BOOST_TEST(reply.result.outcome == CallOutcome::kFailed,
                 "end " << static_cast<int>(end) << " after " << ToMillis(pause) << " ms");
      BOOST_TEST(!reply.result.error.empty());
    }
  }
}

// Guards against a partial body that looks complete: the server has not read the request, ends its
// sending side, and resets the connection a moment later. All of the request may stand in the
// buffers of the two kernels.
BOOST_AUTO_TEST_CASE(ResetAfterTheEndDoesNotCompleteTheBody) {
  constexpr Duration kLatestReset = milliseconds(40);
  for (size_t upload : {size_t{20} << 10, size_t{300} << 10, size_t{1} << 20, size_t{8} << 20}) {
    for (const char* part : {"", "part"}) {
      for (Duration pause : {milliseconds(0), milliseconds(5), milliseconds(20)}) {
        Reply reply;
        // Once more if this process did not run for so long that the reset was late.
        while (ResetAfterEnd(std::string(upload, 'u'), part, pause, &reply) > kLatestReset) {
          reply = Reply();
        }
        BOOST_TEST(reply.result.outcome == CallOutcome::kFailed,
                   upload << " bytes, reset after " << ToMillis(pause) << " ms");
        BOOST_TEST(!reply.result.error.empty());
      }
    }
  }
}

// Guards against a call that ends twice, or never, when it is cancelled or its client is destroyed
// while it waits for a reset.
BOOST_AUTO_TEST_CASE(CancelledWhileItAwaitsAReset) {
  for (bool destroys : {false, true}) {
    RawServer raw(io);
    Reply reply;
    CallId id = Start(Post(raw.Url(), "upload"), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "upload"); }, "the upload arrives");
    raw.peers[0]->Send(kOk + "\r\nbody");
    raw.peers[0]->Close();
    RunUntil([&] { return reply.body == "body"; }, "the body arrives");
    RunFor(milliseconds(10));
    BOOST_TEST(!reply.done);
    if (destroys) {
      client.reset();
    } else {
      client->Cancel(id);
    }
    RunFor(milliseconds(100));
    BOOST_TEST(!reply.done);
  }
}

// Guards against rules for responses that sound servers do not meet.
BOOST_AUTO_TEST_CASE(UnusualResponsesAreComplete) {
  const std::vector<std::string> responses = {
      "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 299 Caf\xc3\xa9, \"so so\"\r\nContent-Length: 4\r\n\r\nbody",
      kOk + "Content-Length:4\r\n\r\nbody",
      kOk + "CONTENT-LENGTH: \t 004 \t\r\n\r\nbody",
      kOk + "Transfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      kOk + "x:\r\nx-utf8: \xc3\xa4\r\nx-colons: a:b: c\r\n!#$%&'*+-.^_`|~09: t\tt\r\n\r\nbody",
      kOk + "x-content-length: 1\r\ncontent-length-x: 1\r\n\r\nbody",
      kChunked + "04\r\nbody\r\n000\r\n\r\n",
      kChunked + "1;a=\"b;c\"\r\nb\r\n3 ; x\r\nody\r\n0\r\nx: y\r\n\r\n",
      kChunked + "1\r\nb\r\n1\r\no\r\n1\r\nd\r\n1\r\ny\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + kOk +
          "Content-Length: 4\r\n\r\nbody"};
  for (const std::string& response : responses) {
    Reply reply = FetchResponse(response);
    BOOST_TEST_CONTEXT("response " << response) {
      BOOST_TEST(reply.result.outcome == CallOutcome::kComplete, reply.result.error);
      BOOST_TEST(reply.on_headers_calls == 1);
      BOOST_TEST(reply.body == "body");
    }
  }
  for (const char* head :
       {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    BOOST_TEST(FetchResponse(head).result.outcome == CallOutcome::kComplete, head);
  }
  BOOST_TEST(FetchResponse(kChunked, "HEAD").result.outcome == CallOutcome::kComplete);
  for (size_t upload : {size_t{0}, size_t{4}, size_t{8} << 20}) {
    RawServer raw(io);
    Reply reply;
    Start(Post(raw.Url(), std::string(upload, 'u')), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n" + std::string(upload, 'u')); },
             "the upload arrives");
    raw.peers[0]->Send(kOk + "\r\nbody");
    raw.peers[0]->Close();
    RunUntil([&] { return reply.done; }, "the call is done");
    BOOST_TEST(reply.result.outcome == CallOutcome::kComplete, upload << " bytes");
    BOOST_TEST(reply.body == "body");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift::test
