// The failures and the ends of an Exchange.

#include <algorithm>
#include <asio/post.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

constexpr Duration kProbeTimeout = milliseconds(1000);
constexpr Duration kProbeConnectTimeout = milliseconds(300);
// A process that is ending accepts connections for a few milliseconds more.
constexpr int kProbes = 3;
constexpr Duration kProbePause = milliseconds(50);
constexpr Duration kCancelTimeout = milliseconds(300);
constexpr int kMaxResumes = 3;
// The content may have shared the lost server with work of other hosts. Their reports, which take a
// condemnation back, arrive within this time.
constexpr Duration kCondemnationCheck = milliseconds(250);
// A call may time out up to a millisecond before the deadline, because libcurl counts whole ones.
constexpr Duration kTimeoutRounding = milliseconds(2);

ForwardEnd EndOfForward(ServerOutcome outcome, bool refused) {
  if (outcome == ServerOutcome::kUnreachable) return ForwardEnd::kUnreachable;
  return refused ? ForwardEnd::kRefused : ForwardEnd::kAnswered;
}

}  // namespace

// Asks the backend server to cancel and whether the work had started: only then may a request that
// timed out be answered as not run.
void Exchange::ConfirmNotStarted(const CallResult& result) {
  HttpCall call = CancelCall(spec_.id, open_, kCancelTimeout);
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
    nlohmann::json answer = nlohmann::json::parse(*body, nullptr, false);
    bool not_started = reply.outcome == CallOutcome::kComplete && reply.status == 200 &&
                       answer.is_object() && answer.value("started", true) == false;
    exchange->OnAttemptFailed(result,
                              not_started ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
  };
  open_.call = context_.client->Start(std::move(call));
}

// After a lost connection: a server that does not answer a probe was lost while it ran this
// request, which makes the content a suspect.
void Exchange::CheckServerLost(const CallResult& result) {
  ProbeServer(context_.dispatcher->Evidence(*open_.server), result, kProbes);
}

void Exchange::ProbeServer(const LossEvidence& evidence, const CallResult& result, int probes) {
  HttpCall call;
  call.url = "http://" + open_.address + "/healthz";
  call.timeout = kProbeTimeout;
  call.connect_timeout = kProbeConnectTimeout;
  call.new_connection = true;
  ExchangeTable* table = context_.table;
  Dispatcher* dispatcher = context_.dispatcher;
  call.on_done = [=, id = id_](const CallResult& probe) {
    Exchange* exchange = table->Find(id);
    // A server that goes on accepting connections and ending them has not crashed. A relay in front
    // of a crashed one does so for the first connection only.
    bool accepted =
        probe.outcome == CallOutcome::kFailed || probe.outcome == CallOutcome::kNothingWritten;
    if (accepted && probes > 1 && exchange != nullptr) {
      exchange->RunLater(kProbePause, [evidence, result, probes](Exchange* later) {
        later->ProbeServer(evidence, result, probes - 1);
      });
      return;
    }
    if (probe.outcome != CallOutcome::kComplete && !accepted) {
      dispatcher->OnLost(evidence, SteadyNow());
    }
    if (exchange != nullptr) exchange->OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
  };
  open_.call = context_.client->Start(std::move(call));
}

void Exchange::OnAttemptFailed(const CallResult& result, ebonylift::Run run) {
  open_.call = 0;
  LogEvent(EventId::kAttemptFailed, {{"request_id", spec_.id.value()},
                                     {"attempt", std::to_string(open_.number)},
                                     {"server", open_.server ? open_.server->value() : "forward"},
                                     {"outcome", CallOutcomeName(result.outcome)},
                                     {"status", std::to_string(result.status)},
                                     {"run", RunName(run)}});
  context_.metrics->CountAttemptFailure(result.outcome);
  open_.arrived = result.outcome != CallOutcome::kNotConnected;
  open_.refused = result.outcome == CallOutcome::kComplete && run == ebonylift::Run::kNotRun;
  bool begun = answer_.begun();
  if (begun && spec_.dialect == nullptr && TryResume()) return;
  FailAttempt(run, FailureOutcome(result, answer_.kind()));
  if (!begun) {
    RetryOrRefuse(run);
    return;
  }
  if (spec_.dialect != nullptr && TryResumeElsewhere()) return;
  RefuseOutcome();
}

void Exchange::FailAttempt(ebonylift::Run run, ServerOutcome outcome) {
  OnFailure(attempts_, open_.number, run);
  if (open_.server) avoid_servers_.push_back(*open_.server);
  EndAttempt(outcome);
}

RetryRule Exchange::MakeRetryRule() const {
  RepetitionLimits limits;
  limits.idempotent = spec_.idempotent;
  limits.counts_runs = spec_.dialect != nullptr;
  // The host that the caller uses counts the attempts, so a host in between makes one.
  if (limits.counts_runs) limits.max_runs = spec_.forwarded ? 1 : spec_.route->max_attempts;
  return NextRetryRule(attempts_, limits, open_.arrived);
}

// Continues a broken stream at another backend server after the last whole event.
bool Exchange::TryResumeElsewhere() {
  if (!spec_.route->resumable || answer_.event_too_large() || answer_.caller_gone()) return false;
  Time now = SteadyNow();
  RetryVerdict verdict = context_.dispatcher->MayRetry(
      BudgetKey(), MakeRetryRule(), ebonylift::Run::kMayHaveRun, spec_.deadline, now);
  if (verdict != RetryVerdict::kRetry) return false;
  answer_.Continue();
  LogEvent(EventId::kStreamResumed,
           {{"request_id", spec_.id.value()}, {"offset", answer_.last_event()}});
  Place();
  return true;
}

// Continues a broken stream on the same server and attempt at the exact offset.
bool Exchange::TryResume() {
  if (!open_.server || !open_.resumes || SteadyNow() >= spec_.deadline) return false;
  const BackendServer* server = FindServer(*spec_.view, *open_.server);
  const Attempt* attempt = FindAttempt(attempts_, open_.number);
  bool same = server != nullptr && attempt != nullptr &&
              server->announced.incarnation == attempt->incarnation;
  if (!same || answer_.continuations() >= kMaxResumes) return false;
  answer_.Continue();
  LogEvent(EventId::kStreamResumed, {{"request_id", spec_.id.value()},
                                     {"server", open_.server->value()},
                                     {"offset", std::to_string(answer_.text_bytes())}});
  HttpCall call = NewCall("http://" + open_.address + "/v1/resume", open_.number);
  call.method = "POST";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = nlohmann::json{{"request_id", spec_.id.value()},
                             {"attempt", open_.number},
                             {"offset", answer_.text_bytes()}}
                  .dump();
  open_.call = context_.client->Start(std::move(call));
  return true;
}

void Exchange::RetryOrRefuse(ebonylift::Run run) {
  Time now = SteadyNow();
  if (context_.dispatcher->Verdict(spec_.content, now) == PoisonVerdict::kCondemned) {
    if (!condemnation_checked_) {
      condemnation_checked_ = true;
      RunLater(kCondemnationCheck, [run](Exchange* later) { later->RetryOrRefuse(run); });
      return;
    }
    bool not_run = RequestRun(attempts_) == ebonylift::Run::kNotRun;
    Refuse(not_run ? ErrorKind::kPoison : ErrorKind::kPoisonDetected, "");
    return;
  }
  if (to_owner_) {
    RefuseOutcome();
    return;
  }
  RetryVerdict verdict = context_.dispatcher->MayRetry(BudgetKey(), MakeRetryRule(), run,
                                                       spec_.deadline - kTimeoutRounding, now);
  if (verdict != RetryVerdict::kRetry) {
    RefuseOutcome();
    return;
  }
  Repeat();
}

// Starts the next attempt. Precondition: the budget was charged and no attempt is open.
void Exchange::Repeat() {
  int next = static_cast<int>(attempts_.attempts.size()) + 1;
  context_.metrics->CountRetry(spec_.traffic_class);
  LogEvent(EventId::kAttemptRetried,
           {{"request_id", spec_.id.value()}, {"attempt", std::to_string(next)}});
  answer_.Restart();
  RunLater(RetryDelay(next), std::mem_fn(&Exchange::Place));
}

void Exchange::RunLater(Duration delay, std::function<void(Exchange*)> step) {
  timer_.expires_after(delay);
  ExchangeTable* table = context_.table;
  timer_.async_wait([table, step = std::move(step), id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) step(exchange);
  });
}

HttpHeaders Exchange::AnswerHeaders() const {
  HttpHeaders headers = EndToEndHeaders(answer_.headers());
  if (spec_.dialect != nullptr) return headers;
  headers.emplace_back(kRequestIdHeader, spec_.id.value());
  // A peer has added the caller's id already.
  if (!spec_.caller_request_id.empty()) {
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
  }
  if (claim_.expires_at() != 0) {
    SetHeader(&headers, kKeyExpiresHeader, MillisUntilText(claim_.expires_at()));
  }
  if (to_owner_) {
    SetHeader(&headers, kReplayedHeader, FindHeader(answer_.headers(), kReplayedHeader));
    SetHeader(&headers, kKeyExpiresHeader, FindHeader(answer_.headers(), kKeyExpiresHeader));
  }
  // A forwarded request ran where the peer says.
  std::string region = FindHeader(answer_.headers(), "x-ebonylift-region");
  std::string server = FindHeader(answer_.headers(), "x-ebonylift-server");
  if (!open_.forwarding) {
    region = spec_.view->self.region.value();
    server = open_.server ? open_.server->value() : "";
  }
  headers.emplace_back("x-ebonylift-region", region);
  headers.emplace_back("x-ebonylift-server", server);
  return headers;
}

void Exchange::RelayPeerError() {
  ErrorKind kind = *ErrorKindOfBody(answer_.body());
  OnFailure(attempts_, open_.number, LookupError(kind).run);
  // The peer's statement covers its own attempts only.
  if (CoveringKind(kind, RequestRun(attempts_)) != kind) {
    EndAttempt(ServerOutcome::kOk);
    Refuse(kind, "");
    return;
  }
  HttpHeaders headers = AnswerHeaders();
  EndAttempt(ServerOutcome::kOk);
  LogEvent(EventId::kRequestRefused, {{"request_id", spec_.id.value()},
                                      {"kind", LookupError(kind).code},
                                      {"run", RunName(RequestRun(attempts_))}});
  answer_.Send(answer_.status(), headers, answer_.body());
  Finish();
}

// Now for an answer without a body.
Time Exchange::FirstByteAt() const { return first_byte_seen_ ? first_byte_at_ : SteadyNow(); }

void Exchange::Deliver() {
  HttpHeaders headers = AnswerHeaders();
  std::string server =
      open_.server ? open_.server->value() : FindHeader(headers, "x-ebonylift-server");
  ebonylift::Finish(attempts_, open_.number);
  bool local = open_.server.has_value();
  if (local) {
    // One cost unit is one second of a place in a backend server's batch.
    double units = std::chrono::duration<double>(SteadyNow() - open_.dispatched_at).count();
    context_.metrics->AddCostUnits(spec_.traffic_class, units);
  }
  EndAttempt(ServerOutcome::kOk);
  if (local) context_.dispatcher->OnCompleted(spec_.content);
  context_.metrics->ObserveWait(spec_.traffic_class, open_.dispatched_at - spec_.arrived);
  context_.metrics->CountAnswer(spec_.traffic_class, static_cast<int>(attempts_.attempts.size()),
                                SteadyNow() - spec_.arrived);
  LogEvent(EventId::kRequestAnswered,
           {{"request_id", spec_.id.value()},
            {"route", spec_.route->id.value()},
            {"server", server},
            {"status", std::to_string(answer_.status())},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"tokens", std::to_string(spec_.prompt_tokens)},
            {"hit_tokens", std::to_string(open_.choice.hit_tokens)},
            {"fetch_tokens", std::to_string(open_.choice.fetch_tokens)},
            {"tokens_ahead", std::to_string(open_.choice.tokens_ahead)},
            {"wait_ms", std::to_string(ToMillis(open_.dispatched_at - spec_.arrived))},
            {"first_ms", std::to_string(ToMillis(FirstByteAt() - spec_.arrived))},
            {"gap_ms", std::to_string(ToMillis(longest_gap_))},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  std::function<void()> respond = answer_.Final(headers);
  // An answer with an error event is not whole, so it is never stored as the answer of a key.
  if (!claim_.held() || answer_.stream_failed()) {
    respond();
    Finish();
    return;
  }
  asio::io_context* io = context_.io;
  claim_.Complete(answer_.Stored(headers),
                  [io, respond](bool /*durable*/) { asio::post(*io, respond); });
  Finish();
}

void Exchange::RefuseOutcome() {
  FailedRequest failed;
  failed.run = RequestRun(attempts_);
  failed.past_deadline = SteadyNow() + kTimeoutRounding >= spec_.deadline;
  failed.through_owner = to_owner_;
  failed.answer_begun = answer_.begun();
  Refuse(OutcomeKind(failed), "");
}

void Exchange::Refuse(ErrorKind kind, const std::string& message, Duration retry_after) {
  kind = CoveringKind(kind, RequestRun(attempts_));
  LogEvent(EventId::kRequestRefused,
           {{"request_id", spec_.id.value()},
            {"route", spec_.route->id.value()},
            {"kind", LookupError(kind).code},
            {"run", RunName(LookupError(kind).run)},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"tokens", std::to_string(spec_.prompt_tokens)},
            {"retry_after_ms", std::to_string(ToMillis(retry_after))},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  context_.metrics->CountRefusal(kind);
  answer_.Refuse(ErrorAnswer{kind, message, retry_after, spec_.id});
  Finish();
}

void Exchange::OnCallerGone() {
  answer_.DropCaller();
  if (finished_) return;
  LogEvent(EventId::kCallerGone, {{"request_id", spec_.id.value()}});
  // Work that may not be repeated runs to its end, so that a resend finds the whole answer.
  if (claim_.dispatched()) {
    if (answer_.Resume()) context_.client->Resume(open_.call);
    return;
  }
  if (open_.number != 0) Abandon(attempts_, open_.number);
  CancelAttempt();
  EndAttempt(ServerOutcome::kCancelled);
  Finish();
}

// Ends the call and tells the backend server to stop; nobody waits for its answer.
void Exchange::CancelAttempt() {
  if (open_.call != 0) context_.client->Cancel(open_.call);
  open_.call = 0;
  if (!open_.server || !open_.cancels) return;
  context_.client->Start(CancelCall(spec_.id, open_, kProbeTimeout));
}

void Exchange::EndAttempt(ServerOutcome outcome) {
  Time now = SteadyNow();
  if (open_.server) {
    int64_t unread = open_.answer_started ? 0 : open_.choice.prefill_tokens;
    context_.dispatcher->EndLocal(*open_.server, spec_.content, open_.dispatched_at, outcome, now,
                                  unread);
  }
  if (open_.forward_domain) {
    context_.dispatcher->EndForward(*open_.forward_domain, open_.dispatched_at,
                                    EndOfForward(outcome, open_.refused), now);
  }
  open_.server.reset();
  open_.forward_domain.reset();
  open_.forwarding = false;
  open_.number = 0;
}

void Exchange::Finish() {
  if (finished_) return;
  finished_ = true;
  if (waiting_) context_.dispatcher->Remove(spec_.id);
  claim_.End(RequestRun(attempts_));
  if (admitted_) context_.dispatcher->Release(spec_.team);
  // Deferred, because callers of this method still use the object.
  asio::post(*context_.io, [table = context_.table, id = id_] { table->Erase(id); });
}

}  // namespace ebonylift
