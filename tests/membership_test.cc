#define BOOST_TEST_MODULE membership
#include "core/membership.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <functional>
#include <queue>
#include <set>

#include "core/routing.h"

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20'261'203;

// Simulates a network of membership state machines with message delay, loss and cut links. Time
// advances in steps of 10 ms.
class Network {
 public:
  Network(int domains, int hosts_per_domain, uint64_t seed = kSeed,
          const MembershipParams& params = MembershipParams())
      : rng_(seed) {
    std::vector<HostEntry> all;
    for (int d = 0; d < domains; ++d) {
      for (int h = 0; h < hosts_per_domain; ++h) all.push_back(Entry(d, h));
    }
    for (const HostEntry& self : all) {
      std::vector<HostEntry> peers;
      for (const HostEntry& peer : all) {
        if (!(peer.id == self.id)) peers.push_back(peer);
      }
      nodes_[self.id] = {MakeMembership(self, peers, params), true, 0};
    }
  }

  static HostId Id(int domain, int host) {
    return HostId("d" + std::to_string(domain) + "h" + std::to_string(host));
  }

  Membership& at(int domain, int host) { return nodes_.at(Id(domain, host)).state; }
  Time now() const { return now_; }
  std::mt19937_64& rng() { return rng_; }
  std::vector<HostId> ids() const {
    std::vector<HostId> ids;
    for (const auto& [id, node] : nodes_) ids.push_back(id);
    return ids;
  }
  Membership& state(const HostId& id) { return nodes_.at(id).state; }
  uint64_t sent(const HostId& id) const { return nodes_.at(id).sent; }
  size_t largest_message() const { return largest_message_; }
  const std::vector<StatusChange>& changes() const { return changes_; }
  void ClearChanges() { changes_.clear(); }

  void SetRunning(const HostId& id, bool running) { nodes_.at(id).running = running; }
  // Drops the messages from one host to another for which `cut` returns true.
  void CutLinks(std::function<bool(const HostId&, const HostId&)> cut) { is_cut_ = std::move(cut); }
  void SetLoss(double loss) { loss_ = loss; }

  void Run(Duration duration) {
    for (Time end = now_ + duration; now_ < end; now_ += milliseconds(10)) Step();
  }

  // Runs until the condition holds and returns the time that took, or nullopt after `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition, Duration limit) {
    Time start = now_;
    while (now_ - start <= limit) {
      if (condition()) return now_ - start;
      Run(milliseconds(50));
    }
    return std::nullopt;
  }

  bool AllSee(const HostId& about, HostStatus status) {
    for (auto& [id, node] : nodes_) {
      if (!node.running || id == about) continue;
      if (node.state.hosts.at(about).row.status != status) return false;
    }
    return true;
  }

  bool Converged() {
    for (const HostId& id : ids()) {
      if (!AllSee(id, HostStatus::kAlive)) return false;
    }
    return true;
  }

  void Converge() {
    BOOST_TEST_REQUIRE(RunUntil([this]() { return Converged(); }, seconds(60)).has_value());
    Run(milliseconds(100));  // so that every host's status changes are collected
  }

 private:
  struct Node {
    Membership state;
    bool running = true;
    uint64_t sent = 0;
  };
  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> run;
    friend bool operator<(const Event& a, const Event& b) {
      return std::tie(b.at, b.order) < std::tie(a.at, a.order);
    }
  };

  static HostEntry Entry(int domain, int host) {
    HostEntry entry;
    entry.id = Id(domain, host);
    entry.domain = DomainId("d" + std::to_string(domain));
    entry.region = RegionId("r" + std::to_string(domain / 2));
    entry.incarnation = 100;
    return entry;
  }

  bool IsDelivered(const HostId& from, const HostId& to) {
    if (!nodes_.at(to).running) return false;
    if (is_cut_ && is_cut_(from, to)) return false;
    return std::uniform_real_distribution<double>(0, 1)(rng_) >= loss_;
  }

  Duration DelayBetween(const HostId& from, const HostId& to) {
    bool same_domain = nodes_.at(from).state.self.domain == nodes_.at(to).state.self.domain;
    return same_domain ? milliseconds(1) : milliseconds(55);
  }

  void Schedule(Duration delay, std::function<void()> run) {
    queue_.push({now_ + delay, order_++, std::move(run)});
  }

  void RecordSent(const HostId& from, const GossipMessage& message) {
    ++nodes_.at(from).sent;
    size_t bytes = 0;
    for (const HostRow& row : message.hosts) bytes += RowBytes(row);
    for (const SummaryRow& row : message.summaries) bytes += RowBytes(row);
    largest_message_ = std::max(largest_message_, bytes);
  }

  using ReplyCallback = std::function<void(std::optional<GossipMessage>, bool reached)>;

  // Simulates a call from `from` to `to` and its reply. With a target, `to` probes it first.
  void Call(const HostId& from, const HostId& to, const GossipMessage& message,
            const HostId& target, Duration timeout, const ReplyCallback& done) {
    RecordSent(from, message);
    auto finished = std::make_shared<bool>(false);
    auto finish = [finished, done](std::optional<GossipMessage> reply, bool reached) {
      if (*finished) return;
      *finished = true;
      done(std::move(reply), reached);
    };
    Schedule(timeout, [finish]() { finish(std::nullopt, false); });
    if (!IsDelivered(from, to)) return;
    Schedule(DelayBetween(from, to), [=]() {
      if (!nodes_.at(to).running) return;
      GossipMessage reply = OnGossip(&nodes_.at(to).state, from, message, now_, rng_);
      auto answer = [=](bool reached) {
        RecordSent(to, reply);
        if (!IsDelivered(to, from)) return;
        Schedule(DelayBetween(to, from), [=]() { finish(reply, reached); });
      };
      if (target.empty()) return answer(false);
      Call(to, target, MakeGossip(&nodes_.at(to).state, target, rng_), HostId(), milliseconds(250),
           [=](std::optional<GossipMessage> probed, bool) {
             if (probed) OnAck(&nodes_.at(to).state, 0, target, *probed, false, now_);
             answer(probed.has_value());
           });
    });
  }

  void Step() {
    while (!queue_.empty() && queue_.top().at <= now_) {
      auto run = queue_.top().run;
      queue_.pop();
      run();
    }
    for (auto& [id, node] : nodes_) {
      if (!node.running || now_.time_since_epoch() % milliseconds(50) != Duration(0)) continue;
      for (const SendProbe& probe : Tick(&node.state, now_, rng_)) {
        Membership* state = &node.state;
        uint64_t token = probe.token;
        HostId to = probe.to;
        Call(id, to, probe.message, probe.target, probe.timeout,
             [this, state, token, to](std::optional<GossipMessage> reply, bool reached) {
               if (reply) return OnAck(state, token, to, *reply, reached, now_);
               OnProbeFailed(state, token, now_);
             });
      }
      for (const StatusChange& change : TakeChanges(&node.state)) changes_.push_back(change);
    }
  }

  std::map<HostId, Node> nodes_;
  std::priority_queue<Event> queue_;
  std::mt19937_64 rng_;
  Time now_ = Time(seconds(1000));
  uint64_t order_ = 0;
  double loss_ = 0;
  size_t largest_message_ = 0;
  std::function<bool(const HostId&, const HostId&)> is_cut_;
  std::vector<StatusChange> changes_;
};

HostEntry MakeHost(const std::string& id, const std::string& domain = "d0") {
  HostEntry entry;
  entry.id = HostId(id);
  entry.domain = DomainId(domain);
  entry.region = RegionId("r0");
  entry.incarnation = 100;
  return entry;
}

// The hosts that may be asked for a revision: all but these.
std::function<bool(const HostId&)> AllBut(const std::set<std::string>& excluded) {
  return [excluded](const HostId& host) { return excluded.count(host.value()) == 0; };
}

// A direct message in which the host names its revision of the configuration.
void ReceiveRevision(Membership* state, const HostId& from, uint64_t revision, std::mt19937_64& rng,
                     uint64_t incarnation = 1) {
  GossipMessage message;
  message.revision = revision;
  message.hosts = {{from, incarnation, 1, HostStatus::kAlive, false}};
  OnGossip(state, from, message, Time(seconds(1)), rng);
}

DomainSummary Summary(const Membership& state, const std::string& served, int servers,
                      int running) {
  DomainSummary row;
  row.domain = state.self.domain;
  row.region = state.self.region;
  row.served = served;
  row.servers = servers;
  row.slots = servers * 8;
  row.running = running;
  return row;
}

}  // namespace

// Guards against a row that is replaced by one with a smaller version. Every pair of rows is merged
// in both orders, and the one that is larger in a reference order must remain.
BOOST_AUTO_TEST_CASE(LargerVersionWinsInAnyOrder) {
  std::vector<HostRow> rows;
  for (uint64_t incarnation : {100, 101}) {
    for (uint32_t version : {1, 2}) {
      for (HostStatus status : {HostStatus::kAlive, HostStatus::kSuspect, HostStatus::kFailed}) {
        rows.push_back({HostId("b"), incarnation, version, status, false});
      }
    }
  }
  std::mt19937_64 rng(kSeed);
  for (size_t i = 0; i < rows.size(); ++i) {
    for (size_t j = 0; j < rows.size(); ++j) {
      Membership state = MakeMembership(MakeHost("a"), {MakeHost("b"), MakeHost("c")}, {});
      GossipMessage message;
      message.hosts = {rows[i], rows[j]};
      OnGossip(&state, HostId("c"), message, Time(seconds(1)), rng);
      const HostRow& want = rows[std::max(i, j)];  // rows are listed in the reference order
      const HostRow& got = state.hosts.at(HostId("b")).row;
      BOOST_TEST(got.incarnation == want.incarnation);
      BOOST_TEST(got.version == want.version);
      BOOST_TEST((got.status == want.status));
    }
  }
}

// Guards against unbounded memory use by rows of unknown hosts.
BOOST_AUTO_TEST_CASE(UnknownHostsAreIgnored) {
  Membership state = MakeMembership(MakeHost("a"), {MakeHost("b")}, {});
  std::mt19937_64 rng(kSeed);
  GossipMessage message;
  message.hosts = {{HostId("x"), 1, 1, HostStatus::kAlive, false}};
  OnGossip(&state, HostId("y"), message, Time(seconds(1)), rng);
  BOOST_TEST(state.hosts.size() == 2u);
}

// Guards against hosts that never learn of each other.
BOOST_AUTO_TEST_CASE(HostsLearnOfEachOther) {
  Network network(3, 4);
  network.Converge();
  BOOST_TEST(network.Converged());
}

// Guards against a failed host that is never detected, and against suspecting any other host.
BOOST_AUTO_TEST_CASE(DeadHostIsSuspectedThenFailed) {
  Network network(3, 5);
  network.Converge();
  network.ClearChanges();
  HostId dead = Network::Id(1, 2);
  network.SetRunning(dead, false);
  auto suspected = network.RunUntil(
      [&]() {
        for (int h : {0, 1, 3, 4}) {
          if (network.at(1, h).hosts.at(dead).row.status != HostStatus::kAlive) continue;
          return false;
        }
        return true;
      },
      seconds(5));
  BOOST_TEST(suspected.has_value());
  auto failed =
      network.RunUntil([&]() { return network.AllSee(dead, HostStatus::kFailed); }, seconds(20));
  BOOST_TEST(failed.has_value());
  BOOST_TEST_MESSAGE("suspected in the failure domain after "
                     << ToMillis(suspected.value_or(Duration(0))) << " ms, failed everywhere "
                     << ToMillis(failed.value_or(Duration(0))) << " ms later");
  for (const StatusChange& change : network.changes()) BOOST_TEST((change.host == dead));
}

// Guards against a host that stays suspected or failed after it resumes from a pause.
BOOST_AUTO_TEST_CASE(PausedHostRefutesSuspicion) {
  for (Duration stop : {Duration(milliseconds(1500)), Duration(seconds(10))}) {
    Network network(2, 4);
    network.Converge();
    HostId host = Network::Id(0, 1);
    network.SetRunning(host, false);
    network.Run(stop);
    bool lost = network.at(0, 0).hosts.at(host).row.status != HostStatus::kAlive;
    network.SetRunning(host, true);
    BOOST_TEST(lost);
    network.ClearChanges();
    BOOST_TEST(network.RunUntil([&]() { return network.Converged(); }, seconds(15)).has_value());
    BOOST_TEST(network.state(host).hosts.at(host).row.version > 1u);
    // The paused host must not suspect others because of its own pause.
    for (const StatusChange& change : network.changes()) BOOST_TEST((change.host == host));
  }
}

// Guards against suspecting a host because a single link within its failure domain is cut.
BOOST_AUTO_TEST_CASE(IndirectProbesCoverOneCutLink) {
  Network network(1, 5);
  network.Converge();
  network.ClearChanges();
  HostId a = Network::Id(0, 0);
  HostId b = Network::Id(0, 1);
  network.CutLinks(
      [=](const HostId& x, const HostId& y) { return (x == a && y == b) || (x == b && y == a); });
  network.Run(seconds(30));
  BOOST_TEST(network.changes().empty());
}

// Guards against declaring hosts failed on a network that loses messages.
BOOST_AUTO_TEST_CASE(MessageLossDoesNotFailHosts) {
  for (uint64_t seed = kSeed; seed < kSeed + 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Network network(2, 6, seed);
      network.Converge();
      network.ClearChanges();
      network.SetLoss(0.1);
      network.Run(seconds(60));
      int failed = 0;
      for (const StatusChange& change : network.changes()) {
        if (change.status == HostStatus::kFailed) ++failed;
      }
      BOOST_TEST(failed == 0);
    }
  }
}

// Guards against rows that changed during a partition and still differ after it.
BOOST_AUTO_TEST_CASE(RowsConvergeAfterPartition) {
  Network network(4, 3);
  network.Converge();
  network.CutLinks([](const HostId& x, const HostId& y) {
    return (x.value()[1] == '0') != (y.value()[1] == '0');
  });
  SetLeaving(&network.at(0, 1));
  network.SetRunning(Network::Id(2, 2), false);
  network.Run(seconds(60));
  BOOST_TEST((network.at(0, 0).hosts.at(Network::Id(0, 1)).row.status == HostStatus::kLeaving));
  BOOST_TEST((network.at(1, 0).hosts.at(Network::Id(0, 1)).row.status == HostStatus::kAlive));
  // An unreachable failure domain is shown as suspected on this side; its rows do not change.
  for (const HostEntry& entry : HostEntries(network.at(1, 0))) {
    if (entry.domain.value() == "d0") BOOST_TEST((entry.status == HostStatus::kSuspect));
  }
  network.CutLinks(nullptr);
  BOOST_TEST(network
                 .RunUntil(
                     [&]() {
                       return network.AllSee(Network::Id(0, 1), HostStatus::kLeaving) &&
                              network.AllSee(Network::Id(2, 2), HostStatus::kFailed);
                     },
                     seconds(20))
                 .has_value());
}

// Guards against a process that resumes from a pause and then suspects all other hosts.
BOOST_AUTO_TEST_CASE(PausedHostDoesNotSuspectOthers) {
  Membership state = MakeMembership(MakeHost("a"), {MakeHost("b"), MakeHost("c")}, {});
  std::mt19937_64 rng(kSeed);
  Time now = Time(seconds(10));
  GossipMessage message;
  message.hosts = {{HostId("b"), 1, 1, HostStatus::kAlive, false},
                   {HostId("c"), 1, 1, HostStatus::kAlive, false}};
  OnGossip(&state, HostId("b"), message, now, rng);
  TakeChanges(&state);
  Tick(&state, now, rng);
  now += seconds(30);
  Tick(&state, now, rng);
  BOOST_TEST(TakeChanges(&state).empty());
}

// Guards against gossip traffic per host that grows with the number of hosts, up to the 390 hosts
// of the design. A new revision must be known on every host early enough to be in force within 7 s.
BOOST_AUTO_TEST_CASE(GossipCostAndLatencyAtFullSize) {
  struct Row {
    int domains;
    int hosts;
  };
  std::vector<double> rates;
  for (const Row& row : {Row{6, 10}, Row{39, 10}}) {
    Network network(row.domains, row.hosts);
    network.Run(seconds(30));
    uint64_t before = 0;
    for (const HostId& id : network.ids()) before += network.sent(id);
    SetRevision(&network.at(3, 3), 7);
    auto propagation = network.RunUntil(
        [&]() {
          for (const HostId& id : network.ids()) {
            if (network.state(id).newest_revision != 7) return false;
          }
          return true;
        },
        seconds(10));
    BOOST_TEST(propagation.has_value());
    BOOST_TEST(ToMillis(propagation.value_or(seconds(10))) <= 6000);
    network.Run(seconds(10));
    uint64_t sent = 0;
    for (const HostId& id : network.ids()) sent += network.sent(id);
    double time_s =
        static_cast<double>((propagation.value_or(seconds(10)) + seconds(10)).count()) / 1e6;
    rates.push_back(static_cast<double>(sent - before) / static_cast<double>(network.ids().size()) /
                    time_s);
    BOOST_TEST(network.largest_message() <= MembershipParams().max_row_bytes + 64);
    BOOST_TEST_MESSAGE(row.domains * row.hosts
                       << " hosts: revision known everywhere after "
                       << ToMillis(propagation.value_or(Duration(0))) << " ms, " << rates.back()
                       << " messages and replies per host and second, largest "
                       << network.largest_message() << " bytes of rows");
  }
  BOOST_TEST(rates[1] < rates[0] * 1.1);
}

// Guards against an unreachable host that is shown as alive because its own messages still arrive.
BOOST_AUTO_TEST_CASE(OneWayLinkFailureIsShownAsSuspect) {
  Network network(2, 2);
  network.Converge();
  HostId from = Network::Id(0, 0);
  HostId to = Network::Id(1, 0);
  auto shown_status = [&]() {
    for (const HostEntry& entry : HostEntries(network.state(from))) {
      if (entry.id == to) return entry.status;
    }
    return HostStatus::kFailed;
  };
  network.CutLinks([=](const HostId& x, const HostId& y) { return x == from && y == to; });
  BOOST_TEST(network.RunUntil([&]() { return shown_status() == HostStatus::kSuspect; }, seconds(30))
                 .has_value());
  for (int i = 0; i < 100; ++i) {
    network.Run(milliseconds(100));
    BOOST_TEST((shown_status() == HostStatus::kSuspect));
  }
  BOOST_TEST(network.AllSee(to, HostStatus::kAlive));
  network.CutLinks(nullptr);
  BOOST_TEST(network.RunUntil([&]() { return shown_status() == HostStatus::kAlive; }, seconds(5))
                 .has_value());
}

// Guards against pulling the configuration from a host in another failure domain although one in
// this domain has a newer revision, from a host without a newer revision, and from an unreachable
// one.
BOOST_AUTO_TEST_CASE(PullPrefersOwnFailureDomain) {
  Membership state =
      MakeMembership(MakeHost("a"), {MakeHost("b"), MakeHost("c", "d1"), MakeHost("e", "d1")}, {});
  std::mt19937_64 rng(kSeed);
  Time now = Time(seconds(1));
  auto receive_from = [&](const std::string& id, uint64_t revision) {
    GossipMessage message;
    message.revision = revision;
    message.newest_revision = 9;
    message.newest_holder = HostId("e");
    message.hosts = {{HostId(id), 1, 1, HostStatus::kAlive, false}};
    OnGossip(&state, HostId(id), message, now, rng);
  };
  BOOST_TEST(!PullTarget(state, rng, AllBut({})).has_value());
  receive_from("b", 0);
  BOOST_TEST((PullTarget(state, rng, AllBut({})) ==
              HostId("e")));  // only known from the message of another host
  receive_from("c", 9);
  BOOST_TEST((PullTarget(state, rng, AllBut({})) == HostId("c")));
  receive_from("b", 8);
  BOOST_TEST((PullTarget(state, rng, AllBut({})) == HostId("b")));
  OnConnection(&state, HostId("b"), false, now);
  BOOST_TEST((PullTarget(state, rng, AllBut({})) == HostId("c")));
  SetRevision(&state, 9);
  BOOST_TEST(!PullTarget(state, rng, AllBut({})).has_value());
}

// Guards against a host that asks nobody for a revision it knows of, because it takes all hosts
// that have it for lost.
BOOST_AUTO_TEST_CASE(PullFallsBackToSuspectedHosts) {
  Membership state = MakeMembership(MakeHost("a"), {MakeHost("b"), MakeHost("c")}, {});
  std::mt19937_64 rng(kSeed);
  Time now = Time(seconds(1));
  for (const char* id : {"b", "c"}) ReceiveRevision(&state, HostId(id), 9, rng);
  OnConnection(&state, HostId("b"), false, now);
  OnConnection(&state, HostId("c"), false, now);
  BOOST_TEST((PullTarget(state, rng, AllBut({"c"})) == HostId("b")));
  BOOST_TEST(!PullTarget(state, rng, AllBut({"b", "c"})).has_value());
}

// Guards against a host that has just started and asks hosts to which it has no connection, one
// after the other, while it is connected to others that have the revision.
BOOST_AUTO_TEST_CASE(OnlyConnectedHostsAreAsked) {
  std::vector<HostEntry> peers = {MakeHost("control", "d1")};
  for (int i = 0; i < 20; ++i) peers.push_back(MakeHost("h" + std::to_string(i)));
  Membership state = MakeMembership(MakeHost("a"), peers, {});
  std::mt19937_64 rng(kSeed);
  for (const HostEntry& peer : peers) ReceiveRevision(&state, peer.id, 9, rng);
  auto connected = [](const HostId& host) { return host == HostId("control"); };
  for (int i = 0; i < 20; ++i) BOOST_TEST((PullTarget(state, rng, connected) == HostId("control")));
}

// Guards against a host that asks one silent host of its failure domain after the other.
BOOST_AUTO_TEST_CASE(OtherDomainsAreAskedOnceAPullIsPending) {
  std::vector<HostEntry> peers = {MakeHost("control", "d1")};
  for (int i = 0; i < 4; ++i) peers.push_back(MakeHost("h" + std::to_string(i)));
  Membership state = MakeMembership(MakeHost("a"), peers, {});
  std::mt19937_64 rng(kSeed);
  for (const HostEntry& peer : peers) ReceiveRevision(&state, peer.id, 9, rng);
  std::set<HostId> asked;
  for (int i = 0; i < 100; ++i) asked.insert(*PullTarget(state, rng, AllBut({"h0"}), false));
  BOOST_TEST(asked.size() == 4u);
  BOOST_TEST(asked.count(HostId("control")) == 1u);
}

// Guards against pulls from a restarted host that had a revision before, and against a restarted
// host that is not told of a revision because the process before had it.
BOOST_AUTO_TEST_CASE(RevisionOfARestartedHostIsNotAssumed) {
  Membership state = MakeMembership(MakeHost("a"), {MakeHost("b"), MakeHost("c")}, {});
  std::mt19937_64 rng(kSeed);
  for (const char* id : {"b", "c"}) ReceiveRevision(&state, HostId(id), 9, rng, 100);
  // The new process may have a smaller incarnation if the clock was set back.
  ReceiveRevision(&state, HostId("b"), 0, rng, 99);
  for (int i = 0; i < 20; ++i) BOOST_TEST((PullTarget(state, rng, AllBut({})) == HostId("c")));
  SetRevision(&state, 9);
  BOOST_TEST(
      (HostsToTell(state, {HostId("b"), HostId("c")}, 3, rng) == std::vector<HostId>{HostId("b")}));
}

// Guards against hosts that are never told directly, because the same ones are always told first.
BOOST_AUTO_TEST_CASE(HostsToTellAreDrawnFromAll) {
  std::vector<HostEntry> peers;
  std::vector<HostId> ids;
  for (int i = 0; i < 20; ++i) {
    peers.push_back(MakeHost("h" + std::to_string(i)));
    ids.push_back(peers.back().id);
  }
  Membership state = MakeMembership(MakeHost("a"), peers, {});
  std::mt19937_64 rng(kSeed);
  for (const HostId& id : ids) ReceiveRevision(&state, id, 0, rng);
  SetRevision(&state, 1);
  std::set<HostId> told;
  for (int i = 0; i < 50; ++i) {
    std::vector<HostId> hosts = HostsToTell(state, ids, 3, rng);
    BOOST_TEST(hosts.size() == 3u);
    told.insert(hosts.begin(), hosts.end());
  }
  BOOST_TEST(told.size() == ids.size());
}

// Guards against a failure domain with two reporters or none, and against summaries that remain
// after the servers or the reporter are gone.
BOOST_AUTO_TEST_CASE(SummariesFollowReporterChange) {
  Network network(2, 3);
  network.Converge();
  auto report = [&](int servers) {
    int reporters = 0;
    for (const HostId& id : network.ids()) {
      Membership& state = network.state(id);
      if (!IsReporter(state)) continue;
      ++reporters;
      std::vector<DomainSummary> rows;
      if (servers > 0) rows.push_back(Summary(state, "m1", servers, 1));
      ReportSummaries(&state, rows, static_cast<uint64_t>(network.now().time_since_epoch().count()),
                      network.now());
    }
    return reporters;
  };
  auto summary_seen = [&](int servers) {
    return network
        .RunUntil(
            [&]() {
              for (int h : {0, 1, 2}) {
                bool found = false;
                for (const DomainSummary& row : Summaries(network.at(1, h))) {
                  if (row.domain.value() == "d0") found = row.servers == servers;
                }
                if (!found) return false;
              }
              return true;
            },
            seconds(15))
        .has_value();
  };
  BOOST_TEST(report(4) == 2);
  BOOST_TEST(summary_seen(4));
  BOOST_TEST(report(0) == 2);
  BOOST_TEST(summary_seen(0));
  network.SetRunning(Network::Id(0, 0), false);
  network.Run(seconds(20));
  BOOST_TEST(IsReporter(network.at(0, 1)));
  BOOST_TEST(!IsReporter(network.at(0, 2)));
  BOOST_TEST(report(5) >= 2);
  BOOST_TEST(summary_seen(5));
  network.Run(MembershipParams().summary_lifetime + seconds(1));
  BOOST_TEST(Summaries(network.at(1, 1)).empty());
}

// Guards against a region that another one takes to be without servers, for seconds, twice a
// minute: the summary of servers without load expires while its next report is on its way.
BOOST_AUTO_TEST_CASE(SummariesWithoutChangeDoNotExpire) {
  constexpr int kDomains = 6;
  Network network(kDomains, 8);
  network.Converge();
  auto report = [&] {
    auto stamp = static_cast<uint64_t>(network.now().time_since_epoch().count());
    for (const HostId& id : network.ids()) {
      Membership& state = network.state(id);
      if (IsReporter(state))
        ReportSummaries(&state, {Summary(state, "m1", 4, 0)}, stamp, network.now());
    }
  };
  report();
  network.Run(seconds(10));
  const HostId reporter = Network::Id(0, 0);
  Time stopped_at = network.now() + seconds(100);  // between two reports of this host
  int expired = 0;
  Duration oldest{0};
  for (Time end = network.now() + seconds(200); network.now() < end;) {
    if (network.now() >= stopped_at) network.SetRunning(reporter, false);
    network.Run(milliseconds(100));
    report();
    for (const HostId& id : network.ids()) {
      if (network.now() >= stopped_at && id == reporter) continue;
      std::vector<DomainSummary> summaries = Summaries(network.state(id));
      BOOST_TEST_REQUIRE(summaries.size() == static_cast<size_t>(kDomains));
      for (const DomainSummary& summary : summaries) {
        Duration age = network.now() - summary.reported_at;
        oldest = std::max(oldest, age);
        if (age > kSummaryTtl) ++expired;
      }
    }
  }
  BOOST_TEST(expired == 0, expired << " expired, the oldest was of " << ToMillis(oldest) << " ms");
}

// Guards against reporting a summary on every load change, and against reporting a large load
// change or a changed number of servers late.
BOOST_AUTO_TEST_CASE(SummaryReportsAreRateLimited) {
  struct Row {
    const char* name;
    std::function<int(int)> servers;  // by number of the step; a step is 500 ms
    std::function<int(int)> running;
    int reports;  // in 100 s
  };
  const std::vector<Row> rows = {
      {"no change", [](int) { return 4; }, [](int) { return 10; }, 4},
      {"the load changes all the time", [](int) { return 4; }, [](int i) { return i; }, 50},
      {"small load changes", [](int) { return 4; }, [](int i) { return 10 + i % 2; }, 10},
      {"a server is added", [](int i) { return 4 + i / 100; }, [](int) { return 10; }, 4},
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      Membership state = MakeMembership(MakeHost("a"), {MakeHost("b")}, {});
      int reports = 0;
      uint64_t last = 0;
      for (int i = 0; i < 200; ++i) {
        DomainSummary summary = Summary(state, "m1", row.servers(i), row.running(i));
        uint64_t stamp = last + 1;
        ReportSummaries(&state, {summary}, stamp, Time(seconds(100) + milliseconds(500 * i)));
        uint64_t version = Summaries(state).at(0).version;
        if (version != last) ++reports;
        last = version;
        BOOST_TEST(Summaries(state).at(0).servers == row.servers(i));
      }
      BOOST_TEST(reports == row.reports);
    }
  }
}

// Guards against a host that starts after a summary has been sent often enough, and that then
// cannot forward requests to that failure domain until the next report: after a loss of power of
// all machines that took 0.5 to 1 s, and without load it would take `summary_refresh`.
BOOST_AUTO_TEST_CASE(StartedHostGetsAllSummaries) {
  constexpr int kServedNames = 60;  // more summaries than fit into one message
  std::mt19937_64 rng(kSeed);
  Membership reporter =
      MakeMembership(MakeHost("a"), {MakeHost("b", "d1"), MakeHost("c", "d1")}, {});
  std::vector<DomainSummary> rows;
  for (int i = 0; i < kServedNames; ++i) {
    rows.push_back(Summary(reporter, "model-" + std::to_string(i), 1, 0));
  }
  Time now(seconds(100));
  ReportSummaries(&reporter, rows, 1, now);
  for (bool all_sent = false; !all_sent;) {
    all_sent = MakeGossip(&reporter, HostId("c"), rng).summaries.empty();
  }
  for (uint64_t incarnation : {100, 101}) {
    BOOST_TEST_CONTEXT("incarnation " << incarnation) {
      HostEntry self = MakeHost("b", "d1");
      self.incarnation = incarnation;
      Membership started = MakeMembership(self, {MakeHost("a")}, {});
      size_t messages = 0;
      for (bool more = true; more; ++messages) {
        GossipMessage request = MakeGossip(&started, HostId("a"), rng);
        GossipMessage reply = OnGossip(&reporter, HostId("b"), request, now, rng);
        more = !reply.summaries.empty();
        OnAck(&started, 0, HostId("a"), reply, false, now);
      }
      BOOST_TEST(Summaries(started).size() == static_cast<size_t>(kServedNames));
      BOOST_TEST(messages > 2u, "the limit of a message holds");
      BOOST_TEST(messages < 10u, "each summary is sent once to the host");
    }
  }
}

// Guards against summaries that a started host gets late because the rows of the hosts that it does
// not know either fill the messages.
BOOST_AUTO_TEST_CASE(HostRowsLeaveRoomForSummaries) {
  constexpr int kHosts = 40;  // more rows than fit into one message
  std::mt19937_64 rng(kSeed);
  std::vector<HostEntry> peers = {MakeHost("b", "d1")};
  GossipMessage rows_of_all;
  for (int i = 0; i < kHosts; ++i) {
    peers.push_back(MakeHost("peer" + std::to_string(i)));
    rows_of_all.hosts.push_back({peers.back().id, 100, 1, HostStatus::kAlive, false});
  }
  Membership reporter = MakeMembership(MakeHost("a"), peers, {});
  Time now(seconds(100));
  OnGossip(&reporter, HostId("peer0"), rows_of_all, now, rng);
  // Longer than what is left of a message that is filled with host rows.
  std::string served(60, 'm');
  ReportSummaries(&reporter, {Summary(reporter, served, 1, 0)}, 1, now);
  Membership started = MakeMembership(MakeHost("b", "d1"), {MakeHost("a")}, {});
  GossipMessage request = MakeGossip(&started, HostId("a"), rng);
  GossipMessage reply = OnGossip(&reporter, HostId("b"), request, now, rng);
  BOOST_TEST(reply.summaries.size() == 1u);
  BOOST_TEST(reply.hosts.size() > 10u, "the rest of the message is for host rows");
}

}  // namespace ebonylift
