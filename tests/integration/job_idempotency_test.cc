#define BOOST_TEST_MODULE job_idempotency
#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/cluster.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

const char kUser[] = "chapter";

int StartedRuns(const Cluster& cluster) {
  int runs = 0;
  for (const json& entry : cluster.Records()) {
    runs += entry["user"] == kUser && entry["started"] != 0 ? 1 : 0;
  }
  return runs;
}

}  // namespace

// Guards against a second run of a job (invariant I6) that was submitted at a host that does not
// own it: after the server that ran it is lost, the owner must not run it again, because its caller
// marked it as not idempotent.
BOOST_AUTO_TEST_CASE(NonIdempotentJobRunsOnceAfterItsServerIsLost) {
  ClusterSpec spec = SmallSpec(2, 2);
  spec.engine_arguments = {"--decode_us_per_token=100000"};
  Cluster cluster(spec);
  cluster.Start(seconds(60));
  std::string authorization = "Bearer " + spec.teams.front().key;
  std::string base_url = "http://" + cluster.host("este-a-2").client_address;
  json job = {{"path", "/v1/chat/completions"},
              {"body",
               {{"model", spec.model},
                {"user", kUser},
                {"max_tokens", 20},
                {"messages", json::array({{{"role", "user"}, {"content", "Chapter 1"}}})}}}};
  TestResponse accepted = PostJson(base_url + "/v1/jobs", job.dump(),
                                   {{"authorization", authorization},
                                    {"x-ebonylift-idempotent", "false"},
                                    {"idempotency-key", "k1"}});
  BOOST_REQUIRE_MESSAGE(accepted.status == 202, accepted.body + accepted.error);
  std::string id = json::parse(accepted.body)["id"];
  BOOST_REQUIRE(WaitFor([&] { return StartedRuns(cluster) == 1; }, seconds(10)));
  for (const json& entry : cluster.Records()) {
    if (entry["user"] == kUser) cluster.KillServer(entry["server"]);
  }
  std::string state;
  BOOST_TEST(WaitFor(
      [&] {
        TestCall call;
        call.url = base_url + "/v1/jobs/" + id;
        call.headers = {{"authorization", authorization}};
        state = json::parse(Call(call).body).value("state", "");
        return state != "queued" && state != "running";
      },
      seconds(20)));
  BOOST_TEST(state == "outcome_unknown");
  BOOST_TEST(StartedRuns(cluster) == 1);
}

}  // namespace ebonylift::test
