#ifndef EBONYLIFT_CORE_HEDGING_H_
#define EBONYLIFT_CORE_HEDGING_H_

// Decides when a request that waits for its first byte is also sent to a second backend server (a
// hedge), and why not.
//
// Contract:
// - The delay is the kHedgeQuantile quantile of the time to the first byte of requests of the same
//   route and size class in the last kSampleWindow. Without kMinDelaySamples samples there is no
//   delay and no hedge.
// - Since the start of the process, hedges are at most `max_request_percent` of this host's own
//   requests, and their prompt tokens at most `max_token_percent` of those requests' prompt tokens.
//   What is not used is kept up to kMaxRequestCredit and kMaxTokenCredit. Each host applies the
//   limit to the requests of its own callers, so that it holds for all hosts together without
//   messages.
// - Under overload there are no hedges: none within kPressureTime of a request that waited in the
//   local queue, or of one that a server of the same service turned away.
//
// Not thread safe: the caller serialises all calls on one HedgingState. Throws nothing.
// Memory: at most kMaxHedgeClasses times kMaxDelaySamples samples, and kMaxTurnedAway names.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr double kHedgeQuantile = 0.95;
constexpr Duration kSampleWindow = seconds(10);
constexpr size_t kMinDelaySamples = 20;  // with fewer, the quantile is that of the slowest one
constexpr size_t kMaxDelaySamples = 256;
constexpr size_t kMaxHedgeClasses = 1'024;
constexpr size_t kMaxTurnedAway = 1'024;
// A shorter delay is within the noise of timers and of the network.
constexpr Duration kMinHedgeDelay = milliseconds(5);
constexpr Duration kPressureTime = seconds(1);
constexpr double kMaxRequestCredit = 10;
constexpr double kMaxTokenCredit = 200'000;
// A hedge goes only to a server with a lower utilization. Above it, the hedge would take the slots
// that the next first attempts need.
constexpr double kMaxHedgeUtilization = 0.5;

// Why a request that is due for a hedge gets none.
enum class HedgeWithheld {
  kNone,  // it is not withheld
  kQueue,
  kTurnedAway,
  kRequestLimit,
  kTokenLimit,
  kNoRoom,  // no other server of the region has room for it
  kSuspect,
  kAttempts,  // max_attempts of the route, or kMaxAttempts
  kRetryBudget,
  kDeadline,
};

// The values of HedgeWithheld but kNone, for metrics.
constexpr HedgeWithheld kHedgeWithheldReasons[] = {
    HedgeWithheld::kQueue,      HedgeWithheld::kTurnedAway,  HedgeWithheld::kRequestLimit,
    HedgeWithheld::kTokenLimit, HedgeWithheld::kNoRoom,      HedgeWithheld::kSuspect,
    HedgeWithheld::kAttempts,   HedgeWithheld::kRetryBudget, HedgeWithheld::kDeadline};

// Returns the snake_case name that metrics use.
const char* HedgeWithheldName(HedgeWithheld reason);

struct FirstByteSample {
  Time at;
  Duration time{0};
};

// The newest samples of one route and size class. `next` is the oldest one once there are
// kMaxDelaySamples.
struct FirstByteSamples {
  std::vector<FirstByteSample> samples;
  size_t next = 0;
  Time newest;
};

struct HedgingState {
  // By route, as RouteKey() of the caller names it, and size class.
  std::map<std::pair<std::string, int>, FirstByteSamples> first_bytes;
  double request_credit = 0;
  double token_credit = 0;
  Time queued_at;  // when a request last waited in the local queue; Time(): never
  std::unordered_map<std::string, Time> turned_away_at;  // by model or service name
};

// The limits in force: those of the configuration, else `percent` of the settings for both.
HedgingConfig EffectiveHedging(const std::optional<HedgingConfig>& configured, int percent);

// A limit of 0 for either switches hedging off.
inline bool IsHedgingOn(const HedgingConfig& limits) {
  return limits.max_request_percent > 0 && limits.max_token_percent > 0;
}

// Requests with prompts of about the same length have the same class: each is four times as wide as
// the one before.
int HedgeSizeClass(int64_t prompt_tokens);

// Counts a request of a caller of this host.
void OnOwnRequest(HedgingState& state, const HedgingConfig& limits, int64_t prompt_tokens);

// Records the time from the dispatch of an attempt that is no hedge to its first byte. For one that
// was cancelled because its hedge answered first, `time` is that until then: leaving such attempts
// out would lower the quantile and cause more hedges.
void RecordFirstByteTime(HedgingState& state, const std::string& route, int64_t prompt_tokens,
                         Duration time, Time now);

// Returns how long an attempt may be without a first byte before it is hedged; nullopt: there are
// too few samples.
std::optional<Duration> HedgeDelay(const HedgingState& state, const std::string& route,
                                   int64_t prompt_tokens, Time now);

// Records that a request waits in the local queue, or found it full.
void OnRequestQueued(HedgingState& state, Time now);

// Records that a server of the model or service turned a request away.
void OnTurnedAway(HedgingState& state, const std::string& served, Time now);

// Returns whether the pressure and the limits allow a hedge: kNone, kQueue, kTurnedAway,
// kRequestLimit or kTokenLimit. `queued`: requests in the local queue.
HedgeWithheld CheckHedge(const HedgingState& state, const std::string& served,
                         int64_t prompt_tokens, size_t queued, Time now);

// Records that a hedge was sent, which CheckHedge() allowed.
void OnHedgeSent(HedgingState& state, int64_t prompt_tokens);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_HEDGING_H_
