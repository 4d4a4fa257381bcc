#include "core/outcome.h"

namespace ebonylift {

ErrorKind OutcomeKind(const FailedRequest& request) {
  bool not_run = request.run == Run::kNotRun;
  if (request.answer_begun) return ErrorKind::kStreamBroken;
  if (request.through_owner) {
    return not_run ? ErrorKind::kOwnerUnreachable : ErrorKind::kOutcomeUnknown;
  }
  if (request.past_deadline) return not_run ? ErrorKind::kDeadlineNotRun : ErrorKind::kDeadline;
  return not_run ? ErrorKind::kServerRefused : ErrorKind::kServerFailed;
}

ErrorKind CoveringKind(ErrorKind kind, Run run) {
  if (run == Run::kNotRun || LookupError(kind).run != Run::kNotRun) return kind;
  if (kind == ErrorKind::kPoison) return ErrorKind::kPoisonDetected;
  return kind == ErrorKind::kDeadlineNotRun ? ErrorKind::kDeadline : ErrorKind::kServerFailed;
}

bool AnotherHostMayAccept(ErrorKind kind) {
  return kind == ErrorKind::kDraining || kind == ErrorKind::kNoServer ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kServerRefused || kind == ErrorKind::kServerFailed;
}

RetryRule NextRetryRule(const RequestAttempts& attempts, const RepetitionLimits& limits,
                        bool arrived) {
  RetryRule rule;
  rule.arrived = arrived;
  rule.idempotent = limits.idempotent;
  rule.attempts = static_cast<int>(attempts.attempts.size());
  rule.max_runs = limits.max_runs;
  if (!limits.counts_runs) return rule;
  for (const Attempt& attempt : attempts.attempts) {
    bool ended = attempt.state != AttemptState::kOpen;
    if (ended && attempt.run != Run::kNotRun) ++rule.runs;
  }
  return rule;
}

}  // namespace ebonylift
