#ifndef EBONYLIFT_CORE_ROUTING_H_
#define EBONYLIFT_CORE_ROUTING_H_

// Chooses where a request runs: on a backend server of the own failure domain, on another host, in
// the local queue, or nowhere.
//
// Contract of Choose():
// - Residency. The request runs or travels only in regions that are both in `allowed_regions` and
//   in the regions of the route. Anything unknown (no route, no regions, a server or host without a
//   region) is refused, never guessed.
// - Loops. A forward is chosen only while `hops` < kMaxHops; a forward to another region only while
//   `crossed` is false and the route has `send_away`.
// - Overload. A request with a target for its first byte is sent only where the prompts ahead of it
//   leave it time to meet the target, or nearly nothing is ahead: beyond that, one more prompt
//   would make the next ones late too.
// - Liveness. Servers that have expired or announced that they leave are never chosen. A forward
//   goes only to a host that is alive, not overloaded, and whose failure domain reported servers
//   for the model or service.
// - Suspects run only on a server with no other work that this host knows of, which then gets no
//   other work from this host until it is done. Where enough servers serve the route, that is the
//   server set aside for this host, after a report newer than the last loss and than the last
//   change of the servers shows no work.
//
// Cost of a server = weight_latency x wait seconds + weight_cost x service seconds. Wait is the
// queue that the server reported plus what this host and others have there. Service is the prefill
// of the prompt without the predicted prefix hit. Where the parts of a prompt are named, every host
// expects the shared ones at the same server (core/server_homes.h), so that hosts agree without
// messages on where the next request of a session finds them. Another server of the same failure
// domain fetches them from there, where the service can do that. A failure domain elsewhere adds
// its round trip and, in another region, weight_remote. A forward must be cheaper than home by a
// margin, so that equal loads do not send requests back and forth.
//
// Not thread safe: the caller serialises all calls on one LocalLoad. No errors are thrown.
// Memory: one ServerUse for each server of the view (4,096) after Prune(), at most kMaxSentTimes
// times in each, and the prefix index.

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
#include "core/server_homes.h"
#include "ports/views.h"

namespace ebonylift {

constexpr int kMaxHops = 2;
constexpr size_t kMaxSentTimes = 1'024;
constexpr Duration kSlowStart = seconds(10);
constexpr double kHysteresisShare = 0.2;
constexpr Duration kHysteresisMin = milliseconds(50);
constexpr double kPrefixGroupShare = 0.9;  // servers within 10% of the best predicted hit
// prefix_hash: a server may hold this multiple of the mean fill of the servers with room.
constexpr double kPrefixHashBound = 1.25;
constexpr Duration kRegionRoundTrip = milliseconds(110);
constexpr Duration kDomainRoundTrip = milliseconds(3);
constexpr Duration kSummaryTtl = seconds(30);
constexpr double kPrefillTokensPerSecond = 8'000;  // until answers have shown the rate
constexpr double kRateSmoothing = 0.05;            // weight of the newest answer
constexpr int64_t kMinRateTokens = 500;            // shorter prompts say little about the rate
constexpr double kLongElsewhereCost = 0.1;         // seconds, of a long prompt at another server
// The same of a prompt that is late in any case: a step far into it takes so long that the streams
// beside it pause for longer than callers accept, so it waits for its home where one that can be in
// time does not.
constexpr double kLateElsewhereCost = 0.8;  // seconds
constexpr double kLongHomeCost = 0.2;       // seconds, of another prompt at that server
constexpr double kNeighbourCost = 0.03;     // seconds, of a long prompt for each request there
// Less is read again rather than fetched from the cache of another server.
constexpr int64_t kMinFetchTokens = 256;
// Up to this many servers are all compared; among more, two random ones of each group are.
constexpr size_t kCompareAll = 16;
constexpr Duration kDefaultService = seconds(1);
constexpr double kServerBacklogShare = 0.25;  // waiting requests per slot until a server is full
// The same for requests without a prompt that have a target for their first byte: they take so
// little time that one slot serves several within the target.
constexpr double kPlainBacklogShare = 2.0;
// Chapters run for seconds. While other classes were dispatched from this host within kReserveFor,
// they leave this share of each server's slots, at least one, to them and use no backlog.
constexpr double kReservedShare = 0.25;
constexpr int kMinSlotsToReserve = 2;
constexpr Duration kReserveFor = seconds(2);
// While suspects wait, every host keeps ordinary work off the same servers of a model, one for each
// host of the failure domain, so that they become idle for them: under load no server would be idle
// by chance. Only where this many serve it, and at most half of them.
constexpr int kMinServersToSetAside = 3;
constexpr Duration kNewsDelay = milliseconds(300);      // for hosts to hear of a loss
constexpr Duration kLoadReportLag = milliseconds(500);  // a report shows a load up to this old
constexpr Duration kSetAsideSettle = kNewsDelay + kLoadReportLag;
// A server to which no connection could be made is the last choice until it announces itself again,
// and so for at most this long. Without this, the server without work would get all of it.
constexpr Duration kUnreachableFor = seconds(3);
constexpr double kEjectedCost = 0.5;  // seconds that an ejected or unreachable server costs more
// No forwards to a failure domain after a host there could not be reached.
constexpr Duration kDomainUnreachableFor = seconds(1);
// Nor, for want of room at home, after one there was refused: the next summary tells more.
constexpr Duration kDomainFullFor = milliseconds(500);
// A prompt whose answer is late in any case is still sent where it waits no longer than this.
constexpr Duration kLateWait = milliseconds(100);
// The same at the home of long prompts for one that is late at an idle server as well, while nobody
// waits in the local queue: its answer is worth less than those that it would delay.
constexpr Duration kLateHomeWait = seconds(1);
// A request with a target for its first byte is held in the local queue for this part of it.
constexpr int kHoldParts = 8;
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMaxRetryAfter = seconds(5);
constexpr int kFailuresToEject = 3;
constexpr Duration kEjectionMin = seconds(1);
constexpr Duration kEjectionMax = seconds(30);
constexpr double kMaxEjectedShare = 1.0 / 3;

// How a local server is picked among those with room. Only kCost predicts prefix hits. The forward
// to another failure domain is decided by cost under every policy.
// - kRoundRobin: in turn.
// - kLeastReported: fewest requests in the newest reports, without what was sent since.
// - kPowerOfTwo: the less filled of two random servers.
// - kPrefixHash: rendezvous hash of the first prefix block over the servers below
//   kPrefixHashBound times the mean fill, so that a popular prefix spills to the next server.
enum class RoutingPolicy { kRoundRobin, kLeastReported, kPowerOfTwo, kPrefixHash, kCost };

// The names that ParseRoutingPolicy() accepts.
constexpr char kRoutingPolicyNames[] =
    "cost, round_robin, least_reported, power_of_two, prefix_hash";
std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name);

// What is asked of Choose(). Pointers must outlive the call.
struct RouteQuery {
  TeamId team;
  const RouteConfig* route = nullptr;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  std::vector<RegionId> allowed_regions;  // see AllowedRegions()
  int64_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;  // of growing prefixes, shortest first
  // Of each of these; empty: kPrefixBlockTokens more than the one before.
  std::vector<int64_t> prefix_tokens;
  uint64_t content = 0;
  int hops = 0;          // host hops so far
  bool crossed = false;  // a region was crossed so far
  Time deadline;
  // The answer is worth most when it starts before this time; the epoch: no target.
  Time first_byte_by;
  std::vector<ServerId> avoid_servers;  // tried before
  std::vector<HostId> avoid_hosts;      // the sender of a forward, hosts that refused
  bool suspect = false;                 // needs a server without other work
  bool uses_reserve = false;            // a chapter whose turn has come, see kReservedShare
};

// The regions that both the team's residency and the route allow, in the order of the route; empty
// when the team is unknown, which Choose() refuses.
std::vector<RegionId> AllowedRegions(const ConfigView& config, const RouteConfig& route);

// What this host did with one server or with one other failure domain.
struct ServerUse {
  int in_flight = 0;           // sent by this host and not ended
  std::vector<Time> sent;      // dispatch times of these, ascending; at most kMaxSentTimes
  bool exclusive = false;      // runs a suspect alone
  bool shared = false;         // other work was seen since the suspect was dispatched
  int failures = 0;            // consecutive
  int ejections = 0;           // consecutive, for the growing time
  Time ejected_until;          // no work before, unless every server that could run it is ejected
  Duration mean_service{0};    // 0: unknown
  uint32_t cache_id = 0;       // names the server's prefix cache; a new one forgets the old cache
  int64_t prefill_tokens = 0;  // of the prompts in flight whose answer has not started
  Time cold_next;              // a cold server gets nothing from this host before
  Time unreachable_at;         // the newest failed connection; the epoch: none
  bool gone = false;           // another server answers at its address
  Time full_until;             // of a failure domain: it refused a forward
  Time incarnation_from;       // first dispatch to this incarnation; older failures do not count
  uint64_t incarnation = 0;    // of the server at the last dispatch; a newer one starts unejected
};

struct LocalLoad {
  RoutingPolicy policy = RoutingPolicy::kCost;
  std::unordered_map<ServerId, ServerUse> servers;
  std::unordered_map<DomainId, ServerUse> domains;  // forwards, by failure domain
  PrefixIndex prefixes;
  Time reserved_until;        // chapters leave slots free; set by OnDispatch()
  Time set_aside_until;       // keep servers free for suspects; set from SetAsideUntil()
  uint64_t members_hash = 0;  // of the servers and hosts of the last view; see Prune()
  Time members_changed_at;    // the servers set aside may be others since then
  size_t queued_ahead = 0;    // requests that the local queue serves first; set by the caller
  uint64_t round_robin = 0;   // advanced by OnDispatch()
  std::unordered_map<std::string, double> prefill_rates;  // tokens a second, by model or service
  uint32_t next_cache_id = 1;
};

enum class ChoiceKind { kLocal, kForward, kQueue, kRefuse };

struct Choice {
  ChoiceKind kind = ChoiceKind::kRefuse;
  ServerId server;                         // kLocal
  uint64_t incarnation = 0;                // kLocal
  HostId host;                             // kForward
  DomainId domain;                         // kForward; pass it to OnForward()
  bool crosses = false;                    // kForward: to another region
  ErrorKind error = ErrorKind::kNoServer;  // kRefuse
  Duration retry_after{0};                 // kRefuse; 0: repeating does not help
  double cost = 0;                         // of the chosen place, in weighted seconds
  int64_t hit_tokens = 0;                  // kLocal: predicted prefix hit
  int64_t prefill_tokens = 0;              // neither there nor fetched
  int64_t fetch_tokens = 0;                // kLocal: it fetches these from another server's cache
  ServerId fetch_from;                     // kLocal: that server; empty: none
  int64_t tokens_ahead = 0;                // kLocal: of prompts that the server reads before
  Duration cold_interval{0};               // kLocal: see ColdInterval() in core/cold_limit.h
};

// A failure domain whose summary shows no free slot gets forwards only when no server here can run
// the request: summaries do not show the queues of its gateways, so a full one would always look
// cheaper than the queue at home, and equally loaded regions would exchange their requests.
//
// A request with a target for its first byte that no server here has room for is forwarded to a
// failure domain that can start it in time, whatever the queue costs: it is held here for a part of
// its target only and refused then.
//
// A request that was forwarded here is forwarded again only when no server here can run it, so two
// loaded hosts do not pass requests to each other. A suspect is forwarded under the same condition.
//
// Decides. `load` isn't changed: report the dispatch with OnDispatch() or OnForward() before the
// next call. kQueue means that servers exist and all are full (for a suspect: none is idle).
Choice Choose(const RouteQuery& query, const RoutingView& view, const LocalLoad& load, Time now,
              std::mt19937_64& rng);

enum class ServerOutcome {
  kOk,           // a complete answer, also one that says the request was wrong
  kFailed,       // reset, timeout or a 5xx answer: counts towards ejection
  kCancelled,    // ended by the caller or this host: says nothing about the server
  kUnreachable,  // no connection was made
  kGone,         // another server answers at its address
};

// Records that the request went to the server. `alone` for a suspect. The prefix hashes are
// expected in the server's cache from now on.
void OnDispatch(LocalLoad& load, const RouteQuery& query, const Choice& choice, Time now);

// The first byte of the answer arrived: the prompt is read. `dispatched_at` as below.
void OnFirstByte(LocalLoad& load, const std::string& served, const Choice& choice,
                 Time dispatched_at, Time now);

// Records the end of a dispatch. `dispatched_at` is the `now` of its OnDispatch(), `prefill_tokens`
// that of its choice, or 0 after OnFirstByte(). Returns true
// when the server was ejected by this call. At most kMaxEjectedShare of the view's live servers are
// ejected at a time, so one fault of this host's network cannot remove all of them.
bool OnServerOutcome(LocalLoad& load, const RoutingView& view, const ServerId& server,
                     Time dispatched_at, ServerOutcome outcome, Time now,
                     int64_t prefill_tokens = 0);

// What this host has at the backend servers now.
std::vector<ServerWork> OwnWork(const LocalLoad& load);

// The model or service that routing counts the route under.
const std::string& Served(const RouteConfig& route);

enum class ForwardEnd {
  kAnswered,
  kRefused,      // the host there could not run it
  kUnreachable,  // the host there did not answer
};

// The same for a forward to a failure domain.
void OnForward(LocalLoad& load, const DomainId& domain, Time now);
void OnForwardEnded(LocalLoad& load, const DomainId& domain, Time dispatched_at, ForwardEnd end,
                    Time now);

// When a refused request may come back: the least time until a server has room for it, spread over
// callers so that they do not return together.
Duration RetryAfter(const RouteQuery& query, const RoutingView& view, const LocalLoad& load,
                    Time now, std::mt19937_64& rng);

// Whether the suspect that runs on `server` has had no company that this host knows of: nothing
// else was sent from here and no report showed more than one request. Call before
// OnServerOutcome(). Other hosts' requests that no report has shown yet are not seen; poison.h
// corrects these cases.
bool RanAlone(const LocalLoad& load, const BackendServer& server);

// Call with each new view: marks exclusive servers that reported other work as shared, notes when
// servers or hosts come or go, and forgets servers and failure domains that the view no longer has
// and that have nothing in flight.
void Prune(LocalLoad& load, const RoutingView& view, Time now);

// Forgets the prefixes expected on a server: its cache events had a gap, or it evicted its cache.
void ForgetPrefixes(LocalLoad& load, const ServerId& server);

// True when the server may get new work of the route now: it serves the model and adapter and
// version (or the service), is in the scope of this host, is not leaving and has not expired, and
// its failure domain is not evacuated.
bool CanServe(const BackendServer& server, const RouteConfig& route, const RoutingView& view,
              Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ROUTING_H_
