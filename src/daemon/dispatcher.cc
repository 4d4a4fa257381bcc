#include "daemon/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "base/event.h"
#include "base/hash.h"
#include "core/request_rate.h"

namespace ebonylift {
namespace {

// Returns the number of live entry hosts in this host's region, including this host.
int CountLiveEntryHosts(const RoutingView& view) {
  int live = 0;
  for (const HostEntry& host : view.hosts) {
    bool usable = host.status == HostStatus::kAlive || host.id == view.self.host;
    if (usable && host.region == view.self.region) ++live;
  }
  return std::max(live, 1);
}

const char* KindName(bool is_part) { return is_part ? "prompt_part" : "request"; }

Choice RefusedChoice(ErrorKind kind) {
  Choice choice;
  choice.kind = ChoiceKind::kRefuse;
  choice.error = kind;
  return choice;
}

// The number of hosts that take requests of callers, also of those that cannot be reached now: they
// may use their reserve.
uint32_t HostsThatShareLimits(const RoutingView& view) {
  auto takes_requests = [](const HostEntry& host) { return !host.caller_address.empty(); };
  auto count = std::count_if(view.hosts.begin(), view.hosts.end(), takes_requests);
  return static_cast<uint32_t>(count > 0 ? count : std::max<int64_t>(1, view.hosts.size()));
}

}  // namespace

Dispatcher::Dispatcher(ControlPort* control, RoutingPolicy policy,
                       SuspectPlacement suspect_placement, uint64_t seed)
    : control_(control), suspect_placement_(suspect_placement), rng_(seed) {
  routing_state_.policy = policy;
}

std::optional<Refusal> Dispatcher::Admit(const TeamId& team, const RoutingView& view, Time now) {
  auto found = view.config->teams.find(team);
  if (found == view.config->teams.end()) return Refusal{ErrorKind::kForbidden, Duration{0}};
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::Admit(admission_, team, found->second.limits, CountLiveEntryHosts(view), now);
}

void Dispatcher::Release(const TeamId& team) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::Release(admission_, team);
}

void Dispatcher::RecordPlacement(const Choice& choice, const RouteQuery& query, Time now) {
  if (choice.kind == ChoiceKind::kLocal) {
    OnDispatch(routing_state_, query, choice, now);
    if (paths_.cut_off) OnPathTrial(paths_, now);
    RunningRequest running;
    running.content = {query.content_hash, KnownLosses(poison_, query.content_hash, now)};
    for (uint64_t part : query.content_parts) {
      running.parts.push_back({part, KnownLosses(part_poison_, part, now)});
    }
    running_[choice.server].push_back(std::move(running));
  } else if (choice.kind == ChoiceKind::kForward) {
    OnForward(routing_state_, choice.domain, now);
  }
}

Choice Dispatcher::Place(RouteQuery query, const RoutingView& view, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  StartLearning(routing_state_, view, now);
  routing_state_.queued_ahead = QueuedAhead(admission_, query.traffic_class);
  query.relay = MustRelay(query, now);
  OnRequest(routing_state_, query, now);
  Choice choice = Choose(query, view, routing_state_, now, rng_);
  RecordPlacement(choice, query, now);
  return choice;
}

QueueId Dispatcher::NewQueueId() { return QueueId(std::to_string(++last_queue_id_)); }

std::optional<Refusal> Dispatcher::Enqueue(QueuedRequest request, RouteQuery query,
                                           PlacementCallback on_ready, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  OnRequestQueued(hedging_, now);
  QueueId id = request.id;
  std::optional<Refusal> refusal = ebonylift::Enqueue(admission_, std::move(request), now);
  if (refusal) {
    if (refusal->error == ErrorKind::kOverloaded) SetRetryAfter(query, now, &refusal->retry_after);
    return refusal;
  }
  waiting_[id] =
      WaitingRequest{std::move(query), view_ ? view_->config : nullptr, std::move(on_ready)};
  return std::nullopt;
}

void Dispatcher::SetRetryAfter(const RouteQuery& query, Time now, Duration* retry_after) {
  if (query.first_byte_deadline == Time() || !view_) return;
  *retry_after = RetryAfter(query, *view_, routing_state_, now, rng_);
}

// A request with a first-byte target waits in the queue for only a fraction of that target, and one
// whose servers are unknown only while this host learns of them, so both can expire before their
// deadline.
Choice Dispatcher::RefusalOfExpired(const RouteQuery& query, Time now) {
  if (now >= query.deadline) return RefusedChoice(ErrorKind::kDeadlineNotRun);
  if (view_) {
    Choice choice = Choose(query, *view_, routing_state_, now, rng_);
    if (choice.kind == ChoiceKind::kRefuse) return choice;
  }
  Choice refused = RefusedChoice(ErrorKind::kOverloaded);
  SetRetryAfter(query, now, &refused.retry_after);
  return refused;
}

bool Dispatcher::Remove(const QueueId& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!ebonylift::Remove(admission_, id)) return false;
  waiting_.erase(id);
  return true;
}

void Dispatcher::PlaceQueued(Time now, ReadyCallbacks* ready_callbacks) {
  if (!view_) return;
  Choice choice;
  // Dequeue() offers requests in the order in which they are served. The number offered so far is
  // the number queued ahead of the next one.
  size_t offered = 0;
  auto can_run = [&](const QueuedRequest& request) {
    routing_state_.queued_ahead = offered++;
    RouteQuery& query = waiting_.at(request.id).query;
    // Lets a chapter use the reserved slots when its turn comes. Otherwise chapters would never run
    // while interactive requests fill those slots.
    query.may_use_reserved_slots = IsChapterTurn(admission_);
    query.relay = MustRelay(query, now);
    choice = Choose(query, *view_, routing_state_, now, rng_);
    return choice.kind != ChoiceKind::kQueue;
  };
  while (std::optional<QueuedRequest> request = Dequeue(admission_, now, can_run)) {
    auto entry = waiting_.find(request->id);
    RecordPlacement(choice, entry->second.query, now);
    ready_callbacks->emplace_back(std::move(entry->second.on_ready), choice);
    waiting_.erase(entry);
    offered = 0;
  }
}

void Dispatcher::RunCallbacks(ReadyCallbacks ready_callbacks) {
  for (auto& [on_ready, choice] : ready_callbacks) on_ready(choice);
}

void Dispatcher::CancelPlacement(const Choice& choice, uint64_t content, Time now) {
  if (choice.kind == ChoiceKind::kLocal) {
    EndLocal(choice.server, content, now, ServerOutcome::kCancelled, now, choice.prefill_tokens);
  } else if (choice.kind == ChoiceKind::kForward) {
    EndForward(choice.domain, now, ForwardOutcome::kAnswered, now);
  }
}

void Dispatcher::OnFirstByte(const std::string& served, const Choice& choice, Time dispatched_at,
                             Time now) {
  bool path_is_back = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ebonylift::OnFirstByte(routing_state_, served, choice, dispatched_at, now);
    path_is_back = OnServerByte(paths_, now);
  }
  if (path_is_back) LogEvent(EventId::kServersReached, {{"server", choice.server.value()}});
}

void Dispatcher::OnNoFirstByte(const std::string& served, const Choice& choice, Time dispatched_at,
                               Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::OnNoFirstByte(routing_state_, served, choice, dispatched_at, now);
}

void Dispatcher::OnEventGap(const std::string& served, const Choice& choice, Duration gap,
                            Time now) {
  std::optional<double> speed;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!view_) return;
    speed = ebonylift::OnEventGap(routing_state_, *view_, served, choice.server, choice.incarnation,
                                  gap, now);
  }
  if (!speed) return;
  LogEvent(EventId::kServerSpeedChanged,
           {{"server", choice.server.value()},
            {"speed_percent", std::to_string(std::lround(100 * *speed))}});
}

void Dispatcher::RecordSilence(const ServerId& server, Time since, Time now) {
  size_t failed = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!view_) return;
    if (!OnServerSilent(paths_, server, view_->servers.size(), since, now)) return;
    failed = paths_.failures.size();
  }
  LogEvent(EventId::kServersUnreachable,
           {{"server", server.value()}, {"failed", std::to_string(failed)}});
}

bool Dispatcher::IsCutOff() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return paths_.cut_off;
}

bool Dispatcher::TakeConnectionCheck(const ServerId& server, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::TakeConnectionCheck(paths_, server, now);
}

void Dispatcher::RecordConnection(const ServerId& server, bool connected, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  OnPathConnection(paths_, server, connected, now);
}

bool Dispatcher::CannotConnect(const ServerId& server, Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return paths_.cut_off && ebonylift::CannotConnect(paths_, server, now);
}

// Precondition: the caller holds the mutex.
const RoutingView& Dispatcher::ViewOrEmpty() const {
  static const RoutingView kEmptyView;
  return view_ ? *view_ : kEmptyView;
}

// Precondition: the caller holds the mutex.
bool Dispatcher::MustRelay(const RouteQuery& query, Time now) const {
  // A request that another host handed on would only pass between hosts that see the same.
  if (query.hops > 0) return false;
  if (query.connect_failures >= kConnectFailuresToRelay) return true;
  if (!paths_.cut_off) return false;
  // A request that may run twice shows whether the path is back.
  bool may_try = query.route->idempotent && query.avoid_servers.empty();
  return !may_try || !MayTryPath(paths_, now);
}

void Dispatcher::OnServerNotice(const ServerId& server, uint64_t incarnation,
                                const ServerNotice& notice, bool attributable, Time dispatched_at,
                                Time now) {
  bool limit_changed = false;
  NoticeChange change;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (attributable) {
      limit_changed =
          OnRequestLimit(routing_state_, server, incarnation, notice.requests_per_s, now);
    }
    AnswerContext answer{dispatched_at, attributable, /*rank=*/0};
    const BackendServer* known = FindServer(ViewOrEmpty(), server);
    if (known != nullptr && notice.turned_away) answer.rank = RankSender(*view_, *known).rank;
    change = ebonylift::OnServerNotice(routing_state_, ViewOrEmpty(), server, incarnation, notice,
                                       answer, now);
  }
  if (change.brittle || change.full || change.has_room) {
    RoomState room = change.full       ? RoomState::kFull
                     : change.has_room ? RoomState::kHasRoom
                                       : RoomState::kUnknown;
    control_->ReportRoom({server, incarnation, notice.max_rejections_per_s, room});
  }
  if (limit_changed) {
    const std::optional<double>& limit = notice.requests_per_s;
    LogEvent(
        EventId::kServerLimitChanged,
        {{"server", server.value()}, {"requests_per_s", limit ? std::to_string(*limit) : "none"}});
  }
  if (change.leaving) {
    LogEvent(EventId::kServerLeaving, {{"server", server.value()}, {"source", "answer"}});
  }
  if (change.brittle) {
    const std::optional<double>& limit = notice.max_rejections_per_s;
    LogEvent(EventId::kServerBrittle,
             {{"server", server.value()},
              {"rejections_per_s", limit ? std::to_string(*limit) : "none"}});
  }
  if (change.full || change.has_room) {
    LogEvent(change.full ? EventId::kBrittleServerFull : EventId::kBrittleServerHasRoom,
             {{"server", server.value()}});
  }
  if (change.pause) {
    LogEvent(EventId::kServerPaused,
             {{"server", server.value()}, {"ms", std::to_string(ToMillis(notice.pause))}});
  }
}

void Dispatcher::OnRemoteRoomReport(const RoomReport& report, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  OnRoomReport(routing_state_, ViewOrEmpty(), report, now);
}

std::vector<RoomReport> Dispatcher::KnownRoomReports(Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::KnownRoomReports(routing_state_, now);
}

std::vector<ServerWork> Dispatcher::WorkInFlight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::WorkInFlight(routing_state_, SteadyNow());
}

void Dispatcher::EndLocal(const ServerId& server, uint64_t content, Time dispatched_at,
                          ServerOutcome outcome, Time now, int64_t prefill_tokens) {
  ReadyCallbacks ready_callbacks;
  bool ejected = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ejected = OnServerOutcome(routing_state_, ViewOrEmpty(), server, dispatched_at, outcome, now,
                              prefill_tokens);
    std::vector<RunningRequest>& requests = running_[server];
    auto found = std::find_if(
        requests.begin(), requests.end(),
        [content](const RunningRequest& running) { return running.content.content == content; });
    if (found != requests.end()) requests.erase(found);
    if (requests.empty()) running_.erase(server);
    PlaceQueued(now, &ready_callbacks);
  }
  if (ejected) LogEvent(EventId::kServerEjected, {{"server", server.value()}});
  RunCallbacks(std::move(ready_callbacks));
}

void Dispatcher::EndForward(const DomainId& domain, Time dispatched_at, ForwardOutcome outcome,
                            Time now) {
  ReadyCallbacks ready_callbacks;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    OnForwardOutcome(routing_state_, domain, dispatched_at, outcome, now);
    PlaceQueued(now, &ready_callbacks);
  }
  RunCallbacks(std::move(ready_callbacks));
}

LossEvidence Dispatcher::CollectLossEvidence(const ServerId& server) const {
  std::lock_guard<std::mutex> lock(mutex_);
  LossEvidence evidence;
  evidence.server = server;
  auto running = running_.find(server);
  if (running != running_.end()) {
    for (const RunningRequest& request : running->second) {
      evidence.contents.push_back(request.content);
    }
    evidence.parts = UnprovenParts(running->second);
  }
  if (!view_) return evidence;
  for (const BackendServer& known : view_->servers) {
    if (known.announced.id != server) continue;
    evidence.alone = RanAlone(routing_state_, known);
    evidence.incarnation = known.announced.incarnation;
  }
  return evidence;
}

// Precondition: the caller holds the mutex.
std::vector<RunningContent> Dispatcher::UnprovenParts(
    const std::vector<RunningRequest>& requests) const {
  std::map<uint64_t, int> losses_known;
  for (const RunningRequest& request : requests) {
    for (const RunningContent& part : request.parts) {
      int& known = losses_known[part.content];
      known = std::max(known, part.losses_known);
    }
  }
  std::vector<RunningContent> parts;
  for (const auto& [part, known] : losses_known) {
    if (!IsProven(proven_parts_, part, SteadyNow())) parts.push_back({part, known});
  }
  return parts;
}

void Dispatcher::RecordServerLoss(const LossEvidence& evidence, Time now) {
  std::vector<LossFinding> findings;
  std::vector<LossFinding> part_findings;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    OnServerEnded(routing_state_, evidence.server, now);
    findings = OnServerLost(poison_, evidence.server, evidence.contents, evidence.alone, now,
                            evidence.incarnation);
    part_findings = OnServerLost(part_poison_, evidence.server, evidence.parts, /*alone=*/false,
                                 now, evidence.incarnation);
    SetServersAside();
  }
  std::vector<SuspectReport> reports;
  AddReports(findings, evidence, /*is_part=*/false, &reports);
  AddReports(part_findings, evidence, /*is_part=*/true, &reports);
  if (!reports.empty()) control_->ReportSuspects(std::move(reports));
}

void Dispatcher::AddReports(const std::vector<LossFinding>& findings, const LossEvidence& evidence,
                            bool is_part, std::vector<SuspectReport>* reports) {
  for (const LossFinding& finding : findings) {
    if (!finding.is_news) continue;
    HandleFinding(finding, is_part, evidence.server, "own");
    SuspectReport report;
    report.content = finding.content;
    report.server = evidence.server;
    report.alone = !is_part && evidence.alone;
    report.losses = finding.losses;
    report.is_part = is_part;
    reports->push_back(std::move(report));
  }
}

// Precondition: the caller holds the mutex.
void Dispatcher::SetServersAside() {
  if (suspect_placement_ == SuspectPlacement::kAlone)
    routing_state_.set_aside_until = SetAsideUntil(poison_);
}

void Dispatcher::HandleFinding(const LossFinding& finding, bool is_part, const ServerId& server,
                               const char* source, Duration age) {
  bool condemned = finding.verdict == PoisonVerdict::kCondemned;
  LogEvent(condemned ? EventId::kPoisonCondemned : EventId::kSuspectRecorded,
           {{"content", std::to_string(finding.content)},
            {"kind", KindName(is_part)},
            {"server", server.value()},
            {"losses", std::to_string(finding.losses)},
            {"source", source}});
  if (condemned && on_condemned_) on_condemned_({finding.content, finding.losses, age});
}

void Dispatcher::RestoreCondemned(const std::vector<KnownSuspect>& contents,
                                  CondemnedCallback on_condemned, RevokedCallback on_revoked) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const KnownSuspect& content : contents) {
    // The hashes of requests and of parts of prompts do not coincide.
    ebonylift::OnSuspectKnown(poison_, content, SteadyNow());
    ebonylift::OnSuspectKnown(part_poison_, content, SteadyNow());
  }
  on_condemned_ = std::move(on_condemned);
  on_revoked_ = std::move(on_revoked);
}

std::vector<SuspectReport> Dispatcher::KnownSuspects(Time now) const {
  std::vector<SuspectReport> reports;
  std::lock_guard<std::mutex> lock(mutex_);
  for (bool is_part : {false, true}) {
    const PoisonState& poison = is_part ? part_poison_ : poison_;
    for (const KnownSuspect& known : ebonylift::KnownSuspects(poison, kMaxSharedSuspects, now)) {
      SuspectReport report;
      report.content = known.content;
      report.losses = known.losses;
      report.age = known.age;
      report.is_part = is_part;
      reports.push_back(report);
    }
  }
  return reports;
}

void Dispatcher::OnSuspectKnown(const SuspectReport& report) {
  bool condemned = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (IsAnsweredHere(report, SteadyNow())) return;
    condemned = ebonylift::OnSuspectKnown(PoisonOf(report.is_part),
                                          {report.content, report.losses, report.age}, SteadyNow());
  }
  LossFinding finding{report.content, PoisonVerdict::kCondemned, report.losses, true};
  if (condemned) HandleFinding(finding, report.is_part, report.server, "peer", report.age);
}

// Precondition: the caller holds the mutex.
bool Dispatcher::IsAnsweredHere(const SuspectReport& report, Time now) const {
  return report.is_part && IsProven(proven_parts_, report.content, now);
}

// Precondition: the caller holds the mutex.
bool Dispatcher::RemovePart(uint64_t part) {
  bool was_suspect = OnDisproved(part_poison_, part);
  if (was_suspect && on_revoked_) on_revoked_(part);
  return was_suspect;
}

// Precondition: the caller holds the mutex.
void Dispatcher::ClearSuspicion(const SuspectReport& report) {
  if (report.is_part) {
    RemovePart(report.content);
  } else {
    ebonylift::OnCompleted(poison_, report.content);
  }
}

void Dispatcher::OnRemoteSuspect(const SuspectReport& report) {
  if (!report.cleared && report.server.empty()) {
    OnSuspectKnown(report);
    return;
  }
  LossFinding finding;
  bool was_condemned = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (report.cleared) {
      ClearSuspicion(report);
      return;
    }
    Time now = SteadyNow();
    if (IsAnsweredHere(report, now)) return;
    PoisonState& poison = PoisonOf(report.is_part);
    was_condemned = ebonylift::Verdict(poison, report.content, now) == PoisonVerdict::kCondemned;
    finding =
        OnLossReported(poison, report.server, report.content, report.alone, report.losses, now);
    SetServersAside();
  }
  bool condemned = finding.verdict == PoisonVerdict::kCondemned;
  if (condemned && !was_condemned) HandleFinding(finding, report.is_part, report.server, "peer");
}

void Dispatcher::OnCompleted(uint64_t content) {
  bool cleared = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    cleared = ebonylift::OnCompleted(poison_, content);
  }
  if (cleared) ReportCompletion(content, /*is_part=*/false);
}

void Dispatcher::OnPartsAnswered(const std::vector<uint64_t>& parts) {
  if (parts.empty()) return;
  std::vector<uint64_t> cleared;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (uint64_t part : parts) {
      MarkProven(proven_parts_, part, SteadyNow());
      if (RemovePart(part)) cleared.push_back(part);
    }
  }
  for (uint64_t part : cleared) ReportCompletion(part, /*is_part=*/true);
}

void Dispatcher::ReportCompletion(uint64_t content, bool is_part) {
  LogEvent(EventId::kSuspectCleared,
           {{"content", std::to_string(content)}, {"kind", KindName(is_part)}});
  SuspectReport report;
  report.content = content;
  report.cleared = true;
  report.is_part = is_part;
  control_->ReportSuspects({report});
}

PoisonVerdict Dispatcher::Verdict(uint64_t content, Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::Verdict(poison_, content, now);
}

std::optional<Duration> Dispatcher::RefusedFor(const RequestContent& content, Time now) const {
  std::optional<Duration> refused_for;
  std::lock_guard<std::mutex> lock(mutex_);
  auto check = [&](const PoisonState& poison, uint64_t hash) {
    if (ebonylift::Verdict(poison, hash, now) != PoisonVerdict::kCondemned) return;
    Duration left = TimeToExpiry(poison, hash, now);
    refused_for = std::max(left, refused_for.value_or(left));
  };
  check(poison_, content.content);
  for (uint64_t part : content.parts) check(part_poison_, part);
  return refused_for;
}

bool Dispatcher::MustRunAlone(uint64_t content, Time now) const {
  return suspect_placement_ == SuspectPlacement::kAlone &&
         Verdict(content, now) == PoisonVerdict::kSuspect;
}

void Dispatcher::CountRequest(const TeamId& team, int retry_percent) {
  std::lock_guard<std::mutex> lock(mutex_);
  DepositForRequest(FindOrCreateBudget(budgets_, team), retry_percent);
}

RetryDecision Dispatcher::MayRetry(const TeamId& team, const RetryState& retry_state, Run outcome,
                                   Time deadline, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::MayRetry(FindOrCreateBudget(budgets_, team), retry_state, outcome, deadline,
                             now);
}

void Dispatcher::OnOwnRequest(const HedgingConfig& limits, int64_t prompt_tokens) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::OnOwnRequest(hedging_, limits, prompt_tokens);
}

void Dispatcher::RecordFirstByteTime(const std::string& route, int64_t prompt_tokens, Duration time,
                                     Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::RecordFirstByteTime(hedging_, route, prompt_tokens, time, now);
}

std::optional<Duration> Dispatcher::HedgeDelay(const std::string& route, int64_t prompt_tokens,
                                               Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::HedgeDelay(hedging_, route, prompt_tokens, now);
}

void Dispatcher::OnTurnedAway(const std::string& served, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::OnTurnedAway(hedging_, served, now);
}

// Precondition: the caller holds the mutex.
bool Dispatcher::IsSuspect(const RouteQuery& query, Time now) const {
  auto suspected = [now](const PoisonState& poison, uint64_t content) {
    return ebonylift::Verdict(poison, content, now) != PoisonVerdict::kClear;
  };
  return suspected(poison_, query.content_hash) ||
         std::any_of(query.content_parts.begin(), query.content_parts.end(),
                     [&](uint64_t part) { return suspected(part_poison_, part); });
}

HedgePlacement Dispatcher::PlaceHedge(RouteQuery query, const RoutingView& view,
                                      const TeamId& budget, const RetryState& retry_state,
                                      Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::string& served = ServedName(*query.route);
  if (IsSuspect(query, now)) return {HedgeWithheld::kSuspect, {}};
  HedgeWithheld withheld =
      CheckHedge(hedging_, served, query.prompt_tokens, QueueLength(admission_), now);
  if (withheld != HedgeWithheld::kNone) return {withheld, {}};
  // While no path to the servers is known, a hedge would only be one more trial.
  if (paths_.cut_off) return {HedgeWithheld::kNoRoom, {}};
  routing_state_.queued_ahead = 0;
  query.max_utilization = kMaxHedgeUtilization;
  Choice choice = ChooseHedge(query, view, routing_state_, now, rng_);
  if (choice.kind != ChoiceKind::kLocal) return {HedgeWithheld::kNoRoom, {}};
  switch (ebonylift::MayRetry(FindOrCreateBudget(budgets_, budget), retry_state, Run::kMayHaveRun,
                              query.deadline, now)) {
    case RetryDecision::kRetry:
      break;
    case RetryDecision::kDeadlinePassed:
      return {HedgeWithheld::kDeadline, {}};
    case RetryDecision::kBudgetExhausted:
      return {HedgeWithheld::kRetryBudget, {}};
    case RetryDecision::kNotSafeToRetry:
    case RetryDecision::kAttemptsExhausted:
      return {HedgeWithheld::kAttempts, {}};
  }
  OnHedgeSent(hedging_, query.prompt_tokens);
  RecordPlacement(choice, query, now);
  return {HedgeWithheld::kNone, std::move(choice)};
}

void Dispatcher::SetLimitTolerance(const LimitTolerance& tolerance) {
  std::lock_guard<std::mutex> lock(mutex_);
  limits_.tolerance = tolerance;
}

LimitVerdict Dispatcher::AdmitToLimit(const WorkspaceConfig& workspace, double cost, Time arrived,
                                      bool first, Time now) {
  LimitVerdict verdict;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    verdict =
        ebonylift::AdmitToLimit(&limits_, workspace.id, workspace.limit, cost, arrived, first, now);
  }
  if (verdict.ask_now) control_->AskForLimits();
  return verdict;
}

void Dispatcher::RefundToLimit(const WorkspaceId& workspace, double cost, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::RefundToLimit(&limits_, workspace, cost, now);
}

std::optional<LimitAsk> Dispatcher::TakeLimitAsk(Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::TakeLimitAsk(&limits_, now);
}

void Dispatcher::CancelLimitWait(const WorkspaceId& workspace, double cost) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::CancelLimitWait(&limits_, workspace, cost);
}

void Dispatcher::OnLimitAnswer(const std::optional<LimitAnswer>& answer, Time sent, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (answer) {
    ebonylift::OnLimitAnswer(&limits_, *answer, sent, now);
  } else {
    OnNoLimitAnswer(&limits_, sent);
  }
}

std::vector<LimitState> Dispatcher::LimitStates(Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return ebonylift::LimitStates(limits_, now);
}

void Dispatcher::OnView(std::shared_ptr<const RoutingView> view, Time now) {
  ReadyCallbacks ready_callbacks;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    view_ = std::move(view);
    StartLearning(routing_state_, *view_, now);
    OnNewView(routing_state_, *view_, now);
    limits_.hosts = HostsThatShareLimits(*view_);
    limits_.revision = view_->config->revision;
    limits_.seed = Hash64(view_->self.host.value());
    PlaceQueued(now, &ready_callbacks);
  }
  RunCallbacks(std::move(ready_callbacks));
}

void Dispatcher::Tick(Time now) {
  ReadyCallbacks ready_callbacks;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const QueuedRequest& request : ebonylift::Expire(admission_, now)) {
      auto entry = waiting_.find(request.id);
      const RouteQuery& query = entry->second.query;
      Choice refused = RefusalOfExpired(query, now);
      ready_callbacks.emplace_back(std::move(entry->second.on_ready), refused);
      waiting_.erase(entry);
    }
    ebonylift::Expire(poison_, now);
    ebonylift::Expire(part_poison_, now);
    PlaceQueued(now, &ready_callbacks);
  }
  RunCallbacks(std::move(ready_callbacks));
}

DispatcherStats Dispatcher::Stats() const {
  std::lock_guard<std::mutex> lock(mutex_);
  DispatcherStats stats;
  stats.queued = QueueLength(admission_);
  for (size_t i = 0; i < 3; ++i) stats.queued_by_class[i] = admission_.queues[i].size();
  for (const auto& [server, requests] : running_) stats.in_flight += requests.size();
  stats.suspects = poison_.suspects.size() + part_poison_.suspects.size();
  return stats;
}

}  // namespace ebonylift
