#define BOOST_TEST_MODULE platform
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <thread>
#include <vector>

#include "tests/support/platform_deployment.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kStartTimeout = seconds(20);
// Time that the platform allows for a drain, a configuration change and an evacuation to take
// effect.
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kConfigBound = seconds(3);
constexpr Duration kEvacuationBound = seconds(5);

size_t CountRuns(const std::vector<std::string>& runs, const std::string& id) {
  return static_cast<size_t>(std::count(runs.begin(), runs.end(), id));
}

std::string CompleteStream() {
  std::string all;
  for (int i = 1; i <= PlatformReplica::kEventsPerStream; ++i) {
    all += "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
  }
  return all;
}

// Two replicas of each service in este, one of each in centro and none in norte.
struct PlatformFixture {
  PlatformDeployment platform;
  std::vector<PlatformReplica*> models;
  std::vector<PlatformReplica*> portals;

  PlatformFixture() {
    for (const char* zone : {"este-a", "este-a", "centro-a"}) {
      models.push_back(platform.AddReplica("model", zone));
      portals.push_back(platform.AddReplica("portal", zone));
    }
    platform.PutConfiguration(PlatformDeployment::Configuration(7));
    for (const std::string& zone : PlatformDeployment::Zones()) {
      BOOST_REQUIRE(WaitFor([&] { return platform.Ready(zone); }, kStartTimeout));
    }
    BOOST_REQUIRE(WaitFor([this] { return Serves("este-a", "/look/x"); }, kStartTimeout));
    BOOST_REQUIRE(WaitFor([this] { return Serves("norte-a", "/look/x"); }, kStartTimeout));
    BOOST_REQUIRE(WaitFor([this] { return Serves("norte-a", "/stream/x"); }, kStartTimeout));
    BOOST_REQUIRE(WaitFor([this] { return AllReplicasUsed(); }, kStartTimeout));
  }

  bool Serves(const std::string& zone, const std::string& path) {
    return platform.Request(zone, "GET", path, NextRequestId()).status == 200;
  }

  // Sends requests in este and returns true once all replicas there have run some, which shows that
  // the gateway of este knows them.
  bool AllReplicasUsed() {
    Serves("este-a", "/look/x");
    Serves("este-a", "/stream/x");
    return !models[0]->ExecutedRequestIds().empty() && !models[1]->ExecutedRequestIds().empty() &&
           !portals[0]->ExecutedRequestIds().empty() && !portals[1]->ExecutedRequestIds().empty();
  }

  std::string NextRequestId() { return "request-" + std::to_string(++request_number_); }

  int request_number_ = 0;
};

size_t Runs(const std::vector<PlatformReplica*>& replicas, const std::string& id) {
  size_t runs = 0;
  for (PlatformReplica* replica : replicas) runs += CountRuns(replica->ExecutedRequestIds(), id);
  return runs;
}

void SetMode(const std::vector<PlatformReplica*>& replicas, ReplicaMode mode) {
  for (PlatformReplica* replica : replicas) replica->SetMode(mode);
}

}  // namespace

// Checks the whole request path: directory, routes, signatures, regions and the faults of replicas,
// each against the guarantee that depends on it.
BOOST_FIXTURE_TEST_CASE(RequestPathAndReplicaFaults, PlatformFixture) {
  // The directory returns the gateway of the caller's zone.
  json directory = json::parse(platform.Resolve(0, "norte-a").body);
  BOOST_TEST(directory["addresses"].size() == 1u);
  BOOST_TEST(directory["ttl_s"].get<double>() > 0);

  // The body arrives unchanged, and the answer carries the signature of the replica that ran the
  // request.
  TestResponse post = platform.Request("este-a", "POST", "/post/2", "p1");
  BOOST_TEST(post.status == 200);
  BOOST_TEST(post.body == "POST /post/2 body of p1");
  BOOST_TEST(!post.Header("Server-Seal").empty());
  BOOST_TEST(platform.Request("este-a", "GET", "/none/2", "p2").status == 404);

  // norte has no replicas and is not a home of /check/, so its requests run in another region.
  TestResponse remote = platform.Request("norte-a", "POST", "/check/1", "c1");
  BOOST_TEST(remote.status == 200);
  BOOST_TEST(remote.body == CompleteStream());
  BOOST_TEST(Runs(models, "c1") == 1u);

  // A resumable stream continues at another replica after its last complete event.
  models[0]->SetMode(ReplicaMode::kBreakStream);
  for (int i = 0; i < 6; ++i) {
    TestResponse stream = platform.Request("este-a", "POST", "/stream/1", "s" + std::to_string(i));
    BOOST_TEST(stream.complete);
    BOOST_TEST(stream.body == CompleteStream());
  }
  // A stream that may not be resumed is cut off and does not look complete.
  SetMode(models, ReplicaMode::kBreakStream);
  TestResponse truncated = platform.Request("este-a", "POST", "/check/1", "c2");
  BOOST_TEST(!truncated.complete);
  BOOST_TEST(Runs(models, "c2") == 1u);
  SetMode(models, ReplicaMode::kServe);

  // An unsafe request is tried at another replica only if the first one says that it did not run.
  // Each retry takes from the retry budget, to which each request adds a tenth of a retry. The
  // requests may all go to the refusing replica first.
  constexpr int kUnsafeRequests = 6;
  for (int i = 0; i < 10 * kUnsafeRequests; ++i) Serves("este-a", "/look/x");
  portals[0]->SetMode(ReplicaMode::kRefuse);
  for (int i = 0; i < kUnsafeRequests; ++i) {
    std::string id = "u" + std::to_string(i);
    BOOST_TEST(platform.Request("este-a", "POST", "/post/1", id).status == 200);
    BOOST_TEST(Runs(portals, id) == 1u);
  }
  SetMode(portals, ReplicaMode::kLoseAnswer);
  TestResponse lost = platform.Request("este-a", "POST", "/post/1", "l1");
  BOOST_TEST(lost.status == 502);
  BOOST_TEST(Runs(portals, "l1") == 1u);
  // If nothing ran, the refusal says when to retry.
  SetMode(portals, ReplicaMode::kRefuse);
  TestResponse refused = platform.Request("este-a", "POST", "/post/1", "f1");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(!refused.Header("Retry-After").empty());
  BOOST_TEST(Runs(portals, "f1") == 0u);
  // An answer to another request never reaches the caller.
  SetMode(portals, ReplicaMode::kWrongAttemptId);
  TestResponse foreign = platform.Request("este-a", "POST", "/post/1", "x1");
  BOOST_TEST(foreign.status == 502);
  // Nor does one with a malformed head.
  SetMode(portals, ReplicaMode::kMalformedHead);
  TestResponse malformed = platform.Request("este-a", "POST", "/post/1", "b1");
  BOOST_TEST(malformed.status == 502);
  BOOST_TEST(Runs(portals, "b1") == 1u);
}

// Guards against requests that a gateway refuses because it has just started, although it has its
// configuration a moment later.
BOOST_FIXTURE_TEST_CASE(StartingGatewayServesItsFirstRequests, PlatformFixture) {
  for (int i = 0; i < 5; ++i) {
    platform.KillGateway("este-a");
    platform.StartGateway("este-a");
    TestResponse first;
    auto accepts = [&] {
      first = platform.Request("este-a", "GET", "/look/x", NextRequestId());
      return first.status != 0;
    };
    BOOST_REQUIRE(WaitFor(accepts, seconds(20)));
    BOOST_TEST(first.status == 200, first.body);
  }
}

// Guards against requests that reach a replica after its drain or evacuation was acknowledged, and
// against a late heartbeat that puts the replica back in use.
BOOST_FIXTURE_TEST_CASE(DrainAndEvacuation, PlatformFixture) {
  std::string late_heartbeat = portals[0]->Heartbeat("ready").dump();
  BOOST_TEST(platform.Drain(portals[0]) == 200);
  std::this_thread::sleep_for(kDrainBound);
  size_t before = portals[0]->ExecutedRequestIds().size();
  json newer_heartbeat = portals[0]->Heartbeat("ready");
  platform.ControlAny("POST", "/Instances.Heartbeat/" + portals[0]->id(), late_heartbeat);
  platform.ControlAny("POST", "/Instances.Heartbeat/" + portals[0]->id(), newer_heartbeat.dump());
  for (int i = 0; i < 20; ++i) BOOST_TEST(Serves("este-a", "/look/x"));
  BOOST_TEST(portals[0]->ExecutedRequestIds().size() == before);

  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Start/centro-a").status == 200);
  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Start/este-a").status == 200);
  std::this_thread::sleep_for(kEvacuationBound);
  before = Runs(portals, "e1");
  BOOST_TEST(platform.Request("este-a", "POST", "/post/1", "e1").status == 503);
  BOOST_TEST(Runs(portals, "e1") == 0u);
  BOOST_TEST(platform.ControlAny("POST", "/Evacuations.Finish/este-a").status == 200);
  BOOST_TEST(WaitFor([this] { return Serves("este-a", "/look/x"); }, kEvacuationBound));
}

// Guards against a configuration that is lost, older than an acknowledged one, or applied although
// it is invalid, while control hosts are killed and lose their disks.
BOOST_FIXTURE_TEST_CASE(ConfigurationSurvivesControlHostFailures, PlatformFixture) {
  json newest = PlatformDeployment::Configuration(9);
  newest["routes"].push_back(newest["routes"][3]);
  newest["routes"][4]["name"] = "more";
  newest["routes"][4]["path_prefix"] = "/more/";
  platform.PutConfiguration(newest);
  BOOST_TEST(WaitFor([this] { return Serves("norte-a", "/more/x"); }, kConfigBound));
  // An older configuration is acknowledged and changes nothing.
  platform.PutConfiguration(PlatformDeployment::Configuration(8));
  json invalid = PlatformDeployment::Configuration(11);
  invalid["routes"][0]["timeout_ms"] = 0;
  BOOST_TEST(platform.ControlAny("POST", "/Config.Replace", invalid.dump()).status == 400);
  std::string truncated = newest.dump().substr(0, 100);
  BOOST_TEST(platform.ControlAny("POST", "/Config.Replace", truncated).status == 400);
  BOOST_TEST(json::parse(platform.ControlAny("GET", "/Config.Read").body) == newest);

  // A control host that restarts with an empty disk takes no part until it has caught up.
  platform.KillControl(0);
  platform.WipeControl(0);
  platform.StartControl(0, false);
  for (int host = 0; host < 3; ++host) {
    auto reads_newest = [&] {
      TestResponse read = platform.Control(host, "GET", "/Config.Read");
      if (read.status != 200) return false;
      BOOST_TEST(json::parse(read.body) == newest);
      return true;
    };
    BOOST_TEST(WaitFor(reads_newest, kStartTimeout), "host " << host);
  }
  // All control hosts are killed at once and restarted with their disks.
  for (int host = 0; host < 3; ++host) platform.KillControl(host);
  for (int host = 0; host < 3; ++host) platform.StartControl(host, false);
  BOOST_TEST(json::parse(platform.ControlAny("GET", "/Config.Read").body) == newest);
  BOOST_TEST(Serves("este-a", "/more/x"));
}

// Guards against an error of the next replica that reaches the caller in the middle of its stream,
// or makes it look complete.
BOOST_FIXTURE_TEST_CASE(ErrorInTheMiddleOfAStreamIsNotRelayed, PlatformFixture) {
  constexpr int kStreams = 12;
  int begun = 0;
  SetMode(models, ReplicaMode::kNotFound);
  models[0]->SetMode(ReplicaMode::kBreakStream);
  for (int i = 0; i < kStreams; ++i) {
    TestResponse stream = platform.Request("este-a", "POST", "/stream/1", NextRequestId());
    if (stream.status != 200) continue;
    ++begun;
    BOOST_TEST(!stream.complete);
    BOOST_TEST(CompleteStream().rfind(stream.body, 0) == 0u, stream.body);
  }
  BOOST_TEST(begun > 0);
}

// Guards against work for callers that have left: a gateway that is late reads their requests
// before the ends of their connections, and sent them on, also to other regions.
BOOST_FIXTURE_TEST_CASE(RequestsOfCallersThatLeftAreNotSentOn, PlatformFixture) {
  constexpr Duration kPatience = milliseconds(200);
  constexpr Duration kTimeToSendOn = seconds(1);
  constexpr int kCallersPerPath = 3;
  for (const char* zone : {"este-a", "norte-a"}) {
    std::vector<std::string> ids;
    std::vector<std::thread> callers;
    platform.StopGateway(zone);
    for (const char* path : {"/look/x", "/stream/x", "/post/x"}) {
      for (int i = 0; i < kCallersPerPath; ++i) {
        TestCall call;
        ids.push_back(NextRequestId());
        call.method = "POST";
        call.url = "http://" + platform.GatewayAddress(zone) + path;
        call.headers = {{"Host", "a.example"}, {"Attempt-Id", ids.back()}, {"Deadline-Ms", "5000"}};
        call.timeout = kPatience;
        callers.emplace_back([call] { Call(call); });
      }
    }
    for (std::thread& caller : callers) caller.join();
    platform.ContinueGateway(zone);
    BOOST_TEST(WaitFor([&] { return Serves(zone, "/look/x"); }, kStartTimeout), zone);
    std::this_thread::sleep_for(kTimeToSendOn);
    for (const std::string& id : ids) {
      BOOST_TEST(Runs(models, id) + Runs(portals, id) == 0u, zone << ", " << id);
    }
  }
}

}  // namespace ebonylift::test
