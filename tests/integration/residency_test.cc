#define BOOST_TEST_MODULE residency
#include <boost/test/included/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "tests/support/cluster.h"
#include "tests/support/requests.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

// Prompt text that occurs in no name or number that the daemons log, so that finding it in a file
// shows a leak.
const char kPromptText[] = "Secreto del sendero perdido";

// Three regions; the team "registros" may use only este, the team "anywhere" all three.
ClusterSpec ResidencySpec() {
  ClusterSpec spec = ThreeRegionWanSpec();
  for (DomainSpec& domain : spec.domains) {
    domain.hosts = 2;
    domain.engines = 2;
    domain.services = 0;
  }
  TeamSpec& team = spec.teams.front();
  team.regions = {"este"};
  json route = {{"kind", "model"},     {"model", spec.model}, {"home", "este"},
                {"regions", {"este"}}, {"class", "check"},    {"idempotent", true},
                {"deadline_ms", 10000}};
  team.routes = {{"checks", route}};
  // Start() sends a request of the first team to every host, so that team must be allowed in all
  // regions.
  TeamSpec anywhere = team;
  anywhere.id = "anywhere";
  anywhere.key = "key-anywhere";
  anywhere.regions = {"este", "centro", "norte"};
  anywhere.routes[0].value["regions"] = {"este", "centro", "norte"};
  spec.teams.insert(spec.teams.begin(), anywhere);
  return spec;
}

ChatRequest RestrictedRequest(const std::string& host, const std::string& user) {
  ChatRequest request;
  request.host = host;
  request.team = 1;
  request.user = user;
  request.tokens = 3;
  request.prompt = kPromptText;
  request.deadline = seconds(6);
  return request;
}

// How often the text occurs in the file.
size_t CountInFile(const std::string& path, const std::string& text) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream content;
  content << in.rdbuf();
  const std::string data = content.str();
  size_t count = 0;
  for (size_t at = data.find(text); at != std::string::npos; at = data.find(text, at + 1)) ++count;
  return count;
}

bool FileContains(const std::string& path, const std::string& text) {
  return CountInFile(path, text) > 0;
}

void CheckOnlyInEste(const Cluster& cluster) {
  for (const json& entry : cluster.Records()) {
    std::string user = entry["user"];
    if (user.rfind("local-", 0) != 0) continue;
    BOOST_TEST(entry["region"].get<std::string>() == "este", user);
  }
}

}  // namespace

// Guards against data of a team that leaves the region to which it is restricted (invariant I1): on
// the first attempt, when the region has lost its servers, through a host of another region, and in
// logs.
BOOST_AUTO_TEST_CASE(DataStaysInItsRegion) {
  Cluster cluster(ResidencySpec());
  cluster.Start(seconds(60));
  ChatRequest first = RestrictedRequest("este-a-1", "local-first");
  BOOST_TEST(IsExpectedAnswer(cluster, first, Send(cluster, first)));
  ChatRequest foreign = RestrictedRequest("centro-a-1", "local-foreign");
  TestResponse answer = Send(cluster, foreign);
  BOOST_TEST(ErrorOf(answer).code == "residency_refused", Describe(answer));
  BOOST_TEST(ErrorOf(answer).run == "not_run");

  for (const char* engine : {"este-a-engine-1", "este-a-engine-2"}) cluster.KillServer(engine);
  auto no_server = [&] {
    ChatRequest request_without_server = RestrictedRequest("este-a-1", "local-lost");
    return ErrorOf(Send(cluster, request_without_server)).code == "no_server";
  };
  BOOST_TEST(WaitFor(no_server, seconds(20)));
  // The other regions have servers and serve a team that may use them.
  ChatRequest unrestricted = RestrictedRequest("este-a-1", "free");
  unrestricted.team = 0;
  BOOST_TEST(
      WaitFor([&] { return IsExpectedAnswer(cluster, unrestricted, Send(cluster, unrestricted)); },
              seconds(10)));
  CheckOnlyInEste(cluster);
  // A daemon writes its log lines on a thread of their own; the files are complete when it has
  // exited.
  for (const std::string& id : cluster.HostIds()) cluster.host(id).process->Terminate();
  for (const std::string& id : cluster.HostIds()) {
    BOOST_TEST((cluster.host(id).process->Wait(seconds(20)) == 0), id);
    BOOST_TEST(!FileContains(cluster.host(id).log_file, kPromptText), id);
    std::string records = cluster.host(id).data_dir + "/records.journal";
    if (cluster.host(id).region != "este") BOOST_TEST(!FileContains(records, kPromptText), id);
  }
}

// Guards against forged credentials of callers, backend servers and operators (invariant I2 for the
// forwarding header): each is refused with its error code, and the daemon keeps serving.
BOOST_AUTO_TEST_CASE(ForgedCredentialsAreRefused) {
  Cluster cluster(ResidencySpec());
  cluster.Start(seconds(60));
  std::string base = "http://" + cluster.host("este-a-1").http_address;
  std::string forged =
      "v1;este-a-2;r-1;0;0;0;9000;anywhere;checks;0;1;1;1;0123456789abcdef0123456789abcdef";
  struct Case {
    const char* method;
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    const char* code;
  };
  std::string key = "Bearer " + cluster.spec().teams[0].key;
  constexpr size_t kForgedForwards = 2;  // cases with the header x-ebonylift-forward
  const Case cases[] = {
      {"POST", "/v1/chat/completions", "{}", {{"x-ebonylift-forward", forged}}, "forward_refused"},
      {"POST", "/v1/chat/completions", "{}", {{"authorization", "Bearer guess"}}, "unauthorized"},
      {"POST", "/v1/backend-servers/announce", "{}", {{"authorization", key}}, "unauthorized"},
      {"GET", "/admin/v1/status", "", {{"authorization", key}}, "unauthorized"},
      {"POST", "/v1/jobs", "{}", {{"x-ebonylift-forward", forged}}, "forward_refused"},
  };
  for (const Case& item : cases) {
    TestCall call;
    call.method = item.method;
    call.url = base + item.path;
    call.headers = item.headers;
    call.body = item.body;
    TestResponse answer = Call(call);
    BOOST_TEST(ErrorOf(answer).code == item.code, item.path << ": " << Describe(answer));
    BOOST_TEST(ErrorOf(answer).run == "not_run");
  }
  // The daemon writes its log lines on a thread of their own, so a line may follow the answer.
  const std::string& log_file = cluster.host("este-a-1").log_file;
  BOOST_TEST(WaitFor([&] { return CountInFile(log_file, "forward_rejected") == kForgedForwards; },
                     seconds(10)));
  ChatRequest request = RestrictedRequest("este-a-1", "local-after");
  BOOST_TEST(IsExpectedAnswer(cluster, request, Send(cluster, request)));
}

}  // namespace ebonylift::test
