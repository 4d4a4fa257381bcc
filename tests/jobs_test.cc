#define BOOST_TEST_MODULE jobs
#include "core/jobs.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <random>
#include <set>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
constexpr WallMillis kNow = 1'800'000'000'000;
const JobId kId("job-1");

JobSpec Spec(const std::string& id, bool idempotent = false, const std::string& body = "{}") {
  JobSpec spec;
  spec.id = JobId(id);
  spec.team = TeamId("punjab");
  spec.route = RouteId("chapters");
  spec.path = "/v1/chat/completions";
  spec.body = body;
  spec.idempotent = idempotent;
  return spec;
}

StoredAnswer MakeResult(const std::string& body) {
  StoredAnswer answer;
  answer.status = 200;
  answer.body = body;
  return answer;
}

std::string StateName(const Jobs& jobs, const JobId& id = kId) {
  const Job* job = FindJob(jobs, id);
  return job == nullptr ? "none" : JobStateName(job->state);
}

std::string NextId(const Jobs& jobs, WallMillis now = kNow) {
  auto next = NextJob(jobs, now);
  return next ? next->value() : "";
}

Jobs Restart(const std::vector<std::string>& journal, WallMillis now = kNow) {
  Jobs jobs;
  for (const std::string& entry : journal) BOOST_TEST_REQUIRE(Replay(jobs, entry));
  FinishReplay(jobs, now);
  return jobs;
}

// Checks the counters and the sizes of the indexes against the jobs.
void CheckCounters(const Jobs& jobs) {
  size_t open = 0;
  size_t queued = 0;
  size_t total_body_bytes = 0;
  size_t total_result_bytes = 0;
  for (const auto& [id, job] : jobs.jobs) {
    bool is_open = job.state == JobState::kQueued || job.state == JobState::kRunning;
    if (is_open) ++open;
    if (job.state == JobState::kQueued && job.accepted) ++queued;
    (is_open ? total_body_bytes : total_result_bytes) +=
        is_open ? job.spec.body.size() : AnswerSize(job.result);
  }
  BOOST_TEST_REQUIRE(jobs.open_count == open);
  BOOST_TEST_REQUIRE(jobs.queue.size() == queued);
  BOOST_TEST_REQUIRE(jobs.ended.size() == jobs.jobs.size() - open);
  BOOST_TEST_REQUIRE(jobs.total_body_bytes == total_body_bytes);
  BOOST_TEST_REQUIRE(jobs.total_result_bytes == total_result_bytes);
}

}  // namespace

// Guards against an accepted job that is dropped, and against a second run of a job that is not
// idempotent.
BOOST_AUTO_TEST_CASE(JobStateTransitions) {
  struct Row {
    const char* name;
    // a: accept, m: mark running, q: requeue, Q: requeue as not run, f: finish, c: cancel, w:
    // withdraw, s: snapshot, r: restart
    const char* steps;
    const char* idempotent;
    const char* not_idempotent;
  };
  for (const Row& row : std::vector<Row>{
           {"submitted", "", "queued", "queued"},
           {"withdrawn", "w", "none", "none"},
           {"withdrawn, restart", "wr", "none", "none"},
           {"an accepted job is not withdrawn", "aw", "queued", "queued"},
           {"marked as running before it is accepted", "m", "queued", "queued"},
           {"accepted", "a", "queued", "queued"},
           {"accepted, restart", "ar", "queued", "queued"},
           {"running", "am", "running", "running"},
           {"running, restart", "amr", "queued", "outcome_unknown"},
           {"running, snapshot, restart", "amsr", "queued", "outcome_unknown"},
           {"run again after a restart", "amrm", "running", "outcome_unknown"},
           {"two restarts", "amrr", "queued", "outcome_unknown"},
           {"queued again", "amq", "queued", "running"},
           {"queued again, not run", "amQ", "queued", "queued"},
           {"queued again, not run, restart", "amQr", "queued", "queued"},
           {"queued again, not run, running, restart", "amQmr", "queued", "outcome_unknown"},
           {"finished", "amf", "finished", "finished"},
           {"finished, restart", "amfr", "finished", "finished"},
           {"finished, snapshot, restart", "amfsr", "finished", "finished"},
           {"finished without running", "af", "queued", "queued"},
           {"cancelled while queued", "ac", "cancelled", "cancelled"},
           {"cancelled while running", "amc", "cancelled", "cancelled"},
           {"cancelled, restart", "amcr", "cancelled", "cancelled"},
           {"cancelled, late answer", "amcf", "cancelled", "cancelled"},
           {"finished, cancelled", "amfc", "finished", "finished"},
       }) {
    for (bool idempotent : {true, false}) {
      Jobs jobs;
      SubmitResult submitted = Submit(jobs, Spec("job-1", idempotent), kNow);
      BOOST_TEST_REQUIRE((submitted.kind == SubmitKind::kNew));
      std::vector<std::string> journal = {submitted.entry};
      auto append = [&](const std::string& entry) {
        if (!entry.empty()) journal.push_back(entry);
      };
      for (const char* step = row.steps; *step != 0; ++step) {
        if (*step == 'a') Accept(jobs, kId);
        if (*step == 'm') append(MarkRunning(jobs, kId));
        if (*step == 'q') append(Requeue(jobs, kId, false, kNow));
        if (*step == 'Q') append(Requeue(jobs, kId, true, kNow));
        if (*step == 'f') append(Finish(jobs, kId, JobState::kFinished, MakeResult("done"), kNow));
        if (*step == 'c') append(Cancel(jobs, kId, kNow));
        if (*step == 'w') append(Withdraw(jobs, kId));
        if (*step == 's') journal = {EncodeSnapshot(jobs)};
        if (*step == 'r') jobs = Restart(journal);
        CheckCounters(jobs);
      }
      BOOST_TEST(StateName(jobs) == (idempotent ? row.idempotent : row.not_idempotent),
                 row.name << (idempotent ? ", idempotent" : ""));
      const Job* job = FindJob(jobs, kId);
      if (job != nullptr && job->state == JobState::kFinished) {
        BOOST_TEST((job->result == MakeResult("done")));
      }
    }
  }
}

// Guards against a resubmission that creates a second job.
BOOST_AUTO_TEST_CASE(ResubmissionsAreRecognised) {
  Jobs jobs;
  Submit(jobs, Spec("job-1"), kNow);
  BOOST_TEST((Submit(jobs, Spec("job-1"), kNow).kind == SubmitKind::kDuplicate));
  BOOST_TEST((Submit(jobs, Spec("job-1", false, "[]"), kNow).kind == SubmitKind::kConflict));
  Accept(jobs, kId);
  Cancel(jobs, kId, kNow);
  BOOST_TEST((Submit(jobs, Spec("job-1"), kNow).kind == SubmitKind::kDuplicate));
  JobSpec other_team = Spec("job-1");
  other_team.team = TeamId("rocha");
  BOOST_TEST((Submit(jobs, other_team, kNow).kind == SubmitKind::kConflict));
  BOOST_TEST(jobs.jobs.size() == 1u);
}

// Guards against jobs that start out of order or before they are accepted, and against a delayed
// job that never starts after the wall clock was set back.
BOOST_AUTO_TEST_CASE(JobsStartInOrderUnlessDelayed) {
  Jobs jobs;
  for (const char* id : {"a", "b", "c"}) Submit(jobs, Spec(id), kNow);
  BOOST_TEST(NextId(jobs).empty());
  Accept(jobs, JobId("b"));
  BOOST_TEST(NextId(jobs) == "b");
  Accept(jobs, JobId("a"));
  Accept(jobs, JobId("c"));
  BOOST_TEST(NextId(jobs) == "a");
  auto after_skipped = NextJob(jobs, kNow, {JobId("a"), JobId("b")});
  BOOST_REQUIRE(after_skipped.has_value());
  BOOST_TEST(after_skipped->value() == "c");
  MarkRunning(jobs, JobId("a"));
  BOOST_TEST(NextId(jobs) == "b");
  Requeue(jobs, JobId("a"), true, kNow + 500);
  BOOST_TEST(NextId(jobs) == "b");
  BOOST_TEST(NextId(jobs, kNow + 500) == "a");
  BOOST_TEST(NextId(jobs, kNow - 2 * kMaxJobDelay) == "a");
}

// Guards against unbounded memory, and against accepted jobs that are dropped to make room.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  Jobs jobs;
  for (size_t i = 0; i < kMaxOpenJobs; ++i) {
    BOOST_TEST_REQUIRE((Submit(jobs, Spec(std::to_string(i)), kNow).kind == SubmitKind::kNew));
  }
  BOOST_TEST((Submit(jobs, Spec("more"), kNow).kind == SubmitKind::kOverloaded));
  BOOST_TEST(jobs.open_count == kMaxOpenJobs);
  Cancel(jobs, JobId("0"), kNow);
  BOOST_TEST((Submit(jobs, Spec("more"), kNow).kind == SubmitKind::kNew));

  Jobs large;
  std::string body(kMaxTotalBodyBytes / 4, 'x');
  for (int i = 0; i < 4; ++i) Submit(large, Spec(std::to_string(i), false, body), kNow);
  BOOST_TEST((Submit(large, Spec("more"), kNow).kind == SubmitKind::kOverloaded));

  Jobs results;
  std::string result(kMaxResultBytes - 100, 'x');
  int accepted = 0;
  while (true) {
    JobId id(std::to_string(accepted));
    if (Submit(results, Spec(id.value()), kNow).kind != SubmitKind::kNew) break;
    Accept(results, id);
    MarkRunning(results, id);
    Finish(results, id, JobState::kFinished, MakeResult(result), kNow);
    ++accepted;
  }
  BOOST_TEST(results.total_result_bytes >= kMaxTotalResultBytes);
  BOOST_TEST(results.total_result_bytes <= kMaxTotalResultBytes + kMaxResultBytes);
  BOOST_TEST(Expire(results, kNow + kJobRetention - 1) == 0u);
  BOOST_TEST(Expire(results, kNow + kJobRetention) == static_cast<size_t>(accepted));
  BOOST_TEST(results.total_result_bytes == 0u);
  BOOST_TEST((Submit(results, Spec("0"), kNow).kind == SubmitKind::kNew));

  Accept(results, JobId("0"));
  MarkRunning(results, JobId("0"));
  Finish(results, JobId("0"), JobState::kFinished,
         MakeResult(std::string(kMaxResultBytes + 1, 'x')), kNow);
  BOOST_TEST(StateName(results, JobId("0")) == "failed");
  BOOST_TEST(FindJob(results, JobId("0"))->result.status == 502);
}

// Guards against a crash, or a job that was never submitted, when a journal entry is damaged.
BOOST_AUTO_TEST_CASE(DamagedEntriesAreRejected) {
  Jobs jobs;
  std::vector<std::string> entries = {Submit(jobs, Spec("job-1"), kNow).entry};
  entries.push_back(Withdraw(jobs, kId));
  Submit(jobs, Spec("job-1"), kNow);
  Accept(jobs, kId);
  entries.push_back(MarkRunning(jobs, kId));
  entries.push_back(Requeue(jobs, kId, true, kNow));
  entries.push_back(EncodeSnapshot(jobs));
  entries.push_back(Cancel(jobs, kId, kNow));
  for (const std::string& entry : entries) {
    for (size_t size = 0; size < entry.size(); ++size) {
      Jobs target;
      BOOST_TEST_REQUIRE(!Replay(target, std::string_view(entry).substr(0, size)));
      BOOST_TEST_REQUIRE(target.jobs.empty());
    }
    Jobs target;
    BOOST_TEST(Replay(target, entry));
  }
  std::mt19937_64 rng(kSeed);
  for (int i = 0; i < 20'000; ++i) {
    std::string entry = entries[rng() % entries.size()];
    entry[rng() % entry.size()] = static_cast<char>(rng());
    Jobs target;
    Replay(target, entry);
  }
}

// Simulates a host that crashes at random and then may lose the unsynced tail of its journal.
// Guards against the loss of an accepted job, and against a second run of a job that is not
// idempotent (invariant I6).
BOOST_AUTO_TEST_CASE(RandomCrashesKeepAcceptedJobs) {
  int total_runs = 0;
  int total_crashes = 0;
  for (uint64_t seed = kSeed; seed < kSeed + 400; ++seed) {
    std::mt19937_64 rng(seed);
    Jobs jobs;
    std::vector<std::string> journal;
    size_t synced = 0;
    std::map<JobId, size_t> submitted;       // journal position of the entry of Submit()
    std::map<JobId, size_t> pending_starts;  // journal position of the entry of MarkRunning()
    std::set<JobId> accepted;
    std::map<JobId, int> runs;
    std::set<JobId> running;
    int next = 0;
    auto append = [&](std::string entry) {
      if (!entry.empty()) journal.push_back(std::move(entry));
      return journal.size();
    };
    for (int step = 0; step < 300; ++step) {
      switch (rng() % 9) {
        case 0: {
          if (!submitted.empty() && rng() % 8 == 0) {
            // The entry could not be written to the journal.
            append(Withdraw(jobs, submitted.begin()->first));
            submitted.erase(submitted.begin());
          }
          JobSpec spec = Spec("job-" + std::to_string(next++), rng() % 2 == 0);
          SubmitResult result = Submit(jobs, spec, kNow);
          submitted[spec.id] = append(result.entry);
          break;
        }
        case 1:
        case 2:
          synced = journal.size();
          for (auto it = submitted.begin(); it != submitted.end();) {
            Accept(jobs, it->first);
            accepted.insert(it->first);
            it = submitted.erase(it);
          }
          break;
        case 3:
        case 4: {
          auto id = NextJob(jobs, kNow);
          if (id) pending_starts[*id] = append(MarkRunning(jobs, *id));
          break;
        }
        case 5:
          for (auto it = pending_starts.begin(); it != pending_starts.end();) {
            const Job* job = FindJob(jobs, it->first);
            bool wait = job->state == JobState::kRunning && it->second > synced;
            if (wait) {
              ++it;
              continue;
            }
            if (job->state == JobState::kRunning) {
              ++total_runs;
              int count = ++runs[it->first];
              if (!job->spec.idempotent) BOOST_TEST_REQUIRE(count == 1, "seed " << seed);
              running.insert(it->first);
            }
            it = pending_starts.erase(it);
          }
          break;
        case 6: {
          if (running.empty()) break;
          JobId id = *running.begin();
          running.erase(id);
          std::string requeue;
          if (rng() % 3 == 0) requeue = Requeue(jobs, id, false, kNow);
          bool requeued = !requeue.empty();
          append(requeue);
          if (!requeued)
            append(Finish(jobs, id, JobState::kFinished, MakeResult(id.value()), kNow));
          break;
        }
        case 7: {
          if (rng() % 4 != 0 || accepted.empty()) break;
          JobId id = *accepted.begin();
          append(Cancel(jobs, id, kNow));
          break;
        }
        default: {
          if (rng() % 4 == 0) {
            journal = {EncodeSnapshot(jobs)};
            synced = 1;
            for (auto& [id, position] : submitted) position = 1;
            for (auto& [id, position] : pending_starts) position = 1;
            break;
          }
          if (rng() % 3 != 0) break;
          ++total_crashes;
          journal.resize(synced + rng() % (journal.size() - synced + 1));
          synced = journal.size();
          submitted.clear();
          pending_starts.clear();
          running.clear();
          jobs = Restart(journal);
        }
      }
      CheckCounters(jobs);
      for (const JobId& id : accepted) {
        BOOST_TEST_REQUIRE(FindJob(jobs, id) != nullptr, "seed " << seed << ", job " << id);
      }
    }
  }
  BOOST_TEST(total_runs > 1'000);
  BOOST_TEST(total_crashes > 500);
  BOOST_TEST_MESSAGE("seeds from " << kSeed << ": runs " << total_runs << ", crashes "
                                   << total_crashes);
}

}  // namespace ebonylift
