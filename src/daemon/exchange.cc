#include "daemon/exchange.h"

#include <algorithm>
#include <asio/post.hpp>
#include <functional>

#include "base/event.h"
#include "base/hash.h"
#include "core/ingress.h"
#include "daemon/ingress_request.h"

namespace ebonylift {
namespace {

// A caller may take up a stream before the holders of its origin were told; see
// kOriginSendInterval.
constexpr int kMaxOriginSearches = 2;
constexpr Duration kOriginSearchInterval = milliseconds(100);
// While holders do not answer, because this host has just started or they have just ended, the
// search goes on for this long.
constexpr Duration kMaxOriginSearchTime = milliseconds(1500);
constexpr Duration kLimitWaitInterval = milliseconds(20);

}  // namespace

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
  if (found == exchanges_.end() || found->second->finished()) return nullptr;
  return found->second.get();
}

void ExchangeTable::EndForShutdown() {
  // Those in the queue first, so that they do not get the places of the others. Exchanges that end
  // are erased later.
  for (bool sent : {false, true}) {
    for (auto& [id, exchange] : exchanges_) {
      if (exchange->is_sent() == sent) exchange->EndForShutdown();
    }
  }
}

bool ExchangeTable::OnReceived(size_t bytes) {
  received_since_check_ += bytes;
  if (received_since_check_ < kBufferCheckBytes) return false;
  received_since_check_ = 0;
  return true;
}

void ExchangeTable::LimitBufferedBytes() {
  while (true) {
    size_t total = 0;
    size_t largest_bytes = 0;
    Exchange* largest = nullptr;
    for (auto& [id, exchange] : exchanges_) {
      size_t bytes = exchange->BufferedBytes();
      total += bytes;
      if (bytes <= largest_bytes) continue;
      largest_bytes = bytes;
      largest = exchange.get();
    }
    if (total <= kMaxBufferedBytes) return;
    largest->EndLargestResponse();
  }
}

void ExchangeTable::Erase(uint64_t id) {
  exchanges_.erase(id);
  size_ = exchanges_.size();
}

Exchange::Exchange(uint64_t id, const ExchangeContext& context, RequestSpec spec,
                   std::shared_ptr<HttpResponder> responder)
    : id_(id),
      context_(context),
      spec_(std::move(spec)),
      relay_(std::move(responder), spec_.dialect),
      claim_(context.records, RecordKey{spec_.team, spec_.idempotency_key}),
      hedge_timer_(*context.io),
      timer_(*context.io),
      liveness_timer_(*context.io) {
  attempts_.id = spec_.id;
}

Exchange::~Exchange() = default;

void Exchange::Start() {
  // With a dialect, the kRequestAnswered or kRequestRefused line identifies the request, so this
  // one is not needed.
  if (spec_.dialect == nullptr) {
    LogEvent(EventId::kRequestReceived, {{"request_id", spec_.id.value()},
                                         {"team", spec_.team.value()},
                                         {"route", spec_.route->id.value()},
                                         {"class", TrafficClassName(spec_.traffic_class)},
                                         {"hops", std::to_string(spec_.hops)}});
  }
  ExchangeTable* table = context_.table;
  relay_.OnCallerClosed([table, id = id_] {
    if (Exchange* exchange = table->Find(id)) exchange->OnCallerDisconnected();
  });
  if (spec_.workspace != nullptr && !spec_.forwarded)
    context_.metrics->CountWorkspaceRequest(spec_.workspace->id);
  if (EndIfCallerLeft() || RefuseIfCondemned()) return;
  if (!MayTakeRequest(*context_.drain, spec_.deadline, SteadyNow())) {
    Refuse(ErrorKind::kDraining, "");
    return;
  }
  if (MustShed(*context_.load_shedding,
               {spec_.traffic_class == TrafficClass::kInteractive, spec_.forwarded})) {
    Refuse(ErrorKind::kOverloaded, "this host is short of processor time");
    return;
  }
  // A team's limits are applied only once, by the host that received the request from the caller.
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
    context_.dispatcher->CountRequest(RetryBudgetKey(), team.limits.retry_percent);
    HedgingConfig hedging = HedgeLimits();
    if (IsHedgingOn(hedging)) context_.dispatcher->OnOwnRequest(hedging, spec_.prompt_tokens);
    // Forwarded requests were counted by the host that the caller is connected to.
    if (spec_.workspace != nullptr && spec_.workspace->limit.per_s > 0) {
      AdmitToLimit(/*first=*/true);
      return;
    }
  }
  StartStages();
}

// Charges the request to the limit of its workspace, or refuses it. A request waits if a share of
// the limit is on its way.
void Exchange::AdmitToLimit(bool first) {
  if (EndIfCallerLeft()) return;
  const WorkspaceConfig& workspace = *spec_.workspace;
  double cost = LimitCost(workspace.limit, spec_.dialect_request.prompt_tokens,
                          spec_.dialect_request.max_output_tokens);
  waiting_charge_.reset();
  LimitVerdict verdict =
      context_.dispatcher->AdmitToLimit(workspace, cost, spec_.arrived, first, SteadyNow());
  switch (verdict.decision) {
    case LimitDecision::kWait:
      waiting_charge_ = LimitCharge{workspace.id, cost};
      RunAfter(kLimitWaitInterval, [](Exchange* current) { current->AdmitToLimit(false); });
      return;
    case LimitDecision::kRefused:
      Refuse(ErrorKind::kRateLimited, "the workspace exceeded its limit", verdict.retry_after);
      return;
    case LimitDecision::kAdmitted:
      limit_charge_ = LimitCharge{workspace.id, cost};
      StartStages();
      return;
  }
}

void Exchange::StartStages() {
  if (NeedsKeyClaim()) {
    ClaimKey();
  } else if (TakesUpStream()) {
    FindOrigin();
  } else {
    Place();
  }
}

// Whether the caller has a part of the stream, from an earlier request.
bool Exchange::TakesUpStream() const {
  return spec_.dialect != nullptr && !spec_.forwarded && spec_.route->resumable &&
         !(spec_.dialect_request.resumes.empty() && spec_.dialect_request.resume_after.empty());
}

// Finds out which servers may continue the stream that the caller takes up.
void Exchange::FindOrigin() {
  const std::string& resumes = spec_.dialect_request.resumes;
  if (resumes.empty()) {
    ConfirmOnlyOrigin();
    return;
  }
  uint64_t stream = StreamKey(resumes);
  std::optional<StreamOrigin> known = context_.stream_origins->Find(stream, SteadyNow());
  if (known) {
    TakeUpStream(known);
    return;
  }
  ++origin_searches_;
  ExchangeTable* table = context_.table;
  asio::io_context* io = context_.io;
  std::shared_ptr<const RoutingView> view = context_.control->View();
  context_.control->FindStream(HoldersToAsk(view->hosts, view->self, stream), stream,
                               [=, id = id_](const StreamSearch& search) {
                                 asio::post(*io, [=] {
                                   if (Exchange* exchange = table->Find(id))
                                     exchange->OnStreamSearched(search);
                                 });
                               });
}

// The caller does not name its stream, so that it may go on only if all hosts know the same single
// version.
void Exchange::ConfirmOnlyOrigin() {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  std::optional<StreamOrigin> origin =
      context_.stream_origins->FindOnly(*view, *spec_.route, SteadyNow());
  if (!origin) {
    TakeUpStream(std::nullopt);
    return;
  }
  ExchangeTable* table = context_.table;
  asio::io_context* io = context_.io;
  context_.control->FindVersions(
      HoldersToAsk(view->hosts, view->self, StreamKey(spec_.id.value())), ServedName(*spec_.route),
      [=, id = id_](const VersionSearch& search) {
        bool confirmed = IsConfirmed(*origin, view->hosts, view->self, search);
        asio::post(*io, [=] {
          Exchange* exchange = table->Find(id);
          if (exchange != nullptr)
            exchange->TakeUpStream(confirmed ? origin : std::optional<StreamOrigin>());
        });
      });
}

void Exchange::OnStreamSearched(const StreamSearch& search) {
  Time now = SteadyNow();
  bool on_its_way = origin_searches_ < kMaxOriginSearches;
  bool holders_missing = !search.all_answered && now - spec_.arrived < kMaxOriginSearchTime;
  bool again = !search.origin && (on_its_way || holders_missing) && now < spec_.deadline;
  if (again) {
    RunAfter(kOriginSearchInterval, std::mem_fn(&Exchange::FindOrigin));
    return;
  }
  TakeUpStream(search.origin);
}

// Places the rest of a stream at servers that may continue it.
void Exchange::TakeUpStream(const std::optional<StreamOrigin>& origin) {
  LogEvent(EventId::kStreamTakenUp,
           {{"request_id", spec_.id.value()},
            {"caller_request_id", spec_.caller_request_id},
            {"resumes", spec_.dialect_request.resumes},
            {"offset", spec_.dialect_request.resume_after},
            {"software", origin ? origin->software_version : ""},
            {"ms", std::to_string(ToMillis(SteadyNow() - spec_.arrived))}});
  if (!origin) {
    Refuse(ErrorKind::kStreamUnknown, "");
    return;
  }
  spec_.software_version = origin->software_version;
  spec_.stream_service = origin->service;
  Place();
}

// With a dialect, each service of a team has its own retry budget. With the gateway's own
// interface, a team has one budget for all its requests.
TeamId Exchange::RetryBudgetKey() const {
  if (spec_.dialect == nullptr) return spec_.team;
  return TeamId(spec_.team.value() + "/" + spec_.route->service);
}

bool Exchange::NeedsKeyClaim() const {
  return !spec_.idempotent && !spec_.idempotency_key.empty() && !spec_.claimed;
}

void Exchange::ClaimKey() {
  const auto& regions = spec_.view->config->regions;
  auto home = regions.find(spec_.route->home);
  RecordKey key{spec_.team, spec_.idempotency_key};
  HostId owner;
  if (home != regions.end()) owner = SelectOwner(key, home->second.record_hosts);
  if (owner.empty()) {
    Refuse(ErrorKind::kOwnerUnreachable,
           "home region " + spec_.route->home.value() + " has no record host");
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
  records->Claim(key, body_hash,
                 [=, id = id_](const ClaimResult& result, std::optional<ErrorKind> error) {
                   asio::post(*io, [=] {
                     if (Exchange* exchange = table->Find(id)) {
                       exchange->OnClaim(result, error);
                     } else if (result.kind == ClaimKind::kNew && !error) {
                       // The caller disconnected while the claim was being written. Nothing was
                       // dispatched.
                       records->Release(key, result.claim_id, false);
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
    claim_.TakeOver(result);
    LogEvent(EventId::kRecordClaimed,
             {{"request_id", spec_.id.value()}, {"team", spec_.team.value()}});
    Place();
    return;
  }
  if (result.kind == ClaimKind::kCompleted && result.answer) {
    LogEvent(EventId::kRecordReplayed,
             {{"request_id", spec_.id.value()}, {"team", spec_.team.value()}});
    HttpHeaders headers = result.answer->headers;
    // These headers belong to the current request, so their stored values are replaced.
    SetHeader(&headers, kRequestIdHeader, spec_.id.value());
    SetHeader(&headers, kCallerIdHeader, spec_.caller_request_id);
    SetHeader(&headers, kReplayedHeader, "true");
    SetHeader(&headers, kKeyExpiresHeader, MillisUntilText(result.expires_at));
    relay_.Send(result.answer->status, headers, result.answer->body);
    Finish();
    return;
  }
  ErrorKind kind = ClaimError(result.kind);
  LogEvent(EventId::kRecordRefused,
           {{"request_id", spec_.id.value()}, {"kind", LookupError(kind).code}});
  Refuse(kind, "");
}

void Exchange::ForwardToOwner(const HostId& owner) {
  const HostEntry* host = FindHost(*spec_.view, owner);
  // A host that is only suspected to have failed is still tried. Only the owner's claim guarantees
  // that the work runs at most once, so the failure detector doesn't decide this.
  if (host == nullptr || host->status == HostStatus::kFailed) {
    Refuse(ErrorKind::kOwnerUnreachable, "");
    return;
  }
  bool crosses_region = host->region != spec_.view->self.region;
  bool allowed = std::find(spec_.allowed_regions.begin(), spec_.allowed_regions.end(),
                           host->region) != spec_.allowed_regions.end();
  if (!allowed) {
    Refuse(ErrorKind::kResidencyRefused, "");
    return;
  }
  if (spec_.hops >= kMaxHops || (crosses_region && spec_.crossed_region)) {
    Refuse(ErrorKind::kHopLimit, "");
    return;
  }
  to_key_owner_ = true;
  DispatchToHost(*host, crosses_region, host->domain);
}

// Returns the epoch when the route has no first-byte target or the response has started.
Time Exchange::FirstByteDeadline() const {
  if (spec_.route->first_byte_target <= Duration(0) || relay_.begun()) return Time();
  return spec_.arrived + spec_.route->first_byte_target;
}

// The events that the answer is expected to have. The caller's estimate may exceed the limit that
// it set itself.
double Exchange::ExpectedEvents() const {
  int64_t most = spec_.dialect_request.max_output_tokens;
  int64_t expected = spec_.dialect_request.expected_output_tokens;
  if (expected <= 0 || (most > 0 && expected > most)) expected = most;
  return static_cast<double>(std::max<int64_t>(expected, 0)) / kTokensPerEvent;
}

RouteQuery Exchange::MakeRouteQuery() const {
  RouteQuery query;
  query.team = spec_.team;
  query.route = spec_.route;
  query.traffic_class = spec_.traffic_class;
  query.rank = RankOf(spec_);
  query.yields_to_urgent = HasWorkspaces(*spec_.view->config);
  query.allowed_regions = spec_.allowed_regions;
  query.prompt_tokens = spec_.prompt_tokens;
  query.prefix_hashes = spec_.prefix_hashes;
  query.prefix_tokens = spec_.prefix_tokens;
  query.expected_events = ExpectedEvents();
  query.content_hash = spec_.content.content;
  query.content_parts = spec_.content.parts;
  query.hops = spec_.hops;
  query.crossed_region = spec_.crossed_region;
  query.deadline = spec_.deadline;
  query.first_byte_deadline = FirstByteDeadline();
  query.avoid_servers = failed_servers_;
  query.avoid_hosts = tried_hosts_;
  query.connect_failures = connect_failures_;
  query.software_version = spec_.software_version;
  query.suspect = context_.dispatcher->MustRunAlone(spec_.content.content, SteadyNow());
  return query;
}

// A request may be condemned while it waits for a place, or between two attempts.
bool Exchange::RefuseIfCondemned() {
  Time now = SteadyNow();
  std::optional<Duration> refused_for = context_.dispatcher->RefusedFor(spec_.content, now);
  if (!refused_for) return false;
  Refuse(ErrorKind::kPoison, "", *refused_for);
  return true;
}

void Exchange::Place() {
  if (RefuseIfCondemned()) return;
  Time now = SteadyNow();
  if (now >= spec_.deadline) {
    RefuseWithOutcomeKind();
    return;
  }
  if (std::optional<Error> error = RefreshView()) {
    Refuse(error->kind(), error->what());
    return;
  }
  HandlePlacement(context_.dispatcher->Place(MakeRouteQuery(), *spec_.view, now));
}

// Switches to the newest routing view, because the configured rules may have become stricter since
// the request arrived. Returns an error when the route no longer exists or the key of the caller
// was withdrawn.
std::optional<Error> Exchange::RefreshView() {
  auto removed = [] { return Error(ErrorKind::kUnknownModel, "the route was removed"); };
  std::shared_ptr<const RoutingView> view = context_.control->View();
  if (spec_.dialect != nullptr) {
    try {
      if (!ResolveIngressRoute(&spec_, std::move(view), SteadyNow())) return removed();
      return std::nullopt;
    } catch (const Error& error) {
      return error;
    }
  }
  auto team = view->config->teams.find(spec_.team);
  if (team == view->config->teams.end()) return removed();
  auto route = team->second.routes.find(spec_.route->id);
  if (route == team->second.routes.end()) return removed();
  spec_.route = &route->second;
  spec_.allowed_regions = AllowedRegions(*view->config, *spec_.route);
  spec_.view = std::move(view);
  return std::nullopt;
}

void Exchange::HandlePlacement(const Choice& choice) {
  // A late thread reads the end of the caller's connection only after what it reads before it.
  if (EndIfCallerLeft()) {
    context_.dispatcher->CancelPlacement(choice, spec_.content.content, SteadyNow());
    return;
  }
  switch (choice.kind) {
    case ChoiceKind::kLocal:
      DispatchToServer(choice);
      return;
    case ChoiceKind::kForward: {
      const HostEntry* host = FindHost(*spec_.view, choice.host);
      if (host == nullptr) {
        context_.dispatcher->CancelPlacement(choice, spec_.content.content, SteadyNow());
        Refuse(ErrorKind::kRegionUnreachable, "");
        return;
      }
      DispatchToHost(*host, choice.crosses_region, choice.domain);
      return;
    }
    case ChoiceKind::kQueue:
      EnqueueRequest(choice.hold_until);
      return;
    case ChoiceKind::kRefuse:
      // The error must also be true of the attempts made before.
      if (RequestRun(attempts_) != ebonylift::Run::kNotRun) {
        RefuseWithOutcomeKind();
      } else {
        Refuse(choice.error, "", choice.retry_after);
      }
      return;
  }
}

// `hold_until` is that of the choice.
void Exchange::EnqueueRequest(Time hold_until) {
  QueuedRequest request;
  request.id = context_.dispatcher->NewQueueId();
  request.team = spec_.team;
  request.traffic_class = spec_.traffic_class;
  request.served = ServedName(*spec_.route);
  request.bytes = spec_.body.size();
  request.deadline = spec_.deadline;
  if (FirstByteDeadline() != Time()) {
    Time full_until = SteadyNow() + spec_.route->first_byte_target / kQueueHoldDivisor;
    request.deadline = std::min(request.deadline, std::max(full_until, hold_until));
  }
  ExchangeTable* table = context_.table;
  asio::io_context* io = context_.io;
  Dispatcher* dispatcher = context_.dispatcher;
  uint64_t content = spec_.content.content;
  auto on_ready = [=, id = id_](const Choice& choice) {
    asio::post(*io, [=] {
      if (Exchange* exchange = table->Find(id)) {
        exchange->OnQueueResult(choice);
        return;
      }
      // The exchange ended after its placement was decided and before this callback ran.
      dispatcher->CancelPlacement(choice, content, SteadyNow());
    });
  };
  QueueId queue_id = request.id;
  std::optional<Refusal> refusal =
      dispatcher->Enqueue(std::move(request), MakeRouteQuery(), on_ready, SteadyNow());
  if (refusal) {
    if (RequestRun(attempts_) != ebonylift::Run::kNotRun) {
      RefuseWithOutcomeKind();
    } else {
      Refuse(refusal->error, "", refusal->retry_after);
    }
    return;
  }
  queue_id_ = queue_id;
}

void Exchange::OnQueueResult(const Choice& choice) {
  queue_id_.reset();
  std::optional<Error> error = RefreshView();
  if (error) Refuse(error->kind(), error->what());
  if (error || RefuseIfCondemned()) {
    context_.dispatcher->CancelPlacement(choice, spec_.content.content, SteadyNow());
    return;
  }
  HandlePlacement(choice);
}

}  // namespace ebonylift
