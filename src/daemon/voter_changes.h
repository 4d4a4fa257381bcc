#ifndef EBONYLIFT_DAEMON_VOTER_CHANGES_H_
#define EBONYLIFT_DAEMON_VOTER_CHANGES_H_

// Changes of the voters on the leader. A change is answered when its membership is committed, when
// the leadership ends or after 60 s, whichever comes first. Not thread safe.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/consensus.h"
#include "daemon/callback_queue.h"
#include "daemon/put_answers.h"
#include "daemon/replica_clock.h"

namespace ebonylift {

class VoterChanges {
 public:
  // Precondition: `clock` and `callbacks` outlive this object.
  VoterChanges(ReplicaClock* clock, CallbackQueue* callbacks)
      : clock_(clock), callbacks_(callbacks) {}

  // Proposes to add or remove a voter. An added host starts as a learner. Returns what the
  // consensus has to do for it, or nullopt when the change is already answered: because `host` is
  // in that state already, or with kConfigConflict while another change is in progress.
  // Precondition: this host is the leader, and `leader` is its state.
  std::optional<Ready> Propose(Consensus* leader, const HostId& host, bool add, PutAnswerDone done);

  // Answers the changes that the committed membership completes.
  void OnCommitted(const MemberSet& members);

  // Answers all changes with an error.
  void Fail(ErrorKind kind, const std::string& message);

  // Answers overdue changes with kConfigUnknown.
  void AnswerOverdue();

 private:
  struct Pending {
    HostId host;
    bool add = true;  // true: complete when `host` is a voter; false: when it is not a member
    PutAnswerDone done;
    Time deadline;
  };

  // Answers the pending changes for which `is_due` returns true.
  void AnswerIf(const std::function<bool(const Pending&)>& is_due, const PutAnswer& answer);

  ReplicaClock* const clock_;
  CallbackQueue* const callbacks_;
  std::vector<Pending> pending_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_VOTER_CHANGES_H_
