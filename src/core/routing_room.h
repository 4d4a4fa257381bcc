#ifndef EBONYLIFT_CORE_ROUTING_ROOM_H_
#define EBONYLIFT_CORE_ROUTING_ROOM_H_

// Which servers have room for a request, by what this host knows of them and by what other hosts
// have probably sent them since (core/unseen_work.h).
//
// The functions are pure and thread-safe.

#include <optional>
#include <vector>

#include "core/routing_candidates.h"
#include "core/unseen_work.h"

namespace ebonylift {

// Prefill rates and pace for the query, and whether it can meet its first-byte target. The same for
// all servers.
struct PrefillEstimate {
  double read_rate = kDefaultPrefillTokensPerSecond;  // tokens/s, of a server of speed 1
  double fetch_rate = 0;       // tokens/s from another server's cache; 0: not supported
  bool rate_measured = false;  // `read_rate` is not the default
  bool may_wait_at_long_prompt_server = false;  // see kMaxLateWaitAtLongPromptServer
  bool late_when_idle = false;  // misses its first-byte target even on an idle server
  // In seconds; nullopt if no more urgent requests arrive. See core/urgent_demand.h.
  std::optional<double> max_wait_behind_urgent;
  double time_left_s = 0;  // until the deadline
  SpeedBaseline pace;      // of the model
};

// The rate at which the candidate reads prompts, in tokens/s. Slow periods do not count, because
// they end before a server has read what it holds.
inline double ReadRate(const Candidate& candidate, const PrefillEstimate& estimate) {
  return estimate.read_rate * candidate.mean_speed;
}

// Returns whether the answer is expected to end by the deadline, without that reading its prompt
// makes the streams of the server pause for longer than the route accepts.
bool AnswersInTime(const RouteQuery& query, const Candidate& candidate,
                   const PrefillEstimate& estimate);

// Returns whether the server has room for the request, which then starts in time, by what this host
// was told.
bool HasRoom(const RouteQuery& query, const RoutingState& routing_state, const Candidate& candidate,
             const PrefillEstimate& estimate, Time now);

// Brings what is expected at the servers up to date, and returns what other hosts have probably
// sent since they told this host of their work.
UnseenWork ExpectUnseenWork(const RouteQuery& query, const RoutingView& view,
                            const RoutingState& routing_state, const PrefillEstimate& estimate,
                            Time now, std::vector<Candidate>* candidates);

// Returns false if other hosts have probably taken the room that the candidates showed. The
// requests of all hosts for which this is true fit together. It stays the same for a request for
// kRoomShareInterval, so that a waiting one does not ask until it is true.
bool MayTakeRoom(const RouteQuery& query, const RoutingState& routing_state,
                 const std::vector<Candidate>& candidates, const UnseenWork& unseen,
                 const PrefillEstimate& estimate, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_ROOM_H_
