#define BOOST_TEST_MODULE config_schema
#include "core/config_schema.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>
#include <random>

#include "core/config_view.h"

namespace ebonylift {
namespace {

const char* const kHash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

std::string HashJson(const std::string& key) { return "{\"" + key + "\":\"" + kHash + "\"}"; }

class ConfigTreeReader : public TreeReader {
 public:
  explicit ConfigTreeReader(const ConfigTree& tree) : tree_(tree) {}
  std::optional<std::string> Find(const std::string& path) const override {
    auto found = tree_.entries.find(path);
    if (found == tree_.entries.end()) return std::nullopt;
    return found->second.value.text();
  }
  void Visit(const std::string& prefix,
             const std::function<void(const std::string&, const std::string&)>& fn) const override {
    for (const ConfigEntry& entry : ReadTree(tree_, prefix)) fn(entry.path, entry.value);
  }

 private:
  const ConfigTree& tree_;
};

void Set(ConfigTree* tree, const std::string& path, std::optional<std::string> value) {
  ConfigPut put;
  put.path = path;
  put.value = std::move(value);
  put.base_revision = PathRevision(*tree, path);
  ApplyPut(tree, put, 1);
}

ConfigTree ExampleTree() {
  ConfigTree tree;
  Set(&tree, "/deployment/regions/este", R"({"domains":["este-a"],"record_hosts":["h1","h2"]})");
  Set(&tree, "/deployment/regions/norte", R"({"domains":["norte-a"],"record_hosts":[]})");
  Set(&tree, "/deployment/operators/ana",
      std::string(R"({"token_sha256":")") + kHash + R"(","subtrees":["/teams/rocha"]})");
  Set(&tree, "/deployment/models/sum",
      R"({"version":"2","adapters":["rural"],"min_available_percent":60,"max_loading":3})");
  Set(&tree, "/deployment/orderers/este-a", R"({"host":"h1","lease_ms":30000})");
  Set(&tree, "/teams/rocha/residency", R"({"regions":["este","norte"]})");
  Set(&tree, "/teams/rocha/limits", R"({"requests_per_s":10.5,"concurrency":4})");
  Set(&tree, "/teams/rocha/keys/k1", HashJson("sha256"));
  Set(&tree, "/teams/rocha/routes/summary",
      R"({"kind":"model","model":"sum","regions":["norte","este"],"class":"check",)"
      R"("idempotent":false,"deadline_ms":1500,"send_away":false,"weight_remote":2})");
  return tree;
}

// Formats every field of a view, so that two views can be compared.
std::string ViewText(const ConfigView& view) {
  std::ostringstream out;
  out << view.revision << "\n";
  for (const auto& [id, team] : view.teams) {
    out << id << " " << team.limits.requests_per_s << " " << team.limits.concurrency << " "
        << team.limits.retry_percent;
    for (const RegionId& region : team.regions) out << " " << region;
    for (const auto& [route_id, route] : team.routes) {
      out << "\n  " << route_id << route.team << static_cast<int>(route.kind) << route.model
          << route.adapter << route.version << route.service << route.home
          << static_cast<int>(route.traffic_class) << route.idempotent << route.key_from_body
          << route.deadline.count() << route.send_away << route.weight_latency << route.weight_cost
          << route.weight_remote << route.hedge;
      for (const RegionId& region : route.regions) out << " " << region;
    }
    out << "\n";
  }
  std::map<std::string, TeamId> keys(view.keys.begin(), view.keys.end());
  for (const auto& [hash, team] : keys) out << hash << team << "\n";
  for (const auto& [id, region] : view.regions) {
    out << id << region.takeover;
    for (const DomainId& domain : region.domains) out << " " << domain;
    for (const HostId& host : region.record_hosts) out << " " << host;
  }
  for (const OperatorConfig& config : view.operators) {
    out << config.name << config.token_sha256;
    for (const std::string& subtree : config.subtrees) out << " " << subtree;
  }
  for (const auto& [id, model] : view.models) {
    out << id << model.revision << model.version << model.min_available_percent << " "
        << model.max_loading;
    for (const std::string& adapter : model.adapters) out << " " << adapter;
  }
  for (const auto& [id, entry] : view.orderers) {
    out << id << entry.revision << entry.host << entry.lease.count();
  }
  if (view.hedging)
    out << view.hedging->max_request_percent << " " << view.hedging->max_token_percent;
  return out.str();
}

}  // namespace

// Guards against a schema that rejects a documented value or accepts a malformed one.
BOOST_AUTO_TEST_CASE(ValuesAreValidated) {
  struct Row {
    std::string path;
    std::string json;
    std::string bad_key;  // "-": valid; otherwise the key of the first issue
  };
  const std::string region = "/deployment/regions/este";
  const std::string route = "/teams/rocha/routes/summary";
  const std::vector<Row> rows = {
      {region, R"({"domains":["este-a"],"record_hosts":["h1"]})", "-"},
      {region, R"({"domains":["este-a"],"record_hosts":["h1"],"takeover":true})", "-"},
      {region, R"({"domains":["este-a"],"record_hosts":["h1"],"takeover":1})", "takeover"},
      {region, R"({"domains":["este-a"]})", "record_hosts"},
      {region, R"({"domains":["a","a"],"record_hosts":[]})", "domains"},
      {region, R"({"domains":["a/b"],"record_hosts":[]})", "domains"},
      {"/deployment/operators/ana",
       std::string(R"({"subtrees":["/teams/x","/"],"token_sha256":")") + kHash + "\"}", "-"},
      {"/deployment/operators/ana",
       std::string(R"({"subtrees":["teams/x"],"token_sha256":")") + kHash + "\"}", "subtrees"},
      {"/deployment/operators/ana", R"({"subtrees":[],"token_sha256":"abc"})", "token_sha256"},
      {"/deployment/models/sum",
       R"({"version":"2","adapters":[],"min_available_percent":99,"max_loading":2})", "-"},
      {"/deployment/models/sum", R"({"version":"2"})", "-"},
      {"/deployment/models/sum", R"({"adapters":[]})", "version"},
      {"/deployment/models/sum", R"({"version":"2","min_available_percent":100})",
       "min_available_percent"},
      {"/deployment/models/sum", R"({"version":"2","max_loading":0})", "max_loading"},
      {"/deployment/orderers/este-a", R"({"host":"h1","lease_ms":300000})", "-"},
      {"/deployment/orderers/este-a", R"({"host":"h1","lease_ms":3600001})", "lease_ms"},
      {"/deployment/orderers/este-a", R"({"lease_ms":5000})", "host"},
      {"/deployment/hedging", R"({"max_request_percent":5,"max_token_percent":2})", "-"},
      {"/deployment/hedging", R"({"max_request_percent":101})", "max_request_percent"},
      {"/deployment/hedging", R"({"max_token_percent":2})", "max_request_percent"},
      {route, R"({"kind":"service","service":"s","regions":["este"],"hedge":false})", "-"},
      {route, R"({"kind":"service","service":"s","regions":["este"],"hedge":0})", "hedge"},
      {"/teams/rocha/keys/k1", HashJson("sha256"), "-"},
      {"/teams/rocha/keys/k1", HashJson("sha265"), "sha265"},
      {"/teams/rocha/residency", R"({"regions":["este"]})", "-"},
      {"/teams/rocha/residency", R"({"regions":[]})", "regions"},
      {"/teams/rocha/limits", R"({})", "-"},
      {"/teams/rocha/limits", R"({"requests_per_s":0.5,"concurrency":3,"retry_percent":0})", "-"},
      {"/teams/rocha/limits", R"({"requests_per_s":-1})", "requests_per_s"},
      {"/teams/rocha/limits", R"({"concurrency":1.5})", "concurrency"},
      {"/teams/rocha/limits", R"({"concurrency":18446744073709551615})", "concurrency"},
      {"/teams/rocha/limits", R"({"retry_percent":101})", "retry_percent"},
      {"/teams/rocha/limits", R"({"concurrency":1,"concurrency":2})", "concurrency"},
      {"/teams/rocha/limits", "[]", ""},
      {"/teams/rocha/limits", "null", ""},
      {"/teams/rocha/limits", "{", ""},
      {route, R"({"kind":"model","model":"m","regions":["este"],"home":"este","class":"chapter",
                  "adapter":"a","version":"v","idempotent":true,"key_from_body":true,
                  "deadline_ms":100,"send_away":false,"weight_latency":0,"weight_cost":1.5,
                  "weight_remote":1})",
       "-"},
      {route, R"({"kind":"service","service":"s","regions":["este"]})", "-"},
      {route, R"({"kind":"service","service":"s","model":"m","regions":["este"]})", "model"},
      {route, R"({"kind":"model","model":"m","service":"s","regions":["este"]})", "service"},
      {route, R"({"kind":"model","regions":["este"]})", "model"},
      {route, R"({"kind":"modle","model":"m","regions":["este"]})", "kind"},
      {route, R"({"kind":"model","model":"m","regions":["este"],"home":"norte"})", "home"},
      {route, R"({"kind":"model","model":"m","regions":["este"],"class":"fast"})", "class"},
      {route, R"({"kind":"model","model":"m","regions":["este"],"deadline_ms":0})", "deadline_ms"},
      {route, R"({"kind":"model","model":"m","regions":["este"],"idempotent":"no"})", "idempotent"},
      {route, R"({"kind":"model","model":"m","regions":["este"],"weight_cost":1e9})",
       "weight_cost"},
      {route, R"({"kind":"model","model":"","regions":["este"]})", "model"},
  };
  for (const Row& row : rows) {
    std::vector<SchemaIssue> issues = Validate(row.path, row.json);
    BOOST_TEST_CONTEXT(row.path << " " << row.json) {
      BOOST_TEST(issues.empty() == (row.bad_key == "-"));
      if (!issues.empty()) {
        BOOST_TEST(issues[0].key == row.bad_key);
        BOOST_TEST(!issues[0].allowed.empty());
      }
    }
  }
}

// Guards against a misspelled key or path that is accepted, or rejected without a suggestion.
BOOST_AUTO_TEST_CASE(UnknownKeysAndPathsSuggestTheNearest) {
  auto nearest = [](const std::string& path, const std::string& json) {
    std::vector<SchemaIssue> issues = Validate(path, json);
    BOOST_REQUIRE(!issues.empty());
    return issues[0].nearest;
  };
  BOOST_TEST(nearest("/teams/rocha/limits", R"({"concurency":1})") == "concurrency");
  BOOST_TEST(nearest("/teams/rocha/limits", R"({"zzzzzzzz":1})").empty());
  BOOST_TEST(nearest("/teams/rocha/residence", "{}") == "residency");
  BOOST_TEST(nearest("/team/rocha/limits", "{}") == "teams");
  BOOST_TEST(nearest("/deployment/region/este", "{}") == "regions");
  BOOST_TEST(nearest("/teams/rocha/route/x", "{}") == "routes");
  for (const char* path : {"", "teams", "/", "/teams", "/teams/rocha", "/teams//limits",
                           "/teams/rocha/limits/", "/teams/ro cha/limits", "/teams/../limits"}) {
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(!ValidatePath(path).empty()); }
  }
  std::string text =
      DescribeIssues("/teams/rocha/limits", Validate("/teams/rocha/limits", R"({"concurency":1})"));
  BOOST_TEST(text ==
             "/teams/rocha/limits: concurency = 1 is not valid (allowed: requests_per_s, "
             "concurrency, retry_percent), did you mean \"concurrency\"?");
}

// Guards against accepting a value that is valid by itself but contradicts another path.
BOOST_AUTO_TEST_CASE(ValuesAreValidatedAgainstOtherPaths) {
  struct Row {
    std::string path;
    std::optional<std::string> value;
    bool valid;
  };
  const std::string other(64, 'a');
  const std::vector<Row> rows = {
      {"/teams/rocha/routes/a", R"({"kind":"model","model":"m","regions":["este"]})", true},
      {"/teams/rocha/routes/a", R"({"kind":"model","model":"m","regions":["sur"]})", false},
      {"/teams/punjab/routes/a", R"({"kind":"model","model":"m","regions":["este"]})", false},
      {"/teams/punjab/residency", R"({"regions":["este"]})", true},
      {"/teams/punjab/residency", R"({"regions":["eset"]})", false},
      {"/teams/rocha/residency", R"({"regions":["este"]})", false},
      {"/teams/rocha/residency", std::nullopt, false},
      {"/teams/rocha/routes/summary", std::nullopt, true},
      {"/deployment/regions/este", std::nullopt, false},
      {"/deployment/regions/sur", R"({"domains":["sur-a"],"record_hosts":[]})", true},
      {"/deployment/regions/sur", R"({"domains":["este-a"],"record_hosts":[]})", false},
      {"/deployment/regions/este", R"({"domains":["este-a"],"record_hosts":[]})", true},
      {"/teams/punjab/keys/k", HashJson("sha256"), false},
      {"/teams/punjab/keys/k", "{\"sha256\":\"" + other + "\"}", true},
      {"/teams/rocha/keys/k1", HashJson("sha256"), true},
      {"/teams/rocha/keys/k1", std::nullopt, true},
  };
  ConfigTree tree = ExampleTree();
  ConfigTreeReader reader(tree);
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.path << " " << row.value.value_or("(deleted)")) {
      BOOST_TEST(ValidateInTree(reader, row.path, row.value).empty() == row.valid);
    }
  }
  std::vector<SchemaIssue> issues =
      ValidateInTree(reader, "/teams/punjab/residency", R"({"regions":["eset"]})");
  BOOST_TEST(issues[0].nearest == "este");
}

BOOST_AUTO_TEST_CASE(ViewHasTypedValuesAndDefaults) {
  ConfigView view = BuildConfigView(ExampleTree());
  BOOST_TEST(view.revision == 9u);
  const TeamConfig& team = view.teams.at(TeamId("rocha"));
  BOOST_TEST(team.limits.requests_per_s == 10.5);
  BOOST_TEST(team.limits.retry_percent == 10);
  const RouteConfig& route = team.routes.at(RouteId("summary"));
  BOOST_TEST(route.home == RegionId("este"));  // the first in lexical order
  BOOST_TEST((route.traffic_class == TrafficClass::kCheck));
  BOOST_TEST(!route.idempotent);
  BOOST_TEST(ToMillis(route.deadline) == 1500);
  BOOST_TEST(route.weight_latency == 1.0);
  BOOST_TEST(view.keys.at(kHash) == TeamId("rocha"));
  BOOST_TEST(view.regions.at(RegionId("este")).record_hosts.size() == 2u);
  BOOST_TEST(view.operators.at(0).subtrees.at(0) == "/teams/rocha");
  const DesiredModel& model = view.models.at(ModelId("sum"));
  BOOST_TEST(model.revision == 4u);
  BOOST_TEST(model.min_available_percent == 60);
  BOOST_TEST(model.adapters.at(0) == "rural");
  BOOST_TEST(view.orderers.at(DomainId("este-a")).revision == 5u);
  BOOST_TEST(ToMillis(view.orderers.at(DomainId("este-a")).lease) == 30'000);
}

// Guards against a limit of prompt tokens that is off because it is not named, and against a route
// that is hedged although its configuration says otherwise.
BOOST_AUTO_TEST_CASE(ViewHasHedging) {
  ConfigTree tree = ExampleTree();
  BOOST_TEST(!BuildConfigView(tree).hedging.has_value());
  Set(&tree, "/deployment/hedging", R"({"max_request_percent":5})");
  Set(&tree, "/teams/rocha/routes/new",
      R"({"kind":"service","service":"s","regions":["este"],"hedge":false})");
  ConfigView view = BuildConfigView(tree);
  BOOST_REQUIRE(view.hedging.has_value());
  BOOST_TEST(view.hedging->max_request_percent == 5);
  BOOST_TEST(view.hedging->max_token_percent == 5);
  BOOST_TEST(!view.teams.at(TeamId("rocha")).routes.at(RouteId("new")).hedge);
  BOOST_TEST(view.teams.at(TeamId("rocha")).routes.at(RouteId("summary")).hedge);
}

// Guards against one value that cannot be parsed and hides the rest of the configuration.
BOOST_AUTO_TEST_CASE(ViewSkipsUnparsableValues) {
  ConfigTree tree = ExampleTree();
  Set(&tree, "/teams/rocha/routes/new", R"({"kind":"stream","regions":["este"]})");
  Set(&tree, "/teams/rocha/routes/bad", "{");
  Set(&tree, "/teams/rocha/later", R"({"x":1})");
  ConfigView view = BuildConfigView(tree);
  BOOST_TEST(view.teams.at(TeamId("rocha")).routes.size() == 1u);
}

// Guards against an incrementally updated view that differs from a full build, with random changes.
BOOST_AUTO_TEST_CASE(UpdatedViewEqualsBuiltView) {
  constexpr uint32_t kSeed = 7'003;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  ConfigTree tree = ExampleTree();
  ConfigView view = BuildConfigView(tree);
  for (int i = 0; i < 300; ++i) {
    std::vector<std::string> changed;
    for (uint64_t n = rng() % 4; n > 0; --n) {
      std::string team = "/teams/t" + std::to_string(rng() % 4);
      std::string digit(1, static_cast<char>('0' + rng() % 10));
      std::string regions = R"({"regions":["r)" + digit + "\"]}";
      std::string region = R"({"domains":["d)" + digit + R"("],"record_hosts":[]})";
      std::vector<std::pair<std::string, std::string>> puts = {
          {team + "/residency", regions},
          {team + "/keys/k" + digit, "{\"sha256\":\"" + team + digit + "\"}"},
          {team + "/routes/r" + digit, R"({"kind":"model","model":"m","regions":["r1"]})"},
          {"/deployment/regions/r" + digit, region},
          {"/deployment/hedging", R"({"max_request_percent":1)" + digit + "}"},
          {"/deployment/models/m" + digit, "{\"version\":\"" + team + digit + "\"}"},
          {"/deployment/orderers/d" + digit, R"({"host":"h","lease_ms":1)" + digit + "}"},
          {"/deployment/operators/o" + digit,
           std::string(R"({"token_sha256":")") + kHash + R"(","subtrees":[]})"}};
      auto [path, value] = puts[rng() % puts.size()];
      bool remove = rng() % 3 == 0;
      Set(&tree, path, remove ? std::nullopt : std::optional<std::string>(value));
      changed.push_back(path);
    }
    view = UpdateConfigView(view, tree, changed);
    BOOST_REQUIRE(ViewText(view) == ViewText(BuildConfigView(tree)));
  }
}

}  // namespace ebonylift
