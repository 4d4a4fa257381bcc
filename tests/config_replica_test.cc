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
#include "core/config_tree.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

// The contents of a simulated disk.
struct Disk {
  std::optional<std::string> snapshot;
  std::vector<std::string> records;
  bool failing = false;  // every write fails
  bool lost = false;     // see Journal::LostContents()
};

// A journal on a simulated disk. Writes become durable when the test calls Sync().
class MemoryJournal : public Journal {
 public:
  explicit MemoryJournal(Disk* disk) : disk_(disk) {}

  void Replay(const std::function<void(std::string_view, bool)>& fn) override {
    if (disk_->snapshot) fn(*disk_->snapshot, true);
    for (const std::string& record : disk_->records) fn(record, false);
  }
  void Append(std::string record, Done done) override {
    pending_.push_back([this, record = std::move(record), done = std::move(done)] {
      if (!disk_->failing) disk_->records.push_back(record);
      done(!disk_->failing);
    });
  }
  void Compact(std::string snapshot, Done done) override {
    pending_.push_back([this, snapshot = std::move(snapshot), done = std::move(done)] {
      if (!disk_->failing) {
        disk_->snapshot = snapshot;
        disk_->records.clear();
      }
      done(!disk_->failing);
    });
  }
  bool LostContents() const override { return disk_->lost; }
  uint64_t SizeBytes() const override { return 0; }

  // Performs up to `count` pending writes and runs their callbacks.
  void Sync(size_t count) {
    for (; count > 0 && !pending_.empty(); --count) {
      std::function<void()> write = std::move(pending_.front());
      pending_.pop_front();
      write();
    }
  }

 private:
  Disk* disk_;
  std::deque<std::function<void()>> pending_;
};

struct Host {
  Disk disk;
  bool has_disk = true;
  std::shared_ptr<MemoryJournal> journal;
  std::deque<std::function<void()>> posted;
  std::unique_ptr<ConfigReplica> replica;  // null: the process is down
  uint64_t served = 0;                     // the largest revision() seen so far
};

// Replicas in simulated time. A message takes up to 30 ms. In each step of 10 ms a host performs up
// to 9 of its pending writes, so most writes take up to 20 ms.
class Cluster {
 public:
  explicit Cluster(std::vector<std::string> voters) : voters_(std::move(voters)) {
    for (const std::string& name : voters_) Start(name);
  }

  void Start(const std::string& name, bool has_disk = true) {
    Host& host = hosts_[name];
    host.has_disk = has_disk;
    if (!has_disk) host.served = 0;
    host.posted.clear();
    ConfigReplica::Options options;
    options.self = HostId(name);
    for (const std::string& voter : voters_) options.voters.emplace_back(voter);
    host.journal = std::make_shared<MemoryJournal>(&host.disk);
    if (has_disk) options.journal = host.journal;
    options.seed = rng_();
    options.send = [this, name](const HostId& to, std::string bytes) {
      BOOST_REQUIRE(bytes.size() <= ConfigReplica::kMaxMessageBytes);
      sent_bytes += bytes.size();
      messages_.push_back({now_ + milliseconds(rng_() % 30), name, to.value(), std::move(bytes)});
    };
    options.post = [&host](std::function<void()> fn) { host.posted.push_back(std::move(fn)); };
    options.clock = [this] { return now_; };
    options.wall = [] { return 1'000; };
    host.replica = std::make_unique<ConfigReplica>(std::move(options));
    host.replica->Start(now_);
    // A restart must not serve an older revision than before.
    if (has_disk) BOOST_REQUIRE_GE(host.replica->revision(), host.served);
  }

  // Stops the process. Pending writes are lost.
  void Crash(const std::string& name) { hosts_[name].replica.reset(); }

  void Restart(const std::string& name) {
    Crash(name);
    Start(name, hosts_[name].has_disk);
  }

  // Restarts the process with an empty disk.
  void RestartWithEmptyDisk(const std::string& name) {
    Crash(name);
    hosts_[name].disk = Disk();
    hosts_[name].served = 0;
    Start(name);
  }

  // Advances the time by 10 ms: delivers due messages, performs some writes and runs Tick().
  void Step() {
    now_ += milliseconds(10);
    std::vector<InFlightMessage> due;
    for (size_t i = 0; i < messages_.size();) {
      if (messages_[i].due > now_) {
        ++i;
        continue;
      }
      due.push_back(std::move(messages_[i]));
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (InFlightMessage& message : due) {
      auto to = hosts_.find(message.to);
      if (to == hosts_.end() || !to->second.replica) continue;
      if (isolated.count(message.from) != 0 || isolated.count(message.to) != 0) continue;
      to->second.replica->OnMessage(HostId(message.from), message.bytes);
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

  // Proposes the change on the leader and waits for the answer.
  PutAnswer Put(const ConfigPut& put) {
    std::optional<PutAnswer> answer;
    std::string leader = WaitForLeader();
    auto route = Replica(leader).Put(put, [&](PutAnswer given) { answer = std::move(given); });
    BOOST_REQUIRE(!route.has_value());
    BOOST_REQUIRE(RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  // Pulls until nothing more follows. Returns the number of pulls.
  int Pull(const std::string& to, const std::string& from) {
    for (int i = 0; i < 1'000; ++i) {
      std::string bytes = Replica(from).MakePullResponse(Replica(to).revision(),
                                                         Replica(to).pull_offset(HostId(from)));
      BOOST_REQUIRE(bytes.size() <= ConfigReplica::kMaxMessageBytes);
      sent_bytes += bytes.size();
      if (!Replica(to).ApplyPullResponse(bytes, HostId(from))) return i + 1;
      Step();
    }
    BOOST_FAIL("the pull does not end");
    return 0;
  }

  ConfigReplica& Replica(const std::string& name) { return *hosts_.at(name).replica; }
  Disk& DiskOf(const std::string& name) { return hosts_[name].disk; }
  Time now() const { return now_; }

  size_t sent_bytes = 0;           // between the voters, and by pulls
  std::set<std::string> isolated;  // hosts whose messages are dropped, to and from them

 private:
  struct InFlightMessage {
    Time due;
    std::string from;
    std::string to;
    std::string bytes;
  };

  std::mt19937_64 rng_{20'262};
  Time now_{seconds(1'000)};
  std::vector<std::string> voters_;
  std::map<std::string, Host> hosts_;
  std::vector<InFlightMessage> messages_;
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

ConfigPut LimitsPut(int number, uint64_t base = 0, const std::string& request_id = "") {
  return MakePut("/teams/t" + std::to_string(number) + "/limits", R"({"concurrency":1})", base,
                 request_id);
}

// About 21 KiB.
ConfigPut LargeRegionPut(int number) {
  std::string hosts;
  for (int n = 0; n < 200; ++n) {
    hosts += (n > 0 ? ",\"" : "\"") + std::to_string(n) + std::string(100, 'h') + "\"";
  }
  return MakePut("/deployment/regions/r" + std::to_string(number),
                 R"({"domains":[],"record_hosts":[)" + hosts + "]}");
}

// A document of nearly kMaxDocumentBytes, most of it the source text. Versions differ in one route.
ConfigPut LargeDocumentPut(int version, uint64_t base) {
  constexpr int kRoutes = 500;
  std::string routes;
  std::string source;
  std::mt19937_64 rng(1);
  while (source.size() < kMaxDocumentBytes * 15 / 16) source += std::to_string(rng()) + " route ";
  for (int i = 0; i < kRoutes; ++i) {
    std::string name = "r" + std::to_string(i);
    int deadline = i == version ? 5'000 : 3'000;
    routes += (i > 0 ? ",{" : "{") + (R"("id":")" + name) + R"(","host":"a","path_prefix":"/)" +
              name + R"(/","idempotent":true,"resumable":false,"deadline_ms":)" +
              std::to_string(deadline) + R"(,"first_byte_target_ms":0,"rank":0,"max_attempts":1,)" +
              R"("regions":["este"],"backends":[{"service":"s","weight":1}]})";
  }
  std::string document =
      R"({"version":)" + std::to_string(version) + R"(,"source":")" + source + R"(","routes":[)" +
      routes +
      R"(],"services":[{"id":"s","health_path":"/","max_connections":1,"cold_start_ms":0,)" +
      R"("cold_per_s":0}]})";
  BOOST_REQUIRE(document.size() <= kMaxDocumentBytes);
  BOOST_REQUIRE(document.size() > kMaxDocumentBytes * 7 / 8);
  return MakePut(kIngressPath, document, base, "v" + std::to_string(version));
}

const char* const kRegionValue = R"({"domains":["este-a"],"record_hosts":["a"]})";

}  // namespace

// Guards against hosts that hear of a revision only after the host that has it has built a view,
// which takes long for a large document and a busy processor.
BOOST_AUTO_TEST_CASE(RevisionIsToldBeforeItsViewIsBuilt) {
  Cluster cluster({"a"});
  cluster.Put(MakePut("/deployment/regions/este", kRegionValue));
  cluster.Start("b", /*has_disk=*/false);
  ConfigReplica& replica = cluster.Replica("b");
  std::vector<uint64_t> views;
  replica.SetRevisionChangedCallback([&] {
    BOOST_TEST(replica.revision() == 1u);
    views.push_back(replica.View()->revision);
  });
  cluster.Pull("b", "a");
  BOOST_TEST(views == std::vector<uint64_t>{0});
  cluster.Step();
  BOOST_TEST(replica.View()->revision == 1u);
}

// Guards against puts that are answered before they are applied or are not in the next view, and
// against wrong error kinds.
BOOST_AUTO_TEST_CASE(SingleVoterAnswersPuts) {
  Cluster cluster({"a"});
  PutAnswer answer = cluster.Put(MakePut("/deployment/regions/este", kRegionValue));
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(answer.revision == 1u);
  BOOST_TEST(cluster.Replica("a").View()->regions.size() == 1u);
  answer = cluster.Put(MakePut("/deployment/regions/este", kRegionValue));
  BOOST_TEST((answer.error == ErrorKind::kConfigConflict));
  BOOST_TEST(answer.revision == 1u);
  BOOST_TEST(answer.current_value.has_value());
  answer = cluster.Put(MakePut("/teams/rocha/residency", R"({"regions":["eset"]})"));
  BOOST_TEST((answer.error == ErrorKind::kConfigInvalid));
  BOOST_TEST(answer.message.find("\"este\"") != std::string::npos);
  answer = cluster.Put(MakePut("/teams/rocha/residency", std::nullopt));
  BOOST_TEST((answer.error == ErrorKind::kConfigInvalid));

  cluster.Put(LimitsPut(1, 0, "r1"));
  // A retry that differs only in white space counts as the same change.
  ConfigPut again = MakePut("/teams/t1/limits", "{ \"concurrency\" : 1 }", 0, "r1");
  BOOST_TEST(cluster.Put(again).revision == 2u);
  again.value = R"({"concurrency":2})";
  BOOST_TEST((cluster.Put(again).error == ErrorKind::kKeyConflict));
  BOOST_TEST(cluster.Replica("a").revision() == 2u);
  BOOST_TEST(cluster.Replica("a").Read("/teams").entries.size() == 1u);
  BOOST_TEST(cluster.Replica("a").History("/", 10).front().operator_name == "ana");
}

// Guards against a change that is validated without the changes proposed before it. Example: a
// region is removed while a residency that names it is proposed but not applied.
BOOST_AUTO_TEST_CASE(PutsAreValidatedAgainstProposedChanges) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(MakePut("/deployment/regions/este", kRegionValue));
  std::string leader = cluster.WaitForLeader();
  std::vector<PutAnswer> answers(4);
  int answered = 0;
  auto put = [&](size_t slot, const ConfigPut& change) {
    cluster.Replica(leader).Put(change, [&, slot](PutAnswer answer) {
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

// Guards against a leader that validates and logs each of the large values of changes that
// conflict, and loses its leadership meanwhile. All hosts of a region may send such changes at
// once.
BOOST_AUTO_TEST_CASE(ConflictsAreAnsweredWithoutALogEntry) {
  constexpr size_t kPuts = 8;
  Cluster cluster({"a", "b", "c"});
  cluster.Put(MakePut("/deployment/regions/este", kRegionValue));
  std::string leader = cluster.WaitForLeader();
  std::vector<PutAnswer> answers(kPuts);
  size_t answered = 0;
  size_t records = cluster.DiskOf(leader).records.size();
  for (size_t i = 0; i < kPuts; ++i) {
    cluster.Replica(leader).Put(LimitsPut(1, 0, "r" + std::to_string(i)), [&, i](PutAnswer answer) {
      answers[i] = std::move(answer);
      ++answered;
    });
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == kPuts; }));
  BOOST_TEST(!answers[0].error.has_value());
  for (size_t i = 1; i < kPuts; ++i) {
    BOOST_TEST((answers[i].error == ErrorKind::kConfigConflict));
    BOOST_TEST(answers[i].revision == 2u);
    BOOST_TEST(*answers[i].current_value == R"({"concurrency":1})");
  }
  // The entry of the first put, and its commit.
  BOOST_TEST(cluster.DiskOf(leader).records.size() - records <= 2u);
  // A resent put still gets the result of the first try.
  BOOST_TEST(!cluster.Put(LimitsPut(1, 0, "r0")).error.has_value());
}

// Guards against a put from a callback that is applied in the middle of a batch of entries.
BOOST_AUTO_TEST_CASE(CallbacksMayPutAgain) {
  Cluster cluster({"a", "b", "c"});
  std::string leader = cluster.WaitForLeader();
  int answered = 0;
  std::function<void(PutAnswer)> next = [&](const PutAnswer& answer) {
    BOOST_TEST(!answer.error.has_value());
    if (++answered < 40) cluster.Replica(leader).Put(LimitsPut(100 + answered), next);
  };
  for (int i = 0; i < 10; ++i) cluster.Replica(leader).Put(LimitsPut(i), next);
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered >= 49; }));
  BOOST_TEST(cluster.Replica(leader).revision() == 49u);
}

// Guards against hosts other than the leader that accept a put or do not return the leader.
BOOST_AUTO_TEST_CASE(OtherHostsReturnTheLeader) {
  Cluster cluster({"a", "b", "c"});
  cluster.Start("d", /*has_disk=*/false);
  cluster.Put(LimitsPut(1));
  std::string leader = cluster.Leader();
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.Replica("a").revision() == 1 && cluster.Replica("b").revision() == 1 &&
           cluster.Replica("c").revision() == 1;
  }));
  bool called = false;
  for (const char* name : {"a", "b", "c"}) {
    if (name == leader) continue;
    auto route = cluster.Replica(name).Put(LimitsPut(2), [&](const PutAnswer&) { called = true; });
    BOOST_TEST(route->value() == leader);
  }
  BOOST_TEST(cluster.Replica("d").NeedsPull());
  auto route = cluster.Replica("d").Put(LimitsPut(2), [&](const PutAnswer&) { called = true; });
  BOOST_TEST(route.has_value());  // some voter
  cluster.Pull("d", "a");
  BOOST_TEST(cluster.Replica("d").revision() == 1u);
  BOOST_TEST(cluster.Replica("d").Leader()->value() == leader);
  BOOST_TEST(!called);
}

// Guards against an isolated leader that still answers reads or puts, and against a put with an
// unknown outcome that is reported as not proposed.
BOOST_AUTO_TEST_CASE(PartitionedLeaderRefuses) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(LimitsPut(1));
  std::string old_leader = cluster.Leader();
  std::optional<ConfigRead> read;
  cluster.Replica(old_leader).ReadCurrent("/", [&](const std::optional<Error>&, ConfigRead r) {
    read = r;
  });
  BOOST_REQUIRE(cluster.RunUntil([&] { return read.has_value(); }));
  BOOST_TEST(read->entries.size() == 1u);

  cluster.isolated = {old_leader};
  std::optional<PutAnswer> unknown;
  cluster.Replica(old_leader).Put(LimitsPut(2, 0, "r2"), [&](PutAnswer answer) {
    unknown = answer;
  });
  cluster.Run(milliseconds(1'400));
  std::optional<Error> refused;
  cluster.Replica(old_leader)
      .ReadCurrent("/", [&](const std::optional<Error>& e, const ConfigRead&) { refused = e; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return refused.has_value() && unknown.has_value(); }));
  BOOST_TEST((refused->kind() == ErrorKind::kNoQuorum));
  BOOST_TEST((unknown->error == ErrorKind::kConfigUnknown));
  std::optional<PutAnswer> not_proposed;
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return !cluster.Replica(old_leader).IsLeader() &&
           !cluster.Replica(old_leader).Leader().has_value();
  }));
  cluster.Replica(old_leader).Put(LimitsPut(3), [&](PutAnswer answer) { not_proposed = answer; });
  BOOST_REQUIRE(not_proposed.has_value());
  BOOST_TEST((not_proposed->error == ErrorKind::kNoQuorum));

  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  BOOST_TEST(cluster.Put(LimitsPut(2, 0, "r2")).revision == 2u);  // the retry
  uint64_t term = cluster.Replica(cluster.Leader()).term();
  cluster.Run(seconds(10));
  cluster.isolated.clear();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(old_leader).revision() == 2; }));
  BOOST_TEST(cluster.Replica(cluster.Leader()).term() == term);
  BOOST_TEST(cluster.Put(LimitsPut(2, 0, "r2")).revision == 2u);
}

// Guards against a voter that does not catch up after hundreds of changes, when the leader has
// compacted the log.
BOOST_AUTO_TEST_CASE(VoterCatchesUpAfterManyChanges) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(LimitsPut(0));
  std::string down = cluster.Leader() == "a" ? "b" : "a";
  cluster.Crash(down);
  int answered = 0;
  std::string leader = cluster.WaitForLeader();
  for (int i = 1; i <= 500; ++i) {
    // The large values grow the log beyond kMaxLogBytes, so that it is compacted.
    ConfigPut put = i <= 450 ? LargeRegionPut(i) : LimitsPut(i);
    cluster.Replica(leader).Put(put, [&](const PutAnswer& answer) {
      BOOST_REQUIRE_MESSAGE(!answer.error.has_value(), answer.message);
      ++answered;
    });
    if (i % 20 == 0) cluster.Run(milliseconds(100));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == 500; }));
  cluster.Restart(down);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(down).revision() == 501; }));
  BOOST_TEST(cluster.Replica(down).Read("/").entries.size() == 501u);
  // All changes survive a simultaneous restart of all voters.
  for (const char* name : {"a", "b", "c"}) cluster.Restart(name);
  BOOST_TEST(cluster.Replica(leader).revision() >= 500u);
  BOOST_TEST(cluster.Put(LimitsPut(900)).revision == 502u);
}

// Guards against a crash during a write that loses an answered change or makes a host serve an
// older revision. Hosts restart at random times while changes are made.
BOOST_AUTO_TEST_CASE(RandomRestartsLoseNoAnsweredPut) {
  constexpr uint32_t kSeed = 515;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  Cluster cluster({"a", "b", "c"});
  const std::vector<std::string> names = {"a", "b", "c"};
  std::set<std::string> accepted;
  for (int i = 0; i < 300; ++i) {
    std::string leader = cluster.WaitForLeader();
    ConfigPut put = LimitsPut(i);
    cluster.Replica(leader).Put(put, [&accepted, path = put.path](const PutAnswer& answer) {
      if (!answer.error) accepted.insert(path);
    });
    cluster.Run(milliseconds(10 * (rng() % 8)));
    if (rng() % 6 == 0) cluster.Restart(names[rng() % 3]);
  }
  std::string leader = cluster.WaitForLeader();
  cluster.Put(LimitsPut(1'000));
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.Replica("a").revision() == cluster.Replica("b").revision() &&
           cluster.Replica("b").revision() == cluster.Replica("c").revision();
  }));
  BOOST_TEST(accepted.size() > 100u);
  std::set<std::string> paths;
  for (const ConfigEntry& entry : cluster.Replica("a").Read("/").entries) paths.insert(entry.path);
  for (const std::string& path : accepted) BOOST_TEST(paths.count(path) == 1u);
}

// Guards against a voter with a lost disk that votes before it has caught up, does not report the
// loss, or never becomes a voter again.
BOOST_AUTO_TEST_CASE(LostDiskIsReportedAndRecovers) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(LimitsPut(1));
  std::string leader = cluster.Leader();
  std::string wiped = leader == "a" ? "b" : "a";
  cluster.isolated = {leader};
  cluster.RestartWithEmptyDisk(wiped);
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(cluster.Replica(wiped).DiskLost());
  BOOST_TEST(!cluster.Replica(wiped).IsVoter());
  BOOST_TEST(cluster.Replica(wiped).NeedsPull());
  cluster.isolated.clear();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(wiped).IsVoter(); }));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(wiped).revision() == 1; }));
  BOOST_TEST(!cluster.Replica(wiped).DiskLost());
  cluster.Restart(wiped);
  BOOST_TEST(cluster.Replica(wiped).IsVoter());
}

// Guards against voters that elect a leader as in a new deployment although one of them knows that
// its disk was lost, also after it restarts. Also guards against a host outside the voters that
// reports a lost disk forever.
BOOST_AUTO_TEST_CASE(LostJournalPreventsFirstElection) {
  Cluster cluster({"a", "b", "c"});
  for (const char* name : {"a", "b", "c"}) cluster.Crash(name);
  for (const char* name : {"a", "b", "c"}) {
    cluster.DiskOf(name) = Disk();
    cluster.DiskOf(name).lost = std::string(name) == "c";
    cluster.Start(name);
  }
  cluster.Run(seconds(2));
  cluster.DiskOf("c").lost = false;  // the journal now has contents
  cluster.Restart("c");
  cluster.Run(seconds(20));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(cluster.Replica("c").DiskLost());
  cluster.DiskOf("d").lost = true;
  cluster.Start("d");
  cluster.Run(seconds(1));
  BOOST_TEST(!cluster.Replica("d").DiskLost());
}

// Guards against lost changes when a second host fails right after a voter was replaced.
BOOST_AUTO_TEST_CASE(SecondFailureAfterReplacementLosesNothing) {
  Cluster cluster({"a", "b", "c"});
  for (int i = 0; i < 30; ++i) cluster.Put(LimitsPut(i));
  std::string leader = cluster.Leader();
  std::string failed = leader == "c" ? "b" : "c";
  cluster.Crash(failed);
  cluster.Start("d");
  cluster.Pull("d", leader);  // d serves pulled revisions before it becomes a voter
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica("d").revision() == 30; }));
  std::optional<PutAnswer> added;
  cluster.Replica(leader).AddVoter(HostId("d"), [&](PutAnswer answer) { added = answer; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return added.has_value(); }));
  BOOST_TEST(!added->error.has_value());
  std::optional<PutAnswer> removed;
  cluster.Replica(leader).RemoveVoter(HostId(failed), [&](PutAnswer answer) { removed = answer; });
  BOOST_REQUIRE(cluster.RunUntil([&] { return removed.has_value(); }));
  BOOST_TEST(!removed->error.has_value());
  cluster.Put(LimitsPut(30));
  cluster.Crash(leader);
  std::string next = cluster.WaitForLeader();
  BOOST_TEST(cluster.Put(LimitsPut(31)).revision == 32u);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica("d").revision() == 32; }));
  BOOST_TEST(cluster.Replica("d").Read("/").entries.size() == 32u);
  BOOST_TEST(cluster.Replica("d").Voters().size() == 3u);
  BOOST_TEST(!cluster.Replica("d").NeedsPull());
}

// Guards against a host outside the voters that serves an older revision after a restart or after
// an outdated pull response, and against snapshot parts of different revisions that are mixed, or
// that discard each other for ever.
BOOST_AUTO_TEST_CASE(NonVotersPullAndKeepRevisions) {
  Cluster cluster({"a"});
  cluster.Start("disk");
  cluster.Start("diskless", /*has_disk=*/false);
  cluster.Put(LimitsPut(0));
  std::string old_response = cluster.Replica("a").MakePullResponse(0);
  for (const char* name : {"disk", "diskless"}) cluster.Pull(name, "a");
  cluster.RunUntil([&] { return cluster.Replica("disk").revision() == 1; });
  cluster.Put(LimitsPut(1));
  for (const char* name : {"disk", "diskless"}) cluster.Pull(name, "a");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica("disk").revision() == 2; }));
  for (const char* name : {"disk", "diskless"}) {
    BOOST_TEST(!cluster.Replica(name).ApplyPullResponse(old_response));
    cluster.Run(milliseconds(100));
    BOOST_TEST(cluster.Replica(name).revision() == 2u);
    BOOST_TEST(cluster.Replica(name).View()->teams.size() == 2u);
  }
  cluster.Restart("disk");
  BOOST_TEST(cluster.Replica("disk").revision() == 2u);
  BOOST_CHECK_THROW(cluster.Replica("disk").ApplyPullResponse(old_response.substr(0, 5)), Error);

  // A host that is behind the start of the history needs a snapshot, here of more than one part.
  int answered = 0;
  for (int i = 0; i < 10'100; ++i) {
    // All changes are of the same path, each based on the previous one.
    ConfigPut put = LimitsPut(0, i == 0 ? 1 : cluster.Replica("a").revision());
    put.operator_name = std::string(100, 'o');  // makes the history larger than one part
    cluster.Replica("a").Put(put, [&](const PutAnswer& answer) {
      BOOST_REQUIRE_MESSAGE(!answer.error.has_value(), answer.message);
      ++answered;
    });
    BOOST_REQUIRE(cluster.RunUntil([&] { return answered == i + 1; }));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return answered == 10'100; }));
  uint64_t watched = 0;
  cluster.Replica("disk").Watch(2, cluster.now() + seconds(100), [&](const auto& changes) {
    watched = changes.empty() ? 0 : changes.back().revision;
  });
  BOOST_TEST(cluster.Pull("disk", "a") > 1);
  cluster.Put(LimitsPut(50'000));  // the source changes between the pulls
  cluster.Pull("diskless", "a");
  for (const char* name : {"disk", "diskless"}) {
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(name).revision() >= 10'102; }));
    cluster.Pull(name, "a");
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(name).revision() == 10'103; }));
    BOOST_TEST(cluster.Replica(name).Read("/").entries.size() == 3u);
  }
  BOOST_TEST(watched >= 10'102u);
  cluster.Restart("disk");
  BOOST_TEST(cluster.Replica("disk").revision() == 10'103u);

  // The snapshots of two hosts that are asked in turn are of different revisions.
  cluster.Start("late", /*has_disk=*/false);
  ConfigReplica& late = cluster.Replica("late");
  for (int i = 0; i < 100 && late.revision() == 0; ++i) {
    const std::string from = i % 2 == 0 ? "a" : "disk";
    std::string part =
        cluster.Replica(from).MakePullResponse(late.revision(), late.pull_offset(HostId(from)));
    late.ApplyPullResponse(part, HostId(from));
  }
  BOOST_TEST(late.revision() >= 10'102u);
  BOOST_TEST(!late.in_snapshot());
  cluster.Crash("late");
}

// Guards against a watch that misses a change or does not end at its deadline.
BOOST_AUTO_TEST_CASE(WatchesAnswerOnChangeAndDeadline) {
  Cluster cluster({"a"});
  cluster.Put(LimitsPut(0));
  std::vector<std::vector<ConfigChange>> answers;
  auto done = [&](std::vector<ConfigChange> changes) { answers.push_back(std::move(changes)); };
  cluster.Replica("a").Watch(0, cluster.now() + seconds(10), done);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(answers[0].at(0).path == "/teams/t0/limits");
  cluster.Replica("a").Watch(1, cluster.now() + seconds(10), done);
  BOOST_TEST(answers.size() == 1u);
  cluster.Put(LimitsPut(1));
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(answers[1].at(0).revision == 2u);
  cluster.Replica("a").Watch(2, cluster.now() + milliseconds(50), done);
  BOOST_REQUIRE(cluster.RunUntil([&] { return answers.size() == 3; }, seconds(1)));
  BOOST_TEST(answers[2].empty());
}

// Guards against a host that accepts puts while its disk writes fail, and against one that does not
// rejoin the consensus when they succeed again.
BOOST_AUTO_TEST_CASE(HostWithFailingDiskLeavesAndRejoins) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(LimitsPut(0));
  std::string failing_host = cluster.Leader();
  cluster.DiskOf(failing_host).failing = true;
  std::optional<PutAnswer> answer;
  cluster.Replica(failing_host).Put(LimitsPut(1, 0, "r1"), [&](PutAnswer given) {
    answer = given;
  });
  BOOST_REQUIRE(cluster.RunUntil([&] { return answer.has_value(); }));
  BOOST_TEST((answer->error == ErrorKind::kConfigUnknown));
  BOOST_TEST(!cluster.Replica(failing_host).StorageOk());
  answer.reset();
  cluster.Replica(failing_host).Put(LimitsPut(2), [&](PutAnswer given) { answer = given; });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->error == ErrorKind::kStorageFailed));
  // The other voters continue. The retry of the change with the unknown outcome is applied once.
  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  BOOST_TEST(cluster.Put(LimitsPut(1, 0, "r1")).revision == 2u);
  cluster.Pull(failing_host, cluster.Leader());
  BOOST_TEST(cluster.Replica(failing_host).revision() == 2u);
  cluster.DiskOf(failing_host).failing = false;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(failing_host).StorageOk(); }));
  cluster.Put(LimitsPut(3));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Replica(failing_host).revision() == 3; }));
  BOOST_REQUIRE(cluster.RunUntil([&] { return !cluster.Replica(failing_host).NeedsPull(); }));
  cluster.Restart(failing_host);
  BOOST_TEST(cluster.Replica(failing_host).revision() == 3u);
}

// Guards against malformed messages that end the process.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreDropped) {
  Cluster cluster({"a", "b", "c"});
  cluster.Put(LimitsPut(0));
  cluster.Replica("a").OnMessage(HostId("b"), "x");
  cluster.Replica("a").OnMessage(HostId("b"), "");
  BOOST_TEST(!cluster.Put(LimitsPut(1)).error.has_value());
}

// Runs a single voter with a FileJournal. Guards against changes that are lost by a restart, and
// against a removed journal that is treated as a new deployment.
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
  for (int i = 0; i < 50; ++i) replica->Put(LimitsPut(i), [&](const PutAnswer&) { ++answered; });
  BOOST_REQUIRE(run_until(replica.get(), [&] { return answered == 50; }));
  BOOST_TEST(replica->revision() == 50u);
  replica.reset();
  posted.clear();
  replica = start();
  BOOST_TEST(replica->revision() == 50u);
  BOOST_REQUIRE(run_until(replica.get(), [&] { return replica->IsLeader(); }));
  replica.reset();
  posted.clear();
  // A removed journal must not be treated as a new deployment.
  std::filesystem::remove(folder / "config.journal");
  replica = start();
  BOOST_TEST(replica->DiskLost());
  Time end = SteadyNow() + milliseconds(300);
  run_until(replica.get(), [&] { return replica->IsLeader() || SteadyNow() > end; });
  BOOST_TEST(!replica->IsLeader());
  replica.reset();
  std::filesystem::remove_all(folder);
}

// Guards against hosts that store and send each version of a large document whole, and so run out
// of memory, disk or time to send it when versions follow each other quickly or a host starts anew.
BOOST_AUTO_TEST_CASE(VersionsOfALargeDocumentCostWhatTheyChange) {
  constexpr int kVersions = 20;
  constexpr Duration kVersionInterval = milliseconds(400);
  // A gateway of the platform's sheets has a link of 10 Mbit/s.
  constexpr size_t kLinkBytesPerSecond = 10'000'000 / 8;
  constexpr size_t kMaxVersionBytes = kLinkBytesPerSecond * 400 / 1'000;
  // A journal and the file that replaces it share a disk of 128 MB.
  constexpr size_t kMaxJournalBytes = 128'000'000 / 2;
  Cluster cluster({"a", "b", "c"});
  cluster.Start("x", /*has_disk=*/false);
  BOOST_REQUIRE(!cluster.Put(LargeDocumentPut(1, 0)).error);
  cluster.Run(kVersionInterval);
  cluster.Pull("x", "a");
  for (int version = 2; version <= kVersions; ++version) {
    cluster.sent_bytes = 0;
    PutAnswer answer = cluster.Put(LargeDocumentPut(version, static_cast<uint64_t>(version) - 1));
    BOOST_REQUIRE(!answer.error);
    cluster.Run(kVersionInterval);
    cluster.Pull("x", "a");
    // Three hosts get the version.
    BOOST_TEST(cluster.sent_bytes <= 3 * kMaxVersionBytes);
  }
  cluster.Step();  // builds the views
  for (const std::string name : {"a", "b", "c", "x"}) {
    BOOST_REQUIRE_EQUAL(cluster.Replica(name).View()->ingress->version, kVersions);
    size_t journal = cluster.DiskOf(name).snapshot ? cluster.DiskOf(name).snapshot->size() : 0;
    for (const std::string& record : cluster.DiskOf(name).records) journal += record.size();
    BOOST_TEST(journal <= kMaxJournalBytes, name);
  }
  cluster.Restart("b");
  cluster.RestartWithEmptyDisk("c");
  cluster.Crash("x");
  cluster.Start("x", /*has_disk=*/false);
  cluster.sent_bytes = 0;
  cluster.Pull("x", "a");
  BOOST_TEST(cluster.sent_bytes <= kMaxDocumentBytes);
  BOOST_REQUIRE(cluster.RunUntil([&] {
    return cluster.Replica("b").revision() == kVersions &&
           cluster.Replica("c").revision() == kVersions;
  }));
  BOOST_TEST(cluster.Replica("c").Read(kIngressPath).entries.front().value ==
             cluster.Replica("x").Read(kIngressPath).entries.front().value);
  std::vector<ConfigChange> changes = cluster.Replica("a").History(kIngressPath, 2);
  BOOST_REQUIRE(changes.size() == 2u);
  BOOST_TEST(changes[0].value.has_value());
  BOOST_TEST(!changes[0].value_omitted);
  BOOST_TEST(changes[1].value_omitted);
}

}  // namespace ebonylift
