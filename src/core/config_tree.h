#ifndef EBONYLIFT_CORE_CONFIG_TREE_H_
#define EBONYLIFT_CORE_CONFIG_TREE_H_

// The configuration tree: paths with JSON values, the revision that set each path, the newest
// changes, and the answers to the newest request ids.
//
// It is the state machine of the consensus: ApplyPut() depends on the tree and the put only, so
// equal sequences of puts give equal trees. The schema is therefore not checked here: two versions
// of the program could disagree on it. The leader checks it before it proposes a put.
//
// Memory: the entries (MaxValueBytes() each); at most kMaxHistory changes and kMaxHistoryBytes; at
// most kMaxRequests answers and kMaxRequestBytes. The oldest are dropped first.

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

// The value of this path is one document with its own size limit; see core/ingress.h.
inline constexpr char kIngressPath[] = "/deployment/ingress";
constexpr size_t kMaxPathBytes = 512;
constexpr size_t kMaxValueBytes = 64 << 10;
constexpr size_t kMaxDocumentBytes = 4 << 20;  // of a value that holds a whole document
constexpr size_t kMaxHistory = 10'000;
constexpr size_t kMaxHistoryBytes = 32 << 20;
constexpr size_t kMaxRequests = 10'000;
constexpr size_t kMaxRequestBytes = 8 << 20;

enum class PutOutcome : uint8_t {
  kApplied,
  kConflict,  // the path has another revision than the base of the put
  kInvalid,   // the put deletes a path that does not exist, or is over a limit
  kRepeated,  // the request id was answered before; `first` says how
  kIdReused,  // the request id was used for another change
};

struct PutResult {
  PutOutcome outcome = PutOutcome::kInvalid;
  PutOutcome first = PutOutcome::kInvalid;   // kRepeated: the outcome of the first put
  uint64_t revision = 0;                     // the new one, or that of the path on a conflict
  std::optional<std::string> current_value;  // on a conflict
  friend bool operator==(const PutResult& a, const PutResult& b) {
    return std::tie(a.outcome, a.first, a.revision, a.current_value) ==
           std::tie(b.outcome, b.first, b.revision, b.current_value);
  }
};

struct TreeEntry {
  std::string value;      // JSON text
  uint64_t revision = 0;  // the global revision at which the value was set
  friend bool operator==(const TreeEntry& a, const TreeEntry& b) {
    return std::tie(a.value, a.revision) == std::tie(b.value, b.revision);
  }
};

struct RememberedPut {
  uint64_t content = 0;  // hash of path, value and base revision
  PutResult result;
};

struct ConfigTree {
  uint64_t revision = 0;  // grows by one with each applied change
  std::map<std::string, TreeEntry> entries;
  std::deque<ConfigChange> history;  // consecutive revisions; the last one is `revision`
  size_t history_bytes = 0;
  std::unordered_map<std::string, RememberedPut> requests;
  std::deque<std::string> request_order;
  size_t request_bytes = 0;
};

// The largest value that `path` may have.
size_t MaxValueBytes(std::string_view path);

// Whether `path` is `prefix` or below it. "/" and "" are above every path.
bool IsAtOrBelow(std::string_view path, std::string_view prefix);

PutResult ApplyPut(ConfigTree* tree, const ConfigPut& put, WallMillis accepted_at);

// The answer to a request id that the tree remembers. Without one, nullopt.
std::optional<PutResult> FindRepeated(const ConfigTree& tree, const ConfigPut& put);

// 0 when the path does not exist.
uint64_t PathRevision(const ConfigTree& tree, const std::string& path);

std::vector<ConfigEntry> ReadTree(const ConfigTree& tree, const std::string& path);

// Newest first, at most `limit`.
std::vector<ConfigChange> ReadHistory(const ConfigTree& tree, const std::string& path,
                                      size_t limit);

// The changes after `revision`, oldest first, at most `max_bytes` but at least one. nullopt when
// the history does not reach back so far or `revision` is above that of the tree.
std::optional<std::vector<ConfigChange>> DeltasSince(const ConfigTree& tree, uint64_t revision,
                                                     size_t max_bytes);

// Applies a change taken from another replica. Returns false, without effect, unless the change has
// the revision after that of the tree.
bool ApplyChange(ConfigTree* tree, const ConfigChange& change);

// Deterministic: equal trees give equal bytes. Hosts that only serve the tree do not need the
// remembered request ids.
std::string ToSnapshot(const ConfigTree& tree, bool with_requests = true);

// Throws Error(kBadRequest) on malformed bytes.
ConfigTree FromSnapshot(std::string_view bytes);

// Encodings for the consensus log and for deltas. Decoding throws Error(kBadRequest).
std::string EncodePut(const ConfigPut& put, WallMillis accepted_at);
std::pair<ConfigPut, WallMillis> DecodePut(std::string_view bytes);
std::string EncodeChanges(const std::vector<ConfigChange>& changes);
std::vector<ConfigChange> DecodeChanges(std::string_view bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_TREE_H_
