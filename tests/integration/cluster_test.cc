#define BOOST_TEST_MODULE cluster
#include "tests/support/cluster.h"

#include <boost/test/included/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/answer.h"
#include "tests/support/wait_for.h"

// Tests the cluster fixture with ThreeRegionWanSpec() and its network delays: 6 daemons, 18 engines
// and 3 plain services behind the fault-injecting proxy.

namespace ebonylift::test {
namespace {

using nlohmann::json;

std::string ChatRequestBody(const Cluster& cluster, const std::string& user) {
  json body = {{"model", cluster.spec().model},
               {"user", user},
               {"max_tokens", 20},
               {"messages", json::array({{{"role", "user"}, {"content", "Sendero " + user}}})}};
  return body.dump();
}

// Returns true if `host`, called through its client link of the proxy, returns the complete
// expected answer.
bool AnswersCorrectly(Cluster& cluster, const std::string& host, const std::string& user) {
  std::string body = ChatRequestBody(cluster, user);
  TestResponse response =
      PostJson("http://" + cluster.host(host).client_address + "/v1/chat/completions", body,
               {{"authorization", "Bearer " + cluster.spec().teams.front().key}});
  return response.status == 200 && GeneratedText(response.body) == standin::AnswerTextForBody(body);
}

std::map<std::string, int> RunsByUser(const Cluster& cluster) {
  std::map<std::string, int> runs;
  for (const json& entry : cluster.Records()) runs[entry["user"]] += entry["started"] != 0;
  return runs;
}

}  // namespace

// Guards against the failure of a host, failure domain or backend server that makes others fail too
// (invariant I3), and against a test cluster whose network cuts and kills have no effect.
BOOST_AUTO_TEST_CASE(OtherHostsServeThroughKillsAndNetworkCuts) {
  Cluster cluster(ThreeRegionWanSpec());
  cluster.Start(seconds(60));
  int request_number = 0;
  for (const std::string& id : cluster.HostIds()) {
    BOOST_TEST(AnswersCorrectly(cluster, id, "all-" + std::to_string(++request_number)), id);
  }
  BOOST_TEST(RunsByUser(cluster).size() == cluster.HostIds().size());

  cluster.KillHost("centro-a-2");
  BOOST_TEST(!AnswersCorrectly(cluster, "centro-a-2", "killed"));
  BOOST_TEST(AnswersCorrectly(cluster, "centro-a-1", "neighbour"));
  cluster.RestartHost("centro-a-2");
  BOOST_TEST(
      WaitFor([&] { return AnswersCorrectly(cluster, "centro-a-2", "restarted"); }, seconds(20)));

  cluster.KillServer("este-a-engine-1");
  BOOST_TEST(WaitFor([&] { return AnswersCorrectly(cluster, "este-a-1", "less"); }, seconds(10)));

  cluster.PartitionDomain("norte-a");
  for (const char* host : {"norte-a-1", "norte-a-2", "este-a-1"}) {
    std::string user = std::string("cut-") + host;
    BOOST_TEST(WaitFor([&] { return AnswersCorrectly(cluster, host, user); }, seconds(10)), host);
  }
  for (const json& entry : cluster.Records()) {
    std::string user = entry["user"];
    if (user.rfind("cut-norte", 0) == 0) BOOST_TEST(entry["region"] == "norte");
  }
  cluster.HealDomain("norte-a");
  BOOST_TEST(
      WaitFor([&] { return AnswersCorrectly(cluster, "norte-a-1", "healed"); }, seconds(20)));
}

}  // namespace ebonylift::test
