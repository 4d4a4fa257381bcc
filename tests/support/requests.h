#ifndef EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_
#define EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_

// Requests of one team to a Cluster and what the backend servers recorded of them. The functions
// are safe to call from several threads.

#include <cstdint>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "tests/support/cluster.h"
#include "tests/support/test_client.h"

namespace ebonylift::test {

// Regions este, centro and norte with one host and one engine each, no delays, and a team whose
// retry budget grows by one retry with each request.
ClusterSpec ThreeRegionsSpec();

struct Ask {
  std::string host;  // entry host; the caller's link is used
  std::string user;  // tags the request in the records
  std::string key;   // idempotency key; empty: none
  bool idempotent = true;
  bool stream = false;
  int tokens = 20;
  std::string prompt = "Sendero de la costa";
  Duration deadline = seconds(20);
  size_t team = 0;  // index in the cluster's teams
};

std::string AskBody(const Cluster& cluster, const Ask& ask);
TestCall AskCall(Cluster& cluster, const Ask& ask);
TestResponse Send(Cluster& cluster, const Ask& ask);
std::future<TestResponse> SendLater(Cluster& cluster, const Ask& ask);

// True when the answer is whole and the one that the request must get.
bool IsWholeAnswer(const Cluster& cluster, const Ask& ask, const TestResponse& response);

// The error of an answer; the fields are empty when it has none.
struct Refusal {
  std::string code;
  std::string run;
  int64_t retry_after_ms = 0;
};
Refusal RefusalOf(const TestResponse& response);

// For messages of failed checks.
std::string Describe(const TestResponse& response);

// Records of the requests of this user.
std::vector<nlohmann::json> RecordsOf(const Cluster& cluster, const std::string& user);

// How many runs backend servers started for the user.
int RunsOf(const Cluster& cluster, const std::string& user);

// Waits until `count` runs of the user have started.
bool WaitForRuns(const Cluster& cluster, const std::string& user, int count);

// Waits until connections through the proxy reach the engine again, after a restart or a
// refusal.
bool WaitServerReachable(Cluster& cluster, const std::string& id);

bool WaitAllReachable(Cluster& cluster);

// Waits until connections through the proxy to the engine are refused: the first one after a stop
// is reset, which looks like a crash.
bool WaitServerRefuses(Cluster& cluster, const std::string& id);

// Applies the faults to all backend servers.
void SetAllServerFaults(Cluster& cluster, const nlohmann::json& faults);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_
