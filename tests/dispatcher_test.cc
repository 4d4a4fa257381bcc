#define BOOST_TEST_MODULE dispatcher
#include "daemon/dispatcher.h"

#include <boost/test/included/unit_test.hpp>

#include "tests/support/fake_control.h"

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));

// A host of region este with a configuration and a request for a service of any region. The control
// port is not used.
struct DispatcherFixture {
  RouteConfig route;
  std::shared_ptr<RoutingView> view = std::make_shared<RoutingView>();
  Dispatcher dispatcher{nullptr, RoutingPolicy::kCost, SuspectPlacement::kAlone, 1};
  RouteQuery query;
  std::vector<Choice> results;

  DispatcherFixture() {
    auto config = std::make_shared<ConfigView>();
    config->revision = 1;
    view->config = config;
    view->self = {HostId("h0"), RegionId("este"), DomainId("este-a")};
    route.kind = ServerKind::kService;
    route.service = "portal";
    route.regions = {RegionId("este")};
    query.route = &route;
    query.allowed_regions = route.regions;
    query.deadline = kNow + seconds(10);
  }

  BackendServer MakeServer() const {
    BackendServer server;
    server.announced.id = ServerId("s1");
    server.announced.kind = ServerKind::kService;
    server.announced.services = {route.service};
    server.announced.domain = view->self.domain;
    server.announced.region = view->self.region;
    server.expires_at = kNow + seconds(60);
    return server;
  }

  // Places the request and queues it if there is no place yet.
  Choice PlaceOrEnqueue() {
    Choice choice = dispatcher.Place(query, *view, kNow);
    if (choice.kind != ChoiceKind::kQueue) return choice;
    QueuedRequest request;
    request.id = QueueId("r1");
    request.served = route.service;
    request.deadline = choice.hold_until;
    auto on_ready = [this](const Choice& result) { results.push_back(result); };
    BOOST_TEST(!dispatcher.Enqueue(request, query, on_ready, kNow).has_value());
    return choice;
  }
};

}  // namespace

// Guards against a request that waits on although its server has become known.
BOOST_FIXTURE_TEST_CASE(HeldRequestIsPlacedWhenItsServerIsKnown, DispatcherFixture) {
  dispatcher.OnView(view, kNow);
  BOOST_TEST((PlaceOrEnqueue().kind == ChoiceKind::kQueue));
  auto next = std::make_shared<RoutingView>(*view);
  next->servers.push_back(MakeServer());
  dispatcher.OnView(next, kNow + milliseconds(100));
  BOOST_TEST_REQUIRE(results.size() == 1u);
  BOOST_TEST((results[0].kind == ChoiceKind::kLocal));
}

// Guards against a request that is held for longer than it can take to hear of servers, and against
// a refusal for another reason than the true one.
BOOST_FIXTURE_TEST_CASE(HeldRequestIsRefusedWhenNoServerBecomesKnown, DispatcherFixture) {
  dispatcher.OnView(view, kNow);
  BOOST_TEST((PlaceOrEnqueue().kind == ChoiceKind::kQueue));
  dispatcher.Tick(kNow + kLearningTime - milliseconds(1));
  BOOST_TEST(results.empty());
  dispatcher.Tick(kNow + kLearningTime);
  BOOST_TEST_REQUIRE(results.size() == 1u);
  BOOST_TEST((results[0].kind == ChoiceKind::kRefuse));
  BOOST_TEST(LookupError(results[0].error).code == std::string("no_server"));
}

// Guards against a request that passes between hosts whose connections are refused alike, until it
// ends with the hop limit although the server would take it.
BOOST_FIXTURE_TEST_CASE(ForwardedRequestIsNotHandedOn, DispatcherFixture) {
  HostEntry other;
  other.id = HostId("h1");
  other.region = view->self.region;
  other.domain = view->self.domain;
  view->hosts.push_back(other);
  view->servers.push_back(MakeServer());
  query.connect_failures = kConnectFailuresToRelay;
  BOOST_TEST((dispatcher.Place(query, *view, kNow).kind == ChoiceKind::kForward));
  query.hops = 1;
  BOOST_TEST((dispatcher.Place(query, *view, kNow).kind == ChoiceKind::kLocal));
}

namespace {

// Parts of prompts. Requests with kCrashing crash their server; all share kCommon.
constexpr uint64_t kCommon = 1;
constexpr uint64_t kCrashing = 2;
constexpr uint64_t kSound = 3;

// Two hosts whose reports reach each other at once.
struct PartsFixture {
  struct Host {
    test::FakeControl control;
    Dispatcher dispatcher{&control, RoutingPolicy::kCost, SuspectPlacement::kAnywhere, 1};
  };

  PartsFixture() {
    view.config = std::make_shared<ConfigView>();
    view.self = {HostId("h0"), RegionId("este"), DomainId("este-a")};
    route.kind = ServerKind::kService;
    route.service = "portal";
    route.regions = {RegionId("este")};
  }

  // Dispatches a new request to the server, which runs nothing else of this host.
  void Dispatch(Host& host, const std::string& server, const std::vector<uint64_t>& parts) {
    BackendServer entry;
    entry.announced.id = ServerId(server);
    entry.announced.kind = ServerKind::kService;
    entry.announced.services = {route.service};
    entry.announced.domain = view.self.domain;
    entry.announced.region = view.self.region;
    entry.announced.load.slots = 100;
    entry.expires_at = SteadyNow() + seconds(60);
    view.servers = {entry};
    RouteQuery query;
    query.route = &route;
    query.allowed_regions = route.regions;
    query.deadline = SteadyNow() + seconds(10);
    query.content_hash = ++last_content;
    query.content_parts = parts;
    BOOST_REQUIRE((host.dispatcher.Place(query, view, SteadyNow()).kind == ChoiceKind::kLocal));
  }

  void Lose(Host& host, const std::string& server) {
    host.dispatcher.RecordServerLoss(host.dispatcher.CollectLossEvidence(ServerId(server)),
                                     SteadyNow());
    ExchangeReports();
  }

  void ExchangeReports() {
    for (auto [from, to] : {std::pair{&a, &b}, std::pair{&b, &a}}) {
      for (const SuspectReport& report : std::exchange(from->control.reports, {})) {
        to->dispatcher.OnRemoteSuspect(report);
      }
    }
  }

  bool IsRefused(Host& host, uint64_t part) {
    return host.dispatcher.RefusedFor({++last_content, {part}}, SteadyNow()).has_value();
  }

  Host a;
  Host b;
  RouteConfig route;
  RoutingView view;
  uint64_t last_content = 1'000;
};

}  // namespace

// Guards against requests that are new each time and crash their servers by a part that they share,
// and against refusing the parts that sound requests share with them.
BOOST_FIXTURE_TEST_CASE(PartInFlightOnThreeLostServersIsRefused, PartsFixture) {
  for (int loss = 0; loss < kLossesToCondemn; ++loss) {
    Host& host = loss % 2 == 0 ? a : b;
    std::string server = "s" + std::to_string(loss);
    BOOST_TEST(!IsRefused(host, kCrashing));
    Dispatch(host, server, {kCommon, kCrashing});
    Dispatch(host, server, {kCommon, kSound});
    Lose(host, server);
    host.dispatcher.OnPartsAnswered({kCommon, kSound});
    ExchangeReports();
  }
  for (Host* host : {&a, &b}) {
    BOOST_TEST(IsRefused(*host, kCrashing));
    BOOST_TEST(!IsRefused(*host, kCommon));
    BOOST_TEST(!IsRefused(*host, kSound));
  }
}

// Guards against losses of several servers at once, as with their failure domain, that condemn what
// they ran.
BOOST_FIXTURE_TEST_CASE(SimultaneousLossesDoNotCondemnAPart, PartsFixture) {
  for (const char* server : {"s1", "s2", "s3", "s4"}) Dispatch(a, server, {kSound});
  for (const char* server : {"s1", "s2", "s3", "s4"}) Lose(a, server);
  BOOST_TEST(!IsRefused(a, kSound));
  BOOST_TEST(!IsRefused(b, kSound));
}

// Guards against a sound part that stays refused, on any host, because its first answers took
// longer than the losses of the servers that it shared with a part that crashes them.
BOOST_FIXTURE_TEST_CASE(AnswerDisprovesACondemnation, PartsFixture) {
  int revoked = 0;
  for (Host* host : {&a, &b}) {
    host->dispatcher.RestoreCondemned({}, nullptr, [&revoked](uint64_t) { ++revoked; });
  }
  for (const char* server : {"s1", "s2", "s3"}) {
    Dispatch(a, server, {kSound});
    Lose(a, server);
  }
  BOOST_TEST(IsRefused(a, kSound));
  BOOST_TEST(IsRefused(b, kSound));
  b.dispatcher.OnPartsAnswered({kSound});
  ExchangeReports();
  BOOST_TEST(revoked == 2);
  BOOST_TEST(!IsRefused(a, kSound));
  BOOST_TEST(!IsRefused(b, kSound));
  // What servers answer for a host is not refused there because of losses elsewhere.
  for (const char* server : {"s1", "s2", "s3"}) {
    Dispatch(a, server, {kSound});
    Lose(a, server);
  }
  BOOST_TEST(!IsRefused(b, kSound));
}

}  // namespace ebonylift
