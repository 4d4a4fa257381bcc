#define BOOST_TEST_MODULE settings
#include "daemon/settings.h"

#include <boost/test/included/unit_test.hpp>
#include <functional>

namespace ebonylift {
namespace {

Settings ValidSettings() {
  Settings settings;
  settings.host = HostId("este-1");
  settings.region = RegionId("este");
  settings.domain = DomainId("este-a");
  settings.http_address = "127.0.0.1:8080";
  settings.advertise_address = "127.0.0.1:8080";
  settings.peer_address = "127.0.0.1:8081";
  settings.voters = {HostId("este-1")};
  settings.data_dir = "data";
  settings.cluster_key = "0123456789abcdef";
  settings.platform_token = "token";
  settings.operator_token_sha256 = std::string(64, 'a');
  return settings;
}

}  // namespace

// An invalid setting must stop the daemon at its start, with an issue that names the setting,
// instead of causing a failure later.
BOOST_AUTO_TEST_CASE(InvalidSettingsAreReportedByKey) {
  BOOST_TEST(CheckSettings(ValidSettings()).empty());
  struct Case {
    const char* key;
    std::function<void(Settings*)> change;
  };
  const Case cases[] = {
      {"host", [](Settings* s) { s->host = HostId("Este 1"); }},
      {"region", [](Settings* s) { s->region = RegionId(""); }},
      {"domain", [](Settings* s) { s->domain = DomainId("a;b"); }},
      {"http_address", [](Settings* s) { s->http_address = "localhost:80"; }},
      {"peer_address", [](Settings* s) { s->peer_address = "127.0.0.1:70000"; }},
      {"directory_address", [](Settings* s) { s->directory_address = "x"; }},
      {"cluster_key", [](Settings* s) { s->cluster_key = "short"; }},
      {"platform_token", [](Settings* s) { s->platform_token = ""; }},
      {"operator_token_sha256", [](Settings* s) { s->operator_token_sha256 = "abc"; }},
      {"routing_policy", [](Settings* s) { s->routing_policy = "fastest"; }},
      {"traffic_threads", [](Settings* s) { s->traffic_threads = 0; }},
      {"drain_timeout_s", [](Settings* s) { s->drain_timeout = seconds(0); }},
      {"orderer_lease_ms", [](Settings* s) { s->orderer_lease = milliseconds(1999); }},
      {"hedge_percent", [](Settings* s) { s->hedge_percent = 101; }},
      {"voters", [](Settings* s) { s->voters.clear(); }},
      {"voters", [](Settings* s) { s->voters = {HostId("unknown")}; }},
      {"data_dir", [](Settings* s) { s->data_dir = ""; }},
      {"peers",
       [](Settings* s) {
         s->peers.push_back(
             {HostId("este-1"), DomainId("d"), RegionId("r"), "127.0.0.1:1", "127.0.0.1:2", false});
       }},
      {"peers",
       [](Settings* s) {
         s->peers.push_back(
             {HostId("b"), DomainId("d"), RegionId("r"), "host:1", "127.0.0.1:2", false});
       }},
  };
  for (const Case& test_case : cases) {
    Settings settings = ValidSettings();
    test_case.change(&settings);
    std::vector<SettingIssue> issues = CheckSettings(settings);
    BOOST_REQUIRE(!issues.empty());
    BOOST_TEST(issues[0].key == test_case.key);
  }
}

}  // namespace ebonylift
