#include "core/jobs.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "core/bytes.h"

namespace ebonylift {
namespace {

constexpr char kModule = 'J';
constexpr char kSubmitEntry = 'S';
constexpr char kWithdrawEntry = 'W';
constexpr char kRunEntry = 'R';
constexpr char kRequeueEntry = 'Q';
constexpr char kEndEntry = 'F';
constexpr char kSnapshotEntry = 'N';

std::string StartEntry(char kind) { return {kModule, kind}; }

bool Open(const Job& job) {
  return job.state == JobState::kQueued || job.state == JobState::kRunning;
}

Job* Find(Jobs& jobs, const JobId& id) {
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
  PutInt(out, job.order);
  PutInt(out, job.runs);
  PutInt(out, static_cast<uint64_t>(job.submitted_at));
  PutInt(out, static_cast<uint64_t>(job.not_before));
  PutInt(out, static_cast<uint64_t>(job.ended_at));
  AppendAnswer(out, &job.result);
}

Job ReadJob(EntryReader& in) {
  Job job;
  job.spec.id = JobId(in.String());
  job.spec.team = TeamId(in.String());
  job.spec.route = RouteId(in.String());
  job.spec.path = in.String();
  job.spec.body = in.String();
  job.spec.idempotent = in.Int() != 0;
  uint64_t state = in.Int();
  // An unknown state is taken as one that is never run again.
  job.state = state <= static_cast<uint64_t>(JobState::kOutcomeUnknown)
                  ? static_cast<JobState>(state)
                  : JobState::kOutcomeUnknown;
  job.body_hash = in.Int();
  job.order = in.Int();
  job.runs = static_cast<uint32_t>(in.Int());
  job.submitted_at = static_cast<WallMillis>(in.Int());
  job.not_before = static_cast<WallMillis>(in.Int());
  job.ended_at = static_cast<WallMillis>(in.Int());
  auto result = ReadAnswer(in);
  if (result != nullptr) job.result = *result;
  job.accepted = true;
  return job;
}

// Adds a job and all that is derived from it.
void Add(Jobs& jobs, Job job) {
  jobs.next_order = std::max(jobs.next_order, job.order + 1);
  if (Open(job)) {
    ++jobs.open;
    jobs.body_bytes += job.spec.body.size();
  } else {
    jobs.result_bytes += AnswerBytes(job.result);
    jobs.ended.emplace(std::make_pair(job.ended_at, job.order), job.spec.id);
  }
  if (job.state == JobState::kQueued && job.accepted) jobs.queue.emplace(job.order, job.spec.id);
  JobId id = job.spec.id;
  jobs.jobs.emplace(std::move(id), std::move(job));
}

void Erase(Jobs& jobs, const JobId& id) {
  auto found = jobs.jobs.find(id);
  Job& job = found->second;
  if (Open(job)) {
    --jobs.open;
    jobs.body_bytes -= job.spec.body.size();
    jobs.queue.erase(job.order);
  } else {
    jobs.result_bytes -= AnswerBytes(job.result);
    jobs.ended.erase({job.ended_at, job.order});
  }
  jobs.jobs.erase(found);
}

// Precondition: the job is open.
void End(Jobs& jobs, Job& job, JobState state, StoredAnswer result, WallMillis now) {
  jobs.queue.erase(job.order);
  --jobs.open;
  jobs.body_bytes -= job.spec.body.size();
  job.spec.body.clear();
  job.spec.body.shrink_to_fit();
  job.state = state;
  job.ended_at = now;
  job.result = std::move(result);
  jobs.result_bytes += AnswerBytes(job.result);
  jobs.ended.emplace(std::make_pair(now, job.order), job.spec.id);
}

void Queue(Jobs& jobs, Job& job, WallMillis not_before) {
  job.state = JobState::kQueued;
  job.not_before = not_before;
  jobs.queue.emplace(job.order, job.spec.id);
}

void Start(Jobs& jobs, Job& job) {
  jobs.queue.erase(job.order);
  job.state = JobState::kRunning;
  ++job.runs;
}

std::string EndEntry(const Job& job) {
  std::string entry = StartEntry(kEndEntry);
  PutString(entry, job.spec.id.value());
  PutInt(entry, static_cast<uint64_t>(job.state));
  PutInt(entry, static_cast<uint64_t>(job.ended_at));
  AppendAnswer(entry, &job.result);
  return entry;
}

bool Full(const Jobs& jobs, const JobSpec& spec) {
  return jobs.open >= kMaxOpenJobs || jobs.jobs.size() >= kMaxJobs ||
         jobs.body_bytes + spec.body.size() > kMaxJobBytes || jobs.result_bytes >= kMaxResultsBytes;
}

SubmitResult AnswerFromJob(const Job& job, const JobSpec& spec, uint64_t body_hash) {
  bool same =
      job.spec.team == spec.team && job.spec.path == spec.path && job.body_hash == body_hash;
  SubmitResult result;
  result.kind = same ? SubmitKind::kRepeated : SubmitKind::kConflict;
  return result;
}

bool MayStart(const Job& job, WallMillis now) {
  return job.not_before <= now || job.not_before > now + kMaxJobDelay;
}

bool ReplaySubmit(Jobs& jobs, EntryReader& in) {
  Job job = ReadJob(in);
  if (!in.ok() || !in.AtEnd()) return false;
  if (Find(jobs, job.spec.id) == nullptr) Add(jobs, std::move(job));
  return true;
}

bool ReplayWithdraw(Jobs& jobs, EntryReader& in) {
  JobId id(in.String());
  if (!in.ok() || !in.AtEnd()) return false;
  if (Find(jobs, id) != nullptr) Erase(jobs, id);
  return true;
}

bool ReplayRun(Jobs& jobs, EntryReader& in) {
  JobId id(in.String());
  if (!in.ok() || !in.AtEnd()) return false;
  Job* job = Find(jobs, id);
  if (job != nullptr && job->state == JobState::kQueued) Start(jobs, *job);
  return true;
}

bool ReplayRequeue(Jobs& jobs, EntryReader& in) {
  JobId id(in.String());
  auto not_before = static_cast<WallMillis>(in.Int());
  if (!in.ok() || !in.AtEnd()) return false;
  Job* job = Find(jobs, id);
  if (job != nullptr && job->state == JobState::kRunning) Queue(jobs, *job, not_before);
  return true;
}

bool ReplayEnd(Jobs& jobs, EntryReader& in) {
  JobId id(in.String());
  uint64_t state = in.Int();
  auto ended_at = static_cast<WallMillis>(in.Int());
  auto result = ReadAnswer(in);
  bool known = state > static_cast<uint64_t>(JobState::kRunning) &&
               state <= static_cast<uint64_t>(JobState::kOutcomeUnknown);
  if (!in.ok() || !in.AtEnd() || !known || result == nullptr) return false;
  Job* job = Find(jobs, id);
  if (job != nullptr && Open(*job)) {
    End(jobs, *job, static_cast<JobState>(state), *result, ended_at);
  }
  return true;
}

bool ReplaySnapshot(Jobs& jobs, EntryReader& in) {
  Jobs loaded;
  loaded.next_order = in.Int();
  uint64_t count = in.Int();
  for (uint64_t i = 0; i < count && in.ok(); ++i) {
    Job job = ReadJob(in);
    if (in.ok()) Add(loaded, std::move(job));
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
  Job* existing = Find(jobs, spec.id);
  if (existing != nullptr) return AnswerFromJob(*existing, spec, body_hash);
  Expire(jobs, now);
  SubmitResult result;
  if (Full(jobs, spec)) return result;
  Job job;
  job.spec = std::move(spec);
  job.body_hash = body_hash;
  job.order = jobs.next_order++;
  job.submitted_at = now;
  result.kind = SubmitKind::kNew;
  result.entry = StartEntry(kSubmitEntry);
  PutJob(result.entry, job);
  Add(jobs, std::move(job));
  return result;
}

void Accept(Jobs& jobs, const JobId& id) {
  Job* job = Find(jobs, id);
  if (job == nullptr || job->accepted) return;
  job->accepted = true;
  if (job->state == JobState::kQueued) jobs.queue.emplace(job->order, id);
}

std::string Withdraw(Jobs& jobs, const JobId& id) {
  Job* job = Find(jobs, id);
  if (job == nullptr || job->accepted) return {};
  std::string entry = StartEntry(kWithdrawEntry);
  PutString(entry, id.value());
  Erase(jobs, id);
  return entry;
}

std::optional<JobId> Next(const Jobs& jobs, WallMillis now, const std::vector<JobId>& skip) {
  for (const auto& [order, id] : jobs.queue) {
    if (std::find(skip.begin(), skip.end(), id) != skip.end()) continue;
    if (MayStart(jobs.jobs.at(id), now)) return id;
  }
  return std::nullopt;
}

std::string MarkRunning(Jobs& jobs, const JobId& id) {
  Job* job = Find(jobs, id);
  if (job == nullptr || job->state != JobState::kQueued || !job->accepted) return {};
  Start(jobs, *job);
  std::string entry = StartEntry(kRunEntry);
  PutString(entry, id.value());
  return entry;
}

std::string Requeue(Jobs& jobs, const JobId& id, bool not_run, WallMillis not_before) {
  Job* job = Find(jobs, id);
  if (job == nullptr || job->state != JobState::kRunning) return {};
  if (!job->spec.idempotent && !not_run) return {};
  Queue(jobs, *job, not_before);
  std::string entry = StartEntry(kRequeueEntry);
  PutString(entry, id.value());
  PutInt(entry, static_cast<uint64_t>(not_before));
  return entry;
}

std::string Finish(Jobs& jobs, const JobId& id, JobState state, StoredAnswer result,
                   WallMillis now) {
  Job* job = Find(jobs, id);
  if (job == nullptr || job->state != JobState::kRunning) return {};
  if (state == JobState::kQueued || state == JobState::kRunning) return {};
  if (AnswerBytes(result) > kMaxResultBytes) {
    state = JobState::kFailed;
    result = StoredAnswer();
    result.status = 502;
  }
  End(jobs, *job, state, std::move(result), now);
  return EndEntry(*job);
}

std::string Cancel(Jobs& jobs, const JobId& id, WallMillis now) {
  Job* job = Find(jobs, id);
  if (job == nullptr || !Open(*job)) return {};
  End(jobs, *job, JobState::kCancelled, StoredAnswer(), now);
  return EndEntry(*job);
}

size_t Expire(Jobs& jobs, WallMillis now) {
  size_t dropped = 0;
  while (!jobs.ended.empty() && jobs.ended.begin()->first.first + kJobRetention <= now) {
    JobId id = jobs.ended.begin()->second;
    Erase(jobs, id);
    ++dropped;
  }
  return dropped;
}

const Job* FindJob(const Jobs& jobs, const JobId& id) {
  auto found = jobs.jobs.find(id);
  return found == jobs.jobs.end() ? nullptr : &found->second;
}

bool Replay(Jobs& jobs, std::string_view entry) {
  EntryReader in(entry);
  if (in.Byte() != kModule) return false;
  switch (in.Byte()) {
    case kSubmitEntry:
      return ReplaySubmit(jobs, in);
    case kWithdrawEntry:
      return ReplayWithdraw(jobs, in);
    case kRunEntry:
      return ReplayRun(jobs, in);
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
      Queue(jobs, job, 0);
      continue;
    }
    End(jobs, job, JobState::kOutcomeUnknown, StoredAnswer(), now);
    ++summary.unknown;
  }
  Expire(jobs, now);
  summary.jobs = jobs.jobs.size();
  summary.open = jobs.open;
  return summary;
}

std::string EncodeSnapshot(const Jobs& jobs) {
  std::string out = StartEntry(kSnapshotEntry);
  PutInt(out, jobs.next_order);
  PutInt(out, jobs.jobs.size());
  for (const auto& [id, job] : jobs.jobs) PutJob(out, job);
  return out;
}

}  // namespace ebonylift
