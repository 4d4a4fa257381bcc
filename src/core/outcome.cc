#include "core/outcome.h"

namespace ebonylift {

ErrorKind ErrorForFailedRequest(const FailedRequest& request) {
  bool not_run = request.run == Run::kNotRun;
  if (request.answer_started) return ErrorKind::kStreamBroken;
  if (request.sent_to_owner) {
    return not_run ? ErrorKind::kOwnerUnreachable : ErrorKind::kOutcomeUnknown;
  }
  if (request.past_deadline) return not_run ? ErrorKind::kDeadlineNotRun : ErrorKind::kDeadline;
  return not_run ? ErrorKind::kServerRefused : ErrorKind::kServerFailed;
}

ErrorKind ErrorConsistentWithRun(ErrorKind kind, Run run) {
  if (run == Run::kNotRun || LookupError(kind).run != Run::kNotRun) return kind;
  if (kind == ErrorKind::kPoison) return ErrorKind::kPoisonDetected;
  return kind == ErrorKind::kDeadlineNotRun ? ErrorKind::kDeadline : ErrorKind::kServerFailed;
}

bool AnotherHostMayAccept(ErrorKind kind) {
  return kind == ErrorKind::kDraining || kind == ErrorKind::kNoServer ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kServerRefused || kind == ErrorKind::kServerFailed;
}

RetryState MakeRetryState(const RequestAttempts& attempts, const RetryLimits& limits,
                          bool reached_server) {
  RetryState state;
  state.reached_server = reached_server;
  state.idempotent = limits.idempotent;
  state.attempts = static_cast<int>(attempts.attempts.size());
  state.max_runs = limits.max_runs;
  if (!limits.limits_runs) return state;
  for (const Attempt& attempt : attempts.attempts) {
    bool ended = attempt.state != AttemptState::kOpen;
    if (ended && attempt.run != Run::kNotRun) ++state.runs;
  }
  return state;
}

}  // namespace ebonylift
