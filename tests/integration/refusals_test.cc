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

// I5: what a refusal says of the run agrees with the engines' own records, and it comes at once.

namespace ebonylift::test {

using nlohmann::json;

namespace {

constexpr Duration kAtOnce = seconds(5);  // against deadlines of 20 s

Ask Tagged(const std::string& host, const std::string& user, bool idempotent) {
  Ask ask;
  ask.host = host;
  ask.user = user;
  ask.idempotent = idempotent;
  ask.tokens = 5;
  return ask;
}

// The statement, the kind and the retry time against the records.
void CheckStatement(const Cluster& cluster, const Ask& ask, const TestResponse& response) {
  if (response.status == 200 && ParseSse(response.body).errors.empty()) return;
  Refusal refusal = RefusalOf(response);
  std::string what = ask.user + ": " + Describe(response);
  const ErrorInfo& info = LookupError(ErrorKindFromCode(refusal.code));
  BOOST_TEST(refusal.code != "internal", what);
  BOOST_TEST(refusal.run == RunName(info.run), what);
  BOOST_TEST(refusal.retry_after_ms > 0, what);
  if (refusal.run == "not_run") BOOST_TEST(RunsOf(cluster, ask.user) == 0, what);
}

ClusterSpec OneRegion() {
  ClusterSpec spec = SmallSpec(2, 2);
  spec.engine_arguments = {"--decode_us_per_token=20000", "--slots=1"};
  spec.teams.front().limits = {{"retry_percent", 100}};
  return spec;
}

void RefuseConnections(Cluster& cluster, const std::string& server) {
  cluster.SetServerFaults(server, {{"refuse", true}});
  BOOST_REQUIRE(WaitServerRefuses(cluster, server));
}

// Waits until the host of este knows the backend servers of both other regions.
void WaitSummaries(Cluster& cluster) {
  TestCall call;
  call.url = "http://" + cluster.host("este-a-1").http_address + "/admin/v1/status";
  call.headers = {{"authorization", "Bearer " + cluster.operator_token()}};
  TestResponse status;
  auto known = [&] {
    status = Call(call);
    std::set<std::string> domains;
    json body = json::parse(status.body);
    for (const json& row : body["summaries"]) domains.insert(row["domain"]);
    return domains.count("centro-a") + domains.count("norte-a") == 2;
  };
  BOOST_REQUIRE(WaitFor(known, seconds(15)));
}

}  // namespace

// Guards against a false run statement, a second run of work that is not idempotent, and a refusal
// that waits for the deadline, when every engine has the fault.
BOOST_AUTO_TEST_CASE(EveryEngineFails) {
  struct Case {
    const char* name;
    json faults;
    std::set<std::string> codes;
    int max_runs;  // of one attempt
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
  Cluster cluster(OneRegion());
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
        Ask ask =
            Tagged(i % 2 == 0 ? "este-a-1" : "este-a-2", name + std::to_string(i), idempotent);
        ask.stream = c.faults.contains("break_after");
        TestResponse response = Send(cluster, ask);
        std::string what = ask.user + ": " + Describe(response);
        if (ask.stream && response.status == 200) {
          SseText text = ParseSse(response.body);
          BOOST_TEST((text.done != !text.errors.empty()), what);
        } else if (idempotent && IsWholeAnswer(cluster, ask, response)) {
          // Connections that were open before the fault still work for new requests.
          BOOST_TEST(c.open_connections_work, what);
          continue;
        } else {
          BOOST_TEST(c.codes.count(RefusalOf(response).code) == 1, what);
        }
        CheckStatement(cluster, ask, response);
        BOOST_TEST((response.total < kAtOnce), what);
        BOOST_TEST(RunsOf(cluster, ask.user) <= (idempotent ? 4 * c.max_runs : c.max_runs), what);
      }
      SetAllServerFaults(cluster, {{"clear", true}});
      BOOST_REQUIRE(WaitAllReachable(cluster));
    }
  }
}

// Guards against an idempotent request that fails although another engine works, and against a
// request that is repeated although it may have run.
BOOST_AUTO_TEST_CASE(OneEngineFails) {
  Cluster cluster(OneRegion());
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
      Ask again = Tagged("este-a-2", "again-" + name, true);
      TestResponse response = Send(cluster, again);
      BOOST_TEST(IsWholeAnswer(cluster, again, response), again.user << Describe(response));
      BOOST_TEST((response.total < kAtOnce), again.user);
      Ask once = Tagged("este-a-2", "once-" + name, false);
      response = Send(cluster, once);
      CheckStatement(cluster, once, response);
      BOOST_TEST(RunsOf(cluster, once.user) <= 1, once.user << Describe(response));
    }
    SetAllServerFaults(cluster, {{"clear", true}});
    BOOST_REQUIRE(WaitAllReachable(cluster));
  }
}

// Guards against deadline_not_run without the engine's word that the work had not started, and
// against may_have_run although it gave that word.
BOOST_AUTO_TEST_CASE(TimeoutInTheEnginesQueueAndWhileRunning) {
  ClusterSpec spec = OneRegion();
  spec.domains[0].engines = 1;
  Cluster cluster(spec);
  cluster.Start(seconds(60));
  // The other host knows of this run by the next load report at the earliest.
  Ask first = Tagged("este-a-1", "long", true);
  first.tokens = 200;
  std::future<TestResponse> running = SendLater(cluster, first);
  BOOST_REQUIRE(WaitForRuns(cluster, first.user, 1));
  for (bool idempotent : {true, false}) {
    Ask ask = Tagged("este-a-2", idempotent ? "queued-again" : "queued-once", idempotent);
    ask.deadline = milliseconds(600);
    TestResponse response = Send(cluster, ask);
    BOOST_TEST(RefusalOf(response).code == "deadline_not_run", Describe(response));
    CheckStatement(cluster, ask, response);
    BOOST_TEST((response.total < milliseconds(1500)), Describe(response));
    BOOST_TEST(RecordsOf(cluster, ask.user).size() == 1u, "the engine had it in its queue");
  }
  BOOST_TEST(IsWholeAnswer(cluster, first, running.get()));
  for (bool idempotent : {true, false}) {
    Ask ask = Tagged("este-a-2", idempotent ? "running-again" : "running-once", idempotent);
    ask.tokens = 200;
    ask.deadline = milliseconds(600);
    TestResponse response = Send(cluster, ask);
    BOOST_TEST(RefusalOf(response).code == "deadline", Describe(response));
    CheckStatement(cluster, ask, response);
    BOOST_TEST((response.total < milliseconds(1500)), Describe(response));
    BOOST_TEST(RunsOf(cluster, ask.user) == 1);
    BOOST_TEST(WaitFor(
        [&] {
          json outcome = RecordsOf(cluster, ask.user).at(0)["outcome"];
          return outcome == "cancelled" || outcome == "caller_gone";
        },
        seconds(3)));
  }
}

// Guards against a crash or a cut that is answered late, with a false statement, or as a whole
// stream; an idempotent request moves to the other engine.
BOOST_AUTO_TEST_CASE(CrashAndCutStream) {
  Cluster cluster(OneRegion());
  cluster.Start(seconds(60));
  for (bool stream : {false, true}) {
    for (bool idempotent : {true, false}) {
      std::string name =
          std::string(stream ? "stream" : "plain") + (idempotent ? "-again" : "-once");
      Ask ask = Tagged("este-a-2", "crash-" + name, idempotent);
      ask.tokens = 60;
      ask.stream = stream;
      std::future<TestResponse> running = SendLater(cluster, ask);
      BOOST_REQUIRE(WaitForRuns(cluster, ask.user, 1));
      std::string server = RecordsOf(cluster, ask.user).at(0)["server"];
      cluster.KillServer(server);
      TestResponse response = running.get();
      CheckStatement(cluster, ask, response);
      BOOST_TEST((response.total < kAtOnce), name << Describe(response));
      bool whole = IsWholeAnswer(cluster, ask, response);
      if (idempotent && !stream) BOOST_TEST(whole, Describe(response));
      if (!idempotent) BOOST_TEST(RefusalOf(response).run == "may_have_run", Describe(response));
      if (!idempotent) BOOST_TEST(RunsOf(cluster, ask.user) == 1);
      BOOST_TEST((whole || !ParseSse(response.body).done), name);
      cluster.RestartServer(server);
      BOOST_REQUIRE(WaitAllReachable(cluster));
      BOOST_REQUIRE(WaitFor(
          [&] {
            Ask probe = Tagged("este-a-2", "probe", true);
            TestResponse answer = Send(cluster, probe);
            return answer.Header("x-ebonylift-server") == server;
          },
          seconds(10)));
    }
  }
  SetAllServerFaults(cluster, {{"break_after", 3}, {"times", 1}});
  for (bool idempotent : {true, false}) {
    Ask ask = Tagged("este-a-2", idempotent ? "cut-again" : "cut-once", idempotent);
    ask.stream = true;
    TestResponse response = Send(cluster, ask);
    BOOST_TEST(IsWholeAnswer(cluster, ask, response), Describe(response));
    BOOST_TEST(RunsOf(cluster, ask.user) == 1);
  }
}

// Guards against a statement that covers only the last attempt: the first one ran in the home
// region, and the region that got the retry says truthfully that it ran nothing.
BOOST_AUTO_TEST_CASE(StatementCoversAttemptsOfAllRegions) {
  Cluster cluster(ThreeRegionsSpec());
  cluster.Start(seconds(60));
  WaitSummaries(cluster);
  RefuseConnections(cluster, "centro-a-engine-1");
  RefuseConnections(cluster, "norte-a-engine-1");
  cluster.SetServerFaults("este-a-engine-1", {{"lose_answer", true}});
  for (int i = 0; i < 5; ++i) {
    Ask ask = Tagged("este-a-1", "covers-" + std::to_string(i), true);
    TestResponse response = Send(cluster, ask);
    CheckStatement(cluster, ask, response);
    BOOST_TEST((response.total < kAtOnce), Describe(response));
    BOOST_TEST(RunsOf(cluster, ask.user) >= 1);
  }
}

// Guards against the same after the route was removed between two attempts.
BOOST_AUTO_TEST_CASE(StatementCoversAttemptsOfARemovedRoute) {
  Cluster cluster(OneRegion());
  cluster.Start(seconds(60));
  Ask ask = Tagged("este-a-2", "removed", true);
  ask.tokens = 900;
  std::future<TestResponse> running = SendLater(cluster, ask);
  BOOST_REQUIRE(WaitForRuns(cluster, ask.user, 1));
  const TeamSpec& team = cluster.spec().teams.front();
  std::string path = "/teams/" + team.id + "/routes/" + team.routes.front().id;
  cluster.PutConfig(path, nullptr, cluster.RevisionOf(path));
  TestResponse probe;
  auto removed = [&] {
    Ask late = Tagged("este-a-2", "probe", true);
    late.deadline = seconds(1);
    probe = Send(cluster, late);
    return RefusalOf(probe).code == "unknown_model";
  };
  BOOST_REQUIRE_MESSAGE(WaitFor(removed, seconds(10)), Describe(probe));
  for (const json& entry : RecordsOf(cluster, ask.user)) cluster.KillServer(entry["server"]);
  TestResponse response = running.get();
  CheckStatement(cluster, ask, response);
  BOOST_TEST(RefusalOf(response).run == "may_have_run", Describe(response));
}

// Guards against an idempotent request that fails with its first other region although a third one
// works: the region's engine fails, or its host freezes with the request.
BOOST_AUTO_TEST_CASE(RetryReachesAThirdRegion) {
  Cluster cluster(ThreeRegionsSpec());
  cluster.Start(seconds(60));
  constexpr int kAsks = 3;
  WaitSummaries(cluster);
  // Each request adds to the retry budget, which this test must not exhaust.
  for (int i = 0; i < 10; ++i) Send(cluster, Tagged("este-a-1", "budget", true));
  // Connections that are open would still work after a refusal.
  cluster.KillServer("este-a-engine-1");
  cluster.SetServerFaults("centro-a-engine-1", {{"reset_after", true}});
  for (int i = 0; i < kAsks; ++i) {
    Ask ask = Tagged("este-a-1", "third-" + std::to_string(i), true);
    TestResponse response = Send(cluster, ask);
    BOOST_TEST(IsWholeAnswer(cluster, ask, response), Describe(response));
  }
  cluster.SetServerFaults("centro-a-engine-1", {{"clear", true}, {"slow", 100.0}});
  cluster.SetServerFaults("norte-a-engine-1", {{"slow", 100.0}});
  std::vector<std::pair<Ask, std::future<TestResponse>>> asks;
  for (int i = 0; i < kAsks; ++i) {
    asks.emplace_back(Tagged("este-a-1", "frozen-" + std::to_string(i), true),
                      std::future<TestResponse>());
    asks.back().first.tokens = 50;
    asks.back().second = SendLater(cluster, asks.back().first);
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
      WaitFor([&] { return runs_in("centro") + runs_in("norte") >= kAsks; }, seconds(10)));
  std::string frozen = runs_in("centro") > 0 ? "centro-a" : "norte-a";
  cluster.host(frozen + "-1").process->Stop();
  cluster.SetServerFaults("centro-a-engine-1", {{"slow", 1.0}});
  cluster.SetServerFaults("norte-a-engine-1", {{"slow", 1.0}});
  for (auto& [ask, answer] : asks) {
    TestResponse response = answer.get();
    BOOST_TEST(IsWholeAnswer(cluster, ask, response), Describe(response));
    BOOST_TEST((response.total < seconds(12)), Describe(response));
  }
  cluster.host(frozen + "-1").process->Continue();
}

}  // namespace ebonylift::test
