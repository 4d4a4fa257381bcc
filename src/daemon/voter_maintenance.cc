#include "daemon/voter_maintenance.h"

#include <optional>

#include "base/event.h"
#include "core/voter_selection.h"

namespace ebonylift {

void VoterMaintenance::Tick(Time now) {
  if (!replica_->IsLeader()) return;
  if (change_in_progress_ || now < next_check_) return;
  next_check_ = now + kVoterCheckInterval;
  VoterChange change =
      NextVoterChange(HostEntries(*membership_), replica_->Voters(), membership_->self.host);
  if (change.kind == VoterChange::Kind::kNone) return;
  bool add = change.kind == VoterChange::Kind::kAdd;
  LogEvent(EventId::kVoterChangeStarted,
           {{"host", change.host.value()}, {"change", add ? "add" : "remove"}});
  change_in_progress_ = true;
  auto done = [this](const PutAnswer&) { change_in_progress_ = false; };
  std::optional<HostId> leader =
      add ? replica_->AddVoter(change.host, done) : replica_->RemoveVoter(change.host, done);
  if (leader) change_in_progress_ = false;  // this host is not the leader
}

}  // namespace ebonylift
