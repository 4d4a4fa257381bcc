#define BOOST_TEST_MODULE hedging
#include <algorithm>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

// Hedged requests with real processes: one host and ten services, one of which answers ten times
// slower for a time, again and again.

namespace ebonylift::test {
namespace {

constexpr int kServices = 10;
constexpr int kCallers = 4;
constexpr Duration kServiceTime = milliseconds(20);
// About one request comes in this time, as the service then looks busy: 2 to 3 in 100 of all, so
// that the p99 is one of them and the p95, the delay of hedges, is not.
constexpr Duration kSlowTime = milliseconds(100);
constexpr Duration kSoundTime = milliseconds(120);
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kMeasured = seconds(8);
constexpr int kPercent = 10;
constexpr char kRequests[] = "ebonylift_requests_total{class=\"interactive\"}";

ClusterSpec HedgingSpec() {
  ClusterSpec spec = SmallSpec(1, 1);
  spec.domains[0].services = kServices;
  spec.service_arguments = {"--service_us=" + std::to_string(kServiceTime.count())};
  spec.teams[0].limits = {{"retry_percent", 100}};
  for (RouteSpec& route : spec.teams[0].routes) {
    if (route.id == spec.service) route.value["idempotent"] = true;
  }
  return spec;
}

// Makes one service slow for kSlowTime after each kSoundTime, while it exists.
class SlowPeriods {
 public:
  explicit SlowPeriods(Cluster& cluster)
      : thread_([this, &cluster] {
          while (!stopped_) {
            std::this_thread::sleep_for(kSoundTime);
            cluster.SetServerFaults("este-a-service-1", {{"slow", 10}});
            std::this_thread::sleep_for(kSlowTime);
            cluster.SetServerFaults("este-a-service-1", {{"clear", true}});
          }
        }) {}
  ~SlowPeriods() {
    stopped_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// Sends requests one after the other from each of kCallers threads. Returns the times of those
// sent after kWarmUp, in ascending order.
std::vector<Duration> Measure(Cluster& cluster) {
  std::mutex mutex;
  std::vector<Duration> times;
  std::vector<std::thread> callers;
  Time from = SteadyNow() + kWarmUp;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      TestCall call;
      call.url = "http://" + cluster.host("este-a-1").http_address + "/svc/logbook/finds";
      call.headers = {{"Authorization", "Bearer " + cluster.spec().teams[0].key}};
      for (Time now = SteadyNow(); now < from + kMeasured; now = SteadyNow()) {
        TestResponse response = Call(call);
        std::lock_guard<std::mutex> lock(mutex);
        BOOST_TEST(response.status == 200);
        if (now >= from) times.push_back(response.total);
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  std::sort(times.begin(), times.end());
  return times;
}

int64_t QuantileMs(const std::vector<Duration>& times, double share) {
  return ToMillis(times.at(static_cast<size_t>(share * static_cast<double>(times.size() - 1))));
}

double Metric(Cluster& cluster, const std::string& name) {
  std::string text = Get("http://" + cluster.host("este-a-1").http_address + "/metrics").body;
  size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? -1 : std::stod(text.substr(at + 1 + name.size()));
}

}  // namespace

// Guards against hedges without effect on the slowest answers, against more extra work than
// allowed, and against hedges that nobody switched on.
BOOST_AUTO_TEST_CASE(HedgesReduceTheSlowestAnswers) {
  Cluster cluster(HedgingSpec());
  cluster.Start();
  SlowPeriods slow(cluster);
  std::vector<Duration> without = Measure(cluster);
  BOOST_TEST(Metric(cluster, "ebonylift_hedges_sent_total") == 0);
  double requests_before = Metric(cluster, kRequests);

  cluster.PutConfig("/deployment/hedging", {{"max_request_percent", kPercent}});
  cluster.WaitSameRevision(seconds(5));
  std::vector<Duration> with = Measure(cluster);
  double sent = Metric(cluster, "ebonylift_hedges_sent_total");
  double won = Metric(cluster, "ebonylift_hedges_ended_total{result=\"won\"}");
  BOOST_TEST_MESSAGE("without: " << without.size() << " requests, p50 " << QuantileMs(without, 0.5)
                                 << " ms, p99 " << QuantileMs(without, 0.99)
                                 << " ms; with: " << with.size() << ", p50 "
                                 << QuantileMs(with, 0.5) << " ms, p99 " << QuantileMs(with, 0.99)
                                 << " ms, " << sent << " hedges, " << won << " won");
  BOOST_TEST(won > 0);
  double requests = Metric(cluster, kRequests) - requests_before;
  BOOST_TEST(sent * 100 <= requests * kPercent);
  BOOST_TEST(QuantileMs(with, 0.99) * 10 < QuantileMs(without, 0.99) * 8);
}

}  // namespace ebonylift::test
