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
using test::HttpFixture;

// Guards against connections that are established between the last accept and the end of the
// listening socket, which resets them.
BOOST_FIXTURE_TEST_CASE(StopAcceptingResetsNoNewConnection, HttpFixture) {
  constexpr int kRounds = 150;
  constexpr int kClients = 4;
  std::atomic<int> lost{0};
  std::atomic<int> answered{0};
  for (int round = 0; round < kRounds; ++round) {
    Serve(Echo());
    tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server->port());
    std::atomic<int> refused{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([&] {
        for (;;) {
          asio::io_context client_io;
          tcp::socket socket(client_io);
          asio::error_code error;
          socket.connect(address, error);
          if (error) break;
          asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), error);
          char byte = 0;
          if (!error) asio::read(socket, asio::buffer(&byte, 1), error);
          ++(error ? lost : answered);
        }
        ++refused;
      });
    }
    int before = answered;
    RunUntil([&] { return answered > before + kClients; }, "the clients are answered");
    server->StopAccepting();
    RunUntil([&] { return refused == kClients; }, "all clients are refused");
    for (std::thread& client : clients) client.join();
  }
  BOOST_TEST(lost == 0, lost << " of " << answered << " connections were reset");
}

}  // namespace
}  // namespace ebonylift
