#ifndef EBONYLIFT_CORE_CONFIG_SCHEMA_H_
#define EBONYLIFT_CORE_CONFIG_SCHEMA_H_

// The schema of the configuration tree: the valid paths and the values that each accepts.
//
// The leader validates every put before proposing it, so a replica never stores a value that its
// leader's schema rejects. All functions are pure and thread-safe.
//
//   /deployment/regions/<region>      domains, record_hosts, takeover
//   /deployment/operators/<name>      token_sha256, subtrees
//   /deployment/models/<model>        version, adapters, min_available_percent, max_loading
//   /deployment/orderers/<domain>     host, lease_ms; written by the hosts, not by operators
//   /deployment/ingress               one document; see core/ingress.h
//   /deployment/evacuations/<domain>  evacuated
//   /deployment/hedging               max_request_percent, max_token_percent
//   /teams/<team>/keys/<name>         sha256
//   /teams/<team>/residency           regions
//   /teams/<team>/limits              requests_per_s, concurrency, retry_percent
//   /teams/<team>/routes/<route>      kind, model, adapter, version, service, regions, home, class,
//                                     idempotent, key_from_body, deadline_ms, send_away,
//                                     hedge, weight_latency, weight_cost, weight_remote

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config_tree.h"

namespace ebonylift {

struct SchemaIssue {
  std::string key;      // the offending key; empty if the path or the value as a whole is invalid
  std::string value;    // the rejected value, truncated to 100 bytes
  std::string allowed;  // a description of what is accepted instead
  std::string nearest;  // for an unknown key or path segment: the result of NearestWord()
  friend bool operator==(const SchemaIssue& a, const SchemaIssue& b) {
    return std::tie(a.key, a.value, a.allowed, a.nearest) ==
           std::tie(b.key, b.value, b.allowed, b.nearest);
  }
};

// Returns the segments of a path, which slashes separate. Precondition: `path` starts with '/'.
std::vector<std::string> SplitPath(const std::string& path);

// Validates a path and its value without reading other paths. Returns no issues if they are valid.
std::vector<SchemaIssue> Validate(const std::string& path, std::string_view json);

// As Validate(), for a value that is parsed already; `bytes` is the size of its text.
std::vector<SchemaIssue> ValidateParsed(const std::string& path, const nlohmann::json& value,
                                        size_t bytes);

// Validates only the path, for deletions.
std::vector<SchemaIssue> ValidatePath(const std::string& path);

// Reads the configuration tree as it will be once all proposed puts are applied.
class TreeReader {
 public:
  virtual ~TreeReader() = default;
  // Returns the value at `path`, or nullopt if the path does not exist.
  virtual std::optional<std::string> Find(const std::string& path) const = 0;
  // Calls `fn` for every existing path at or below `prefix`.
  virtual void Visit(
      const std::string& prefix,
      const std::function<void(const std::string& path, const std::string& value)>& fn) const = 0;
};

// Validates a put that passed Validate(), or a deletion that passed ValidatePath(), against the
// other paths:
//  - the regions of a residency or route are known;
//  - a route stays within the residency of its team;
//  - a region or residency that is in use is not removed;
//  - a failure domain is in one region, and a key belongs to one team.
std::vector<SchemaIssue> ValidateInTree(const TreeReader& tree, const std::string& path,
                                        const std::optional<SharedText>& value);

// Formats the issues as human-readable text.
std::string DescribeIssues(const std::string& path, const std::vector<SchemaIssue>& issues);

// Returns the known word with the smallest edit distance to `word`, or an empty string if none is
// close enough to be what the writer intended.
std::string NearestWord(const std::string& word, const std::vector<std::string>& known);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_SCHEMA_H_
