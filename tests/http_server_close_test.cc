#define BOOST_TEST_MODULE http_server_close
#include <asio.hpp>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <thread>
#include <vector>

#include "adapters/http_server.h"
#include "tests/support/http_fixture.h"

// The end of the listening socket while clients connect.

namespace ebonylift {
namespace {

using asio::ip::tcp;
using test::Echo;
using test::kHttpTestTimeout;

constexpr int kClients = 4;

struct Counts {
  std::atomic<int> lost{0};
  std::atomic<int> answered{0};
  std::atomic<int> overdue{0};  // ends after which a client was not refused in time
};

// Connects and sends a request, again and again, until a connection is refused.
void RunClient(const tcp::endpoint& address, Counts* counts, std::atomic<int>* answered) {
  for (;;) {
    asio::io_context io;
    tcp::socket socket(io);
    asio::error_code error;
    socket.connect(address, error);
    if (error) return;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), error);
    char byte = 0;
    if (!error) asio::read(socket, asio::buffer(&byte, 1), error);
    ++(error ? counts->lost : counts->answered);
    if (!error) ++*answered;
  }
}

// Starts a server and ends its listening socket under kClients clients.
void EndListeningSocket(Counts* counts) {
  asio::io_context io;
  std::unique_ptr<HttpServer> server = StartHttpServer(io, "127.0.0.1:0", HttpLimits(), Echo());
  tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server->port());
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      RunClient(address, counts, &answered);
      ++refused;
    });
  }
  while (answered <= kClients) io.run_one_for(milliseconds(20));
  server->StopAccepting();
  Time deadline = SteadyNow() + kHttpTestTimeout;
  while (refused < kClients && SteadyNow() < deadline) io.run_one_for(milliseconds(20));
  if (refused < kClients) ++counts->overdue;
  server.reset();
  for (std::thread& client : clients) client.join();
}

}  // namespace

// Guards against connections that are established between the last accept and the end of the
// listening socket, which resets them. Several servers end at the same time, because an ignored
// connection attempt is repeated after a second only.
BOOST_AUTO_TEST_CASE(StopAcceptingResetsNoNewConnection) {
  constexpr int kServers = 5;
  constexpr int kRoundsPerServer = 30;
  Counts counts;
  std::vector<std::thread> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.emplace_back([&] {
      for (int round = 0; round < kRoundsPerServer; ++round) EndListeningSocket(&counts);
    });
  }
  for (std::thread& server : servers) server.join();
  BOOST_TEST(counts.lost == 0,
             counts.lost << " of " << counts.answered << " connections were reset");
  BOOST_TEST(counts.overdue == 0);
}

}  // namespace ebonylift
