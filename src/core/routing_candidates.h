#ifndef EBONYLIFT_CORE_ROUTING_CANDIDATES_H_
#define EBONYLIFT_CORE_ROUTING_CANDIDATES_H_

// The backend servers of this host's scope that can run a request; see the contract of Choose() in
// core/routing.h.
//
// The functions are pure. The results point into the view and the routing state, which must outlive
// them.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/routing.h"
#include "core/server_notice.h"
#include "ports/views.h"

namespace ebonylift {

// A local server that can serve the route, with what the choice depends on.
struct Candidate {
  const BackendServer* server = nullptr;
  const TargetState* state = nullptr;  // null: this host never dispatched to it
  int requests = 0;                    // reported, plus those dispatched since the report
  int slots = 1;
  // `requests` and `tokens_ahead` with what other hosts may have sent since; see unseen_work.h.
  double expected_requests = 0;
  double expected_tokens_ahead = 0;
  double token_deviation = 0;  // of `expected_tokens_ahead`
  int64_t hit_tokens = 0;
  const BackendServer* fetch_from = nullptr;  // has a longer prefix cached; null: none
  int64_t fetch_tokens = 0;
  bool fetch_certain = false;            // this host sent the prefix to `fetch_from`
  bool fetch_crosses_domain = false;     // `fetch_from` is in another failure domain
  int64_t tokens_ahead = 0;              // of prompts that it reads first
  bool ejected = false;                  // or unreachable
  bool is_long_prompt_server = false;    // one of LongPromptServers()
  bool has_long_prompt_servers = false;  // LongPromptServers() is not empty
  double speed = 1;                      // expected now, relative to the mean; see SpeedAt()
  double mean_speed = 1;                 // see SteadySpeed()
  double request_rate = 0;               // see RequestRate() in core/request_rate.h
  SeenNotices notices;                   // of this incarnation of the server
  // The requests that this host may have at the brittle server at a time; nullopt: no such share.
  std::optional<int> share_of_room;
  Duration min_interval{0};  // between two requests from this host; 0: no limit
  double utilization() const { return expected_requests / (slots * speed); }
  int64_t cached_tokens() const { return hit_tokens + fetch_tokens; }
};

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
  // Brittle servers at which only other hosts have a share.
  std::vector<const BackendServer*> of_other_hosts;
  int reachable = 0;    // servers to which the last connection did not fail
  int unreachable = 0;  // the others
  int count = 0;  // servers, except those that the query avoids or that are excluded by a notice
  Time first_pause_end;  // of servers that asked for a pause; Time(): none
  int slots = 0;
  double service_s = 0;  // sum of the mean service times of these servers
};

// The servers that can run the request, without those that it avoids.
LocalServers FindLocalServers(const RouteQuery& query, const RoutingView& view,
                              const RoutingState& routing_state, Time now);

// Whether this host has dispatched to the server as it is announced now.
bool SameIncarnation(const Candidate& candidate);

// The software version of the server. Empty if it is not known: the server has none, or may have
// started again since it announced it.
std::string SoftwareOf(const Candidate& candidate);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_CANDIDATES_H_
