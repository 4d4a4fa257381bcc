#define BOOST_TEST_MODULE config
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "base/hash.h"
#include "tests/support/caller.h"
#include "tests/support/cluster.h"
#include "tests/support/wait_for.h"

// Configuration changes (invariant I9): an accepted change is in force on every host within 7 s and
// is never reverted. The deployment is the six hosts of ThreeRegionWanSpec(), with 55 ms between
// the regions. The first host of each failure domain is a voter of the consensus group and has a
// disk.

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kMaxPropagationTime = seconds(7);
const std::vector<std::string> kVoters = {"centro-a-1", "este-a-1", "norte-a-1"};

ClusterSpec ConfigSpec() {
  ClusterSpec spec = ThreeRegionWanSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.engines = 1;
    domain.services = 0;
  }
  return spec;
}

json Limits(int requests_per_s) { return {{"requests_per_s", requests_per_s}}; }

struct Change {
  std::string path;
  json value;
  uint64_t base = 0;
  std::string request_id = RandomHex(16);
};

TestResponse Put(Cluster& cluster, const std::string& host, const Change& change) {
  json body = {{"path", change.path},
               {"value", change.value},
               {"base_revision", change.base},
               {"request_id", change.request_id}};
  return CallAdmin(cluster, host, "PUT", "config", body);
}

// Sends the change repeatedly until it is accepted; returns the last response.
TestResponse PutUntilAccepted(Cluster& cluster, const std::string& host, const Change& change) {
  TestResponse last;
  BOOST_TEST(
      WaitFor([&] { return (last = Put(cluster, host, change)).status == 200; }, seconds(15)),
      last.status << " " << last.body);
  return last;
}

uint64_t RevisionOf(Cluster& cluster, const std::string& host) {
  json status = StatusOf(cluster, host);
  return status.is_object() ? status["revision"].get<uint64_t>() : 0;
}

// Returns the value at `path` as served by `host`, or null if there is none.
json ValueAt(Cluster& cluster, const std::string& host, const std::string& path) {
  TestResponse response = CallAdmin(cluster, host, "GET", "config?path=" + path);
  json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("entries")) return json();
  for (const json& entry : body["entries"]) {
    if (entry["path"] == path) return entry["value"];
  }
  return json();
}

std::vector<std::string> AllExcept(std::vector<std::string> hosts, const std::string& host) {
  hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
  return hosts;
}

// Checks that each of `hosts` serves the change within kMaxPropagationTime.
void CheckAppliedOn(Cluster& cluster, const std::vector<std::string>& hosts, const Change& change) {
  Time accepted = SteadyNow();
  for (const std::string& host : hosts) {
    auto is_applied = [&] { return ValueAt(cluster, host, change.path) == change.value; };
    BOOST_TEST(WaitFor(is_applied, kMaxPropagationTime - (SteadyNow() - accepted)),
               host << " " << change.path);
  }
}

std::string WaitForLeader(Cluster& cluster) {
  std::string leader;
  auto found = [&] {
    for (const std::string& voter : kVoters) {
      json status = StatusOf(cluster, voter);
      if (status.is_object() && status["is_leader"] == true) leader = voter;
    }
    return !leader.empty();
  };
  BOOST_REQUIRE(WaitFor(found, seconds(15)));
  return leader;
}

}  // namespace

// Guards against an accepted change that is lost or takes effect too late when the leader is
// killed, frozen or silently cut off, and against a leader that accepts changes after it has lost
// its quorum.
BOOST_AUTO_TEST_CASE(ChangesTakeEffectWhenTheLeaderFails) {
  Cluster cluster(ConfigSpec());
  cluster.Start(seconds(40));
  std::vector<std::string> hosts = cluster.HostIds();
  Change change{"/teams/registros/limits", Limits(1000)};
  auto put_next_change = [&](const std::string& host, const std::vector<std::string>& reachable) {
    TestResponse accepted = PutUntilAccepted(cluster, host, change);
    change.base = json::parse(accepted.body)["revision"];
    CheckAppliedOn(cluster, reachable, change);
    change.value = Limits(change.value["requests_per_s"].get<int>() + 1);
    change.request_id = RandomHex(16);
  };
  put_next_change("este-a-2", hosts);
  for (const char* fault : {"killed", "frozen", "isolated"}) {
    std::string leader = WaitForLeader(cluster);
    std::string entry_host = leader == "norte-a-1" ? "este-a-2" : "norte-a-2";
    BOOST_TEST_MESSAGE("leader " << leader << " " << fault);
    if (fault == std::string("killed")) {
      cluster.KillHost(leader);
    } else if (fault == std::string("frozen")) {
      cluster.host(leader).process->Stop();
    } else {
      cluster.Partition(leader, "*");
    }
    put_next_change(entry_host, AllExcept(hosts, leader));
    if (fault == std::string("killed")) {
      cluster.RestartHost(leader);
    } else if (fault == std::string("frozen")) {
      cluster.host(leader).process->Continue();
    } else {
      Change refused{"/teams/registros/limits", Limits(1), change.base};
      BOOST_TEST(Put(cluster, leader, refused).body.find("no_quorum") != std::string::npos);
      cluster.Heal(leader, "*");
    }
    Change last_change = change;
    last_change.value = Limits(change.value["requests_per_s"].get<int>() - 1);
    CheckAppliedOn(cluster, hosts, last_change);
  }
}

// Guards against accepting more than one of several concurrent changes with the same base revision,
// and against a resent change that is applied again or gets a different answer after a leader
// change or a restart of all voters.
BOOST_AUTO_TEST_CASE(OneConcurrentChangeIsAcceptedAndResendsGetItsAnswer) {
  Cluster cluster(ConfigSpec());
  cluster.Start(seconds(40));
  std::vector<std::string> hosts = cluster.HostIds();
  std::vector<Change> changes(hosts.size());
  std::vector<TestResponse> answers(hosts.size());
  std::vector<std::thread> operators;
  for (size_t i = 0; i < hosts.size(); ++i) {
    changes[i] = {"/teams/registros/limits", Limits(100 + static_cast<int>(i))};
    operators.emplace_back([&, i] { answers[i] = Put(cluster, hosts[i], changes[i]); });
  }
  for (std::thread& thread : operators) thread.join();
  size_t winner = hosts.size();
  for (size_t i = 0; i < hosts.size(); ++i) {
    if (answers[i].status == 200) {
      BOOST_TEST(winner == hosts.size());
      winner = i;
    }
  }
  BOOST_REQUIRE(winner < hosts.size());
  std::string value = changes[winner].value.dump();
  for (size_t i = 0; i < hosts.size(); ++i) {
    if (i == winner) continue;
    BOOST_TEST(answers[i].body.find("config_conflict") != std::string::npos, answers[i].body);
    BOOST_TEST(answers[i].body.find(value) != std::string::npos, answers[i].body);
  }

  auto resend = [&](const std::string& when) {
    TestResponse repeated = PutUntilAccepted(cluster, "este-a-2", changes[winner]);
    BOOST_TEST(repeated.body == answers[winner].body, when << ": " << repeated.body);
  };
  uint64_t revision = json::parse(answers[winner].body)["revision"];
  std::string leader = WaitForLeader(cluster);
  cluster.KillHost(leader);
  resend("after the loss of the leader");
  for (const std::string& voter : kVoters) cluster.KillHost(voter);
  for (const std::string& voter : kVoters) cluster.RestartHost(voter);
  resend("after a restart of all voters");
  for (const std::string& host : hosts) {
    BOOST_TEST(WaitFor([&] { return RevisionOf(cluster, host) == revision; }, seconds(10)), host);
  }
}

// Guards against three failures: a host serves an older revision after a restart than before it;
// changes are lost when hundreds are made while a voter is down; a change is lost when one voter
// loses its disk and a second voter fails right after the first has recovered.
BOOST_AUTO_TEST_CASE(RevisionsSurviveRestartsAndALostDisk) {
  Cluster cluster(ConfigSpec());
  cluster.Start(seconds(40));
  std::vector<std::string> hosts = cluster.HostIds();
  cluster.KillHost("norte-a-1");
  // If the killed voter was the leader, changes are refused with not_run until the others have
  // elected a new one.
  auto has_leader = [&] {
    std::string leader = StatusOf(cluster, "este-a-1").value("leader", "");
    return !leader.empty() && leader != "norte-a-1";
  };
  BOOST_REQUIRE(WaitFor(has_leader, seconds(15)));
  constexpr int kOperators = 12;
  constexpr int kChangesEach = 25;
  std::atomic<int> failed_puts{0};
  std::vector<std::thread> operators;
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      for (int n = 0; n < kChangesEach; ++n) {
        std::string key = "key-" + std::to_string(i) + "-" + std::to_string(n);
        Change added{"/teams/registros/keys/" + key, {{"sha256", Sha256Hex(key)}}};
        if (Put(cluster, "este-a-1", added).status != 200) ++failed_puts;
      }
    });
  }
  for (std::thread& thread : operators) thread.join();
  BOOST_TEST(failed_puts == 0);
  Change change{"/teams/registros/limits", Limits(1)};
  change.base = json::parse(PutUntilAccepted(cluster, "este-a-1", change).body)["revision"];
  cluster.RestartHost("norte-a-1");
  CheckAppliedOn(cluster, hosts, change);
  uint64_t newest_revision = RevisionOf(cluster, "este-a-1");
  for (const std::string& host : hosts) {
    cluster.RestartHost(host);
    // Revision 0 means that the host has not loaded a configuration yet.
    uint64_t first_revision = 0;
    BOOST_TEST(
        WaitFor([&] { return (first_revision = RevisionOf(cluster, host)) > 0; }, seconds(10)),
        host);
    BOOST_TEST(first_revision >= newest_revision, host);
  }

  // A voter loses its disk and may vote again only after it has caught up. Then another voter
  // fails.
  cluster.KillHost("centro-a-1");
  std::filesystem::remove_all(cluster.host("centro-a-1").data_dir);
  std::filesystem::create_directory(cluster.host("centro-a-1").data_dir);
  cluster.RestartHost("centro-a-1");
  auto repaired = [&] {
    bool disk_lost = false;
    bool confirmed = false;
    for (const json& event : LoggedEvents(cluster.host("centro-a-1"))) {
      if (event["name"] == "voter_disk_lost") disk_lost = true;
      if (event["name"] == "voter_confirmed") confirmed = disk_lost;
    }
    return confirmed && StatusOf(cluster, "centro-a-1")["revision"] == newest_revision;
  };
  BOOST_TEST(WaitFor(repaired, seconds(20)));
  cluster.KillHost("este-a-1");
  change.value = Limits(2);
  change.request_id = RandomHex(16);
  PutUntilAccepted(cluster, "norte-a-2", change);
  CheckAppliedOn(cluster, AllExcept(hosts, "este-a-1"), change);
  BOOST_TEST(RevisionOf(cluster, "centro-a-1") > newest_revision);
  for (const char* host : {"centro-a-1", "norte-a-2"}) {
    TestResponse keys = CallAdmin(cluster, host, "GET", "config?path=/teams/registros/keys");
    // The configuration that Start() writes contains one more key.
    size_t count = json::parse(keys.body)["entries"].size();
    BOOST_TEST(count == kOperators * kChangesEach + 1U, host << " has " << count << " keys");
  }
}

// Guards against a partially written last record that keeps a host from starting, and against a
// host that treats a file damaged before its end as empty or shorter.
BOOST_AUTO_TEST_CASE(TornLastRecordIsRemovedAndCorruptionIsRefused) {
  Cluster cluster(ConfigSpec());
  cluster.Start(seconds(40));
  uint64_t newest_revision = RevisionOf(cluster, "norte-a-1");
  cluster.KillHost("norte-a-1");
  const std::string& folder = cluster.host("norte-a-1").data_dir;
  std::filesystem::path file;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (!entry.is_regular_file()) continue;
    if (entry.path().filename().string().rfind("config", 0) != 0) continue;
    if (file.empty() || entry.file_size() > std::filesystem::file_size(file)) file = entry.path();
  }
  BOOST_REQUIRE(!file.empty());
  std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
  auto count_logged = [&](const std::string& name) {
    std::vector<json> events = LoggedEvents(cluster.host("norte-a-1"));
    return std::count_if(events.begin(), events.end(),
                         [&](const json& event) { return event["name"] == name; });
  };
  // A daemon writes its log lines in order, but on a thread of their own, so they may follow its
  // first answers. The event `ready` comes after those of reading the journals.
  const auto starts_before = count_logged("ready");
  cluster.RestartHost("norte-a-1");
  BOOST_TEST(
      WaitFor([&] { return RevisionOf(cluster, "norte-a-1") >= newest_revision; }, seconds(15)));
  BOOST_TEST(WaitFor([&] { return count_logged("ready") > starts_before; }, seconds(10)));
  BOOST_TEST(count_logged("journal_torn_tail") > 0);
  BOOST_TEST(count_logged("journal_corrupt") == 0);

  cluster.KillHost("norte-a-1");
  {
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    auto middle = static_cast<std::streamoff>(std::filesystem::file_size(file) / 3);
    stream.seekg(middle);
    char byte = static_cast<char>(stream.get());
    stream.seekp(middle);
    stream.put(static_cast<char>(byte ^ 0x55));
  }
  cluster.LaunchHost("norte-a-1");
  std::optional<int> code = cluster.host("norte-a-1").process->Wait(seconds(10));
  BOOST_TEST(code.value_or(0) != 0);
  BOOST_TEST(count_logged("journal_corrupt") > 0);
  Change change{"/teams/registros/limits", Limits(7)};
  PutUntilAccepted(cluster, "norte-a-2", change);
}

}  // namespace ebonylift::test
