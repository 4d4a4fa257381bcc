#ifndef EBONYLIFT_TESTS_SUPPORT_CALLER_H_
#define EBONYLIFT_TESTS_SUPPORT_CALLER_H_

// Clients that send requests to a Cluster, a load generator, and helpers that read a daemon's event
// log, status and entry-host list.

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace ebonylift::test {

struct CallerRequest {
  std::string user;  // field `user` of the body; identifies the request in the servers' run records
  int tokens = 10;
  bool stream = false;
  std::string idempotency_key;              // empty: no Idempotency-Key header
  std::string model;                        // empty: ClusterSpec::model
  Duration timeout = seconds(10);           // client-side limit for the whole call
  std::function<bool()> on_data = nullptr;  // called for each received part of the body; false
                                            // ends the call
};

struct CallerAnswer {
  TestResponse response;
  bool as_expected = false;  // status 200, complete, and exactly the text expected for this request
  std::string code;          // `error.code` of the body; empty when it has no error
  std::string run;           // `error.run` of the body
};

// The JSON body of a chat completion request.
std::string ChatBody(const Cluster& cluster, const CallerRequest& request);

// Sends the request to `address` (host:port) on a new connection, with the key of the cluster's
// first team.
CallerAnswer SendRequest(const Cluster& cluster, const std::string& address,
                         const CallerRequest& request);

// A client that sends its requests over one keep-alive connection and never retries. After a
// response with `Connection: close`, or when the server has closed the connection, the next request
// opens a new one.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(std::string address);
  ~KeepAliveCaller();
  KeepAliveCaller(const KeepAliveCaller&) = delete;
  KeepAliveCaller& operator=(const KeepAliveCaller&) = delete;

  // Sends a request that must not be streamed and reads the response.
  CallerAnswer SendRequest(const Cluster& cluster, const CallerRequest& request);

  const std::string& address() const { return address_; }

 private:
  bool Connect(TestResponse* response);
  bool IsOpen() const;
  void Close();
  void ReadResponse(TestResponse* response);

  const std::string address_;
  int fd_ = -1;
};

// A client that chooses its host from GET /v1/entry-hosts. It keeps using one host until that host
// refuses a connection, answers `draining` or sends `Connection: close`; then it fetches a new
// list, starting with the next host of the old one, and uses the first host of the new list.
class EntryHostClient {
 public:
  // Fetches the first list from the host `first`.
  EntryHostClient(Cluster& cluster, const std::string& first);

  // Sends the request to one host after another until one accepts it, and returns that answer. If
  // none does within the timeout of the request, returns the last one, with `response.refused` set
  // or the code `draining`.
  CallerAnswer SendRequest(const CallerRequest& request);

 private:
  void AdvanceHost();

  Cluster& cluster_;
  std::vector<std::string> hosts_;  // the newest list, most preferred first
  size_t host_index_ = 0;
};

// Each of `threads` threads calls `run_iteration(thread, n)` with n = 1, 2, ... until Stop().
class LoadGenerator {
 public:
  LoadGenerator(int threads, std::function<void(int thread, int n)> run_iteration);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Ends the threads and waits for the iterations in progress.
  void Stop();

 private:
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

// The events that the daemon wrote to its log file, oldest first.
std::vector<nlohmann::json> LoggedEvents(const HostHandle& host);

// Wall-clock time of an event in milliseconds, from its hybrid logical clock stamp `hlc`.
int64_t EventWallMillis(const nlohmann::json& event);

// Calls /admin/v1/<path> with the operator token, on the host's own address (not through the
// proxy).
TestResponse CallAdmin(Cluster& cluster, const std::string& host, const std::string& method,
                       const std::string& path, const nlohmann::json& body = nullptr);

// The body of GET /admin/v1/status; null unless the host answers with status 200.
nlohmann::json StatusOf(Cluster& cluster, const std::string& host);

// Ids of the hosts in GET /v1/entry-hosts of `host`, most preferred first; empty on failure.
std::vector<std::string> EntryHostsOf(Cluster& cluster, const std::string& host);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_CALLER_H_
