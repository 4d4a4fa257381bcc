#include "core/voter_selection.h"

#include <algorithm>
#include <map>

namespace ebonylift {
namespace {

bool IsVoter(const std::vector<HostId>& voters, const HostId& host) {
  return std::find(voters.begin(), voters.end(), host) != voters.end();
}

// A suspected host does not count as failed, because it may recover shortly.
bool IsFailedOrLeaving(const HostEntry& host) {
  return host.status == HostStatus::kFailed || host.status == HostStatus::kLeaving;
}

// The voters that have failed or are leaving, in the order of `hosts`.
std::vector<HostId> VotersToRemove(const std::vector<HostEntry>& hosts,
                                   const std::vector<HostId>& voters) {
  std::vector<HostId> to_remove;
  for (const HostEntry& host : hosts) {
    if (IsVoter(voters, host.id) && IsFailedOrLeaving(host)) to_remove.push_back(host.id);
  }
  return to_remove;
}

// The largest odd number of voters that the hosts with a disk allow, within kMinVoters and
// kMaxVoters.
size_t TargetVoterCount(const std::vector<HostEntry>& hosts) {
  auto eligible = [](const HostEntry& host) { return host.has_disk && !IsFailedOrLeaving(host); };
  size_t eligible_hosts = static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), eligible));
  size_t target = std::min(eligible_hosts, kMaxVoters);
  target -= target % 2 == 0 && target > 0 ? 1 : 0;
  return std::max(target, kMinVoters);
}

// A live host with a disk that is not a voter, from the failure domain with the fewest voters.
std::optional<HostId> ChooseNewVoter(const std::vector<HostEntry>& hosts,
                                     const std::vector<HostId>& voters) {
  std::map<DomainId, int> voters_per_domain;
  for (const HostEntry& host : hosts) {
    if (IsVoter(voters, host.id) && !IsFailedOrLeaving(host)) ++voters_per_domain[host.domain];
  }
  const HostEntry* best = nullptr;
  for (const HostEntry& host : hosts) {
    bool eligible = host.has_disk && host.status == HostStatus::kAlive && !IsVoter(voters, host.id);
    if (!eligible) continue;
    if (best == nullptr || voters_per_domain[host.domain] < voters_per_domain[best->domain])
      best = &host;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

}  // namespace

VoterChange NextVoterChange(const std::vector<HostEntry>& hosts, const std::vector<HostId>& voters,
                            const HostId& leader) {
  std::vector<HostId> to_remove = VotersToRemove(hosts, voters);
  size_t target = TargetVoterCount(hosts);
  size_t remaining = voters.size() - to_remove.size();
  if (remaining >= target) {
    // Replacements for the voters to remove have already been added.
    if (to_remove.empty()) return {};
    return {VoterChange::Kind::kRemove, to_remove.front()};
  }
  std::optional<HostId> candidate = ChooseNewVoter(hosts, voters);
  if (candidate && *candidate != leader) return {VoterChange::Kind::kAdd, *candidate};
  return {};
}

}  // namespace ebonylift
