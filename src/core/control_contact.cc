#include "core/control_contact.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Parts of `revoke_after`: the silence after which a voter is asked, that after which all are, and
// the time between two messages to the same voter.
constexpr int kAskDivisor = 4;
constexpr int kAskAllDivisor = 2;
constexpr int kRepeatDivisor = 8;

struct Voter {
  HostId id;
  Time heard_at;  // Time(): never
};

// Returns the voters, the one that was heard from last first.
std::vector<Voter> ByTime(const Membership& membership, const std::vector<HostId>& voters,
                          Time now) {
  std::vector<Voter> result;
  for (const HostId& id : voters) {
    auto host = membership.hosts.find(id);
    bool heard = host != membership.hosts.end() && host->second.heard;
    Time heard_at = heard ? host->second.heard_at : Time();
    result.push_back({id, id == membership.self.host ? now : heard_at});
  }
  std::stable_sort(result.begin(), result.end(),
                   [](const Voter& a, const Voter& b) { return a.heard_at > b.heard_at; });
  return result;
}

}  // namespace

Time KeysValidUntil(const ControlContact& contact, const Membership& membership,
                    const std::vector<HostId>& voters, Time now) {
  if (contact.revoke_after <= Duration(0)) return Time::max();
  if (voters.empty()) return Time();
  Time heard_at = ByTime(membership, voters, now)[voters.size() / 2].heard_at;
  return heard_at == Time() ? Time() : heard_at + contact.revoke_after;
}

std::optional<HostId> HostToAskForVoters(ControlContact* contact, const Membership& membership,
                                         const std::vector<HostId>& voters,
                                         const std::vector<HostId>& connected, Time now,
                                         std::mt19937_64& rng) {
  if (contact->revoke_after <= Duration(0)) return std::nullopt;
  Duration silence = contact->revoke_after / kAskAllDivisor;
  Time valid_until = KeysValidUntil(*contact, membership, voters, now);
  if (valid_until - contact->revoke_after + silence > now) return std::nullopt;
  if (now - contact->voters_asked_at < silence) return std::nullopt;
  std::vector<HostId> candidates;
  for (const HostId& id : connected) {
    auto host = membership.hosts.find(id);
    bool current = host != membership.hosts.end() && host->second.revision >= membership.revision;
    if (current) candidates.push_back(id);
  }
  if (candidates.empty()) return std::nullopt;
  contact->voters_asked_at = now;
  return candidates[rng() % candidates.size()];
}

std::vector<HostId> VotersToAsk(ControlContact* contact, const Membership& membership,
                                const std::vector<HostId>& voters, Time now) {
  std::vector<HostId> due;
  if (contact->revoke_after <= Duration(0) || voters.empty()) return due;
  std::vector<Voter> sorted = ByTime(membership, voters, now);
  size_t majority = voters.size() / 2 + 1;
  Duration silence = now - sorted[majority - 1].heard_at;
  if (silence < contact->revoke_after / kAskAllDivisor) sorted.resize(majority);
  std::map<HostId, Time> asked_at;
  for (const Voter& voter : sorted) {
    auto asked = contact->asked_at.find(voter.id);
    bool repeated = asked != contact->asked_at.end() &&
                    now - asked->second < contact->revoke_after / kRepeatDivisor;
    if (repeated) asked_at.insert(*asked);
    if (repeated || now - voter.heard_at < contact->revoke_after / kAskDivisor) continue;
    asked_at[voter.id] = now;
    due.push_back(voter.id);
  }
  contact->asked_at = std::move(asked_at);
  return due;
}

}  // namespace ebonylift
