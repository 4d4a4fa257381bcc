#ifndef EBONYLIFT_BASE_ERROR_H_
#define EBONYLIFT_BASE_ERROR_H_

// The closed list of error kinds and the table from kind to answer.
//
// Every refusal or failure that leaves the process has exactly one kind. The table fixes the HTTP
// status, the code in the body, the statement whether the work ran, and the default retry time.
// docs/errors.md is generated from the table.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace ebonylift {

// Whether the work of a failed request ran. kNotRun is used only when nothing was dispatched or the
// backend server confirmed that it never started.
enum class Run { kNotRun, kMayHaveRun, kRan };

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
  const char* code;  // stable, in the body and in metrics
  int http_status;
  Run run;
  int64_t retry_after_ms;  // 0: repeating the same request does not help
  const char* meaning;
};

// Thread safe. The reference lives as long as the process.
const ErrorInfo& LookupError(ErrorKind kind);

// The kind with this code; kInternal for an unknown code. Thread safe.
ErrorKind ErrorKindFromCode(const std::string& code);

// All rows in the order of the enum. Thread safe.
const std::vector<ErrorInfo>& AllErrors();

// "not_run", "may_have_run" or "ran". Thread safe.
const char* RunName(Run run);

// An error with its kind; `what()` is shown to callers and must not contain prompt text.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message) : std::runtime_error(message), kind_(kind) {}
  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_ERROR_H_
