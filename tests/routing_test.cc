#define BOOST_TEST_MODULE routing
#include "core/routing.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <set>

#include "core/ingress.h"
#include "core/poison.h"
#include "core/server_affinity.h"

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
const Time kNow(seconds(1'000'000));

// A host h0 in domain este-a of region este, and a query for model m that may run in este and
// norte.
struct Fixture {
  RouteConfig route;
  std::shared_ptr<ConfigView> config = std::make_shared<ConfigView>();
  RoutingView view;
  RoutingState routing_state;
  std::mt19937_64 rng{kSeed};
  RouteQuery query;

  Fixture() {
    route.team = TeamId("rocha");
    route.id = RouteId("summaries");
    route.model = ModelId("m");
    route.regions = {RegionId("este"), RegionId("norte")};
    route.home = RegionId("este");
    view.self = {HostId("h0"), RegionId("este"), DomainId("este-a")};
    view.config = config;
    query.team = route.team;
    query.route = &route;
    query.allowed_regions = route.regions;
    query.prompt_tokens = 1'000;
    query.deadline = kNow + seconds(60);
    AddHost("h0", "este", "este-a");
  }

  BackendServer& AddServer(const std::string& id, int running = 0, int slots = 8) {
    BackendServer server;
    server.announced.id = ServerId(id);
    server.announced.incarnation = 1;
    server.announced.domain = view.self.domain;
    server.announced.region = view.self.region;
    server.announced.models = {{ModelId("m"), {"guides"}, "1"}};
    server.announced.load.running = running;
    server.announced.load.slots = slots;
    server.first_seen = kNow - seconds(100);
    server.reported_at = kNow - milliseconds(500);
    server.expires_at = kNow + seconds(1);
    view.servers.push_back(server);
    return view.servers.back();
  }

  HostEntry& AddHost(const std::string& id, const std::string& region, const std::string& domain) {
    HostEntry host;
    host.id = HostId(id);
    host.region = RegionId(region);
    host.domain = DomainId(domain);
    view.hosts.push_back(host);
    return view.hosts.back();
  }

  DomainSummary& AddSummary(const std::string& region, const std::string& domain, int running = 0,
                            int slots = 8) {
    DomainSummary summary;
    summary.domain = DomainId(domain);
    summary.region = RegionId(region);
    summary.served = "m";
    summary.servers = 1;
    summary.slots = slots;
    summary.running = running;
    summary.reported_at = kNow;
    view.summaries.push_back(summary);
    return view.summaries.back();
  }

  Choice Run() { return Choose(query, view, routing_state, kNow, rng); }

  Time Dispatch(const Choice& choice, Time at = kNow) {
    OnDispatch(routing_state, query, choice, at);
    return at;
  }
};

// A local choice of the given server that prefills the whole prompt of the query.
Choice LocalChoiceAt(const ServerId& server, uint64_t incarnation, const RouteQuery& query) {
  Choice choice;
  choice.kind = ChoiceKind::kLocal;
  choice.server = server;
  choice.incarnation = incarnation;
  choice.prefill_tokens = query.prompt_tokens;
  return choice;
}

const char* KindName(ChoiceKind kind) {
  switch (kind) {
    case ChoiceKind::kLocal:
      return "local";
    case ChoiceKind::kForward:
      return "forward";
    case ChoiceKind::kQueue:
      return "queue";
    case ChoiceKind::kRefuse:
      return "refuse";
  }
  return "?";
}

std::string Describe(const Choice& choice) {
  std::string out = KindName(choice.kind);
  if (choice.kind == ChoiceKind::kLocal) out += " " + choice.server.value();
  if (choice.kind == ChoiceKind::kForward) out += " " + choice.host.value();
  if (choice.kind == ChoiceKind::kRefuse) out += std::string(" ") + LookupError(choice.error).code;
  return out;
}

struct Case {
  const char* name;
  const char* expected;
  std::function<void(Fixture&)> set_up;
};

void RunCases(const std::vector<Case>& cases) {
  for (const Case& row : cases) {
    Fixture fixture;
    row.set_up(fixture);
    BOOST_TEST(Describe(fixture.Run()) == row.expected, row.name);
  }
}

void AddFullServerAndIdleNorte(Fixture& f) {
  f.AddServer("s1", 100, 8);
  f.AddHost("h1", "norte", "norte-a");
  f.AddSummary("norte", "norte-a");
}

}  // namespace

// Guards against requests that run in a region where they are not allowed, or not known to be
// allowed (I1).
BOOST_AUTO_TEST_CASE(ResidencyIsEnforced) {
  RunCases({
      {"allowed here", "local s1", [](Fixture& f) { f.AddServer("s1"); }},
      {"no route", "refuse residency_refused",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.route = nullptr;
       }},
      {"no allowed region", "refuse residency_refused",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.allowed_regions.clear();
       }},
      {"the route and the query have no region in common", "refuse residency_refused",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.allowed_regions = {RegionId("sur")};
       }},
      {"own region unknown", "refuse region_unreachable",
       [](Fixture& f) {
         f.AddServer("s1");
         f.view.self.region = RegionId();
       }},
      {"own region not allowed, forwarded", "forward h1",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.allowed_regions = {RegionId("norte")};
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"own region not allowed, other region unreachable", "refuse region_unreachable",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.allowed_regions = {RegionId("norte")};
         f.AddHost("h1", "norte", "norte-a").status = HostStatus::kFailed;
         f.AddSummary("norte", "norte-a");
       }},
      {"own region not allowed, route without send_away", "refuse residency_refused",
       [](Fixture& f) {
         f.AddServer("s1");
         f.route.send_away = false;
         f.query.allowed_regions = {RegionId("norte")};
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"a server that announces another region", "refuse no_server",
       [](Fixture& f) { f.AddServer("s1").announced.region = RegionId("norte"); }},
      {"a server without a region", "refuse no_server",
       [](Fixture& f) { f.AddServer("s1").announced.region = RegionId(); }},
      {"full local servers do not cause a forward to a region that is not allowed", "queue",
       [](Fixture& f) {
         AddFullServerAndIdleNorte(f);
         f.query.allowed_regions = {RegionId("este")};
       }},
      {"a host that announces a region to which its failure domain does not belong", "queue",
       [](Fixture& f) {
         AddFullServerAndIdleNorte(f);
         f.config->regions[RegionId("norte")].domains = {DomainId("norte-b")};
       }},
  });
}

// Guards against forwarding loops and against requests that change region more than once (I2).
BOOST_AUTO_TEST_CASE(HopLimitsAreEnforced) {
  auto remote_only = [](Fixture& f) {
    f.AddHost("h1", "norte", "norte-a");
    f.AddSummary("norte", "norte-a");
  };
  RunCases({
      {"no hops", "forward h1", [&](Fixture& f) { remote_only(f); }},
      {"one hop", "forward h1",
       [&](Fixture& f) {
         remote_only(f);
         f.query.hops = 1;
       }},
      {"two hops", "refuse hop_limit",
       [&](Fixture& f) {
         remote_only(f);
         f.query.hops = 2;
       }},
      {"two hops, but a local server can run it", "local s1",
       [&](Fixture& f) {
         f.AddServer("s1");
         f.query.hops = 2;
       }},
      {"three hops", "refuse hop_limit",
       [&](Fixture& f) {
         f.AddServer("s1");
         f.query.hops = 3;
       }},
      {"region changed before", "refuse no_server",
       [&](Fixture& f) {
         remote_only(f);
         f.query.hops = 1;
         f.query.crossed_region = true;
       }},
      {"region changed before, forward within the region", "forward h2",
       [&](Fixture& f) {
         remote_only(f);
         f.AddHost("h2", "este", "este-b");
         f.AddSummary("este", "este-b");
         f.query.hops = 1;
         f.query.crossed_region = true;
       }},
      {"back to the sender", "refuse no_server",
       [&](Fixture& f) {
         remote_only(f);
         f.query.hops = 1;
         f.query.avoid_hosts = {HostId("h1")};
       }},
      {"a forwarded request is not forwarded again while local servers exist", "queue",
       [&](Fixture& f) {
         AddFullServerAndIdleNorte(f);
         f.query.hops = 1;
       }},
  });
}

// Guards against dispatches to servers that have expired, are leaving or do not serve the route,
// and against forwards to hosts that cannot run the request (I7).
BOOST_AUTO_TEST_CASE(OnlyLiveServersAndHosts) {
  RunCases({
      {"expired", "refuse no_server", [](Fixture& f) { f.AddServer("s1").expires_at = kNow; }},
      {"leaving", "refuse no_server",
       [](Fixture& f) { f.AddServer("s1").announced.leaving = true; }},
      {"other model", "refuse no_server",
       [](Fixture& f) { f.AddServer("s1").announced.models[0].name = ModelId("n"); }},
      {"other version", "refuse no_server",
       [](Fixture& f) {
         f.AddServer("s1");
         f.route.version = "2";
       }},
      {"adapter present", "local s1",
       [](Fixture& f) {
         f.AddServer("s1");
         f.route.adapter = "guides";
       }},
      {"adapter absent", "refuse no_server",
       [](Fixture& f) {
         f.AddServer("s1");
         f.route.adapter = "schools";
       }},
      {"service on a model server", "refuse no_server",
       [](Fixture& f) {
         f.AddServer("s1");
         f.route.kind = ServerKind::kService;
         f.route.service = "logbook";
       }},
      {"service", "local s1",
       [](Fixture& f) {
         BackendServer& server = f.AddServer("s1");
         server.announced.kind = ServerKind::kService;
         server.announced.services = {"logbook"};
         f.route.kind = ServerKind::kService;
         f.route.service = "logbook";
       }},
      {"server already tried", "local s2",
       [](Fixture& f) {
         f.AddServer("s1");
         f.AddServer("s2", 7);
         f.query.avoid_servers = {ServerId("s1")};
       }},
      {"deadline passed", "refuse deadline_not_run",
       [](Fixture& f) {
         f.AddServer("s1");
         f.query.deadline = kNow;
       }},
      {"summary without servers", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a").servers = 0;
       }},
      {"summary of another model", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a").served = "n";
       }},
      {"old summary", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a").reported_at = kNow - kSummaryTtl - seconds(1);
       }},
      {"suspected host", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a").status = HostStatus::kSuspect;
         f.AddSummary("norte", "norte-a");
       }},
      {"leaving host", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a").status = HostStatus::kLeaving;
         f.AddSummary("norte", "norte-a");
       }},
      {"overloaded host", "refuse no_server",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a").overloaded = true;
         f.AddSummary("norte", "norte-a");
       }},
      {"one of two hosts is alive", "forward h2",
       [](Fixture& f) {
         f.AddHost("h1", "norte", "norte-a").status = HostStatus::kFailed;
         f.AddHost("h2", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
  });
}

// Guards against requests that oscillate between hosts, and against forwards that ignore the
// weights of the route.
BOOST_AUTO_TEST_CASE(ForwardMustBeatLocalCostByMargin) {
  auto add_busy_server = [](Fixture& f, int running) {
    f.AddServer("s1", running, 8);
    f.AddHost("h1", "norte", "norte-a");
    f.AddSummary("norte", "norte-a");
    f.route.weight_remote = 0;
  };
  RunCases({
      {"local server is idle", "local s1", [&](Fixture& f) { add_busy_server(f, 0); }},
      // With one request per slot, the wait is 1/8 s. The margin of 50 ms and the round trip exceed
      // that.
      {"local wait is below round trip plus margin", "local s1",
       [&](Fixture& f) { add_busy_server(f, 8); }},
      {"local wait is longer", "forward h1",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 4;
       }},
      {"route without send_away", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 4;
         f.route.send_away = false;
       }},
      {"weight_remote makes the forward too expensive", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 4;
         f.route.weight_remote = 10;
       }},
      {"the remote domain is equally busy", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 4;
         f.view.summaries[0].running = 100;
       }},
      // Guards against equally loaded regions that exchange requests: the summary does not include
      // the queues of the remote gateways.
      {"the remote domain has no free slot", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 400;
         f.view.summaries[0].running = 8;
       }},
      {"forwards since the summary count", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 100);
         f.routing_state.queued_ahead = 4;
         for (int i = 0; i < 100; ++i)
           OnForward(f.routing_state, DomainId("norte-a"), kNow + seconds(1));
       }},
      // Guards against chapters that occupy all slots, so that interactive requests wait for
      // seconds.
      {"a chapter leaves slots free after recent interactive requests", "queue",
       [&](Fixture& f) {
         add_busy_server(f, 6);
         f.route.send_away = false;
         f.query.traffic_class = TrafficClass::kChapter;
         f.routing_state.slots_reserved_until = kNow + seconds(1);
       }},
      {"a chapter at its turn uses the reserved slots", "local s1",
       [&](Fixture& f) {
         add_busy_server(f, 6);
         f.route.send_away = false;
         f.query.traffic_class = TrafficClass::kChapter;
         f.query.may_use_reserved_slots = true;
         f.routing_state.slots_reserved_until = kNow + seconds(1);
       }},
      {"a chapter uses all slots without recent interactive requests", "local s1",
       [&](Fixture& f) {
         add_busy_server(f, 6);
         f.route.send_away = false;
         f.query.traffic_class = TrafficClass::kChapter;
       }},
      {"no local server", "forward h1",
       [&](Fixture& f) {
         add_busy_server(f, 0);
         f.view.servers.clear();
       }},
  });
}

// Guards against local choices by cost, cached prefix and utilization that differ from the rules in
// section 9, item 12 of the design.
BOOST_AUTO_TEST_CASE(LocalServerIsPickedByCost) {
  RunCases({
      {"the less loaded server", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 9);
         f.AddServer("s2", 1);
       }},
      {"dispatches since the report count", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 0);
         f.AddServer("s2", 2);
         for (int i = 0; i < 3; ++i)
           OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), kNow);
       }},
      {"all full", "queue",
       [](Fixture& f) {
         f.AddServer("s1", 10);
         f.AddServer("s2", 10);
       }},
      {"the prefix is cached", "local s1",
       [](Fixture& f) {
         f.AddServer("s1", 3);
         f.AddServer("s2", 0);
         f.query.prefix_hashes = {11, 12, 13};
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query),
                    kNow - seconds(10));
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), kNow - seconds(10),
                         ServerOutcome::kOk, kNow - seconds(9));
       }},
      {"the server with the cached prefix waits too long", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 9);
         f.AddServer("s2", 0);
         f.query.prefix_hashes = {11, 12, 13};
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query),
                    kNow - seconds(10));
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), kNow - seconds(10),
                         ServerOutcome::kOk, kNow - seconds(9));
       }},
      {"an expired prefix is not counted", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 3);
         f.AddServer("s2", 0);
         f.query.prefix_hashes = {11, 12, 13};
         Time long_ago = kNow - kPrefixTtl;
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), long_ago);
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), long_ago, ServerOutcome::kOk,
                         long_ago);
       }},
      {"a cache with a gap in its events is not counted", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 3);
         f.AddServer("s2", 0);
         f.query.prefix_hashes = {11, 12, 13};
         Time before = kNow - seconds(10);
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), before);
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), before, ServerOutcome::kOk,
                         before);
         ForgetPrefixes(f.routing_state, ServerId("s1"));
       }},
      {"the cache of an earlier incarnation is not counted", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 3).announced.incarnation = 2;
         f.AddServer("s2", 0);
         f.query.prefix_hashes = {11, 12, 13};
         Time before = kNow - seconds(10);
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), before);
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), before, ServerOutcome::kOk,
                         before);
       }},
  });
}

// Guards against ended requests that count as load until the next report: a server would then get
// no more requests between two reports than it has slots, and the others would wait.
BOOST_AUTO_TEST_CASE(EndedRequestsAreNotCountedAsDispatched) {
  RoutingState routing_state;
  RouteQuery query;
  ServerId server("s1");
  RoutingView view;
  for (int i = 0; i < 100; ++i) {
    Time placed = kNow + milliseconds(i);
    OnDispatch(routing_state, query, LocalChoiceAt(server, 1, query), placed);
    Time dispatched = placed + Duration(i % 3);  // the caller reads the clock after Choose()
    OnServerOutcome(routing_state, view, server, dispatched, ServerOutcome::kOk,
                    placed + milliseconds(1));
  }
  BOOST_TEST(routing_state.servers.at(server).dispatch_times.empty());
  BOOST_TEST(routing_state.servers.at(server).in_flight == 0);
  OnForward(routing_state, DomainId("d2"), kNow);
  OnForwardOutcome(routing_state, DomainId("d2"), kNow + Duration(1), ForwardOutcome::kAnswered,
                   kNow);
  BOOST_TEST(routing_state.domains.at(DomainId("d2")).dispatch_times.empty());
}

// Guards against routing policies that do not follow their definitions in RoutingPolicy.
BOOST_AUTO_TEST_CASE(PoliciesPickAsSpecified) {
  Fixture f;
  f.AddServer("s1", 5);
  f.AddServer("s2", 1);
  f.AddServer("s3", 3);
  f.routing_state.policy = RoutingPolicy::kLeastReported;
  BOOST_TEST(Describe(f.Run()) == "local s2");

  f.routing_state.policy = RoutingPolicy::kRoundRobin;
  std::vector<std::string> order;
  for (int i = 0; i < 4; ++i) {
    Choice choice = f.Run();
    order.push_back(choice.server.value());
    f.Dispatch(choice);
  }
  std::vector<std::string> expected = {"s1", "s2", "s3", "s1"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());

  // Equal loads, because a server above the load bound gets no prefix. The prefixes must use all
  // servers, and removing a server must not move the prefixes of the others.
  f.routing_state = RoutingState();
  for (BackendServer& server : f.view.servers) server.announced.load.running = 3;
  f.routing_state.policy = RoutingPolicy::kPrefixHash;
  std::map<uint64_t, std::string> preferred_servers;
  std::set<std::string> used;
  for (uint64_t prefix = 1; prefix <= 60; ++prefix) {
    f.query.prefix_hashes = {prefix};
    preferred_servers[prefix] = f.Run().server.value();
    used.insert(preferred_servers[prefix]);
  }
  BOOST_TEST(used.size() == 3u);
  f.view.servers.erase(f.view.servers.begin());
  for (const auto& [prefix, preferred] : preferred_servers) {
    f.query.prefix_hashes = {prefix};
    if (preferred != "s1") BOOST_TEST(f.Run().server.value() == preferred);
  }

  // A popular prefix must spill to the other server before its own one is full.
  f.routing_state = RoutingState();
  f.routing_state.policy = RoutingPolicy::kPrefixHash;
  std::map<std::string, int> share;
  f.query.prefix_hashes = {1};
  for (int i = 0; i < 6; ++i) {
    Choice choice = f.Run();
    ++share[choice.server.value()];
    f.Dispatch(choice);
  }
  BOOST_TEST(share.size() == 2u);

  f.routing_state = RoutingState();
  f.view.servers[0].announced.load.running = 1;
  f.routing_state.policy = RoutingPolicy::kPowerOfTwo;
  int emptier = 0;
  for (int i = 0; i < 1'000; ++i) emptier += f.Run().server.value() == "s2" ? 1 : 0;
  // Two random draws from two servers miss s2 in a quarter of the cases.
  BOOST_TEST(emptier > 700);
  BOOST_TEST(emptier < 800);
}

// Guards against a server that gets its full share of requests right after it (re)appears.
BOOST_AUTO_TEST_CASE(SlowStartRampsUp) {
  struct Row {
    int64_t age_ms;
    double share;  // expected share of the choices, among 4 equal servers
  };
  for (const Row& row :
       std::vector<Row>{{0, 0}, {2'500, 0.0625}, {5'000, 0.125}, {10'000, 0.25}, {60'000, 0.25}}) {
    Fixture f;
    f.routing_state.policy = RoutingPolicy::kPowerOfTwo;
    for (int i = 0; i < 4; ++i) f.AddServer("s" + std::to_string(i));
    f.view.servers[0].first_seen = kNow - milliseconds(row.age_ms);
    int chosen = 0;
    for (int i = 0; i < 10'000; ++i) chosen += f.Run().server.value() == "s0" ? 1 : 0;
    BOOST_TEST(std::abs(chosen / 10'000.0 - row.share) < 0.03, "age " << row.age_ms);
  }
  Fixture f;
  f.AddServer("s1").first_seen = kNow;
  BOOST_TEST(Describe(f.Run()) == "local s1", "a single server gets work at once");
}

// Guards against a failing server that keeps getting requests, and against a network fault of this
// host that ejects all servers.
BOOST_AUTO_TEST_CASE(EjectedShareIsCapped) {
  Fixture f;
  for (int i = 0; i < 6; ++i) f.AddServer("s" + std::to_string(i));
  int ejected = 0;
  for (int i = 0; i < 6; ++i) {
    ServerId id("s" + std::to_string(i));
    for (int failure = 0; failure < kFailuresToEject; ++failure) {
      OnDispatch(f.routing_state, f.query, LocalChoiceAt(id, 1, f.query), kNow);
      if (OnServerOutcome(f.routing_state, f.view, id, kNow, ServerOutcome::kFailed, kNow))
        ++ejected;
    }
  }
  BOOST_TEST(ejected == 2);  // a third of 6
  std::set<std::string> used;
  for (int i = 0; i < 500; ++i) used.insert(f.Run().server.value());
  BOOST_TEST(used.size() == 4u);
  BOOST_TEST(used.count("s0") == 0u);

  // The ejection time doubles with each consecutive ejection. A success resets it.
  RoutingState routing_state;
  Time now = kNow;
  ServerId s0("s0");
  for (int64_t expected_s : {1, 2, 4, 8, 16, 30, 30}) {
    bool done = false;
    for (int i = 0; i < kFailuresToEject && !done; ++i) {
      OnDispatch(routing_state, f.query, LocalChoiceAt(s0, 1, f.query), now);
      done = OnServerOutcome(routing_state, f.view, s0, now, ServerOutcome::kFailed, now);
    }
    BOOST_TEST(done);
    BOOST_TEST(ToMillis(routing_state.servers[s0].ejected_until - now) == expected_s * 1000);
    for (BackendServer& server : f.view.servers) server.expires_at = now + seconds(100);
    now = routing_state.servers[s0].ejected_until;
  }
  OnDispatch(routing_state, f.query, LocalChoiceAt(s0, 1, f.query), now);
  OnServerOutcome(routing_state, f.view, s0, now, ServerOutcome::kOk, now);
  BOOST_TEST(routing_state.servers[s0].consecutive_ejections == 0);
}

// Guards against refusals because the only server of a route is ejected, and against failures of an
// earlier incarnation that eject a restarted server.
BOOST_AUTO_TEST_CASE(EjectionWithoutAlternativesAndAfterRestart) {
  Fixture f;
  for (const char* id : {"s1", "s2", "s3"}) f.AddServer(id);
  f.view.servers[1].announced.models[0].name = ModelId("n");
  f.view.servers[2].announced.models[0].name = ModelId("n");
  ServerId s1("s1");
  for (int i = 0; i < kFailuresToEject; ++i) {
    OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 1, f.query), kNow);
    OnServerOutcome(f.routing_state, f.view, s1, kNow, ServerOutcome::kFailed, kNow);
  }
  BOOST_TEST((f.routing_state.servers[s1].ejected_until > kNow));
  BOOST_TEST(Describe(f.Run()) == "local s1");

  for (int i = 0; i < 5; ++i)
    OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 1, f.query), kNow);
  OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 2, f.query), kNow + seconds(1));
  for (int i = 0; i < 5; ++i) {
    OnServerOutcome(f.routing_state, f.view, s1, kNow, ServerOutcome::kFailed, kNow + seconds(2));
  }
  BOOST_TEST(f.routing_state.servers[s1].consecutive_failures == 0);
  BOOST_TEST(f.routing_state.servers[s1].in_flight == 1);
}

// Guards against suspects that share a server with other requests.
BOOST_AUTO_TEST_CASE(SuspectsRunInIsolation) {
  RunCases({
      {"an idle server", "local s2",
       [](Fixture& f) {
         f.AddServer("s1", 1);
         f.AddServer("s2", 0);
         f.query.suspect = true;
       }},
      {"no idle server", "queue",
       [](Fixture& f) {
         f.AddServer("s1", 1);
         f.AddServer("s2", 0).announced.load.waiting = 1;
         f.query.suspect = true;
       }},
      {"idle by its report, but this host has work there", "queue",
       [](Fixture& f) {
         f.AddServer("s1", 0);
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query),
                    kNow - seconds(5));
         f.query.suspect = true;
       }},
      {"an exclusive server gets no other work", "queue",
       [](Fixture& f) {
         f.AddServer("s1", 0);
         f.query.suspect = true;
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), kNow);
         f.query.suspect = false;
       }},
      {"the server is available after the suspect has ended", "local s1",
       [](Fixture& f) {
         f.AddServer("s1", 0);
         f.query.suspect = true;
         OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), kNow);
         f.query.suspect = false;
         OnServerOutcome(f.routing_state, f.view, ServerId("s1"), kNow, ServerOutcome::kOk, kNow);
       }},
      {"a suspect is not forwarded to another region while local servers exist", "queue",
       [](Fixture& f) {
         AddFullServerAndIdleNorte(f);
         f.query.suspect = true;
       }},
  });

  // While suspects wait, all hosts keep the same server free under load.
  std::set<std::string> unused_servers;
  for (int host = 0; host < 5; ++host) {
    Fixture f;
    f.view.self.host = HostId("h" + std::to_string(host));
    std::set<std::string> used;
    for (int i = 0; i < 6; ++i)
      used.insert(f.AddServer("s" + std::to_string(i), 3).announced.id.value());
    f.routing_state.set_aside_until = kNow + seconds(1);
    for (int i = 0; i < 300; ++i) used.erase(f.Run().server.value());
    BOOST_TEST(used.size() == 1u);
    unused_servers.insert(used.begin(), used.end());
  }
  BOOST_TEST(unused_servers.size() == 1u);
}

// Guards against a suspect that runs on a server with other work, in two cases: the load report is
// too old to show what another host dispatched before the loss, or a membership change has set the
// server aside for another host.
BOOST_AUTO_TEST_CASE(SuspectWaitsForFreshReportOfServerSetAside) {
  Fixture f;
  f.query.suspect = true;
  for (int i = 0; i < 4; ++i) f.AddServer("s" + std::to_string(i));
  Time loss = kNow - seconds(1);
  auto report_all = [&](Time at) {
    for (BackendServer& server : f.view.servers) server.reported_at = at;
  };
  f.routing_state.set_aside_until = loss + kSetAsideDuration;
  report_all(loss + kLossPropagationDelay);
  BOOST_TEST(Describe(f.Run()) == "queue");
  report_all(loss + kLossPropagationDelay + kLoadReportLag);
  BOOST_TEST((f.Run().kind == ChoiceKind::kLocal));

  // An expired server does not change the servers set aside until it leaves the view.
  ServerId own = f.Run().server;
  for (BackendServer& server : f.view.servers) {
    if (server.announced.id == own) continue;
    Time expires_at = std::exchange(server.expires_at, kNow);
    BOOST_TEST((f.Run().server == own));
    server.expires_at = expires_at;
  }
  OnNewView(f.routing_state, f.view, loss);
  f.view.servers.pop_back();
  OnNewView(f.routing_state, f.view, kNow);
  BOOST_TEST(Describe(f.Run()) == "queue");
  report_all(kNow + kLossPropagationDelay + kLoadReportLag);
  OnNewView(f.routing_state, f.view, kNow + seconds(1));
  BOOST_TEST((f.Run().kind == ChoiceKind::kLocal));
}

// Guards against condemning a suspect although other requests were on the crashed server.
BOOST_AUTO_TEST_CASE(RanAloneDetectsOtherWork) {
  Fixture f;
  BackendServer& server = f.AddServer("s1");
  ServerId s1("s1");
  BOOST_TEST(!RanAlone(f.routing_state, server));
  f.query.suspect = true;
  OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 1, f.query), kNow);
  BOOST_TEST(RanAlone(f.routing_state, server));
  server.announced.load.running = 2;  // another host's request
  BOOST_TEST(!RanAlone(f.routing_state, server));
  OnNewView(f.routing_state, f.view, kNow);
  server.announced.load.running = 1;
  BOOST_TEST(!RanAlone(f.routing_state, server), "other work that has ended still counts");
  OnServerOutcome(f.routing_state, f.view, s1, kNow, ServerOutcome::kOk, kNow);

  f.query.suspect = false;
  OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 1, f.query), kNow);
  BOOST_TEST(!RanAlone(f.routing_state, server), "not a suspect");
  f.query.suspect = true;
  OnDispatch(f.routing_state, f.query, LocalChoiceAt(s1, 1, f.query), kNow);
  BOOST_TEST(!RanAlone(f.routing_state, server), "other work was there before the suspect");
}

// Guards against routing state that grows without bound.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  Fixture f;
  f.AddServer("s1");
  for (uint64_t i = 0; i < 3 * kMaxPrefixes; i += kMaxPrefixHashes) {
    f.query.prefix_hashes.clear();
    for (uint64_t j = 0; j < 2 * kMaxPrefixHashes; ++j) f.query.prefix_hashes.push_back(1 + i + j);
    OnDispatch(f.routing_state, f.query, LocalChoiceAt(ServerId("s1"), 1, f.query), kNow);
  }
  BOOST_TEST(f.routing_state.prefixes.caches.size() == kMaxPrefixes);
  BOOST_TEST(f.routing_state.prefixes.order.size() == kMaxPrefixes);
  BOOST_TEST(f.routing_state.servers[ServerId("s1")].dispatch_times.size() == kMaxDispatchTimes);

  RoutingState routing_state;
  OnDispatch(routing_state, f.query, LocalChoiceAt(ServerId("gone"), 1, f.query), kNow);
  OnForward(routing_state, DomainId("gone"), kNow);
  OnNewView(routing_state, f.view, kNow);
  BOOST_TEST(routing_state.servers.size() == 1u, "in flight");
  OnServerOutcome(routing_state, f.view, ServerId("gone"), kNow, ServerOutcome::kOk, kNow);
  OnForwardOutcome(routing_state, DomainId("gone"), kNow, ForwardOutcome::kAnswered, kNow);
  OnNewView(routing_state, f.view, kNow);
  BOOST_TEST(routing_state.servers.empty());
  BOOST_TEST(routing_state.domains.empty());
}

// Checks the contract of Choose() on random states with an independent implementation of the rules.
// Guards against faults in combinations of conditions that the tables above do not cover.
BOOST_AUTO_TEST_CASE(RandomStatesKeepTheContract) {
  std::mt19937_64 rng(kSeed);
  auto pick = [&](int count) { return static_cast<int>(rng() % count); };
  const std::vector<std::string> regions = {"este", "norte", "sur", ""};
  std::map<std::string, int> kind_counts;
  for (int round = 0; round < 20'000; ++round) {
    Fixture f;
    f.view.self.region = RegionId(regions[pick(8) == 0 ? pick(4) : 0]);
    f.route.regions.clear();
    for (int i = pick(3); i >= 0; --i) f.route.regions.emplace_back(regions[pick(3)]);
    f.query.allowed_regions.clear();
    for (int i = pick(4); i > 0; --i) f.query.allowed_regions.emplace_back(regions[pick(3)]);
    f.query.hops = pick(4);
    f.query.crossed_region = f.query.hops > 0 && pick(2) == 0;
    f.query.suspect = pick(6) == 0;
    f.route.send_away = pick(3) != 0;
    f.route.weight_remote = pick(2);
    f.routing_state.queued_ahead = static_cast<size_t>(pick(50));
    f.routing_state.policy = static_cast<RoutingPolicy>(pick(5));
    for (int i = pick(4); i > 0; --i) {
      BackendServer& server = f.AddServer("s" + std::to_string(i), pick(14) - 2);
      if (pick(5) == 0) server.expires_at = kNow - milliseconds(1);
      if (pick(5) == 0) server.announced.leaving = true;
      if (pick(5) == 0) server.announced.region = RegionId(regions[pick(4)]);
      if (pick(5) == 0) f.query.avoid_servers.push_back(server.announced.id);
    }
    for (int i = pick(5); i > 0; --i) {
      const std::string& region = regions[pick(4)];
      HostEntry& host = f.AddHost("h" + std::to_string(i), region, region + "-x");
      host.status = static_cast<HostStatus>(pick(3) == 0 ? pick(4) : 0);
      host.overloaded = pick(5) == 0;
    }
    for (const std::string& region : regions) {
      if (pick(2) == 0) f.AddSummary(region, region + "-x", pick(20)).servers = pick(3);
    }

    Choice choice = f.Run();
    ++kind_counts[KindName(choice.kind)];
    auto allowed = [&](const RegionId& region) {
      auto has = [&](const std::vector<RegionId>& list) {
        return std::count(list.begin(), list.end(), region) > 0;
      };
      return !region.empty() && has(f.route.regions) && has(f.query.allowed_regions);
    };
    if (choice.kind == ChoiceKind::kLocal) {
      const BackendServer* server = nullptr;
      for (const BackendServer& s : f.view.servers) {
        if (s.announced.id == choice.server) server = &s;
      }
      BOOST_REQUIRE(server != nullptr);
      BOOST_TEST_REQUIRE(allowed(f.view.self.region));
      BOOST_TEST_REQUIRE((server->announced.region == f.view.self.region));
      BOOST_TEST_REQUIRE(!server->announced.leaving);
      BOOST_TEST_REQUIRE((server->expires_at > kNow));
      BOOST_TEST_REQUIRE(std::count(f.query.avoid_servers.begin(), f.query.avoid_servers.end(),
                                    choice.server) == 0);
      BOOST_TEST_REQUIRE(f.query.hops <= kMaxHops);
      if (f.query.suspect) BOOST_TEST_REQUIRE(server->announced.load.running <= 0);
    }
    if (choice.kind == ChoiceKind::kForward) {
      const HostEntry* host = nullptr;
      for (const HostEntry& h : f.view.hosts) {
        if (h.id == choice.host) host = &h;
      }
      BOOST_REQUIRE(host != nullptr);
      BOOST_TEST_REQUIRE(allowed(host->region));
      BOOST_TEST_REQUIRE((host->status == HostStatus::kAlive));
      BOOST_TEST_REQUIRE(!host->overloaded);
      BOOST_TEST_REQUIRE(f.query.hops < kMaxHops);
      bool crosses_region = host->region != f.view.self.region;
      BOOST_TEST_REQUIRE(choice.crosses_region == crosses_region);
      if (crosses_region) BOOST_TEST_REQUIRE((!f.query.crossed_region && f.route.send_away));
      bool has_servers = false;
      for (const DomainSummary& summary : f.view.summaries) {
        has_servers |= summary.domain == host->domain && summary.servers > 0;
      }
      BOOST_TEST_REQUIRE(has_servers);
    }
    if (choice.kind == ChoiceKind::kRefuse) {
      BOOST_TEST_REQUIRE((LookupError(choice.error).run == Run::kNotRun));
    }
  }
  for (const char* kind : {"local", "forward", "queue", "refuse"}) {
    BOOST_TEST(kind_counts[kind] > 100, kind << " " << kind_counts[kind] << ", seed " << kSeed);
  }
}

// Guards against allowing a region that the route permits but the team's residency does not.
BOOST_AUTO_TEST_CASE(AllowedRegionsAreTheIntersection) {
  Fixture f;
  BOOST_TEST(AllowedRegions(*f.config, f.route).empty(), "unknown team");
  f.config->teams[f.route.team].regions = {RegionId("sur"), RegionId("norte")};
  std::vector<RegionId> expected = {RegionId("norte")};
  BOOST_TEST((AllowedRegions(*f.config, f.route) == expected));
}

// Guards against short prompts that wait behind a long one that a server is still reading, as when
// long prompts arrive in bursts. A prompt counts as load until its response starts.
BOOST_AUTO_TEST_CASE(UnreadPromptsCountAsLoad) {
  Fixture f;
  for (const char* id : {"s1", "s2"}) {
    f.AddServer(id).announced.capabilities = {kNoLoadReports};
  }
  f.query.prompt_tokens = 50'000;
  Choice first = f.Run();
  f.Dispatch(first);
  f.query.prompt_tokens = 1'000;
  for (int i = 0; i < 20; ++i) BOOST_TEST((f.Run().server != first.server));
  OnFirstByte(f.routing_state, ServedName(f.route), first, kNow, kNow + seconds(1));
  BOOST_TEST(f.routing_state.servers[first.server].prefill_tokens == 0);
  OnServerOutcome(f.routing_state, f.view, first.server, kNow, ServerOutcome::kOk,
                  kNow + seconds(1));
  std::set<std::string> used;
  for (int i = 0; i < 50; ++i) used.insert(f.Run().server.value());
  BOOST_TEST(used.size() == 2u, "both servers are available again");
}

// Guards against hosts that ignore each other's work and dispatch their long prompts to the same
// server.
BOOST_AUTO_TEST_CASE(WorkOfOtherHostsCountsAsLoad) {
  Fixture f;
  f.AddServer("s1").other_hosts_prefill_tokens = 50'000;
  f.AddServer("s2");
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(f.Run()) == "local s2");
}

// Guards against hosts that pick different servers for one session, so that its shared prefix is
// prefilled again on each of them.
BOOST_AUTO_TEST_CASE(HostsAgreeOnSharedPrefixServer) {
  std::map<std::string, int> preferred_servers;
  for (uint64_t session = 0; session < 100; ++session) {
    std::set<std::string> picked;
    for (uint64_t host = 0; host < 5; ++host) {
      Fixture f;
      f.rng.seed(kSeed + host);
      for (int i = 0; i < 6; ++i) f.AddServer("s" + std::to_string(i));
      f.query.prompt_tokens = 12'000;
      f.query.prefix_hashes = {1, 1'000 + session, 9'000 + host};
      f.query.prefix_tokens = {500, 5'400, 12'000};
      picked.insert(f.Run().server.value());
    }
    BOOST_TEST(picked.size() == 1u);
    ++preferred_servers[*picked.begin()];
  }
  for (const auto& [server, sessions] : preferred_servers) BOOST_TEST(sessions < 40, server);
}

// Guards against using the server that caches the shared prefix although it is by far the busiest.
BOOST_AUTO_TEST_CASE(BusySharedPrefixServerIsAvoided) {
  Fixture f;
  for (int i = 0; i < 6; ++i) f.AddServer("s" + std::to_string(i));
  f.query.prompt_tokens = 12'000;
  f.query.prefix_hashes = {1, 2, 3};
  f.query.prefix_tokens = {500, 5'400, 12'000};
  Choice preferred = f.Run();
  for (BackendServer& server : f.view.servers) {
    if (server.announced.id == preferred.server) server.other_hosts_prefill_tokens = 20'000;
  }
  BOOST_TEST((f.Run().server != preferred.server));
}

// Servers of a service that can fetch cached prefixes from each other.
struct FetchFixture : Fixture {
  std::shared_ptr<IngressConfig> ingress = std::make_shared<IngressConfig>();

  explicit FetchFixture(double fetch_tokens_per_s, int servers = 6) {
    route.kind = ServerKind::kService;
    route.service = "summaries";
    IngressService service;
    service.name = route.service;
    service.fetch_tokens_per_s = fetch_tokens_per_s;
    ingress->services[service.name] = service;
    config->ingress = ingress;
    routing_state.prefill_rates[route.service] = 80'000;
    for (int i = 0; i < servers; ++i) {
      BackendServer& server = AddServer("s" + std::to_string(i), 0, 32);
      server.announced.kind = ServerKind::kService;
      server.announced.services = {route.service};
    }
    SetSessionPrompt(2, 12'000);
  }

  // Sets a prompt of the session; its shared prefix has 5,400 tokens.
  void SetSessionPrompt(uint64_t session, int64_t tokens) {
    query.prompt_tokens = tokens;
    query.prefix_hashes = {1, session, 1'000'000 + session};
    query.prefix_tokens = {500, 5'400, tokens};
  }

  BackendServer& FindById(const ServerId& id) {
    return *std::find_if(view.servers.begin(), view.servers.end(),
                         [&](const BackendServer& server) { return server.announced.id == id; });
  }
};

// Guards against prefilling a shared prefix again on every server of a region when the server that
// caches it is busy. Under heavy load, 5.9 million of 14 million shared tokens were prefilled
// again.
BOOST_AUTO_TEST_CASE(PromptAwayFromBusySharedPrefixServerFetchesPrefix) {
  FetchFixture f(130'000);
  Choice preferred = f.Run();
  BOOST_TEST(preferred.fetch_from.empty());
  f.FindById(preferred.server).other_hosts_prefill_tokens = 20'000;
  Choice other = f.Run();
  BOOST_TEST((other.server != preferred.server));
  BOOST_TEST((other.fetch_from == preferred.server));
  BOOST_TEST(other.fetch_tokens == 5'400);
  BOOST_TEST(other.prefill_tokens == 12'000 - 5'400);
}

// Guards against ignoring a full server as a fetch source because it cannot take the request
// itself.
BOOST_AUTO_TEST_CASE(FullSharedPrefixServerIsStillAFetchSource) {
  FetchFixture f(130'000);
  Choice preferred = f.Run();
  f.FindById(preferred.server).other_hosts_requests = 100;
  Choice other = f.Run();
  BOOST_TEST((other.server != preferred.server));
  BOOST_TEST((other.fetch_from == preferred.server));
}

// Guards against fetches that are slower than prefilling or that the service does not support.
BOOST_AUTO_TEST_CASE(NoFetchWhenPrefillIsFaster) {
  for (double rate : {0.0, 60'000.0}) {
    FetchFixture f(rate);
    Choice preferred = f.Run();
    f.FindById(preferred.server).other_hosts_prefill_tokens = 20'000;
    Choice other = f.Run();
    BOOST_TEST((other.server != preferred.server));
    BOOST_TEST(other.fetch_from.empty());
    BOOST_TEST(other.prefill_tokens == 12'000);
  }
}

// Guards against fetches between failure domains that are slower than prefilling, and against
// prefilling where such a fetch is several times faster.
BOOST_AUTO_TEST_CASE(FetchLeavesFailureDomainOnlyIfFaster) {
  for (double rate : {130'000.0, 600'000.0}) {
    FetchFixture f(rate);
    f.view.server_scope = ServerScope::kRegion;
    Choice preferred = f.Run();
    f.FindById(preferred.server).other_hosts_prefill_tokens = 20'000;
    f.FindById(preferred.server).announced.domain = DomainId("este-b");
    Choice other = f.Run();
    BOOST_TEST((other.server != preferred.server));
    BOOST_TEST(other.fetch_from.empty() == (rate < 2 * 80'000));
  }
}

// Guards against leaving the server where a shared prefix belongs for a little work there, before
// anything shows that the prefix is cached: the fetch finds nothing, and the prefix is prefilled at
// a second server. On andinas-aprob, 284 of 606 long requests of a calm day fetched.
BOOST_AUTO_TEST_CASE(FetchFromUncertainHolderCostsMore) {
  FetchFixture f(600'000);
  Choice preferred = f.Run();
  f.FindById(preferred.server).other_hosts_prefill_tokens = 2'500;
  BOOST_TEST((f.Run().server == preferred.server));
  Time dispatched = f.Dispatch(preferred);
  OnServerOutcome(f.routing_state, f.view, preferred.server, dispatched, ServerOutcome::kOk, kNow,
                  preferred.prefill_tokens);
  Choice other = f.Run();
  BOOST_TEST((other.server != preferred.server));
  BOOST_TEST((other.fetch_from == preferred.server));
}

// Guards against fetches from a server that has probably crashed or was replaced.
BOOST_AUTO_TEST_CASE(UnreachableServersAreNoFetchSource) {
  FetchFixture f(130'000);
  Choice preferred = f.Run();
  f.Dispatch(preferred);
  OnServerOutcome(f.routing_state, f.view, preferred.server, kNow, ServerOutcome::kUnreachable,
                  kNow);
  Choice other = f.Run();
  BOOST_TEST((other.server != preferred.server));
  BOOST_TEST((other.fetch_from != preferred.server));
}

// Guards against sessions whose shared prefix is assigned to a long-prompt server. Other prompts
// avoid that server, so the shared prefix would be prefilled elsewhere each time.
BOOST_AUTO_TEST_CASE(SharedPrefixServerIsNoLongPromptServer) {
  std::string long_prompt_server;
  {
    FetchFixture f(0);
    f.query.prompt_tokens = 40'000;
    f.query.prefix_hashes = {7};
    f.query.prefix_tokens = {40'000};
    long_prompt_server = f.Run().server.value();
  }
  for (uint64_t session = 2; session < 60; ++session) {
    FetchFixture f(0);
    f.SetSessionPrompt(session, 12'000);
    Choice choice = f.Run();
    BOOST_TEST(choice.server.value() != long_prompt_server);
    BOOST_TEST(choice.hit_tokens == 5'400, session);
  }
}

// Full servers here and room in region norte, which has `tokens` of unread prompts. The query has a
// first-byte target.
void AddFullServerAndNorteForTarget(Fixture& f, int64_t tokens) {
  f.AddServer("s1", 100, 32).announced.capabilities = {kNoLoadReports};
  f.routing_state.prefill_rates["m"] = 80'000;
  f.routing_state.servers[ServerId("s1")].mean_service_time = milliseconds(10);
  f.query.first_byte_deadline = kNow + milliseconds(1'200);
  f.query.prompt_tokens = 2'400;
  f.AddHost("h1", "norte", "norte-a");
  f.AddSummary("norte", "norte-a", 10, 64).prefill_tokens = tokens;
}

// Guards against refusing requests locally while another region has room. This happened when all
// servers restarted cold together: the short local queue looked cheaper than the round trip.
BOOST_AUTO_TEST_CASE(ForwardsWhatCanStartInTimeElsewhere) {
  RunCases({{"room in the other region", "forward h1",
             [](Fixture& f) { AddFullServerAndNorteForTarget(f, 10'000); }},
            {"late in the other region too", "queue",
             [](Fixture& f) { AddFullServerAndNorteForTarget(f, 100'000); }},
            {"no free slot in the other region", "queue",
             [](Fixture& f) {
               AddFullServerAndNorteForTarget(f, 0);
               f.view.summaries[0].running = 64;
             }},
            {"residency does not allow the other region", "queue",
             [](Fixture& f) {
               AddFullServerAndNorteForTarget(f, 0);
               f.query.allowed_regions = {RegionId("este")};
             }},
            {"already forwarded", "queue", [](Fixture& f) {
               AddFullServerAndNorteForTarget(f, 0);
               f.query.hops = 1;
             }}});
}

// Guards against forwarding to a full region until its next summary arrives, although it refuses
// the forwards. 529 forwards were refused in four seconds.
BOOST_AUTO_TEST_CASE(RefusingDomainGetsNoForwardsForAWhile) {
  Fixture f;
  AddFullServerAndNorteForTarget(f, 0);
  DomainId norte("norte-a");
  BOOST_TEST(Describe(f.Run()) == "forward h1");
  OnForward(f.routing_state, norte, kNow);
  OnForwardOutcome(f.routing_state, norte, kNow, ForwardOutcome::kRefused, kNow);
  BOOST_TEST(Describe(f.Run()) == "queue");
  f.routing_state.domains[norte].full_until = kNow;
  BOOST_TEST(Describe(f.Run()) == "forward h1");
}

// Guards against requests that all wait for connections to the unreachable servers of a region that
// has no others. 312 connections failed in two seconds.
BOOST_AUTO_TEST_CASE(OneRequestAtATimeProbesAnUnreachableServer) {
  Fixture f;
  f.AddServer("s1", 0, 32).announced.capabilities = {kNoLoadReports};
  Time at = kNow;
  auto run = [&] { return Choose(f.query, f.view, f.routing_state, at, f.rng); };
  Choice earlier = run();
  f.Dispatch(earlier, at);
  f.Dispatch(run(), at);
  OnServerOutcome(f.routing_state, f.view, ServerId("s1"), at, ServerOutcome::kUnreachable, at);
  at += milliseconds(10);
  Choice probe = run();
  BOOST_TEST(Describe(probe) == "local s1", "the earlier request is not the probe");
  f.Dispatch(probe, at);
  BOOST_TEST(Describe(run()) == "refuse no_server");
  OnFirstByte(f.routing_state, ServedName(f.route), probe, at, at + milliseconds(20));
  f.Dispatch(run(), at);
  BOOST_TEST(Describe(run()) == "local s1", "the server is reachable again");
}

// Guards against dispatches and forwards to an evacuated failure domain.
BOOST_AUTO_TEST_CASE(EvacuatedDomainsGetNoWork) {
  Fixture f;
  f.view.server_scope = ServerScope::kRegion;
  f.AddServer("s1");
  f.AddServer("s2").announced.domain = DomainId("este-b");
  f.config->evacuated.insert(DomainId("este-a"));
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(f.Run()) == "local s2");
  f.AddHost("h1", "norte", "norte-a");
  f.AddSummary("norte", "norte-a");
  f.config->evacuated = {DomainId("este-a"), DomainId("este-b"), DomainId("norte-a")};
  BOOST_TEST(Describe(f.Run()) == "refuse no_server");
}

// Guards against a crashed server that gets all requests because it looks idle (scenario
// `srv_crash` under load). After one failed connection it is the last choice until it announces
// itself again.
BOOST_AUTO_TEST_CASE(UnreachableServersAreTheLastChoice) {
  Fixture f;
  f.AddServer("s1");
  f.AddServer("s2", 6);
  Time at = f.Dispatch(LocalChoiceAt(ServerId("s1"), 1, f.query));
  Time failed_at = kNow + milliseconds(2);
  OnServerOutcome(f.routing_state, f.view, ServerId("s1"), at, ServerOutcome::kUnreachable,
                  failed_at);
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(f.Run()) == "local s2");
  f.query.avoid_servers = {ServerId("s2")};
  BOOST_TEST(Describe(f.Run()) == "local s1", "better than a refusal");
  // A forward that costs only its round trip is better than an unreachable server.
  f.route.weight_remote = 0;
  f.AddHost("h1", "norte", "norte-a");
  f.AddSummary("norte", "norte-a");
  BOOST_TEST(Describe(f.Run()) == "forward h1");
  f.query.avoid_servers.clear();
  f.view.servers[0].reported_at = failed_at + milliseconds(1);
  f.view.servers[1].announced.load.running = 8;
  BOOST_TEST(Describe(f.Run()) == "local s1", "the server announced itself again");
}

// Guards against dispatches to a server that was replaced by one with another id at its address.
BOOST_AUTO_TEST_CASE(ReplacedServersGetNoWork) {
  Fixture f;
  f.AddServer("old");
  f.AddServer("new", 7);
  Time at = f.Dispatch(LocalChoiceAt(ServerId("old"), 1, f.query));
  OnServerOutcome(f.routing_state, f.view, ServerId("old"), at, ServerOutcome::kReplaced, kNow);
  f.view.servers[0].reported_at = kNow + seconds(1);
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(f.Run()) == "local new");
  f.view.servers[0].announced.incarnation = 2;
  BOOST_TEST(Describe(f.Run()) == "local old", "a new incarnation gets work again");
}

// Guards against forwards to a failure domain that cannot be reached.
BOOST_AUTO_TEST_CASE(UnreachableDomainsGetNoForwards) {
  Fixture f;
  f.AddHost("h1", "norte", "norte-a");
  f.AddSummary("norte", "norte-a");
  OnForward(f.routing_state, DomainId("norte-a"), kNow);
  BOOST_TEST(Describe(f.Run()) == "forward h1");
  OnForwardOutcome(f.routing_state, DomainId("norte-a"), kNow, ForwardOutcome::kUnreachable, kNow);
  BOOST_TEST(Describe(f.Run()) == "refuse no_server");
  f.routing_state.domains[DomainId("norte-a")].ejected_until = kNow;
  BOOST_TEST(Describe(f.Run()) == "forward h1");
}

// Guards against an overload in which all prompts become late because more arrive than the servers
// can read (scenario `burst`). A prompt that cannot start in time waits or is refused. A prompt
// with nothing ahead of it is always dispatched.
BOOST_AUTO_TEST_CASE(PromptsThatWouldBeLateAreNotDispatched) {
  Fixture f;
  f.AddServer("s1").announced.capabilities = {kNoLoadReports};
  f.routing_state.prefill_rates["m"] = 10'000;
  f.query.prompt_tokens = 1'000;
  f.query.first_byte_deadline = kNow + milliseconds(800);
  int dispatched = 0;
  while (dispatched < 100 && f.Run().kind == ChoiceKind::kLocal) {
    f.Dispatch(f.Run());
    ++dispatched;
  }
  // The eighth prompt waits 700 ms for the others and takes 100 ms itself.
  BOOST_TEST(dispatched == 8);
  BOOST_TEST(Describe(f.Run()) == "queue");
  Duration least = kMaxRetryAfter;
  Duration most{0};
  for (int i = 0; i < 100; ++i) {
    Duration retry = RetryAfter(f.query, f.view, f.routing_state, kNow, f.rng);
    least = std::min(least, retry);
    most = std::max(most, retry);
  }
  BOOST_TEST(ToMillis(least) >= 450);
  BOOST_TEST(ToMillis(most) <= 1'350);
  BOOST_TEST(ToMillis(most - least) > 400, "callers do not return together");

  Fixture idle;
  idle.AddServer("s1");
  idle.routing_state.prefill_rates["m"] = 10'000;
  idle.query.prompt_tokens = 50'000;
  idle.query.first_byte_deadline = kNow + milliseconds(800);
  BOOST_TEST(Describe(idle.Run()) == "local s1",
             "late even on an idle server, but nothing is ahead");
}

// Guards against two simultaneous long prompts of which the second stalls the streams of an
// arbitrary server while the first is being read. All hosts use the same two of eight servers for
// long prompts and dispatch other requests elsewhere.
BOOST_AUTO_TEST_CASE(ConcurrentLongPromptsUseTwoOfEightServers) {
  std::set<std::string> preferred_servers;
  std::set<std::string> servers_for_streams;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    Fixture f;
    f.rng.seed(seed);
    for (int i = 0; i < 8; ++i) f.AddServer("s" + std::to_string(i), 4, 32);
    f.routing_state.prefill_rates["m"] = 80'000;
    auto dispatch_prompt = [&](uint64_t prompt, int64_t tokens) {
      f.query.prompt_tokens = tokens;
      f.query.prefix_hashes = {prompt};
      f.query.prefix_tokens = {tokens};
      Choice choice = f.Run();
      f.Dispatch(choice);
      return choice.server.value();
    };
    preferred_servers.insert(dispatch_prompt(1 + 10 * seed, 40'000));
    preferred_servers.insert(dispatch_prompt(2 + 10 * seed, 40'000));
    for (uint64_t i = 0; i < 6; ++i)
      servers_for_streams.insert(dispatch_prompt(3 + i + 10 * seed, 2'000));
  }
  BOOST_TEST(preferred_servers.size() == 2u);
  for (const std::string& preferred : preferred_servers)
    BOOST_TEST(servers_for_streams.count(preferred) == 0u);
}

// Guards against a long prompt that misses its target anyway and also stalls the streams of another
// server, because its long-prompt server is still reading another prompt. Under light load, three
// of 15 such prompts of a region went elsewhere. A long prompt that can meet its target does go
// elsewhere.
BOOST_AUTO_TEST_CASE(InevitablyLateLongPromptsWaitForLongPromptServer) {
  Fixture f;
  for (int i = 0; i < 6; ++i) f.AddServer("s" + std::to_string(i), 2, 32);
  f.routing_state.prefill_rates["m"] = 50'000;
  f.query.first_byte_deadline = kNow + milliseconds(800);
  auto choose_server = [&](uint64_t prompt, int64_t tokens) {
    f.query.prompt_tokens = tokens;
    f.query.prefix_hashes = {prompt};
    f.query.prefix_tokens = {tokens};
    return f.Run().server.value();
  };
  std::string preferred = choose_server(1, 50'000);
  auto set_tokens_ahead = [&](int64_t tokens) {
    for (BackendServer& server : f.view.servers) {
      if (server.announced.id.value() == preferred) server.other_hosts_prefill_tokens = tokens;
    }
  };
  set_tokens_ahead(35'000);
  BOOST_TEST(choose_server(2, 50'000) == preferred);
  BOOST_TEST(choose_server(3, 20'000) != preferred);
  f.routing_state.queued_ahead = 1;
  BOOST_TEST(choose_server(2, 50'000) != preferred, "other requests are queued");
  f.routing_state.queued_ahead = 0;
  set_tokens_ahead(60'000);
  BOOST_TEST(choose_server(2, 50'000) != preferred, "waits one second at most");
}

// Guards against streams that stall while their server reads a long prompt. All hosts dispatch long
// prompts to the same server, and other requests avoid it while others have room.
BOOST_AUTO_TEST_CASE(LongPromptsUseOneSharedServer) {
  auto run = [](uint64_t seed, int64_t tokens) {
    Fixture f;
    f.rng.seed(seed);
    for (int i = 0; i < 6; ++i) f.AddServer("s" + std::to_string(i));
    f.routing_state.prefill_rates["m"] = 80'000;
    f.query.prompt_tokens = tokens;
    f.query.prefix_hashes = {seed};
    f.query.prefix_tokens = {tokens};
    return f.Run().server.value();
  };
  std::set<std::string> servers_for_long;
  std::set<std::string> servers_for_short;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    servers_for_long.insert(run(seed, 40'000));
    servers_for_short.insert(run(seed, 1'000));
  }
  BOOST_TEST(servers_for_long.size() == 1u);
  BOOST_TEST(servers_for_short.size() == 5u);
  BOOST_TEST(servers_for_short.count(*servers_for_long.begin()) == 0u);
}

// Guards against long prompts that stall the streams of any server in a region with more servers
// than are all compared: two random ones seldom included a server for long prompts.
BOOST_AUTO_TEST_CASE(LongPromptsFindTheirServersAmongMany) {
  constexpr int kServers = 50;
  constexpr int kPrompts = 400;
  std::set<std::string> servers_for_long;
  int short_at_long_prompt_server = 0;
  for (uint64_t seed = 0; seed < kPrompts; ++seed) {
    Fixture f;
    f.rng.seed(seed);
    for (int i = 0; i < kServers; ++i) f.AddServer("s" + std::to_string(i), 4, 32);
    f.routing_state.prefill_rates["m"] = 80'000;
    auto choose = [&](int64_t tokens) {
      f.query.prompt_tokens = tokens;
      f.query.prefix_hashes = {seed};
      f.query.prefix_tokens = {tokens};
      return f.Run().server.value();
    };
    servers_for_long.insert(choose(40'000));
    short_at_long_prompt_server += static_cast<int>(servers_for_long.count(choose(1'000)));
  }
  BOOST_TEST(servers_for_long.size() == kServers / kServersPerLongPromptServer);
  BOOST_TEST(short_at_long_prompt_server == 0);
}

// Guards against refusing short requests that would start within their target, as when they arrive
// in bursts at the only server of a region.
BOOST_AUTO_TEST_CASE(ShortRequestsMayQueueAtTheServer) {
  Fixture f;
  f.AddServer("s1", 0, 6).announced.capabilities = {kNoLoadReports};
  f.query.prompt_tokens = 0;
  f.query.first_byte_deadline = kNow + milliseconds(300);
  int dispatched = 0;
  while (dispatched < 100 && f.Run().kind == ChoiceKind::kLocal) {
    f.Dispatch(f.Run());
    ++dispatched;
  }
  BOOST_TEST(dispatched == 18);
}

// Guards against requests that a host which has just started refuses although it will hear of a
// region that serves them: callers repeat a refused request once, and were sent away for 2 s from
// hosts that needed half a second more.
BOOST_AUTO_TEST_CASE(StartedHostHoldsRequestsUntilItHasHeardOfRegions) {
  auto start = [](Fixture& f) {
    f.config->revision = 1;
    StartLearning(f.routing_state, f.view, kNow - kLearningTime + milliseconds(1));
  };
  auto only_norte = [](Fixture& f) { f.query.allowed_regions = {RegionId("norte")}; };
  RunCases({
      {"no configuration", "refuse no_server",
       [](Fixture& f) { StartLearning(f.routing_state, f.view, kNow); }},
      {"no server heard of", "queue", start},
      {"the time is over", "refuse no_server",
       [&](Fixture& f) {
         f.config->revision = 1;
         StartLearning(f.routing_state, f.view, kNow - kLearningTime);
         StartLearning(f.routing_state, f.view, kNow);
       }},
      {"servers heard of", "local s1",
       [&](Fixture& f) {
         start(f);
         f.AddServer("s1");
       }},
      {"other servers heard of, but not the other region", "queue",
       [&](Fixture& f) {
         start(f);
         f.AddServer("s1").announced.models = {{ModelId("other"), {}, "1"}};
       }},
      {"no host of the other region", "queue",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.AddSummary("norte", "norte-a");
       }},
      {"no summary of the other region", "queue",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.AddHost("h1", "norte", "norte-a");
       }},
      {"other region heard of", "forward h1",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"servers heard of, but none of the needed software version", "queue",
       [&](Fixture& f) {
         start(f);
         f.AddServer("s1").announced.software_version = "v2";
         f.query.software_version = "v1";
       }},
      {"other region heard of, but not the needed software version", "queue",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a").software_versions = {"v2"};
         f.query.software_version = "v1";
       }},
      {"the other region does not serve the model", "refuse no_server",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.AddHost("h1", "norte", "norte-a");
         f.AddSummary("norte", "norte-a").served = "other";
       }},
      {"a forwarded request", "refuse no_server",
       [&](Fixture& f) {
         start(f);
         f.query.hops = 1;
       }},
      {"route without send_away", "refuse residency_refused",
       [&](Fixture& f) {
         start(f);
         only_norte(f);
         f.route.send_away = false;
       }},
  });
  Fixture f;
  start(f);
  BOOST_TEST((f.Run().hold_until == f.routing_state.learning_until));
  f.query.deadline = kNow + Duration(500);
  BOOST_TEST((f.Run().hold_until == f.query.deadline), "not longer than the request may take");
}

// Guards against a stream that is continued by a server of another software version, and against
// one that is refused or waits although a server of its version can take it.
BOOST_AUTO_TEST_CASE(StreamsStayAtTheirSoftwareVersion) {
  auto needs_v1 = [](Fixture& f) { f.query.software_version = "v1"; };
  auto add = [](Fixture& f, const char* id, const char* version, int running = 0) {
    f.AddServer(id, running).announced.software_version = version;
  };
  RunCases({
      {"the only server of its version is busier", "local s1",
       [&](Fixture& f) {
         needs_v1(f);
         add(f, "s1", "v1", 7);
         add(f, "s2", "v2");
       }},
      {"the servers of its version are full", "queue",
       [&](Fixture& f) {
         needs_v1(f);
         add(f, "s1", "v1", 100);
         add(f, "s2", "v2");
       }},
      {"its version is only in another region", "forward h2",
       [&](Fixture& f) {
         needs_v1(f);
         f.query.allowed_regions.push_back(RegionId("sur"));
         f.route.regions = f.query.allowed_regions;
         f.AddHost("h1", "norte", "norte-a");
         f.AddHost("h2", "sur", "sur-a");
         f.AddSummary("norte", "norte-a").software_versions = {"v2"};
         f.AddSummary("sur", "sur-a", 7).software_versions = {"v1", "v2"};
         add(f, "s2", "v2");
       }},
      {"no server has its version", "refuse no_server",
       [&](Fixture& f) {
         needs_v1(f);
         add(f, "s2", "v2");
         add(f, "s3", "");
       }},
      {"a request that continues no stream", "local s2",
       [&](Fixture& f) {
         add(f, "s1", "v1", 7);
         add(f, "s2", "v2");
       }},
  });
}

// Guards against requests that stay at a host without a path to its servers, that are handed to
// another such host, or to hosts where the request may not run.
BOOST_AUTO_TEST_CASE(RequestsWithoutAPathAreRelayed) {
  auto relay = [](Fixture& f) {
    f.query.relay = true;
    f.AddServer("s1");
  };
  RunCases({
      {"a host of the same failure domain", "forward h1",
       [&](Fixture& f) {
         relay(f);
         f.AddHost("h1", "este", "este-a");
         f.AddHost("h2", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"the host beside it has no path either", "forward h2",
       [&](Fixture& f) {
         relay(f);
         f.AddHost("h1", "este", "este-a").overloaded = true;
         f.AddHost("h2", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"the host beside it was tried", "local s1",
       [&](Fixture& f) {
         relay(f);
         f.AddHost("h1", "este", "este-a");
         f.query.avoid_hosts = {HostId("h1")};
       }},
      {"a host of another failure domain has other servers", "local s1",
       [&](Fixture& f) {
         relay(f);
         f.AddHost("h1", "este", "este-b");
       }},
      {"where hosts reach the servers of their region", "forward h1",
       [&](Fixture& f) {
         relay(f);
         f.view.server_scope = ServerScope::kRegion;
         f.AddHost("h1", "este", "este-b");
       }},
      {"the request was forwarded before", "forward h1",
       [&](Fixture& f) {
         relay(f);
         f.query.hops = 1;
         f.AddHost("h1", "este", "este-a");
       }},
      {"too many hops", "local s1",
       [&](Fixture& f) {
         relay(f);
         f.query.hops = kMaxHops;
         f.AddHost("h1", "este", "este-a");
       }},
      {"the region is not allowed", "forward h2",
       [&](Fixture& f) {
         relay(f);
         f.query.allowed_regions = {RegionId("norte")};
         f.AddHost("h1", "este", "este-a");
         f.AddHost("h2", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
  });
}

// Guards against a stream that goes on, or begins with a version that others rely on, at a server
// that has started again under its old id with other software before it announced that, also if
// announcements of the process before arrive late.
BOOST_AUTO_TEST_CASE(LostServerHasNoSoftwareVersionUntilItsNextAnnouncement) {
  Fixture f;
  f.AddServer("s1").announced.software_version = "v1";
  f.Dispatch(f.Run(), kNow - milliseconds(300));
  BOOST_TEST(f.Run().software_version == "v1");
  OnServerEnded(f.routing_state, ServerId("s1"), kNow - milliseconds(200));
  // The new process answers a request before its announcement arrives.
  Choice choice = f.Run();
  BOOST_TEST(choice.software_version.empty());
  Time sent = f.Dispatch(choice, kNow - milliseconds(100));
  OnServerOutcome(f.routing_state, f.view, ServerId("s1"), sent, ServerOutcome::kOk, kNow);
  BOOST_TEST(f.Run().software_version.empty());
  f.query.software_version = "v1";
  BOOST_TEST(Describe(f.Run()) == "refuse no_server");
  f.view.servers[0].reported_at = kNow;
  BOOST_TEST(Describe(f.Run()) == "refuse no_server", "a late announcement");
  f.view.servers[0].reported_at = kNow - milliseconds(200) + kLateAnnouncementTime;
  BOOST_TEST(Describe(f.Run()) == "local s1");
  // A failed connection counts as well.
  OnServerOutcome(f.routing_state, f.view, ServerId("s1"), f.Dispatch(f.Run()),
                  ServerOutcome::kUnreachable, kNow + milliseconds(1));
  BOOST_TEST(Describe(f.Run()) == "refuse no_server");
  f.view.servers[0].announced.incarnation = 2;
  f.view.servers[0].reported_at = kNow + milliseconds(2);
  BOOST_TEST(Describe(f.Run()) == "local s1");
}

// Guards against hosts that pass requests to each other when the only server of their region is
// down, until the hop limit refuses them, although another region serves.
BOOST_AUTO_TEST_CASE(RequestsForAnUnreachableServerPreferAnotherRegion) {
  auto lose_server = [](Fixture& f) {
    f.AddServer("s1");
    Time sent = f.Dispatch(LocalChoiceAt(ServerId("s1"), 1, f.query), kNow - milliseconds(20));
    OnServerOutcome(f.routing_state, f.view, ServerId("s1"), sent, ServerOutcome::kUnreachable,
                    kNow - milliseconds(10));
    f.AddHost("h1", "este", "este-a");
  };
  RunCases({
      {"another region serves", "forward h2",
       [&](Fixture& f) {
         lose_server(f);
         f.AddHost("h2", "norte", "norte-a");
         f.AddSummary("norte", "norte-a");
       }},
      {"no other region may serve: only this host may have lost its path", "forward h1",
       lose_server},
      {"a forwarded request tries the server", "local s1",
       [&](Fixture& f) {
         lose_server(f);
         f.query.hops = 1;
       }},
  });
}

}  // namespace ebonylift
