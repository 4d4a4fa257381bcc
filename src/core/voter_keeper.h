#ifndef EBONYLIFT_CORE_VOTER_KEEPER_H_
#define EBONYLIFT_CORE_VOTER_KEEPER_H_

// Which host should become a voter of the configuration, or stop to be one.
//
// The leader asks about every kVoterCheckInterval and makes one change at a time. A voter that
// failed or leaves is replaced by a live host with a disk: the new one is added first, so that a
// majority of those that are left never depends on a host that is gone. Without a host to take its
// place, a failed voter stays a voter and counts again when it returns.
//
// An odd number of hosts votes: as many as there are with a disk, from kMinVoters to kMaxVoters, so
// that two of five may lose their disks.
//
// Pure and thread safe. No memory.

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

// `hosts` as the leader sees them, itself included.
VoterChange NextVoterChange(const std::vector<HostEntry>& hosts, const std::vector<HostId>& voters,
                            const HostId& leader);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_VOTER_KEEPER_H_
