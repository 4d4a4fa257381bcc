#include "core/voter_keeper.h"

#include <algorithm>
#include <map>

namespace ebonylift {
namespace {

bool IsVoter(const std::vector<HostId>& voters, const HostId& host) {
  return std::find(voters.begin(), voters.end(), host) != voters.end();
}

// A suspected host may be back in a moment.
bool IsLost(const HostEntry& host) {
  return host.status == HostStatus::kFailed || host.status == HostStatus::kLeaving;
}

// The voters that are gone, by id.
std::vector<HostId> LostVoters(const std::vector<HostEntry>& hosts,
                               const std::vector<HostId>& voters) {
  std::vector<HostId> lost;
  for (const HostEntry& host : hosts) {
    if (IsVoter(voters, host.id) && IsLost(host)) lost.push_back(host.id);
  }
  return lost;
}

size_t WantedVoters(const std::vector<HostEntry>& hosts) {
  auto usable = [](const HostEntry& host) { return host.has_disk && !IsLost(host); };
  size_t disks = static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), usable));
  size_t wanted = std::min(disks, kMaxVoters);
  wanted -= wanted % 2 == 0 && wanted > 0 ? 1 : 0;
  return std::max(wanted, kMinVoters);
}

// A live host with a disk, in the failure domain with the fewest voters.
std::optional<HostId> Candidate(const std::vector<HostEntry>& hosts,
                                const std::vector<HostId>& voters) {
  std::map<DomainId, int> voters_in;
  for (const HostEntry& host : hosts) {
    if (IsVoter(voters, host.id) && !IsLost(host)) ++voters_in[host.domain];
  }
  const HostEntry* best = nullptr;
  for (const HostEntry& host : hosts) {
    bool usable = host.has_disk && host.status == HostStatus::kAlive && !IsVoter(voters, host.id);
    if (!usable) continue;
    if (best == nullptr || voters_in[host.domain] < voters_in[best->domain]) best = &host;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

}  // namespace

VoterChange NextVoterChange(const std::vector<HostEntry>& hosts, const std::vector<HostId>& voters,
                            const HostId& leader) {
  std::vector<HostId> lost = LostVoters(hosts, voters);
  size_t wanted = WantedVoters(hosts);
  size_t present = voters.size() - lost.size();
  if (present >= wanted) {
    // The ones that took the places of the lost voters vote already.
    if (lost.empty()) return {};
    return {VoterChange::Kind::kRemove, lost.front()};
  }
  std::optional<HostId> candidate = Candidate(hosts, voters);
  if (candidate && *candidate != leader) return {VoterChange::Kind::kAdd, *candidate};
  return {};
}

}  // namespace ebonylift
