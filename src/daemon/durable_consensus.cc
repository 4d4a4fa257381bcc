#include "daemon/durable_consensus.h"

#include <memory>
#include <utility>

#include "base/error.h"
#include "base/event.h"
#include "base/hash.h"
#include "daemon/config_journal_records.h"

namespace ebonylift {
namespace {

constexpr Duration kStorageRetryInterval = seconds(5);
// Log entries kept before a snapshot, so that members slightly behind do not need the snapshot.
constexpr uint64_t kRetainedLogEntries = 512;
constexpr size_t kRetainedLogBytes = 1 << 20;
constexpr size_t kDiskIdBytes = 8;

uint64_t LastTerm(const Consensus& state) {
  return state.log.empty() ? state.base_term : state.log.back().term;
}

}  // namespace

DurableConsensus::DurableConsensus(Options options, ReplicaClock* clock, const ConfigTrees* trees,
                                   ConfigJournal* journal)
    : options_(std::move(options)),
      clock_(clock),
      trees_(trees),
      journal_(journal),
      rng_(options_.seed) {}

void DurableConsensus::Create(const std::set<HostId>& voters, bool may_bootstrap) {
  // The disk name must differ from that of a lost disk, so it is not derived from the seed.
  state_ = NewConsensus(options_.self, voters, RandomHex(kDiskIdBytes), may_bootstrap,
                        clock_->now(), rng_);
  DurableOutbox::Item item;
  item.needs_write = true;
  RewriteJournal(outbox_.Add(std::move(item)));
}

void DurableConsensus::Restore(PersistedState persisted) {
  state_ = RestoreConsensus(options_.self, std::move(persisted), clock_->now(), rng_);
}

bool DurableConsensus::IsLeader() const {
  return state_ && storage_ok_ && state_->role == Role::kLeader;
}

bool DurableConsensus::IsMember() const {
  return state_ && (state_->members.voters.count(options_.self) != 0 ||
                    state_->members.learners.count(options_.self) != 0);
}

bool DurableConsensus::MayPropose() const {
  return IsLeader() && CanPropose(*state_) && state_->delivered_index >= state_->term_start;
}

void DurableConsensus::OnMessage(const HostId& from, std::string_view bytes) {
  if (!state_ || !storage_ok_) return;
  ConsensusMessage message;
  try {
    message = DecodeMessage(bytes);
    if (message.from != from) throw Error(ErrorKind::kBadRequest, "sender host mismatch");
  } catch (const Error& error) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", from.value()}, {"reason", error.what()}});
    return;
  }
  Process(Step(&*state_, message, clock_->Update(), rng_));
}

void DurableConsensus::Tick() {
  RetryStorage();
  if (state_ && storage_ok_) Process(ebonylift::Tick(&*state_, clock_->now(), rng_));
}

void DurableConsensus::Process(Ready ready) {
  for (const Notice& notice : ready.notices) OnNotice(notice);
  if (ready.NeedsPersist() || !ready.send.empty()) Persist(ready);
  options_.handlers.apply(std::move(ready));
  CompactIfLarge();
  SendDurable();
}

// Starts the journal write that the Ready needs and queues its messages behind the write.
void DurableConsensus::Persist(const Ready& ready) {
  uint64_t write_id = outbox_.Add({ready.NeedsPersist(), ready.mark, ready.send});
  if (!ready.NeedsPersist()) return;
  if (ready.persist_all) {
    RewriteJournal(write_id);
    return;
  }
  journal_->Append(EncodeConsensusRecord(ready, state_->hard_state),
                   [this, write_id](bool ok, bool) { OnWritten(write_id, ok); });
}

// Replaces the contents of the journal by the current state.
void DurableConsensus::RewriteJournal(uint64_t write_id) {
  journal_->Rewrite(EncodeJournalSnapshot(ToPersisted(*state_), trees_->pulled),
                    [this, write_id](bool ok, bool) { OnWritten(write_id, ok); });
}

void DurableConsensus::OnWritten(uint64_t write_id, bool ok) {
  if (!outbox_.IsExpected(write_id)) return;
  if (!ok) {
    FailStorage();
    return;
  }
  outbox_.OnWritten(write_id);
  SendDurable();
}

void DurableConsensus::SendDurable() {
  while (std::optional<DurableOutbox::Item> item = outbox_.TakeNext()) {
    for (const ConsensusMessage& message : item->send) {
      options_.handlers.send(message.to, EncodeMessage(message));
    }
    if (item->needs_write) Process(OnPersisted(&*state_, item->mark, clock_->Update(), rng_));
  }
}

void DurableConsensus::FailStorage() {
  if (!storage_ok_) return;
  if (IsLeader()) {
    LogEvent(EventId::kLeaderSteppedDown, {{"term", std::to_string(state_->hard_state.term)},
                                           {"reason", "a disk write failed"}});
  }
  storage_ok_ = false;
  storage_retry_at_ = clock_->now() + kStorageRetryInterval;
  outbox_.Clear();
  options_.handlers.on_proposals_lost(
      "a disk write failed on the leader; retry the change with the same request id");
}

void DurableConsensus::RetryStorage() {
  if (storage_ok_ || !storage_retry_at_ || clock_->now() < *storage_retry_at_) return;
  storage_retry_at_.reset();
  uint64_t written = trees_->pulled.revision;
  auto on_done = [this, written](bool ok, bool) {
    // Revisions pulled during the write are in memory only, so they need another write.
    if (ok && written == trees_->pulled.revision) {
      ResumeAfterStorageFailure();
    } else {
      storage_retry_at_ = ok ? clock_->now() : clock_->now() + kStorageRetryInterval;
    }
  };
  journal_->Rewrite(EncodeJournalSnapshot(ToPersisted(*state_), trees_->pulled),
                    std::move(on_done));
}

void DurableConsensus::ResumeAfterStorageFailure() {
  Consensus restored =
      RestoreConsensus(options_.self, ToPersisted(*state_), clock_->Update(), rng_);
  restored.delivered_index = state_->delivered_index;
  restored.restore_pending = state_->restore_pending;
  restored.disk_lost = state_->disk_lost;
  state_ = std::move(restored);
  storage_ok_ = true;
}

void DurableConsensus::CompactIfLarge() {
  if (journal_->appended_bytes() > options_.max_log_bytes) Compact();
}

void DurableConsensus::Compact() {
  if (!state_ || state_->restore_pending || !storage_ok_) return;
  auto snapshot = std::make_shared<const std::string>(ToSnapshot(trees_->committed));
  TakeSnapshot(&*state_, state_->delivered_index, std::move(snapshot), kRetainedLogEntries,
               kRetainedLogBytes);
  DurableOutbox::Item item;
  item.needs_write = true;
  item.mark = {LastIndex(*state_), LastTerm(*state_), state_->hard_state.commit};
  RewriteJournal(outbox_.Add(std::move(item)));
}

void DurableConsensus::OnNotice(const Notice& notice) {
  std::string term = std::to_string(state_->hard_state.term);
  switch (notice.kind) {
    case NoticeKind::kElected:
      options_.handlers.on_elected();
      LogEvent(EventId::kLeaderElected, {{"term", term}});
      return;
    case NoticeKind::kSteppedDown:
      LogEvent(EventId::kLeaderSteppedDown, {{"term", term}, {"reason", notice.details}});
      options_.handlers.on_proposals_lost(
          "the leader changed; retry the change with the same request id");
      return;
    case NoticeKind::kTermChanged:
      LogEvent(EventId::kTermChanged, {{"term", term}, {"leader", state_->leader.value()}});
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

}  // namespace ebonylift
