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

// A peer refused for a reason that another host may not have; the retry rule decides on the run.
bool AnotherHostMayAccept(ErrorKind kind) {
  return kind == ErrorKind::kDraining || kind == ErrorKind::kNoServer ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kServerRefused || kind == ErrorKind::kServerFailed;
}

}  // namespace

HttpHeaders Exchange::DialectHeaders() const {
  AttemptFacts attempt;
  if (server_) attempt.server = *server_;
  attempt.left = std::max<Duration>(spec_.deadline - SteadyNow(), milliseconds(1));
  attempt.rank = spec_.route->rank;
  attempt.last_event = events_.last_event();
  return spec_.dialect->attempt_headers(spec_.headers, attempt);
}

HttpHeaders Exchange::BackendHeaders() const {
  if (spec_.dialect != nullptr) return DialectHeaders();
  HttpHeaders headers = spec_.headers;
  int64_t left = std::max<int64_t>(1, ToMillis(spec_.deadline - SteadyNow()));
  headers.emplace_back(kRequestIdHeader, spec_.id.value());
  headers.emplace_back("x-ebonylift-attempt", std::to_string(attempt_));
  headers.emplace_back("x-ebonylift-team", spec_.team.value());
  headers.emplace_back("x-ebonylift-priority",
                       std::to_string(static_cast<int>(spec_.traffic_class)));
  headers.emplace_back("x-ebonylift-deadline-ms", std::to_string(left));
  return headers;
}

HttpCall Exchange::NewCall(const std::string& url, uint32_t attempt) {
  HttpCall call;
  call.method = spec_.method;
  call.url = url;
  call.body = spec_.body;
  call.connect_timeout = kConnectTimeout;
  call.timeout = std::max<Duration>(spec_.deadline - SteadyNow(), milliseconds(1));
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
  const BackendServer* server = FindServer(choice.server);
  if (claim_ != 0 && !claim_dispatched_) {
    if (!context_.records->MarkDispatched(Key(), claim_)) {
      context_.dispatcher->GiveBack(choice, spec_.content, now);
      Refuse(ErrorKind::kStorageFailed, "the claim is no longer valid");
      return;
    }
    claim_dispatched_ = true;
  }
  dispatched_at_ = now;
  choice_ = choice;
  answer_started_ = false;
  arrived_ = true;
  server_ = choice.server;
  attempt_ = OnDispatch(attempts_, choice.server, choice.incarnation, now);
  if (server == nullptr) {
    OnAttemptFailed(CallResult{CallOutcome::kNotConnected, 0, "server gone", false},
                    ebonylift::Run::kNotRun);
    return;
  }
  server_address_ = server->announced.address;
  server_resumes_ = Has(server->announced.capabilities, "resume");
  server_cancels_ = Has(server->announced.capabilities, "cancel");
  if (spec_.dialect == nullptr || attempt_ > 1) {
    LogEvent(EventId::kRequestDispatched, {{"request_id", spec_.id.value()},
                                           {"attempt", std::to_string(attempt_)},
                                           {"server", choice.server.value()}});
  }
  std::string url = "http://" + server_address_ + spec_.path;
  if (!spec_.query.empty()) url += "?" + spec_.query;
  HttpCall call = NewCall(url, attempt_);
  call.headers = BackendHeaders();
  call_ = context_.client->Start(std::move(call));
  last_byte_ = now;
  if (spec_.idempotent) WatchAttempt(attempt_);
}

void Exchange::WatchAttempt(uint32_t attempt) {
  watch_timer_.expires_after(kWatchPeriod);
  ExchangeTable* table = context_.table;
  watch_timer_.async_wait([table, attempt, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) exchange->OnWatch(attempt);
  });
}

// By the newest view: the server announces, or the host of a forward answers probes.
bool Exchange::TargetLive(const Attempt& attempt) const {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  for (const BackendServer& server : view->servers) {
    if (server_ && server.announced.id == *server_) {
      return server.expires_at > SteadyNow() && server.announced.incarnation == attempt.incarnation;
    }
  }
  for (const HostEntry& host : view->hosts) {
    if (!forwarding_ || host.id != forward_host_) continue;
    // A host of another failure domain is never declared failed from here, only suspected.
    return host.status != HostStatus::kSuspect && host.status != HostStatus::kFailed;
  }
  return false;
}

// A frozen server or a silent partition keeps connections open, so idempotent work would wait until
// its deadline.
void Exchange::OnWatch(uint32_t attempt) {
  if (attempt != attempt_) return;
  bool silent = SteadyNow() - last_byte_ > kSilentServer;
  if (!silent || TargetLive(*FindAttempt(attempts_, attempt))) {
    WatchAttempt(attempt);
    return;
  }
  CancelAttempt();
  OnAttemptFailed(CallResult{CallOutcome::kTimedOut, 0, "the server or host is gone", false},
                  ebonylift::Run::kMayHaveRun);
}

void Exchange::Forward(const HostEntry& host, bool crosses, const DomainId& domain) {
  Time now = SteadyNow();
  dispatched_at_ = now;
  arrived_ = true;
  forwarding_ = true;
  forward_host_ = host.id;
  // A forward to the owner is not a placement, so it was not counted as one.
  if (!to_owner_) forward_domain_ = domain;
  avoid_hosts_.push_back(host.id);
  if (claim_ != 0 && !claim_dispatched_) {
    if (!context_.records->MarkDispatched(Key(), claim_)) {
      EndAttempt(ServerOutcome::kCancelled);
      Refuse(ErrorKind::kStorageFailed, "the claim is no longer valid");
      return;
    }
    claim_dispatched_ = true;
  }
  attempt_ = OnDispatch(attempts_, ServerId("host/" + host.id.value()), host.incarnation, now);
  LogEvent(EventId::kRequestForwarded, {{"request_id", spec_.id.value()},
                                        {"host", host.id.value()},
                                        {"hops", std::to_string(spec_.hops + 1)},
                                        {"crossed", crosses ? "1" : "0"}});
  if (crosses) context_.metrics->CountSentAway(spec_.traffic_class);
  ForwardMark mark;
  mark.from = spec_.view->self.host;
  mark.request = spec_.id;
  mark.hops = spec_.hops + 1;
  mark.crossed = spec_.crossed || crosses;
  mark.claimed = spec_.claimed || claim_ != 0;
  mark.deadline_ms = std::max<int64_t>(1, ToMillis(spec_.deadline - now));
  mark.team = spec_.team;
  mark.route = spec_.route->id;
  mark.traffic_class = spec_.traffic_class;
  mark.idempotent = spec_.idempotent;
  mark.revision = spec_.view->config->revision;
  mark.time = WallNow();
  std::string key =
      spec_.dialect == nullptr ? FindHeader(spec_.headers, "idempotency-key") : std::string();
  ForwardBinding binding{spec_.method, spec_.request_path + "?" + spec_.query, key,
                         BodyHash(&spec_)};
  std::string url = "http://" + host.http_address + spec_.request_path;
  if (!spec_.query.empty()) url += "?" + spec_.query;
  HttpCall call = NewCall(url, attempt_);
  call.headers = spec_.dialect == nullptr ? spec_.headers : DialectHeaders();
  call.headers.emplace_back(kForwardHeader, EncodeForward(mark, binding, context_.cluster_key));
  call_ = context_.client->Start(std::move(call));
  last_byte_ = now;
  if (spec_.idempotent) WatchAttempt(attempt_);
}

void Exchange::OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers) {
  if (attempt != attempt_) return;
  if (spec_.dialect != nullptr) {
    answer_kind_ = spec_.dialect->read_answer(spec_.headers, status, headers);
  }
  // A stream that goes on keeps the headers of its first answer.
  if (resumes_ > 0) return;
  status_ = status;
  headers_ = headers;
}

bool Exchange::IsEventStream() const {
  return status_ == 200 && answer_kind_ == AnswerKind::kAnswer &&
         FindHeader(headers_, "content-type").rfind("text/event-stream", 0) == 0;
}

void Exchange::BeginStream() {
  if (streaming_) return;
  streaming_ = true;
  if (!responder_) return;
  responder_->Begin(status_, AnswerHeaders());
  ExchangeTable* table = context_.table;
  responder_->OnDrained([table, id = id_] {
    Exchange* exchange = table->Find(id);
    if (exchange == nullptr || !exchange->paused_ || !exchange->responder_) return;
    if (exchange->responder_->PendingBytes() > kMaxPendingBytes / 2) return;
    exchange->paused_ = false;
    exchange->context_.client->Resume(exchange->call_);
  });
}

void Exchange::Relay(std::string_view data) {
  std::string events = spec_.dialect == nullptr ? stream_.Feed(data) : events_.Feed(data);
  if (events.empty()) return;
  BeginStream();
  // A stored answer must be whole, so an answer over the bound is not kept at all.
  if (claim_ != 0 && answer_kept_) {
    answer_kept_ = answer_.size() + events.size() <= kMaxAnswerBytes;
    if (answer_kept_) {
      answer_ += events;
    } else {
      answer_.clear();
    }
  }
  if (responder_) responder_->Write(std::move(events));
}

void Exchange::CountByte() {
  Time now = SteadyNow();
  if (server_ && !answer_started_) {
    answer_started_ = true;
    context_.dispatcher->OnFirstByte(Served(*spec_.route), choice_, dispatched_at_, now);
  }
  if (!first_byte_seen_) {
    context_.metrics->ObserveFirstToken(spec_.traffic_class, now - spec_.arrived);
  } else if (streaming_) {
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
  if (attempt != attempt_) {
    LogEvent(EventId::kLateDataDropped,
             {{"request_id", spec_.id.value()}, {"attempt", std::to_string(attempt)}});
    return true;
  }
  if (responder_ && streaming_ && responder_->PendingBytes() > kMaxPendingBytes) {
    paused_ = true;
    return false;
  }
  CountByte();
  if (IsEventStream()) {
    Relay(data);
  } else if (answer_.size() + data.size() <= kMaxAnswerBuffer) {
    answer_.append(data);
  } else {
    CancelAttempt();
    OnAttemptFailed(CallResult{CallOutcome::kFailed, status_, "the answer is too large", true},
                    ebonylift::Run::kMayHaveRun);
  }
  return true;
}

void Exchange::OnDone(uint32_t attempt, const CallResult& result) {
  if (attempt != attempt_) return;
  call_ = 0;
  switch (result.outcome) {
    case CallOutcome::kComplete:
      OnComplete();
      return;
    case CallOutcome::kNotConnected:
    case CallOutcome::kNothingWritten:
      // A resume that could not connect says nothing about the attempt, which did run.
      OnAttemptFailed(result, streaming_ ? ebonylift::Run::kMayHaveRun : ebonylift::Run::kNotRun);
      return;
    case CallOutcome::kTimedOut:
      if (server_ && server_cancels_ && !streaming_) {
        ConfirmNotStarted(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
    case CallOutcome::kFailed:
      if (server_ && spec_.dialect == nullptr) {
        CheckServerLost(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
  }
}

// The message of a stream ended.
void Exchange::OnStreamEnd() {
  bool whole = spec_.dialect == nullptr ? stream_.done() || stream_.error() : events_.whole();
  CallResult broken{CallOutcome::kFailed, status_, "the stream ended without its end marker", true};
  if (whole) {
    Deliver();
  } else if (server_ && spec_.dialect == nullptr) {
    CheckServerLost(broken);
  } else {
    OnAttemptFailed(broken, ebonylift::Run::kMayHaveRun);
  }
}

// Another host answered with an error: its own, or that of a backend server.
void Exchange::OnForwardedAnswer() {
  std::optional<ErrorKind> kind = ErrorKindOfBody(answer_);
  if (!kind && spec_.dialect != nullptr) {
    OnDialectAnswer();
  } else if (!kind) {
    Deliver();
  } else if (!to_owner_ && AnotherHostMayAccept(*kind)) {
    OnAttemptFailed(CallResult{CallOutcome::kComplete, status_, LookupError(*kind).code, true},
                    LookupError(*kind).run);
  } else {
    RelayPeerError();
  }
}

// A whole answer with a dialect that is not a stream.
void Exchange::OnDialectAnswer() {
  CallResult result{CallOutcome::kComplete, status_, "backend server error", true};
  switch (answer_kind_) {
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
  OnFailure(attempts_, attempt_, ebonylift::Run::kMayHaveRun);
  if (server_) avoid_servers_.push_back(*server_);
  EndAttempt(ServerOutcome::kFailed);
  Repeat();
}

void Exchange::OnComplete() {
  if (IsEventStream()) {
    OnStreamEnd();
    return;
  }
  if (streaming_) {
    // A resumed stream got another answer than a stream.
    OnAttemptFailed(CallResult{CallOutcome::kFailed, status_, "the stream did not go on", true},
                    answer_kind_ == AnswerKind::kNotRun || answer_kind_ == AnswerKind::kWrongServer
                        ? ebonylift::Run::kNotRun
                        : ebonylift::Run::kMayHaveRun);
    return;
  }
  if (forwarding_ && status_ >= 400) {
    OnForwardedAnswer();
    return;
  }
  if (spec_.dialect != nullptr) {
    OnDialectAnswer();
    return;
  }
  bool model = spec_.route->kind == ServerKind::kModel;
  bool refused = status_ >= 500 || status_ == 429;
  if (model && refused && !forwarding_) {
    // Only an explicit statement of the backend server proves that the work did not start.
    bool not_run = FindHeader(headers_, "x-ebonylift-run") == "not_run";
    OnAttemptFailed(CallResult{CallOutcome::kComplete, status_, "backend server error", true},
                    not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
    return;
  }
  Deliver();
}

}  // namespace ebonylift
