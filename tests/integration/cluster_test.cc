#define BOOST_TEST_MODULE cluster
#include "tests/support/cluster.h"

#include <boost/test/included/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/answer.h"
#include "tests/support/wait_for.h"

// Rocha's deployment with its delays: 6 daemons, 18 engines and 3 services behind the proxy.

namespace ebonylift::test {
namespace {

using nlohmann::json;

std::string Body(const Cluster& cluster, const std::string& user) {
  json body = {{"model", cluster.spec().model},
               {"user", user},
               {"max_tokens", 20},
               {"messages", json::array({{{"role", "user"}, {"content", "Sendero " + user}}})}};
  return body.dump();
}

// True when `host` gives the whole right answer through its callers' link.
bool Answers(Cluster& cluster, const std::string& host, const std::string& user) {
  std::string body = Body(cluster, user);
  TestResponse response =
      PostJson("http://" + cluster.host(host).client_address + "/v1/chat/completions", body,
               {{"authorization", "Bearer " + cluster.spec().teams.front().key}});
  return response.status == 200 && AnswerOf(response.body) == standin::AnswerTextForBody(body);
}

std::map<std::string, int> RunsByUser(const Cluster& cluster) {
  std::map<std::string, int> runs;
  for (const json& entry : cluster.Records()) runs[entry["user"]] += entry["started"] != 0;
  return runs;
}

}  // namespace

// Guards against a deployment in which a host, a failure domain or a backend server that fails
// takes others with it (I3), and against a test cluster whose cuts and kills have no effect.
BOOST_AUTO_TEST_CASE(HostsServeThroughKillsAndCuts) {
  Cluster cluster(RochaSpec());
  cluster.Start(seconds(60));
  int number = 0;
  for (const std::string& id : cluster.HostIds()) {
    BOOST_TEST(Answers(cluster, id, "all-" + std::to_string(++number)), id);
  }
  BOOST_TEST(RunsByUser(cluster).size() == cluster.HostIds().size());

  cluster.KillHost("centro-a-2");
  BOOST_TEST(!Answers(cluster, "centro-a-2", "killed"));
  BOOST_TEST(Answers(cluster, "centro-a-1", "neighbour"));
  cluster.RestartHost("centro-a-2");
  BOOST_TEST(WaitFor([&] { return Answers(cluster, "centro-a-2", "restarted"); }, seconds(20)));

  cluster.KillServer("este-a-engine-1");
  BOOST_TEST(WaitFor([&] { return Answers(cluster, "este-a-1", "less"); }, seconds(10)));

  cluster.CutDomain("norte-a");
  for (const char* host : {"norte-a-1", "norte-a-2", "este-a-1"}) {
    std::string user = std::string("cut-") + host;
    BOOST_TEST(WaitFor([&] { return Answers(cluster, host, user); }, seconds(10)), host);
  }
  for (const json& entry : cluster.Records()) {
    std::string user = entry["user"];
    if (user.rfind("cut-norte", 0) == 0) BOOST_TEST(entry["region"] == "norte");
  }
  cluster.HealDomain("norte-a");
  BOOST_TEST(WaitFor([&] { return Answers(cluster, "norte-a-1", "healed"); }, seconds(20)));
}

}  // namespace ebonylift::test
