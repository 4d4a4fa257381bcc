#include "daemon/attempt_call.h"

#include <algorithm>
#include <cerrno>
#include <nlohmann/json.hpp>

#include "core/ingress.h"

namespace ebonylift {
namespace {

HttpHeaders MakeDialectHeaders(const RequestSpec& spec, const OpenAttempt& open,
                               const std::string& last_event_id, Time now) {
  AttemptParameters attempt;
  if (open.server) attempt.server = *open.server;
  attempt.time_left = RemainingTime(spec, now);
  attempt.rank = RankOf(spec);
  attempt.has_workspaces = HasWorkspaces(*spec.view->config);
  if (spec.workspace != nullptr) attempt.workspace = spec.workspace->id;
  attempt.last_event_id = last_event_id;
  attempt.fetch_from = open.fetch_from;
  return spec.dialect->attempt_headers(spec.headers, attempt);
}

}  // namespace

bool IsTargetLive(const RoutingView& view, const OpenAttempt& open, uint64_t incarnation,
                  Time now) {
  if (open.server) {
    const BackendServer* server = FindServer(view, *open.server);
    if (server != nullptr) {
      return server->expires_at > now && server->announced.incarnation == incarnation;
    }
  }
  if (!open.forwarding) return false;
  const HostEntry* host = FindHost(view, open.host);
  // This host never declares a host of another failure domain failed, it only suspects it. So a
  // suspected host counts as not live.
  return host != nullptr && host->status != HostStatus::kSuspect &&
         host->status != HostStatus::kFailed;
}

ServerOutcome ClassifyFailure(const CallResult& result, ResponseKind response_kind) {
  if (result.outcome == CallOutcome::kNotConnected) return ServerOutcome::kUnreachable;
  bool wrong_server =
      result.outcome == CallOutcome::kComplete && response_kind == ResponseKind::kWrongServer;
  return wrong_server ? ServerOutcome::kReplaced : ServerOutcome::kFailed;
}

ProbeFinding ClassifyProbe(const CallResult& probe, bool connects_only) {
  switch (probe.outcome) {
    case CallOutcome::kComplete:
      return ProbeFinding::kNotLost;
    case CallOutcome::kFailed:
    case CallOutcome::kNothingWritten:
      return ProbeFinding::kAcceptsAndCloses;
    case CallOutcome::kNotConnected:
      // The reset of an accepted connection may arrive before this host has seen that it was
      // established.
      if (probe.connect_errno == ECONNRESET) return ProbeFinding::kAcceptsAndCloses;
      if (probe.connect_errno == ECONNREFUSED) return ProbeFinding::kLost;
      break;
    case CallOutcome::kTimedOut:
      break;
  }
  return connects_only ? ProbeFinding::kNotLost : ProbeFinding::kLost;
}

Duration RemainingTime(const RequestSpec& spec, Time now) {
  return std::max<Duration>(spec.deadline - now, milliseconds(1));
}

HttpCall MakeCancelCall(const RequestId& request, const OpenAttempt& open, Duration timeout) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + open.address + "/v1/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = nlohmann::json{{"request_id", request.value()}, {"attempt", open.number}}.dump();
  call.timeout = timeout;
  return call;
}

HttpHeaders MakeBackendHeaders(const RequestSpec& spec, const OpenAttempt& open,
                               const std::string& last_event_id, Time now) {
  if (spec.dialect != nullptr) return MakeDialectHeaders(spec, open, last_event_id, now);
  HttpHeaders headers = spec.headers;
  headers.emplace_back(kRequestIdHeader, spec.id.value());
  headers.emplace_back("x-ebonylift-attempt", std::to_string(open.number));
  headers.emplace_back("x-ebonylift-team", spec.team.value());
  headers.emplace_back("x-ebonylift-priority",
                       std::to_string(static_cast<int>(spec.traffic_class)));
  headers.emplace_back("x-ebonylift-deadline-ms",
                       std::to_string(ToMillis(RemainingTime(spec, now))));
  return headers;
}

HttpHeaders MakeForwardHeaders(RequestSpec* spec, const OpenAttempt& open, bool crosses_region,
                               bool claimed, const std::string& last_event_id,
                               const std::string& cluster_key, Time now) {
  ForwardHeader forward_header;
  forward_header.from = spec->view->self.host;
  forward_header.request = spec->id;
  forward_header.hops = spec->hops + 1;
  forward_header.crossed_region = spec->crossed_region || crosses_region;
  forward_header.claimed = spec->claimed || claimed;
  forward_header.deadline_ms = ToMillis(RemainingTime(*spec, now));
  forward_header.team = spec->team;
  forward_header.route = spec->route->id;
  forward_header.traffic_class = spec->traffic_class;
  forward_header.idempotent = spec->idempotent;
  forward_header.revision = spec->view->config->revision;
  forward_header.time = WallNow();
  bool own_interface = spec->dialect == nullptr;
  std::string key = own_interface ? FindHeader(spec->headers, "idempotency-key") : std::string();
  ForwardBinding binding{spec->method, spec->request_path + "?" + spec->query, key, BodyHash(spec),
                         spec->software_version};
  if (spec->workspace != nullptr && spec->key_digest) {
    binding.workspace = FormatWorkspaceHeader({spec->workspace->id, *spec->key_digest});
  }
  HttpHeaders headers =
      own_interface ? spec->headers : MakeDialectHeaders(*spec, open, last_event_id, now);
  if (!spec->software_version.empty())
    headers.emplace_back(kSoftwareVersionHeader, spec->software_version);
  if (!binding.workspace.empty()) headers.emplace_back(kWorkspaceHeader, binding.workspace);
  headers.emplace_back(kForwardHeader, EncodeForward(forward_header, binding, cluster_key));
  return headers;
}

}  // namespace ebonylift
