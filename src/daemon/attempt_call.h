#ifndef EBONYLIFT_DAEMON_ATTEMPT_CALL_H_
#define EBONYLIFT_DAEMON_ATTEMPT_CALL_H_

// The open attempt of a request: where it goes, the call that carries it, and what the call says.
//
// The functions read their arguments only and are thread safe.

#include <optional>
#include <string>

#include "adapters/http_client.h"
#include "core/attempt.h"
#include "daemon/dispatcher.h"
#include "daemon/request.h"
#include "ports/views.h"

namespace ebonylift {

struct OpenAttempt {
  uint32_t number = 0;  // 0: none is open
  CallId call = 0;
  Time dispatched_at;
  bool arrived = true;   // it reached a backend server
  bool refused = false;  // the target says that it did not run it

  // At a backend server.
  std::optional<ServerId> server;
  std::string address;
  std::string fetch_from;  // address of the server whose cache has more of the prompt; empty: none
  bool resumes = false;
  bool cancels = false;
  Choice choice;
  bool answer_started = false;

  // Through another host.
  bool forwarding = false;
  HostId host;
  std::optional<DomainId> forward_domain;  // unset for the owner of a key, which is no placement
};

// By this view, the server announces or the host answers probes.
bool TargetLive(const RoutingView& view, const OpenAttempt& open, uint64_t incarnation, Time now);

// What a call that did not deliver an answer says about the target.
ServerOutcome FailureOutcome(const CallResult& result, AnswerKind answer);

// Time that is left to the request, at least 1 ms.
Duration TimeLeft(const RequestSpec& spec, Time now);

// Asks the backend server to cancel the attempt; its answer says whether the work had started.
HttpCall CancelCall(const RequestId& request, const OpenAttempt& open, Duration timeout);

// The headers of an attempt at a backend server. `last_event`: of a stream that goes on.
HttpHeaders BackendHeaders(const RequestSpec& spec, const OpenAttempt& open,
                           const std::string& last_event, Time now);

// The headers of an attempt through another host, with the signed mark. `crosses`: a region border.
HttpHeaders ForwardHeaders(RequestSpec* spec, const OpenAttempt& open, bool crosses, bool claimed,
                           const std::string& last_event, const std::string& cluster_key, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ATTEMPT_CALL_H_
