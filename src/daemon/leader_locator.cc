#include "daemon/leader_locator.h"

namespace ebonylift {

LeaderLocator::LeaderLocator(const HostId& self, const std::vector<HostId>& initial_voters,
                             const DurableConsensus* consensus)
    : self_(self), initial_voters_(initial_voters), consensus_(consensus) {}

void LeaderLocator::AddHints(const PullHints& hints) {
  if (!hints.leader.empty()) hints_.leader = hints.leader;
  if (!hints.voters.empty()) hints_.voters = hints.voters;
}

std::optional<HostId> LeaderLocator::Leader() const {
  if (consensus_->IsMember()) {
    const HostId& leader = consensus_->state()->leader;
    if (!consensus_->storage_ok() || leader.empty()) return std::nullopt;
    return leader;
  }
  if (hints_.leader.empty()) return std::nullopt;
  return hints_.leader;
}

std::vector<HostId> LeaderLocator::Voters() const {
  const Consensus* state = consensus_->state();
  if (state != nullptr && (consensus_->IsMember() || LastIndex(*state) != 0)) {
    return std::vector<HostId>(state->members.voters.begin(), state->members.voters.end());
  }
  return hints_.voters.empty() ? initial_voters_ : hints_.voters;
}

std::optional<HostId> LeaderLocator::HostToAsk() {
  std::optional<HostId> leader = Leader();
  if (leader && *leader != self_) return leader;
  if (consensus_->IsMember()) return std::nullopt;
  const std::vector<HostId>& voters = hints_.voters.empty() ? initial_voters_ : hints_.voters;
  for (size_t i = 0; i < voters.size(); ++i) {
    const HostId& voter = voters[next_voter_++ % voters.size()];
    if (voter != self_) return voter;
  }
  return std::nullopt;
}

}  // namespace ebonylift
