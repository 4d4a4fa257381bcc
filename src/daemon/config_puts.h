#ifndef EBONYLIFT_DAEMON_CONFIG_PUTS_H_
#define EBONYLIFT_DAEMON_CONFIG_PUTS_H_

// The changes that the leader handles, from their arrival to their answer.
//
// A change that arrives before the leader has applied all entries of earlier terms is queued, and
// proposed after that. So is one whose result depends on a proposed change, and what arrives after
// it. A proposed change is answered when it is applied, when the leadership ends or after 10 s,
// whichever comes first. A conflict with the committed tree is answered without an entry in the
// log, and before the value is validated, which takes long for a large one.
//
// Threads: not thread safe. Memory: the caller limits size().

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "core/config_tree.h"
#include "core/consensus.h"
#include "daemon/callback_queue.h"
#include "daemon/proposed_changes.h"
#include "daemon/put_answers.h"
#include "daemon/replica_clock.h"
#include "ports/control_port.h"

namespace ebonylift {

class ConfigPuts {
 public:
  // `wall` is the clock for the time of acceptance of a change. Precondition: `committed`, the tree
  // of the committed changes, `clock` and `callbacks` outlive this object.
  ConfigPuts(const ConfigTree* committed, ReplicaClock* clock, std::function<WallMillis()> wall,
             CallbackQueue* callbacks);

  // The number of queued and proposed changes.
  size_t size() const { return proposed_.size() + queued_.size(); }

  // Validates the change and proposes it. Returns what the consensus has to do for it, or nullopt
  // when the change is already answered. Precondition: the leader `leader` may propose and has
  // applied all entries of earlier terms.
  std::optional<Ready> Propose(Consensus* leader, const ConfigPut& put, PutAnswerDone done);

  // Whether the change must be queued because its result depends on others.
  bool MustWait(const ConfigPut& put) const;

  // Adds a change that may not be proposed yet.
  void Enqueue(const ConfigPut& put, PutAnswerDone done);

  // As Propose(), for the oldest queued change. Precondition: HasProposable().
  std::optional<Ready> ProposeQueued(Consensus* leader);
  // Whether there are queued changes and the result of the oldest depends on no proposed one.
  bool HasProposable() const;

  // Answers the change proposed at log index `index`, if there is one. Precondition: `put` was
  // applied to the committed tree with `result`.
  void OnApplied(uint64_t index, const ConfigPut& put, const PutResult& result);

  // Starts the predicted revisions again from the committed tree, for a new leader.
  void OnElected() { changes_.Clear(); }

  // Answers all proposed changes with an error. Queued ones stay.
  void FailProposed(ErrorKind kind, const std::string& message);

  // Answers overdue changes, and all queued ones when this host is not the leader.
  void AnswerOverdue(bool is_leader);

 private:
  struct Pending {
    ConfigPut put;
    PutAnswerDone done;  // empty: answered
    Time deadline;
  };

  bool DependsOnProposed(const ConfigPut& put) const;
  std::optional<Ready> Propose(Consensus* leader, Pending pending);
  // The result of a change that conflicts with the committed tree; nullopt: it does not, or this
  // host may not be the leader any more, so that the committed tree may be outdated.
  std::optional<PutResult> FindConflict(const Consensus& leader, const ConfigPut& put) const;
  std::optional<Proposal> ProposeEntry(Consensus* leader, const ConfigPut& put);
  void Reject(const Pending& pending, ErrorKind kind, const std::string& message);
  void RejectQueued(bool is_leader);

  const ConfigTree* const committed_;
  ReplicaClock* const clock_;
  const std::function<WallMillis()> wall_;
  CallbackQueue* const callbacks_;
  std::map<uint64_t, Pending> proposed_;  // in the current term, by log index
  std::deque<Pending> queued_;
  ProposedChanges changes_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PUTS_H_
