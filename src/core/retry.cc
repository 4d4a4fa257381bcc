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

RetryBudget& BudgetOf(RetryBudgets& budgets, const TeamId& team) {
  auto found = budgets.teams.find(team);
  if (found != budgets.teams.end()) return found->second;
  if (budgets.teams.size() >= kMaxRetryTeams) return budgets.overflow;
  return budgets.teams[team];
}

void OnRequest(RetryBudget& budget, int retry_percent) {
  double deposit = std::clamp(retry_percent, 0, 100) / 100.0;
  budget.tokens = std::min(budget.tokens + deposit, kMaxRetryTokens);
}

RetryVerdict MayRetry(RetryBudget& budget, const RetryRule& rule, Run outcome, Time deadline,
                      Time now) {
  if (!IsSafeToRetry(rule.idempotent, outcome)) return RetryVerdict::kNotSafeToRetry;
  if (rule.attempts >= kMaxAttempts) return RetryVerdict::kAttemptsExhausted;
  // Another attempt could be one more run, which would exceed the limit.
  if (rule.runs >= rule.max_runs) return RetryVerdict::kAttemptsExhausted;
  if (now + RetryDelay(rule.attempts + 1) >= deadline) return RetryVerdict::kDeadlinePassed;
  if (!rule.arrived) return RetryVerdict::kRetry;
  if (budget.tokens < 1) return RetryVerdict::kBudgetExhausted;
  budget.tokens -= 1;
  return RetryVerdict::kRetry;
}

void RefundToken(RetryBudget& budget) {
  budget.tokens = std::min(budget.tokens + 1, kMaxRetryTokens);
}

Duration RetryDelay(int attempt) {
  if (attempt <= 2) return Duration::zero();
  return std::min<Duration>(kFirstBackoff * (1 << std::min(attempt - 3, 10)), kMaxBackoff);
}

}  // namespace ebonylift
