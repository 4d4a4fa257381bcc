#ifndef EBONYLIFT_CORE_WORKSPACES_H_
#define EBONYLIFT_CORE_WORKSPACES_H_

// The workspaces of the document of routes (core/ingress.h) and the keys of their callers.
//
// Format of the list, of which `rank`, `limit` and the members of `limit` are optional:
//
//   [{"name", "key_digests": [SHA-256 of a key in hex, ...], "regions": [...], "rank",
//     "limit": {"per_s", "burst", "unit": "requests"|"tokens", "plain_cost"}}]
//
// A key is only known by its digest, so neither a table nor an error message contains one. All
// functions are pure and thread-safe. Memory: 28,000 workspaces of two keys take about 11 MB; a
// table shares with the previous one what is equal in both.

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"
#include "base/shared_map.h"
#include "core/config_schema.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxWorkspaces = 100'000;
constexpr double kMaxWorkspaceLimit = 1e12;  // of all numbers of a limit
constexpr int kMaxWorkspaceRank = 1'000'000;

using WorkspaceEntry = std::shared_ptr<const WorkspaceConfig>;

// Finds workspaces by the digests of their keys. Immutable; a copy shares the entries. They are
// distributed by the first bits of the digest over sorted lists of a few entries each, so that a
// search reads two or three places in memory, and tables share the lists that are equal.
class WorkspaceKeys {
 public:
  struct Key {
    Sha256Digest digest;
    WorkspaceEntry workspace;
    friend bool operator==(const Key& a, const Key& b) {
      return a.digest == b.digest && a.workspace == b.workspace;
    }
  };

  WorkspaceKeys() = default;
  // Of several equal digests the first is kept. Shares with `previous`.
  WorkspaceKeys(std::vector<Key> keys, const WorkspaceKeys& previous);

  // Returns null if there is no such key.
  const WorkspaceConfig* Find(const Sha256Digest& digest) const;
  size_t size() const { return size_; }

 private:
  using List = std::vector<Key>;
  static constexpr size_t kLists = 4096;
  static size_t ListIndex(const Sha256Digest& digest);

  std::vector<std::shared_ptr<const List>> lists_;  // null: no keys
  size_t size_ = 0;
};

struct WorkspaceTable {
  SharedMap<WorkspaceId, WorkspaceEntry> by_id;
  WorkspaceKeys by_key;

  // Whether the document has no workspaces, so that callers need no keys.
  bool empty() const { return by_id.empty(); }
};

// Returns whether the name of a workspace can be the value of a header: it is not empty and has
// neither control characters nor spaces at its ends.
bool IsWorkspaceName(const std::string& name);

// Returns no issues if the list is valid. Besides missing and ill-typed keys, reports a workspace
// without a name, with an invalid one or with that of another, a key of two workspaces, and numbers
// that are out of range. Reports at most 20.
std::vector<SchemaIssue> ValidateWorkspaces(const nlohmann::json& list);

// Parses the list; shares with `previous`, which may be null and must outlive the call, what is
// equal. Precondition: ValidateWorkspaces() returns no issues; otherwise throws
// nlohmann::json::exception.
WorkspaceTable ParseWorkspaces(const nlohmann::json& list, const WorkspaceTable* previous);

// Returns the workspace that the key with this digest belongs to, or null if there is none. The
// pointer is valid as long as the table. The time depends on the digest only, from which the
// key cannot be guessed.
const WorkspaceConfig* FindWorkspace(const WorkspaceTable& table, const Sha256Digest& key);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_WORKSPACES_H_
