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

// Not part of a name or number that the daemons log.
const char kSecretText[] = "Secreto del sendero perdido";

// Three regions; the team "registros" may use only este, the team "anywhere" all.
ClusterSpec ThreeRegions() {
  ClusterSpec spec = RochaSpec();
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
  // The set-up asks every host as the first team, so that team may use all regions.
  TeamSpec anywhere = team;
  anywhere.id = "anywhere";
  anywhere.key = "key-anywhere";
  anywhere.regions = {"este", "centro", "norte"};
  anywhere.routes[0].value["regions"] = {"este", "centro", "norte"};
  spec.teams.insert(spec.teams.begin(), anywhere);
  return spec;
}

Ask Local(const std::string& host, const std::string& user) {
  Ask ask;
  ask.host = host;
  ask.team = 1;
  ask.user = user;
  ask.tokens = 3;
  ask.prompt = kSecretText;
  ask.deadline = seconds(6);
  return ask;
}

bool FileContains(const std::string& path, const std::string& text) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream content;
  content << in.rdbuf();
  return content.str().find(text) != std::string::npos;
}

void CheckOnlyInEste(const Cluster& cluster) {
  for (const json& entry : cluster.Records()) {
    std::string user = entry["user"];
    if (user.rfind("local-", 0) != 0) continue;
    BOOST_TEST(entry["region"].get<std::string>() == "este", user);
  }
}

}  // namespace

// Guards against data of a team that leaves its region (I1): on the first try, when the region is
// overloaded or has lost its servers, through a host of another region, and in logs.
BOOST_AUTO_TEST_CASE(DataStaysInItsRegion) {
  Cluster cluster(ThreeRegions());
  cluster.Start(seconds(60));
  Ask first = Local("este-a-1", "local-first");
  BOOST_TEST(IsWholeAnswer(cluster, first, Send(cluster, first)));
  Ask foreign = Local("centro-a-1", "local-foreign");
  TestResponse answer = Send(cluster, foreign);
  BOOST_TEST(RefusalOf(answer).code == "residency_refused", Describe(answer));
  BOOST_TEST(RefusalOf(answer).run == "not_run");

  for (const char* engine : {"este-a-engine-1", "este-a-engine-2"}) cluster.KillServer(engine);
  auto no_server = [&] {
    Ask lost = Local("este-a-1", "local-lost");
    return RefusalOf(Send(cluster, lost)).code == "no_server";
  };
  BOOST_TEST(WaitFor(no_server, seconds(20)));
  // The other region has servers and serves a team that may use it.
  Ask free = Local("este-a-1", "free");
  free.team = 0;
  BOOST_TEST(
      WaitFor([&] { return IsWholeAnswer(cluster, free, Send(cluster, free)); }, seconds(10)));
  CheckOnlyInEste(cluster);
  for (const std::string& id : cluster.HostIds()) {
    BOOST_TEST(!FileContains(cluster.host(id).log_file, kSecretText), id);
    std::string records = cluster.host(id).data_dir + "/records.journal";
    if (cluster.host(id).region != "este") BOOST_TEST(!FileContains(records, kSecretText), id);
  }
}

// Guards against callers, backend servers and operators that claim what they are not (I2 for the
// forwarding header): each is refused with its kind and the daemon goes on.
BOOST_AUTO_TEST_CASE(ForgedClaimsAreRefused) {
  Cluster cluster(ThreeRegions());
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
    BOOST_TEST(RefusalOf(answer).code == item.code, item.path << ": " << Describe(answer));
    BOOST_TEST(RefusalOf(answer).run == "not_run");
  }
  BOOST_TEST(FileContains(cluster.host("este-a-1").log_file, "forward_rejected"));
  Ask ask = Local("este-a-1", "local-after");
  BOOST_TEST(IsWholeAnswer(cluster, ask, Send(cluster, ask)));
}

}  // namespace ebonylift::test
