#define BOOST_TEST_MODULE ingress
#include "core/ingress.h"

#include <boost/test/included/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "core/config_view.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

Json Route(const std::string& id, const std::string& prefix) {
  return {{"id", id},
          {"host", "a.example"},
          {"path_prefix", prefix},
          {"idempotent", true},
          {"resumable", false},
          {"deadline_ms", 3000},
          {"first_byte_target_ms", 800},
          {"rank", 0},
          {"max_attempts", 2},
          {"regions", {"este", "centro"}},
          {"backends", {{{"service", "s"}, {"weight", 1}}}}};
}

Json Service(const std::string& id) {
  return {{"id", id},
          {"health_path", "/health"},
          {"max_connections", 100},
          {"cold_start_ms", 3000},
          {"cold_per_s", 3.3},
          {"fetch_tokens_per_s", 130'000.0}};
}

Json Document() {
  return {{"version", 7},
          {"routes", {Route("r1", "/a/"), Route("r2", "/a/b/"), Route("r3", "/")}},
          {"services", {Service("s"), Service("t")}}};
}

}  // namespace

// Guards against a shorter prefix that matches first, and against a prefix that matches part of a
// path segment.
BOOST_AUTO_TEST_CASE(LongestPrefixWins) {
  IngressConfig config = ParseIngress(Document());
  struct Case {
    const char* host;
    const char* path;
    const char* expected;
  };
  for (const Case& row : std::vector<Case>{{"a.example", "/a/x", "r1/s"},
                                           {"a.example", "/a/b/x", "r2/s"},
                                           {"a.example", "/ab/x", "r3/s"},
                                           {"a.example", "/a", "r3/s"},
                                           {"b.example", "/a/x", ""}}) {
    const IngressRoute* route = FindIngressRoute(config, row.host, row.path);
    std::string found = route == nullptr ? "" : route->backends[0].route.value();
    BOOST_TEST(found == row.expected, row.host << row.path);
  }
}

// Guards against documents of an earlier version that are refused because they lack the longest
// gap, and against one that is not a time.
BOOST_AUTO_TEST_CASE(LongestGapIsOptional) {
  Json document = Document();
  document["routes"][0]["max_event_gap_ms"] = 600;
  BOOST_TEST(ValidateIngress(document).empty());
  IngressConfig config = ParseIngress(document);
  BOOST_TEST((config.route_configs.at(RouteId("r1/s")).max_event_gap == milliseconds(600)));
  BOOST_TEST((config.route_configs.at(RouteId("r2/s")).max_event_gap == Duration(0)));
  for (const Json& value : {Json(-1), Json(1.5), Json("600"), Json()}) {
    document["routes"][0]["max_event_gap_ms"] = value;
    BOOST_TEST(!ValidateIngress(document).empty(), value);
  }
}

// Guards against a traffic split that differs from the weights, and against a service of weight 0
// that gets requests.
BOOST_AUTO_TEST_CASE(BackendsAreSelectedByWeight) {
  Json document = Document();
  document["routes"][0]["backends"] = {{{"service", "s"}, {"weight", 0}},
                                       {{"service", "t"}, {"weight", 9}},
                                       {{"service", "s"}, {"weight", 1}}};
  IngressConfig config = ParseIngress(document);
  const IngressRoute* route = FindIngressRoute(config, "a.example", "/a/x");
  int to_s = 0;
  for (uint64_t selector = 0; selector < 1'000; ++selector) {
    to_s += PickBackend(*route, selector).service == "s" ? 1 : 0;
  }
  BOOST_TEST(to_s == 100);
}

// Guards against a route that takes over the settings of another one with its name and service: an
// unsafe request would be repeated, and one with home regions would leave them.
BOOST_AUTO_TEST_CASE(RoutesOfOneNameKeepTheirSettings) {
  Json document = Document();
  document["routes"][1]["id"] = "r1";
  document["routes"][1]["idempotent"] = false;
  document["routes"][1]["regions"] = {"norte"};
  BOOST_TEST(ValidateIngress(document).empty());
  IngressConfig config = ParseIngress(document);
  auto settings = [&config](const char* path) {
    const IngressRoute* route = FindIngressRoute(config, "a.example", path);
    return config.route_configs.at(route->backends[0].route);
  };
  BOOST_TEST(settings("/a/x").idempotent);
  BOOST_TEST(settings("/a/x").regions.size() == 2u);
  BOOST_TEST(!settings("/a/b/x").idempotent);
  BOOST_TEST(settings("/a/b/x").regions.size() == 1u);
  BOOST_TEST(settings("/x").id.value() == "r3/s", "a name of its own stays as it is");
}

// Guards against accepting an invalid document.
BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRejected) {
  BOOST_TEST(ValidateIngress(Document()).empty());
  struct Case {
    const char* name;
    std::function<void(Json*)> mutate;
  };
  const std::vector<Case> cases = {
      {"no version", [](Json* d) { d->erase("version"); }},
      {"version 0", [](Json* d) { (*d)["version"] = 0; }},
      {"no routes", [](Json* d) { d->erase("routes"); }},
      {"unknown service", [](Json* d) { (*d)["routes"][1]["backends"][0]["service"] = "u"; }},
      {"same host and prefix", [](Json* d) { (*d)["routes"][1]["path_prefix"] = "/a/"; }},
      {"weights of 0", [](Json* d) { (*d)["routes"][0]["backends"][0]["weight"] = 0; }},
      {"no backends", [](Json* d) { (*d)["routes"][0]["backends"] = Json::array(); }},
      {"deadline of 0", [](Json* d) { (*d)["routes"][2]["deadline_ms"] = 0; }},
      {"prefix without slash", [](Json* d) { (*d)["routes"][2]["path_prefix"] = "/a"; }},
      {"route that is a string", [](Json* d) { (*d)["routes"][2] = "r3"; }},
      {"no region", [](Json* d) { (*d)["routes"][0]["regions"] = Json::array(); }},
      {"duplicate service id", [](Json* d) { (*d)["services"][1]["id"] = "s"; }},
  };
  for (const Case& row : cases) {
    Json document = Document();
    row.mutate(&document);
    BOOST_TEST(!ValidateIngress(document).empty(), row.name);
  }
}

// Guards against routes of an older document that remain in the view, and against ending one
// evacuation in a way that affects another.
BOOST_AUTO_TEST_CASE(ViewFollowsTheTree) {
  ConfigTree tree;
  auto put = [&tree](const std::string& path, const std::string& value) {
    ConfigPut change;
    change.path = path;
    change.value = value;
    change.base_revision = PathRevision(tree, path);
    BOOST_TEST((ApplyPut(&tree, change, 0).outcome == PutOutcome::kApplied));
  };
  put(kIngressPath, Document().dump());
  ConfigView view = BuildConfigView(tree);
  BOOST_TEST(view.teams.at(TeamId(kIngressTeam)).routes.size() == 3u);

  Json next = Document();
  next["version"] = 8;
  next["routes"].erase(2);
  put(kIngressPath, next.dump());
  view = UpdateConfigView(view, tree, {kIngressPath});
  BOOST_TEST(view.ingress->version == 8u);
  BOOST_TEST(view.teams.at(TeamId(kIngressTeam)).routes.size() == 2u);

  const std::string este = "/deployment/evacuations/este-a";
  const std::string norte = "/deployment/evacuations/norte-a";
  put(este, R"({"evacuated":true})");
  put(norte, R"({"evacuated":true})");
  view = UpdateConfigView(view, tree, {este, norte});
  BOOST_TEST(view.evacuated.size() == 2u);
  put(este, R"({"evacuated":false})");
  view = UpdateConfigView(view, tree, {este});
  BOOST_TEST((view.evacuated == std::set<DomainId>{DomainId("norte-a")}));
  BOOST_TEST((BuildConfigView(tree).evacuated == view.evacuated));
}

// Guards against a change that counts as made because another key of the stored document looks like
// its version.
BOOST_AUTO_TEST_CASE(OnlyTheVersionOfTheDocumentItselfIsRead) {
  BOOST_TEST(IngressVersion(
                 R"({"routes":[{"version":9},[9]],"services":{"version":9},"version":7})") == 7u);
  BOOST_TEST(
      IngressVersion(R"({"version":7,"routes":[{"version":9}],"source":"{\"version\":9}"})") == 7u);
  for (const char* text : {"", "9", "[9]", R"({"version":-9})", R"({"version":"9"})",
                           R"({"version":[9]})", R"({"routes":[]})", R"({"version":9)"}) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(IngressVersion(text) == 0u); }
  }
}

}  // namespace ebonylift
