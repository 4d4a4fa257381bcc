#ifndef EBONYLIFT_CORE_SERVER_SPEED_H_
#define EBONYLIFT_CORE_SERVER_SPEED_H_

// Learns how fast each backend server is, relative to the mean of the servers of its model, from
// its answers.
//
// - A sample compares the time in which a server read prompts, or the time between two events of a
//   stream, with the mean of the model for the same work. Reading and decoding depend on the same
//   device, so there is one factor for both: 2 reads and decodes in half the mean time.
// - The slow estimate is an average over kSpeedMemory. Each sample moves it by a limited amount, so
//   that pauses and slow periods do not.
// - The fast estimate follows the last few samples and expires after kRecentSpeedTtl. It shows slow
//   periods.
// - Hosts share their own estimates in the work lists (core/work_exchange.h), because one host has
//   few answers of each server. Estimates of others are never passed on, so that none counts twice.
//
// SteadySpeed() returns exactly 1 for servers that differ from the mean by less than a tenth, so
// equal servers are placed as if nothing had been learned.
//
// Deterministic; not thread safe. Memory: one ServerSpeed for each server, one SpeedBaseline for
// each model.

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// What is assumed of model engines. With other engines, speeds stay relative to the mean, but the
// expected durations of answers are less exact. They decode this many tokens for each event of a
// stream, one in each step. Between two steps they read at most kPromptChunkTokens of waiting
// prompts.
constexpr int64_t kTokensPerEvent = 9;
constexpr double kPromptChunkTokens = 2'048;
// Each running request prolongs a decode step by this share of the duration of a step with none.
constexpr double kStepGrowthPerRequest = 1.0 / 30;

// A request takes a fixed time before its first byte, about as long as reading this many tokens.
constexpr double kFirstByteOverheadTokens = 2'500;
// A shorter gap than this share of the mean is not a gap between two events: both came in one
// chunk.
constexpr double kMinGapShare = 0.2;

constexpr Duration kSpeedMemory = seconds(30);
constexpr double kMaxSpeedWeight = 200;
// An estimate counts as if it also had this many samples of the mean speed.
constexpr double kMeanSpeedWeight = 6;
// The most that one sample counts for in the slow estimate, as a distance of logarithms.
constexpr double kMaxSampleDistance = 0.4;
constexpr Duration kRecentSpeedTtl = milliseconds(400);
constexpr double kRecentSpeedSmoothing = 0.6;  // weight of the newest sample
// A server is in a slow period if its last samples are slower than its factor by this much.
constexpr double kSlowPeriodFactor = 1 / 1.6;
// Factors closer to 1 than this count as 1, and are not sent.
constexpr double kMinSpeedDifference = 0.1;
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 5;
constexpr double kLoggedSpeedChange = 0.25;
// An own estimate is sent for this long after its last sample: longer than kWorkRefreshInterval in
// core/work_exchange.h. Others keep it, so sending it once is enough.
constexpr Duration kSpeedShareTime = milliseconds(500);
// For about this long, the time of an answer and kSpeedShareTime, lists repeat an estimate.
constexpr Duration kOthersSpeedRepeat = seconds(2);
// The weight of the newest sample in the mean of a model.
constexpr double kBaselineSmoothing = 0.005;

// An average of logarithms of factors, weighted by samples that lose weight over kSpeedMemory.
struct SpeedEstimate {
  double log_factor = 0;
  double weight = 0;
  Time updated_at;
};

struct ServerSpeed {
  uint64_t incarnation = 0;
  SpeedEstimate own;
  SpeedEstimate others;      // of the other hosts, merged
  double recent = 0;         // logarithm, relative to the mean of the model
  Time recent_at;            // Time(): no sample
  double others_recent = 0;  // logarithm, relative to the slow estimate
  Time others_recent_at;
  double logged = 1;  // see TakeSpeedToLog()
};

// The logarithmic mean of one kind of sample over the servers of a model, each corrected by the
// factor of its server.
struct SpeedMean {
  double log_value = 0;
  double samples = 0;
};

struct SpeedBaseline {
  SpeedMean read;       // seconds per prompt token
  SpeedMean event_gap;  // seconds, of a server without other requests
};

// Forgets the speed if it is of another incarnation.
void SetIncarnation(ServerSpeed* speed, uint64_t incarnation);

// Records that the first byte came after `time`, in which the server read `tokens` prompt tokens,
// those ahead included.
void OnPromptRead(ServerSpeed* speed, SpeedBaseline* baseline, double tokens, Duration time,
                  Time now);

// Records the time between two events of a stream at a server that had `requests` requests.
void OnEventGap(ServerSpeed* speed, SpeedBaseline* baseline, Duration gap, double requests,
                Time now);

// Records what the other hosts know of the server.
void OnOthersSpeed(ServerSpeed* speed, const ObservedSpeed& observed, Time now);

// Returns the factor of the server over the last tens of seconds.
double MeanSpeed(const ServerSpeed& speed, Time now);

// The same, but 1 for a server that differs from the mean by less than kMinSpeedDifference.
double SteadySpeed(const ServerSpeed& speed, Time now);

// Returns SteadySpeed(), lowered in a slow period.
double SpeedAt(const ServerSpeed& speed, Time now);

// Returns MeanSpeed() if it differs from the last returned one by kLoggedSpeedChange or more.
std::optional<double> TakeSpeedToLog(ServerSpeed* speed, Time now);

// Returns the time between two events of a stream at a server of speed 1 with `requests` requests;
// 0 if it is not known.
double EventGapSeconds(const SpeedBaseline& baseline, double requests);

// Returns the time in which a server of speed 1 reads a prompt token; 0 if it is not known. Unlike
// a rate that is taken from whole requests, it leaves out their fixed time.
double ReadSecondsPerToken(const SpeedBaseline& baseline);

// Returns what this host tells others of the server.
std::optional<ObservedSpeed> SpeedToShare(const ServerSpeed& speed, Time now);

// Adds the estimate `observed` to `sum`.
void MergeSpeed(const ObservedSpeed& observed, ObservedSpeed* sum);

// Removes an estimate that was added to `sum`.
void SubtractSpeed(const ObservedSpeed& observed, ObservedSpeed* sum);

// A factor in one byte, with an error of at most 1.2%. 0 is not a factor.
uint8_t SpeedToByte(double factor);
double SpeedFromByte(uint8_t byte);

// Distinguishes the incarnations of a server well enough for the second in which a list counts.
uint8_t IncarnationTag(uint64_t incarnation);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_SPEED_H_
