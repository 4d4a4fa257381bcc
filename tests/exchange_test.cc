#define BOOST_TEST_MODULE exchange
#include "daemon/exchange.h"

#include <asio/post.hpp>
#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

#include "core/ingress.h"
#include "daemon/ingress_request.h"
#include "daemon/job_api.h"
#include "daemon/record_store.h"
#include "platform/dialect.h"
#include "tests/support/fake_control.h"

namespace ebonylift {
namespace {

using test::FakeControl;

constexpr Duration kTestTimeout = seconds(10);
constexpr size_t kMaxCalls = 100;
// The exchange checks a silent server every 250 ms, and repeats a probe after 50 ms.
constexpr Duration kBeforeNextCheck = milliseconds(215);
constexpr Duration kAfterProbeDelay = milliseconds(200);

// In-memory journal. Callbacks wait for Sync().
class FakeJournal : public Journal {
 public:
  void Replay(const std::function<void(std::string_view, bool)>& /*fn*/) override {}
  void Append(std::string /*record*/, Done done) override { pending_.push_back(std::move(done)); }
  void Compact(std::string /*snapshot*/, Done done) override {
    pending_.push_back(std::move(done));
  }
  uint64_t SizeBytes() const override { return 0; }

  void Sync() {
    while (!pending_.empty()) {
      Done done = std::move(pending_.front());
      pending_.pop_front();
      done(true);
    }
  }

 private:
  std::deque<Done> pending_;
};

// Records the calls. The test runs their callbacks.
class FakeClient : public HttpClient {
 public:
  CallId Start(HttpCall call) override {
    calls.push_back(std::move(call));
    return calls.size();
  }
  void Cancel(CallId id) override { cancelled.push_back(id); }
  void Resume(CallId /*id*/) override {}

  // The id of a call is its position, counted from 1. A deque, as a callback may start a call.
  std::deque<HttpCall> calls;
  std::vector<CallId> cancelled;
};

// Stands for the caller of a request.
class FakeResponder : public HttpResponder {
 public:
  void Send(int status, const HttpHeaders& /*headers*/, std::string body) override {
    sent_status = status;
    text = std::move(body);
    if (on_send) on_send();
  }
  void Begin(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void Write(std::string chunk) override { text += chunk; }
  void End() override {}
  void Abort() override {}
  size_t PendingBytes() const override { return 0; }
  void OnDrained(std::function<void()> /*fn*/) override {}
  void OnClosed(std::function<void()> fn) override { on_closed = std::move(fn); }
  bool ClosedByClient() const override { return closed_by_client; }

  int sent_status = 0;  // 0 until Send()
  bool closed_by_client = false;
  std::string text;
  std::function<void()> on_closed;
  std::function<void()> on_send;  // runs in Send(); may be empty
};

// A host with one backend server that runs one request at a time, and a team with one route.
struct Fixture {
  explicit Fixture(SuspectPlacement suspect_placement = SuspectPlacement::kAlone)
      : dispatcher(&control, RoutingPolicy(), suspect_placement, 1) {
    records.Recover(WallNow());
    records.OnDiskConfirmed();
    journal->Sync();
    Publish(seconds(60));
    context.io = &io;
    context.client = &client;
    context.dispatcher = &dispatcher;
    context.records = &records;
    context.control = &control;
    context.metrics = &metrics;
    context.load_shedding = &load_shedding;
    context.table = &table;
    context.cluster_key = "key";
  }

  // Publishes a view in which the announcement of the server expires after `ttl`.
  void Publish(Duration ttl) {
    auto config = std::make_shared<ConfigView>();
    config->revision = 1;
    RouteConfig route;
    route.team = TeamId("rocha");
    route.id = RouteId("summaries");
    route.model = ModelId("m");
    route.regions = {RegionId("este")};
    route.home = RegionId("este");
    TeamConfig team;
    team.id = route.team;
    team.regions = route.regions;
    team.routes[route.id] = route;
    config->teams[team.id] = team;
    RegionConfig region;
    region.id = route.home;
    region.domains = {DomainId("este-a")};
    region.record_hosts = {HostId("h0")};
    config->regions[region.id] = region;

    auto view = std::make_shared<RoutingView>();
    view->self = {HostId("h0"), RegionId("este"), DomainId("este-a")};
    view->config = std::move(config);
    HostEntry host;
    host.id = view->self.host;
    host.region = view->self.region;
    host.domain = view->self.domain;
    view->hosts.push_back(host);
    Time now = SteadyNow();
    BackendServer server;
    server.announced.id = ServerId("s1");
    server.announced.incarnation = 1;
    server.announced.domain = view->self.domain;
    server.announced.region = view->self.region;
    server.announced.address = "127.0.0.1:1";
    server.announced.models = {{ModelId("m"), {}, "1"}};
    server.announced.capabilities = {"resume"};
    server.announced.load.slots = 1;
    server.first_seen = now - seconds(100);
    server.reported_at = now;
    server.expires_at = now + ttl;
    view->servers.push_back(server);
    control.view = view;
    dispatcher.OnView(view, now);
  }

  RequestSpec Spec() {
    RequestSpec spec;
    spec.id = NewRequestId();
    spec.view = control.view;
    spec.route = &spec.view->config->teams.at(TeamId("rocha")).routes.at(RouteId("summaries"));
    spec.team = spec.route->team;
    spec.arrived = SteadyNow();
    spec.deadline = spec.arrived + seconds(60);
    spec.allowed_regions = spec.route->regions;
    spec.prompt_tokens = 100;
    spec.method = "POST";
    spec.request_path = "/v1/completions";
    spec.path = spec.request_path;
    return spec;
  }
  std::shared_ptr<FakeResponder> Start(RequestSpec spec) {
    auto responder = std::make_shared<FakeResponder>();
    table.Start(context, std::move(spec), responder);
    return responder;
  }
  // Starts requests until the server takes no more. Returns the caller of the one that waits.
  std::shared_ptr<FakeResponder> FillServer() {
    std::shared_ptr<FakeResponder> waiting;
    while (dispatcher.Stats().queued == 0 && client.calls.size() < kMaxCalls) {
      waiting = Start(Spec());
    }
    BOOST_REQUIRE(dispatcher.Stats().queued == 1u);
    return waiting;
  }
  // Ends a call with a complete response.
  void EndCall(size_t index) {
    client.calls[index].on_headers(200, {});
    client.calls[index].on_done(CallResult{CallOutcome::kComplete, 200, "", false});
  }
  // Queues the event that the caller closed its connection.
  void QueueClose(const std::shared_ptr<FakeResponder>& responder) {
    asio::post(io, responder->on_closed);
  }
  void RunQueuedEvents() {
    io.restart();
    while (io.poll() > 0) {
    }
  }
  void SendEventWithoutEnd(const RequestSpec& spec) {
    const std::string chunk(64 << 10, 'x');
    Start(spec);
    BOOST_REQUIRE(client.calls.size() == 1u);
    client.calls[0].on_headers(200, {{"content-type", "text/event-stream"},
                                     {"Attempt-Id", spec.caller_request_id},
                                     {"Server-Seal", "s1"}});
    size_t received = 0;
    while (client.cancelled.empty() && received < 4 * EventRelay::kMaxEventBytes) {
      client.calls[0].on_data(chunk);
      received += chunk.size();
    }
    BOOST_TEST(client.cancelled.size() == 1u);
    BOOST_TEST(received <= EventRelay::kMaxEventBytes + chunk.size());
  }
  void RunUntil(const std::function<bool()>& condition, const char* description) {
    Time deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) {
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    BOOST_REQUIRE_MESSAGE(condition(), "timed out waiting until " << description);
  }

  asio::io_context io;
  FakeClient client;
  FakeControl control;
  Metrics metrics;
  LoadShedding load_shedding;
  std::shared_ptr<FakeJournal> journal = std::make_shared<FakeJournal>();
  RecordStore records{HostId("h0"), journal};
  Dispatcher dispatcher;
  ExchangeTable table;
  ExchangeContext context;
};

// Loses the connection of a stream, and then the server while the exchange waits for its next
// probe. The thread is `busy` for a time before it handles the timers.
struct ResumeFixture : Fixture {
  void LoseServerBetweenProbes(Duration busy);
};

void ResumeFixture::LoseServerBetweenProbes(Duration busy) {
  const HttpHeaders stream = {{"content-type", "text/event-stream"}};
  const CallResult lost{CallOutcome::kFailed, 200, "connection reset", true};
  std::shared_ptr<FakeResponder> caller = Start(Spec());
  BOOST_REQUIRE(client.calls.size() == 1u);
  client.calls[0].on_headers(200, stream);
  client.calls[0].on_data("data: {\"text\":\"a\"}\n\n");

  // The exchange reads the view for its check of a silent server.
  int reads = control.reads;
  RunUntil([&] { return control.reads > reads; }, "the server counts as silent");
  std::this_thread::sleep_for(kBeforeNextCheck);
  Publish(Duration(0));
  client.calls[0].on_done(lost);
  BOOST_REQUIRE(client.calls.size() == 2u);
  client.calls[1].on_done(lost);
  std::this_thread::sleep_for(busy);
  RunUntil([&] { return client.calls.size() > 2; }, "the stream is resumed");
  BOOST_REQUIRE(client.calls[2].url == "http://127.0.0.1:1/v1/resume");

  Time end = SteadyNow() + kAfterProbeDelay;
  RunUntil([&] { return SteadyNow() > end; }, "the delay of the probe has passed");
  BOOST_TEST(client.calls.size() == 3u);
  // Before the fix: the late probe finds the server gone, and both resumed calls get the rest.
  if (client.calls.size() > 3) {
    client.calls[3].on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", false});
  }
  for (size_t i = 2; i < client.calls.size(); ++i) {
    if (client.calls[i].url != client.calls[2].url) continue;
    client.calls[i].on_headers(200, stream);
    client.calls[i].on_data("data: {\"text\":\"b\"}\n\n");
  }
  BOOST_TEST(caller->text == "data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\n");
}

// A host with one server of a service, whose requests use the dialect of the platform.
struct DialectFixture : Fixture {
  DialectFixture() : Fixture(SuspectPlacement::kAnywhere) {
    nlohmann::json route = {{"id", "look"},
                            {"host", "a.example"},
                            {"path_prefix", "/look/"},
                            {"idempotent", true},
                            {"resumable", false},
                            {"deadline_ms", 3000},
                            {"first_byte_target_ms", 800},
                            {"rank", 0},
                            {"max_attempts", 1},
                            {"regions", {"este"}},
                            {"backends", {{{"service", "portal"}, {"weight", 1}}}}};
    nlohmann::json service = {{"id", "portal"},         {"health_path", "/health"},
                              {"max_connections", 100}, {"cold_start_ms", 0},
                              {"cold_per_s", 0.0},      {"fetch_tokens_per_s", 0.0}};
    auto config = std::make_shared<ConfigView>(*control.view->config);
    config->ingress = std::make_shared<IngressConfig>(
        ParseIngress({{"version", 1}, {"routes", {route}}, {"services", {service}}}));
    TeamConfig team;
    team.id = TeamId(kIngressTeam);
    team.regions = {RegionId("este")};
    team.routes = config->ingress->route_configs;
    config->teams[team.id] = team;
    auto view = std::make_shared<RoutingView>(*control.view);
    view->config = std::move(config);
    view->servers[0].announced.kind = ServerKind::kService;
    view->servers[0].announced.services = {"portal"};
    control.view = view;
    dispatcher.OnView(view, SteadyNow());
  }

  RequestSpec LookSpec() {
    HttpRequest request;
    request.method = "GET";
    request.path = "/look/1";
    request.headers = {{"Host", "a.example"}, {"Attempt-Id", "39ed"}, {"Deadline-Ms", "3000"}};
    return ParseIngressRequest(request, control.view, platform::PlatformDialect(), SteadyNow());
  }

  PoisonVerdict VerdictOf(const RequestSpec& spec) {
    return dispatcher.Verdict(spec.content.content, SteadyNow());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(exchange, Fixture)

// Guards against a response that a server sends twice: the second copy arrives when the connection
// carries the next request, whose caller would get it.
BOOST_AUTO_TEST_CASE(ResponseOfAnotherRequestIsNotRelayed) {
  for (const char* type : {"application/json", "text/event-stream"}) {
    Fixture f;
    std::shared_ptr<FakeResponder> caller = f.Start(f.Spec());
    BOOST_REQUIRE(f.client.calls.size() == 1u);
    f.client.calls[0].on_headers(
        200, {{"content-type", type}, {"x-ebonylift-request-id", "r-of-the-request-before"}});
    f.client.calls[0].on_data("data: {\"text\":\"other\"}\n\n");
    f.client.calls[0].on_done(CallResult{CallOutcome::kComplete, 200, "", 0, true});
    BOOST_TEST(caller->text.find("other") == std::string::npos, type);
    BOOST_TEST(caller->sent_status != 200, type);
    BOOST_TEST(f.client.cancelled.size() == 1u, type);
  }
}

// Guards against work for a caller that has left, and against a key that stays claimed: the claim
// becomes durable when the end of its exchange is already queued.
BOOST_AUTO_TEST_CASE(ClaimAfterTheCallerLeftIsReleased) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.idempotency_key = "k";
  std::shared_ptr<FakeResponder> caller = Start(spec);
  QueueClose(caller);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.empty());
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);

  Start(spec);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == 1u);
}

// Guards against a caller that repeats its failed request at once and is told that the first one is
// still in progress.
BOOST_AUTO_TEST_CASE(FailureIsRecordedBeforeTheCallerHearsOfIt) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.idempotency_key = "k";
  std::shared_ptr<FakeResponder> caller = Start(spec);
  journal->Sync();
  RunQueuedEvents();
  BOOST_REQUIRE(client.calls.size() == 1u);
  std::shared_ptr<FakeResponder> repeated;
  caller->on_send = [&] { repeated = Start(spec); };
  client.calls[0].on_headers(500, {});
  client.calls[0].on_done(CallResult{CallOutcome::kComplete, 500, "", false});
  RunQueuedEvents();
  BOOST_TEST(caller->text.find("server_failed") != std::string::npos, caller->text);
  BOOST_REQUIRE(repeated != nullptr);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(repeated->text.find("outcome_unknown") != std::string::npos, repeated->text);
}

// Guards against work for a caller that has left, and against a slot of a server that is never
// given back: the request is placed when the end of its exchange is already queued.
BOOST_AUTO_TEST_CASE(PlacementAfterTheCallerLeftIsUndone) {
  std::shared_ptr<FakeResponder> waiting = FillServer();
  size_t running = client.calls.size();
  QueueClose(waiting);
  EndCall(0);
  BOOST_REQUIRE(dispatcher.Stats().queued == 0u);
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == running);
  for (size_t i = 1; i < running; ++i) EndCall(i);
  RunQueuedEvents();
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  BOOST_TEST(table.size() == 0u);
}

// Guards against a request that is sent on after its caller has left, when the thread is late and
// has not handled the end of the connection: at the start, from the queue, and at a retry.
BOOST_AUTO_TEST_CASE(RequestOfACallerThatLeftIsNotSent) {
  auto left = std::make_shared<FakeResponder>();
  left->closed_by_client = true;
  table.Start(context, Spec(), left);
  BOOST_TEST(client.calls.empty());

  std::shared_ptr<FakeResponder> waiting = FillServer();
  size_t running = client.calls.size();
  waiting->closed_by_client = true;
  EndCall(0);
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == running);
  for (size_t i = 1; i < running; ++i) EndCall(i);
  RunQueuedEvents();

  std::shared_ptr<FakeResponder> retried = Start(Spec());
  BOOST_REQUIRE(client.calls.size() == running + 1);
  retried->closed_by_client = true;
  client.calls.back().on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", false});
  RunUntil([&] { return table.size() == 0u; }, "the exchange has ended");
  BOOST_TEST(client.calls.size() == running + 1);
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  for (const auto& caller : {left, waiting, retried}) BOOST_TEST(caller->sent_status == 0);
}

// Guards against a host short of processor time that takes more requests than it can handle, and
// against work of another host that is lost there.
BOOST_AUTO_TEST_CASE(LateThreadRefusesNewRequests) {
  OnLoopDelay(load_shedding, kMaxLoopDelay, SteadyNow());
  std::shared_ptr<FakeResponder> caller = Start(Spec());
  BOOST_TEST(caller->sent_status == 503);
  BOOST_TEST(caller->text.find("overloaded") != std::string::npos, caller->text);
  BOOST_TEST(caller->text.find("not_run") != std::string::npos, caller->text);
  BOOST_TEST(client.calls.empty());
  RequestSpec forwarded = Spec();
  forwarded.forwarded = true;
  Start(forwarded);
  BOOST_TEST(client.calls.size() == 1u);
}

// Guards against two queued requests that share an entry of the queue. Another host may forward a
// request to this host again, through a third host, before this host has noticed the end of the
// first connection. Both have the same request id.
BOOST_AUTO_TEST_CASE(RequestsWithOneIdAreQueuedSeparately) {
  FillServer();
  RequestSpec spec = Spec();
  spec.forwarded = true;
  std::shared_ptr<FakeResponder> first = Start(spec);
  std::shared_ptr<FakeResponder> second = Start(spec);
  std::shared_ptr<FakeResponder> third = Start(spec);
  BOOST_TEST(dispatcher.Stats().queued == 4u);
  QueueClose(second);
  RunQueuedEvents();
  BOOST_TEST(dispatcher.Stats().queued == 3u);

  for (size_t i = 0; i < client.calls.size(); ++i) {
    EndCall(i);
    RunQueuedEvents();
  }
  BOOST_TEST(first->sent_status == 200);
  BOOST_TEST(second->sent_status == 0);
  BOOST_TEST(third->sent_status == 200);
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  BOOST_TEST(table.size() == 0u);
}

// Guards against a step of a failed attempt that runs in a later one: after the connection of a
// stream is lost, its server is probed again after a delay, and meanwhile the stream is resumed
// because the server is no longer live. The late probe would end the resumed attempt and resume it
// a second time, and the caller would get the same events twice.
BOOST_FIXTURE_TEST_CASE(NoProbeOfALostConnectionAfterTheStreamIsResumed, ResumeFixture) {
  LoseServerBetweenProbes(Duration(0));
}

// As above, when the step is already queued behind the check that resumes the stream.
BOOST_FIXTURE_TEST_CASE(NoQueuedProbeOfALostConnectionAfterTheStreamIsResumed, ResumeFixture) {
  LoseServerBetweenProbes(kAfterProbeDelay);
}

// Guards against a request that crashes the servers of the platform and never becomes a suspect,
// and against one that becomes a suspect although its server only reset the connection.
BOOST_FIXTURE_TEST_CASE(LossOfAServerIsRecordedWithADialect, DialectFixture) {
  const CallResult broken{CallOutcome::kFailed, 0, "connection reset", false};
  CallResult connected;
  connected.outcome = CallOutcome::kComplete;
  CallResult not_connected;
  not_connected.outcome = CallOutcome::kNotConnected;
  CallResult refused = not_connected;
  refused.connect_errno = ECONNREFUSED;
  struct Case {
    CallResult probe;
    PoisonVerdict verdict;
  };
  // A server that cannot be reached may be cut off.
  for (const Case& row :
       {Case{connected, PoisonVerdict::kClear}, Case{not_connected, PoisonVerdict::kClear},
        Case{refused, PoisonVerdict::kSuspect}}) {
    RequestSpec spec = LookSpec();
    Start(spec);
    size_t call = client.calls.size() - 1;
    client.calls[call].on_done(broken);
    BOOST_REQUIRE(client.calls.size() == call + 2);
    BOOST_TEST(client.calls[call + 1].connect_only);
    client.calls[call + 1].on_done(row.probe);
    BOOST_TEST((VerdictOf(spec) == row.verdict));
    RunQueuedEvents();
  }
}

// Guards against a server that resets each connection and counts as crashed, because the reset of
// the probe arrives before the connection counts as established: requests that it broke off were
// then refused as poison.
BOOST_AUTO_TEST_CASE(ServerThatResetsTheProbeIsNotLost) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.content.content = 7;
  std::shared_ptr<FakeResponder> caller = Start(spec);
  client.calls[0].on_done(CallResult{CallOutcome::kFailed, 0, "connection reset", false});
  CallResult reset;
  reset.outcome = CallOutcome::kNotConnected;
  reset.connect_errno = ECONNRESET;
  for (size_t probe = 1; caller->sent_status == 0; ++probe) {
    RunUntil([&] { return client.calls.size() > probe; }, "the server is probed");
    client.calls[probe].on_done(reset);
  }
  BOOST_TEST((dispatcher.Verdict(spec.content.content, SteadyNow()) == PoisonVerdict::kClear));
}

// Guards against a request that is run although it has crashed one server after the other, because
// the losses are not counted or the waiting request is not checked again, and against reports that
// other hosts cannot add their own losses to.
BOOST_FIXTURE_TEST_CASE(RequestIsRefusedAfterLossesInSuccession, DialectFixture) {
  const CallResult broken{CallOutcome::kFailed, 0, "connection reset", false};
  CallResult gone;
  gone.outcome = CallOutcome::kNotConnected;
  gone.connect_errno = ECONNREFUSED;
  RequestSpec spec = LookSpec();
  for (int losses = 1; losses <= kLossesToCondemn; ++losses) {
    std::shared_ptr<FakeResponder> caller = Start(spec);
    client.calls.back().on_done(broken);
    client.calls.back().on_done(gone);
    BOOST_TEST(caller->sent_status == 502);
    BOOST_REQUIRE(control.reports.size() == static_cast<size_t>(losses));
    BOOST_TEST(control.reports.back().losses == losses);
    RunQueuedEvents();
  }
  size_t calls = client.calls.size();
  std::shared_ptr<FakeResponder> refused = Start(spec);
  BOOST_TEST(refused->sent_status == 503);
  int64_t retry_after_ms =
      nlohmann::json::parse(refused->text)["error"]["retry_after_ms"].get<int64_t>();
  BOOST_TEST(retry_after_ms <= ToMillis(kSuspectTtl));
  BOOST_TEST(retry_after_ms > ToMillis(kSuspectTtl - kTestTimeout));
  BOOST_TEST(client.calls.size() == calls);
}

// Guards against a server whose event never ends: the bytes would fill the memory of this host
// until the deadline.
BOOST_AUTO_TEST_CASE(EventWithoutEndEndsTheAttempt) { SendEventWithoutEnd(Spec()); }

// As above, with a dialect.
BOOST_FIXTURE_TEST_CASE(EventWithoutEndEndsTheAttemptOfADialect, DialectFixture) {
  SendEventWithoutEnd(LookSpec());
}

// Guards against work for a job that was cancelled while its start was being written.
BOOST_AUTO_TEST_CASE(JobCancelledBeforeItStartsIsNotRun) {
  JobApi jobs(context);
  JobSpec spec;
  spec.id = JobId("j-1.este");
  spec.team = TeamId("rocha");
  spec.route = RouteId("summaries");
  spec.path = "/v1/completions";
  spec.body = R"({"model":"m","prompt":"x"})";
  spec.idempotent = true;
  records.SubmitJob(spec, [](SubmitKind, bool) {});
  journal->Sync();
  jobs.RunPending();
  BOOST_REQUIRE(records.CancelJob(spec.id));
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.empty());

  spec.id = JobId("j-2.este");
  records.SubmitJob(spec, [](SubmitKind, bool) {});
  journal->Sync();
  jobs.RunPending();
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift
