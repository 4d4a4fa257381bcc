#include "testing/batch.h"

#include <algorithm>

namespace ebonylift::standin {

bool Enqueue(BatchState& state, const BatchJob& job) {
  if (state.waiting.size() >= state.settings.max_waiting) return false;
  state.waiting.emplace(std::make_pair(job.priority, ++state.arrivals), job);
  return true;
}

std::vector<BatchJob> AdmitWaiting(BatchState& state) {
  std::vector<BatchJob> admitted;
  while (!state.waiting.empty() &&
         state.running.size() < static_cast<size_t>(state.settings.slots)) {
    auto first = state.waiting.begin();
    RunningJob running;
    running.job = first->second;
    running.prefill_tokens_left = running.job.prompt_tokens;
    admitted.push_back(running.job);
    state.running.emplace(running.job.id, running);
    state.waiting.erase(first);
  }
  return admitted;
}

void SetPrefillTokens(BatchState& state, uint64_t id, int tokens) {
  auto it = state.running.find(id);
  if (it != state.running.end()) it->second.prefill_tokens_left = tokens;
}

BatchStep PlanStep(BatchState& state) {
  const BatchSettings& settings = state.settings;
  BatchStep step;
  int prefill_budget = settings.max_prefill_tokens_per_step;
  for (auto& [id, running] : state.running) {
    int prefill = std::min(prefill_budget, running.prefill_tokens_left);
    running.prefill_tokens_left -= prefill;
    prefill_budget -= prefill;
    if (running.prefill_tokens_left > 0) continue;
    ++running.emitted_tokens;
    step.emitted.push_back(id);
    if (running.emitted_tokens >= running.job.output_tokens) step.finished.push_back(id);
  }
  int prefilled = settings.max_prefill_tokens_per_step - prefill_budget;
  step.duration = prefilled * settings.prefill_per_token;
  if (!step.emitted.empty()) {
    double slowdown = 1.0 + settings.slowdown_per_job * (step.emitted.size() - 1);
    step.duration += Duration(static_cast<int64_t>(settings.decode_per_token.count() * slowdown));
  }
  for (uint64_t id : step.finished) state.running.erase(id);
  return step;
}

bool RemoveJob(BatchState& state, uint64_t id) {
  if (state.running.erase(id) > 0) return true;
  auto it = std::find_if(state.waiting.begin(), state.waiting.end(),
                         [id](const auto& entry) { return entry.second.id == id; });
  if (it == state.waiting.end()) return false;
  state.waiting.erase(it);
  return true;
}

int64_t PrefillTokensWaiting(const BatchState& state) {
  int64_t tokens = 0;
  for (const auto& [key, job] : state.waiting) tokens += job.prompt_tokens;
  for (const auto& [id, running] : state.running) tokens += running.prefill_tokens_left;
  return tokens;
}

}  // namespace ebonylift::standin
