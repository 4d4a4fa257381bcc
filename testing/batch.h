#ifndef EBONYLIFT_TESTING_BATCH_H_
#define EBONYLIFT_TESTING_BATCH_H_

// A model of continuous batching for the engine stand-in. It uses no clock and no I/O.
//
// The batch advances in steps. A step admits waiting jobs to free slots, prefills a bounded number
// of prompt tokens, and emits one token for each job whose prefill is complete. Its duration grows
// with the number of jobs. Memory is bounded by `max_waiting` plus `slots`.

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace ebonylift::standin {

struct BatchSettings {
  int slots = 8;
  size_t max_waiting = 10'000;
  Duration prefill_per_token{20};
  Duration decode_per_token{2000};
  double slowdown_per_job = 0.02;  // a step's decode time grows by this fraction per additional job
  int max_prefill_tokens_per_step = 2048;
};

struct BatchJob {
  uint64_t id = 0;
  int priority = 0;  // smaller runs first
  int prompt_tokens = 1;
  int output_tokens = 1;
};

struct RunningJob {
  BatchJob job;
  int prefill_tokens_left = 0;  // prompt tokens still to prefill
  int emitted_tokens = 0;
};

struct BatchState {
  BatchSettings settings;
  uint64_t arrivals = 0;
  std::map<std::pair<int, uint64_t>, BatchJob> waiting;  // by (priority, arrival)
  std::map<uint64_t, RunningJob> running;                // by job id
};

struct BatchStep {
  Duration duration{0};
  std::vector<uint64_t> emitted;   // jobs that get one token when the step ends
  std::vector<uint64_t> finished;  // jobs that get their last token
};

// Adds a job to the waiting queue; returns false when the queue is full. Precondition: the id is
// not in the batch.
bool Enqueue(BatchState& state, const BatchJob& job);

// Moves waiting jobs to free slots and returns them. The caller may lower their prefill with
// SetPrefillTokens before the next PlanStep, for prompt tokens that are cached.
std::vector<BatchJob> AdmitWaiting(BatchState& state);
void SetPrefillTokens(BatchState& state, uint64_t id, int tokens);

// Plans the next step and updates the state as if the step had ended. A job that is removed before
// the step ends remains in the returned lists; the caller must ignore it.
BatchStep PlanStep(BatchState& state);

// Removes a waiting or running job; returns false when the id is unknown.
bool RemoveJob(BatchState& state, uint64_t id);

// Returns the prompt tokens not yet prefilled, of waiting and of running jobs.
int64_t PrefillTokensWaiting(const BatchState& state);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_BATCH_H_
