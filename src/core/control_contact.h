#ifndef EBONYLIFT_CORE_CONTROL_CONTACT_H_
#define EBONYLIFT_CORE_CONTROL_CONTACT_H_

// Until when a host may accept the keys of callers without word from the control hosts.
//
// Where a deployment wants withdrawn keys to fail everywhere, a host that has not heard directly
// from a majority of the voters for `revoke_after` accepts no keys, since a withdrawal that it does
// not know of may have been accepted. Gossip alone reaches a given voter too rarely in a large
// deployment, so the host asks voters that have been silent for a quarter of that time: as many as
// make a majority, or all when these do not answer.
//
// Deterministic, not thread safe. Memory: one entry per voter.

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"

namespace ebonylift {

struct ControlContact {
  Duration revoke_after{0};         // 0: keys stay valid without word from the voters
  std::map<HostId, Time> asked_at;  // of the current voters
  Time voters_asked_at;             // when another host was last asked which hosts are voters
};

// Returns the end of the time in which keys are accepted: Time::max() if `revoke_after` is 0, and
// Time() if the host has not heard from a majority of `voters` since its start. The host itself
// counts as heard from at `now`.
Time KeysValidUntil(const ControlContact& contact, const Membership& membership,
                    const std::vector<HostId>& voters, Time now);

// Returns the voters to which a message that they answer is due, and records that it is sent.
std::vector<HostId> VotersToAsk(ControlContact* contact, const Membership& membership,
                                const std::vector<HostId>& voters, Time now);

// Returns the host to ask for the current voters, because a majority of the known ones is silent
// and they may have been replaced: one of `connected` that has at least this host's revision of the
// configuration. Records that it is asked. Returns nullopt if that is not due.
std::optional<HostId> HostToAskForVoters(ControlContact* contact, const Membership& membership,
                                         const std::vector<HostId>& voters,
                                         const std::vector<HostId>& connected, Time now,
                                         std::mt19937_64& rng);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONTROL_CONTACT_H_
