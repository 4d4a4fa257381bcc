#include "daemon/config_replica.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

#include "base/event.h"
#include "base/hash.h"
#include "core/codec.h"
#include "core/config_schema.h"
#include "core/config_tree.h"
#include "core/config_view.h"
#include "core/consensus.h"

namespace ebonylift {
namespace {

constexpr Duration kPutTimeout = seconds(10);
constexpr Duration kReadTimeout = seconds(2);
constexpr Duration kMemberTimeout = seconds(60);
constexpr Duration kStorageRetry = seconds(5);
constexpr Duration kMaxViewDelay = seconds(1);
constexpr uint64_t kKeptEntries = 512;  // log entries kept before a snapshot for hosts just behind
constexpr size_t kPullBytes = 1 << 20;
constexpr size_t kMaxPulledSnapshotBytes = 256 << 20;

enum class RecordKind : uint8_t { kConsensus = 1, kPulled = 2 };
enum class PullKind : uint8_t { kNothing = 0, kDeltas = 1, kSnapshot = 2 };

// ---- journal records

std::string ConsensusRecord(const Ready& ready, const HardState& hard) {
  ByteWriter writer;
  writer.U8(static_cast<uint8_t>(RecordKind::kConsensus));
  writer.Text(EncodeEntries(ready.append));
  writer.Text(EncodeHard(hard));
  return writer.Take();
}

std::string PulledRecord(const std::vector<ConfigChange>& changes) {
  ByteWriter writer;
  writer.U8(static_cast<uint8_t>(RecordKind::kPulled));
  writer.Text(EncodeChanges(changes));
  return writer.Take();
}

struct JournalContents {
  bool empty = true;
  PersistedState consensus;
  ConfigTree pulled;
};

std::string JournalSnapshot(const PersistedState& consensus, const ConfigTree& pulled) {
  ByteWriter writer;
  writer.Text(EncodePersisted(consensus));
  writer.Text(ToSnapshot(pulled));
  return writer.Take();
}

void ReadJournalSnapshot(std::string_view record, JournalContents* contents) {
  ByteReader reader(record);
  contents->consensus = DecodePersisted(reader.Text());
  contents->pulled = FromSnapshot(reader.Text());
}

void ReadConsensusRecord(ByteReader* reader, JournalContents* contents) {
  PersistedState& state = contents->consensus;
  for (LogEntry& entry : DecodeEntries(reader->Text())) {
    uint64_t last = state.base_index + state.log.size();
    if (entry.index <= state.base_index || entry.index > last + 1) {
      throw Error(ErrorKind::kStorageFailed,
                  "the journal lacks log entries before index " + std::to_string(entry.index));
    }
    state.log.resize(entry.index - state.base_index - 1);
    state.log.push_back(std::move(entry));
  }
  state.hard = DecodeHard(reader->Text());
}

void ReadRecord(std::string_view record, JournalContents* contents) {
  ByteReader reader(record);
  switch (static_cast<RecordKind>(reader.U8())) {
    case RecordKind::kConsensus:
      ReadConsensusRecord(&reader, contents);
      return;
    case RecordKind::kPulled:
      for (const ConfigChange& change : DecodeChanges(reader.Text())) {
        ApplyChange(&contents->pulled, change);
      }
      return;
  }
  throw Error(ErrorKind::kStorageFailed, "unknown record in the configuration journal");
}

JournalContents ReadJournal(Journal* journal) {
  JournalContents contents;
  journal->Replay([&](std::string_view record, bool is_snapshot) {
    contents.empty = false;
    try {
      if (is_snapshot) {
        ReadJournalSnapshot(record, &contents);
      } else {
        ReadRecord(record, &contents);
      }
    } catch (const Error& error) {
      throw Error(ErrorKind::kStorageFailed,
                  std::string("the configuration journal cannot be read: ") + error.what());
    }
  });
  return contents;
}

// ---- puts

// Equal values get equal texts, so that a resend with other white space is the same change.
void NormaliseValue(ConfigPut* put) {
  if (!put->value) return;
  nlohmann::json json = nlohmann::json::parse(*put->value, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) return;
  put->value = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

PutAnswer MakeError(ErrorKind kind, const std::string& message) {
  PutAnswer answer;
  answer.error = kind;
  answer.message = message;
  return answer;
}

PutAnswer MakeAnswer(const ConfigPut& put, const PutResult& result) {
  PutOutcome outcome = result.outcome == PutOutcome::kRepeated ? result.first : result.outcome;
  PutAnswer answer;
  answer.revision = result.revision;
  switch (outcome) {
    case PutOutcome::kApplied:
      return answer;
    case PutOutcome::kConflict:
      answer.error = ErrorKind::kConfigConflict;
      answer.message = put.path + " has revision " + std::to_string(result.revision) +
                       ", the change is based on " + std::to_string(put.base_revision);
      answer.current_value = result.current_value;
      return answer;
    case PutOutcome::kIdReused:
      return MakeError(ErrorKind::kKeyConflict,
                       "request id " + put.request_id + " was used for another change");
    case PutOutcome::kInvalid:
    case PutOutcome::kRepeated:
      break;
  }
  return MakeError(ErrorKind::kConfigInvalid,
                   put.path + ": the path does not exist or the change is over a limit");
}

// What the leader has proposed and not applied yet, on top of the tree. Only the leader proposes
// and entries are applied in order, so the revisions are known before the commit.
struct Proposed {
  std::optional<std::string> value;
  uint64_t revision = 0;
};

class ProposedReader : public TreeReader {
 public:
  ProposedReader(const ConfigTree& tree, const std::map<std::string, Proposed>& proposed)
      : tree_(tree), proposed_(proposed) {}

  std::optional<std::string> Find(const std::string& path) const override {
    auto change = proposed_.find(path);
    if (change != proposed_.end()) return change->second.value;
    auto entry = tree_.entries.find(path);
    if (entry == tree_.entries.end()) return std::nullopt;
    return entry->second.value;
  }

  void Visit(const std::string& prefix,
             const std::function<void(const std::string&, const std::string&)>& fn) const override {
    for (auto it = tree_.entries.lower_bound(prefix); it != tree_.entries.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      bool visible = IsAtOrBelow(it->first, prefix) && proposed_.count(it->first) == 0;
      if (visible) fn(it->first, it->second.value);
    }
    for (const auto& [path, change] : proposed_) {
      if (change.value && IsAtOrBelow(path, prefix)) fn(path, *change.value);
    }
  }

 private:
  const ConfigTree& tree_;
  const std::map<std::string, Proposed>& proposed_;
};

struct PendingPut {
  ConfigPut put;
  ConfigReplica::PutDone done;
  Time deadline;
};

struct PendingRead {
  std::string path;
  ConfigReplica::ReadDone done;
  uint64_t index = 0;
  Time deadline;
};

struct PendingMember {
  HostId host;
  bool wanted = true;  // true: a voter, false: not a member
  ConfigReplica::PutDone done;
  Time deadline;
};

struct PendingWatch {
  uint64_t from = 0;
  Time deadline;
  ConfigReplica::WatchDone done;
};

// Messages that wait for a write, in the order of the Readys.
struct Outgoing {
  uint64_t write = 0;  // 0: nothing to write
  bool durable = false;
  PersistMark mark;
  std::vector<ConsensusMessage> send;
};

}  // namespace

struct ConfigReplica::Impl {
  Options options;
  std::mt19937_64 rng;
  Time now;
  std::optional<Consensus> state;  // none: a host without a disk
  ConfigTree machine;              // what the consensus handed out
  ConfigTree pulled;               // what ApplySince() brought, while it is newer than `machine`
  std::shared_ptr<const ConfigView> view = std::make_shared<ConfigView>();
  std::function<void()> applied;
  bool rebuild_view = false;               // the next view is built anew
  std::vector<std::string> changed_paths;  // since `view`
  Time next_view;                          // earliest time of the next view

  std::deque<Outgoing> outgoing;
  uint64_t next_write = 1;
  uint64_t first_valid_write = 1;  // callbacks of earlier writes are ignored after a failure
  size_t log_bytes = 0;            // written since the last compaction
  bool storage_ok = true;
  std::optional<Time> storage_retry;

  std::map<uint64_t, PendingPut> puts;  // by log index, of the own term
  std::deque<PendingPut> waiting_puts;  // until the leader has applied the entries before its term
  std::vector<PendingRead> reads;
  std::vector<PendingMember> member_changes;
  std::vector<PendingWatch> watches;
  std::map<std::string, Proposed> proposed;
  std::set<std::pair<std::string, std::string>> proposed_ids;  // operator, request id
  uint64_t proposed_revision = 0;

  std::shared_ptr<const std::string> shared_snapshot;  // served by Since()
  uint64_t shared_revision = 0;
  std::string receiving;  // a partly pulled snapshot
  uint64_t receiving_revision = 0;
  uint64_t pulled_written = 0;  // newest pulled revision that was given to the journal
  HostId leader_hint;
  std::vector<HostId> voter_hint;
  size_t next_voter = 0;

  // Callbacks of the caller run when the outermost method ends: one that calls Put() again would
  // otherwise apply entries in the middle of a batch.
  std::deque<std::function<void()>> callbacks;
  int depth = 0;

  uint64_t compactions = 0;  // writes of everything that were started

  // Callbacks that arrive after the destructor are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  class Scope {
   public:
    explicit Scope(Impl* impl) : impl_(impl) { ++impl_->depth; }
    ~Scope() {
      while (impl_->depth == 1 && !impl_->callbacks.empty()) {
        std::function<void()> fn = std::move(impl_->callbacks.front());
        impl_->callbacks.pop_front();
        fn();
      }
      --impl_->depth;
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    Impl* impl_;
  };

  void Answer(PutDone done, PutAnswer answer) {
    callbacks.push_back([done = std::move(done), answer = std::move(answer)] { done(answer); });
  }
  void Answer(ReadDone done, std::optional<Error> error, ConfigRead read) {
    callbacks.push_back([done = std::move(done), error = std::move(error), read = std::move(read)] {
      done(error, read);
    });
  }

  const ConfigTree& Serving() const {
    return pulled.revision > machine.revision ? pulled : machine;
  }
  Time Now() {
    now = std::max(now, options.clock());
    return now;
  }
  bool IsLeader() const { return state && storage_ok && state->role == Role::kLeader; }
  bool IsMember() const {
    return state && (state->members.voters.count(options.self) != 0 ||
                     state->members.learners.count(options.self) != 0);
  }

  // ---- writing and sending

  void Process(Ready ready) {
    for (const Notice& notice : ready.notices) OnNotice(notice);
    if (ready.NeedsPersist() || !ready.send.empty()) Enqueue(ready);
    Apply(std::move(ready));
    if (log_bytes > kMaxLogBytes) Compact();
    FlushOutgoing();
  }

  void Enqueue(const Ready& ready) {
    Outgoing item;
    item.send = ready.send;
    item.mark = ready.mark;
    if (ready.NeedsPersist()) item.write = next_write++;
    outgoing.push_back(std::move(item));
    if (!ready.NeedsPersist()) return;
    uint64_t write = outgoing.back().write;
    if (ready.install) {
      WriteEverything([this, write](bool ok) { OnWritten(write, ok); });
    } else {
      std::string record = ConsensusRecord(ready, state->hard);
      log_bytes += record.size();
      options.journal->Append(std::move(record),
                              OnControlThread([this, write](bool ok) { OnWritten(write, ok); }));
    }
  }

  // Replaces the journal by the present state.
  void WriteEverything(std::function<void(bool)> done) {
    log_bytes = 0;
    ++compactions;
    options.journal->Compact(JournalSnapshot(ToPersisted(*state), pulled),
                             OnControlThread(std::move(done)));
  }

  // The returned function may be called on any thread.
  Journal::Done OnControlThread(std::function<void(bool)> fn) {
    std::weak_ptr<bool> weak = alive;
    Post post = options.post;
    return [this, weak, post, fn = std::move(fn)](bool ok) {
      post([this, weak, fn, ok] {
        if (!weak.lock()) return;
        Scope scope(this);
        fn(ok);
      });
    };
  }

  void OnWritten(uint64_t write, bool ok) {
    if (write < first_valid_write) return;
    if (!ok) {
      FailStorage();
      return;
    }
    for (Outgoing& item : outgoing) {
      if (item.write == write) item.durable = true;
    }
    FlushOutgoing();
  }

  void FlushOutgoing() {
    while (!outgoing.empty() && (outgoing.front().write == 0 || outgoing.front().durable)) {
      Outgoing item = std::move(outgoing.front());
      outgoing.pop_front();
      for (const ConsensusMessage& message : item.send) {
        options.send(message.to, EncodeMessage(message));
      }
      if (item.write != 0) Process(OnPersisted(&*state, item.mark, Now(), rng));
    }
  }

  // What is in memory may not be on disk. The host stays silent in the consensus until a write of
  // everything succeeds; that makes memory and disk equal again.
  void FailStorage() {
    if (!storage_ok) return;
    if (IsLeader()) {
      LogEvent(EventId::kLeaderSteppedDown,
               {{"term", std::to_string(state->hard.term)}, {"reason", "a write to disk failed"}});
    }
    storage_ok = false;
    storage_retry = now + kStorageRetry;
    outgoing.clear();
    first_valid_write = next_write;
    FailPending(ErrorKind::kConfigUnknown, "the change could not be written to disk");
  }

  void RetryStorage() {
    if (storage_ok || !storage_retry || now < *storage_retry) return;
    storage_retry.reset();
    uint64_t written = pulled.revision;
    WriteEverything([this, written](bool ok) {
      if (ok && written == pulled.revision) {
        ResumeAfterFailure();
      } else {
        storage_retry = ok ? now : now + kStorageRetry;
      }
    });
  }

  void ResumeAfterFailure() {
    Consensus restored = RestoreConsensus(options.self, ToPersisted(*state), Now(), rng);
    restored.handed_out = state->handed_out;
    restored.restore_pending = state->restore_pending;
    restored.disk_lost = state->disk_lost;
    state = std::move(restored);
    storage_ok = true;
  }

  void Compact() {
    if (!state || state->restore_pending || !storage_ok) return;
    auto snapshot = std::make_shared<const std::string>(ToSnapshot(machine));
    TakeSnapshot(&*state, state->handed_out, std::move(snapshot), kKeptEntries);
    Outgoing item;
    item.write = next_write++;
    item.mark = {LastIndex(*state), state->log.empty() ? state->base_term : state->log.back().term,
                 state->hard.commit};
    uint64_t write = item.write;
    outgoing.push_back(std::move(item));
    WriteEverything([this, write](bool ok) { OnWritten(write, ok); });
  }

  // ---- applying

  void Apply(Ready ready) {
    std::vector<std::string> changed;
    bool rebuild = false;
    uint64_t before = Serving().revision;
    if (ready.restored) {
      machine = FromSnapshot(*ready.restored);
      rebuild = true;
      LogEvent(EventId::kConfigSnapshotLoaded,
               {{"revision", std::to_string(machine.revision)}, {"source", "consensus"}});
    }
    for (const LogEntry& entry : ready.committed) {
      if (entry.kind == EntryKind::kPut) ApplyEntry(entry, &changed);
      if (entry.kind == EntryKind::kMembers) AnswerMemberChanges(DecodeMembers(entry.data));
    }
    if (pulled.revision != 0 && machine.revision >= pulled.revision) {
      pulled = ConfigTree();
      rebuild = true;
    }
    if (Serving().revision > before) Publish(rebuild, changed);
    AnswerReads();
    StartWaitingPuts();
  }

  void ApplyEntry(const LogEntry& entry, std::vector<std::string>* changed) {
    auto [put, accepted_at] = DecodePut(entry.data);
    PutResult result = ApplyPut(&machine, put, accepted_at);
    if (result.outcome == PutOutcome::kApplied) {
      changed->push_back(put.path);
      LogEvent(EventId::kConfigApplied, {{"revision", std::to_string(result.revision)},
                                         {"path", put.path},
                                         {"operator", put.operator_name}});
    }
    auto pending = puts.find(entry.index);
    if (pending == puts.end()) return;
    if (pending->second.done) Answer(std::move(pending->second.done), MakeAnswer(put, result));
    puts.erase(pending);
    proposed_ids.erase({put.operator_name, put.request_id});
    auto change = proposed.find(put.path);
    if (change != proposed.end() && change->second.revision <= machine.revision) {
      proposed.erase(change);
    }
  }

  // Building a view copies the one before, which takes tens of milliseconds with 28,000 teams. In a
  // burst of changes only one in ten parts of the time goes into views, so that heartbeats are
  // sent.
  void Publish(bool rebuild, const std::vector<std::string>& changed) {
    rebuild_view = rebuild_view || rebuild;
    if (!rebuild_view) changed_paths.insert(changed_paths.end(), changed.begin(), changed.end());
    AnswerWatches();
    if (now >= next_view) PublishView();
  }

  void PublishView() {
    const ConfigTree& tree = Serving();
    Time started = options.clock();
    ConfigView next =
        rebuild_view ? BuildConfigView(tree) : UpdateConfigView(*view, tree, changed_paths);
    view = std::make_shared<const ConfigView>(std::move(next));
    rebuild_view = false;
    changed_paths.clear();
    Time ended = options.clock();
    next_view = ended + std::min<Duration>(kMaxViewDelay, 9 * (ended - started));
    if (applied) callbacks.push_back(applied);
  }

  void OnNotice(const Notice& notice) {
    std::string term = std::to_string(state->hard.term);
    switch (notice.kind) {
      case NoticeKind::kElected:
        ClearProposed();
        LogEvent(EventId::kLeaderElected, {{"term", term}});
        return;
      case NoticeKind::kSteppedDown:
        LogEvent(EventId::kLeaderSteppedDown, {{"term", term}, {"reason", notice.text}});
        FailPending(ErrorKind::kConfigUnknown,
                    "the leader changed; resend the change with the same request id");
        return;
      case NoticeKind::kTermChanged:
        LogEvent(EventId::kTermChanged, {{"term", term}, {"leader", state->leader.value()}});
        return;
      case NoticeKind::kMembersChanged:
        LogEvent(EventId::kVoterChanged, {{"voters", notice.text}});
        return;
      case NoticeKind::kDiskLost:
        LogEvent(EventId::kVoterDiskLost, {{"reason", notice.text}});
        return;
      case NoticeKind::kConfirmed:
        LogEvent(EventId::kVoterConfirmed, {{"reason", notice.text}});
        return;
    }
  }

  // ---- puts on the leader

  void ClearProposed() {
    proposed.clear();
    proposed_ids.clear();
    proposed_revision = machine.revision;
  }

  bool MayPropose() const {
    return IsLeader() && CanPropose(*state) && state->handed_out >= state->term_start;
  }

  void StartWaitingPuts() {
    while (MayPropose() && !waiting_puts.empty()) {
      PendingPut put = std::move(waiting_puts.front());
      waiting_puts.pop_front();
      StartPut(std::move(put));
    }
  }

  void Refuse(const PendingPut& put, ErrorKind kind, const std::string& message) {
    LogEvent(EventId::kConfigRefused, {{"path", put.put.path}, {"kind", LookupError(kind).code}});
    Answer(put.done, MakeError(kind, message));
  }

  // Precondition: MayPropose().
  void StartPut(PendingPut pending) {
    NormaliseValue(&pending.put);
    const ConfigPut& put = pending.put;
    if (std::optional<PutResult> first = FindRepeated(machine, put)) {
      Answer(pending.done, MakeAnswer(put, *first));
      return;
    }
    std::vector<SchemaIssue> issues =
        put.value ? Validate(put.path, *put.value) : ValidatePath(put.path);
    bool effective = issues.empty() && ExpectEffect(put);
    if (effective) {
      issues = ValidateInTree(ProposedReader(machine, proposed), put.path, put.value);
    }
    if (!issues.empty()) {
      Refuse(pending, ErrorKind::kConfigInvalid, DescribeIssues(put.path, issues));
      return;
    }
    std::optional<Proposal> proposal =
        Propose(&*state, EntryKind::kPut, EncodePut(put, options.wall()), now);
    if (puts.empty()) ClearProposed();
    if (effective) proposed[put.path] = Proposed{put.value, ++proposed_revision};
    if (!put.request_id.empty()) proposed_ids.insert({put.operator_name, put.request_id});
    puts[proposal->index] = std::move(pending);
    Process(std::move(proposal->ready));
  }

  // Whether the put will change the tree when its turn comes. One that will not (a conflict or a
  // resend) is proposed all the same: its answer is then a committed one.
  bool ExpectEffect(const ConfigPut& put) const {
    if (proposed_ids.count({put.operator_name, put.request_id}) != 0) return false;
    uint64_t current = PathRevision(machine, put.path);
    auto change = proposed.find(put.path);
    if (change != proposed.end()) {
      current = change->second.value ? change->second.revision : 0;
    }
    return current == put.base_revision && (put.value || current != 0);
  }

  void FailPending(ErrorKind kind, const std::string& message) {
    auto open = std::move(puts);
    puts.clear();
    ClearProposed();
    auto members = std::move(member_changes);
    member_changes.clear();
    for (auto& [index, put] : open) {
      if (put.done) Answer(std::move(put.done), MakeError(kind, message));
    }
    for (PendingMember& change : members) Answer(change.done, MakeError(kind, message));
  }

  void AnswerMemberChanges(const MemberSet& members) {
    auto waiting = std::move(member_changes);
    member_changes.clear();
    for (PendingMember& change : waiting) {
      bool is_voter = members.voters.count(change.host) != 0;
      bool is_member = is_voter || members.learners.count(change.host) != 0;
      if (change.wanted ? is_voter : !is_member) {
        Answer(change.done, PutAnswer());
      } else {
        member_changes.push_back(std::move(change));
      }
    }
  }

  std::optional<HostId> ChangeMember(const HostId& host, bool wanted, PutDone done) {
    if (!IsLeader()) return RouteToLeader(done);
    MemberSet next = state->members;
    bool is_voter = next.voters.count(host) != 0;
    bool is_member = is_voter || next.learners.count(host) != 0;
    if (wanted ? is_voter : !is_member) {
      Answer(std::move(done), PutAnswer());
      return std::nullopt;
    }
    next.voters.erase(host);
    next.learners.erase(host);
    if (wanted) next.learners.insert(host);
    std::optional<Proposal> proposal = ProposeMembers(&*state, next, Now());
    if (!proposal) {
      Answer(std::move(done),
             MakeError(ErrorKind::kConfigConflict, "another change of the voters is not finished"));
      return std::nullopt;
    }
    member_changes.push_back({host, wanted, std::move(done), now + kMemberTimeout});
    Process(std::move(proposal->ready));
    return std::nullopt;
  }

  // The host to ask instead of this one; answers kNoQuorum when there is none.
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

  void AnswerNoQuorum(const PutDone& done) {
    Answer(done, MakeError(ErrorKind::kNoQuorum, "the control hosts have no leader"));
  }
  void AnswerNoQuorum(const ReadDone& done) {
    Answer(done, Error(ErrorKind::kNoQuorum, "the control hosts have no leader"), ConfigRead());
  }

  std::optional<HostId> KnownLeader() const {
    if (IsMember()) {
      if (!storage_ok || state->leader.empty()) return std::nullopt;
      return state->leader;
    }
    if (leader_hint.empty()) return std::nullopt;
    return leader_hint;
  }

  // ---- reads and watches

  void AnswerReads() {
    auto waiting = std::move(reads);
    reads.clear();
    for (PendingRead& read : waiting) {
      if (!IsLeader() || now >= read.deadline) {
        AnswerNoQuorum(read.done);
      } else if (state->handed_out >= read.index && LeaseValid(*state, Now())) {
        Answer(read.done, std::nullopt, {machine.revision, ReadTree(machine, read.path)});
      } else {
        reads.push_back(std::move(read));
      }
    }
  }

  std::vector<ConfigChange> ChangesSince(uint64_t from) const {
    const ConfigTree& tree = Serving();
    if (from >= tree.revision) return {};
    if (auto changes = DeltasSince(tree, from, kPullBytes)) return *changes;
    return std::vector<ConfigChange>(tree.history.begin(), tree.history.end());
  }

  void AnswerWatches() {
    auto waiting = std::move(watches);
    watches.clear();
    for (PendingWatch& watch : waiting) {
      if (Serving().revision > watch.from || now >= watch.deadline) {
        callbacks.push_back(
            [done = std::move(watch.done), changes = ChangesSince(watch.from)] { done(changes); });
      } else {
        watches.push_back(std::move(watch));
      }
    }
  }

  void ExpirePending() {
    if (view->revision < Serving().revision && now >= next_view) PublishView();
    AnswerReads();
    AnswerWatches();
    while (!waiting_puts.empty() && (!IsLeader() || now >= waiting_puts.front().deadline)) {
      PendingPut put = std::move(waiting_puts.front());
      waiting_puts.pop_front();
      Refuse(put, ErrorKind::kNoQuorum, "the control hosts have no leader");
    }
    // The entry stays: it may still be committed, and later puts build on it.
    for (auto& [index, put] : puts) {
      if (!put.done || now < put.deadline) continue;
      Answer(std::move(put.done), MakeError(ErrorKind::kConfigUnknown,
                                            "no majority of the control hosts answered in time"));
      put.done = nullptr;
    }
    auto changes = std::move(member_changes);
    member_changes.clear();
    for (PendingMember& change : changes) {
      if (now >= change.deadline) {
        Answer(change.done,
               MakeError(ErrorKind::kConfigUnknown, "the change of the voters is not finished"));
      } else {
        member_changes.push_back(std::move(change));
      }
    }
  }

  // ---- pulling

  std::string Since(uint64_t revision, uint64_t offset) {
    const ConfigTree& tree = Serving();
    ByteWriter writer;
    std::optional<HostId> leader = KnownLeader();
    writer.Text(leader ? leader->value() : "");
    std::vector<HostId> voters = CurrentVoters();
    writer.U32(static_cast<uint32_t>(voters.size()));
    for (const HostId& voter : voters) writer.Text(voter.value());
    if (revision >= tree.revision) {
      writer.U8(static_cast<uint8_t>(PullKind::kNothing));
      return writer.Take();
    }
    if (auto changes = DeltasSince(tree, revision, kPullBytes)) {
      writer.U8(static_cast<uint8_t>(PullKind::kDeltas));
      writer.Bool(changes->back().revision < tree.revision);
      writer.Text(EncodeChanges(*changes));
      return writer.Take();
    }
    RefreshSharedSnapshot(revision);
    offset = std::min<uint64_t>(offset, shared_snapshot->size());
    writer.U8(static_cast<uint8_t>(PullKind::kSnapshot));
    writer.U64(shared_revision);
    writer.U64(shared_snapshot->size());
    writer.U64(offset);
    writer.Text(shared_snapshot->substr(offset, kPullBytes));
    return writer.Take();
  }

  // Keeps the snapshot as long as deltas lead on from it, so that a transfer in parts can end.
  void RefreshSharedSnapshot(uint64_t revision) {
    const ConfigTree& tree = Serving();
    bool usable = shared_snapshot && shared_revision > revision &&
                  DeltasSince(tree, shared_revision, 1).has_value();
    if (usable) return;
    shared_snapshot =
        std::make_shared<const std::string>(ToSnapshot(tree, /*with_requests=*/false));
    shared_revision = tree.revision;
  }

  bool ApplySince(std::string_view bytes, const HostId& from) {
    ByteReader reader(bytes);
    HostId leader(reader.Text());
    std::vector<HostId> voters;
    for (uint32_t n = reader.U32(); n > 0; --n) voters.emplace_back(reader.Text());
    if (!leader.empty()) leader_hint = leader;
    if (!voters.empty()) voter_hint = voters;
    switch (static_cast<PullKind>(reader.U8())) {
      case PullKind::kNothing:
        return false;
      case PullKind::kDeltas: {
        bool more = reader.Bool();
        AcceptDeltas(DecodeChanges(reader.Text()), from);
        return more;
      }
      case PullKind::kSnapshot:
        return AcceptSnapshotPart(&reader, from);
    }
    throw Error(ErrorKind::kBadRequest, "unknown answer to a configuration pull");
  }

  void AcceptDeltas(std::vector<ConfigChange> changes, const HostId& from) {
    if (changes.empty()) return;
    uint64_t newest = changes.back().revision;
    if (newest <= Serving().revision) return;
    // With a failed disk the newest configuration is in force all the same; a retry writes it.
    if (!state || !storage_ok) {
      AdoptChanges(changes, from);
      return;
    }
    // The same changes may arrive again while the first write is open.
    if (newest <= pulled_written) return;
    // Deltas build on the pulled tree; a journal that has none yet gets it with the first pull.
    if (pulled.revision == 0 && machine.revision != 0) {
      AdoptTree(machine, changes, from);
      return;
    }
    pulled_written = newest;
    std::string record = PulledRecord(changes);
    log_bytes += record.size();
    auto on_done = [this, changes, from, before = compactions](bool ok) {
      pulled_written = 0;
      if (!ok) FailStorage();
      if (compactions != before) {
        AcceptDeltas(changes, from);  // the journal was replaced by a state without them
      } else {
        AdoptChanges(changes, from);
      }
    };
    options.journal->Append(std::move(record), OnControlThread(std::move(on_done)));
  }

  // Publishes changes that are on disk (or need not be).
  void AdoptChanges(const std::vector<ConfigChange>& changes, const HostId& from) {
    uint64_t before = Serving().revision;
    if (pulled.revision < machine.revision) pulled = machine;
    std::vector<std::string> changed;
    for (const ConfigChange& change : changes) {
      if (ApplyChange(&pulled, change)) changed.push_back(change.path);
    }
    if (Serving().revision <= before) return;
    LogCaughtUp(before, from);
    Publish(/*rebuild=*/false, changed);
    if (state && log_bytes > kMaxLogBytes) Compact();
  }

  // Publishes `tree` with `changes` on top after the journal has all of it.
  void AdoptTree(ConfigTree tree, const std::vector<ConfigChange>& changes, const HostId& from) {
    for (const ConfigChange& change : changes) ApplyChange(&tree, change);
    if (tree.revision <= Serving().revision) return;
    if (!state || !storage_ok) {
      PublishTree(std::move(tree), from);
      return;
    }
    if (tree.revision <= pulled_written) return;
    pulled_written = tree.revision;
    log_bytes = 0;
    uint64_t own = ++compactions;
    std::string bytes = JournalSnapshot(ToPersisted(*state), tree);
    auto shared = std::make_shared<ConfigTree>(std::move(tree));
    auto on_done = [this, shared, from, own](bool ok) {
      pulled_written = 0;
      if (!ok) FailStorage();
      if (compactions != own) {
        AdoptTree(std::move(*shared), {}, from);  // replaced by a state without the tree
      } else {
        PublishTree(std::move(*shared), from);
      }
    };
    options.journal->Compact(std::move(bytes), OnControlThread(std::move(on_done)));
  }

  void PublishTree(ConfigTree tree, const HostId& from) {
    uint64_t before = Serving().revision;
    if (tree.revision <= before) return;
    pulled = std::move(tree);
    LogCaughtUp(before, from);
    Publish(/*rebuild=*/true, {});
  }

  void LogCaughtUp(uint64_t before, const HostId& from) {
    LogEvent(EventId::kConfigCaughtUp, {{"from", std::to_string(before)},
                                        {"to", std::to_string(Serving().revision)},
                                        {"host", from.value()}});
  }

  bool AcceptSnapshotPart(ByteReader* reader, const HostId& from) {
    uint64_t revision = reader->U64();
    uint64_t total = reader->U64();
    uint64_t offset = reader->U64();
    std::string data = reader->Text();
    bool malformed = total > kMaxPulledSnapshotBytes || offset > total ||
                     data.size() > total - offset || (data.empty() && total != offset);
    if (malformed) throw Error(ErrorKind::kBadRequest, "malformed part of a snapshot");
    if (revision <= Serving().revision) {
      receiving.clear();
      return false;
    }
    if (revision != receiving_revision || offset == 0) receiving.clear();
    receiving_revision = revision;
    if (offset != receiving.size()) return true;  // pull_offset() says where to go on
    receiving += data;
    if (receiving.size() < total) return true;
    ConfigTree tree = FromSnapshot(receiving);
    receiving.clear();
    LogEvent(EventId::kConfigSnapshotLoaded,
             {{"revision", std::to_string(tree.revision)}, {"source", from.value()}});
    AdoptTree(std::move(tree), {}, from);
    return false;
  }

  std::vector<HostId> CurrentVoters() const {
    if (state && (IsMember() || LastIndex(*state) != 0)) {
      return std::vector<HostId>(state->members.voters.begin(), state->members.voters.end());
    }
    return voter_hint.empty() ? options.voters : voter_hint;
  }

  void Start(Time start) {
    now = std::max(start, options.clock());
    if (!options.journal) return;
    JournalContents contents = ReadJournal(options.journal.get());
    if (!contents.empty) {
      state = RestoreConsensus(options.self, std::move(contents.consensus), now, rng);
      if (state->snapshot) machine = FromSnapshot(*state->snapshot);
      pulled = std::move(contents.pulled);
      Process(ebonylift::Tick(&*state, now, rng));  // hands out what was committed before
    } else {
      bool lost = options.journal->LostContents();
      if (lost) LogEvent(EventId::kVoterDiskLost, {{"reason", "the journal's folder is empty"}});
      std::set<HostId> voters(options.voters.begin(), options.voters.end());
      // The name must differ from that of a lost disk, so it does not come from the seed.
      bool may_found = options.may_found && !lost;
      state = NewConsensus(options.self, voters, RandomHex(8), may_found, now, rng);
      Outgoing item;
      item.write = next_write++;
      uint64_t write = item.write;
      outgoing.push_back(std::move(item));
      WriteEverything([this, write](bool ok) { OnWritten(write, ok); });
    }
    if (Serving().revision > view->revision) Publish(/*rebuild=*/true, {});
  }
};

ConfigReplica::ConfigReplica(Options options) : impl_(std::make_unique<Impl>()) {
  bool voter =
      std::find(options.voters.begin(), options.voters.end(), options.self) != options.voters.end();
  if (voter && !options.journal) {
    throw Error(ErrorKind::kInternal, "a voter needs a data directory");
  }
  impl_->rng.seed(options.seed);
  impl_->options = std::move(options);
}

ConfigReplica::~ConfigReplica() = default;

void ConfigReplica::Start(Time now) {
  Impl::Scope scope(impl_.get());
  impl_->Start(now);
}

void ConfigReplica::OnMessage(const HostId& from, std::string_view bytes) {
  Impl::Scope scope(impl_.get());
  if (!impl_->state || !impl_->storage_ok) return;
  ConsensusMessage message;
  try {
    message = DecodeMessage(bytes);
    if (message.from != from) throw Error(ErrorKind::kBadRequest, "sent in another host's name");
  } catch (const Error& error) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", from.value()}, {"reason", error.what()}});
    return;
  }
  impl_->Process(Step(&*impl_->state, message, impl_->Now(), impl_->rng));
}

void ConfigReplica::Tick(Time now) {
  Impl::Scope scope(impl_.get());
  impl_->now = std::max(impl_->now, now);
  impl_->RetryStorage();
  if (impl_->state && impl_->storage_ok) {
    impl_->Process(ebonylift::Tick(&*impl_->state, impl_->now, impl_->rng));
  }
  impl_->ExpirePending();
}

std::optional<HostId> ConfigReplica::Put(const ConfigPut& put, PutDone done) {
  Impl::Scope scope(impl_.get());
  impl_->Now();
  if (impl_->state && !impl_->storage_ok && impl_->IsMember()) {
    impl_->Answer(std::move(done), MakeError(ErrorKind::kStorageFailed,
                                             "this control host cannot write to its disk"));
    return std::nullopt;
  }
  if (!impl_->IsLeader()) return impl_->RouteToLeader(done);
  if (impl_->puts.size() + impl_->waiting_puts.size() >= kMaxPendingPuts) {
    impl_->Answer(std::move(done),
                  MakeError(ErrorKind::kOverloaded, "too many configuration changes are open"));
    return std::nullopt;
  }
  PendingPut pending{put, std::move(done), impl_->now + kPutTimeout};
  if (impl_->MayPropose()) {
    impl_->StartPut(std::move(pending));
  } else {
    impl_->waiting_puts.push_back(std::move(pending));
  }
  return std::nullopt;
}

std::optional<HostId> ConfigReplica::ReadCurrent(const std::string& path, ReadDone done) {
  Impl::Scope scope(impl_.get());
  if (!impl_->IsLeader()) return impl_->RouteToLeader(done);
  Time now = impl_->Now();
  impl_->reads.push_back({path, std::move(done), ReadIndex(*impl_->state), now + kReadTimeout});
  impl_->AnswerReads();
  return std::nullopt;
}

ConfigRead ConfigReplica::Read(const std::string& path) const {
  const ConfigTree& tree = impl_->Serving();
  return {tree.revision, ReadTree(tree, path)};
}

std::vector<ConfigChange> ConfigReplica::History(const std::string& path, size_t limit) const {
  return ReadHistory(impl_->Serving(), path, limit);
}

void ConfigReplica::Watch(uint64_t from, Time deadline, WatchDone done) {
  Impl::Scope scope(impl_.get());
  impl_->watches.push_back({from, deadline, std::move(done)});
  impl_->AnswerWatches();
}

std::optional<HostId> ConfigReplica::Leader() const { return impl_->KnownLeader(); }
bool ConfigReplica::IsLeader() const { return impl_->IsLeader(); }
uint64_t ConfigReplica::term() const { return impl_->state ? impl_->state->hard.term : 0; }
std::vector<HostId> ConfigReplica::Voters() const { return impl_->CurrentVoters(); }
bool ConfigReplica::IsVoter() const { return impl_->state && ebonylift::IsVoter(*impl_->state); }

std::optional<HostId> ConfigReplica::AddVoter(const HostId& host, PutDone done) {
  Impl::Scope scope(impl_.get());
  return impl_->ChangeMember(host, /*wanted=*/true, std::move(done));
}

std::optional<HostId> ConfigReplica::RemoveVoter(const HostId& host, PutDone done) {
  Impl::Scope scope(impl_.get());
  return impl_->ChangeMember(host, /*wanted=*/false, std::move(done));
}

uint64_t ConfigReplica::revision() const { return impl_->Serving().revision; }

bool ConfigReplica::NeedsPull() const {
  return !impl_->IsMember() || !impl_->state->hard.confirmed || !impl_->storage_ok;
}

std::string ConfigReplica::Since(uint64_t revision, uint64_t offset) {
  return impl_->Since(revision, offset);
}

uint64_t ConfigReplica::pull_offset() const { return impl_->receiving.size(); }

bool ConfigReplica::ApplySince(std::string_view bytes, const HostId& from) {
  Impl::Scope scope(impl_.get());
  return impl_->ApplySince(bytes, from);
}

std::shared_ptr<const ConfigView> ConfigReplica::View() const { return impl_->view; }
void ConfigReplica::OnApplied(std::function<void()> fn) { impl_->applied = std::move(fn); }

bool ConfigReplica::DiskLost() const {
  if (!impl_->state || impl_->state->hard.confirmed) return false;
  if (impl_->state->members.voters.count(impl_->options.self) == 0) return false;
  return impl_->state->disk_lost || !impl_->state->hard.may_found;
}

bool ConfigReplica::DiskConfirmed() const { return !impl_->state || impl_->state->hard.confirmed; }

bool ConfigReplica::StorageOk() const { return impl_->storage_ok; }

}  // namespace ebonylift
