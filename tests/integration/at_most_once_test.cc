#define BOOST_TEST_MODULE at_most_once
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <cstdlib>
#include <future>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/support/keyed_deployment.h"

// At-most-once execution (invariant I6): a request that is not idempotent but carries an
// idempotency key runs at most once. The tests count runs in the records that the backend servers
// keep.

namespace ebonylift::test {

using nlohmann::json;

BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment);

// Guards against a second run, and against an incomplete or different stored answer, when a key is
// sent again concurrently and later, through any host, streamed or not.
BOOST_AUTO_TEST_CASE(ResendsGetTheStoredAnswer) {
  for (const char* first : kHosts) {
    for (bool stream : {false, true}) {
      std::string key = std::string("same-") + first + (stream ? "-stream" : "-plain");
      Ask request = Keyed(first, key, 20);
      request.stream = stream;
      std::vector<std::future<TestResponse>> answers;
      for (int i = 0; i < 6; ++i) {
        Ask resend = request;
        resend.host = kHosts[i % 3];
        answers.push_back(SendLater(resend));
      }
      int complete_answers = 0;
      for (auto& answer : answers) {
        TestResponse response = answer.get();
        bool complete = IsWholeAnswer(Shared(), request, response);
        complete_answers += complete ? 1 : 0;
        BOOST_TEST((complete || RefusalOf(response).code == "in_progress"), Describe(response));
      }
      BOOST_TEST(complete_answers >= 1, key);
      TestResponse stored = Resend(request, first);
      BOOST_TEST(IsWholeAnswer(Shared(), request, stored), Describe(stored));
      CheckReplays(request, stored.body);
      Ask other = request;
      other.prompt = "Otro sendero";
      for (const char* host : kHosts) {
        BOOST_TEST(RefusalOf(Resend(other, host)).code == "key_conflict");
      }
      BOOST_TEST(RunsOf(Shared(), key) == 1, key);
    }
  }
}

// Guards against a replayed answer that has the request ids of another request, contains the
// caller's x-request-id twice, or does not say how long the key is kept.
BOOST_AUTO_TEST_CASE(AnswersCarryTheirOwnRequestIds) {
  for (bool stream : {false, true}) {
    Ask request = Keyed(kEntry, stream ? "ids-stream" : "ids");
    request.stream = stream;
    std::set<std::string> ids;
    for (const char* host : kHosts) {
      request.host = host;
      TestCall call = AskCall(Shared(), request);
      call.headers.emplace_back("x-request-id", host);
      TestResponse response = Call(call);
      BOOST_TEST(IsWholeAnswer(Shared(), request, response), Describe(response));
      BOOST_TEST(response.Header("x-request-id") == host);
      BOOST_TEST(std::count_if(response.headers.begin(), response.headers.end(),
                               [](const auto& h) { return h.first == "x-request-id"; }) == 1);
      BOOST_TEST(std::atoll(response.Header("x-ebonylift-key-expires-ms").c_str()) > 0);
      ids.insert(response.Header("x-ebonylift-request-id"));
    }
    BOOST_TEST(ids.size() == 3u);
  }
}

// Guards against a retry of work that may have run: the engine closes the connection after it has
// read the request, or after it has done the work, or answers with an error status that does not
// say whether the work ran.
BOOST_AUTO_TEST_CASE(BrokenEngineConnectionIsNotRetried) {
  struct Case {
    const char* name;
    json faults;
    int max_runs;
  };
  const Case cases[] = {{"reset-after", {{"reset_after", true}, {"times", 1}}, 0},
                        {"answer-lost", {{"lose_answer", true}, {"times", 1}}, 1},
                        {"error-status", {{"error_status", 500}, {"times", 1}}, 0}};
  for (const Case& c : cases) {
    for (const char* host : {kOwner, kEntry}) {
      // Opens keep-alive connections first: an HTTP client may silently resend a request when a
      // reused connection is closed.
      Ask warm_up = Keyed(host, "");
      warm_up.idempotent = true;
      for (int i = 0; i < 4; ++i) Send(Shared(), warm_up);
      SetAllServerFaults(Shared(), c.faults);
      Ask request = Keyed(host, std::string(c.name) + "-" + host);
      TestResponse response = Send(Shared(), request);
      BOOST_TEST(RefusalOf(response).code == "server_failed", request.key << Describe(response));
      BOOST_TEST(RefusalOf(response).run == "may_have_run");
      BOOST_TEST((response.total < seconds(5)), request.key);
      CheckResends(request, "outcome_unknown");
      SetAllServerFaults(Shared(), {{"clear", true}});
      CheckResends(request, "outcome_unknown");
      BOOST_TEST(RunsOf(Shared(), request.user) <= c.max_runs, request.key);
    }
  }
  WaitOwnerServes("broken");
}

// Guards against a second call to a plain HTTP service (not a model server) whose answer was lost.
BOOST_AUTO_TEST_CASE(PlainServiceCallIsMadeOnce) {
  for (const char* host : kHosts) {
    std::string key = std::string("find-") + host;
    TestCall call = AskCall(Shared(), Keyed(host, key));
    auto send = [&](const char* to) {
      call.url = "http://" + Shared().host(to).client_address + "/svc/logbook/finds?cache=7";
      return Call(call);
    };
    SetAllServerFaults(Shared(), {{"lose_answer", true}, {"times", 1}});
    TestResponse lost = send(host);
    BOOST_TEST(RefusalOf(lost).code == "server_failed", Describe(lost));
    SetAllServerFaults(Shared(), {{"clear", true}});
    for (const char* other : kHosts) {
      TestResponse repeated = send(other);
      BOOST_TEST(RefusalOf(repeated).code == "outcome_unknown", Describe(repeated));
    }
    int calls = 0;
    for (const json& entry : Shared().Records()) calls += entry["idempotency_key"] == key ? 1 : 0;
    BOOST_TEST(calls == 1);
  }
}

// Guards against a false run statement (not_run or may_have_run) when the engine resets connections
// before it reads the request. Whether the gateway has written the request by then is a race, so
// both statements are allowed, but the one given must hold for later resends.
BOOST_AUTO_TEST_CASE(ResetBeforeTheRequestIsReadIsReportedTruthfully) {
  for (const char* host : kHosts) {
    SetAllServerFaults(Shared(), {{"reset_before", true}});
    Ask request = Keyed(host, std::string("reset-before-") + host);
    TestResponse last;
    for (const char* other : {host, kOwner, kEntry}) {
      last = Resend(request, other);
      BOOST_TEST(!RefusalOf(last).code.empty(), Describe(last));
      BOOST_TEST((last.total < seconds(5)));
      BOOST_TEST(RunsOf(Shared(), request.user) == 0);
    }
    bool may_have_run = RefusalOf(last).run == "may_have_run";
    SetAllServerFaults(Shared(), {{"clear", true}});
    // A key whose outcome is unknown stays unknown; a released key runs exactly once.
    bool ran = WaitFor(
        [&] {
          last = Resend(request, kOtherEntry);
          if (RefusalOf(last).run == "may_have_run") may_have_run = true;
          return may_have_run || IsWholeAnswer(Shared(), request, last);
        },
        seconds(10));
    BOOST_TEST(ran, Describe(last));
    if (may_have_run) CheckResends(request, "outcome_unknown");
    BOOST_TEST(RunsOf(Shared(), request.user) == (may_have_run ? 0 : 1));
  }
  WaitOwnerServes("reset");
}

// Guards against a key that stays claimed after the engine refused the connection, so that nothing
// ran.
BOOST_AUTO_TEST_CASE(RefusedConnectionReleasesTheKey) {
  for (const char* host : {kOwner, kEntry}) {
    SetAllServerFaults(Shared(), {{"refuse", true}});
    Ask request = Keyed(host, std::string("refused-") + host);
    TestResponse response;
    // The proxy resets the first connection after the engine stops listening, so that request may
    // have run. Each attempt therefore uses a new key.
    BOOST_REQUIRE(WaitFor(
        [&] {
          request.key = request.user = request.user + "+";
          response = Send(Shared(), request);
          CheckNotRun(request, response);
          return RefusalOf(response).run == "not_run";
        },
        seconds(10)));
    SetAllServerFaults(Shared(), {{"clear", true}});
    for (const std::string& id : Shared().ServerIds()) {
      BOOST_REQUIRE(WaitServerReachable(Shared(), id));
    }
    TestResponse repeated;
    BOOST_TEST(WaitFor(
                   [&] {
                     repeated = Send(Shared(), request);
                     return IsWholeAnswer(Shared(), request, repeated);
                   },
                   seconds(10)),
               Describe(repeated));
    BOOST_TEST(RunsOf(Shared(), request.user) == 1);
  }
}

// Guards against a second run after an engine stalls past the deadline or crashes.
BOOST_AUTO_TEST_CASE(EngineStallOrCrashCausesNoSecondRun) {
  for (const char* host : {kOwner, kEntry}) {
    SetAllServerFaults(Shared(), {{"stall", true}});
    Ask request = Keyed(host, std::string("stalled-") + host);
    request.deadline = milliseconds(1200);
    TestResponse response = Send(Shared(), request);
    BOOST_TEST(RefusalOf(response).run == "may_have_run", Describe(response));
    SetAllServerFaults(Shared(), {{"clear", true}});
    request.deadline = seconds(20);
    TestResponse repeated = Resend(request, kOtherEntry);
    BOOST_TEST((RefusalOf(repeated).code == "outcome_unknown" ||
                IsWholeAnswer(Shared(), request, repeated)),
               Describe(repeated));
    BOOST_TEST(RunsOf(Shared(), request.user) == 1);
  }
  WaitOwnerServes("stalled");
  Ask request = Keyed(kEntry, "crashed", 200);
  std::future<TestResponse> running = SendLater(request);
  BOOST_REQUIRE(WaitForRuns(Shared(), request.user, 1));
  std::string server = RecordsOf(Shared(), request.user).at(0)["server"];
  Shared().KillServer(server);
  TestResponse response = running.get();
  BOOST_TEST(RefusalOf(response).code == "server_failed", Describe(response));
  BOOST_TEST((response.total < seconds(10)));
  CheckResends(request, "outcome_unknown");
  Shared().RestartServer(server);
  BOOST_REQUIRE(WaitServerReachable(Shared(), server));
  CheckResends(request, "outcome_unknown");
  BOOST_TEST(RunsOf(Shared(), request.user) == 1);
}

}  // namespace ebonylift::test
