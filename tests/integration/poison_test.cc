#define BOOST_TEST_MODULE poison_integration
#include <boost/test/included/unit_test.hpp>
#include <future>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

// A prompt that crashes the stand-in engine that runs it.
const char kCrashPrompt[] = "crash-server now";

ChatRequest HarmlessRequest(const std::string& host, int number) {
  ChatRequest request;
  request.host = host;
  request.user = "innocent-" + std::to_string(number);
  request.prompt = "Sendero " + std::to_string(number);
  request.tokens = 60;
  return request;
}

int CrashedServers(Cluster& cluster) {
  int crashed = 0;
  for (const std::string& id : cluster.ServerIds()) {
    if (!cluster.server(id).process->Running()) ++crashed;
  }
  return crashed;
}

}  // namespace

// Guards against a request that crashes every server of its region when it is sent again through
// other hosts and with other keys, and against harmless requests that are refused as poison because
// they ran on the same server.
BOOST_AUTO_TEST_CASE(PoisonRequestCrashesAtMostTwoServers) {
  ClusterSpec spec = SmallSpec(3, 6);
  spec.engine_arguments = {"--decode_us_per_token=10000"};
  Cluster cluster(spec);
  cluster.Start(seconds(60));
  const std::vector<std::string> hosts = cluster.HostIds();
  std::vector<std::future<bool>> harmless_results;
  for (int i = 0; i < 12; ++i) {
    harmless_results.push_back(std::async(std::launch::async, [&, i] {
      ChatRequest request = HarmlessRequest(hosts[i % hosts.size()], i);
      // The retry budget may be exhausted, so a refused caller tries again, as the refusal says.
      bool not_refused_as_poison = true;
      auto answered = [&] {
        TestResponse answer = Send(cluster, request);
        not_refused_as_poison =
            not_refused_as_poison && ErrorOf(answer).code.rfind("poison", 0) != 0;
        return IsExpectedAnswer(cluster, request, answer);
      };
      return WaitFor(answered, seconds(20)) && not_refused_as_poison;
    }));
  }
  BOOST_TEST(WaitFor([&] { return cluster.Records().size() >= 6; }, seconds(10)));
  std::string last_code;
  for (int i = 0; i < 6; ++i) {
    ChatRequest poison;
    poison.host = hosts[i % hosts.size()];
    poison.user = "poison";  // the same request content each time
    poison.key = i % 2 == 0 ? "" : "key-" + std::to_string(i);
    poison.prompt = kCrashPrompt;
    poison.deadline = seconds(15);
    TestResponse answer = Send(cluster, poison);
    last_code = ErrorOf(answer).code;
    BOOST_TEST_MESSAGE("send " << i << ": " << Describe(answer));
    BOOST_TEST(answer.status >= 400);
  }
  BOOST_TEST(last_code == "poison");
  BOOST_TEST(CrashedServers(cluster) <= 2);
  for (std::future<bool>& result : harmless_results) BOOST_TEST(result.get());
}

}  // namespace ebonylift::test
