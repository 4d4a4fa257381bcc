#include "daemon/config_replica.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/event.h"
#include "core/codec.h"
#include "core/config_tree.h"
#include "core/consensus.h"
#include "daemon/callback_queue.h"
#include "daemon/config_journal.h"
#include "daemon/config_journal_records.h"
#include "daemon/config_pull.h"
#include "daemon/config_puts.h"
#include "daemon/config_reads.h"
#include "daemon/config_trees.h"
#include "daemon/config_view_publisher.h"
#include "daemon/config_watches.h"
#include "daemon/durable_consensus.h"
#include "daemon/leader_locator.h"
#include "daemon/pulled_revisions.h"
#include "daemon/put_answers.h"
#include "daemon/replica_clock.h"
#include "daemon/voter_changes.h"

namespace ebonylift {

// Connects the parts of the replica. Each part has its own state; this class applies committed
// entries to the tree and tells the parts that depend on it.
struct ConfigReplica::Impl {
  explicit Impl(Options replica_options);

  bool IsLeader() const { return consensus.IsLeader(); }
  const ConfigTree& CurrentTree() const { return trees.Current(); }

  void Start(Time start);

  // Applies committed entries. Called for every Ready of the consensus.
  void Apply(Ready ready);
  void ApplyPut(const LogEntry& entry, std::vector<std::string>* changed);

  // Makes a newer revision visible to watches, and to views in the next RunTimers(). The changed
  // paths are in `changed`, or anything may have changed when `whole_tree` is true.
  void Publish(bool whole_tree, const std::vector<std::string>& changed);

  void AnswerReads();
  void ProposeQueuedPuts();
  void RunTimers();
  std::optional<HostId> ChangeVoter(const HostId& host, bool add, PutDone done);

  // Returns the host to ask instead of this one. Without one, answers kNoQuorum and returns
  // nullopt.
  template <typename Done>
  std::optional<HostId> RouteToLeader(const Done& done);
  void AnswerNoQuorum(const PutDone& done) { QueueAnswer(&callbacks, done, MakeNoQuorumAnswer()); }
  void AnswerNoQuorum(const ReadDone& done) { reads.AnswerNoQuorum(done); }

  const Options options;
  CallbackQueue callbacks;
  ReplicaClock clock;
  ConfigTrees trees;
  ConfigJournal journal;
  DurableConsensus consensus;
  LeaderLocator locator;
  PulledRevisions pulled;
  ServedSnapshot served_snapshot;
  ConfigReads reads;
  ConfigWatches watches;
  ConfigPuts puts;
  VoterChanges voter_changes;
  ConfigViewPublisher publisher;
  std::function<void()> revision_changed;  // may be empty

 private:
  DurableConsensus::Options MakeConsensusOptions();
};

ConfigReplica::Impl::Impl(Options replica_options)
    : options(std::move(replica_options)),
      clock(options.clock),
      journal(options.journal, options.post, &callbacks),
      consensus(MakeConsensusOptions(), &clock, &trees, &journal),
      locator(options.self, options.voters, &consensus),
      pulled(&trees, &journal, &consensus,
             [this](bool whole_tree, const std::vector<std::string>& changed) {
               Publish(whole_tree, changed);
             }),
      reads(&clock, &callbacks),
      watches(&callbacks),
      puts(&trees.committed, &clock, options.wall, &callbacks),
      voter_changes(&clock, &callbacks),
      publisher(&clock, &callbacks) {}

DurableConsensus::Options ConfigReplica::Impl::MakeConsensusOptions() {
  DurableConsensus::Options result;
  result.self = options.self;
  result.seed = options.seed;
  result.max_log_bytes = kMaxLogBytes;
  result.handlers.send = options.send;
  result.handlers.apply = [this](Ready ready) { Apply(std::move(ready)); };
  result.handlers.on_elected = [this] { puts.OnElected(); };
  result.handlers.on_proposals_lost = [this](const std::string& reason) {
    puts.FailProposed(ErrorKind::kConfigUnknown, reason);
    voter_changes.Fail(ErrorKind::kConfigUnknown, reason);
  };
  return result;
}

void ConfigReplica::Impl::Start(Time start) {
  clock.AdvanceTo(start);
  clock.Update();
  if (!options.journal) return;
  ConfigJournalContents contents = ReadConfigJournal(options.journal.get());
  if (!contents.empty) {
    consensus.Restore(std::move(contents.consensus));
    const auto& snapshot = consensus.state()->snapshot;
    if (snapshot) trees.committed = FromSnapshot(*snapshot);
    trees.pulled = std::move(contents.pulled_tree);
    // Applies the entries that were committed before the restart.
    consensus.Tick();
  } else {
    bool lost = options.journal->LostContents();
    if (lost) LogEvent(EventId::kVoterDiskLost, {{"reason", "the journal is missing"}});
    std::set<HostId> voters(options.voters.begin(), options.voters.end());
    consensus.Create(voters, options.may_bootstrap && !lost);
  }
  if (CurrentTree().revision <= publisher.view()->revision) return;
  Publish(/*whole_tree=*/true, {});
  publisher.PublishIfDue(CurrentTree());
}

void ConfigReplica::Impl::Apply(Ready ready) {
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
    bool is_put = entry.kind == EntryKind::kPut || entry.kind == EntryKind::kPutDifference;
    if (is_put) ApplyPut(entry, &changed);
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

namespace {

PutResult ApplyPutEntry(const LogEntry& entry, ConfigTree* tree, ConfigPut* put) {
  if (entry.kind == EntryKind::kPut) {
    WallMillis accepted_at = 0;
    std::tie(*put, accepted_at) = DecodePut(entry.data);
    return ApplyPut(tree, *put, accepted_at);
  }
  try {
    return ApplyPutDifference(tree, entry.data, put);
  } catch (const Error& error) {
    // Equal logs give equal trees, so this tree is corrupt and must not be served.
    LOG(FATAL) << "a committed change of the configuration cannot be applied: " << error.what();
  }
}

}  // namespace

void ConfigReplica::Impl::ApplyPut(const LogEntry& entry, std::vector<std::string>* changed) {
  ConfigPut put;
  PutResult result = ApplyPutEntry(entry, &trees.committed, &put);
  if (result.outcome == PutOutcome::kApplied) {
    changed->push_back(put.path);
    LogEvent(EventId::kConfigApplied, {{"revision", std::to_string(result.revision)},
                                       {"path", put.path},
                                       {"bytes", std::to_string(entry.data.size())},
                                       {"operator", put.operator_name}});
  }
  puts.OnApplied(entry.index, put, result);
}

void ConfigReplica::Impl::Publish(bool whole_tree, const std::vector<std::string>& changed) {
  publisher.AddChanges(whole_tree, changed);
  watches.Answer(CurrentTree(), clock.now());
  if (revision_changed) callbacks.Push(revision_changed);
}

void ConfigReplica::Impl::AnswerReads() {
  reads.Answer(IsLeader() ? consensus.state() : nullptr, trees.committed);
}

void ConfigReplica::Impl::ProposeQueuedPuts() {
  while (consensus.MayPropose() && puts.HasProposable()) {
    auto ready = puts.ProposeQueued(consensus.mutable_state());
    if (ready) consensus.Process(std::move(*ready));
  }
}

void ConfigReplica::Impl::RunTimers() {
  if (publisher.view()->revision < CurrentTree().revision) publisher.PublishIfDue(CurrentTree());
  AnswerReads();
  watches.Answer(CurrentTree(), clock.now());
  puts.AnswerOverdue(IsLeader());
  voter_changes.AnswerOverdue();
}

std::optional<HostId> ConfigReplica::Impl::ChangeVoter(const HostId& host, bool add, PutDone done) {
  if (!IsLeader()) return RouteToLeader(done);
  auto ready = voter_changes.Propose(consensus.mutable_state(), host, add, std::move(done));
  if (ready) consensus.Process(std::move(*ready));
  return std::nullopt;
}

template <typename Done>
std::optional<HostId> ConfigReplica::Impl::RouteToLeader(const Done& done) {
  std::optional<HostId> host = locator.HostToAsk();
  if (!host) AnswerNoQuorum(done);
  return host;
}

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
  impl_->consensus.OnMessage(from, bytes);
}

void ConfigReplica::Tick(Time now) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->clock.AdvanceTo(now);
  impl_->consensus.Tick();
  impl_->RunTimers();
}

std::optional<HostId> ConfigReplica::Put(const ConfigPut& put, PutDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  impl_->clock.Update();
  if (impl_->consensus.IsMember() && !impl_->consensus.storage_ok()) {
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
  if (!impl_->consensus.MayPropose() || impl_->puts.MustWait(put)) {
    impl_->puts.Enqueue(put, std::move(done));
    return std::nullopt;
  }
  auto ready = impl_->puts.Propose(impl_->consensus.mutable_state(), put, std::move(done));
  if (ready) impl_->consensus.Process(std::move(*ready));
  return std::nullopt;
}

std::optional<HostId> ConfigReplica::ReadCurrent(const std::string& path, ReadDone done) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  if (!impl_->IsLeader()) return impl_->RouteToLeader(done);
  impl_->reads.Add(*impl_->consensus.state(), path, std::move(done));
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

std::optional<HostId> ConfigReplica::Leader() const { return impl_->locator.Leader(); }
bool ConfigReplica::IsLeader() const { return impl_->IsLeader(); }
bool ConfigReplica::HoldsLease(Time now) const {
  return impl_->IsLeader() && LeaseValid(*impl_->consensus.state(), now);
}
uint64_t ConfigReplica::term() const {
  const Consensus* state = impl_->consensus.state();
  return state != nullptr ? state->hard_state.term : 0;
}
std::vector<HostId> ConfigReplica::Voters() const { return impl_->locator.Voters(); }
bool ConfigReplica::IsVoter() const {
  const Consensus* state = impl_->consensus.state();
  return state != nullptr && ebonylift::IsVoter(*state);
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
  const DurableConsensus& consensus = impl_->consensus;
  return !consensus.IsMember() || !consensus.state()->hard_state.confirmed ||
         !consensus.storage_ok();
}

std::string ConfigReplica::MakePullResponse(uint64_t revision, uint64_t offset) {
  PullHints hints;
  hints.leader = impl_->locator.Leader().value_or(HostId());
  hints.voters = impl_->locator.Voters();
  return EncodePullResponse(hints, impl_->CurrentTree(), revision, offset, &impl_->served_snapshot);
}

uint64_t ConfigReplica::pull_offset(const HostId& peer) const { return impl_->pulled.offset(peer); }
bool ConfigReplica::in_snapshot() const { return impl_->pulled.in_snapshot(); }
void ConfigReplica::OnPullFailed(const HostId& peer) { impl_->pulled.OnPullFailed(peer); }

bool ConfigReplica::ApplyPullResponse(std::string_view bytes, const HostId& from) {
  CallbackQueue::Scope scope(&impl_->callbacks);
  ByteReader reader(bytes);
  impl_->locator.AddHints(DecodePullHints(&reader));
  return impl_->pulled.Receive(DecodePullBody(&reader), from);
}

std::shared_ptr<const ConfigView> ConfigReplica::View() const { return impl_->publisher.view(); }
void ConfigReplica::SetRevisionChangedCallback(std::function<void()> fn) {
  impl_->revision_changed = std::move(fn);
}
void ConfigReplica::SetViewChangedCallback(std::function<void()> fn) {
  impl_->publisher.SetChangedCallback(std::move(fn));
}

bool ConfigReplica::DiskLost() const {
  const Consensus* state = impl_->consensus.state();
  if (state == nullptr || state->hard_state.confirmed) return false;
  if (state->members.voters.count(impl_->options.self) == 0) return false;
  return state->disk_lost || !state->hard_state.may_bootstrap;
}

bool ConfigReplica::DiskConfirmed() const {
  const Consensus* state = impl_->consensus.state();
  return state == nullptr || state->hard_state.confirmed;
}

bool ConfigReplica::StorageOk() const { return impl_->consensus.storage_ok(); }

}  // namespace ebonylift
