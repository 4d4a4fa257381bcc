#ifndef EBONYLIFT_CORE_RETRY_H_
#define EBONYLIFT_CORE_RETRY_H_

// Retry policy: decides whether a failed attempt is retried, within a token budget for each team.
//
// Contract:
// - An attempt is retried only if it did not run, or if it may have run and the request is
//   idempotent. An attempt that ran is never retried.
// - A retry takes one token from the team's budget, except after an attempt that reached no backend
//   server, whose retry is free. Each request deposits retry_percent / 100 tokens. Retries that
//   take a token therefore number at most retry_percent of the requests plus kMaxRetryTokens, so
//   retries cannot multiply the load on a failing backend.
//
// Not thread safe: the caller serialises all calls on one RetryBudgets. Throws nothing.
// Memory: at most kMaxRetryTeams budgets; all further teams share one overflow budget.

#include <cstddef>
#include <unordered_map>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

constexpr double kMaxRetryTokens = 10;
constexpr double kInitialRetryTokens = 3;
constexpr size_t kMaxRetryTeams = 65'536;
constexpr int kMaxAttempts = 4;

struct RetryBudget {
  double tokens = kInitialRetryTokens;
};

struct RetryBudgets {
  std::unordered_map<TeamId, RetryBudget> teams;
  RetryBudget overflow;
};

// The request and its attempts so far, as far as a retry depends on them.
struct RetryState {
  bool idempotent = false;
  int attempts = 1;            // attempts made so far, including the failed one
  bool reached_server = true;  // whether the failed attempt reached a backend server
  int runs = 0;                // how many of the attempts ran or may have run
  int max_runs = kMaxAttempts;
};

enum class RetryDecision {
  kRetry,
  kNotSafeToRetry,     // it ran, or may have run and is not idempotent
  kAttemptsExhausted,  // kMaxAttempts attempts or `max_runs` runs
  kDeadlinePassed,     // or would pass before the retry starts
  kBudgetExhausted
};

// Returns the team's budget and creates it on first use, or returns the overflow budget when
// kMaxRetryTeams budgets exist. The reference is valid until the next call.
RetryBudget& FindOrCreateBudget(RetryBudgets& budgets, const TeamId& team);

// Deposits the share of one new request, independent of its outcome. `retry_percent` is the team's
// TeamLimits::retry_percent, clamped to 0..100.
void DepositForRequest(RetryBudget& budget, int retry_percent);

// Decides whether to make another attempt. `outcome` says whether the failed attempt ran. Takes a
// token only when it returns kRetry, and none when `state.reached_server` is false.
RetryDecision MayRetry(RetryBudget& budget, const RetryState& state, Run outcome, Time deadline,
                       Time now);

// Puts back the token of a retry that was granted but not dispatched.
void RefundToken(RetryBudget& budget);

// Returns the delay before attempt number `attempt`, where 2 is the first retry. The first retry
// has a delay of 0 because it goes to another server; later ones wait 25 ms, doubling up to 200 ms.
Duration RetryDelay(int attempt);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_RETRY_H_
