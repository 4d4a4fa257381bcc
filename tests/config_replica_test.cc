#define BOOST_TEST_MODULE config_replica
#include "daemon/config_replica.h"

#include <boost/test/included/unit_test.hpp>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "adapters/file_journal.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

// What a disk holds, with writes that become durable when the test says so.
struct Disk {
  std::optional<std::string> snapshot;
  std::vector<std::string> records;
  bool failing = false;
  bool lost = false;
};

class MemoryJournal : public Journal {
 public:
  explicit MemoryJournal(Disk* disk) : disk_(disk) {}

  void Replay(const std::function<void(std::string_view, bool)>& fn) override {
    if (disk_->snapshot) fn(*disk_->snapshot, true);
    for (const std::string& record : disk_->records) fn(record, false);
  }
  void Append(std::string record, Done done) override {
    open_.push_back([this, record = std::move(record), done = std::move(done)] {
      if (!disk_->failing) disk_->records.push_back(record);
      done(!disk_->failing);
    });
  }
  void Compact(std::string snapshot, Done done) override {
    open_.push_back([this, snapshot = std::move(snapshot), done = std::move(done)] {
      if (!disk_->failing) {
        disk_->snapshot = snapshot;
        disk_->records.clear();
      }
      done(!disk_->failing);
    });
  }
  bool LostContents() const override { return disk_->lost; }
  uint64_t SizeBytes() const override { return 0; }

  // Writes up to `count` of the open requests.
  void Sync(size_t count) {
    for (; count > 0 && !open_.empty(); --count) {
      std::function<void()> write = std::move(open_.front());
      open_.pop_front();
      write();
    }
  }

 private:
  Disk* disk_;
  std::deque<std::function<void()>> open_;
};

struct Host {
  Disk disk;
  bool has_disk = true;
  std::shared_ptr<MemoryJournal> journal;
  std::deque<std::function<void()>> posted;
  std::unique_ptr<ConfigReplica> replica;  // null: the process is down
  uint64_t served = 0;                     // the largest revision seen from outside
};

// Some replicas in virtual time. Messages take up to 30 ms, writes up to 20 ms.
class Cluster {
 public:
  explicit Cluster(std::vector<std::string> voters) : voters_(std::move(voters)) {
    for (const std::string& name : voters_) Start(name);
  }

  void Start(const std::string& name, bool has_disk = true) {
    Host& host = hosts_[name];
    host.has_disk = has_disk;
    host.posted.clear();
    ConfigReplica::Options options;
    options.self = HostId(name);
    for (const std::string& voter : voters_) options.voters.emplace_back(voter);
    host.journal = std::make_shared<MemoryJournal>(&host.disk);
    if (has_disk) options.journal = host.journal;
    options.seed = rng_();
    options.send = [this, name](const HostId& to, std::string bytes) {
      BOOST_REQUIRE(bytes.size() <= ConfigReplica::kMaxMessageBytes);
      flights_.push_back({now_ + milliseconds(rng_() % 30), name, to.value(), std::move(bytes)});
    };
    options.post = [&host](std::function<void()> fn) { host.posted.push_back(std::move(fn)); };
    options.clock = [this] { return now_; };
    options.wall = [] { return 1'000; };
    host.replica = std::make_unique<ConfigReplica>(std::move(options));
    host.replica->Start(now_);
    // Guards against a restart that serves less than before.
    if (has_disk) BOOST_REQUIRE_GE(host.replica->revision(), host.served);
  }

  // Open writes are lost.
  void Crash(const std::string& name) { hosts_[name].replica.reset(); }

  void Restart(const std::string& name) {
    Crash(name);
    Start(name, hosts_[name].has_disk);
  }

  void Wipe(const std::string& name) {
    Crash(name);
    hosts_[name].disk = Disk();
    hosts_[name].served = 0;
    Start(name);
  }

  void Step() {
    now_ += milliseconds(10);
    std::vector<Flight> due;
    for (size_t i = 0; i < flights_.size();) {
      if (flights_[i].due > now_) {
        ++i;
        continue;
      }
      due.push_back(std::move(flights_[i]));
      flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (Flight& flight : due) {
      auto to = hosts_.find(flight.to);
      if (to == hosts_.end() || !to->second.replica) continue;
      if (cut.count(flight.from) != 0 || cut.count(flight.to) != 0) continue;
      to->second.replica->OnMessage(HostId(flight.from), flight.bytes);
    }
    for (auto& [name, host] : hosts_) {
      if (!host.replica) continue;
      host.journal->Sync(rng_() % 10);
      auto posted = std::move(host.posted);
      host.posted.clear();
      for (auto& fn : posted) fn();
      host.replica->Tick(now_);
      BOOST_REQUIRE_GE(host.replica->revision(), host.served);
      BOOST_REQUIRE_EQUAL(host.replica->View()->revision, host.replica->revision());
      host.served = host.replica->revision();
    }
  }

  void Run(Duration duration) {
    for (Time end = now_ + duration; now_ < end;) Step();
  }

  bool RunUntil(const std::function<bool()>& condition, Duration limit = seconds(60)) {
    for (Time end = now_ + limit; now_ < end;) {
      if (condition()) return true;
      Step();
    }
    return condition();
  }

  std::string Leader() {
    std::string leader;
    uint64_t term = 0;
    for (auto& [name, host] : hosts_) {
      if (!host.replica || !host.replica->IsLeader() || host.replica->term() < term) continue;
      leader = name;
      term = host.replica->term();
    }
    return leader;
  }

  std::string WaitForLeader() {
    BOOST_REQUIRE(RunUntil([&] { return !Leader().empty(); }));
    return Leader();
  }

  // Puts on the leader and waits for the answer.
  PutAnswer Put(const ConfigPut& put) {
    std::optional<PutAnswer> answer;
    std::string leader = WaitForLeader();
    auto route = At(leader).Put(put, [&](PutAnswer given) { answer = std::move(given); });
    BOOST_REQUIRE(!route.has_value());
    BOOST_REQUIRE(RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  // Since() and ApplySince() until nothing more follows. Returns how often.
  int Pull(const std::string& to, const std::string& from) {
    for (int i = 0; i < 1'000; ++i) {
      std::string bytes = At(from).Since(At(to).revision(), At(to).pull_offset());
      BOOST_REQUIRE(bytes.size() <= ConfigReplica::kMaxMessageBytes);
      if (!At(to).ApplySince(bytes, HostId(from))) return i + 1;
      Step();
    }
    BOOST_FAIL("the pull does not end");
    return 0;
  }

  ConfigReplica& At(const std::string& name) { return *hosts_.at(name).replica; }
  Disk& DiskOf(const std::string& name) { return hosts_[name].disk; }
  Time now() const { return now_; }

  std::set<std::string> cut;  // hosts without any connection

 private:
  struct Flight {
    Time due;
    std::string from;
    std::string to;
    std::string bytes;
  };

  std::mt19937_64 rng_{20'262};
  Time now_{seconds(1'000)};
  std::vector<std::string> voters_;
  std::map<std::string, Host> hosts_;
  std::vector<Flight> flights_;
};

ConfigPut MakePut(const std::string& path, std::optional<std::string> value, uint64_t base = 0,
                  const std::string& request_id = "") {
  ConfigPut put;
  put.path = path;
  put.value = std::move(value);
  put.base_revision = base;
  put.request_id = request_id;
  put.operator_name = "ana";
  return put;
}

ConfigPut Limits(int number, uint64_t base = 0, const std::string& request_id = "") {
  return MakePut("/teams/t" + std::to_string(number) + "/limits", R"({"concurrency":1})", base,
                 request_id);
}

// About 21 KiB.
ConfigPut LargeRegion(int number) {
  std::string hosts;
  for (int n = 0; n < 200; ++n) {
    hosts += (n > 0 ? ",\"" : "\"") + std::to_string(n) + std::string(100, 'h') + "\"";
  }
  return MakePut("/deployment/regions/r" + std::to_string(number),
                 R"({"domains":[],"record_hosts":[)" + hosts + "]}");
}

const char* const kRegion = R"({"domains":["este-a"],"record_hosts":["a"]})";

}  // namespace

// Guards against puts that are answered before they are in the view, and wrong kinds of errors.
BOOST_AUTO_TEST_CASE(SingleVoterAnswersPuts) {
  Cluster cluster({"a"});
  PutAnswer answer = cluster.Put(MakePut("/deployment/regions/este", kRegion));
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(answer.revision == 1u);
  BOOST_TEST(cluster.At("a").View()->regions.size() == 1u);
  answer = cluster.Put(MakePut("/deployment/regions/este", kRegion));
  BOOST_TEST((answer.error == ErrorKind::kConfigConflict));
  BOOST_TEST(answer.revision == 1u);
  BOOST_TEST(answer.current_value.has_value());
  answer = cluster.Put(MakePut("/teams/rocha/residency", R"({"regions":["eset"]})"));
  BOOST_TEST((answer.error == ErrorKind::kConfigInvalid));
  BOOST_TEST(answer.message.find("\"este\"") != std::string::npos);
  answer = cluster.Put(MakePut("/teams/rocha/residency", std::nullopt));
  BOOST_TEST((answer.error == ErrorKind::kConfigInvalid));

  cluster.Put(Limits(1, 0, "r1"));
  // A resend with other white space is the same change.
  ConfigPut again = MakePut("/teams/t1/limits", "{ \"concurrency\" : 1 }", 0, "r1");
  BOOST_TEST(cluster.Put(again).revision == 2u);
  again.value = R"({"concurrency":2})";
  BOOST_TEST((cluster.Put(again).error == ErrorKind::kKeyConflict));
  BOOST_TEST(cluster.At("a").revision() == 2u);
  BOOST_TEST(cluster.At("a").Read("/teams").entries.size() == 1u);
  BOOST_TEST(cluster.At("a").History("/", 10).front().operator_name == "ana");
}

// Guards against changes in flight that are checked against a tree without each other: a region is
// removed while a residency that names it is on its way.
BOOST_AUTO_TEST_CASE(PutsInFlightAreCheckedTogether) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(MakePut("/deployment/regions/este", kRegion));
  std::string leader = cluster.WaitForLeader();
  std::vector<PutAnswer> answers(4);
  int answered = 0;
  auto put = [&](size_t slot, const ConfigPut& change) {
    cluster.At(leader).Put(change, [&, slot](PutAnswer answer) {
      answers[slot] = std::move(answer);
      ++answered;
    });
  };
  put(0, MakePut("/teams/rocha/residency", R"({"regions":["este"]})"));
  put(1, MakePut("/deployment/regions/este", std::nullopt, 1));
  put(2, MakePut("/teams/rocha/residency", R"({"regions":["este"]})"));
  put(3, MakePut("/teams/rocha/residency", std::nullopt, 2));
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == 4; }));
  BOOST_TEST(!answers[0].error.has_value());
  BOOST_TEST((answers[1].error == ErrorKind::kConfigInvalid));
  BOOST_TEST((answers[2].error == ErrorKind::kConfigConflict));
  BOOST_TEST(*answers[2].current_value == R"({"regions":["este"]})");
  BOOST_TEST(!answers[3].error.has_value());
  BOOST_TEST(answers[3].revision == 3u);
}

// Guards against a put that a callback starts and that is applied in the middle of a batch.
BOOST_AUTO_TEST_CASE(CallbacksMayPutAgain) {
  Cluster cluster({"a", "b", "c"});
  std::string leader = cluster.WaitForLeader();
  int answered = 0;
  std::function<void(PutAnswer)> next = [&](const PutAnswer& answer) {
    BOOST_TEST(!answer.error.has_value());
    if (++answered < 40) cluster.At(leader).Put(Limits(100 + answered), next);
  };
  for (int i = 0; i < 10; ++i) cluster.At(leader).Put(Limits(i), next);
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered >= 49; }));
  BOOST_TEST(cluster.At(leader).revision() == 49u);
}

// Guards against followers that take a put themselves, or lose the way to the leader.
BOOST_AUTO_TEST_CASE(OtherHostsNameTheLeader) {
  Cluster cluster({"a", "b", "c"});
  cluster.Start("d", /*has_disk=*/false);
  cluster.Put(Limits(1));
  std::string leader = cluster.Leader();
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.At("a").revision() == 1 && cluster.At("b").revision() == 1 &&
           cluster.At("c").revision() == 1;
  }));
  bool called = false;
  for (const char* name : {"a", "b", "c"}) {
    if (name == leader) continue;
    auto route = cluster.At(name).Put(Limits(2), [&](const PutAnswer&) { called = true; });
    BOOST_TEST(route->value() == leader);
  }
  BOOST_TEST(cluster.At("d").NeedsPull());
  auto route = cluster.At("d").Put(Limits(2), [&](const PutAnswer&) { called = true; });
  BOOST_TEST(route.has_value());  // some voter
  cluster.Pull("d", "a");
  BOOST_TEST(cluster.At("d").revision() == 1u);
  BOOST_TEST(cluster.At("d").Leader()->value() == leader);
  BOOST_TEST(!called);
}

// Guards against a leader that answers reads or puts inside a silent partition, and against a put
// whose unknown outcome is reported as a refusal.
BOOST_AUTO_TEST_CASE(PartitionedLeaderRefuses) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(Limits(1));
  std::string old = cluster.Leader();
  std::optional<ConfigRead> read;
  cluster.At(old).ReadCurrent("/", [&](const std::optional<Error>&, ConfigRead r) { read = r; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return read.has_value(); }));
  BOOST_TEST(read->entries.size() == 1u);

  cluster.cut = {old};
  std::optional<PutAnswer> unknown;
  cluster.At(old).Put(Limits(2, 0, "r2"), [&](PutAnswer answer) { unknown = answer; });
  cluster.Run(milliseconds(1'400));
  std::optional<Error> refused;
  cluster.At(old).ReadCurrent(
      "/", [&](const std::optional<Error>& e, const ConfigRead&) { refused = e; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return refused.has_value() && unknown.has_value(); }));
  BOOST_TEST((refused->kind() == ErrorKind::kNoQuorum));
  BOOST_TEST((unknown->error == ErrorKind::kConfigUnknown));
  std::optional<PutAnswer> not_proposed;
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return !cluster.At(old).IsLeader() && !cluster.At(old).Leader().has_value(); }));
  cluster.At(old).Put(Limits(3), [&](PutAnswer answer) { not_proposed = answer; });
  BOOST_REQUIRE(not_proposed.has_value());
  BOOST_TEST((not_proposed->error == ErrorKind::kNoQuorum));

  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  BOOST_TEST(cluster.Put(Limits(2, 0, "r2")).revision == 2u);  // the resend
  uint64_t term = cluster.At(cluster.Leader()).term();
  cluster.Run(seconds(10));
  cluster.cut.clear();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(old).revision() == 2; }));
  BOOST_TEST(cluster.At(cluster.Leader()).term() == term);
  BOOST_TEST(cluster.Put(Limits(2, 0, "r2")).revision == 2u);
}

// Guards against a voter that cannot follow after hundreds of changes, with the log compacted.
BOOST_AUTO_TEST_CASE(VoterCatchesUpAfterManyChanges) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(Limits(0));
  std::string down = cluster.Leader() == "a" ? "b" : "a";
  cluster.Crash(down);
  int answered = 0;
  std::string leader = cluster.WaitForLeader();
  for (int i = 1; i <= 500; ++i) {
    // The large values fill the log beyond its limit, so that it is compacted.
    ConfigPut put = i <= 450 ? LargeRegion(i) : Limits(i);
    cluster.At(leader).Put(put, [&](const PutAnswer& answer) {
      BOOST_REQUIRE_MESSAGE(!answer.error.has_value(), answer.message);
      ++answered;
    });
    if (i % 20 == 0) cluster.Run(milliseconds(100));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == 500; }));
  cluster.Restart(down);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(down).revision() == 501; }));
  BOOST_TEST(cluster.At(down).Read("/").entries.size() == 501u);
  // A restart of everything at once brings it all back.
  for (const char* name : {"a", "b", "c"}) cluster.Restart(name);
  BOOST_TEST(cluster.At(leader).revision() >= 500u);
  BOOST_TEST(cluster.Put(Limits(900)).revision == 502u);
}

// Guards against crashes at any point of a write that lose an answered change or serve an older
// revision; hosts restart at random while puts go on.
BOOST_AUTO_TEST_CASE(RandomRestartsLoseNoAnsweredPut) {
  constexpr uint32_t kSeed = 515;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  Cluster cluster({"a", "b", "c"});
  const std::vector<std::string> names = {"a", "b", "c"};
  std::set<std::string> accepted;
  for (int i = 0; i < 300; ++i) {
    std::string leader = cluster.WaitForLeader();
    ConfigPut put = Limits(i);
    cluster.At(leader).Put(put, [&accepted, path = put.path](const PutAnswer& answer) {
      if (!answer.error) accepted.insert(path);
    });
    cluster.Run(milliseconds(10 * (rng() % 8)));
    if (rng() % 6 == 0) cluster.Restart(names[rng() % 3]);
  }
  std::string leader = cluster.WaitForLeader();
  cluster.Put(Limits(1'000));
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.At("a").revision() == cluster.At("b").revision() &&
           cluster.At("b").revision() == cluster.At("c").revision();
  }));
  BOOST_TEST(accepted.size() > 100u);
  std::set<std::string> present;
  for (const ConfigEntry& entry : cluster.At("a").Read("/").entries) present.insert(entry.path);
  for (const std::string& path : accepted) BOOST_TEST(present.count(path) == 1u);
}

// Guards against a voter with an empty disk that votes before it has caught up, is not reported, or
// never becomes a voter again.
BOOST_AUTO_TEST_CASE(LostDiskIsReportedAndRecovers) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(Limits(1));
  std::string leader = cluster.Leader();
  std::string wiped = leader == "a" ? "b" : "a";
  cluster.cut = {leader};
  cluster.Wipe(wiped);
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(cluster.At(wiped).DiskLost());
  BOOST_TEST(!cluster.At(wiped).IsVoter());
  BOOST_TEST(cluster.At(wiped).NeedsPull());
  cluster.cut.clear();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(wiped).IsVoter(); }));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(wiped).revision() == 1; }));
  BOOST_TEST(!cluster.At(wiped).DiskLost());
  cluster.Restart(wiped);
  BOOST_TEST(cluster.At(wiped).IsVoter());
}

// Guards against a first start with a voter that knows that its disk was lost, also after its
// restart, and against a host that is not a voter and reports a loss for ever.
BOOST_AUTO_TEST_CASE(KnownLossIsNoFirstStart) {
  Cluster cluster({"a", "b", "c"});
  for (const char* name : {"a", "b", "c"}) cluster.Crash(name);
  for (const char* name : {"a", "b", "c"}) {
    cluster.DiskOf(name) = Disk();
    cluster.DiskOf(name).lost = std::string(name) == "c";
    cluster.Start(name);
  }
  cluster.Run(seconds(2));
  cluster.DiskOf("c").lost = false;  // the journal exists again
  cluster.Restart("c");
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(cluster.At("c").DiskLost());
  cluster.DiskOf("d").lost = true;
  cluster.Start("d");
  cluster.Run(seconds(1));
  BOOST_TEST(!cluster.At("d").DiskLost());
}

// Guards against changes lost when a second host fails right after a voter was replaced.
BOOST_AUTO_TEST_CASE(SecondFailureAfterReplacementLosesNothing) {
  Cluster cluster({"a", "b", "c"});
  for (int i = 0; i < 30; ++i) cluster.Put(Limits(i));
  std::string leader = cluster.Leader();
  std::string failed = leader == "c" ? "b" : "c";
  cluster.Crash(failed);
  cluster.Start("d");
  cluster.Pull("d", leader);  // it served pulled revisions before it became a voter
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At("d").revision() == 30; }));
  std::optional<PutAnswer> added;
  cluster.At(leader).AddVoter(HostId("d"), [&](PutAnswer answer) { added = answer; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return added.has_value(); }));
  BOOST_TEST(!added->error.has_value());
  std::optional<PutAnswer> removed;
  cluster.At(leader).RemoveVoter(HostId(failed), [&](PutAnswer answer) { removed = answer; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return removed.has_value(); }));
  BOOST_TEST(!removed->error.has_value());
  cluster.Put(Limits(30));
  cluster.Crash(leader);
  std::string next = cluster.WaitForLeader();
  BOOST_TEST(cluster.Put(Limits(31)).revision == 32u);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At("d").revision() == 32; }));
  BOOST_TEST(cluster.At("d").Read("/").entries.size() == 32u);
  BOOST_TEST(cluster.At("d").Voters().size() == 3u);
  BOOST_TEST(!cluster.At("d").NeedsPull());
}

// Guards against a host that is not a voter and serves an older revision after a restart, or after
// an old answer, and against snapshots in parts that do not fit together.
BOOST_AUTO_TEST_CASE(OtherHostsPullAndKeepRevisions) {
  Cluster cluster({"a"});
  cluster.Start("disk");
  cluster.Start("diskless", /*has_disk=*/false);
  cluster.Put(Limits(0));
  std::string old_answer = cluster.At("a").Since(0);
  for (const char* name : {"disk", "diskless"}) cluster.Pull(name, "a");
  cluster.RunUntil([&] { return cluster.At("disk").revision() == 1; });
  cluster.Put(Limits(1));
  for (const char* name : {"disk", "diskless"}) cluster.Pull(name, "a");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At("disk").revision() == 2; }));
  for (const char* name : {"disk", "diskless"}) {
    BOOST_TEST(!cluster.At(name).ApplySince(old_answer));
    cluster.Run(milliseconds(100));
    BOOST_TEST(cluster.At(name).revision() == 2u);
    BOOST_TEST(cluster.At(name).View()->teams.size() == 2u);
  }
  cluster.Restart("disk");
  BOOST_TEST(cluster.At("disk").revision() == 2u);
  BOOST_CHECK_THROW(cluster.At("disk").ApplySince(old_answer.substr(0, 5)), Error);

  // Beyond the history only a snapshot helps; it needs more than one part.
  int answered = 0;
  for (int i = 0; i < 10'100; ++i) {
    // Changes of one path, each based on the one before.
    ConfigPut put = Limits(0, i == 0 ? 1 : cluster.At("a").revision());
    put.operator_name = std::string(100, 'o');  // the history alone takes more than one part
    cluster.At("a").Put(put, [&](const PutAnswer& answer) {
      BOOST_REQUIRE_MESSAGE(!answer.error.has_value(), answer.message);
      ++answered;
    });
    BOOST_REQUIRE(cluster.RunUntil([&] { return answered == i + 1; }));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == 10'100; }));
  uint64_t watched = 0;
  cluster.At("disk").Watch(2, cluster.now() + seconds(100), [&](const auto& changes) {
    watched = changes.empty() ? 0 : changes.back().revision;
  });
  BOOST_TEST(cluster.Pull("disk", "a") > 1);
  cluster.Put(Limits(50'000));  // the source moves on between the pulls
  cluster.Pull("diskless", "a");
  for (const char* name : {"disk", "diskless"}) {
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(name).revision() >= 10'102; }));
    cluster.Pull(name, "a");
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(name).revision() == 10'103; }));
    BOOST_TEST(cluster.At(name).Read("/").entries.size() == 3u);
  }
  BOOST_TEST(watched >= 10'102u);
  cluster.Restart("disk");
  BOOST_TEST(cluster.At("disk").revision() == 10'103u);
}

// Guards against a watch that misses a change or does not end.
BOOST_AUTO_TEST_CASE(WatchesAnswerOnChangeAndDeadline) {
  Cluster cluster({"a"});
  cluster.Put(Limits(0));
  std::vector<std::vector<ConfigChange>> answers;
  auto done = [&](std::vector<ConfigChange> changes) { answers.push_back(std::move(changes)); };
  cluster.At("a").Watch(0, cluster.now() + seconds(10), done);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(answers[0].at(0).path == "/teams/t0/limits");
  cluster.At("a").Watch(1, cluster.now() + seconds(10), done);
  BOOST_TEST(answers.size() == 1u);
  cluster.Put(Limits(1));
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(answers[1].at(0).revision == 2u);
  cluster.At("a").Watch(2, cluster.now() + milliseconds(50), done);
  BOOST_REQUIRE(cluster.RunUntil([&] { return answers.size() == 3; }, seconds(1)));
  BOOST_TEST(answers[2].empty());
}

// Guards against a host that answers puts while its disk fails, and one that never comes back.
BOOST_AUTO_TEST_CASE(FailingDiskLeavesAndReturns) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(Limits(0));
  std::string sick = cluster.Leader();
  cluster.DiskOf(sick).failing = true;
  std::optional<PutAnswer> answer;
  cluster.At(sick).Put(Limits(1, 0, "r1"), [&](PutAnswer given) { answer = given; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return answer.has_value(); }));
  BOOST_TEST((answer->error == ErrorKind::kConfigUnknown));
  BOOST_TEST(!cluster.At(sick).StorageOk());
  answer.reset();
  cluster.At(sick).Put(Limits(2), [&](PutAnswer given) { answer = given; });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->error == ErrorKind::kStorageFailed));
  // The others go on; the resend of the unknown change is applied once.
  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  BOOST_TEST(cluster.Put(Limits(1, 0, "r1")).revision == 2u);
  cluster.Pull(sick, cluster.Leader());
  BOOST_TEST(cluster.At(sick).revision() == 2u);
  cluster.DiskOf(sick).failing = false;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(sick).StorageOk(); }));
  cluster.Put(Limits(3));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.At(sick).revision() == 3; }));
  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.At(sick).NeedsPull(); }));
  cluster.Restart(sick);
  BOOST_TEST(cluster.At(sick).revision() == 3u);
}

// Guards against malformed messages that stop the process, and against a peer that speaks for
// another host.
BOOST_AUTO_TEST_CASE(BadMessagesAreDropped) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(Limits(0));
  cluster.At("a").OnMessage(HostId("b"), "x");
  cluster.At("a").OnMessage(HostId("b"), "");
  BOOST_TEST(!cluster.Put(Limits(1)).error.has_value());
}

// The whole of one voter with real files and a real journal thread.
BOOST_AUTO_TEST_CASE(SingleVoterKeepsItsStateInFiles) {
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("ebonylift-" + RandomHex(8));
  std::mutex mutex;
  std::deque<std::function<void()>> posted;
  auto start = [&] {
    ConfigReplica::Options options;
    options.self = HostId("a");
    options.voters = {HostId("a")};
    options.journal = std::make_shared<FileJournal>(folder, "config");
    options.send = [](const HostId&, const std::string&) {};
    options.post = [&](std::function<void()> fn) {
      std::lock_guard<std::mutex> lock(mutex);
      posted.push_back(std::move(fn));
    };
    auto replica = std::make_unique<ConfigReplica>(std::move(options));
    replica->Start(SteadyNow());
    return replica;
  };
  auto run_until = [&](ConfigReplica* replica, const std::function<bool()>& condition) {
    for (Time end = SteadyNow() + seconds(20); SteadyNow() < end && !condition();) {
      std::deque<std::function<void()>> ready;
      {
        std::lock_guard<std::mutex> lock(mutex);
        ready.swap(posted);
      }
      for (auto& fn : ready) fn();
      replica->Tick(SteadyNow());
      std::this_thread::sleep_for(milliseconds(1));
    }
    return condition();
  };
  std::unique_ptr<ConfigReplica> replica = start();
  Time started = SteadyNow();
  BOOST_REQUIRE(run_until(replica.get(), [&] { return replica->IsLeader(); }));
  std::cout << "leader after " << ToMillis(SteadyNow() - started) << " ms\n";
  int answered = 0;
  for (int i = 0; i < 50; ++i) replica->Put(Limits(i), [&](const PutAnswer&) { ++answered; });
  BOOST_REQUIRE(run_until(replica.get(), [&] { return answered == 50; }));
  BOOST_TEST(replica->revision() == 50u);
  replica.reset();
  posted.clear();
  replica = start();
  BOOST_TEST(replica->revision() == 50u);
  BOOST_REQUIRE(run_until(replica.get(), [&] { return replica->IsLeader(); }));
  replica.reset();
  posted.clear();
  // A removed journal is not taken for a new deployment.
  std::filesystem::remove(folder / "config.journal");
  replica = start();
  BOOST_TEST(replica->DiskLost());
  Time end = SteadyNow() + milliseconds(300);
  run_until(replica.get(), [&] { return replica->IsLeader() || SteadyNow() > end; });
  BOOST_TEST(!replica->IsLeader());
  replica.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace ebonylift
