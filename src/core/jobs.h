#ifndef EBONYLIFT_CORE_JOBS_H_
#define EBONYLIFT_CORE_JOBS_H_

// Accepted batch jobs that this host owns.
//
// Contract:
// - A job is accepted when the entry of Submit() is synced; then call Accept() and answer 202. An
//   accepted job is never dropped: it stays until it has a final state and its result has been kept
//   for kJobRetention.
// - A job that is not idempotent is dispatched at most once, also over restarts, if the caller
//   waits for the sync of the entry of MarkRunning() before it dispatches.
// - Replay() queues a running idempotent job again and makes a running non-idempotent one
//   kOutcomeUnknown.
// - Jobs start in the order of submission; a delayed one lets later ones pass.
//
// Expiry uses wall milliseconds because it spans restarts.
// Not thread safe: the caller serialises all calls on one Jobs. No errors are thrown.
// Memory: kMaxOpenJobs open jobs with kMaxJobBytes of bodies together; kMaxResultBytes for each
// result. Submit() is refused while results take kMaxResultsBytes or more, so results are bounded
// by that plus those of the jobs that are open then.

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
// A longer delay is not waited for: it can only come from a wall clock that was set back.
constexpr WallMillis kMaxJobDelay = 60'000;
constexpr size_t kMaxOpenJobs = 100'000;
constexpr size_t kMaxJobs = 1'000'000;  // open and finished
constexpr size_t kMaxJobBytes = 256u << 20;
constexpr size_t kMaxResultBytes = 4u << 20;
constexpr size_t kMaxResultsBytes = 256u << 20;

enum class JobState { kQueued, kRunning, kFinished, kFailed, kCancelled, kOutcomeUnknown };

// "queued", "running", "finished", "failed", "cancelled" or "outcome_unknown".
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
  bool accepted = false;   // the submission is durable
  uint64_t body_hash = 0;  // the body itself is dropped when the job ends
  uint64_t order = 0;      // of submission
  uint32_t runs = 0;       // times it was started
  WallMillis submitted_at = 0;
  WallMillis not_before = 0;  // kQueued: a delay after a failed start
  WallMillis ended_at = 0;    // in a final state
  StoredAnswer result;        // kFinished and kFailed
};

struct Jobs {
  std::unordered_map<JobId, Job> jobs;
  std::map<uint64_t, JobId> queue;  // accepted and kQueued, by order
  std::map<std::pair<WallMillis, uint64_t>, JobId> ended;
  uint64_t next_order = 1;
  size_t open = 0;
  size_t body_bytes = 0;    // of open jobs
  size_t result_bytes = 0;  // of ended jobs
};

enum class SubmitKind { kNew, kRepeated, kConflict, kOverloaded };

struct SubmitResult {
  SubmitKind kind = SubmitKind::kOverloaded;
  std::string entry;  // kNew: for the journal
};

// kRepeated: the same job was submitted before; kConflict: the id has another team, path or body.
SubmitResult Submit(Jobs& jobs, JobSpec spec, WallMillis now);

// The entry of Submit() is durable: Next() may return the job.
void Accept(Jobs& jobs, const JobId& id);

// The entry of Submit() could not be written: forgets the job. Returns an entry to journal; without
// it, a submission that reached the disk all the same would run after a restart although its caller
// was refused. Empty when the job is unknown or accepted.
std::string Withdraw(Jobs& jobs, const JobId& id);

// The oldest accepted job that may start now; doesn't change its state. `skip` lists jobs that
// cannot start now for other reasons.
std::optional<JobId> Next(const Jobs& jobs, WallMillis now, const std::vector<JobId>& skip = {});

// Starts a queued job. Returns the journal entry, which must be durable before the dispatch of a
// job that is not idempotent; empty when the job is not queued.
std::string MarkRunning(Jobs& jobs, const JobId& id);

// A running job ended without running (every attempt said not_run), or is idempotent: it is queued
// again and starts at `not_before` or later. Empty, with no change, when it is not running, or is
// not idempotent and `not_run` is false.
std::string Requeue(Jobs& jobs, const JobId& id, bool not_run, WallMillis not_before);

// Final state of a running job: kFinished, kFailed or kOutcomeUnknown. A result over
// kMaxResultBytes makes the job kFailed, with status 502 and no body. Returns the journal entry;
// empty when the job is not running.
std::string Finish(Jobs& jobs, const JobId& id, JobState state, StoredAnswer result,
                   WallMillis now);

// Cancels a queued or running job; cancel the attempt of a running one. Returns the journal entry;
// empty when the job is unknown or ended.
std::string Cancel(Jobs& jobs, const JobId& id, WallMillis now);

// Forgets jobs that ended kJobRetention ago. Returns how many.
size_t Expire(Jobs& jobs, WallMillis now);

// Null when unknown. The pointer is valid until the next change.
const Job* FindJob(const Jobs& jobs, const JobId& id);

// Applies one journal entry or snapshot, in order. False when the bytes are not of this module (the
// first byte of all entries and snapshots of this module is 'J') or are malformed. Call
// FinishReplay() after the last one.
bool Replay(Jobs& jobs, std::string_view entry);

struct JobsReplaySummary {
  size_t jobs = 0;
  size_t open = 0;
  size_t unknown = 0;  // became kOutcomeUnknown by this restart
};

// Queues or ends the jobs that were running, and drops expired ones.
JobsReplaySummary FinishReplay(Jobs& jobs, WallMillis now);

// The whole state as one entry for Journal::Compact().
std::string EncodeSnapshot(const Jobs& jobs);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_JOBS_H_
