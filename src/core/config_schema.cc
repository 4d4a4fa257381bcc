#include "core/config_schema.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "core/ingress.h"
#include "core/json_range.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxTextBytes = 256;
constexpr size_t kMaxListItems = 256;
constexpr size_t kMaxDisplayedBytes = 100;
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
  kHedging,
  kKey,
  kResidency,
  kLimits,
  kRoute
};

enum class ValueType {
  kName,    // an identifier, as in a path segment
  kText,    // printable text
  kSha256,  // 64 lower-case hexadecimal digits
  kNames,   // a list of distinct names, possibly empty
  kNamesNotEmpty,
  kSubtrees,  // a list of distinct paths
  kBool,
  kCount,     // an integer from 0 to `max`
  kPositive,  // an integer from 1 to `max`
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
  std::vector<std::string> segments;  // "*" matches any name
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
        // At 100 no server could ever be taken out of service to load a model.
        {"min_available_percent", ValueType::kCount, false, 99},
        {"max_loading", ValueType::kPositive, false, kMaxLoading}}},
      {PathKind::kOrderer,
       {"deployment", "orderers", "*"},
       {{"host", ValueType::kName, true, 0},
        {"lease_ms", ValueType::kPositive, true, kMaxLeaseMs}}},
      // The value is a document that ValidateIngress() checks.
      {PathKind::kIngress, {"deployment", "ingress"}, {}},
      {PathKind::kEvacuation,
       {"deployment", "evacuations", "*"},
       {{"evacuated", ValueType::kBool, true, 0}}},
      {PathKind::kHedging,
       {"deployment", "hedging"},
       {{"max_request_percent", ValueType::kCount, true, 100},
        {"max_token_percent", ValueType::kCount, false, 100}}},
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
        {"hedge", ValueType::kBool, false, 0},
        {"weight_latency", ValueType::kNumber, false, kMaxWeight},
        {"weight_cost", ValueType::kNumber, false, kMaxWeight},
        {"weight_remote", ValueType::kNumber, false, kMaxWeight}}},
  };
  return rules;
}

std::string Truncate(std::string text) {
  if (text.size() > kMaxDisplayedBytes) text = text.substr(0, kMaxDisplayedBytes) + "...";
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

// Accepts "/", or a path in which every segment is a name.
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

// Returns the number of leading path segments that match the rule.
size_t CountMatchingSegments(const PathRule& rule, const std::vector<std::string>& segments) {
  size_t n = 0;
  while (n < rule.segments.size() && n < segments.size() &&
         (rule.segments[n] == "*" || rule.segments[n] == segments[n])) {
    ++n;
  }
  return n;
}

const PathRule* FindRule(const std::vector<std::string>& segments) {
  for (const PathRule& rule : Rules()) {
    if (segments.size() == rule.segments.size() &&
        CountMatchingSegments(rule, segments) == segments.size()) {
      return &rule;
    }
  }
  return nullptr;
}

std::string RulePath(const PathRule& rule) {
  std::string path;
  for (const std::string& name : rule.segments) path += name == "*" ? "/<name>" : "/" + name;
  return path;
}

SchemaIssue UnknownPath(const std::string& path, const std::vector<std::string>& segments) {
  size_t best = 0;
  for (const PathRule& rule : Rules()) best = std::max(best, CountMatchingSegments(rule, segments));
  SchemaIssue issue;
  issue.value = Truncate(path);
  std::vector<std::string> known;
  for (const PathRule& rule : Rules()) {
    if (CountMatchingSegments(rule, segments) < best) continue;
    issue.allowed += (issue.allowed.empty() ? "" : ", ") + RulePath(rule);
    if (best < rule.segments.size()) known.push_back(rule.segments[best]);
  }
  if (best < segments.size()) issue.nearest = NearestWord(segments[best], known);
  return issue;
}

std::string DescribeAllowed(const KeyRule& rule) {
  std::string max = std::to_string(static_cast<int64_t>(rule.max));
  switch (rule.type) {
    case ValueType::kName:
      return "a name of letters, digits, '-', '_' and '.'";
    case ValueType::kText:
      return "printable text of 1 to 256 bytes";
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
      return "an integer from 0 to " + max;
    case ValueType::kPositive:
      return "an integer from 1 to " + max;
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
      return IsIntegerInRange(json, 0, static_cast<int64_t>(rule.max));
    case ValueType::kPositive:
      return IsIntegerInRange(json, 1, static_cast<int64_t>(rule.max));
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
      issues->push_back({Truncate(name), Truncate(Dump(value)), all, NearestWord(name, known)});
    } else if (!Matches(*key, value)) {
      issues->push_back({name, Truncate(Dump(value)), DescribeAllowed(*key), ""});
    }
  }
  for (const KeyRule& key : rule.keys) {
    if (key.required && !json.contains(key.name)) {
      issues->push_back({key.name, "(missing)", DescribeAllowed(key), ""});
    }
  }
}

void CheckRoute(const Json& json, std::vector<SchemaIssue>* issues) {
  bool is_model = json.at("kind") == "model";
  const char* required_key = is_model ? "model" : "service";
  if (!json.contains(required_key)) {
    issues->push_back(
        {required_key, "(missing)", std::string("a value, required for this kind of route"), ""});
  }
  std::vector<std::string> disallowed_keys = {"service"};
  if (!is_model) disallowed_keys = {"model", "adapter", "version"};
  for (const std::string& key : disallowed_keys) {
    if (json.contains(key)) {
      issues->push_back({key, Truncate(Dump(json[key])), "no value for this kind of route", ""});
    }
  }
  if (json.contains("home")) {
    const Json& regions = json.at("regions");
    if (std::find(regions.begin(), regions.end(), json["home"]) == regions.end()) {
      issues->push_back(
          {"home", Truncate(Dump(json["home"])), "one of the route's \"regions\"", ""});
    }
  }
}

SchemaIssue NotAnObject(const std::string& text) {
  return {"", Truncate(text), "a JSON object", ""};
}

// Parses an object. Reports a duplicate key as an issue, because parsers differ in which occurrence
// they use.
std::optional<Json> ParseObject(std::string_view text, std::vector<SchemaIssue>* issues) {
  std::vector<std::set<std::string>> open_objects;
  std::string duplicate_key;
  auto callback = [&](int /*depth*/, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == Json::parse_event_t::object_end) open_objects.pop_back();
    if (event == Json::parse_event_t::key &&
        !open_objects.back().insert(parsed.get<std::string>()).second) {
      duplicate_key = parsed.get<std::string>();
    }
    return true;
  };
  Json json = Json::parse(text.begin(), text.end(), callback, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    issues->push_back(NotAnObject(std::string(text)));
    return std::nullopt;
  }
  if (!duplicate_key.empty()) {
    issues->push_back({Truncate(duplicate_key), "(duplicate key)", "each key once", ""});
    return std::nullopt;
  }
  return json;
}

// ---- validation against other paths

Json ParseStored(const std::optional<std::string>& text) {
  if (!text) return Json::object();
  Json json = Json::parse(*text, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json::object();
}

std::set<std::string> GetStringSet(const Json& json, const char* key) {
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
  for (const std::string& region : GetStringSet(json, "regions")) {
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
    issues->push_back({"regions", Dump(json["regions"]), "none until " + path + " is set", ""});
    return;
  }
  std::set<std::string> allowed = GetStringSet(ParseStored(residency), "regions");
  for (const std::string& region : GetStringSet(json, "regions")) {
    if (allowed.count(region) != 0) continue;
    issues->push_back({"regions", region,
                       "a region listed in " + path + ": " +
                           JoinWords(std::vector<std::string>(allowed.begin(), allowed.end())),
                       ""});
  }
}

// Checks that every route of the team stays within the new residency. A residency can be deleted
// only if the team has no routes.
void CheckRoutesWithinResidency(const TreeReader& tree, const std::string& team,
                                const Json& residency, std::vector<SchemaIssue>* issues) {
  std::set<std::string> allowed = GetStringSet(residency, "regions");
  tree.Visit("/teams/" + team + "/routes", [&](const std::string& path, const std::string& value) {
    for (const std::string& region : GetStringSet(ParseStored(value), "regions")) {
      if (allowed.count(region) != 0) continue;
      issues->push_back(
          {"regions", region, "a list that keeps this region, which " + path + " uses", ""});
    }
  });
}

// Checks that no residency names the region. Routes need no check because they stay within the
// residency of their team.
void CheckRegionUnused(const TreeReader& tree, const std::string& region,
                       std::vector<SchemaIssue>* issues) {
  tree.Visit("/teams", [&](const std::string& path, const std::string& value) {
    const std::string suffix = "/residency";
    bool is_residency = path.size() > suffix.size() &&
                        path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (!is_residency || !issues->empty()) return;
    if (GetStringSet(ParseStored(value), "regions").count(region) == 0) return;
    issues->push_back(
        {"", region, "the deletion of a region not in use; " + path + " uses this one", ""});
  });
}

void CheckDomainsUnassigned(const TreeReader& tree, const std::string& own_path, const Json& json,
                            std::vector<SchemaIssue>* issues) {
  std::set<std::string> new_domains = GetStringSet(json, "domains");
  if (new_domains.empty()) return;
  tree.Visit("/deployment/regions", [&](const std::string& path, const std::string& value) {
    if (path == own_path) return;
    for (const std::string& domain : GetStringSet(ParseStored(value), "domains")) {
      if (new_domains.count(domain) == 0) continue;
      issues->push_back(
          {"domains", domain, "a failure domain that no other region has; see " + path, ""});
    }
  });
}

void CheckKeyUnused(const TreeReader& tree, const std::string& own_path, const Json& json,
                    std::vector<SchemaIssue>* issues) {
  std::string hash = json["sha256"].get<std::string>();
  tree.Visit("/teams", [&](const std::string& path, const std::string& value) {
    if (path == own_path || path.find("/keys/") == std::string::npos) return;
    if (value.find(hash) == std::string::npos) return;
    // The issue does not name the other path, which may belong to another team.
    issues->push_back({"sha256", hash, "the hash of a key that is not in use", ""});
  });
}

}  // namespace

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  size_t start = 1;
  while (start <= path.size()) {
    size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
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
    return {{"", Truncate(path), "a path of at most 512 bytes that starts with '/'", ""}};
  }
  std::vector<std::string> segments = SplitPath(path);
  const PathRule* rule = FindRule(segments);
  if (rule == nullptr) return {UnknownPath(path, segments)};
  for (const std::string& segment : segments) {
    if (!IsName(segment)) {
      return {{"", Truncate(segment),
               "segments of letters, digits, '-', '_' and '.', at most 128 bytes each", ""}};
    }
  }
  return {};
}

namespace {

std::vector<SchemaIssue> ValidatePathAndSize(const std::string& path, size_t bytes) {
  std::vector<SchemaIssue> issues = ValidatePath(path);
  if (!issues.empty()) return issues;
  size_t limit = MaxValueBytes(path);
  if (bytes <= limit) return {};
  return {{"", std::to_string(bytes) + " bytes",
           "a value of at most " + std::to_string(limit) + " bytes", ""}};
}

std::vector<SchemaIssue> ValidateObject(const std::string& path, const Json& value) {
  const PathRule* rule = FindRule(SplitPath(path));
  if (rule->kind == PathKind::kIngress) return ValidateIngress(value);
  std::vector<SchemaIssue> issues;
  CheckKeys(*rule, value, &issues);
  if (issues.empty() && rule->kind == PathKind::kRoute) CheckRoute(value, &issues);
  return issues;
}

}  // namespace

std::vector<SchemaIssue> Validate(const std::string& path, std::string_view json) {
  std::vector<SchemaIssue> issues = ValidatePathAndSize(path, json.size());
  if (!issues.empty()) return issues;
  std::optional<Json> value = ParseObject(json, &issues);
  if (!value) return issues;
  return ValidateObject(path, *value);
}

std::vector<SchemaIssue> ValidateParsed(const std::string& path, const Json& value, size_t bytes) {
  std::vector<SchemaIssue> issues = ValidatePathAndSize(path, bytes);
  if (!issues.empty()) return issues;
  if (!value.is_object()) return {NotAnObject(value.dump())};
  return ValidateObject(path, value);
}

std::vector<SchemaIssue> ValidateInTree(const TreeReader& tree, const std::string& path,
                                        const std::optional<SharedText>& value) {
  std::vector<SchemaIssue> issues;
  std::vector<std::string> segments = SplitPath(path);
  PathKind kind = FindRule(segments)->kind;
  // The documents of this kind are large and depend on no other path.
  if (kind == PathKind::kIngress) return issues;
  Json json = value ? ParseStored(value->text()) : Json::object();
  switch (kind) {
    case PathKind::kRegion:
      if (value) {
        CheckDomainsUnassigned(tree, path, json, &issues);
      } else {
        CheckRegionUnused(tree, segments[2], &issues);
      }
      break;
    case PathKind::kKey:
      if (value) CheckKeyUnused(tree, path, json, &issues);
      break;
    case PathKind::kResidency:
      if (value) CheckRegionsKnown(tree, json, &issues);
      CheckRoutesWithinResidency(tree, segments[1], json, &issues);
      break;
    case PathKind::kRoute:
      if (value) CheckRouteInTree(tree, segments[1], json, &issues);
      break;
    case PathKind::kOperator:
    case PathKind::kModel:
    case PathKind::kOrderer:
    case PathKind::kIngress:
    case PathKind::kEvacuation:
    case PathKind::kHedging:
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
