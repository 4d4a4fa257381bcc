#include "core/server_speed.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ebonylift {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double WeightAt(const SpeedEstimate& estimate, Time now) {
  if (estimate.weight <= 0) return 0;
  double age = std::max(0.0, Seconds(now - estimate.updated_at));
  return estimate.weight * std::exp(-age / Seconds(kSpeedMemory));
}

void AddSample(SpeedEstimate* estimate, double log_factor, double weight, Time now) {
  double known = WeightAt(*estimate, now);
  double share = weight / (known + weight);
  double distance = log_factor - estimate->log_factor;
  // A first sample may be of a slow period as well, so it is limited, too.
  distance = std::clamp(distance, -kMaxSampleDistance, kMaxSampleDistance);
  // While few samples are known, the estimate may be far off and moves by its own share only.
  estimate->log_factor += share * distance;
  estimate->weight = std::min(known + weight, kMaxSpeedWeight);
  estimate->updated_at = now;
}

double ClampFactor(double factor) { return std::clamp(factor, kMinSpeed, kMaxSpeed); }

bool Differs(double factor) { return std::abs(factor - 1) >= kMinSpeedDifference; }

// Records a sample that took `value` seconds for the work for which the model's mean is
// `mean->log_value`.
void OnSample(ServerSpeed* speed, SpeedMean* mean, double value, Time now) {
  double log_value = std::log(value);
  double corrected = log_value + std::log(MeanSpeed(*speed, now));
  if (mean->samples > 0) {
    // A pause says nothing about the mean.
    corrected = std::clamp(corrected, mean->log_value - 1, mean->log_value + 1);
  }
  mean->samples += 1;
  double share = std::max(1 / mean->samples, kBaselineSmoothing);
  mean->log_value += share * (corrected - mean->log_value);
  double sample = mean->log_value - log_value;
  AddSample(&speed->own, sample, 1, now);
  bool recent = speed->recent_at != Time() && now - speed->recent_at < kRecentSpeedTtl;
  double before = recent ? speed->recent : std::log(MeanSpeed(*speed, now));
  speed->recent = before + kRecentSpeedSmoothing * (sample - before);
  speed->recent_at = now;
}

// Returns the logarithm of the fast estimate relative to the slow one, if it shows a slow period.
double SlowPeriod(const ServerSpeed& speed, Time now) {
  double slowdown = 0;
  if (speed.recent_at != Time() && now - speed.recent_at < kRecentSpeedTtl) {
    slowdown = speed.recent - std::log(MeanSpeed(speed, now));
  }
  if (speed.others_recent_at != Time() && now - speed.others_recent_at < kRecentSpeedTtl) {
    slowdown = std::min(slowdown, speed.others_recent);
  }
  return slowdown < std::log(kSlowPeriodFactor) ? slowdown : 0;
}

}  // namespace

void SetIncarnation(ServerSpeed* speed, uint64_t incarnation) {
  if (speed->incarnation == incarnation) return;
  *speed = ServerSpeed();
  speed->incarnation = incarnation;
}

void OnPromptRead(ServerSpeed* speed, SpeedBaseline* baseline, double tokens, Duration time,
                  Time now) {
  if (tokens <= 0 || time <= Duration(0)) return;
  OnSample(speed, &baseline->read, Seconds(time) / (tokens + kFirstByteOverheadTokens), now);
}

void OnEventGap(ServerSpeed* speed, SpeedBaseline* baseline, Duration gap, double requests,
                Time now) {
  if (gap <= Duration(0)) return;
  double alone = Seconds(gap) / (1 + kStepGrowthPerRequest * std::max(requests, 0.0));
  SpeedMean* mean = &baseline->event_gap;
  if (mean->samples > 0 && alone < kMinGapShare * std::exp(mean->log_value)) return;
  OnSample(speed, mean, alone, now);
}

void OnOthersSpeed(ServerSpeed* speed, const ObservedSpeed& observed, Time now) {
  if (observed.weight <= 0 || observed.incarnation != IncarnationTag(speed->incarnation)) return;
  double log_factor = std::log(ClampFactor(observed.factor));
  double known = WeightAt(speed->others, now);
  // Lists show different hosts over time, so what they show is added up; but each shows the same
  // estimates as the one before for about kOthersSpeedRepeat, so each adds a part only.
  double repeats = Seconds(now - speed->others.updated_at) / Seconds(kOthersSpeedRepeat);
  double added = observed.weight * (known <= 0 ? 1 : std::clamp(repeats, 0.0, 1.0));
  speed->others.log_factor += added / (known + added) * (log_factor - speed->others.log_factor);
  speed->others.weight = std::min(known + added, kMaxSpeedWeight);
  speed->others.updated_at = now;
  speed->others_recent = std::log(ClampFactor(observed.recent));
  speed->others_recent_at = now;
}

double MeanSpeed(const ServerSpeed& speed, Time now) {
  double own = WeightAt(speed.own, now);
  double others = WeightAt(speed.others, now);
  double sum = own * speed.own.log_factor + others * speed.others.log_factor;
  return ClampFactor(std::exp(sum / (own + others + kMeanSpeedWeight)));
}

double SteadySpeed(const ServerSpeed& speed, Time now) {
  double factor = MeanSpeed(speed, now);
  return Differs(factor) ? factor : 1;
}

double SpeedAt(const ServerSpeed& speed, Time now) {
  return ClampFactor(SteadySpeed(speed, now) * std::exp(SlowPeriod(speed, now)));
}

std::optional<double> TakeSpeedToLog(ServerSpeed* speed, Time now) {
  double factor = MeanSpeed(*speed, now);
  double change = factor / speed->logged;
  if (change < 1 + kLoggedSpeedChange && change > 1 / (1 + kLoggedSpeedChange)) return std::nullopt;
  speed->logged = factor;
  return factor;
}

double EventGapSeconds(const SpeedBaseline& baseline, double requests) {
  if (baseline.event_gap.samples <= 0) return 0;
  return std::exp(baseline.event_gap.log_value) *
         (1 + kStepGrowthPerRequest * std::max(requests, 0.0));
}

double ReadSecondsPerToken(const SpeedBaseline& baseline) {
  return baseline.read.samples <= 0 ? 0 : std::exp(baseline.read.log_value);
}

std::optional<ObservedSpeed> SpeedToShare(const ServerSpeed& speed, Time now) {
  if (speed.own.weight <= 0 || now - speed.own.updated_at > kSpeedShareTime) return std::nullopt;
  ObservedSpeed shared;
  shared.factor = ClampFactor(std::exp(speed.own.log_factor));
  shared.weight = WeightAt(speed.own, now);
  if (speed.recent_at != Time() && now - speed.recent_at < kRecentSpeedTtl) {
    double slowdown = speed.recent - std::log(MeanSpeed(speed, now));
    if (slowdown < std::log(kSlowPeriodFactor)) shared.recent = ClampFactor(std::exp(slowdown));
  }
  shared.incarnation = IncarnationTag(speed.incarnation);
  // Of a server that other hosts take for a different one, the own estimate counts as well.
  bool others_differ = speed.others.weight > 0 && Differs(std::exp(speed.others.log_factor));
  if (!Differs(shared.factor) && shared.recent == 1 && !others_differ) return std::nullopt;
  return shared;
}

void MergeSpeed(const ObservedSpeed& observed, ObservedSpeed* sum) {
  if (observed.weight <= 0) return;
  if (sum->weight <= 0 || sum->incarnation != observed.incarnation) {
    // Of two incarnations, the one that more answers were seen of counts.
    if (sum->weight > observed.weight) return;
    *sum = observed;
    return;
  }
  double weight = sum->weight + observed.weight;
  double log_factor =
      (sum->weight * std::log(sum->factor) + observed.weight * std::log(observed.factor)) / weight;
  sum->factor = std::exp(log_factor);
  sum->weight = weight;
  sum->recent = std::min(sum->recent, observed.recent);
}

void SubtractSpeed(const ObservedSpeed& observed, ObservedSpeed* sum) {
  if (sum->incarnation != observed.incarnation || observed.weight <= 0) return;
  if (observed.recent <= sum->recent) sum->recent = 1;
  double weight = sum->weight - observed.weight;
  if (weight < 0.5) {
    sum->weight = 0;
    return;
  }
  double log_factor =
      (sum->weight * std::log(sum->factor) - observed.weight * std::log(observed.factor)) / weight;
  sum->factor = ClampFactor(std::exp(log_factor));
  sum->weight = weight;
}

uint8_t SpeedToByte(double factor) {
  constexpr double kStepsPerOctave = 32;
  double steps = 128 + kStepsPerOctave * std::log2(ClampFactor(factor));
  return static_cast<uint8_t>(std::clamp(std::round(steps), 1.0, 255.0));
}

double SpeedFromByte(uint8_t byte) { return ClampFactor(std::exp2((byte - 128) / 32.0)); }

uint8_t IncarnationTag(uint64_t incarnation) {
  return static_cast<uint8_t>(Hash64(std::to_string(incarnation)) & 0xff);
}

}  // namespace ebonylift
