#define BOOST_TEST_MODULE http
#include <sys/resource.h>

#include <asio.hpp>
#include <boost/test/included/unit_test.hpp>
#include <list>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/error.h"

namespace ebonylift {

using asio::ip::tcp;

std::ostream& operator<<(std::ostream& out, CallOutcome outcome) {
  static const char* const names[] = {"kComplete", "kNotConnected", "kNothingWritten", "kFailed",
                                      "kTimedOut"};
  return out << names[static_cast<int>(outcome)];
}

namespace {

constexpr auto kPatience = seconds(10);

// A socket of the test itself that reads everything it is sent.
struct RawPeer : std::enable_shared_from_this<RawPeer> {
  explicit RawPeer(tcp::socket connected) : socket(std::move(connected)) {}

  void Read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](const asio::error_code& error, size_t n) {
                             self->received.append(self->buffer, n);
                             if (error) {
                               self->closed = true;
                               return;
                             }
                             self->Read();
                           });
  }
  void Send(const std::string& text) {
    asio::error_code error;
    asio::write(socket, asio::buffer(text), error);
  }
  void Close() {
    asio::error_code ignored;
    socket.close(ignored);
  }
  // Closes with a TCP reset.
  void Reset() {
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  bool Has(const std::string& text) const { return received.find(text) != std::string::npos; }

  tcp::socket socket;
  char buffer[16384];
  std::string received;
  bool closed = false;
};

// A server whose bytes the test writes itself.
struct RawServer {
  explicit RawServer(asio::io_context& io)
      : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
  }
  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
      peers.back()->Read();
      Accept();
    });
  }
  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/x";
  }
  bool Got(size_t peer, const std::string& text) const {
    return peers.size() > peer && peers[peer]->Has(text);
  }

  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<RawPeer>> peers;
};

struct Reply {
  bool done = false;
  int headers_seen = 0;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  CallResult result;
};

struct Fixture {
  void RunUntil(const std::function<bool()>& condition, const char* what) {
    auto deadline = SteadyNow() + kPatience;
    while (!condition() && SteadyNow() < deadline) io.run_one_for(milliseconds(20));
    BOOST_REQUIRE_MESSAGE(condition(), "waited in vain until " << what);
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
  std::shared_ptr<RawPeer> Connect() {
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->Read();
    return peer;
  }

  CallId Start(HttpCall call, Reply* reply) {
    call.on_headers = [reply](int status, const HttpHeaders& headers) {
      ++reply->headers_seen;
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
  HttpLimits limits;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = MakeHttpClient(io);
};

HttpHandler Echo() {
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

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Http, Fixture)

// Guards against a part of the message that is lost or added on the way.
BOOST_AUTO_TEST_CASE(RequestAndResponseArriveWhole) {
  Serve(Echo());
  HttpCall call = Post(Url("/a/b?c=d&e"), std::string(3 << 20, 'z'));
  call.headers = {{"x-sent", "value"}};
  Reply reply = Fetch(std::move(call));
  BOOST_TEST(reply.result.outcome == CallOutcome::kComplete);
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.result.status == 200);
  BOOST_TEST(reply.result.got_body);
  BOOST_TEST(reply.headers_seen == 1);
  BOOST_TEST((reply.body == std::string(3 << 20, 'z')));
  BOOST_TEST(FindHeader(reply.headers, "X-METHOD") == "POST");
  BOOST_TEST(FindHeader(reply.headers, "x-path") == "/a/b");
  BOOST_TEST(FindHeader(reply.headers, "x-query") == "c=d&e");
  BOOST_TEST(FindHeader(reply.headers, "x-seen") == "value");
  BOOST_TEST(FindHeader(reply.headers, "x-accept").empty());
  BOOST_TEST(FindHeader(reply.headers, "x-expect").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift
