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
  Ask answered_request = Keyed(kEntry, "done-before-kill");
  TestResponse first = Send(Shared(), answered_request);
  BOOST_REQUIRE_MESSAGE(IsWholeAnswer(Shared(), answered_request, first), Describe(first));
  Ask request = Keyed(kEntry, "claimed-before-kill", 200);
  std::future<TestResponse> running = SendLater(request);
  BOOST_REQUIRE(WaitForRuns(Shared(), request.user, 1));
  Shared().KillHost(kOwner);
  TestResponse lost = running.get();
  BOOST_TEST(RefusalOf(lost).code == "outcome_unknown", Describe(lost));
  BOOST_TEST((lost.total < seconds(10)));

  Ask refused = Keyed(kOtherEntry, "owner-down");
  TestResponse response;
  BOOST_TEST(WaitFor(
                 [&] {
                   refused.key = refused.user = refused.user + "+";
                   response = Send(Shared(), refused);
                   return RefusalOf(response).code == "owner_unreachable";
                 },
                 seconds(10)),
             Describe(response));
  BOOST_TEST(RefusalOf(response).run == "not_run");
  BOOST_TEST(RefusalOf(response).retry_after_ms > 0);
  BOOST_TEST(!response.Header("retry-after").empty());
  BOOST_TEST((response.total < seconds(3)));
  Ask idempotent_request = Keyed(kOtherEntry, "");
  idempotent_request.user = "owner-down-idempotent";
  idempotent_request.idempotent = true;
  TestResponse served = Send(Shared(), idempotent_request);
  BOOST_TEST(IsWholeAnswer(Shared(), idempotent_request, served), Describe(served));

  Shared().RestartHost(kOwner);
  WaitOwnerServes("killed");
  CheckNotRun(refused, response);
  CheckResends(request, "outcome_unknown");
  CheckReplays(answered_request, first.body);
  BOOST_TEST(RunsOf(Shared(), request.user) == 1);
  BOOST_TEST(RunsOf(Shared(), answered_request.user) == 1);
}

// Guards against work that is dispatched before its claim is on disk, and against a failed disk
// that also stops idempotent work. A file size limit of 0 makes every file write of the owner fail.
BOOST_AUTO_TEST_CASE(OwnerDiskFails) {
  Process& owner = *Shared().host(kOwner).process;
  rlimit original_limit{};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, nullptr, &original_limit) == 0);
  rlimit no_writes{0, original_limit.rlim_max};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &no_writes, nullptr) == 0);
  for (const char* host : kHosts) {
    Ask request = Keyed(host, std::string("disk-") + host);
    TestResponse response = Send(Shared(), request);
    BOOST_TEST(RefusalOf(response).code == "storage_failed", Describe(response));
    BOOST_TEST(RefusalOf(response).run == "not_run");
    BOOST_TEST(RefusalOf(response).retry_after_ms > 0);
    BOOST_TEST(RunsOf(Shared(), request.user) == 0, request.user);
    Ask idempotent_request = Keyed(host, "");
    idempotent_request.idempotent = true;
    TestResponse served = Send(Shared(), idempotent_request);
    BOOST_TEST(IsWholeAnswer(Shared(), idempotent_request, served), Describe(served));
  }
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &original_limit, nullptr) == 0);
  Shared().RestartHost(kOwner);
  WaitOwnerServes("disk");
}

// Guards against a second run and a false not_run when the owner is frozen during a run, and when
// the owner receives nothing that the other hosts send.
BOOST_AUTO_TEST_CASE(OwnerIsFrozenOrReceivesNothing) {
  for (bool freeze : {true, false}) {
    std::string name = freeze ? "frozen" : "cut";
    Ask request = Keyed(kEntry, name, 100);
    std::future<TestResponse> running = SendLater(request);
    BOOST_REQUIRE(WaitForRuns(Shared(), request.user, 1));
    if (freeze) {
      Shared().host(kOwner).process->Stop();
    } else {
      Shared().CutOneWay("este-a-[23]", kOwner);
    }
    Ask new_request = Keyed(kOtherEntry, name + "-late");
    new_request.deadline = milliseconds(1500);
    std::vector<std::pair<Ask, TestResponse>> refused;
    BOOST_TEST(WaitFor(
        [&] {
          new_request.key = new_request.user = new_request.user + "+";
          refused.emplace_back(new_request, Send(Shared(), new_request));
          return RefusalOf(refused.back().second).code == "owner_unreachable";
        },
        seconds(20)));
    BOOST_TEST((refused.back().second.total < seconds(1)));
    Ask idempotent_request = Keyed(kOtherEntry, "");
    idempotent_request.user = name + "-idempotent";
    idempotent_request.idempotent = true;
    TestResponse served = Send(Shared(), idempotent_request);
    BOOST_TEST(IsWholeAnswer(Shared(), idempotent_request, served), Describe(served));
    Ask resend = request;
    resend.deadline = milliseconds(1500);
    TestResponse during = Resend(resend, kOtherEntry);
    BOOST_TEST(!RefusalOf(during).code.empty(), Describe(during));
    if (freeze) {
      Shared().host(kOwner).process->Continue();
    } else {
      Shared().Heal("este-a-[23]", kOwner);
    }
    TestResponse answer = running.get();
    BOOST_TEST(
        (IsWholeAnswer(Shared(), request, answer) || RefusalOf(answer).run == "may_have_run"),
        Describe(answer));
    WaitOwnerServes(name);
    TestResponse repeated;
    BOOST_TEST(WaitFor(
                   [&] {
                     repeated = Resend(request, kOtherEntry);
                     return RefusalOf(repeated).code != "in_progress";
                   },
                   seconds(10)),
               Describe(repeated));
    BOOST_TEST((IsWholeAnswer(Shared(), request, repeated) ||
                RefusalOf(repeated).code == "outcome_unknown"),
               Describe(repeated));
    BOOST_TEST(RunsOf(Shared(), request.user) == 1);
    for (const auto& [refused_request, response] : refused) {
      CheckNotRun(refused_request, response);
      BOOST_TEST(RunsOf(Shared(), refused_request.user) <= 1);
    }
  }
}

}  // namespace ebonylift::test
