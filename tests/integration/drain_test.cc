#define BOOST_TEST_MODULE drain
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/caller.h"
#include "tests/support/cluster.h"
#include "tests/support/wait_for.h"

// I8: a planned stop interrupts no request and the host leaves the entry lists first.

namespace ebonylift::test {
namespace {

using nlohmann::json;

// Rocha's six hosts with fewer engines. Callers connect without the proxy, which resets the first
// connection after a process has stopped listening.
ClusterSpec DrainSpec() {
  ClusterSpec spec = RochaSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.engines = 3;
    domain.services = 0;
  }
  return spec;
}

void ReachHostsDirectly(Cluster& cluster) {
  for (const std::string& id : cluster.HostIds()) {
    HostHandle& host = cluster.host(id);
    host.arguments.push_back("--advertise_address=" + host.http_address);
    host.client_address = host.http_address;
  }
}

// What callers saw that no planned stop may cause.
class Faults {
 public:
  void Add(const std::string& caller, const CallerAnswer& answer) {
    std::lock_guard<std::mutex> lock(mutex_);
    faults_.push_back(caller + ": status " + std::to_string(answer.response.status) + " " +
                      answer.code + " " + answer.response.error);
  }
  void Check() {
    std::lock_guard<std::mutex> lock(mutex_);
    BOOST_TEST(faults_.empty(), faults_.size() << " faults, the first: "
                                               << (faults_.empty() ? "" : faults_.front()));
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> faults_;
};

std::string User(const std::string& kind, int thread, int n) {
  return kind + "/" + std::to_string(thread) + "/" + std::to_string(n);
}

bool Listed(Cluster& cluster, const std::string& at, const std::string& host) {
  std::vector<std::string> hosts = EntryHostsOf(cluster, at);
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool ListedEverywhere(Cluster& cluster, const std::string& host) {
  std::vector<std::string> ids = cluster.HostIds();
  return std::all_of(ids.begin(), ids.end(),
                     [&](const std::string& at) { return Listed(cluster, at, host); });
}

// Calls that are refused at the connection were not taken; everything else must be answered whole.
class HostLoad {
 public:
  HostLoad(Cluster& cluster, const std::string& host)
      : cluster_(cluster),
        address_(cluster.host(host).http_address),
        load_(12, [this](int thread, int n) { Turn(thread, n); }) {}

  size_t answered() const { return answered_; }
  size_t refused() const { return refused_; }
  void Stop() { load_.Stop(); }
  Faults& faults() { return faults_; }
  std::vector<std::string> jobs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return jobs_;
  }

 private:
  void Turn(int thread, int n) {
    if (thread < 4) {
      Count(thread, KeepAlive(thread, n));
    } else if (thread < 11) {
      CallerRequest request;
      request.user = User(thread < 8 ? "stream" : "plain", thread, n);
      request.tokens = thread < 8 ? 400 : 10;
      request.stream = thread < 8;
      Count(thread, Ask(cluster_, address_, request));
    } else {
      SubmitJob(n);
    }
  }

  CallerAnswer KeepAlive(int thread, int n) {
    auto& caller = keep_alive_[thread];
    if (!caller) caller = std::make_unique<KeepAliveCaller>(address_);
    CallerRequest request;
    request.user = User("keep", thread, n);
    return caller->Ask(cluster_, request);
  }

  void SubmitJob(int n) {
    CallerRequest request;
    request.user = User("job", 0, n);
    json job = {{"path", "/v1/chat/completions"},
                {"body", json::parse(ChatBody(cluster_, request))}};
    CallerAnswer answer;
    answer.response = PostJson("http://" + address_ + "/v1/jobs", job.dump(),
                               {{"authorization", "Bearer " + cluster_.spec().teams.front().key}});
    answer.whole = answer.response.status == 202;
    if (answer.whole) {
      std::lock_guard<std::mutex> lock(mutex_);
      jobs_.push_back(json::parse(answer.response.body)["id"]);
    }
    Count(11, answer);
  }

  void Count(int thread, const CallerAnswer& answer) {
    if (answer.whole) {
      ++answered_;
    } else if (answer.response.refused) {
      ++refused_;
      std::this_thread::sleep_for(milliseconds(20));
    } else {
      faults_.Add("caller " + std::to_string(thread), answer);
    }
  }

  Cluster& cluster_;
  const std::string address_;
  Faults faults_;
  std::mutex mutex_;
  std::vector<std::string> jobs_;
  std::atomic<size_t> answered_{0};
  std::atomic<size_t> refused_{0};
  std::unique_ptr<KeepAliveCaller> keep_alive_[4];
  Load load_;
};

bool JobEnded(Cluster& cluster, const std::string& job) {
  TestCall call;
  call.url = "http://" + cluster.host("este-a-1").http_address + "/v1/jobs/" + job + "/result";
  call.headers = {{"authorization", "Bearer " + cluster.spec().teams.front().key}};
  return Call(call).status == 200;
}

// Drains `host` by `drain` under load and checks what its callers and the other hosts see.
void CheckDrain(Cluster& cluster, const std::string& host, const std::function<void()>& drain) {
  HostLoad load(cluster, host);
  BOOST_REQUIRE(WaitFor([&] { return load.answered() > 60; }, seconds(20)));
  BOOST_TEST(ListedEverywhere(cluster, host));
  drain();
  // Every other host drops the host from its list while the host still accepts connections.
  for (const std::string& at : cluster.HostIds()) {
    if (at == host) continue;
    BOOST_TEST(WaitFor([&] { return !Listed(cluster, at, host); }, seconds(2)), at);
  }
  BOOST_TEST(load.refused() == 0U);
  std::optional<int> code = cluster.host(host).process->Wait(seconds(20));
  BOOST_TEST((code == 0), host << " ended with " << code.value_or(-99));
  load.Stop();
  BOOST_TEST(load.refused() > 0U);
  load.faults().Check();

  cluster.RestartHost(host);
  BOOST_TEST(WaitFor([&] { return ListedEverywhere(cluster, host); }, seconds(15)));
  std::vector<std::string> jobs = load.jobs();
  BOOST_TEST(!jobs.empty());
  for (const std::string& job : jobs) {
    BOOST_TEST(WaitFor([&] { return JobEnded(cluster, job); }, seconds(20)), job);
  }
}

}  // namespace

// Guards against a stop that closes the listening socket, a connection or a stream too early, or
// that loses an accepted job. este-a-1 is a control and record host, este-a-2 has no disk.
BOOST_AUTO_TEST_CASE(SignalAndCommandDrainWithoutACutRequest) {
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

// Guards against a stop that counts only requests to backend servers: a caller with an idle
// connection and an operator's open call get whole answers after the host has stopped listening.
BOOST_AUTO_TEST_CASE(IdleConnectionAndOperatorCallAreAnswered) {
  Cluster cluster(DrainSpec());
  ReachHostsDirectly(cluster);
  cluster.Start(seconds(40));
  const std::string host = "este-a-2";
  const std::string address = cluster.host(host).http_address;
  KeepAliveCaller caller(address);
  CallerRequest request;
  request.user = "idle/1";
  BOOST_TEST(caller.Ask(cluster, request).whole);
  TestResponse watch;
  // A host without a disk may still be pulling the changes that Start() put; the watch would end
  // with one of those.
  uint64_t revision = StatusOf(cluster, "centro-a-1")["revision"];
  BOOST_TEST(WaitFor([&] { return StatusOf(cluster, host)["revision"] == revision; }, seconds(7)));
  std::thread watcher([&] {
    watch = Operator(cluster, host, "GET", "config/watch?from=" + std::to_string(revision));
  });
  cluster.host(host).process->Terminate();
  auto refuses = [&] { return Get("http://" + address + "/healthz").refused; };
  BOOST_TEST(WaitFor(refuses, seconds(5)));
  request.user = "idle/2";
  CallerAnswer answer = caller.Ask(cluster, request);
  BOOST_TEST(answer.whole, answer.response.error);
  BOOST_TEST(answer.response.Header("connection") == "close");
  cluster.PutConfig("/teams/registros/limits", {{"requests_per_s", 5000}}, 0, "centro-a-1");
  watcher.join();
  BOOST_TEST(watch.complete, watch.error);
  BOOST_TEST(watch.body.find("/teams/registros/limits") != std::string::npos);
  BOOST_TEST((cluster.host(host).process->Wait(seconds(20)) == 0));
}

// Guards against a stop that is announced too late for callers that follow the entry list, and
// against a host that takes requests before it can serve them after its restart.
BOOST_AUTO_TEST_CASE(RollingRestartCutsNoRequest) {
  Cluster cluster(DrainSpec());
  ReachHostsDirectly(cluster);
  cluster.Start(seconds(40));
  Faults faults;
  std::atomic<int> whole{0};
  std::vector<std::string> hosts = cluster.HostIds();
  std::vector<std::unique_ptr<EntryCaller>> callers(12);
  for (size_t i = 0; i < callers.size(); ++i) {
    callers[i] = std::make_unique<EntryCaller>(cluster, hosts[i % hosts.size()]);
  }
  Load load(static_cast<int>(callers.size()), [&](int thread, int n) {
    CallerRequest request;
    request.user = User("rolling", thread, n);
    request.stream = thread % 2 == 0;
    request.tokens = request.stream ? 200 : 10;
    request.user = "idle/2";
    CallerAnswer answer = callers[static_cast<size_t>(thread)]->Ask(request);
    if (answer.whole) {
      ++whole;
    } else {
      faults.Add(request.user, answer);
    }
  });
  for (const std::string& host : hosts) {
    int before = whole;
    cluster.host(host).process->Terminate();
    std::optional<int> code = cluster.host(host).process->Wait(seconds(20));
    BOOST_TEST((code == 0), host << " ended with " << code.value_or(-99));
    cluster.RestartHost(host);
    BOOST_TEST(WaitFor([&] { return ListedEverywhere(cluster, host); }, seconds(15)), host);
    BOOST_TEST(whole > before);
  }
  load.Stop();
  faults.Check();
  BOOST_TEST_MESSAGE(whole << " whole answers");
}

}  // namespace ebonylift::test
