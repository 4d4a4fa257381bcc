#ifndef EBONYLIFT_CORE_CONFIG_TREE_H_
#define EBONYLIFT_CORE_CONFIG_TREE_H_

// The configuration tree: paths with JSON values, the revision that set each path, the most recent
// changes, and the results of the most recent requests by request id.
//
// The tree is the state machine of the consensus protocol: the result of ApplyPut() depends only on
// its arguments, so equal sequences of puts produce equal trees. For this reason the schema is not
// checked here: two versions of the program could disagree on it. The leader validates each put
// before proposing it.
//
// Values of kMinDifferenceBytes or more are logged, kept in the history and sent to other hosts as
// the difference from the value that they replace (core/value_difference.h), and snapshots hold
// them compressed. So memory and bytes depend on what changes, not on the number of revisions
// times the size of a value.
//
// Memory: entries of at most MaxValueBytes() each; a history of at most kMaxHistory changes and
// kMaxHistoryBytes; at most kMaxRequests request results and kMaxRequestBytes. The oldest changes
// and results are evicted first.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ports/control_port.h"

namespace ebonylift {

// The value at this path is one document with its own size limit; see core/ingress.h.
inline constexpr char kIngressPath[] = "/deployment/ingress";
constexpr size_t kMaxPathBytes = 512;
constexpr size_t kMaxValueBytes = 64 << 10;
constexpr size_t kMaxDocumentBytes = 4 << 20;  // of the document at kIngressPath
constexpr size_t kMinDifferenceBytes = 4 << 10;
constexpr size_t kMaxHistory = 10'000;
constexpr size_t kMaxHistoryBytes = 4 << 20;
constexpr size_t kMaxRequests = 10'000;
constexpr size_t kMaxRequestBytes = 8 << 20;

enum class PutOutcome : uint8_t {
  kApplied,
  kConflict,   // the path's revision differs from the put's base revision
  kInvalid,    // the put deletes a path that does not exist, or exceeds a size limit
  kDuplicate,  // the put was processed before; `original_outcome` holds its outcome
  kIdReused,   // the request id belongs to a different change
};

struct PutResult {
  PutOutcome outcome = PutOutcome::kInvalid;
  // For kDuplicate: the outcome of the original put.
  PutOutcome original_outcome = PutOutcome::kInvalid;
  uint64_t revision = 0;  // the new revision, or the path's on a conflict
  // Set on a conflict if the path exists. Not set for a resent put with a large current value,
  // which is not kept with the result.
  std::optional<SharedText> current_value;
  friend bool operator==(const PutResult& a, const PutResult& b) {
    return std::tie(a.outcome, a.original_outcome, a.revision, a.current_value) ==
           std::tie(b.outcome, b.original_outcome, b.revision, b.current_value);
  }
};

struct TreeEntry {
  SharedText value;       // JSON text
  uint64_t revision = 0;  // the tree revision that set the value
  friend bool operator==(const TreeEntry& a, const TreeEntry& b) {
    return std::tie(a.value, a.revision) == std::tie(b.value, b.revision);
  }
};

// An accepted change as replicas keep it and send it to each other.
struct StoredChange {
  uint64_t revision = 0;
  std::string path;
  // The value, or its difference from the value that it replaced; std::nullopt: the path was
  // deleted.
  std::optional<std::string> data;
  bool is_difference = false;
  std::string operator_name;
  WallMillis accepted_at = 0;
};

// The result of a processed put, returned again if the put is resent.
struct RequestResult {
  uint64_t content_hash = 0;  // of path, value and base revision
  PutResult result;
};

struct ConfigTree {
  uint64_t revision = 0;  // incremented by each applied change
  std::map<std::string, TreeEntry> entries;
  std::deque<StoredChange> history;  // consecutive revisions, the last of which is `revision`
  size_t history_bytes = 0;
  std::unordered_map<std::string, RequestResult> requests;  // by operator name and request id
  std::deque<std::string> request_order;                    // keys of `requests`, oldest first
  size_t request_bytes = 0;
};

// Returns the size limit of the value at `path`.
size_t MaxValueBytes(std::string_view path);

// Returns true if `path` is `prefix` or below it. Every path is at or below "/" and "".
bool IsAtOrBelow(std::string_view path, std::string_view prefix);

// Applies a put, or returns the recorded result if the put was processed before. The history stores
// `accepted_at` with the change, and `difference` instead of the value if it is not null: the
// difference between the value that the tree has at the path and that of the put.
PutResult ApplyPut(ConfigTree* tree, const ConfigPut& put, WallMillis accepted_at,
                   const std::string* difference = nullptr);

// Returns the result of a put whose base revision is not that of its path; nullopt: it does not
// conflict. Ignores recorded results.
std::optional<PutResult> FindConflict(const ConfigTree& tree, const ConfigPut& put);

// Returns whether the tree has a result for the put's request id.
bool HasRecordedResult(const ConfigTree& tree, const ConfigPut& put);

// Returns the recorded result for the put's request id: kDuplicate, or kIdReused if the id was used
// with other content. Returns nullopt if the tree has no result for the id.
std::optional<PutResult> FindRecordedResult(const ConfigTree& tree, const ConfigPut& put);

// Returns the value at `path`, valid until the tree changes; empty if the path does not exist.
std::string_view ValueAt(const ConfigTree& tree, const std::string& path);

// Returns the revision that set `path`, or 0 if the path does not exist.
uint64_t PathRevision(const ConfigTree& tree, const std::string& path);

// Returns all entries at or below `path`.
std::vector<ConfigEntry> ReadTree(const ConfigTree& tree, const std::string& path);

// Returns the change with its value, unless that is stored as a difference and is not the value
// that the path has now.
ConfigChange ToConfigChange(const ConfigTree& tree, const StoredChange& change);

// Returns at most `limit` changes at or below `path`, newest first.
std::vector<ConfigChange> ReadHistory(const ConfigTree& tree, const std::string& path,
                                      size_t limit);

// Returns the changes after `revision`, oldest first, limited to `max_bytes` but at least one.
// Returns nullopt if the history does not reach back that far or `revision` is above the tree's.
std::optional<std::vector<StoredChange>> DeltasSince(const ConfigTree& tree, uint64_t revision,
                                                     size_t max_bytes);

// Applies a change received from another replica. Returns false, without effect, unless the
// change's revision directly follows the tree's. Throws Error(kBadRequest) if the change is a
// difference that does not belong to the tree's value.
bool ApplyChange(ConfigTree* tree, const StoredChange& change);

// Serializes the tree deterministically: equal trees give equal bytes. Hosts that only serve reads
// of the tree do not need the request results, which `with_requests` includes.
std::string ToSnapshot(const ConfigTree& tree, bool with_requests = true);

// Restores a tree from a snapshot. Throws Error(kBadRequest) if the bytes are malformed.
ConfigTree FromSnapshot(std::string_view bytes);

// Encodings for the consensus log and for deltas. Decoding throws Error(kBadRequest) on malformed
// input.
std::string EncodePut(const ConfigPut& put, WallMillis accepted_at);
std::pair<ConfigPut, WallMillis> DecodePut(std::string_view bytes);

// A put whose value is encoded as a difference from `base`, the value that the path has when the
// put is applied. Precondition: the put has a value.
std::string EncodePutDifference(const ConfigPut& put, std::string_view base,
                                WallMillis accepted_at);

// Applies such a put. Throws Error(kBadRequest) if the path of the tree has another value than the
// base. `put` receives the put with its whole value.
PutResult ApplyPutDifference(ConfigTree* tree, std::string_view bytes, ConfigPut* put);
std::string EncodeChanges(const std::vector<StoredChange>& changes);
std::vector<StoredChange> DecodeChanges(std::string_view bytes);

// Returns whether hosts of versions that know no differences cannot read the changes.
bool HasDifference(const std::vector<StoredChange>& changes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_TREE_H_
