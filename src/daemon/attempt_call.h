#ifndef EBONYLIFT_DAEMON_ATTEMPT_CALL_H_
#define EBONYLIFT_DAEMON_ATTEMPT_CALL_H_

// The open attempt of a request: its target, its HTTP call and the meaning of the call's result.
//
// The functions depend only on their arguments and are thread safe.

#include <optional>
#include <string>

#include "adapters/http_client.h"
#include "core/attempt.h"
#include "daemon/dispatcher.h"
#include "daemon/request.h"
#include "ports/views.h"

namespace ebonylift {

// The attempt that is in progress.
struct OpenAttempt {
  uint32_t number = 0;  // 0: none is open
  CallId call = 0;
  Time dispatched_at;
  bool reached_server = true;  // the request reached a backend server
  bool refused = false;        // the target stated that it did not run the request

  // Of the backend server's software; of an attempt through another host, once its answer has
  // begun. Empty: unknown.
  std::string software_version;

  // Set for an attempt on a backend server.
  std::optional<ServerId> server;
  std::string address;
  // Address of the server whose cache holds more of the prompt; empty: none.
  std::string fetch_from;
  bool can_resume = false;  // the server has the capability `resume`
  bool can_cancel = false;  // the server has the capability `cancel`
  Choice choice;
  bool response_started = false;  // the first byte of the response arrived
  Time first_data_at;             // set if `response_started`
  Duration last_gap{0};           // between events, not yet reported; 0: none
  bool parts_answered = false;    // Dispatcher::OnPartsAnswered() was called
  bool tries_path = false;        // sent while this host was cut off from its servers
  bool is_hedge = false;          // was sent beside another attempt
  bool probing = false;           // its connection was lost, and its server is probed

  // Set for an attempt through another host.
  bool forwarding = false;
  HostId host;
  // Unset for a forward to the owner of the idempotency key, which the dispatcher did not place.
  std::optional<DomainId> forward_domain;
};

// Returns true when, according to `view`, the target is live: the server still announces itself
// with this incarnation, or the host is neither suspected nor failed.
bool IsTargetLive(const RoutingView& view, const OpenAttempt& open, uint64_t incarnation, Time now);

// Classifies a failed call, for the statistics of the target.
ServerOutcome ClassifyFailure(const CallResult& result, ResponseKind response_kind);

// What a probe of a server that broke off an attempt has found.
enum class ProbeFinding {
  kNotLost,  // it runs, or it may be cut off
  kAcceptsAndCloses,
  kLost,
};

// Classifies the result of a probe. A server that does not answer is lost if `connects_only` is
// false; a probe that only connects cannot tell it from one that is cut off.
ProbeFinding ClassifyProbe(const CallResult& probe, bool connects_only);

// Returns the time until the request's deadline, at least 1 ms.
Duration RemainingTime(const RequestSpec& spec, Time now);

// Makes the call that asks the backend server to cancel the attempt. The reply says whether the
// work had started.
HttpCall MakeCancelCall(const RequestId& request, const OpenAttempt& open, Duration timeout);

// Makes the headers of an attempt on a backend server. `last_event_id` is the id of the last event
// received when the attempt continues a stream, else empty.
HttpHeaders MakeBackendHeaders(const RequestSpec& spec, const OpenAttempt& open,
                               const std::string& last_event_id, Time now);

// Makes the headers of an attempt through another host, including the signed ForwardHeader.
// `crosses_region`: the host is in another region. Not const because it caches the hash of the body
// in `spec`.
HttpHeaders MakeForwardHeaders(RequestSpec* spec, const OpenAttempt& open, bool crosses_region,
                               bool claimed, const std::string& last_event_id,
                               const std::string& cluster_key, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ATTEMPT_CALL_H_
