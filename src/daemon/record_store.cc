#include "daemon/record_store.h"

#include "base/event.h"

namespace ebonylift {
namespace {

// The journal is compacted after growing by this much since the previous compaction.
constexpr uint64_t kCompactionGrowth = 64u << 20;

// Combines the snapshots of records and jobs: "S", the decimal length of the first, ":", the first,
// the second.
std::string EncodeCombinedSnapshot(const std::string& records, const std::string& jobs) {
  return "S" + std::to_string(records.size()) + ":" + records + jobs;
}

constexpr char kRecordHostsEntry = 'H';

std::string EncodeRecordHosts(const std::vector<HostId>& hosts) {
  std::string entry(1, kRecordHostsEntry);
  for (const HostId& host : hosts) entry += host.value() + ",";
  return entry;
}

std::vector<HostId> DecodeRecordHosts(std::string_view entry) {
  std::vector<HostId> hosts;
  size_t start = 1;
  for (size_t end = 0; (end = entry.find(',', start)) != std::string_view::npos; start = end + 1) {
    hosts.push_back(HostId(std::string(entry.substr(start, end - start))));
  }
  return hosts;
}

}  // namespace

RecordStore::RecordStore(HostId self, std::shared_ptr<Journal> journal)
    : self_(std::move(self)), journal_(std::move(journal)) {
  records_.self = self_;
}

void RecordStore::Recover(WallMillis now) {
  if (!journal_) return;
  std::lock_guard<std::mutex> lock(mutex_);
  auto apply = [this](std::string_view entry) {
    if (!entry.empty() && entry[0] == kRecordHostsEntry) {
      record_hosts_ = DecodeRecordHosts(entry);
      return;
    }
    if (Replay(records_, entry) || Replay(jobs_, entry)) return;
    throw Error(ErrorKind::kStorageFailed, "malformed entry in the record journal");
  };
  journal_->Replay([&](std::string_view entry, bool is_snapshot) {
    journal_empty_at_start_ = false;
    if (!is_snapshot) {
      apply(entry);
      return;
    }
    size_t colon = entry.find(':');
    if (entry.empty() || entry[0] != 'S' || colon == std::string_view::npos) {
      throw Error(ErrorKind::kStorageFailed, "malformed snapshot in the record journal");
    }
    size_t size = std::stoull(std::string(entry.substr(1, colon - 1)));
    apply(entry.substr(colon + 1, size));
    apply(entry.substr(colon + 1 + size));
  });
  if (journal_->LostContents()) {
    // The lost journal may have held claims of any key, so refuse all claims for kRecordRetention.
    AppendEntry(RefuseClaims(records_, now + kRecordRetention), [](bool) {});
  }
  ReplaySummary records = FinishReplay(records_, now);
  JobsReplaySummary jobs = FinishReplay(jobs_, now);
  LogEvent(EventId::kRecordsRecovered, {{"records", std::to_string(records.records)},
                                        {"unfinished", std::to_string(records.unknown)}});
  LogEvent(EventId::kJobsRecovered,
           {{"jobs", std::to_string(jobs.jobs)}, {"open", std::to_string(jobs.open)}});
}

void RecordStore::AppendEntry(std::string entry, Journal::Done done) {
  if (entry.empty()) return;
  journal_->Append(std::move(entry), std::move(done));
}

void RecordStore::Claim(const RecordKey& key, uint64_t body_hash, ClaimDone done) {
  if (!journal_) {
    done(ClaimResult(), ErrorKind::kOwnerUnreachable);
    return;
  }
  ClaimResult result;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    if (journal_empty_at_start_ && !disk_confirmed_) {
      lock.unlock();
      done(ClaimResult(), ErrorKind::kOwnerUnreachable);
      return;
    }
    result = ebonylift::Claim(records_, key, body_hash, WallNow());
    if (result.kind == ClaimKind::kNew) {
      AppendEntry(result.entry, [this, key, result, done](bool ok) {
        if (!ok) Release(key, result.claim_id, false);
        done(result, ok ? std::nullopt : std::optional<ErrorKind>(ErrorKind::kStorageFailed));
      });
      return;
    }
  }
  done(result, std::nullopt);
}

void RecordStore::SetRecordHosts(const std::vector<HostId>& hosts, bool takeover) {
  if (!journal_) return;
  std::lock_guard<std::mutex> lock(mutex_);
  bool changed = record_hosts_ && *record_hosts_ != hosts;
  if (record_hosts_ == hosts) return;
  if (changed) {
    AppendEntry(OnRecordHostsChanged(records_, *record_hosts_, takeover, WallNow()), [](bool) {});
  }
  record_hosts_ = hosts;
  // Persisted so that a change made while this host is down is detected after the restart.
  AppendEntry(EncodeRecordHosts(hosts), [](bool) {});
}

void RecordStore::OnDiskConfirmed() {
  std::lock_guard<std::mutex> lock(mutex_);
  disk_confirmed_ = true;
}

void RecordStore::OnDiskLost() {
  if (!journal_) return;
  std::lock_guard<std::mutex> lock(mutex_);
  if (disk_lost_ || !journal_empty_at_start_) return;
  disk_lost_ = true;
  AppendEntry(RefuseClaims(records_, WallNow() + kRecordRetention), [](bool) {});
}

void RecordStore::AcceptClaims() {
  if (!journal_) return;
  std::lock_guard<std::mutex> lock(mutex_);
  AppendEntry(RefuseClaims(records_, 0), [](bool) {});
}

bool RecordStore::MarkDispatched(const RecordKey& key, uint64_t claim_id) {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::MarkDispatched(records_, key, claim_id);
}

void RecordStore::Complete(const RecordKey& key, uint64_t claim_id, StoredAnswer answer,
                           std::function<void(bool ok)> done) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string entry = ebonylift::Complete(records_, key, claim_id, std::move(answer), WallNow());
    if (!entry.empty()) {
      AppendEntry(std::move(entry), std::move(done));
      return;
    }
  }
  done(false);
}

void RecordStore::MarkUnknown(const RecordKey& key, uint64_t claim_id) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::MarkUnknown(records_, key, claim_id);
}

void RecordStore::Release(const RecordKey& key, uint64_t claim_id, bool confirmed_not_run) {
  std::lock_guard<std::mutex> lock(mutex_);
  AppendEntry(ebonylift::Release(records_, key, claim_id, confirmed_not_run), [](bool) {});
}

void RecordStore::SubmitJob(JobSpec spec, SubmitDone done) {
  JobId id = spec.id;
  SubmitResult result;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    result = ebonylift::Submit(jobs_, std::move(spec), WallNow());
    if (result.kind == SubmitKind::kNew) {
      AppendEntry(result.entry, [this, id, done](bool ok) {
        {
          std::lock_guard<std::mutex> callback_lock(mutex_);
          if (ok) {
            Accept(jobs_, id);
          } else {
            AppendEntry(Withdraw(jobs_, id), [](bool) {});
          }
        }
        done(SubmitKind::kNew, ok);
      });
      return;
    }
  }
  done(result.kind, true);
}

std::optional<Job> RecordStore::FindJob(const JobId& id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const Job* job = ebonylift::FindJob(jobs_, id);
  return job == nullptr ? std::nullopt : std::optional<Job>(*job);
}

bool RecordStore::StartNextJob(std::function<void(std::optional<JobSpec>)> done) {
  if (!journal_) return false;
  std::lock_guard<std::mutex> lock(mutex_);
  std::optional<JobId> id = NextJob(jobs_, WallNow());
  if (!id) return false;
  JobSpec spec = ebonylift::FindJob(jobs_, *id)->spec;
  AppendEntry(MarkRunning(jobs_, *id), [this, spec, done](bool ok) {
    constexpr WallMillis kRetryMs = 1000;
    if (!ok) RequeueJob(spec.id, true, WallNow() + kRetryMs);
    done(ok ? std::optional<JobSpec>(spec) : std::nullopt);
  });
  return true;
}

void RecordStore::RequeueJob(const JobId& id, bool not_run, WallMillis not_before) {
  std::lock_guard<std::mutex> lock(mutex_);
  AppendEntry(ebonylift::Requeue(jobs_, id, not_run, not_before), [](bool) {});
}

void RecordStore::FinishJob(const JobId& id, JobState state, StoredAnswer result) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string entry = ebonylift::Finish(jobs_, id, state, std::move(result), WallNow());
  AppendEntry(std::move(entry), [id, state](bool) {
    LogEvent(EventId::kJobFinished, {{"job", id.value()}, {"state", JobStateName(state)}});
  });
}

bool RecordStore::CancelJob(const JobId& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string entry = ebonylift::Cancel(jobs_, id, WallNow());
  if (entry.empty()) return false;
  AppendEntry(std::move(entry), [id](bool) {
    LogEvent(EventId::kJobCancelled, {{"job", id.value()}});
  });
  return true;
}

size_t RecordStore::open_jobs() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.open_count;
}

void RecordStore::Tick(WallMillis now) {
  if (!journal_) return;
  std::lock_guard<std::mutex> lock(mutex_);
  Expire(records_, now);
  Expire(jobs_, now);
  if (compacting_ || journal_->SizeBytes() < size_after_compaction_ + kCompactionGrowth) return;
  compacting_ = true;
  journal_->Compact(EncodeCombinedSnapshot(EncodeSnapshot(records_), EncodeSnapshot(jobs_)),
                    [this](bool /*ok*/) {
                      std::lock_guard<std::mutex> callback_lock(mutex_);
                      compacting_ = false;
                      size_after_compaction_ = journal_->SizeBytes();
                    });
  if (record_hosts_) AppendEntry(EncodeRecordHosts(*record_hosts_), [](bool) {});
}

}  // namespace ebonylift
