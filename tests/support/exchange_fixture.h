#ifndef EBONYLIFT_TESTS_SUPPORT_EXCHANGE_FIXTURE_H_
#define EBONYLIFT_TESTS_SUPPORT_EXCHANGE_FIXTURE_H_

// The fixtures of the tests of exchanges: a host with one backend server, without processes. A test
// program includes this file after Boost.Test.

#include <asio/post.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ingress.h"
#include "daemon/exchange.h"
#include "daemon/ingress_request.h"
#include "daemon/record_store.h"
#include "platform/dialect.h"
#include "tests/support/fake_control.h"

namespace ebonylift::test {

constexpr Duration kTestTimeout = seconds(10);
constexpr size_t kMaxCalls = 100;

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
  void End() override { ended = true; }
  void Abort() override { aborted = true; }
  size_t PendingBytes() const override { return 0; }
  void OnDrained(std::function<void()> /*fn*/) override {}
  void OnClosed(std::function<void()> fn) override { on_closed = std::move(fn); }
  bool ClosedByClient() const override { return closed_by_client; }

  int sent_status = 0;   // 0 until Send()
  bool ended = false;    // a streamed response is complete
  bool aborted = false;  // it was broken off
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
    context.drain = &drain;
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

  // Publishes the current view with the changes that `change` makes.
  void ChangeView(const std::function<void(RoutingView*)>& change) {
    auto view = std::make_shared<RoutingView>(*control.view);
    change(view.get());
    control.view = view;
    dispatcher.OnView(view, SteadyNow());
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
  DrainTimes drain;
  std::shared_ptr<FakeJournal> journal = std::make_shared<FakeJournal>();
  RecordStore records{HostId("h0"), journal};
  Dispatcher dispatcher;
  ExchangeTable table;
  ExchangeContext context;
};

// A host with one server of a service, whose requests use the dialect of the platform.
struct DialectFixture : Fixture {
  explicit DialectFixture(bool resumable = false) : Fixture(SuspectPlacement::kAnywhere) {
    nlohmann::json route = {{"id", "look"},
                            {"host", "a.example"},
                            {"path_prefix", "/look/"},
                            {"idempotent", true},
                            {"resumable", resumable},
                            {"deadline_ms", 3000},
                            {"first_byte_target_ms", 800},
                            {"rank", 0},
                            {"max_attempts", resumable ? 3 : 1},
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
    ChangeView([&config](RoutingView* view) {
      view->config = std::move(config);
      view->servers[0].announced.kind = ServerKind::kService;
      view->servers[0].announced.services = {"portal"};
    });
  }

  // Replaces the server by one at each address, s1 and so on, all of the software version v1.
  void SetServers(const std::vector<std::string>& addresses) {
    ChangeView([&addresses](RoutingView* view) {
      BackendServer server = view->servers[0];
      view->servers.clear();
      for (size_t i = 0; i < addresses.size(); ++i) {
        server.announced.id = ServerId("s" + std::to_string(i + 1));
        server.announced.software_version = "v1";
        server.announced.address = addresses[i];
        view->servers.push_back(server);
      }
    });
  }

  RequestSpec LookSpec(const std::string& caller_request_id = "39ed") {
    HttpRequest request;
    request.method = "GET";
    request.path = "/look/1";
    request.headers = {
        {"Host", "a.example"}, {"Attempt-Id", caller_request_id}, {"Deadline-Ms", "3000"}};
    return ParseIngressRequest(request, control.view, platform::PlatformDialect(), SteadyNow());
  }

  PoisonVerdict VerdictOf(const RequestSpec& spec) {
    return dispatcher.Verdict(spec.content.content, SteadyNow());
  }
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_EXCHANGE_FIXTURE_H_
