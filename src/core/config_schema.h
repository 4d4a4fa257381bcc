#ifndef EBONYLIFT_CORE_CONFIG_SCHEMA_H_
#define EBONYLIFT_CORE_CONFIG_SCHEMA_H_

// The schema of the configuration: which paths exist and which values they take.
//
// The leader checks every put before it proposes it, so a replica never holds a value that its
// leader's schema refused. All functions are pure and thread safe.
//
//   /deployment/regions/<region>    domains, record_hosts, takeover
//   /deployment/operators/<name>    token_sha256, subtrees
//   /deployment/models/<model>      version, adapters, min_available_percent, max_loading
//   /deployment/orderers/<domain>   host, lease_ms; written by the hosts, not by operators
//   /teams/<team>/keys/<name>       sha256
//   /teams/<team>/residency         regions
//   /teams/<team>/limits            requests_per_s, concurrency, retry_percent
//   /teams/<team>/routes/<route>    kind, model, adapter, version, service, regions, home, class,
//                                   idempotent, key_from_body, deadline_ms, send_away,
//                                   weight_latency, weight_cost, weight_remote

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config_tree.h"

namespace ebonylift {

struct SchemaIssue {
  std::string key;      // of the value; empty when the path or the whole value is at fault
  std::string value;    // as given, cut to 100 bytes
  std::string allowed;  // what is allowed instead
  std::string nearest;  // for an unknown key or path part: the nearest known one, else empty
  friend bool operator==(const SchemaIssue& a, const SchemaIssue& b) {
    return std::tie(a.key, a.value, a.allowed, a.nearest) ==
           std::tie(b.key, b.value, b.allowed, b.nearest);
  }
};

// The parts of a path between its slashes. Precondition: the path starts with '/'.
std::vector<std::string> SplitPath(const std::string& path);

// Checks a path and its value without looking at other paths. Empty: valid.
std::vector<SchemaIssue> Validate(const std::string& path, std::string_view json);

// Checks the path only, for deletions.
std::vector<SchemaIssue> ValidatePath(const std::string& path);

// A tree with changes on top that are proposed but not applied yet.
class TreeReader {
 public:
  virtual ~TreeReader() = default;
  // The value at `path`.
  virtual std::optional<std::string> Find(const std::string& path) const = 0;
  // Calls `fn` for every existing path at or below `prefix`.
  virtual void Visit(
      const std::string& prefix,
      const std::function<void(const std::string& path, const std::string& value)>& fn) const = 0;
};

// Checks a put that passed Validate() or ValidatePath() against the other paths: the regions of a
// residency or route are known, a route stays within the residency of its team, a region or
// residency that is in use is not removed, a failure domain is in one region and a key belongs to
// one team.
std::vector<SchemaIssue> ValidateInTree(const TreeReader& tree, const std::string& path,
                                        const std::optional<std::string>& value);

// One sentence for each issue, for people.
std::string DescribeIssues(const std::string& path, const std::vector<SchemaIssue>& issues);

// The known word with the smallest edit distance, or empty when none is close enough to be meant.
std::string NearestWord(const std::string& word, const std::vector<std::string>& known);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_SCHEMA_H_
