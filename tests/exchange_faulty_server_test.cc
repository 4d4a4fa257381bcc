#define BOOST_TEST_MODULE exchange_faulty_server
#include <boost/test/included/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/exchange_fixture.h"
#include "tests/support/raw_tcp.h"

// Exchanges with servers whose bytes on the connection are wrong, through the real HTTP client.

namespace ebonylift {
namespace {

using test::FakeResponder;
using test::RawServer;

// Reports of operators: an earlier refusal that is written again, an error in the middle of a
// stream, and a head that breaks off.
struct FaultyServerFixture : test::DialectFixture {
  explicit FaultyServerFixture(bool resumable) : DialectFixture(resumable) {
    context.client = sockets.get();
    context.stream_origins = &origins;
    SetServers({&first});
  }

  void SetServers(const std::vector<RawServer*>& servers) {
    std::vector<std::string> addresses;
    for (const RawServer* server : servers)
      addresses.push_back("127.0.0.1:" + std::to_string(server->port()));
    DialectFixture::SetServers(addresses);
  }

  // Waits until a server has got its request with this number, on any of its connections.
  void AwaitRequest(const RawServer& server, size_t connection) {
    RunUntil([&] { return server.PeerReceived(connection, "\r\n\r\n"); }, "the request arrives");
  }
  void RunFor(Duration time) {
    Time end = SteadyNow() + time;
    RunUntil([&] { return SteadyNow() >= end; }, "the time has passed");
  }
  static bool Ended(const FakeResponder& caller) {
    return caller.sent_status != 0 || caller.ended || caller.aborted;
  }

  std::unique_ptr<HttpClient> sockets = MakeHttpClient(io);
  StreamOriginTable origins;
  RawServer first{io};
  RawServer second{io};
};

const std::string kSealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: 39ed\r\nServer-Seal: s\r\n";
const std::string kStreamHead = kSealedHead + "Content-Type: text/event-stream\r\n";

}  // namespace

// Guards against an error of the next server that reaches the caller in the middle of its stream,
// and against one without a body, after which the stream looked complete.
BOOST_AUTO_TEST_CASE(ErrorInTheMiddleOfAStreamIsNotRelayed) {
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string rest = "id: 3\ndata: c\n\n";
  const struct {
    const char* name;
    std::string response;
  } cases[] = {
      {"404", "HTTP/1.1 404 Not Found\r\nAttempt-Id: 39ed\r\nContent-Length: 9\r\n\r\nnot here\n"},
      {"404 like an event",
       "HTTP/1.1 404 Not Found\r\nAttempt-Id: 39ed\r\nContent-Length: 15\r\n\r\n" + rest},
      {"409 without a body",
       "HTTP/1.1 409 Conflict\r\nAttempt-Id: 39ed\r\nContent-Length: 0\r\n\r\n"},
      {"500",
       "HTTP/1.1 500 Error\r\nAttempt-Id: 39ed\r\nServer-Seal: s\r\n"
       "Content-Length: 6\r\n\r\nbroken"},
      {"503", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n"},
      {"another kind of answer", kSealedHead + "Content-Length: 2\r\n\r\n{}"},
      {"a stream that ends with its connection before its first event", kStreamHead + "\r\n"},
      {"a stream whose head breaks off", kStreamHead},
  };
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      FaultyServerFixture f(true);
      f.SetServers({&f.first, &f.second});
      std::shared_ptr<FakeResponder> caller = f.Start(f.LookSpec());
      f.RunUntil([&] { return f.first.peers.size() + f.second.peers.size() == 1; }, "it is sent");
      bool at_first = !f.first.peers.empty();
      RawServer& begins = at_first ? f.first : f.second;
      RawServer& continues = at_first ? f.second : f.first;
      f.AwaitRequest(begins, 0);
      begins.peers[0]->Send(kStreamHead + "\r\n" + events + "id: 3\nda");
      f.RunUntil([&] { return caller->text == events; }, "the stream begins");
      begins.peers[0]->Close();
      f.RunUntil([&] { return !continues.peers.empty(); }, "the stream is continued");
      f.AwaitRequest(continues, 0);
      BOOST_TEST(continues.peers[0]->HasReceived("Last-Event-Id: 2"));
      continues.peers[0]->Send(row.response);
      continues.peers[0]->Close();
      f.RunUntil([&] { return f.Ended(*caller); }, "the stream is broken off");
      BOOST_TEST(caller->text == events);
      BOOST_TEST(!caller->ended);
      BOOST_TEST(caller->aborted);
    }
  }
}

// Guards against a 200 with an empty or short body: the server stopped in the middle of the head
// and closed the connection.
BOOST_AUTO_TEST_CASE(HeadThatBreaksOffIsNoAnswer) {
  for (const std::string& head : {kSealedHead + "Content-Length: 12\r\n\r\n",
                                  kStreamHead + "Transfer-Encoding: chunked\r\n\r\n"}) {
    for (size_t length = 1; length < head.size(); ++length) {
      FaultyServerFixture f(false);
      std::shared_ptr<FakeResponder> caller = f.Start(f.LookSpec());
      f.AwaitRequest(f.first, 0);
      f.first.peers[0]->Send(head.substr(0, length));
      f.first.peers[0]->Close();
      f.RunUntil([&] { return f.Ended(*caller); }, "the exchange ends");
      BOOST_TEST(caller->sent_status == 502, length << " of " << head.size() << " bytes");
      BOOST_TEST(!caller->ended);
    }
  }
}

// Guards against a body that is not the server's and looks complete: the head is malformed where
// it gives the body's length, so the body is cut short or ends with the connection. Also against a
// malformed line that is passed on.
BOOST_AUTO_TEST_CASE(MalformedHeadIsNoAnswer) {
  for (const char* lines :
       {"Content-Length: 4x\r\n", "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 4\r\n: 12\r\n", "Content-Length: 4\r\n folded\r\n",
        "Transfer-Encoding: identity\r\n", "Content-Length : 4\r\n",
        "Content-Length: 15\r\nX Y: 1\r\n", "Content-Length: 14\r\nX\x01: 1\r\n",
        "Content-Length: 15\r\nX: \x01\r\n"}) {
    for (const std::string& head : {kSealedHead, kStreamHead}) {
      FaultyServerFixture f(false);
      std::shared_ptr<FakeResponder> caller = f.Start(f.LookSpec());
      f.AwaitRequest(f.first, 0);
      f.first.peers[0]->Send(head + lines + "\r\nid: 1\ndata: a\n\n");
      f.first.peers[0]->Close();
      f.RunUntil([&] { return f.Ended(*caller); }, "the exchange ends");
      BOOST_TEST(caller->sent_status == 502, lines);
      BOOST_TEST(!caller->ended, lines);
    }
  }
}

// Guards against a part of an answer that a caller gets as a complete one: the server has not read
// the upload, ends the answer with its connection, and resets that a moment later.
BOOST_AUTO_TEST_CASE(AnswerThatIsResetAfterItsEndIsNotComplete) {
  for (const std::string& head : {kSealedHead, kStreamHead}) {
    FaultyServerFixture f(false);
    f.first.reads = false;
    RequestSpec spec = f.LookSpec();
    spec.body = std::string(100 << 10, 'u');
    std::shared_ptr<FakeResponder> caller = f.Start(spec);
    f.RunUntil([&] { return !f.first.peers.empty() && f.first.peers[0]->socket.available() > 0; },
               "the upload begins");
    f.RunFor(milliseconds(20));  // the client writes what the buffers take
    f.first.peers[0]->Send(head + "\r\nid: 1\ndata: a\n\n");
    f.first.peers[0]->EndSending();
    f.RunFor(milliseconds(5));
    f.first.peers[0]->Reset();
    f.RunUntil([&] { return f.Ended(*caller); }, "the exchange ends");
    BOOST_TEST((caller->sent_status == 502 || caller->aborted), caller->sent_status);
    BOOST_TEST(!caller->ended);
  }
}

// Guards against a refusal of an earlier request that is written once more on a kept connection and
// counts as that of the next request, whose caller is told that it has not run.
BOOST_AUTO_TEST_CASE(EarlierRefusalIsNotThatOfTheNextRequest) {
  FaultyServerFixture f(false);
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nAttempt-Id: 39ed\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  std::shared_ptr<FakeResponder> refused = f.Start(f.LookSpec());
  f.AwaitRequest(f.first, 0);
  f.first.peers[0]->Send(refusal);
  f.RunUntil([&] { return f.Ended(*refused); }, "the first request is refused");
  BOOST_TEST(refused->sent_status == 503);

  RequestSpec next = f.LookSpec("51c0");
  std::shared_ptr<FakeResponder> running = f.Start(next);
  f.RunUntil([&] { return f.first.PeerReceived(0, "51c0"); }, "the connection is used again");
  f.first.peers[0]->Send(refusal);
  f.RunUntil([&] { return f.Ended(*running); }, "the second request ends");
  BOOST_TEST(running->sent_status == 502);

  // The response to the second request may still come on that connection.
  f.RunUntil([&] { return f.first.peers[0]->closed; }, "the connection is closed");
  std::shared_ptr<FakeResponder> last = f.Start(f.LookSpec("77aa"));
  f.AwaitRequest(f.first, 1);
  BOOST_TEST(f.first.PeerReceived(1, "77aa"));
}

// Guards against a request that comes again on the connection of its refusal: a second copy of the
// refusal would name the request that is running.
BOOST_AUTO_TEST_CASE(RefusedRequestDoesNotComeAgainOnItsConnection) {
  FaultyServerFixture f(false);
  std::shared_ptr<FakeResponder> caller = f.Start(f.LookSpec());
  f.AwaitRequest(f.first, 0);
  f.first.peers[0]->Send(
      "HTTP/1.1 503 Full\r\nAttempt-Id: 39ed\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  f.RunUntil([&] { return f.Ended(*caller); }, "the request is refused");
  BOOST_TEST(caller->sent_status == 503);
  const std::string& received = f.first.peers[0]->received;
  BOOST_TEST(received.find("39ed") == received.rfind("39ed"));
  BOOST_TEST(f.first.peers.size() == 1u);
}

}  // namespace ebonylift
