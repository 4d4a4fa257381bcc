#ifndef EBONYLIFT_CORE_LIMIT_ALLOCATOR_H_
#define EBONYLIFT_CORE_LIMIT_ALLOCATOR_H_

// Divides the limits of workspaces among the hosts; see core/limit_shares.h for the host's side.
//
// Exactly one host allocates: the leader of the configuration consensus while its read lease is
// valid. The unexpired shares of a workspace add up to at most 1: a host counts with the larger of
// what it holds and what it was last given until its next message shows which it has, or until the
// lease expires. So a share that is lowered is free for others after one more message of its host.
//
// If the demand is below the limit, each host gets a tenth more than its demand, and half of the
// rest is divided evenly; the other half stays here as a pool, from which a host whose demand grows
// is served at once. Otherwise, shares are proportional to demand. Work that no host has a share of
// accumulates in the pool, up to half of the burst, and is granted for requests that wait.
//
// A new allocator does not know the shares that the previous one gave. For kLimitLeaseLifetime it
// only renews what hosts report that they hold.
//
// Deterministic; not thread safe. Memory: one entry per workspace and host that asked within
// kLimitLeaseLifetime.

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "core/limit_shares.h"

namespace ebonylift {

struct HostShare {
  double demand = 0;
  double share = 0;  // the most that the host may hold
  Time expires;
};

struct WorkspacePool {
  WorkspaceLimit limit;
  uint64_t revision = 0;  // that `limit` is from
  std::unordered_map<HostId, HostShare> hosts;
  // Sums over `hosts`.
  double shares = 0;
  double demand = 0;
  double level = 0;  // unused work; negative after a request that costs more than it holds
  Time updated;
  Time next_expiry;  // when expired shares are removed next
};

struct LimitAllocator {
  LimitTolerance tolerance;
  Time active_since;  // epoch: this host does not allocate
  std::unordered_map<uint64_t, WorkspacePool> workspaces;
  // The sequence of the last request of each host, and when it came.
  std::unordered_map<HostId, std::pair<uint64_t, Time>> sequences;
  Time next_scan;
};

// Call before AllocateLimits() and regularly. `allocates`: this host is the only allocator.
void TickLimitAllocator(LimitAllocator* allocator, bool allocates, Time now);

// Answers the request of a host. Precondition: this host allocates. Returns an empty answer for a
// request that is older than the last one of this host.
LimitAnswer AllocateLimits(LimitAllocator* allocator, const HostId& host, const LimitAsk& ask,
                           Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_LIMIT_ALLOCATOR_H_
