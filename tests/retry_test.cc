#define BOOST_TEST_MODULE retry
#include "core/retry.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <random>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000));

}  // namespace

// Guards against a retry of work that ran, or that may have run and is not idempotent (invariant
// I6).
BOOST_AUTO_TEST_CASE(RetriesOnlyWhatIsSafeToRepeat) {
  struct Row {
    bool idempotent;
    Run outcome;
    int attempts;
    Duration left;
    double tokens;
    RetryDecision expected;
  };
  const std::vector<Row> rows = {
      {false, Run::kNotRun, 1, seconds(1), 1, RetryDecision::kRetry},
      {true, Run::kNotRun, 1, seconds(1), 1, RetryDecision::kRetry},
      {false, Run::kMayHaveRun, 1, seconds(1), 1, RetryDecision::kNotSafeToRetry},
      {true, Run::kMayHaveRun, 1, seconds(1), 1, RetryDecision::kRetry},
      {false, Run::kRan, 1, seconds(1), 1, RetryDecision::kNotSafeToRetry},
      {true, Run::kRan, 1, seconds(1), 1, RetryDecision::kNotSafeToRetry},
      {true, Run::kNotRun, kMaxAttempts - 1, seconds(1), 1, RetryDecision::kRetry},
      {true, Run::kNotRun, kMaxAttempts, seconds(1), 1, RetryDecision::kAttemptsExhausted},
      {true, Run::kNotRun, 1, seconds(0), 1, RetryDecision::kDeadlinePassed},
      {true, Run::kNotRun, 1, seconds(-1), 1, RetryDecision::kDeadlinePassed},
      {true, Run::kNotRun, 2, milliseconds(20), 1, RetryDecision::kDeadlinePassed},
      {true, Run::kNotRun, 1, seconds(1), 0.99, RetryDecision::kBudgetExhausted},
  };
  for (size_t i = 0; i < rows.size(); ++i) {
    const Row& row = rows[i];
    RetryBudget budget;
    budget.tokens = row.tokens;
    RetryDecision decision =
        MayRetry(budget, {row.idempotent, row.attempts}, row.outcome, kNow + row.left, kNow);
    BOOST_TEST((decision == row.expected), "row " << i);
    double taken = decision == RetryDecision::kRetry ? 1 : 0;
    BOOST_TEST(budget.tokens == row.tokens - taken, "row " << i);
  }
}

// Guards against retries that multiply the load of a failing backend.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  for (int percent : {0, 10, 50, 100, 1'000, -5}) {
    RetryBudget budget;
    int retries = 0;
    constexpr int kRequests = 10'000;
    for (int i = 0; i < kRequests; ++i) {
      DepositForRequest(budget, percent);
      for (int attempt = 1; attempt < kMaxAttempts; ++attempt) {
        if (MayRetry(budget, {true, attempt}, Run::kNotRun, kNow + seconds(9), kNow) ==
            RetryDecision::kRetry) {
          ++retries;
        }
      }
    }
    double share = std::min(std::max(percent, 0), 100) / 100.0;
    BOOST_TEST(retries <= share * kRequests + kMaxRetryTokens, percent << " percent");
    BOOST_TEST(retries >= share * kRequests - 1, percent << " percent");
  }
}

// Guards against a budget that accumulates tokens without limit while few requests fail.
BOOST_AUTO_TEST_CASE(BudgetIsCapped) {
  RetryBudget budget;
  for (int i = 0; i < 10'000; ++i) DepositForRequest(budget, 100);
  for (int i = 0; i < 10; ++i) RefundToken(budget);
  BOOST_TEST(budget.tokens == kMaxRetryTokens);
}

// Guards against memory that grows without limit with the number of team names.
BOOST_AUTO_TEST_CASE(TeamBudgetsAreBounded) {
  RetryBudgets budgets;
  for (size_t i = 0; i < kMaxRetryTeams + 100; ++i)
    FindOrCreateBudget(budgets, TeamId(std::to_string(i)));
  BOOST_TEST(budgets.teams.size() == kMaxRetryTeams);
  BOOST_TEST(&FindOrCreateBudget(budgets, TeamId("more")) == &budgets.overflow);
  BOOST_TEST(&FindOrCreateBudget(budgets, TeamId("0")) != &budgets.overflow);
}

// Guards against retries that follow each other too fast, or with ever longer delays.
BOOST_AUTO_TEST_CASE(RetryDelayDoubles) {
  const std::vector<std::pair<int, int64_t>> rows = {{1, 0},   {2, 0},   {3, 25},  {4, 50},
                                                     {5, 100}, {6, 200}, {50, 200}};
  for (auto [attempt, expected] : rows) BOOST_TEST(ToMillis(RetryDelay(attempt)) == expected);
}

}  // namespace ebonylift
