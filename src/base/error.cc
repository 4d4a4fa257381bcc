#include "base/error.h"

namespace ebonylift {
namespace {

const std::vector<ErrorInfo>& Table() {
  // clang-format off
  static const std::vector<ErrorInfo> table = {
      {ErrorKind::kBadRequest, "bad_request", 400, Run::kNotRun, 0, "The request is malformed."},
      {ErrorKind::kBodyTooLarge, "body_too_large", 413, Run::kNotRun, 0, "The request body exceeds the size limit."},
      {ErrorKind::kUnauthorized, "unauthorized", 401, Run::kNotRun, 0, "The API key or token is missing or unknown."},
      {ErrorKind::kForbidden, "forbidden", 403, Run::kNotRun, 0, "The API key or token does not grant access to this resource."},
      {ErrorKind::kUnknownPath, "unknown_path", 404, Run::kNotRun, 0, "The path or configuration entry does not exist."},
      {ErrorKind::kUnknownModel, "unknown_model", 404, Run::kNotRun, 0, "The team has no route for this model or service."},
      {ErrorKind::kUnknownJob, "unknown_job", 404, Run::kNotRun, 0, "The team has no job with this id."},
      {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405, Run::kNotRun, 0, "The path does not support this method."},
      {ErrorKind::kKeyConflict, "key_conflict", 422, Run::kNotRun, 0, "The idempotency key was already used with a different request body."},
      {ErrorKind::kInProgress, "in_progress", 409, Run::kMayHaveRun, 1000, "A request with this idempotency key is still in progress."},
      {ErrorKind::kOutcomeUnknown, "outcome_unknown", 409, Run::kMayHaveRun, 0, "A request with this idempotency key was dispatched and its outcome is unknown; it is never run again."},
      {ErrorKind::kResidencyRefused, "residency_refused", 403, Run::kNotRun, 0, "The data residency rule does not allow this region."},
      {ErrorKind::kHopLimit, "hop_limit", 508, Run::kNotRun, 1000, "The request was forwarded between hosts too many times."},
      {ErrorKind::kForwardRefused, "forward_refused", 403, Run::kNotRun, 0, "The forwarding header set by another host is invalid."},
      {ErrorKind::kRateLimited, "rate_limited", 429, Run::kNotRun, 1000, "The team exceeded its rate or concurrency limit."},
      {ErrorKind::kOverloaded, "overloaded", 503, Run::kNotRun, 1000, "The request queue or a store is full."},
      {ErrorKind::kNoServer, "no_server", 503, Run::kNotRun, 2000, "No backend server is available that is allowed to run the request."},
      {ErrorKind::kStreamUnknown, "stream_unknown", 503, Run::kNotRun, 500, "No host knows which software version began the stream, so no server may continue it."},
      {ErrorKind::kOwnerUnreachable, "owner_unreachable", 503, Run::kNotRun, 2000, "The host that owns the idempotency key cannot be reached."},
      {ErrorKind::kRegionUnreachable, "region_unreachable", 503, Run::kNotRun, 2000, "No host in an allowed region can be reached."},
      {ErrorKind::kServerRefused, "server_refused", 503, Run::kNotRun, 1000, "Every backend server that was tried refused the connection or the request."},
      {ErrorKind::kServerFailed, "server_failed", 502, Run::kMayHaveRun, 1000, "The backend server failed after the request was sent."},
      {ErrorKind::kServerError, "server_error", 502, Run::kRan, 0, "The backend server returned an error."},
      {ErrorKind::kStreamBroken, "stream_broken", 502, Run::kMayHaveRun, 1000, "The response ended before it was complete."},
      {ErrorKind::kDeadlineNotRun, "deadline_not_run", 504, Run::kNotRun, 1000, "The deadline passed before the request was dispatched."},
      {ErrorKind::kDeadline, "deadline", 504, Run::kMayHaveRun, 1000, "The deadline passed after the request was dispatched."},
      {ErrorKind::kPoison, "poison", 422, Run::kNotRun, 0, "Requests with this content crashed backend servers; the content is blocked."},
      {ErrorKind::kPoisonDetected, "poison_detected", 502, Run::kMayHaveRun, 0, "This request crashed the backend servers that ran it."},
      {ErrorKind::kCancelled, "cancelled", 499, Run::kMayHaveRun, 0, "The request was cancelled."},
      {ErrorKind::kDraining, "draining", 503, Run::kNotRun, 500, "This entry host is shutting down; retry on another entry host."},
      {ErrorKind::kNotReady, "not_ready", 503, Run::kNotRun, 1000, "This entry host has not loaded a configuration yet."},
      {ErrorKind::kStorageFailed, "storage_failed", 503, Run::kNotRun, 5000, "The record could not be written to disk."},
      {ErrorKind::kConfigInvalid, "config_invalid", 422, Run::kNotRun, 0, "The value does not match the schema."},
      {ErrorKind::kConfigConflict, "config_conflict", 409, Run::kNotRun, 0, "The configuration path has a newer revision than the base revision of this change."},
      {ErrorKind::kNoQuorum, "no_quorum", 503, Run::kNotRun, 2000, "The control hosts have no elected leader; the change was not proposed."},
      {ErrorKind::kConfigUnknown, "config_unknown", 504, Run::kMayHaveRun, 1000, "The change was proposed but its outcome is unknown; resend it with the same request_id."},
      {ErrorKind::kNotFinished, "not_finished", 409, Run::kMayHaveRun, 1000, "The job has not finished and has no result yet."},
      {ErrorKind::kInternal, "internal", 500, Run::kMayHaveRun, 0, "Internal error."},
  };
  // clang-format on
  return table;
}

}  // namespace

const ErrorInfo& LookupError(ErrorKind kind) { return Table()[static_cast<size_t>(kind)]; }

ErrorKind ErrorKindFromCode(const std::string& code) {
  for (const ErrorInfo& info : Table()) {
    if (code == info.code) return info.kind;
  }
  return ErrorKind::kInternal;
}

const std::vector<ErrorInfo>& AllErrors() { return Table(); }

const char* RunName(Run run) {
  switch (run) {
    case Run::kNotRun:
      return "not_run";
    case Run::kMayHaveRun:
      return "may_have_run";
    case Run::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace ebonylift
