#define BOOST_TEST_MODULE consensus
#include "core/consensus.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>

#include "base/hash.h"
#include "core/config_tree.h"

namespace ebonylift {
namespace {

// Faults that SimulatedCluster injects.
struct Faults {
  int loss_percent = 0;
  int duplicate_percent = 0;
  int long_delay_percent = 0;  // delayed by up to 4 s
  Duration max_delay = milliseconds(20);
  Duration max_write_delay = milliseconds(5);
};

// The writes and messages of one Ready. The messages are sent when the write is done.
struct PendingWrite {
  Time done_at;
  std::optional<PersistedState> persisted;  // the disk after the write; none: only messages
  PersistMark mark;
  std::vector<ConsensusMessage> send;
};

struct SimulatedHost {
  HostId id;
  bool up = true;
  Duration clock_offset{};  // the steady clocks of hosts are unrelated
  Consensus state;
  PersistedState disk;
  std::deque<PendingWrite> writes;
  ConfigTree tree;
  uint64_t max_delivered = 0;  // the largest index delivered, also before a crash
};

struct InFlightMessage {
  Time due;
  ConsensusMessage message;
};

// A deterministic simulation of a cluster. Messages and writes are queued values, and the test
// controls their delays, losses and the crashes of hosts. Checks the invariants of consensus at
// every step.
class SimulatedCluster {
 public:
  SimulatedCluster(const std::vector<std::string>& names, const std::set<HostId>& voters,
                   uint64_t seed)
      : rng_(seed), voters_(voters) {
    for (const std::string& name : names) AddHost(name);
  }

  void AddHost(const std::string& name) {
    SimulatedHost host;
    host.id = HostId(name);
    host.clock_offset = milliseconds(1'000 * (1 + rng_() % 100));
    hosts_[host.id] = host;
    Wipe(host.id);
  }

  // Starts the host with an empty disk.
  void Wipe(const HostId& id) {
    SimulatedHost& host = hosts_.at(id);
    host.writes.clear();
    host.state = NewConsensus(id, voters_, "disk" + std::to_string(++disks_created_), true,
                              Clock(host), rng_);
    host.disk = ToPersisted(host.state);
    host.tree = ConfigTree();
    host.max_delivered = 0;
    host.up = true;
  }

  // Discards unsynced writes, except that a random number of the oldest reach the disk.
  void Crash(const HostId& id) {
    SimulatedHost& host = hosts_.at(id);
    host.up = false;
    while (!host.writes.empty() && rng_() % 2 == 0) {
      if (host.writes.front().persisted) host.disk = *host.writes.front().persisted;
      host.writes.pop_front();
    }
    host.writes.clear();
  }

  void Restart(const HostId& id) {
    SimulatedHost& host = hosts_.at(id);
    host.up = true;
    host.state = RestoreConsensus(id, host.disk, Clock(host), rng_);
    host.tree = host.disk.snapshot ? FromSnapshot(*host.disk.snapshot) : ConfigTree();
    uint64_t max_delivered = host.max_delivered;
    Handle(host, Tick(&host.state, Clock(host), rng_));
    BOOST_REQUIRE_MESSAGE(host.state.delivered_index >= max_delivered,
                          "a restarted host serves an older state: " << id);
  }

  void Run(Duration duration) {
    Time end = now_ + duration;
    while (now_ < end) StepOnce();
  }

  // Runs until the condition holds, for at most `limit` of simulated time. Returns whether it
  // holds.
  bool RunUntil(const std::function<bool()>& condition, Duration limit = seconds(60)) {
    Time end = now_ + limit;
    while (now_ < end) {
      if (condition()) return true;
      StepOnce();
    }
    return condition();
  }

  void StepOnce() {
    now_ += milliseconds(5);
    Deliver();
    for (auto& [id, host] : hosts_) {
      CompleteWrites(host);
      bool tick = host.up && !frozen_.count(id) && rng_() % 4 == 0;
      if (tick) Handle(host, Tick(&host.state, Clock(host), rng_));
    }
    CheckLeases();
  }

  std::optional<Proposal> ProposePut(const HostId& id, const ConfigPut& put) {
    SimulatedHost& host = hosts_.at(id);
    auto proposal = Propose(&host.state, EntryKind::kPut, EncodePut(put, 1), Clock(host));
    if (proposal) Handle(host, proposal->ready);
    return proposal;
  }

  std::optional<Proposal> ProposeMemberSet(const HostId& id, const MemberSet& members) {
    SimulatedHost& host = hosts_.at(id);
    auto proposal = ProposeMembers(&host.state, members, Clock(host));
    if (proposal) Handle(host, proposal->ready);
    return proposal;
  }

  void Compact(const HostId& id, uint64_t keep) {
    SimulatedHost& host = hosts_.at(id);
    if (host.state.delivered_index == 0 || host.state.restore_pending) return;
    auto bytes = std::make_shared<const std::string>(ToSnapshot(host.tree));
    TakeSnapshot(&host.state, host.state.delivered_index, bytes, keep, SIZE_MAX);
    Ready ready;
    ready.persist_all = true;
    ready.mark = {LastIndex(host.state),
                  host.state.log.empty() ? host.state.base_term : host.state.log.back().term,
                  host.state.hard_state.commit};
    Handle(host, ready);
  }

  // The leader that can propose, the one with the newest term if there are two. Null if there is
  // none.
  SimulatedHost* Leader() {
    SimulatedHost* best = nullptr;
    for (auto& [id, host] : hosts_) {
      if (!host.up || !CanPropose(host.state)) continue;
      if (best == nullptr || host.state.hard_state.term > best->state.hard_state.term) best = &host;
    }
    return best;
  }

  bool Converged() {
    uint64_t last = committed_.empty() ? 0 : committed_.rbegin()->first;
    for (const auto& [id, host] : hosts_) {
      if (!host.up || host.state.delivered_index != last) return false;
    }
    return true;
  }

  Time Clock(const SimulatedHost& host) const { return now_ + host.clock_offset; }
  SimulatedHost& At(const std::string& name) { return hosts_.at(HostId(name)); }
  uint64_t LastCommitted() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }

  Faults faults;
  std::set<std::pair<HostId, HostId>> cut_links;  // from, to
  std::set<HostId> frozen_;
  std::map<HostId, SimulatedHost> hosts_;
  std::mt19937_64 rng_;
  int lease_checks = 0;
  int elections = 0;

 private:
  void Deliver() {
    for (size_t i = 0; i < in_flight_.size();) {
      if (in_flight_[i].due > now_) {
        ++i;
        continue;
      }
      ConsensusMessage message = std::move(in_flight_[i].message);
      in_flight_[i] = std::move(in_flight_.back());
      in_flight_.pop_back();
      auto to = hosts_.find(message.to);
      bool lost = to == hosts_.end() || !to->second.up ||
                  cut_links.count({message.from, message.to}) != 0 ||
                  frozen_.count(message.to) != 0;
      if (!lost) Handle(to->second, Step(&to->second.state, message, Clock(to->second), rng_));
    }
  }

  void CompleteWrites(SimulatedHost& host) {
    while (host.up && !host.writes.empty() && host.writes.front().done_at <= now_) {
      PendingWrite write = std::move(host.writes.front());
      host.writes.pop_front();
      if (write.persisted) host.disk = std::move(*write.persisted);
      for (const ConsensusMessage& message : write.send) Transmit(message);
      Handle(host, OnPersisted(&host.state, write.mark, Clock(host), rng_));
    }
  }

  void Transmit(const ConsensusMessage& message) {
    int copies = Percent(faults.duplicate_percent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Percent(faults.loss_percent)) continue;
      Duration delay = microseconds(rng_() % (faults.max_delay.count() + 1));
      if (Percent(faults.long_delay_percent)) delay = milliseconds(rng_() % 4'000);
      // Encode and decode every message, as on a real network.
      in_flight_.push_back({now_ + delay, DecodeMessage(EncodeMessage(message))});
    }
  }

  void Handle(SimulatedHost& host, const Ready& ready) {
    if (ready.NeedsPersist() || !ready.send.empty()) {
      PendingWrite write;
      write.done_at = now_;
      if (ready.NeedsPersist()) {
        write.done_at += microseconds(rng_() % (faults.max_write_delay.count() + 1));
        write.persisted = DecodePersisted(EncodePersisted(ToPersisted(host.state)));
      }
      write.mark = ready.mark;
      write.send = ready.send;
      if (!write.persisted) write.mark = PersistMark();
      host.writes.push_back(std::move(write));
    }
    if (host.state.role == Role::kLeader) CheckSingleLeader(host);
    if (ready.restored_snapshot) {
      host.tree = FromSnapshot(*ready.restored_snapshot);
      CheckTree(host, host.state.snapshot_index);
    }
    for (const LogEntry& entry : ready.committed) Apply(host, entry);
    host.max_delivered = std::max(host.max_delivered, host.state.delivered_index);
    if (host.state.role == Role::kLeader) {
      max_readable_index_ = std::max(max_readable_index_, host.state.delivered_index);
    }
  }

  void Apply(SimulatedHost& host, const LogEntry& entry) {
    auto [it, added] = committed_.emplace(entry.index, entry);
    BOOST_REQUIRE_MESSAGE(it->second == entry, "committed entry changed at " << entry.index);
    BOOST_REQUIRE(entry.index == 1 || committed_.count(entry.index - 1) == 1);
    if (entry.kind == EntryKind::kPut) {
      auto [put, accepted_at] = DecodePut(entry.data);
      PutResult result = ApplyPut(&host.tree, put, accepted_at);
      if (added && result.outcome == PutOutcome::kApplied) {
        BOOST_REQUIRE_MESSAGE(++applied_[put.request_id] == 1, "applied twice: " << put.request_id);
      }
    }
    CheckTree(host, entry.index);
  }

  void CheckTree(const SimulatedHost& host, uint64_t index) {
    uint64_t hash = Hash64(ToSnapshot(host.tree));
    auto [it, added] = tree_hashes_.emplace(index, hash);
    BOOST_REQUIRE_MESSAGE(it->second == hash, "trees differ at index " << index);
  }

  void CheckSingleLeader(const SimulatedHost& host) {
    auto [it, added] = leaders_.emplace(host.state.hard_state.term, host.id);
    BOOST_REQUIRE_MESSAGE(it->second == host.id,
                          "two leaders in term " << host.state.hard_state.term);
    if (added) ++elections;
  }

  // A host with a valid lease must know all entries that a leader could already have served.
  void CheckLeases() {
    for (const auto& [id, host] : hosts_) {
      if (!host.up || !LeaseValid(host.state, Clock(host))) continue;
      ++lease_checks;
      BOOST_REQUIRE_MESSAGE(host.state.hard_state.commit >= max_readable_index_,
                            "stale lease of " << id);
    }
  }

  bool Percent(int percent) { return static_cast<int>(rng_() % 100) < percent; }

  Time now_{seconds(1'000)};
  std::set<HostId> voters_;
  int disks_created_ = 0;
  std::vector<InFlightMessage> in_flight_;
  std::map<uint64_t, LogEntry> committed_;
  std::map<uint64_t, uint64_t> tree_hashes_;
  std::map<uint64_t, HostId> leaders_;
  std::map<std::string, int> applied_;
  uint64_t max_readable_index_ = 0;
};

std::set<HostId> Ids(const std::vector<std::string>& names) {
  std::set<HostId> ids;
  for (const std::string& name : names) ids.insert(HostId(name));
  return ids;
}

ConfigPut MakePut(const std::string& path, const std::string& value, uint64_t base,
                  const std::string& request_id) {
  ConfigPut put;
  put.path = path;
  put.value = value;
  put.base_revision = base;
  put.request_id = request_id;
  return put;
}

void Isolate(SimulatedCluster* cluster, const HostId& id) {
  for (const auto& [other, host] : cluster->hosts_) {
    if (other == id) continue;
    cluster->cut_links.insert({id, other});
    cluster->cut_links.insert({other, id});
  }
}

void PutMany(SimulatedCluster* cluster, int count, const std::string& tag) {
  for (int i = 0; i < count; ++i) {
    std::string name = tag + std::to_string(i);
    BOOST_REQUIRE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; }));
    SimulatedHost* leader = cluster->Leader();
    BOOST_REQUIRE(cluster->ProposePut(leader->id, MakePut("/" + name, "1", 0, name)));
    if (i % 20 == 0) cluster->Run(milliseconds(10));
  }
}

bool HasPut(const SimulatedHost& host, const std::string& name) {
  return host.tree.entries.count("/" + name) != 0;
}

}  // namespace

// Seeded random runs of three voters with message loss, duplication, reordering and long delays,
// partitions, frozen hosts, crashes that lose unsynced writes, compaction and one lost disk at a
// time. Guards against two leaders in one term, lost or changed committed entries, state that
// differs between hosts at the same index, a request id applied twice, a restarted host that serves
// an older state, and a lease that allows a stale read. After the faults end, all hosts must
// converge and apply a new change.
BOOST_AUTO_TEST_CASE(RandomFaultsKeepInvariants) {
  constexpr uint64_t kFirstSeed = 4'100;
  constexpr uint64_t kSeeds = 300;
  constexpr int kSteps = 6'000;
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1 << "\n";
  int lease_checks = 0;
  int elections = 0;
  uint64_t committed = 0;
  int wipes = 0;
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), seed);
      std::mt19937_64& rng = cluster.rng_;
      cluster.faults = {5, 5, 2, milliseconds(60), milliseconds(30)};
      std::vector<HostId> ids = {HostId("a"), HostId("b"), HostId("c")};
      for (int step = 0; step < kSteps; ++step) {
        cluster.StepOnce();
        HostId id = ids[rng() % 3];
        SimulatedHost& host = cluster.hosts_.at(id);
        switch (rng() % 400) {
          case 0:
            if (host.up) cluster.Crash(id);
            break;
          case 1:
          case 2:
          case 3:
            if (!host.up) cluster.Restart(id);
            break;
          case 4:
            Isolate(&cluster, id);
            break;
          case 5:
            cluster.cut_links.insert({id, ids[rng() % 3]});
            break;
          case 6:
          case 7:
          case 8:
            cluster.cut_links.clear();
            break;
          case 9:
            cluster.frozen_.insert(id);
            break;
          case 10:
          case 11:
            cluster.frozen_.clear();
            break;
          case 12:
            if (host.up) cluster.Compact(id, rng() % 5);
            break;
          case 13: {
            bool all_confirmed = true;
            for (const auto& [other, h] : cluster.hosts_) {
              all_confirmed = all_confirmed && h.up && h.state.hard_state.confirmed &&
                              h.disk.hard_state.confirmed;
            }
            if (all_confirmed && rng() % 3 == 0) {
              cluster.Wipe(id);
              ++wipes;
            }
            break;
          }
          default:
            break;
        }
        if (rng() % 12 == 0 && host.up) {
          // Few paths and request ids make resends, conflicts and deletes collide often.
          std::string path = "/p" + std::to_string(rng() % 3);
          ConfigPut put = MakePut(path, "1", 0, "r" + std::to_string(rng() % 200));
          put.base_revision = PathRevision(host.tree, path);
          if (put.base_revision != 0 && rng() % 2 == 0) put.value.reset();
          cluster.ProposePut(id, put);
        }
      }
      cluster.cut_links.clear();
      cluster.frozen_.clear();
      cluster.faults = Faults();
      for (const HostId& id : ids) {
        if (!cluster.hosts_.at(id).up) cluster.Restart(id);
      }
      // Resend the change if its leader was lost before committing it.
      auto all_have_it = [&] {
        for (const auto& [id, host] : cluster.hosts_) {
          if (!HasPut(host, "end") || !host.state.hard_state.confirmed) return false;
        }
        return cluster.Converged();
      };
      bool converged = false;
      for (int sent = 0; sent < 10 && !converged; ++sent) {
        BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
        cluster.ProposePut(cluster.Leader()->id, MakePut("/end", "1", 0, "end"));
        converged = cluster.RunUntil(all_have_it, seconds(6));
      }
      BOOST_REQUIRE(converged);
      lease_checks += cluster.lease_checks;
      elections += cluster.elections;
      committed += cluster.LastCommitted();
    }
  }
  std::cout << "elections " << elections << ", committed " << committed << ", lost disks " << wipes
            << ", lease checks " << lease_checks << "\n";
  // Ensure that the runs exercised elections, commits, lost disks and leases.
  BOOST_TEST(elections > static_cast<int>(kSeeds) * 2);
  BOOST_TEST(committed > kSeeds * 30);
  BOOST_TEST(wipes > 20);
  BOOST_TEST(lease_checks > 10'000);
}

// Guards against a partitioned leader that continues to serve reads, and against a host that forces
// a new election when it returns from a partition.
BOOST_AUTO_TEST_CASE(PartitionedLeaderStepsDownAndRejoinsAsFollower) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 11);
  PutMany(&cluster, 3, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  SimulatedHost& old_leader = *cluster.Leader();
  cluster.Run(milliseconds(500));
  BOOST_TEST(LeaseValid(old_leader.state, cluster.Clock(old_leader)));
  Isolate(&cluster, old_leader.id);
  auto stale = cluster.ProposePut(old_leader.id, MakePut("/stale", "1", 0, "stale"));
  BOOST_TEST(stale.has_value());
  cluster.Run(kLease);
  // The lease has expired, so reads are refused from here on.
  BOOST_TEST(!LeaseValid(old_leader.state, cluster.Clock(old_leader)));
  cluster.Run(milliseconds(600));
  BOOST_TEST((old_leader.state.role != Role::kLeader));
  BOOST_TEST(!cluster.ProposePut(old_leader.id, MakePut("/late", "1", 0, "late")).has_value());

  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  HostId leader = cluster.Leader()->id;
  BOOST_TEST(leader != old_leader.id);
  cluster.Run(seconds(20));  // the old leader starts many pre-votes meanwhile
  uint64_t term = cluster.Leader()->state.hard_state.term;
  BOOST_TEST(old_leader.state.hard_state.term < term);
  cluster.cut_links.clear();
  PutMany(&cluster, 1, "y");
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(old_leader, "y0") && cluster.Converged(); }));
  BOOST_TEST(cluster.Leader()->id == leader);
  BOOST_TEST(cluster.Leader()->state.hard_state.term == term);
  BOOST_TEST(!HasPut(old_leader, "stale"));
}

// Guards against seconds without a leader after a partition of all hosts has healed, during which
// configuration changes by operators have to wait.
BOOST_AUTO_TEST_CASE(LeaderElectedSoonAfterFullPartition) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), seed);
    PutMany(&cluster, 1, "x");
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    for (const char* host : {"a", "b", "c"}) Isolate(&cluster, HostId(host));
    cluster.Run(seconds(10) + milliseconds(137 * static_cast<int64_t>(seed)));
    cluster.cut_links.clear();
    bool elected =
        cluster.RunUntil([&] { return cluster.Leader() != nullptr; }, milliseconds(1'200));
    BOOST_TEST(elected, "no leader after 1.2 s with seed " << seed);
  }
}

// Guards against a frozen leader that serves reads under an expired lease when it resumes.
BOOST_AUTO_TEST_CASE(LeaseExpiresWhileLeaderIsFrozen) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 12);
  PutMany(&cluster, 1, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  SimulatedHost& old_leader = *cluster.Leader();
  cluster.frozen_.insert(old_leader.id);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != &old_leader; }));
  PutMany(&cluster, 1, "y");
  BOOST_TEST((old_leader.state.role == Role::kLeader));  // it has not learned of the new term yet
  BOOST_TEST(!LeaseValid(old_leader.state, cluster.Clock(old_leader)));
  cluster.frozen_.clear();
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(old_leader, "y0"); }));
}

// Guards against a host that restarts and then votes within the lease of the leader whose messages
// it acknowledged before.
BOOST_AUTO_TEST_CASE(RestartedVoterRefusesVoteWithinLease) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 13);
  PutMany(&cluster, 1, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  HostId leader = cluster.Leader()->id;
  HostId voter = leader == HostId("a") ? HostId("b") : HostId("a");
  HostId third = leader == HostId("c") ? HostId("b") : HostId("c");
  if (third == voter) third = HostId("c");
  cluster.Crash(voter);
  cluster.Restart(voter);
  SimulatedHost& host = cluster.hosts_.at(voter);
  ConsensusMessage request;
  request.from = third;
  request.to = voter;
  request.term = host.state.hard_state.term + 1;
  request.body = VoteRequest{false, 1'000, host.state.hard_state.term};
  Ready ready = Step(&host.state, request, cluster.Clock(host), cluster.rng_);
  BOOST_TEST(ready.send.empty());
  BOOST_TEST(host.state.hard_state.term < request.term);
}

// Guards against a host that cannot catch up once the leader has compacted the log entries that it
// needs, in particular if the snapshot is sent in several chunks with loss and duplication.
BOOST_AUTO_TEST_CASE(HostCatchesUpFromSnapshot) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 14);
  PutMany(&cluster, 1, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  HostId down = cluster.Leader()->id == HostId("a") ? HostId("b") : HostId("a");
  cluster.Crash(down);
  std::string large(20'000, 'v');
  for (int i = 0; i < 500; ++i) {
    std::string name = "n" + std::to_string(i);
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
    cluster.ProposePut(cluster.Leader()->id, MakePut("/" + name, i < 60 ? large : "1", 0, name));
    if (i % 50 == 0) cluster.Run(milliseconds(20));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(*cluster.Leader(), "n499"); }));
  for (auto& [id, host] : cluster.hosts_) {
    if (host.up) cluster.Compact(id, 0);
  }
  BOOST_TEST(cluster.Leader()->state.log.size() < 10u);
  BOOST_TEST(cluster.Leader()->state.snapshot->size() > 2 * kSnapshotChunkBytes);
  cluster.faults.loss_percent = 10;
  cluster.faults.duplicate_percent = 10;
  cluster.Restart(down);
  SimulatedHost& lagging = cluster.hosts_.at(down);
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(lagging, "n499"); }));
  BOOST_TEST(lagging.state.snapshot_index > 500u);
}

// Guards against an election among new voters before every voter has replied: the missing voter
// could be the only one that has not lost its disk.
BOOST_AUTO_TEST_CASE(FirstElectionNeedsEveryVoter) {
  SimulatedCluster cluster({"a", "b"}, Ids({"a", "b", "c"}), 15);
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.elections == 0);
  cluster.AddHost("c");
  BOOST_TEST(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }, seconds(5)));
}

// Guards against a voter with an empty disk that votes or counts towards a commit before it has
// caught up.
BOOST_AUTO_TEST_CASE(WipedVoterDoesNotVoteOrCountForCommit) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 16);
  PutMany(&cluster, 5, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  HostId leader = cluster.Leader()->id;
  HostId wiped = leader == HostId("a") ? HostId("b") : HostId("a");
  HostId other;
  for (const auto& [id, host] : cluster.hosts_) {
    if (id != leader && id != wiped) other = id;
  }
  // The stopped leader and `other` have the log. The wiped voter and `other` must not elect a
  // leader.
  cluster.Wipe(wiped);
  cluster.Crash(leader);
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader() == nullptr);
  BOOST_TEST(cluster.hosts_.at(wiped).state.disk_lost);
  BOOST_TEST(!cluster.hosts_.at(wiped).state.hard_state.confirmed);
  // With the old leader restarted but `other` stopped there is still no quorum.
  cluster.Crash(other);
  cluster.Restart(leader);
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader() == nullptr);
  cluster.Restart(other);
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return cluster.hosts_.at(wiped).state.hard_state.confirmed; }));
  BOOST_TEST(HasPut(cluster.hosts_.at(wiped), "x4"));
  BOOST_TEST(!cluster.hosts_.at(wiped).state.disk_lost);
}

// Guards against losing changes when a second host fails right after a voter was replaced.
BOOST_AUTO_TEST_CASE(SecondFailureAfterReplacementLosesNoChange) {
  SimulatedCluster cluster({"a", "b", "c", "d"}, Ids({"a", "b", "c"}), 17);
  PutMany(&cluster, 50, "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(*cluster.Leader(), "x49"); }));
  HostId leader = cluster.Leader()->id;
  HostId failed = leader == HostId("c") ? HostId("b") : HostId("c");
  cluster.Crash(failed);
  MemberSet members = cluster.Leader()->state.members;
  members.learners.insert(HostId("d"));
  BOOST_REQUIRE(cluster.ProposeMemberSet(leader, members));
  BOOST_TEST(!cluster.ProposeMemberSet(leader, members).has_value());  // one change at a time
  SimulatedHost& added = cluster.At("d");
  BOOST_REQUIRE(cluster.RunUntil([&] { return IsVoter(added.state); }));
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.Leader() != nullptr &&
           cluster.Leader()->state.members_index <= cluster.Leader()->state.hard_state.commit;
  }));
  members = cluster.Leader()->state.members;
  members.voters.erase(failed);
  BOOST_REQUIRE(cluster.ProposeMemberSet(cluster.Leader()->id, members));
  PutMany(&cluster, 1, "y");
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(*cluster.Leader(), "y0"); }));
  // The second failure: the leader, including its disk.
  HostId second = cluster.Leader()->id;
  cluster.Crash(second);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  PutMany(&cluster, 1, "z");
  BOOST_REQUIRE(cluster.RunUntil([&] { return HasPut(added, "z0"); }));
  for (int i = 0; i < 50; ++i) BOOST_TEST(HasPut(added, "x" + std::to_string(i)));
  BOOST_TEST(HasPut(added, "y0"));
}

// Guards against a membership change by two voters at once: the quorums before and after might not
// overlap.
BOOST_AUTO_TEST_CASE(MembersChangeByOneVoter) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 18);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  MemberSet members = cluster.Leader()->state.members;
  members.voters = Ids({"a", "b", "c", "d", "e"});
  BOOST_TEST(!cluster.ProposeMemberSet(cluster.Leader()->id, members).has_value());
  members.voters.clear();
  BOOST_TEST(!cluster.ProposeMemberSet(cluster.Leader()->id, members).has_value());
}

// Guards against a leader that does not step down when it is removed, and against a removed host
// that raises the term.
BOOST_AUTO_TEST_CASE(RemovedLeaderStepsDown) {
  SimulatedCluster cluster({"a", "b", "c"}, Ids({"a", "b", "c"}), 19);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  SimulatedHost& old_leader = *cluster.Leader();
  MemberSet members = old_leader.state.members;
  members.voters.erase(old_leader.id);
  BOOST_REQUIRE(cluster.ProposeMemberSet(old_leader.id, members));
  BOOST_REQUIRE(cluster.RunUntil([&] { return old_leader.state.role != Role::kLeader; }));
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return cluster.Leader() != nullptr && cluster.Leader() != &old_leader; }));
  uint64_t term = cluster.Leader()->state.hard_state.term;
  cluster.Run(seconds(10));
  BOOST_TEST(cluster.Leader()->state.hard_state.term == term);
  BOOST_TEST(!IsVoter(old_leader.state));
}

namespace {

// The leader of three voters, with two log entries of earlier terms and entry 3 of its own term.
// The test sends the messages of the peers.
struct ScriptedLeader {
  ScriptedLeader() {
    PersistedState disk;
    disk.hard_state.term = 2;
    disk.hard_state.disk_id = "disk";
    disk.hard_state.confirmed = true;
    disk.base_members.voters = Ids({"a", "b", "c"});
    disk.log = {{1, 1, EntryKind::kMembers, EncodeMembers(disk.base_members)},
                {2, 2, EntryKind::kPut, EncodePut(MakePut("/x", "1", 0, "x"), 1)}};
    state = RestoreConsensus(HostId("a"), disk, now, rng);
    now += kMaxElectionTimeout;
    Persist(Tick(&state, now, rng));
    Persist(Receive("b", 3, VoteReply{true, true}));
    Persist(Receive("b", 3, VoteReply{false, true}));
    BOOST_REQUIRE((state.role == Role::kLeader));
    BOOST_REQUIRE(LastIndex(state) == 3u);
  }

  template <typename Body>
  Ready Receive(const std::string& from, uint64_t term, Body body) {
    ConsensusMessage message;
    message.from = HostId(from);
    message.to = HostId("a");
    message.term = term;
    message.body = body;
    return Step(&state, message, now, rng);
  }

  void Persist(const Ready& ready) { OnPersisted(&state, ready.mark, now, rng); }

  Ready Acknowledge(const std::string& from, uint64_t match, bool confirmed, Time sent_at) {
    AppendReply reply;
    reply.ok = true;
    reply.match = match;
    reply.confirmed = confirmed;
    reply.sent_at = sent_at;
    return Receive(from, 3, reply);
  }

  std::mt19937_64 rng{21};
  Time now{seconds(500)};
  Consensus state;
};

}  // namespace

// Guards against a new leader that serves a read without committed entries of earlier terms because
// it does not know yet that they are committed, for example after all hosts were restarted right
// after a change.
BOOST_AUTO_TEST_CASE(ReadIndexOfNewLeaderCoversEarlierTerms) {
  ScriptedLeader leader;
  BOOST_TEST(leader.state.hard_state.commit == 0u);
  BOOST_TEST(ReadIndex(leader.state) == LastIndex(leader.state));
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 3u);
  BOOST_TEST(ReadIndex(leader.state) == 3u);
}

// Guards against committing an entry of an earlier term because a majority stores it: a voter whose
// last entry is newer can still win an election and replace it.
BOOST_AUTO_TEST_CASE(EarlierTermEntriesAreNotCommittedByCounting) {
  ScriptedLeader leader;
  leader.Acknowledge("b", 2, true, leader.now);
  leader.Acknowledge("c", 2, true, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 0u);
  // The leader does not know yet which entries are committed.
  BOOST_TEST(!LeaseValid(leader.state, leader.now));
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 3u);
}

// Guards against a commit that counts a disk whose earlier contents were lost.
BOOST_AUTO_TEST_CASE(UnconfirmedHostsDoNotCountForCommit) {
  ScriptedLeader leader;
  leader.Acknowledge("b", 3, false, leader.now);
  leader.Acknowledge("c", 3, false, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 0u);
  // An earlier reply from the lost disk does not confirm entries that the new disk received.
  leader.Acknowledge("b", 2, true, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 0u);
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard_state.commit == 3u);
}

// Guards against a lease that starts when a late reply arrives. The voter refuses other candidates
// for a fixed time after it received the message, which may be long before the reply arrives.
BOOST_AUTO_TEST_CASE(LeaseStartsWhenMessageIsSent) {
  ScriptedLeader leader;
  Time sent_at = leader.now;
  leader.now += milliseconds(1'300);
  leader.Acknowledge("b", 3, true, sent_at);
  BOOST_TEST(LeaseValid(leader.state, leader.now));
  leader.now += milliseconds(60);
  BOOST_TEST(!LeaseValid(leader.state, leader.now));
  // Acknowledgements of an unconfirmed host do not extend the lease.
  leader.Acknowledge("c", 3, false, leader.now);
  BOOST_TEST(!LeaseValid(leader.state, leader.now));
}

// Guards against a single voter that waits for an election timeout before it becomes leader.
BOOST_AUTO_TEST_CASE(SingleVoterBecomesLeaderImmediately) {
  SimulatedCluster cluster({"a"}, Ids({"a"}), 20);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }, milliseconds(200)));
  BOOST_TEST(LeaseValid(cluster.At("a").state, cluster.Clock(cluster.At("a"))));
}

// Guards against reading past the end of truncated messages, and against accepting trailing bytes,
// gaps in log entries or a malformed member set.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  ConsensusMessage message;
  message.from = HostId("a");
  message.to = HostId("b");
  AppendRequest request;
  request.entries = {{1, 1, EntryKind::kPut, "x"}, {2, 1, EntryKind::kPut, "y"}};
  message.body = request;
  std::string bytes = EncodeMessage(message);
  BOOST_CHECK_NO_THROW(DecodeMessage(bytes));
  for (size_t n = 0; n < bytes.size(); ++n) {
    BOOST_CHECK_THROW(DecodeMessage(bytes.substr(0, n)), Error);
  }
  BOOST_CHECK_THROW(DecodeMessage(bytes + "x"), Error);
  request.entries[1].kind = EntryKind::kMembers;  // "y" is not an encoded member set
  message.body = request;
  BOOST_CHECK_THROW(DecodeMessage(EncodeMessage(message)), Error);
  request.entries[1].kind = EntryKind::kPut;
  request.entries[1].index = 3;
  message.body = request;
  BOOST_CHECK_THROW(DecodeMessage(EncodeMessage(message)), Error);
}

}  // namespace ebonylift
