#include "daemon/exchange.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr Duration kProbeTimeout = milliseconds(1000);
constexpr Duration kProbeConnectTimeout = milliseconds(300);
constexpr Duration kCancelTimeout = milliseconds(300);
constexpr Duration kConnectTimeout = milliseconds(1000);
constexpr int kMaxResumes = 3;
constexpr Duration kCondemnationCheck = milliseconds(250);
constexpr Duration kWatchPeriod = milliseconds(250);
// A call may time out up to a millisecond before the deadline, because libcurl counts whole ones.
constexpr Duration kTimeoutRounding = milliseconds(2);
// A server that stopped announcing, or a host that failed, and that sent nothing for this long is
// given up for idempotent work.
constexpr Duration kSilentServer = milliseconds(1500);
const char kReplayedHeader[] = "x-ebonylift-replayed";
const char kKeyExpiresHeader[] = "x-ebonylift-key-expires-ms";
const char kRequestIdHeader[] = "x-ebonylift-request-id";
const char kCallerIdHeader[] = "x-request-id";

bool Has(const std::vector<std::string>& list, const char* value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

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

// A peer refused for a reason that another host may not have; the retry rule decides on the run.
bool AnotherHostMayAccept(ErrorKind kind) {
  return kind == ErrorKind::kDraining || kind == ErrorKind::kNoServer ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kServerRefused || kind == ErrorKind::kServerFailed;
}

// The error kind in a peer's answer; nullopt when the body is not in the error format.
std::optional<ErrorKind> PeerErrorKind(const std::string& body) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
    return std::nullopt;
  }
  return ErrorKindFromCode(parsed["error"].value("code", ""));
}

ErrorKind ErrorForClaim(const ClaimResult& result) { return ClaimError(result.kind); }

// Replaces all headers of this name; an empty value only removes them.
void SetHeader(HttpHeaders* headers, const std::string& name, const std::string& value) {
  auto same_name = [&name](const auto& header) {
    return header.first.size() == name.size() &&
           std::equal(name.begin(), name.end(), header.first.begin(),
                      [](unsigned char a, unsigned char b) { return a == std::tolower(b); });
  };
  headers->erase(std::remove_if(headers->begin(), headers->end(), same_name), headers->end());
  if (!value.empty()) headers->emplace_back(name, value);
}

std::string MillisUntil(WallMillis time) {
  return std::to_string(std::max<WallMillis>(0, time - WallNow()));
}

}  // namespace

// ---- table
// ---------------------------------------------------------------------------------------

void ExchangeTable::Start(const ExchangeContext& context, RequestSpec spec,
                          std::shared_ptr<HttpResponder> responder) {
  uint64_t id = next_id_++;
  auto exchange = std::make_unique<Exchange>(id, context, std::move(spec), std::move(responder));
  Exchange* started = exchange.get();
  exchanges_[id] = std::move(exchange);
  size_ = exchanges_.size();
  started->Start();
}

Exchange* ExchangeTable::Find(uint64_t id) {
  auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

void ExchangeTable::Erase(uint64_t id) {
  exchanges_.erase(id);
  size_ = exchanges_.size();
}

// ---- start
// ---------------------------------------------------------------------------------------

Exchange::Exchange(uint64_t id, const ExchangeContext& context, RequestSpec spec,
                   std::shared_ptr<HttpResponder> responder)
    : id_(id),
      context_(context),
      spec_(std::move(spec)),
      responder_(std::move(responder)),
      timer_(*context.io),
      watch_timer_(*context.io) {
  attempts_.id = spec_.id;
}

Exchange::~Exchange() = default;

void Exchange::Start() {
  LogEvent(EventId::kRequestReceived, {{"request_id", spec_.id.value()},
                                       {"team", spec_.team.value()},
                                       {"route", spec_.route->id.value()},
                                       {"class", TrafficClassName(spec_.traffic_class)},
                                       {"hops", std::to_string(spec_.hops)}});
  ExchangeTable* table = context_.table;
  responder_->OnClosed([table, id = id_] {
    if (Exchange* exchange = table->Find(id)) exchange->OnCallerGone();
  });
  if (context_.dispatcher->Verdict(spec_.content, SteadyNow()) == PoisonVerdict::kCondemned) {
    Refuse(ErrorKind::kPoison, "");
    return;
  }
  // Limits are applied once, by the host that the caller used.
  if (!spec_.forwarded) {
    std::optional<Refusal> refusal =
        context_.dispatcher->Admit(spec_.team, *spec_.view, spec_.arrived);
    if (refusal) {
      Refuse(refusal->error, "", refusal->retry_after);
      return;
    }
    admitted_ = true;
    context_.metrics->CountRequest(spec_.traffic_class);
    const TeamConfig& team = spec_.view->config->teams.at(spec_.team);
    context_.dispatcher->CountRequest(spec_.team, team.limits.retry_percent);
  }
  if (NeedsRecord()) {
    ClaimKey();
  } else {
    Place();
  }
}

bool Exchange::NeedsRecord() const {
  return !spec_.idempotent && !spec_.idempotency_key.empty() && !spec_.claimed;
}

RecordKey Exchange::Key() const { return RecordKey{spec_.team, spec_.idempotency_key}; }

// ---- idempotency key
// -----------------------------------------------------------------------------

void Exchange::ClaimKey() {
  const auto& regions = spec_.view->config->regions;
  auto home = regions.find(spec_.route->home);
  HostId owner;
  if (home != regions.end()) owner = Owner(Key(), home->second.record_hosts);
  if (owner.empty()) {
    Refuse(ErrorKind::kOwnerUnreachable,
           "the home region " + spec_.route->home.value() + " has no record host");
    return;
  }
  if (owner != spec_.view->self.host) {
    ForwardToOwner(owner);
    return;
  }
  uint64_t body_hash = Hash64(spec_.request_path + "?" + spec_.query, Hash64(spec_.body));
  ExchangeTable* table = context_.table;
  asio::io_context* io = context_.io;
  RecordStore* records = context_.records;
  RecordKey key = Key();
  records->Claim(key, body_hash,
                 [=, id = id_](const ClaimResult& result, std::optional<ErrorKind> error) {
                   asio::post(*io, [=] {
                     if (Exchange* exchange = table->Find(id)) {
                       exchange->OnClaim(result, error);
                     } else if (result.kind == ClaimKind::kNew && !error) {
                       // The caller left while the claim was being written; nothing was dispatched.
                       records->Release(key, result.claim, false);
                     }
                   });
                 });
}

void Exchange::OnClaim(const ClaimResult& result, std::optional<ErrorKind> error) {
  if (error) {
    Refuse(*error, "");
    return;
  }
  if (result.kind == ClaimKind::kNew) {
    claim_ = result.claim;
    key_expires_at_ = result.expires_at;
    LogEvent(EventId::kRecordClaimed,
             {{"request_id", spec_.id.value()}, {"team", spec_.team.value()}});
    Place();
    return;
  }
  if (result.kind == ClaimKind::kCompleted && result.answer) {
    LogEvent(EventId::kRecordReplayed,
             {{"request_id", spec_.id.value()}, {"team", spec_.team.value()}});
    HttpHeaders headers = result.answer->headers;
    // What belongs to the first request and not to its answer.
    SetHeader(&headers, kRequestIdHeader, spec_.id.value());
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
    SetHeader(&headers, kReplayedHeader, "true");
    SetHeader(&headers, kKeyExpiresHeader, MillisUntil(result.expires_at));
    if (responder_) responder_->Send(result.answer->status, headers, result.answer->body);
    Finish();
    return;
  }
  ErrorKind kind = ErrorForClaim(result);
  LogEvent(EventId::kRecordRefused,
           {{"request_id", spec_.id.value()}, {"kind", LookupError(kind).code}});
  Refuse(kind, "");
}

void Exchange::ForwardToOwner(const HostId& owner) {
  const HostEntry* host = FindHost(owner);
  // A host that is only suspected is still tried: the claim decides, not the failure detector.
  if (host == nullptr || host->status == HostStatus::kFailed) {
    Refuse(ErrorKind::kOwnerUnreachable, "");
    return;
  }
  bool crosses = host->region != spec_.view->self.region;
  bool allowed = std::find(spec_.allowed_regions.begin(), spec_.allowed_regions.end(),
                           host->region) != spec_.allowed_regions.end();
  if (!allowed) {
    Refuse(ErrorKind::kResidencyRefused, "");
    return;
  }
  if (spec_.hops >= kMaxHops || (crosses && spec_.crossed)) {
    Refuse(ErrorKind::kHopLimit, "");
    return;
  }
  to_owner_ = true;
  Forward(*host, crosses, host->domain);
}

// ---- placing
// -------------------------------------------------------------------------------------

RouteQuery Exchange::Query() const {
  RouteQuery query;
  query.team = spec_.team;
  query.route = spec_.route;
  query.traffic_class = spec_.traffic_class;
  query.allowed_regions = spec_.allowed_regions;
  query.prompt_tokens = spec_.prompt_tokens;
  query.prefix_hashes = spec_.prefix_hashes;
  query.content = spec_.content;
  query.hops = spec_.hops;
  query.crossed = spec_.crossed;
  query.deadline = spec_.deadline;
  query.avoid_servers = avoid_servers_;
  query.avoid_hosts = avoid_hosts_;
  query.suspect =
      context_.dispatcher->Verdict(spec_.content, SteadyNow()) == PoisonVerdict::kSuspect;
  return query;
}

void Exchange::Place() {
  Time now = SteadyNow();
  if (now >= spec_.deadline) {
    RefuseOutcome();
    return;
  }
  if (!RefreshView()) {
    Refuse(ErrorKind::kUnknownModel, "the route was removed");
    return;
  }
  OnPlace(context_.dispatcher->Place(Query(), *spec_.view, now));
}

// Takes the newest view: the rules may have become stricter since the request arrived.
bool Exchange::RefreshView() {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  auto team = view->config->teams.find(spec_.team);
  if (team == view->config->teams.end()) return false;
  auto route = team->second.routes.find(spec_.route->id);
  if (route == team->second.routes.end()) return false;
  spec_.route = &route->second;
  spec_.allowed_regions = AllowedRegions(*view->config, *spec_.route);
  spec_.view = std::move(view);
  return true;
}

void Exchange::OnPlace(const Choice& choice) {
  switch (choice.kind) {
    case ChoiceKind::kLocal:
      Run(choice);
      return;
    case ChoiceKind::kForward: {
      const HostEntry* host = FindHost(choice.host);
      if (host == nullptr) {
        context_.dispatcher->EndForward(choice.domain, SteadyNow(), SteadyNow());
        Refuse(ErrorKind::kRegionUnreachable, "");
        return;
      }
      Forward(*host, choice.crosses, choice.domain);
      return;
    }
    case ChoiceKind::kQueue:
      Wait();
      return;
    case ChoiceKind::kRefuse:
      // After a failed attempt the statement must cover that attempt too.
      if (RequestRun(attempts_) != ebonylift::Run::kNotRun) {
        RefuseOutcome();
      } else {
        Refuse(choice.error, "", choice.retry_after);
      }
      return;
  }
}

void Exchange::Wait() {
  QueuedRequest request;
  request.id = spec_.id;
  request.team = spec_.team;
  request.traffic_class = spec_.traffic_class;
  request.served =
      spec_.route->kind == ServerKind::kModel ? spec_.route->model.value() : spec_.route->service;
  request.bytes = spec_.body.size();
  request.deadline = spec_.deadline;
  ExchangeTable* table = context_.table;
  asio::io_context* io = context_.io;
  Dispatcher* dispatcher = context_.dispatcher;
  uint64_t content = spec_.content;
  auto wake = [=, id = id_](const Choice& choice) {
    asio::post(*io, [=] {
      if (Exchange* exchange = table->Find(id)) {
        exchange->OnWake(choice);
        return;
      }
      // The caller left at the same moment: give the place back.
      Time now = SteadyNow();
      if (choice.kind == ChoiceKind::kLocal) {
        dispatcher->EndLocal(choice.server, content, now, ServerOutcome::kCancelled, now);
      } else if (choice.kind == ChoiceKind::kForward) {
        dispatcher->EndForward(choice.domain, now, now);
      }
    });
  };
  std::optional<Refusal> refusal =
      dispatcher->Enqueue(std::move(request), Query(), wake, SteadyNow());
  if (refusal) {
    if (RequestRun(attempts_) != ebonylift::Run::kNotRun) {
      RefuseOutcome();
    } else {
      Refuse(refusal->error, "", refusal->retry_after);
    }
    return;
  }
  waiting_ = true;
}

void Exchange::OnWake(const Choice& choice) {
  waiting_ = false;
  if (RefreshView()) {
    OnPlace(choice);
    return;
  }
  Time now = SteadyNow();
  if (choice.kind == ChoiceKind::kLocal) {
    context_.dispatcher->EndLocal(choice.server, spec_.content, now, ServerOutcome::kCancelled,
                                  now);
  } else if (choice.kind == ChoiceKind::kForward) {
    context_.dispatcher->EndForward(choice.domain, now, now);
  }
  Refuse(ErrorKind::kUnknownModel, "the route was removed");
}

// ---- running
// -------------------------------------------------------------------------------------

HttpHeaders Exchange::BackendHeaders() const {
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
      context_.dispatcher->EndLocal(choice.server, spec_.content, now, ServerOutcome::kCancelled,
                                    now);
      Refuse(ErrorKind::kStorageFailed, "the claim is no longer valid");
      return;
    }
    claim_dispatched_ = true;
  }
  dispatched_at_ = now;
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
  LogEvent(EventId::kRequestDispatched, {{"request_id", spec_.id.value()},
                                         {"attempt", std::to_string(attempt_)},
                                         {"server", choice.server.value()}});
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
  ForwardBinding binding{spec_.method, spec_.request_path + "?" + spec_.query,
                         FindHeader(spec_.headers, "idempotency-key"), spec_.body_sha256};
  std::string url = "http://" + host.http_address + spec_.request_path;
  if (!spec_.query.empty()) url += "?" + spec_.query;
  HttpCall call = NewCall(url, attempt_);
  call.headers = spec_.headers;
  call.headers.emplace_back(kForwardHeader, EncodeForward(mark, binding, context_.cluster_key));
  call_ = context_.client->Start(std::move(call));
  last_byte_ = now;
  if (spec_.idempotent) WatchAttempt(attempt_);
}

void Exchange::OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers) {
  if (attempt != attempt_) return;
  if (resumed_) return;
  status_ = status;
  headers_ = headers;
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
  std::string events = stream_.Feed(data);
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
  if (!first_byte_seen_) {
    context_.metrics->ObserveFirstToken(spec_.traffic_class, now - spec_.arrived);
  } else if (streaming_) {
    context_.metrics->ObserveTokenGap(spec_.traffic_class, now - last_byte_);
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
  bool events = FindHeader(headers_, "content-type").rfind("text/event-stream", 0) == 0;
  if (events && status_ == 200) {
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
      if (server_) {
        CheckServerLost(result);
      } else {
        OnAttemptFailed(result, ebonylift::Run::kMayHaveRun);
      }
      return;
  }
}

void Exchange::OnComplete() {
  CallResult broken{CallOutcome::kFailed, status_, "the stream ended without its end marker", true};
  bool events = FindHeader(headers_, "content-type").rfind("text/event-stream", 0) == 0;
  if (events && status_ == 200) {
    if (stream_.done() || stream_.error()) {
      Deliver();
    } else if (server_) {
      CheckServerLost(broken);
    } else {
      OnAttemptFailed(broken, ebonylift::Run::kMayHaveRun);
    }
    return;
  }
  if (forwarding_ && status_ >= 400) {
    std::optional<ErrorKind> kind = PeerErrorKind(answer_);
    if (kind && !to_owner_ && AnotherHostMayAccept(*kind)) {
      OnAttemptFailed(CallResult{CallOutcome::kComplete, status_, LookupError(*kind).code, true},
                      LookupError(*kind).run);
    } else if (kind) {
      RelayPeerError();
    } else {
      Deliver();
    }
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

// ---- failures
// ------------------------------------------------------------------------------------

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
                                     {"run", RunName(run)}});
  if (streaming_) {
    if (TryResume()) return;
    OnFailure(attempts_, attempt_, run);
    EndAttempt(ServerOutcome::kFailed);
    RefuseOutcome();
    return;
  }
  OnFailure(attempts_, attempt_, run);
  if (server_) avoid_servers_.push_back(*server_);
  EndAttempt(ServerOutcome::kFailed);
  RetryOrRefuse(run);
}

// Continues a broken stream on the same server and attempt at the exact offset.
bool Exchange::TryResume() {
  if (!server_ || !server_resumes_ || SteadyNow() >= spec_.deadline) return false;
  if (static_cast<int>(attempts_.attempts.size()) > kMaxResumes) return false;
  const BackendServer* server = FindServer(*server_);
  const Attempt* attempt = FindAttempt(attempts_, attempt_);
  bool same = server != nullptr && attempt != nullptr &&
              server->announced.incarnation == attempt->incarnation;
  if (!same || resumed_) return false;
  resumed_ = true;
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
  RetryRule rule;
  rule.idempotent = spec_.idempotent;
  rule.attempts = static_cast<int>(attempts_.attempts.size());
  RetryVerdict verdict =
      context_.dispatcher->MayRetry(spec_.team, rule, run, spec_.deadline - kTimeoutRounding, now);
  if (verdict != RetryVerdict::kRetry) {
    RefuseOutcome();
    return;
  }
  context_.metrics->CountRetry(spec_.traffic_class);
  LogEvent(EventId::kAttemptRetried,
           {{"request_id", spec_.id.value()}, {"attempt", std::to_string(rule.attempts + 1)}});
  answer_.clear();
  status_ = 0;
  headers_.clear();
  stream_ = StreamTracker();
  RunLater(RetryDelay(rule.attempts + 1), &Exchange::Place);
}

void Exchange::RunLater(Duration delay, void (Exchange::*step)()) {
  timer_.expires_after(delay);
  ExchangeTable* table = context_.table;
  timer_.async_wait([table, step, id = id_](const asio::error_code& error) {
    if (error) return;
    if (Exchange* exchange = table->Find(id)) (exchange->*step)();
  });
}

// ---- ends
// ----------------------------------------------------------------------------------------

HttpHeaders Exchange::AnswerHeaders() const {
  HttpHeaders headers = EndToEndHeaders(headers_);
  headers.emplace_back(kRequestIdHeader, spec_.id.value());
  // A peer has added the caller's id already.
  if (!spec_.caller_request_id.empty()) {
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
  }
  if (key_expires_at_ != 0) SetHeader(&headers, kKeyExpiresHeader, MillisUntil(key_expires_at_));
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
  ErrorKind kind = *PeerErrorKind(answer_);
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
            {"server", server},
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
  LogEvent(EventId::kRequestRefused, {{"request_id", spec_.id.value()},
                                      {"kind", LookupError(kind).code},
                                      {"run", RunName(LookupError(kind).run)}});
  context_.metrics->CountRefusal(kind);
  if (responder_) {
    ErrorAnswer answer{kind, message, retry_after, spec_.id};
    if (streaming_) {
      responder_->Write(ErrorAnswerEvent(answer));
      responder_->End();
    } else {
      SendErrorAnswer(responder_.get(), answer);
    }
  }
  Finish();
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
    context_.dispatcher->EndLocal(*server_, spec_.content, dispatched_at_, outcome, now);
  }
  if (forward_domain_) context_.dispatcher->EndForward(*forward_domain_, dispatched_at_, now);
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
