#include "core/hedging.h"

#include <algorithm>
#include <cmath>

namespace ebonylift {
namespace {

constexpr int64_t kSmallestClassTokens = 256;
constexpr int kMaxSizeClass = 5;

bool IsRecent(Time at, Time now) { return at != Time() && now < at + kPressureTime; }

// Returns the samples of the class, or null if there is no place for another class.
FirstByteSamples* FindOrAddSamples(HedgingState& state, const std::pair<std::string, int>& key,
                                   Time now) {
  auto found = state.first_bytes.find(key);
  if (found != state.first_bytes.end()) return &found->second;
  if (state.first_bytes.size() >= kMaxHedgeClasses) {
    for (auto it = state.first_bytes.begin(); it != state.first_bytes.end();) {
      bool old = now >= it->second.newest + kSampleWindow;
      it = old ? state.first_bytes.erase(it) : std::next(it);
    }
  }
  if (state.first_bytes.size() >= kMaxHedgeClasses) return nullptr;
  return &state.first_bytes[key];
}

}  // namespace

const char* HedgeWithheldName(HedgeWithheld reason) {
  switch (reason) {
    case HedgeWithheld::kNone:
      return "none";
    case HedgeWithheld::kQueue:
      return "queue";
    case HedgeWithheld::kTurnedAway:
      return "turned_away";
    case HedgeWithheld::kRequestLimit:
      return "request_limit";
    case HedgeWithheld::kTokenLimit:
      return "token_limit";
    case HedgeWithheld::kNoRoom:
      return "no_room";
    case HedgeWithheld::kSuspect:
      return "suspect";
    case HedgeWithheld::kAttempts:
      return "attempts";
    case HedgeWithheld::kRetryBudget:
      return "retry_budget";
    case HedgeWithheld::kDeadline:
      return "deadline";
  }
  return "none";
}

HedgingConfig EffectiveHedging(const std::optional<HedgingConfig>& configured, int percent) {
  return configured.value_or(HedgingConfig{percent, percent});
}

int HedgeSizeClass(int64_t prompt_tokens) {
  int size_class = 0;
  for (int64_t limit = kSmallestClassTokens; prompt_tokens >= limit; limit *= 4) {
    if (++size_class == kMaxSizeClass) break;
  }
  return size_class;
}

void OnOwnRequest(HedgingState& state, const HedgingConfig& limits, int64_t prompt_tokens) {
  double requests = limits.max_request_percent / 100.0;
  double tokens = static_cast<double>(prompt_tokens) * limits.max_token_percent / 100.0;
  state.request_credit = std::min(state.request_credit + requests, kMaxRequestCredit);
  state.token_credit = std::min(state.token_credit + tokens, kMaxTokenCredit);
}

void RecordFirstByteTime(HedgingState& state, const std::string& route, int64_t prompt_tokens,
                         Duration time, Time now) {
  FirstByteSamples* known = FindOrAddSamples(state, {route, HedgeSizeClass(prompt_tokens)}, now);
  if (known == nullptr) return;
  known->newest = now;
  if (known->samples.size() < kMaxDelaySamples) {
    known->samples.push_back({now, time});
    return;
  }
  known->samples[known->next] = {now, time};
  known->next = (known->next + 1) % kMaxDelaySamples;
}

std::optional<Duration> HedgeDelay(const HedgingState& state, const std::string& route,
                                   int64_t prompt_tokens, Time now) {
  auto found = state.first_bytes.find({route, HedgeSizeClass(prompt_tokens)});
  if (found == state.first_bytes.end()) return std::nullopt;
  std::vector<Duration> times;
  times.reserve(found->second.samples.size());
  for (const FirstByteSample& sample : found->second.samples) {
    if (now < sample.at + kSampleWindow) times.push_back(sample.time);
  }
  if (times.size() < kMinDelaySamples) return std::nullopt;
  // The smallest time that is at least as long as kHedgeQuantile of the samples.
  auto rank = static_cast<size_t>(std::ceil(kHedgeQuantile * static_cast<double>(times.size())));
  auto quantile = times.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(times.begin(), quantile, times.end());
  return std::max(*quantile, Duration(kMinHedgeDelay));
}

void OnRequestQueued(HedgingState& state, Time now) { state.queued_at = now; }

void OnTurnedAway(HedgingState& state, const std::string& served, Time now) {
  std::unordered_map<std::string, Time>& known = state.turned_away_at;
  if (known.size() >= kMaxTurnedAway && known.count(served) == 0) {
    for (auto it = known.begin(); it != known.end();) {
      it = IsRecent(it->second, now) ? std::next(it) : known.erase(it);
    }
    if (known.size() >= kMaxTurnedAway) return;
  }
  known[served] = now;
}

HedgeWithheld CheckHedge(const HedgingState& state, const std::string& served,
                         int64_t prompt_tokens, size_t queued, Time now) {
  if (queued > 0 || IsRecent(state.queued_at, now)) return HedgeWithheld::kQueue;
  auto turned_away = state.turned_away_at.find(served);
  if (turned_away != state.turned_away_at.end() && IsRecent(turned_away->second, now))
    return HedgeWithheld::kTurnedAway;
  if (state.request_credit < 1) return HedgeWithheld::kRequestLimit;
  if (state.token_credit < static_cast<double>(prompt_tokens)) return HedgeWithheld::kTokenLimit;
  return HedgeWithheld::kNone;
}

void OnHedgeSent(HedgingState& state, int64_t prompt_tokens) {
  state.request_credit -= 1;
  state.token_credit -= static_cast<double>(prompt_tokens);
}

}  // namespace ebonylift
