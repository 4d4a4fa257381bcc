#define BOOST_TEST_MODULE platform_workspace
#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <string>
#include <vector>

#include "base/hash.h"
#include "tests/support/platform_deployment.h"
#include "tests/support/wait_for.h"

// Workspaces and their keys with real processes. The only replicas are in the region centro.

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kStartTime = seconds(20);
constexpr Duration kApplyTime = seconds(4);
const std::string kKey = "tk-7f3a9c51e2-alpha";
const std::string kOtherKey = "tk-7f3a9c51e2-bravo";
const std::string kHomeKey = "tk-7f3a9c51e2-norte";

struct Deployment : PlatformDeployment {
  Deployment() : PlatformDeployment(1, "  fail_closed: true\n  revoke_ms: 2000\n") {
    replica = AddReplica("portal", "centro-a");
    AddReplica("model", "centro-a");
  }

  static json WithTenants(int version, const std::vector<std::string>& keys) {
    json configuration = Configuration(version);
    configuration["tenants"] = {{{"name", "acme"}, {"api_keys", keys}, {"priority", 1}},
                                {{"name", "norte-only"},
                                 {"api_keys", json::array({kHomeKey})},
                                 {"home_regions", json::array({"norte"})}}};
    for (json& route : configuration["routes"]) {
      if (route["name"] == "post") route["allow_anonymous"] = true;
    }
    return configuration;
  }

  TestResponse Look(const std::string& zone, const std::string& key,
                    const std::string& path = "/look/1") {
    std::vector<std::pair<std::string, std::string>> headers = {{"Tenant", "forged"}};
    if (!key.empty()) headers.emplace_back("Authorization", "Bearer " + key);
    return Request(zone, "GET", path, "look-" + std::to_string(++number), headers);
  }

  // Whether all gateways answer a request with the key with this status.
  bool AllAnswer(const std::string& key, int status) {
    for (const std::string& zone : Zones()) {
      last = Look(zone, key);
      if (last.status != status) return false;
    }
    return true;
  }

  PlatformReplica* replica = nullptr;
  TestResponse last;
  int number = 0;
};

}  // namespace

// Guards against a key that reaches a backend server, a log, a disk or another host, against one
// that works after its withdrawal, and against requests that run without a key.
BOOST_FIXTURE_TEST_CASE(KeysDecideAndStayAtTheHostsThatGetThem, Deployment) {
  const std::string text = WithTenants(10, {kKey, kOtherKey}).dump(1);
  BOOST_REQUIRE(WaitFor([&] { return ControlAny("POST", "/Config.Replace", text).status == 200; },
                        kStartTime));
  BOOST_REQUIRE_MESSAGE(WaitFor([&] { return AllAnswer(kKey, 200); }, kStartTime),
                        last.status << " " << last.body);
  BOOST_TEST(ControlAny("GET", "/Config.Read").body == text);
  size_t runs = replica->RunHeaders().size();
  BOOST_TEST(AllAnswer("", 401), last.body);
  BOOST_TEST(AllAnswer("tk-7f3a9c51e2-none", 401), last.body);
  // The route may not use the only region of the workspace.
  TestResponse refused = Look("este-a", kHomeKey, "/check/1");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body.find("residency_refused") != std::string::npos, refused.body);
  BOOST_TEST(AllAnswer(kHomeKey, 503), last.body);  // no replica in norte
  BOOST_TEST(replica->RunHeaders().size() == runs, "refused requests ran");
  BOOST_TEST(Look("este-a", "", "/post/1").status == 200);
  for (const HttpHeaders& headers : replica->RunHeaders()) {
    BOOST_TEST(FindHeader(headers, "Authorization") == "");
    std::string tenant = FindHeader(headers, "Tenant");
    BOOST_TEST((tenant == "acme" || tenant.empty()), tenant);
  }

  // The error messages about an invalid document.
  json invalid = WithTenants(11, {kKey, kHomeKey});
  TestResponse rejected = ControlAny("POST", "/Config.Replace", invalid.dump());
  BOOST_TEST(rejected.status == 400);
  BOOST_TEST(rejected.body.find("norte-only") != std::string::npos, rejected.body);
  BOOST_TEST(rejected.body.find("acme") != std::string::npos, rejected.body);
  BOOST_TEST(rejected.body.find("tk-") == std::string::npos, rejected.body);

  PutConfiguration(WithTenants(12, {kOtherKey}));
  BOOST_TEST(WaitFor([&] { return AllAnswer(kKey, 401); }, kApplyTime), last.status);
  BOOST_TEST(AllAnswer(kOtherKey, 200), last.status);
  BOOST_TEST(WaitFor([&] { return !FilesWith("\"workspace\":\"acme\"").empty(); }, kApplyTime));
  BOOST_TEST(!FilesWith(Sha256Hex(kOtherKey)).empty(), "the stored document has the digests");
  for (const std::string& file : FilesWith("tk-7f3a9c51e2")) BOOST_ERROR("a key is in " + file);
}

// Guards against a withdrawn key that works on a host which cannot hear of the withdrawal.
BOOST_FIXTURE_TEST_CASE(HostsWithoutAMajorityRefuseKeys, Deployment) {
  BOOST_REQUIRE(WaitFor(
      [&] {
        return ControlAny("POST", "/Config.Replace", WithTenants(10, {kKey}).dump()).status == 200;
      },
      kStartTime));
  BOOST_REQUIRE_MESSAGE(WaitFor([&] { return AllAnswer(kKey, 200); }, kStartTime),
                        last.status << " " << last.body);
  KillControl(0);
  BOOST_TEST(!WaitFor([&] { return !AllAnswer(kKey, 200); }, seconds(4)),
             last.status << " with two of three control hosts " << last.body);
  KillControl(1);
  BOOST_TEST(WaitFor([&] { return AllAnswer(kKey, 503); }, seconds(4)), last.status);
  BOOST_TEST(last.body.find("not_ready") != std::string::npos, last.body);
  BOOST_TEST(Look("centro-a", "", "/post/1").status == 200);
  StartControl(1, false);
  BOOST_TEST(WaitFor([&] { return AllAnswer(kKey, 200); }, kStartTime), last.status);
}

}  // namespace ebonylift::test
