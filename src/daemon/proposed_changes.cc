#include "daemon/proposed_changes.h"

#include <functional>

namespace ebonylift {
// Reads the tree as it will be after all proposed changes are applied.
class ProposedChanges::Reader : public TreeReader {
 public:
  Reader(const ConfigTree& tree, const std::map<std::string, Change>& proposed)
      : tree_(tree), proposed_(proposed) {}

  std::optional<std::string> Find(const std::string& path) const override {
    auto change = proposed_.find(path);
    if (change != proposed_.end()) {
      if (!change->second.value) return std::nullopt;
      return change->second.value->text();
    }
    auto entry = tree_.entries.find(path);
    if (entry == tree_.entries.end()) return std::nullopt;
    return entry->second.value.text();
  }

  void Visit(const std::string& prefix,
             const std::function<void(const std::string&, const std::string&)>& fn) const override {
    for (auto it = tree_.entries.lower_bound(prefix); it != tree_.entries.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      bool visible = IsAtOrBelow(it->first, prefix) && proposed_.count(it->first) == 0;
      if (visible) fn(it->first, it->second.value.text());
    }
    for (const auto& [path, change] : proposed_) {
      if (change.value && IsAtOrBelow(path, prefix)) fn(path, change.value->text());
    }
  }

 private:
  const ConfigTree& tree_;
  const std::map<std::string, Change>& proposed_;
};

bool ProposedChanges::IsProposed(const ConfigPut& put) const {
  return request_ids_.count({put.operator_name, put.request_id}) != 0;
}

uint64_t ProposedChanges::RevisionOf(const std::string& path) const {
  auto change = by_path_.find(path);
  if (change == by_path_.end()) return PathRevision(*committed_, path);
  return change->second.value ? change->second.revision : 0;
}

bool ProposedChanges::DependsOnResult(const ConfigPut& put) const {
  bool conflicts = by_path_.count(put.path) != 0 && RevisionOf(put.path) != put.base_revision;
  return conflicts || IsProposed(put);
}

bool ProposedChanges::WillChangeTree(const ConfigPut& put) const {
  if (IsProposed(put)) return false;
  uint64_t current = RevisionOf(put.path);
  return current == put.base_revision && (put.value || current != 0);
}

std::string_view ProposedChanges::ValueAt(const std::string& path) const {
  auto change = by_path_.find(path);
  if (change == by_path_.end()) return ebonylift::ValueAt(*committed_, path);
  return change->second.value ? std::string_view(change->second.value->text()) : std::string_view();
}

std::vector<SchemaIssue> ProposedChanges::ValidateInTree(const ConfigPut& put) const {
  return ebonylift::ValidateInTree(Reader(*committed_, by_path_), put.path, put.value);
}

void ProposedChanges::Add(const ConfigPut& put, bool changes_tree) {
  if (changes_tree) by_path_[put.path] = Change{put.value, ++last_revision_};
  if (!put.request_id.empty()) request_ids_.insert({put.operator_name, put.request_id});
}

void ProposedChanges::OnApplied(const ConfigPut& put) {
  request_ids_.erase({put.operator_name, put.request_id});
  auto change = by_path_.find(put.path);
  if (change != by_path_.end() && change->second.revision <= committed_->revision) {
    by_path_.erase(change);
  }
}

void ProposedChanges::Clear() {
  by_path_.clear();
  request_ids_.clear();
  last_revision_ = committed_->revision;
}

}  // namespace ebonylift
