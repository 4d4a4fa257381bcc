#define BOOST_TEST_MODULE poison_integration
#include <boost/test/included/unit_test.hpp>
#include <future>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

// Ends the engine stand-in that runs it.
const char kCrash[] = "crash-server now";

Ask Innocent(const std::string& host, int number) {
  Ask ask;
  ask.host = host;
  ask.user = "innocent-" + std::to_string(number);
  ask.prompt = "Sendero " + std::to_string(number);
  ask.tokens = 60;
  return ask;
}

int CrashedServers(Cluster& cluster) {
  int crashed = 0;
  for (const std::string& id : cluster.ServerIds()) {
    if (!cluster.server(id).process->Running()) ++crashed;
  }
  return crashed;
}

}  // namespace

// Guards against a request that takes down every server of its region when it is sent again through
// other hosts and with other keys, and against innocent requests that are refused because they ran
// on the same server.
BOOST_AUTO_TEST_CASE(CrashingRequestTakesAtMostTwoServers) {
  ClusterSpec spec = SmallSpec(3, 6);
  spec.engine_arguments = {"--decode_us_per_token=10000"};
  Cluster cluster(spec);
  cluster.Start(seconds(60));
  const std::vector<std::string> hosts = cluster.HostIds();
  std::vector<std::future<bool>> innocents;
  for (int i = 0; i < 12; ++i) {
    innocents.push_back(std::async(std::launch::async, [&, i] {
      Ask ask = Innocent(hosts[i % hosts.size()], i);
      // A retry budget may be spent, so a refused caller comes back as it is told.
      bool innocent = true;
      auto answered = [&] {
        TestResponse answer = Send(cluster, ask);
        innocent = innocent && RefusalOf(answer).code.rfind("poison", 0) != 0;
        return IsWholeAnswer(cluster, ask, answer);
      };
      return WaitFor(answered, seconds(20)) && innocent;
    }));
  }
  BOOST_TEST(WaitFor([&] { return cluster.Records().size() >= 6; }, seconds(10)));
  std::string last;
  for (int i = 0; i < 6; ++i) {
    Ask poison;
    poison.host = hosts[i % hosts.size()];
    poison.user = "poison";  // the same content each time
    poison.key = i % 2 == 0 ? "" : "key-" + std::to_string(i);
    poison.prompt = kCrash;
    poison.deadline = seconds(15);
    TestResponse answer = Send(cluster, poison);
    last = RefusalOf(answer).code;
    BOOST_TEST_MESSAGE("send " << i << ": " << Describe(answer));
    BOOST_TEST(answer.status >= 400);
  }
  BOOST_TEST(last == "poison");
  BOOST_TEST(CrashedServers(cluster) <= 2);
  for (std::future<bool>& innocent : innocents) BOOST_TEST(innocent.get());
}

}  // namespace ebonylift::test
