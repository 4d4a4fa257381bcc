#define BOOST_TEST_MODULE platform_messages
#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "core/ingress.h"
#include "platform/messages.h"

namespace ebonylift::platform {
namespace {

using nlohmann::json;

const DomainRegions kDomainRegions = {{DomainId("este-a"), RegionId("este")},
                                      {DomainId("norte-a"), RegionId("norte")}};
const Sealer kSealer("cluster key of the test");

json Heartbeat() {
  return json::parse(R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"este-a",
    "version":"v1","slots":32,"state":"ready","cold_remaining_ms":1500,"stage":"both",
    "models":[{"name":"m","version":1,"adapters":[]}],"sequence":4})");
}

json Configuration() {
  return json::parse(R"({"version":7,
    "routes":[{"name":"r1","host":"a.example","path_prefix":"/a/","route_type":"streaming",
      "timeout_ms":3000,"target_latency_ms":1200,"priority":0,"service":"s","max_attempts":1,
      "session_affinity":true,"resumable":false,"gap_target_ms":400,"home_regions":["este"]},
     {"name":"r2","host":"a.example","path_prefix":"/b/","route_type":"safe","timeout_ms":2500.0,
      "backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,
      "home_regions":[]}],
    "services":[{"name":"s","health_path":"/health","max_connections":230,"cold_start_s":3.0,
      "cold_per_s":3.3,"engine":{"slots":32,"token_bytes":327680,"link_mbps":350000.0}},{"name":"t","health_path":"/health","cold_start_s":0.0,"cold_per_s":0.0}],
    "limits":{"max_header_bytes":16384}})");
}

Announcement ParseTestHeartbeat(const json& heartbeat) {
  return ParseHeartbeat("i-1", heartbeat.dump(), kDomainRegions, seconds(7));
}

}  // namespace

// Guards against mixing up heartbeat fields.
BOOST_AUTO_TEST_CASE(ParsesHeartbeat) {
  Announcement announcement = ParseTestHeartbeat(Heartbeat());
  BOOST_TEST(announcement.id.value() == "i-1");
  BOOST_TEST(announcement.incarnation == 1u);
  BOOST_TEST(announcement.seq == 4u);
  BOOST_TEST(announcement.services[0] == "huvo11a");
  BOOST_TEST(announcement.region.value() == "este");
  BOOST_TEST(announcement.software_version == "v1");
  BOOST_TEST(!announcement.leaving);
  BOOST_TEST((announcement.cold_for == milliseconds(1'500)));
  BOOST_TEST(announcement.load.slots == 32);
  json heartbeat = Heartbeat();
  heartbeat["state"] = "draining";
  heartbeat["born"] = 1'700'000'000'123;
  BOOST_TEST(ParseTestHeartbeat(heartbeat).leaving);
  BOOST_TEST(ParseTestHeartbeat(heartbeat).incarnation == 1'700'000'000'123u);
}

// Guards against a control process that ends because a heartbeat or a configuration is nested more
// deeply than the stack allows to copy.
BOOST_AUTO_TEST_CASE(RejectsDeeplyNestedMessages) {
  constexpr size_t kLevels = 1'000'000;
  const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string heartbeat = Heartbeat().dump();
  heartbeat.replace(heartbeat.find("\"models\":") + 9, 1, nested + ",\"rest\":[");
  BOOST_CHECK_THROW(ParseHeartbeat("i-1", heartbeat, kDomainRegions, seconds(7)), Error);
  std::string configuration = Configuration().dump();
  configuration.replace(configuration.find("\"routes\":") + 9, 1, nested + ",\"rest\":[");
  BOOST_CHECK_THROW(ParseConfiguration(configuration, kDomainRegions, kSealer), Error);
}

// Guards against a malformed heartbeat that registers a backend server.
BOOST_AUTO_TEST_CASE(RejectsMalformedHeartbeats) {
  for (const char* key : {"service", "address", "zone", "version", "slots", "state", "sequence"}) {
    json missing = Heartbeat();
    missing.erase(key);
    BOOST_CHECK_THROW(ParseTestHeartbeat(missing), Error);
    json other_type = Heartbeat();
    other_type[key] = json::array({1});
    BOOST_CHECK_THROW(ParseTestHeartbeat(other_type), Error);
  }
  // Guards against a heartbeat of another writer after which the server's own are ignored.
  for (const char* key : {"sequence", "born", "slots"}) {
    for (const json& value : {json(1796467454.331), json(-1), json(true)}) {
      json other_number = Heartbeat();
      other_number[key] = value;
      BOOST_CHECK_THROW(ParseTestHeartbeat(other_number), Error);
    }
  }
  json unknown = Heartbeat();
  unknown["state"] = "waiting";
  BOOST_CHECK_THROW(ParseTestHeartbeat(unknown), Error);
  unknown = Heartbeat();
  unknown["born"] = "1700000000123";
  BOOST_CHECK_THROW(ParseTestHeartbeat(unknown), Error);
  unknown = Heartbeat();
  unknown["zone"] = "moon";
  BOOST_CHECK_THROW(ParseTestHeartbeat(unknown), Error);
  BOOST_CHECK_THROW(ParseHeartbeat("i-1", "\xff{", kDomainRegions, seconds(1)), Error);
}

// Guards against a conversion that changes the meaning of a configuration, and against returning a
// text that differs from the one that the operator sent.
BOOST_AUTO_TEST_CASE(ConvertsConfiguration) {
  std::string text = Configuration().dump(2);
  ConfigurationDocument document = ParseConfiguration(text, kDomainRegions, kSealer);
  BOOST_TEST(document.version == 7u);
  BOOST_TEST(OriginalConfigurationText(document.value, kSealer) == text);
  json value = json::parse(document.value);
  BOOST_TEST(ValidateIngress(value).empty());
  IngressConfig config = ParseIngress(value);
  const RouteConfig& stream = config.route_configs.at(RouteId("r1/s"));
  BOOST_TEST(!stream.idempotent);
  BOOST_TEST(!stream.resumable);
  BOOST_TEST(stream.regions.size() == 1u);
  BOOST_TEST((stream.max_event_gap == milliseconds(400)));
  const RouteConfig& safe = config.route_configs.at(RouteId("r2/t"));
  BOOST_TEST(safe.idempotent);
  BOOST_TEST(safe.regions.size() == 2u);
  BOOST_TEST((safe.max_event_gap == Duration(0)));
  BOOST_TEST(safe.max_attempts == 2);
  BOOST_TEST((config.services.at("s").cold_start == seconds(3)));
}

// Guards against retrying a stream that must not be resumed.
BOOST_AUTO_TEST_CASE(RetryFlagsFollowRouteType) {
  struct Case {
    const char* type;
    bool resumable;
    bool idempotent;
  };
  for (const Case& row : std::vector<Case>{{"safe", false, true},
                                           {"unsafe", false, false},
                                           {"unsafe", true, false},
                                           {"streaming", false, false},
                                           {"streaming", true, true}}) {
    json configuration = Configuration();
    configuration["routes"][0]["route_type"] = row.type;
    configuration["routes"][0]["resumable"] = row.resumable;
    json value =
        json::parse(ParseConfiguration(configuration.dump(), kDomainRegions, kSealer).value);
    BOOST_TEST(value["routes"][0]["idempotent"].get<bool>() == row.idempotent, row.type);
    bool resumes = row.resumable && row.idempotent;
    BOOST_TEST(value["routes"][0]["resumable"].get<bool>() == resumes, row.type);
  }
}

// Guards against accepting a configuration that is truncated or has an invalid part.
BOOST_AUTO_TEST_CASE(RejectsIncompleteConfigurations) {
  std::string text = Configuration().dump();
  BOOST_CHECK_THROW(ParseConfiguration(text.substr(0, text.size() - 1), kDomainRegions, kSealer),
                    Error);
  BOOST_CHECK_THROW(ParseConfiguration("", kDomainRegions, kSealer), Error);
  json configuration = Configuration();
  configuration["routes"][0].erase("host");
  BOOST_CHECK_THROW(ParseConfiguration(configuration.dump(), kDomainRegions, kSealer), Error);
  configuration = Configuration();
  configuration["routes"][0]["route_type"] = "sometimes";
  BOOST_CHECK_THROW(ParseConfiguration(configuration.dump(), kDomainRegions, kSealer), Error);
}

// Guards against a key in the stored document, and against a text that reads return differently.
BOOST_AUTO_TEST_CASE(KeysAreSealedInTheDocument) {
  json tenants = json::parse(R"([{"name":"acme","api_keys":["tk-alpha","tk-beta"],"priority":1,
    "unit":"tokens","rate_per_s":500,"burst":900.5,"plain_tokens":100,"home_regions":["este"]},
    {"name":"beta"}])");
  struct Case {
    const char* name;
    std::string text;
  };
  json configuration = Configuration();
  configuration["tenants"] = tenants;
  configuration["routes"][1]["allow_anonymous"] = true;
  const std::string plain = configuration.dump(1);
  std::string escaped = plain;
  escaped.replace(escaped.find("tk-beta"), 7, "tk-b\\u0065ta");
  json with_sealed = configuration;
  with_sealed["note"] = kSealer.Seal("tk-gamma");
  for (const Case& row : std::vector<Case>{
           {"plain", plain}, {"escaped", escaped}, {"sealed literal", with_sealed.dump()}}) {
    ConfigurationDocument document = ParseConfiguration(row.text, kDomainRegions, kSealer);
    for (const char* key : {"tk-alpha", "tk-beta", "tk-b\\u0065ta"}) {
      BOOST_TEST(document.value.find(key) == std::string::npos, row.name << key);
    }
    BOOST_TEST(OriginalConfigurationText(document.value, kSealer) == row.text, row.name);
    BOOST_TEST(OriginalConfigurationText(document.value, Sealer("another")) != row.text);
    json value = json::parse(document.value);
    BOOST_TEST(ValidateIngress(value).empty());
    IngressConfig config = ParseIngress(value);
    const WorkspaceConfig* acme = FindWorkspace(config.workspaces, Sha256("tk-beta"));
    BOOST_REQUIRE(acme != nullptr);
    BOOST_TEST(acme->rank.value() == 1);
    BOOST_TEST((acme->limit.unit == LimitUnit::kTokens));
    BOOST_TEST(acme->limit.per_s == 500);
    BOOST_TEST(acme->limit.burst == 900.5);
    BOOST_TEST(acme->limit.plain_cost == 100);
    BOOST_TEST(acme->regions.size() == 1u);
    BOOST_TEST(config.workspaces.by_id.at(WorkspaceId("beta"))->regions.size() == 2u);
    BOOST_TEST(!config.route_configs.at(RouteId("r1/s")).open);
    BOOST_TEST(config.route_configs.at(RouteId("r2/t")).open);
  }
  json no_tenants = with_sealed;
  no_tenants.erase("tenants");
  const std::string text = no_tenants.dump();
  ConfigurationDocument document = ParseConfiguration(text, kDomainRegions, kSealer);
  BOOST_TEST(OriginalConfigurationText(document.value, kSealer) == text);
  // Differences between versions stay small only if the same key is always sealed alike.
  BOOST_TEST(ParseConfiguration(plain, kDomainRegions, kSealer).value ==
             ParseConfiguration(plain, kDomainRegions, kSealer).value);
}

// Guards against an invalid tenant that is accepted, and against an error message that does not
// name the field or shows a key.
BOOST_AUTO_TEST_CASE(InvalidTenantsAreRejectedWithoutTheirKeys) {
  const std::pair<const char*, json> kCases[] = {
      {"name", ""},          {"name", 5},           {"api_keys", "tk-alpha"},
      {"api_keys", {""}},    {"api_keys", {7}},     {"priority", "tk-alpha"},
      {"priority", 1.5},     {"priority", -1},      {"unit", "tk-alpha"},
      {"rate_per_s", -1},    {"rate_per_s", true},  {"burst", 2e12},
      {"plain_tokens", "5"}, {"home_regions", {1}}, {"home_regions", "tk-alpha"}};
  for (const auto& [field, value] : kCases) {
    json configuration = Configuration();
    configuration["tenants"] = {{{"name", "acme"}, {"api_keys", {"tk-alpha"}}}};
    configuration["tenants"][0][field] = value;
    std::string message;
    try {
      ParseConfiguration(configuration.dump(), kDomainRegions, kSealer);
    } catch (const Error& error) {
      message = error.what();
    }
    BOOST_TEST(message.find(field) != std::string::npos, field << ": " << message);
    BOOST_TEST(message.find("tk-") == std::string::npos, message);
  }
}

// Guards against a route that is open because the value of its flag was misread.
BOOST_AUTO_TEST_CASE(OpenRoutesNeedABoolean) {
  json configuration = Configuration();
  configuration["routes"][0]["allow_anonymous"] = "false";
  BOOST_CHECK_THROW(ParseConfiguration(configuration.dump(), kDomainRegions, kSealer), Error);
  configuration["routes"][0]["allow_anonymous"] = nullptr;
  json value = json::parse(ParseConfiguration(configuration.dump(), kDomainRegions, kSealer).value);
  BOOST_TEST(!ParseIngress(value).route_configs.at(RouteId("r1/s")).open);
}

// Guards against a rate in the wrong unit, and against rejecting a configuration whose engine
// description is incomplete.
BOOST_AUTO_TEST_CASE(ConvertsLinkSpeedToFetchTokensPerSecond) {
  auto rate = [](const json& configuration) {
    ConfigurationDocument document =
        ParseConfiguration(configuration.dump(), kDomainRegions, kSealer);
    return json::parse(document.value)["services"][0]["fetch_tokens_per_s"].get<double>();
  };
  json configuration = Configuration();
  BOOST_TEST(rate(configuration) == 350'000e6 / 8 / 327'680, boost::test_tools::tolerance(1e-9));
  for (const json& engine :
       {json(), json::object(), json{{"token_bytes", 0}},
        json{{"token_bytes", "many"}, {"link_mbps", 1}}, json{{"token_bytes", 1}}}) {
    configuration["services"][0]["engine"] = engine;
    BOOST_TEST(rate(configuration) == 0, engine.dump());
  }
}

}  // namespace ebonylift::platform
