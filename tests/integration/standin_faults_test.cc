#define BOOST_TEST_MODULE standin_faults
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "testing/answer.h"
#include "tests/support/free_port.h"
#include "tests/support/process.h"
#include "tests/support/test_client.h"
#include "tests/support/wait_for.h"

// Tests the stand-in programs as processes, because the tests of the gateway rely on their faults.

namespace ebonylift::test {
namespace {

using nlohmann::json;

// How long a cut lasts at least after the proxy has accepted the connection of the request.
constexpr Duration kCutTime = milliseconds(300);

const char kStreamRequestBody[] =
    R"({"model":"m","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"a"}]})";

std::vector<json> ParseJsonLines(const std::string& text) {
  std::vector<json> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(json::parse(line));
  return lines;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// One engine behind one link of the proxy.
class EngineBehindProxy {
 public:
  EngineBehindProxy() {
    StartEngine();
    ProcessOptions options;
    options.binary = StandinBinary();
    options.arguments = {"proxy", "--listen=" + proxy_,
                         "--links=a," + link_ + "," + engine_ + ",5"};
    options.log_file = dir_.path() + "/proxy.log";
    proxy_process_.emplace(options);
    BOOST_REQUIRE(WaitFor(
        [this] {
          return Get("http://" + proxy_ + "/proxy/links").status == 200 &&
                 Get("http://" + engine_ + "/healthz").status == 200;
        },
        seconds(10)));
  }

  void StartEngine() {
    ProcessOptions options;
    options.binary = StandinBinary();
    options.arguments = {"engine",     "--id=e1",       "--listen=" + engine_,
                         "--models=m", "--leave_ms=10", "--record_file=" + record_file()};
    options.log_file = dir_.path() + "/engine.log";
    engine_process_.emplace(options);
  }

  TestResponse SendChat(const std::string& address, const std::string& body,
                        const std::string& request_id = "") {
    std::vector<std::pair<std::string, std::string>> headers;
    if (!request_id.empty()) {
      headers = {{"x-ebonylift-request-id", request_id}, {"x-ebonylift-attempt", "1"}};
    }
    return PostJson("http://" + address + "/v1/chat/completions", body, headers);
  }

  json Post(const std::string& address, const std::string& path, const json& body) {
    TestResponse response = PostJson("http://" + address + path, body.dump());
    BOOST_REQUIRE_MESSAGE(response.status == 200, response.body + response.error);
    return json::parse(response.body, nullptr, false);
  }

  void SetLink(json faults) {
    faults["links"] = "a";
    Post(proxy_, "/proxy/set", faults);
  }

  // The state of the link, with its counters; see ProxyLink::ToJson().
  json LinkState() const {
    return json::parse(Get("http://" + proxy_ + "/proxy/links").body).at("links").at(0);
  }

  // How many requests the engine has run to their end.
  size_t CountCompletedRuns() const {
    std::vector<json> record = ParseJsonLines(Get("http://" + engine_ + "/standin/record").body);
    return std::count_if(record.begin(), record.end(),
                         [](const json& run) { return run["outcome"] == "completed"; });
  }

  const std::string& engine() const { return engine_; }
  const std::string& link() const { return link_; }
  Process& engine_process() { return *engine_process_; }
  std::string record_file() const { return dir_.path() + "/record"; }

 private:
  TempDir dir_;
  std::string engine_ = FreeAddress();
  std::string proxy_ = FreeAddress();
  std::string link_ = FreeAddress();
  std::optional<Process> engine_process_;
  std::optional<Process> proxy_process_;
};

// Sends a request over the link while it is cut in the given direction, and ends the cut. The cut
// lasts kCutTime from when the proxy has accepted the connection, however late the calling thread
// runs, so the call itself always starts at least kCutTime before the end of the cut.
void CheckCutLink(EngineBehindProxy& deployment, const std::string& drop) {
  deployment.SetLink({{"drop", drop}});
  const json before = deployment.LinkState();
  const size_t runs_before = deployment.CountCompletedRuns();
  TestResponse answer;
  std::thread caller([&] { answer = deployment.SendChat(deployment.link(), kStreamRequestBody); });
  auto accepted = [&] { return deployment.LinkState()["accepted"] > before["accepted"]; };
  BOOST_TEST(WaitFor(accepted, seconds(5)));
  if (drop == "to_client") {
    // The request passes, so the proxy now holds back the answer.
    auto completed = [&] { return deployment.CountCompletedRuns() == runs_before + 1; };
    BOOST_TEST(WaitFor(completed, seconds(3)));
  }
  std::this_thread::sleep_for(kCutTime);
  const json during = deployment.LinkState();
  BOOST_TEST(during["bytes_to_client"] == before["bytes_to_client"]);
  if (drop != "to_client") BOOST_TEST(during["bytes_to_target"] == before["bytes_to_target"]);
  deployment.SetLink({{"drop", "none"}});
  caller.join();
  BOOST_TEST(answer.complete);
  BOOST_TEST(ParseSse(answer.body).text == standin::AnswerTextForBody(kStreamRequestBody));
  BOOST_TEST(answer.first_byte.count() >= kCutTime.count());
}

}  // namespace

// Guards against a resumed stream that repeats or skips text, and against a record that counts the
// resumption as a second run.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedAtItsOffset) {
  EngineBehindProxy deployment;
  deployment.Post(deployment.engine(), "/standin/fault", {{"break_after", 7}, {"times", 1}});
  TestResponse broken = deployment.SendChat(deployment.link(), kStreamRequestBody, "r1");
  BOOST_TEST(!broken.complete);
  SseText first = ParseSse(broken.body);
  BOOST_TEST(!first.done);
  json resume = {{"request_id", "r1"}, {"attempt", 1}, {"offset", first.text.size()}};
  TestResponse rest = PostJson("http://" + deployment.link() + "/v1/resume", resume.dump());
  SseText second = ParseSse(rest.body);
  BOOST_TEST(second.done);
  BOOST_TEST(first.text + second.text == standin::AnswerTextForBody(kStreamRequestBody));
  std::vector<json> record =
      ParseJsonLines(Get("http://" + deployment.engine() + "/standin/record").body);
  BOOST_TEST(record.size() == 1u);
  BOOST_TEST(record[0]["outcome"] == "completed");
}

// Guards against a network cut that loses bytes for good, or that lets bytes through while it
// lasts.
BOOST_AUTO_TEST_CASE(CutLinkDeliversHeldBytesLater) {
  EngineBehindProxy deployment;
  for (const char* drop : {"both", "to_target", "to_client"}) {
    BOOST_TEST_CONTEXT(drop) { CheckCutLink(deployment, drop); }
  }
}

// Guards against a record that is lost with its process: other tests count runs after they kill
// servers.
BOOST_AUTO_TEST_CASE(RecordSurvivesACrash) {
  EngineBehindProxy deployment;
  std::string poison = R"({"model":"m","messages":[{"role":"user","content":"x crash-server x"}]})";
  BOOST_TEST(!deployment.SendChat(deployment.link(), poison, "p").complete);
  BOOST_TEST(deployment.engine_process().Wait(seconds(5)).value_or(0) == 70);
  std::vector<json> record = ParseJsonLines(ReadFile(deployment.record_file()));
  BOOST_TEST(record.size() == 1u);
  BOOST_TEST(record[0]["request_id"] == "p");
  BOOST_TEST(record[0]["outcome"] == "running");
  // The link refuses connections to a stopped target, as the kernel would without a proxy.
  BOOST_TEST(WaitFor(
      [&] {
        return deployment.SendChat(deployment.link(), kStreamRequestBody).error ==
               "Couldn't connect to server";
      },
      seconds(5)));
  deployment.StartEngine();
  BOOST_TEST(
      WaitFor([&] { return deployment.SendChat(deployment.link(), kStreamRequestBody).complete; },
              seconds(5)));
}

// Guards against a planned stop that cuts off a stream, because the tests of draining (invariant
// I8) count runs with these engines.
BOOST_AUTO_TEST_CASE(TerminationFinishesTheStream) {
  EngineBehindProxy deployment;
  std::string body =
      R"({"model":"m","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"a"}]})";
  TestResponse answer;
  std::thread caller([&] { answer = deployment.SendChat(deployment.link(), body); });
  BOOST_TEST(WaitFor(
      [&] {
        json state = json::parse(Get("http://" + deployment.engine() + "/standin/state").body);
        return state["running"] == 1;
      },
      seconds(5)));
  deployment.engine_process().Terminate();
  caller.join();
  BOOST_TEST(ParseSse(answer.body).done);
  BOOST_TEST(deployment.engine_process().Wait(seconds(5)).value_or(-1) == 0);
}

// Guards against a cancellation that is answered with `started: false` although the attempt runs
// later.
BOOST_AUTO_TEST_CASE(CancelledAttemptDoesNotStartLater) {
  EngineBehindProxy deployment;
  json cancelled =
      deployment.Post(deployment.engine(), "/v1/cancel", {{"request_id", "r"}, {"attempt", 1}});
  BOOST_TEST(cancelled["started"] == false);
  BOOST_TEST(deployment.SendChat(deployment.engine(), kStreamRequestBody, "r").status == 409);
  std::vector<json> record =
      ParseJsonLines(Get("http://" + deployment.engine() + "/standin/record").body);
  BOOST_TEST(record[0]["started"] == 0);
}

}  // namespace ebonylift::test
