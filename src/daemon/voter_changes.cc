#include "daemon/voter_changes.h"

#include <utility>

namespace ebonylift {
namespace {

constexpr Duration kVoterChangeTimeout = seconds(60);

// Returns whether a membership already has the state that a change asks for.
bool IsComplete(const MemberSet& members, const HostId& host, bool add) {
  bool is_voter = members.voters.count(host) != 0;
  bool is_member = is_voter || members.learners.count(host) != 0;
  return add ? is_voter : !is_member;
}

}  // namespace

std::optional<Ready> VoterChanges::Propose(Consensus* leader, const HostId& host, bool add,
                                           PutAnswerDone done) {
  if (IsComplete(leader->members, host, add)) {
    QueueAnswer(callbacks_, std::move(done), PutAnswer());
    return std::nullopt;
  }
  MemberSet next = leader->members;
  next.voters.erase(host);
  next.learners.erase(host);
  if (add) next.learners.insert(host);
  std::optional<Proposal> proposal = ProposeMembers(leader, next, clock_->Update());
  if (!proposal) {
    QueueAnswer(callbacks_, std::move(done),
                MakePutError(ErrorKind::kConfigConflict,
                             "another change of the voters is still in progress"));
    return std::nullopt;
  }
  pending_.push_back({host, add, std::move(done), clock_->now() + kVoterChangeTimeout});
  return std::move(proposal->ready);
}

void VoterChanges::OnCommitted(const MemberSet& members) {
  AnswerIf([&](const Pending& change) { return IsComplete(members, change.host, change.add); },
           PutAnswer());
}

void VoterChanges::Fail(ErrorKind kind, const std::string& message) {
  AnswerIf([](const Pending&) { return true; }, MakePutError(kind, message));
}

void VoterChanges::AnswerOverdue() {
  AnswerIf(
      [this](const Pending& change) { return clock_->now() >= change.deadline; },
      MakePutError(ErrorKind::kConfigUnknown, "the change of the voters did not complete in time"));
}

void VoterChanges::AnswerIf(const std::function<bool(const Pending&)>& is_due,
                            const PutAnswer& answer) {
  auto waiting = std::move(pending_);
  pending_.clear();
  for (Pending& change : waiting) {
    if (is_due(change)) {
      QueueAnswer(callbacks_, std::move(change.done), answer);
    } else {
      pending_.push_back(std::move(change));
    }
  }
}

}  // namespace ebonylift
