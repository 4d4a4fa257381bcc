#include "core/retry.h"

#include <algorithm>

namespace ebonylift {
namespace {

constexpr Duration kFirstBackoff = milliseconds(25);
constexpr Duration kMaxBackoff = milliseconds(200);

bool IsSafeToRetry(bool idempotent, Run outcome) {
  if (outcome == Run::kNotRun) return true;
  return outcome == Run::kMayHaveRun && idempotent;
}

}  // namespace

RetryBudget& FindOrCreateBudget(RetryBudgets& budgets, const TeamId& team) {
  auto found = budgets.teams.find(team);
  if (found != budgets.teams.end()) return found->second;
  if (budgets.teams.size() >= kMaxRetryTeams) return budgets.overflow;
  return budgets.teams[team];
}

void DepositForRequest(RetryBudget& budget, int retry_percent) {
  double deposit = std::clamp(retry_percent, 0, 100) / 100.0;
  budget.tokens = std::min(budget.tokens + deposit, kMaxRetryTokens);
}

RetryDecision MayRetry(RetryBudget& budget, const RetryState& state, Run outcome, Time deadline,
                       Time now) {
  if (!IsSafeToRetry(state.idempotent, outcome)) return RetryDecision::kNotSafeToRetry;
  if (state.attempts >= kMaxAttempts) return RetryDecision::kAttemptsExhausted;
  // Another attempt could be one more run, which would exceed the limit.
  if (state.runs >= state.max_runs) return RetryDecision::kAttemptsExhausted;
  if (now + RetryDelay(state.attempts + 1) >= deadline) return RetryDecision::kDeadlinePassed;
  if (!state.reached_server) return RetryDecision::kRetry;
  if (budget.tokens < 1) return RetryDecision::kBudgetExhausted;
  budget.tokens -= 1;
  return RetryDecision::kRetry;
}

void RefundToken(RetryBudget& budget) {
  budget.tokens = std::min(budget.tokens + 1, kMaxRetryTokens);
}

Duration RetryDelay(int attempt) {
  if (attempt <= 2) return Duration::zero();
  return std::min<Duration>(kFirstBackoff * (1 << std::min(attempt - 3, 10)), kMaxBackoff);
}

}  // namespace ebonylift
