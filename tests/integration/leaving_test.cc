#define BOOST_TEST_MODULE leaving
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "tests/support/caller.h"
#include "tests/support/cluster.h"
#include "tests/support/wait_for.h"

// Servers that leave or fall silent (invariant I7): 3 s after a server announces that it leaves, or
// after it falls silent, no entry host of its failure domain sends it new work. The tests check the
// engines' own records; all processes run on one machine, so the engines' wall clocks agree with
// the test's.

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr int64_t kMaxDetectionMs = 3000;
constexpr int64_t kSlowStartMs = 10'000;
constexpr int kAnswersPerHost = 40;
const std::vector<std::string> kHosts = {"este-a-1", "este-a-2", "este-a-3"};
const std::vector<std::string> kEngines = {"este-a-engine-1", "este-a-engine-2", "este-a-engine-3",
                                           "este-a-engine-4"};

// Three entry hosts and four engines in este-a; the other two regions complete the quorum. A
// leaving engine accepts requests for 8 s, so that work sent to it too late appears in its record.
ClusterSpec LeavingSpec() {
  ClusterSpec spec = ThreeRegionWanSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.hosts = domain.id == "este-a" ? 3 : 1;
    domain.engines = domain.id == "este-a" ? 4 : 1;
    domain.services = 0;
  }
  spec.engine_arguments = {"--leave_ms=8000"};
  return spec;
}

// Sends short requests to each entry host of este-a, two at a time.
class BackgroundLoad {
 public:
  explicit BackgroundLoad(Cluster& cluster)
      : cluster_(cluster), load_(6, [this](int thread, int n) { SendOne(thread, n); }) {}

  // Waits until each of `hosts` has answered or refused kAnswersPerHost requests that were sent at
  // or after `from`.
  bool WaitForAnswers(const std::vector<std::string>& hosts, WallMillis from) {
    auto enough = [&] {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const std::string& host : hosts) {
        auto& sent = send_times_[host];
        if (std::distance(sent.lower_bound(from), sent.end()) < kAnswersPerHost) return false;
      }
      return true;
    };
    return WaitFor(enough, seconds(15));
  }

 private:
  void SendOne(int thread, int n) {
    const std::string& host = kHosts[static_cast<size_t>(thread) % kHosts.size()];
    WallMillis started = WallNow();
    CallerRequest request;
    request.user = host + "/" + std::to_string(thread) + "/" + std::to_string(n);
    request.tokens = 5;
    request.timeout = seconds(3);
    SendRequest(cluster_, cluster_.host(host).client_address, request);
    std::lock_guard<std::mutex> lock(mutex_);
    send_times_[host].insert(started);
  }

  Cluster& cluster_;
  std::mutex mutex_;
  std::map<std::string, std::multiset<WallMillis>> send_times_;
  LoadGenerator load_;
};

// Returns the entries of the record of `server` that arrived in (from, to].
std::vector<json> ReceivedBy(const Cluster& cluster, const std::string& server, WallMillis from,
                             WallMillis to) {
  std::vector<json> received_requests;
  for (const json& entry : cluster.Records()) {
    WallMillis received = entry["received"];
    if (entry["server"] == server && received > from && received <= to)
      received_requests.push_back(entry);
  }
  return received_requests;
}

// Returns true if each of `hosts` sent work to `server` after `from`.
bool AllHostsUse(const Cluster& cluster, const std::string& server, WallMillis from,
                 const std::vector<std::string>& hosts = kHosts) {
  std::set<std::string> senders;
  for (const json& entry : ReceivedBy(cluster, server, from, INT64_MAX)) {
    std::string user = entry["user"];
    senders.insert(user.substr(0, user.find('/')));
  }
  return std::all_of(hosts.begin(), hosts.end(),
                     [&](const std::string& host) { return senders.count(host) > 0; });
}

// Returns true if at least one host sent work to `server` after `from`.
bool AnyHostUses(const Cluster& cluster, const std::string& server, WallMillis from) {
  return std::any_of(kHosts.begin(), kHosts.end(), [&](const std::string& host) {
    return AllHostsUse(cluster, server, from, {host});
  });
}

void WaitUntilAllInUse(const Cluster& cluster) {
  WallMillis from = WallNow();
  for (const std::string& engine : kEngines) {
    BOOST_REQUIRE(WaitFor([&] { return AllHostsUse(cluster, engine, from); }, seconds(20)));
  }
}

void CheckNoLateWork(const Cluster& cluster, const std::string& server, WallMillis since) {
  std::vector<json> late = ReceivedBy(cluster, server, since + kMaxDetectionMs, INT64_MAX);
  std::string last = late.empty() ? "" : late.back().dump();
  BOOST_TEST(late.empty(), server << " got " << late.size() << " requests later than 3 s after "
                                  << since << ", the last one " << last);
}

// Returns the times after `from` at which the daemon on `host` logged event `name` for `server`.
std::vector<int64_t> EventTimes(Cluster& cluster, const std::string& host, const std::string& name,
                                const std::string& server, WallMillis from) {
  std::vector<int64_t> times;
  for (const json& event : LoggedEvents(cluster.host(host))) {
    if (event["name"] != name || event.value("server", "") != server) continue;
    if (EventWallMillis(event) > from) times.push_back(EventWallMillis(event));
  }
  return times;
}

json AnnouncerState(Cluster& cluster, const std::string& server) {
  TestResponse state = Get("http://" + cluster.server(server).control + "/standin/state");
  return json::parse(state.body).at("announcer");
}

}  // namespace

// Guards against a host that learns only from its peers that a server leaves, and so keeps using
// the server while it is cut off from them; and against a leaving server that breaks its open
// streams.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoWorkFromAHostThatIsCutOff) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  BackgroundLoad background_load(cluster);
  // Announcements reach only este-a-3, which is cut off below. `refuse` affects only new
  // connections, so `truncate_after` also ends the open ones.
  cluster.SetLinks("servers-este-a>este-a-[12]", {{"refuse", true}, {"truncate_after", 0}});
  for (const std::string& engine : kEngines) {
    BOOST_REQUIRE(
        WaitFor([&] { return AnnouncerState(cluster, engine)["failed"] >= 2; }, seconds(8)));
  }
  WaitUntilAllInUse(cluster);
  std::atomic<int> started_streams{0};
  std::atomic<int> complete_streams{0};
  constexpr int kStreams = 12;
  const std::string leaving = "este-a-engine-4";
  std::vector<std::thread> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.emplace_back([&, i] {
      CallerRequest request;
      request.user = "stream/" + std::to_string(i);
      request.tokens = 1500;
      request.stream = true;
      request.timeout = seconds(30);
      bool first = true;
      request.on_data = [&] {
        if (std::exchange(first, false)) ++started_streams;
        return true;
      };
      std::string address = cluster.host(kHosts[static_cast<size_t>(i) % 3]).client_address;
      if (SendRequest(cluster, address, request).as_expected) ++complete_streams;
    });
  }
  BOOST_TEST(WaitFor([&] { return started_streams == kStreams; }, seconds(10)));
  cluster.Partition("este-a-3", "*");
  WallMillis leave_time = WallNow();
  cluster.server(leaving).process->Terminate();
  BOOST_TEST(background_load.WaitForAnswers(kHosts, leave_time + kMaxDetectionMs));
  for (std::thread& stream : streams) stream.join();
  BOOST_TEST(complete_streams == kStreams);
  int streams_on_leaving = 0;
  for (const json& entry : ReceivedBy(cluster, leaving, 0, leave_time)) {
    streams_on_leaving += entry["user"].get<std::string>().rfind("stream/", 0) == 0;
  }
  BOOST_TEST(streams_on_leaving > 0);
  BOOST_TEST(cluster.server(leaving).process->Running());  // it still accepts work
  CheckNoLateWork(cluster, leaving, leave_time);
  BOOST_TEST((cluster.server(leaving).process->Wait(seconds(12)) == 0));
}

// Guards against silent servers that stay in use: one stops announcing but still answers, one is
// killed and one is frozen, while the control host of the failure domain is cut off from all other
// hosts and the failure domain from the other two control hosts. Guards also against the use of a
// frozen server that resumes before it has announced itself again.
BOOST_AUTO_TEST_CASE(SilentServersGetNoWorkWhileTheControlHostIsCutOff) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  BackgroundLoad background_load(cluster);
  WaitUntilAllInUse(cluster);
  cluster.Partition("este-a-1", "*");
  cluster.PartitionDomain("este-a");
  WallMillis silent = WallNow();
  cluster.SetServerFaults(kEngines[0], {{"silent", true}});
  cluster.KillServer(kEngines[1]);
  cluster.server(kEngines[2]).process->Stop();
  BOOST_TEST(background_load.WaitForAnswers(kHosts, silent + kMaxDetectionMs));
  CheckNoLateWork(cluster, kEngines[0], silent);
  // A frozen server records pending work only after it resumes, so the daemons' events are checked
  // too.
  for (const std::string& host : kHosts) {
    for (const std::string& engine : kEngines) {
      if (engine == kEngines[3]) continue;
      std::vector<int64_t> sent =
          EventTimes(cluster, host, "request_dispatched", engine, silent + kMaxDetectionMs);
      BOOST_TEST(sent.empty(),
                 host << " sent work to " << engine << " " << sent.size() << " times");
    }
  }

  WallMillis resumed = WallNow();
  cluster.server(kEngines[2]).process->Continue();
  BOOST_TEST(WaitFor([&] { return AnyHostUses(cluster, kEngines[2], resumed); }, seconds(15)));
  // A server announces to a single host until that host fails, and este-a-1, being cut off, gets no
  // relayed announcements. Refusing connections to the other two hosts makes the server announce to
  // este-a-1.
  cluster.SetLinks("servers-este-a>este-a-[23]", {{"refuse", true}, {"truncate_after", 0}});
  WallMillis redirected = WallNow();
  BOOST_TEST(WaitFor([&] { return AllHostsUse(cluster, kEngines[2], redirected, {"este-a-1"}); },
                     seconds(15)));
  // A daemon writes its log lines in order, but on a thread of their own, so the line of a dispatch
  // may follow the run. The lines of the dispatches are read first, because the daemons go on.
  auto sent_by = [&](const std::string& host) {
    return EventTimes(cluster, host, "request_dispatched", kEngines[2], silent + kMaxDetectionMs);
  };
  BOOST_TEST(WaitFor([&] { return !sent_by("este-a-1").empty(); }, seconds(10)));
  for (const std::string& host : kHosts) {
    std::vector<int64_t> sent = sent_by(host);
    std::vector<int64_t> announced =
        EventTimes(cluster, host, "server_announced", kEngines[2], silent);
    if (sent.empty()) continue;
    BOOST_REQUIRE(!announced.empty());
    BOOST_TEST(sent.front() >= announced.front());
    BOOST_TEST(announced.front() >= resumed);
  }
}

// Guards against announcements that are delayed by a link, or by an entry host that cannot pass
// them on, and that put a server back in use although it has been silent since.
BOOST_AUTO_TEST_CASE(LateAnnouncementsDoNotRestoreASilentServer) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  BackgroundLoad background_load(cluster);
  WaitUntilAllInUse(cluster);
  const std::string& silent_server = kEngines[0];
  cluster.SetLinks("servers-este-a>*", {{"drop", "both"}});
  // No announcement is answered now. Once the sequence number grows, an announcement has been sent
  // and is held up on the link; only then is the server silenced.
  uint64_t sent = AnnouncerState(cluster, silent_server)["seq"];
  BOOST_REQUIRE(
      WaitFor([&] { return AnnouncerState(cluster, silent_server)["seq"] > sent; }, seconds(5)));
  WallMillis silent = WallNow();
  cluster.SetServerFaults(silent_server, {{"silent", true}});
  BOOST_TEST(background_load.WaitForAnswers(kHosts, silent + kMaxDetectionMs));
  WallMillis healed = WallNow();
  cluster.SetLinks("servers-este-a>*", {{"drop", "none"}});
  BOOST_TEST(WaitFor([&] { return AllHostsUse(cluster, kEngines[1], healed); }, seconds(15)));
  BOOST_TEST(background_load.WaitForAnswers(kHosts, healed + 1000));
  CheckNoLateWork(cluster, silent_server, silent);

  // The same with relayed announcements: este-a-3 receives the server's earlier announcements when
  // its links are restored.
  cluster.SetServerFaults(silent_server, {{"silent", false}});
  WallMillis announced_again = WallNow();
  BOOST_TEST(
      WaitFor([&] { return AllHostsUse(cluster, silent_server, announced_again); }, seconds(20)));
  cluster.Partition("este-a-3", "*");
  sent = AnnouncerState(cluster, silent_server)["seq"];
  BOOST_REQUIRE(
      WaitFor([&] { return AnnouncerState(cluster, silent_server)["seq"] > sent; }, seconds(5)));
  silent = WallNow();
  cluster.SetServerFaults(silent_server, {{"silent", true}});
  BOOST_TEST(WaitFor([&] { return WallNow() - silent > kMaxDetectionMs / 2; }, seconds(5)));
  cluster.Heal("este-a-3", "*");
  BOOST_TEST(background_load.WaitForAnswers(kHosts, silent + kMaxDetectionMs));
  CheckNoLateWork(cluster, silent_server, silent);
}

// Guards against a restarted server, whose cache is cold, that gets a full share of the work at
// once.
BOOST_AUTO_TEST_CASE(RestartedServerGetsWorkGradually) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  BackgroundLoad background_load(cluster);
  const std::string& restarted_server = kEngines[0];
  WaitUntilAllInUse(cluster);
  // Wait until the other servers have passed their own slow start.
  int64_t last_announced = 0;
  for (const std::string& host : kHosts) {
    for (const std::string& engine : kEngines) {
      for (int64_t at : EventTimes(cluster, host, "server_announced", engine, 0)) {
        last_announced = std::max(last_announced, at);
      }
    }
  }
  BOOST_TEST(WaitFor([&] { return WallNow() > last_announced + kSlowStartMs; }, seconds(15)));
  cluster.KillServer(restarted_server);
  auto expired = [&] {
    for (const std::string& host : kHosts) {
      if (EventTimes(cluster, host, "server_expired", restarted_server, 0).empty()) return false;
    }
    return true;
  };
  BOOST_TEST(WaitFor(expired, seconds(5)));
  WallMillis killed = WallNow();
  cluster.RestartServer(restarted_server);
  std::vector<int64_t> announced;
  auto is_announced = [&] {
    announced = EventTimes(cluster, "este-a-1", "server_announced", restarted_server, killed);
    return !announced.empty();
  };
  BOOST_REQUIRE(WaitFor(is_announced, seconds(5)));
  // Returns the work that the restarted server got in a time window, in percent of an even share
  // among the engines of este-a.
  auto share = [&](WallMillis from, WallMillis to) {
    size_t all = 0;
    for (const std::string& engine : kEngines) all += ReceivedBy(cluster, engine, from, to).size();
    size_t own = ReceivedBy(cluster, restarted_server, from, to).size();
    return all == 0 ? 0 : 100 * own * kEngines.size() / all;
  };
  BOOST_TEST(background_load.WaitForAnswers(kHosts, announced.front() + kSlowStartMs));
  size_t early = share(announced.front(), announced.front() + 2000);
  size_t late = share(announced.front() + 8000, announced.front() + kSlowStartMs);
  BOOST_TEST_MESSAGE("percent of an even share: first 2 s " << early << "%, after 8 s " << late
                                                            << "%");
  BOOST_TEST(early < 50);
  BOOST_TEST(late > 60);
}

}  // namespace ebonylift::test
