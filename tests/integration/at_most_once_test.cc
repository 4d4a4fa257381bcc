#define BOOST_TEST_MODULE at_most_once
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <cstdlib>
#include <future>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/support/keyed_deployment.h"

// I6: a non-idempotent request with a key runs at most once, by the servers' own records.

namespace ebonylift::test {

using nlohmann::json;

BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment);

// Guards against a second run for resends at the same time and later, through any host, plain and
// streamed, and against a stored answer that is not whole.
BOOST_AUTO_TEST_CASE(ResendsGetTheOneAnswer) {
  for (const char* first : kHosts) {
    for (bool stream : {false, true}) {
      std::string key = std::string("same-") + first + (stream ? "-stream" : "-plain");
      Ask ask = Keyed(first, key, 20);
      ask.stream = stream;
      std::vector<std::future<TestResponse>> answers;
      for (int i = 0; i < 6; ++i) {
        Ask copy = ask;
        copy.host = kHosts[i % 3];
        answers.push_back(SendLater(copy));
      }
      int whole = 0;
      for (auto& answer : answers) {
        TestResponse response = answer.get();
        bool good = IsWholeAnswer(Shared(), ask, response);
        whole += good ? 1 : 0;
        BOOST_TEST((good || RefusalOf(response).code == "in_progress"), Describe(response));
      }
      BOOST_TEST(whole >= 1, key);
      TestResponse stored = Resend(ask, first);
      BOOST_TEST(IsWholeAnswer(Shared(), ask, stored), Describe(stored));
      CheckReplays(ask, stored.body);
      Ask other = ask;
      other.prompt = "Otro sendero";
      for (const char* host : kHosts) {
        BOOST_TEST(RefusalOf(Resend(other, host)).code == "key_conflict");
      }
      BOOST_TEST(RunsOf(Shared(), key) == 1, key);
    }
  }
}

// Guards against answers that carry the ids of another request, a caller's id twice, or no word on
// how long the key is kept.
BOOST_AUTO_TEST_CASE(AnswersNameTheirOwnRequest) {
  for (bool stream : {false, true}) {
    Ask ask = Keyed(kEntry, stream ? "ids-stream" : "ids");
    ask.stream = stream;
    std::set<std::string> ids;
    for (const char* host : kHosts) {
      ask.host = host;
      TestCall call = AskCall(Shared(), ask);
      call.headers.emplace_back("x-request-id", host);
      TestResponse response = Call(call);
      BOOST_TEST(IsWholeAnswer(Shared(), ask, response), Describe(response));
      BOOST_TEST(response.Header("x-request-id") == host);
      BOOST_TEST(std::count_if(response.headers.begin(), response.headers.end(),
                               [](const auto& h) { return h.first == "x-request-id"; }) == 1);
      BOOST_TEST(std::atoll(response.Header("x-ebonylift-key-expires-ms").c_str()) > 0);
      ids.insert(response.Header("x-ebonylift-request-id"));
    }
    BOOST_TEST(ids.size() == 3u);
  }
}

// Guards against a retry of work that may have run: the engine ends the connection after it read
// the request, after the work, or answers with an error that says nothing of the run.
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
      // A connection that was kept from an earlier request is where a silent repetition comes from.
      Ask warm = Keyed(host, "");
      warm.idempotent = true;
      for (int i = 0; i < 4; ++i) Send(Shared(), warm);
      SetAllServerFaults(Shared(), c.faults);
      Ask ask = Keyed(host, std::string(c.name) + "-" + host);
      TestResponse response = Send(Shared(), ask);
      BOOST_TEST(RefusalOf(response).code == "server_failed", ask.key << Describe(response));
      BOOST_TEST(RefusalOf(response).run == "may_have_run");
      BOOST_TEST((response.total < seconds(5)), ask.key);
      CheckResends(ask, "outcome_unknown");
      SetAllServerFaults(Shared(), {{"clear", true}});
      CheckResends(ask, "outcome_unknown");
      BOOST_TEST(RunsOf(Shared(), ask.user) <= c.max_runs, ask.key);
    }
  }
  WaitOwnerServes("broken");
}

// Guards against a second call to a plain service whose answer was lost.
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
      TestResponse again = send(other);
      BOOST_TEST(RefusalOf(again).code == "outcome_unknown", Describe(again));
    }
    int calls = 0;
    for (const json& entry : Shared().Records()) calls += entry["idempotency_key"] == key ? 1 : 0;
    BOOST_TEST(calls == 1);
  }
}

// Guards against a false statement when the engine resets connections before it reads: whether the
// gateway had written by then is a race, so either statement may come, and it must hold.
BOOST_AUTO_TEST_CASE(ResetBeforeTheRequestIsRead) {
  for (const char* host : kHosts) {
    SetAllServerFaults(Shared(), {{"reset_before", true}});
    Ask ask = Keyed(host, std::string("reset-before-") + host);
    TestResponse last;
    for (const char* other : {host, kOwner, kEntry}) {
      last = Resend(ask, other);
      BOOST_TEST(!RefusalOf(last).code.empty(), Describe(last));
      BOOST_TEST((last.total < seconds(5)));
      BOOST_TEST(RunsOf(Shared(), ask.user) == 0);
    }
    bool may_have_run = RefusalOf(last).run == "may_have_run";
    SetAllServerFaults(Shared(), {{"clear", true}});
    // A key whose outcome is unknown stays so; a released one runs, once.
    bool ran = WaitFor(
        [&] {
          last = Resend(ask, kOtherEntry);
          if (RefusalOf(last).run == "may_have_run") may_have_run = true;
          return may_have_run || IsWholeAnswer(Shared(), ask, last);
        },
        seconds(10));
    BOOST_TEST(ran, Describe(last));
    if (may_have_run) CheckResends(ask, "outcome_unknown");
    BOOST_TEST(RunsOf(Shared(), ask.user) == (may_have_run ? 0 : 1));
  }
  WaitOwnerServes("reset");
}

// Guards against a claim that stays after a refused connection, where nothing ran.
BOOST_AUTO_TEST_CASE(RefusedConnectionReleasesTheKey) {
  for (const char* host : {kOwner, kEntry}) {
    SetAllServerFaults(Shared(), {{"refuse", true}});
    Ask ask = Keyed(host, std::string("refused-") + host);
    TestResponse response;
    // The first connection after the stop is reset by the proxy, which may have run.
    BOOST_REQUIRE(WaitFor(
        [&] {
          ask.key = ask.user = ask.user + "+";
          response = Send(Shared(), ask);
          CheckNotRun(ask, response);
          return RefusalOf(response).run == "not_run";
        },
        seconds(10)));
    SetAllServerFaults(Shared(), {{"clear", true}});
    for (const std::string& id : Shared().ServerIds()) {
      BOOST_REQUIRE(WaitServerReachable(Shared(), id));
    }
    TestResponse again;
    BOOST_TEST(WaitFor(
                   [&] {
                     again = Send(Shared(), ask);
                     return IsWholeAnswer(Shared(), ask, again);
                   },
                   seconds(10)),
               Describe(again));
    BOOST_TEST(RunsOf(Shared(), ask.user) == 1);
  }
}

// Guards against a second run after an engine stalls over the deadline or crashes.
BOOST_AUTO_TEST_CASE(StallAndCrashOfTheEngine) {
  for (const char* host : {kOwner, kEntry}) {
    SetAllServerFaults(Shared(), {{"stall", true}});
    Ask ask = Keyed(host, std::string("stalled-") + host);
    ask.deadline = milliseconds(1200);
    TestResponse response = Send(Shared(), ask);
    BOOST_TEST(RefusalOf(response).run == "may_have_run", Describe(response));
    SetAllServerFaults(Shared(), {{"clear", true}});
    ask.deadline = seconds(20);
    TestResponse again = Resend(ask, kOtherEntry);
    BOOST_TEST((RefusalOf(again).code == "outcome_unknown" || IsWholeAnswer(Shared(), ask, again)),
               Describe(again));
    BOOST_TEST(RunsOf(Shared(), ask.user) == 1);
  }
  WaitOwnerServes("stalled");
  Ask ask = Keyed(kEntry, "crashed", 200);
  std::future<TestResponse> running = SendLater(ask);
  BOOST_REQUIRE(WaitForRuns(Shared(), ask.user, 1));
  std::string server = RecordsOf(Shared(), ask.user).at(0)["server"];
  Shared().KillServer(server);
  TestResponse response = running.get();
  BOOST_TEST(RefusalOf(response).code == "server_failed", Describe(response));
  BOOST_TEST((response.total < seconds(10)));
  CheckResends(ask, "outcome_unknown");
  Shared().RestartServer(server);
  BOOST_REQUIRE(WaitServerReachable(Shared(), server));
  CheckResends(ask, "outcome_unknown");
  BOOST_TEST(RunsOf(Shared(), ask.user) == 1);
}

}  // namespace ebonylift::test
