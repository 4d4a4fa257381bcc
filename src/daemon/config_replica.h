#ifndef EBONYLIFT_DAEMON_CONFIG_REPLICA_H_
#define EBONYLIFT_DAEMON_CONFIG_REPLICA_H_

// The configuration replica of one host: consensus for voters, pulled revisions for other hosts.
//
// The class has no thread. The control thread calls every method; `done`, `send` and `post` are
// called from inside those calls. The only other thread involved is the journal thread, whose
// callbacks come back through `post`.
//
// How the control thread drives it:
//  - Start() once, then Tick() at least every 50 ms.
//  - The bytes that `send` gets go to the peer's Peer.consensus(); what arrives there goes to
//    OnMessage(). Messages may be lost, repeated or reordered. None is over kMaxMessageBytes.
//  - Gossip carries revision(). A host with NeedsPull() true that hears of a larger revision asks a
//    peer for Since(revision(), pull_offset()) and passes the answer to ApplySince(), until the
//    answer says that nothing more follows.
//  - Put() either takes the change or names the host to forward it to (Peer.proposePut).
//
// First start: the voters of a new deployment elect their first leader only after each of them has
// heard from every other one. This is how a voter whose disk was lost is told apart from a new one:
// its peers know it, so it does not vote until it has caught up (see core/consensus.h). A voter
// that has lost its disk in this way reports DiskLost().
//
// Disks. A failed write takes the host out of the consensus until a retry (every 5 s) has written
// the whole state; meanwhile it pulls revisions as other hosts do and keeps them in memory only.
//
// Memory: one tree, one cached snapshot, the consensus log since the last snapshot (at most
// kMaxLogBytes plus what is not committed), at most kMaxPendingPuts open changes.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/control_port.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

class ConfigReplica {
 public:
  using Send = std::function<void(const HostId& to, std::string bytes)>;
  using Post = std::function<void(std::function<void()> fn)>;
  using PutDone = std::function<void(PutAnswer)>;
  using ReadDone = std::function<void(std::optional<Error>, ConfigRead)>;
  using WatchDone = std::function<void(std::vector<ConfigChange>)>;

  static constexpr size_t kMaxMessageBytes = 4 << 20;
  static constexpr size_t kMaxPendingPuts = 1'024;
  static constexpr size_t kMaxLogBytes = 8 << 20;

  struct Options {
    HostId self;
    std::vector<HostId>
        voters;  // as first configured; later changes are part of the replicated log
    std::shared_ptr<Journal> journal;  // null: a host without a disk; it cannot be a voter
    // False: the deployment exists already, so an empty journal is one that was lost.
    bool may_found = true;
    uint64_t seed = 0;  // of election timeouts and the disk's name
    Send send;
    Post post;                                // runs `fn` on the control thread; thread safe
    std::function<Time()> clock = SteadyNow;  // read by OnMessage(), Put() and ReadCurrent()
    std::function<WallMillis()> wall = WallNow;
  };

  // Throws Error(kInternal) when this host is one of the voters and has no journal.
  explicit ConfigReplica(Options options);
  ~ConfigReplica();
  ConfigReplica(const ConfigReplica&) = delete;
  ConfigReplica& operator=(const ConfigReplica&) = delete;

  // Reads the journal. Precondition: called once, before every other method. Throws
  // Error(kStorageFailed) when the journal is damaged.
  void Start(Time now);

  // Bytes from a peer's `send`. Malformed bytes are dropped and logged.
  void OnMessage(const HostId& from, std::string_view bytes);

  // Elections, heartbeats, timeouts of open puts and watches. `now` never goes back.
  void Tick(Time now);

  // Returns nullopt when the change was taken: `done` then runs exactly once, after the change is
  // durable at a majority or with kConfigInvalid, kConfigConflict, kNoQuorum (not proposed),
  // kStorageFailed, kOverloaded or kConfigUnknown (proposed; resend it with the same request id).
  // Otherwise `done` is dropped and the returned host is the one to forward the change to: the
  // leader, or, when this host is not a voter and knows no leader, some voter. A host that receives
  // a forwarded change forwards it at most once more.
  std::optional<HostId> Put(const ConfigPut& put, PutDone done);

  // Reads at or below `path` with every change that was answered before the call. Answers only on
  // the leader, under its lease, else kNoQuorum. Returns the leader to ask when it is another host.
  std::optional<HostId> ReadCurrent(const std::string& path, ReadDone done);

  // All entries at or below `path` of the local replica, which may be behind the leader.
  ConfigRead Read(const std::string& path) const;

  // Changes at or below `path`, newest first, at most `limit`.
  std::vector<ConfigChange> History(const std::string& path, size_t limit) const;

  // Calls `done` once: at once when revision() > from, else after the next applied change or in the
  // first Tick() at or after `deadline` (with what is there, possibly nothing). Oldest change
  // first.
  void Watch(uint64_t from, Time deadline, WatchDone done);

  // The leader as far as this host knows.
  std::optional<HostId> Leader() const;
  bool IsLeader() const;
  uint64_t term() const;

  // The voters of the newest known configuration of the consensus.
  std::vector<HostId> Voters() const;
  bool IsVoter() const;

  // One change of the voters at a time, on the leader; `done` as in Put(). An added host is a
  // learner until it has caught up, then becomes a voter. `done` of AddVoter() runs when it is one.
  std::optional<HostId> AddVoter(const HostId& host, PutDone done);
  std::optional<HostId> RemoveVoter(const HostId& host, PutDone done);

  // The newest applied revision; it never goes back while the process runs, and on a host with a
  // disk not across restarts either once it was served. 0 before the first configuration.
  uint64_t revision() const;

  // True on hosts that get their revisions by Since()/ApplySince() instead of consensus: hosts that
  // are not voters, voters that have lost their disk and voters whose writes fail.
  bool NeedsPull() const;

  // A part of what a peer at `revision` lacks: deltas, or a part of a snapshot from `offset` on.
  std::string Since(uint64_t revision, uint64_t offset = 0);

  // What to pass to the peer's Since() next. Not 0 only in the middle of a snapshot.
  uint64_t pull_offset() const;

  // Applies an answer of Since(). Returns true when more follows: call Since() of the same peer
  // again. An older revision than the own one is ignored. Throws Error(kBadRequest) when malformed.
  bool ApplySince(std::string_view bytes, const HostId& from = HostId());

  // The view of revision(), or in a burst of changes of a revision at most 1 s older. Never null; a
  // new pointer for each new view. A host that is not a voter publishes a revision after it is on
  // disk (if there is one).
  std::shared_ptr<const ConfigView> View() const;

  // Called from inside the other methods after View() has changed.
  void OnApplied(std::function<void()> fn);

  // True from the moment at which a peer told this voter that it is known with another disk, until
  // the replica has caught up.
  bool DiskLost() const;

  // False on a voter until the consensus has accepted its disk: at the first start of a deployment
  // that is the first election, after a lost disk the end of the catch-up. True on other hosts.
  bool DiskConfirmed() const;

  // False after a failed write until a retry succeeds; the host takes no part in consensus then.
  bool StorageOk() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_REPLICA_H_
