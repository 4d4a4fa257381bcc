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

// Removes the workspaces that are not in the list.
void EraseOthers(SharedMap<WorkspaceId, WorkspaceEntry>* by_id, const Json& list) {
  if (by_id->size() == list.size()) return;
  std::set<WorkspaceId> kept;
  for (const Json& json : list) kept.emplace(json.at("name").get<std::string>());
  std::vector<WorkspaceId> removed;
  for (const auto& [id, entry] : *by_id) {
    if (kept.count(id) == 0) removed.push_back(id);
  }
  for (const WorkspaceId& id : removed) by_id->erase(id);
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
  if (previous != nullptr) table.by_id = previous->by_id;
  std::vector<WorkspaceKeys::Key> keys;
  for (const Json& json : list) {
    WorkspaceConfig workspace = ParseWorkspace(json);
    WorkspaceEntry entry;
    auto known = table.by_id.find(workspace.id);
    if (known != table.by_id.end() && Fields(*known->second) == Fields(workspace)) {
      entry = known->second;
    } else {
      entry = std::make_shared<const WorkspaceConfig>(std::move(workspace));
      table.by_id[entry->id] = entry;
    }
    for (const Json& key : json.at("key_digests")) {
      // Validated documents have no other keys.
      keys.push_back({ParseSha256Hex(key.get_ref<const std::string&>()).value(), entry});
    }
  }
  EraseOthers(&table.by_id, list);
  const WorkspaceKeys none;
  table.by_key = WorkspaceKeys(std::move(keys), previous == nullptr ? none : previous->by_key);
  return table;
}

const WorkspaceConfig* FindWorkspace(const WorkspaceTable& table, const Sha256Digest& key) {
  return table.by_key.Find(key);
}

WorkspaceKeys::WorkspaceKeys(std::vector<Key> keys, const WorkspaceKeys& previous) {
  if (keys.empty()) return;
  std::stable_sort(keys.begin(), keys.end(),
                   [](const Key& a, const Key& b) { return a.digest < b.digest; });
  auto same_digest = [](const Key& a, const Key& b) { return a.digest == b.digest; };
  keys.erase(std::unique(keys.begin(), keys.end(), same_digest), keys.end());
  size_ = keys.size();
  lists_.resize(kLists);
  for (auto begin = keys.begin(); begin != keys.end();) {
    size_t index = ListIndex(begin->digest);
    auto end = std::find_if(begin, keys.end(),
                            [index](const Key& key) { return ListIndex(key.digest) != index; });
    List list(begin, end);
    bool shared = !previous.lists_.empty() && previous.lists_[index] != nullptr &&
                  *previous.lists_[index] == list;
    lists_[index] = shared ? previous.lists_[index] : std::make_shared<const List>(std::move(list));
    begin = end;
  }
}

const WorkspaceConfig* WorkspaceKeys::Find(const Sha256Digest& digest) const {
  if (lists_.empty()) return nullptr;
  const std::shared_ptr<const List>& list = lists_[ListIndex(digest)];
  if (list == nullptr) return nullptr;
  auto found = std::lower_bound(
      list->begin(), list->end(), digest,
      [](const Key& key, const Sha256Digest& value) { return key.digest < value; });
  return found != list->end() && found->digest == digest ? found->workspace.get() : nullptr;
}

// The first 12 bits of the digest.
size_t WorkspaceKeys::ListIndex(const Sha256Digest& digest) {
  static_assert(kLists == 1 << 12);
  return static_cast<size_t>(digest.bytes[0]) << 4 | digest.bytes[1] >> 4;
}

}  // namespace ebonylift
