#include "daemon/config_replica.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <utility>

#include "base/event.h"
#include "base/hash.h"
#include "core/codec.h"
#include "core/config_tree.h"
#include "core/consensus.h"
#include "daemon/callback_queue.h"
#include "daemon/config_journal_records.h"
#include "daemon/config_pull.h"
#include "daemon/config_puts.h"
#include "daemon/config_reads.h"
#include "daemon/config_trees.h"
#include "daemon/config_view_publisher.h"
#include "daemon/config_watches.h"
#include "daemon/put_answers.h"
#include "daemon/replica_clock.h"
#include "daemon/voter_changes.h"

namespace ebonylift {
namespace {

constexpr Duration kStorageRetryInterval = seconds(5);
// Log entries kept before a snapshot, so that members slightly behind do not need the snapshot.
constexpr uint64_t kRetainedLogEntries = 512;

// The messages of one Ready and the journal write that must be durable before they are sent.
struct Outgoing {
  uint64_t write_id = 0;  // 0: nothing to write
  bool durable = false;
  PersistMark mark;
  std::vector<ConsensusMessage> send;
};

}  // namespace

struct ConfigReplica::Impl {
  explicit Impl(Options replica_options)
      : options(std::move(replica_options)),
        clock(options.clock),
        reads(&clock, &callbacks),
        watches(&callbacks),
        puts(&trees.committed, &clock, options.wall, &callbacks),
        voter_changes(&clock, &callbacks),
        publisher(&clock, &callbacks) {
    rng.seed(options.seed);
  }

  Options options;
  CallbackQueue callbacks;
  ReplicaClock clock;
  std::mt19937_64 rng;
  std::optional<Consensus> consensus;  // none: a host without a disk
  ConfigTrees trees;
  ConfigReads reads;
  ConfigWatches watches;
  ConfigPuts puts;
  VoterChanges voter_changes;
  ConfigViewPublisher publisher;

  std::deque<Outgoing> outgoing;
  uint64_t next_write_id = 1;
  // Callbacks of writes before this one are ignored, because a write has failed since.
  uint64_t first_valid_write_id = 1;
  size_t log_bytes = 0;  // written since the last compaction
  bool storage_ok = true;
  std::optional<Time> storage_retry_at;

  ServedSnapshot served_snapshot;
  ReceivedSnapshot received_snapshot;
  uint64_t pulled_revision_in_write = 0;  // newest pulled revision of an unfinished journal write
  HostId leader_hint;                     // from pull responses
  std::vector<HostId> voter_hint;         // from pull responses
  size_t next_voter = 0;                  // round robin over the voters when no leader is known

  uint64_t journal_rewrites = 0;  // started writes of the whole state

  // Lets callbacks that arrive after destruction detect it and do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  const ConfigTree& CurrentTree() const { return trees.Current(); }
  bool IsLeader() const { return consensus && storage_ok && consensus->role == Role::kLeader; }
  bool IsMember() const {
    return consensus && (consensus->members.voters.count(options.self) != 0 ||
                         consensus->members.learners.count(options.self) != 0);
  }

  // ---- journal writes and messages

  void ProcessReady(Ready ready) {
    for (const Notice& notice : ready.notices) OnNotice(notice);
    if (ready.NeedsPersist() || !ready.send.empty()) PersistAndEnqueue(ready);
    ApplyCommitted(std::move(ready));
    if (log_bytes > kMaxLogBytes) Compact();
    FlushOutgoing();
  }

  // Starts the journal write that the Ready needs and queues its messages behind the write.
  void PersistAndEnqueue(const Ready& ready) {
    Outgoing item;
    item.send = ready.send;
    item.mark = ready.mark;
    if (ready.NeedsPersist()) item.write_id = next_write_id++;
    outgoing.push_back(std::move(item));
    if (!ready.NeedsPersist()) return;
    uint64_t write_id = outgoing.back().write_id;
    if (ready.persist_all) {
      RewriteJournal([this, write_id](bool ok) { OnWritten(write_id, ok); });
    } else {
      std::string record = EncodeConsensusRecord(ready, consensus->hard_state);
      log_bytes += record.size();
      options.journal->Append(std::move(record), OnControlThread([this, write_id](bool ok) {
                                OnWritten(write_id, ok);
                              }));
    }
  }

  // Replaces the contents of the journal by the current state.
  void RewriteJournal(std::function<void(bool)> done) {
    log_bytes = 0;
    ++journal_rewrites;
    options.journal->Compact(EncodeJournalSnapshot(ToPersisted(*consensus), trees.pulled),
                             OnControlThread(std::move(done)));
  }

  // The returned function may be called on any thread.
  Journal::Done OnControlThread(std::function<void(bool)> fn) {
    std::weak_ptr<bool> weak = alive;
    Post post = options.post;
    return [this, weak, post, fn = std::move(fn)](bool ok) {
      post([this, weak, fn, ok] {
        if (!weak.lock()) return;
        CallbackQueue::Scope scope(&callbacks);
        fn(ok);
      });
    };
  }

  void OnWritten(uint64_t write_id, bool ok) {
    if (write_id < first_valid_write_id) return;
    if (!ok) {
      FailStorage();
      return;
    }
    for (Outgoing& item : outgoing) {
      if (item.write_id == write_id) item.durable = true;
    }
    FlushOutgoing();
  }

  void FlushOutgoing() {
    while (!outgoing.empty() && (outgoing.front().write_id == 0 || outgoing.front().durable)) {
      Outgoing item = std::move(outgoing.front());
      outgoing.pop_front();
      for (const ConsensusMessage& message : item.send) {
        options.send(message.to, EncodeMessage(message));
      }
      if (item.write_id != 0)
        ProcessReady(OnPersisted(&*consensus, item.mark, clock.Update(), rng));
    }
  }

  // After a failed write, memory may be ahead of the disk. The host takes no part in the consensus
  // until a write of the whole state succeeds, which makes them equal again.
  void FailStorage() {
    if (!storage_ok) return;
    if (IsLeader()) {
      LogEvent(EventId::kLeaderSteppedDown, {{"term", std::to_string(consensus->hard_state.term)},
                                             {"reason", "a disk write failed"}});
    }
    storage_ok = false;
    storage_retry_at = clock.now() + kStorageRetryInterval;
    outgoing.clear();
    first_valid_write_id = next_write_id;
    FailPending(ErrorKind::kConfigUnknown,
                "a disk write failed on the leader; retry the change with the same request id");
  }

  void RetryStorage() {
    if (storage_ok || !storage_retry_at || clock.now() < *storage_retry_at) return;
    storage_retry_at.reset();
    uint64_t written = trees.pulled.revision;
    RewriteJournal([this, written](bool ok) {
      // Revisions pulled during the write are in memory only, so they need another write.
      if (ok && written == trees.pulled.revision) {
        ResumeAfterStorageFailure();
      } else {
        storage_retry_at = ok ? clock.now() : clock.now() + kStorageRetryInterval;
      }
    });
  }

  void ResumeAfterStorageFailure() {
    Consensus restored =
        RestoreConsensus(options.self, ToPersisted(*consensus), clock.Update(), rng);
    restored.delivered_index = consensus->delivered_index;
    restored.restore_pending = consensus->restore_pending;
    restored.disk_lost = consensus->disk_lost;
    consensus = std::move(restored);
    storage_ok = true;
  }

  void Compact() {
    if (!consensus || consensus->restore_pending || !storage_ok) return;
    auto snapshot = std::make_shared<const std::string>(ToSnapshot(trees.committed));
    TakeSnapshot(&*consensus, consensus->delivered_index, std::move(snapshot), kRetainedLogEntries);
    Outgoing item;
    item.write_id = next_write_id++;
    item.mark = {LastIndex(*consensus),
                 consensus->log.empty() ? consensus->base_term : consensus->log.back().term,
                 consensus->hard_state.commit};
    uint64_t write_id = item.write_id;
    outgoing.push_back(std::move(item));
    RewriteJournal([this, write_id](bool ok) { OnWritten(write_id, ok); });
  }

  // ---- applying committed entries

  void ApplyCommitted(Ready ready) {
    std::vector<std::string> changed;
    bool rebuild = false;
    uint64_t before = CurrentTree().revision;
    if (ready.restored_snapshot) {
      trees.committed = FromSnapshot(*ready.restored_snapshot);
      rebuild = true;
      LogEvent(EventId::kConfigSnapshotLoaded,
               {{"revision", std::to_string(trees.committed.revision)}, {"source", "consensus"}});
    }
    for (const LogEntry& entry : ready.committed) {
      if (entry.kind == EntryKind::kPut) ApplyEntry(entry, &changed);
      if (entry.kind == EntryKind::kMembers) voter_changes.OnCommitted(DecodeMembers(entry.data));
    }
    if (trees.pulled.revision != 0 && trees.committed.revision >= trees.pulled.revision) {
      trees.pulled = ConfigTree();
      rebuild = true;
    }
    if (CurrentTree().revision > before) Publish(rebuild, changed);
    AnswerReads();
    ProposeQueuedPuts();
  }

  void ApplyEntry(const LogEntry& entry, std::vector<std::string>* changed) {
    auto [put, accepted_at] = DecodePut(entry.data);
    PutResult result = ApplyPut(&trees.committed, put, accepted_at);
    if (result.outcome == PutOutcome::kApplied) {
      changed->push_back(put.path);
      LogEvent(EventId::kConfigApplied, {{"revision", std::to_string(result.revision)},
                                         {"path", put.path},
                                         {"operator", put.operator_name}});
    }
    puts.OnApplied(entry.index, put, result);
  }

  // Makes a newer revision visible to watches and views.
  void Publish(bool whole_tree, const std::vector<std::string>& changed) {
    publisher.AddChanges(whole_tree, changed);
    watches.Answer(CurrentTree(), clock.now());
    publisher.PublishIfDue(CurrentTree());
  }

  void OnNotice(const Notice& notice) {
    std::string term = std::to_string(consensus->hard_state.term);
    switch (notice.kind) {
      case NoticeKind::kElected:
        puts.OnElected();
        LogEvent(EventId::kLeaderElected, {{"term", term}});
        return;
      case NoticeKind::kSteppedDown:
        LogEvent(EventId::kLeaderSteppedDown, {{"term", term}, {"reason", notice.details}});
        FailPending(ErrorKind::kConfigUnknown,
                    "the leader changed; retry the change with the same request id");
        return;
      case NoticeKind::kTermChanged:
        LogEvent(EventId::kTermChanged, {{"term", term}, {"leader", consensus->leader.value()}});
        return;
      case NoticeKind::kMembersChanged:
        LogEvent(EventId::kVoterChanged, {{"voters", notice.details}});
        return;
      case NoticeKind::kDiskLost:
        LogEvent(EventId::kVoterDiskLost, {{"reason", notice.details}});
        return;
      case NoticeKind::kConfirmed:
        LogEvent(EventId::kVoterConfirmed, {{"reason", notice.details}});
        return;
    }
  }

  // ---- changes proposed on the leader

  bool MayPropose() const {
    return IsLeader() && CanPropose(*consensus) &&
           consensus->delivered_index >= consensus->term_start;
  }

  void ProposeQueuedPuts() {
    while (MayPropose() && puts.HasQueued()) {
      if (auto ready = puts.ProposeQueued(&*consensus)) ProcessReady(std::move(*ready));
    }
  }

  void FailPending(ErrorKind kind, const std::string& message) {
    puts.FailProposed(kind, message);
    voter_changes.Fail(kind, message);
  }

  std::optional<HostId> ChangeVoter(const HostId& host, bool add, PutDone done) {
    if (!IsLeader()) return RouteToLeader(done);
    auto ready = voter_changes.Propose(&*consensus, host, add, std::move(done));
    if (ready) ProcessReady(std::move(*ready));
    return std::nullopt;
  }

  // Returns the host to ask instead of this one. Without one, answers kNoQuorum and returns
  // nullopt.
  template <typename Done>
  std::optional<HostId> RouteToLeader(const Done& done) {
    std::optional<HostId> leader = KnownLeader();
    if (leader && *leader != options.self) return leader;
    if (!IsMember()) {
      const std::vector<HostId>& voters = voter_hint.empty() ? options.voters : voter_hint;
      for (size_t i = 0; i < voters.size(); ++i) {
        const HostId& voter = voters[next_voter++ % voters.size()];
        if (voter != options.self) return voter;
      }
    }
    AnswerNoQuorum(done);
    return std::nullopt;
  }

  void AnswerNoQuorum(const PutDone& done) { QueueAnswer(&callbacks, done, MakeNoQuorumAnswer()); }
  void AnswerNoQuorum(const ReadDone& done) { reads.AnswerNoQuorum(done); }

  std::optional<HostId> KnownLeader() const {
    if (IsMember()) {
      if (!storage_ok || consensus->leader.empty()) return std::nullopt;
      return consensus->leader;
    }
    if (leader_hint.empty()) return std::nullopt;
    return leader_hint;
  }

  // ---- reads and watches

  void AnswerReads() { reads.Answer(IsLeader() ? &*consensus : nullptr, trees.committed); }

  void RunTimers() {
    if (publisher.view()->revision < CurrentTree().revision) publisher.PublishIfDue(CurrentTree());
    AnswerReads();
    watches.Answer(CurrentTree(), clock.now());
    puts.AnswerOverdue(IsLeader());
    voter_changes.AnswerOverdue();
  }

  // ---- pulling revisions

  std::string MakePullResponse(uint64_t revision, uint64_t offset) {
    PullHints hints;
    hints.leader = KnownLeader().value_or(HostId());
    hints.voters = CurrentVoters();
    return EncodePullResponse(hints, CurrentTree(), revision, offset, &served_snapshot);
  }

  bool ApplyPullResponse(std::string_view bytes, const HostId& from) {
    ByteReader reader(bytes);
    PullHints hints = DecodePullHints(&reader);
    if (!hints.leader.empty()) leader_hint = hints.leader;
    if (!hints.voters.empty()) voter_hint = hints.voters;
    PullBody body = DecodePullBody(&reader);
    if (auto* deltas = std::get_if<PullDeltas>(&body)) {
      PersistPulledChanges(std::move(deltas->changes), from);
      return deltas->more;
    }
    if (auto* part = std::get_if<SnapshotPart>(&body)) return ReceiveSnapshotPart(*part, from);
    return false;
  }

  // Writes the changes to the journal, then applies and publishes them.
  void PersistPulledChanges(std::vector<ConfigChange> changes, const HostId& from) {
    if (changes.empty()) return;
    uint64_t newest = changes.back().revision;
    if (newest <= CurrentTree().revision) return;
    // With a failed disk the newest configuration still takes effect; the storage retry writes it.
    if (!consensus || !storage_ok) {
      ApplyPulledChanges(changes, from);
      return;
    }
    // The same changes may be pulled again while their first write is in progress.
    if (newest <= pulled_revision_in_write) return;
    // Journaled deltas apply to the pulled tree. The first pull writes that tree to the journal.
    if (trees.pulled.revision == 0 && trees.committed.revision != 0) {
      PersistPulledTree(trees.committed, changes, from);
      return;
    }
    pulled_revision_in_write = newest;
    std::string record = EncodePulledRecord(changes);
    log_bytes += record.size();
    auto on_done = [this, changes, from, before = journal_rewrites](bool ok) {
      pulled_revision_in_write = 0;
      if (!ok) FailStorage();
      if (journal_rewrites != before) {
        // The journal was rewritten without these changes.
        PersistPulledChanges(changes, from);
      } else {
        ApplyPulledChanges(changes, from);
      }
    };
    options.journal->Append(std::move(record), OnControlThread(std::move(on_done)));
  }

  // Applies and publishes changes that are on disk or need not be.
  void ApplyPulledChanges(const std::vector<ConfigChange>& changes, const HostId& from) {
    uint64_t before = CurrentTree().revision;
    if (trees.pulled.revision < trees.committed.revision) trees.pulled = trees.committed;
    std::vector<std::string> changed;
    for (const ConfigChange& change : changes) {
      if (ApplyChange(&trees.pulled, change)) changed.push_back(change.path);
    }
    if (CurrentTree().revision <= before) return;
    LogCaughtUp(before, from);
    Publish(/*whole_tree=*/false, changed);
    if (consensus && log_bytes > kMaxLogBytes) Compact();
  }

  // Applies `changes` to `tree`, writes the result to the journal and then publishes it.
  void PersistPulledTree(ConfigTree tree, const std::vector<ConfigChange>& changes,
                         const HostId& from) {
    for (const ConfigChange& change : changes) ApplyChange(&tree, change);
    if (tree.revision <= CurrentTree().revision) return;
    if (!consensus || !storage_ok) {
      ApplyPulledTree(std::move(tree), from);
      return;
    }
    if (tree.revision <= pulled_revision_in_write) return;
    pulled_revision_in_write = tree.revision;
    log_bytes = 0;
    uint64_t rewrite_id = ++journal_rewrites;
    std::string bytes = EncodeJournalSnapshot(ToPersisted(*consensus), tree);
    auto shared = std::make_shared<ConfigTree>(std::move(tree));
    auto on_done = [this, shared, from, rewrite_id](bool ok) {
      pulled_revision_in_write = 0;
      if (!ok) FailStorage();
      if (journal_rewrites != rewrite_id) {
        // The journal was rewritten without this tree.
        PersistPulledTree(std::move(*shared), {}, from);
      } else {
        ApplyPulledTree(std::move(*shared), from);
      }
    };
    options.journal->Compact(std::move(bytes), OnControlThread(std::move(on_done)));
  }

  void ApplyPulledTree(ConfigTree tree, const HostId& from) {
    uint64_t before = CurrentTree().revision;
    if (tree.revision <= before) return;
    trees.pulled = std::move(tree);
    LogCaughtUp(before, from);
    Publish(/*whole_tree=*/true, {});
  }

  void LogCaughtUp(uint64_t before, const HostId& from) {
    LogEvent(EventId::kConfigCaughtUp, {{"from", std::to_string(before)},
                                        {"to", std::to_string(CurrentTree().revision)},
                                        {"host", from.value()}});
  }

  bool ReceiveSnapshotPart(const SnapshotPart& part, const HostId& from) {
    ReceivedSnapshot::Result result = received_snapshot.Add(part, CurrentTree().revision);
    if (!result.tree) return result.more;
    LogEvent(EventId::kConfigSnapshotLoaded,
             {{"revision", std::to_string(result.tree->revision)}, {"source", from.value()}});
    PersistPulledTree(std::move(*result.tree), {}, from);
    return false;
  }

  std::vector<HostId> CurrentVoters() const {
    if (consensus && (IsMember() || LastIndex(*consensus) != 0)) {
      return std::vector<HostId>(consensus->members.voters.begin(),
                                 consensus->members.voters.end());
    }
    return voter_hint.empty() ? options.voters : voter_hint;
  }

  void Start(Time start) {
    clock.AdvanceTo(start);
    clock.Update();
    if (!options.journal) return;
    ConfigJournalContents contents = ReadConfigJournal(options.journal.get());
    if (!contents.empty) {
      consensus = RestoreConsensus(options.self, std::move(contents.consensus), clock.now(), rng);
      if (consensus->snapshot) trees.committed = FromSnapshot(*consensus->snapshot);
      trees.pulled = std::move(contents.pulled_tree);
      // Applies the entries that were committed before the restart.
      ProcessReady(ebonylift::Tick(&*consensus, clock.now(), rng));
    } else {
      bool lost = options.journal->LostContents();
      if (lost) LogEvent(EventId::kVoterDiskLost, {{"reason", "the journal is missing"}});
      std::set<HostId> voters(options.voters.begin(), options.voters.end());
      // The disk name must differ from that of a lost disk, so it is not derived from the seed.
      bool may_bootstrap = options.may_bootstrap && !lost;
      consensus = NewConsensus(options.self, voters, RandomHex(8), may_bootstrap, clock.now(), rng);
      Outgoing item;
      item.write_id = next_write_id++;
      uint64_t write_id = item.write_id;
      outgoing.push_back(std::move(item));
      RewriteJournal([this, write_id](bool ok) { OnWritten(write_id, ok); });
    }
    if (CurrentTree().revision > publisher.view()->revision) Publish(/*whole_tree=*/true, {});
  }
};

ConfigReplica::ConfigReplica(Options options) {
  bool voter =
      std::find(options.voters.begin(), options.voters.end(), options.self) != options.voters.end();
  if (voter && !options.journal) {
    throw Error(ErrorKind::kInternal, "a voter requires a data directory");
  }
  impl_ = std::make_unique<Impl>(std::move(options));
}

ConfigReplica::~ConfigReplica() = default;

void ConfigReplica::Start(Time now) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->Start(now);
}

void ConfigReplica::OnMessage(const HostId& from, std::string_view bytes) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  if (!impl_->consensus || !impl_->storage_ok) return;
  ConsensusMessage message;
  try {
    message = DecodeMessage(bytes);
    if (message.from != from) throw Error(ErrorKind::kBadRequest, "sender host mismatch");
  } catch (const Error& error) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", from.value()}, {"reason", error.what()}});
    return;
  }
  impl_->ProcessReady(Step(&*impl_->consensus, message, impl_->clock.Update(), impl_->rng));
}

void ConfigReplica::Tick(Time now) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->clock.AdvanceTo(now);
  impl_->RetryStorage();
  if (impl_->consensus && impl_->storage_ok) {
    impl_->ProcessReady(ebonylift::Tick(&*impl_->consensus, impl_->clock.now(), impl_->rng));
  }
  impl_->RunTimers();
}

std::optional<HostId> ConfigReplica::Put(const ConfigPut& put, PutDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->clock.Update();
  if (impl_->consensus && !impl_->storage_ok && impl_->IsMember()) {
    QueueAnswer(&impl_->callbacks, std::move(done),
                MakePutError(ErrorKind::kStorageFailed, "this host cannot write to its disk"));
    return std::nullopt;
  }
  if (!impl_->IsLeader()) return impl_->RouteToLeader(done);
  if (impl_->puts.size() >= kMaxPendingPuts) {
    QueueAnswer(&impl_->callbacks, std::move(done),
                MakePutError(ErrorKind::kOverloaded, "too many configuration changes are pending"));
    return std::nullopt;
  }
  if (!impl_->MayPropose()) {
    impl_->puts.Enqueue(put, std::move(done));
    return std::nullopt;
  }
  auto ready = impl_->puts.Propose(&*impl_->consensus, put, std::move(done));
  if (ready) impl_->ProcessReady(std::move(*ready));
  return std::nullopt;
}

std::optional<HostId> ConfigReplica::ReadCurrent(const std::string& path, ReadDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  if (!impl_->IsLeader()) return impl_->RouteToLeader(done);
  impl_->reads.Add(*impl_->consensus, path, std::move(done));
  impl_->AnswerReads();
  return std::nullopt;
}

ConfigRead ConfigReplica::Read(const std::string& path) const {
  const ConfigTree& tree = impl_->CurrentTree();
  return {tree.revision, ReadTree(tree, path)};
}

std::vector<ConfigChange> ConfigReplica::History(const std::string& path, size_t limit) const {
  return ReadHistory(impl_->CurrentTree(), path, limit);
}

void ConfigReplica::Watch(uint64_t from, Time deadline, WatchDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->watches.Add(from, deadline, std::move(done));
  impl_->watches.Answer(impl_->CurrentTree(), impl_->clock.now());
}

std::optional<HostId> ConfigReplica::Leader() const { return impl_->KnownLeader(); }
bool ConfigReplica::IsLeader() const { return impl_->IsLeader(); }
uint64_t ConfigReplica::term() const {
  return impl_->consensus ? impl_->consensus->hard_state.term : 0;
}
std::vector<HostId> ConfigReplica::Voters() const { return impl_->CurrentVoters(); }
bool ConfigReplica::IsVoter() const {
  return impl_->consensus && ebonylift::IsVoter(*impl_->consensus);
}

std::optional<HostId> ConfigReplica::AddVoter(const HostId& host, PutDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  return impl_->ChangeVoter(host, /*add=*/true, std::move(done));
}

std::optional<HostId> ConfigReplica::RemoveVoter(const HostId& host, PutDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  return impl_->ChangeVoter(host, /*add=*/false, std::move(done));
}

uint64_t ConfigReplica::revision() const { return impl_->CurrentTree().revision; }

bool ConfigReplica::NeedsPull() const {
  return !impl_->IsMember() || !impl_->consensus->hard_state.confirmed || !impl_->storage_ok;
}

std::string ConfigReplica::MakePullResponse(uint64_t revision, uint64_t offset) {
  return impl_->MakePullResponse(revision, offset);
}

uint64_t ConfigReplica::pull_offset() const { return impl_->received_snapshot.offset(); }

bool ConfigReplica::ApplyPullResponse(std::string_view bytes, const HostId& from) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  return impl_->ApplyPullResponse(bytes, from);
}

std::shared_ptr<const ConfigView> ConfigReplica::View() const { return impl_->publisher.view(); }
void ConfigReplica::SetViewChangedCallback(std::function<void()> fn) {
  impl_->publisher.SetChangedCallback(std::move(fn));
}

bool ConfigReplica::DiskLost() const {
  if (!impl_->consensus || impl_->consensus->hard_state.confirmed) return false;
  if (impl_->consensus->members.voters.count(impl_->options.self) == 0) return false;
  return impl_->consensus->disk_lost || !impl_->consensus->hard_state.may_bootstrap;
}

bool ConfigReplica::DiskConfirmed() const {
  return !impl_->consensus || impl_->consensus->hard_state.confirmed;
}

bool ConfigReplica::StorageOk() const { return impl_->storage_ok; }

}  // namespace ebonylift
