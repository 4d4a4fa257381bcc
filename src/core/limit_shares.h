#ifndef EBONYLIFT_CORE_LIMIT_SHARES_H_
#define EBONYLIFT_CORE_LIMIT_SHARES_H_

// The part of the limit of each workspace (WorkspaceLimit) that this host may use.
//
// The limits hold over all hosts together. The allocator (core/limit_allocator.h) leases each host
// that serves a workspace a share of its limit, between 0 and 1; the shares of all hosts add up to
// at most 1. A host fills its bucket at share x per_s. Half of the burst is leased with the shares,
// a quarter is divided evenly among all hosts and needs no lease, and the allocator keeps the rest,
// and what is not leased, for hosts whose demand grows. A share is a fraction, so a new
// configuration applies to a lease at once.
//
// A host asks for workspaces that have requests and gets with each share a grant: work that it may
// admit within kGrantLifetime, for requests that wait for the answer. A request waits at most
// kMaxLimitWait, and only if an answer that is on its way may admit it.
//
// A host without a lease uses a reserve: its part, 1/N of N hosts, of overshoot / 2 x per_s.
//
// A bucket that holds only one or two requests of a host wastes what flows over between them. The
// allocator then leases no share but keeps the work in its pool and grants it for each request.
//
// Deterministic; not thread safe. Memory: one entry per limited workspace with a request in the
// last kIdleLimitLifetime, at most kMaxLimitedWorkspaces.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// From the time at which the host sent its request. Covers an election and a lost renewal.
constexpr Duration kLimitLeaseLifetime = seconds(6);
constexpr Duration kGrantLifetime = seconds(1);
constexpr Duration kMinLimitAskInterval = milliseconds(200);
// After this time an answer is not waited for, and ignored if it arrives.
constexpr Duration kLimitAskTimeout = seconds(1);
// The longest interval between two messages and two round trips between regions.
constexpr Duration kMaxLimitWait = milliseconds(500);
constexpr Duration kIdleLimitLifetime = seconds(60);
constexpr size_t kMaxLimitedWorkspaces = 20'000;
// Bounds a message to about 13 KB.
constexpr size_t kMaxLimitRows = 400;
// Bounds the messages of a host to 2 KB/s. The workspaces with requests that wait come first.
constexpr double kMaxLimitRowsPerSecond = 100;

// How far all hosts together may exceed a limit.
struct LimitTolerance {
  double overshoot = 0;  // as a fraction of per_s
  double slack = 0;      // tokens in each kLimitWindow, for limits in tokens
};
constexpr Duration kLimitWindow = seconds(8);

// A request for the share of a workspace.
struct LimitDemand {
  uint64_t workspace = 0;  // LimitKey()
  double demand = 0;       // cost per second of the requests that arrive
  double wanted = 0;       // cost of the requests that wait
  double cost = 0;         // of the largest request of the last seconds
  double held = 0;         // unexpired share
  // Set if the allocator may not know it.
  std::optional<WorkspaceLimit> limit;
};

struct LimitAsk {
  uint64_t sequence = 0;  // grows with each message of a host
  uint64_t revision = 0;  // of the configuration that the limits are from
  uint32_t hosts = 1;     // that this host knows
  std::vector<LimitDemand> rows;
};

struct LimitGrant {
  double share = 0;
  double grant = 0;       // work that may be admitted beyond the share within kGrantLifetime
  bool unknown = false;   // the allocator does not know the limit
  bool no_lease = false;  // the allocator is new and leases nothing yet: use the reserve
};

// In the order of the rows of the request.
using LimitAnswer = std::vector<LimitGrant>;

// Identifies a workspace in messages: 48 bits of a hash of its name.
uint64_t LimitKey(const WorkspaceId& workspace);

// Parts of the burst.
constexpr double kLeasedBurst = 0.5;
constexpr double kOwnBurst = 0.25;   // divided among all hosts
constexpr double kPoolBurst = 0.25;  // kept by the allocator

// The burst that hosts and allocator divide: the tolerance adds half of its slack, of which
// requests in flight use the other half.
double EffectiveBurst(const WorkspaceLimit& limit, const LimitTolerance& tolerance);

// Rounds down to a value that the messages can carry, with an error of at most a thousandth.
double RoundForMessage(double value);

// The messages are compact: 13 bytes for a row of a renewal, 3 for its answer.
std::string EncodeLimitAsk(const LimitAsk& ask);
std::string EncodeLimitAnswer(const LimitAnswer& answer);
// Return nullopt for malformed input.
std::optional<LimitAsk> DecodeLimitAsk(std::string_view bytes);
std::optional<LimitAnswer> DecodeLimitAnswer(std::string_view bytes);

struct WorkspaceShare {
  WorkspaceId id;
  WorkspaceLimit limit;
  double level = 0;  // of the bucket; negative after an overdraft
  double grant = 0;  // not yet used
  Time grant_expires;
  Time updated;  // of `level` and `demand`
  Time used;     // the last request
  Time active_since;
  double demand = 0;  // smoothed over a second
  double cost = 0;    // of the largest recent request
  Time cost_at;
  double wanted = 0;  // cost of the requests that wait
  Time wanted_at;     // when the last of them began to
  bool leased = false;
  double share = 0;
  Time expires;
  Time leased_at;
  // Of the last request for a share:
  Time asked;
  double asked_demand = 0;
  bool ask_is_due = true;
  bool limit_known = false;     // the allocator has confirmed it
  bool limit_reached = false;   // the last answer gave less than was asked for, or there was none
  uint64_t admitted_count = 0;  // requests, for metrics
  uint64_t refused_count = 0;
};

struct LimitShares {
  LimitTolerance tolerance;
  uint32_t hosts = 1;     // that share the limits
  uint64_t revision = 0;  // of the configuration
  uint64_t seed = 0;      // differs between hosts
  std::unordered_map<WorkspaceId, WorkspaceShare> workspaces;
  // The request on its way; `sent` is the epoch if there is none.
  Time sent;
  Time last_sent;
  double row_credit = static_cast<double>(kMaxLimitRows);  // rows that may be sent now
  std::vector<std::pair<WorkspaceId, double>> sent_rows;   // with the `wanted` sent
  Time answered_ask;    // when the last request that was answered was sent
  bool silent = false;  // the last request was not answered
  Time next_scan;       // for workspaces to ask for
};

// The state of the limit of one workspace, for metrics.
struct LimitState {
  WorkspaceId workspace;
  uint64_t admitted = 0;  // requests since the workspace had none for kIdleLimitLifetime
  uint64_t refused = 0;
  double rate = 0;         // cost per second that this host may admit
  Duration lease_age{-1};  // negative: no lease
};
constexpr size_t kMaxReportedLimits = 64;

enum class LimitDecision { kAdmitted, kWait, kRefused };

struct LimitVerdict {
  LimitDecision decision = LimitDecision::kAdmitted;
  Duration retry_after{0};  // of kRefused
  bool ask_now = false;     // a request for a share is due
};

// The cost of a request with these token counts; both 0 if unknown.
double LimitCost(const WorkspaceLimit& limit, int64_t prompt_tokens, int64_t max_output_tokens);

// Decides on a request. After kWait, call it again about every 20 ms with `first` false.
LimitVerdict AdmitToLimit(LimitShares* shares, const WorkspaceId& workspace,
                          const WorkspaceLimit& limit, double cost, Time arrived, bool first,
                          Time now);

// A request for which AdmitToLimit() returned kWait no longer waits.
void CancelLimitWait(LimitShares* shares, const WorkspaceId& workspace, double cost);

// A request that was admitted has not run.
void RefundToLimit(LimitShares* shares, const WorkspaceId& workspace, double cost, Time now);

// Returns the request to send to the allocator now; nullopt if none is due. Then one of the
// functions below must be called, unless kLimitAskTimeout passes.
std::optional<LimitAsk> TakeLimitAsk(LimitShares* shares, Time now);

// `sent` is the time of TakeLimitAsk(). A late answer is ignored.
void OnLimitAnswer(LimitShares* shares, const LimitAnswer& answer, Time sent, Time now);
void OnNoLimitAnswer(LimitShares* shares, Time sent);

// Returns the workspaces with the most requests, at most kMaxReportedLimits.
std::vector<LimitState> LimitStates(const LimitShares& shares, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_LIMIT_SHARES_H_
