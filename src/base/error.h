#ifndef EBONYLIFT_BASE_ERROR_H_
#define EBONYLIFT_BASE_ERROR_H_

// Error kinds and the table that maps each kind to an HTTP error response.
//
// Every error that is returned to a caller or peer has exactly one kind. The table defines its HTTP
// status, the code in the response body, whether the request may have been executed, and the
// default retry delay. docs/errors.md is generated from the table.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace ebonylift {

// Whether a failed request was executed by a backend server. kNotRun is used only when nothing was
// dispatched or the backend server confirmed that execution never started.
enum class Run { kNotRun, kMayHaveRun, kRan };

// The values index the table in error.cc, so both must have the same order.
enum class ErrorKind {
  kBadRequest,
  kBodyTooLarge,
  kUnauthorized,
  kForbidden,
  kUnknownPath,
  kUnknownModel,
  kUnknownJob,
  kMethodNotAllowed,
  kKeyConflict,
  kInProgress,
  kOutcomeUnknown,
  kResidencyRefused,
  kHopLimit,
  kForwardRefused,
  kRateLimited,
  kOverloaded,
  kNoServer,
  kStreamUnknown,
  kOwnerUnreachable,
  kRegionUnreachable,
  kServerRefused,
  kServerFailed,
  kServerError,
  kStreamBroken,
  kDeadlineNotRun,
  kDeadline,
  kPoison,
  kPoisonDetected,
  kCancelled,
  kDraining,
  kNotReady,
  kStorageFailed,
  kConfigInvalid,
  kConfigConflict,
  kNoQuorum,
  kConfigUnknown,
  kNotFinished,
  kInternal,
};

struct ErrorInfo {
  ErrorKind kind;
  const char* code;  // part of the API: used in response bodies and metrics
  int http_status;
  Run run;
  int64_t retry_after_ms;  // 0: retrying the same request does not help
  const char* meaning;     // the default message of the response
};

// Returns the table row of `kind`. The reference stays valid for the lifetime of the process.
// Thread-safe.
const ErrorInfo& LookupError(ErrorKind kind);

// Returns the kind with the given code, or kInternal if the code is unknown. Thread-safe.
ErrorKind ErrorKindFromCode(const std::string& code);

// Returns all table rows in the order of ErrorKind. Thread-safe.
const std::vector<ErrorInfo>& AllErrors();

// Returns "not_run", "may_have_run" or "ran". Thread-safe.
const char* RunName(Run run);

// An exception with an error kind. `what()` is returned to callers as the error message, so it must
// not contain prompt text.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message) : std::runtime_error(message), kind_(kind) {}
  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_ERROR_H_
