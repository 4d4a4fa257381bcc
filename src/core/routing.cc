#include "core/routing.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "core/ingress.h"
#include "core/poison.h"
#include "core/request_rate.h"
#include "core/routing_remote.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

Choice Refuse(ErrorKind error) {
  Choice choice;
  choice.kind = ChoiceKind::kRefuse;
  choice.error = error;
  choice.retry_after = milliseconds(LookupError(error).retry_after_ms);
  return choice;
}

bool ServesModel(const Announcement& server, const RouteConfig& route) {
  for (const ServedModel& model : server.models) {
    if (model.name != route.model) continue;
    if (!route.version.empty() && model.version != route.version) continue;
    if (route.adapter.empty() || Contains(model.adapters, route.adapter)) return true;
  }
  return false;
}

// A local server that can serve the route, with what the choice depends on.
struct Candidate {
  const BackendServer* server = nullptr;
  const TargetState* state = nullptr;  // null: this host never dispatched to it
  int requests = 0;                    // reported, plus those dispatched since the report
  int slots = 1;
  int64_t hit_tokens = 0;
  const BackendServer* fetch_from = nullptr;  // has a longer prefix cached; null: none
  int64_t fetch_tokens = 0;
  int64_t tokens_ahead = 0;              // of prompts that it reads first
  bool ejected = false;                  // or unreachable
  bool is_long_prompt_server = false;    // one of LongPromptServers()
  bool has_long_prompt_servers = false;  // LongPromptServers() is not empty
  double request_rate = 0;               // see RequestRate() in core/request_rate.h
  Duration min_interval{0};              // between two requests from this host; 0: no limit
  double utilization() const { return static_cast<double>(requests) / slots; }
  int64_t cached_tokens() const { return hit_tokens + fetch_tokens; }
};

// Prefill rates for the query, and whether it can meet its first-byte target. The same for all
// servers.
struct PrefillEstimate {
  double read_rate = kDefaultPrefillTokensPerSecond;  // tokens/s
  double fetch_rate = 0;       // tokens/s from another server's cache; 0: not supported
  bool rate_measured = false;  // `read_rate` is not the default
  bool may_wait_at_long_prompt_server = false;  // see kMaxLateWaitAtLongPromptServer
  bool late_when_idle = false;  // misses its first-byte target even on an idle server
};

// The cost of the interference between a long prompt and other requests on the same server.
double InterferenceSeconds(const RouteQuery& query, const Candidate& candidate,
                           const PrefillEstimate& estimate) {
  if (!candidate.has_long_prompt_servers) return 0;
  if (query.prompt_tokens - candidate.cached_tokens() < kLongPromptTokens) {
    return candidate.is_long_prompt_server ? kShortPromptAtLongPromptServerCost : 0;
  }
  double streams = candidate.requests * kLongPromptPerRequestCost;
  if (candidate.is_long_prompt_server) return streams;
  return streams + (estimate.late_when_idle ? kLatePromptElsewhereCost : kLongPromptElsewhereCost);
}

// Time in which the server fetches the cached part of the prompt and prefills the rest.
double PromptReadSeconds(const RouteQuery& query, const Candidate& candidate,
                         const PrefillEstimate& estimate) {
  double prefill_s =
      PrefillSeconds(query.prompt_tokens - candidate.cached_tokens(), estimate.read_rate);
  if (candidate.fetch_tokens > 0)
    prefill_s += PrefillSeconds(candidate.fetch_tokens, estimate.fetch_rate);
  return prefill_s;
}

double ServerCost(const RouteQuery& query, const Candidate& candidate,
                  const PrefillEstimate& estimate) {
  double wait = WaitSeconds(candidate.requests, candidate.slots, ServiceSeconds(candidate.state));
  wait += PrefillSeconds(candidate.tokens_ahead, estimate.read_rate);
  wait += InterferenceSeconds(query, candidate, estimate);
  double service = PromptReadSeconds(query, candidate, estimate);
  return query.route->weight_latency * wait + query.route->weight_cost * service;
}

int64_t PredictedHitTokens(const std::vector<CacheHit>& hits, const Candidate& candidate) {
  if (hits.empty() || candidate.state == nullptr) return 0;
  if (candidate.state->incarnation != candidate.server->announced.incarnation) return 0;
  for (const CacheHit& hit : hits) {
    if (hit.cache_id == candidate.state->cache_id) return hit.tokens;
  }
  return 0;
}

// The local servers that can run the request. FindLocalServers() fills `healthy` and `usable`,
// GroupByRoom() the groups that ChooseLocal() tries.
struct LocalServers {
  std::vector<Candidate> healthy;  // not ejected; may be full
  std::vector<Candidate> usable;   // may get work now; may be full or ejected
  // The servers in `usable` that have room, in order of preference. `ejected` is used only if
  // `healthy` is empty.
  std::vector<Candidate> with_room;      // neither in slow start nor ejected
  std::vector<Candidate> in_slow_start;  // skipped for this request by slow start
  std::vector<Candidate> ejected;
  const BackendServer* own_server_set_aside = nullptr;
  int reachable = 0;    // servers to which the last connection did not fail
  int unreachable = 0;  // the others
  int count = 0;  // servers, except those that the query avoids or that are excluded by a notice
  Time first_pause_end;  // of servers that asked for a pause; Time(): none
  int slots = 0;
  double service_s = 0;  // sum of the mean service times of these servers
};

bool IsIdle(const Candidate& candidate) {
  const ServerLoad& report = candidate.server->announced.load;
  return report.running + report.waiting == 0 && candidate.requests == 0;
}

// While slots are reserved, a chapter needs a server that has fewer requests than this.
int MaxRequestsForChapter(int slots) {
  if (slots < kMinSlotsToReserve) return slots;
  return slots - std::max(1, static_cast<int>(slots * kReservedShare));
}

// The longest wait for prompts ahead at which a prompt that misses its target is still dispatched.
Duration MaxLateWait(const Candidate& candidate, const PrefillEstimate& estimate) {
  return estimate.may_wait_at_long_prompt_server && candidate.is_long_prompt_server
             ? kMaxLateWaitAtLongPromptServer
             : kMaxLateWait;
}

// False if the prompts ahead delay the response past the first-byte target and the wait for them is
// longer than MaxLateWait().
bool StartsInTime(const RouteQuery& query, const Candidate& candidate,
                  const PrefillEstimate& estimate, Time now) {
  if (query.first_byte_deadline == Time() || !estimate.rate_measured) return true;
  // Ignores cache hits, because they are only predictions and the work ahead is known with delay.
  double own = PrefillSeconds(query.prompt_tokens, estimate.read_rate);
  double left = ToSeconds(query.first_byte_deadline - now) - own;
  double wait = PrefillSeconds(candidate.tokens_ahead, estimate.read_rate);
  return wait <= std::max(left, ToSeconds(MaxLateWait(candidate, estimate)));
}

bool SameIncarnation(const Candidate& candidate) {
  return candidate.state != nullptr &&
         candidate.state->incarnation == candidate.server->announced.incarnation;
}

// Empty if it is not known: the server has none, or may have started again since it announced it.
std::string SoftwareOf(const Candidate& candidate) {
  bool lost =
      SameIncarnation(candidate) && candidate.state->lost_at >= candidate.server->reported_at;
  return lost ? std::string() : candidate.server->announced.software_version;
}

bool HasSoftware(const RouteQuery& query, const Candidate& candidate) {
  return query.software_version.empty() || SoftwareOf(candidate) == query.software_version;
}

SeenNotices NoticesOf(const Candidate& candidate) {
  return SameIncarnation(candidate) ? candidate.state->notices : SeenNotices();
}

bool HasRoom(const RouteQuery& query, const RoutingState& routing_state, const Candidate& candidate,
             const PrefillEstimate& estimate, Time now) {
  if (!StartsInTime(query, candidate, estimate, now)) return false;
  if (query.traffic_class == TrafficClass::kChapter && !query.may_use_reserved_slots &&
      now < routing_state.slots_reserved_until) {
    return candidate.requests < MaxRequestsForChapter(candidate.slots);
  }
  if (NoticesOf(candidate).brittle) {
    return candidate.requests < RoomAtBrittleServer(candidate.slots);
  }
  double share = IsPromptlessWithTarget(query) ? kPromptlessBacklogPerSlot : kServerBacklogPerSlot;
  int backlog = std::max(1, static_cast<int>(candidate.slots * share));
  return candidate.requests < candidate.slots + backlog;
}

bool IsUnreachable(const Candidate& candidate, Time now) {
  Time since = candidate.state->unreachable_at;
  return since != Time() && candidate.server->reported_at <= since &&
         now < since + kServerUnreachableTime;
}

bool IsEjected(const Candidate& candidate, Time now) {
  if (!SameIncarnation(candidate)) return false;
  return now < candidate.state->ejected_until || IsUnreachable(candidate, now);
}

// True if a request was dispatched to the unreachable server `candidate` since its last failed
// connection. That request is the probe that shows whether the server is back. Further requests
// would only wait for a connection that cannot be made.
bool IsBeingProbed(const Candidate& candidate) {
  const std::vector<Time>& dispatch_times = candidate.state->dispatch_times;
  return !dispatch_times.empty() && dispatch_times.back() > candidate.state->unreachable_at;
}

bool IsReplaced(const Candidate& candidate) {
  return SameIncarnation(candidate) && candidate.state->replaced;
}

// Admits a server that is new, or whose pause has ended, to a random share of the choices. The
// share grows linearly to all choices over kSlowStartDuration.
bool PassesSlowStart(const Candidate& candidate, Time now, std::mt19937_64& rng) {
  Time since = std::max(candidate.server->first_seen, NoticesOf(candidate).paused_until);
  Duration age = now - since;
  if (age >= kSlowStartDuration) return true;
  return std::uniform_real_distribution<double>(0, 1)(rng) <
         ToSeconds(age) / ToSeconds(kSlowStartDuration);
}

// Tokens of prompts from this host that the server has not read yet.
int64_t OwnTokensAhead(const RouteQuery& query, const BackendServer& server,
                       const TargetState& state) {
  if (Contains(server.announced.capabilities, std::string(kNoLoadReports))) {
    return state.prefill_tokens;
  }
  // The report covers earlier dispatches. Prompts dispatched since are assumed to be as long as
  // this one.
  return DispatchedSince(state, server.reported_at) * query.prompt_tokens;
}

Candidate MakeCandidate(const RouteQuery& query, const BackendServer& server,
                        const RoutingState& routing_state) {
  Candidate candidate;
  candidate.server = &server;
  auto found = routing_state.servers.find(server.announced.id);
  const ServerLoad& report = server.announced.load;
  candidate.slots = std::max(report.slots, 1);
  candidate.requests = std::max(report.running, 0) + std::max(report.waiting, 0);
  candidate.tokens_ahead = report.prefill_tokens_waiting + server.other_hosts_prefill_tokens;
  if (found != routing_state.servers.end()) {
    const TargetState& state = found->second;
    candidate.state = &state;
    candidate.requests =
        std::max(candidate.requests + DispatchedSince(state, server.reported_at), state.in_flight);
    candidate.tokens_ahead += OwnTokensAhead(query, server, state);
  }
  candidate.requests += server.other_hosts_requests;
  return candidate;
}

// The servers that are kept free for suspects: one per host of the failure domain, but at most half
// (rounded up) of those that serve the route, and none if fewer than kMinServersToSetAside serve
// it. Hosts with the same servers in their views pick the same ones, so that no host sends other
// work to the server on which another host runs a suspect.
std::vector<const BackendServer*> ServersSetAside(const RouteConfig& route,
                                                  const RoutingView& view) {
  std::vector<std::pair<uint64_t, const BackendServer*>> serving;
  for (const BackendServer& server : view.servers) {
    // Time() ignores expiry. An expired server counts until it leaves the view, because hosts
    // notice the expiry at different times.
    if (CanServe(server, route, view, Time())) {
      serving.emplace_back(Hash64(server.announced.id.value()), &server);
    }
  }
  std::vector<const BackendServer*> picked;
  if (serving.size() < static_cast<size_t>(kMinServersToSetAside)) return picked;
  std::sort(serving.begin(), serving.end());
  size_t hosts = 0;
  for (const HostEntry& host : view.hosts) hosts += host.domain == view.self.domain ? 1 : 0;
  size_t count = std::min(std::max<size_t>(hosts, 1), (serving.size() + 1) / 2);
  for (size_t i = 0; i < count; ++i) picked.push_back(serving[i].second);
  return picked;
}

// The one of `set_aside` on which this host runs its suspects. Null if `set_aside` is empty.
const BackendServer* OwnServerSetAside(const std::vector<const BackendServer*>& set_aside,
                                       const RoutingView& view) {
  size_t rank = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.domain == view.self.domain && host.id < view.self.host) ++rank;
  }
  return set_aside.empty() ? nullptr : set_aside[rank % set_aside.size()];
}

// True if a suspect may run on `server` once its load report shows no work. `own` is the server set
// aside for this host; if it is null, any idle server qualifies. Otherwise only `own` does, and its
// report must be newer, by kSetAsideSettleTime, than the last server loss and the last membership
// change, which may change the servers set aside. By then all hosts keep other work off `own`, and
// the report shows what they dispatched there before.
bool MayRunSuspect(const BackendServer& server, const BackendServer* own,
                   const RoutingState& routing_state) {
  if (own == nullptr) return true;
  Time newest_loss = routing_state.set_aside_until - kSetAsideDuration;
  Time set_aside_since = std::max(newest_loss, routing_state.membership_changed_at);
  return &server == own && server.reported_at >= set_aside_since + kSetAsideSettleTime;
}

// The newest limit of the server that this host knows.
RequestLimit LimitOf(const Candidate& candidate) {
  return SameIncarnation(candidate) ? candidate.state->limit : RequestLimit();
}

// False if the rate limit of the server does not allow a request from this host now.
bool AllowedByRate(const RoutingView& view, Time now, Candidate* candidate) {
  if (candidate->request_rate <= 0) return true;
  std::optional<Duration> interval =
      RequestInterval(view, *candidate->server, candidate->request_rate);
  if (!interval) return false;
  candidate->min_interval = *interval;
  return candidate->state == nullptr || now >= candidate->state->next_limited_dispatch;
}

LocalServers FindLocalServers(const RouteQuery& query, const RoutingView& view,
                              const RoutingState& routing_state, Time now) {
  LocalServers local;
  std::vector<const BackendServer*> set_aside;
  if (now < routing_state.set_aside_until) set_aside = ServersSetAside(*query.route, view);
  local.own_server_set_aside = OwnServerSetAside(set_aside, view);
  for (const BackendServer& server : view.servers) {
    if (!CanServe(server, *query.route, view, now)) continue;
    bool is_set_aside = std::find(set_aside.begin(), set_aside.end(), &server) != set_aside.end();
    if (is_set_aside && !query.suspect) continue;
    if (Contains(query.avoid_servers, server.announced.id)) continue;
    Candidate candidate = MakeCandidate(query, server, routing_state);
    if (IsReplaced(candidate) || !HasSoftware(query, candidate)) continue;
    bool unreachable = SameIncarnation(candidate) && IsUnreachable(candidate, now);
    ++(unreachable ? local.unreachable : local.reachable);
    if (unreachable && IsBeingProbed(candidate)) continue;
    NoticeReason excluded = ExcludedBy(NoticesOf(candidate), now);
    if (excluded == NoticeReason::kPaused) {
      Time end = NoticesOf(candidate).paused_until;
      bool first = local.first_pause_end == Time() || end < local.first_pause_end;
      if (first) local.first_pause_end = end;
    }
    if (excluded != NoticeReason::kNone) continue;
    ++local.count;
    local.slots += candidate.slots;
    local.service_s += ServiceSeconds(candidate.state);
    candidate.ejected = IsEjected(candidate, now);
    candidate.request_rate = RequestRate(view, server, LimitOf(candidate), now);
    if (!candidate.ejected) local.healthy.push_back(candidate);
    if (candidate.state != nullptr && candidate.state->exclusive) continue;
    if (AllowedByRate(view, now, &candidate)) local.usable.push_back(candidate);
  }
  return local;
}

// A candidate and its cost. IsCheaper() breaks ties by the lower utilization.
struct PricedCandidate {
  const Candidate* candidate = nullptr;
  double cost = kInfinity;
};

bool IsCheaper(const PricedCandidate& a, const PricedCandidate& b) {
  if (a.cost != b.cost) return a.cost < b.cost;
  return a.candidate != nullptr &&
         (b.candidate == nullptr || a.candidate->utilization() < b.candidate->utilization());
}

PricedCandidate CheapestOf(const RouteQuery& query, const std::vector<Candidate>& candidates,
                           const PrefillEstimate& estimate, std::mt19937_64& rng) {
  // The random start breaks ties between equal candidates.
  size_t start = RandomIndex(candidates.size(), rng);
  PricedCandidate best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[(start + i) % candidates.size()];
    PricedCandidate priced{&candidate, ServerCost(query, candidate, estimate)};
    if (IsCheaper(priced, best)) best = priced;
  }
  return best;
}

// The cheaper of two random candidates of the group.
PricedCandidate CheaperOfTwo(const RouteQuery& query, const std::vector<const Candidate*>& group,
                             const PrefillEstimate& estimate, std::mt19937_64& rng) {
  if (group.empty()) return {};
  size_t first = RandomIndex(group.size(), rng);
  PricedCandidate best{group[first], ServerCost(query, *group[first], estimate)};
  if (group.size() == 1) return best;
  size_t second = RandomIndex(group.size() - 1, rng);
  if (second >= first) ++second;
  PricedCandidate other{group[second], ServerCost(query, *group[second], estimate)};
  return IsCheaper(other, best) ? other : best;
}

PricedCandidate PickByCost(const RouteQuery& query, const std::vector<Candidate>& candidates,
                           const PrefillEstimate& estimate, std::mt19937_64& rng) {
  if (candidates.size() <= kMaxComparedServers) return CheapestOf(query, candidates, estimate, rng);
  int64_t best_hit = 0;
  for (const Candidate& candidate : candidates) {
    best_hit = std::max(best_hit, candidate.hit_tokens);
  }
  std::vector<const Candidate*> prefix_group;
  std::vector<const Candidate*> others;
  others.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    bool hit =
        best_hit > 0 && static_cast<double>(candidate.hit_tokens) >= kPrefixGroupShare * best_hit;
    (hit ? prefix_group : others).push_back(&candidate);
  }
  PricedCandidate a = CheaperOfTwo(query, prefix_group, estimate, rng);
  PricedCandidate b = CheaperOfTwo(query, others, estimate, rng);
  return IsCheaper(b, a) ? b : a;
}

const Candidate* PickLeastReported(const std::vector<Candidate>& candidates) {
  auto reported = [](const Candidate& candidate) {
    const ServerLoad& report = candidate.server->announced.load;
    return report.running + report.waiting;
  };
  return &*std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Candidate& a, const Candidate& b) { return reported(a) < reported(b); });
}

const Candidate* PickPowerOfTwo(const std::vector<Candidate>& candidates, std::mt19937_64& rng) {
  const Candidate& a = candidates[RandomIndex(candidates.size(), rng)];
  const Candidate& b = candidates[RandomIndex(candidates.size(), rng)];
  return b.utilization() < a.utilization() ? &b : &a;
}

const Candidate* PickPrefixHash(const RouteQuery& query, const std::vector<Candidate>& candidates) {
  uint64_t key = query.prefix_hashes.empty() ? query.content_hash : query.prefix_hashes.front();
  double requests = 0;
  double slots = 0;
  for (const Candidate& candidate : candidates) {
    requests += candidate.requests;
    slots += candidate.slots;
  }
  const Candidate* best = nullptr;
  uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    // The bound includes the new request, so at least one candidate is always within it.
    double bound = std::ceil(kPrefixHashLoadFactor * (requests + 1) * candidate.slots / slots);
    if (candidate.requests + 1 > bound) continue;
    uint64_t weight = RendezvousWeight(candidate.server->announced.id, key);
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

PricedCandidate PickCandidate(const RouteQuery& query, const RoutingState& routing_state,
                              const std::vector<Candidate>& candidates,
                              const PrefillEstimate& estimate, std::mt19937_64& rng) {
  const Candidate* picked = nullptr;
  switch (routing_state.policy) {
    case RoutingPolicy::kCost:
      return PickByCost(query, candidates, estimate, rng);
    case RoutingPolicy::kRoundRobin:
      picked = &candidates[routing_state.round_robin_counter % candidates.size()];
      break;
    case RoutingPolicy::kLeastReported:
      picked = PickLeastReported(candidates);
      break;
    case RoutingPolicy::kPowerOfTwo:
      picked = PickPowerOfTwo(candidates, rng);
      break;
    case RoutingPolicy::kPrefixHash:
      picked = PickPrefixHash(query, candidates);
      break;
  }
  return {picked, ServerCost(query, *picked, estimate)};
}

// The cost of waiting in the local queue, assuming that every server is full.
double QueueCost(const RouteQuery& query, const LocalServers& local,
                 const RoutingState& routing_state) {
  double service_s = local.service_s / local.count;
  double wait = (static_cast<double>(routing_state.queued_ahead) + 1) * service_s / local.slots;
  return query.route->weight_latency * wait +
         query.route->weight_cost *
             PrefillSeconds(query.prompt_tokens, PrefillRate(query, routing_state));
}

// A prefix of the prompt that is expected in the cache of `holder`.
struct CachedPrefix {
  const Candidate* holder = nullptr;
  int64_t tokens = 0;  // length
};

// Where the prompt belongs: the servers for long prompts and those with a cached prefix of it.
struct PromptPlacement {
  ServerList long_prompt_servers;
  std::vector<CachedPrefix> cached;
};

// Adds the server that caches the shared prefix. The last part of a prompt belongs to one request
// or session and is not shared, so the shared prefix ends before it.
void AddSharedPrefixServer(const RouteQuery& query, const ServerList& servers,
                           const std::vector<Candidate>& healthy, PromptPlacement* placement) {
  if (query.prefix_tokens.size() < 2) return;
  size_t last_shared = query.prefix_tokens.size() - 2;
  const BackendServer* shared_prefix_server =
      SharedPrefixServer(servers, placement->long_prompt_servers, query.prefix_hashes[last_shared]);
  int64_t tokens = std::min(query.prefix_tokens[last_shared], query.prompt_tokens);
  for (const Candidate& candidate : healthy) {
    if (candidate.server == shared_prefix_server) placement->cached.push_back({&candidate, tokens});
  }
}

// The result points into `healthy`, which must outlive it.
PromptPlacement FindPlacement(const RouteQuery& query, const RoutingState& routing_state,
                              const std::vector<Candidate>& healthy, Time now) {
  PromptPlacement placement;
  std::vector<CacheHit> hits = PredictHits(
      routing_state.prefixes, {query.prefix_hashes, query.prefix_tokens, query.prompt_tokens}, now);
  ServerList warm;
  for (const Candidate& candidate : healthy) {
    int64_t hit = PredictedHitTokens(hits, candidate);
    if (hit > 0) placement.cached.push_back({&candidate, hit});
    bool takes_work = !IsCold(*candidate.server, now) && candidate.request_rate <= 0;
    if (takes_work) warm.push_back(candidate.server);
  }
  if (query.prefix_tokens.empty()) return placement;
  placement.long_prompt_servers = LongPromptServers(warm, Hash64(ServedName(*query.route)));
  AddSharedPrefixServer(query, warm, healthy, &placement);
  return placement;
}

// The rate in tokens/s at which servers of the route fetch cached prefixes from each other. 0 if
// they do not support it.
double FetchRate(const RouteQuery& query, const RoutingView& view) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  const auto& services = view.config->ingress->services;
  auto service = services.find(query.route->service);
  return service == services.end() ? 0 : service->second.fetch_tokens_per_s;
}

PrefillEstimate EstimatePrefill(const RouteQuery& query, const RoutingView& view,
                                const RoutingState& routing_state, Time now) {
  PrefillEstimate estimate;
  estimate.read_rate = PrefillRate(query, routing_state);
  estimate.rate_measured = routing_state.prefill_rates.count(ServedName(*query.route)) != 0;
  estimate.fetch_rate = FetchRate(query, view);
  if (query.first_byte_deadline == Time()) return estimate;
  double alone = PrefillSeconds(query.prompt_tokens, estimate.read_rate);
  estimate.late_when_idle = alone > ToSeconds(query.first_byte_deadline - now);
  estimate.may_wait_at_long_prompt_server =
      estimate.late_when_idle && routing_state.queued_ahead == 0;
  return estimate;
}

// Picks the server from which the candidate fetches the longest cached prefix. Only servers of the
// same failure domain qualify: between failure domains a fetch takes twice as long, which is hardly
// faster than prefilling.
void SetFetchSource(const std::vector<CachedPrefix>& cached, Candidate* candidate) {
  const DomainId& domain = candidate->server->announced.domain;
  for (const CachedPrefix& prefix : cached) {
    int64_t tokens = prefix.tokens - candidate->hit_tokens;
    if (tokens < kMinFetchTokens || tokens <= candidate->fetch_tokens) continue;
    if (prefix.holder->server->announced.domain != domain) continue;
    candidate->fetch_from = prefix.holder->server;
    candidate->fetch_tokens = tokens;
  }
}

void ApplyPlacement(const PromptPlacement& placement, bool can_fetch,
                    std::vector<Candidate>* candidates) {
  for (Candidate& candidate : *candidates) {
    candidate.has_long_prompt_servers = !placement.long_prompt_servers.empty();
    candidate.is_long_prompt_server = Contains(placement.long_prompt_servers, candidate.server);
    for (const CachedPrefix& prefix : placement.cached) {
      if (prefix.holder->server != candidate.server) continue;
      candidate.hit_tokens = std::max(candidate.hit_tokens, prefix.tokens);
    }
    if (can_fetch) SetFetchSource(placement.cached, &candidate);
  }
}

Choice MakeLocalChoice(const RouteQuery& query, const Candidate& picked) {
  Choice choice;
  choice.kind = ChoiceKind::kLocal;
  choice.server = picked.server->announced.id;
  choice.incarnation = picked.server->announced.incarnation;
  choice.hit_tokens = picked.hit_tokens;
  choice.fetch_tokens = picked.fetch_tokens;
  if (picked.fetch_from != nullptr) choice.fetch_from = picked.fetch_from->announced.id;
  choice.prefill_tokens = std::max<int64_t>(0, query.prompt_tokens - picked.cached_tokens());
  choice.tokens_ahead = picked.tokens_ahead;
  choice.software_version = SoftwareOf(picked);
  choice.min_interval = picked.min_interval;
  return choice;
}

// Groups the usable servers that have room for the request by preference.
void GroupByRoom(const RouteQuery& query, const RoutingState& routing_state,
                 const PrefillEstimate& estimate, Time now, std::mt19937_64& rng,
                 LocalServers* local) {
  for (const Candidate& candidate : local->usable) {
    const BackendServer& server = *candidate.server;
    bool fits =
        query.suspect
            ? IsIdle(candidate) && MayRunSuspect(server, local->own_server_set_aside, routing_state)
            : HasRoom(query, routing_state, candidate, estimate, now);
    if (!fits) continue;
    if (candidate.ejected) {
      local->ejected.push_back(candidate);
    } else if (PassesSlowStart(candidate, now, rng)) {
      local->with_room.push_back(candidate);
    } else {
      local->in_slow_start.push_back(candidate);
    }
  }
}

Choice ChooseLocal(const RouteQuery& query, const RoutingView& view,
                   const RoutingState& routing_state, LocalServers& local, Time now,
                   std::mt19937_64& rng) {
  PrefillEstimate estimate = EstimatePrefill(query, view, routing_state, now);
  ApplyPlacement(FindPlacement(query, routing_state, local.healthy, now),
                 estimate.fetch_rate > estimate.read_rate, &local.usable);
  GroupByRoom(query, routing_state, estimate, now, rng, &local);
  const std::vector<Candidate>* candidates = &local.with_room;
  if (candidates->empty()) candidates = &local.in_slow_start;
  // Ejection is a heuristic. If all servers are ejected, trying one is better than refusing.
  bool ejected = candidates->empty() && local.healthy.empty();
  if (ejected) candidates = &local.ejected;
  if (candidates->empty()) {
    Choice queue;
    queue.kind = ChoiceKind::kQueue;
    queue.cost = QueueCost(query, local, routing_state);
    return queue;
  }
  PricedCandidate picked = PickCandidate(query, routing_state, *candidates, estimate, rng);
  Choice choice = MakeLocalChoice(query, *picked.candidate);
  choice.cost = picked.cost + (ejected ? kEjectedServerCost : 0);
  return choice;
}

// How much cheaper than the local choice a forward must be.
double ForwardMargin(const RouteQuery& query, double local_cost) {
  return std::max(kHysteresisShare * local_cost,
                  query.route->weight_latency * ToSeconds(kHysteresisMin));
}

// Why the request can neither run on a local server nor be forwarded.
ErrorKind RefusalReason(const RouteQuery& query, const RoutingView& view, bool local_allowed) {
  if (query.hops >= kMaxHops) return ErrorKind::kHopLimit;
  if (local_allowed) return ErrorKind::kNoServer;
  if (query.crossed_region) return ErrorKind::kHopLimit;
  if (!query.route->send_away) return ErrorKind::kResidencyRefused;
  return AnyUsableHost(query, view) ? ErrorKind::kNoServer : ErrorKind::kRegionUnreachable;
}

// True if this host has heard of the servers of the region: of its own servers directly, of those
// of another region by summaries, for which it also needs a host to forward to.
bool HasHeardOf(const RoutingView& view, const RegionId& region) {
  if (region == view.self.region) return !view.servers.empty();
  auto in_region = [&](const auto& entry) { return entry.region == region; };
  return std::any_of(view.summaries.begin(), view.summaries.end(), in_region) &&
         std::any_of(view.hosts.begin(), view.hosts.end(), in_region);
}

// True if a region that this host will probably hear of soon may serve the request.
bool MayBeServedSoon(const RouteQuery& query, const RoutingView& view,
                     const RoutingState& routing_state, Time now) {
  if (now >= routing_state.learning_until || query.hops > 0) return false;
  return std::any_of(
      query.allowed_regions.begin(), query.allowed_regions.end(), [&](const RegionId& region) {
        bool reachable = region == view.self.region || query.route->send_away;
        return reachable && RegionAllowed(query, region) && !HasHeardOf(view, region);
      });
}

// Refuses the request until some time after `pause_end`, so that callers do not return together.
Choice RefusePaused(Time pause_end, Time now, std::mt19937_64& rng) {
  constexpr double kMaxDelaySeconds = 1;
  double delay = std::uniform_real_distribution<double>(0, kMaxDelaySeconds)(rng);
  Choice choice = Refuse(ErrorKind::kOverloaded);
  choice.retry_after = pause_end - now + Duration(static_cast<int64_t>(delay * 1e6));
  return choice;
}

Choice HoldUntil(Time time) {
  Choice choice;
  choice.kind = ChoiceKind::kQueue;
  choice.hold_until = time;
  return choice;
}

bool AnyRegionAllowed(const RouteQuery& query) {
  return std::any_of(query.allowed_regions.begin(), query.allowed_regions.end(),
                     [&](const RegionId& region) { return RegionAllowed(query, region); });
}

}  // namespace

const std::string& ServedName(const RouteConfig& route) {
  return route.kind == ServerKind::kModel ? route.model.value() : route.service;
}

std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name) {
  constexpr std::pair<std::string_view, RoutingPolicy> kPolicies[] = {
      {"cost", RoutingPolicy::kCost},
      {"round_robin", RoutingPolicy::kRoundRobin},
      {"least_reported", RoutingPolicy::kLeastReported},
      {"power_of_two", RoutingPolicy::kPowerOfTwo},
      {"prefix_hash", RoutingPolicy::kPrefixHash}};
  for (const auto& [known, policy] : kPolicies) {
    if (known == name) return policy;
  }
  return std::nullopt;
}

std::vector<RegionId> AllowedRegions(const ConfigView& config, const RouteConfig& route) {
  std::vector<RegionId> allowed;
  auto team = config.teams.find(route.team);
  if (team == config.teams.end()) return allowed;
  for (const RegionId& region : route.regions) {
    if (Contains(team->second.regions, region)) allowed.push_back(region);
  }
  return allowed;
}

bool CanServe(const BackendServer& server, const RouteConfig& route, const RoutingView& view,
              Time now) {
  const Announcement& announced = server.announced;
  if (announced.leaving || now >= server.expires_at || announced.kind != route.kind) return false;
  if (!InScope(view.self, view.server_scope, announced.domain, announced.region)) return false;
  if (IsEvacuated(view, announced.domain)) return false;
  if (route.kind == ServerKind::kModel) return ServesModel(announced, route);
  return Contains(announced.services, route.service);
}

Choice Choose(const RouteQuery& query, const RoutingView& view, const RoutingState& routing_state,
              Time now, std::mt19937_64& rng) {
  if (query.route == nullptr || !AnyRegionAllowed(query)) {
    return Refuse(ErrorKind::kResidencyRefused);
  }
  if (query.hops > kMaxHops) return Refuse(ErrorKind::kHopLimit);
  if (now >= query.deadline) return Refuse(ErrorKind::kDeadlineNotRun);

  bool local_allowed = RegionAllowed(query, view.self.region);
  LocalServers local;
  if (local_allowed) local = FindLocalServers(query, view, routing_state, now);
  if (query.relay) {
    Choice relay = ChooseRelay(query, view, rng);
    if (relay.kind == ChoiceKind::kForward) return relay;
    relay = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (relay.kind == ChoiceKind::kForward) return relay;
  } else if (local.reachable == 0 && local.unreachable > 0 && query.hops == 0) {
    // The servers may be down for all hosts, so other failure domains come first.
    Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
    remote = ChooseRelay(query, view, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
  }
  if (local.count == 0) {
    Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kAny, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
    if (MayBeServedSoon(query, view, routing_state, now)) {
      return HoldUntil(std::min(routing_state.learning_until, query.deadline));
    }
    if (local.first_pause_end != Time()) return RefusePaused(local.first_pause_end, now, rng);
    return Refuse(RefusalReason(query, view, local_allowed));
  }

  Choice local_choice = ChooseLocal(query, view, routing_state, local, now, rng);
  if (query.hops > 0 || query.suspect) return local_choice;
  if (local_choice.kind == ChoiceKind::kQueue && query.first_byte_deadline != Time()) {
    Choice remote =
        ChooseRemote(query, view, routing_state, now, RemoteCapacity::kStartsInTime, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
  }
  double threshold = local_choice.cost - ForwardMargin(query, local_choice.cost);
  if (MinRemoteCost(query, routing_state) >= threshold) return local_choice;
  Choice remote = ChooseRemote(query, view, routing_state, now, RemoteCapacity::kFreeSlot, rng);
  return remote.kind == ChoiceKind::kForward && remote.cost < threshold ? remote : local_choice;
}

Duration RetryAfter(const RouteQuery& query, const RoutingView& view,
                    const RoutingState& routing_state, Time now, std::mt19937_64& rng) {
  double rate = PrefillRate(query, routing_state);
  double own = PrefillSeconds(query.prompt_tokens, rate);
  double min_wait = ToSeconds(kMaxRetryAfter);
  for (const BackendServer& server : view.servers) {
    if (!CanServe(server, *query.route, view, now)) continue;
    Candidate candidate = MakeCandidate(query, server, routing_state);
    if (!HasSoftware(query, candidate)) continue;
    candidate.request_rate = RequestRate(view, server, LimitOf(candidate), now);
    NoticeReason excluded = ExcludedBy(NoticesOf(candidate), now);
    if (excluded == NoticeReason::kLeaving) continue;
    bool allowed = AllowedByRate(view, now, &candidate);
    if (!allowed && candidate.min_interval == Duration(0)) continue;  // only other hosts send to it
    double wait = PrefillSeconds(candidate.tokens_ahead, rate) + own;
    if (!allowed) wait = std::max(wait, ToSeconds(candidate.state->next_limited_dispatch - now));
    if (excluded == NoticeReason::kPaused) {
      wait = std::max(wait, ToSeconds(NoticesOf(candidate).paused_until - now));
    }
    min_wait = std::min(min_wait, wait);
  }
  double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(rng);
  auto wait = Duration(static_cast<int64_t>(min_wait * jitter * 1e6));
  return std::clamp<Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace ebonylift
