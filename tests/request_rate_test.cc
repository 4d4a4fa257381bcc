#define BOOST_TEST_MODULE request_rate
#include "core/request_rate.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

#include "core/ingress.h"
#include "core/peer_work.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
constexpr double kRate = 3.3;
// The accepted bound: kRate * kMultiplier + kSlack requests in any second.
constexpr double kMultiplier = 1.5;
constexpr double kSlack = 3;
const Time kNow(seconds(1'000'000));

std::shared_ptr<ConfigView> MakeConfig() {
  auto ingress = std::make_shared<IngressConfig>();
  IngressService service;
  service.name = "model";
  service.cold_per_s = kRate;
  ingress->services[service.name] = service;
  auto config = std::make_shared<ConfigView>();
  config->ingress = ingress;
  return config;
}

BackendServer MakeServer(const std::string& id, Duration cold_for) {
  BackendServer server;
  server.announced.id = ServerId(id);
  server.announced.incarnation = 1;
  server.announced.kind = ServerKind::kService;
  server.announced.domain = DomainId("este-a");
  server.announced.region = RegionId("este");
  server.announced.services = {"model"};
  server.announced.load.slots = 32;
  server.announced.cold_for = cold_for;
  server.first_seen = kNow - seconds(100);
  server.reported_at = kNow;
  server.expires_at = kNow + seconds(30);
  return server;
}

// Returns the view of host number `self` in a region of `hosts` hosts.
RoutingView MakeView(int self, int hosts) {
  RoutingView view;
  view.config = MakeConfig();
  view.server_scope = ServerScope::kRegion;
  for (int i = 0; i < hosts; ++i) {
    HostEntry host;
    host.id = HostId("h" + std::to_string(i));
    host.region = RegionId("este");
    host.domain = DomainId(i % 2 == 0 ? "este-a" : "este-b");
    host.caller_address = "10.0.0.1:80";
    view.hosts.push_back(host);
    if (i == self) view.self = {host.id, host.region, host.domain};
  }
  return view;
}

RouteConfig MakeRoute() {
  RouteConfig route;
  route.team = TeamId(kIngressTeam);
  route.kind = ServerKind::kService;
  route.service = "model";
  route.regions = {RegionId("este")};
  return route;
}

// `route` must outlive the result.
RouteQuery MakeQuery(const RouteConfig& route, Time now) {
  RouteQuery query;
  query.team = route.team;
  query.route = &route;
  query.allowed_regions = route.regions;
  query.deadline = now + seconds(5);
  return query;
}

// Hosts of one region that send to two servers and tell each other of limits in work lists, which
// arrive after kListDelay. A server answers after kServiceTime and names the limit that it has when
// it answers.
class LimitedRegion {
 public:
  static constexpr Duration kStep = milliseconds(2);
  static constexpr Duration kListInterval = milliseconds(100);
  static constexpr Duration kListDelay = milliseconds(20);
  static constexpr Duration kServiceTime = milliseconds(30);

  explicit LimitedRegion(int hosts) : states_(static_cast<size_t>(hosts)) {
    for (int i = 0; i < hosts; ++i) {
      views_.push_back(MakeView(i, hosts));
      views_.back().servers = {MakeServer("limited", Duration(0)),
                               MakeServer("other", Duration(0))};
      for (BackendServer& server : views_.back().servers) server.expires_at = kNow + seconds(3600);
    }
    lists_.resize(states_.size());
    frozen_until_.resize(states_.size());
  }

  // Offers one request to each host that is not frozen, and runs what is due at `now`.
  void Step(Time now) {
    ++steps_;
    for (size_t i = 0; i < states_.size(); ++i) {
      if (now < frozen_until_[i]) continue;
      Answer(i, now);
      Offer(i, now);
    }
    if (steps_ % (kListInterval / kStep) == 0) ShareLists(now);
  }

  // Forgets all that the host has learned, as a restart does.
  void Restart(size_t host) {
    states_[host] = RoutingState();
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [host](const Open& open) { return open.host == host; }),
                open_.end());
  }
  void Freeze(size_t host, Time until) { frozen_until_[host] = until; }

  // The number of hosts that apply a limit.
  int LimitingHosts() const {
    int limiting = 0;
    for (const RoutingState& state : states_) {
      auto found = state.servers.find(ServerId("limited"));
      if (found != state.servers.end() && found->second.limit.per_s > 0) ++limiting;
    }
    return limiting;
  }

  std::optional<double> limit;  // of the server "limited"
  // Arrivals there from hosts that had seen the limit half a second before or earlier.
  std::vector<Time> told_arrivals;

 private:
  struct Open {
    size_t host;
    ServerId server;
    Time dispatched_at;
  };

  void Offer(size_t host, Time now) {
    RouteQuery query = MakeQuery(route_, now);
    Choice choice = Choose(query, views_[host], states_[host], now, rng_);
    if (choice.kind != ChoiceKind::kLocal) return;
    OnDispatch(states_[host], query, choice, now);
    open_.push_back({host, choice.server, now});
    if (choice.server != ServerId("limited")) return;
    Time told = states_[host].servers[choice.server].own_limit_at;
    bool was_told = told != Time() && told + milliseconds(500) <= now;
    if (was_told) told_arrivals.push_back(now);
  }

  void Answer(size_t host, Time now) {
    for (Open& open : open_) {
      if (open.host != host || now < open.dispatched_at + kServiceTime) continue;
      RoutingState& state = states_[host];
      std::optional<double> named = open.server == ServerId("limited") ? limit : std::nullopt;
      OnRequestLimit(state, open.server, 1, named, now);
      OnServerOutcome(state, views_[host], open.server, open.dispatched_at, ServerOutcome::kOk,
                      now);
      open.server = ServerId();
    }
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [](const Open& open) { return open.server.empty(); }),
                open_.end());
  }

  void ShareLists(Time now) {
    for (size_t from = 0; from < states_.size(); ++from) {
      if (now < frozen_until_[from]) continue;
      for (size_t to = 0; to < states_.size(); ++to) {
        if (from == to || now < frozen_until_[to]) continue;
        OnPeerWork(&lists_[to], views_[from].self.host, WorkInFlight(states_[from], now),
                   now + kListDelay);
      }
    }
    for (size_t to = 0; to < states_.size(); ++to) {
      ApplyPeerWork(lists_[to], now, &views_[to].servers);
      OnNewView(states_[to], views_[to], now);
    }
  }

  RouteConfig route_ = MakeRoute();
  std::vector<RoutingView> views_;
  std::vector<RoutingState> states_;
  std::vector<PeerWork> lists_;
  std::vector<Time> frozen_until_;
  std::vector<Open> open_;
  std::mt19937_64 rng_{kSeed};
  int64_t steps_ = 0;
};

// The most arrivals in any 4 s.
size_t MostIn4Seconds(const std::vector<Time>& arrivals, Time from) {
  size_t most = 0;
  auto last = arrivals.begin();
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
       first != arrivals.end(); ++first) {
    last = std::lower_bound(first, arrivals.end(), *first + seconds(4));
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace

// Guards against overloading a cold server to which many hosts send at the same time, as in the
// fault scenario `cold_return` under load: with every host offering a request each millisecond, the
// server gets no more requests than the bound in any second.
BOOST_AUTO_TEST_CASE(CombinedRateOfAllHostsIsBounded) {
  for (int hosts : {1, 2, 3, 7, 28}) {
    RouteConfig route = MakeRoute();
    std::vector<RoutingView> views;
    std::vector<RoutingState> routing_states(static_cast<size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
      views.push_back(MakeView(i, hosts));
      views.back().servers = {MakeServer("cold", seconds(20)), MakeServer("warm", Duration(0))};
    }
    std::mt19937_64 rng(kSeed);
    std::vector<Time> arrivals;
    for (int ms = 0; ms < 5'000; ++ms) {
      Time now = kNow + milliseconds(ms);
      for (size_t i = 0; i < views.size(); ++i) {
        RouteQuery query = MakeQuery(route, now);
        Choice choice = Choose(query, views[i], routing_states[i], now, rng);
        if (choice.kind != ChoiceKind::kLocal || choice.server != ServerId("cold")) continue;
        OnDispatch(routing_states[i], query, choice, now);
        OnServerOutcome(routing_states[i], views[i], choice.server, now, ServerOutcome::kOk, now);
        arrivals.push_back(now);
      }
    }
    BOOST_TEST(arrivals.size() > 5u, hosts << " hosts");
    for (size_t first = 0; first < arrivals.size(); ++first) {
      size_t last = first;
      while (last < arrivals.size() && arrivals[last] - arrivals[first] < seconds(1)) ++last;
      BOOST_TEST(static_cast<double>(last - first) <= kRate * kMultiplier + kSlack,
                 hosts << " hosts");
    }
  }
}

// Guards against a server that stays limited after it is warm, or whose service has no limit.
BOOST_AUTO_TEST_CASE(LimitEndsWhenTheServerIsWarm) {
  BackendServer server = MakeServer("s", seconds(3));
  BOOST_TEST(IsCold(server, kNow + milliseconds(2'999)));
  BOOST_TEST(!IsCold(server, kNow + seconds(3)));
  RoutingView view = MakeView(0, 1);
  BOOST_TEST(RequestRate(view, server, {}, kNow) == kRate);
  BOOST_TEST((RequestInterval(view, server, kRate) == Duration(static_cast<int64_t>(1e6 / kRate))));
  BOOST_TEST(RequestRate(view, server, {}, kNow + seconds(3)) == 0);
  server.announced.services = {"other"};
  BOOST_TEST(RequestRate(view, server, {}, kNow) == 0);
}

// Guards against a limit that is ignored because the server is cold as well, or the reverse.
BOOST_AUTO_TEST_CASE(LowerRateHolds) {
  BackendServer server = MakeServer("s", seconds(3));
  RoutingView view = MakeView(0, 1);
  BOOST_TEST(RequestRate(view, server, {1.5, kNow}, kNow) == 1.5);
  BOOST_TEST(RequestRate(view, server, {kRate + 1, kNow}, kNow) == kRate);
  BOOST_TEST(RequestRate(view, server, {kRate + 1, kNow}, kNow + seconds(3)) == kRate + 1);
}

// Guards against a limit that each host takes for itself, at any number of hosts, and against hosts
// that freeze or forget it; and against a server that gets few requests for ever because the hosts
// without a share do not learn that the limit is withdrawn.
BOOST_AUTO_TEST_CASE(NamedLimitHoldsForAllHostsTogether) {
  constexpr Duration kLimitedFor = seconds(20);
  for (int hosts : {1, 2, 3, 7, 28}) {
    for (double limit : {0.0, 1.2, 25.0}) {
      LimitedRegion region(hosts);
      std::mt19937_64 rng(kSeed);
      Time named = kNow + seconds(1);
      Time withdrawn = named + kLimitedFor;
      for (Time now = kNow; now < withdrawn + seconds(12); now += LimitedRegion::kStep) {
        region.limit =
            now >= named && now < withdrawn ? std::optional<double>(limit) : std::nullopt;
        size_t host = rng() % static_cast<size_t>(hosts);
        if (now < withdrawn && rng() % 1'000 == 0) region.Restart(host);
        if (now < withdrawn && rng() % 1'000 == 0)
          region.Freeze(host, now + milliseconds(rng() % 3'000));
        region.Step(now);
      }
      std::string context = std::to_string(hosts) + " hosts, limit " + std::to_string(limit);
      std::vector<Time> told = region.told_arrivals;
      told.erase(std::lower_bound(told.begin(), told.end(), withdrawn), told.end());
      BOOST_TEST(MostIn4Seconds(told, named + seconds(5)) <= 1.5 * limit * 4 + 5, context);
      BOOST_TEST(region.LimitingHosts() == 0, context);
    }
  }
}

}  // namespace ebonylift
