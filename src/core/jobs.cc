#include "core/jobs.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "core/bytes.h"

namespace ebonylift {
namespace {

constexpr char kModuleTag = 'J';
constexpr char kSubmitEntry = 'S';
constexpr char kWithdrawEntry = 'W';
constexpr char kMarkRunningEntry = 'R';
constexpr char kRequeueEntry = 'Q';
constexpr char kEndEntry = 'F';
constexpr char kSnapshotEntry = 'N';

std::string BeginEntry(char kind) { return {kModuleTag, kind}; }

bool IsOpen(const Job& job) {
  return job.state == JobState::kQueued || job.state == JobState::kRunning;
}

Job* FindMutable(Jobs& jobs, const JobId& id) {
  auto found = jobs.jobs.find(id);
  return found == jobs.jobs.end() ? nullptr : &found->second;
}

void PutJob(std::string& out, const Job& job) {
  PutString(out, job.spec.id.value());
  PutString(out, job.spec.team.value());
  PutString(out, job.spec.route.value());
  PutString(out, job.spec.path);
  PutString(out, job.spec.body);
  PutInt(out, job.spec.idempotent ? 1 : 0);
  PutInt(out, static_cast<uint64_t>(job.state));
  PutInt(out, job.body_hash);
  PutInt(out, job.sequence);
  PutInt(out, job.start_count);
  PutInt(out, static_cast<uint64_t>(job.submitted_at));
  PutInt(out, static_cast<uint64_t>(job.not_before));
  PutInt(out, static_cast<uint64_t>(job.ended_at));
  AppendAnswer(out, &job.result);
}

Job ReadJob(NonThrowingReader& in) {
  Job job;
  job.spec.id = JobId(in.String());
  job.spec.team = TeamId(in.String());
  job.spec.route = RouteId(in.String());
  job.spec.path = in.String();
  job.spec.body = in.String();
  job.spec.idempotent = in.Int() != 0;
  uint64_t state = in.Int();
  // An unrecognised state is read as kOutcomeUnknown, so that the job is not run again.
  job.state = state <= static_cast<uint64_t>(JobState::kOutcomeUnknown)
                  ? static_cast<JobState>(state)
                  : JobState::kOutcomeUnknown;
  job.body_hash = in.Int();
  job.sequence = in.Int();
  job.start_count = static_cast<uint32_t>(in.Int());
  job.submitted_at = static_cast<WallMillis>(in.Int());
  job.not_before = static_cast<WallMillis>(in.Int());
  job.ended_at = static_cast<WallMillis>(in.Int());
  auto result = ReadAnswer(in);
  if (result != nullptr) job.result = *result;
  job.accepted = true;
  return job;
}

// Adds a job and updates the queue, the expiry index and the counters.
void InsertJob(Jobs& jobs, Job job) {
  jobs.next_sequence = std::max(jobs.next_sequence, job.sequence + 1);
  if (IsOpen(job)) {
    ++jobs.open_count;
    jobs.total_body_bytes += job.spec.body.size();
  } else {
    jobs.total_result_bytes += AnswerSize(job.result);
    jobs.ended.emplace(std::make_pair(job.ended_at, job.sequence), job.spec.id);
  }
  if (job.state == JobState::kQueued && job.accepted) jobs.queue.emplace(job.sequence, job.spec.id);
  JobId id = job.spec.id;
  jobs.jobs.emplace(std::move(id), std::move(job));
}

void EraseJob(Jobs& jobs, const JobId& id) {
  auto found = jobs.jobs.find(id);
  Job& job = found->second;
  if (IsOpen(job)) {
    --jobs.open_count;
    jobs.total_body_bytes -= job.spec.body.size();
    jobs.queue.erase(job.sequence);
  } else {
    jobs.total_result_bytes -= AnswerSize(job.result);
    jobs.ended.erase({job.ended_at, job.sequence});
  }
  jobs.jobs.erase(found);
}

// Moves an open job to a final state and drops its body.
void EndJob(Jobs& jobs, Job& job, JobState state, StoredAnswer result, WallMillis now) {
  jobs.queue.erase(job.sequence);
  --jobs.open_count;
  jobs.total_body_bytes -= job.spec.body.size();
  job.spec.body.clear();
  job.spec.body.shrink_to_fit();
  job.state = state;
  job.ended_at = now;
  job.result = std::move(result);
  jobs.total_result_bytes += AnswerSize(job.result);
  jobs.ended.emplace(std::make_pair(now, job.sequence), job.spec.id);
}

void Enqueue(Jobs& jobs, Job& job, WallMillis not_before) {
  job.state = JobState::kQueued;
  job.not_before = not_before;
  jobs.queue.emplace(job.sequence, job.spec.id);
}

void StartJob(Jobs& jobs, Job& job) {
  jobs.queue.erase(job.sequence);
  job.state = JobState::kRunning;
  ++job.start_count;
}

std::string EncodeEndEntry(const Job& job) {
  std::string entry = BeginEntry(kEndEntry);
  PutString(entry, job.spec.id.value());
  PutInt(entry, static_cast<uint64_t>(job.state));
  PutInt(entry, static_cast<uint64_t>(job.ended_at));
  AppendAnswer(entry, &job.result);
  return entry;
}

bool IsFull(const Jobs& jobs, const JobSpec& spec) {
  return jobs.open_count >= kMaxOpenJobs || jobs.jobs.size() >= kMaxJobs ||
         jobs.total_body_bytes + spec.body.size() > kMaxTotalBodyBytes ||
         jobs.total_result_bytes >= kMaxTotalResultBytes;
}

SubmitResult ResultFromJob(const Job& job, const JobSpec& spec, uint64_t body_hash) {
  bool same =
      job.spec.team == spec.team && job.spec.path == spec.path && job.body_hash == body_hash;
  SubmitResult result;
  result.kind = same ? SubmitKind::kDuplicate : SubmitKind::kConflict;
  return result;
}

bool IsDue(const Job& job, WallMillis now) {
  return job.not_before <= now || job.not_before > now + kMaxJobDelay;
}

bool ReplaySubmit(Jobs& jobs, NonThrowingReader& in) {
  Job job = ReadJob(in);
  if (!in.ok() || !in.AtEnd()) return false;
  if (FindMutable(jobs, job.spec.id) == nullptr) InsertJob(jobs, std::move(job));
  return true;
}

bool ReplayWithdraw(Jobs& jobs, NonThrowingReader& in) {
  JobId id(in.String());
  if (!in.ok() || !in.AtEnd()) return false;
  if (FindMutable(jobs, id) != nullptr) EraseJob(jobs, id);
  return true;
}

bool ReplayMarkRunning(Jobs& jobs, NonThrowingReader& in) {
  JobId id(in.String());
  if (!in.ok() || !in.AtEnd()) return false;
  Job* job = FindMutable(jobs, id);
  if (job != nullptr && job->state == JobState::kQueued) StartJob(jobs, *job);
  return true;
}

bool ReplayRequeue(Jobs& jobs, NonThrowingReader& in) {
  JobId id(in.String());
  auto not_before = static_cast<WallMillis>(in.Int());
  if (!in.ok() || !in.AtEnd()) return false;
  Job* job = FindMutable(jobs, id);
  if (job != nullptr && job->state == JobState::kRunning) Enqueue(jobs, *job, not_before);
  return true;
}

bool ReplayEnd(Jobs& jobs, NonThrowingReader& in) {
  JobId id(in.String());
  uint64_t state = in.Int();
  auto ended_at = static_cast<WallMillis>(in.Int());
  auto result = ReadAnswer(in);
  bool is_final = state > static_cast<uint64_t>(JobState::kRunning) &&
                  state <= static_cast<uint64_t>(JobState::kOutcomeUnknown);
  if (!in.ok() || !in.AtEnd() || !is_final || result == nullptr) return false;
  Job* job = FindMutable(jobs, id);
  if (job != nullptr && IsOpen(*job)) {
    EndJob(jobs, *job, static_cast<JobState>(state), *result, ended_at);
  }
  return true;
}

bool ReplaySnapshot(Jobs& jobs, NonThrowingReader& in) {
  Jobs loaded;
  loaded.next_sequence = in.Int();
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) {
    Job job = ReadJob(in);
    if (in.ok()) InsertJob(loaded, std::move(job));
  }
  if (!in.ok() || !in.AtEnd()) return false;
  jobs = std::move(loaded);
  return true;
}

}  // namespace

const char* JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kFinished:
      return "finished";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

SubmitResult Submit(Jobs& jobs, JobSpec spec, WallMillis now) {
  uint64_t body_hash = Hash64(spec.body);
  Job* existing = FindMutable(jobs, spec.id);
  if (existing != nullptr) return ResultFromJob(*existing, spec, body_hash);
  Expire(jobs, now);
  SubmitResult result;
  if (IsFull(jobs, spec)) return result;
  Job job;
  job.spec = std::move(spec);
  job.body_hash = body_hash;
  job.sequence = jobs.next_sequence++;
  job.submitted_at = now;
  result.kind = SubmitKind::kNew;
  result.entry = BeginEntry(kSubmitEntry);
  PutJob(result.entry, job);
  InsertJob(jobs, std::move(job));
  return result;
}

void Accept(Jobs& jobs, const JobId& id) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || job->accepted) return;
  job->accepted = true;
  if (job->state == JobState::kQueued) jobs.queue.emplace(job->sequence, id);
}

std::string Withdraw(Jobs& jobs, const JobId& id) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || job->accepted) return {};
  std::string entry = BeginEntry(kWithdrawEntry);
  PutString(entry, id.value());
  EraseJob(jobs, id);
  return entry;
}

std::optional<JobId> NextJob(const Jobs& jobs, WallMillis now, const std::vector<JobId>& skip) {
  for (const auto& [sequence, id] : jobs.queue) {
    if (std::find(skip.begin(), skip.end(), id) != skip.end()) continue;
    if (IsDue(jobs.jobs.at(id), now)) return id;
  }
  return std::nullopt;
}

std::string MarkRunning(Jobs& jobs, const JobId& id) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || job->state != JobState::kQueued || !job->accepted) return {};
  StartJob(jobs, *job);
  std::string entry = BeginEntry(kMarkRunningEntry);
  PutString(entry, id.value());
  return entry;
}

std::string Requeue(Jobs& jobs, const JobId& id, bool not_run, WallMillis not_before) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || job->state != JobState::kRunning) return {};
  if (!job->spec.idempotent && !not_run) return {};
  Enqueue(jobs, *job, not_before);
  std::string entry = BeginEntry(kRequeueEntry);
  PutString(entry, id.value());
  PutInt(entry, static_cast<uint64_t>(not_before));
  return entry;
}

std::string Finish(Jobs& jobs, const JobId& id, JobState state, StoredAnswer result,
                   WallMillis now) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || job->state != JobState::kRunning) return {};
  if (state == JobState::kQueued || state == JobState::kRunning) return {};
  if (AnswerSize(result) > kMaxResultBytes) {
    state = JobState::kFailed;
    result = StoredAnswer();
    result.status = 502;
  }
  EndJob(jobs, *job, state, std::move(result), now);
  return EncodeEndEntry(*job);
}

std::string Cancel(Jobs& jobs, const JobId& id, WallMillis now) {
  Job* job = FindMutable(jobs, id);
  if (job == nullptr || !IsOpen(*job)) return {};
  EndJob(jobs, *job, JobState::kCancelled, StoredAnswer(), now);
  return EncodeEndEntry(*job);
}

size_t Expire(Jobs& jobs, WallMillis now) {
  size_t dropped = 0;
  while (!jobs.ended.empty() && jobs.ended.begin()->first.first + kJobRetention <= now) {
    JobId id = jobs.ended.begin()->second;
    EraseJob(jobs, id);
    ++dropped;
  }
  return dropped;
}

const Job* FindJob(const Jobs& jobs, const JobId& id) {
  auto found = jobs.jobs.find(id);
  return found == jobs.jobs.end() ? nullptr : &found->second;
}

bool Replay(Jobs& jobs, std::string_view entry) {
  NonThrowingReader in(entry);
  if (in.Byte() != kModuleTag) return false;
  switch (in.Byte()) {
    case kSubmitEntry:
      return ReplaySubmit(jobs, in);
    case kWithdrawEntry:
      return ReplayWithdraw(jobs, in);
    case kMarkRunningEntry:
      return ReplayMarkRunning(jobs, in);
    case kRequeueEntry:
      return ReplayRequeue(jobs, in);
    case kEndEntry:
      return ReplayEnd(jobs, in);
    case kSnapshotEntry:
      return ReplaySnapshot(jobs, in);
    default:
      return false;
  }
}

JobsReplaySummary FinishReplay(Jobs& jobs, WallMillis now) {
  JobsReplaySummary summary;
  for (auto& [id, job] : jobs.jobs) {
    if (job.state != JobState::kRunning) continue;
    if (job.spec.idempotent) {
      Enqueue(jobs, job, 0);
      continue;
    }
    EndJob(jobs, job, JobState::kOutcomeUnknown, StoredAnswer(), now);
    ++summary.unknown;
  }
  Expire(jobs, now);
  summary.jobs = jobs.jobs.size();
  summary.open = jobs.open_count;
  return summary;
}

std::string EncodeSnapshot(const Jobs& jobs) {
  std::string out = BeginEntry(kSnapshotEntry);
  PutInt(out, jobs.next_sequence);
  PutInt(out, jobs.jobs.size());
  for (const auto& [id, job] : jobs.jobs) PutJob(out, job);
  return out;
}

}  // namespace ebonylift
