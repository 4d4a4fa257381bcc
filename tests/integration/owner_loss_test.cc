#define BOOST_TEST_MODULE owner_loss
#include <sys/resource.h>

#include <boost/test/included/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "tests/support/keyed_deployment.h"

// I6 when the owner of the key is killed, frozen or cut off; see at_most_once_test.cc.

namespace ebonylift::test {

BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment);

// Guards against an owner that forgets a claim: it is killed between claim and answer, and after
// the answer, and restarted on its disk.
BOOST_AUTO_TEST_CASE(OwnerIsKilledAndRestarted) {
  Ask done = Keyed(kEntry, "done-before-kill");
  TestResponse first = Send(Shared(), done);
  BOOST_REQUIRE_MESSAGE(IsWholeAnswer(Shared(), done, first), Describe(first));
  Ask ask = Keyed(kEntry, "claimed-before-kill", 200);
  std::future<TestResponse> through_entry = SendLater(ask);
  BOOST_REQUIRE(WaitForRuns(Shared(), ask.user, 1));
  Shared().KillHost(kOwner);
  TestResponse lost = through_entry.get();
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
  Ask idempotent = Keyed(kOtherEntry, "");
  idempotent.user = "owner-down-idempotent";
  idempotent.idempotent = true;
  TestResponse served = Send(Shared(), idempotent);
  BOOST_TEST(IsWholeAnswer(Shared(), idempotent, served), Describe(served));

  Shared().RestartHost(kOwner);
  WaitOwnerServes("killed");
  CheckNotRun(refused, response);
  CheckResends(ask, "outcome_unknown");
  CheckReplays(done, first.body);
  BOOST_TEST(RunsOf(Shared(), ask.user) == 1);
  BOOST_TEST(RunsOf(Shared(), done.user) == 1);
}

// Guards against a dispatch before the claim is on disk, and against a failed disk that stops
// idempotent work: every write of the owner to a file fails.
BOOST_AUTO_TEST_CASE(DiskOfTheOwnerFails) {
  Process& owner = *Shared().host(kOwner).process;
  rlimit before{};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, nullptr, &before) == 0);
  rlimit none{0, before.rlim_max};
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &none, nullptr) == 0);
  for (const char* host : kHosts) {
    Ask ask = Keyed(host, std::string("disk-") + host);
    TestResponse response = Send(Shared(), ask);
    BOOST_TEST(RefusalOf(response).code == "storage_failed", Describe(response));
    BOOST_TEST(RefusalOf(response).run == "not_run");
    BOOST_TEST(RefusalOf(response).retry_after_ms > 0);
    BOOST_TEST(RunsOf(Shared(), ask.user) == 0, ask.user);
    Ask idempotent = Keyed(host, "");
    idempotent.idempotent = true;
    TestResponse served = Send(Shared(), idempotent);
    BOOST_TEST(IsWholeAnswer(Shared(), idempotent, served), Describe(served));
  }
  BOOST_REQUIRE(prlimit(owner.pid(), RLIMIT_FSIZE, &before, nullptr) == 0);
  Shared().RestartHost(kOwner);
  WaitOwnerServes("disk");
}

// Guards against a second run and a false not_run around an owner that is frozen in the middle of
// a run, and around one whose incoming link loses everything.
BOOST_AUTO_TEST_CASE(OwnerIsFrozenOrCutOneWay) {
  for (bool freeze : {true, false}) {
    std::string name = freeze ? "frozen" : "cut";
    Ask ask = Keyed(kEntry, name, 100);
    std::future<TestResponse> running = SendLater(ask);
    BOOST_REQUIRE(WaitForRuns(Shared(), ask.user, 1));
    if (freeze) {
      Shared().host(kOwner).process->Stop();
    } else {
      Shared().CutOneWay("este-a-[23]", kOwner);
    }
    Ask late = Keyed(kOtherEntry, name + "-late");
    late.deadline = milliseconds(1500);
    std::vector<std::pair<Ask, TestResponse>> refused;
    BOOST_TEST(WaitFor(
        [&] {
          late.key = late.user = late.user + "+";
          refused.emplace_back(late, Send(Shared(), late));
          return RefusalOf(refused.back().second).code == "owner_unreachable";
        },
        seconds(20)));
    BOOST_TEST((refused.back().second.total < seconds(1)));
    Ask idempotent = Keyed(kOtherEntry, "");
    idempotent.user = name + "-idempotent";
    idempotent.idempotent = true;
    TestResponse served = Send(Shared(), idempotent);
    BOOST_TEST(IsWholeAnswer(Shared(), idempotent, served), Describe(served));
    Ask same = ask;
    same.deadline = milliseconds(1500);
    TestResponse during = Resend(same, kOtherEntry);
    BOOST_TEST(!RefusalOf(during).code.empty(), Describe(during));
    if (freeze) {
      Shared().host(kOwner).process->Continue();
    } else {
      Shared().Heal("este-a-[23]", kOwner);
    }
    TestResponse answer = running.get();
    BOOST_TEST((IsWholeAnswer(Shared(), ask, answer) || RefusalOf(answer).run == "may_have_run"),
               Describe(answer));
    WaitOwnerServes(name);
    TestResponse again;
    BOOST_TEST(WaitFor(
                   [&] {
                     again = Resend(ask, kOtherEntry);
                     return RefusalOf(again).code != "in_progress";
                   },
                   seconds(10)),
               Describe(again));
    BOOST_TEST((IsWholeAnswer(Shared(), ask, again) || RefusalOf(again).code == "outcome_unknown"),
               Describe(again));
    BOOST_TEST(RunsOf(Shared(), ask.user) == 1);
    for (const auto& [late_ask, response] : refused) {
      CheckNotRun(late_ask, response);
      BOOST_TEST(RunsOf(Shared(), late_ask.user) <= 1);
    }
  }
}

}  // namespace ebonylift::test
