#include "core/poison.h"

#include <algorithm>
#include <iterator>

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
    if (content == loss.content || !suspect.condemned) continue;
    ServerLoss condemning_loss{content, suspect.condemned_on, suspect.condemned_incarnation,
                               suspect.condemned_at};
    if (IsSameLoss(condemning_loss, loss)) suspect.condemned = false;
  }
}

void EvictOne(PoisonState& poison) {
  auto evict_before = [](const auto& a, const auto& b) {
    if (a.second.condemned != b.second.condemned) return b.second.condemned;
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

PoisonVerdict RecordLoss(PoisonState& poison, const ServerLoss& loss, bool alone) {
  if (IsRepeated(poison, loss)) return Verdict(poison, loss.content, loss.at);
  bool had_other_work = HadOtherWork(poison, loss);
  AppendLoss(poison, loss);
  RevokeCondemnations(poison, loss);
  Suspect& suspect = FindOrAdd(poison, loss.content, loss.at);
  if (suspect.losses > 0 && alone && !had_other_work && !suspect.condemned) {
    suspect.condemned = true;
    suspect.condemned_on = loss.server;
    suspect.condemned_incarnation = loss.incarnation;
    suspect.condemned_at = loss.at;
  }
  ++suspect.losses;
  suspect.last_loss = loss.at;
  return suspect.condemned ? PoisonVerdict::kCondemned : PoisonVerdict::kSuspect;
}

}  // namespace

std::vector<PoisonVerdict> OnServerLost(PoisonState& poison, const ServerId& server,
                                        const std::vector<uint64_t>& in_flight, bool alone,
                                        Time now, uint64_t incarnation) {
  std::vector<PoisonVerdict> verdicts;
  verdicts.reserve(in_flight.size());
  bool single = in_flight.size() == 1;
  for (uint64_t content : in_flight) {
    verdicts.push_back(RecordLoss(poison, {content, server, incarnation, now}, alone && single));
  }
  return verdicts;
}

PoisonVerdict OnLossReported(PoisonState& poison, const ServerId& server, uint64_t content,
                             bool alone, Time now) {
  return RecordLoss(poison, {content, server, 0, now}, alone);
}

bool OnCompleted(PoisonState& poison, uint64_t content) {
  auto found = poison.suspects.find(content);
  if (found == poison.suspects.end() || found->second.condemned) return false;
  poison.suspects.erase(found);
  return true;
}

PoisonVerdict Verdict(const PoisonState& poison, uint64_t content, Time now) {
  auto found = poison.suspects.find(content);
  if (found == poison.suspects.end() || IsExpired(found->second, now)) return PoisonVerdict::kClear;
  return found->second.condemned ? PoisonVerdict::kCondemned : PoisonVerdict::kSuspect;
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
