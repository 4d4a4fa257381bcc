#define BOOST_TEST_MODULE platform
#include <algorithm>
#include <boost/test/included/unit_test.hpp>

#include "tests/support/platform_deployment.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kStart = seconds(20);
// The platform's bounds for a drain, a change of the configuration and an evacuation.
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kConfigBound = seconds(3);
constexpr Duration kEvacuationBound = seconds(5);

size_t CountOf(const std::vector<std::string>& runs, const std::string& id) {
  return static_cast<size_t>(std::count(runs.begin(), runs.end(), id));
}

std::string WholeStream() {
  std::string all;
  for (int i = 1; i <= PlatformReplica::kEvents; ++i) {
    all += "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
  }
  return all;
}

// Two replicas of each service in este, one of each in centro, none in norte.
struct Fixture {
  PlatformDeployment platform;
  std::vector<PlatformReplica*> models;
  std::vector<PlatformReplica*> portals;

  Fixture() {
    for (const char* zone : {"este-a", "este-a", "centro-a"}) {
      models.push_back(platform.AddReplica("model", zone));
      portals.push_back(platform.AddReplica("portal", zone));
    }
    platform.PutConfiguration(PlatformDeployment::Configuration(7));
    for (const std::string& zone : PlatformDeployment::Zones()) {
      BOOST_REQUIRE(WaitFor([&] { return platform.Ready(zone); }, kStart));
    }
    BOOST_REQUIRE(WaitFor([this] { return Serves("este-a", "/look/x"); }, kStart));
    BOOST_REQUIRE(WaitFor([this] { return Serves("norte-a", "/look/x"); }, kStart));
    BOOST_REQUIRE(WaitFor([this] { return Serves("norte-a", "/stream/x"); }, kStart));
    BOOST_REQUIRE(WaitFor([this] { return AllUsed(); }, kStart));
  }

  bool Serves(const std::string& zone, const std::string& path) {
    return platform.Request(zone, "GET", path, NextId()).status == 200;
  }

  // The gateway of este knows both replicas of each service there.
  bool AllUsed() {
    Serves("este-a", "/look/x");
    Serves("este-a", "/stream/x");
    return !models[0]->Runs().empty() && !models[1]->Runs().empty() &&
           !portals[0]->Runs().empty() && !portals[1]->Runs().empty();
  }

  std::string NextId() { return "request-" + std::to_string(++next_); }

  int next_ = 0;
};

size_t Runs(const std::vector<PlatformReplica*>& replicas, const std::string& id) {
  size_t runs = 0;
  for (PlatformReplica* replica : replicas) runs += CountOf(replica->Runs(), id);
  return runs;
}

void SetMode(const std::vector<PlatformReplica*>& replicas, ReplicaMode mode) {
  for (PlatformReplica* replica : replicas) replica->SetMode(mode);
}

}  // namespace

// Guards against a path that is not whole: directory, routes, signatures, regions and faults of
// replicas, each against the promise that it touches.
BOOST_FIXTURE_TEST_CASE(RequestsAndReplicas, Fixture) {
  // The directory names the gateway of the caller's zone.
  json directory = json::parse(platform.Resolve(0, "norte-a").body);
  BOOST_TEST(directory["addresses"].size() == 1u);
  BOOST_TEST(directory["ttl_s"].get<double>() > 0);

  // A body passes unchanged, with the signature of the replica that ran it.
  TestResponse post = platform.Request("este-a", "POST", "/post/2", "p1");
  BOOST_TEST(post.status == 200);
  BOOST_TEST(post.body == "POST /post/2 body of p1");
  BOOST_TEST(!post.Header("Server-Seal").empty());
  BOOST_TEST(platform.Request("este-a", "GET", "/none/2", "p2").status == 404);

  // norte has no replicas, and is no home of /check/: its requests run elsewhere.
  TestResponse away = platform.Request("norte-a", "POST", "/check/1", "c1");
  BOOST_TEST(away.status == 200);
  BOOST_TEST(away.body == WholeStream());
  BOOST_TEST(Runs(models, "c1") == 1u);

  // A resumable stream goes on after its last whole event at another replica.
  models[0]->SetMode(ReplicaMode::kBreakStream);
  for (int i = 0; i < 6; ++i) {
    TestResponse stream = platform.Request("este-a", "POST", "/stream/1", "s" + std::to_string(i));
    BOOST_TEST(stream.complete);
    BOOST_TEST(stream.body == WholeStream());
  }
  // One that may not be resumed is cut and does not look complete.
  SetMode(models, ReplicaMode::kBreakStream);
  TestResponse cut = platform.Request("este-a", "POST", "/check/1", "c2");
  BOOST_TEST(!cut.complete);
  BOOST_TEST(Runs(models, "c2") == 1u);
  SetMode(models, ReplicaMode::kServe);

  // Unsafe: tried elsewhere only when the replica says that it did not run.
  portals[0]->SetMode(ReplicaMode::kFull);
  for (int i = 0; i < 6; ++i) {
    std::string id = "u" + std::to_string(i);
    BOOST_TEST(platform.Request("este-a", "POST", "/post/1", id).status == 200);
    BOOST_TEST(Runs(portals, id) == 1u);
  }
  SetMode(portals, ReplicaMode::kLoseAnswer);
  TestResponse lost = platform.Request("este-a", "POST", "/post/1", "l1");
  BOOST_TEST(lost.status == 502);
  BOOST_TEST(Runs(portals, "l1") == 1u);
  // Nothing ran: a refusal with a time to come back.
  SetMode(portals, ReplicaMode::kFull);
  TestResponse full = platform.Request("este-a", "POST", "/post/1", "f1");
  BOOST_TEST(full.status == 503);
  BOOST_TEST(!full.Header("Retry-After").empty());
  BOOST_TEST(Runs(portals, "f1") == 0u);
  // An answer of another request never reaches the caller.
  SetMode(portals, ReplicaMode::kForeign);
  TestResponse foreign = platform.Request("este-a", "POST", "/post/1", "x1");
  BOOST_TEST(foreign.status == 502);
}

// Guards against work for a replica that leaves or is evacuated after the acknowledgement, and
// against a late heartbeat that brings it back.
BOOST_FIXTURE_TEST_CASE(LeavingAndEvacuation, Fixture) {
  std::string late = portals[0]->Heartbeat("ready").dump();
  BOOST_TEST(platform.Drain(portals[0]) == 200);
  std::this_thread::sleep_for(kDrainBound);
  size_t before = portals[0]->Runs().size();
  json later = portals[0]->Heartbeat("ready");
  platform.ControlAny("POST", "/Instances.Heartbeat/" + portals[0]->id(), late);
  platform.ControlAny("POST", "/Instances.Heartbeat/" + portals[0]->id(), later.dump());
  for (int i = 0; i < 20; ++i) BOOST_TEST(Serves("este-a", "/look/x"));
  BOOST_TEST(portals[0]->Runs().size() == before);

  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Start/centro-a").status == 200);
  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Start/este-a").status == 200);
  std::this_thread::sleep_for(kEvacuationBound);
  before = Runs(portals, "e1");
  BOOST_TEST(platform.Request("este-a", "POST", "/post/1", "e1").status == 503);
  BOOST_TEST(Runs(portals, "e1") == 0u);
  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Finish/este-a").status == 200);
  BOOST_TEST(WaitFor([this] { return Serves("este-a", "/look/x"); }, kEvacuationBound));
}

// Guards against a configuration that is lost, older than one that was acknowledged, or obeyed
// although it is invalid, while control hosts are killed and lose their disks.
BOOST_FIXTURE_TEST_CASE(ConfigurationSurvives, Fixture) {
  json next = PlatformDeployment::Configuration(9);
  next["routes"].push_back(next["routes"][3]);
  next["routes"][4]["name"] = "more";
  next["routes"][4]["path_prefix"] = "/more/";
  platform.PutConfiguration(next);
  BOOST_TEST(WaitFor([this] { return Serves("norte-a", "/more/x"); }, kConfigBound));
  // Acknowledged, and changes nothing.
  platform.PutConfiguration(PlatformDeployment::Configuration(8));
  json invalid = PlatformDeployment::Configuration(11);
  invalid["routes"][0]["timeout_ms"] = 0;
  BOOST_TEST(platform.ControlAny("POST", "/Config.Replace", invalid.dump()).status == 400);
  std::string cut = next.dump().substr(0, 100);
  BOOST_TEST(platform.ControlAny("POST", "/Config.Replace", cut).status == 400);
  BOOST_TEST(json::parse(platform.ControlAny("GET", "/Config.Read").body) == next);

  // A host that returns with an empty disk takes no part until it has caught up.
  platform.KillControl(0);
  platform.WipeControl(0);
  platform.StartControl(0, false);
  for (int host = 0; host < 3; ++host) {
    auto reads_newest = [&] {
      TestResponse read = platform.Control(host, "GET", "/Config.Read");
      if (read.status != 200) return false;
      BOOST_TEST(json::parse(read.body) == next);
      return true;
    };
    BOOST_TEST(WaitFor(reads_newest, kStart), "host " << host);
  }
  // All at once, with their disks.
  for (int host = 0; host < 3; ++host) platform.KillControl(host);
  for (int host = 0; host < 3; ++host) platform.StartControl(host, false);
  BOOST_TEST(json::parse(platform.ControlAny("GET", "/Config.Read").body) == next);
  BOOST_TEST(Serves("este-a", "/more/x"));
}

}  // namespace ebonylift::test
