#include "core/poison.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace ebonylift {
namespace {

bool IsExpired(const Suspect& suspect, Time now) { return now >= suspect.last_loss + kSuspectTtl; }

Duration AbsoluteDifference(Time a, Time b) { return a > b ? a - b : b - a; }

// Returns whether two observations are of the same loss of a server: they are close in time, and
// their incarnations are not known to differ.
bool IsSameLoss(const ServerLoss& a, const ServerLoss& b) {
  bool different_incarnations =
      a.incarnation != 0 && b.incarnation != 0 && a.incarnation != b.incarnation;
  return a.server == b.server && !different_incarnations &&
         AbsoluteDifference(a.at, b.at) <= kSameLossWindow;
}

bool IsRepeated(const PoisonState& poison, const ServerLoss& loss) {
  return std::any_of(poison.losses.begin(), poison.losses.end(), [&](const ServerLoss& other) {
    return other.content == loss.content && IsSameLoss(other, loss);
  });
}

// Returns whether another content is known to have been in flight on the server when it was lost.
bool HadOtherWork(const PoisonState& poison, const ServerLoss& loss) {
  return std::any_of(poison.losses.begin(), poison.losses.end(), [&](const ServerLoss& other) {
    return other.content != loss.content && IsSameLoss(other, loss);
  });
}

// Reverts the condemnation of other contents by the same loss, because they did not run alone.
void RevokeCondemnations(PoisonState& poison, const ServerLoss& loss) {
  for (auto& [content, suspect] : poison.suspects) {
    if (content == loss.content || !suspect.condemned_alone) continue;
    ServerLoss condemning_loss{content, suspect.condemned_on, suspect.condemned_incarnation,
                               suspect.condemned_at};
    if (IsSameLoss(condemning_loss, loss)) suspect.condemned_alone = false;
  }
}

bool IsCondemned(const Suspect& suspect) {
  return suspect.condemned_alone || suspect.losses >= kLossesToCondemn;
}

void EvictOne(PoisonState& poison) {
  auto evict_before = [](const auto& a, const auto& b) {
    if (IsCondemned(a.second) != IsCondemned(b.second)) return IsCondemned(b.second);
    return a.second.last_loss < b.second.last_loss;
  };
  poison.suspects.erase(
      std::min_element(poison.suspects.begin(), poison.suspects.end(), evict_before));
}

Suspect& FindOrAdd(PoisonState& poison, uint64_t content, Time now) {
  auto found = poison.suspects.find(content);
  if (found != poison.suspects.end()) {
    if (IsExpired(found->second, now)) found->second = Suspect();
    return found->second;
  }
  if (poison.suspects.size() >= kMaxSuspects) EvictOne(poison);
  return poison.suspects[content];
}

void AppendLoss(PoisonState& poison, const ServerLoss& loss) {
  poison.losses.push_back(loss);
  if (poison.losses.size() > kMaxLosses) poison.losses.pop_front();
}

PoisonVerdict VerdictOn(const Suspect& suspect) {
  return IsCondemned(suspect) ? PoisonVerdict::kCondemned : PoisonVerdict::kSuspect;
}

// `losses` is the number of losses in succession with which this one ends.
LossFinding RecordLoss(PoisonState& poison, const ServerLoss& loss, bool alone, int losses) {
  bool repeated = IsRepeated(poison, loss);
  // The content completed after the first observation of this loss.
  if (repeated && Verdict(poison, loss.content, loss.at) == PoisonVerdict::kClear)
    return {loss.content, PoisonVerdict::kClear, 0, false};
  bool had_other_work = HadOtherWork(poison, loss);
  if (!repeated) {
    AppendLoss(poison, loss);
    RevokeCondemnations(poison, loss);
  }
  Suspect& suspect = FindOrAdd(poison, loss.content, loss.at);
  LossFinding finding;
  finding.content = loss.content;
  finding.is_news = !repeated || losses > suspect.losses;
  if (!repeated && suspect.losses > 0 && alone && !had_other_work && !suspect.condemned_alone) {
    suspect.condemned_alone = true;
    suspect.condemned_on = loss.server;
    suspect.condemned_incarnation = loss.incarnation;
    suspect.condemned_at = loss.at;
  }
  suspect.losses = std::max(suspect.losses, losses);
  if (!repeated) suspect.last_loss = loss.at;
  finding.losses = suspect.losses;
  finding.verdict = VerdictOn(suspect);
  return finding;
}

}  // namespace

int KnownLosses(const PoisonState& poison, uint64_t content, Time now) {
  auto found = poison.suspects.find(content);
  return found == poison.suspects.end() || IsExpired(found->second, now) ? 0 : found->second.losses;
}

std::vector<LossFinding> OnServerLost(PoisonState& poison, const ServerId& server,
                                      const std::vector<RunningContent>& in_flight, bool alone,
                                      Time now, uint64_t incarnation) {
  std::vector<LossFinding> findings;
  findings.reserve(in_flight.size());
  bool single = in_flight.size() == 1;
  for (const RunningContent& running : in_flight) {
    ServerLoss loss{running.content, server, incarnation, now};
    findings.push_back(RecordLoss(poison, loss, alone && single, running.losses_known + 1));
  }
  return findings;
}

LossFinding OnLossReported(PoisonState& poison, const ServerId& server, uint64_t content,
                           bool alone, int losses, Time now) {
  return RecordLoss(poison, {content, server, 0, now}, alone, std::max(losses, 1));
}

std::vector<KnownSuspect> KnownSuspects(const PoisonState& poison, size_t limit, Time now) {
  std::vector<KnownSuspect> known;
  for (const auto& [content, suspect] : poison.suspects) {
    if (IsExpired(suspect, now)) continue;
    bool final = suspect.condemned_alone && now - suspect.condemned_at > kSameLossWindow;
    int losses = final ? std::max(suspect.losses, kLossesToCondemn) : suspect.losses;
    known.push_back({content, losses, now - suspect.last_loss});
  }
  std::sort(known.begin(), known.end(), [](const KnownSuspect& a, const KnownSuspect& b) {
    bool a_condemned = a.losses >= kLossesToCondemn;
    bool b_condemned = b.losses >= kLossesToCondemn;
    if (a_condemned != b_condemned) return a_condemned;
    return std::tie(a.age, a.content) < std::tie(b.age, b.content);
  });
  if (known.size() > limit) known.resize(limit);
  return known;
}

bool OnSuspectKnown(PoisonState& poison, const KnownSuspect& known, Time now) {
  Time last_loss = now - std::max<Duration>(known.age, Duration(0));
  if (known.losses <= 0 || now >= last_loss + kSuspectTtl) return false;
  Suspect& suspect = FindOrAdd(poison, known.content, now);
  bool was_condemned = IsCondemned(suspect);
  suspect.losses = std::max(suspect.losses, known.losses);
  suspect.last_loss = std::max(suspect.last_loss, last_loss);
  return IsCondemned(suspect) && !was_condemned;
}

bool OnCompleted(PoisonState& poison, uint64_t content) {
  auto found = poison.suspects.find(content);
  if (found == poison.suspects.end() || IsCondemned(found->second)) return false;
  poison.suspects.erase(found);
  return true;
}

bool OnDisproved(PoisonState& poison, uint64_t content) {
  return poison.suspects.erase(content) != 0;
}

PoisonVerdict Verdict(const PoisonState& poison, uint64_t content, Time now) {
  auto found = poison.suspects.find(content);
  if (found == poison.suspects.end() || IsExpired(found->second, now)) return PoisonVerdict::kClear;
  return VerdictOn(found->second);
}

Duration TimeToExpiry(const PoisonState& poison, uint64_t content, Time now) {
  auto found = poison.suspects.find(content);
  if (found == poison.suspects.end()) return Duration(0);
  return std::max<Duration>(found->second.last_loss + kSuspectTtl - now, Duration(0));
}

Time SetAsideUntil(const PoisonState& poison) {
  if (poison.losses.empty() || poison.suspects.empty()) return Time();
  return poison.losses.back().at + kSetAsideDuration;
}

size_t Expire(PoisonState& poison, Time now) {
  size_t dropped = 0;
  for (auto it = poison.suspects.begin(); it != poison.suspects.end();) {
    bool expired = IsExpired(it->second, now);
    it = expired ? poison.suspects.erase(it) : std::next(it);
    if (expired) ++dropped;
  }
  while (!poison.losses.empty() && now - poison.losses.front().at > 2 * kSetAsideDuration) {
    poison.losses.pop_front();
  }
  return dropped;
}

}  // namespace ebonylift
