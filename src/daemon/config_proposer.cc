#include "daemon/config_proposer.h"

#include "daemon/put_answers.h"

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
  FollowLeader();
}

void ConfigProposer::FollowLeader() {
  std::optional<HostId> leader = options_.leader();
  if (!leader) return;
  std::vector<uint64_t> outdated;
  for (const auto& [number, forwarded] : forwarded_) {
    if (forwarded.leader && *forwarded.leader != *leader) outdated.push_back(number);
  }
  for (uint64_t number : outdated) {
    auto node = forwarded_.extract(number);
    if (node.empty()) continue;
    const ForwardedPut& forwarded = node.mapped();
    if (forwarded.put.request_id.empty() || forwarded.hops > 0) {
      forwarded.done(
          MakePutError(ErrorKind::kConfigUnknown, "the leader was replaced before it answered"));
    } else {
      Try({forwarded.put, forwarded.done, options_.clock() + kMaxLeaderWait});
    }
  }
}

void ConfigProposer::OnForwardAnswer(uint64_t number, const std::optional<PutAnswer>& answer) {
  // None if the leader was replaced meanwhile.
  auto node = forwarded_.extract(number);
  if (node.empty()) return;
  node.mapped().done(
      answer
          ? *answer
          : MakePutError(ErrorKind::kConfigUnknown,
                         "the leader did not answer; retry the change with the same request id"));
}

// Proposes the change here or forwards it once. Does not wait for a leader.
void ConfigProposer::PutWithoutWaiting(const ConfigPut& put, uint32_t hops, const PutDone& done) {
  std::optional<HostId> leader = options_.propose(put, done);
  if (!leader) return;
  std::optional<HostId> to = ForwardTarget(*leader);
  if (!to || hops >= kMaxPutHops) {
    return done(MakePutError(ErrorKind::kNoQuorum, "the leader of the voters cannot be reached"));
  }
  uint64_t number = ++last_forward_;
  forwarded_[number] = {put, hops, options_.leader(), done};
  options_.forward(*to, put, hops + 1, [this, number](const std::optional<PutAnswer>& answer) {
    OnForwardAnswer(number, answer);
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
