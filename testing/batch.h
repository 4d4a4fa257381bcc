#ifndef EBONYLIFT_TESTING_BATCH_H_
#define EBONYLIFT_TESTING_BATCH_H_

// Continuous batching of the engine stand-in, without clock or I/O.
//
// The batch advances in steps. A step admits waiting jobs to free slots, spends a bounded number of
// prompt tokens on prefill, and emits one token for each job whose prefill is done. Its duration
// grows with the batch. Memory is bounded by `max_waiting` plus `slots`.

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
  double slowdown_per_job = 0.02;  // a step's decode time grows by this share per further job
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
  int prefill_left = 0;
  int emitted = 0;
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
  std::vector<uint64_t> finished;  // jobs whose last token this is
};

// False when the waiting queue is full. Precondition: the id is not in the batch.
bool Enqueue(BatchState& state, const BatchJob& job);

// Moves waiting jobs to free slots and returns them. The caller may lower their prefill with
// SetPrefill before the next PlanStep.
std::vector<BatchJob> AdmitWaiting(BatchState& state);
void SetPrefill(BatchState& state, uint64_t id, int tokens);

// Plans the next step and counts its work as done. A job that is removed before the step ends stays
// in the returned lists; the caller ignores it.
BatchStep PlanStep(BatchState& state);

// Removes a waiting or running job; false when there is none.
bool Remove(BatchState& state, uint64_t id);

// Prompt tokens of waiting jobs and of unfinished prefill.
int64_t PrefillTokensWaiting(const BatchState& state);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_BATCH_H_
