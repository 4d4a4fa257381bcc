#ifndef EBONYLIFT_CORE_VOTER_SELECTION_H_
#define EBONYLIFT_CORE_VOTER_SELECTION_H_

// Chooses the hosts that vote in the consensus group of the configuration.
//
// The leader calls NextVoterChange() about every kVoterCheckInterval and makes one change at a
// time. A voter that has failed or is leaving is replaced by a live host with a disk. The new voter
// is added first, so that a majority of the remaining voters never depends on a host that is gone.
// If no host can replace it, a failed voter remains a voter and counts again when it returns.
//
// The number of voters is odd: as many as there are hosts with a disk, from kMinVoters to
// kMaxVoters. With five voters, two may lose their disks.
//
// Pure functions, thread safe, without state.

#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kVoterCheckInterval = milliseconds(500);
constexpr size_t kMinVoters = 3;
constexpr size_t kMaxVoters = 5;

struct VoterChange {
  enum class Kind { kNone, kAdd, kRemove };
  Kind kind = Kind::kNone;
  HostId host;
};

// The next change to make, or kNone. `hosts` are all hosts as the leader sees them, including
// itself.
VoterChange NextVoterChange(const std::vector<HostEntry>& hosts, const std::vector<HostId>& voters,
                            const HostId& leader);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_VOTER_SELECTION_H_
