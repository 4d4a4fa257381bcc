#define BOOST_TEST_MODULE server_notice
#include "core/server_notice.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>
#include <map>
#include <random>

#include "core/routing.h"

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));

// Servers of one service in one region, and the requests of one host.
struct Fixture {
  Fixture() {
    route.kind = ServerKind::kService;
    route.service = "portal";
    route.regions = {RegionId("este")};
    view.config = std::make_shared<ConfigView>();
    view.self = {HostId("h0"), RegionId("este"), DomainId("este-a")};
    query.route = &route;
    query.allowed_regions = route.regions;
    query.deadline = kNow + seconds(100'000);
  }

  void Announce(const std::string& id, uint64_t incarnation, bool leaving = false) {
    BackendServer server;
    server.announced.id = ServerId(id);
    server.announced.incarnation = incarnation;
    server.announced.kind = ServerKind::kService;
    server.announced.services = {route.service};
    server.announced.domain = view.self.domain;
    server.announced.region = view.self.region;
    server.announced.load.slots = 1'000;
    server.announced.leaving = leaving;
    server.first_seen = kNow - seconds(100);
    server.expires_at = kNow + seconds(100'000);
    for (BackendServer& known : view.servers) {
      if (known.announced.id != server.announced.id) continue;
      known = server;
      return;
    }
    view.servers.push_back(server);
  }

  Choice Choose() { return ebonylift::Choose(query, view, state, now, rng); }

  // Dispatches a request and records what the server says in its answer.
  ServerId Run(const ServerNotice& notice) {
    Choice choice = Choose();
    BOOST_REQUIRE((choice.kind == ChoiceKind::kLocal));
    OnDispatch(state, query, choice, now);
    OnServerNotice(state, choice.server, choice.incarnation, notice, true, now);
    OnServerOutcome(state, view, choice.server, now, ServerOutcome::kOk, now);
    return choice.server;
  }

  bool IsChosen(const std::string& id) {
    for (int i = 0; i < 200; ++i) {
      if (Choose().server == ServerId(id)) return true;
    }
    return false;
  }

  Time now = kNow;
  RouteConfig route;
  RoutingView view;
  RoutingState state;
  RouteQuery query;
  std::mt19937_64 rng{1};
};

ServerNotice Leaving() {
  ServerNotice notice;
  notice.leaving = true;
  return notice;
}

ServerNotice Pause(Duration pause) {
  ServerNotice notice;
  notice.pause = pause;
  return notice;
}

}  // namespace

// Guards against requests to a server that said in an answer that it leaves, while its
// announcements are late or this host is cut off from those that hear them.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNothing, Fixture) {
  Announce("s1", 1);
  Run(Leaving());
  Announce("s2", 1);
  BOOST_TEST(!IsChosen("s1"));
  BOOST_TEST(IsChosen("s2"));
  // The entry may disappear and come back by an older announcement.
  std::vector<BackendServer> servers = std::exchange(view.servers, {});
  OnNewView(state, view, now);
  view.servers = servers;
  now += seconds(1);
  OnNewView(state, view, now);
  BOOST_TEST(!IsChosen("s1"));
  // A server that starts again under its id is another one.
  Announce("s1", 2);
  BOOST_TEST(IsChosen("s1"));
}

// Guards against requests to a server in the time in which it wants none, and against its callers
// who wait although other servers have room.
BOOST_FIXTURE_TEST_CASE(PausedServerGetsNothingUntilTheEnd, Fixture) {
  Announce("s1", 1);
  Run(Pause(seconds(4)));
  {
    Choice refused = Choose();
    BOOST_TEST((refused.kind == ChoiceKind::kRefuse));
    BOOST_TEST((refused.error == ErrorKind::kOverloaded));
    BOOST_TEST((refused.retry_after >= seconds(4)));
    BOOST_TEST((refused.retry_after <= seconds(5)));
  }
  Announce("s2", 1);
  BOOST_TEST(!IsChosen("s1"));
  BOOST_TEST(IsChosen("s2"));
  now += seconds(4) - milliseconds(1);
  BOOST_TEST(!IsChosen("s1"));
  now += milliseconds(500);
  BOOST_TEST(IsChosen("s1"));
}

// Guards against a burst at the end of a pause.
BOOST_FIXTURE_TEST_CASE(TrafficReturnsGraduallyAfterAPause, Fixture) {
  Announce("s1", 1);
  Run(Pause(seconds(4)));
  Announce("s2", 1);
  now += seconds(4) + kSlowStartDuration / 10;
  int chosen = 0;
  constexpr int kChoices = 2'000;
  for (int i = 0; i < kChoices; ++i) chosen += Choose().server == ServerId("s1") ? 1 : 0;
  BOOST_TEST(chosen > 0);
  BOOST_TEST(chosen < kChoices / 5);
}

// Guards against a pause that an overtaken answer with a shorter one ends.
BOOST_FIXTURE_TEST_CASE(LongerPauseHolds, Fixture) {
  SeenNotices seen;
  OnNotice(seen, Pause(seconds(10)), true, kNow);
  BOOST_TEST(!OnNotice(seen, Pause(seconds(1)), true, kNow + seconds(1)).pause);
  BOOST_TEST((ExcludedBy(seen, kNow + seconds(9)) == NoticeReason::kPaused));
  BOOST_TEST((ExcludedBy(seen, kNow + seconds(10)) == NoticeReason::kNone));
  OnNotice(seen, Pause(seconds(1'000'000)), true, kNow);
  BOOST_TEST((ExcludedBy(seen, kNow + kMaxServerPause) == NoticeReason::kNone));
}

// Guards against sequences of notices, restarts and announcements after which an excluded server is
// chosen, or a request is refused although a server is left.
BOOST_FIXTURE_TEST_CASE(RandomNoticesAreKept, Fixture) {
  constexpr uint32_t kSeed = 20'265;
  constexpr int kSteps = 20'000;
  constexpr int kServers = 5;
  std::cout << "seed " << kSeed << "\n";
  rng.seed(kSeed);
  struct Expected {
    uint64_t incarnation = 1;
    bool leaving = false;
    Time paused_until;
  };
  std::map<ServerId, Expected> expected;
  for (int i = 0; i < kServers; ++i) {
    Announce("s" + std::to_string(i), 1);
    expected[ServerId("s" + std::to_string(i))] = Expected();
  }
  int refused = 0;
  for (int step = 0; step < kSteps; ++step) {
    now += milliseconds(rng() % 200);
    std::string id = "s" + std::to_string(rng() % kServers);
    Expected& server = expected[ServerId(id)];
    if (rng() % 10 == 0) {
      server = Expected{server.incarnation + 1, false, Time()};
      Announce(id, server.incarnation);
    }
    if (rng() % 20 == 0) OnNewView(state, view, now);
    Choice choice = Choose();
    bool any_left = std::any_of(expected.begin(), expected.end(), [this](const auto& entry) {
      return !entry.second.leaving && now >= entry.second.paused_until;
    });
    BOOST_REQUIRE_EQUAL(choice.kind == ChoiceKind::kLocal, any_left);
    if (!any_left) ++refused;
    if (!any_left) continue;
    Expected& chosen = expected.at(choice.server);
    BOOST_REQUIRE(!chosen.leaving);
    BOOST_REQUIRE((now >= chosen.paused_until));
    OnDispatch(state, query, choice, now);
    ServerNotice notice;
    if (rng() % 8 == 0) notice.leaving = true;
    if (rng() % 4 == 0) notice.pause = milliseconds(rng() % 5'000);
    OnServerNotice(state, choice.server, choice.incarnation, notice, true, now);
    chosen.leaving = chosen.leaving || notice.leaving;
    if (notice.pause > Duration(0)) {
      chosen.paused_until = std::max(chosen.paused_until, now + notice.pause);
    }
    OnServerOutcome(state, view, choice.server, now, ServerOutcome::kOk, now);
  }
  BOOST_TEST(refused > 0);
}

// Guards against brittle servers that are filled to the last slot, so that they have to turn
// requests away, and against leaving them half empty once they are sound again.
BOOST_AUTO_TEST_CASE(BrittleServersKeepSomeSlotsFree) {
  Fixture fixture;
  fixture.Announce("s1", 1);
  fixture.view.servers[0].announced.load.slots = 8;
  ServerNotice brittle;
  brittle.max_rejections_per_s = 3;
  fixture.Run(brittle);
  fixture.view.servers[0].other_hosts_requests = 5;
  BOOST_TEST((fixture.Choose().kind == ChoiceKind::kLocal));
  fixture.view.servers[0].other_hosts_requests = 6;
  BOOST_TEST((fixture.Choose().kind == ChoiceKind::kQueue));
  OnServerNotice(fixture.state, ServerId("s1"), 1, ServerNotice(), /*attributable=*/false,
                 fixture.now);
  BOOST_TEST((fixture.Choose().kind == ChoiceKind::kQueue));
  OnServerNotice(fixture.state, ServerId("s1"), 1, ServerNotice(), /*attributable=*/true,
                 fixture.now);
  BOOST_TEST((fixture.Choose().kind == ChoiceKind::kLocal));
}

// Guards against hosts that together have more requests turned away than a brittle server bears,
// and against leaving it alone for ever.
BOOST_AUTO_TEST_CASE(HostsTogetherStayBelowTheRejectionsOfABrittleServer) {
  for (double rejections_per_s : {0.0, 0.5, 3.0, 10.0, 1'000.0}) {
    for (int senders : {1, 3, 28}) {
      Duration pause = PauseAfterRejection(rejections_per_s, senders);
      BOOST_TEST((pause >= kMinPauseAfterRejection));
      BOOST_TEST((pause <= kMaxPauseAfterRejection));
      double expected_per_s = senders / std::chrono::duration<double>(pause).count();
      bool bounded = pause < kMaxPauseAfterRejection;
      BOOST_TEST((!bounded || expected_per_s <= rejections_per_s));
    }
  }
}

}  // namespace ebonylift
