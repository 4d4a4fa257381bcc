#ifndef EBONYLIFT_DAEMON_CONFIG_REPLICA_H_
#define EBONYLIFT_DAEMON_CONFIG_REPLICA_H_

// The configuration replica of one host. Voters replicate the configuration by consensus
// (core/consensus.h); all other hosts pull new revisions from a peer.
//
// Threads: the class starts none. All methods are called on the control thread, and they invoke
// `done`, `send` and `post`. The journal has its own thread; its callbacks return to the control
// thread through `post`.
//
// What the control thread does:
//  - It calls Start() once, then Tick() at least every 50 ms.
//  - It sends the bytes given to `send` with Peer.consensus() and passes received ones to
//    OnMessage(). Messages may be lost, repeated or reordered. None is larger than
//    kMaxMessageBytes.
//  - It gossips revision(). When NeedsPull() is true and a peer has a larger revision, it calls
//    MakePullResponse(revision(), pull_offset(peer)) on the peer and passes the result to
//    ApplyPullResponse(), and repeats this while the latter returns true.
//  - When Put() returns a host, it forwards the change to that host (Peer.proposePut).
//
// First start of a deployment: the voters elect a leader only after each voter has heard from every
// other one. This distinguishes a voter that lost its disk from a new one: the peers know the
// former, so it does not vote until it has caught up. Until then its DiskLost() is true.
//
// Disk failures: after a failed write the host leaves the consensus until a retry (every 5 s) has
// written the whole state. Meanwhile it pulls revisions as other hosts do and keeps them in memory
// only.
//
// Memory: one tree (a second one while pulled revisions are ahead of the consensus), one cached
// snapshot, one partly received snapshot, the consensus log since the last compaction (at most
// kMaxLogBytes plus uncommitted entries), and at most kMaxPendingPuts pending changes. The log, the
// history of a tree and the snapshots hold large values as differences or compressed
// (core/value_difference.h), so they grow with what changes and not with the number of versions.

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
    // Initial voters; later changes of the voters are part of the replicated log.
    std::vector<HostId> voters;
    std::shared_ptr<Journal> journal;  // null: a host without a disk; it cannot be a voter
    // False: the deployment already exists, so an empty journal means that the data was lost.
    bool may_bootstrap = true;
    uint64_t seed = 0;  // of the random election timeouts
    Send send;
    Post post;                                // runs `fn` on the control thread; thread safe
    std::function<Time()> clock = SteadyNow;  // steady clock
    std::function<WallMillis()> wall = WallNow;
  };

  // Throws Error(kInternal) when this host is one of the voters and has no journal.
  explicit ConfigReplica(Options options);
  ~ConfigReplica();
  ConfigReplica(const ConfigReplica&) = delete;
  ConfigReplica& operator=(const ConfigReplica&) = delete;

  // Reads the journal. Precondition: called once, before every other method. Throws
  // Error(kStorageFailed) when the journal is corrupt.
  void Start(Time now);

  // Handles bytes that `from` sent with its `send`. Malformed bytes are dropped and logged.
  void OnMessage(const HostId& from, std::string_view bytes);

  // Runs elections, heartbeats, storage retries, and the timeouts of pending calls. `now` must not
  // go back.
  void Tick(Time now);

  // Proposes a change. Returns nullopt when this host handles the change; `done` then runs exactly
  // once: after the change is durable on a majority of the voters, or with kConfigInvalid,
  // kConfigConflict, kKeyConflict (the request id was used for another change), kNoQuorum (not
  // proposed), kStorageFailed, kOverloaded or kConfigUnknown (proposed, outcome unknown; retry it
  // with the same request id).
  // Otherwise drops `done` and returns the host to forward the change to: the leader or, when this
  // host is not a member of the consensus and knows no leader, any voter. A host that receives a
  // forwarded change forwards it at most once more.
  std::optional<HostId> Put(const ConfigPut& put, PutDone done);

  // Linearizable read of the entries at or below `path`: the result includes every change that was
  // answered before the call. Succeeds only on the leader while its lease is valid, and fails with
  // kNoQuorum otherwise. Returns the host to ask instead when this host is not the leader and knows
  // one; `done` is then dropped.
  std::optional<HostId> ReadCurrent(const std::string& path, ReadDone done);

  // All entries at or below `path` of the local replica, which may be behind the leader.
  ConfigRead Read(const std::string& path) const;

  // Changes at or below `path`, newest first, at most `limit`.
  std::vector<ConfigChange> History(const std::string& path, size_t limit) const;

  // Calls `done` once: immediately when revision() > from, else after the next applied change, or
  // in the first Tick() at or after `deadline`. It gets the changes after revision `from`, oldest
  // first, possibly none. A long list is cut off after some of the changes; when `from` is older
  // than the history, the list is the whole history.
  void Watch(uint64_t from, Time deadline, WatchDone done);

  // The leader as far as this host knows.
  std::optional<HostId> Leader() const;
  bool IsLeader() const;
  // Whether this host is the leader and no other host can be.
  bool HoldsLease(Time now) const;
  uint64_t term() const;

  // The voters in the newest membership of the consensus that this host knows.
  std::vector<HostId> Voters() const;
  bool IsVoter() const;

  // Adds or removes a voter. Only one such change may be in progress, and only the leader makes it;
  // the return value and `done` are as for Put(). An added host starts as a learner and becomes a
  // voter when it has caught up; `done` of AddVoter() runs then.
  std::optional<HostId> AddVoter(const HostId& host, PutDone done);
  std::optional<HostId> RemoveVoter(const HostId& host, PutDone done);

  // The newest applied revision; 0 before the first configuration. Never decreases while the
  // process runs. On a host with a disk, a revision that was served survives restarts.
  uint64_t revision() const;

  // True on hosts that must pull revisions because they do not get them by consensus: hosts outside
  // the consensus, members whose disk is not confirmed, and members whose disk writes fail.
  bool NeedsPull() const;

  // Builds the response to a pull by a peer at `revision`: deltas, or a snapshot part that starts
  // at `offset`.
  std::string MakePullResponse(uint64_t revision, uint64_t offset = 0);

  // The `offset` for the next MakePullResponse() of this peer; not 0 only in the middle of a
  // snapshot.
  uint64_t pull_offset(const HostId& peer) const;

  // Whether a snapshot is partly received.
  bool in_snapshot() const;

  // Must be called when a peer did not respond to a pull.
  void OnPullFailed(const HostId& peer);

  // Applies the result of a peer's MakePullResponse(); ignores revisions that are not newer than
  // the local one. Returns true when more data follows: pull from the same peer again. Throws
  // Error(kBadRequest) when `bytes` is malformed.
  bool ApplyPullResponse(std::string_view bytes, const HostId& from = HostId());

  // The view of revision() as of the last Tick(), or of a revision at most 1 s older during a burst
  // of changes. Never null; each new view is a new object. A host outside the consensus that has a
  // disk publishes a revision only after it is on disk.
  std::shared_ptr<const ConfigView> View() const;

  // `fn` is called from other methods of this object after revision() has grown, and before the
  // view of that revision is built, which may take long.
  void SetRevisionChangedCallback(std::function<void()> fn);

  // `fn` is called from other methods of this object after View() has changed.
  void SetViewChangedCallback(std::function<void()> fn);

  // True on a voter that has lost its disk, until it has caught up. The loss is detected when the
  // journal is empty although the journal or the deployment existed before, or when a peer reports
  // that it knows this voter with another disk.
  bool DiskLost() const;

  // False on a host with a disk until the consensus has accepted that disk: on a voter of a new
  // deployment until just before the first election, after the loss of a disk until the host has
  // caught up. Stays false on a host with a disk that never became a member; true on hosts without
  // a disk.
  bool DiskConfirmed() const;

  // False after a failed write until a retry succeeds. Meanwhile the host does not take part in the
  // consensus.
  bool StorageOk() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_REPLICA_H_
