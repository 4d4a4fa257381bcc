#ifndef EBONYLIFT_CORE_RETRY_H_
#define EBONYLIFT_CORE_RETRY_H_

// Decides whether a failed attempt is repeated.
//
// Contract: an attempt is repeated only when it did not run, or may have run and the request is
// idempotent; never when it ran. Each retry takes one token of the team's budget; each request
// deposits retry_percent / 100 tokens. So retries are at most retry_percent of requests plus
// kMaxRetryTokens, and a failing backend is not loaded further by retries.
//
// Not thread safe: the caller serialises all calls on one RetryBudgets. No errors are thrown.
// Memory: at most kMaxRetryTeams budgets; a team beyond that shares one overflow budget.

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

struct RetryRule {
  bool idempotent = false;
  int attempts = 1;     // made so far, the failed one included
  bool arrived = true;  // false: the failed attempt reached no backend server; it costs no token
  int runs = 0;         // of these, the ones that ran or may have run
  int max_runs = kMaxAttempts;
};

enum class RetryVerdict { kRetry, kRunForbids, kAttemptsSpent, kDeadlinePassed, kBudgetSpent };

// The budget of a team; created on first use. The reference is valid until the next call.
RetryBudget& BudgetOf(RetryBudgets& budgets, const TeamId& team);

// Deposits for one new request, whatever its outcome. retry_percent: TeamLimits.
void OnRequest(RetryBudget& budget, int retry_percent);

// `outcome` is the Run statement of the failed attempt. Takes a token when it returns kRetry and
// only then.
RetryVerdict MayRetry(RetryBudget& budget, const RetryRule& rule, Run outcome, Time deadline,
                      Time now);

// Puts a token back: the retry was granted but nothing was dispatched.
void ReturnToken(RetryBudget& budget);

// Time to wait before attempt number `attempt` (2 is the first retry): 0 for the first retry, which
// goes to another server, then doubling from 25 ms up to 200 ms.
Duration RetryDelay(int attempt);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_RETRY_H_
