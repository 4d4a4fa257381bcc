#define BOOST_TEST_MODULE workspaces
#include "core/workspaces.h"

#include <boost/test/included/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace ebonylift {
namespace {

using Json = nlohmann::json;

Json Workspace(const std::string& name, const std::vector<std::string>& keys) {
  Json digests = Json::array();
  for (const std::string& key : keys) digests.push_back(Sha256Hex(key));
  return {{"name", name}, {"key_digests", digests}, {"regions", {"este"}}};
}

Json List() {
  Json list = {Workspace("acme", {"k1", "k2"}), Workspace("beta", {"k3"})};
  list[0]["rank"] = 2;
  list[0]["limit"] = {{"per_s", 9.5}, {"burst", 20}, {"unit", "tokens"}, {"plain_cost", 300}};
  return list;
}

}  // namespace

// Guards against a key of another workspace and against settings that are lost.
BOOST_AUTO_TEST_CASE(KeysIdentifyWorkspaces) {
  WorkspaceTable table = ParseWorkspaces(List(), nullptr);
  const WorkspaceConfig* acme = FindWorkspace(table, Sha256("k2"));
  BOOST_REQUIRE(acme != nullptr);
  BOOST_TEST(acme->id.value() == "acme");
  BOOST_TEST(acme->rank.value() == 2);
  BOOST_TEST(acme->limit.per_s == 9.5);
  BOOST_TEST(acme->limit.plain_cost == 300);
  BOOST_TEST((acme->limit.unit == LimitUnit::kTokens));
  BOOST_TEST(FindWorkspace(table, Sha256("k3"))->id.value() == "beta");
  BOOST_TEST(!FindWorkspace(table, Sha256("k3"))->rank.has_value());
  BOOST_TEST(FindWorkspace(table, Sha256("k4")) == nullptr);
  BOOST_TEST(FindWorkspace(table, Sha256("")) == nullptr);
}

// Guards against a removed key that still works, one that stays with its former workspace, and
// against a table that shares nothing with the one before.
BOOST_AUTO_TEST_CASE(TableFollowsTheListAndSharesTheRest) {
  Json list = List();
  WorkspaceTable first = ParseWorkspaces(list, nullptr);
  list[0]["key_digests"].erase(0);
  list[1]["key_digests"] = {Sha256Hex("k1")};
  WorkspaceTable second = ParseWorkspaces(list, &first);
  BOOST_TEST(FindWorkspace(second, Sha256("k1"))->id.value() == "beta");
  BOOST_TEST(FindWorkspace(second, Sha256("k3")) == nullptr);
  BOOST_TEST(FindWorkspace(first, Sha256("k1"))->id.value() == "acme");
  BOOST_TEST(FindWorkspace(second, Sha256("k2")) == FindWorkspace(first, Sha256("k2")));
  list[0]["regions"] = {"norte"};
  list.erase(1);
  WorkspaceTable third = ParseWorkspaces(list, &second);
  BOOST_TEST(FindWorkspace(third, Sha256("k2"))->regions[0].value() == "norte");
  BOOST_TEST(FindWorkspace(second, Sha256("k2"))->regions[0].value() == "este");
  BOOST_TEST(third.by_id.size() == 1u);
  BOOST_TEST(third.by_key.size() == 1u);
}

// Guards against accepting an invalid list, and against an error that does not name the field.
BOOST_AUTO_TEST_CASE(InvalidListsAreRejected) {
  BOOST_TEST(ValidateWorkspaces(List()).empty());
  BOOST_TEST(ValidateWorkspaces(Json::array()).empty());
  struct Case {
    const char* key;  // of the issue
    std::function<void(Json*)> mutate;
  };
  auto set = [](const char* field, const Json& value) {
    return [=](Json* list) { (*list)[0][field] = value; };
  };
  auto set_limit = [](const char* field, const Json& value) {
    return [=](Json* list) { (*list)[0]["limit"][field] = value; };
  };
  const std::vector<Case> cases = {
      {"workspaces.name", [](Json* list) { (*list)[0].erase("name"); }},
      {"workspaces.name", set("name", "")},
      {"workspaces.name", set("name", "a\r\nb")},
      {"workspaces.beta.name", set("name", "beta")},
      {"workspaces.acme.key_digests", set("key_digests", "k1")},
      {"workspaces.acme.key_digests", set("key_digests", {"k1"})},
      {"workspaces.beta.key_digests",
       [](Json* list) { (*list)[1]["key_digests"] = {Sha256Hex("k2")}; }},
      {"workspaces.acme.regions", set("regions", Json::array())},
      {"workspaces.acme.regions", set("regions", {1})},
      {"workspaces.acme.rank", set("rank", -1)},
      {"workspaces.acme.rank", set("rank", 1'000'001)},
      {"workspaces.acme.rank", set("rank", "0")},
      {"workspaces.acme.limit", set("limit", 5)},
      {"workspaces.acme.limit.per_s", set_limit("per_s", -1)},
      {"workspaces.acme.limit.per_s", set_limit("per_s", true)},
      {"workspaces.acme.limit.burst", set_limit("burst", 1.1e12)},
      {"workspaces.acme.limit.plain_cost", set_limit("plain_cost", "1")},
      {"workspaces.acme.limit.unit", set_limit("unit", "Tokens")},
      {"workspaces.", [](Json* list) { *list = Json::object(); }},
      {"workspaces.", [](Json* list) { (*list)[0] = 1; }},
  };
  for (const Case& row : cases) {
    Json list = List();
    row.mutate(&list);
    std::vector<SchemaIssue> issues = ValidateWorkspaces(list);
    BOOST_REQUIRE_MESSAGE(!issues.empty(), row.key);
    BOOST_TEST(issues[0].key == row.key);
  }
  Json shared = List();
  shared[1]["key_digests"] = shared[0]["key_digests"];
  BOOST_TEST(ValidateWorkspaces(shared)[0].allowed == "no key of the workspace acme");
  BOOST_TEST(!ValidateWorkspaces(Json(kMaxWorkspaces + 1, List()[0])).empty());
}

}  // namespace ebonylift
