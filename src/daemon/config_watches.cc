#include "daemon/config_watches.h"

#include <utility>

#include "daemon/config_pull.h"

namespace ebonylift {
namespace {

std::vector<ConfigChange> ChangesSince(const ConfigTree& tree, uint64_t from) {
  if (from >= tree.revision) return {};
  std::vector<ConfigChange> changes;
  if (auto deltas = DeltasSince(tree, from, kMaxPullBytes)) {
    for (const StoredChange& change : *deltas) changes.push_back(ToConfigChange(tree, change));
    return changes;
  }
  for (const StoredChange& change : tree.history) changes.push_back(ToConfigChange(tree, change));
  return changes;
}

}  // namespace

void ConfigWatches::Add(uint64_t from, Time deadline, Done done) {
  pending_.push_back({from, deadline, std::move(done)});
}

void ConfigWatches::Answer(const ConfigTree& tree, Time now) {
  auto waiting = std::move(pending_);
  pending_.clear();
  for (PendingWatch& watch : waiting) {
    if (tree.revision > watch.from || now >= watch.deadline) {
      callbacks_->Push([done = std::move(watch.done), changes = ChangesSince(tree, watch.from)] {
        done(changes);
      });
    } else {
      pending_.push_back(std::move(watch));
    }
  }
}

}  // namespace ebonylift
