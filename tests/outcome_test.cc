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

// Guards against an error that says not_run although an attempt may have run.
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

// Guards against an error that leaves open whether the work ran when it certainly did not: callers
// repeat only work that did not run.
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

// Guards against another error than stream_broken for an answer that the caller received in part.
BOOST_AUTO_TEST_CASE(StartedStreamEndsAsBroken) {
  FailedRequest failed{Run::kMayHaveRun, true, true, true};
  BOOST_TEST((OutcomeKind(failed) == ErrorKind::kStreamBroken));
}

// Guards against refusals by a backend server that count towards the runs that a route allows.
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
