#include "core/routing_room.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "core/routing_terms.h"

namespace ebonylift {
namespace {

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

// The most prompt tokens ahead at the server with which the request starts in time: the prompts
// ahead do not delay the response past the first-byte target, or the wait for them is not longer
// than MaxLateWait(). A less urgent request leaves room for more urgent ones besides.
double MaxTokensAhead(const RouteQuery& query, const Candidate& candidate,
                      const PrefillEstimate& estimate, Time now) {
  if (query.first_byte_deadline == Time() || !estimate.rate_measured) return kInfinity;
  // Ignores cache hits, because they are only predictions and the work ahead is known with delay.
  double rate = ReadRate(candidate, estimate);
  double own = PrefillSeconds(query.prompt_tokens, rate);
  double uncertain = candidate.token_deviation / rate;
  double left = ToSeconds(query.first_byte_deadline - now) - own - uncertain;
  double wait = std::max(left, ToSeconds(MaxLateWait(candidate, estimate)));
  if (estimate.max_wait_behind_urgent) wait = std::min(wait, *estimate.max_wait_behind_urgent);
  return wait * rate;
}

// A server that has this many requests has no room for the request.
int MaxRequests(const RouteQuery& query, const RoutingState& routing_state,
                const Candidate& candidate, Time now) {
  if (query.traffic_class == TrafficClass::kChapter && !query.may_use_reserved_slots &&
      now < routing_state.slots_reserved_until) {
    return MaxRequestsForChapter(candidate.slots);
  }
  if (candidate.notices.max_rejections_per_s) {
    return RoomAtBrittleServer(candidate.slots, HasPrompt(query));
  }
  double share = IsPromptlessWithTarget(query) ? kPromptlessBacklogPerSlot : kServerBacklogPerSlot;
  // A slow server gets fewer requests, so that it serves each as fast as others do. A fast one has
  // no more slots, but its backlog moves faster. A slow period ends before the requests do.
  double slots = candidate.slots * std::min(1.0, candidate.mean_speed);
  int backlog = std::max(1, static_cast<int>(candidate.slots * share * candidate.mean_speed));
  return std::max(1, static_cast<int>(slots)) + backlog;
}

int OwnRequests(const Candidate& candidate) {
  return candidate.state == nullptr ? 0 : candidate.state->in_flight;
}

// True if other hosts send work to the candidate as this one does.
bool IsShared(const Candidate& candidate) {
  return !candidate.ejected && candidate.request_rate <= 0;
}

// The age of what this host knows of the work of other hosts, in seconds.
double WorkAge(const RoutingView& view, Time now) {
  return view.work_known_at == Time() ? 0 : std::max(0.0, ToSeconds(now - view.work_known_at));
}

// The mean over the servers of which this host knows it; 0 if it knows none.
double MeanServiceSeconds(const std::vector<Candidate>& candidates) {
  double sum = 0;
  int known = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.state == nullptr || candidate.state->mean_service_time == Duration(0)) continue;
    sum += ToSeconds(candidate.state->mean_service_time);
    ++known;
  }
  return known == 0 ? 0 : sum / known;
}

// Lowers what is expected at each server by what it has probably done since other hosts told this
// one of their work. Tokens may become negative: what the server could have read besides.
void DeductDoneWork(const KnownWork& known, const PrefillEstimate& estimate,
                    std::vector<Candidate>* candidates) {
  double ended = known.service_s > 0 ? std::min(1.0, known.age_s / known.service_s) : 0;
  for (Candidate& candidate : *candidates) {
    if (!IsShared(candidate)) continue;
    candidate.expected_requests -= ended * candidate.server->other_hosts_requests;
    candidate.expected_tokens_ahead -= ReadRate(candidate, estimate) * known.age_s;
  }
}

// Raises what is expected at the least busy servers by what other hosts may have sent them since
// they told this host of their work.
void SpreadUnseenWork(const UnseenWork& unseen, std::vector<Candidate>* candidates) {
  std::vector<double> requests;
  std::vector<double> tokens;
  for (const Candidate& candidate : *candidates) {
    if (!IsShared(candidate)) continue;
    requests.push_back(candidate.expected_requests);
    tokens.push_back(candidate.expected_tokens_ahead);
  }
  double request_level = FillLevel(std::move(requests), unseen.requests);
  double deviation = TokenDeviation(unseen, tokens.size());
  double token_level = FillLevel(std::move(tokens), unseen.prefill_tokens);
  for (Candidate& candidate : *candidates) {
    if (!IsShared(candidate)) continue;
    candidate.expected_requests = std::max(candidate.expected_requests, request_level);
    candidate.expected_tokens_ahead =
        std::max({candidate.expected_tokens_ahead, token_level * candidate.mean_speed, 0.0});
    candidate.token_deviation = deviation;
  }
}

// The time for which streams at the candidate pause while it reads the prompt and those ahead of
// it, which it does between the steps that make up one event.
double PauseSeconds(const RouteQuery& query, const Candidate& candidate,
                    const PrefillEstimate& estimate) {
  double tokens =
      static_cast<double>(candidate.tokens_ahead + query.prompt_tokens - candidate.cached_tokens());
  tokens = std::clamp(tokens, 0.0, kPromptChunkTokens * kTokensPerEvent);
  return (EventGapSeconds(estimate.pace, candidate.requests) +
          tokens * ReadSecondsPerToken(estimate.pace)) /
         candidate.speed;
}

}  // namespace

bool AnswersInTime(const RouteQuery& query, const Candidate& candidate,
                   const PrefillEstimate& estimate) {
  int64_t tokens = candidate.tokens_ahead + query.prompt_tokens - candidate.cached_tokens();
  double first_byte_s = PrefillSeconds(tokens, ReadRate(candidate, estimate));
  // A slow period ends before a long answer does.
  double events_s = query.expected_events * EventGapSeconds(estimate.pace, candidate.requests) /
                    candidate.mean_speed;
  if (first_byte_s + events_s > estimate.time_left_s) return false;
  double max_pause_s = ToSeconds(query.route->max_event_gap);
  return max_pause_s <= 0 || candidate.requests == 0 ||
         PauseSeconds(query, candidate, estimate) <= max_pause_s;
}

bool HasRoom(const RouteQuery& query, const RoutingState& routing_state, const Candidate& candidate,
             const PrefillEstimate& estimate, Time now) {
  bool has_share = !candidate.share_of_room || OwnRequests(candidate) < *candidate.share_of_room;
  return has_share &&
         static_cast<double>(candidate.tokens_ahead) <=
             MaxTokensAhead(query, candidate, estimate, now) &&
         candidate.requests < MaxRequests(query, routing_state, candidate, now);
}

UnseenWork ExpectUnseenWork(const RouteQuery& query, const RoutingView& view,
                            const RoutingState& routing_state, const PrefillEstimate& estimate,
                            Time now, std::vector<Candidate>* candidates) {
  auto rate = routing_state.placement_rates.find(ServedName(*query.route));
  if (rate == routing_state.placement_rates.end()) return {};
  KnownWork known;
  known.hosts = CountPlacingHosts(view);
  known.age_s = WorkAge(view, now);
  known.service_s = MeanServiceSeconds(*candidates);
  for (const Candidate& candidate : *candidates) {
    if (IsShared(candidate)) known.requests += candidate.server->other_hosts_requests;
  }
  UnseenWork unseen = EstimateUnseenWork(rate->second, known, now);
  DeductDoneWork(known, estimate, candidates);
  SpreadUnseenWork(unseen, candidates);
  return unseen;
}

bool MayTakeRoom(const RouteQuery& query, const RoutingState& routing_state,
                 const std::vector<Candidate>& candidates, const UnseenWork& unseen,
                 const PrefillEstimate& estimate, Time now) {
  double requests = 0;
  double tokens = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.share_of_room) requests = kInfinity;  // no other host competes for the share
    requests += MaxRequests(query, routing_state, candidate, now) - candidate.requests;
    tokens += MaxTokensAhead(query, candidate, estimate, now) -
              static_cast<double>(candidate.tokens_ahead);
  }
  double share =
      std::min(ShareOfRoom(requests, unseen.requests), ShareOfRoom(tokens, unseen.prefill_tokens));
  if (share >= 1) return true;
  auto interval = static_cast<uint64_t>(now.time_since_epoch() / kRoomShareInterval);
  uint64_t draw = Hash64(std::to_string(query.content_hash), interval);
  return static_cast<double>(draw) <
         share * static_cast<double>(std::numeric_limits<uint64_t>::max());
}

}  // namespace ebonylift
