#define BOOST_TEST_MODULE exchange_hedge
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <thread>

#include "daemon/exchange.h"
#include "tests/support/exchange_fixture.h"

namespace ebonylift {
namespace {

using test::DialectFixture;
using test::FakeResponder;
using test::Fixture;

constexpr Duration kDelay = milliseconds(20);
// A hedge would have been sent by then.
constexpr Duration kNoHedge = milliseconds(100);
const CallResult kComplete{CallOutcome::kComplete, 200, "", 0, true};
const CallResult kBroken{CallOutcome::kFailed, 0, "connection reset", false};

// Two servers, at 127.0.0.1:1 and :2, that run several requests at a time, and limits that allow
// hedges after kDelay.
template <typename Base>
struct HedgeFixture : Base {
  HedgeFixture() {
    this->ChangeView([](RoutingView* view) {
      auto config = std::make_shared<ConfigView>(*view->config);
      config->hedging = HedgingConfig{100, 100};
      view->config = std::move(config);
      BackendServer server = view->servers[0];
      server.announced.load.slots = 10;
      view->servers = {server, server};
      view->servers[0].announced.software_version = "v1";
      view->servers[1].announced.software_version = "v2";
      view->servers[1].announced.id = ServerId("s2");
      view->servers[1].announced.address = "127.0.0.1:2";
    });
    for (const char* route : {"rocha/summaries", "ingress/look/portal"}) LearnDelay(route, kDelay);
    this->dispatcher.OnOwnRequest({100, 100}, 10'000);
  }
  void LearnDelay(const std::string& route, Duration delay) {
    for (size_t i = 0; i < kMinDelaySamples; ++i) {
      this->dispatcher.RecordFirstByteTime(route, 100, delay, SteadyNow());
    }
  }
  void ChangeRoute(const std::function<void(RouteConfig*)>& change) {
    this->ChangeView([&](RoutingView* view) {
      auto config = std::make_shared<ConfigView>(*view->config);
      change(&config->teams[TeamId("rocha")].routes[RouteId("summaries")]);
      view->config = std::move(config);
    });
  }
  // Starts a request and waits for its hedge.
  std::shared_ptr<FakeResponder> StartHedged(const RequestSpec& spec) {
    std::shared_ptr<FakeResponder> caller = this->Start(spec);
    BOOST_REQUIRE(this->client.calls.size() == 1u);
    this->RunUntil([&] { return this->client.calls.size() == 2; }, "the hedge is sent");
    BOOST_TEST(this->client.calls[0].url != this->client.calls[1].url);
    return caller;
  }
  void RunFor(Duration time) {
    Time end = SteadyNow() + time;
    this->RunUntil([&] { return SteadyNow() > end; }, "time has passed");
  }
  void Answer(size_t call, const std::string& text) {
    this->client.calls[call].on_headers(200, headers);
    this->client.calls[call].on_data(text);
  }
  double Metric(const std::string& line) {
    std::string text = this->metrics.Render();
    size_t at = text.find("\n" + line + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + 1 + line.size()));
  }
  void RequireEnded() {
    this->RunQueuedEvents();
    BOOST_TEST(this->dispatcher.Stats().in_flight == 0u);
    BOOST_TEST(this->table.size() == 0u);
  }

  HttpHeaders headers = {{"content-type", "application/json"}};
};

using NativeFixture = HedgeFixture<Fixture>;

struct StreamFixture : HedgeFixture<Fixture> {
  StreamFixture() { headers = {{"content-type", "text/event-stream"}}; }
};

struct ResumableService : DialectFixture {
  ResumableService() : DialectFixture(/*resumable=*/true) { context.stream_origins = &origins; }

  StreamOriginTable origins;
};

}  // namespace

// Guards against a caller that waits for a slow server although another one has answered, against a
// slow server that goes on with lost work, and against a slot that is never given back.
BOOST_FIXTURE_TEST_CASE(HedgeThatAnswersFirstIsPassedOn, NativeFixture) {
  std::shared_ptr<FakeResponder> caller = StartHedged(Spec());
  BOOST_TEST(dispatcher.Stats().in_flight == 2u);
  Answer(1, "second");
  BOOST_TEST((client.cancelled == std::vector<CallId>{1}));
  BOOST_TEST(dispatcher.Stats().in_flight == 1u);
  client.calls[1].on_done(kComplete);
  BOOST_TEST(caller->text == "second");
  RequireEnded();
  BOOST_TEST(Metric("ebonylift_hedges_sent_total") == 1);
  BOOST_TEST(Metric("ebonylift_hedges_ended_total{result=\"won\"}") == 1);
  BOOST_TEST(Metric("ebonylift_hedge_tokens_total") == 100);
}

// Guards against a delay that falls, and causes more and more hedges, because the attempts that
// were cancelled for their hedges are not among the samples.
BOOST_FIXTURE_TEST_CASE(AttemptsCancelledForAHedgeCountAsSlow, NativeFixture) {
  for (size_t call : {1, 3}) {
    std::shared_ptr<FakeResponder> caller = Start(Spec());
    RunUntil([&] { return client.calls.size() == call + 1; }, "the hedge is sent");
    std::this_thread::sleep_for(kDelay);
    Answer(call, "x");
    client.calls[call].on_done(kComplete);
    RequireEnded();
  }
  // Two of 22 samples are slow, so that they decide the quantile.
  std::optional<Duration> delay = dispatcher.HedgeDelay("rocha/summaries", 100, SteadyNow());
  BOOST_TEST((delay.value() >= 2 * kDelay));
}

// Guards against a hedge that goes on after the first attempt has answered, also without a body.
BOOST_AUTO_TEST_CASE(HedgeThatLosesIsCancelled) {
  for (bool has_body : {true, false}) {
    NativeFixture f;
    std::shared_ptr<FakeResponder> caller = f.StartHedged(f.Spec());
    f.client.calls[1].on_headers(200, f.headers);
    f.client.calls[0].on_headers(200, f.headers);
    if (has_body) f.client.calls[0].on_data("first");
    if (has_body) BOOST_TEST((f.client.cancelled == std::vector<CallId>{2}));
    f.client.calls[0].on_done(kComplete);
    BOOST_TEST((f.client.cancelled == std::vector<CallId>{2}));
    BOOST_TEST(caller->sent_status == 200);
    BOOST_TEST(caller->text == (has_body ? "first" : ""));
    f.RequireEnded();
    BOOST_TEST(f.Metric("ebonylift_hedges_ended_total{result=\"lost\"}") == 1);
  }
}

// Guards against pieces of two runs in one answer when both answer at once, and against bytes of
// the loser that come late.
BOOST_AUTO_TEST_CASE(EventsOfTwoRunsAreNotJoined) {
  for (size_t winner : {0, 1}) {
    StreamFixture f;
    std::shared_ptr<FakeResponder> caller = f.StartHedged(f.Spec());
    size_t loser = 1 - winner;
    f.client.calls[0].on_headers(200, f.headers);
    f.client.calls[1].on_headers(200, f.headers);
    f.client.calls[winner].on_data("data: {\"text\":\"w1\"}\n\n");
    f.client.calls[loser].on_data("data: {\"text\":\"l1\"}\n\n");
    f.client.calls[winner].on_data("data: {\"text\":\"w2\"}\n\ndata: [DONE]\n\n");
    f.client.calls[loser].on_data("data: {\"text\":\"l2\"}\n\ndata: [DONE]\n\n");
    f.client.calls[loser].on_done(kComplete);
    BOOST_TEST(!caller->ended);
    f.client.calls[winner].on_done(kComplete);
    BOOST_TEST(caller->text ==
               "data: {\"text\":\"w1\"}\n\ndata: {\"text\":\"w2\"}\n\ndata: [DONE]\n\n");
    BOOST_TEST(caller->ended);
    f.RequireEnded();
  }
}

// Guards against work and slots that stay when the caller leaves, or the host stops, while both
// attempts are open.
BOOST_AUTO_TEST_CASE(BothAttemptsEndWithTheRequest) {
  for (bool caller_leaves : {true, false}) {
    NativeFixture f;
    std::shared_ptr<FakeResponder> caller = f.StartHedged(f.Spec());
    if (caller_leaves) {
      f.QueueClose(caller);
    } else {
      f.table.EndForShutdown();
    }
    f.RunQueuedEvents();
    BOOST_TEST(f.client.cancelled.size() == 2u);
    BOOST_TEST(f.client.calls.size() == 2u);
    BOOST_TEST(caller->sent_status == (caller_leaves ? 0 : 502));
    if (!caller_leaves) BOOST_TEST(caller->text.find("may_have_run") != std::string::npos);
    f.RequireEnded();
  }
}

// Guards against a third run: the first attempt fails after the hedge was sent, and the hedge is
// the retry. Guards against a failure that the caller hears of while the hedge may still answer.
BOOST_AUTO_TEST_CASE(HedgeGoesOnWhenTheFirstAttemptFails) {
  const CallResult refused{CallOutcome::kNotConnected, 0, "refused", false};
  for (bool answers_error : {true, false}) {
    NativeFixture f;
    // The error of a service is an answer if there is no other attempt.
    f.ChangeRoute([](RouteConfig* route) {
      route->kind = ServerKind::kService;
      route->service = "x";
    });
    f.ChangeView([](RoutingView* view) {
      for (BackendServer& server : view->servers) {
        server.announced.kind = ServerKind::kService;
        server.announced.services = {"x"};
      }
    });
    std::shared_ptr<FakeResponder> caller = f.StartHedged(f.Spec());
    if (answers_error) {
      f.client.calls[0].on_headers(500, f.headers);
      f.client.calls[0].on_data("error");
      f.client.calls[0].on_done(CallResult{CallOutcome::kComplete, 500, "", 0, true});
    } else {
      f.client.calls[0].on_done(refused);
    }
    f.RunFor(kNoHedge);
    BOOST_TEST(f.client.calls.size() == 2u);
    BOOST_TEST(caller->sent_status == 0);
    f.Answer(1, "second");
    f.client.calls[1].on_done(kComplete);
    BOOST_TEST(caller->text == "second");
    f.RequireEnded();
    BOOST_TEST(f.Metric("ebonylift_hedges_ended_total{result=\"took_over\"}") == 1);
  }
}

// Guards against a request that fails because its hedge does, or gets the hedge's error.
BOOST_AUTO_TEST_CASE(FirstAttemptGoesOnWhenTheHedgeIsRefused) {
  for (int status : {503, 404, 0}) {
    NativeFixture f;
    std::shared_ptr<FakeResponder> caller = f.StartHedged(f.Spec());
    if (status != 0) {
      f.client.calls[1].on_headers(status, {{"x-ebonylift-run", "not_run"}});
      f.client.calls[1].on_data("late");
    } else {
      f.client.calls[1].on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", false});
    }
    BOOST_TEST(f.dispatcher.Stats().in_flight == 1u);
    f.Answer(0, "first");
    f.client.calls[0].on_done(kComplete);
    BOOST_TEST(caller->text == "first");
    f.RequireEnded();
    BOOST_TEST(f.Metric("ebonylift_hedges_ended_total{result=\"failed\"}") == 1);
  }
}

// Guards against a request that crashes servers and is not seen at the one with its hedge, or at
// the first one because its hedge answers while that server is probed.
BOOST_AUTO_TEST_CASE(LossesOfBothServersAreRecorded) {
  CallResult gone;
  gone.outcome = CallOutcome::kNotConnected;
  gone.connect_errno = ECONNREFUSED;
  for (size_t lost : {0, 1}) {
    HedgeFixture<ResumableService> f;
    f.headers = {{"Attempt-Id", "39ed"}, {"Server-Seal", "s"}};
    RequestSpec spec = f.LookSpec();
    std::shared_ptr<FakeResponder> caller = f.StartHedged(spec);
    f.client.calls[lost].on_done(kBroken);
    BOOST_REQUIRE(f.client.calls.size() == 3u);
    size_t other = 1 - lost;
    f.Answer(other, "x");
    BOOST_TEST(f.client.calls.back().connect_only);
    f.client.calls.back().on_done(gone);
    BOOST_TEST((f.VerdictOf(spec) == PoisonVerdict::kSuspect));
    f.client.calls[other].on_done(kComplete);
    BOOST_TEST(caller->sent_status == 200);
    f.RequireEnded();
  }
}

// Guards against a second run of work that may run once, of a forwarded request, which counts at
// the host of its caller, of a suspect, and against hedges that the operator switched off.
BOOST_AUTO_TEST_CASE(SomeRequestsAreNeverHedged) {
  enum class Case {
    kHedged,
    kNotIdempotent,
    kForwarded,
    kSuspect,
    kRouteOff,
    kOff,
    kTurnedAway,
    kBusy,
    kNoOtherServer,
    kNoBudget,
    kCount
  };
  for (int number = 0; number < static_cast<int>(Case::kCount); ++number) {
    auto row = static_cast<Case>(number);
    HedgeFixture<Fixture> f;
    if (row == Case::kRouteOff) f.ChangeRoute([](RouteConfig* route) { route->hedge = false; });
    if (row == Case::kOff) {
      f.ChangeView([](RoutingView* view) {
        auto config = std::make_shared<ConfigView>(*view->config);
        config->hedging = HedgingConfig{0, 0};
        view->config = std::move(config);
      });
    }
    if (row == Case::kBusy) {
      f.ChangeView([](RoutingView* view) {
        for (BackendServer& server : view->servers) server.announced.load.running = 6;
      });
    }
    if (row == Case::kNoOtherServer)
      f.ChangeView([](RoutingView* view) { view->servers.pop_back(); });
    RequestSpec spec = f.Spec();
    spec.content.content = 7;
    spec.idempotent = row != Case::kNotIdempotent;
    spec.forwarded = row == Case::kForwarded;
    std::shared_ptr<FakeResponder> caller = f.Start(spec);
    if (row == Case::kTurnedAway) f.dispatcher.OnTurnedAway("m", SteadyNow());
    if (row == Case::kSuspect) {
      SuspectReport report;
      report.content = 7;
      report.server = ServerId("s9");
      report.losses = 1;
      f.dispatcher.OnRemoteSuspect(report);
    }
    if (row == Case::kNoBudget) {
      // The budget of the team is used up.
      RetryState state;
      state.idempotent = true;
      while (f.dispatcher.MayRetry(TeamId("rocha"), state, Run::kMayHaveRun, spec.deadline,
                                   SteadyNow()) == RetryDecision::kRetry) {
      }
    }
    f.RunFor(kNoHedge);
    size_t calls = row == Case::kHedged ? 2 : 1;
    BOOST_TEST(f.client.calls.size() == calls, "case " << number);
  }
}

// Guards against hedges in the first second after a request waited in the local queue.
BOOST_FIXTURE_TEST_CASE(QueueWithholdsHedges, NativeFixture) {
  auto set_running = [this](int running) {
    ChangeView([running](RoutingView* view) {
      for (BackendServer& server : view->servers) server.announced.load.running = running;
    });
  };
  Start(Spec());
  set_running(100);
  Start(Spec());
  BOOST_REQUIRE(dispatcher.Stats().queued == 1u);
  set_running(0);
  RunFor(kNoHedge);
  BOOST_TEST(client.calls.size() == 2u);
  BOOST_TEST(Metric("ebonylift_hedges_withheld_total{reason=\"queue\"}") == 2);
}

// Guards against a stream that goes on at another software version than that of its first event,
// which here came from the hedge.
BOOST_FIXTURE_TEST_CASE(VersionOfTheFirstEventIsBinding, HedgeFixture<ResumableService>) {
  headers = {{"content-type", "text/event-stream"}, {"Attempt-Id", "39ed"}, {"Server-Seal", "s"}};
  std::shared_ptr<FakeResponder> caller = StartHedged(LookSpec());
  bool hedge_at_second = client.calls[1].url.find(":2/") != std::string::npos;
  Answer(1, "id: 1\ndata: a\n\n");
  BOOST_TEST(caller->text.find("data: a") != std::string::npos);
  ChangeView([&](RoutingView* view) {
    view->servers.push_back(view->servers[hedge_at_second ? 1 : 0]);
    view->servers[2].announced.id = ServerId("s3");
    view->servers[2].announced.address = "127.0.0.1:3";
  });
  client.calls[1].on_done(kBroken);
  CallResult connected;
  connected.outcome = CallOutcome::kComplete;
  client.calls.back().on_done(connected);  // the probe
  RunUntil([&] { return client.calls.size() == 4; }, "the stream is continued");
  BOOST_TEST(client.calls[3].url.find(":3/") != std::string::npos, client.calls[3].url);
}

// Guards against a hedge of the rest of a stream that the caller takes up.
BOOST_FIXTURE_TEST_CASE(StreamThatIsTakenUpIsNotHedged, HedgeFixture<ResumableService>) {
  ChangeView([](RoutingView* view) { view->servers[1].announced.software_version = "v1"; });
  RequestSpec spec = LookSpec();
  spec.software_version = "v1";
  Start(spec);
  RunFor(kNoHedge);
  BOOST_TEST(client.calls.size() == 1u);
}

}  // namespace ebonylift
