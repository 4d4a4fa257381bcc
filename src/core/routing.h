#ifndef EBONYLIFT_CORE_ROUTING_H_
#define EBONYLIFT_CORE_ROUTING_H_

// Decides where a request runs: on a backend server that this host reaches itself, on a host of
// another failure domain, in the local queue, or nowhere (it is refused).
//
// Contract of Choose():
// - Residency. A request runs in, and is forwarded to, only regions that are both in
//   `allowed_regions` and in the regions of its route. When anything needed for this check is
//   unknown (no route, no regions, a server or host without a region), the place is excluded.
// - Loop prevention. A request is forwarded only while `hops` < kMaxHops, and to another region
//   only while `crossed_region` is false and the route has `send_away`.
// - Overload. A request with a first-byte target is dispatched only where the prompts ahead of it
//   leave enough time to meet the target, or where the wait for them is negligible. Dispatching
//   more would make the requests behind it late too.
// - Liveness. Servers that have expired or announced that they are leaving are never chosen. A
//   request is forwarded only to a host that is alive and not overloaded and whose failure domain
//   reported servers for the model or service.
// - Isolation of suspects. A suspect is a request that was in flight when a server crashed
//   (core/poison.h). It runs only on a server with no other work that this host knows of, and this
//   host sends that server nothing else until the suspect ends. When enough servers serve the
//   route, it runs on the server set aside for this host, once a load report newer than both the
//   last crash and the last membership change shows that the server is idle.
//
// Cost of a server = weight_latency x wait seconds + weight_cost x service seconds.
// - The wait covers the queue that the server reported plus what this host and other hosts have
//   dispatched there.
// - The service time is the prefill time of the prompt without the predicted prefix cache hit.
// When a request names the parts of its prompt, every host expects the shared parts in the cache of
// the same server, their shared-prefix server (core/server_affinity.h). Hosts thus agree, without
// messages, on where the next request of a session finds its prefix. Another server of the same
// failure domain can fetch the prefix from that server if the service supports it. Forwarding to
// another failure domain adds the round trip and, in another region, weight_remote. To prevent
// hosts with equal loads from forwarding requests back and forth, a forward must be cheaper than
// the local choice by a margin.
//
// Not thread safe: the caller must serialise all calls on one RoutingState. The functions throw no
// errors. Memory after OnNewView(): one TargetState per server of the view (at most 4,096) and per
// failure domain, each with up to kMaxDispatchTimes timestamps, plus the prefix index.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/prefix_index.h"
#include "core/request_rate.h"
#include "core/server_affinity.h"
#include "core/server_notice.h"
#include "core/server_speed.h"
#include "core/unseen_work.h"
#include "core/urgent_demand.h"
#include "ports/views.h"

namespace ebonylift {

constexpr int kMaxHops = 2;
constexpr size_t kMaxDispatchTimes = 1'024;
constexpr Duration kSlowStartDuration = seconds(10);
// A forward must be cheaper than the local choice by this share of the local cost, and by at least
// the cost of kHysteresisMin of waiting.
constexpr double kHysteresisShare = 0.2;
constexpr Duration kHysteresisMin = milliseconds(50);
// Servers within 10% of the best predicted prefix hit form the prefix group.
constexpr double kPrefixGroupShare = 0.9;
// RoutingPolicy::kPrefixHash: the most that a server may hold, as a multiple of the mean
// utilization of the servers with room.
constexpr double kPrefixHashLoadFactor = 1.25;
constexpr Duration kRegionRoundTrip = milliseconds(110);
constexpr Duration kDomainRoundTrip = milliseconds(3);
// As long as MembershipParams::summary_lifetime. A summary without change is reported again after
// `summary_refresh`, and a host may miss a report.
constexpr Duration kSummaryTtl = seconds(90);
// The prefill rate until responses have been measured.
constexpr double kDefaultPrefillTokensPerSecond = 8'000;
constexpr double kPrefillRateSmoothing = 0.05;  // weight of the newest sample
// Shorter prompts are not used as samples: they say little about the rate.
constexpr int64_t kMinRateSampleTokens = 500;
// Interference costs, in seconds. Long prompts are assigned to a few servers, the long-prompt
// servers; see kLongPromptTokens in core/server_affinity.h.
constexpr double kLongPromptElsewhereCost = 0.1;  // a long prompt at any other server
// The same for a prompt that misses its first-byte target even on an idle server. Prefill steps
// far into such a prompt take so long that concurrent streams pause for longer than callers accept.
// At this cost it waits for a long-prompt server where a prompt that can meet its target does not.
constexpr double kLatePromptElsewhereCost = 0.8;
// Any other prompt at a long-prompt server.
constexpr double kShortPromptAtLongPromptServerCost = 0.2;
// A long prompt, for each request that the server already has.
constexpr double kLongPromptPerRequestCost = 0.03;
// Of each second by which a server streams the answer more slowly than the mean server.
constexpr double kSlowPaceCost = 0.3;
// A server where the answer would be late, or would make streams pause for too long; see
// AnswersInTime(). With this as an exclusion instead, all hosts send to the few servers that are
// left: 6.5% of the answers were late at 0.7 of the capacity instead of 3.8% (server_speed_test).
constexpr double kLateAnswerCost = 0.5;
// Slower servers cache no shared prefixes and take no long prompts, as long as others are the
// majority.
constexpr double kMinAffinitySpeed = 0.8;
// How much longer a fetch takes from a server of another failure domain.
constexpr double kCrossDomainFetchFactor = 2;
// A request that finds no place because other hosts may have taken it asks for one again after this
// time.
constexpr Duration kRoomShareInterval = milliseconds(200);
// How likely a shared prefix is at the server where it belongs, if this host never sent it there.
constexpr double kAssumedPrefixShare = 0.5;
// A shorter cached prefix is prefilled again instead of fetched from another server's cache.
constexpr int64_t kMinFetchTokens = 256;
// Up to this many servers are all compared. Of more, two random servers each are compared of the
// prefix group, of the other servers for long prompts, and of the rest.
constexpr size_t kMaxComparedServers = 16;
constexpr Duration kDefaultServiceTime = seconds(1);
// Requests that may wait at a server, per slot, before it counts as full.
constexpr double kServerBacklogPerSlot = 0.25;
// The same for requests without a prompt that have a first-byte target: they are so short that one
// slot serves several of them within the target.
constexpr double kPromptlessBacklogPerSlot = 2.0;
// Requests of class kChapter run for seconds. For kSlotReservationTime after this host dispatched a
// request of another class, chapters leave this share of each server's slots, and at least one
// slot, to the other classes and use no backlog.
constexpr double kReservedShare = 0.25;
constexpr int kMinSlotsToReserve = 2;
constexpr Duration kSlotReservationTime = seconds(2);
// While suspects wait, all hosts keep ordinary work off the same servers of a model: one server per
// host of the failure domain, but at most half of the servers (rounded up), and none when fewer
// than this many serve the route. Under load, no server would otherwise become idle for a suspect.
constexpr int kMinServersToSetAside = 3;
// Until all hosts have learned that a server was lost.
constexpr Duration kLossPropagationDelay = milliseconds(300);
constexpr Duration kLoadReportLag = milliseconds(500);  // maximum age of the load in a report
constexpr Duration kSetAsideSettleTime = kLossPropagationDelay + kLoadReportLag;
// A server to which a connection failed is the last choice until its next announcement, but for at
// most this long. Otherwise it would look idle and attract all requests.
constexpr Duration kServerUnreachableTime = seconds(3);
constexpr double kEjectedServerCost = 0.5;  // seconds added for an ejected or unreachable server
// No forwards to a failure domain for this long after one of its hosts could not be reached.
constexpr Duration kDomainUnreachableBackoff = seconds(1);
// For this long after a failure domain refused a forward, it gets no forwards of requests for which
// the local servers lack room. The next summary shows its current load.
constexpr Duration kDomainFullBackoff = milliseconds(500);
// A prompt that will miss its first-byte target is still dispatched where its wait is at most this.
constexpr Duration kMaxLateWait = milliseconds(100);
// The same at a long-prompt server, for a prompt that would be late even on an idle server, while
// the local queue is empty. With others queued it does not wait, as its late response is worth less
// than the responses that it would delay.
constexpr Duration kMaxLateWaitAtLongPromptServer = seconds(1);
// A request with a first-byte target waits in the local queue for at most the target divided by
// this.
constexpr int kQueueHoldDivisor = 8;
// How long after its first configuration a host may still lack regions that it will hear of. It
// needs four round trips between regions for that, about 450 ms, and an attempt to connect that is
// lost costs 400 ms more.
constexpr Duration kLearningTime = seconds(1);
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMaxRetryAfter = seconds(5);
// A lower limit named by a server counts as this one, so that the server still gets requests whose
// answers show when it withdraws the limit.
constexpr double kMinRequestLimitPerSecond = 0.4;
// Longer than the interval between two work lists to any number of hosts (core/peer_work.h).
constexpr Duration kWithdrawnLimitShareTime = seconds(20);
constexpr int kFailuresToEject = 3;
constexpr Duration kMinEjectionTime = seconds(1);
constexpr Duration kMaxEjectionTime = seconds(30);
constexpr double kMaxEjectedShare = 1.0 / 3;

// How a local server is picked among those with room. Only kCost predicts prefix cache hits. Under
// every policy, the decision to forward to another failure domain is made by cost.
// - kRoundRobin: each server in turn.
// - kLeastReported: fewest requests in the newest load reports, ignoring later dispatches.
// - kPowerOfTwo: the less utilized of two random servers.
// - kPrefixHash: rendezvous hash of the first prefix block over the servers whose utilization is
//   below kPrefixHashLoadFactor times the mean, so that a popular prefix spills to the next server.
enum class RoutingPolicy { kRoundRobin, kLeastReported, kPowerOfTwo, kPrefixHash, kCost };

// The names that ParseRoutingPolicy() accepts.
constexpr char kRoutingPolicyNames[] =
    "cost, round_robin, least_reported, power_of_two, prefix_hash";
std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name);

// The request as Choose() sees it. `route` must outlive the call.
struct RouteQuery {
  TeamId team;
  const RouteConfig* route = nullptr;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  RequestRank rank;
  // Leaves room for more urgent requests; see core/urgent_demand.h.
  bool yields_to_urgent = false;
  std::vector<RegionId> allowed_regions;  // see AllowedRegions()
  int64_t prompt_tokens = 0;
  // Hashes of growing prefixes of the prompt, shortest first.
  std::vector<uint64_t> prefix_hashes;
  // Length of each prefix. If empty, each one is kPrefixBlockTokens longer than the one before.
  std::vector<int64_t> prefix_tokens;
  uint64_t content_hash = 0;            // hash that identifies the model and the body
  std::vector<uint64_t> content_parts;  // see RequestContent::parts
  int hops = 0;                         // forwards between hosts so far
  bool crossed_region = false;          // one of these forwards went to another region
  Time deadline;
  // First-byte target: the response is worth most when it starts before this time. Time(): none.
  Time first_byte_deadline;
  std::vector<ServerId> avoid_servers;  // already tried
  std::vector<HostId> avoid_hosts;      // the sender of a forward, and hosts that refused
  double expected_events = 0;           // of the stream that answers; 0: no stream, or unknown
  bool suspect = false;                 // must run on a server without other work
  int connect_failures = 0;             // attempts at servers to which no connection could be made
  // This host has no path to its servers, as far as it knows: other hosts of its scope come first,
  // then other failure domains, and its own servers only if none of these can be asked.
  bool relay = false;
  // The servers must have this version of their software, as the one that began the stream that the
  // request continues; empty: any.
  std::string software_version;
  // Servers with at least this utilization count as full; 0: no bound. For hedges.
  double max_utilization = 0;
  // Set for a chapter at its turn; see kReservedShare.
  bool may_use_reserved_slots = false;
};

// The regions that both the team's residency and the route allow, in the order of the route. Empty
// when the team is unknown; Choose() refuses such a request.
std::vector<RegionId> AllowedRegions(const ConfigView& config, const RouteConfig& route);

// Announcements may arrive this late. One that comes within this time after the loss of its process
// may have been sent before, so only that of a new process says what software runs there now.
constexpr Duration kLateAnnouncementTime = seconds(8);

// What this host knows, from its own requests, about one target: a backend server or another
// failure domain.
struct TargetState {
  int in_flight = 0;                 // dispatched by this host and not ended
  std::vector<Time> dispatch_times;  // of those in flight, ascending; at most kMaxDispatchTimes
  bool exclusive = false;            // runs a suspect and gets no other work from this host
  bool exclusivity_lost = false;     // other work was seen there while the suspect was running
  int consecutive_failures = 0;
  int consecutive_ejections = 0;  // determines the length of the next ejection
  Time ejected_until;             // ejected servers are used only if all candidates are ejected
  Duration mean_service_time{0};  // 0: unknown
  uint32_t cache_id = 0;          // identifies the prefix cache; a new id invalidates the old cache
  int64_t prefill_tokens = 0;     // of the requests in flight whose response has not started
  Time first_byte_at;             // of the newest response
  Time next_limited_dispatch;     // a server with a limited rate gets nothing before this time
  Time unreachable_at;            // last failed connection; Time(): none
  // Last failed connection, or loss of the server. It may be a new process since, with the same id
  // and other software; see kLateAnnouncementTime.
  Time lost_at;
  bool replaced = false;     // another server now answers at its address
  Time full_until;           // of a failure domain: see kDomainFullBackoff
  Time incarnation_since;    // first dispatch to `incarnation`; older failures do not count
  uint64_t incarnation = 0;  // of the server at the last dispatch; a new one clears ejections
  RequestLimit limit;        // of a server; the newest known to this host
  Time own_limit_at;         // when this host last saw a limit named or withdrawn itself
  SeenNotices notices;       // of `incarnation`
};

// What an answer of a server of a service said last.
struct BrittleService {
  double max_rejections_per_s = 0;
  Time seen_at;
};

struct RoutingState {
  RoutingPolicy policy = RoutingPolicy::kCost;
  std::unordered_map<ServerId, TargetState> servers;
  std::unordered_map<DomainId, TargetState> domains;  // forwards, by failure domain
  PrefixIndex prefixes;
  Time slots_reserved_until;     // until then chapters leave slots free; set by OnDispatch()
  Time set_aside_until;          // until then servers are set aside; copy of SetAsideUntil()
  uint64_t membership_hash = 0;  // of the servers and hosts of the last view; see OnNewView()
  Time membership_changed_at;    // the set of servers set aside may have changed then
  size_t queued_ahead = 0;       // requests that the local queue serves first; set by the caller
  uint64_t round_robin_counter = 0;                       // advanced by OnDispatch()
  std::unordered_map<std::string, double> prefill_rates;  // tokens/s, by model or service name
  std::unordered_map<ServerId, ServerSpeed> speeds;       // learned from answers
  std::unordered_map<std::string, SpeedBaseline> speed_baselines;    // by model or service name
  std::unordered_map<std::string, PlacementRate> placement_rates;    // by model or service name
  std::unordered_map<std::string, UrgentDemand> urgent_demand;       // by model or service name
  std::unordered_map<std::string, BrittleService> brittle_services;  // by model or service name
  // RankSender() of servers while some are brittle, and what it was computed from.
  std::unordered_map<ServerId, SenderRank> sender_ranks;
  uint64_t senders_hash = 0;
  uint32_t next_cache_id = 1;
  Time learning_until;  // see StartLearning(); Time(): no configuration yet
};

enum class ChoiceKind { kLocal, kForward, kQueue, kRefuse };

struct Choice {
  ChoiceKind kind = ChoiceKind::kRefuse;
  ServerId server;                         // kLocal
  uint64_t incarnation = 0;                // kLocal
  HostId host;                             // kForward
  DomainId domain;                         // kForward: pass it to OnForward()
  bool crosses_region = false;             // kForward: the host is in another region
  ErrorKind error = ErrorKind::kNoServer;  // kRefuse
  Duration retry_after{0};                 // kRefuse; 0: a retry does not help
  Time hold_until;                         // kQueue: see Choose(); Time(): servers are full
  double cost = 0;                         // of the chosen place, in weighted seconds
  int64_t hit_tokens = 0;                  // kLocal: predicted prefix cache hit
  int64_t prefill_tokens = 0;              // kLocal: neither cached there nor fetched
  int64_t fetch_tokens = 0;                // kLocal: to fetch from another server's cache
  ServerId fetch_from;                     // kLocal: the server to fetch from; empty: none
  double speed = 1;                        // kLocal: expected of the server; see SpeedAt()
  int64_t tokens_ahead = 0;                // kLocal: of prompts that the server reads first
  std::string software_version;            // kLocal: of the server; empty: unknown
  Duration min_interval{0};                // kLocal: see RequestInterval() in core/request_rate.h
};

// Chooses a place for the request. Does not change `routing_state`: record the decision with
// OnDispatch() or OnForward() before the next call. kQueue means that there are servers but all are
// full or, for a suspect, none is idle. With `hold_until`, it means that this host has just started
// and has not heard yet of a region that may serve the request; the request is placed or refused by
// that time. A request that another host forwarded is refused instead, because that host knows the
// regions.
//
// A server that said in an answer that it leaves, or that it wants nothing for a time, gets
// nothing. If this excludes all servers and no other failure domain can run the request, it is
// refused until the first of the pauses ends.
//
// A request of a caller for which the last connection to each local server failed goes to another
// failure domain, else to another host of this one, which may reach the servers.
//
// When a request is forwarded:
// - A failure domain whose summary shows no free slot gets forwards only if no local server can run
//   the request. Summaries do not include the queues of that domain's gateways, so a full domain
//   would always look cheaper than the local queue, and equally loaded regions would exchange
//   requests.
// - A request with a first-byte target for which no local server has room is forwarded to a failure
//   domain that can start it in time, whatever the cost of the local queue: in that queue it waits
//   only for a fraction of its target and is then refused.
// - A request that was forwarded to this host is forwarded again only if no local server can run
//   it or this host has no path to them, so that two loaded hosts do not pass requests to each
//   other. The same holds for a suspect.
Choice Choose(const RouteQuery& query, const RoutingView& view, const RoutingState& routing_state,
              Time now, std::mt19937_64& rng);

// Records that a request of a caller arrived; call it once for each, before Choose().
void OnRequest(RoutingState& routing_state, const RouteQuery& query, Time now);

// Records that an attempt ended after it had waited in vain for the first byte of a response. The
// server reads more slowly than that, unless it has answered nothing since, and may have failed.
void OnNoFirstByte(RoutingState& routing_state, const std::string& served, const Choice& choice,
                   Time dispatched_at, Time now);

// Chooses the server for a hedge (core/hedging.h), among those of this host's scope: kLocal, or
// kQueue if none has room. Servers that are ejected are not used. Does not change `routing_state`:
// record the decision with OnDispatch().
Choice ChooseHedge(const RouteQuery& query, const RoutingView& view,
                   const RoutingState& routing_state, Time now, std::mt19937_64& rng);

enum class ServerOutcome {
  kOk,           // a complete response, including one that rejects the request as invalid
  kFailed,       // connection reset, timeout or 5xx response; counts towards ejection
  kCancelled,    // ended by the caller or by this host; no evidence about the server
  kUnreachable,  // the connection could not be made
  kReplaced,     // another server answers at its address
};

// Records that the request was dispatched to the server of the choice. From now on its prefixes are
// expected in the server's cache, and a suspect holds the server exclusively.
void OnDispatch(RoutingState& routing_state, const RouteQuery& query, const Choice& choice,
                Time now);

// Records that the first byte of the response arrived, so the server has read the prompt.
// `dispatched_at` is the `now` of its OnDispatch(). `served` is ServedName() of the route.
void OnFirstByte(RoutingState& routing_state, const std::string& served, const Choice& choice,
                 Time dispatched_at, Time now);

// Records the time between two events of a stream that a server sends. `served` is ServedName() of
// the route. Returns the speed of the server if it has changed so much that it is to be logged.
std::optional<double> OnEventGap(RoutingState& routing_state, const RoutingView& view,
                                 const std::string& served, const ServerId& server,
                                 uint64_t incarnation, Duration gap, Time now);

// Records the limit that an answer of the server named; nullopt: it named none. Returns true if the
// limit changed.
bool OnRequestLimit(RoutingState& routing_state, const ServerId& server, uint64_t incarnation,
                    std::optional<double> per_s, Time now);

// Records what an answer of the server says, except for its limit.
NoticeChange OnServerNotice(RoutingState& routing_state, const RoutingView& view,
                            const ServerId& server, uint64_t incarnation,
                            const ServerNotice& notice, const AnswerContext& answer, Time now);

// Records what another host saw in an answer of a server, which may not be in the view yet.
void OnRoomReport(RoutingState& routing_state, const RoutingView& view, const RoomReport& report,
                  Time now);

// Returns what this host knows of brittle servers, for a host that connects.
std::vector<RoomReport> KnownRoomReports(const RoutingState& routing_state, Time now);

// Records the end of a dispatch. `dispatched_at` is the `now` of its OnDispatch(), `prefill_tokens`
// that of its choice, or 0 after OnFirstByte(). Returns true if this call ejected the server. At
// most kMaxEjectedShare of the live servers of the view are ejected at a time, so that a fault in
// this host's network cannot remove all of them.
bool OnServerOutcome(RoutingState& routing_state, const RoutingView& view, const ServerId& server,
                     Time dispatched_at, ServerOutcome outcome, Time now,
                     int64_t prefill_tokens = 0);

// Records that the server has ended, as a probe showed. Its next process may have other software.
void OnServerEnded(RoutingState& routing_state, const ServerId& server, Time now);

// The work that this host has in flight at each backend server, the limits that this host has seen,
// also for kWithdrawnLimitShareTime after they were withdrawn, and what it learned of speeds, also
// for kSpeedShareTime after the last answer.
std::vector<ServerWork> WorkInFlight(const RoutingState& routing_state, Time now);

// The model or service name of the route: the key of summaries and of prefill rates.
const std::string& ServedName(const RouteConfig& route);

enum class ForwardOutcome {
  kAnswered,
  kRefused,      // the remote host could not run the request
  kUnreachable,  // the remote host did not answer
};

// Record the start and the end of a forward to a failure domain. `dispatched_at` is the `now` of
// its OnForward().
void OnForward(RoutingState& routing_state, const DomainId& domain, Time now);
void OnForwardOutcome(RoutingState& routing_state, const DomainId& domain, Time dispatched_at,
                      ForwardOutcome outcome, Time now);

// When the caller of a refused request may retry: the shortest time until a server has room for it,
// with random jitter so that callers do not return together.
Duration RetryAfter(const RouteQuery& query, const RoutingView& view,
                    const RoutingState& routing_state, Time now, std::mt19937_64& rng);

// True if the suspect on `server` has run alone as far as this host knows: this host dispatched
// nothing else there and no load report showed more than one request. Call before
// OnServerOutcome(). Requests of other hosts that no report has shown yet are missed; core/poison.h
// corrects these cases.
bool RanAlone(const RoutingState& routing_state, const BackendServer& server);

// Starts the time in which this host learns of servers and regions, with the first view that has a
// configuration. Call it with each view before it is used.
void StartLearning(RoutingState& routing_state, const RoutingView& view, Time now);

// Updates `routing_state` for a new view; call it with each one. Marks exclusive servers that
// report other work, takes over newer limits that other hosts have seen, records membership
// changes, and drops servers and failure domains that have left the view and have nothing in
// flight.
void OnNewView(RoutingState& routing_state, const RoutingView& view, Time now);

// Drops the prefixes expected in the server's cache: its cache events had a gap, or it evicted its
// cache.
void ForgetPrefixes(RoutingState& routing_state, const ServerId& server);

// True if the server may get new work of the route now: it serves the route's model, adapter and
// version (or its service), is in the scope of this host, is not leaving and has not expired, and
// its failure domain is not evacuated.
bool CanServe(const BackendServer& server, const RouteConfig& route, const RoutingView& view,
              Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_H_
