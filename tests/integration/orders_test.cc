#define BOOST_TEST_MODULE integration_orders
#include <algorithm>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

#include "tests/support/cluster.h"
#include "tests/support/free_port.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

const char kModelPath[] = "/deployment/models/summary";
const char kOrdererPath[] = "/deployment/orderers/este-a";

TestResponse ReadAdmin(Cluster* cluster, const std::string& host, const std::string& path) {
  TestCall call;
  call.url = "http://" + cluster->host(host).http_address + "/admin/v1/" + path;
  call.headers = {{"authorization", "Bearer " + cluster->operator_token()}};
  return Call(call);
}

// Returns the configuration entry at `path` from the replica of `host`, or null if there is none.
json EntryAt(Cluster* cluster, const std::string& host, const std::string& path) {
  json body = json::parse(ReadAdmin(cluster, host, "config?path=" + path).body, nullptr, false);
  if (!body.is_object() || body["entries"].empty()) return json();
  return body["entries"][0];
}

json StandinState(Cluster* cluster, const std::string& server) {
  return json::parse(Get("http://" + cluster->server(server).control + "/standin/state").body);
}

bool AllAnnounce(Cluster* cluster, const std::vector<std::string>& engines,
                 const std::string& version) {
  return std::all_of(engines.begin(), engines.end(), [&](const std::string& id) {
    return StandinState(cluster, id)["announcement"]["models"][0]["version"] == version;
  });
}

std::vector<std::string> EngineIds(const Cluster& cluster) {
  std::vector<std::string> engines;
  for (const std::string& id : cluster.ServerIds()) {
    if (id.find("-engine-") != std::string::npos) engines.push_back(id);
  }
  return engines;
}

// Returns the orders that the engines received, grouped by engine and in order of arrival.
std::map<std::string, std::vector<json>> OrdersByServer(const Cluster& cluster) {
  std::map<std::string, std::vector<json>> orders;
  for (json& entry : cluster.Records()) {
    if (entry["path"] == "/v1/orders") orders[entry["server"]].push_back(std::move(entry));
  }
  for (auto& [server, list] : orders) {
    std::sort(list.begin(), list.end(),
              [](const json& a, const json& b) { return a["seq"] < b["seq"]; });
  }
  return orders;
}

size_t CountOrdersWithToken(const Cluster& cluster, uint64_t fencing) {
  size_t count = 0;
  for (const auto& [server, list] : OrdersByServer(cluster)) {
    count += std::count_if(list.begin(), list.end(),
                           [&](const json& order) { return order["fencing"] == fencing; });
  }
  return count;
}

bool ExecutedNewerOrder(const Cluster& cluster, const std::string& server, uint64_t fencing) {
  std::vector<json> list = OrdersByServer(cluster)[server];
  return std::any_of(list.begin(), list.end(), [&](const json& order) {
    return order["outcome"] == "order_accepted" && order["fencing"] > fencing;
  });
}

bool LogContains(const HostHandle& host, const std::string& text) {
  std::ifstream file(host.log_file);
  std::stringstream content;
  content << file.rdbuf();
  return content.str().find(text) != std::string::npos;
}

// Sends streamed requests to every host, one at a time per host, until stopped.
class StreamLoad {
 public:
  explicit StreamLoad(Cluster* cluster) {
    for (const std::string& id : cluster->HostIds()) {
      std::string url = "http://" + cluster->host(id).client_address + "/v1/chat/completions";
      threads_.emplace_back([this, url, key = cluster->spec().teams[0].key] { Run(url, key); });
    }
  }
  ~StreamLoad() { Stop(); }
  StreamLoad(const StreamLoad&) = delete;
  StreamLoad& operator=(const StreamLoad&) = delete;
  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  int answered() const { return answered_; }
  int failed() const { return failed_; }

 private:
  void Run(const std::string& url, const std::string& key) {
    json body = {{"model", "summary"},
                 {"max_tokens", 60},
                 {"stream", true},
                 {"messages", {{{"role", "user"}, {"content", "Sendero de la costa"}}}}};
    while (!stopped_) {
      TestResponse answer = PostJson(url, body.dump(), {{"authorization", "Bearer " + key}});
      SseText text = ParseSse(answer.body);
      bool is_complete =
          answer.complete && answer.status == 200 && text.done && text.errors.empty();
      ++(is_complete ? answered_ : failed_);
    }
  }

  std::atomic<bool> stopped_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

// Polls all engines twice and returns how many were loading in both rounds; these were loading at
// the same time.
int LoadingAtOnce(Cluster* cluster, const std::vector<std::string>& engines) {
  std::map<std::string, bool> was_loading;
  for (const std::string& id : engines) was_loading[id] = StandinState(cluster, id)["loading"] > 0;
  int loading_count = 0;
  for (const std::string& id : engines) {
    if (was_loading[id] && StandinState(cluster, id)["loading"] > 0) ++loading_count;
  }
  return loading_count;
}

}  // namespace

// Guards against an upgrade that takes too many servers out of service at a time, breaks requests,
// overloads a weight store that has reached its rate limit, or writes the configuration often.
BOOST_AUTO_TEST_CASE(UpgradeUnderLoadKeepsCapacity) {
  constexpr int kMaxLoading = 2;
  ProcessOptions options;
  options.binary = StandinBinary();
  const std::string store = FreeAddress();
  const std::string control = FreeAddress();
  options.arguments = {"weight-store", "--listen=" + store, "--control=" + control,
                       "--weights_per_s=1"};
  Process weight_store(options);
  ClusterSpec spec = SmallSpec(2, 6);
  // Longer than the weight store needs to serve the next server, so that loads overlap.
  spec.engine_arguments = {"--load_ms=2500", "--weight_store=" + store};
  spec.daemon_arguments = {"--orderer_lease_ms=10000"};
  Cluster cluster(spec);
  cluster.Start();
  const std::vector<std::string> engines = EngineIds(cluster);
  const std::string host = cluster.HostIds()[0];
  // Only the hosts may write the lease; an operator's put is refused.
  BOOST_CHECK_THROW(cluster.PutConfig(kOrdererPath, {{"host", host}, {"lease_ms", 2000}}),
                    std::runtime_error);
  BOOST_TEST(EntryAt(&cluster, host, kOrdererPath).is_null());

  StreamLoad load(&cluster);
  const Time started = SteadyNow();
  cluster.PutConfig(kModelPath, {{"version", "2"},
                                 {"adapters", json::array()},
                                 {"min_available_percent", 60},
                                 {"max_loading", kMaxLoading}});
  int max_loading_seen = 0;
  auto upgraded = [&] {
    max_loading_seen = std::max(max_loading_seen, LoadingAtOnce(&cluster, engines));
    return AllAnnounce(&cluster, engines, "2");
  };
  BOOST_REQUIRE(WaitFor(upgraded, seconds(90)));
  json history = json::parse(
      ReadAdmin(&cluster, host, std::string("config/history?path=") + kOrdererPath).body);
  // Taken after the history is read, so that all puts in it lie within this time.
  const Duration upgrade_time = SteadyNow() - started;
  load.Stop();
  json weights = json::parse(Get("http://" + control + "/standin/state").body);
  std::cout << "upgrade took " << ToMillis(upgrade_time) << " ms, at most " << max_loading_seen
            << " servers loading, weight store refused " << weights["refused"] << ", answered "
            << load.answered() << ", failed " << load.failed() << ", lease puts "
            << history["changes"].size() << "\n";
  BOOST_TEST(max_loading_seen == kMaxLoading);
  BOOST_TEST(load.failed() == 0);
  BOOST_TEST(load.answered() > 20);
  BOOST_TEST(weights["refused"].get<int>() > 0);
  // Each refusal doubles the pause before the next try, so there are about as many refusals as
  // loads.
  BOOST_TEST(weights["refused"].get<size_t>() <= 2 * engines.size());
  // One put takes the lease, and one renews it in each half of its duration.
  BOOST_TEST(history["changes"].size() <= 2 + static_cast<size_t>(upgrade_time / seconds(5)));
  for (const auto& [server, list] : OrdersByServer(cluster)) {
    BOOST_TEST(std::count_if(list.begin(), list.end(), [](const json& order) {
                 return order["outcome"] == "order_accepted";
               }) == 1);
  }
}

namespace {

// Freezes the orderer, the host that holds the lease for sending orders to servers, while it cannot
// reach the engines. Another host takes over with a newer desired state. The old orderer then
// resumes, cut off from the other hosts but with the servers announcing to it, and still wants the
// older state.
void CheckFrozenOrderer(bool resume_within_lease) {
  ClusterSpec spec = SmallSpec(3, 4);
  spec.domains[0].disk_hosts = 3;
  spec.engine_arguments = {"--load_ms=300"};
  spec.daemon_arguments = {"--orderer_lease_ms=30000"};
  Cluster cluster(spec);
  const std::vector<std::string> engines = EngineIds(cluster);
  for (size_t i : {1, 3}) cluster.server(engines[i]).arguments.push_back("--checks_fencing=false");
  cluster.Start();
  json desired = {{"version", "2"}, {"min_available_percent", 0}, {"max_loading", 2}};
  cluster.SetLinks("este-a>este-a-engine-*", {{"refuse", true}});
  cluster.PutConfig(kModelPath, desired);
  const std::string watcher = cluster.HostIds()[2];
  json entry;
  BOOST_REQUIRE(WaitFor(
      [&] {
        entry = EntryAt(&cluster, watcher, kOrdererPath);
        return !entry.is_null();
      },
      seconds(10)));
  const std::string old_host = entry["value"]["host"];
  const uint64_t old_token = entry["revision"];
  HostHandle& old_handle = cluster.host(old_host);
  std::vector<std::string> others = cluster.HostIds();
  others.erase(std::find(others.begin(), others.end(), old_host));
  BOOST_REQUIRE(WaitFor([&] { return LogContains(old_handle, "server_order_sent"); }, seconds(10)));
  old_handle.process->Stop();
  cluster.Partition(old_host, "este-a-*");
  desired["version"] = "3";
  uint64_t base = EntryAt(&cluster, others[0], kModelPath)["revision"];
  cluster.PutConfig(kModelPath, desired, base, others[0], seconds(20));
  cluster.SetLinks("este-a>este-a-engine-*", {{"refuse", false}});

  // The successor need not wait for the end of the frozen host's lease to order the servers that
  // check fencing tokens.
  auto checking_servers_ordered = [&] {
    return ExecutedNewerOrder(cluster, engines[0], old_token) &&
           ExecutedNewerOrder(cluster, engines[2], old_token);
  };
  BOOST_REQUIRE(WaitFor(checking_servers_ordered, seconds(25)));
  if (!resume_within_lease) {
    auto all_servers_ordered = [&] {
      return std::all_of(engines.begin(), engines.end(), [&](const std::string& id) {
        return ExecutedNewerOrder(cluster, id, old_token);
      });
    };
    BOOST_REQUIRE(WaitFor(all_servers_ordered, seconds(60)));
  }
  const size_t before = CountOrdersWithToken(cluster, old_token);
  for (const std::string& id : others) {
    cluster.SetLinks("servers-este-a>" + id, {{"drop", "both"}});
  }
  old_handle.process->Continue();
  auto sees_engines = [&] {
    std::string metrics = Get("http://" + old_handle.http_address + "/metrics").body;
    size_t at = metrics.find("\nebonylift_live_servers ");
    return at != std::string::npos && std::atoi(metrics.c_str() + metrics.find(' ', at)) >= 4;
  };
  BOOST_REQUIRE(WaitFor(sees_engines, seconds(15)));
  auto old_host_orders = [&] { return CountOrdersWithToken(cluster, old_token) > before; };
  if (resume_within_lease) {
    // The test is meaningful only if the old host sends an order.
    BOOST_REQUIRE(WaitFor(old_host_orders, seconds(10)));
  } else {
    BOOST_TEST(
        WaitFor([&] { return LogContains(old_handle, "orderer_lease_ended"); }, seconds(10)));
    // The orderer decides ten times in 2 s.
    BOOST_TEST(!WaitFor(old_host_orders, seconds(2)));
  }
  cluster.Heal(old_host, "este-a-*");
  cluster.SetLinks("servers-este-a>*", {{"drop", "none"}});
  BOOST_REQUIRE(WaitFor([&] { return AllAnnounce(&cluster, engines, "3"); }, seconds(90)));
  for (const auto& [server, list] : OrdersByServer(cluster)) {
    uint64_t newest = 0;
    for (const json& order : list) {
      std::cout << server << " " << order["idempotency_key"] << " token " << order["fencing"] << " "
                << order["outcome"] << "\n";
      if (order["outcome"] != "order_accepted") continue;
      BOOST_TEST(
          order["fencing"].get<uint64_t>() >= newest,
          server << " executed an order with an older fencing token after one with a newer token: "
                 << order);
      newest = std::max(newest, order["fencing"].get<uint64_t>());
    }
  }
}

}  // namespace

// Guards against a successor that sends orders to servers without fencing checks while the lease
// that it replaced is still running.
BOOST_AUTO_TEST_CASE(OrdererResumesWithinItsLease) { CheckFrozenOrderer(true); }

// Guards against an orderer that keeps sending orders after its lease has ended because no other
// host has told it so.
BOOST_AUTO_TEST_CASE(OrdererResumesAfterItsLease) { CheckFrozenOrderer(false); }

}  // namespace ebonylift::test
