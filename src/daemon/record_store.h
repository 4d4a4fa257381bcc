#ifndef EBONYLIFT_DAEMON_RECORD_STORE_H_
#define EBONYLIFT_DAEMON_RECORD_STORE_H_

// RecordStore: durable storage of the idempotency records and batch jobs owned by this host.
// Combines the state machines of core/records.h and core/jobs.h under one mutex and one journal.
//
// All methods are thread safe. A callback runs on the journal thread once the entry is synced, or
// on the calling thread if nothing needs syncing. Callers must post from it to their own thread.

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/jobs.h"
#include "core/records.h"
#include "ports/journal.h"

namespace ebonylift {

class RecordStore {
 public:
  // `journal` is null on a host without a disk, which owns no records or jobs.
  RecordStore(HostId self, std::shared_ptr<Journal> journal);

  // Replays the journal. Call once, before any other method. Throws Error(kStorageFailed) if the
  // journal is damaged.
  void Recover(WallMillis now);

  // Sets the configured record hosts of this host's region. After a change, claims of keys that
  // another host owned are refused for kRecordRetention unless `takeover` is set, because the
  // previous owner may have run them.
  void SetRecordHosts(const std::vector<HostId>& hosts, bool takeover);

  // Reports that the peers recognize this host's disk: either it was not lost or OnDiskLost() has
  // been called. Until this call, a store whose journal was empty at startup refuses claims,
  // because an empty journal may be the result of data loss.
  void OnDiskConfirmed();

  // Reports that this host's disk was lost. Refuses claims for kRecordRetention, because the lost
  // journal may have held claims of any key. No effect if the journal held entries at startup.
  void OnDiskLost();

  // Ends that refusal: an operator confirmed that no key in the lost journal will be reused.
  void AcceptClaims();

  bool has_disk() const { return journal_ != nullptr; }

  // Claims a key. For kNew, `done` runs after the claim is synced. If the sync failed, `error` is
  // kStorageFailed and the claim has been released. `error` is kOwnerUnreachable if this host
  // cannot own keys: it has no disk, or an empty journal is not confirmed yet.
  using ClaimDone = std::function<void(ClaimResult result, std::optional<ErrorKind> error)>;
  void Claim(const RecordKey& key, uint64_t body_hash, ClaimDone done);

  // Returns false if the claim is no longer current; the request must not be dispatched then.
  bool MarkDispatched(const RecordKey& key, uint64_t claim_id);

  // Stores the response. `done` runs after the sync; `ok` is false if the response is not durable.
  // The response may be delivered in either case, because the work ran only once.
  void Complete(const RecordKey& key, uint64_t claim_id, StoredAnswer answer,
                std::function<void(bool ok)> done);

  // End a claim without a response to store; see the functions of the same name in core/records.h.
  void MarkUnknown(const RecordKey& key, uint64_t claim_id);
  void Release(const RecordKey& key, uint64_t claim_id, bool confirmed_not_run);

  // Submits a job. `done` runs after the submission is synced; if the sync failed, `ok` is false
  // and the job has been withdrawn.
  using SubmitDone = std::function<void(SubmitKind kind, bool ok)>;
  void SubmitJob(JobSpec spec, SubmitDone done);
  std::optional<Job> FindJob(const JobId& id) const;
  // Starts the next job that is due. `done` receives the job after the start is synced, or nullopt
  // if the sync failed, in which case the job is queued again. Returns false if no job is due.
  bool StartNextJob(std::function<void(std::optional<JobSpec>)> done);
  // Queues a started job again, to run no earlier than `not_before`. See core/jobs.h.
  void RequeueJob(const JobId& id, bool not_run, WallMillis not_before);
  void FinishJob(const JobId& id, JobState state, StoredAnswer result);
  // Returns true if the job was queued or running.
  bool CancelJob(const JobId& id);
  size_t open_jobs() const;

  // Removes expired records and jobs, and compacts the journal if it has grown too large. Call
  // about once per second.
  void Tick(WallMillis now);

 private:
  void AppendEntry(std::string entry, Journal::Done done);

  const HostId self_;
  const std::shared_ptr<Journal> journal_;
  mutable std::mutex mutex_;
  Records records_;
  Jobs jobs_;
  // Last configured set, including across restarts; nullopt until the first one is known.
  std::optional<std::vector<HostId>> record_hosts_;
  bool journal_empty_at_start_ = true;
  bool disk_confirmed_ = false;
  bool disk_lost_ = false;
  bool compacting_ = false;
  uint64_t size_after_compaction_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_RECORD_STORE_H_
