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
      ChatRequest request = KeyedRequest(first, key, 20);
      request.stream = stream;
      std::vector<std::future<TestResponse>> answers;
      for (int i = 0; i < 6; ++i) {
        ChatRequest resend = request;
        resend.host = kHosts[i % 3];
        answers.push_back(SendAsync(resend));
      }
      int complete_answers = 0;
      for (auto& answer : answers) {
        TestResponse response = answer.get();
        bool complete = IsExpectedAnswer(SharedCluster(), request, response);
        complete_answers += complete ? 1 : 0;
        BOOST_TEST((complete || ErrorOf(response).code == "in_progress"), Describe(response));
      }
      BOOST_TEST(complete_answers >= 1, key);
      TestResponse stored = Resend(request, first);
      BOOST_TEST(IsExpectedAnswer(SharedCluster(), request, stored), Describe(stored));
      CheckReplays(request, stored.body);
      ChatRequest other = request;
      other.prompt = "Otro sendero";
      for (const char* host : kHosts) {
        BOOST_TEST(ErrorOf(Resend(other, host)).code == "key_conflict");
      }
      BOOST_TEST(CountRuns(SharedCluster(), key) == 1, key);
    }
  }
}

// Guards against a replayed answer that has the request ids of another request, contains the
// caller's x-request-id twice, or does not say how long the key is kept.
BOOST_AUTO_TEST_CASE(AnswersCarryTheirOwnRequestIds) {
  for (bool stream : {false, true}) {
    ChatRequest request = KeyedRequest(kEntryHost, stream ? "ids-stream" : "ids");
    request.stream = stream;
    std::set<std::string> ids;
    for (const char* host : kHosts) {
      request.host = host;
      TestCall call = ChatRequestCall(SharedCluster(), request);
      call.headers.emplace_back("x-request-id", host);
      TestResponse response = Call(call);
      BOOST_TEST(IsExpectedAnswer(SharedCluster(), request, response), Describe(response));
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
    for (const char* host : {kOwnerHost, kEntryHost}) {
      // Opens keep-alive connections first: an HTTP client may silently resend a request when a
      // reused connection is closed.
      ChatRequest warm_up = KeyedRequest(host, "");
      warm_up.idempotent = true;
      for (int i = 0; i < 4; ++i) Send(SharedCluster(), warm_up);
      SetAllServerFaults(SharedCluster(), c.faults);
      ChatRequest request = KeyedRequest(host, std::string(c.name) + "-" + host);
      TestResponse response = Send(SharedCluster(), request);
      BOOST_TEST(ErrorOf(response).code == "server_failed", request.key << Describe(response));
      BOOST_TEST(ErrorOf(response).run == "may_have_run");
      BOOST_TEST((response.total < seconds(5)), request.key);
      CheckResendsRefused(request, "outcome_unknown");
      SetAllServerFaults(SharedCluster(), {{"clear", true}});
      CheckResendsRefused(request, "outcome_unknown");
      BOOST_TEST(CountRuns(SharedCluster(), request.user) <= c.max_runs, request.key);
    }
  }
  WaitOwnerServes("broken");
}

// Guards against a second call to a plain HTTP service (not a model server) whose answer was lost.
BOOST_AUTO_TEST_CASE(PlainServiceCallIsMadeOnce) {
  for (const char* host : kHosts) {
    std::string key = std::string("find-") + host;
    TestCall call = ChatRequestCall(SharedCluster(), KeyedRequest(host, key));
    auto send = [&](const char* to) {
      call.url = "http://" + SharedCluster().host(to).client_address + "/svc/logbook/finds?cache=7";
      return Call(call);
    };
    SetAllServerFaults(SharedCluster(), {{"lose_answer", true}, {"times", 1}});
    TestResponse lost = send(host);
    BOOST_TEST(ErrorOf(lost).code == "server_failed", Describe(lost));
    SetAllServerFaults(SharedCluster(), {{"clear", true}});
    for (const char* other : kHosts) {
      TestResponse repeated = send(other);
      BOOST_TEST(ErrorOf(repeated).code == "outcome_unknown", Describe(repeated));
    }
    int calls = 0;
    for (const json& entry : SharedCluster().Records())
      calls += entry["idempotency_key"] == key ? 1 : 0;
    BOOST_TEST(calls == 1);
  }
}

// Guards against a false run statement (not_run or may_have_run) when the engine resets connections
// before it reads the request. Whether the gateway has written the request by then is a race, so
// both statements are allowed, but the one given must hold for later resends.
BOOST_AUTO_TEST_CASE(ResetBeforeTheRequestIsReadIsReportedTruthfully) {
  for (const char* host : kHosts) {
    SetAllServerFaults(SharedCluster(), {{"reset_before", true}});
    ChatRequest request = KeyedRequest(host, std::string("reset-before-") + host);
    TestResponse last;
    for (const char* other : {host, kOwnerHost, kEntryHost}) {
      last = Resend(request, other);
      BOOST_TEST(!ErrorOf(last).code.empty(), Describe(last));
      BOOST_TEST((last.total < seconds(5)));
      BOOST_TEST(CountRuns(SharedCluster(), request.user) == 0);
    }
    bool may_have_run = ErrorOf(last).run == "may_have_run";
    SetAllServerFaults(SharedCluster(), {{"clear", true}});
    // A key whose outcome is unknown stays unknown; a released key runs exactly once.
    bool ran = WaitFor(
        [&] {
          last = Resend(request, kOtherEntryHost);
          if (ErrorOf(last).run == "may_have_run") may_have_run = true;
          return may_have_run || IsExpectedAnswer(SharedCluster(), request, last);
        },
        seconds(10));
    BOOST_TEST(ran, Describe(last));
    if (may_have_run) CheckResendsRefused(request, "outcome_unknown");
    BOOST_TEST(CountRuns(SharedCluster(), request.user) == (may_have_run ? 0 : 1));
  }
  WaitOwnerServes("reset");
}

// Guards against a key that stays claimed after the engine refused the connection, so that nothing
// ran.
BOOST_AUTO_TEST_CASE(RefusedConnectionReleasesTheKey) {
  for (const char* host : {kOwnerHost, kEntryHost}) {
    SetAllServerFaults(SharedCluster(), {{"refuse", true}});
    ChatRequest request = KeyedRequest(host, std::string("refused-") + host);
    TestResponse response;
    // The proxy resets the first connection after the engine stops listening, so that request may
    // have run. Each attempt therefore uses a new key.
    BOOST_REQUIRE(WaitFor(
        [&] {
          request.key = request.user = request.user + "+";
          response = Send(SharedCluster(), request);
          CheckNotRun(request, response);
          return ErrorOf(response).run == "not_run";
        },
        seconds(10)));
    SetAllServerFaults(SharedCluster(), {{"clear", true}});
    for (const std::string& id : SharedCluster().ServerIds()) {
      BOOST_REQUIRE(WaitServerReachable(SharedCluster(), id));
    }
    TestResponse repeated;
    BOOST_TEST(WaitFor(
                   [&] {
                     repeated = Send(SharedCluster(), request);
                     return IsExpectedAnswer(SharedCluster(), request, repeated);
                   },
                   seconds(10)),
               Describe(repeated));
    BOOST_TEST(CountRuns(SharedCluster(), request.user) == 1);
  }
}

// Guards against a second run after an engine stalls past the deadline or crashes.
BOOST_AUTO_TEST_CASE(EngineStallOrCrashCausesNoSecondRun) {
  for (const char* host : {kOwnerHost, kEntryHost}) {
    SetAllServerFaults(SharedCluster(), {{"stall", true}});
    ChatRequest request = KeyedRequest(host, std::string("stalled-") + host);
    request.deadline = milliseconds(1200);
    TestResponse response = Send(SharedCluster(), request);
    BOOST_TEST(ErrorOf(response).run == "may_have_run", Describe(response));
    SetAllServerFaults(SharedCluster(), {{"clear", true}});
    request.deadline = seconds(20);
    TestResponse repeated = Resend(request, kOtherEntryHost);
    BOOST_TEST((ErrorOf(repeated).code == "outcome_unknown" ||
                IsExpectedAnswer(SharedCluster(), request, repeated)),
               Describe(repeated));
    BOOST_TEST(CountRuns(SharedCluster(), request.user) == 1);
  }
  WaitOwnerServes("stalled");
  ChatRequest request = KeyedRequest(kEntryHost, "crashed", 200);
  std::future<TestResponse> running = SendAsync(request);
  BOOST_REQUIRE(WaitForRuns(SharedCluster(), request.user, 1));
  std::string server = RecordsOf(SharedCluster(), request.user).at(0)["server"];
  SharedCluster().KillServer(server);
  TestResponse response = running.get();
  BOOST_TEST(ErrorOf(response).code == "server_failed", Describe(response));
  BOOST_TEST((response.total < seconds(10)));
  CheckResendsRefused(request, "outcome_unknown");
  SharedCluster().RestartServer(server);
  BOOST_REQUIRE(WaitServerReachable(SharedCluster(), server));
  CheckResendsRefused(request, "outcome_unknown");
  BOOST_TEST(CountRuns(SharedCluster(), request.user) == 1);
}

}  // namespace ebonylift::test
