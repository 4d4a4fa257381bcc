#define BOOST_TEST_MODULE islands
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

// Three regions of one failure domain with two hosts; one team with its home in each.
ClusterSpec IslandSpec() {
  ClusterSpec spec = RochaSpec();
  TeamSpec model_team = spec.teams.front();
  spec.teams.clear();
  for (DomainSpec& domain : spec.domains) {
    domain.hosts = 2;
    domain.engines = 2;
    domain.services = 0;
    TeamSpec team = model_team;
    team.id = "team-" + domain.region;
    team.key = "key-" + domain.region;
    json route = {{"kind", "model"},       {"model", spec.model},
                  {"home", domain.region}, {"regions", {"este", "centro", "norte"}},
                  {"class", "check"},      {"idempotent", false},
                  {"deadline_ms", 15000}};
    team.routes = {{"checks", route}};
    spec.teams.push_back(team);
  }
  return spec;
}

Ask Keyed(const std::string& host, size_t team, const std::string& key) {
  Ask ask;
  ask.host = host;
  ask.team = team;
  ask.user = key;
  ask.key = key;
  ask.idempotent = false;
  ask.tokens = 5;
  ask.deadline = seconds(8);
  return ask;
}

bool Served(Cluster& cluster, const Ask& ask) {
  return IsWholeAnswer(cluster, ask, Send(cluster, ask));
}

uint64_t Revision(Cluster& cluster, const std::string& host) {
  TestResponse ready = Get("http://" + cluster.host(host).http_address + "/readyz");
  json body = json::parse(ready.body, nullptr, false);
  return body.is_object() ? body.value("revision", uint64_t{0}) : 0;
}

}  // namespace

// Guards against a failure domain that needs another one to serve its own callers (I3), against
// work that runs at home and again elsewhere, and against a revision that reverts after the return.
// The second round cuts two failure domains at once, the third one the first again.
BOOST_AUTO_TEST_CASE(EachDomainServesItsOwnWhileCutOff) {
  Cluster cluster(IslandSpec());
  cluster.Start(seconds(60));
  const std::vector<std::string> regions = {"este", "centro", "norte"};
  // Hosts without a disk may still be pulling the last changes of the set-up.
  auto same_revision = [&] {
    std::set<uint64_t> revisions;
    for (const std::string& host : cluster.HostIds()) revisions.insert(Revision(cluster, host));
    return revisions.size() == 1;
  };
  BOOST_REQUIRE(WaitFor(same_revision, seconds(10)));
  const std::vector<std::set<size_t>> rounds = {{0}, {1}, {2}, {0, 1}, {0}};
  std::vector<Ask> refused;
  int number = 0;
  for (const std::set<size_t>& round : rounds) {
    uint64_t before = Revision(cluster, "norte-a-1");
    for (size_t i : round) cluster.CutDomain(regions[i] + "-a");
    std::string tag = "round-" + std::to_string(++number);
    for (size_t i : round) {
      // Keyed work with its home here, through both hosts, and unkeyed work.
      for (const char* host : {"-a-1", "-a-2"}) {
        Ask ask = Keyed(regions[i] + host, i, tag + "-home-" + regions[i] + host);
        BOOST_TEST(WaitFor([&] { return Served(cluster, ask); }, seconds(10)), ask.user);
        Ask plain = ask;
        plain.user = plain.user + "-plain";
        plain.key.clear();
        BOOST_TEST(Served(cluster, plain), plain.user);
      }
      // Keyed work with its home in a region that cannot be reached.
      size_t other = 2;
      if (i == 2) other = 0;
      Ask away = Keyed(regions[i] + "-a-2", other, tag + "-away-" + regions[i]);
      TestResponse answer = Send(cluster, away);
      Refusal refusal = RefusalOf(answer);
      BOOST_TEST((refusal.code == "owner_unreachable" || refusal.code == "outcome_unknown"),
                 Describe(answer));
      if (refusal.run == "not_run") {
        BOOST_TEST(refusal.retry_after_ms > 0);
        refused.push_back(away);
      }
    }
    for (size_t i : round) cluster.HealDomain(regions[i] + "-a");
    for (const std::string& host : cluster.HostIds()) {
      BOOST_TEST(WaitFor([&] { return Revision(cluster, host) >= before; }, seconds(7)), host);
    }
  }
  // What was refused as not_run has not run, also after the cuts have ended.
  for (const Ask& ask : refused) BOOST_TEST(RunsOf(cluster, ask.user) == 0, ask.user);
  std::map<std::string, int> runs;
  for (const json& entry : cluster.Records()) {
    if (entry["started"] == 0) continue;
    std::string user = entry["user"];
    ++runs[user];
    for (const std::string& region : regions) {
      if (user.find("-home-" + region) == std::string::npos) continue;
      BOOST_TEST(entry["region"].get<std::string>() == region, user);
    }
  }
  for (const auto& [user, count] : runs) BOOST_TEST(count == 1, user << " ran " << count);
}

}  // namespace ebonylift::test
