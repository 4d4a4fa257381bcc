// Updates of RoutingState: dispatches, their outcomes, and new views.

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "core/domain_summary.h"
#include "core/routing.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

constexpr double kServiceTimeSmoothing = 0.2;  // weight of the newest service time

// Removes the newest entry that is not later than `dispatched_at`. The caller reads the clock again
// after Choose(), so `dispatched_at` may be slightly later than the time that was recorded.
void RemoveDispatch(TargetState& state, Time dispatched_at) {
  if (state.in_flight > 0) --state.in_flight;
  auto after =
      std::upper_bound(state.dispatch_times.begin(), state.dispatch_times.end(), dispatched_at);
  if (after != state.dispatch_times.begin()) state.dispatch_times.erase(std::prev(after));
}

void AddDispatch(TargetState& state, Time now) {
  ++state.in_flight;
  if (state.dispatch_times.size() >= kMaxDispatchTimes)
    state.dispatch_times.erase(state.dispatch_times.begin());
  state.dispatch_times.insert(
      std::upper_bound(state.dispatch_times.begin(), state.dispatch_times.end(), now), now);
}

void UpdateMeanServiceTime(TargetState& state, Duration service_time) {
  if (state.mean_service_time == Duration::zero()) {
    state.mean_service_time = service_time;
    return;
  }
  double mean = (1 - kServiceTimeSmoothing) * static_cast<double>(state.mean_service_time.count()) +
                kServiceTimeSmoothing * static_cast<double>(service_time.count());
  state.mean_service_time = Duration(static_cast<int64_t>(mean));
}

bool MayEjectOneMore(const RoutingState& routing_state, const RoutingView& view, Time now) {
  int live = 0;
  int ejected = 0;
  for (const BackendServer& server : view.servers) {
    if (server.announced.leaving || now >= server.expires_at) continue;
    ++live;
    auto found = routing_state.servers.find(server.announced.id);
    if (found != routing_state.servers.end() && now < found->second.ejected_until) ++ejected;
  }
  return ejected + 1 <= kMaxEjectedShare * live;
}

Duration EjectionTime(int consecutive_ejections) {
  Duration time = kMinEjectionTime * (1 << std::min(consecutive_ejections, 10));
  return std::min(time, kMaxEjectionTime);
}

bool EjectIfFailing(TargetState& state, const RoutingState& routing_state, const RoutingView& view,
                    Time now) {
  if (state.consecutive_failures < kFailuresToEject || now < state.ejected_until) return false;
  if (!MayEjectOneMore(routing_state, view, now)) return false;
  state.ejected_until = now + EjectionTime(state.consecutive_ejections);
  ++state.consecutive_ejections;
  // A single failure after the ejection ejects the server again, for twice the time.
  state.consecutive_failures = kFailuresToEject - 1;
  return true;
}

// What this host tells others of the limit. Only what it saw itself, so that no limit is passed on
// for ever.
std::optional<ObservedLimit> LimitToShare(const TargetState& state, Time now) {
  const RequestLimit& limit = state.limit;
  if (limit.seen_at == Time() || limit.seen_at != state.own_limit_at) return std::nullopt;
  if (limit.per_s <= 0 && now - limit.seen_at > kWithdrawnLimitShareTime) return std::nullopt;
  return ObservedLimit{limit.per_s, now - limit.seen_at};
}

// Takes over what other hosts have seen of the limits of servers, where that is newer. A limit that
// was seen before the server started is of an earlier incarnation.
void AdoptLimits(RoutingState& routing_state, const RoutingView& view) {
  for (const BackendServer& server : view.servers) {
    const RequestLimit& seen = server.other_hosts_limit;
    if (seen.seen_at == Time() || seen.seen_at < server.first_seen) continue;
    auto found = routing_state.servers.find(server.announced.id);
    if (found == routing_state.servers.end()) {
      if (seen.per_s <= 0) continue;
      TargetState& added = routing_state.servers[server.announced.id];
      added.cache_id = routing_state.next_cache_id++;
      added.incarnation = server.announced.incarnation;
      added.limit = seen;
    } else if (found->second.incarnation == server.announced.incarnation &&
               seen.seen_at > found->second.limit.seen_at) {
      found->second.limit = seen;
    }
  }
}

// Takes over what other hosts know of the speed of servers. The speed of another incarnation is
// forgotten.
void AdoptSpeeds(RoutingState& routing_state, const RoutingView& view) {
  for (const BackendServer& server : view.servers) {
    const std::optional<ObservedSpeed>& seen = server.other_hosts_speed;
    auto found = routing_state.speeds.find(server.announced.id);
    if (found == routing_state.speeds.end()) {
      if (!seen) continue;
      found = routing_state.speeds.try_emplace(server.announced.id).first;
    }
    SetIncarnation(&found->second, server.announced.incarnation);
    if (seen) OnOthersSpeed(&found->second, *seen, server.other_hosts_speed_at);
  }
}

// Forgets the speed of servers that are not in the view.
void DropSpeeds(RoutingState& routing_state, const RoutingView& view) {
  auto& speeds = routing_state.speeds;
  for (auto it = speeds.begin(); it != speeds.end();) {
    it = FindServer(view, it->first) == nullptr ? speeds.erase(it) : std::next(it);
  }
}

// Forgets what was known of an earlier incarnation of the server.
void StartIncarnation(RoutingState& routing_state, TargetState& state, uint64_t incarnation,
                      Time now) {
  state.cache_id = routing_state.next_cache_id++;
  state.incarnation = incarnation;
  state.incarnation_since = now;
  state.consecutive_failures = 0;
  state.consecutive_ejections = 0;
  state.ejected_until = Time();
  state.unreachable_at = Time();
  state.lost_at = Time();
  state.replaced = false;
  state.limit = RequestLimit();
  state.own_limit_at = Time();
  state.notices = SeenNotices();
}

void RecordBrittleService(RoutingState& routing_state, const BackendServer& server,
                          double max_rejections_per_s, Time now) {
  for (const std::string& served : ServedNames(server.announced)) {
    routing_state.brittle_services[served] = {max_rejections_per_s, now};
  }
}

// Ranks this host for all servers, so that each choice need not: a region has thousands of pairs of
// hosts and servers.
void UpdateSenderRanks(RoutingState& routing_state, const RoutingView& view, bool servers_changed) {
  if (routing_state.brittle_services.empty()) return;
  uint64_t hash = SendersHash(view);
  bool current = !servers_changed && hash == routing_state.senders_hash;
  if (current && !routing_state.sender_ranks.empty()) return;
  routing_state.senders_hash = hash;
  routing_state.sender_ranks.clear();
  for (const BackendServer& server : view.servers) {
    routing_state.sender_ranks[server.announced.id] = RankSender(view, server);
  }
}

// Forgets services of which no answer has said for kBrittleRetention that they are brittle.
void DropSoundServices(RoutingState& routing_state, Time now) {
  auto& services = routing_state.brittle_services;
  for (auto it = services.begin(); it != services.end();) {
    it = now - it->second.seen_at >= kBrittleRetention ? services.erase(it) : std::next(it);
  }
  if (services.empty()) routing_state.sender_ranks.clear();
}

bool IsKnownDomain(const RoutingView& view, const DomainId& domain) {
  return std::any_of(view.summaries.begin(), view.summaries.end(),
                     [&](const DomainSummary& summary) { return summary.domain == domain; });
}

// A hash of what determines the servers set aside. Does not depend on the order of servers, models
// and hosts.
uint64_t MembershipHash(const RoutingView& view) {
  uint64_t hash = 0;
  for (const BackendServer& server : view.servers) {
    uint64_t member = Hash64(server.announced.id.value(), server.announced.leaving ? 1 : 0);
    for (const ServedModel& model : server.announced.models)
      member ^= Hash64(model.name.value(), member);
    hash ^= member;
  }
  for (const HostEntry& host : view.hosts) hash ^= Hash64(host.id.value());
  return hash;
}

// The prompt tokens that the server reads before the response begins.
double TokensRead(const Choice& choice) {
  return static_cast<double>(choice.prefill_tokens + choice.tokens_ahead);
}

// The rate at which the server has read them, in tokens per second, if the response begins now;
// nullopt if the prompt is too short to tell.
std::optional<double> RateSample(const Choice& choice, Time dispatched_at, Time now) {
  if (choice.prefill_tokens < kMinRateSampleTokens || now <= dispatched_at) return std::nullopt;
  return TokensRead(choice) / ToSeconds(now - dispatched_at);
}

}  // namespace

void OnDispatch(RoutingState& routing_state, const RouteQuery& query, const Choice& choice,
                Time now) {
  uint64_t incarnation = choice.incarnation;
  ++routing_state.round_robin_counter;
  if (query.traffic_class != TrafficClass::kChapter)
    routing_state.slots_reserved_until = now + kSlotReservationTime;
  TargetState& state = routing_state.servers[choice.server];
  if (state.cache_id == 0 || state.incarnation != incarnation) {
    StartIncarnation(routing_state, state, incarnation, now);
  }
  if (query.suspect) {
    state.exclusivity_lost = state.in_flight > 0;
    state.exclusive = true;
  } else if (state.exclusive) {
    state.exclusivity_lost = true;
  }
  AddDispatch(state, now);
  state.prefill_tokens += choice.prefill_tokens;
  if (query.route != nullptr) {
    OnPlacement(&routing_state.placement_rates[ServedName(*query.route)], choice.prefill_tokens,
                now);
  }
  OnTrial(state.notices, now);
  if (choice.min_interval > Duration(0)) state.next_limited_dispatch = now + choice.min_interval;
  RecordPrefixes(routing_state.prefixes, query.prefix_hashes, state.cache_id, now);
}

void OnFirstByte(RoutingState& routing_state, const std::string& served, const Choice& choice,
                 Time dispatched_at, Time now) {
  auto found = routing_state.servers.find(choice.server);
  if (found == routing_state.servers.end()) return;
  TargetState& state = found->second;
  state.prefill_tokens = std::max<int64_t>(0, state.prefill_tokens - choice.prefill_tokens);
  state.unreachable_at = Time();
  state.first_byte_at = now;
  std::optional<double> sample = RateSample(choice, dispatched_at, now);
  if (!sample) return;
  if (state.incarnation == choice.incarnation) {
    ServerSpeed& speed = routing_state.speeds[choice.server];
    SetIncarnation(&speed, choice.incarnation);
    // The rate is that of a server of the mean speed.
    *sample /= SteadySpeed(speed, now);
    OnPromptRead(&speed, &routing_state.speed_baselines[served], TokensRead(choice),
                 now - dispatched_at, now);
  }
  // A response that was delayed by something other than the prefill, as after a start of all hosts,
  // must not lower the rate below the default.
  *sample = std::max(*sample, kDefaultPrefillTokensPerSecond);
  auto [rate, first] = routing_state.prefill_rates.try_emplace(served, *sample);
  if (!first) rate->second += kPrefillRateSmoothing * (*sample - rate->second);
}

void OnRequest(RoutingState& routing_state, const RouteQuery& query, Time now) {
  if (!query.yields_to_urgent || query.route->first_byte_target <= Duration(0)) return;
  OnDemand(&routing_state.urgent_demand[ServedName(*query.route)], query.rank,
           query.route->first_byte_target, query.prompt_tokens, now);
}

void OnNoFirstByte(RoutingState& routing_state, const std::string& served, const Choice& choice,
                   Time dispatched_at, Time now) {
  auto found = routing_state.servers.find(choice.server);
  if (found == routing_state.servers.end() || found->second.first_byte_at < dispatched_at) return;
  auto rate = routing_state.prefill_rates.find(served);
  std::optional<double> sample = RateSample(choice, dispatched_at, now);
  if (rate == routing_state.prefill_rates.end() || !sample) return;
  auto speed = routing_state.speeds.find(choice.server);
  if (speed != routing_state.speeds.end()) *sample /= SteadySpeed(speed->second, now);
  *sample = std::max(*sample, kDefaultPrefillTokensPerSecond);
  // The sample is an upper bound, so it says nothing if it is above the rate.
  if (*sample >= rate->second) return;
  rate->second += kPrefillRateSmoothing * (*sample - rate->second);
}

std::optional<double> OnEventGap(RoutingState& routing_state, const RoutingView& view,
                                 const std::string& served, const ServerId& server,
                                 uint64_t incarnation, Duration gap, Time now) {
  const BackendServer* known = FindServer(view, server);
  auto found = routing_state.servers.find(server);
  if (known == nullptr || found == routing_state.servers.end()) return std::nullopt;
  if (found->second.incarnation != incarnation || known->announced.incarnation != incarnation)
    return std::nullopt;
  ServerSpeed& speed = routing_state.speeds[server];
  SetIncarnation(&speed, incarnation);
  int requests = found->second.in_flight + known->other_hosts_requests;
  OnEventGap(&speed, &routing_state.speed_baselines[served], gap, requests, now);
  return TakeSpeedToLog(&speed, now);
}

bool OnRequestLimit(RoutingState& routing_state, const ServerId& server, uint64_t incarnation,
                    std::optional<double> per_s, Time now) {
  auto found = routing_state.servers.find(server);
  if (found == routing_state.servers.end() || found->second.incarnation != incarnation)
    return false;
  RequestLimit& limit = found->second.limit;
  bool never_named = limit.seen_at == Time();
  if (never_named && !per_s) return false;
  double before = limit.per_s;
  limit.per_s = per_s ? std::max(*per_s, kMinRequestLimitPerSecond) : 0;
  limit.seen_at = now;
  found->second.own_limit_at = now;
  return limit.per_s != before;
}

NoticeChange OnServerNotice(RoutingState& routing_state, const RoutingView& view,
                            const ServerId& server, uint64_t incarnation,
                            const ServerNotice& notice, const AnswerContext& answer, Time now) {
  auto found = routing_state.servers.find(server);
  if (found == routing_state.servers.end() || found->second.incarnation != incarnation) return {};
  const BackendServer* known = FindServer(view, server);
  if (known != nullptr && notice.max_rejections_per_s) {
    RecordBrittleService(routing_state, *known, *notice.max_rejections_per_s, now);
  }
  return OnNotice(found->second.notices, notice, answer, now);
}

void OnRoomReport(RoutingState& routing_state, const RoutingView& view, const RoomReport& report,
                  Time now) {
  const BackendServer* server = FindServer(view, report.server);
  if (server != nullptr && server->announced.incarnation != report.incarnation) return;
  if (server != nullptr && report.max_rejections_per_s) {
    RecordBrittleService(routing_state, *server, *report.max_rejections_per_s, now);
  }
  TargetState& state = routing_state.servers[report.server];
  if (report.incarnation < state.incarnation) return;
  if (state.cache_id == 0 || state.incarnation != report.incarnation) {
    StartIncarnation(routing_state, state, report.incarnation, now);
  }
  int rank = server == nullptr ? 0 : RankSender(view, *server).rank;
  OnRoomReport(state.notices, report, rank, now);
}

std::vector<RoomReport> KnownRoomReports(const RoutingState& routing_state, Time now) {
  std::vector<RoomReport> reports;
  for (const auto& [server, state] : routing_state.servers) {
    std::optional<RoomReport> report = ReportOf(state.notices, now);
    if (!report) continue;
    report->server = server;
    report->incarnation = state.incarnation;
    reports.push_back(std::move(*report));
  }
  return reports;
}

std::vector<ServerWork> WorkInFlight(const RoutingState& routing_state, Time now) {
  std::vector<ServerWork> work;
  for (const auto& [server, state] : routing_state.servers) {
    std::optional<ObservedLimit> limit = LimitToShare(state, now);
    std::optional<ObservedSpeed> speed;
    auto learned = routing_state.speeds.find(server);
    if (learned != routing_state.speeds.end()) speed = SpeedToShare(learned->second, now);
    if (state.in_flight > 0 || limit || speed)
      work.push_back({server, state.in_flight, state.prefill_tokens, limit, speed});
  }
  return work;
}

bool OnServerOutcome(RoutingState& routing_state, const RoutingView& view, const ServerId& server,
                     Time dispatched_at, ServerOutcome outcome, Time now, int64_t prefill_tokens) {
  auto found = routing_state.servers.find(server);
  if (found == routing_state.servers.end()) return false;
  TargetState& state = found->second;
  RemoveDispatch(state, dispatched_at);
  state.prefill_tokens = std::max<int64_t>(0, state.prefill_tokens - prefill_tokens);
  if (state.in_flight == 0) {
    state.exclusive = false;
    state.exclusivity_lost = false;
  }
  if (outcome == ServerOutcome::kCancelled) return false;
  if (dispatched_at >= state.incarnation_since) {
    state.replaced = state.replaced || outcome == ServerOutcome::kReplaced;
    if (outcome == ServerOutcome::kUnreachable) {
      state.unreachable_at = now;
      state.lost_at = now;
    }
  }
  if (outcome == ServerOutcome::kReplaced || outcome == ServerOutcome::kUnreachable) return false;
  if (outcome == ServerOutcome::kOk) {
    state.consecutive_failures = 0;
    state.consecutive_ejections = 0;
    state.unreachable_at = Time();
    UpdateMeanServiceTime(state, now - dispatched_at);
    return false;
  }
  if (dispatched_at < state.incarnation_since) return false;
  ++state.consecutive_failures;
  return EjectIfFailing(state, routing_state, view, now);
}

void OnServerEnded(RoutingState& routing_state, const ServerId& server, Time now) {
  auto found = routing_state.servers.find(server);
  if (found != routing_state.servers.end()) found->second.lost_at = now;
}

void OnForward(RoutingState& routing_state, const DomainId& domain, Time now) {
  AddDispatch(routing_state.domains[domain], now);
}

void OnForwardOutcome(RoutingState& routing_state, const DomainId& domain, Time dispatched_at,
                      ForwardOutcome outcome, Time now) {
  auto found = routing_state.domains.find(domain);
  if (found == routing_state.domains.end()) return;
  RemoveDispatch(found->second, dispatched_at);
  if (outcome == ForwardOutcome::kUnreachable)
    found->second.ejected_until = now + kDomainUnreachableBackoff;
  if (outcome == ForwardOutcome::kRefused) found->second.full_until = now + kDomainFullBackoff;
}

bool RanAlone(const RoutingState& routing_state, const BackendServer& server) {
  auto found = routing_state.servers.find(server.announced.id);
  if (found == routing_state.servers.end()) return false;
  const TargetState& state = found->second;
  const ServerLoad& report = server.announced.load;
  return state.exclusive && !state.exclusivity_lost && state.in_flight == 1 &&
         report.running + report.waiting <= 1;
}

void StartLearning(RoutingState& routing_state, const RoutingView& view, Time now) {
  if (routing_state.learning_until != Time() || view.config->revision == 0) return;
  routing_state.learning_until = now + kLearningTime;
}

void OnNewView(RoutingState& routing_state, const RoutingView& view, Time now) {
  uint64_t membership = MembershipHash(view);
  bool membership_changed = membership != routing_state.membership_hash;
  if (membership_changed) routing_state.membership_changed_at = now;
  routing_state.membership_hash = membership;
  AdoptLimits(routing_state, view);
  AdoptSpeeds(routing_state, view);
  if (membership_changed) DropSpeeds(routing_state, view);
  DropSoundServices(routing_state, now);
  UpdateSenderRanks(routing_state, view, membership_changed);
  for (auto it = routing_state.servers.begin(); it != routing_state.servers.end();) {
    const BackendServer* server = FindServer(view, it->first);
    bool unused = it->second.in_flight == 0 && !MustKeep(it->second.notices, now);
    if (server == nullptr && unused) {
      it = routing_state.servers.erase(it);
      continue;
    }
    if (server != nullptr && it->second.exclusive) {
      const ServerLoad& report = server->announced.load;
      if (report.running + report.waiting > 1) it->second.exclusivity_lost = true;
    }
    ++it;
  }
  for (auto it = routing_state.domains.begin(); it != routing_state.domains.end();) {
    bool unused = it->second.in_flight == 0 && !IsKnownDomain(view, it->first);
    it = unused ? routing_state.domains.erase(it) : std::next(it);
  }
}

void ForgetPrefixes(RoutingState& routing_state, const ServerId& server) {
  auto found = routing_state.servers.find(server);
  if (found != routing_state.servers.end()) found->second.cache_id = routing_state.next_cache_id++;
}

}  // namespace ebonylift
