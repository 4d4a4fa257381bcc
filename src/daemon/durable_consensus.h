#ifndef EBONYLIFT_DAEMON_DURABLE_CONSENSUS_H_
#define EBONYLIFT_DAEMON_DURABLE_CONSENSUS_H_

// Runs the consensus state machine (core/consensus.h) with a journal: writes its state, sends its
// messages after the writes that they depend on, compacts the log, and handles failed writes.
//
// Disk failures: after a failed write, memory may be ahead of the disk. The host takes no part in
// the consensus until a write of the whole state, retried every 5 s, succeeds, which makes them
// equal again.
//
// Threads: all methods are called on the control thread, which runs the handlers as well.
//
// Memory: see core/consensus.h, and the messages that wait for a write.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "core/consensus.h"
#include "daemon/config_journal.h"
#include "daemon/config_trees.h"
#include "daemon/durable_outbox.h"
#include "daemon/replica_clock.h"

namespace ebonylift {

class DurableConsensus {
 public:
  struct Handlers {
    std::function<void(const HostId& to, std::string bytes)> send;
    // Applies the restored snapshot and the committed entries. Called for every Ready, also when it
    // has neither, because the leadership or the lease may have changed. May call Process().
    std::function<void(Ready ready)> apply;
    // This host became the leader.
    std::function<void()> on_elected;
    // The outcome of everything that this host has proposed is unknown to it from now on.
    std::function<void(const std::string& reason)> on_proposals_lost;
  };

  struct Options {
    HostId self;
    uint64_t seed = 0;         // of the random election timeouts
    size_t max_log_bytes = 0;  // of journal records; the log is compacted above this size
    Handlers handlers;
  };

  // Precondition: `clock`, `trees` and `journal` outlive this object.
  DurableConsensus(Options options, ReplicaClock* clock, const ConfigTrees* trees,
                   ConfigJournal* journal);

  // Creates the state of a host with an empty journal and writes it. Precondition: the state
  // does not exist, and the host has a journal.
  void Create(const std::set<HostId>& voters, bool may_bootstrap);

  // Restores the state that the journal contains. Precondition: as for Create().
  void Restore(PersistedState persisted);

  // The state; null on a host without a disk. It may be changed only by proposing, and the
  // resulting Ready must be passed to Process().
  const Consensus* state() const { return state_ ? &*state_ : nullptr; }
  Consensus* mutable_state() { return state_ ? &*state_ : nullptr; }

  // False after a failed write until a retry succeeds.
  bool storage_ok() const { return storage_ok_; }

  bool IsLeader() const;
  // Whether this host is a voter or a learner.
  bool IsMember() const;
  // Whether this host is a leader that has applied all entries of earlier terms and may propose.
  bool MayPropose() const;

  // Handles bytes that `from` sent. Malformed bytes are dropped and logged.
  void OnMessage(const HostId& from, std::string_view bytes);

  // Retries a failed write if it is time, and runs elections and heartbeats.
  void Tick();

  // Does what an input function of the consensus returned.
  void Process(Ready ready);

  // Reports a failed journal write.
  void FailStorage();

  // Compacts the log and the journal when the records are larger than the limit.
  void CompactIfLarge();

 private:
  void Persist(const Ready& ready);
  void RewriteJournal(uint64_t write_id);
  void OnWritten(uint64_t write_id, bool ok);
  void SendDurable();
  void Compact();
  void RetryStorage();
  void ResumeAfterStorageFailure();
  void OnNotice(const Notice& notice);

  const Options options_;
  ReplicaClock* const clock_;
  const ConfigTrees* const trees_;
  ConfigJournal* const journal_;
  std::mt19937_64 rng_;
  std::optional<Consensus> state_;
  DurableOutbox outbox_;
  bool storage_ok_ = true;
  std::optional<Time> storage_retry_at_;  // none: no failure, or a retry is in progress
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DURABLE_CONSENSUS_H_
