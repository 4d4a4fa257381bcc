#include "core/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"
#include "core/cold_limit.h"
#include "core/ingress.h"
#include "core/poison.h"

namespace ebonylift {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

Choice Refuse(ErrorKind error) {
  Choice choice;
  choice.kind = ChoiceKind::kRefuse;
  choice.error = error;
  choice.retry_after = milliseconds(LookupError(error).retry_after_ms);
  return choice;
}

bool RegionAllowed(const RouteQuery& query, const RegionId& region) {
  return !region.empty() && Contains(query.allowed_regions, region) &&
         Contains(query.route->regions, region);
}

// False when the configuration lists the failure domains of the region and this one is not among
// them: a host that claims the wrong region must not get the region's data.
bool DomainBelongs(const RoutingView& view, const DomainId& domain, const RegionId& region) {
  if (view.config == nullptr) return false;
  auto found = view.config->regions.find(region);
  if (found == view.config->regions.end() || found->second.domains.empty()) return true;
  return Contains(found->second.domains, domain);
}

bool Evacuated(const RoutingView& view, const DomainId& domain) {
  return view.config != nullptr && view.config->evacuated.count(domain) != 0;
}

bool ServesModel(const Announcement& server, const RouteConfig& route) {
  for (const ServedModel& model : server.models) {
    if (model.name != route.model) continue;
    if (!route.version.empty() && model.version != route.version) continue;
    if (route.adapter.empty() || Contains(model.adapters, route.adapter)) return true;
  }
  return false;
}

int SentSince(const ServerUse& use, Time since) {
  return static_cast<int>(use.sent.end() -
                          std::upper_bound(use.sent.begin(), use.sent.end(), since));
}

// Seconds until a new request starts, given how many are there already.
double WaitSeconds(int present, int slots, double service_s) {
  if (present < slots) return 0;
  return (present - slots + 1) * service_s / slots;
}

struct Candidate {
  const BackendServer* server = nullptr;
  const ServerUse* use = nullptr;  // null: never used by this host
  int present = 0;                 // reported, plus sent since the report
  int slots = 1;
  int64_t hit_tokens = 0;
  const BackendServer* fetch_from = nullptr;  // has more of the prompt than this one
  int64_t fetch_tokens = 0;
  int64_t tokens_ahead = 0;    // of prompts that it reads before this one
  bool ejected = false;        // or unreachable
  bool long_home = false;      // takes the long prompts of the region
  bool has_long_home = false;  // some server does
  Duration cold_interval{0};
  double fill() const { return static_cast<double>(present) / slots; }
  int64_t cached_tokens() const { return hit_tokens + fetch_tokens; }
};

double ServiceSeconds(const ServerUse* use) {
  if (use == nullptr || use->mean_service == Duration::zero()) return Seconds(kDefaultService);
  return Seconds(use->mean_service);
}

double PrefillRate(const RouteQuery& query, const LocalLoad& load) {
  auto found = load.prefill_rates.find(Served(*query.route));
  return found == load.prefill_rates.end() ? kPrefillTokensPerSecond : found->second;
}

// What the costs of a prompt at all servers depend on.
struct PromptPace {
  double read = kPrefillTokensPerSecond;  // tokens a second
  double fetch = 0;               // tokens a second from another server's cache; 0: not possible
  bool measured = false;          // answers have shown `read`
  bool may_wait_at_home = false;  // see kLateHomeWait
  bool late_alone = false;        // misses the target of the query at an idle server
};

double PrefillSeconds(int64_t tokens, double rate) {
  return static_cast<double>(std::max<int64_t>(tokens, 0)) / rate;
}

// What a long prompt and the streams beside it cost each other.
double NeighbourSeconds(const RouteQuery& query, const Candidate& candidate,
                        const PromptPace& pace) {
  if (!candidate.has_long_home) return 0;
  if (query.prompt_tokens - candidate.cached_tokens() < kLongPromptTokens) {
    return candidate.long_home ? kLongHomeCost : 0;
  }
  double streams = candidate.present * kNeighbourCost;
  if (candidate.long_home) return streams;
  return streams + (pace.late_alone ? kLateElsewhereCost : kLongElsewhereCost);
}

// The time in which the server reads and fetches the prompt.
double ReadSeconds(const RouteQuery& query, const Candidate& candidate, const PromptPace& pace) {
  double read = PrefillSeconds(query.prompt_tokens - candidate.cached_tokens(), pace.read);
  if (candidate.fetch_tokens > 0) read += PrefillSeconds(candidate.fetch_tokens, pace.fetch);
  return read;
}

double Cost(const RouteQuery& query, const Candidate& candidate, const PromptPace& pace) {
  double wait = WaitSeconds(candidate.present, candidate.slots, ServiceSeconds(candidate.use));
  wait += PrefillSeconds(candidate.tokens_ahead, pace.read);
  wait += NeighbourSeconds(query, candidate, pace);
  double service = ReadSeconds(query, candidate, pace);
  return query.route->weight_latency * wait + query.route->weight_cost * service;
}

int64_t HitOf(const std::vector<CacheHit>& hits, const Candidate& candidate) {
  if (hits.empty() || candidate.use == nullptr) return 0;
  if (candidate.use->incarnation != candidate.server->announced.incarnation) return 0;
  for (const CacheHit& hit : hits) {
    if (hit.cache_id == candidate.use->cache_id) return hit.tokens;
  }
  return 0;
}

// The local servers that can run the request, in groups of decreasing preference.
struct LocalServers {
  std::vector<Candidate> healthy;  // not ejected, with room or not
  std::vector<Candidate> usable;   // may get work, with room or not
  // Those of `usable` that have room:
  std::vector<Candidate> open;
  std::vector<Candidate> warming;  // left out this time by slow start
  std::vector<Candidate> ejected;
  const BackendServer* own_set_aside = nullptr;
  int known = 0;  // not avoided
  int slots = 0;
  double service_s = 0;  // sum over the known
};

bool Idle(const Candidate& candidate) {
  const ServerLoad& report = candidate.server->announced.load;
  return report.running + report.waiting == 0 && candidate.present == 0;
}

// Chapters are sent to a server that holds fewer requests than this while slots are reserved.
int ChapterLimit(int slots) {
  if (slots < kMinSlotsToReserve) return slots;
  return slots - std::max(1, static_cast<int>(slots * kReservedShare));
}

// How long a prompt that cannot start in time may wait for the ones ahead.
Duration LateWait(const Candidate& candidate, const PromptPace& pace) {
  return pace.may_wait_at_home && candidate.long_home ? kLateHomeWait : kLateWait;
}

// False when the prompts ahead make the answer start after the target of the query.
bool StartsInTime(const RouteQuery& query, const Candidate& candidate, const PromptPace& pace,
                  Time now) {
  if (query.first_byte_by == Time() || !pace.measured) return true;
  // As if nothing were cached: what is ahead is known late, and hits are predictions.
  double own = PrefillSeconds(query.prompt_tokens, pace.read);
  double left = Seconds(query.first_byte_by - now) - own;
  double wait = PrefillSeconds(candidate.tokens_ahead, pace.read);
  return wait <= std::max(left, Seconds(LateWait(candidate, pace)));
}

// A request without a prompt that has a target for its first byte.
bool IsPlainCall(const RouteQuery& query) {
  return query.prompt_tokens == 0 && query.first_byte_by != Time();
}

bool HasRoom(const RouteQuery& query, const LocalLoad& load, const Candidate& candidate,
             const PromptPace& pace, Time now) {
  if (!StartsInTime(query, candidate, pace, now)) return false;
  if (query.traffic_class == TrafficClass::kChapter && !query.uses_reserve &&
      now < load.reserved_until) {
    return candidate.present < ChapterLimit(candidate.slots);
  }
  double share = IsPlainCall(query) ? kPlainBacklogShare : kServerBacklogShare;
  int backlog = std::max(1, static_cast<int>(candidate.slots * share));
  return candidate.present < candidate.slots + backlog;
}

bool Unreachable(const Candidate& candidate, Time now) {
  Time since = candidate.use->unreachable_at;
  return since != Time() && candidate.server->reported_at <= since && now < since + kUnreachableFor;
}

bool SameIncarnation(const Candidate& candidate) {
  return candidate.use != nullptr &&
         candidate.use->incarnation == candidate.server->announced.incarnation;
}

bool Ejected(const Candidate& candidate, Time now) {
  if (!SameIncarnation(candidate)) return false;
  return now < candidate.use->ejected_until || Unreachable(candidate, now);
}

// One request since the failure shows whether an unreachable server is back; more of them would
// wait for a connection that is not made.
bool IsBeingTried(const Candidate& candidate, Time now) {
  if (!SameIncarnation(candidate) || !Unreachable(candidate, now)) return false;
  const std::vector<Time>& sent = candidate.use->sent;
  return !sent.empty() && sent.back() > candidate.use->unreachable_at;
}

bool Gone(const Candidate& candidate) { return SameIncarnation(candidate) && candidate.use->gone; }

// A new server takes part in a share of the choices that grows to all over kSlowStart.
bool PassesSlowStart(const BackendServer& server, Time now, std::mt19937_64& rng) {
  Duration age = now - server.first_seen;
  if (age >= kSlowStart) return true;
  return std::uniform_real_distribution<double>(0, 1)(rng) < Seconds(age) / Seconds(kSlowStart);
}

// Tokens of prompts sent from here that the server has still to read.
int64_t OwnTokensAhead(const RouteQuery& query, const BackendServer& server, const ServerUse& use) {
  if (Contains(server.announced.capabilities, std::string(kNoLoadReports))) {
    return use.prefill_tokens;
  }
  // The report covers what was sent before it; the rest is taken to be as long as this request.
  return SentSince(use, server.reported_at) * query.prompt_tokens;
}

Candidate MakeCandidate(const RouteQuery& query, const BackendServer& server,
                        const LocalLoad& load) {
  Candidate candidate;
  candidate.server = &server;
  auto found = load.servers.find(server.announced.id);
  const ServerLoad& report = server.announced.load;
  candidate.slots = std::max(report.slots, 1);
  candidate.present = std::max(report.running, 0) + std::max(report.waiting, 0);
  candidate.tokens_ahead = report.prefill_tokens_waiting + server.elsewhere_tokens;
  if (found != load.servers.end()) {
    const ServerUse& use = found->second;
    candidate.use = &use;
    candidate.present =
        std::max(candidate.present + SentSince(use, server.reported_at), use.in_flight);
    candidate.tokens_ahead += OwnTokensAhead(query, server, use);
  }
  candidate.present += server.elsewhere;
  return candidate;
}

// The servers that are kept free for suspects, one for each host of the failure domain where half
// of the servers are enough for that. They are the same on every host whose view has the same
// servers, so no host sends other work to the server on which another one runs a suspect. Empty
// when too few serve the route.
std::vector<const BackendServer*> SetAside(const RouteConfig& route, const RoutingView& view) {
  std::vector<std::pair<uint64_t, const BackendServer*>> serving;
  for (const BackendServer& server : view.servers) {
    // One that is silent counts until the view drops it: hosts see the expiry at different times.
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

// Of the servers set aside, the one on which this host runs its suspects.
const BackendServer* OwnSetAside(const std::vector<const BackendServer*>& set_aside,
                                 const RoutingView& view) {
  size_t rank = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.domain == view.self.domain && host.id < view.self.host) ++rank;
  }
  return set_aside.empty() ? nullptr : set_aside[rank % set_aside.size()];
}

// A suspect runs where nothing else does: when all hosts have had time to hear of the newest loss
// and of the newest server or host, which may move the servers set aside, and a report after that
// shows no work, the server that is set aside has none.
bool MayRunSuspect(const BackendServer& server, const BackendServer* own, const LocalLoad& load) {
  if (own == nullptr) return true;
  Time newest_loss = load.set_aside_until - kSetAside;
  Time set_aside_since = std::max(newest_loss, load.members_changed_at);
  return &server == own && server.reported_at >= set_aside_since + kSetAsideSettle;
}

// False when the server is cold and this host may not send to it now.
bool MayUseCold(const RoutingView& view, Time now, Candidate* candidate) {
  if (!IsCold(*candidate->server, now)) return true;
  std::optional<Duration> interval = ColdInterval(view, *candidate->server);
  if (!interval) return false;
  candidate->cold_interval = *interval;
  return candidate->use == nullptr || now >= candidate->use->cold_next;
}

LocalServers FindLocal(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                       Time now) {
  LocalServers local;
  std::vector<const BackendServer*> set_aside;
  if (now < load.set_aside_until) set_aside = SetAside(*query.route, view);
  local.own_set_aside = OwnSetAside(set_aside, view);
  for (const BackendServer& server : view.servers) {
    if (!CanServe(server, *query.route, view, now)) continue;
    bool kept_free = std::find(set_aside.begin(), set_aside.end(), &server) != set_aside.end();
    if (kept_free && !query.suspect) continue;
    if (Contains(query.avoid_servers, server.announced.id)) continue;
    Candidate candidate = MakeCandidate(query, server, load);
    if (Gone(candidate) || IsBeingTried(candidate, now)) continue;
    ++local.known;
    local.slots += candidate.slots;
    local.service_s += ServiceSeconds(candidate.use);
    candidate.ejected = Ejected(candidate, now);
    if (!candidate.ejected) local.healthy.push_back(candidate);
    if (candidate.use != nullptr && candidate.use->exclusive) continue;
    if (MayUseCold(view, now, &candidate)) local.usable.push_back(candidate);
  }
  return local;
}

size_t RandomIndex(size_t count, std::mt19937_64& rng) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(rng);
}

// The cheaper of two random candidates of a group; equal costs go to the emptier server.
struct Priced {
  const Candidate* candidate = nullptr;
  double cost = kInfinity;
};

bool Cheaper(const Priced& a, const Priced& b) {
  if (a.cost != b.cost) return a.cost < b.cost;
  return a.candidate != nullptr &&
         (b.candidate == nullptr || a.candidate->fill() < b.candidate->fill());
}

Priced CheapestOf(const RouteQuery& query, const std::vector<Candidate>& candidates,
                  const PromptPace& pace, std::mt19937_64& rng) {
  // The random start decides between equal ones.
  size_t start = RandomIndex(candidates.size(), rng);
  Priced best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[(start + i) % candidates.size()];
    Priced priced{&candidate, Cost(query, candidate, pace)};
    if (Cheaper(priced, best)) best = priced;
  }
  return best;
}

Priced CheaperOfTwo(const RouteQuery& query, const std::vector<const Candidate*>& group,
                    const PromptPace& pace, std::mt19937_64& rng) {
  if (group.empty()) return {};
  size_t first = RandomIndex(group.size(), rng);
  Priced best{group[first], Cost(query, *group[first], pace)};
  if (group.size() == 1) return best;
  size_t second = RandomIndex(group.size() - 1, rng);
  if (second >= first) ++second;
  Priced other{group[second], Cost(query, *group[second], pace)};
  return Cheaper(other, best) ? other : best;
}

Priced PickByCost(const RouteQuery& query, const std::vector<Candidate>& candidates,
                  const PromptPace& pace, std::mt19937_64& rng) {
  if (candidates.size() <= kCompareAll) return CheapestOf(query, candidates, pace, rng);
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
  Priced a = CheaperOfTwo(query, prefix_group, pace, rng);
  Priced b = CheaperOfTwo(query, others, pace, rng);
  return Cheaper(b, a) ? b : a;
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
  return b.fill() < a.fill() ? &b : &a;
}

const Candidate* PickPrefixHash(const RouteQuery& query, const std::vector<Candidate>& candidates) {
  uint64_t key = query.prefix_hashes.empty() ? query.content : query.prefix_hashes.front();
  double present = 0;
  double slots = 0;
  for (const Candidate& candidate : candidates) {
    present += candidate.present;
    slots += candidate.slots;
  }
  const Candidate* best = nullptr;
  uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    // The bound counts the new request, so at least one candidate is always below it.
    double bound = std::ceil(kPrefixHashBound * (present + 1) * candidate.slots / slots);
    if (candidate.present + 1 > bound) continue;
    uint64_t weight = RendezvousWeight(candidate.server->announced.id, key);
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

Priced Pick(const RouteQuery& query, const LocalLoad& load,
            const std::vector<Candidate>& candidates, const PromptPace& pace,
            std::mt19937_64& rng) {
  const Candidate* picked = nullptr;
  switch (load.policy) {
    case RoutingPolicy::kCost:
      return PickByCost(query, candidates, pace, rng);
    case RoutingPolicy::kRoundRobin:
      picked = &candidates[load.round_robin % candidates.size()];
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
  return {picked, Cost(query, *picked, pace)};
}

// The cost of waiting in the local queue, where every server is full.
double QueueCost(const RouteQuery& query, const LocalServers& local, const LocalLoad& load) {
  double service_s = local.service_s / local.known;
  double wait = (static_cast<double>(load.queued_ahead) + 1) * service_s / local.slots;
  return query.route->weight_latency * wait +
         query.route->weight_cost * PrefillSeconds(query.prompt_tokens, PrefillRate(query, load));
}

// Where parts of a prompt are expected, among the servers that can run it.
struct CachedPart {
  const Candidate* at = nullptr;
  int64_t tokens = 0;  // from the start of the prompt
};

struct PromptPlaces {
  ServerList long_homes;
  std::vector<CachedPart> cached;
};

// The last part of a prompt belongs to the request or its session alone.
void AddSharedPartsHome(const RouteQuery& query, const ServerList& servers,
                        const std::vector<Candidate>& healthy, PromptPlaces* places) {
  if (query.prefix_tokens.size() < 2) return;
  size_t last_shared = query.prefix_tokens.size() - 2;
  const BackendServer* home =
      SharedPartsHome(servers, places->long_homes, query.prefix_hashes[last_shared]);
  int64_t tokens = std::min(query.prefix_tokens[last_shared], query.prompt_tokens);
  for (const Candidate& candidate : healthy) {
    if (candidate.server == home) places->cached.push_back({&candidate, tokens});
  }
}

// Precondition: `healthy` outlives the result.
PromptPlaces FindPlaces(const RouteQuery& query, const LocalLoad& load,
                        const std::vector<Candidate>& healthy, Time now) {
  PromptPlaces places;
  std::vector<CacheHit> hits = PredictHits(
      load.prefixes, {query.prefix_hashes, query.prefix_tokens, query.prompt_tokens}, now);
  ServerList warm;
  for (const Candidate& candidate : healthy) {
    int64_t hit = HitOf(hits, candidate);
    if (hit > 0) places.cached.push_back({&candidate, hit});
    if (!IsCold(*candidate.server, now)) warm.push_back(candidate.server);
  }
  if (query.prefix_tokens.empty()) return places;
  places.long_homes = LongPromptHomes(warm, Hash64(Served(*query.route)));
  AddSharedPartsHome(query, warm, healthy, &places);
  return places;
}

// Tokens a second that servers of the route fetch from each other; 0: they don't.
double FetchRate(const RouteQuery& query, const RoutingView& view) {
  if (view.config == nullptr || view.config->ingress == nullptr) return 0;
  const auto& services = view.config->ingress->services;
  auto service = services.find(query.route->service);
  return service == services.end() ? 0 : service->second.fetch_tokens_per_s;
}

PromptPace MakePace(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                    Time now) {
  PromptPace pace;
  pace.read = PrefillRate(query, load);
  pace.measured = load.prefill_rates.count(Served(*query.route)) != 0;
  pace.fetch = FetchRate(query, view);
  if (query.first_byte_by == Time()) return pace;
  double alone = PrefillSeconds(query.prompt_tokens, pace.read);
  pace.late_alone = alone > Seconds(query.first_byte_by - now);
  pace.may_wait_at_home = pace.late_alone && load.queued_ahead == 0;
  return pace;
}

// Picks what the candidate fetches. Memory moves within a failure domain only: between two of them
// it takes twice as long, which is hardly faster than reading.
void SetFetch(const std::vector<CachedPart>& cached, Candidate* candidate) {
  const DomainId& domain = candidate->server->announced.domain;
  for (const CachedPart& part : cached) {
    int64_t tokens = part.tokens - candidate->hit_tokens;
    if (tokens < kMinFetchTokens || tokens <= candidate->fetch_tokens) continue;
    if (part.at->server->announced.domain != domain) continue;
    candidate->fetch_from = part.at->server;
    candidate->fetch_tokens = tokens;
  }
}

void SetPlaces(const PromptPlaces& places, bool fetches, std::vector<Candidate>* candidates) {
  for (Candidate& candidate : *candidates) {
    candidate.has_long_home = !places.long_homes.empty();
    candidate.long_home = Contains(places.long_homes, candidate.server);
    for (const CachedPart& part : places.cached) {
      if (part.at->server != candidate.server) continue;
      candidate.hit_tokens = std::max(candidate.hit_tokens, part.tokens);
    }
    if (fetches) SetFetch(places.cached, &candidate);
  }
}

Choice LocalChoice(const RouteQuery& query, const Candidate& picked) {
  Choice choice;
  choice.kind = ChoiceKind::kLocal;
  choice.server = picked.server->announced.id;
  choice.incarnation = picked.server->announced.incarnation;
  choice.hit_tokens = picked.hit_tokens;
  choice.fetch_tokens = picked.fetch_tokens;
  if (picked.fetch_from != nullptr) choice.fetch_from = picked.fetch_from->announced.id;
  choice.prefill_tokens = std::max<int64_t>(0, query.prompt_tokens - picked.cached_tokens());
  choice.tokens_ahead = picked.tokens_ahead;
  choice.cold_interval = picked.cold_interval;
  return choice;
}

// Sorts the usable servers that have room for the request.
void FindRoom(const RouteQuery& query, const LocalLoad& load, const PromptPace& pace, Time now,
              std::mt19937_64& rng, LocalServers* local) {
  for (const Candidate& candidate : local->usable) {
    const BackendServer& server = *candidate.server;
    bool fits = query.suspect ? Idle(candidate) && MayRunSuspect(server, local->own_set_aside, load)
                              : HasRoom(query, load, candidate, pace, now);
    if (!fits) continue;
    if (candidate.ejected) {
      local->ejected.push_back(candidate);
    } else if (PassesSlowStart(server, now, rng)) {
      local->open.push_back(candidate);
    } else {
      local->warming.push_back(candidate);
    }
  }
}

Choice ChooseLocal(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                   LocalServers& local, Time now, std::mt19937_64& rng) {
  PromptPace pace = MakePace(query, view, load, now);
  SetPlaces(FindPlaces(query, load, local.healthy, now), pace.fetch > pace.read, &local.usable);
  FindRoom(query, load, pace, now, rng, &local);
  const std::vector<Candidate>* candidates = &local.open;
  if (candidates->empty()) candidates = &local.warming;
  // Ejection is a guess; when it leaves nothing, a server that may fail is better than a refusal.
  bool ejected = candidates->empty() && local.healthy.empty();
  if (ejected) candidates = &local.ejected;
  if (candidates->empty()) {
    Choice queue;
    queue.kind = ChoiceKind::kQueue;
    queue.cost = QueueCost(query, local, load);
    return queue;
  }
  Priced picked = Pick(query, load, *candidates, pace, rng);
  Choice choice = LocalChoice(query, *picked.candidate);
  choice.cost = picked.cost + (ejected ? kEjectedCost : 0);
  return choice;
}

bool MayGoTo(const RouteQuery& query, const RoutingView& view, const RegionId& region) {
  if (query.hops >= kMaxHops || !RegionAllowed(query, region)) return false;
  return region == view.self.region || (!query.crossed && query.route->send_away);
}

bool HostUsable(const RouteQuery& query, const RoutingView& view, const HostEntry& host) {
  return host.status == HostStatus::kAlive && !host.overloaded && host.id != view.self.host &&
         !host.region.empty() && !Contains(query.avoid_hosts, host.id);
}

// A random usable host of the failure domain. Null when there is none.
const HostEntry* PickHost(const RouteQuery& query, const RoutingView& view,
                          const DomainSummary& summary, std::mt19937_64& rng) {
  const HostEntry* picked = nullptr;
  size_t seen = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.domain != summary.domain || host.region != summary.region) continue;
    if (!HostUsable(query, view, host)) continue;
    if (RandomIndex(++seen, rng) == 0) picked = &host;
  }
  return picked;
}

// What this host did with the failure domain; null: nothing.
const ServerUse* UseOf(const LocalLoad& load, const DomainId& domain) {
  auto found = load.domains.find(domain);
  return found == load.domains.end() ? nullptr : &found->second;
}

// Requests in the failure domain by its summary and by what was sent since. The other live hosts of
// the own failure domain see the same load at home and are taken to have sent as much.
int PresentAt(const RoutingView& view, const LocalLoad& load, const DomainSummary& summary) {
  int present = std::max(summary.running, 0) + std::max(summary.waiting, 0);
  const ServerUse* use = UseOf(load, summary.domain);
  if (use == nullptr) return present;
  int sent = SentSince(*use, summary.reported_at);
  if (sent == 0) return present;
  int hosts = 1;
  for (const HostEntry& host : view.hosts) {
    if (host.domain != view.self.domain || host.id == view.self.host) continue;
    if (host.status == HostStatus::kAlive) ++hosts;
  }
  return present + sent * hosts;
}

// Until a server there reads the prompt: the way, and the prompts ahead. Those that went there
// since the report are taken to be as long as this one.
double PromptWaitThere(const RouteQuery& query, const RoutingView& view, const ServerUse* use,
                       const DomainSummary& summary, double rate) {
  int64_t ahead = summary.prefill_tokens;
  if (use != nullptr) ahead += SentSince(*use, summary.reported_at) * query.prompt_tokens;
  bool crosses = summary.region != view.self.region;
  return PrefillSeconds(ahead, rate) / std::max(summary.servers, 1) +
         Seconds(crosses ? kRegionRoundTrip : kDomainRoundTrip);
}

double RemoteCost(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                  const DomainSummary& summary, int present) {
  const ServerUse* use = UseOf(load, summary.domain);
  bool crosses = summary.region != view.self.region;
  double wait = WaitSeconds(present, std::max(summary.slots, 1), ServiceSeconds(use));
  double rate = PrefillRate(query, load);
  wait += PromptWaitThere(query, view, use, summary, rate);
  return query.route->weight_latency * wait +
         query.route->weight_cost * PrefillSeconds(query.prompt_tokens, rate) +
         (crosses ? query.route->weight_remote : 0);
}

// Which failure domains may get a forward.
enum class RemoteRoom {
  kAny,
  kFreeSlot,     // by its summary
  kStartsInTime  // the prompts there leave time to meet the target of the query
};

// Precondition: the query has a target.
bool StartsInTimeThere(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                       const DomainSummary& summary, Time now) {
  double rate = PrefillRate(query, load);
  double left = Seconds(query.first_byte_by - now) - PrefillSeconds(query.prompt_tokens, rate);
  return PromptWaitThere(query, view, UseOf(load, summary.domain), summary, rate) <= left;
}

bool HasRoomThere(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                  const DomainSummary& summary, int present, RemoteRoom room, Time now) {
  if (room == RemoteRoom::kAny) return true;
  if (room == RemoteRoom::kFreeSlot) return present < summary.slots;
  const ServerUse* use = UseOf(load, summary.domain);
  if (use != nullptr && now < use->full_until) return false;
  double backlog = IsPlainCall(query) ? kPlainBacklogShare : 0;
  if (present >= summary.slots * (1 + backlog)) return false;
  return StartsInTimeThere(query, view, load, summary, now);
}

Choice ChooseRemote(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                    Time now, RemoteRoom room, std::mt19937_64& rng) {
  Choice best;
  best.cost = kInfinity;
  for (const DomainSummary& summary : view.summaries) {
    if (summary.servers <= 0 || summary.served != Served(*query.route)) continue;
    if (summary.domain.empty() || Evacuated(view, summary.domain)) continue;
    if (InScope(view.self, view.server_scope, summary.domain, summary.region)) continue;
    if (now - summary.reported_at > kSummaryTtl) continue;
    if (!MayGoTo(query, view, summary.region)) continue;
    if (!DomainBelongs(view, summary.domain, summary.region)) continue;
    const ServerUse* use = UseOf(load, summary.domain);
    if (use != nullptr && now < use->ejected_until) continue;
    int present = PresentAt(view, load, summary);
    if (!HasRoomThere(query, view, load, summary, present, room, now)) continue;
    double cost = RemoteCost(query, view, load, summary, present);
    if (cost >= best.cost) continue;
    const HostEntry* host = PickHost(query, view, summary, rng);
    if (host == nullptr) continue;
    best.kind = ChoiceKind::kForward;
    best.host = host->id;
    best.domain = summary.domain;
    best.crosses = summary.region != view.self.region;
    best.cost = cost;
  }
  return best;
}

double Margin(const RouteQuery& query, double home_cost) {
  return std::max(kHysteresisShare * home_cost,
                  query.route->weight_latency * Seconds(kHysteresisMin));
}

// The least that any forward costs; saves the scan of the summaries in the usual case.
double RemoteCostFloor(const RouteQuery& query, const LocalLoad& load) {
  return query.route->weight_latency * Seconds(kDomainRoundTrip) +
         query.route->weight_cost * PrefillSeconds(query.prompt_tokens, PrefillRate(query, load));
}

bool AnyAllowedHost(const RouteQuery& query, const RoutingView& view) {
  return std::any_of(view.hosts.begin(), view.hosts.end(), [&](const HostEntry& host) {
    return HostUsable(query, view, host) && RegionAllowed(query, host.region);
  });
}

// Why nothing can run the request here and no other host may get it.
ErrorKind NowhereToRun(const RouteQuery& query, const RoutingView& view, bool local_allowed) {
  if (query.hops >= kMaxHops) return ErrorKind::kHopLimit;
  if (local_allowed) return ErrorKind::kNoServer;
  if (query.crossed) return ErrorKind::kHopLimit;
  if (!query.route->send_away) return ErrorKind::kResidencyRefused;
  return AnyAllowedHost(query, view) ? ErrorKind::kNoServer : ErrorKind::kRegionUnreachable;
}

bool AnyRegionAllowed(const RouteQuery& query) {
  return std::any_of(query.allowed_regions.begin(), query.allowed_regions.end(),
                     [&](const RegionId& region) { return RegionAllowed(query, region); });
}

}  // namespace

const std::string& Served(const RouteConfig& route) {
  return route.kind == ServerKind::kModel ? route.model.value() : route.service;
}

std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name) {
  constexpr std::pair<std::string_view, RoutingPolicy> kNames[] = {
      {"cost", RoutingPolicy::kCost},
      {"round_robin", RoutingPolicy::kRoundRobin},
      {"least_reported", RoutingPolicy::kLeastReported},
      {"power_of_two", RoutingPolicy::kPowerOfTwo},
      {"prefix_hash", RoutingPolicy::kPrefixHash}};
  for (const auto& [known, policy] : kNames) {
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
  if (Evacuated(view, announced.domain)) return false;
  if (route.kind == ServerKind::kModel) return ServesModel(announced, route);
  return Contains(announced.services, route.service);
}

Choice Choose(const RouteQuery& query, const RoutingView& view, const LocalLoad& load, Time now,
              std::mt19937_64& rng) {
  if (query.route == nullptr || !AnyRegionAllowed(query)) {
    return Refuse(ErrorKind::kResidencyRefused);
  }
  if (query.hops > kMaxHops) return Refuse(ErrorKind::kHopLimit);
  if (now >= query.deadline) return Refuse(ErrorKind::kDeadlineNotRun);

  bool local_allowed = RegionAllowed(query, view.self.region);
  LocalServers local;
  if (local_allowed) local = FindLocal(query, view, load, now);
  if (local.known == 0) {
    Choice remote = ChooseRemote(query, view, load, now, RemoteRoom::kAny, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
    return Refuse(NowhereToRun(query, view, local_allowed));
  }

  Choice home = ChooseLocal(query, view, load, local, now, rng);
  if (query.hops > 0 || query.suspect) return home;
  if (home.kind == ChoiceKind::kQueue && query.first_byte_by != Time()) {
    Choice remote = ChooseRemote(query, view, load, now, RemoteRoom::kStartsInTime, rng);
    if (remote.kind == ChoiceKind::kForward) return remote;
  }
  double threshold = home.cost - Margin(query, home.cost);
  if (RemoteCostFloor(query, load) >= threshold) return home;
  Choice remote = ChooseRemote(query, view, load, now, RemoteRoom::kFreeSlot, rng);
  return remote.kind == ChoiceKind::kForward && remote.cost < threshold ? remote : home;
}

Duration RetryAfter(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                    Time now, std::mt19937_64& rng) {
  double rate = PrefillRate(query, load);
  double own = PrefillSeconds(query.prompt_tokens, rate);
  double least = Seconds(kMaxRetryAfter);
  for (const BackendServer& server : view.servers) {
    if (!CanServe(server, *query.route, view, now)) continue;
    Candidate candidate = MakeCandidate(query, server, load);
    least = std::min(least, PrefillSeconds(candidate.tokens_ahead, rate) + own);
  }
  double spread = std::uniform_real_distribution<double>(0.5, 1.5)(rng);
  auto wait = Duration(static_cast<int64_t>(least * spread * 1e6));
  return std::clamp<Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace ebonylift
