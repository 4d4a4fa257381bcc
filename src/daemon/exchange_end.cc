// Exchange methods that handle failures, retries and the final response.

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/json_parse.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

constexpr Duration kProbeTimeout = milliseconds(1000);
constexpr Duration kProbeConnectTimeout = milliseconds(300);
// More than one probe, because a process that is exiting still accepts connections for a few
// milliseconds.
constexpr int kMaxProbes = 3;
constexpr Duration kProbeInterval = milliseconds(50);
constexpr Duration kCancelTimeout = milliseconds(300);
constexpr int kMaxResumes = 3;
// A condemnation (see core/poison.h) is checked again after this delay, before the request is
// refused: other hosts may also have had requests on the lost server, and their reports, which
// revoke the condemnation, arrive within this time.
constexpr Duration kCondemnationRecheckDelay = milliseconds(250);
// libcurl counts timeouts in whole milliseconds, so a call may time out up to one millisecond
// before the deadline.
constexpr Duration kTimeoutRounding = milliseconds(2);

ForwardOutcome ToForwardOutcome(ServerOutcome outcome, bool refused) {
  if (outcome == ServerOutcome::kUnreachable) return ForwardOutcome::kUnreachable;
  return refused ? ForwardOutcome::kRefused : ForwardOutcome::kAnswered;
}

// Probes a server whose attempt no exchange waits for any more, and records its loss.
void ProbeUntilKnown(const ExchangeContext& context, const HttpCall& probe,
                     const LossEvidence& evidence, int probes) {
  HttpCall call = probe;
  call.on_done = [=](const CallResult& result) {
    ProbeFinding finding = ClassifyProbe(result, probe.connect_only);
    if (finding == ProbeFinding::kLost) {
      context.dispatcher->RecordServerLoss(evidence, SteadyNow());
    } else if (finding == ProbeFinding::kAcceptsAndCloses && probes > 1) {
      auto timer = std::make_shared<asio::steady_timer>(*context.io, kProbeInterval);
      timer->async_wait([=, timer = timer](const asio::error_code& error) {
        if (!error) ProbeUntilKnown(context, probe, evidence, probes - 1);
      });
    }
  };
  context.client->Start(std::move(call));
}

}  // namespace

// Probes the server of an attempt that ends now although its connection was lost or is being
// probed. Precondition: the dispatcher has not been told yet that the attempt ends.
void Exchange::ProbeLostServer(const OpenAttempt& attempt) {
  int probes = spec_.dialect == nullptr ? kMaxProbes : 1;
  ProbeUntilKnown(context_, MakeProbeCall(attempt.address),
                  context_.dispatcher->CollectLossEvidence(*attempt.server), probes);
}

// Cancels the attempt after a timeout and learns from the backend server's reply whether the work
// had started. The attempt is reported as not run only if the server confirms that it had not.
void Exchange::ConfirmNotStarted(const CallResult& result) {
  HttpCall call = MakeCancelCall(spec_.id, open_attempt_, kCancelTimeout);
  call.connect_timeout = kCancelTimeout;
  ExchangeTable* table = context_.table;
  auto body = std::make_shared<std::string>();
  call.on_data = [body](std::string_view data) {
    body->append(data);
    return true;
  };
  call.on_done = [=, id = id_](const CallResult& reply) {
    Exchange* exchange = table->Find(id);
    if (exchange == nullptr) return;
    nlohmann::json answer = ParseForeignJson(*body);
    bool not_started = reply.outcome == CallOutcome::kComplete && reply.status == 200 &&
                       answer.is_object() && answer.contains("started") &&
                       answer["started"] == false;
    exchange->OnAttemptFailed(result,
                              not_started ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
  };
  open_attempt_.call = context_.client->Start(std::move(call));
}

// Probes the server after its connection was lost. If the server is gone, one of the requests that
// it was running may have crashed it, so the content of every request in flight there becomes a
// suspect.
void Exchange::CheckServerLost(const CallResult& result) {
  int probes = spec_.dialect == nullptr ? kMaxProbes : 1;
  open_attempt_.probing = true;
  ProbeServer(context_.dispatcher->CollectLossEvidence(*open_attempt_.server), result, probes);
}

// With a dialect, a probe only connects: a health check would wait for a slot of a busy server.
HttpCall Exchange::MakeProbeCall(const std::string& address) const {
  HttpCall call;
  call.url = "http://" + address + "/healthz";
  call.timeout = kProbeTimeout;
  call.connect_timeout = kProbeConnectTimeout;
  call.new_connection = true;
  call.connect_only = spec_.dialect != nullptr;
  return call;
}

void Exchange::LogLossNotRecorded(const char* reason) const {
  if (!open_attempt_.server) return;
  LogEvent(EventId::kServerLossNotRecorded, {{"request_id", spec_.id.value()},
                                             {"content", std::to_string(spec_.content.content)},
                                             {"server", open_attempt_.server->value()},
                                             {"reason", reason}});
}

void Exchange::ProbeServer(const LossEvidence& evidence, const CallResult& result, int probes) {
  HttpCall call = MakeProbeCall(open_attempt_.address);
  ExchangeTable* table = context_.table;
  Dispatcher* dispatcher = context_.dispatcher;
  bool connects_only = call.connect_only;
  call.on_done = [=, id = id_](const CallResult& probe) {
    Exchange* exchange = table->Find(id);
    ProbeFinding finding = ClassifyProbe(probe, connects_only);
    // A server that accepts and then closes each connection has not crashed. A relay in front of a
    // crashed server does this for the first connection only, so the probe is repeated.
    if (finding == ProbeFinding::kAcceptsAndCloses && probes > 1 && exchange != nullptr) {
      exchange->RunAfter(kProbeInterval, [evidence, result, probes](Exchange* current) {
        current->ProbeServer(evidence, result, probes - 1);
      });
      return;
    }
    bool lost = finding == ProbeFinding::kLost;
    if (lost) dispatcher->RecordServerLoss(evidence, SteadyNow());
    if (!lost && exchange != nullptr) exchange->LogLossNotRecorded(CallOutcomeName(probe.outcome));
    if (exchange != nullptr) exchange->OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
  };
  open_attempt_.call = context_.client->Start(std::move(call));
}

// Records that the attempt's server may be out of reach, if it gave no byte of an answer.
void Exchange::RecordPathFailure(const OpenAttempt& attempt, const CallResult& result) {
  if (result.outcome == CallOutcome::kNotConnected) {
    ++connect_failures_;
    context_.dispatcher->RecordConnection(*attempt.server, false, SteadyNow());
  }
  if (result.status != 0 || attempt.response_started) return;
  context_.dispatcher->RecordSilence(*attempt.server, attempt.dispatched_at, SteadyNow());
}

void Exchange::OnAttemptFailed(const CallResult& result, ebonylift::Run run) {
  open_attempt_.call = 0;
  LogEvent(EventId::kAttemptFailed,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"content", std::to_string(spec_.content.content)},
            {"attempt", std::to_string(open_attempt_.number)},
            {"server", open_attempt_.server ? open_attempt_.server->value() : "forward"},
            {"outcome", CallOutcomeName(result.outcome)},
            {"status", std::to_string(result.status)},
            {"silent_ms", std::to_string(ToMillis(SteadyNow() - last_data_at_))},
            {"reason", result.error},
            {"run", RunName(run)}});
  context_.metrics->CountAttemptFailure(result.outcome);
  if (open_attempt_.server) RecordPathFailure(open_attempt_, result);
  open_attempt_.reached_server = result.outcome != CallOutcome::kNotConnected;
  open_attempt_.refused =
      result.outcome == CallOutcome::kComplete && run == ebonylift::Run::kNotRun;
  bool turned_away = open_attempt_.refused && relay_.kind() != ResponseKind::kWrongServer;
  if (open_attempt_.server && turned_away && IsHedgingOn(HedgeLimits()))
    context_.dispatcher->OnTurnedAway(ServedName(*spec_.route), SteadyNow());
  bool begun = relay_.begun();
  if (begun && spec_.dialect == nullptr && TryResumeOnSameServer()) return;
  RecordAttemptFailure(run, ClassifyFailure(result, relay_.kind()));
  if (TakeOverByHedge()) return;
  if (!begun) {
    RetryOrRefuse(run);
    return;
  }
  if (spec_.dialect != nullptr && TryContinueOnOtherServer()) return;
  RefuseWithOutcomeKind();
}

void Exchange::RecordAttemptFailure(ebonylift::Run run, ServerOutcome outcome) {
  OnFailure(attempts_, open_attempt_.number, run);
  if (open_attempt_.server) failed_servers_.push_back(*open_attempt_.server);
  EndAttempt(outcome);
}

RetryState Exchange::CurrentRetryState() const {
  RetryLimits limits;
  limits.idempotent = spec_.idempotent;
  limits.limits_runs = spec_.dialect != nullptr;
  // The host that received the request from the caller counts the attempts, so a host that it was
  // forwarded to makes only one.
  if (limits.limits_runs) limits.max_runs = spec_.forwarded ? 1 : spec_.route->max_attempts;
  return MakeRetryState(attempts_, limits, open_attempt_.reached_server);
}

// Continues a broken stream on another backend server, after the last complete event.
bool Exchange::TryContinueOnOtherServer() {
  if (!spec_.route->resumable || relay_.event_too_large() || relay_.caller_disconnected())
    return false;
  // Unknown if a host of an earlier version forwarded the request to the server.
  if (spec_.software_version.empty()) return false;
  Time now = SteadyNow();
  RetryDecision decision = context_.dispatcher->MayRetry(
      RetryBudgetKey(), CurrentRetryState(), ebonylift::Run::kMayHaveRun, spec_.deadline, now);
  if (decision != RetryDecision::kRetry) return false;
  relay_.ContinueStream();
  LogEvent(EventId::kStreamResumed, {{"request_id", spec_.id.value()},
                                     {"caller_request_id", spec_.caller_request_id},
                                     {"offset", relay_.last_event_id()},
                                     {"software", spec_.software_version}});
  Place();
  return true;
}

// Resumes a broken stream of the same attempt on the same server, at the exact byte offset.
bool Exchange::TryResumeOnSameServer() {
  if (!open_attempt_.server || !open_attempt_.can_resume || SteadyNow() >= spec_.deadline)
    return false;
  if (relay_.event_too_large()) return false;
  const BackendServer* server = FindServer(*spec_.view, *open_attempt_.server);
  const Attempt* attempt = FindAttempt(attempts_, open_attempt_.number);
  bool same = server != nullptr && attempt != nullptr &&
              server->announced.incarnation == attempt->incarnation;
  if (!same || relay_.continuations() >= kMaxResumes) return false;
  relay_.ContinueStream();
  LogEvent(EventId::kStreamResumed, {{"request_id", spec_.id.value()},
                                     {"server", open_attempt_.server->value()},
                                     {"offset", std::to_string(relay_.generated_text_bytes())}});
  HttpCall call = NewCall("http://" + open_attempt_.address + "/v1/resume", open_attempt_.number);
  call.method = "POST";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = nlohmann::json{{"request_id", spec_.id.value()},
                             {"attempt", open_attempt_.number},
                             {"offset", relay_.generated_text_bytes()}}
                  .dump();
  open_attempt_.call = context_.client->Start(std::move(call));
  return true;
}

void Exchange::RetryOrRefuse(ebonylift::Run run) {
  Time now = SteadyNow();
  bool condemned = context_.dispatcher->RefusedFor(spec_.content, now).has_value();
  if (condemned && context_.dispatcher->MayRevokeCondemnations() && !condemnation_checked_) {
    condemnation_checked_ = true;
    RunAfter(kCondemnationRecheckDelay, [run](Exchange* current) { current->RetryOrRefuse(run); });
    return;
  }
  if (RefuseIfCondemned()) return;
  if (to_key_owner_) {
    RefuseWithOutcomeKind();
    return;
  }
  RetryDecision decision = context_.dispatcher->MayRetry(RetryBudgetKey(), CurrentRetryState(), run,
                                                         spec_.deadline - kTimeoutRounding, now);
  if (decision != RetryDecision::kRetry) {
    RefuseWithOutcomeKind();
    return;
  }
  ScheduleRetry();
}

// Schedules the next attempt. Precondition: the retry budget was charged and no attempt is open.
void Exchange::ScheduleRetry() {
  int next = static_cast<int>(attempts_.attempts.size()) + 1;
  context_.metrics->CountRetry(spec_.traffic_class);
  LogEvent(EventId::kAttemptRetried,
           {{"request_id", spec_.id.value()}, {"attempt", std::to_string(next)}});
  relay_.Reset();
  RunAfter(RetryDelay(next), std::mem_fn(&Exchange::Place));
}

void Exchange::RunAfter(Duration delay, std::function<void(Exchange*)> step) {
  CancelStep();
  timer_.expires_after(delay);
  ExchangeTable* table = context_.table;
  uint64_t number = step_number_;
  timer_.async_wait([=, step = std::move(step), id = id_](const asio::error_code& error) {
    if (error) return;
    Exchange* exchange = table->Find(id);
    if (exchange != nullptr && exchange->step_number_ == number) step(exchange);
  });
}

void Exchange::CancelStep() {
  ++step_number_;
  timer_.cancel();
}

HttpHeaders Exchange::MakeResponseHeaders() const {
  HttpHeaders headers = EndToEndHeaders(relay_.headers());
  if (spec_.dialect != nullptr) {
    if (spec_.forwarded && !open_attempt_.software_version.empty())
      headers.emplace_back(kSoftwareVersionHeader, open_attempt_.software_version);
    return headers;
  }
  headers.emplace_back(kRequestIdHeader, spec_.id.value());
  // The response of another host already has this header, so it is replaced rather than added.
  if (!spec_.caller_request_id.empty()) {
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
  }
  if (claim_.expires_at() != 0) {
    SetHeader(&headers, kKeyExpiresHeader, MillisUntilText(claim_.expires_at()));
  }
  if (to_key_owner_) {
    SetHeader(&headers, kReplayedHeader, FindHeader(relay_.headers(), kReplayedHeader));
    SetHeader(&headers, kKeyExpiresHeader, FindHeader(relay_.headers(), kKeyExpiresHeader));
  }
  // For a forwarded request, the other host's response names the region and server that ran it.
  std::string region = FindHeader(relay_.headers(), kRegionHeader);
  std::string server = FindHeader(relay_.headers(), kServerHeader);
  if (!open_attempt_.forwarding) {
    region = spec_.view->self.region.value();
    server = open_attempt_.server ? open_attempt_.server->value() : "";
  }
  headers.emplace_back(kRegionHeader, region);
  headers.emplace_back(kServerHeader, server);
  return headers;
}

void Exchange::RelayPeerError(ErrorKind kind) {
  OnFailure(attempts_, open_attempt_.number, LookupError(kind).run);
  // The peer's error covers only the attempts made by the peer. If it would be false for earlier
  // attempts of this host, it is replaced.
  if (ErrorConsistentWithRun(kind, RequestRun(attempts_)) != kind) {
    EndAttempt(ServerOutcome::kOk);
    Refuse(kind, "");
    return;
  }
  HttpHeaders headers = MakeResponseHeaders();
  headers.emplace_back(kErrorCodeHeader, LookupError(kind).code);
  EndAttempt(ServerOutcome::kOk);
  LogEvent(EventId::kRequestRefused, {{"request_id", spec_.id.value()},
                                      {"caller_request_id", spec_.caller_request_id},
                                      {"workspace", WorkspaceName()},
                                      {"kind", LookupError(kind).code},
                                      {"run", RunName(RequestRun(attempts_))}});
  CountWorkspaceRefusal();
  relay_.Send(relay_.status(), headers, relay_.body());
  Finish();
}

// Returns the current time for a response without a body.
Time Exchange::FirstByteTime() const { return first_byte_seen_ ? first_byte_at_ : SteadyNow(); }

LateCause Exchange::CauseOfLateness() const {
  AnswerTimes times;
  times.dispatched = open_attempt_.dispatched_at - spec_.arrived;
  times.first_byte = FirstByteTime() - spec_.arrived;
  times.longest_gap = longest_gap_;
  times.end = SteadyNow() - spec_.arrived;
  times.deadline = spec_.deadline - spec_.arrived;
  return FindLateCause(times, *spec_.route);
}

void Exchange::SendResponse() {
  EndHedge("first_byte");
  HttpHeaders headers = MakeResponseHeaders();
  std::string server =
      open_attempt_.server ? open_attempt_.server->value() : FindHeader(headers, kServerHeader);
  ebonylift::Finish(attempts_, open_attempt_.number);
  bool local = open_attempt_.server.has_value();
  if (local) {
    // One cost unit is one second of one slot in a backend server's batch.
    double units = std::chrono::duration<double>(SteadyNow() - open_attempt_.dispatched_at).count();
    context_.metrics->AddCostUnits(spec_.traffic_class, units);
  }
  EndAttempt(ServerOutcome::kOk);
  if (local) context_.dispatcher->OnCompleted(spec_.content.content);
  bool answered = relay_.status() < 300 && !relay_.ends_with_connection();
  if (local && answered) context_.dispatcher->OnPartsAnswered(spec_.content.parts);
  context_.metrics->ObserveWait(spec_.traffic_class, open_attempt_.dispatched_at - spec_.arrived);
  LateCause late = CauseOfLateness();
  if (!spec_.forwarded) context_.metrics->CountLate(ServedName(*spec_.route), late);
  context_.metrics->CountAnswer(spec_.traffic_class, static_cast<int>(attempts_.attempts.size()),
                                SteadyNow() - spec_.arrived);
  LogEvent(EventId::kRequestAnswered,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"route", spec_.route->id.value()},
            {"workspace", WorkspaceName()},
            {"server", server},
            {"status", std::to_string(relay_.status())},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"tokens", std::to_string(spec_.prompt_tokens)},
            {"hit_tokens", std::to_string(open_attempt_.choice.hit_tokens)},
            {"fetch_tokens", std::to_string(open_attempt_.choice.fetch_tokens)},
            {"tokens_ahead", std::to_string(open_attempt_.choice.tokens_ahead)},
            {"wait_ms", std::to_string(ToMillis(open_attempt_.dispatched_at - spec_.arrived))},
            {"first_ms", std::to_string(ToMillis(FirstByteTime() - spec_.arrived))},
            {"gap_ms", std::to_string(ToMillis(longest_gap_))},
            {"late", LateCauseName(late)},
            {"speed_percent", std::to_string(std::lround(100 * open_attempt_.choice.speed))},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  std::function<void()> respond = relay_.MakeEndWriter(headers);
  // A stream with an error event is incomplete, so it is never stored for the idempotency key.
  if (!claim_.held() || relay_.stream_failed()) {
    respond();
    Finish();
    return;
  }
  asio::io_context* io = context_.io;
  claim_.Complete(relay_.MakeStoredAnswer(headers),
                  [io, respond](bool /*durable*/) { asio::post(*io, respond); });
  Finish();
}

void Exchange::RefuseWithOutcomeKind() {
  FailedRequest failed;
  failed.run = RequestRun(attempts_);
  failed.past_deadline = SteadyNow() + kTimeoutRounding >= spec_.deadline;
  failed.sent_to_owner = to_key_owner_;
  failed.answer_started = relay_.begun();
  Refuse(ErrorForFailedRequest(failed), "");
}

void Exchange::Refuse(ErrorKind kind, const std::string& message, Duration retry_after) {
  kind = ErrorConsistentWithRun(kind, RequestRun(attempts_));
  LogEvent(EventId::kRequestRefused,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"route", spec_.route->id.value()},
            {"workspace", WorkspaceName()},
            {"kind", LookupError(kind).code},
            {"run", RunName(LookupError(kind).run)},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"tokens", std::to_string(spec_.prompt_tokens)},
            {"retry_after_ms", std::to_string(ToMillis(retry_after))},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  context_.metrics->CountRefusal(kind);
  CountWorkspaceRefusal();
  bool cut_off = kind == ErrorKind::kDeadline && first_byte_seen_ && !spec_.forwarded;
  if (cut_off) context_.metrics->CountLate(ServedName(*spec_.route), CauseOfLateness());
  // Before the response, since the caller may send the request again as soon as it has that.
  claim_.Resolve(RequestRun(attempts_));
  relay_.Refuse(ErrorResponse{kind, message, retry_after, spec_.id});
  Finish();
}

std::string Exchange::WorkspaceName() const {
  return spec_.workspace == nullptr ? "" : spec_.workspace->id.value();
}

// Counts the refusal at the host that got the request from its caller.
void Exchange::CountWorkspaceRefusal() {
  if (spec_.workspace != nullptr && !spec_.forwarded)
    context_.metrics->CountWorkspaceRefusal(spec_.workspace->id);
}

void Exchange::OnCallerDisconnected() {
  relay_.DetachCaller();
  if (finished_) return;
  Time now = SteadyNow();
  bool sent = open_attempt_.number != 0;
  LogEvent(EventId::kCallerGone,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"ms", std::to_string(ToMillis(now - spec_.arrived))},
            {"sent_ms", sent ? std::to_string(ToMillis(now - open_attempt_.dispatched_at)) : ""}});
  // Work dispatched under an idempotency key may not be repeated. It runs to completion, so that a
  // resend with the same key gets the full response.
  if (claim_.dispatched()) {
    if (relay_.Resume()) context_.client->Resume(open_attempt_.call);
    return;
  }
  EndHedge("caller_gone");
  if (open_attempt_.number != 0) Abandon(attempts_, open_attempt_.number);
  CancelAttempt();
  EndAttempt(ServerOutcome::kCancelled);
  Finish();
}

void Exchange::EndForShutdown() {
  if (finished_ || relay_.begun()) return;
  if (open_attempt_.number != 0) OnFailure(attempts_, open_attempt_.number, Run::kMayHaveRun);
  CancelAttempt();
  EndAttempt(ServerOutcome::kCancelled);
  Refuse(ErrorKind::kDraining, "");
}

bool Exchange::EndIfCallerLeft() {
  if (relay_.CallerHasLeft()) OnCallerDisconnected();
  return finished_;
}

// Ends the call, or the wait before the next probe of the server, and asks the backend server to
// cancel the work, without waiting for its reply.
void Exchange::CancelAttempt() {
  CancelStep();
  CancelCall(&open_attempt_);
}

void Exchange::CancelCall(OpenAttempt* attempt) {
  if (attempt->call != 0) context_.client->Cancel(attempt->call);
  attempt->call = 0;
  if (!attempt->server || !attempt->can_cancel) return;
  context_.client->Start(MakeCancelCall(spec_.id, *attempt, kProbeTimeout));
}

// Tells the dispatcher that the attempt has ended.
void Exchange::EndPlacement(const OpenAttempt& attempt, ServerOutcome outcome) {
  Time now = SteadyNow();
  if (attempt.server) {
    int64_t unread_tokens = attempt.response_started ? 0 : attempt.choice.prefill_tokens;
    bool sent = outcome == ServerOutcome::kFailed || outcome == ServerOutcome::kCancelled;
    if (sent && !attempt.response_started) {
      context_.dispatcher->OnNoFirstByte(ServedName(*spec_.route), attempt.choice,
                                         attempt.dispatched_at, now);
    }
    context_.dispatcher->EndLocal(*attempt.server, spec_.content.content, attempt.dispatched_at,
                                  outcome, now, unread_tokens);
  }
  if (attempt.forward_domain) {
    context_.dispatcher->EndForward(*attempt.forward_domain, attempt.dispatched_at,
                                    ToForwardOutcome(outcome, attempt.refused), now);
  }
}

void Exchange::EndAttempt(ServerOutcome outcome) {
  EndPlacement(open_attempt_, outcome);
  open_attempt_.server.reset();
  open_attempt_.forward_domain.reset();
  open_attempt_.forwarding = false;
  open_attempt_.number = 0;
}

void Exchange::Finish() {
  if (finished_) return;
  finished_ = true;
  EndHedge("ended");
  if (queue_id_) context_.dispatcher->Remove(*queue_id_);
  claim_.Resolve(RequestRun(attempts_));
  if (admitted_) context_.dispatcher->Release(spec_.team);
  if (waiting_charge_) {
    context_.dispatcher->CancelLimitWait(waiting_charge_->workspace, waiting_charge_->cost);
  }
  if (limit_charge_ && RequestRun(attempts_) == ebonylift::Run::kNotRun) {
    context_.dispatcher->RefundToLimit(limit_charge_->workspace, limit_charge_->cost, SteadyNow());
  }
  // Erased later, because the calling methods still use this object after Finish() returns.
  asio::post(*context_.io, [table = context_.table, id = id_] { table->Erase(id); });
}

}  // namespace ebonylift
