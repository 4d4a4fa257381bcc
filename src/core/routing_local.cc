#include "core/routing_local.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "core/ingress.h"
#include "core/poison.h"
#include "core/request_rate.h"
#include "core/routing_room.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

// The cost of the interference between a long prompt and other requests on the same server.
double InterferenceSeconds(const RouteQuery& query, const Candidate& candidate,
                           const PrefillEstimate& estimate) {
  if (!candidate.has_long_prompt_servers) return 0;
  if (query.prompt_tokens - candidate.cached_tokens() < kLongPromptTokens) {
    return candidate.is_long_prompt_server ? kShortPromptAtLongPromptServerCost : 0;
  }
  double streams = candidate.requests * kLongPromptPerRequestCost / candidate.mean_speed;
  if (candidate.is_long_prompt_server) return streams;
  return streams + (estimate.late_when_idle ? kLatePromptElsewhereCost : kLongPromptElsewhereCost);
}

// Time in which the server fetches the cached part of the prompt and prefills the rest. What the
// source turns out not to have is prefilled as well, and then stands at the wrong server.
double PromptReadSeconds(const RouteQuery& query, const Candidate& candidate,
                         const PrefillEstimate& estimate) {
  double prefill_s = PrefillSeconds(query.prompt_tokens - candidate.cached_tokens(),
                                    ReadRate(candidate, estimate));
  if (candidate.fetch_tokens <= 0) return prefill_s;
  double fetch_s = PrefillSeconds(candidate.fetch_tokens, estimate.fetch_rate);
  if (candidate.fetch_crosses_domain) fetch_s *= kCrossDomainFetchFactor;
  if (candidate.fetch_certain) return prefill_s + fetch_s;
  double read_s = PrefillSeconds(candidate.fetch_tokens, ReadRate(candidate, estimate));
  return prefill_s + kAssumedPrefixShare * fetch_s + (1 - kAssumedPrefixShare) * read_s;
}

// The cost of a server that sends the events of the answer more slowly than others, or where they
// or those of other streams come too late; negative for a faster one. 0 for a server of the mean
// speed, so that this tells apart only servers that differ.
double SpeedSeconds(const RouteQuery& query, const Candidate& candidate,
                    const PrefillEstimate& estimate) {
  if (candidate.speed == 1) return 0;
  double mean_s = query.expected_events * EventGapSeconds(estimate.pace, candidate.requests);
  double cost = kSlowPaceCost * mean_s * (1 / candidate.mean_speed - 1);
  return cost + (AnswersInTime(query, candidate, estimate) ? 0 : kLateAnswerCost);
}

double ServerCost(const RouteQuery& query, const Candidate& candidate,
                  const PrefillEstimate& estimate) {
  double wait =
      WaitSeconds(candidate.expected_requests, candidate.slots, ServiceSeconds(candidate.state));
  wait += candidate.expected_tokens_ahead / ReadRate(candidate, estimate);
  wait += InterferenceSeconds(query, candidate, estimate);
  wait += SpeedSeconds(query, candidate, estimate);
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

bool IsIdle(const Candidate& candidate) {
  const ServerLoad& report = candidate.server->announced.load;
  return report.running + report.waiting == 0 && candidate.requests == 0;
}

// Admits a server that is new, or whose pause has ended, to a random share of the choices. The
// share grows linearly to all choices over kSlowStartDuration.
bool PassesSlowStart(const Candidate& candidate, Time now, std::mt19937_64& rng) {
  Time since = std::max(candidate.server->first_seen, PauseEnd(candidate.notices));
  Duration age = now - since;
  if (age >= kSlowStartDuration) return true;
  return std::uniform_real_distribution<double>(0, 1)(rng) <
         ToSeconds(age) / ToSeconds(kSlowStartDuration);
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
  std::vector<const Candidate*> long_prompt_group;
  std::vector<const Candidate*> others;
  others.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    bool hit =
        best_hit > 0 && static_cast<double>(candidate.hit_tokens) >= kPrefixGroupShare * best_hit;
    if (hit) {
      prefix_group.push_back(&candidate);
    } else {
      (candidate.is_long_prompt_server ? long_prompt_group : others).push_back(&candidate);
    }
  }
  // Two of each group, because two of all would seldom include a server of a small group.
  PricedCandidate best = CheaperOfTwo(query, prefix_group, estimate, rng);
  for (const auto* group : {&long_prompt_group, &others}) {
    PricedCandidate other = CheaperOfTwo(query, *group, estimate, rng);
    if (IsCheaper(other, best)) best = other;
  }
  return best;
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
  int64_t tokens = 0;    // length
  bool certain = false;  // this host sent the prefix there; otherwise it belongs there
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
    if (candidate.server == shared_prefix_server)
      placement->cached.push_back({&candidate, tokens, false});
  }
}

// The result points into `healthy`, which must outlive it.
PromptPlacement FindPlacement(const RouteQuery& query, const RoutingState& routing_state,
                              const std::vector<Candidate>& healthy, Time now) {
  PromptPlacement placement;
  std::vector<CacheHit> hits = PredictHits(
      routing_state.prefixes, {query.prefix_hashes, query.prefix_tokens, query.prompt_tokens}, now);
  ServerList warm;
  ServerList warm_and_slow;
  for (const Candidate& candidate : healthy) {
    int64_t hit = PredictedHitTokens(hits, candidate);
    if (hit > 0) placement.cached.push_back({&candidate, hit, true});
    bool takes_work = !IsCold(*candidate.server, now) && candidate.request_rate <= 0;
    if (!takes_work) continue;
    bool slow = candidate.mean_speed < kMinAffinitySpeed;
    (slow ? warm_and_slow : warm).push_back(candidate.server);
  }
  if (warm.size() < warm_and_slow.size()) {
    warm.insert(warm.end(), warm_and_slow.begin(), warm_and_slow.end());
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
  estimate.time_left_s = ToSeconds(query.deadline - now);
  estimate.rate_measured = routing_state.prefill_rates.count(ServedName(*query.route)) != 0;
  estimate.fetch_rate = FetchRate(query, view);
  estimate.max_wait_behind_urgent = WaitBehindUrgent(query, routing_state, now);
  auto pace = routing_state.speed_baselines.find(ServedName(*query.route));
  if (pace != routing_state.speed_baselines.end()) estimate.pace = pace->second;
  if (query.first_byte_deadline == Time()) return estimate;
  double alone = PrefillSeconds(query.prompt_tokens, estimate.read_rate);
  estimate.late_when_idle = alone > ToSeconds(query.first_byte_deadline - now);
  estimate.may_wait_at_long_prompt_server =
      estimate.late_when_idle && routing_state.queued_ahead == 0;
  return estimate;
}

// True if a fetch from a server of another failure domain is faster than prefilling.
bool MayFetchAcrossDomains(const PrefillEstimate& estimate) {
  return estimate.fetch_rate > kCrossDomainFetchFactor * estimate.read_rate;
}

// Picks the server from which the candidate fetches the longest cached prefix, in its own failure
// domain if two are equally long.
void SetFetchSource(const std::vector<CachedPrefix>& cached, const PrefillEstimate& estimate,
                    Candidate* candidate) {
  const DomainId& domain = candidate->server->announced.domain;
  for (const CachedPrefix& prefix : cached) {
    int64_t tokens = prefix.tokens - candidate->hit_tokens;
    if (tokens < kMinFetchTokens) continue;
    bool crosses_domain = prefix.holder->server->announced.domain != domain;
    if (crosses_domain && !MayFetchAcrossDomains(estimate)) continue;
    bool closer = tokens == candidate->fetch_tokens && candidate->fetch_crosses_domain &&
                  !crosses_domain && prefix.certain >= candidate->fetch_certain;
    if (tokens <= candidate->fetch_tokens && !closer) continue;
    candidate->fetch_from = prefix.holder->server;
    candidate->fetch_tokens = tokens;
    candidate->fetch_certain = prefix.certain;
    candidate->fetch_crosses_domain = crosses_domain;
  }
}

void ApplyPlacement(const PromptPlacement& placement, const PrefillEstimate& estimate,
                    std::vector<Candidate>* candidates) {
  bool can_fetch = estimate.fetch_rate > estimate.read_rate;
  for (Candidate& candidate : *candidates) {
    candidate.has_long_prompt_servers = !placement.long_prompt_servers.empty();
    candidate.is_long_prompt_server = Contains(placement.long_prompt_servers, candidate.server);
    for (const CachedPrefix& prefix : placement.cached) {
      if (prefix.holder->server != candidate.server) continue;
      candidate.hit_tokens = std::max(candidate.hit_tokens, prefix.tokens);
    }
    if (can_fetch) SetFetchSource(placement.cached, estimate, &candidate);
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
  choice.speed = picked.speed;
  choice.software_version = SoftwareOf(picked);
  choice.min_interval = picked.min_interval;
  return choice;
}

void RemoveUtilized(double max_utilization, std::vector<Candidate>* candidates) {
  candidates->erase(std::remove_if(candidates->begin(), candidates->end(),
                                   [max_utilization](const Candidate& candidate) {
                                     return candidate.utilization() >= max_utilization;
                                   }),
                    candidates->end());
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

}  // namespace

Choice ChooseLocal(const RouteQuery& query, const RoutingView& view,
                   const RoutingState& routing_state, LocalServers& local, Time now,
                   std::mt19937_64& rng) {
  PrefillEstimate estimate = EstimatePrefill(query, view, routing_state, now);
  ApplyPlacement(FindPlacement(query, routing_state, local.healthy, now), estimate, &local.usable);
  UnseenWork unseen = ExpectUnseenWork(query, view, routing_state, estimate, now, &local.usable);
  if (query.max_utilization > 0) RemoveUtilized(query.max_utilization, &local.usable);
  GroupByRoom(query, routing_state, estimate, now, rng, &local);
  const std::vector<Candidate>* candidates = &local.with_room;
  if (candidates->empty()) candidates = &local.in_slow_start;
  bool taken = !candidates->empty() && !query.suspect &&
               !MayTakeRoom(query, routing_state, *candidates, unseen, estimate, now);
  // Ejection is a heuristic. If all servers are ejected, trying one is better than refusing.
  bool ejected = candidates->empty() && local.healthy.empty();
  if (ejected) candidates = &local.ejected;
  if (candidates->empty() || taken) {
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

}  // namespace ebonylift
