#define BOOST_TEST_MODULE routing
#include "core/routing.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <set>

#include "core/ingress.h"
#include "core/poison.h"

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
const Time kNow(seconds(1'000'000));

struct World {
  RouteConfig route;
  std::shared_ptr<ConfigView> config = std::make_shared<ConfigView>();
  RoutingView view;
  LocalLoad load;
  std::mt19937_64 rng{kSeed};
  RouteQuery query;

  World() {
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

  Choice Run() { return Choose(query, view, load, kNow, rng); }

  Time Dispatch(const Choice& choice, Time at = kNow) {
    OnDispatch(load, query, choice, at);
    return at;
  }
};

// A choice of this server for the whole prompt of the query.
Choice At(const ServerId& server, uint64_t incarnation, const RouteQuery& query) {
  Choice choice;
  choice.kind = ChoiceKind::kLocal;
  choice.server = server;
  choice.incarnation = incarnation;
  choice.prefill_tokens = query.prompt_tokens;
  return choice;
}

const char* Name(ChoiceKind kind) {
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
  std::string out = Name(choice.kind);
  if (choice.kind == ChoiceKind::kLocal) out += " " + choice.server.value();
  if (choice.kind == ChoiceKind::kForward) out += " " + choice.host.value();
  if (choice.kind == ChoiceKind::kRefuse) out += std::string(" ") + LookupError(choice.error).code;
  return out;
}

struct Case {
  const char* name;
  const char* expected;
  std::function<void(World&)> prepare;
};

void RunCases(const std::vector<Case>& cases) {
  for (const Case& row : cases) {
    World world;
    row.prepare(world);
    BOOST_TEST(Describe(world.Run()) == row.expected, row.name);
  }
}

void FullHomeIdleNorte(World& w) {
  w.AddServer("s1", 100, 8);
  w.AddHost("h1", "norte", "norte-a");
  w.AddSummary("norte", "norte-a");
}

}  // namespace

// Guards against a request that runs in a region that is not allowed, or where it is unknown
// whether it is (I1).
BOOST_AUTO_TEST_CASE(ResidencyIsEnforced) {
  RunCases({
      {"allowed here", "local s1", [](World& w) { w.AddServer("s1"); }},
      {"no route", "refuse residency_refused",
       [](World& w) {
         w.AddServer("s1");
         w.query.route = nullptr;
       }},
      {"no allowed region", "refuse residency_refused",
       [](World& w) {
         w.AddServer("s1");
         w.query.allowed_regions.clear();
       }},
      {"the route names other regions than the query", "refuse residency_refused",
       [](World& w) {
         w.AddServer("s1");
         w.query.allowed_regions = {RegionId("sur")};
       }},
      {"own region unknown", "refuse region_unreachable",
       [](World& w) {
         w.AddServer("s1");
         w.view.self.region = RegionId();
       }},
      {"own region not allowed, forwarded", "forward h1",
       [](World& w) {
         w.AddServer("s1");
         w.query.allowed_regions = {RegionId("norte")};
         w.AddHost("h1", "norte", "norte-a");
         w.AddSummary("norte", "norte-a");
       }},
      {"own region not allowed, other region unreachable", "refuse region_unreachable",
       [](World& w) {
         w.AddServer("s1");
         w.query.allowed_regions = {RegionId("norte")};
         w.AddHost("h1", "norte", "norte-a").status = HostStatus::kFailed;
         w.AddSummary("norte", "norte-a");
       }},
      {"own region not allowed, may not be sent away", "refuse residency_refused",
       [](World& w) {
         w.AddServer("s1");
         w.route.send_away = false;
         w.query.allowed_regions = {RegionId("norte")};
         w.AddHost("h1", "norte", "norte-a");
         w.AddSummary("norte", "norte-a");
       }},
      {"a server that says it is in another region", "refuse no_server",
       [](World& w) { w.AddServer("s1").announced.region = RegionId("norte"); }},
      {"a server without a region", "refuse no_server",
       [](World& w) { w.AddServer("s1").announced.region = RegionId(); }},
      {"a full home does not forward to a region that is not allowed", "queue",
       [](World& w) {
         FullHomeIdleNorte(w);
         w.query.allowed_regions = {RegionId("este")};
       }},
      {"a host that claims a region its failure domain is not in", "queue",
       [](World& w) {
         FullHomeIdleNorte(w);
         w.config->regions[RegionId("norte")].domains = {DomainId("norte-b")};
       }},
  });
}

// Guards against loops and against more crossings than one (I2).
BOOST_AUTO_TEST_CASE(HopLimitsAreEnforced) {
  auto remote_only = [](World& w) {
    w.AddHost("h1", "norte", "norte-a");
    w.AddSummary("norte", "norte-a");
  };
  RunCases({
      {"no hop yet", "forward h1", [&](World& w) { remote_only(w); }},
      {"one hop", "forward h1",
       [&](World& w) {
         remote_only(w);
         w.query.hops = 1;
       }},
      {"two hops", "refuse hop_limit",
       [&](World& w) {
         remote_only(w);
         w.query.hops = 2;
       }},
      {"two hops may still run here", "local s1",
       [&](World& w) {
         w.AddServer("s1");
         w.query.hops = 2;
       }},
      {"three hops", "refuse hop_limit",
       [&](World& w) {
         w.AddServer("s1");
         w.query.hops = 3;
       }},
      {"crossed before", "refuse no_server",
       [&](World& w) {
         remote_only(w);
         w.query.hops = 1;
         w.query.crossed = true;
       }},
      {"crossed before, same region is allowed", "forward h2",
       [&](World& w) {
         remote_only(w);
         w.AddHost("h2", "este", "este-b");
         w.AddSummary("este", "este-b");
         w.query.hops = 1;
         w.query.crossed = true;
       }},
      {"back to the sender", "refuse no_server",
       [&](World& w) {
         remote_only(w);
         w.query.hops = 1;
         w.query.avoid_hosts = {HostId("h1")};
       }},
      {"a forwarded request is not passed on while servers exist here", "queue",
       [&](World& w) {
         FullHomeIdleNorte(w);
         w.query.hops = 1;
       }},
  });
}

// Guards against work for servers that are expired, leaving or unable, and against forwards to
// hosts that cannot run it (I7).
BOOST_AUTO_TEST_CASE(OnlyLiveServersAndHosts) {
  RunCases({
      {"expired", "refuse no_server", [](World& w) { w.AddServer("s1").expires_at = kNow; }},
      {"leaving", "refuse no_server", [](World& w) { w.AddServer("s1").announced.leaving = true; }},
      {"other model", "refuse no_server",
       [](World& w) { w.AddServer("s1").announced.models[0].name = ModelId("n"); }},
      {"other version", "refuse no_server",
       [](World& w) {
         w.AddServer("s1");
         w.route.version = "2";
       }},
      {"adapter present", "local s1",
       [](World& w) {
         w.AddServer("s1");
         w.route.adapter = "guides";
       }},
      {"adapter absent", "refuse no_server",
       [](World& w) {
         w.AddServer("s1");
         w.route.adapter = "schools";
       }},
      {"service on a model server", "refuse no_server",
       [](World& w) {
         w.AddServer("s1");
         w.route.kind = ServerKind::kService;
         w.route.service = "logbook";
       }},
      {"service", "local s1",
       [](World& w) {
         BackendServer& server = w.AddServer("s1");
         server.announced.kind = ServerKind::kService;
         server.announced.services = {"logbook"};
         w.route.kind = ServerKind::kService;
         w.route.service = "logbook";
       }},
      {"tried before", "local s2",
       [](World& w) {
         w.AddServer("s1");
         w.AddServer("s2", 7);
         w.query.avoid_servers = {ServerId("s1")};
       }},
      {"deadline passed", "refuse deadline_not_run",
       [](World& w) {
         w.AddServer("s1");
         w.query.deadline = kNow;
       }},
      {"summary without servers", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a");
         w.AddSummary("norte", "norte-a").servers = 0;
       }},
      {"summary of another model", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a");
         w.AddSummary("norte", "norte-a").served = "n";
       }},
      {"old summary", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a");
         w.AddSummary("norte", "norte-a").reported_at = kNow - kSummaryTtl - seconds(1);
       }},
      {"suspected host", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a").status = HostStatus::kSuspect;
         w.AddSummary("norte", "norte-a");
       }},
      {"leaving host", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a").status = HostStatus::kLeaving;
         w.AddSummary("norte", "norte-a");
       }},
      {"overloaded host", "refuse no_server",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a").overloaded = true;
         w.AddSummary("norte", "norte-a");
       }},
      {"one of two hosts lives", "forward h2",
       [](World& w) {
         w.AddHost("h1", "norte", "norte-a").status = HostStatus::kFailed;
         w.AddHost("h2", "norte", "norte-a");
         w.AddSummary("norte", "norte-a");
       }},
  });
}

// Guards against forwards that oscillate or that ignore the route's weights.
BOOST_AUTO_TEST_CASE(ForwardNeedsTheMargin) {
  auto busy = [](World& w, int running) {
    w.AddServer("s1", running, 8);
    w.AddHost("h1", "norte", "norte-a");
    w.AddSummary("norte", "norte-a");
    w.route.weight_remote = 0;
  };
  RunCases({
      {"home is free", "local s1", [&](World& w) { busy(w, 0); }},
      // One request per slot waits 1/8 s; the margin of 50 ms and the round trip exceed that.
      {"home waits less than round trip and margin", "local s1", [&](World& w) { busy(w, 8); }},
      {"home waits longer", "forward h1",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 4;
       }},
      {"may not be sent away", "queue",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 4;
         w.route.send_away = false;
       }},
      {"remote weight keeps it at home", "queue",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 4;
         w.route.weight_remote = 10;
       }},
      {"the other side is as busy", "queue",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 4;
         w.view.summaries[0].running = 100;
       }},
      // Guards against equally loaded regions that exchange their requests: the summary does not
      // show the queue of the other gateways.
      {"the other side has no free slot", "queue",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 400;
         w.view.summaries[0].running = 8;
       }},
      {"what was sent there since its report counts", "queue",
       [&](World& w) {
         busy(w, 100);
         w.load.queued_ahead = 4;
         for (int i = 0; i < 100; ++i) OnForward(w.load, DomainId("norte-a"), kNow + seconds(1));
       }},
      // Guards against chapters that fill all slots, which made interactive requests wait seconds.
      {"a chapter leaves slots to recent interactive requests", "queue",
       [&](World& w) {
         busy(w, 6);
         w.route.send_away = false;
         w.query.traffic_class = TrafficClass::kChapter;
         w.load.reserved_until = kNow + seconds(1);
       }},
      {"a chapter whose turn has come uses them", "local s1",
       [&](World& w) {
         busy(w, 6);
         w.route.send_away = false;
         w.query.traffic_class = TrafficClass::kChapter;
         w.query.uses_reserve = true;
         w.load.reserved_until = kNow + seconds(1);
       }},
      {"a chapter takes all slots without recent interactive requests", "local s1",
       [&](World& w) {
         busy(w, 6);
         w.route.send_away = false;
         w.query.traffic_class = TrafficClass::kChapter;
       }},
      {"no server here", "forward h1",
       [&](World& w) {
         busy(w, 0);
         w.view.servers.clear();
       }},
  });
}

// Guards against cost, prefix groups and fullness that disagree with section 9, item 12.
BOOST_AUTO_TEST_CASE(LocalChoiceFollowsCost) {
  RunCases({
      {"the emptier server", "local s2",
       [](World& w) {
         w.AddServer("s1", 9);
         w.AddServer("s2", 1);
       }},
      {"sent since the report counts", "local s2",
       [](World& w) {
         w.AddServer("s1", 0);
         w.AddServer("s2", 2);
         for (int i = 0; i < 3; ++i)
           OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow);
       }},
      {"all full", "queue",
       [](World& w) {
         w.AddServer("s1", 10);
         w.AddServer("s2", 10);
       }},
      {"the prefix is cached", "local s1",
       [](World& w) {
         w.AddServer("s1", 3);
         w.AddServer("s2", 0);
         w.query.prefix_hashes = {11, 12, 13};
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow - seconds(10));
         OnServerOutcome(w.load, w.view, ServerId("s1"), kNow - seconds(10), ServerOutcome::kOk,
                         kNow - seconds(9));
       }},
      {"the server with the cached prefix waits too long", "local s2",
       [](World& w) {
         w.AddServer("s1", 9);
         w.AddServer("s2", 0);
         w.query.prefix_hashes = {11, 12, 13};
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow - seconds(10));
         OnServerOutcome(w.load, w.view, ServerId("s1"), kNow - seconds(10), ServerOutcome::kOk,
                         kNow - seconds(9));
       }},
      {"a cache that has expired is not counted", "local s2",
       [](World& w) {
         w.AddServer("s1", 3);
         w.AddServer("s2", 0);
         w.query.prefix_hashes = {11, 12, 13};
         Time long_ago = kNow - kPrefixTtl;
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), long_ago);
         OnServerOutcome(w.load, w.view, ServerId("s1"), long_ago, ServerOutcome::kOk, long_ago);
       }},
      {"a cache with a gap in its events is not counted", "local s2",
       [](World& w) {
         w.AddServer("s1", 3);
         w.AddServer("s2", 0);
         w.query.prefix_hashes = {11, 12, 13};
         Time before = kNow - seconds(10);
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), before);
         OnServerOutcome(w.load, w.view, ServerId("s1"), before, ServerOutcome::kOk, before);
         ForgetPrefixes(w.load, ServerId("s1"));
       }},
      {"the cache of an earlier incarnation is not counted", "local s2",
       [](World& w) {
         w.AddServer("s1", 3).announced.incarnation = 2;
         w.AddServer("s2", 0);
         w.query.prefix_hashes = {11, 12, 13};
         Time before = kNow - seconds(10);
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), before);
         OnServerOutcome(w.load, w.view, ServerId("s1"), before, ServerOutcome::kOk, before);
       }},
  });
}

// Guards against a policy that does not follow its own rule.
// Guards against ended requests that count as waiting until the next report: a server then gets no
// more requests between two reports than it has places, and the others wait.
BOOST_AUTO_TEST_CASE(EndedRequestsNoLongerCount) {
  LocalLoad load;
  RouteQuery query;
  ServerId server("s1");
  RoutingView view;
  for (int i = 0; i < 100; ++i) {
    Time placed = kNow + milliseconds(i);
    OnDispatch(load, query, At(server, 1, query), placed);
    Time dispatched = placed + Duration(i % 3);  // the caller's clock is read later
    OnServerOutcome(load, view, server, dispatched, ServerOutcome::kOk, placed + milliseconds(1));
  }
  BOOST_TEST(load.servers.at(server).sent.empty());
  BOOST_TEST(load.servers.at(server).in_flight == 0);
  OnForward(load, DomainId("d2"), kNow);
  OnForwardEnded(load, DomainId("d2"), kNow + Duration(1), ForwardEnd::kAnswered, kNow);
  BOOST_TEST(load.domains.at(DomainId("d2")).sent.empty());
}

BOOST_AUTO_TEST_CASE(Policies) {
  World w;
  w.AddServer("s1", 5);
  w.AddServer("s2", 1);
  w.AddServer("s3", 3);
  w.load.policy = RoutingPolicy::kLeastReported;
  BOOST_TEST(Describe(w.Run()) == "local s2");

  w.load.policy = RoutingPolicy::kRoundRobin;
  std::vector<std::string> order;
  for (int i = 0; i < 4; ++i) {
    Choice choice = w.Run();
    order.push_back(choice.server.value());
    w.Dispatch(choice);
  }
  std::vector<std::string> expected = {"s1", "s2", "s3", "s1"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());

  // Equal loads: a server above the load bound gets no prefix.
  w.load = LocalLoad();
  for (BackendServer& server : w.view.servers) server.announced.load.running = 3;
  w.load.policy = RoutingPolicy::kPrefixHash;
  std::map<uint64_t, std::string> homes;
  std::set<std::string> used;
  for (uint64_t prefix = 1; prefix <= 60; ++prefix) {
    w.query.prefix_hashes = {prefix};
    homes[prefix] = w.Run().server.value();
    used.insert(homes[prefix]);
  }
  BOOST_TEST(used.size() == 3u);
  w.view.servers.erase(w.view.servers.begin());
  for (const auto& [prefix, home] : homes) {
    w.query.prefix_hashes = {prefix};
    if (home != "s1") BOOST_TEST(w.Run().server.value() == home);
  }

  // A popular prefix must not fill its server while the other one is idle.
  w.load = LocalLoad();
  w.load.policy = RoutingPolicy::kPrefixHash;
  std::map<std::string, int> share;
  w.query.prefix_hashes = {1};
  for (int i = 0; i < 6; ++i) {
    Choice choice = w.Run();
    ++share[choice.server.value()];
    w.Dispatch(choice);
  }
  BOOST_TEST(share.size() == 2u);

  w.load = LocalLoad();
  w.view.servers[0].announced.load.running = 1;
  w.load.policy = RoutingPolicy::kPowerOfTwo;
  int emptier = 0;
  for (int i = 0; i < 1'000; ++i) emptier += w.Run().server.value() == "s2" ? 1 : 0;
  // Two draws of two servers miss s2 in a quarter of the cases.
  BOOST_TEST(emptier > 700);
  BOOST_TEST(emptier < 800);
}

// Guards against a returned server that gets its whole share at once.
BOOST_AUTO_TEST_CASE(SlowStartGrows) {
  struct Row {
    int64_t age_ms;
    double share;  // of the choices, among 4 equal servers
  };
  for (const Row& row :
       std::vector<Row>{{0, 0}, {2'500, 0.0625}, {5'000, 0.125}, {10'000, 0.25}, {60'000, 0.25}}) {
    World w;
    w.load.policy = RoutingPolicy::kPowerOfTwo;
    for (int i = 0; i < 4; ++i) w.AddServer("s" + std::to_string(i));
    w.view.servers[0].first_seen = kNow - milliseconds(row.age_ms);
    int chosen = 0;
    for (int i = 0; i < 10'000; ++i) chosen += w.Run().server.value() == "s0" ? 1 : 0;
    BOOST_TEST(std::abs(chosen / 10'000.0 - row.share) < 0.03, "age " << row.age_ms);
  }
  World w;
  w.AddServer("s1").first_seen = kNow;
  BOOST_TEST(Describe(w.Run()) == "local s1", "the only server gets work at once");
}

// Guards against a failing server that keeps its share, and against a fault of this host that
// removes all servers.
BOOST_AUTO_TEST_CASE(EjectionIsCapped) {
  World w;
  for (int i = 0; i < 6; ++i) w.AddServer("s" + std::to_string(i));
  int ejected = 0;
  for (int i = 0; i < 6; ++i) {
    ServerId id("s" + std::to_string(i));
    for (int failure = 0; failure < kFailuresToEject; ++failure) {
      OnDispatch(w.load, w.query, At(id, 1, w.query), kNow);
      if (OnServerOutcome(w.load, w.view, id, kNow, ServerOutcome::kFailed, kNow)) ++ejected;
    }
  }
  BOOST_TEST(ejected == 2);  // a third of 6
  std::set<std::string> used;
  for (int i = 0; i < 500; ++i) used.insert(w.Run().server.value());
  BOOST_TEST(used.size() == 4u);
  BOOST_TEST(used.count("s0") == 0u);

  // The time doubles with each ejection in a row, and a success ends the row.
  LocalLoad load;
  Time now = kNow;
  ServerId s0("s0");
  for (int64_t expected_s : {1, 2, 4, 8, 16, 30, 30}) {
    bool done = false;
    for (int i = 0; i < kFailuresToEject && !done; ++i) {
      OnDispatch(load, w.query, At(s0, 1, w.query), now);
      done = OnServerOutcome(load, w.view, s0, now, ServerOutcome::kFailed, now);
    }
    BOOST_TEST(done);
    BOOST_TEST(ToMillis(load.servers[s0].ejected_until - now) == expected_s * 1000);
    for (BackendServer& server : w.view.servers) server.expires_at = now + seconds(100);
    now = load.servers[s0].ejected_until;
  }
  OnDispatch(load, w.query, At(s0, 1, w.query), now);
  OnServerOutcome(load, w.view, s0, now, ServerOutcome::kOk, now);
  BOOST_TEST(load.servers[s0].ejections == 0);
}

// Guards against ejection that refuses a request although a server might run it, and against
// failures of an earlier incarnation that eject a restarted server.
BOOST_AUTO_TEST_CASE(EjectionEdges) {
  World w;
  for (const char* id : {"s1", "s2", "s3"}) w.AddServer(id);
  w.view.servers[1].announced.models[0].name = ModelId("n");
  w.view.servers[2].announced.models[0].name = ModelId("n");
  ServerId s1("s1");
  for (int i = 0; i < kFailuresToEject; ++i) {
    OnDispatch(w.load, w.query, At(s1, 1, w.query), kNow);
    OnServerOutcome(w.load, w.view, s1, kNow, ServerOutcome::kFailed, kNow);
  }
  BOOST_TEST((w.load.servers[s1].ejected_until > kNow));
  BOOST_TEST(Describe(w.Run()) == "local s1");

  for (int i = 0; i < 5; ++i) OnDispatch(w.load, w.query, At(s1, 1, w.query), kNow);
  OnDispatch(w.load, w.query, At(s1, 2, w.query), kNow + seconds(1));
  for (int i = 0; i < 5; ++i) {
    OnServerOutcome(w.load, w.view, s1, kNow, ServerOutcome::kFailed, kNow + seconds(2));
  }
  BOOST_TEST(w.load.servers[s1].failures == 0);
  BOOST_TEST(w.load.servers[s1].in_flight == 1);
}

// Guards against a suspect that shares a server.
BOOST_AUTO_TEST_CASE(SuspectsRunAlone) {
  RunCases({
      {"an idle server", "local s2",
       [](World& w) {
         w.AddServer("s1", 1);
         w.AddServer("s2", 0);
         w.query.suspect = true;
       }},
      {"no idle server", "queue",
       [](World& w) {
         w.AddServer("s1", 1);
         w.AddServer("s2", 0).announced.load.waiting = 1;
         w.query.suspect = true;
       }},
      {"idle by its report, but this host sent work", "queue",
       [](World& w) {
         w.AddServer("s1", 0);
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow - seconds(5));
         w.query.suspect = true;
       }},
      {"an exclusive server gets no other work", "queue",
       [](World& w) {
         w.AddServer("s1", 0);
         w.query.suspect = true;
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow);
         w.query.suspect = false;
       }},
      {"an exclusive server is free again", "local s1",
       [](World& w) {
         w.AddServer("s1", 0);
         w.query.suspect = true;
         OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow);
         w.query.suspect = false;
         OnServerOutcome(w.load, w.view, ServerId("s1"), kNow, ServerOutcome::kOk, kNow);
       }},
      {"a suspect isn't sent to another region while servers exist here", "queue",
       [](World& w) {
         FullHomeIdleNorte(w);
         w.query.suspect = true;
       }},
  });

  // Under load every host keeps the same server free while suspects wait.
  std::set<std::string> missing;
  for (int host = 0; host < 5; ++host) {
    World w;
    w.view.self.host = HostId("h" + std::to_string(host));
    std::set<std::string> used;
    for (int i = 0; i < 6; ++i)
      used.insert(w.AddServer("s" + std::to_string(i), 3).announced.id.value());
    w.load.set_aside_until = kNow + seconds(1);
    for (int i = 0; i < 300; ++i) used.erase(w.Run().server.value());
    BOOST_TEST(used.size() == 1u);
    missing.insert(used.begin(), used.end());
  }
  BOOST_TEST(missing.size() == 1u);
}

// Guards against a suspect on a server whose report is too old to show the work that another host
// sent it before the loss, and on one that the last change of the servers made another host's.
BOOST_AUTO_TEST_CASE(SuspectWaitsForAReportOfTheServerSetAside) {
  World w;
  w.query.suspect = true;
  for (int i = 0; i < 4; ++i) w.AddServer("s" + std::to_string(i));
  Time loss = kNow - seconds(1);
  auto report_all = [&](Time at) {
    for (BackendServer& server : w.view.servers) server.reported_at = at;
  };
  w.load.set_aside_until = loss + kSetAside;
  report_all(loss + kNewsDelay);
  BOOST_TEST(Describe(w.Run()) == "queue");
  report_all(loss + kNewsDelay + kLoadReportLag);
  BOOST_TEST((w.Run().kind == ChoiceKind::kLocal));

  // A server that falls silent moves no other one to another host until the view drops it.
  ServerId own = w.Run().server;
  for (BackendServer& server : w.view.servers) {
    if (server.announced.id == own) continue;
    Time expires_at = std::exchange(server.expires_at, kNow);
    BOOST_TEST((w.Run().server == own));
    server.expires_at = expires_at;
  }
  Prune(w.load, w.view, loss);
  w.view.servers.pop_back();
  Prune(w.load, w.view, kNow);
  BOOST_TEST(Describe(w.Run()) == "queue");
  report_all(kNow + kNewsDelay + kLoadReportLag);
  Prune(w.load, w.view, kNow + seconds(1));
  BOOST_TEST((w.Run().kind == ChoiceKind::kLocal));
}

// Guards against a condemnation of a request that had company.
BOOST_AUTO_TEST_CASE(RanAloneSeesCompany) {
  World w;
  BackendServer& server = w.AddServer("s1");
  ServerId s1("s1");
  BOOST_TEST(!RanAlone(w.load, server));
  w.query.suspect = true;
  OnDispatch(w.load, w.query, At(s1, 1, w.query), kNow);
  BOOST_TEST(RanAlone(w.load, server));
  server.announced.load.running = 2;  // another host's request
  BOOST_TEST(!RanAlone(w.load, server));
  Prune(w.load, w.view, kNow);
  server.announced.load.running = 1;
  BOOST_TEST(!RanAlone(w.load, server), "company that has ended still counts");
  OnServerOutcome(w.load, w.view, s1, kNow, ServerOutcome::kOk, kNow);

  w.query.suspect = false;
  OnDispatch(w.load, w.query, At(s1, 1, w.query), kNow);
  BOOST_TEST(!RanAlone(w.load, server), "not a suspect");
  w.query.suspect = true;
  OnDispatch(w.load, w.query, At(s1, 1, w.query), kNow);
  BOOST_TEST(!RanAlone(w.load, server), "company before the suspect");
}

// Guards against state that grows without bound.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  World w;
  w.AddServer("s1");
  for (uint64_t i = 0; i < 3 * kMaxPrefixes; i += kMaxPrefixHashes) {
    w.query.prefix_hashes.clear();
    for (uint64_t j = 0; j < 2 * kMaxPrefixHashes; ++j) w.query.prefix_hashes.push_back(1 + i + j);
    OnDispatch(w.load, w.query, At(ServerId("s1"), 1, w.query), kNow);
  }
  BOOST_TEST(w.load.prefixes.holders.size() == kMaxPrefixes);
  BOOST_TEST(w.load.prefixes.order.size() == kMaxPrefixes);
  BOOST_TEST(w.load.servers[ServerId("s1")].sent.size() == kMaxSentTimes);

  LocalLoad load;
  OnDispatch(load, w.query, At(ServerId("gone"), 1, w.query), kNow);
  OnForward(load, DomainId("gone"), kNow);
  Prune(load, w.view, kNow);
  BOOST_TEST(load.servers.size() == 1u, "in flight");
  OnServerOutcome(load, w.view, ServerId("gone"), kNow, ServerOutcome::kOk, kNow);
  OnForwardEnded(load, DomainId("gone"), kNow, ForwardEnd::kAnswered, kNow);
  Prune(load, w.view, kNow);
  BOOST_TEST(load.servers.empty());
  BOOST_TEST(load.domains.empty());
}

// Compares random worlds with a checker that restates the contract by itself: guards against a
// combination of conditions that the tables above do not have.
BOOST_AUTO_TEST_CASE(RandomWorldsKeepTheContract) {
  std::mt19937_64 rng(kSeed);
  auto pick = [&](int count) { return static_cast<int>(rng() % count); };
  const std::vector<std::string> regions = {"este", "norte", "sur", ""};
  std::map<std::string, int> seen;
  for (int round = 0; round < 20'000; ++round) {
    World w;
    w.view.self.region = RegionId(regions[pick(8) == 0 ? pick(4) : 0]);
    w.route.regions.clear();
    for (int i = pick(3); i >= 0; --i) w.route.regions.emplace_back(regions[pick(3)]);
    w.query.allowed_regions.clear();
    for (int i = pick(4); i > 0; --i) w.query.allowed_regions.emplace_back(regions[pick(3)]);
    w.query.hops = pick(4);
    w.query.crossed = w.query.hops > 0 && pick(2) == 0;
    w.query.suspect = pick(6) == 0;
    w.route.send_away = pick(3) != 0;
    w.route.weight_remote = pick(2);
    w.load.queued_ahead = static_cast<size_t>(pick(50));
    w.load.policy = static_cast<RoutingPolicy>(pick(5));
    for (int i = pick(4); i > 0; --i) {
      BackendServer& server = w.AddServer("s" + std::to_string(i), pick(14) - 2);
      if (pick(5) == 0) server.expires_at = kNow - milliseconds(1);
      if (pick(5) == 0) server.announced.leaving = true;
      if (pick(5) == 0) server.announced.region = RegionId(regions[pick(4)]);
      if (pick(5) == 0) w.query.avoid_servers.push_back(server.announced.id);
    }
    for (int i = pick(5); i > 0; --i) {
      const std::string& region = regions[pick(4)];
      HostEntry& host = w.AddHost("h" + std::to_string(i), region, region + "-x");
      host.status = static_cast<HostStatus>(pick(3) == 0 ? pick(4) : 0);
      host.overloaded = pick(5) == 0;
    }
    for (const std::string& region : regions) {
      if (pick(2) == 0) w.AddSummary(region, region + "-x", pick(20)).servers = pick(3);
    }

    Choice choice = w.Run();
    ++seen[Name(choice.kind)];
    auto allowed = [&](const RegionId& region) {
      auto has = [&](const std::vector<RegionId>& list) {
        return std::count(list.begin(), list.end(), region) > 0;
      };
      return !region.empty() && has(w.route.regions) && has(w.query.allowed_regions);
    };
    if (choice.kind == ChoiceKind::kLocal) {
      const BackendServer* server = nullptr;
      for (const BackendServer& s : w.view.servers) {
        if (s.announced.id == choice.server) server = &s;
      }
      BOOST_REQUIRE(server != nullptr);
      BOOST_TEST_REQUIRE(allowed(w.view.self.region));
      BOOST_TEST_REQUIRE((server->announced.region == w.view.self.region));
      BOOST_TEST_REQUIRE(!server->announced.leaving);
      BOOST_TEST_REQUIRE((server->expires_at > kNow));
      BOOST_TEST_REQUIRE(std::count(w.query.avoid_servers.begin(), w.query.avoid_servers.end(),
                                    choice.server) == 0);
      BOOST_TEST_REQUIRE(w.query.hops <= kMaxHops);
      if (w.query.suspect) BOOST_TEST_REQUIRE(server->announced.load.running <= 0);
    }
    if (choice.kind == ChoiceKind::kForward) {
      const HostEntry* host = nullptr;
      for (const HostEntry& h : w.view.hosts) {
        if (h.id == choice.host) host = &h;
      }
      BOOST_REQUIRE(host != nullptr);
      BOOST_TEST_REQUIRE(allowed(host->region));
      BOOST_TEST_REQUIRE((host->status == HostStatus::kAlive));
      BOOST_TEST_REQUIRE(!host->overloaded);
      BOOST_TEST_REQUIRE(w.query.hops < kMaxHops);
      bool crosses = host->region != w.view.self.region;
      BOOST_TEST_REQUIRE(choice.crosses == crosses);
      if (crosses) BOOST_TEST_REQUIRE((!w.query.crossed && w.route.send_away));
      bool has_servers = false;
      for (const DomainSummary& summary : w.view.summaries) {
        has_servers |= summary.domain == host->domain && summary.servers > 0;
      }
      BOOST_TEST_REQUIRE(has_servers);
    }
    if (choice.kind == ChoiceKind::kRefuse) {
      BOOST_TEST_REQUIRE((LookupError(choice.error).run == Run::kNotRun));
    }
  }
  for (const char* kind : {"local", "forward", "queue", "refuse"}) {
    BOOST_TEST(seen[kind] > 100, kind << " " << seen[kind] << ", seed " << kSeed);
  }
}

// Guards against a region that the route allows and the team's residency does not.
BOOST_AUTO_TEST_CASE(AllowedRegionsIntersect) {
  World w;
  BOOST_TEST(AllowedRegions(*w.config, w.route).empty(), "unknown team");
  w.config->teams[w.route.team].regions = {RegionId("sur"), RegionId("norte")};
  std::vector<RegionId> expected = {RegionId("norte")};
  BOOST_TEST((AllowedRegions(*w.config, w.route) == expected));
}

// Guards against short prompts that wait behind a long one that a server is still reading (long
// prompts arrive in bursts): a server counts as busy until the answer starts.
BOOST_AUTO_TEST_CASE(UnreadPromptsCount) {
  World w;
  for (const char* id : {"s1", "s2"}) {
    w.AddServer(id).announced.capabilities = {kNoLoadReports};
  }
  w.query.prompt_tokens = 50'000;
  Choice first = w.Run();
  w.Dispatch(first);
  w.query.prompt_tokens = 1'000;
  for (int i = 0; i < 20; ++i) BOOST_TEST((w.Run().server != first.server));
  OnFirstByte(w.load, Served(w.route), first, kNow, kNow + seconds(1));
  BOOST_TEST(w.load.servers[first.server].prefill_tokens == 0);
  OnServerOutcome(w.load, w.view, first.server, kNow, ServerOutcome::kOk, kNow + seconds(1));
  std::set<std::string> used;
  for (int i = 0; i < 50; ++i) used.insert(w.Run().server.value());
  BOOST_TEST(used.size() == 2u, "both are free again");
}

// Guards against hosts that each send the long prompts of all hosts to the same server.
BOOST_AUTO_TEST_CASE(WorkOfOtherHostsCounts) {
  World w;
  w.AddServer("s1").elsewhere_tokens = 50'000;
  w.AddServer("s2");
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(w.Run()) == "local s2");
}

// Guards against a session whose shared parts every host reads again at another server.
BOOST_AUTO_TEST_CASE(HostsAgreeOnTheHomeOfSharedParts) {
  std::map<std::string, int> homes;
  for (uint64_t session = 0; session < 100; ++session) {
    std::set<std::string> picked;
    for (uint64_t host = 0; host < 5; ++host) {
      World w;
      w.rng.seed(kSeed + host);
      for (int i = 0; i < 6; ++i) w.AddServer("s" + std::to_string(i));
      w.query.prompt_tokens = 12'000;
      w.query.prefix_hashes = {1, 1'000 + session, 9'000 + host};
      w.query.prefix_tokens = {500, 5'400, 12'000};
      picked.insert(w.Run().server.value());
    }
    BOOST_TEST(picked.size() == 1u);
    ++homes[*picked.begin()];
  }
  for (const auto& [server, sessions] : homes) BOOST_TEST(sessions < 40, server);
}

// Guards against a home that is used although it is the busiest server by far.
BOOST_AUTO_TEST_CASE(ABusyHomeIsLeft) {
  World w;
  for (int i = 0; i < 6; ++i) w.AddServer("s" + std::to_string(i));
  w.query.prompt_tokens = 12'000;
  w.query.prefix_hashes = {1, 2, 3};
  w.query.prefix_tokens = {500, 5'400, 12'000};
  Choice home = w.Run();
  for (BackendServer& server : w.view.servers) {
    if (server.announced.id == home.server) server.elsewhere_tokens = 20'000;
  }
  BOOST_TEST((w.Run().server != home.server));
}

// A world of plain servers whose service can fetch parts of prompts.
struct FetchWorld : World {
  std::shared_ptr<IngressConfig> ingress = std::make_shared<IngressConfig>();

  explicit FetchWorld(double fetch_tokens_per_s, int servers = 6) {
    route.kind = ServerKind::kService;
    route.service = "summaries";
    IngressService service;
    service.name = route.service;
    service.fetch_tokens_per_s = fetch_tokens_per_s;
    ingress->services[service.name] = service;
    config->ingress = ingress;
    load.prefill_rates[route.service] = 80'000;
    for (int i = 0; i < servers; ++i) {
      BackendServer& server = AddServer("s" + std::to_string(i), 0, 32);
      server.announced.kind = ServerKind::kService;
      server.announced.services = {route.service};
    }
    Ask(2, 12'000);
  }

  // A prompt of the session whose shared parts have 5,400 tokens.
  void Ask(uint64_t session, int64_t tokens) {
    query.prompt_tokens = tokens;
    query.prefix_hashes = {1, session, 1'000'000 + session};
    query.prefix_tokens = {500, 5'400, tokens};
  }

  BackendServer& At(const ServerId& id) {
    return *std::find_if(view.servers.begin(), view.servers.end(),
                         [&](const BackendServer& server) { return server.announced.id == id; });
  }
};

// Guards against shared parts that each server of a region reads for itself when the home of the
// session is busy (heavy days: 5.9 million of 14 million shared tokens were read again).
BOOST_AUTO_TEST_CASE(PromptsThatLeaveABusyHomeFetchItsParts) {
  FetchWorld w(130'000);
  Choice home = w.Run();
  BOOST_TEST(home.fetch_from.empty());
  w.At(home.server).elsewhere_tokens = 20'000;
  Choice other = w.Run();
  BOOST_TEST((other.server != home.server));
  BOOST_TEST((other.fetch_from == home.server));
  BOOST_TEST(other.fetch_tokens == 5'400);
  BOOST_TEST(other.prefill_tokens == 12'000 - 5'400);
}

// Guards against fetches from a home that is full and no candidate for the request itself.
BOOST_AUTO_TEST_CASE(AFullHomeStillGivesItsParts) {
  FetchWorld w(130'000);
  Choice home = w.Run();
  w.At(home.server).elsewhere = 100;
  Choice other = w.Run();
  BOOST_TEST((other.server != home.server));
  BOOST_TEST((other.fetch_from == home.server));
}

// Guards against fetches that take longer than reading, or that no server can do.
BOOST_AUTO_TEST_CASE(NothingIsFetchedWhereReadingIsFaster) {
  for (double rate : {0.0, 60'000.0}) {
    FetchWorld w(rate);
    Choice home = w.Run();
    w.At(home.server).elsewhere_tokens = 20'000;
    Choice other = w.Run();
    BOOST_TEST((other.server != home.server));
    BOOST_TEST(other.fetch_from.empty());
    BOOST_TEST(other.prefill_tokens == 12'000);
  }
}

// Guards against memory that moves between failure domains.
BOOST_AUTO_TEST_CASE(PartsAreFetchedInsideAFailureDomain) {
  FetchWorld w(130'000);
  w.view.server_scope = ServerScope::kRegion;
  Choice home = w.Run();
  w.At(home.server).elsewhere_tokens = 20'000;
  w.At(home.server).announced.domain = DomainId("este-b");
  BOOST_TEST(w.Run().fetch_from.empty());
}

// Guards against fetches from a server that is expected to have crashed or was replaced.
BOOST_AUTO_TEST_CASE(UnreachableServersGiveNothing) {
  FetchWorld w(130'000);
  Choice home = w.Run();
  w.Dispatch(home);
  OnServerOutcome(w.load, w.view, home.server, kNow, ServerOutcome::kUnreachable, kNow);
  Choice other = w.Run();
  BOOST_TEST((other.server != home.server));
  BOOST_TEST((other.fetch_from != home.server));
}

// Guards against sessions whose home is a server that their prompts avoid, because it takes the
// long ones: they would be read again elsewhere each time.
BOOST_AUTO_TEST_CASE(NoSessionLivesAtTheHomeOfLongPrompts) {
  std::string long_home;
  {
    FetchWorld w(0);
    w.query.prompt_tokens = 40'000;
    w.query.prefix_hashes = {7};
    w.query.prefix_tokens = {40'000};
    long_home = w.Run().server.value();
  }
  for (uint64_t session = 2; session < 60; ++session) {
    FetchWorld w(0);
    w.Ask(session, 12'000);
    Choice choice = w.Run();
    BOOST_TEST(choice.server.value() != long_home);
    BOOST_TEST(choice.hit_tokens == 5'400, session);
  }
}

// A region whose servers are full, and another one with room. `tokens` are unread there.
void FullHomeWithTarget(World& w, int64_t tokens) {
  w.AddServer("s1", 100, 32).announced.capabilities = {kNoLoadReports};
  w.load.prefill_rates["m"] = 80'000;
  w.load.servers[ServerId("s1")].mean_service = milliseconds(10);
  w.query.first_byte_by = kNow + milliseconds(1'200);
  w.query.prompt_tokens = 2'400;
  w.AddHost("h1", "norte", "norte-a");
  w.AddSummary("norte", "norte-a", 10, 64).prefill_tokens = tokens;
}

// Guards against requests that are refused at home while another region has room (servers that come
// back cold together: their short queue looked cheaper than the round trip).
BOOST_AUTO_TEST_CASE(AFullHomeSendsAwayWhatStartsInTimeElsewhere) {
  RunCases({{"room elsewhere", "forward h1", [](World& w) { FullHomeWithTarget(w, 10'000); }},
            {"late there as well", "queue", [](World& w) { FullHomeWithTarget(w, 100'000); }},
            {"no slot there", "queue",
             [](World& w) {
               FullHomeWithTarget(w, 0);
               w.view.summaries[0].running = 64;
             }},
            {"data may not go there", "queue",
             [](World& w) {
               FullHomeWithTarget(w, 0);
               w.query.allowed_regions = {RegionId("este")};
             }},
            {"was forwarded here", "queue", [](World& w) {
               FullHomeWithTarget(w, 0);
               w.query.hops = 1;
             }}});
}

// Guards against a region that goes on sending to one that refuses for want of room, until the next
// summary of it arrives (529 forwards in four seconds were refused).
BOOST_AUTO_TEST_CASE(AfterARefusalAFullDomainGetsNothingForATime) {
  World w;
  FullHomeWithTarget(w, 0);
  DomainId norte("norte-a");
  BOOST_TEST(Describe(w.Run()) == "forward h1");
  OnForward(w.load, norte, kNow);
  OnForwardEnded(w.load, norte, kNow, ForwardEnd::kRefused, kNow);
  BOOST_TEST(Describe(w.Run()) == "queue");
  w.load.domains[norte].full_until = kNow;
  BOOST_TEST(Describe(w.Run()) == "forward h1");
}

// Guards against requests that all wait for a connection to the same dark servers, when a region
// has no others (312 failed connections in two seconds).
BOOST_AUTO_TEST_CASE(OneRequestAtATimeTriesAnUnreachableServer) {
  World w;
  w.AddServer("s1", 0, 32).announced.capabilities = {kNoLoadReports};
  Time at = kNow;
  auto run = [&] { return Choose(w.query, w.view, w.load, at, w.rng); };
  Choice older = run();
  w.Dispatch(older, at);
  w.Dispatch(run(), at);
  OnServerOutcome(w.load, w.view, ServerId("s1"), at, ServerOutcome::kUnreachable, at);
  at += milliseconds(10);
  Choice trial = run();
  BOOST_TEST(Describe(trial) == "local s1", "the older request is no trial");
  w.Dispatch(trial, at);
  BOOST_TEST(Describe(run()) == "refuse no_server");
  OnFirstByte(w.load, Served(w.route), trial, at, at + milliseconds(20));
  w.Dispatch(run(), at);
  BOOST_TEST(Describe(run()) == "local s1", "it is back");
}

// Guards against work for the servers of an evacuated failure domain.
BOOST_AUTO_TEST_CASE(EvacuatedDomainsGetNothing) {
  World w;
  w.view.server_scope = ServerScope::kRegion;
  w.AddServer("s1");
  w.AddServer("s2").announced.domain = DomainId("este-b");
  w.config->evacuated.insert(DomainId("este-a"));
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(w.Run()) == "local s2");
  w.AddHost("h1", "norte", "norte-a");
  w.AddSummary("norte", "norte-a");
  w.config->evacuated = {DomainId("este-a"), DomainId("este-b"), DomainId("norte-a")};
  BOOST_TEST(Describe(w.Run()) == "refuse no_server");
}

// Guards against a crashed server that gets all requests because it has no work (trouble
// `srv_crash` under load): one failed connection is enough, until it announces itself again.
BOOST_AUTO_TEST_CASE(UnreachableServersAreTheLastChoice) {
  World w;
  w.AddServer("s1");
  w.AddServer("s2", 6);
  Time at = w.Dispatch(At(ServerId("s1"), 1, w.query));
  Time failed = kNow + milliseconds(2);
  OnServerOutcome(w.load, w.view, ServerId("s1"), at, ServerOutcome::kUnreachable, failed);
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(w.Run()) == "local s2");
  w.query.avoid_servers = {ServerId("s2")};
  BOOST_TEST(Describe(w.Run()) == "local s1", "better than a refusal");
  // Another region that costs no more than its round trip is better than that.
  w.route.weight_remote = 0;
  w.AddHost("h1", "norte", "norte-a");
  w.AddSummary("norte", "norte-a");
  BOOST_TEST(Describe(w.Run()) == "forward h1");
  w.query.avoid_servers.clear();
  w.view.servers[0].reported_at = failed + milliseconds(1);
  w.view.servers[1].announced.load.running = 8;
  BOOST_TEST(Describe(w.Run()) == "local s1", "it announced itself");
}

// Guards against requests for a server that restarted under another id at the same address.
BOOST_AUTO_TEST_CASE(ReplacedServersGetNothing) {
  World w;
  w.AddServer("old");
  w.AddServer("new", 7);
  Time at = w.Dispatch(At(ServerId("old"), 1, w.query));
  OnServerOutcome(w.load, w.view, ServerId("old"), at, ServerOutcome::kGone, kNow);
  w.view.servers[0].reported_at = kNow + seconds(1);
  for (int i = 0; i < 20; ++i) BOOST_TEST(Describe(w.Run()) == "local new");
  w.view.servers[0].announced.incarnation = 2;
  BOOST_TEST(Describe(w.Run()) == "local old", "a new incarnation is another server");
}

// Guards against forwards into a region that is cut off.
BOOST_AUTO_TEST_CASE(UnreachableDomainsGetNoForwards) {
  World w;
  w.AddHost("h1", "norte", "norte-a");
  w.AddSummary("norte", "norte-a");
  OnForward(w.load, DomainId("norte-a"), kNow);
  BOOST_TEST(Describe(w.Run()) == "forward h1");
  OnForwardEnded(w.load, DomainId("norte-a"), kNow, ForwardEnd::kUnreachable, kNow);
  BOOST_TEST(Describe(w.Run()) == "refuse no_server");
  w.load.domains[DomainId("norte-a")].ejected_until = kNow;
  BOOST_TEST(Describe(w.Run()) == "forward h1");
}

// Guards against prompts that all become late when more arrive than can be read (trouble `burst`):
// one that cannot start in time waits or is refused, one that nothing is ahead of is always sent.
BOOST_AUTO_TEST_CASE(PromptsThatWouldBeLateAreNotSent) {
  World w;
  w.AddServer("s1").announced.capabilities = {kNoLoadReports};
  w.load.prefill_rates["m"] = 10'000;
  w.query.prompt_tokens = 1'000;
  w.query.first_byte_by = kNow + milliseconds(800);
  int sent = 0;
  while (sent < 100 && w.Run().kind == ChoiceKind::kLocal) {
    w.Dispatch(w.Run());
    ++sent;
  }
  // 700 ms of others before 100 ms of its own.
  BOOST_TEST(sent == 8);
  BOOST_TEST(Describe(w.Run()) == "queue");
  Duration least = kMaxRetryAfter;
  Duration most{0};
  for (int i = 0; i < 100; ++i) {
    Duration retry = RetryAfter(w.query, w.view, w.load, kNow, w.rng);
    least = std::min(least, retry);
    most = std::max(most, retry);
  }
  BOOST_TEST(ToMillis(least) >= 450);
  BOOST_TEST(ToMillis(most) <= 1'350);
  BOOST_TEST(ToMillis(most - least) > 400, "callers do not return together");

  World idle;
  idle.AddServer("s1");
  idle.load.prefill_rates["m"] = 10'000;
  idle.query.prompt_tokens = 50'000;
  idle.query.first_byte_by = kNow + milliseconds(800);
  BOOST_TEST(Describe(idle.Run()) == "local s1", "late in any case, but nobody waits");
}

// Guards against a second long prompt that stalls the streams of any server while the first one is
// being read (two long prompts of one moment): of eight servers, two take the long prompts on every
// host, and streams stay off both.
BOOST_AUTO_TEST_CASE(LongPromptsOfOneMomentShareTwoOfEightServers) {
  std::set<std::string> homes;
  std::set<std::string> for_streams;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    World w;
    w.rng.seed(seed);
    for (int i = 0; i < 8; ++i) w.AddServer("s" + std::to_string(i), 4, 32);
    w.load.prefill_rates["m"] = 80'000;
    auto place = [&](uint64_t prompt, int64_t tokens) {
      w.query.prompt_tokens = tokens;
      w.query.prefix_hashes = {prompt};
      w.query.prefix_tokens = {tokens};
      Choice choice = w.Run();
      w.Dispatch(choice);
      return choice.server.value();
    };
    homes.insert(place(1 + 10 * seed, 40'000));
    homes.insert(place(2 + 10 * seed, 40'000));
    for (uint64_t i = 0; i < 6; ++i) for_streams.insert(place(3 + i + 10 * seed, 2'000));
  }
  BOOST_TEST(homes.size() == 2u);
  for (const std::string& home : homes) BOOST_TEST(for_streams.count(home) == 0u);
}

// Guards against a prompt that is late in any case and makes the streams of another server pause,
// because the home of long prompts still reads one (calm days: three of 15 such prompts of a region
// went elsewhere). A long prompt that can be in time goes elsewhere.
BOOST_AUTO_TEST_CASE(PromptsThatAreLateInAnyCaseWaitForTheirHome) {
  World w;
  for (int i = 0; i < 6; ++i) w.AddServer("s" + std::to_string(i), 2, 32);
  w.load.prefill_rates["m"] = 50'000;
  w.query.first_byte_by = kNow + milliseconds(800);
  auto ask = [&](uint64_t prompt, int64_t tokens) {
    w.query.prompt_tokens = tokens;
    w.query.prefix_hashes = {prompt};
    w.query.prefix_tokens = {tokens};
    return w.Run().server.value();
  };
  std::string home = ask(1, 50'000);
  auto set_ahead = [&](int64_t tokens) {
    for (BackendServer& server : w.view.servers) {
      if (server.announced.id.value() == home) server.elsewhere_tokens = tokens;
    }
  };
  set_ahead(35'000);
  BOOST_TEST(ask(2, 50'000) == home);
  BOOST_TEST(ask(3, 20'000) != home);
  w.load.queued_ahead = 1;
  BOOST_TEST(ask(2, 50'000) != home, "others wait");
  w.load.queued_ahead = 0;
  set_ahead(60'000);
  BOOST_TEST(ask(2, 50'000) != home, "a second at most");
}

// Guards against streams that stall while their server reads a long prompt: hosts agree on one
// server for them, and others keep away from it while they can.
BOOST_AUTO_TEST_CASE(LongPromptsShareOneServer) {
  auto run = [](uint64_t seed, int64_t tokens) {
    World w;
    w.rng.seed(seed);
    for (int i = 0; i < 6; ++i) w.AddServer("s" + std::to_string(i));
    w.load.prefill_rates["m"] = 80'000;
    w.query.prompt_tokens = tokens;
    w.query.prefix_hashes = {seed};
    w.query.prefix_tokens = {tokens};
    return w.Run().server.value();
  };
  std::set<std::string> for_long;
  std::set<std::string> for_short;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    for_long.insert(run(seed, 40'000));
    for_short.insert(run(seed, 1'000));
  }
  BOOST_TEST(for_long.size() == 1u);
  BOOST_TEST(for_short.size() == 5u);
  BOOST_TEST(for_short.count(*for_long.begin()) == 0u);
}

// Guards against short calls that are refused although their turn comes within the target (calls
// that arrive in clumps at the only server of a region).
BOOST_AUTO_TEST_CASE(ShortCallsMayWaitAtTheServer) {
  World w;
  w.AddServer("s1", 0, 6).announced.capabilities = {kNoLoadReports};
  w.query.prompt_tokens = 0;
  w.query.first_byte_by = kNow + milliseconds(300);
  int sent = 0;
  while (sent < 100 && w.Run().kind == ChoiceKind::kLocal) {
    w.Dispatch(w.Run());
    ++sent;
  }
  BOOST_TEST(sent == 18);
}

}  // namespace ebonylift
