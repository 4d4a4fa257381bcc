// Exchange methods for the second attempt of a hedged request.
//
// The second attempt runs beside the open one until the first good data of either arrives. Then the
// winner is the open attempt, and the other one is cancelled and ended. Only the open attempt has a
// response in the relay, so that bytes of two runs are never joined.

#include <asio/post.hpp>

#include "base/event.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

// An error that a server answers may be its own fault, so it does not end the other attempt.
bool IsGoodAnswer(int status, ResponseKind kind) {
  return kind == ResponseKind::kAnswer && status < 400;
}

}  // namespace

HedgingConfig Exchange::HedgeLimits() const {
  return EffectiveHedging(spec_.view->config->hedging, context_.hedge_percent);
}

// Routes of different teams may have the same id.
std::string Exchange::HedgeRoute() const {
  return spec_.team.value() + "/" + spec_.route->id.value();
}

// Whether the request may run twice at the same time. One that another host forwarded is not
// hedged: the limit is that of the host that the caller connected to. Nor does that host hedge an
// attempt through another host, as it does not know when a server there began.
bool Exchange::MayBeHedged() const {
  if (hedge_sent_ || !IsHedgingOn(HedgeLimits()) || !spec_.route->hedge) return false;
  if (!spec_.idempotent || spec_.forwarded || claim_.held()) return false;
  // The request takes up a stream, or continues its own.
  bool continues = TakesUpStream() || !spec_.software_version.empty() || relay_.begun();
  return !continues && open_attempt_.server && open_attempt_.call != 0;
}

// Records how long the open attempt took to its first byte, which just arrived, or at least took
// until its hedge answered.
void Exchange::RecordFirstByteTime(Time now) const {
  if (open_attempt_.is_hedge || !IsHedgingOn(HedgeLimits())) return;
  context_.dispatcher->RecordFirstByteTime(HedgeRoute(), spec_.prompt_tokens,
                                           now - open_attempt_.dispatched_at, now);
}

void Exchange::ScheduleHedge() {
  if (!MayBeHedged()) return;
  Time now = SteadyNow();
  std::optional<Duration> delay =
      context_.dispatcher->HedgeDelay(HedgeRoute(), spec_.prompt_tokens, now);
  if (!delay) return;
  hedge_timer_.expires_after(
      std::max<Duration>(open_attempt_.dispatched_at + *delay - now, Duration(0)));
  ExchangeTable* table = context_.table;
  uint32_t attempt = open_attempt_.number;
  hedge_timer_.async_wait([table, attempt, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) exchange->OnHedgeDue(attempt);
  });
}

// Sends the hedge, unless the attempt has ended or begun to answer.
void Exchange::OnHedgeDue(uint32_t attempt) {
  bool waits = attempt == open_attempt_.number && !open_attempt_.response_started &&
               !open_attempt_.probing && MayBeHedged();
  if (!waits || EndIfCallerLeft()) return;
  Time now = SteadyNow();
  // The other requests may have become slower since, too.
  std::optional<Duration> delay =
      context_.dispatcher->HedgeDelay(HedgeRoute(), spec_.prompt_tokens, now);
  if (!delay) return;
  if (now < open_attempt_.dispatched_at + *delay) {
    ScheduleHedge();
    return;
  }
  // The configured rules may have become stricter. The open attempt still needs those with which it
  // was sent, so the request is not hedged then.
  std::shared_ptr<const RoutingView> view = context_.control->View();
  if (view->config != spec_.view->config) return;
  spec_.view = std::move(view);
  RouteQuery query = MakeRouteQuery();
  query.avoid_servers.push_back(*open_attempt_.server);
  RetryState retry_state = CurrentRetryState();
  retry_state.reached_server = true;
  ++retry_state.runs;  // that of the open attempt
  HedgePlacement placement = context_.dispatcher->PlaceHedge(std::move(query), *spec_.view,
                                                             RetryBudgetKey(), retry_state, now);
  if (placement.withheld != HedgeWithheld::kNone) {
    context_.metrics->CountHedgeWithheld(placement.withheld);
    return;
  }
  SendHedge(placement.choice, *FindServer(*spec_.view, placement.choice.server));
}

void Exchange::SendHedge(const Choice& choice, const BackendServer& server) {
  Time now = SteadyNow();
  hedge_sent_ = true;
  hedge_.emplace();
  hedge_->open = MakeServerAttempt(choice, now);
  hedge_->open.is_hedge = true;
  SetServer(server, &hedge_->open);
  context_.metrics->CountHedgeSent(spec_.prompt_tokens);
  LogEvent(EventId::kHedgeSent,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"route", spec_.route->id.value()},
            {"attempt", std::to_string(hedge_->open.number)},
            {"server", choice.server.value()},
            {"first_server", open_attempt_.server->value()},
            {"delay_ms", std::to_string(ToMillis(now - open_attempt_.dispatched_at))},
            {"tokens", std::to_string(spec_.prompt_tokens)}});
  HttpCall call = NewCall("http://" + hedge_->open.address + spec_.path +
                              (spec_.query.empty() ? "" : "?" + spec_.query),
                          hedge_->open.number);
  call.headers = MakeBackendHeaders(spec_, hedge_->open, "", now);
  hedge_->open.call = context_.client->Start(std::move(call));
}

void Exchange::OnHedgeHeaders(int status, const HttpHeaders& headers) {
  if (NamesOtherRequest(headers)) {
    FailHedge(CallResult{CallOutcome::kFailed, status, "the response names another request", true},
              ebonylift::Run::kMayHaveRun);
    return;
  }
  hedge_->status = status;
  hedge_->headers = headers;
  hedge_->kind = ClassifyHeaders(hedge_->open, status, headers);
  if (IsGoodAnswer(status, hedge_->kind)) return;
  bool not_run = hedge_->kind == ResponseKind::kNotRun ||
                 hedge_->kind == ResponseKind::kWrongServer ||
                 (spec_.dialect == nullptr && FindHeader(headers, "x-ebonylift-run") == "not_run");
  FailHedge(CallResult{CallOutcome::kComplete, status, "backend server error", true},
            not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
}

void Exchange::OnHedgeDone(const CallResult& result) {
  hedge_->open.call = 0;
  if (result.outcome == CallOutcome::kComplete && hedge_->status != 0) {
    // A good response without a body: one with a body has won before.
    uint32_t attempt = hedge_->open.number;
    WinHedge();
    OnDone(attempt, result);
    return;
  }
  bool not_run = result.outcome == CallOutcome::kNotConnected ||
                 result.outcome == CallOutcome::kNothingWritten;
  FailHedge(result, not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
}

bool Exchange::FirstAttemptIsGood() const { return IsGoodAnswer(relay_.status(), relay_.kind()); }

// The hedge answers first.
void Exchange::WinHedge() {
  RecordFirstByteTime(SteadyNow());
  if (open_attempt_.probing) ProbeLostServer(open_attempt_);
  Abandon(attempts_, open_attempt_.number);
  CancelAttempt();
  EndAttempt(ServerOutcome::kCancelled);
  context_.metrics->CountHedgeEnd(HedgeEnd::kWon);
  PromoteHedge("first_byte");
}

// Lets the hedge go on in the place of the first attempt, which has failed. Returns false if there
// is none.
bool Exchange::TakeOverByHedge() {
  if (!hedge_) return false;
  // The first attempt may have shown that the request crashes servers.
  if (context_.dispatcher->RefusedFor(spec_.content, SteadyNow())) {
    EndHedge("condemned");
    return false;
  }
  context_.metrics->CountHedgeEnd(HedgeEnd::kTookOver);
  PromoteHedge("first_failed");
  return true;
}

// Precondition: the first attempt has ended.
void Exchange::PromoteHedge(const char* reason) {
  HedgeAttempt hedge = std::move(*hedge_);
  hedge_.reset();
  const ServerId& first_server = FindAttempt(attempts_, hedge.open.number - 1)->server;
  LogEvent(EventId::kHedgeWon,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"attempt", std::to_string(hedge.open.number)},
            {"server", hedge.open.server->value()},
            {"first_server", first_server.value()},
            {"reason", reason},
            {"ms", std::to_string(ToMillis(SteadyNow() - hedge.open.dispatched_at))}});
  open_attempt_ = std::move(hedge.open);
  relay_.Reset();
  if (hedge.status != 0) relay_.OnHeaders(hedge.status, hedge.headers, hedge.kind);
  last_data_at_ = open_attempt_.dispatched_at;
  ScheduleLivenessCheck(open_attempt_.number);
}

// The hedge has failed or is unusable. The first attempt goes on.
void Exchange::FailHedge(const CallResult& result, ebonylift::Run run) {
  HedgeAttempt hedge = std::move(*hedge_);
  hedge_.reset();
  LogEvent(EventId::kHedgeFailed, {{"request_id", spec_.id.value()},
                                   {"caller_request_id", spec_.caller_request_id},
                                   {"content", std::to_string(spec_.content.content)},
                                   {"attempt", std::to_string(hedge.open.number)},
                                   {"server", hedge.open.server->value()},
                                   {"outcome", CallOutcomeName(result.outcome)},
                                   {"status", std::to_string(result.status)},
                                   {"reason", result.error},
                                   {"run", RunName(run)}});
  context_.metrics->CountAttemptFailure(result.outcome);
  context_.metrics->CountHedgeEnd(HedgeEnd::kFailed);
  RecordPathFailure(hedge.open, result);
  bool connection_lost = result.outcome == CallOutcome::kFailed && hedge.open.call == 0;
  if (connection_lost) ProbeLostServer(hedge.open);
  bool turned_away = result.outcome == CallOutcome::kComplete && run == ebonylift::Run::kNotRun &&
                     hedge.kind != ResponseKind::kWrongServer;
  if (turned_away) context_.dispatcher->OnTurnedAway(ServedName(*spec_.route), SteadyNow());
  if (hedge.open.call != 0) context_.client->Cancel(hedge.open.call);
  // A server that rejects the request as invalid has not failed.
  bool is_rejection = result.outcome == CallOutcome::kComplete && run != ebonylift::Run::kNotRun &&
                      hedge.kind == ResponseKind::kAnswer && hedge.status < 500 &&
                      hedge.status != 429;
  OnFailure(attempts_, hedge.open.number, run);
  failed_servers_.push_back(*hedge.open.server);
  EndPlacement(hedge.open, is_rejection ? ServerOutcome::kOk : ClassifyFailure(result, hedge.kind));
}

// Cancels the hedge. Does nothing if there is none.
void Exchange::EndHedge(const char* reason) {
  if (!hedge_) return;
  HedgeAttempt hedge = std::move(*hedge_);
  hedge_.reset();
  LogEvent(EventId::kHedgeLost,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"attempt", std::to_string(hedge.open.number)},
            {"server", hedge.open.server->value()},
            {"reason", reason},
            {"ms", std::to_string(ToMillis(SteadyNow() - hedge.open.dispatched_at))}});
  context_.metrics->CountHedgeEnd(HedgeEnd::kLost);
  Abandon(attempts_, hedge.open.number);
  CancelCall(&hedge.open);
  EndPlacement(hedge.open, ServerOutcome::kCancelled);
}

}  // namespace ebonylift
