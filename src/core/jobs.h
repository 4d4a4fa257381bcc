#ifndef EBONYLIFT_CORE_JOBS_H_
#define EBONYLIFT_CORE_JOBS_H_

// Queue and results of the batch jobs that this host owns.
//
// Contract:
// - A job is accepted once the journal entry of Submit() is synced; the caller then calls Accept()
//   and answers 202. An accepted job is never dropped: it is kept until kJobRetention after it
//   reached a final state.
// - A job that is not idempotent is dispatched at most once, also across restarts, if the caller
//   waits for the sync of the journal entry of MarkRunning() before it dispatches the job. If no
//   attempt ran, Requeue() permits another dispatch.
// - After a restart, FinishReplay() queues a running idempotent job again and ends a running job
//   that is not idempotent as kOutcomeUnknown.
// - Jobs start in the order of submission. A delayed job does not hold up later ones.
//
// Expiry times are wall-clock milliseconds because they must hold across restarts.
// Not thread safe: the caller serialises all calls on one Jobs. Throws nothing.
// Memory: kMaxOpenJobs open jobs (queued or running) with kMaxTotalBodyBytes of bodies together,
// and kMaxResultBytes for each result. Submit() is refused while results take kMaxTotalResultBytes
// or more, so results take at most that plus the results of the jobs that are open at that time.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/records.h"

namespace ebonylift {

constexpr WallMillis kJobRetention = 24LL * 3600 * 1000;
// A job with a longer delay starts at once: such a delay can only come from a wall clock that was
// set back.
constexpr WallMillis kMaxJobDelay = 60'000;
constexpr size_t kMaxOpenJobs = 100'000;
constexpr size_t kMaxJobs = 1'000'000;  // open and ended
constexpr size_t kMaxTotalBodyBytes = 256u << 20;
constexpr size_t kMaxResultBytes = 4u << 20;
constexpr size_t kMaxTotalResultBytes = 256u << 20;

enum class JobState { kQueued, kRunning, kFinished, kFailed, kCancelled, kOutcomeUnknown };

// Returns "queued", "running", "finished", "failed", "cancelled" or "outcome_unknown".
const char* JobStateName(JobState state);

struct JobSpec {
  JobId id;
  TeamId team;
  RouteId route;
  std::string path;
  std::string body;
  bool idempotent = false;
};

struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  bool accepted = false;     // the submission is synced to the journal
  uint64_t body_hash = 0;    // kept after the job ended, when the body itself is dropped
  uint64_t sequence = 0;     // in order of submission
  uint32_t start_count = 0;  // how often the job was started
  WallMillis submitted_at = 0;
  WallMillis not_before = 0;  // kQueued: earliest start, after a failed attempt
  WallMillis ended_at = 0;    // when the job reached a final state
  StoredAnswer result;        // kFinished and kFailed
};

struct Jobs {
  std::unordered_map<JobId, Job> jobs;
  std::map<uint64_t, JobId> queue;  // accepted jobs in state kQueued, by sequence
  std::map<std::pair<WallMillis, uint64_t>, JobId> ended;  // by (ended_at, sequence)
  uint64_t next_sequence = 1;
  size_t open_count = 0;          // number of queued and running jobs
  size_t total_body_bytes = 0;    // of open jobs
  size_t total_result_bytes = 0;  // of ended jobs
};

enum class SubmitKind { kNew, kDuplicate, kConflict, kOverloaded };

struct SubmitResult {
  SubmitKind kind = SubmitKind::kOverloaded;
  std::string entry;  // kNew: to append to the journal
};

// Adds a job. Returns kDuplicate if the same job was submitted before, kConflict if its id belongs
// to a job with another team, path or body, and kOverloaded if a memory limit is reached.
SubmitResult Submit(Jobs& jobs, JobSpec spec, WallMillis now);

// Records that the entry of Submit() is synced. From now on, NextJob() may return the job.
void Accept(Jobs& jobs, const JobId& id);

// Removes a job whose entry from Submit() could not be written. Returns an entry to append to the
// journal: without it, a submission that reached the disk nevertheless would run after a restart,
// although its caller was refused. Empty if the job is unknown or accepted.
std::string Withdraw(Jobs& jobs, const JobId& id);

// Returns the oldest accepted job that may start now, without changing its state. `skip` lists jobs
// that cannot start now for other reasons.
std::optional<JobId> NextJob(const Jobs& jobs, WallMillis now, const std::vector<JobId>& skip = {});

// Marks a queued job as running. Returns the journal entry, which must be synced before a job that
// is not idempotent is dispatched. Empty unless the job is accepted and queued.
std::string MarkRunning(Jobs& jobs, const JobId& id);

// Queues a running job again, to start at `not_before` or later. `not_run` says that no attempt
// ran: nothing was dispatched, or every attempt was confirmed as not run. Returns the journal
// entry. Changes nothing and returns an empty string if the job is not running, or if it is not
// idempotent and `not_run` is false.
std::string Requeue(Jobs& jobs, const JobId& id, bool not_run, WallMillis not_before);

// Ends a running job in the final state kFinished, kFailed or kOutcomeUnknown. With a result larger
// than kMaxResultBytes, the job becomes kFailed with status 502 and no body. Returns the journal
// entry, which is empty if the job is not running.
std::string Finish(Jobs& jobs, const JobId& id, JobState state, StoredAnswer result,
                   WallMillis now);

// Cancels a queued or running job; the caller cancels the attempt of a running one. Returns the
// journal entry, which is empty if the job is unknown or has ended.
std::string Cancel(Jobs& jobs, const JobId& id, WallMillis now);

// Removes jobs that ended at least kJobRetention ago and returns how many.
size_t Expire(Jobs& jobs, WallMillis now);

// Returns null if the job is unknown. The pointer is valid until the next change to `jobs`.
const Job* FindJob(const Jobs& jobs, const JobId& id);

// Applies one journal entry or snapshot. Call it in the order of the journal, then call
// FinishReplay(). Returns false if the bytes are malformed or do not belong to this module, whose
// entries and snapshots all start with the byte 'J'.
bool Replay(Jobs& jobs, std::string_view entry);

struct JobsReplaySummary {
  size_t jobs = 0;
  size_t open = 0;
  size_t unknown = 0;  // jobs that became kOutcomeUnknown by this restart
};

// Queues the idempotent jobs that were running, ends the other running jobs as kOutcomeUnknown, and
// removes expired jobs.
JobsReplaySummary FinishReplay(Jobs& jobs, WallMillis now);

// Encodes the whole state as one entry for Journal::Compact().
std::string EncodeSnapshot(const Jobs& jobs);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_JOBS_H_
