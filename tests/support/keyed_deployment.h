#ifndef EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_

// The deployment of the tests of I6, and checks of resends in it. Included after Boost.Test by a
// program that declares BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment).

#include <csignal>
#include <cstdlib>
#include <future>
#include <string>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {

inline constexpr char kOwner[] = "este-a-1";  // the only record host
inline constexpr char kEntry[] = "este-a-2";
inline constexpr char kOtherEntry[] = "este-a-3";
inline constexpr const char* kHosts[] = {kOwner, kEntry, kOtherEntry};

// One region, three hosts, two engines; shared by the cases, each of which heals what it breaks.
struct KeyedDeployment {
  KeyedDeployment() : cluster(Spec()) {
    // Inherited by the daemons, so that a write over RLIMIT_FSIZE fails as on a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
    cluster.Start(seconds(60));
    current = this;
  }
  ~KeyedDeployment() { current = nullptr; }

  static ClusterSpec Spec() {
    ClusterSpec spec = SmallSpec(3, 2);
    spec.engine_arguments = {"--decode_us_per_token=20000"};
    return spec;
  }

  Cluster cluster;
  inline static KeyedDeployment* current = nullptr;
};

inline Cluster& Shared() { return KeyedDeployment::current->cluster; }

// A request whose key is its tag.
inline Ask Keyed(const std::string& host, const std::string& key, int tokens = 5) {
  Ask ask;
  ask.host = host;
  ask.user = key;
  ask.key = key;
  ask.idempotent = false;
  ask.tokens = tokens;
  return ask;
}

inline std::future<TestResponse> SendLater(const Ask& ask) { return SendLater(Shared(), ask); }

inline TestResponse Resend(Ask ask, const std::string& host) {
  ask.host = host;
  return Send(Shared(), ask);
}

// The answer that any resend of a finished or lost key must get through each host.
inline void CheckResends(const Ask& ask, const std::string& code) {
  for (const char* host : kHosts) {
    TestResponse again = Resend(ask, host);
    BOOST_TEST(RefusalOf(again).code == code, host << ": " << Describe(again));
    BOOST_TEST(RefusalOf(again).run == "may_have_run");
  }
}

inline void CheckReplays(const Ask& ask, const std::string& body) {
  for (const char* host : kHosts) {
    TestResponse again = Resend(ask, host);
    BOOST_TEST(again.body == body, host << ": " << Describe(again));
    BOOST_TEST(again.Header("x-ebonylift-replayed") == "true");
    BOOST_TEST(std::atoll(again.Header("x-ebonylift-key-expires-ms").c_str()) > 0);
  }
}

// Entry hosts know that the owner serves again when a new key gets its answer.
inline void WaitOwnerServes(const std::string& prefix) {
  int number = 0;
  for (const char* host : kHosts) {
    BOOST_REQUIRE(WaitFor(
        [&] {
          Ask ask = Keyed(host, prefix + "-served-" + std::to_string(++number), 1);
          return IsWholeAnswer(Shared(), ask, Send(Shared(), ask));
        },
        seconds(20)));
  }
}

// Every answer that said not_run must be true: no record of that user shows a run.
inline void CheckNotRun(const Ask& ask, const TestResponse& response) {
  if (RefusalOf(response).run != "not_run") return;
  BOOST_TEST(RunsOf(Shared(), ask.user) == 0, ask.user << ": " << Describe(response));
}

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_
