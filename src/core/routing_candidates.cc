#include "core/routing_candidates.h"

#include <algorithm>

#include "base/hash.h"
#include "core/request_rate.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

bool HasSoftware(const RouteQuery& query, const Candidate& candidate) {
  return query.software_version.empty() || SoftwareOf(candidate) == query.software_version;
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

// What the server has said in its answers. One that nobody has had an answer of, as after a crash,
// is taken to be brittle if others of its service are.
SeenNotices NoticesOf(const RouteQuery& query, const Candidate& candidate,
                      const RoutingState& routing_state, Time now) {
  SeenNotices notices;
  if (SameIncarnation(candidate)) notices = candidate.state->notices;
  if (notices.any_answer) return notices;
  auto service = routing_state.brittle_services.find(ServedName(*query.route));
  bool known = service != routing_state.brittle_services.end();
  if (known && now - service->second.seen_at < kBrittleRetention) {
    notices.max_rejections_per_s = service->second.max_rejections_per_s;
  }
  return notices;
}

SenderRank RankOf(const RoutingView& view, const BackendServer& server,
                  const RoutingState& routing_state) {
  auto known = routing_state.sender_ranks.find(server.announced.id);
  return known == routing_state.sender_ranks.end() ? RankSender(view, server) : known->second;
}

// A server that this host knows nothing of, or only of an earlier incarnation, counts as average.
void SetSpeed(const RoutingState& routing_state, Time now, Candidate* candidate) {
  const Announcement& announced = candidate->server->announced;
  auto found = routing_state.speeds.find(announced.id);
  if (found == routing_state.speeds.end()) return;
  if (found->second.incarnation != announced.incarnation) return;
  candidate->speed = SpeedAt(found->second, now);
  candidate->mean_speed = SteadySpeed(found->second, now);
}

Candidate MakeCandidate(const RouteQuery& query, const BackendServer& server,
                        const RoutingState& routing_state, Time now) {
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
  SetSpeed(routing_state, now, &candidate);
  candidate.notices = NoticesOf(query, candidate, routing_state, now);
  candidate.expected_requests = candidate.requests;
  candidate.expected_tokens_ahead = static_cast<double>(candidate.tokens_ahead);
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

}  // namespace

bool SameIncarnation(const Candidate& candidate) {
  return candidate.state != nullptr &&
         candidate.state->incarnation == candidate.server->announced.incarnation;
}

std::string SoftwareOf(const Candidate& candidate) {
  if (!SameIncarnation(candidate)) return candidate.server->announced.software_version;
  Time lost_at = candidate.state->lost_at;
  bool lost = lost_at != Time() && candidate.server->reported_at < lost_at + kLateAnnouncementTime;
  return lost ? std::string() : candidate.server->announced.software_version;
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
    Candidate candidate = MakeCandidate(query, server, routing_state, now);
    if (IsReplaced(candidate) || !HasSoftware(query, candidate)) continue;
    bool unreachable = SameIncarnation(candidate) && IsUnreachable(candidate, now);
    ++(unreachable ? local.unreachable : local.reachable);
    if (unreachable && IsBeingProbed(candidate)) continue;
    NoticeReason excluded = ExcludedBy(candidate.notices, now);
    if (excluded == NoticeReason::kPaused) {
      Time end = PauseEnd(candidate.notices);
      bool first = local.first_pause_end == Time() || end < local.first_pause_end;
      if (first) local.first_pause_end = end;
    }
    if (excluded != NoticeReason::kNone) continue;
    ++local.count;
    local.slots += candidate.slots;
    local.service_s += ServiceSeconds(candidate.state);
    if (candidate.notices.max_rejections_per_s) {
      candidate.share_of_room =
          ShareOfRoomAtServer(RankOf(view, server, routing_state),
                              RoomAtBrittleServer(candidate.slots, HasPrompt(query)));
      if (*candidate.share_of_room == 0) {
        local.of_other_hosts.push_back(&server);
        continue;
      }
    }
    candidate.ejected = IsEjected(candidate, now);
    candidate.request_rate = RequestRate(view, server, LimitOf(candidate), now);
    if (!candidate.ejected) local.healthy.push_back(candidate);
    if (candidate.state != nullptr && candidate.state->exclusive) continue;
    if (AllowedByRate(view, now, &candidate)) local.usable.push_back(candidate);
  }
  return local;
}

Duration RetryAfter(const RouteQuery& query, const RoutingView& view,
                    const RoutingState& routing_state, Time now, std::mt19937_64& rng) {
  double rate = PrefillRate(query, routing_state);
  double own = PrefillSeconds(query.prompt_tokens, rate);
  double min_wait = ToSeconds(kMaxRetryAfter);
  for (const BackendServer& server : view.servers) {
    if (!CanServe(server, *query.route, view, now)) continue;
    Candidate candidate = MakeCandidate(query, server, routing_state, now);
    if (!HasSoftware(query, candidate)) continue;
    candidate.request_rate = RequestRate(view, server, LimitOf(candidate), now);
    NoticeReason excluded = ExcludedBy(candidate.notices, now);
    if (excluded == NoticeReason::kLeaving) continue;
    bool allowed = AllowedByRate(view, now, &candidate);
    if (!allowed && candidate.min_interval == Duration(0)) continue;  // only other hosts send to it
    double wait = PrefillSeconds(candidate.tokens_ahead, rate) + own;
    if (!allowed) wait = std::max(wait, ToSeconds(candidate.state->next_limited_dispatch - now));
    if (excluded == NoticeReason::kPaused) {
      wait = std::max(wait, ToSeconds(PauseEnd(candidate.notices) - now));
    }
    min_wait = std::min(min_wait, wait);
  }
  double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(rng);
  auto wait = Duration(static_cast<int64_t>(min_wait * jitter * 1e6));
  return std::clamp<Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace ebonylift
