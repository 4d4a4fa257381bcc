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
    for (bool sent_to_owner : {false, true}) {
      for (bool answer_started : {false, true}) {
        FailedRequest failed{Run::kMayHaveRun, past_deadline, sent_to_owner, answer_started};
        BOOST_TEST((LookupError(ErrorForFailedRequest(failed)).run != Run::kNotRun));
      }
    }
  }
  for (const ErrorInfo& info : AllErrors()) {
    ErrorKind replacement = ErrorConsistentWithRun(info.kind, Run::kMayHaveRun);
    BOOST_TEST((LookupError(replacement).run != Run::kNotRun), info.code);
  }
}

// Guards against an error that leaves open whether the work ran when it certainly did not: callers
// repeat only work that did not run.
BOOST_AUTO_TEST_CASE(WorkThatDidNotRunIsReportedAsNotRun) {
  FailedRequest failed{Run::kNotRun, false, false, false};
  BOOST_TEST((ErrorForFailedRequest(failed) == ErrorKind::kServerRefused));
  failed.past_deadline = true;
  BOOST_TEST((ErrorForFailedRequest(failed) == ErrorKind::kDeadlineNotRun));
  failed.sent_to_owner = true;
  BOOST_TEST((ErrorForFailedRequest(failed) == ErrorKind::kOwnerUnreachable));
  for (const ErrorInfo& info : AllErrors()) {
    BOOST_TEST((ErrorConsistentWithRun(info.kind, Run::kNotRun) == info.kind), info.code);
  }
}

// Guards against another error than stream_broken for an answer that the caller received in part.
BOOST_AUTO_TEST_CASE(StartedStreamEndsAsBroken) {
  FailedRequest failed{Run::kMayHaveRun, true, true, true};
  BOOST_TEST((ErrorForFailedRequest(failed) == ErrorKind::kStreamBroken));
}

// Guards against refusals by a backend server that count towards the runs that a route allows.
BOOST_AUTO_TEST_CASE(OnlyAttemptsThatMayHaveRunCountAsRuns) {
  RequestAttempts attempts = FailedAttempts({Run::kNotRun, Run::kMayHaveRun, Run::kNotRun});
  OnDispatch(attempts, ServerId("engine"), 1, Time());  // still open
  RetryState state = MakeRetryState(attempts, {true, true, 2}, true);
  BOOST_TEST(state.runs == 1);
  BOOST_TEST(state.max_runs == 2);
  BOOST_TEST(state.attempts == 4);
  BOOST_TEST(MakeRetryState(attempts, {true, false, kMaxAttempts}, true).runs == 0);
}

}  // namespace ebonylift
