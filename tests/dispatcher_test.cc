#define BOOST_TEST_MODULE dispatcher
#include "daemon/dispatcher.h"

#include <boost/test/included/unit_test.hpp>

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
  BackendServer server;
  server.announced.id = ServerId("s1");
  server.announced.kind = ServerKind::kService;
  server.announced.services = {route.service};
  server.announced.domain = view->self.domain;
  server.announced.region = view->self.region;
  server.expires_at = kNow + seconds(60);
  next->servers.push_back(server);
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

}  // namespace ebonylift
