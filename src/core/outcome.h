#ifndef EBONYLIFT_CORE_OUTCOME_H_
#define EBONYLIFT_CORE_OUTCOME_H_

// What the caller of a request without an answer is told, and what that depends on.
//
// All functions are pure and thread safe. No errors are thrown.

#include "base/error.h"
#include "core/attempt.h"
#include "core/retry.h"

namespace ebonylift {

// A request that gets no answer after its attempts.
struct FailedRequest {
  Run run = Run::kMayHaveRun;  // of all its attempts
  bool past_deadline = false;
  bool through_owner = false;  // the last attempt went to the owner of the idempotency key
  bool answer_begun = false;   // the caller has got a part of a stream
};

// The kind that the caller of a failed request is told.
ErrorKind OutcomeKind(const FailedRequest& request);

// `kind`, or the kind that replaces it when it says kNotRun and the attempts so far, whose
// statement is `run`, may have run.
ErrorKind CoveringKind(ErrorKind kind, Run run);

// A peer refused for a reason that another host may not have.
bool AnotherHostMayAccept(ErrorKind kind);

// How repetitions of a request are limited.
struct RepetitionLimits {
  bool idempotent = false;
  bool counts_runs = false;  // max_runs limits the attempts that ran or may have run
  int max_runs = kMaxAttempts;
};

// The rule for the next repetition. `arrived`: the last attempt reached a backend server.
RetryRule NextRetryRule(const RequestAttempts& attempts, const RepetitionLimits& limits,
                        bool arrived);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_OUTCOME_H_
