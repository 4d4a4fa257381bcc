#ifndef EBONYLIFT_DAEMON_PROPOSED_CHANGES_H_
#define EBONYLIFT_DAEMON_PROPOSED_CHANGES_H_

// The changes that the leader has proposed and not applied yet.
//
// A new change is validated against the tree as it will be after all of them. Their revisions are
// known before the commit, because only the leader proposes changes and they are applied in log
// order.
//
// Threads: not thread safe. Memory: the values are shared with the puts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/config_schema.h"
#include "core/config_tree.h"
#include "ports/control_port.h"

namespace ebonylift {

class ProposedChanges {
 public:
  // Precondition: `committed`, the tree of the committed changes, outlives this object.
  explicit ProposedChanges(const ConfigTree* committed) : committed_(committed) {}

  // Returns whether the result of `put` depends on a proposed change of its path, on which it is
  // not based, or on the same put, which is proposed already.
  bool DependsOnResult(const ConfigPut& put) const;

  // Returns whether `put` will change the tree when it is applied. One that will not (a conflict or
  // a retry) may still be proposed, so that its answer is based on a committed state.
  bool WillChangeTree(const ConfigPut& put) const;

  // Returns the value that the path has once all puts are applied, valid until the next call of
  // another method; empty if the path does not exist then.
  std::string_view ValueAt(const std::string& path) const;

  // Validates a put that will change the tree against the other paths.
  std::vector<SchemaIssue> ValidateInTree(const ConfigPut& put) const;

  // Adds a put. `changes_tree` is the result of WillChangeTree().
  void Add(const ConfigPut& put, bool changes_tree);

  // Removes a put after it was applied to the committed tree.
  void OnApplied(const ConfigPut& put);

  // Removes all puts. The next revision then follows that of the committed tree.
  void Clear();

 private:
  struct Change {
    std::optional<SharedText> value;
    uint64_t revision = 0;
  };
  class Reader;

  bool IsProposed(const ConfigPut& put) const;
  // The revision that the path has once all puts are applied; 0: it does not exist then.
  uint64_t RevisionOf(const std::string& path) const;

  const ConfigTree* const committed_;
  std::map<std::string, Change> by_path_;
  std::set<std::pair<std::string, std::string>> request_ids_;  // operator, request id
  uint64_t last_revision_ = 0;                                 // of the newest proposed change
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_PROPOSED_CHANGES_H_
