// The running of an Exchange: dispatch, forwarding, and the relay of the answer.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kWatchPeriod = milliseconds(250);
// A server that stopped announcing, or a host that failed, and that sent nothing for this long is
// given up for idempotent work.
constexpr Duration kSilentServer = milliseconds(1500);

bool Has(const std::vector<std::string>& list, const char* value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

HttpCall Exchange::NewCall(const std::string& url, uint32_t attempt) {
  HttpCall call;
  call.method = spec_.method;
  call.url = url;
  call.body = spec_.body;
  call.connect_timeout = kConnectTimeout;
  call.timeout = TimeLeft(spec_, SteadyNow());
  call.new_connection = !spec_.idempotent;
  ExchangeTable* table = context_.table;
  uint64_t id = id_;
  call.on_headers = [=](int status, const HttpHeaders& headers) {
    if (Exchange* exchange = table->Find(id)) exchange->OnHeaders(attempt, status, headers);
  };
  call.on_data = [=](std::string_view data) {
    Exchange* exchange = table->Find(id);
    return exchange == nullptr || exchange->OnData(attempt, data);
  };
  call.on_done = [=](const CallResult& result) {
    if (Exchange* exchange = table->Find(id)) exchange->OnDone(attempt, result);
  };
  return call;
}

void Exchange::Run(const Choice& choice) {
  Time now = SteadyNow();
  const BackendServer* server = FindServer(*spec_.view, choice.server);
  if (!claim_.MarkDispatched()) {
    context_.dispatcher->GiveBack(choice, spec_.content, now);
    Refuse(ErrorKind::kStorageFailed, "the claim is no longer valid");
    return;
  }
  open_ = OpenAttempt();
  open_.dispatched_at = now;
  open_.choice = choice;
  open_.server = choice.server;
  open_.number = OnDispatch(attempts_, choice.server, choice.incarnation, now);
  if (server == nullptr) {
    OnAttemptFailed(CallResult{CallOutcome::kNotConnected, 0, "server gone", false},
                    ebonylift::Run::kNotRun);
    return;
  }
  open_.address = server->announced.address;
  const BackendServer* holder = FindServer(*spec_.view, choice.fetch_from);
  if (holder != nullptr) open_.fetch_from = holder->announced.address;
  open_.resumes = Has(server->announced.capabilities, "resume");
  open_.cancels = Has(server->announced.capabilities, "cancel");
  if (spec_.dialect == nullptr || open_.number > 1) {
    LogEvent(EventId::kRequestDispatched, {{"request_id", spec_.id.value()},
                                           {"attempt", std::to_string(open_.number)},
                                           {"server", choice.server.value()}});
  }
  StartAttempt(open_.address, spec_.path, BackendHeaders(spec_, open_, answer_.last_event(), now),
               now);
}

// Sends the request to `address`. Precondition: open_ is the attempt.
void Exchange::StartAttempt(const std::string& address, const std::string& path,
                            HttpHeaders headers, Time now) {
  std::string url = "http://" + address + path;
  if (!spec_.query.empty()) url += "?" + spec_.query;
  HttpCall call = NewCall(url, open_.number);
  call.headers = std::move(headers);
  open_.call = context_.client->Start(std::move(call));
  last_byte_ = now;
  if (spec_.idempotent) WatchAttempt(open_.number);
}

void Exchange::WatchAttempt(uint32_t attempt) {
  watch_timer_.expires_after(kWatchPeriod);
  ExchangeTable* table = context_.table;
  watch_timer_.async_wait([table, attempt, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) exchange->OnWatch(attempt);
  });
}

// A frozen server or a silent partition keeps connections open, so idempotent work would wait until
// its deadline.
void Exchange::OnWatch(uint32_t attempt) {
  if (attempt != open_.number) return;
  uint64_t incarnation = FindAttempt(attempts_, attempt)->incarnation;
  Time now = SteadyNow();
  bool silent = now - last_byte_ > kSilentServer;
  if (!silent || TargetLive(*context_.control->View(), open_, incarnation, now)) {
    WatchAttempt(attempt);
    return;
  }
  CancelAttempt();
  OnAttemptFailed(CallResult{CallOutcome::kTimedOut, 0, "the server or host is gone", false},
                  ebonylift::Run::kMayHaveRun);
}

void Exchange::Forward(const HostEntry& host, bool crosses, const DomainId& domain) {
  Time now = SteadyNow();
  open_ = OpenAttempt();
  open_.dispatched_at = now;
  open_.forwarding = true;
  open_.host = host.id;
  // A forward to the owner is not a placement, so it was not counted as one.
  if (!to_owner_) open_.forward_domain = domain;
  avoid_hosts_.push_back(host.id);
  if (!claim_.MarkDispatched()) {
    EndAttempt(ServerOutcome::kCancelled);
    Refuse(ErrorKind::kStorageFailed, "the claim is no longer valid");
    return;
  }
  open_.number = OnDispatch(attempts_, ServerId("host/" + host.id.value()), host.incarnation, now);
  LogEvent(EventId::kRequestForwarded, {{"request_id", spec_.id.value()},
                                        {"host", host.id.value()},
                                        {"hops", std::to_string(spec_.hops + 1)},
                                        {"crossed", crosses ? "1" : "0"}});
  if (crosses) context_.metrics->CountSentAway(spec_.traffic_class);
  StartAttempt(host.http_address, spec_.request_path,
               ForwardHeaders(&spec_, open_, crosses, claim_.held(), answer_.last_event(),
                              context_.cluster_key, now),
               now);
}

void Exchange::OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers) {
  if (attempt != open_.number) return;
  AnswerKind kind = AnswerKind::kAnswer;
  if (spec_.dialect != nullptr) kind = spec_.dialect->read_answer(spec_.headers, status, headers);
  answer_.OnHeaders(status, headers, kind);
}

void Exchange::Relay(std::string_view data) {
  std::string events = answer_.Feed(data);
  if (events.empty()) return;
  ExchangeTable* table = context_.table;
  answer_.Begin([this] { return AnswerHeaders(); },
                [table, id = id_] {
                  Exchange* exchange = table->Find(id);
                  if (exchange == nullptr || !exchange->answer_.ResumeWhenDrained()) return;
                  exchange->context_.client->Resume(exchange->open_.call);
                });
  answer_.Write(std::move(events), claim_.held());
}

void Exchange::CountByte() {
  Time now = SteadyNow();
  if (open_.server && !open_.answer_started) {
    open_.answer_started = true;
    context_.dispatcher->OnFirstByte(Served(*spec_.route), open_.choice, open_.dispatched_at, now);
  }
  if (!first_byte_seen_) {
    context_.metrics->ObserveFirstToken(spec_.traffic_class, now - spec_.arrived);
  } else if (answer_.begun()) {
    context_.metrics->ObserveTokenGap(spec_.traffic_class, now - last_byte_);
  }
  if (first_byte_seen_) {
    longest_gap_ = std::max(longest_gap_, now - last_byte_);
  } else {
    first_byte_at_ = now;
  }
  first_byte_seen_ = true;
  last_byte_ = now;
}

bool Exchange::OnData(uint32_t attempt, std::string_view data) {
  if (attempt != open_.number) {
    LogEvent(EventId::kLateDataDropped,
             {{"request_id", spec_.id.value()}, {"attempt", std::to_string(attempt)}});
    return true;
  }
  if (answer_.Pause()) return false;
  CountByte();
  if (answer_.IsEventStream()) {
    Relay(data);
  } else if (!answer_.Buffer(data)) {
    CancelAttempt();
    OnAttemptFailed(
        CallResult{CallOutcome::kFailed, answer_.status(), "the answer is too large", true},
        ebonylift::Run::kMayHaveRun);
  }
  return true;
}

void Exchange::OnDone(uint32_t attempt, const CallResult& result) {
  if (attempt != open_.number) return;
  open_.call = 0;
  switch (result.outcome) {
    case CallOutcome::kComplete:
      OnComplete();
      return;
    case CallOutcome::kNotConnected:
    case CallOutcome::kNothingWritten:
      // A resume that could not connect says nothing about the attempt, which did run.
      OnAttemptFailed(result,
                      answer_.begun() ? ebonylift::Run::kMayHaveRun : ebonylift::Run::kNotRun);
      return;
    case CallOutcome::kTimedOut:
      if (open_.server && open_.cancels && !answer_.begun()) {
        ConfirmNotStarted(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
    case CallOutcome::kFailed:
      if (open_.server && spec_.dialect == nullptr) {
        CheckServerLost(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
  }
}

// The message of a stream ended.
void Exchange::OnStreamEnd() {
  CallResult broken{CallOutcome::kFailed, answer_.status(),
                    "the stream ended without its end marker", true};
  if (answer_.stream_whole()) {
    Deliver();
  } else if (open_.server && spec_.dialect == nullptr) {
    CheckServerLost(broken);
  } else {
    OnAttemptFailed(broken, ebonylift::Run::kMayHaveRun);
  }
}

// Another host answered with an error: its own, or that of a backend server.
void Exchange::OnForwardedAnswer() {
  std::optional<ErrorKind> kind = ErrorKindOfBody(answer_.body());
  if (!kind && spec_.dialect != nullptr) {
    OnDialectAnswer();
  } else if (!kind) {
    Deliver();
  } else if (!to_owner_ && AnotherHostMayAccept(*kind)) {
    OnAttemptFailed(
        CallResult{CallOutcome::kComplete, answer_.status(), LookupError(*kind).code, true},
        LookupError(*kind).run);
  } else {
    RelayPeerError();
  }
}

// A whole answer with a dialect that is not a stream.
void Exchange::OnDialectAnswer() {
  CallResult result{CallOutcome::kComplete, answer_.status(), "backend server error", true};
  switch (answer_.kind()) {
    case AnswerKind::kAnswer:
      Deliver();
      return;
    case AnswerKind::kNotRun:
    case AnswerKind::kWrongServer:
      OnAttemptFailed(result, ebonylift::Run::kNotRun);
      return;
    case AnswerKind::kForeign:
      OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      return;
    case AnswerKind::kFailed:
      break;
  }
  // The answer of the backend server is the answer when the request is not repeated.
  RetryRule rule = MakeRetryRule();
  ++rule.runs;
  RetryVerdict verdict = context_.dispatcher->MayRetry(
      BudgetKey(), rule, ebonylift::Run::kMayHaveRun, spec_.deadline, SteadyNow());
  if (verdict != RetryVerdict::kRetry) {
    Deliver();
    return;
  }
  FailAttempt(ebonylift::Run::kMayHaveRun, ServerOutcome::kFailed);
  Repeat();
}

void Exchange::OnComplete() {
  if (answer_.IsEventStream()) {
    OnStreamEnd();
    return;
  }
  if (answer_.begun()) {
    // A resumed stream got another answer than a stream.
    OnAttemptFailed(
        CallResult{CallOutcome::kFailed, answer_.status(), "the stream did not go on", true},
        answer_.kind() == AnswerKind::kNotRun || answer_.kind() == AnswerKind::kWrongServer
            ? ebonylift::Run::kNotRun
            : ebonylift::Run::kMayHaveRun);
    return;
  }
  if (open_.forwarding && answer_.status() >= 400) {
    OnForwardedAnswer();
    return;
  }
  if (spec_.dialect != nullptr) {
    OnDialectAnswer();
    return;
  }
  bool model = spec_.route->kind == ServerKind::kModel;
  bool refused = answer_.status() >= 500 || answer_.status() == 429;
  if (model && refused && !open_.forwarding) {
    // Only an explicit statement of the backend server proves that the work did not start.
    bool not_run = FindHeader(answer_.headers(), "x-ebonylift-run") == "not_run";
    OnAttemptFailed(
        CallResult{CallOutcome::kComplete, answer_.status(), "backend server error", true},
        not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
    return;
  }
  Deliver();
}

}  // namespace ebonylift
