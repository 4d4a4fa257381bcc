#define BOOST_TEST_MODULE outcome
#include "core/outcome.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

RequestAttempts FailedAttempts(const std::vector<Run>& runs) {
  RequestAttempts attempts;
  for (Run run : runs) {
    uint32_t attempt = OnDispatch(attempts, ServerId("engine"), 1, Time());
    OnFailure(attempts, attempt, run);
  }
  return attempts;
}

}  // namespace

// Guards against a refusal that claims that nothing ran when an attempt may have run.
BOOST_AUTO_TEST_CASE(WorkThatMayHaveRunIsNeverReportedAsNotRun) {
  for (bool past_deadline : {false, true}) {
    for (bool through_owner : {false, true}) {
      for (bool answer_begun : {false, true}) {
        FailedRequest failed{Run::kMayHaveRun, past_deadline, through_owner, answer_begun};
        BOOST_TEST((LookupError(OutcomeKind(failed)).run != Run::kNotRun));
      }
    }
  }
  for (const ErrorInfo& info : AllErrors()) {
    ErrorKind replacement = CoveringKind(info.kind, Run::kMayHaveRun);
    BOOST_TEST((LookupError(replacement).run != Run::kNotRun), info.code);
  }
}

// Guards against a true statement that is made weaker: callers repeat what did not run.
BOOST_AUTO_TEST_CASE(WorkThatDidNotRunIsReportedAsNotRun) {
  FailedRequest failed{Run::kNotRun, false, false, false};
  BOOST_TEST((OutcomeKind(failed) == ErrorKind::kServerRefused));
  failed.past_deadline = true;
  BOOST_TEST((OutcomeKind(failed) == ErrorKind::kDeadlineNotRun));
  failed.through_owner = true;
  BOOST_TEST((OutcomeKind(failed) == ErrorKind::kOwnerUnreachable));
  for (const ErrorInfo& info : AllErrors()) {
    BOOST_TEST((CoveringKind(info.kind, Run::kNotRun) == info.kind), info.code);
  }
}

// Guards against a stream that ends at the caller with an error of another answer.
BOOST_AUTO_TEST_CASE(StartedStreamEndsAsBroken) {
  FailedRequest failed{Run::kMayHaveRun, true, true, true};
  BOOST_TEST((OutcomeKind(failed) == ErrorKind::kStreamBroken));
}

// Guards against refusals of a backend server that use up the runs that a route allows.
BOOST_AUTO_TEST_CASE(OnlyAttemptsThatMayHaveRunCountAsRuns) {
  RequestAttempts attempts = FailedAttempts({Run::kNotRun, Run::kMayHaveRun, Run::kNotRun});
  OnDispatch(attempts, ServerId("engine"), 1, Time());  // still open
  RetryRule rule = NextRetryRule(attempts, {true, true, 2}, true);
  BOOST_TEST(rule.runs == 1);
  BOOST_TEST(rule.max_runs == 2);
  BOOST_TEST(rule.attempts == 4);
  BOOST_TEST(NextRetryRule(attempts, {true, false, kMaxAttempts}, true).runs == 0);
}

}  // namespace ebonylift
