#ifndef EBONYLIFT_DAEMON_PULLED_REVISIONS_H_
#define EBONYLIFT_DAEMON_PULLED_REVISIONS_H_

// Takes over the revisions that a host pulls from its peers: writes them to the journal, then
// applies them to the tree of pulled revisions and publishes them.
//
// With a failed disk the newest configuration still takes effect; the retry of the failed write
// (DurableConsensus) writes it. The same holds on a host without a disk, which never writes it.
//
// Threads: all methods are called on the control thread, which runs the publishing function too.
//
// Memory: the changes or the tree of an unfinished write, and kMaxSnapshotPulls partly received
// snapshots.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "core/config_tree.h"
#include "daemon/config_journal.h"
#include "daemon/config_pull.h"
#include "daemon/config_trees.h"
#include "daemon/durable_consensus.h"
#include "ports/control_port.h"

namespace ebonylift {

class PulledRevisions {
 public:
  // Makes the current tree visible. Its difference from the previous one is in `changed`, or
  // anywhere when `whole_tree` is true.
  using Publish = std::function<void(bool whole_tree, const std::vector<std::string>& changed)>;

  // Precondition: `trees`, `journal` and `consensus` outlive this object.
  PulledRevisions(ConfigTrees* trees, ConfigJournal* journal, DurableConsensus* consensus,
                  Publish publish);

  // Handles the body of a response that `from` sent; ignores revisions that are not newer than the
  // local one. Returns true when more data follows. Throws Error(kBadRequest) when a completed
  // snapshot is malformed.
  bool Receive(PullBody body, const HostId& from);

  // The number of snapshot bytes received from the host, at which its next part must start.
  uint64_t offset(const HostId& from) const;

  // Whether a snapshot is partly received.
  bool in_snapshot() const { return !snapshots_.empty(); }

  // Drops what was received of a snapshot of this host, which did not respond to a pull.
  void OnPullFailed(const HostId& host) { snapshots_.erase(host); }

 private:
  bool ReceivePart(const SnapshotPart& part, const HostId& from);
  void PersistChanges(const std::vector<StoredChange>& changes, const HostId& from);
  void ApplyChanges(const std::vector<StoredChange>& changes, const HostId& from);
  std::vector<std::string> ApplyAll(const std::vector<StoredChange>& changes, const HostId& from);
  void PersistTree(ConfigTree tree, const HostId& from);
  void ApplyTree(ConfigTree tree, const HostId& from);
  void LogCaughtUp(uint64_t before, const HostId& from) const;

  // Whether revisions are written to the journal before they take effect.
  bool MustPersist() const;

  ConfigTrees* const trees_;
  ConfigJournal* const journal_;
  DurableConsensus* const consensus_;
  const Publish publish_;
  // By the host that sends it: the snapshots of two hosts may be of different revisions.
  std::map<HostId, ReceivedSnapshot> snapshots_;
  uint64_t revision_in_write_ = 0;  // newest revision of an unfinished journal write
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_PULLED_REVISIONS_H_
