#define BOOST_TEST_MODULE cold_limit
#include "core/cold_limit.h"

#include <boost/test/included/unit_test.hpp>
#include <map>

#include "core/ingress.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
constexpr double kRate = 3.3;
// The accepted bound: kRate * kMultiplier + kSlack requests in any second.
constexpr double kMultiplier = 1.5;
constexpr double kSlack = 3;
const Time kNow(seconds(1'000'000));

std::shared_ptr<ConfigView> MakeConfig() {
  auto ingress = std::make_shared<IngressConfig>();
  IngressService service;
  service.name = "model";
  service.cold_per_s = kRate;
  ingress->services[service.name] = service;
  auto config = std::make_shared<ConfigView>();
  config->ingress = ingress;
  return config;
}

BackendServer MakeServer(const std::string& id, Duration cold_for) {
  BackendServer server;
  server.announced.id = ServerId(id);
  server.announced.incarnation = 1;
  server.announced.kind = ServerKind::kService;
  server.announced.domain = DomainId("este-a");
  server.announced.region = RegionId("este");
  server.announced.services = {"model"};
  server.announced.load.slots = 32;
  server.announced.cold_for = cold_for;
  server.first_seen = kNow - seconds(100);
  server.reported_at = kNow;
  server.expires_at = kNow + seconds(30);
  return server;
}

// Returns the view of host number `self` in a region of `hosts` hosts.
RoutingView MakeView(int self, int hosts) {
  RoutingView view;
  view.config = MakeConfig();
  view.server_scope = ServerScope::kRegion;
  for (int i = 0; i < hosts; ++i) {
    HostEntry host;
    host.id = HostId("h" + std::to_string(i));
    host.region = RegionId("este");
    host.domain = DomainId(i % 2 == 0 ? "este-a" : "este-b");
    host.caller_address = "10.0.0.1:80";
    view.hosts.push_back(host);
    if (i == self) view.self = {host.id, host.region, host.domain};
  }
  return view;
}

RouteConfig MakeRoute() {
  RouteConfig route;
  route.team = TeamId(kIngressTeam);
  route.kind = ServerKind::kService;
  route.service = "model";
  route.regions = {RegionId("este")};
  return route;
}

}  // namespace

// Guards against overloading a cold server to which many hosts send at the same time, as in the
// fault scenario `cold_return` under load: with every host offering a request each millisecond, the
// server gets no more requests than the bound in any second.
BOOST_AUTO_TEST_CASE(CombinedRateOfAllHostsIsBounded) {
  for (int hosts : {1, 2, 3, 7, 28}) {
    RouteConfig route = MakeRoute();
    std::vector<RoutingView> views;
    std::vector<RoutingState> routing_states(static_cast<size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
      views.push_back(MakeView(i, hosts));
      views.back().servers = {MakeServer("cold", seconds(20)), MakeServer("warm", Duration(0))};
    }
    std::mt19937_64 rng(kSeed);
    std::vector<Time> arrivals;
    for (int ms = 0; ms < 5'000; ++ms) {
      Time now = kNow + milliseconds(ms);
      for (size_t i = 0; i < views.size(); ++i) {
        RouteQuery query;
        query.team = route.team;
        query.route = &route;
        query.allowed_regions = route.regions;
        query.deadline = now + seconds(5);
        Choice choice = Choose(query, views[i], routing_states[i], now, rng);
        if (choice.kind != ChoiceKind::kLocal || choice.server != ServerId("cold")) continue;
        OnDispatch(routing_states[i], query, choice, now);
        OnServerOutcome(routing_states[i], views[i], choice.server, now, ServerOutcome::kOk, now);
        arrivals.push_back(now);
      }
    }
    BOOST_TEST(arrivals.size() > 5u, hosts << " hosts");
    for (size_t first = 0; first < arrivals.size(); ++first) {
      size_t last = first;
      while (last < arrivals.size() && arrivals[last] - arrivals[first] < seconds(1)) ++last;
      BOOST_TEST(static_cast<double>(last - first) <= kRate * kMultiplier + kSlack,
                 hosts << " hosts");
    }
  }
}

// Guards against a server that stays limited after it is warm, or whose service has no limit.
BOOST_AUTO_TEST_CASE(LimitEndsWhenTheServerIsWarm) {
  BackendServer server = MakeServer("s", seconds(3));
  BOOST_TEST(IsCold(server, kNow + milliseconds(2'999)));
  BOOST_TEST(!IsCold(server, kNow + seconds(3)));
  RoutingView view = MakeView(0, 1);
  BOOST_TEST((ColdRequestInterval(view, server) == Duration(static_cast<int64_t>(1e6 / kRate))));
  server.announced.services = {"other"};
  BOOST_TEST((ColdRequestInterval(view, server) == Duration(0)));
}

}  // namespace ebonylift
