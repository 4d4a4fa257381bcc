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

// I7: from a server's announcement that it leaves, and from its silence, no entry host of its
// failure domain gives it new work after 3 s. The engines' own records are the evidence; they are
// on one machine, so their wall clocks agree with the test's.

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr int64_t kBoundMs = 3000;
constexpr int64_t kSlowStartMs = 10'000;
constexpr int kAnswersToObserve = 40;
const std::vector<std::string> kHosts = {"este-a-1", "este-a-2", "este-a-3"};
const std::vector<std::string> kEngines = {"este-a-engine-1", "este-a-engine-2", "este-a-engine-3",
                                           "este-a-engine-4"};

// Three entry hosts and four engines in este-a; the other two regions complete the quorum. A
// leaving engine accepts requests for 8 s, so that its record shows work that comes too late.
ClusterSpec LeavingSpec() {
  ClusterSpec spec = RochaSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.hosts = domain.id == "este-a" ? 3 : 1;
    domain.engines = domain.id == "este-a" ? 4 : 1;
    domain.services = 0;
  }
  spec.engine_arguments = {"--leave_ms=8000"};
  return spec;
}

// Short requests to each entry host of este-a, two at a time.
class Callers {
 public:
  explicit Callers(Cluster& cluster)
      : cluster_(cluster), load_(6, [this](int thread, int n) { Turn(thread, n); }) {}

  // Waits until callers of each of `hosts` got answers, refusals included, to requests sent after
  // `from`.
  bool Observed(const std::vector<std::string>& hosts, WallMillis from) {
    auto enough = [&] {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const std::string& host : hosts) {
        auto& sent = sent_[host];
        if (std::distance(sent.lower_bound(from), sent.end()) < kAnswersToObserve) return false;
      }
      return true;
    };
    return WaitFor(enough, seconds(15));
  }

 private:
  void Turn(int thread, int n) {
    const std::string& host = kHosts[static_cast<size_t>(thread) % kHosts.size()];
    WallMillis started = WallNow();
    CallerRequest request;
    request.user = host + "/" + std::to_string(thread) + "/" + std::to_string(n);
    request.tokens = 5;
    request.timeout = seconds(3);
    Ask(cluster_, cluster_.host(host).client_address, request);
    std::lock_guard<std::mutex> lock(mutex_);
    sent_[host].insert(started);
  }

  Cluster& cluster_;
  std::mutex mutex_;
  std::map<std::string, std::multiset<WallMillis>> sent_;
  Load load_;
};

// Entries of the record of `server` that arrived in (from, to].
std::vector<json> Work(const Cluster& cluster, const std::string& server, WallMillis from,
                       WallMillis to) {
  std::vector<json> work;
  for (const json& entry : cluster.Records()) {
    WallMillis received = entry["received"];
    if (entry["server"] == server && received > from && received <= to) work.push_back(entry);
  }
  return work;
}

// True when each of `hosts` gave work to `server` after `from`.
bool AllUse(const Cluster& cluster, const std::string& server, WallMillis from,
            const std::vector<std::string>& hosts = kHosts) {
  std::set<std::string> seen;
  for (const json& entry : Work(cluster, server, from, INT64_MAX)) {
    std::string user = entry["user"];
    seen.insert(user.substr(0, user.find('/')));
  }
  return std::all_of(hosts.begin(), hosts.end(),
                     [&](const std::string& host) { return seen.count(host) > 0; });
}

// True when at least one host gave work to `server` after `from`.
bool AnyUses(const Cluster& cluster, const std::string& server, WallMillis from) {
  return std::any_of(kHosts.begin(), kHosts.end(), [&](const std::string& host) {
    return AllUse(cluster, server, from, {host});
  });
}

void WaitAllInUse(const Cluster& cluster) {
  WallMillis from = WallNow();
  for (const std::string& engine : kEngines) {
    BOOST_REQUIRE(WaitFor([&] { return AllUse(cluster, engine, from); }, seconds(20)));
  }
}

void CheckNoWorkAfterBound(const Cluster& cluster, const std::string& server, WallMillis since) {
  std::vector<json> late = Work(cluster, server, since + kBoundMs, INT64_MAX);
  std::string seen = late.empty() ? "" : late.back().dump();
  BOOST_TEST(late.empty(), server << " got " << late.size() << " requests later than 3 s after "
                                  << since << ", one of them " << seen);
}

// Times at which the daemon logged `name` for `server`, after `from`.
std::vector<int64_t> EventTimes(Cluster& cluster, const std::string& host, const std::string& name,
                                const std::string& server, WallMillis from) {
  std::vector<int64_t> times;
  for (const json& event : LoggedEvents(cluster.host(host))) {
    if (event["name"] != name || event.value("server", "") != server) continue;
    if (EventMillis(event) > from) times.push_back(EventMillis(event));
  }
  return times;
}

json AnnouncerOf(Cluster& cluster, const std::string& server) {
  TestResponse state = Get("http://" + cluster.server(server).control + "/standin/state");
  return json::parse(state.body).at("announcer");
}

}  // namespace

// Guards against a host that learns of a leaving server only from its peers and keeps it when it is
// cut off from them, and against a leaving server whose streams are cut.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoWorkFromHostsThatCannotHearOfIt) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  Callers callers(cluster);
  // Announcements reach only the host that is then cut off. Refusing concerns new connections, so
  // the kept ones are ended too.
  cluster.SetLinks("servers-este-a>este-a-[12]", {{"refuse", true}, {"truncate_after", 0}});
  for (const std::string& engine : kEngines) {
    BOOST_REQUIRE(WaitFor([&] { return AnnouncerOf(cluster, engine)["failed"] >= 2; }, seconds(8)));
  }
  WaitAllInUse(cluster);
  std::atomic<int> begun{0};
  std::atomic<int> whole{0};
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
        if (std::exchange(first, false)) ++begun;
        return true;
      };
      std::string address = cluster.host(kHosts[static_cast<size_t>(i) % 3]).client_address;
      if (Ask(cluster, address, request).whole) ++whole;
    });
  }
  BOOST_TEST(WaitFor([&] { return begun == kStreams; }, seconds(10)));
  cluster.Cut("este-a-3", "*");
  WallMillis left = WallNow();
  cluster.server(leaving).process->Terminate();
  BOOST_TEST(callers.Observed(kHosts, left + kBoundMs));
  for (std::thread& stream : streams) stream.join();
  BOOST_TEST(whole == kStreams);
  int streams_there = 0;
  for (const json& entry : Work(cluster, leaving, 0, left)) {
    streams_there += entry["user"].get<std::string>().rfind("stream/", 0) == 0;
  }
  BOOST_TEST(streams_there > 0);
  BOOST_TEST(cluster.server(leaving).process->Running());  // it would still accept work
  CheckNoWorkAfterBound(cluster, leaving, left);
  BOOST_TEST((cluster.server(leaving).process->Wait(seconds(12)) == 0));
}

// Guards against silent servers that stay in use: one that stops announcing but still answers, one
// that is killed and one that is frozen, while the control host of the failure domain is cut off
// from everything and the failure domain from the other two control hosts. Guards also against
// trust in a frozen server that wakes before it has announced anew.
BOOST_AUTO_TEST_CASE(SilentServersGetNoWorkWhileTheControlHostIsCutOff) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  Callers callers(cluster);
  WaitAllInUse(cluster);
  cluster.Cut("este-a-1", "*");
  cluster.CutDomain("este-a");
  WallMillis silent = WallNow();
  cluster.SetServerFaults(kEngines[0], {{"silent", true}});
  cluster.KillServer(kEngines[1]);
  cluster.server(kEngines[2]).process->Stop();
  BOOST_TEST(callers.Observed(kHosts, silent + kBoundMs));
  CheckNoWorkAfterBound(cluster, kEngines[0], silent);
  // The record of a frozen server shows work when it wakes, so the daemons' events count.
  for (const std::string& host : kHosts) {
    for (const std::string& engine : kEngines) {
      if (engine == kEngines[3]) continue;
      std::vector<int64_t> sent =
          EventTimes(cluster, host, "request_dispatched", engine, silent + kBoundMs);
      BOOST_TEST(sent.empty(),
                 host << " sent work to " << engine << " " << sent.size() << " times");
    }
  }

  WallMillis woken = WallNow();
  cluster.server(kEngines[2]).process->Continue();
  BOOST_TEST(WaitFor([&] { return AnyUses(cluster, kEngines[2], woken); }, seconds(15)));
  // A server announces to one host until that host fails, and the host that is cut off hears no
  // relayed announcement, so the server is made to announce to it.
  cluster.SetLinks("servers-este-a>este-a-[23]", {{"refuse", true}, {"truncate_after", 0}});
  WallMillis moved = WallNow();
  BOOST_TEST(
      WaitFor([&] { return AllUse(cluster, kEngines[2], moved, {"este-a-1"}); }, seconds(15)));
  for (const std::string& host : kHosts) {
    std::vector<int64_t> announced =
        EventTimes(cluster, host, "server_announced", kEngines[2], silent);
    std::vector<int64_t> sent =
        EventTimes(cluster, host, "request_dispatched", kEngines[2], silent + kBoundMs);
    if (sent.empty()) continue;
    BOOST_REQUIRE(!announced.empty());
    BOOST_TEST(sent.front() >= announced.front());
    BOOST_TEST(announced.front() >= woken);
  }
}

// Guards against announcements that were held up on the way, by a link or by a frozen entry host,
// and bring back a server that has been silent since.
BOOST_AUTO_TEST_CASE(LateAnnouncementsBringNoServerBack) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  Callers callers(cluster);
  WaitAllInUse(cluster);
  const std::string& gone = kEngines[0];
  cluster.SetLinks("servers-este-a>*", {{"drop", "both"}});
  // The first announcement that gets no answer is on its way when the server falls silent.
  uint64_t sent = AnnouncerOf(cluster, gone)["seq"];
  BOOST_REQUIRE(WaitFor([&] { return AnnouncerOf(cluster, gone)["seq"] > sent; }, seconds(5)));
  WallMillis silent = WallNow();
  cluster.SetServerFaults(gone, {{"silent", true}});
  BOOST_TEST(callers.Observed(kHosts, silent + kBoundMs));
  WallMillis healed = WallNow();
  cluster.SetLinks("servers-este-a>*", {{"drop", "none"}});
  BOOST_TEST(WaitFor([&] { return AllUse(cluster, kEngines[1], healed); }, seconds(15)));
  BOOST_TEST(callers.Observed(kHosts, healed + 1000));
  CheckNoWorkAfterBound(cluster, gone, silent);

  // The same with relayed announcements: este-a-3 hears of the server when its links return.
  cluster.SetServerFaults(gone, {{"silent", false}});
  WallMillis announced_again = WallNow();
  BOOST_TEST(WaitFor([&] { return AllUse(cluster, gone, announced_again); }, seconds(20)));
  cluster.Cut("este-a-3", "*");
  sent = AnnouncerOf(cluster, gone)["seq"];
  BOOST_REQUIRE(WaitFor([&] { return AnnouncerOf(cluster, gone)["seq"] > sent; }, seconds(5)));
  silent = WallNow();
  cluster.SetServerFaults(gone, {{"silent", true}});
  BOOST_TEST(WaitFor([&] { return WallNow() - silent > kBoundMs / 2; }, seconds(5)));
  cluster.Heal("este-a-3", "*");
  BOOST_TEST(callers.Observed(kHosts, silent + kBoundMs));
  CheckNoWorkAfterBound(cluster, gone, silent);
}

// Guards against a server that comes back with a cold cache and gets a full share of the work at
// once.
BOOST_AUTO_TEST_CASE(ReturnedServerGetsWorkSlowlyAtFirst) {
  Cluster cluster(LeavingSpec());
  cluster.Start(seconds(40));
  Callers callers(cluster);
  const std::string& back = kEngines[0];
  WaitAllInUse(cluster);
  // The other servers have passed their own slow start.
  int64_t newest = 0;
  for (const std::string& host : kHosts) {
    for (const std::string& engine : kEngines) {
      for (int64_t at : EventTimes(cluster, host, "server_announced", engine, 0)) {
        newest = std::max(newest, at);
      }
    }
  }
  BOOST_TEST(WaitFor([&] { return WallNow() > newest + kSlowStartMs; }, seconds(15)));
  cluster.KillServer(back);
  auto expired = [&] {
    for (const std::string& host : kHosts) {
      if (EventTimes(cluster, host, "server_expired", back, 0).empty()) return false;
    }
    return true;
  };
  BOOST_TEST(WaitFor(expired, seconds(5)));
  WallMillis killed = WallNow();
  cluster.RestartServer(back);
  std::vector<int64_t> announced;
  auto known = [&] {
    announced = EventTimes(cluster, "este-a-1", "server_announced", back, killed);
    return !announced.empty();
  };
  BOOST_REQUIRE(WaitFor(known, seconds(5)));
  // The share of the returned server in the work of este-a in a window, in percent of an even one.
  auto share = [&](WallMillis from, WallMillis to) {
    size_t all = 0;
    for (const std::string& engine : kEngines) all += Work(cluster, engine, from, to).size();
    size_t own = Work(cluster, back, from, to).size();
    return all == 0 ? 0 : 100 * own * kEngines.size() / all;
  };
  BOOST_TEST(callers.Observed(kHosts, announced.front() + kSlowStartMs));
  size_t early = share(announced.front(), announced.front() + 2000);
  size_t late = share(announced.front() + 8000, announced.front() + kSlowStartMs);
  BOOST_TEST_MESSAGE("share of an even part: first 2 s " << early << "%, after 8 s " << late
                                                         << "%");
  BOOST_TEST(early < 50);
  BOOST_TEST(late > 60);
}

}  // namespace ebonylift::test
