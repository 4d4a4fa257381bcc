#define BOOST_TEST_MODULE path
#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "testing/answer.h"
#include "tests/support/free_port.h"
#include "tests/support/process.h"
#include "tests/support/test_client.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

const char kOperatorToken[] = "operator-token";
const char kPlatformToken[] = "platform-token";
const char kTeamKey[] = "team-key";

struct Host {
  std::string id;
  std::string region;
  std::string domain;
  std::string http = FreeAddress();
  std::string rpc = FreeAddress();
  bool disk = false;
};

// Two failure domains in two regions, each with one daemon and one engine; only the first daemon
// has a disk.
class TwoDomainDeployment {
 public:
  TwoDomainDeployment() {
    hosts_[0].id = "este-1";
    hosts_[0].region = "este";
    hosts_[0].domain = "este-a";
    hosts_[0].disk = true;
    hosts_[1].id = "centro-1";
    hosts_[1].region = "centro";
    hosts_[1].domain = "centro-a";
    for (int i = 0; i < 2; ++i) {
      daemons_.push_back(StartDaemon(hosts_[i], hosts_[1 - i]));
      engines_.push_back(StartEngine(hosts_[i]));
    }
  }

  std::string Url(int host, const std::string& path) const {
    return "http://" + hosts_[host].http + path;
  }

  // Runs the command-line client against a host and returns its exit code.
  int RunCli(int host, std::vector<std::string> arguments) {
    ProcessOptions options;
    options.binary = DaemonBinary();
    options.arguments = std::move(arguments);
    options.arguments.push_back("--server=" + hosts_[host].http);
    options.arguments.push_back(std::string("--token=") + kOperatorToken);
    options.log_file = dir_.path() + "/cli.log";
    return Process(options).Wait(seconds(20)).value_or(-99);
  }

  TestResponse SendChat(int host, const std::string& model, bool stream) {
    json body = {{"model", model},
                 {"max_tokens", 20},
                 {"stream", stream},
                 {"messages", {{{"role", "user"}, {"content", "Sendero de la costa"}}}}};
    body_ = body.dump();
    return PostJson(Url(host, "/v1/chat/completions"), body_,
                    {{"Authorization", std::string("Bearer ") + kTeamKey}});
  }

  const std::string& body() const { return body_; }
  Process& daemon(int host) { return daemons_[host]; }

 private:
  Process StartDaemon(const Host& self, const Host& peer) {
    ProcessOptions options;
    options.binary = DaemonBinary();
    std::string peer_setting = peer.id + "@" + peer.domain + "@" + peer.region + "@" + peer.rpc +
                               "@" + peer.http + (peer.disk ? "@disk" : "");
    options.arguments = {"serve",
                         "--host=" + self.id,
                         "--region=" + self.region,
                         "--domain=" + self.domain,
                         "--http_address=" + self.http,
                         "--peer_address=" + self.rpc,
                         "--peers=" + peer_setting,
                         "--voters=este-1",
                         "--cluster_key=a-cluster-key-for-tests",
                         std::string("--platform_token=") + kPlatformToken,
                         "--operator_token_sha256=" + Sha256Hex(kOperatorToken)};
    if (self.disk) options.arguments.push_back("--data_dir=" + dir_.path() + "/" + self.id);
    options.log_file = dir_.path() + "/" + self.id + ".log";
    return Process(options);
  }

  Process StartEngine(const Host& host) {
    ProcessOptions options;
    options.binary = StandinBinary();
    std::string address = FreeAddress();
    options.arguments = {"engine",
                         "--id=engine-" + host.region,
                         "--incarnation=1",
                         "--domain=" + host.domain,
                         "--region=" + host.region,
                         "--listen=" + address,
                         "--advertise=" + address,
                         "--entry_hosts=" + host.http,
                         std::string("--platform_token=") + kPlatformToken,
                         "--models=summary"};
    options.log_file = dir_.path() + "/engine-" + host.region + ".log";
    return Process(options);
  }

  TempDir dir_;
  Host hosts_[2];
  std::string body_;
  std::vector<Process> daemons_;
  std::vector<Process> engines_;
};

void PutConfiguration(TwoDomainDeployment* deployment) {
  BOOST_REQUIRE(WaitFor(
      [&] {
        return deployment->RunCli(1, {"config", "put", "/deployment/regions/este",
                                      R"({"domains":["este-a"],"record_hosts":["este-1"]})"}) == 0;
      },
      seconds(20)));
  const std::pair<const char*, std::string> entries[] = {
      {"/deployment/regions/centro", R"({"domains":["centro-a"],"record_hosts":[]})"},
      {"/teams/rocha/residency", R"({"regions":["este","centro"]})"},
      {"/teams/rocha/keys/main", R"({"sha256":")" + Sha256Hex(kTeamKey) + R"("})"},
      {"/teams/rocha/routes/trails",
       R"({"kind":"model","model":"summary","regions":["este","centro"],"home":"este",)"
       R"("class":"interactive","idempotent":true,"deadline_ms":20000})"}};
  for (const auto& [path, value] : entries) {
    BOOST_REQUIRE_MESSAGE(deployment->RunCli(0, {"config", "put", path, value}) == 0, path);
  }
}

}  // namespace

// Checks the whole path with separate processes: configuration through either host, server
// announcement, streamed answer, a refusal that states truthfully that nothing ran, and graceful
// shutdown.
BOOST_AUTO_TEST_CASE(RequestIsServedThroughEitherHost) {
  TwoDomainDeployment deployment;
  PutConfiguration(&deployment);
  for (int host = 0; host < 2; ++host) {
    TestResponse answer;
    BOOST_REQUIRE(WaitFor(
        [&] {
          answer = deployment.SendChat(host, "summary", true);
          return answer.status == 200;
        },
        seconds(20)));
    SseText text = ParseSse(answer.body);
    BOOST_TEST(text.done);
    BOOST_TEST(text.text == standin::AnswerTextForBody(deployment.body()));
    BOOST_TEST(!answer.Header("x-ebonylift-request-id").empty());
    TestResponse plain = deployment.SendChat(host, "summary", false);
    BOOST_TEST(GeneratedText(plain.body) == standin::AnswerTextForBody(deployment.body()));
  }
  TestResponse refused = deployment.SendChat(0, "unknown", true);
  BOOST_TEST(refused.status == 404);
  json error = json::parse(refused.body)["error"];
  BOOST_TEST(error["code"] == "unknown_model");
  BOOST_TEST(error["run"] == "not_run");

  BOOST_TEST(deployment.RunCli(0, {"status"}) == 0);
  BOOST_TEST(deployment.RunCli(0, {"timeline"}) == 0);
  BOOST_TEST(
      deployment.RunCli(0, {"config", "put", "/teams/rocha/limits", R"({"concurency":3})"}) == 1);
  for (int host = 0; host < 2; ++host) {
    deployment.daemon(host).Terminate();
    BOOST_TEST(deployment.daemon(host).Wait(seconds(20)).value_or(-99) == 0);
  }
}

}  // namespace ebonylift::test
