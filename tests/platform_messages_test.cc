#define BOOST_TEST_MODULE platform_messages
#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "core/ingress.h"
#include "platform/messages.h"

namespace ebonylift::platform {
namespace {

using nlohmann::json;

const Places kPlaces = {{DomainId("este-a"), RegionId("este")},
                        {DomainId("norte-a"), RegionId("norte")}};

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

Announcement Read(const json& beat) {
  return ReadHeartbeat("i-1", beat.dump(), kPlaces, seconds(7));
}

}  // namespace

// Guards against fields that are taken for one another.
BOOST_AUTO_TEST_CASE(AHeartbeat) {
  Announcement announcement = Read(Heartbeat());
  BOOST_TEST(announcement.id.value() == "i-1");
  BOOST_TEST(announcement.incarnation == 1u);
  BOOST_TEST(announcement.seq == 4u);
  BOOST_TEST(announcement.services[0] == "huvo11a");
  BOOST_TEST(announcement.region.value() == "este");
  BOOST_TEST(!announcement.leaving);
  BOOST_TEST((announcement.cold_for == milliseconds(1'500)));
  BOOST_TEST(announcement.load.slots == 32);
  json beat = Heartbeat();
  beat["state"] = "draining";
  beat["born"] = 1'700'000'000'123;
  BOOST_TEST(Read(beat).leaving);
  BOOST_TEST(Read(beat).incarnation == 1'700'000'000'123u);
}

// Guards against a heartbeat of another writer that names a server to use.
BOOST_AUTO_TEST_CASE(ForeignHeartbeatsAreRefused) {
  for (const char* key : {"service", "address", "zone", "slots", "state", "sequence"}) {
    json missing = Heartbeat();
    missing.erase(key);
    BOOST_CHECK_THROW(Read(missing), Error);
    json other_type = Heartbeat();
    other_type[key] = json::array({1});
    BOOST_CHECK_THROW(Read(other_type), Error);
  }
  json unknown = Heartbeat();
  unknown["state"] = "waiting";
  BOOST_CHECK_THROW(Read(unknown), Error);
  unknown = Heartbeat();
  unknown["born"] = "1700000000123";
  BOOST_CHECK_THROW(Read(unknown), Error);
  unknown = Heartbeat();
  unknown["zone"] = "moon";
  BOOST_CHECK_THROW(Read(unknown), Error);
  BOOST_CHECK_THROW(ReadHeartbeat("i-1", "\xff{", kPlaces, seconds(1)), Error);
}

// Guards against a configuration that means something else in the gateway's form, or that is read
// back changed.
BOOST_AUTO_TEST_CASE(AConfiguration) {
  std::string text = Configuration().dump(2);
  ConfigurationDocument document = ReadConfiguration(text, kPlaces);
  BOOST_TEST(document.version == 7u);
  BOOST_TEST(ConfigurationText(document.value) == text);
  json value = json::parse(document.value);
  BOOST_TEST(ValidateIngress(value).empty());
  IngressConfig config = ParseIngress(value);
  const RouteConfig& stream = config.route_configs.at(RouteId("r1/s"));
  BOOST_TEST(!stream.idempotent);
  BOOST_TEST(!stream.resumable);
  BOOST_TEST(stream.regions.size() == 1u);
  const RouteConfig& safe = config.route_configs.at(RouteId("r2/t"));
  BOOST_TEST(safe.idempotent);
  BOOST_TEST(safe.regions.size() == 2u);
  BOOST_TEST(safe.max_attempts == 2);
  BOOST_TEST((config.services.at("s").cold_start == seconds(3)));
}

// Guards against a stream that is repeated although it may not be resumed.
BOOST_AUTO_TEST_CASE(RepetitionFollowsTheKind) {
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
    json value = json::parse(ReadConfiguration(configuration.dump(), kPlaces).value);
    BOOST_TEST(value["routes"][0]["idempotent"].get<bool>() == row.idempotent, row.type);
    bool resumes = row.resumable && row.idempotent;
    BOOST_TEST(value["routes"][0]["resumable"].get<bool>() == resumes, row.type);
  }
}

// Guards against a configuration that is taken although a part of it cannot be read.
BOOST_AUTO_TEST_CASE(ConfigurationsAreReadInFull) {
  std::string text = Configuration().dump();
  BOOST_CHECK_THROW(ReadConfiguration(text.substr(0, text.size() - 1), kPlaces), Error);
  BOOST_CHECK_THROW(ReadConfiguration("", kPlaces), Error);
  json configuration = Configuration();
  configuration["routes"][0].erase("host");
  BOOST_CHECK_THROW(ReadConfiguration(configuration.dump(), kPlaces), Error);
  configuration = Configuration();
  configuration["routes"][0]["route_type"] = "sometimes";
  BOOST_CHECK_THROW(ReadConfiguration(configuration.dump(), kPlaces), Error);
}

// Guards against a rate in other units, and against a configuration that is refused for an engine
// that says less.
BOOST_AUTO_TEST_CASE(ServicesSayHowFastPartsAreFetched) {
  auto rate = [](const json& configuration) {
    ConfigurationDocument document = ReadConfiguration(configuration.dump(), kPlaces);
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
