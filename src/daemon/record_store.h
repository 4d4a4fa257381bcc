#ifndef EBONYLIFT_DAEMON_RECORD_STORE_H_
#define EBONYLIFT_DAEMON_RECORD_STORE_H_

// The durable idempotency records and batch jobs of this host: core/records.h and core/jobs.h
// behind one mutex and one journal.
//
// All methods are thread safe. Callbacks run on the journal thread after the entry is synced, or on
// the calling thread when there is nothing to sync; the caller posts to its own thread.

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
  // `journal` may be null: a host without a disk, which owns nothing.
  RecordStore(HostId self, std::shared_ptr<Journal> journal);

  // Reads the journal. Throws Error(kStorageFailed) when it is damaged. Call once, first.
  void Recover(WallMillis now);

  // The record hosts of this host's region are configured as `hosts`. After a change, keys of which
  // another host was the owner are refused for the retention, unless `takeover`.
  void SetRecordHosts(const std::vector<HostId>& hosts, bool takeover);

  // The peers know this host's disk, and it was not lost, or OnDiskLost() was called before. Until
  // then a journal that was empty at the start takes no claims: it may be a lost one.
  void OnDiskConfirmed();

  // The disk of this host was lost: refuses claims for the retention, because the lost journal may
  // have held claims of any key. Nothing happens when this journal held records at the start.
  void OnDiskLost();

  // An operator confirmed that no key of the lost journal is used again: takes claims now.
  void AcceptClaims();

  bool has_disk() const { return journal_ != nullptr; }

  // Claims a key. For kNew, `done` runs after the claim is synced; `error` is kStorageFailed when
  // it could not be, and the claim is then released.
  using ClaimDone = std::function<void(ClaimResult result, std::optional<ErrorKind> error)>;
  void Claim(const RecordKey& key, uint64_t body_hash, ClaimDone done);

  // False: the claim is no longer current; do not dispatch.
  bool MarkDispatched(const RecordKey& key, uint64_t claim);

  // `done` runs after the answer is synced; `ok` is false when it is not durable. The answer may be
  // delivered in both cases: the work ran once.
  void Complete(const RecordKey& key, uint64_t claim, StoredAnswer answer,
                std::function<void(bool ok)> done);

  // The request ended; see core/records.h.
  void MarkUnknown(const RecordKey& key, uint64_t claim);
  void Release(const RecordKey& key, uint64_t claim, bool confirmed_not_run);

  // Jobs. `done` runs after the entry is synced; on a failure the job is withdrawn.
  using SubmitDone = std::function<void(SubmitKind kind, bool ok)>;
  void Submit(JobSpec spec, SubmitDone done);
  std::optional<Job> FindJob(const JobId& id) const;  // a copy
  // Starts the next job that may run now; `done` gets it after the start is synced, or nullopt when
  // the sync failed. Returns false when there is none.
  bool StartNext(std::function<void(std::optional<JobSpec>)> done);
  void Requeue(const JobId& id, bool not_run, WallMillis not_before);
  void Finish(const JobId& id, JobState state, StoredAnswer result);
  // True when the job was open.
  bool Cancel(const JobId& id);
  size_t open_jobs() const;

  // Drops what is past its retention and compacts a large journal; call about once a second.
  void Tick(WallMillis now);

 private:
  void AppendEntry(std::string entry, Journal::Done done);

  const HostId self_;
  const std::shared_ptr<Journal> journal_;
  mutable std::mutex mutex_;
  Records records_;
  Jobs jobs_;
  std::optional<std::vector<HostId>> record_hosts_;  // as last configured; unknown at start
  bool empty_at_start_ = true;
  bool disk_confirmed_ = false;
  bool disk_lost_ = false;
  bool compacting_ = false;
  uint64_t size_after_compaction_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_RECORD_STORE_H_
