#ifndef EBONYLIFT_CORE_OUTCOME_H_
#define EBONYLIFT_CORE_OUTCOME_H_

// Selects the error that a caller receives when its request fails, and the input of the next retry
// decision.
//
// All functions are pure and thread safe. They throw nothing.

#include "base/error.h"
#include "core/attempt.h"
#include "core/retry.h"

namespace ebonylift {

// Describes a request that failed after its last attempt.
struct FailedRequest {
  Run run = Run::kMayHaveRun;  // whether any of its attempts ran; see RequestRun()
  bool past_deadline = false;
  bool sent_to_owner = false;   // the last attempt was forwarded to the idempotency key's owner
  bool answer_started = false;  // the caller has received part of the answer
};

// Returns the error for the caller of a failed request.
ErrorKind ErrorForFailedRequest(const FailedRequest& request);

// Returns `kind`, or its replacement if `kind` claims that nothing ran although, according to
// `run`, an attempt of the request ran or may have run.
ErrorKind ErrorConsistentWithRun(ErrorKind kind, Run run);

// Returns whether a peer's refusal may be specific to that host, so that another host may accept
// the request.
bool AnotherHostMayAccept(ErrorKind kind);

// Limits the retries of a request.
struct RetryLimits {
  bool idempotent = false;
  bool limits_runs = false;  // apply max_runs to the attempts that ran or may have run
  int max_runs = kMaxAttempts;
};

// Returns the input of MayRetry() for the next retry. `reached_server` says whether the last
// attempt reached a backend server.
RetryState MakeRetryState(const RequestAttempts& attempts, const RetryLimits& limits,
                          bool reached_server);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_OUTCOME_H_
