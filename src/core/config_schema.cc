#include "core/config_schema.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "core/ingress.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxTextBytes = 256;
constexpr size_t kMaxListItems = 256;
constexpr size_t kMaxShownBytes = 100;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRequestsPerS = 1e6;
constexpr int64_t kMaxConcurrency = 1'000'000;
constexpr int64_t kMaxDeadlineMs = 86'400'000;
constexpr int64_t kMaxLoading = 4096;
constexpr int64_t kMaxLeaseMs = 3'600'000;

enum class PathKind {
  kRegion,
  kOperator,
  kModel,
  kOrderer,
  kIngress,
  kEvacuation,
  kKey,
  kResidency,
  kLimits,
  kRoute
};

enum class ValueType {
  kName,    // a path part
  kText,    // printable text
  kSha256,  // 64 lower-case hexadecimal digits
  kNames,   // a list of distinct names
  kNamesNotEmpty,
  kSubtrees,  // a list of distinct paths
  kBool,
  kCount,     // a whole number from 0 to `max`
  kPositive,  // a whole number from 1 to `max`
  kNumber,    // a number from 0 to `max`
  kKind,      // "model" or "service"
  kClass,
};

struct KeyRule {
  const char* name;
  ValueType type;
  bool required;
  double max;
};

struct PathRule {
  PathKind kind;
  std::vector<std::string> parts;  // "*" stands for any name
  std::vector<KeyRule> keys;
};

const std::vector<PathRule>& Rules() {
  static const std::vector<PathRule> rules = {
      {PathKind::kRegion,
       {"deployment", "regions", "*"},
       {{"domains", ValueType::kNames, true, 0},
        {"record_hosts", ValueType::kNames, true, 0},
        {"takeover", ValueType::kBool, false, 0}}},
      {PathKind::kOperator,
       {"deployment", "operators", "*"},
       {{"token_sha256", ValueType::kSha256, true, 0},
        {"subtrees", ValueType::kSubtrees, true, 0}}},
      {PathKind::kModel,
       {"deployment", "models", "*"},
       {{"version", ValueType::kText, true, 0},
        {"adapters", ValueType::kNames, false, 0},
        // With 100 no server could ever be taken out of service to load.
        {"min_available_percent", ValueType::kCount, false, 99},
        {"max_loading", ValueType::kPositive, false, kMaxLoading}}},
      {PathKind::kOrderer,
       {"deployment", "orderers", "*"},
       {{"host", ValueType::kName, true, 0},
        {"lease_ms", ValueType::kPositive, true, kMaxLeaseMs}}},
      // ValidateIngress() checks the keys.
      {PathKind::kIngress, {"deployment", "ingress"}, {}},
      {PathKind::kEvacuation,
       {"deployment", "evacuations", "*"},
       {{"evacuated", ValueType::kBool, true, 0}}},
      {PathKind::kKey, {"teams", "*", "keys", "*"}, {{"sha256", ValueType::kSha256, true, 0}}},
      {PathKind::kResidency,
       {"teams", "*", "residency"},
       {{"regions", ValueType::kNamesNotEmpty, true, 0}}},
      {PathKind::kLimits,
       {"teams", "*", "limits"},
       {{"requests_per_s", ValueType::kNumber, false, kMaxRequestsPerS},
        {"concurrency", ValueType::kCount, false, kMaxConcurrency},
        {"retry_percent", ValueType::kCount, false, 100}}},
      {PathKind::kRoute,
       {"teams", "*", "routes", "*"},
       {{"kind", ValueType::kKind, true, 0},
        {"model", ValueType::kText, false, 0},
        {"adapter", ValueType::kText, false, 0},
        {"version", ValueType::kText, false, 0},
        {"service", ValueType::kText, false, 0},
        {"regions", ValueType::kNamesNotEmpty, true, 0},
        {"home", ValueType::kName, false, 0},
        {"class", ValueType::kClass, false, 0},
        {"idempotent", ValueType::kBool, false, 0},
        {"key_from_body", ValueType::kBool, false, 0},
        {"deadline_ms", ValueType::kPositive, false, kMaxDeadlineMs},
        {"send_away", ValueType::kBool, false, 0},
        {"weight_latency", ValueType::kNumber, false, kMaxWeight},
        {"weight_cost", ValueType::kNumber, false, kMaxWeight},
        {"weight_remote", ValueType::kNumber, false, kMaxWeight}}},
  };
  return rules;
}

std::string Shown(std::string text) {
  if (text.size() > kMaxShownBytes) text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameBytes || text[0] == '.') return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

bool IsText(const std::string& text) {
  if (text.empty() || text.size() > kMaxTextBytes) return false;
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

bool IsSha256(const std::string& text) {
  return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// "/" or names that each follow a slash.
bool IsSubtree(const std::string& text) {
  if (text == "/") return true;
  if (text.empty() || text[0] != '/' || text.size() > kMaxPathBytes) return false;
  size_t start = 1;
  while (start <= text.size()) {
    size_t end = std::min(text.find('/', start), text.size());
    if (!IsName(text.substr(start, end - start))) return false;
    start = end + 1;
  }
  return true;
}

// The number of leading parts that the rule accepts.
size_t MatchingParts(const PathRule& rule, const std::vector<std::string>& parts) {
  size_t n = 0;
  while (n < rule.parts.size() && n < parts.size() &&
         (rule.parts[n] == "*" || rule.parts[n] == parts[n])) {
    ++n;
  }
  return n;
}

const PathRule* FindRule(const std::vector<std::string>& parts) {
  for (const PathRule& rule : Rules()) {
    if (parts.size() == rule.parts.size() && MatchingParts(rule, parts) == parts.size()) {
      return &rule;
    }
  }
  return nullptr;
}

std::string RulePath(const PathRule& rule) {
  std::string path;
  for (const std::string& part : rule.parts) path += part == "*" ? "/<name>" : "/" + part;
  return path;
}

SchemaIssue UnknownPath(const std::string& path, const std::vector<std::string>& parts) {
  size_t best = 0;
  for (const PathRule& rule : Rules()) best = std::max(best, MatchingParts(rule, parts));
  SchemaIssue issue;
  issue.value = Shown(path);
  std::vector<std::string> known;
  for (const PathRule& rule : Rules()) {
    if (MatchingParts(rule, parts) < best) continue;
    issue.allowed += (issue.allowed.empty() ? "" : ", ") + RulePath(rule);
    if (best < rule.parts.size()) known.push_back(rule.parts[best]);
  }
  if (best < parts.size()) issue.nearest = NearestWord(parts[best], known);
  return issue;
}

std::string Allowed(const KeyRule& rule) {
  std::string max = std::to_string(static_cast<int64_t>(rule.max));
  switch (rule.type) {
    case ValueType::kName:
      return "a name of letters, digits, '-', '_' and '.'";
    case ValueType::kText:
      return "a printable text of 1 to 256 bytes";
    case ValueType::kSha256:
      return "64 lower-case hexadecimal digits";
    case ValueType::kNames:
      return "a list of at most 256 distinct names";
    case ValueType::kNamesNotEmpty:
      return "a list of 1 to 256 distinct names";
    case ValueType::kSubtrees:
      return "a list of at most 256 distinct paths that start with '/'";
    case ValueType::kBool:
      return "true or false";
    case ValueType::kCount:
      return "a whole number from 0 to " + max;
    case ValueType::kPositive:
      return "a whole number from 1 to " + max;
    case ValueType::kNumber:
      return "a number from 0 to " + max;
    case ValueType::kKind:
      return "\"model\" or \"service\"";
    case ValueType::kClass:
      return "\"interactive\", \"check\" or \"chapter\"";
  }
  return "";
}

bool IsList(const Json& json, bool may_be_empty, bool (*is_item)(const std::string&)) {
  if (!json.is_array() || json.size() > kMaxListItems) return false;
  if (json.empty()) return may_be_empty;
  std::set<std::string> seen;
  return std::all_of(json.begin(), json.end(), [&](const Json& item) {
    return item.is_string() && is_item(item.get_ref<const std::string&>()) &&
           seen.insert(item.get<std::string>()).second;
  });
}

bool IsWhole(const Json& json, int64_t min, double max) {
  if (json.is_number_unsigned() && json.get<uint64_t>() > static_cast<uint64_t>(max)) return false;
  return json.is_number_integer() && json.get<int64_t>() >= min && json.get<int64_t>() <= max;
}

bool IsString(const Json& json, bool (*is_valid)(const std::string&)) {
  return json.is_string() && is_valid(json.get_ref<const std::string&>());
}

bool Matches(const KeyRule& rule, const Json& json) {
  switch (rule.type) {
    case ValueType::kName:
      return IsString(json, IsName);
    case ValueType::kText:
      return IsString(json, IsText);
    case ValueType::kSha256:
      return IsString(json, IsSha256);
    case ValueType::kNames:
      return IsList(json, true, IsName);
    case ValueType::kNamesNotEmpty:
      return IsList(json, false, IsName);
    case ValueType::kSubtrees:
      return IsList(json, true, IsSubtree);
    case ValueType::kBool:
      return json.is_boolean();
    case ValueType::kCount:
      return IsWhole(json, 0, rule.max);
    case ValueType::kPositive:
      return IsWhole(json, 1, rule.max);
    case ValueType::kNumber:
      return json.is_number() && std::isfinite(json.get<double>()) && json.get<double>() >= 0 &&
             json.get<double>() <= rule.max;
    case ValueType::kKind:
      return json == "model" || json == "service";
    case ValueType::kClass:
      return json == "interactive" || json == "check" || json == "chapter";
  }
  return false;
}

void CheckKeys(const PathRule& rule, const Json& json, std::vector<SchemaIssue>* issues) {
  std::vector<std::string> known;
  for (const KeyRule& key : rule.keys) known.emplace_back(key.name);
  for (const auto& [name, value] : json.items()) {
    auto key = std::find_if(rule.keys.begin(), rule.keys.end(),
                            [&name = name](const KeyRule& k) { return name == k.name; });
    if (key == rule.keys.end()) {
      std::string all;
      for (const std::string& word : known) all += (all.empty() ? "" : ", ") + word;
      issues->push_back({Shown(name), Shown(Dump(value)), all, NearestWord(name, known)});
    } else if (!Matches(*key, value)) {
      issues->push_back({name, Shown(Dump(value)), Allowed(*key), ""});
    }
  }
  for (const KeyRule& key : rule.keys) {
    if (key.required && !json.contains(key.name)) {
      issues->push_back({key.name, "(missing)", Allowed(key), ""});
    }
  }
}

void CheckRoute(const Json& json, std::vector<SchemaIssue>* issues) {
  bool is_model = json.at("kind") == "model";
  const char* needed = is_model ? "model" : "service";
  if (!json.contains(needed)) {
    issues->push_back({needed, "(missing)", std::string("required for this kind of route"), ""});
  }
  std::vector<std::string> excluded = {"service"};
  if (!is_model) excluded = {"model", "adapter", "version"};
  for (const std::string& key : excluded) {
    if (json.contains(key)) {
      issues->push_back({key, Shown(Dump(json[key])), "absent for this kind of route", ""});
    }
  }
  if (json.contains("home")) {
    const Json& regions = json.at("regions");
    if (std::find(regions.begin(), regions.end(), json["home"]) == regions.end()) {
      issues->push_back({"home", Shown(Dump(json["home"])), "one of \"regions\"", ""});
    }
  }
}

// Parses an object. A key that is given twice is an issue: parsers differ in which one they take.
std::optional<Json> ParseObject(std::string_view text, std::vector<SchemaIssue>* issues) {
  std::vector<std::set<std::string>> open;
  std::string repeated;
  auto callback = [&](int /*depth*/, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) open.emplace_back();
    if (event == Json::parse_event_t::object_end) open.pop_back();
    if (event == Json::parse_event_t::key &&
        !open.back().insert(parsed.get<std::string>()).second) {
      repeated = parsed.get<std::string>();
    }
    return true;
  };
  Json json = Json::parse(text.begin(), text.end(), callback, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    issues->push_back({"", Shown(std::string(text)), "a JSON object", ""});
    return std::nullopt;
  }
  if (!repeated.empty()) {
    issues->push_back({Shown(repeated), "(given twice)", "each key once", ""});
    return std::nullopt;
  }
  return json;
}

// ---- checks against other paths

Json ParseStored(const std::optional<std::string>& text) {
  if (!text) return Json::object();
  Json json = Json::parse(*text, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json::object();
}

std::set<std::string> StringsOf(const Json& json, const char* key) {
  std::set<std::string> found;
  if (!json.contains(key) || !json[key].is_array()) return found;
  for (const Json& item : json[key]) {
    if (item.is_string()) found.insert(item.get<std::string>());
  }
  return found;
}

std::vector<std::string> KnownRegions(const TreeReader& tree) {
  std::vector<std::string> known;
  const std::string prefix = "/deployment/regions";
  tree.Visit(prefix, [&](const std::string& path, const std::string& /*value*/) {
    known.push_back(path.substr(prefix.size() + 1));
  });
  return known;
}

std::string JoinWords(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
  return all.empty() ? "(none)" : all;
}

void CheckRegionsKnown(const TreeReader& tree, const Json& json, std::vector<SchemaIssue>* issues) {
  std::vector<std::string> known = KnownRegions(tree);
  for (const std::string& region : StringsOf(json, "regions")) {
    if (std::find(known.begin(), known.end(), region) != known.end()) continue;
    issues->push_back({"regions", region, "a region under /deployment/regions: " + JoinWords(known),
                       NearestWord(region, known)});
  }
}

void CheckRouteInTree(const TreeReader& tree, const std::string& team, const Json& json,
                      std::vector<SchemaIssue>* issues) {
  CheckRegionsKnown(tree, json, issues);
  std::string path = "/teams/" + team + "/residency";
  std::optional<std::string> residency = tree.Find(path);
  if (!residency) {
    issues->push_back({"regions", Dump(json["regions"]), "set " + path + " first", ""});
    return;
  }
  std::set<std::string> allowed = StringsOf(ParseStored(residency), "regions");
  for (const std::string& region : StringsOf(json, "regions")) {
    if (allowed.count(region) != 0) continue;
    issues->push_back({"regions", region,
                       "a region of " + path + ": " +
                           JoinWords(std::vector<std::string>(allowed.begin(), allowed.end())),
                       ""});
  }
}

// Every route of the team stays within the new residency; without one there are no routes.
void CheckRoutesWithin(const TreeReader& tree, const std::string& team, const Json& residency,
                       std::vector<SchemaIssue>* issues) {
  std::set<std::string> allowed = StringsOf(residency, "regions");
  tree.Visit("/teams/" + team + "/routes", [&](const std::string& path, const std::string& value) {
    for (const std::string& region : StringsOf(ParseStored(value), "regions")) {
      if (allowed.count(region) != 0) continue;
      issues->push_back({"regions", region, "kept while " + path + " uses it", ""});
    }
  });
}

// No residency or route names the region; routes stay within residencies, so these are enough.
void CheckRegionUnused(const TreeReader& tree, const std::string& region,
                       std::vector<SchemaIssue>* issues) {
  tree.Visit("/teams", [&](const std::string& path, const std::string& value) {
    const std::string suffix = "/residency";
    bool is_residency = path.size() > suffix.size() &&
                        path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (!is_residency || !issues->empty()) return;
    if (StringsOf(ParseStored(value), "regions").count(region) == 0) return;
    issues->push_back({"", region, "kept while " + path + " uses it", ""});
  });
}

void CheckDomainsFree(const TreeReader& tree, const std::string& own_path, const Json& json,
                      std::vector<SchemaIssue>* issues) {
  std::set<std::string> own = StringsOf(json, "domains");
  if (own.empty()) return;
  tree.Visit("/deployment/regions", [&](const std::string& path, const std::string& value) {
    if (path == own_path) return;
    for (const std::string& domain : StringsOf(ParseStored(value), "domains")) {
      if (own.count(domain) == 0) continue;
      issues->push_back(
          {"domains", domain, "a failure domain of one region only; see " + path, ""});
    }
  });
}

void CheckKeyFree(const TreeReader& tree, const std::string& own_path, const Json& json,
                  std::vector<SchemaIssue>* issues) {
  std::string hash = json["sha256"].get<std::string>();
  tree.Visit("/teams", [&](const std::string& path, const std::string& value) {
    if (path == own_path || path.find("/keys/") == std::string::npos) return;
    if (value.find(hash) == std::string::npos) return;
    // Does not name the other path: it may belong to another team.
    issues->push_back({"sha256", hash, "the hash of a key that is not in use", ""});
  });
}

}  // namespace

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  size_t start = 1;
  while (start <= path.size()) {
    size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::string NearestWord(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  size_t best_distance = 1 + std::max<size_t>(2, word.size() / 3);
  if (word.size() > kMaxNameBytes) return best;
  for (const std::string& candidate : known) {
    if (candidate == "*") continue;
    std::vector<size_t> row(candidate.size() + 1);
    for (size_t j = 0; j <= candidate.size(); ++j) row[j] = j;
    for (size_t i = 1; i <= word.size(); ++i) {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= candidate.size(); ++j) {
        size_t substituted = diagonal + (word[i - 1] == candidate[j - 1] ? 0 : 1);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
      }
    }
    if (row.back() < best_distance) {
      best_distance = row.back();
      best = candidate;
    }
  }
  return best;
}

std::vector<SchemaIssue> ValidatePath(const std::string& path) {
  if (path.empty() || path[0] != '/' || path.size() > kMaxPathBytes) {
    return {{"", Shown(path), "a path of at most 512 bytes that starts with '/'", ""}};
  }
  std::vector<std::string> parts = SplitPath(path);
  const PathRule* rule = FindRule(parts);
  if (rule == nullptr) return {UnknownPath(path, parts)};
  for (const std::string& part : parts) {
    if (!IsName(part)) {
      return {
          {"", Shown(part), "parts of letters, digits, '-', '_' and '.', at most 128 bytes", ""}};
    }
  }
  return {};
}

std::vector<SchemaIssue> Validate(const std::string& path, std::string_view json) {
  std::vector<SchemaIssue> issues = ValidatePath(path);
  if (!issues.empty()) return issues;
  size_t limit = MaxValueBytes(path);
  if (json.size() > limit) {
    return {{"", std::to_string(json.size()) + " bytes",
             "a value of at most " + std::to_string(limit) + " bytes", ""}};
  }
  std::optional<Json> value = ParseObject(json, &issues);
  if (!value) return issues;
  const PathRule* rule = FindRule(SplitPath(path));
  if (rule->kind == PathKind::kIngress) return ValidateIngress(*value);
  CheckKeys(*rule, *value, &issues);
  if (issues.empty() && rule->kind == PathKind::kRoute) CheckRoute(*value, &issues);
  return issues;
}

std::vector<SchemaIssue> ValidateInTree(const TreeReader& tree, const std::string& path,
                                        const std::optional<std::string>& value) {
  std::vector<SchemaIssue> issues;
  std::vector<std::string> parts = SplitPath(path);
  Json json = ParseStored(value);
  switch (FindRule(parts)->kind) {
    case PathKind::kRegion:
      if (value) {
        CheckDomainsFree(tree, path, json, &issues);
      } else {
        CheckRegionUnused(tree, parts[2], &issues);
      }
      break;
    case PathKind::kKey:
      if (value) CheckKeyFree(tree, path, json, &issues);
      break;
    case PathKind::kResidency:
      if (value) CheckRegionsKnown(tree, json, &issues);
      CheckRoutesWithin(tree, parts[1], json, &issues);
      break;
    case PathKind::kRoute:
      if (value) CheckRouteInTree(tree, parts[1], json, &issues);
      break;
    case PathKind::kOperator:
    case PathKind::kModel:
    case PathKind::kOrderer:
    case PathKind::kIngress:
    case PathKind::kEvacuation:
    case PathKind::kLimits:
      break;
  }
  return issues;
}

std::string DescribeIssues(const std::string& path, const std::vector<SchemaIssue>& issues) {
  std::string text = path + ": ";
  for (size_t i = 0; i < issues.size(); ++i) {
    const SchemaIssue& issue = issues[i];
    if (i > 0) text += "; ";
    text += issue.key.empty() ? issue.value : issue.key + " = " + issue.value;
    text += " is not valid (allowed: " + issue.allowed + ")";
    if (!issue.nearest.empty()) text += ", did you mean \"" + issue.nearest + "\"?";
  }
  return text;
}

}  // namespace ebonylift
