// The failures and the ends of an Exchange.

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

constexpr Duration kProbeTimeout = milliseconds(1000);
constexpr Duration kProbeConnectTimeout = milliseconds(300);
constexpr Duration kCancelTimeout = milliseconds(300);
constexpr int kMaxResumes = 3;
constexpr Duration kCondemnationCheck = milliseconds(250);
// A call may time out up to a millisecond before the deadline, because libcurl counts whole ones.
constexpr Duration kTimeoutRounding = milliseconds(2);

const char* OutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kComplete:
      return "complete";
    case CallOutcome::kNotConnected:
      return "not_connected";
    case CallOutcome::kNothingWritten:
      return "nothing_written";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kTimedOut:
      return "timed_out";
  }
  return "failed";
}

}  // namespace

// Asks the backend server to cancel and whether the work had started: only then may a request that
// timed out be answered as not run.
void Exchange::ConfirmNotStarted(const CallResult& result) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + server_address_ + "/v1/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = nlohmann::json{{"request_id", spec_.id.value()}, {"attempt", attempt_}}.dump();
  call.timeout = kCancelTimeout;
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
  call_ = context_.client->Start(std::move(call));
}

// After a lost connection: a server that does not answer a probe was lost while it ran this
// request, which makes the content a suspect.
void Exchange::CheckServerLost(const CallResult& result) {
  ProbeServer(context_.dispatcher->Evidence(*server_), result, false);
}

void Exchange::ProbeServer(const LossEvidence& evidence, const CallResult& result, bool again) {
  HttpCall call;
  call.url = "http://" + server_address_ + "/healthz";
  call.timeout = kProbeTimeout;
  call.connect_timeout = kProbeConnectTimeout;
  call.new_connection = true;
  ExchangeTable* table = context_.table;
  Dispatcher* dispatcher = context_.dispatcher;
  call.on_done = [=, id = id_](const CallResult& probe) {
    Exchange* exchange = table->Find(id);
    // A server that accepts connections and ends them has not crashed. A relay in front of a
    // crashed one does so for the first connection only.
    bool accepted =
        probe.outcome == CallOutcome::kFailed || probe.outcome == CallOutcome::kNothingWritten;
    if (accepted && !again && exchange != nullptr) {
      exchange->ProbeServer(evidence, result, true);
      return;
    }
    if (probe.outcome != CallOutcome::kComplete && !accepted) {
      dispatcher->OnLost(evidence, SteadyNow());
    }
    if (exchange != nullptr) exchange->OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
  };
  call_ = context_.client->Start(std::move(call));
}

void Exchange::OnAttemptFailed(const CallResult& result, ebonylift::Run run) {
  call_ = 0;
  LogEvent(EventId::kAttemptFailed, {{"request_id", spec_.id.value()},
                                     {"attempt", std::to_string(attempt_)},
                                     {"server", server_ ? server_->value() : "forward"},
                                     {"outcome", OutcomeName(result.outcome)},
                                     {"status", std::to_string(result.status)},
                                     {"run", RunName(run)}});
  arrived_ = result.outcome != CallOutcome::kNotConnected;
  if (streaming_) {
    if (spec_.dialect == nullptr && TryResume()) return;
    OnFailure(attempts_, attempt_, run);
    if (server_) avoid_servers_.push_back(*server_);
    EndAttempt(OutcomeOf(result));
    if (spec_.dialect != nullptr && TryResumeElsewhere()) return;
    RefuseOutcome();
    return;
  }
  OnFailure(attempts_, attempt_, run);
  if (server_) avoid_servers_.push_back(*server_);
  EndAttempt(OutcomeOf(result));
  RetryOrRefuse(run);
}

// What a failed attempt says about its backend server.
ServerOutcome Exchange::OutcomeOf(const CallResult& result) const {
  if (result.outcome == CallOutcome::kNotConnected) return ServerOutcome::kUnreachable;
  bool wrong = result.outcome == CallOutcome::kComplete && spec_.dialect != nullptr &&
               answer_kind_ == AnswerKind::kWrongServer;
  return wrong ? ServerOutcome::kGone : ServerOutcome::kFailed;
}

RetryRule Exchange::MakeRetryRule() const {
  RetryRule rule;
  rule.arrived = arrived_;
  rule.idempotent = spec_.idempotent;
  rule.attempts = static_cast<int>(attempts_.attempts.size());
  if (spec_.dialect == nullptr) return rule;
  for (const Attempt& attempt : attempts_.attempts) {
    bool ended = attempt.state != AttemptState::kOpen;
    if (ended && attempt.run != ebonylift::Run::kNotRun) ++rule.runs;
  }
  // The host that the caller uses counts the attempts, so a host in between makes one.
  rule.max_runs = spec_.forwarded ? 1 : spec_.route->max_attempts;
  return rule;
}

// Continues a broken stream at another backend server after the last whole event.
bool Exchange::TryResumeElsewhere() {
  if (!spec_.route->resumable || events_.too_large() || !responder_) return false;
  Time now = SteadyNow();
  RetryVerdict verdict = context_.dispatcher->MayRetry(
      BudgetKey(), MakeRetryRule(), ebonylift::Run::kMayHaveRun, spec_.deadline, now);
  if (verdict != RetryVerdict::kRetry) return false;
  ++resumes_;
  events_.DropPartial();
  LogEvent(EventId::kStreamResumed,
           {{"request_id", spec_.id.value()}, {"offset", events_.last_event()}});
  Place();
  return true;
}

// Continues a broken stream on the same server and attempt at the exact offset.
bool Exchange::TryResume() {
  if (!server_ || !server_resumes_ || SteadyNow() >= spec_.deadline) return false;
  const BackendServer* server = FindServer(*server_);
  const Attempt* attempt = FindAttempt(attempts_, attempt_);
  bool same = server != nullptr && attempt != nullptr &&
              server->announced.incarnation == attempt->incarnation;
  if (!same || resumes_ >= kMaxResumes) return false;
  ++resumes_;
  stream_.DropPartial();
  LogEvent(EventId::kStreamResumed, {{"request_id", spec_.id.value()},
                                     {"server", server_->value()},
                                     {"offset", std::to_string(stream_.text_bytes())}});
  HttpCall call = NewCall("http://" + server_address_ + "/v1/resume", attempt_);
  call.method = "POST";
  call.headers = {{"Content-Type", "application/json"}};
  call.body =
      nlohmann::json{
          {"request_id", spec_.id.value()}, {"attempt", attempt_}, {"offset", stream_.text_bytes()}}
          .dump();
  call_ = context_.client->Start(std::move(call));
  return true;
}

// The content may have shared the lost server with work of other hosts. Their reports, which take a
// condemnation back, arrive within this time.
void Exchange::CheckCondemnation() { RetryOrRefuse(failed_run_); }

void Exchange::RetryOrRefuse(ebonylift::Run run) {
  Time now = SteadyNow();
  if (context_.dispatcher->Verdict(spec_.content, now) == PoisonVerdict::kCondemned) {
    if (!condemnation_checked_) {
      condemnation_checked_ = true;
      failed_run_ = run;
      RunLater(kCondemnationCheck, &Exchange::CheckCondemnation);
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
  answer_.clear();
  status_ = 0;
  headers_.clear();
  stream_ = StreamTracker();
  events_ = EventRelay();
  RunLater(RetryDelay(next), &Exchange::Place);
}

void Exchange::RunLater(Duration delay, void (Exchange::*step)()) {
  timer_.expires_after(delay);
  ExchangeTable* table = context_.table;
  timer_.async_wait([table, step, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) (exchange->*step)();
  });
}

HttpHeaders Exchange::AnswerHeaders() const {
  HttpHeaders headers = EndToEndHeaders(headers_);
  if (spec_.dialect != nullptr) return headers;
  headers.emplace_back(kRequestIdHeader, spec_.id.value());
  // A peer has added the caller's id already.
  if (!spec_.caller_request_id.empty()) {
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
  }
  if (key_expires_at_ != 0)
    SetHeader(&headers, kKeyExpiresHeader, MillisUntilText(key_expires_at_));
  if (to_owner_) {
    SetHeader(&headers, kReplayedHeader, FindHeader(headers_, kReplayedHeader));
    SetHeader(&headers, kKeyExpiresHeader, FindHeader(headers_, kKeyExpiresHeader));
  }
  // A forwarded request ran where the peer says.
  std::string region = FindHeader(headers_, "x-ebonylift-region");
  std::string server = FindHeader(headers_, "x-ebonylift-server");
  if (!forwarding_) {
    region = spec_.view->self.region.value();
    server = server_ ? server_->value() : "";
  }
  headers.emplace_back("x-ebonylift-region", region);
  headers.emplace_back("x-ebonylift-server", server);
  return headers;
}

void Exchange::RelayPeerError() {
  ErrorKind kind = *ErrorKindOfBody(answer_);
  OnFailure(attempts_, attempt_, LookupError(kind).run);
  // The peer's statement covers its own attempts only.
  if (Covering(kind) != kind) {
    EndAttempt(ServerOutcome::kOk);
    Refuse(kind, "");
    return;
  }
  HttpHeaders headers = AnswerHeaders();
  EndAttempt(ServerOutcome::kOk);
  LogEvent(EventId::kRequestRefused, {{"request_id", spec_.id.value()},
                                      {"kind", LookupError(kind).code},
                                      {"run", RunName(RequestRun(attempts_))}});
  if (responder_) responder_->Send(status_, headers, answer_);
  Finish();
}

// Now for an answer without a body.
Time Exchange::FirstByteAt() const { return first_byte_seen_ ? first_byte_at_ : SteadyNow(); }

void Exchange::Deliver() {
  HttpHeaders headers = AnswerHeaders();
  std::string server = server_ ? server_->value() : FindHeader(headers, "x-ebonylift-server");
  ebonylift::Finish(attempts_, attempt_);
  bool local = server_.has_value();
  if (local) {
    // One cost unit is one second of a place in a backend server's batch.
    double units = std::chrono::duration<double>(SteadyNow() - dispatched_at_).count();
    context_.metrics->AddCostUnits(spec_.traffic_class, units);
  }
  EndAttempt(ServerOutcome::kOk);
  if (local) context_.dispatcher->OnCompleted(spec_.content);
  LogEvent(EventId::kRequestAnswered,
           {{"request_id", spec_.id.value()},
            {"route", spec_.route->id.value()},
            {"server", server},
            {"status", std::to_string(status_)},
            {"attempts", std::to_string(attempts_.attempts.size())},
            {"tokens", std::to_string(spec_.prompt_tokens)},
            {"hit_tokens", std::to_string(choice_.hit_tokens)},
            {"tokens_ahead", std::to_string(choice_.tokens_ahead)},
            {"wait_ms", std::to_string(ToMillis(dispatched_at_ - spec_.arrived))},
            {"first_ms", std::to_string(ToMillis(FirstByteAt() - spec_.arrived))},
            {"gap_ms", std::to_string(ToMillis(longest_gap_))},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  auto respond = [responder = responder_, streaming = streaming_, status = status_, headers,
                  body = answer_, end = stream_.end_event(), empty_stream = stream_.done()] {
    if (!responder) return;
    if (streaming) {
      responder->Write(end);
      responder->End();
    } else if (empty_stream) {
      responder->Send(status, headers, end);
    } else {
      responder->Send(status, headers, body);
    }
  };
  // An answer with an error event is not whole, so it is never stored as the answer of a key.
  bool whole = !stream_.error();
  if (claim_ == 0 || !whole) {
    respond();
    Finish();
    return;
  }
  StoredAnswer stored;
  stored.status = status_;
  stored.headers = headers;
  stored.body = answer_kept_ ? answer_ + stream_.end_event() : "";
  if (!answer_kept_) stored.body.assign(kMaxAnswerBytes + 1, ' ');  // kept as its hash only
  asio::io_context* io = context_.io;
  uint64_t claim = claim_;
  claim_ = 0;
  context_.records->Complete(Key(), claim, std::move(stored),
                             [io, respond](bool /*durable*/) { asio::post(*io, respond); });
  Finish();
}

void Exchange::RefuseOutcome() {
  ebonylift::Run run = RequestRun(attempts_);
  bool late = SteadyNow() + kTimeoutRounding >= spec_.deadline;
  bool not_run = run == ebonylift::Run::kNotRun;
  ErrorKind kind = not_run ? ErrorKind::kServerRefused : ErrorKind::kServerFailed;
  if (to_owner_) kind = not_run ? ErrorKind::kOwnerUnreachable : ErrorKind::kOutcomeUnknown;
  if (late && !to_owner_) kind = not_run ? ErrorKind::kDeadlineNotRun : ErrorKind::kDeadline;
  if (streaming_) kind = ErrorKind::kStreamBroken;
  Refuse(kind, "");
}

// A kind that says not_run, replaced when an earlier attempt of this request may have run.
ErrorKind Exchange::Covering(ErrorKind kind) const {
  bool covers = LookupError(kind).run != ebonylift::Run::kNotRun ||
                RequestRun(attempts_) == ebonylift::Run::kNotRun;
  if (covers) return kind;
  if (kind == ErrorKind::kPoison) return ErrorKind::kPoisonDetected;
  return kind == ErrorKind::kDeadlineNotRun ? ErrorKind::kDeadline : ErrorKind::kServerFailed;
}

void Exchange::Refuse(ErrorKind kind, const std::string& message, Duration retry_after) {
  kind = Covering(kind);
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
  if (responder_) {
    ErrorAnswer answer{kind, message, retry_after, spec_.id};
    if (spec_.dialect != nullptr) {
      RefuseWithDialect(answer);
    } else if (streaming_) {
      responder_->Write(ErrorAnswerEvent(answer));
      responder_->End();
    } else {
      SendErrorAnswer(responder_.get(), answer);
    }
  }
  Finish();
}

// A stream that is not whole must not look complete, so its connection is closed.
void Exchange::RefuseWithDialect(const ErrorAnswer& answer) {
  if (streaming_) {
    responder_->Abort();
  } else {
    spec_.dialect->send_refusal(responder_.get(), answer);
  }
}

void Exchange::OnCallerGone() {
  responder_ = nullptr;
  if (finished_) return;
  LogEvent(EventId::kCallerGone, {{"request_id", spec_.id.value()}});
  // Work that may not be repeated runs to its end, so that a resend finds the whole answer.
  bool finish_work = claim_ != 0 && claim_dispatched_;
  if (finish_work) {
    if (paused_) {
      paused_ = false;
      context_.client->Resume(call_);
    }
    return;
  }
  if (attempt_ != 0) Abandon(attempts_, attempt_);
  CancelAttempt();
  EndAttempt(ServerOutcome::kCancelled);
  Finish();
}

// Ends the call and tells the backend server to stop; nobody waits for its answer.
void Exchange::CancelAttempt() {
  if (call_ != 0) context_.client->Cancel(call_);
  call_ = 0;
  if (!server_ || !server_cancels_) return;
  HttpCall cancel;
  cancel.method = "POST";
  cancel.url = "http://" + server_address_ + "/v1/cancel";
  cancel.headers = {{"Content-Type", "application/json"}};
  cancel.body = nlohmann::json{{"request_id", spec_.id.value()}, {"attempt", attempt_}}.dump();
  cancel.timeout = kProbeTimeout;
  context_.client->Start(std::move(cancel));
}

void Exchange::EndAttempt(ServerOutcome outcome) {
  Time now = SteadyNow();
  if (server_) {
    int64_t unread = answer_started_ ? 0 : choice_.prefill_tokens;
    context_.dispatcher->EndLocal(*server_, spec_.content, dispatched_at_, outcome, now, unread);
  }
  if (forward_domain_) {
    bool reached = outcome != ServerOutcome::kUnreachable;
    context_.dispatcher->EndForward(*forward_domain_, dispatched_at_, reached, now);
  }
  server_.reset();
  forward_domain_.reset();
  forwarding_ = false;
  attempt_ = 0;
}

void Exchange::Finish() {
  if (finished_) return;
  finished_ = true;
  if (waiting_) context_.dispatcher->Remove(spec_.id);
  if (claim_ != 0) {
    bool not_run = RequestRun(attempts_) == ebonylift::Run::kNotRun;
    if (not_run) {
      context_.records->Release(Key(), claim_, claim_dispatched_);
    } else {
      context_.records->MarkUnknown(Key(), claim_);
    }
  }
  if (admitted_) context_.dispatcher->Release(spec_.team);
  // Deferred, because callers of this method still use the object.
  asio::post(*context_.io, [table = context_.table, id = id_] { table->Erase(id); });
}

const BackendServer* Exchange::FindServer(const ServerId& id) const {
  for (const BackendServer& server : spec_.view->servers) {
    if (server.announced.id == id) return &server;
  }
  return nullptr;
}

const HostEntry* Exchange::FindHost(const HostId& id) const {
  for (const HostEntry& host : spec_.view->hosts) {
    if (host.id == id) return &host;
  }
  return nullptr;
}

}  // namespace ebonylift
