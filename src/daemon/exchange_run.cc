// Exchange methods that dispatch a request, forward it to another host and relay the response.

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event.h"
#include "daemon/exchange.h"

namespace ebonylift {
namespace {

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kLivenessCheckInterval = milliseconds(250);
// An attempt at idempotent work is cancelled when it has received nothing for this long and its
// target is gone: the server stopped announcing itself, or the host is suspected or has failed.
constexpr Duration kSilenceTimeout = milliseconds(1500);
// Events that come closer together were delayed on their way and say nothing of the server's pace.
constexpr Duration kMinEventGap = milliseconds(2);

bool Contains(const std::vector<std::string>& list, const char* value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

HttpCall Exchange::NewCall(const std::string& url, uint32_t attempt) {
  HttpCall call;
  call.method = spec_.method;
  call.url = url;
  call.body = spec_.body;
  call.connect_timeout = kConnectTimeout;
  call.timeout = RemainingTime(spec_, SteadyNow());
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

// Starts an attempt at the server of the choice, which SetServer() completes.
OpenAttempt Exchange::MakeServerAttempt(const Choice& choice, Time now) {
  OpenAttempt attempt;
  attempt.dispatched_at = now;
  attempt.choice = choice;
  attempt.server = choice.server;
  attempt.software_version = choice.software_version;
  attempt.number = OnDispatch(attempts_, choice.server, choice.incarnation, now);
  return attempt;
}

void Exchange::SetServer(const BackendServer& server, OpenAttempt* attempt) const {
  attempt->address = server.announced.address;
  const BackendServer* cache_source = FindServer(*spec_.view, attempt->choice.fetch_from);
  if (cache_source != nullptr) attempt->fetch_from = cache_source->announced.address;
  attempt->can_resume = Contains(server.announced.capabilities, "resume");
  attempt->can_cancel = Contains(server.announced.capabilities, "cancel");
}

void Exchange::DispatchToServer(const Choice& choice) {
  Time now = SteadyNow();
  const BackendServer* server = FindServer(*spec_.view, choice.server);
  if (!claim_.MarkDispatched()) {
    context_.dispatcher->CancelPlacement(choice, spec_.content.content, now);
    Refuse(ErrorKind::kStorageFailed, "the claim on the idempotency key is no longer valid");
    return;
  }
  open_attempt_ = MakeServerAttempt(choice, now);
  last_data_at_ = now;
  if (server == nullptr) {
    OnAttemptFailed(
        CallResult{CallOutcome::kNotConnected, 0, "the server is no longer registered", false},
        ebonylift::Run::kNotRun);
    return;
  }
  SetServer(*server, &open_attempt_);
  open_attempt_.tries_path = context_.dispatcher->IsCutOff();
  if (spec_.dialect == nullptr || open_attempt_.number > 1) {
    LogEvent(EventId::kRequestDispatched, {{"request_id", spec_.id.value()},
                                           {"attempt", std::to_string(open_attempt_.number)},
                                           {"server", choice.server.value()}});
  }
  StartAttempt(open_attempt_.address, spec_.path,
               MakeBackendHeaders(spec_, open_attempt_, relay_.last_event_id(), now));
  ScheduleHedge();
}

// Sends the request to `address`. Precondition: open_attempt_ describes this attempt.
void Exchange::StartAttempt(const std::string& address, const std::string& path,
                            HttpHeaders headers) {
  std::string url = "http://" + address + path;
  if (!spec_.query.empty()) url += "?" + spec_.query;
  HttpCall call = NewCall(url, open_attempt_.number);
  call.headers = std::move(headers);
  open_attempt_.call = context_.client->Start(std::move(call));
  if (spec_.idempotent) ScheduleLivenessCheck(open_attempt_.number);
}

void Exchange::ScheduleLivenessCheck(uint32_t attempt) {
  liveness_timer_.expires_after(kLivenessCheckInterval);
  ExchangeTable* table = context_.table;
  liveness_timer_.async_wait([table, attempt, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) exchange->CheckLiveness(attempt);
  });
}

// Connects to the server of the silent attempt, if this host is cut off and has not tried it
// lately.
void Exchange::CheckConnection(Time now) {
  const ServerId server = *open_attempt_.server;
  if (!context_.dispatcher->TakeConnectionCheck(server, now)) return;
  HttpCall call = MakeProbeCall(open_attempt_.address);
  call.connect_only = true;
  Dispatcher* dispatcher = context_.dispatcher;
  call.on_done = [dispatcher, server](const CallResult& result) {
    dispatcher->RecordConnection(server, result.outcome == CallOutcome::kComplete, SteadyNow());
  };
  context_.client->Start(std::move(call));
}

// Whether the open attempt waits for a server to which this host has no path. A server that is only
// silent may still answer, so its attempt goes on while the server can be connected to, unless
// nothing has come of it and it was sent to find out whether the path is back.
bool Exchange::WaitsOnLostPath(Duration silence, Time now) const {
  if (!open_attempt_.server || !context_.dispatcher->IsCutOff()) return false;
  bool unreachable = context_.dispatcher->CannotConnect(*open_attempt_.server, now);
  bool is_trial = open_attempt_.tries_path && !open_attempt_.response_started;
  if (is_trial) return silence > (unreachable ? kPathTrialTime : kPathSilenceTime);
  return unreachable && silence > kPathSilenceTime;
}

// Cancels an idempotent attempt whose target is silent and no longer live, or to whose target this
// host has no path. A frozen server or a network partition leaves connections open, so without this
// check the attempt would wait until its deadline.
void Exchange::CheckLiveness(uint32_t attempt) {
  if (attempt != open_attempt_.number) return;
  uint64_t incarnation = FindAttempt(attempts_, attempt)->incarnation;
  Time now = SteadyNow();
  Duration silence = now - last_data_at_;
  if (open_attempt_.server && silence > kPathSilenceTime)
    context_.dispatcher->RecordSilence(*open_attempt_.server, last_data_at_, now);
  if (open_attempt_.server && silence > kPathTrialTime) CheckConnection(now);
  bool path_lost = WaitsOnLostPath(silence, now);
  bool target_lost = silence > kSilenceTimeout &&
                     !IsTargetLive(*context_.control->View(), open_attempt_, incarnation, now);
  if (!path_lost && !target_lost) {
    ScheduleLivenessCheck(attempt);
    return;
  }
  CancelAttempt();
  OnAttemptFailed(CallResult{CallOutcome::kTimedOut, 0,
                             path_lost ? "this host has no path to the server"
                                       : "the server or host is no longer live",
                             false},
                  ebonylift::Run::kMayHaveRun);
}

void Exchange::DispatchToHost(const HostEntry& host, bool crosses_region, const DomainId& domain) {
  Time now = SteadyNow();
  open_attempt_ = OpenAttempt();
  open_attempt_.dispatched_at = now;
  last_data_at_ = now;
  open_attempt_.forwarding = true;
  open_attempt_.host = host.id;
  // The dispatcher did not place a forward to the owner of the key, so EndForward() must not be
  // called for it.
  if (!to_key_owner_) open_attempt_.forward_domain = domain;
  tried_hosts_.push_back(host.id);
  if (!claim_.MarkDispatched()) {
    EndAttempt(ServerOutcome::kCancelled);
    Refuse(ErrorKind::kStorageFailed, "the claim on the idempotency key is no longer valid");
    return;
  }
  open_attempt_.number =
      OnDispatch(attempts_, ServerId("host/" + host.id.value()), host.incarnation, now);
  LogEvent(EventId::kRequestForwarded, {{"request_id", spec_.id.value()},
                                        {"caller_request_id", spec_.caller_request_id},
                                        {"host", host.id.value()},
                                        {"hops", std::to_string(spec_.hops + 1)},
                                        {"crossed", crosses_region ? "1" : "0"}});
  if (crosses_region) context_.metrics->CountSentAway(spec_.traffic_class);
  StartAttempt(host.http_address, spec_.request_path,
               MakeForwardHeaders(&spec_, open_attempt_, crosses_region, claim_.held(),
                                  relay_.last_event_id(), context_.cluster_key, now));
}

// A server may send a second copy of a response late, when the connection carries another request.
// With a dialect, classify_response() notices.
bool Exchange::NamesOtherRequest(const HttpHeaders& headers) const {
  if (spec_.dialect != nullptr) return false;
  const std::string& id = FindHeader(headers, kRequestIdHeader);
  return !id.empty() && id != spec_.id.value();
}

// Classifies the response of an attempt, and records what its server says in it.
ResponseKind Exchange::ClassifyHeaders(const OpenAttempt& attempt, int status,
                                       const HttpHeaders& headers) {
  ResponseKind kind = ResponseKind::kAnswer;
  if (spec_.dialect != nullptr)
    kind = spec_.dialect->classify_response(spec_.headers, status, headers);
  // Another server answers kWrongServer, and a response without a limit that cannot be attributed
  // may not be of this server.
  if (spec_.dialect != nullptr && attempt.server && kind != ResponseKind::kWrongServer) {
    ServerNotice notice = spec_.dialect->server_notice(status, headers);
    bool attributable = notice.requests_per_s || kind != ResponseKind::kUnattributable;
    context_.dispatcher->OnServerNotice(*attempt.server, attempt.choice.incarnation, notice,
                                        attributable, attempt.dispatched_at, SteadyNow());
  }
  return kind;
}

void Exchange::OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers) {
  if (IsHedge(attempt)) {
    OnHedgeHeaders(status, headers);
    return;
  }
  if (attempt != open_attempt_.number) return;
  if (NamesOtherRequest(headers)) {
    EndUnusableAttempt("the response names another request");
    return;
  }
  ResponseKind kind = ClassifyHeaders(open_attempt_, status, headers);
  if (open_attempt_.forwarding)
    open_attempt_.software_version = FindHeader(headers, kSoftwareVersionHeader);
  relay_.OnHeaders(status, headers, kind);
  if (relay_.begun() && !relay_.IsEventStream()) {
    EndContinuation(status, headers);
  } else if (kind == ResponseKind::kUnattributable && !open_attempt_.forwarding) {
    EndUnusableAttempt("the response cannot be attributed to the request");
  }
}

// The response of the attempt that was to continue the stream is an error or another kind of
// answer, of which the caller must get nothing.
void Exchange::EndContinuation(int status, const HttpHeaders& headers) {
  std::optional<ErrorKind> host_error;
  if (open_attempt_.forwarding) host_error = HostErrorKind(headers, "", spec_.id);
  bool not_run = relay_.kind() == ResponseKind::kNotRun ||
                 relay_.kind() == ResponseKind::kWrongServer ||
                 (host_error && LookupError(*host_error).run == ebonylift::Run::kNotRun);
  CancelAttempt();
  OnAttemptFailed(CallResult{CallOutcome::kComplete, status, "the stream was not continued", true},
                  not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
}

void Exchange::RelayStreamData(std::string_view data) {
  std::string events = relay_.Feed(data);
  if (!events.empty()) RelayEvents(std::move(events));
  if (relay_.event_too_large()) EndUnusableAttempt("an event of the stream exceeds its size limit");
}

// From now on the stream may only go on at the software version of this server.
void Exchange::RecordStreamBegin() {
  if (spec_.dialect == nullptr || !spec_.route->resumable || !spec_.software_version.empty())
    return;
  spec_.software_version = open_attempt_.software_version;
  spec_.stream_service = spec_.route->service;
  bool caller_may_return = !spec_.forwarded && !spec_.caller_request_id.empty();
  if (!caller_may_return || spec_.software_version.empty()) return;
  StreamOrigin origin{spec_.stream_service, spec_.software_version};
  Time now = SteadyNow();
  context_.stream_origins->Begin({StreamKey(spec_.caller_request_id), origin}, now);
  auto unsent = context_.stream_origins->TakeUnsent(*spec_.view, now);
  if (!unsent.empty()) context_.control->ShareStreams(std::move(unsent));
}

void Exchange::RelayEvents(std::string events) {
  if (!relay_.begun()) RecordStreamBegin();
  ExchangeTable* table = context_.table;
  relay_.Begin([this] { return MakeResponseHeaders(); },
               [table, id = id_] {
                 Exchange* exchange = table->Find(id);
                 if (exchange == nullptr || !exchange->relay_.ResumeWhenDrained()) return;
                 exchange->context_.client->Resume(exchange->open_attempt_.call);
               });
  relay_.Write(std::move(events), claim_.held());
}

// The server may send without end, or the response to this request after another one, so the
// connection is closed.
void Exchange::EndUnusableAttempt(const char* reason) {
  CancelAttempt();
  OnAttemptFailed(CallResult{CallOutcome::kFailed, relay_.status(), reason, true},
                  ebonylift::Run::kMayHaveRun);
}

void Exchange::EndLargestResponse() {
  EndUnusableAttempt("the responses of all requests exceed their buffer limit");
}

// An answer that has been going on for kPartProofTime shows that no part of the prompt crashes
// servers.
void Exchange::ReportAnsweredParts(Time now) {
  if (!open_attempt_.server || open_attempt_.parts_answered || relay_.status() >= 300) return;
  if (now - open_attempt_.first_data_at < kPartProofTime) return;
  open_attempt_.parts_answered = true;
  context_.dispatcher->OnPartsAnswered(spec_.content.parts);
}

// Reports the shorter one of each two gaps between events, which is seldom prolonged by a prompt
// that the server read meanwhile.
void Exchange::ReportPace(Time now) {
  bool streams = open_attempt_.server && open_attempt_.response_started && relay_.begun();
  Duration gap = now - last_data_at_;
  if (!streams || gap < kMinEventGap) return;
  Duration other = std::exchange(open_attempt_.last_gap, gap);
  if (other == Duration(0)) return;
  open_attempt_.last_gap = Duration(0);
  context_.dispatcher->OnEventGap(ServedName(*spec_.route), open_attempt_.choice,
                                  std::min(gap, other), now);
}

void Exchange::RecordDataReceived() {
  Time now = SteadyNow();
  ReportPace(now);
  if (open_attempt_.server && !open_attempt_.response_started) {
    open_attempt_.response_started = true;
    open_attempt_.first_data_at = now;
    if (FirstAttemptIsGood()) RecordFirstByteTime(now);
    context_.dispatcher->OnFirstByte(ServedName(*spec_.route), open_attempt_.choice,
                                     open_attempt_.dispatched_at, now);
  }
  ReportAnsweredParts(now);
  if (!first_byte_seen_) {
    context_.metrics->ObserveFirstToken(spec_.traffic_class, now - spec_.arrived);
  } else if (relay_.begun()) {
    context_.metrics->ObserveTokenGap(spec_.traffic_class, now - last_data_at_);
  }
  if (first_byte_seen_) {
    longest_gap_ = std::max(longest_gap_, now - last_data_at_);
  } else {
    first_byte_at_ = now;
  }
  first_byte_seen_ = true;
  last_data_at_ = now;
}

bool Exchange::OnData(uint32_t attempt, std::string_view data) {
  if (IsHedge(attempt)) WinHedge();
  if (attempt != open_attempt_.number) {
    LogEvent(EventId::kLateDataDropped,
             {{"request_id", spec_.id.value()}, {"attempt", std::to_string(attempt)}});
    return true;
  }
  if (relay_.PauseIfCallerIsSlow()) return false;
  if (hedge_ && FirstAttemptIsGood()) EndHedge("first_byte");
  RecordDataReceived();
  if (relay_.IsEventStream()) {
    RelayStreamData(data);
  } else if (!relay_.Buffer(data)) {
    EndUnusableAttempt("the response exceeds the buffer limit");
  }
  ExchangeTable* table = context_.table;
  if (table->OnReceived(data.size()))
    asio::post(*context_.io, [table] { table->LimitBufferedBytes(); });
  return true;
}

void Exchange::OnDone(uint32_t attempt, const CallResult& result) {
  if (IsHedge(attempt)) {
    OnHedgeDone(result);
    return;
  }
  if (attempt != open_attempt_.number) return;
  open_attempt_.call = 0;
  switch (result.outcome) {
    case CallOutcome::kComplete:
      OnComplete();
      return;
    case CallOutcome::kNotConnected:
    case CallOutcome::kNothingWritten:
      // If the response has begun, only the connection for resuming it failed. The attempt did run.
      OnAttemptFailed(result,
                      relay_.begun() ? ebonylift::Run::kMayHaveRun : ebonylift::Run::kNotRun);
      return;
    case CallOutcome::kTimedOut:
      if (open_attempt_.server && open_attempt_.can_cancel && !relay_.begun()) {
        ConfirmNotStarted(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
    case CallOutcome::kFailed:
      if (open_attempt_.server) {
        CheckServerLost(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
  }
}

// Called when the HTTP message that carries a stream of events has ended.
void Exchange::OnStreamEnd() {
  CallResult broken{CallOutcome::kFailed, relay_.status(),
                    "the stream ended without its end marker", true};
  if (relay_.stream_complete()) {
    SendResponse();
  } else if (open_attempt_.server) {
    CheckServerLost(broken);
  } else {
    OnAttemptFailed(broken, ebonylift::Run::kMayHaveRun);
  }
}

// Handles an error status from another host. The error is the host's own or that of a backend
// server behind it.
void Exchange::OnForwardedError() {
  std::optional<ErrorKind> kind = HostErrorKind(relay_.headers(), relay_.body(), spec_.id);
  if (!kind && spec_.dialect != nullptr) {
    OnDialectResponse();
  } else if (!kind) {
    SendResponse();
  } else if (!to_key_owner_ && AnotherHostMayAccept(*kind)) {
    OnAttemptFailed(
        CallResult{CallOutcome::kComplete, relay_.status(), LookupError(*kind).code, true},
        LookupError(*kind).run);
  } else {
    RelayPeerError(*kind);
  }
}

// Handles a complete, non-streamed response to a request with a dialect.
void Exchange::OnDialectResponse() {
  CallResult result{CallOutcome::kComplete, relay_.status(), "backend server error", true};
  switch (relay_.kind()) {
    case ResponseKind::kAnswer:
      SendResponse();
      return;
    case ResponseKind::kNotRun:
    case ResponseKind::kWrongServer:
      OnAttemptFailed(result, ebonylift::Run::kNotRun);
      return;
    case ResponseKind::kUnattributable:
      OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      return;
    case ResponseKind::kFailed:
      break;
  }
  if (hedge_) {
    RecordAttemptFailure(ebonylift::Run::kMayHaveRun, ServerOutcome::kFailed);
    if (!TakeOverByHedge()) RetryOrRefuse(ebonylift::Run::kMayHaveRun);
    return;
  }
  // If the request may not be retried, the caller gets the backend server's error response.
  RetryState retry_state = CurrentRetryState();
  ++retry_state.runs;
  RetryDecision decision = context_.dispatcher->MayRetry(
      RetryBudgetKey(), retry_state, ebonylift::Run::kMayHaveRun, spec_.deadline, SteadyNow());
  if (decision != RetryDecision::kRetry) {
    SendResponse();
    return;
  }
  RecordAttemptFailure(ebonylift::Run::kMayHaveRun, ServerOutcome::kFailed);
  ScheduleRetry();
}

void Exchange::OnComplete() {
  if (relay_.IsEventStream()) {
    OnStreamEnd();
    return;
  }
  if (open_attempt_.forwarding && relay_.status() >= 400) {
    OnForwardedError();
    return;
  }
  if (spec_.dialect != nullptr) {
    OnDialectResponse();
    return;
  }
  // The error of a service is its answer, unless another attempt may give a better one.
  bool may_fail = spec_.route->kind == ServerKind::kModel || hedge_;
  bool refused = relay_.status() >= 500 || relay_.status() == 429;
  if (may_fail && refused && !open_attempt_.forwarding) {
    // Only this header of the backend server proves that the work did not start.
    bool not_run = FindHeader(relay_.headers(), "x-ebonylift-run") == "not_run";
    OnAttemptFailed(
        CallResult{CallOutcome::kComplete, relay_.status(), "backend server error", true},
        not_run ? ebonylift::Run::kNotRun : ebonylift::Run::kMayHaveRun);
    return;
  }
  SendResponse();
}

}  // namespace ebonylift
