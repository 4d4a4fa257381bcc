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

// Three regions, each with one failure domain of two hosts, and for each region one team whose home
// it is.
ClusterSpec OneTeamPerRegionSpec() {
  ClusterSpec spec = ThreeRegionWanSpec();
  TeamSpec template_team = spec.teams.front();
  spec.teams.clear();
  for (DomainSpec& domain : spec.domains) {
    domain.hosts = 2;
    domain.engines = 2;
    domain.services = 0;
    TeamSpec team = template_team;
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

ChatRequest KeyedRequest(const std::string& host, size_t team, const std::string& key) {
  ChatRequest request;
  request.host = host;
  request.team = team;
  request.user = key;
  request.key = key;
  request.idempotent = false;
  request.tokens = 5;
  request.deadline = seconds(8);
  return request;
}

bool GetsCompleteAnswer(Cluster& cluster, const ChatRequest& request) {
  return IsExpectedAnswer(cluster, request, Send(cluster, request));
}

uint64_t Revision(Cluster& cluster, const std::string& host) {
  TestResponse ready = Get("http://" + cluster.host(host).http_address + "/readyz");
  json body = json::parse(ready.body, nullptr, false);
  return body.is_object() ? body.value("revision", uint64_t{0}) : 0;
}

}  // namespace

// Guards against a failure domain that cannot serve its own callers while it is cut off from the
// others (invariant I3), against work that runs both in its home region and elsewhere, and against
// a configuration revision that goes back after the network is restored. The first three rounds cut
// off one failure domain each, the fourth cuts off two at once, and the fifth cuts off the first
// one again.
BOOST_AUTO_TEST_CASE(EachDomainServesItsCallersWhileCutOff) {
  Cluster cluster(OneTeamPerRegionSpec());
  cluster.Start(seconds(60));
  const std::vector<std::string> regions = {"este", "centro", "norte"};
  // Hosts without a disk may still be fetching the last configuration changes that Start() made.
  auto same_revision = [&] {
    std::set<uint64_t> revisions;
    for (const std::string& host : cluster.HostIds()) revisions.insert(Revision(cluster, host));
    return revisions.size() == 1;
  };
  BOOST_REQUIRE(WaitFor(same_revision, seconds(10)));
  const std::vector<std::set<size_t>> rounds = {{0}, {1}, {2}, {0, 1}, {0}};
  std::vector<ChatRequest> refused;
  int round_number = 0;
  for (const std::set<size_t>& round : rounds) {
    uint64_t before = Revision(cluster, "norte-a-1");
    for (size_t i : round) cluster.PartitionDomain(regions[i] + "-a");
    std::string tag = "round-" + std::to_string(++round_number);
    for (size_t i : round) {
      // Requests whose home is this region, with an idempotency key through both hosts, and without
      // a key.
      for (const char* host : {"-a-1", "-a-2"}) {
        ChatRequest request =
            KeyedRequest(regions[i] + host, i, tag + "-home-" + regions[i] + host);
        BOOST_TEST(WaitFor([&] { return GetsCompleteAnswer(cluster, request); }, seconds(10)),
                   request.user);
        ChatRequest request_without_key = request;
        request_without_key.user = request_without_key.user + "-plain";
        request_without_key.key.clear();
        BOOST_TEST(GetsCompleteAnswer(cluster, request_without_key), request_without_key.user);
      }
      // A request with an idempotency key whose home region cannot be reached.
      size_t other_team = 2;
      if (i == 2) other_team = 0;
      ChatRequest remote_request =
          KeyedRequest(regions[i] + "-a-2", other_team, tag + "-away-" + regions[i]);
      TestResponse answer = Send(cluster, remote_request);
      ErrorBody refusal = ErrorOf(answer);
      BOOST_TEST((refusal.code == "owner_unreachable" || refusal.code == "outcome_unknown"),
                 Describe(answer));
      if (refusal.run == "not_run") {
        BOOST_TEST(refusal.retry_after_ms > 0);
        refused.push_back(remote_request);
      }
    }
    for (size_t i : round) cluster.HealDomain(regions[i] + "-a");
    for (const std::string& host : cluster.HostIds()) {
      BOOST_TEST(WaitFor([&] { return Revision(cluster, host) >= before; }, seconds(7)), host);
    }
  }
  // Requests refused with not_run have not run, not even after the network was restored.
  for (const ChatRequest& request : refused)
    BOOST_TEST(CountRuns(cluster, request.user) == 0, request.user);
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
