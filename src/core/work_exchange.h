#ifndef EBONYLIFT_CORE_WORK_EXCHANGE_H_
#define EBONYLIFT_CORE_WORK_EXCHANGE_H_

// Decides which hosts learn of the work that this host has at shared backend servers, and when.
//
// A few hosts send their lists (core/peer_work.h) to each other. With more than kMaxDirectWorkPeers
// the lists would have to become rare, because their number grows with the square of the hosts.
// Then each host sends its list to the collector of its failure domain only. The collector sends
// each of these hosts the sum of the lists of all others, and exchanges the sums of whole failure
// domains with the other collectors. So the messages of a host do not depend on the number of
// hosts, those of a collector grow with the hosts of its failure domain, and every host knows of
// new work after two or three times kWorkInterval.
//
// Hosts rank the collectors of a failure domain alike: first those that take no requests of
// callers, because they have time. In a large failure domain the first ones share its hosts. A host
// that hears nothing from its collector for kCollectorTimeout uses the next one for
// kCollectorRetryInterval. A host collects for whoever sends it a list, so hosts need not agree:
// several collectors of one failure domain exchange their sums, too.
//
// Not thread safe. Memory: that of PeerWork, and a time for each host.

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/peer_work.h"
#include "ports/views.h"

namespace ebonylift {

// With more hosts that share servers, direct lists would be older than those of a collector.
constexpr size_t kMaxDirectWorkPeers = 8;
// A collector sends the work of the whole region to each of its members, so its cost would grow
// with the square of the hosts. A failure domain has one collector for this many other hosts.
constexpr size_t kMaxCollectorMembers = 16;
constexpr Duration kWorkInterval = milliseconds(100);
// An unchanged list or sum is sent again after this time, before it expires; see kPeerWorkTtl.
constexpr Duration kWorkRefreshInterval = milliseconds(400);
constexpr Duration kCollectorTimeout = milliseconds(800);
constexpr Duration kCollectorRetryInterval = seconds(3);

struct WorkMessage {
  HostId to;
  WorkListKind kind = WorkListKind::kOwn;
  std::vector<ServerWork> work;
};

// The hosts with which this host exchanges work, from the membership.
struct WorkRoster {
  std::vector<HostId> peers;       // that send work to the same servers; without this host
  std::vector<HostId> collectors;  // of the own failure domain, best first; may include this host
  // Those that the hosts of each other failure domain use, and of the own one, if it has several.
  std::vector<HostId> other_collectors;
};

// Returns the roster of `self`, which sends work to the servers in `scope`. `shares` tells which
// other hosts know that a failure domain may have several collectors; null: all. Others are
// collectors only if they are the best, because they do not exchange sums with all collectors.
WorkRoster MakeWorkRoster(const std::vector<HostEntry>& hosts, const Identity& self,
                          ServerScope scope,
                          const std::function<bool(const HostId&)>& shares = nullptr);

struct WorkExchange {
  HostId self;
  WorkRoster roster;
  std::vector<ServerWork> own;  // work of this host
  bool own_changed = false;     // since it was sent
  bool own_urgent = false;      // see HasUrgentIncrease()
  Time own_sent_at;

  PeerWork lists;         // of hosts that share servers, and of those that this one collects for
  PeerWork collected;     // of other collectors
  PeerWork::List others;  // of the collector; counts instead of the others until it expires
  HostId collector;       // collects for this host; may be itself; empty: lists are sent directly
  Time collector_heard_at;
  std::map<HostId, Time> silent_until;  // collectors that are not used until then

  std::map<HostId, Time> members;  // hosts that this one collects for, by last list
  bool collected_changed = false;  // lists of members or other collectors, since the last sums
  Time collected_at;
};

// Replaces the work of this host.
void SetOwnWork(WorkExchange* state, std::vector<ServerWork> work);

// Records a list or sum of another host.
void OnWorkList(WorkExchange* state, const HostId& from, WorkListKind kind,
                std::vector<ServerWork> work, Time now);

// Sets the work of other hosts in `servers`, as ApplyPeerWork() does.
void ApplyOthersWork(const WorkExchange& state, Time now, std::vector<BackendServer>* servers);

// The same for the work of all hosts, this one included.
void ApplyAllWork(const WorkExchange& state, Time now, std::vector<BackendServer>* servers);

// Returns whether the host is not used as a collector because it did not answer.
bool IsSilent(const WorkExchange& state, const HostId& collector, Time now);

// Returns when the other hosts had the work that ApplyOthersWork() shows, on average; Time() if
// there are no other hosts.
Time WorkKnownAt(const WorkExchange& state, Time now);

// Returns the messages that are due. Call it at least twice in kWorkInterval.
std::vector<WorkMessage> TakeWorkMessages(WorkExchange* state, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_WORK_EXCHANGE_H_
