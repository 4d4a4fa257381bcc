#define BOOST_TEST_MODULE orders
#include "core/orders.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <deque>
#include <iostream>
#include <random>

namespace ebonylift {
namespace {

constexpr Duration kLease = seconds(10);
const Time kStart(seconds(1000));

BackendServer MakeServer(const std::string& id, const std::string& version, bool checks) {
  BackendServer server;
  server.announced.id = ServerId(id);
  server.announced.incarnation = 1;
  server.announced.models = {{ModelId("m"), {}, version}};
  server.announced.checks_fencing = checks;
  server.announced.address = id;
  server.expires_at = Time(seconds(1'000'000));
  return server;
}

// One host of failure domain "d", with its orderer state and its view of the deployment.
struct Host {
  explicit Host(const std::string& id, const std::string& process = "p") {
    OrdererSettings settings;
    settings.self = Identity{HostId(id), RegionId("r"), DomainId("d")};
    settings.process_id = id + process;
    settings.lease = kLease;
    state = MakeOrderer(settings);
    view.self = settings.self;
    config.revision = 1;
    config.models[ModelId("m")] = {1, "2", {}, 0, 1};
    for (const char* name : {"a", "b"}) {
      HostEntry entry;
      entry.id = HostId(name);
      entry.domain = DomainId("d");
      view.hosts.push_back(entry);
    }
  }
  OrdererActions Tick(Time now) {
    view.config = std::make_shared<ConfigView>(config);
    OrdererActions actions = TickOrderer(&state, view, now);
    events.insert(events.end(), actions.events.begin(), actions.events.end());
    return actions;
  }
  void ObserveEntry(uint64_t revision, const std::string& host, Duration lease = kLease) {
    config.orderers[DomainId("d")] = {revision, HostId(host), lease};
  }
  void Accept(uint64_t revision, Time now) {
    BOOST_REQUIRE(state.pending.has_value());
    OnLeasePutOutcome(&state, state.pending->put.request_id, LeasePutOutcome::kAccepted, revision,
                      now, &events);
    ObserveEntry(revision, state.settings.self.host.value(), state.settings.lease);
  }
  DesiredModel& desired() { return config.models[ModelId("m")]; }
  size_t Count(OrdererEventKind kind) const {
    return std::count_if(events.begin(), events.end(),
                         [&](const OrdererEvent& event) { return event.kind == kind; });
  }

  OrdererState state;
  RoutingView view;
  ConfigView config;
  std::vector<OrdererEvent> events;
};

}  // namespace

// Guards against unneeded orders, orders in the wrong sequence, and order ids that differ between
// hosts.
BOOST_AUTO_TEST_CASE(NextOrderBringsServerToDesiredState) {
  struct Row {
    std::vector<ServedModel> served;
    std::vector<std::string> adapters;
    std::string id;  // empty: no order
  };
  const ModelId m("m");
  const std::vector<Row> rows = {
      {{}, {}, ""},
      {{{ModelId("other"), {}, "1"}}, {}, ""},
      {{{m, {}, "2"}}, {}, ""},
      {{{m, {}, "1"}}, {"x"}, "s/1/m/7/load/2/"},
      {{{m, {}, "2"}}, {"x"}, "s/1/m/7/load/2/x"},
      {{{m, {"x", "y"}, "2"}}, {"x"}, "s/1/m/7/unload/2/y"},
      {{{m, {}, "1"}, {m, {}, "2"}}, {}, "s/1/m/7/unload/1/"},
  };
  for (const Row& row : rows) {
    Announcement server = MakeServer("s", "1", true).announced;
    server.models = row.served;
    std::optional<Order> order = NextOrder(server, m, {7, "2", row.adapters, 50, 1});
    BOOST_TEST((order ? order->id : "") == row.id);
  }
}

// Guards against a lease that is taken without work, kept after its end, or measured from the
// answer instead of from the first put.
BOOST_AUTO_TEST_CASE(LeaseIsTakenOnlyForWorkAndExpiresByLocalClock) {
  Host a("a");
  a.view.servers = {MakeServer("s", "2", true)};
  BOOST_TEST(!a.Tick(kStart).put.has_value());
  a.view.servers = {MakeServer("s", "1", true)};
  BOOST_REQUIRE(a.Tick(kStart).put.has_value());
  // After a lost answer the same put is sent again; the lease still starts at the first one.
  std::string id = a.state.pending->put.request_id;
  OnLeasePutOutcome(&a.state, id, LeasePutOutcome::kUnknown, 0, kStart + seconds(2), &a.events);
  OrdererActions again = a.Tick(kStart + seconds(3));
  BOOST_REQUIRE(again.put.has_value());
  BOOST_TEST(again.put->request_id == id);
  a.Accept(5, kStart + seconds(4));
  OrdererActions actions = a.Tick(kStart + seconds(4));
  BOOST_REQUIRE(actions.orders.size() == 1u);
  BOOST_TEST(actions.orders[0].fencing == 5u);
  BOOST_TEST(MaySendOrder(a.state, true, kStart + kLease - kLeaseMargin - microseconds(1)));
  BOOST_TEST(!MaySendOrder(a.state, true, kStart + kLease - kLeaseMargin));
  BOOST_TEST(a.Tick(kStart + kLease).orders.empty());
  BOOST_TEST(a.Count(OrdererEventKind::kLeaseEnded) == 1u);
}

// Guards against endless renewals of the lease for a model that is blocked until an operator acts.
BOOST_AUTO_TEST_CASE(BlockedModelDoesNotRenewLease) {
  Host a("a");
  a.view.servers = {MakeServer("s", "1", true), MakeServer("t", "1", true)};
  a.Tick(kStart);
  a.Accept(5, kStart);
  OrdererActions actions = a.Tick(kStart);
  BOOST_REQUIRE(actions.orders.size() == 1u);
  OnOrderOutcome(&a.state, actions.orders[0], OrderOutcome::kAccepted, kStart);
  uint64_t puts = 0;
  for (Time now = kStart; now < kStart + seconds(1800); now += seconds(1)) {
    actions = a.Tick(now);
    BOOST_TEST(actions.orders.empty());
    if (!actions.put) continue;
    if (now >= kStart + kStuckOrderTimeout) ++puts;
    a.Accept(100 + a.state.put_count, now);
  }
  BOOST_TEST(puts == 0u);
  BOOST_TEST(a.Count(OrdererEventKind::kStuck) == 1u);
  // A restart of the stuck server unblocks the model.
  a.view.servers[0].announced.incarnation = 2;
  BOOST_TEST(a.Tick(kStart + seconds(1801)).put.has_value());
}

// Guards against a successor that sends orders too early to servers that ignore tokens, and one
// that waits although the servers check tokens.
BOOST_AUTO_TEST_CASE(SuccessorWaitsForServersThatIgnoreTokens) {
  struct Row {
    bool checks;
    std::string holder;
    HostStatus status;
    Duration before;  // no put before this time
  };
  const Duration over = OtherLeaseEnd(Time(), kLease) - Time();
  BOOST_TEST(over.count() == (13 * 1'010'000));
  const std::vector<Row> rows = {{true, "a", HostStatus::kAlive, over},
                                 {true, "a", HostStatus::kFailed, kLease / 4},
                                 {false, "a", HostStatus::kAlive, over},
                                 {false, "a", HostStatus::kFailed, kLease / 4},
                                 // A lease of an earlier process of this host.
                                 {false, "b", HostStatus::kFailed, kLease / 4}};
  for (const Row& row : rows) {
    Host b("b");
    b.view.hosts[0].status = row.status;
    b.view.servers = {MakeServer("s", "1", row.checks)};
    b.ObserveEntry(5, row.holder);
    BOOST_TEST(!b.Tick(kStart).put.has_value());
    BOOST_TEST(!b.Tick(kStart + row.before - milliseconds(1)).put.has_value());
    OrdererActions actions = b.Tick(kStart + row.before);
    BOOST_REQUIRE(actions.put.has_value());
    BOOST_TEST(actions.put->base_revision == 5u);
    b.Accept(6, kStart + row.before);
    BOOST_TEST(MaySendOrder(b.state, true, kStart + row.before));
    BOOST_TEST(MaySendOrder(b.state, false, kStart + row.before) == (row.before == over));
    // A newer entry of the old holder ends the authority of the successor.
    b.ObserveEntry(7, "a");
    b.Tick(kStart + row.before);
    BOOST_TEST(!MaySendOrder(b.state, true, kStart + row.before));
  }
}

// Guards against a third host that waits too briefly because it observes only the second lease, if
// that one is shorter.
BOOST_AUTO_TEST_CASE(EarlyTakeoverKeepsTheLongerLease) {
  Host b("b");
  b.view.hosts[0].status = HostStatus::kFailed;
  b.view.servers = {MakeServer("s", "1", true)};
  b.ObserveEntry(5, "a", seconds(100));
  b.Tick(kStart);
  OrdererActions actions = b.Tick(kStart + seconds(25));
  BOOST_REQUIRE(actions.put.has_value());
  BOOST_TEST(ToMillis(actions.put->lease) == 100'000);
}

// Guards against an upgrade that takes too many servers out of service at a time, also when servers
// are lost, and against load orders that ignore the rate limit of the weight store.
BOOST_AUTO_TEST_CASE(UpgradeRespectsPacingLimits) {
  constexpr uint32_t kSeed = 9'020;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  for (int run = 0; run < 50; ++run) {
    Host a("a");
    a.desired().max_loading = 1 + static_cast<int>(rng() % 3);
    a.desired().min_available_percent = 40 + static_cast<int>(rng() % 40);
    const int n = 5 + static_cast<int>(rng() % 6);
    for (int i = 0; i < n; ++i) {
      a.view.servers.push_back(MakeServer("s" + std::to_string(i), "1", rng() % 2 == 0));
    }
    std::map<std::string, Time> loading;  // by server address: end of the load
    int lost = 0;
    int busy = 0;
    Time now = kStart;
    auto upgraded = [&] {
      return std::all_of(a.view.servers.begin(), a.view.servers.end(), [](const auto& server) {
        return server.announced.models[0].version == "2";
      });
    };
    for (; !upgraded() && now < kStart + seconds(900); now += milliseconds(200)) {
      for (BackendServer& server : a.view.servers) {
        auto load = loading.find(server.announced.address);
        if (load == loading.end() || now < load->second) continue;
        server.announced.models[0].version = "2";
        loading.erase(load);
      }
      if (lost == 0 && run % 5 == 0 && now > kStart + seconds(5)) {
        loading.erase(a.view.servers.back().announced.address);
        a.view.servers.pop_back();
        lost = 1;
      }
      const Time rate_limited_until = a.state.rate_limited_until;
      OrdererActions actions = a.Tick(now);
      if (actions.put) a.Accept(10 + a.state.put_count, now);
      bool starts = false;
      for (const Order& order : actions.orders) {
        bool refuse = run % 2 == 0 && rng() % 3 == 0;
        uint64_t kind = rng() % 4;
        if (refuse) ++busy;
        // A repeated order to a server that is already loading causes no request to the weight
        // store.
        BOOST_TEST((now >= rate_limited_until || loading.count(order.address) != 0));
        OnOrderOutcome(&a.state, order,
                       refuse      ? OrderOutcome::kRateLimited
                       : kind == 0 ? OrderOutcome::kUnknown
                       : kind == 1 ? OrderOutcome::kNotSent
                                   : OrderOutcome::kAccepted,
                       now);
        if (refuse || kind == 1) continue;
        starts = loading.emplace(order.address, now + seconds(3)).second || starts;
      }
      int serving = static_cast<int>(a.view.servers.size() - loading.size());
      BOOST_TEST(static_cast<int>(loading.size()) <= a.desired().max_loading);
      // The orderer does not cause the loss of a server, but must not start a load while too few
      // serve.
      if (lost == 0 || starts) {
        BOOST_TEST(serving * 100 >= a.desired().min_available_percent * n, "run " << run);
      }
    }
    // With a lost server, min_available_percent may stop the upgrade until the fleet is complete.
    if (lost == 0) BOOST_TEST(upgraded());
    if (busy > 0) BOOST_TEST((a.state.rate_limited_until > kStart));
  }
}

namespace {

// Simulates the configuration path, as a register with compare-and-set, and three hosts with their
// own clocks.
class Simulation {
 public:
  explicit Simulation(uint64_t seed) : rng_(seed) {
    for (size_t i = 0; i < 3; ++i) hosts_.push_back(MakeNode(i));
  }

  // Runs the simulation. Returns how often two hosts had authority over a server that ignores
  // tokens at the same time.
  int Run() {
    for (Duration now{0}; now < seconds(2000); now += kStep) {
      if (now.count() % seconds(400).count() == 0) ++desired_revision_;
      DeliverPuts(now);
      for (size_t i = 0; i < hosts_.size(); ++i) StepHost(i, now);
    }
    return overlaps_;
  }

  int authority_changes = 0;
  int early_authority_steps = 0;

 private:
  static constexpr Duration kStep = milliseconds(100);
  // 1% of this lease is more than kLeaseMargin, so the allowance for clock drift is needed.
  static constexpr Duration kLongLease = seconds(100);
  struct Entry {
    uint64_t revision = 0;
    std::string host;
    Duration lease{0};
  };
  struct PutMessage {
    size_t host;
    std::string process;
    LeasePut put;
    Duration arrives;
  };
  struct Answer {
    std::string id;
    LeasePutOutcome outcome;
    uint64_t revision;
    Duration arrives;
  };
  struct Node {
    Host host;
    std::string process;
    double clock_rate;
    Duration frozen_until{0};
    Duration partitioned_until{0};
    Duration next_tick{0};
    Duration authority_until{-1};
    size_t received_entries = 0;  // number of register entries that this host has received
    std::deque<Answer> answers = {};
  };

  Duration RandomUpTo(Duration bound) {
    return Duration(static_cast<int64_t>(rng_() % static_cast<uint64_t>(bound.count())));
  }

  Node MakeNode(size_t i) {
    std::string process = std::to_string(++processes_);
    Node node{Host(std::string(1, static_cast<char>('a' + i)), process), process, 1.0};
    node.host.state.settings.lease = kLongLease;
    node.clock_rate = 1.0 + (static_cast<double>(rng_() % 3) - 1.0) * 0.495 * kMaxClockDrift;
    HostEntry third;
    third.id = HostId("c");
    third.domain = DomainId("d");
    node.host.view.hosts.push_back(third);
    node.host.view.servers = {MakeServer("s", "1", false), MakeServer("t", "1", true)};
    node.host.desired().max_loading = 2;
    node.host.desired().min_available_percent = 0;
    return node;
  }

  Time LocalTime(const Node& node, Duration now) const {
    return kStart +
           Duration(static_cast<int64_t>(static_cast<double>(now.count()) * node.clock_rate));
  }

  void DeliverPuts(Duration now) {
    for (size_t m = 0; m < messages_.size();) {
      if (messages_[m].arrives > now) {
        ++m;
        continue;
      }
      PutMessage message = messages_[m];
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(m));
      const std::string& id = message.put.request_id;
      if (results_.count(id) == 0) {
        uint64_t current = register_.empty() ? 0 : register_.back().revision;
        bool applied = current == message.put.base_revision;
        if (applied) {
          register_.push_back(
              {++revision_, hosts_[message.host].host.view.self.host.value(), message.put.lease});
        }
        results_[id] = {applied ? LeasePutOutcome::kAccepted : LeasePutOutcome::kConflict,
                        revision_};
      }
      Answer answer{id, results_[id].first, results_[id].second, now + RandomUpTo(seconds(2))};
      if (rng_() % 4 == 0) answer = {id, LeasePutOutcome::kUnknown, 0, now + seconds(2)};
      if (hosts_[message.host].process == message.process) {
        hosts_[message.host].answers.push_back(answer);
      }
    }
  }

  void StepHost(size_t i, Duration now) {
    Node& node = hosts_[i];
    if (now < node.frozen_until) return;
    if (rng_() % 6000 == 0) {
      Duration previous_authority_until = node.authority_until;
      node = MakeNode(i);
      node.authority_until = previous_authority_until;
    }
    if (rng_() % 1500 == 0) node.frozen_until = now + RandomUpTo(kLongLease * 2);
    if (rng_() % 1500 == 0) node.partitioned_until = now + RandomUpTo(kLongLease * 2);
    if (now < node.frozen_until) return;
    if (now >= node.partitioned_until && rng_() % 3 == 0) node.received_entries = register_.size();
    for (size_t n = node.answers.size(); n > 0; --n) {
      Answer answer = node.answers.front();
      node.answers.pop_front();
      if (answer.arrives > now || now < node.partitioned_until) {
        node.answers.push_back(answer);
      } else {
        OnLeasePutOutcome(&node.host.state, answer.id, answer.outcome, answer.revision,
                          LocalTime(node, now), &node.host.events);
      }
    }
    if (now >= node.next_tick) Tick(i, now);
    CheckAuthority(i, now);
  }

  void Tick(size_t i, Duration now) {
    Node& node = hosts_[i];
    node.next_tick = now + RandomUpTo(milliseconds(400));
    node.host.desired().revision = desired_revision_;
    if (node.received_entries > 0) {
      const Entry& entry = register_[node.received_entries - 1];
      node.host.ObserveEntry(entry.revision, entry.host, entry.lease);
    }
    // The membership may report a live host as failed or a failed host as alive.
    for (HostEntry& entry : node.host.view.hosts) {
      if (rng_() % 50 == 0) entry.status = rng_() % 2 ? HostStatus::kAlive : HostStatus::kFailed;
    }
    OrdererActions actions = node.host.Tick(LocalTime(node, now));
    if (actions.put) {
      Duration delay = rng_() % 2 == 0 ? Duration{0} : RandomUpTo(seconds(3));
      messages_.push_back({i, node.process, *actions.put, now + delay});
    }
    // The outcomes stay unknown, so that the servers continue to need orders.
    for (const Order& order : actions.orders) {
      OnOrderOutcome(&node.host.state, order, OrderOutcome::kUnknown, LocalTime(node, now));
    }
  }

  // An order that is sent now may still be executed until kMaxOrderDelay has passed.
  void CheckAuthority(size_t i, Duration now) {
    Node& node = hosts_[i];
    if (!MaySendOrder(node.host.state, false, LocalTime(node, now))) {
      if (MaySendOrder(node.host.state, true, LocalTime(node, now))) ++early_authority_steps;
      return;
    }
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (j != i && now < hosts_[j].authority_until) ++overlaps_;
    }
    if (last_authority_ != static_cast<int>(i)) ++authority_changes;
    last_authority_ = static_cast<int>(i);
    node.authority_until = now + kMaxOrderDelay;
  }

  std::mt19937_64 rng_;
  std::vector<Node> hosts_;
  std::vector<Entry> register_;
  std::map<std::string, std::pair<LeasePutOutcome, uint64_t>> results_;
  std::vector<PutMessage> messages_;
  uint64_t revision_ = 0;
  uint64_t desired_revision_ = 1;
  int processes_ = 0;
  int overlaps_ = 0;
  int last_authority_ = -1;
};

}  // namespace

// Guards against two orderers that have authority over a server that ignores tokens at the same
// time. The simulation has drifting clocks, delayed and repeated puts, stale replicas, wrong
// membership, frozen processes and restarts.
BOOST_AUTO_TEST_CASE(HostsNeverHoldAuthorityAtTheSameTime) {
  constexpr uint64_t kSeeds = 100;
  int changes = 0;
  int early_steps = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    BOOST_TEST(simulation.Run() == 0, "two orderers with authority, seed " << seed);
    changes += simulation.authority_changes;
    early_steps += simulation.early_authority_steps;
  }
  std::cout << "authority changes: " << changes
            << ", steps with authority after an early takeover: " << early_steps << "\n";
  // The simulation proves nothing unless authority changes hands and leases are taken over early.
  BOOST_TEST(changes > 200);
  BOOST_TEST(early_steps > 200);
}

}  // namespace ebonylift
