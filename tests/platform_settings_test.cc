#define BOOST_TEST_MODULE platform_settings
#include <boost/test/included/unit_test.hpp>

#include "platform/settings.h"

namespace ebonylift::platform {
namespace {

const char kFile[] = R"(
node_name: "core-este-a-1"
role: "control"
ip: "10.1.0.38"
zone: "este-a"
region: "este"
zones:
  este-a: "este"
  centro-a: "centro"
listen:
  control: "10.1.0.38:8146"
  directory: "10.1.0.38:8143"
internal_ports:
  - 7660
  - 7675
seeds:
  - "10.2.0.30:8146"
  - "10.1.0.38:8146"
  - "10.3.0.24:8146"
bootstrap: true
data_dir: "/data/control"
heartbeat_ms: 1200
bounds:
  grace_s: 8
  ttl_max_s: 5
  quota_overshoot: 0.1
  quota_slack: 140000
a_key_that_is_new: [1, {b: 2}]
)";

}  // namespace

// Guards against a process whose ids for itself or its peers differ from those used by other hosts.
BOOST_AUTO_TEST_CASE(ConvertsControlHostSettings) {
  std::vector<SettingIssue> issues;
  HostSettings host = ParseHostSettings(kFile, &issues);
  BOOST_TEST(issues.empty());
  BOOST_TEST(CheckSettings(host.gateway).empty());
  BOOST_TEST(host.gateway.host.value() == "10.1.0.38");
  BOOST_TEST(host.gateway.name == "core-este-a-1");
  BOOST_TEST(host.gateway.peer_address == "10.1.0.38:7660");
  BOOST_TEST(host.gateway.http_address == "10.1.0.38:7661");
  BOOST_TEST(host.gateway.voters.size() == 3u);
  BOOST_TEST(host.gateway.peers.size() == 2u);
  BOOST_TEST(host.gateway.peers[0].rpc_address == "10.2.0.30:7660");
  BOOST_TEST(host.gateway.first_start);
  BOOST_TEST((host.gateway.drain_timeout == milliseconds(7'500)));
  BOOST_TEST(host.gateway.limit_tolerance.overshoot == 0.1);
  BOOST_TEST(host.gateway.limit_tolerance.slack == 140'000);
  BOOST_TEST(host.operator_address == "10.1.0.38:8146");
  BOOST_TEST(host.caller_address.empty());
  BOOST_TEST(host.domains.at(DomainId("centro-a")).value() == "centro");
}

// Guards against a host that accepts keys without word from the control hosts although its settings
// forbid it, and against one that refuses them without such a setting.
BOOST_AUTO_TEST_CASE(ReadsWhenKeysAreRefused) {
  auto revoke_after = [](const std::string& bounds) {
    std::vector<SettingIssue> issues;
    std::string text(kFile);
    text.insert(text.find("  grace_s"), bounds);
    Duration result = ParseHostSettings(text, &issues).gateway.revoke_keys_after;
    BOOST_TEST(issues.empty(), bounds);
    return result;
  };
  BOOST_TEST((revoke_after("") == Duration(0)));
  BOOST_TEST((revoke_after("  revoke_ms: 2000\n  fail_closed: false\n") == Duration(0)));
  BOOST_TEST((revoke_after("  revoke_ms: 2000\n  fail_closed: true\n") == seconds(2)));
  BOOST_TEST((revoke_after("  fail_closed: true\n") == seconds(5)));
  BOOST_TEST((revoke_after("  revoke_ms: -1\n  fail_closed: true\n") == seconds(1)));
}

// Guards against reading null as a string, and against a host without a disk that becomes a voter.
BOOST_AUTO_TEST_CASE(ConvertsClientFacingHostSettings) {
  std::string file = kFile;
  file.replace(file.find("\"/data/control\""), 15, "null");
  file.replace(file.find("ip: \"10.1.0.38\""), 15, "ip: \"10.1.0.35\"");
  file.replace(file.find("  control: \"10.1.0.38:8146\""), 27, "  front: \"10.1.0.35:8144\"");
  std::vector<SettingIssue> issues;
  HostSettings host = ParseHostSettings(file, &issues);
  BOOST_TEST(issues.empty());
  BOOST_TEST(CheckSettings(host.gateway).empty());
  BOOST_TEST(host.gateway.data_dir.empty());
  BOOST_TEST(host.gateway.peers.size() == 3u);
  BOOST_TEST(host.gateway.caller_address == "10.1.0.35:8144");
}

// Guards against a damaged settings file that starts a host with default settings.
BOOST_AUTO_TEST_CASE(RejectsInvalidFiles) {
  for (const char* file : {"", "just text", "a: [", "ip: 1\nzone: [x]", "ip: \"10.0.0.1\""}) {
    std::vector<SettingIssue> issues;
    ParseHostSettings(file, &issues);
    BOOST_TEST(!issues.empty(), file);
  }
  for (const char* value : {"-0.1", ".nan", ".inf"}) {
    std::vector<SettingIssue> bound_issues;
    std::string file(kFile);
    file.replace(file.find("0.1\n  quota_slack"), 3, value);
    ParseHostSettings(file, &bound_issues);
    BOOST_TEST(bound_issues.size() == 1u, value);
  }
  std::vector<SettingIssue> issues;
  ReadHostSettings("/no/such/file", &issues);
  BOOST_TEST(!issues.empty());
}

}  // namespace ebonylift::platform
