#include "core/workspaces.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "core/json_range.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

// More do not help the writer of a document.
constexpr size_t kMaxWorkspaceIssues = 20;
constexpr size_t kMaxShownNameBytes = 100;

// Returns the value of the key, or null if the object does not have it.
const Json& Member(const Json& object, const char* key) {
  static const Json missing;
  auto found = object.find(key);
  return found == object.end() ? missing : *found;
}

// Collects the issues of a list. Values other than numbers are not shown, as they may contain keys.
class Checker {
 public:
  void Add(const std::string& field, const Json& value, const std::string& allowed) {
    if (issues_.size() >= kMaxWorkspaceIssues) return;
    std::string shown = value.is_number() ? value.dump() : value.type_name();
    issues_.push_back({"workspaces." + field, shown, allowed, ""});
  }

  void CheckWorkspace(const Json& workspace) {
    if (!workspace.is_object()) return Add("", workspace, "a list of objects");
    const Json& name = Member(workspace, "name");
    if (!name.is_string() || !IsWorkspaceName(name.get_ref<const std::string&>())) {
      return Add("name", name,
                 "a non-empty string without control characters and without spaces at its ends");
    }
    std::string prefix = name.get_ref<const std::string&>().substr(0, kMaxShownNameBytes) + ".";
    if (!names_.insert(name.get<std::string>()).second) {
      Add(prefix + "name", name, "each name once");
    }
    CheckKeys(workspace, prefix, name.get_ref<const std::string&>());
    CheckRegions(Member(workspace, "regions"), prefix);
    if (workspace.contains("rank") && !IsIntegerInRange(workspace["rank"], 0, kMaxWorkspaceRank)) {
      Add(prefix + "rank", workspace["rank"], "0 to 1000000");
    }
    if (workspace.contains("limit")) CheckLimit(workspace["limit"], prefix + "limit");
  }

  std::vector<SchemaIssue> TakeIssues() { return std::move(issues_); }

 private:
  void CheckKeys(const Json& workspace, const std::string& prefix, const std::string& name) {
    const Json& keys = Member(workspace, "key_digests");
    if (!keys.is_array()) return Add(prefix + "key_digests", keys, "a list");
    for (const Json& key : keys) {
      std::optional<Sha256Digest> digest;
      if (key.is_string()) digest = ParseSha256Hex(key.get_ref<const std::string&>());
      if (!digest) {
        Add(prefix + "key_digests", key, "SHA-256 digests in hexadecimal");
        continue;
      }
      const std::string& owner = owners_.emplace(*digest, name).first->second;
      if (owner == name) continue;
      Add(prefix + "key_digests", key,
          "no key of the workspace " + owner.substr(0, kMaxShownNameBytes));
    }
  }

  void CheckRegions(const Json& regions, const std::string& prefix) {
    bool valid = regions.is_array() && !regions.empty() &&
                 std::all_of(regions.begin(), regions.end(),
                             [](const Json& region) { return region.is_string(); });
    if (!valid) Add(prefix + "regions", regions, "a non-empty list of regions");
  }

  void CheckLimit(const Json& limit, const std::string& field) {
    if (!limit.is_object()) return Add(field, limit, "an object");
    for (const char* key : {"per_s", "burst", "plain_cost"}) {
      const Json& value = Member(limit, key);
      bool valid = !limit.contains(key) ||
                   (value.is_number() && std::isfinite(value.get<double>()) &&
                    value.get<double>() >= 0 && value.get<double>() <= kMaxWorkspaceLimit);
      if (!valid) Add(field + "." + key, value, "a number from 0 to 1e12");
    }
    const Json& unit = Member(limit, "unit");
    bool known_unit = !limit.contains("unit") || unit == "requests" || unit == "tokens";
    if (!known_unit) Add(field + ".unit", unit, "requests or tokens");
  }

  std::vector<SchemaIssue> issues_;
  std::set<std::string> names_;
  std::map<Sha256Digest, std::string> owners_;  // of the keys
};

WorkspaceLimit ParseLimit(const Json& json) {
  WorkspaceLimit limit;
  limit.per_s = json.value("per_s", 0.0);
  limit.burst = json.value("burst", 0.0);
  limit.plain_cost = json.value("plain_cost", limit.plain_cost);
  if (json.value("unit", "requests") == "tokens") limit.unit = LimitUnit::kTokens;
  return limit;
}

WorkspaceConfig ParseWorkspace(const Json& json) {
  WorkspaceConfig workspace;
  workspace.id = WorkspaceId(json.at("name").get<std::string>());
  for (const Json& region : json.at("regions")) {
    workspace.regions.emplace_back(region.get<std::string>());
  }
  if (json.contains("rank")) workspace.rank = json["rank"].get<int>();
  if (json.contains("limit")) workspace.limit = ParseLimit(json["limit"]);
  return workspace;
}

auto Fields(const WorkspaceConfig& workspace) {
  const WorkspaceLimit& limit = workspace.limit;
  return std::tie(workspace.id, workspace.regions, workspace.rank, limit.per_s, limit.burst,
                  limit.unit, limit.plain_cost);
}

// Sets the entry if it differs, so that the map shares as much as possible with its source.
template <typename Key>
void SetEntry(SharedMap<Key, WorkspaceTable::Entry>* map, const Key& key,
              const WorkspaceTable::Entry& entry) {
  auto found = map->find(key);
  if (found == map->end() || found->second != entry) (*map)[key] = entry;
}

template <typename Key>
void EraseOthers(SharedMap<Key, WorkspaceTable::Entry>* map, const std::set<Key>& kept) {
  if (map->size() == kept.size()) return;
  std::vector<Key> removed;
  for (const auto& [key, entry] : *map) {
    if (kept.count(key) == 0) removed.push_back(key);
  }
  for (const Key& key : removed) map->erase(key);
}

}  // namespace

bool IsWorkspaceName(const std::string& name) {
  if (name.empty() || name.front() == ' ' || name.back() == ' ') return false;
  constexpr unsigned char kDelete = 0x7f;
  return std::none_of(name.begin(), name.end(),
                      [](unsigned char c) { return c < ' ' || c == kDelete; });
}

std::vector<SchemaIssue> ValidateWorkspaces(const Json& list) {
  Checker checker;
  if (!list.is_array() || list.size() > kMaxWorkspaces) {
    checker.Add("", list, "a list of at most 100000 workspaces");
    return checker.TakeIssues();
  }
  for (const Json& workspace : list) checker.CheckWorkspace(workspace);
  return checker.TakeIssues();
}

WorkspaceTable ParseWorkspaces(const Json& list, const WorkspaceTable* previous) {
  WorkspaceTable table;
  if (previous != nullptr) table = *previous;
  std::set<WorkspaceId> ids;
  std::set<Sha256Digest> keys;
  for (const Json& json : list) {
    WorkspaceConfig workspace = ParseWorkspace(json);
    ids.insert(workspace.id);
    WorkspaceTable::Entry entry;
    auto known = table.by_id.find(workspace.id);
    if (known != table.by_id.end() && Fields(*known->second) == Fields(workspace)) {
      entry = known->second;
    } else {
      entry = std::make_shared<const WorkspaceConfig>(std::move(workspace));
    }
    SetEntry(&table.by_id, entry->id, entry);
    for (const Json& key : json.at("key_digests")) {
      // Validated documents have no other keys.
      Sha256Digest digest = ParseSha256Hex(key.get_ref<const std::string&>()).value();
      keys.insert(digest);
      SetEntry(&table.by_key, digest, entry);
    }
  }
  EraseOthers(&table.by_id, ids);
  EraseOthers(&table.by_key, keys);
  return table;
}

const WorkspaceConfig* FindWorkspace(const WorkspaceTable& table, const Sha256Digest& key) {
  auto found = table.by_key.find(key);
  return found == table.by_key.end() ? nullptr : found->second.get();
}

}  // namespace ebonylift
