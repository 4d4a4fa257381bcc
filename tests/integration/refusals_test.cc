#define BOOST_TEST_MODULE refusals
#include <boost/test/included/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/error.h"
#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

// Refusals (invariant I5): what a refusal says about whether the request ran agrees with the
// engines' own records, and the refusal comes promptly.

namespace ebonylift::test {

using nlohmann::json;

namespace {

constexpr Duration kMaxRefusalTime = seconds(5);  // well below the request deadline of 20 s

ChatRequest TaggedRequest(const std::string& host, const std::string& user, bool idempotent) {
  ChatRequest request;
  request.host = host;
  request.user = user;
  request.idempotent = idempotent;
  request.tokens = 5;
  return request;
}

// Checks the run statement, error code and retry time of a refusal against the engines' records.
void CheckRunStatement(const Cluster& cluster, const ChatRequest& request,
                       const TestResponse& response) {
  if (response.status == 200 && ParseSse(response.body).errors.empty()) return;
  ErrorBody refusal = ErrorOf(response);
  std::string context = request.user + ": " + Describe(response);
  const ErrorInfo& info = LookupError(ErrorKindFromCode(refusal.code));
  BOOST_TEST(refusal.code != "internal", context);
  BOOST_TEST(refusal.run == RunName(info.run), context);
  BOOST_TEST(refusal.retry_after_ms > 0, context);
  if (refusal.run == "not_run") BOOST_TEST(CountRuns(cluster, request.user) == 0, context);
}

ClusterSpec OneRegionSpec() {
  ClusterSpec spec = SmallSpec(2, 2);
  spec.engine_arguments = {"--decode_us_per_token=20000", "--slots=1"};
  spec.teams.front().limits = {{"retry_percent", 100}};
  return spec;
}

void RefuseConnections(Cluster& cluster, const std::string& server) {
  cluster.SetServerFaults(server, {{"refuse", true}});
  BOOST_REQUIRE(WaitServerRefuses(cluster, server));
}

// Waits until the host in este knows the backend servers of both other regions.
void WaitForSummaries(Cluster& cluster) {
  TestCall call;
  call.url = "http://" + cluster.host("este-a-1").http_address + "/admin/v1/status";
  call.headers = {{"authorization", "Bearer " + cluster.operator_token()}};
  TestResponse status;
  auto knows_both_regions = [&] {
    status = Call(call);
    std::set<std::string> domains;
    json body = json::parse(status.body);
    for (const json& row : body["summaries"]) domains.insert(row["domain"]);
    return domains.count("centro-a") + domains.count("norte-a") == 2;
  };
  BOOST_REQUIRE(WaitFor(knows_both_regions, seconds(15)));
}

}  // namespace

// Guards against a false run statement, a second run of work that is not idempotent, and a refusal
// that comes only at the deadline, when every engine has the same fault.
BOOST_AUTO_TEST_CASE(EveryEngineFails) {
  struct Case {
    const char* name;
    json faults;
    std::set<std::string> codes;
    int max_runs;  // in one attempt
    bool open_connections_work = false;
  };
  const Case cases[] = {
      {"refuse", {{"refuse", true}}, {"server_refused", "server_failed", "no_server"}, 0, true},
      {"reset-before",
       {{"reset_before", true}},
       {"server_refused", "server_failed", "no_server"},
       0,
       true},
      {"reset-after", {{"reset_after", true}}, {"server_failed"}, 0},
      {"answer-lost", {{"lose_answer", true}}, {"server_failed"}, 1},
      {"error-status", {{"error_status", 503}}, {"server_failed"}, 0},
      {"cut-at-start", {{"break_after", 0}}, {"server_failed", "stream_broken"}, 1}};
  Cluster cluster(OneRegionSpec());
  cluster.Start(seconds(60));
  for (const Case& c : cases) {
    for (bool idempotent : {true, false}) {
      SetAllServerFaults(cluster, c.faults);
      if (c.faults.contains("refuse")) {
        for (const std::string& id : cluster.ServerIds()) {
          BOOST_REQUIRE(WaitServerRefuses(cluster, id));
        }
      }
      for (int i = 0; i < 2; ++i) {
        std::string name = c.name + std::string(idempotent ? "-again-" : "-once-");
        ChatRequest request = TaggedRequest(i % 2 == 0 ? "este-a-1" : "este-a-2",
                                            name + std::to_string(i), idempotent);
        request.stream = c.faults.contains("break_after");
        TestResponse response = Send(cluster, request);
        std::string context = request.user + ": " + Describe(response);
        if (request.stream && response.status == 200) {
          SseText text = ParseSse(response.body);
          BOOST_TEST((text.done != !text.errors.empty()), context);
        } else if (idempotent && IsExpectedAnswer(cluster, request, response)) {
          // Connections that were opened before the fault still work for new requests.
          BOOST_TEST(c.open_connections_work, context);
          continue;
        } else {
          BOOST_TEST(c.codes.count(ErrorOf(response).code) == 1, context);
        }
        CheckRunStatement(cluster, request, response);
        BOOST_TEST((response.total < kMaxRefusalTime), context);
        BOOST_TEST(CountRuns(cluster, request.user) <= (idempotent ? 4 * c.max_runs : c.max_runs),
                   context);
      }
      SetAllServerFaults(cluster, {{"clear", true}});
      BOOST_REQUIRE(WaitAllReachable(cluster));
    }
  }
}

// Guards against an idempotent request that fails although another engine works, and against a
// request that is not idempotent and is retried although it may have run.
BOOST_AUTO_TEST_CASE(OneEngineFails) {
  Cluster cluster(OneRegionSpec());
  cluster.Start(seconds(60));
  const json faults[] = {{{"refuse", true}},
                         {{"reset_before", true}},
                         {{"reset_after", true}},
                         {{"lose_answer", true}},
                         {{"error_status", 500}}};
  for (const json& fault : faults) {
    cluster.SetServerFaults("este-a-engine-1", fault);
    for (int i = 0; i < 2; ++i) {
      std::string name = fault.begin().key() + std::to_string(i);
      ChatRequest idempotent_request = TaggedRequest("este-a-2", "again-" + name, true);
      TestResponse response = Send(cluster, idempotent_request);
      BOOST_TEST(IsExpectedAnswer(cluster, idempotent_request, response),
                 idempotent_request.user << Describe(response));
      BOOST_TEST((response.total < kMaxRefusalTime), idempotent_request.user);
      ChatRequest non_idempotent_request = TaggedRequest("este-a-2", "once-" + name, false);
      response = Send(cluster, non_idempotent_request);
      CheckRunStatement(cluster, non_idempotent_request, response);
      BOOST_TEST(CountRuns(cluster, non_idempotent_request.user) <= 1,
                 non_idempotent_request.user << Describe(response));
    }
    SetAllServerFaults(cluster, {{"clear", true}});
    BOOST_REQUIRE(WaitAllReachable(cluster));
  }
}

// Guards against the error deadline_not_run without the engine's confirmation that the work had not
// started, and against may_have_run in spite of that confirmation.
BOOST_AUTO_TEST_CASE(DeadlineInTheEngineQueueAndWhileRunning) {
  ClusterSpec spec = OneRegionSpec();
  spec.domains[0].engines = 1;
  Cluster cluster(spec);
  cluster.Start(seconds(60));
  // The other host learns of this run from the next load report at the earliest.
  ChatRequest first = TaggedRequest("este-a-1", "long", true);
  first.tokens = 200;
  std::future<TestResponse> running = SendAsync(cluster, first);
  BOOST_REQUIRE(WaitForRuns(cluster, first.user, 1));
  for (bool idempotent : {true, false}) {
    ChatRequest request =
        TaggedRequest("este-a-2", idempotent ? "queued-again" : "queued-once", idempotent);
    request.deadline = milliseconds(600);
    TestResponse response = Send(cluster, request);
    BOOST_TEST(ErrorOf(response).code == "deadline_not_run", Describe(response));
    CheckRunStatement(cluster, request, response);
    BOOST_TEST((response.total < milliseconds(1500)), Describe(response));
    BOOST_TEST(RecordsOf(cluster, request.user).size() == 1u,
               "the request must have reached the engine's queue");
  }
  BOOST_TEST(IsExpectedAnswer(cluster, first, running.get()));
  for (bool idempotent : {true, false}) {
    ChatRequest request =
        TaggedRequest("este-a-2", idempotent ? "running-again" : "running-once", idempotent);
    request.tokens = 200;
    request.deadline = milliseconds(600);
    TestResponse response = Send(cluster, request);
    BOOST_TEST(ErrorOf(response).code == "deadline", Describe(response));
    CheckRunStatement(cluster, request, response);
    BOOST_TEST((response.total < milliseconds(1500)), Describe(response));
    BOOST_TEST(CountRuns(cluster, request.user) == 1);
    BOOST_TEST(WaitFor(
        [&] {
          json outcome = RecordsOf(cluster, request.user).at(0)["outcome"];
          return outcome == "cancelled" || outcome == "caller_gone";
        },
        seconds(3)));
  }
}

// Guards against an engine crash or a broken stream that is reported late, with a false run
// statement, or as a complete stream. An idempotent request moves to the other engine.
BOOST_AUTO_TEST_CASE(EngineCrashAndBrokenStream) {
  Cluster cluster(OneRegionSpec());
  cluster.Start(seconds(60));
  for (bool stream : {false, true}) {
    for (bool idempotent : {true, false}) {
      std::string name =
          std::string(stream ? "stream" : "plain") + (idempotent ? "-again" : "-once");
      ChatRequest request = TaggedRequest("este-a-2", "crash-" + name, idempotent);
      request.tokens = 60;
      request.stream = stream;
      std::future<TestResponse> running = SendAsync(cluster, request);
      BOOST_REQUIRE(WaitForRuns(cluster, request.user, 1));
      std::string server = RecordsOf(cluster, request.user).at(0)["server"];
      cluster.KillServer(server);
      TestResponse response = running.get();
      CheckRunStatement(cluster, request, response);
      BOOST_TEST((response.total < kMaxRefusalTime), name << Describe(response));
      bool complete = IsExpectedAnswer(cluster, request, response);
      if (idempotent && !stream) BOOST_TEST(complete, Describe(response));
      if (!idempotent) BOOST_TEST(ErrorOf(response).run == "may_have_run", Describe(response));
      if (!idempotent) BOOST_TEST(CountRuns(cluster, request.user) == 1);
      BOOST_TEST((complete || !ParseSse(response.body).done), name);
      cluster.RestartServer(server);
      BOOST_REQUIRE(WaitAllReachable(cluster));
      BOOST_REQUIRE(WaitFor(
          [&] {
            ChatRequest probe = TaggedRequest("este-a-2", "probe", true);
            TestResponse answer = Send(cluster, probe);
            return answer.Header("x-ebonylift-server") == server;
          },
          seconds(10)));
    }
  }
  SetAllServerFaults(cluster, {{"break_after", 3}, {"times", 1}});
  for (bool idempotent : {true, false}) {
    ChatRequest request =
        TaggedRequest("este-a-2", idempotent ? "cut-again" : "cut-once", idempotent);
    request.stream = true;
    TestResponse response = Send(cluster, request);
    BOOST_TEST(IsExpectedAnswer(cluster, request, response), Describe(response));
    BOOST_TEST(CountRuns(cluster, request.user) == 1);
  }
}

// Guards against a run statement that covers only the last attempt: the first attempt ran in the
// home region, and the region that got the retry says truthfully that it ran nothing.
BOOST_AUTO_TEST_CASE(RunStatementCoversAttemptsOfAllRegions) {
  Cluster cluster(ThreeRegionsSpec());
  cluster.Start(seconds(60));
  WaitForSummaries(cluster);
  RefuseConnections(cluster, "centro-a-engine-1");
  RefuseConnections(cluster, "norte-a-engine-1");
  cluster.SetServerFaults("este-a-engine-1", {{"lose_answer", true}});
  for (int i = 0; i < 5; ++i) {
    ChatRequest request = TaggedRequest("este-a-1", "covers-" + std::to_string(i), true);
    TestResponse response = Send(cluster, request);
    CheckRunStatement(cluster, request, response);
    BOOST_TEST((response.total < kMaxRefusalTime), Describe(response));
    BOOST_TEST(CountRuns(cluster, request.user) >= 1);
  }
}

// Guards against a run statement that omits an attempt made before the route was removed.
BOOST_AUTO_TEST_CASE(RunStatementCoversAttemptsOfARemovedRoute) {
  Cluster cluster(OneRegionSpec());
  cluster.Start(seconds(60));
  ChatRequest request = TaggedRequest("este-a-2", "removed", true);
  request.tokens = 900;
  std::future<TestResponse> running = SendAsync(cluster, request);
  BOOST_REQUIRE(WaitForRuns(cluster, request.user, 1));
  const TeamSpec& team = cluster.spec().teams.front();
  std::string path = "/teams/" + team.id + "/routes/" + team.routes.front().id;
  cluster.PutConfig(path, nullptr, cluster.RevisionOf(path));
  TestResponse probe;
  auto removed = [&] {
    ChatRequest probe_request = TaggedRequest("este-a-2", "probe", true);
    probe_request.deadline = seconds(1);
    probe = Send(cluster, probe_request);
    return ErrorOf(probe).code == "unknown_model";
  };
  BOOST_REQUIRE_MESSAGE(WaitFor(removed, seconds(10)), Describe(probe));
  for (const json& entry : RecordsOf(cluster, request.user)) cluster.KillServer(entry["server"]);
  TestResponse response = running.get();
  CheckRunStatement(cluster, request, response);
  BOOST_TEST(ErrorOf(response).run == "may_have_run", Describe(response));
}

// Guards against an idempotent request that fails in the first other region it is sent to although
// a third region works: the engine of the first other region fails, or its host freezes with the
// request.
BOOST_AUTO_TEST_CASE(RetryReachesAThirdRegion) {
  Cluster cluster(ThreeRegionsSpec());
  cluster.Start(seconds(60));
  constexpr int kRequests = 3;
  WaitForSummaries(cluster);
  // Each request adds to the retry budget, which this test must not exhaust.
  for (int i = 0; i < 10; ++i) Send(cluster, TaggedRequest("este-a-1", "budget", true));
  // The engine is killed, because open connections would still work if it only refused new ones.
  cluster.KillServer("este-a-engine-1");
  cluster.SetServerFaults("centro-a-engine-1", {{"reset_after", true}});
  for (int i = 0; i < kRequests; ++i) {
    ChatRequest request = TaggedRequest("este-a-1", "third-" + std::to_string(i), true);
    TestResponse response = Send(cluster, request);
    BOOST_TEST(IsExpectedAnswer(cluster, request, response), Describe(response));
  }
  cluster.SetServerFaults("centro-a-engine-1", {{"clear", true}, {"slow", 100.0}});
  cluster.SetServerFaults("norte-a-engine-1", {{"slow", 100.0}});
  std::vector<std::pair<ChatRequest, std::future<TestResponse>>> requests;
  for (int i = 0; i < kRequests; ++i) {
    requests.emplace_back(TaggedRequest("este-a-1", "frozen-" + std::to_string(i), true),
                          std::future<TestResponse>());
    requests.back().first.tokens = 50;
    requests.back().second = SendAsync(cluster, requests.back().first);
  }
  auto runs_in = [&](const char* region) {
    int runs = 0;
    for (const json& entry : cluster.Records()) {
      std::string user = entry["user"];
      runs += entry["region"] == region && user.rfind("frozen-", 0) == 0 ? 1 : 0;
    }
    return runs;
  };
  BOOST_REQUIRE(
      WaitFor([&] { return runs_in("centro") + runs_in("norte") >= kRequests; }, seconds(10)));
  std::string frozen = runs_in("centro") > 0 ? "centro-a" : "norte-a";
  cluster.host(frozen + "-1").process->Stop();
  cluster.SetServerFaults("centro-a-engine-1", {{"slow", 1.0}});
  cluster.SetServerFaults("norte-a-engine-1", {{"slow", 1.0}});
  for (auto& [request, answer] : requests) {
    TestResponse response = answer.get();
    BOOST_TEST(IsExpectedAnswer(cluster, request, response), Describe(response));
    BOOST_TEST((response.total < seconds(12)), Describe(response));
  }
  cluster.host(frozen + "-1").process->Continue();
}

}  // namespace ebonylift::test
