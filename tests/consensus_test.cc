#define BOOST_TEST_MODULE consensus
#include "core/consensus.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>

#include "base/hash.h"
#include "core/config_tree.h"

namespace ebonylift {
namespace {

// A few hosts whose messages, writes and crashes the test decides. It calls the pure functions
// only; messages and writes are values in queues.
struct Faults {
  int loss_percent = 0;
  int repeat_percent = 0;
  int late_percent = 0;  // delayed by up to 4 s
  Duration max_delay = milliseconds(20);
  Duration max_write = milliseconds(5);
};

struct Write {
  Time done_at;
  std::optional<PersistedState> content;  // the disk after the write; none: only messages
  PersistMark mark;
  std::vector<ConsensusMessage> send;
};

struct Host {
  HostId id;
  bool up = true;
  Duration clock_offset{};  // hosts have unrelated steady clocks
  Consensus state;
  PersistedState disk;
  std::deque<Write> writes;
  ConfigTree tree;
  uint64_t served = 0;  // the largest index handed out, also before a crash
};

struct Flight {
  Time due;
  ConsensusMessage message;
};

class Model {
 public:
  Model(const std::vector<std::string>& names, const std::set<HostId>& voters, uint64_t seed)
      : rng_(seed), voters_(voters) {
    for (const std::string& name : names) AddHost(name);
  }

  void AddHost(const std::string& name) {
    Host host;
    host.id = HostId(name);
    host.clock_offset = milliseconds(1'000 * (1 + rng_() % 100));
    hosts_[host.id] = host;
    Wipe(host.id);
  }

  // The host starts with an empty disk.
  void Wipe(const HostId& id) {
    Host& host = hosts_.at(id);
    host.writes.clear();
    host.state =
        NewConsensus(id, voters_, "disk" + std::to_string(++disks_), true, Clock(host), rng_);
    host.disk = ToPersisted(host.state);
    host.tree = ConfigTree();
    host.served = 0;
    host.up = true;
  }

  // Loses what is not synced; each pending write may still have reached the disk.
  void Crash(const HostId& id) {
    Host& host = hosts_.at(id);
    host.up = false;
    while (!host.writes.empty() && rng_() % 2 == 0) {
      if (host.writes.front().content) host.disk = *host.writes.front().content;
      host.writes.pop_front();
    }
    host.writes.clear();
  }

  void Restart(const HostId& id) {
    Host& host = hosts_.at(id);
    host.up = true;
    host.state = RestoreConsensus(id, host.disk, Clock(host), rng_);
    host.tree = host.disk.snapshot ? FromSnapshot(*host.disk.snapshot) : ConfigTree();
    uint64_t served = host.served;
    Handle(host, Tick(&host.state, Clock(host), rng_));
    BOOST_REQUIRE_MESSAGE(host.state.handed_out >= served, "a restarted host serves less: " << id);
  }

  void Run(Duration duration) {
    Time end = now_ + duration;
    while (now_ < end) StepOnce();
  }

  // Runs until the condition holds. Virtual time is bounded.
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
      Sync(host);
      bool tick = host.up && !frozen_.count(id) && rng_() % 4 == 0;
      if (tick) Handle(host, Tick(&host.state, Clock(host), rng_));
    }
    CheckLeases();
  }

  std::optional<Proposal> ProposePut(const HostId& id, const ConfigPut& put) {
    Host& host = hosts_.at(id);
    auto proposal = Propose(&host.state, EntryKind::kPut, EncodePut(put, 1), Clock(host));
    if (proposal) Handle(host, proposal->ready);
    return proposal;
  }

  std::optional<Proposal> ProposeSet(const HostId& id, const MemberSet& members) {
    Host& host = hosts_.at(id);
    auto proposal = ProposeMembers(&host.state, members, Clock(host));
    if (proposal) Handle(host, proposal->ready);
    return proposal;
  }

  void Compact(const HostId& id, uint64_t keep) {
    Host& host = hosts_.at(id);
    if (host.state.handed_out == 0 || host.state.restore_pending) return;
    auto bytes = std::make_shared<const std::string>(ToSnapshot(host.tree));
    TakeSnapshot(&host.state, host.state.handed_out, bytes, keep);
    Ready ready;
    ready.install = true;
    ready.mark = {LastIndex(host.state),
                  host.state.log.empty() ? host.state.base_term : host.state.log.back().term,
                  host.state.hard.commit};
    Handle(host, ready);
  }

  // The leader that can propose; the newest one if there are two. Null without one.
  Host* Leader() {
    Host* best = nullptr;
    for (auto& [id, host] : hosts_) {
      if (!host.up || !CanPropose(host.state)) continue;
      if (best == nullptr || host.state.hard.term > best->state.hard.term) best = &host;
    }
    return best;
  }

  bool Converged() {
    uint64_t last = ledger_.empty() ? 0 : ledger_.rbegin()->first;
    for (const auto& [id, host] : hosts_) {
      if (!host.up || host.state.handed_out != last) return false;
    }
    return true;
  }

  Time Clock(const Host& host) const { return now_ + host.clock_offset; }
  Host& At(const std::string& name) { return hosts_.at(HostId(name)); }
  uint64_t LastCommitted() const { return ledger_.empty() ? 0 : ledger_.rbegin()->first; }

  Faults faults;
  std::set<std::pair<HostId, HostId>> cut;  // directed
  std::set<HostId> frozen_;
  std::map<HostId, Host> hosts_;
  std::mt19937_64 rng_;
  int leases_seen = 0;
  int elections = 0;

 private:
  void Deliver() {
    for (size_t i = 0; i < flights_.size();) {
      if (flights_[i].due > now_) {
        ++i;
        continue;
      }
      ConsensusMessage message = std::move(flights_[i].message);
      flights_[i] = std::move(flights_.back());
      flights_.pop_back();
      auto to = hosts_.find(message.to);
      bool lost = to == hosts_.end() || !to->second.up ||
                  cut.count({message.from, message.to}) != 0 || frozen_.count(message.to) != 0;
      if (!lost) Handle(to->second, Step(&to->second.state, message, Clock(to->second), rng_));
    }
  }

  void Sync(Host& host) {
    while (host.up && !host.writes.empty() && host.writes.front().done_at <= now_) {
      Write write = std::move(host.writes.front());
      host.writes.pop_front();
      if (write.content) host.disk = std::move(*write.content);
      for (const ConsensusMessage& message : write.send) Transmit(message);
      Handle(host, OnPersisted(&host.state, write.mark, Clock(host), rng_));
    }
  }

  void Transmit(const ConsensusMessage& message) {
    int copies = Percent(faults.repeat_percent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Percent(faults.loss_percent)) continue;
      Duration delay = microseconds(rng_() % (faults.max_delay.count() + 1));
      if (Percent(faults.late_percent)) delay = milliseconds(rng_() % 4'000);
      // What travels is bytes.
      flights_.push_back({now_ + delay, DecodeMessage(EncodeMessage(message))});
    }
  }

  void Handle(Host& host, const Ready& ready) {
    if (ready.NeedsPersist() || !ready.send.empty()) {
      Write write;
      write.done_at = now_;
      if (ready.NeedsPersist()) {
        write.done_at += microseconds(rng_() % (faults.max_write.count() + 1));
        write.content = DecodePersisted(EncodePersisted(ToPersisted(host.state)));
      }
      write.mark = ready.mark;
      write.send = ready.send;
      if (!write.content) write.mark = PersistMark();
      host.writes.push_back(std::move(write));
    }
    if (host.state.role == Role::kLeader) CheckOneLeader(host);
    if (ready.restored) {
      host.tree = FromSnapshot(*ready.restored);
      CheckTree(host, host.state.snapshot_index);
    }
    for (const LogEntry& entry : ready.committed) Apply(host, entry);
    host.served = std::max(host.served, host.state.handed_out);
    if (host.state.role == Role::kLeader) {
      answered_ = std::max(answered_, host.state.handed_out);
    }
  }

  void Apply(Host& host, const LogEntry& entry) {
    auto [it, added] = ledger_.emplace(entry.index, entry);
    BOOST_REQUIRE_MESSAGE(it->second == entry, "committed entry changed at " << entry.index);
    BOOST_REQUIRE(entry.index == 1 || ledger_.count(entry.index - 1) == 1);
    if (entry.kind == EntryKind::kPut) {
      auto [put, accepted_at] = DecodePut(entry.data);
      PutResult result = ApplyPut(&host.tree, put, accepted_at);
      if (added && result.outcome == PutOutcome::kApplied) {
        BOOST_REQUIRE_MESSAGE(++applied_[put.request_id] == 1, "applied twice: " << put.request_id);
      }
    }
    CheckTree(host, entry.index);
  }

  void CheckTree(const Host& host, uint64_t index) {
    uint64_t hash = Hash64(ToSnapshot(host.tree));
    auto [it, added] = trees_.emplace(index, hash);
    BOOST_REQUIRE_MESSAGE(it->second == hash, "trees differ at index " << index);
  }

  void CheckOneLeader(const Host& host) {
    auto [it, added] = leaders_.emplace(host.state.hard.term, host.id);
    BOOST_REQUIRE_MESSAGE(it->second == host.id, "two leaders in term " << host.state.hard.term);
    if (added) ++elections;
  }

  // A host that may answer reads knows everything that was ever answered.
  void CheckLeases() {
    for (const auto& [id, host] : hosts_) {
      if (!host.up || !LeaseValid(host.state, Clock(host))) continue;
      ++leases_seen;
      BOOST_REQUIRE_MESSAGE(host.state.hard.commit >= answered_, "stale lease of " << id);
    }
  }

  bool Percent(int percent) { return static_cast<int>(rng_() % 100) < percent; }

  Time now_{seconds(1'000)};
  std::set<HostId> voters_;
  int disks_ = 0;
  std::vector<Flight> flights_;
  std::map<uint64_t, LogEntry> ledger_;
  std::map<uint64_t, uint64_t> trees_;
  std::map<uint64_t, HostId> leaders_;
  std::map<std::string, int> applied_;
  uint64_t answered_ = 0;
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

void Isolate(Model* model, const HostId& id) {
  for (const auto& [other, host] : model->hosts_) {
    if (other == id) continue;
    model->cut.insert({id, other});
    model->cut.insert({other, id});
  }
}

void PutMany(Model* model, int count, const std::string& tag) {
  for (int i = 0; i < count; ++i) {
    std::string name = tag + std::to_string(i);
    BOOST_REQUIRE(model->RunUntil([&] { return model->Leader() != nullptr; }));
    Host* leader = model->Leader();
    BOOST_REQUIRE(model->ProposePut(leader->id, MakePut("/" + name, "1", 0, name)));
    if (i % 20 == 0) model->Run(milliseconds(10));
  }
}

bool HasPut(const Host& host, const std::string& name) {
  return host.tree.entries.count("/" + name) != 0;
}

}  // namespace

// Seeded exploration of three voters with loss, repetition, reordering, late messages, partitions,
// frozen hosts, crashes that lose unsynced writes, compaction and one lost disk at a time. Guards
// against two leaders of one term, lost or changed committed entries, unequal prefixes, a request
// id applied twice, a restarted host that serves less, and a lease that covers a stale read. After
// the faults end, every host must agree and accept a change.
BOOST_AUTO_TEST_CASE(ExploredRunsKeepTheInvariants) {
  constexpr uint64_t kFirstSeed = 4'100;
  constexpr uint64_t kSeeds = 300;
  constexpr int kSteps = 6'000;
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kSeeds - 1 << "\n";
  int leases = 0;
  int elections = 0;
  uint64_t committed = 0;
  int wipes = 0;
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), seed);
      std::mt19937_64& rng = model.rng_;
      model.faults = {5, 5, 2, milliseconds(60), milliseconds(30)};
      std::vector<HostId> ids = {HostId("a"), HostId("b"), HostId("c")};
      for (int step = 0; step < kSteps; ++step) {
        model.StepOnce();
        HostId id = ids[rng() % 3];
        Host& host = model.hosts_.at(id);
        switch (rng() % 400) {
          case 0:
            if (host.up) model.Crash(id);
            break;
          case 1:
          case 2:
          case 3:
            if (!host.up) model.Restart(id);
            break;
          case 4:
            Isolate(&model, id);
            break;
          case 5:
            model.cut.insert({id, ids[rng() % 3]});
            break;
          case 6:
          case 7:
          case 8:
            model.cut.clear();
            break;
          case 9:
            model.frozen_.insert(id);
            break;
          case 10:
          case 11:
            model.frozen_.clear();
            break;
          case 12:
            if (host.up) model.Compact(id, rng() % 5);
            break;
          case 13: {
            bool all_confirmed = true;
            for (const auto& [other, h] : model.hosts_) {
              all_confirmed =
                  all_confirmed && h.up && h.state.hard.confirmed && h.disk.hard.confirmed;
            }
            if (all_confirmed && rng() % 3 == 0) {
              model.Wipe(id);
              ++wipes;
            }
            break;
          }
          default:
            break;
        }
        if (rng() % 12 == 0 && host.up) {
          // Few paths and request ids, so that resends, conflicts and deletes meet each other.
          std::string path = "/p" + std::to_string(rng() % 3);
          ConfigPut put = MakePut(path, "1", 0, "r" + std::to_string(rng() % 200));
          put.base_revision = PathRevision(host.tree, path);
          if (put.base_revision != 0 && rng() % 2 == 0) put.value.reset();
          model.ProposePut(id, put);
        }
      }
      model.cut.clear();
      model.frozen_.clear();
      model.faults = Faults();
      for (const HostId& id : ids) {
        if (!model.hosts_.at(id).up) model.Restart(id);
      }
      // A caller resends a change whose leader went before it was committed.
      auto all_have_it = [&] {
        for (const auto& [id, host] : model.hosts_) {
          if (!HasPut(host, "end") || !host.state.hard.confirmed) return false;
        }
        return model.Converged();
      };
      bool settled = false;
      for (int sent = 0; sent < 10 && !settled; ++sent) {
        BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
        model.ProposePut(model.Leader()->id, MakePut("/end", "1", 0, "end"));
        settled = model.RunUntil(all_have_it, seconds(6));
      }
      BOOST_REQUIRE(settled);
      leases += model.leases_seen;
      elections += model.elections;
      committed += model.LastCommitted();
    }
  }
  std::cout << "elections " << elections << ", committed " << committed << ", lost disks " << wipes
            << ", lease checks " << leases << "\n";
  // An exploration in which nothing happens would check nothing.
  BOOST_TEST(elections > static_cast<int>(kSeeds) * 2);
  BOOST_TEST(committed > kSeeds * 30);
  BOOST_TEST(wipes > 20);
  BOOST_TEST(leases > 10'000);
}

// Guards against a leader that goes on answering inside a silent partition, and against a returning
// host that disturbs the new leader.
BOOST_AUTO_TEST_CASE(PartitionedLeaderStepsDownAndReturnsQuietly) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 11);
  PutMany(&model, 3, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
  Host& old = *model.Leader();
  model.Run(milliseconds(500));
  BOOST_TEST(LeaseValid(old.state, model.Clock(old)));
  Isolate(&model, old.id);
  auto stale = model.ProposePut(old.id, MakePut("/stale", "1", 0, "stale"));
  BOOST_TEST(stale.has_value());
  model.Run(kLease);
  BOOST_TEST(!LeaseValid(old.state, model.Clock(old)));  // stale reads are refused from here
  model.Run(milliseconds(600));
  BOOST_TEST((old.state.role != Role::kLeader));
  BOOST_TEST(!model.ProposePut(old.id, MakePut("/late", "1", 0, "late")).has_value());

  BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
  HostId leader = model.Leader()->id;
  BOOST_TEST(leader != old.id);
  model.Run(seconds(20));  // a long partition: the old host starts many pre-votes
  uint64_t term = model.Leader()->state.hard.term;
  BOOST_TEST(old.state.hard.term < term);
  model.cut.clear();
  PutMany(&model, 1, "y");
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(old, "y0") && model.Converged(); }));
  BOOST_TEST(model.Leader()->id == leader);
  BOOST_TEST(model.Leader()->state.hard.term == term);
  BOOST_TEST(!HasPut(old, "stale"));
}

// Guards against seconds without a leader after all hosts were cut off from each other: orders of
// operators wait for it.
BOOST_AUTO_TEST_CASE(LeaderComesSoonAfterAPartitionOfAll) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), seed);
    PutMany(&model, 1, "x");
    BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
    for (const char* host : {"a", "b", "c"}) Isolate(&model, HostId(host));
    model.Run(seconds(10) + milliseconds(137 * static_cast<int64_t>(seed)));
    model.cut.clear();
    bool led = model.RunUntil([&] { return model.Leader() != nullptr; }, milliseconds(1'200));
    BOOST_TEST(led, "no leader after 1.2 s with seed " << seed);
  }
}

// Guards against a frozen leader that answers from an expired lease when it resumes.
BOOST_AUTO_TEST_CASE(FrozenLeaderHasNoLeaseWhenItResumes) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 12);
  PutMany(&model, 1, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
  Host& old = *model.Leader();
  model.frozen_.insert(old.id);
  BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != &old; }));
  PutMany(&model, 1, "y");
  BOOST_TEST((old.state.role == Role::kLeader));  // it does not know yet
  BOOST_TEST(!LeaseValid(old.state, model.Clock(old)));
  model.frozen_.clear();
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(old, "y0"); }));
}

// Guards against a vote by a restarted host within the lease of the leader it acknowledged.
BOOST_AUTO_TEST_CASE(RestartedVoterKeepsTheLeader) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 13);
  PutMany(&model, 1, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
  HostId leader = model.Leader()->id;
  HostId voter = leader == HostId("a") ? HostId("b") : HostId("a");
  HostId third = leader == HostId("c") ? HostId("b") : HostId("c");
  if (third == voter) third = HostId("c");
  model.Crash(voter);
  model.Restart(voter);
  Host& host = model.hosts_.at(voter);
  ConsensusMessage request;
  request.from = third;
  request.to = voter;
  request.term = host.state.hard.term + 1;
  request.body = VoteRequest{false, 1'000, host.state.hard.term};
  Ready ready = Step(&host.state, request, model.Clock(host), model.rng_);
  BOOST_TEST(ready.send.empty());
  BOOST_TEST(host.state.hard.term < request.term);
}

// Guards against a host that cannot follow after the log it needs is gone, also when the snapshot
// needs several messages.
BOOST_AUTO_TEST_CASE(HostCatchesUpThroughASnapshot) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 14);
  PutMany(&model, 1, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
  HostId down = model.Leader()->id == HostId("a") ? HostId("b") : HostId("a");
  model.Crash(down);
  std::string large(20'000, 'v');
  for (int i = 0; i < 500; ++i) {
    std::string name = "n" + std::to_string(i);
    BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
    model.ProposePut(model.Leader()->id, MakePut("/" + name, i < 60 ? large : "1", 0, name));
    if (i % 50 == 0) model.Run(milliseconds(20));
  }
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(*model.Leader(), "n499"); }));
  for (auto& [id, host] : model.hosts_) {
    if (host.up) model.Compact(id, 0);
  }
  BOOST_TEST(model.Leader()->state.log.size() < 10u);
  BOOST_TEST(model.Leader()->state.snapshot->size() > 2 * kSnapshotPartBytes);
  model.faults.loss_percent = 10;
  model.faults.repeat_percent = 10;
  model.Restart(down);
  Host& late = model.hosts_.at(down);
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(late, "n499"); }));
  BOOST_TEST(late.state.snapshot_index > 500u);
}

// Guards against an election in a new deployment before every voter was heard, which could be a
// deployment whose other voters lost their disks.
BOOST_AUTO_TEST_CASE(FirstStartNeedsEveryVoter) {
  Model model({"a", "b"}, Ids({"a", "b", "c"}), 15);
  model.Run(seconds(20));
  BOOST_TEST(model.elections == 0);
  model.AddHost("c");
  BOOST_TEST(model.RunUntil([&] { return model.Leader() != nullptr; }, seconds(5)));
}

// Guards against a voter with an empty disk that votes, or that counts for a commit, before it has
// caught up.
BOOST_AUTO_TEST_CASE(WipedVoterNeitherVotesNorCounts) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 16);
  PutMany(&model, 5, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return model.Converged(); }));
  HostId leader = model.Leader()->id;
  HostId wiped = leader == HostId("a") ? HostId("b") : HostId("a");
  HostId other;
  for (const auto& [id, host] : model.hosts_) {
    if (id != leader && id != wiped) other = id;
  }
  // Only the leader is left with the log: the two others may not replace it.
  model.Wipe(wiped);
  model.Crash(leader);
  model.Run(seconds(20));
  BOOST_TEST(model.Leader() == nullptr);
  BOOST_TEST(model.hosts_.at(wiped).state.disk_lost);
  BOOST_TEST(!model.hosts_.at(wiped).state.hard.confirmed);
  // With the leader back but the other one gone there is no quorum for a commit either.
  model.Crash(other);
  model.Restart(leader);
  model.Run(seconds(20));
  BOOST_TEST(model.Leader() == nullptr);
  model.Restart(other);
  BOOST_REQUIRE(model.RunUntil([&] { return model.hosts_.at(wiped).state.hard.confirmed; }));
  BOOST_TEST(HasPut(model.hosts_.at(wiped), "x4"));
  BOOST_TEST(!model.hosts_.at(wiped).state.disk_lost);
}

// Guards against the loss of changes when another host fails right after a voter was replaced.
BOOST_AUTO_TEST_CASE(SecondFailureAfterAReplacementLosesNothing) {
  Model model({"a", "b", "c", "d"}, Ids({"a", "b", "c"}), 17);
  PutMany(&model, 50, "x");
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(*model.Leader(), "x49"); }));
  HostId leader = model.Leader()->id;
  HostId failed = leader == HostId("c") ? HostId("b") : HostId("c");
  model.Crash(failed);
  MemberSet members = model.Leader()->state.members;
  members.learners.insert(HostId("d"));
  BOOST_REQUIRE(model.ProposeSet(leader, members));
  BOOST_TEST(!model.ProposeSet(leader, members).has_value());  // one change at a time
  Host& added = model.At("d");
  BOOST_REQUIRE(model.RunUntil([&] { return IsVoter(added.state); }));
  BOOST_REQUIRE(model.RunUntil([&] {
    return model.Leader() != nullptr &&
           model.Leader()->state.members_index <= model.Leader()->state.hard.commit;
  }));
  members = model.Leader()->state.members;
  members.voters.erase(failed);
  BOOST_REQUIRE(model.ProposeSet(model.Leader()->id, members));
  PutMany(&model, 1, "y");
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(*model.Leader(), "y0"); }));
  // The second failure: the leader, with its disk.
  HostId second = model.Leader()->id;
  model.Crash(second);
  BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
  PutMany(&model, 1, "z");
  BOOST_REQUIRE(model.RunUntil([&] { return HasPut(added, "z0"); }));
  for (int i = 0; i < 50; ++i) BOOST_TEST(HasPut(added, "x" + std::to_string(i)));
  BOOST_TEST(HasPut(added, "y0"));
}

// Guards against a change of the members by two voters at once, whose quorums may not overlap.
BOOST_AUTO_TEST_CASE(MembersChangeByOne) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 18);
  BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
  MemberSet members = model.Leader()->state.members;
  members.voters = Ids({"a", "b", "c", "d", "e"});
  BOOST_TEST(!model.ProposeSet(model.Leader()->id, members).has_value());
  members.voters.clear();
  BOOST_TEST(!model.ProposeSet(model.Leader()->id, members).has_value());
}

// Guards against a removed leader that stays, and a removed host that raises the term.
BOOST_AUTO_TEST_CASE(RemovedLeaderStepsDown) {
  Model model({"a", "b", "c"}, Ids({"a", "b", "c"}), 19);
  BOOST_REQUIRE(model.RunUntil([&] { return model.Leader() != nullptr; }));
  Host& old = *model.Leader();
  MemberSet members = old.state.members;
  members.voters.erase(old.id);
  BOOST_REQUIRE(model.ProposeSet(old.id, members));
  BOOST_REQUIRE(model.RunUntil([&] { return old.state.role != Role::kLeader; }));
  BOOST_REQUIRE(
      model.RunUntil([&] { return model.Leader() != nullptr && model.Leader() != &old; }));
  uint64_t term = model.Leader()->state.hard.term;
  model.Run(seconds(10));
  BOOST_TEST(model.Leader()->state.hard.term == term);
  BOOST_TEST(!IsVoter(old.state));
}

namespace {

// A leader of three voters whose log holds entries of earlier terms and entry 3 of its own. The
// test plays the peers.
struct LoneLeader {
  LoneLeader() {
    PersistedState disk;
    disk.hard.term = 2;
    disk.hard.disk = "disk";
    disk.hard.confirmed = true;
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

// Guards against a read that a new leader takes before it knows which entries of earlier terms are
// committed, and answers without them (all hosts were restarted right after a change).
BOOST_AUTO_TEST_CASE(ReadOfANewLeaderCoversEarlierTerms) {
  LoneLeader leader;
  BOOST_TEST(leader.state.hard.commit == 0u);
  BOOST_TEST(ReadIndex(leader.state) == LastIndex(leader.state));
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard.commit == 3u);
  BOOST_TEST(ReadIndex(leader.state) == 3u);
}

// Guards against an entry of an earlier term that is committed because a majority has it: a voter
// with a newer last entry can still win and replace it.
BOOST_AUTO_TEST_CASE(EntriesOfEarlierTermsAreNotCountedAlone) {
  LoneLeader leader;
  leader.Acknowledge("b", 2, true, leader.now);
  leader.Acknowledge("c", 2, true, leader.now);
  BOOST_TEST(leader.state.hard.commit == 0u);
  BOOST_TEST(!LeaseValid(leader.state, leader.now));  // it does not know what is committed
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard.commit == 3u);
}

// Guards against a commit that rests on a disk whose earlier contents are lost.
BOOST_AUTO_TEST_CASE(UnconfirmedHostsDoNotCount) {
  LoneLeader leader;
  leader.Acknowledge("b", 3, false, leader.now);
  leader.Acknowledge("c", 3, false, leader.now);
  BOOST_TEST(leader.state.hard.commit == 0u);
  // An old reply of the lost disk does not vouch for what the new one received.
  leader.Acknowledge("b", 2, true, leader.now);
  BOOST_TEST(leader.state.hard.commit == 0u);
  leader.Acknowledge("b", 3, true, leader.now);
  BOOST_TEST(leader.state.hard.commit == 3u);
}

// Guards against a lease that counts from the receipt of a late reply: the voter's promise counts
// from the receipt of the message, which may be much earlier.
BOOST_AUTO_TEST_CASE(LeaseCountsFromTheSending) {
  LoneLeader leader;
  Time sent_at = leader.now;
  leader.now += milliseconds(1'300);
  leader.Acknowledge("b", 3, true, sent_at);
  BOOST_TEST(LeaseValid(leader.state, leader.now));
  leader.now += milliseconds(60);
  BOOST_TEST(!LeaseValid(leader.state, leader.now));
  // An unconfirmed host promises nothing.
  leader.Acknowledge("c", 3, false, leader.now);
  BOOST_TEST(!LeaseValid(leader.state, leader.now));
}

// Guards against a single voter that waits for an election timeout.
BOOST_AUTO_TEST_CASE(SingleVoterLeadsAtOnce) {
  Model model({"a"}, Ids({"a"}), 20);
  BOOST_TEST(model.RunUntil([&] { return model.Leader() != nullptr; }, milliseconds(200)));
  BOOST_TEST(LeaseValid(model.At("a").state, model.Clock(model.At("a"))));
}

// Guards against reads past the end of cut-off messages and gaps in log entries.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreRefused) {
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
  request.entries[1].kind = EntryKind::kMembers;  // "y" is no set of members
  message.body = request;
  BOOST_CHECK_THROW(DecodeMessage(EncodeMessage(message)), Error);
  request.entries[1].kind = EntryKind::kPut;
  request.entries[1].index = 3;
  message.body = request;
  BOOST_CHECK_THROW(DecodeMessage(EncodeMessage(message)), Error);
}

}  // namespace ebonylift
