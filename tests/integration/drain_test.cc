#define BOOST_TEST_MODULE drain
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/caller.h"
#include "tests/support/cluster.h"
#include "tests/support/wait_for.h"

// Draining (invariant I8): a planned stop of a host interrupts no request, and the host leaves the
// entry lists before it stops accepting connections.

namespace ebonylift::test {
namespace {

using nlohmann::json;

// The six hosts of ThreeRegionWanSpec() with fewer engines and no plain services.
ClusterSpec DrainSpec() {
  ClusterSpec spec = ThreeRegionWanSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.engines = 3;
    domain.services = 0;
  }
  return spec;
}

// Lets callers connect without the proxy, which resets the first connection after a process has
// stopped listening instead of refusing it.
void ReachHostsDirectly(Cluster& cluster) {
  for (const std::string& id : cluster.HostIds()) {
    HostHandle& host = cluster.host(id);
    host.arguments.push_back("--advertise_address=" + host.http_address);
    host.client_address = host.http_address;
  }
}

// Collects answers that no caller may get during a planned stop.
class UnexpectedAnswers {
 public:
  void Add(const std::string& caller, const CallerAnswer& answer) {
    std::lock_guard<std::mutex> lock(mutex_);
    unexpected_answers_.push_back(caller + ": status " + std::to_string(answer.response.status) +
                                  " " + answer.code + " " + answer.response.error);
  }
  void Check() {
    std::lock_guard<std::mutex> lock(mutex_);
    BOOST_TEST(unexpected_answers_.empty(),
               unexpected_answers_.size()
                   << " unexpected answers, the first: "
                   << (unexpected_answers_.empty() ? "" : unexpected_answers_.front()));
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> unexpected_answers_;
};

std::string RequestTag(const std::string& kind, int thread, int n) {
  return kind + "/" + std::to_string(thread) + "/" + std::to_string(n);
}

bool IsListed(Cluster& cluster, const std::string& at, const std::string& host) {
  std::vector<std::string> hosts = EntryHostsOf(cluster, at);
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool IsListedEverywhere(Cluster& cluster, const std::string& host) {
  std::vector<std::string> ids = cluster.HostIds();
  return std::all_of(ids.begin(), ids.end(),
                     [&](const std::string& at) { return IsListed(cluster, at, host); });
}

// Keeps one host under load. Threads 0 to 3 reuse their connections, 4 to 7 request streams, 8 to
// 10 send plain requests and 11 submits jobs. A refused connection is allowed, because the host
// accepted no request; every accepted request must be answered completely.
class HostLoad {
 public:
  HostLoad(Cluster& cluster, const std::string& host)
      : cluster_(cluster),
        address_(cluster.host(host).http_address),
        load_(12, [this](int thread, int n) { SendOne(thread, n); }) {}

  size_t answered() const { return answered_; }
  size_t refused() const { return refused_; }
  void Stop() { load_.Stop(); }
  UnexpectedAnswers& unexpected_answers() { return unexpected_answers_; }
  std::vector<std::string> jobs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return jobs_;
  }

 private:
  void SendOne(int thread, int n) {
    if (thread < 4) {
      CountAnswer(thread, SendOnOpenConnection(thread, n));
    } else if (thread < 11) {
      CallerRequest request;
      request.user = RequestTag(thread < 8 ? "stream" : "plain", thread, n);
      request.tokens = thread < 8 ? 400 : 10;
      request.stream = thread < 8;
      CountAnswer(thread, SendRequest(cluster_, address_, request));
    } else {
      SubmitJob(n);
    }
  }

  CallerAnswer SendOnOpenConnection(int thread, int n) {
    auto& caller = keep_alive_callers_[thread];
    if (!caller) caller = std::make_unique<KeepAliveCaller>(address_);
    CallerRequest request;
    request.user = RequestTag("keep", thread, n);
    return caller->SendRequest(cluster_, request);
  }

  void SubmitJob(int n) {
    CallerRequest request;
    request.user = RequestTag("job", 0, n);
    json job = {{"path", "/v1/chat/completions"},
                {"body", json::parse(ChatBody(cluster_, request))}};
    CallerAnswer answer;
    answer.response = PostJson("http://" + address_ + "/v1/jobs", job.dump(),
                               {{"authorization", "Bearer " + cluster_.spec().teams.front().key}});
    answer.as_expected = answer.response.status == 202;
    if (answer.as_expected) {
      std::lock_guard<std::mutex> lock(mutex_);
      jobs_.push_back(json::parse(answer.response.body)["id"]);
    }
    CountAnswer(11, answer);
  }

  void CountAnswer(int thread, const CallerAnswer& answer) {
    if (answer.as_expected) {
      ++answered_;
    } else if (answer.response.refused) {
      ++refused_;
      std::this_thread::sleep_for(milliseconds(20));
    } else {
      unexpected_answers_.Add("caller " + std::to_string(thread), answer);
    }
  }

  Cluster& cluster_;
  const std::string address_;
  UnexpectedAnswers unexpected_answers_;
  std::mutex mutex_;
  std::vector<std::string> jobs_;
  std::atomic<size_t> answered_{0};
  std::atomic<size_t> refused_{0};
  std::unique_ptr<KeepAliveCaller> keep_alive_callers_[4];
  LoadGenerator load_;
};

bool JobEnded(Cluster& cluster, const std::string& job) {
  TestCall call;
  call.url = "http://" + cluster.host("este-a-1").http_address + "/v1/jobs/" + job + "/result";
  call.headers = {{"authorization", "Bearer " + cluster.spec().teams.front().key}};
  return Call(call).status == 200;
}

// Calls `drain` to drain `host` under load and checks what its callers and the other hosts see.
void CheckDrain(Cluster& cluster, const std::string& host, const std::function<void()>& drain) {
  HostLoad load(cluster, host);
  BOOST_REQUIRE(WaitFor([&] { return load.answered() > 60; }, seconds(20)));
  BOOST_TEST(IsListedEverywhere(cluster, host));
  drain();
  // Every other host removes the draining host from its entry list while that host still accepts
  // connections.
  for (const std::string& at : cluster.HostIds()) {
    if (at == host) continue;
    BOOST_TEST(WaitFor([&] { return !IsListed(cluster, at, host); }, seconds(2)), at);
  }
  BOOST_TEST(load.refused() == 0U);
  std::optional<int> code = cluster.host(host).process->Wait(seconds(20));
  BOOST_TEST((code == 0), host << " ended with " << code.value_or(-99));
  load.Stop();
  BOOST_TEST(load.refused() > 0U);
  load.unexpected_answers().Check();

  cluster.RestartHost(host);
  BOOST_TEST(WaitFor([&] { return IsListedEverywhere(cluster, host); }, seconds(15)));
  std::vector<std::string> jobs = load.jobs();
  BOOST_TEST(!jobs.empty());
  for (const std::string& job : jobs) {
    BOOST_TEST(WaitFor([&] { return JobEnded(cluster, job); }, seconds(20)), job);
  }
}

}  // namespace

// Guards against a drain, by signal or by command, that closes the listening socket, a connection
// or a stream too early, or that loses an accepted job. este-a-1 is a control host and a record
// host; este-a-2 has no disk.
BOOST_AUTO_TEST_CASE(DrainBySignalOrCommandInterruptsNoRequest) {
  Cluster cluster(DrainSpec());
  ReachHostsDirectly(cluster);
  cluster.Start(seconds(40));
  CheckDrain(cluster, "este-a-2", [&] { cluster.host("este-a-2").process->Terminate(); });
  CheckDrain(cluster, "este-a-1", [&] {
    ProcessOptions options;
    options.binary = DaemonBinary();
    options.arguments = {"drain", "--server=" + cluster.host("este-a-1").http_address,
                         "--token=" + cluster.operator_token()};
    options.log_file = cluster.path() + "/cli.log";
    BOOST_TEST((Process(options).Wait(seconds(10)) == 0));
  });
}

// Guards against a drain that waits only for requests to backend servers: a caller with an idle
// connection and an operator's open watch must get complete answers after the host has stopped
// listening.
BOOST_AUTO_TEST_CASE(IdleConnectionAndOperatorWatchAreAnsweredDuringDrain) {
  Cluster cluster(DrainSpec());
  ReachHostsDirectly(cluster);
  cluster.Start(seconds(40));
  const std::string host = "este-a-2";
  const std::string address = cluster.host(host).http_address;
  KeepAliveCaller caller(address);
  CallerRequest request;
  request.user = "idle/1";
  BOOST_TEST(caller.SendRequest(cluster, request).as_expected);
  TestResponse watch;
  // A host without a disk may still be fetching the configuration changes that Start() made, and
  // any of those would end the watch early.
  uint64_t revision = StatusOf(cluster, "centro-a-1")["revision"];
  BOOST_TEST(WaitFor([&] { return StatusOf(cluster, host)["revision"] == revision; }, seconds(7)));
  std::thread watcher([&] {
    watch = CallAdmin(cluster, host, "GET", "config/watch?from=" + std::to_string(revision));
  });
  cluster.host(host).process->Terminate();
  auto refuses = [&] { return Get("http://" + address + "/healthz").refused; };
  BOOST_TEST(WaitFor(refuses, seconds(5)));
  request.user = "idle/2";
  CallerAnswer answer = caller.SendRequest(cluster, request);
  BOOST_TEST(answer.as_expected, answer.response.error);
  BOOST_TEST(answer.response.Header("connection") == "close");
  cluster.PutConfig("/teams/registros/limits", {{"requests_per_s", 5000}}, 0, "centro-a-1");
  watcher.join();
  BOOST_TEST(watch.complete, watch.error);
  BOOST_TEST(watch.body.find("/teams/registros/limits") != std::string::npos);
  BOOST_TEST((cluster.host(host).process->Wait(seconds(20)) == 0));
}

// Guards against a drain that is announced too late for callers that follow the entry list, and
// against a restarted host that accepts requests before it can serve them.
BOOST_AUTO_TEST_CASE(RollingRestartInterruptsNoRequest) {
  Cluster cluster(DrainSpec());
  ReachHostsDirectly(cluster);
  cluster.Start(seconds(40));
  UnexpectedAnswers unexpected_answers;
  std::atomic<int> complete_answers{0};
  std::vector<std::string> hosts = cluster.HostIds();
  std::vector<std::unique_ptr<EntryHostClient>> callers(12);
  for (size_t i = 0; i < callers.size(); ++i) {
    callers[i] = std::make_unique<EntryHostClient>(cluster, hosts[i % hosts.size()]);
  }
  LoadGenerator load(static_cast<int>(callers.size()), [&](int thread, int n) {
    CallerRequest request;
    request.user = RequestTag("rolling", thread, n);
    request.stream = thread % 2 == 0;
    request.tokens = request.stream ? 200 : 10;
    request.user = "idle/2";
    CallerAnswer answer = callers[static_cast<size_t>(thread)]->SendRequest(request);
    if (answer.as_expected) {
      ++complete_answers;
    } else {
      unexpected_answers.Add(request.user, answer);
    }
  });
  for (const std::string& host : hosts) {
    int before = complete_answers;
    cluster.host(host).process->Terminate();
    std::optional<int> code = cluster.host(host).process->Wait(seconds(20));
    BOOST_TEST((code == 0), host << " ended with " << code.value_or(-99));
    cluster.RestartHost(host);
    BOOST_TEST(WaitFor([&] { return IsListedEverywhere(cluster, host); }, seconds(15)), host);
    BOOST_TEST(complete_answers > before);
  }
  load.Stop();
  unexpected_answers.Check();
  BOOST_TEST_MESSAGE(complete_answers << " complete answers");
}

}  // namespace ebonylift::test
