#include "daemon/pulled_revisions.h"

#include <memory>
#include <utility>
#include <variant>

#include "base/error.h"
#include "base/event.h"
#include "daemon/config_journal_records.h"

namespace ebonylift {

PulledRevisions::PulledRevisions(ConfigTrees* trees, ConfigJournal* journal,
                                 DurableConsensus* consensus, Publish publish)
    : trees_(trees), journal_(journal), consensus_(consensus), publish_(std::move(publish)) {}

bool PulledRevisions::Receive(PullBody body, const HostId& from) {
  if (const auto* deltas = std::get_if<PullDeltas>(&body)) {
    snapshots_.erase(from);
    PersistChanges(deltas->changes, from);
    return deltas->more;
  }
  if (const auto* part = std::get_if<SnapshotPart>(&body)) return ReceivePart(*part, from);
  return false;
}

bool PulledRevisions::ReceivePart(const SnapshotPart& part, const HostId& from) {
  if (snapshots_.count(from) == 0 && snapshots_.size() >= kMaxSnapshotPulls) return false;
  ReceivedSnapshot::Result result = snapshots_[from].Add(part, trees_->Current().revision);
  if (!result.more) snapshots_.erase(from);
  if (!result.tree) return result.more;
  snapshots_.clear();
  LogEvent(EventId::kConfigSnapshotLoaded,
           {{"revision", std::to_string(result.tree->revision)}, {"source", from.value()}});
  PersistTree(std::move(*result.tree), from);
  return false;
}

uint64_t PulledRevisions::offset(const HostId& from) const {
  auto snapshot = snapshots_.find(from);
  return snapshot == snapshots_.end() ? 0 : snapshot->second.offset();
}

bool PulledRevisions::MustPersist() const {
  return consensus_->state() != nullptr && consensus_->storage_ok();
}

// Writes the changes to the journal, then applies and publishes them.
void PulledRevisions::PersistChanges(const std::vector<StoredChange>& changes, const HostId& from) {
  if (changes.empty()) return;
  uint64_t newest = changes.back().revision;
  if (newest <= trees_->Current().revision) return;
  if (!MustPersist()) {
    ApplyChanges(changes, from);
    return;
  }
  // The same changes may be pulled again while their first write is in progress.
  if (newest <= revision_in_write_) return;
  // Journaled deltas apply to the pulled tree. The first pull writes that tree to the journal.
  if (trees_->pulled.revision == 0 && trees_->committed.revision != 0) {
    ConfigTree tree = trees_->committed;
    for (const StoredChange& change : changes) ApplyChange(&tree, change);
    PersistTree(std::move(tree), from);
    return;
  }
  revision_in_write_ = newest;
  auto on_done = [this, changes, from](bool ok, bool superseded) {
    revision_in_write_ = 0;
    if (!ok) consensus_->FailStorage();
    if (superseded) {
      // The journal was rewritten without these changes.
      PersistChanges(changes, from);
    } else {
      ApplyChanges(changes, from);
    }
  };
  journal_->Append(EncodePulledRecord(changes), std::move(on_done));
}

// Applies and publishes changes that are on disk or need not be.
void PulledRevisions::ApplyChanges(const std::vector<StoredChange>& changes, const HostId& from) {
  uint64_t before = trees_->Current().revision;
  if (trees_->pulled.revision < trees_->committed.revision) trees_->pulled = trees_->committed;
  std::vector<std::string> changed = ApplyAll(changes, from);
  if (trees_->Current().revision <= before) return;
  LogCaughtUp(before, from);
  publish_(/*whole_tree=*/false, changed);
  consensus_->CompactIfLarge();
}

// Returns the paths of the changes that were applied. Those before one that is malformed remain.
std::vector<std::string> PulledRevisions::ApplyAll(const std::vector<StoredChange>& changes,
                                                   const HostId& from) {
  std::vector<std::string> changed;
  try {
    for (const StoredChange& change : changes) {
      if (ApplyChange(&trees_->pulled, change)) changed.push_back(change.path);
    }
  } catch (const Error& error) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", from.value()}, {"reason", error.what()}});
  }
  return changed;
}

// Writes the tree to the journal, then publishes it.
void PulledRevisions::PersistTree(ConfigTree tree, const HostId& from) {
  if (tree.revision <= trees_->Current().revision) return;
  if (!MustPersist()) {
    ApplyTree(std::move(tree), from);
    return;
  }
  if (tree.revision <= revision_in_write_) return;
  revision_in_write_ = tree.revision;
  std::string bytes = EncodeJournalSnapshot(ToPersisted(*consensus_->state()), tree);
  auto shared = std::make_shared<ConfigTree>(std::move(tree));
  auto on_done = [this, shared, from](bool ok, bool superseded) {
    revision_in_write_ = 0;
    if (!ok) consensus_->FailStorage();
    if (superseded) {
      // The journal was rewritten without this tree.
      PersistTree(std::move(*shared), from);
    } else {
      ApplyTree(std::move(*shared), from);
    }
  };
  journal_->Rewrite(std::move(bytes), std::move(on_done));
}

void PulledRevisions::ApplyTree(ConfigTree tree, const HostId& from) {
  uint64_t before = trees_->Current().revision;
  if (tree.revision <= before) return;
  trees_->pulled = std::move(tree);
  LogCaughtUp(before, from);
  publish_(/*whole_tree=*/true, {});
}

void PulledRevisions::LogCaughtUp(uint64_t before, const HostId& from) const {
  LogEvent(EventId::kConfigCaughtUp, {{"from", std::to_string(before)},
                                      {"to", std::to_string(trees_->Current().revision)},
                                      {"host", from.value()}});
}

}  // namespace ebonylift
