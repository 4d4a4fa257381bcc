#define BOOST_TEST_MODULE owner_loss
#include <sys/resource.h>

#include <boost/test/included/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "tests/support/keyed_deployment.h"

// At-most-once execution (invariant I6, see at_most_once_test.cc) when the owner of the key is
// killed, frozen or cut off.

namespace ebonylift::test {

BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment);

// Guards against an owner that loses a key when it is killed and then restarted with its disk: one
// key is claimed and not yet answered, another is already answered.
BOOST_AUTO_TEST_CASE(OwnerIsKilledAndRestarted) {
  ChatRequest answered_request = KeyedRequest(kEntryHost, "done-before-kill");
  TestResponse first = Send(SharedCluster(), answered_request);
  BOOST_REQUIRE_MESSAGE(IsExpectedAnswer(SharedCluster(), answered_request, first),
                        Describe(first));
  ChatRequest request = KeyedRequest(kEntryHost, "claimed-before-kill", 200);
  std::future<TestResponse> running = SendAsync(request);
  BOOST_REQUIRE(WaitForRuns(SharedCluster(), request.user, 1));
  SharedCluster().KillHost(kOwnerHost);
  TestResponse lost = running.get();
  BOOST_TEST(ErrorOf(lost).code == "outcome_unknown", Describe(lost));
  BOOST_TEST((lost.total < seconds(10)));

  ChatRequest refused = KeyedRequest(kOtherEntryHost, "owner-down");
  TestResponse response;
  BOOST_TEST(WaitFor(
                 [&] {
                   refused.key = refused.user = refused.user + "+";
                   response = Send(SharedCluster(), refused);
                   return ErrorOf(response).code == "owner_unreachable";
                 },
                 seconds(10)),
             Describe(response));
  BOOST_TEST(ErrorOf(response).run == "not_run");
  BOOST_TEST(ErrorOf(response).retry_after_ms > 0);
  BOOST_TEST(!response.Header("retry-after").empty());
  BOOST_TEST((response.total < seconds(3)));
  ChatRequest idempotent_request = KeyedRequest(kOtherEntryHost, "");
  idempotent_request.user = "owner-down-idempotent";
  idempotent_request.idempotent = true;
  TestResponse served = Send(SharedCluster(), idempotent_request);
  BOOST_TEST(IsExpectedAnswer(SharedCluster(), idempotent_request, served), Describe(served));

  SharedCluster().RestartHost(kOwnerHost);
  WaitOwnerServes("killed");
  CheckNotRun(refused, response);
  CheckResendsRefused(request, "outcome_unknown");
  CheckReplays(answered_request, first.body);
  BOOST_TEST(CountRuns(SharedCluster(), request.user) == 1);
  BOOST_TEST(CountRuns(SharedCluster(), answered_request.user) == 1);
}

// Guards against work that is dispatched before its claim is on disk, and against a failed disk
// that also stops idempotent work. A file size limit of 0 makes every file write of the owner fail.
BOOST_AUTO_TEST_CASE(OwnerDiskFails) {
  Process& owner = *SharedCluster().host(kOwnerHost).process;
  rlimit original_limit{};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, nullptr, &original_limit) == 0);
  rlimit no_writes{0, original_limit.rlim_max};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &no_writes, nullptr) == 0);
  for (const char* host : kHosts) {
    ChatRequest request = KeyedRequest(host, std::string("disk-") + host);
    TestResponse response = Send(SharedCluster(), request);
    BOOST_TEST(ErrorOf(response).code == "storage_failed", Describe(response));
    BOOST_TEST(ErrorOf(response).run == "not_run");
    BOOST_TEST(ErrorOf(response).retry_after_ms > 0);
    BOOST_TEST(CountRuns(SharedCluster(), request.user) == 0, request.user);
    ChatRequest idempotent_request = KeyedRequest(host, "");
    idempotent_request.idempotent = true;
    TestResponse served = Send(SharedCluster(), idempotent_request);
    BOOST_TEST(IsExpectedAnswer(SharedCluster(), idempotent_request, served), Describe(served));
  }
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &original_limit, nullptr) == 0);
  SharedCluster().RestartHost(kOwnerHost);
  WaitOwnerServes("disk");
}

// Guards against a second run and a false not_run when the owner is frozen during a run, and when
// the owner receives nothing that the other hosts send.
BOOST_AUTO_TEST_CASE(OwnerIsFrozenOrReceivesNothing) {
  for (bool freeze : {true, false}) {
    std::string name = freeze ? "frozen" : "cut";
    ChatRequest request = KeyedRequest(kEntryHost, name, 100);
    std::future<TestResponse> running = SendAsync(request);
    BOOST_REQUIRE(WaitForRuns(SharedCluster(), request.user, 1));
    if (freeze) {
      SharedCluster().host(kOwnerHost).process->Stop();
    } else {
      SharedCluster().PartitionOneWay("este-a-[23]", kOwnerHost);
    }
    ChatRequest new_request = KeyedRequest(kOtherEntryHost, name + "-late");
    new_request.deadline = milliseconds(1500);
    std::vector<std::pair<ChatRequest, TestResponse>> refused;
    BOOST_TEST(WaitFor(
        [&] {
          new_request.key = new_request.user = new_request.user + "+";
          refused.emplace_back(new_request, Send(SharedCluster(), new_request));
          return ErrorOf(refused.back().second).code == "owner_unreachable";
        },
        seconds(20)));
    BOOST_TEST((refused.back().second.total < seconds(1)));
    ChatRequest idempotent_request = KeyedRequest(kOtherEntryHost, "");
    idempotent_request.user = name + "-idempotent";
    idempotent_request.idempotent = true;
    TestResponse served = Send(SharedCluster(), idempotent_request);
    BOOST_TEST(IsExpectedAnswer(SharedCluster(), idempotent_request, served), Describe(served));
    ChatRequest resend = request;
    resend.deadline = milliseconds(1500);
    TestResponse during = Resend(resend, kOtherEntryHost);
    BOOST_TEST(!ErrorOf(during).code.empty(), Describe(during));
    if (freeze) {
      SharedCluster().host(kOwnerHost).process->Continue();
    } else {
      SharedCluster().Heal("este-a-[23]", kOwnerHost);
    }
    TestResponse answer = running.get();
    BOOST_TEST((IsExpectedAnswer(SharedCluster(), request, answer) ||
                ErrorOf(answer).run == "may_have_run"),
               Describe(answer));
    WaitOwnerServes(name);
    TestResponse repeated;
    BOOST_TEST(WaitFor(
                   [&] {
                     repeated = Resend(request, kOtherEntryHost);
                     return ErrorOf(repeated).code != "in_progress";
                   },
                   seconds(10)),
               Describe(repeated));
    BOOST_TEST((IsExpectedAnswer(SharedCluster(), request, repeated) ||
                ErrorOf(repeated).code == "outcome_unknown"),
               Describe(repeated));
    BOOST_TEST(CountRuns(SharedCluster(), request.user) == 1);
    for (const auto& [refused_request, response] : refused) {
      CheckNotRun(refused_request, response);
      BOOST_TEST(CountRuns(SharedCluster(), refused_request.user) <= 1);
    }
  }
}

}  // namespace ebonylift::test
