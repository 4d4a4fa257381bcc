#ifndef EBONYLIFT_TESTS_SUPPORT_CALLER_H_
#define EBONYLIFT_TESTS_SUPPORT_CALLER_H_

// Callers of a Cluster and what the daemons and backend servers noted about their requests.

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace ebonylift::test {

struct CallerRequest {
  std::string user;  // names the request in the records of the backend servers
  int tokens = 10;
  bool stream = false;
  std::string idempotency_key;              // empty: no header
  std::string model;                        // empty: the model of the cluster
  Duration timeout = seconds(10);           // of the caller
  std::function<bool()> on_data = nullptr;  // runs for each piece of the answer
};

struct CallerAnswer {
  TestResponse response;
  bool whole = false;  // the complete and right answer to this request
  std::string code;    // of a refusal; empty without one
  std::string run;     // `run` of a refusal
};

// The body of a chat request of the cluster's model.
std::string ChatBody(const Cluster& cluster, const CallerRequest& request);

// Sends the request of the cluster's first team to `address` (host:port).
CallerAnswer Ask(const Cluster& cluster, const std::string& address, const CallerRequest& request);

// One connection that is used for many requests and repeats none of them. After a response with
// `Connection: close`, or when the server has closed it, the next request opens a new one.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(std::string address);
  ~KeepAliveCaller();
  KeepAliveCaller(const KeepAliveCaller&) = delete;
  KeepAliveCaller& operator=(const KeepAliveCaller&) = delete;

  // A plain (not streamed) request to the address.
  CallerAnswer Ask(const Cluster& cluster, const CallerRequest& request);

  const std::string& address() const { return address_; }

 private:
  bool Connect(TestResponse* response);
  bool StillOpen() const;
  void Close();
  void ReadResponse(TestResponse* response);

  const std::string address_;
  int fd_ = -1;
};

// A caller that follows GET /v1/entry-hosts: it stays with a host until that refuses a connection,
// answers `draining` or asks to close, and then takes the next one of a new list.
class EntryCaller {
 public:
  // Asks `first` for its first list.
  EntryCaller(Cluster& cluster, const std::string& first);

  // The answer of the first host that took the request. `refused` is set when no host did within
  // the timeout of the request.
  CallerAnswer Ask(const CallerRequest& request);

 private:
  void Next();

  Cluster& cluster_;
  std::vector<std::string> hosts_;  // of the newest list, best first
  size_t at_ = 0;
};

// `threads` threads that call `turn(thread, n)` with n = 1, 2, ... until Stop().
class Load {
 public:
  Load(int threads, std::function<void(int thread, int n)> turn);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Waits for the turns in progress.
  void Stop();

 private:
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

// The events of one daemon from its log, oldest first.
std::vector<nlohmann::json> LoggedEvents(const HostHandle& host);

// Wall milliseconds of an event.
int64_t EventMillis(const nlohmann::json& event);

// The response to an operator's call on the direct address of the host.
TestResponse Operator(Cluster& cluster, const std::string& host, const std::string& method,
                      const std::string& path, const nlohmann::json& body = nullptr);

// GET /admin/v1/status; null when the host does not answer.
nlohmann::json StatusOf(Cluster& cluster, const std::string& host);

// Ids of the hosts in GET /v1/entry-hosts of `host`, best first.
std::vector<std::string> EntryHostsOf(Cluster& cluster, const std::string& host);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_CALLER_H_
