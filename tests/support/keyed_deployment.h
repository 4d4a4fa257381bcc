#ifndef EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_

// The deployment of the tests of invariant I6 (a non-idempotent request with an idempotency key
// runs at most once), and checks of requests that are sent again with the same key. A test program
// includes this file after Boost.Test and declares BOOST_TEST_GLOBAL_FIXTURE(KeyedDeployment).

#include <csignal>
#include <cstdlib>
#include <future>
#include <string>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {

inline constexpr char kOwnerHost[] = "este-a-1";  // the only record host, so it owns all keys
inline constexpr char kEntryHost[] = "este-a-2";
inline constexpr char kOtherEntryHost[] = "este-a-3";
inline constexpr const char* kHosts[] = {kOwnerHost, kEntryHost, kOtherEntryHost};

// One region with three hosts and two engines. All cases of a program share it, so each case must
// undo the faults that it injects.
struct KeyedDeployment {
  KeyedDeployment() : cluster(Spec()) {
    // The daemons inherit this, so that a write beyond RLIMIT_FSIZE fails with an error, as on a
    // full disk, instead of killing the daemon.
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

inline Cluster& SharedCluster() { return KeyedDeployment::current->cluster; }

// A non-idempotent request with `key` both as idempotency key and as user.
inline ChatRequest KeyedRequest(const std::string& host, const std::string& key, int tokens = 5) {
  ChatRequest request;
  request.host = host;
  request.user = key;
  request.key = key;
  request.idempotent = false;
  request.tokens = tokens;
  return request;
}

inline std::future<TestResponse> SendAsync(const ChatRequest& request) {
  return SendAsync(SharedCluster(), request);
}

inline TestResponse Resend(ChatRequest request, const std::string& host) {
  request.host = host;
  return Send(SharedCluster(), request);
}

// Sends the request again through each host, and checks that each answers with the error `code` and
// the run state may_have_run.
inline void CheckResendsRefused(const ChatRequest& request, const std::string& code) {
  for (const char* host : kHosts) {
    TestResponse response = Resend(request, host);
    BOOST_TEST(ErrorOf(response).code == code, host << ": " << Describe(response));
    BOOST_TEST(ErrorOf(response).run == "may_have_run");
  }
}

// Sends the request again through each host, and checks that each replays the stored answer `body`.
inline void CheckReplays(const ChatRequest& request, const std::string& body) {
  for (const char* host : kHosts) {
    TestResponse response = Resend(request, host);
    BOOST_TEST(response.body == body, host << ": " << Describe(response));
    BOOST_TEST(response.Header("x-ebonylift-replayed") == "true");
    BOOST_TEST(std::atoll(response.Header("x-ebonylift-key-expires-ms").c_str()) > 0);
  }
}

// Waits until the owner serves new keys again and every host knows it: until a request with a new
// key gets its answer through each host.
inline void WaitOwnerServes(const std::string& prefix) {
  int attempt = 0;
  for (const char* host : kHosts) {
    BOOST_REQUIRE(WaitFor(
        [&] {
          ChatRequest request =
              KeyedRequest(host, prefix + "-served-" + std::to_string(++attempt), 1);
          return IsExpectedAnswer(SharedCluster(), request, Send(SharedCluster(), request));
        },
        seconds(20)));
  }
}

// If the response says not_run, checks that no backend server has a record of a run for that user.
inline void CheckNotRun(const ChatRequest& request, const TestResponse& response) {
  if (ErrorOf(response).run != "not_run") return;
  BOOST_TEST(CountRuns(SharedCluster(), request.user) == 0,
             request.user << ": " << Describe(response));
}

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_KEYED_DEPLOYMENT_H_
