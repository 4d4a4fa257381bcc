#define BOOST_TEST_MODULE platform_stop
#include <algorithm>
#include <asio.hpp>
#include <boost/test/included/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/portal_deployment.h"
#include "tests/support/wait_for.h"

// A planned stop of a gateway whose callers go on using the connections that they have.

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kStartTimeout = seconds(20);
constexpr int kRouteTimeoutMillis = 20'000;

// A caller's connection to a gateway, which is kept open between requests. Blocks.
class KeptConnection {
 public:
  explicit KeptConnection(const std::string& address) : socket_(io_) {
    size_t colon = address.find(':');
    socket_.connect({asio::ip::make_address(address.substr(0, colon)),
                     static_cast<asio::ip::port_type>(std::stoi(address.substr(colon + 1)))});
  }

  // Returns the status of a complete answer, or 0 if the connection ended before.
  int Send(const std::string& method, const std::string& path, const std::string& id) {
    std::string request =
        method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
        "\r\nDeadline-Ms: " + std::to_string(kRouteTimeoutMillis) + "\r\nContent-Length: 0\r\n\r\n";
    asio::error_code error;
    asio::write(socket_, asio::buffer(request), error);
    std::string answer;
    asio::read_until(socket_, asio::dynamic_buffer(answer), "\r\n\r\n", error);
    if (error) return 0;
    size_t body = answer.find("\r\n\r\n") + 4;
    size_t length = answer.find("Content-Length: ");
    if (length == std::string::npos) return 0;
    size_t missing = body + std::stoul(answer.substr(length + 16)) - answer.size();
    asio::read(socket_, asio::dynamic_buffer(answer), asio::transfer_exactly(missing), error);
    return error ? 0 : std::stoi(answer.substr(answer.find(' ')));
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_;
};

// A caller that has used its connection before the stop and uses it again later.
struct Caller {
  std::unique_ptr<KeptConnection> connection;
  std::string id;
  int status = 0;  // of the later answer; 0: the connection ended without one
  std::thread thread;
};

// Sends a request on its connection after `delay`, on a thread of its own.
void SendAfter(Duration delay, const std::string& method, const std::string& path, Caller* caller) {
  caller->thread = std::thread([=] {
    std::this_thread::sleep_for(delay);
    caller->status = caller->connection->Send(method, path, caller->id);
  });
}

// Connects callers to the gateway with this number in the zone.
std::vector<Caller> ConnectCallers(int count, int gateway, const std::string& zone,
                                   PortalDeployment* deployment) {
  std::vector<Caller> callers(static_cast<size_t>(count));
  for (Caller& caller : callers) {
    caller.connection =
        std::make_unique<KeptConnection>(deployment->platform.GatewayAddress(zone, gateway));
    BOOST_REQUIRE(caller.connection->Send("GET", "/look/x", deployment->NextRequestId()) == 200);
    caller.id = deployment->NextRequestId();
  }
  return callers;
}

// Checks that requests that have run were answered, and that the others were refused as not run or
// were not read.
void CheckAnswers(const std::vector<Caller>& callers, const PlatformReplica& portal) {
  std::vector<std::string> ran = portal.ExecutedRequestIds();
  for (size_t i = 0; i < callers.size(); ++i) {
    const Caller& caller = callers[i];
    bool has_run = std::find(ran.begin(), ran.end(), caller.id) != ran.end();
    BOOST_TEST_MESSAGE("caller " << i << ": status " << caller.status << ", run " << has_run);
    if (has_run) BOOST_TEST(caller.status == 200, "caller " << i);
    if (!has_run) BOOST_TEST((caller.status == 503 || caller.status == 0), "caller " << i);
  }
}

json SlowRoutes() {
  json configuration = PlatformDeployment::Configuration(8);
  for (json& route : configuration["routes"]) route["timeout_ms"] = kRouteTimeoutMillis;
  return configuration;
}

}  // namespace

// Guards against requests that come late in the grace period on open connections, are sent on, and
// are cut without an answer at its end; and against requests that are refused as not run and have
// run.
BOOST_AUTO_TEST_CASE(LateRequestsOfAPlannedStopAreAnswered) {
  constexpr int kCallers = 12;
  constexpr Duration kInterval = milliseconds(600);
  constexpr Duration kServiceTime = milliseconds(2'500);
  const std::string zone = "este-a";
  PortalDeployment deployment(1, {zone});
  PlatformReplica* portal = deployment.replicas[0];
  PlatformReplica* silent = deployment.platform.AddReplica("model", zone);
  deployment.platform.PutConfiguration(SlowRoutes());
  auto model_serves = [&] {
    return deployment.platform.Request(zone, "POST", "/check/x", deployment.NextRequestId())
               .status == 200;
  };
  BOOST_REQUIRE(WaitFor(model_serves, kStartTimeout));

  std::vector<Caller> callers = ConnectCallers(kCallers, 0, zone, &deployment);
  std::vector<Caller> longest = ConnectCallers(1, 0, zone, &deployment);
  portal->SetRoom(kServiceTime, kCallers);
  silent->SetCut(CutMode::kSilent, {deployment.platform.GatewayIpIn(zone, 0)});
  deployment.platform.TerminateGateway(zone);
  for (int i = 0; i < kCallers; ++i) {
    bool harmless = i % 2 == 0;
    SendAfter(i * kInterval, harmless ? "GET" : "POST", harmless ? "/look/x" : "/post/x",
              &callers[static_cast<size_t>(i)]);
  }
  // Lasts longer than the grace period and may not be repeated.
  SendAfter(Duration(0), "POST", "/check/x", &longest[0]);
  for (Caller& caller : callers) caller.thread.join();
  longest[0].thread.join();
  std::this_thread::sleep_for(kServiceTime);

  CheckAnswers(callers, *portal);
  BOOST_TEST(callers.front().status == 200);
  BOOST_TEST((longest[0].status == 502 || longest[0].status == 504), longest[0].status);
}

// Guards against requests that are passed on and cut because a gateway that waits for the other one
// of its region, which is stopped as well, counts the time for late requests from the end of that
// wait.
BOOST_AUTO_TEST_CASE(LateRequestsOfAStopThatWaitsAreAnswered) {
  constexpr int kCallers = 12;
  constexpr Duration kInterval = milliseconds(600);
  // A stop ends after 7.5 s. What it takes in the first third of that has this time.
  constexpr Duration kServiceTime = milliseconds(4'800);
  constexpr Duration kGap = seconds(1);
  const std::string zone = "este-a";
  PortalDeployment deployment(2, {zone});
  PlatformReplica* portal = deployment.replicas[0];
  json configuration = SlowRoutes();
  PlatformDeployment::AddRoutes(1, &configuration);
  deployment.platform.PutConfiguration(configuration);
  for (int gateway : {0, 1}) {
    auto in_force = [&] {
      return deployment.platform
                 .RequestAt(zone, gateway, "GET", "/extra-0/x", deployment.NextRequestId())
                 .status == 200;
    };
    BOOST_REQUIRE(WaitFor(in_force, kStartTimeout));
  }
  std::vector<Caller> callers = ConnectCallers(kCallers, 1, zone, &deployment);
  // Keeps the first gateway from ending.
  std::vector<Caller> open = ConnectCallers(1, 0, zone, &deployment);
  portal->SetRoom(kServiceTime, kCallers);
  SendAfter(Duration(0), "GET", "/look/x", &open[0]);
  std::this_thread::sleep_for(milliseconds(200));
  deployment.platform.TerminateGateway(zone, 0);
  std::this_thread::sleep_for(kGap);
  deployment.platform.TerminateGateway(zone, 1);
  for (int i = 0; i < kCallers; ++i) {
    SendAfter(i * kInterval, "GET", "/look/x", &callers[static_cast<size_t>(i)]);
  }
  for (Caller& caller : callers) caller.thread.join();
  open[0].thread.join();
  std::this_thread::sleep_for(kServiceTime);

  CheckAnswers(callers, *portal);
  CheckAnswers(open, *portal);
  BOOST_TEST(callers.front().status == 200);
}

}  // namespace ebonylift::test
