#include "daemon/config_proposer.h"

namespace ebonylift {

void ConfigProposer::Put(const ConfigPut& put, uint32_t hops, const PutDone& done) {
  // Only the host that received the change from the operator waits for a leader.
  if (hops > 0) return PutWithoutWaiting(put, hops, done);
  Try({put, done, options_.clock() + kMaxLeaderWait});
}

// With kNoQuorum nothing was proposed, so the change can safely be retried.
void ConfigProposer::Try(const WaitingPut& waiting) {
  PutWithoutWaiting(waiting.put, 0, [this, waiting](const PutAnswer& answer) {
    bool wait = answer.error == ErrorKind::kNoQuorum && options_.clock() < waiting.deadline &&
                waiting_.size() < kMaxWaitingPuts;
    if (wait) {
      waiting_.push_back(waiting);
    } else {
      waiting.done(answer);
    }
  });
}

void ConfigProposer::RetryWaiting() {
  std::vector<WaitingPut> waiting = std::exchange(waiting_, {});
  for (const WaitingPut& put : waiting) Try(put);
}

// Proposes the change here or forwards it once. Does not wait for a leader.
void ConfigProposer::PutWithoutWaiting(const ConfigPut& put, uint32_t hops, const PutDone& done) {
  std::optional<HostId> leader = options_.propose(put, done);
  if (!leader) return;
  std::optional<HostId> to = ForwardTarget(*leader);
  PutAnswer answer;
  if (!to || hops >= kMaxPutHops) {
    answer.error = ErrorKind::kNoQuorum;
    answer.message = "the leader of the voters cannot be reached";
    return done(answer);
  }
  options_.forward(*to, put, hops + 1, [done](std::optional<PutAnswer> reply) {
    if (reply) return done(*reply);
    PutAnswer unknown;
    unknown.error = ErrorKind::kConfigUnknown;
    unknown.message = "the leader did not answer; retry the change with the same request id";
    done(unknown);
  });
}

// The leader if it is connected, else any connected voter, which can forward to the leader.
std::optional<HostId> ConfigProposer::ForwardTarget(const HostId& leader) const {
  if (options_.is_connected(leader)) return leader;
  for (const HostId& voter : options_.voters()) {
    if (options_.is_connected(voter)) return voter;
  }
  return std::nullopt;
}

}  // namespace ebonylift
