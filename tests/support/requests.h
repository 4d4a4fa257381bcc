#ifndef EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_
#define EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_

// Chat requests to a Cluster, checks of their answers, and the records that the backend servers
// keep of the requests that they ran. The functions may be called from several threads at once.

#include <cstdint>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "tests/support/cluster.h"
#include "tests/support/test_client.h"

namespace ebonylift::test {

// Regions este, centro and norte with one host and one engine each, no network delays, and a team
// whose retry budget grows by one retry with each request (retry_percent 100).
ClusterSpec ThreeRegionsSpec();

struct ChatRequest {
  std::string host;  // id of the entry host, reached through its client link of the proxy
  std::string user;  // field `user` of the body; identifies the request in the run records
  std::string key;   // idempotency key; empty: none
  bool idempotent = true;
  bool stream = false;
  int tokens = 20;
  std::string prompt = "Sendero de la costa";
  Duration deadline = seconds(20);
  size_t team = 0;  // index in ClusterSpec::teams
};

// The JSON body, the HTTP call, and sending it and waiting for the response; SendAsync() sends on a
// thread of its own. The client waits 5 s longer than the deadline of the request.
std::string ChatRequestBody(const Cluster& cluster, const ChatRequest& request);
TestCall ChatRequestCall(Cluster& cluster, const ChatRequest& request);
TestResponse Send(Cluster& cluster, const ChatRequest& request);
std::future<TestResponse> SendAsync(Cluster& cluster, const ChatRequest& request);

// True when the response is complete, has status 200 and holds exactly the text expected for the
// request.
bool IsExpectedAnswer(const Cluster& cluster, const ChatRequest& request,
                      const TestResponse& response);

// The `error` object of a plain or streamed response; the fields are empty when it has none.
struct ErrorBody {
  std::string code;
  std::string run;
  int64_t retry_after_ms = 0;
};
ErrorBody ErrorOf(const TestResponse& response);

// Status, duration, error and start of the body, for the messages of failed checks.
std::string Describe(const TestResponse& response);

// The run records of all backend servers for the requests of this user.
std::vector<nlohmann::json> RecordsOf(const Cluster& cluster, const std::string& user);

// How many of the user's requests the backend servers started to run; each retry that ran counts.
int CountRuns(const Cluster& cluster, const std::string& user);

// Waits until `count` runs of the user's requests have started; false if that takes over 10 s.
bool WaitForRuns(const Cluster& cluster, const std::string& user, int count);

// Waits until connections through the proxy reach the engine again, after it was restarted or made
// to refuse connections. Returns true at once for a plain service.
bool WaitServerReachable(Cluster& cluster, const std::string& id);

// The same for all engines.
bool WaitAllReachable(Cluster& cluster);

// Waits until connections through the proxy to the engine are refused. The proxy resets the first
// connection after the engine stops listening, which looks like a crash of the engine. Returns true
// at once for a plain service.
bool WaitServerRefuses(Cluster& cluster, const std::string& id);

// Injects the faults into all backend servers.
void SetAllServerFaults(Cluster& cluster, const nlohmann::json& faults);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_REQUESTS_H_
