#include "core/limit_allocator.h"

#include <algorithm>

namespace ebonylift {
namespace {

// A bucket that holds less than this many of the largest requests of its host wastes work when the
// limit is reached.
constexpr double kMinBucketRequests = 10;
// Below the limit nothing is lost by that, and a request that the bucket takes need not wait.
constexpr double kMinBucketRequestsBelowLimit = 2;
constexpr double kHeadroom = 1.1;     // relative to the demand of a host
constexpr double kDividedRest = 0.5;  // of what is left; the pool keeps the other half
constexpr Duration kCleanupInterval = seconds(1);
// A host without a share gets work for this much of its demand in advance: a quarter of the
// overshoot over a window, which bounds what is granted and used later than it counts here.
constexpr double kMaxPrefetchSeconds = 0.25;
constexpr double kPrefetchShare = 0.25;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double FreeShare(const WorkspacePool& pool) { return std::max(0.0, 1 - pool.shares); }

double PoolCapacity(const LimitAllocator& allocator, const WorkspacePool& pool) {
  double part = kPoolBurst + FreeShare(pool) * kLeasedBurst;
  return EffectiveBurst(pool.limit, allocator.tolerance) * part;
}

bool IsNew(const LimitAllocator& allocator, Time now) {
  return now - allocator.active_since < kLimitLeaseLifetime;
}

void FillPool(const LimitAllocator& allocator, WorkspacePool* pool, Time now) {
  // A new allocator does not know which shares are in use.
  Time known = allocator.active_since + kLimitLeaseLifetime;
  Time from = std::max(pool->updated, known);
  if (now > from) pool->level += FreeShare(*pool) * pool->limit.per_s * Seconds(now - from);
  pool->level = std::min(pool->level, PoolCapacity(allocator, *pool));
  pool->updated = std::max(pool->updated, now);
}

// Removes expired shares. The sums are computed anew, so that rounding does not accumulate.
void RemoveExpired(const LimitAllocator& allocator, WorkspacePool* pool, Time now) {
  FillPool(allocator, pool, now);
  pool->next_expiry = now + kCleanupInterval;
  pool->shares = 0;
  pool->demand = 0;
  for (auto it = pool->hosts.begin(); it != pool->hosts.end();) {
    if (now >= it->second.expires) {
      it = pool->hosts.erase(it);
      continue;
    }
    pool->shares += it->second.share;
    pool->demand += it->second.demand;
    ++it;
  }
}

// Returns null if the limit is not known.
WorkspacePool* FindOrAdd(LimitAllocator* allocator, const LimitDemand& row, uint64_t revision,
                         Time now) {
  auto found = allocator->workspaces.find(row.workspace);
  if (found == allocator->workspaces.end()) {
    if (!row.limit) return nullptr;
    found = allocator->workspaces.emplace(row.workspace, WorkspacePool()).first;
    WorkspacePool& added = found->second;
    added.limit = *row.limit;
    added.revision = revision;
    added.updated = now;
    // No host has had a share for this long, or its pool would still exist.
    double saved = added.limit.per_s * Seconds(kLimitLeaseLifetime);
    if (!IsNew(*allocator, now)) added.level = std::min(saved, PoolCapacity(*allocator, added));
  }
  WorkspacePool* pool = &found->second;
  if (now >= pool->next_expiry) RemoveExpired(*allocator, pool, now);
  FillPool(*allocator, pool, now);
  if (row.limit && revision >= pool->revision) {
    pool->limit = *row.limit;
    pool->revision = revision;
  }
  return pool;
}

// The share that the demand of the host entitles it to. The rest is divided among all hosts, not
// among those that have asked: the first ones to ask would get most of it, and keep it until their
// next request, while the others have nothing.
double TargetShare(const WorkspacePool& pool, double demand, uint32_t hosts) {
  double limit = pool.limit.per_s;
  if (!(limit > 0)) return 0;
  if (kHeadroom * pool.demand >= limit) return demand / pool.demand;
  double rest = limit - kHeadroom * pool.demand;
  double part =
      kDividedRest * rest / std::max<double>(hosts, static_cast<double>(pool.hosts.size()));
  return (kHeadroom * demand + part) / limit;
}

// A share whose bucket would hold too few requests is not leased.
bool IsUseful(const LimitAllocator& allocator, const WorkspacePool& pool, const LimitDemand& row,
              double share, uint32_t hosts) {
  double burst = EffectiveBurst(pool.limit, allocator.tolerance);
  bool reached = kHeadroom * pool.demand >= pool.limit.per_s;
  double requests = reached ? kMinBucketRequests : kMinBucketRequestsBelowLimit;
  return (share * kLeasedBurst + kOwnBurst / hosts) * burst >= requests * row.cost;
}

// Takes work for the requests that wait from the pool.
double TakeGrant(const LimitAllocator& allocator, WorkspacePool* pool, const LimitDemand& row,
                 bool has_share) {
  double wanted = row.wanted;
  if (!has_share) {
    double ahead = kPrefetchShare * allocator.tolerance.overshoot * Seconds(kLimitWindow);
    double prefetch = row.demand * std::min(kMaxPrefetchSeconds, ahead);
    if (prefetch >= row.cost) wanted += prefetch;
  }
  if (!(wanted > 0)) return 0;
  double grant = std::min(wanted, std::max(0.0, pool->level));
  // A part of a request is of no use.
  if (grant < wanted && grant < row.cost) grant = 0;
  // A request that costs more than the pool holds runs when the pool is full.
  double capacity = PoolCapacity(allocator, *pool);
  bool never_fits = capacity < row.cost && pool->level >= capacity;
  if (grant == 0 && never_fits && row.wanted > 0) grant = std::min(row.wanted, row.cost);
  grant = RoundForMessage(grant);
  pool->level -= grant;
  return grant;
}

LimitGrant Allocate(LimitAllocator* allocator, WorkspacePool* pool, const HostId& host,
                    const LimitDemand& row, uint32_t hosts, Time now) {
  HostShare& own = pool->hosts[host];
  pool->shares += row.held - own.share;
  pool->demand += row.demand - own.demand;
  own.share = row.held;
  own.demand = row.demand;
  own.expires = now + kLimitLeaseLifetime;
  LimitGrant grant;
  grant.share = row.held;
  if (IsNew(*allocator, now)) {
    grant.no_lease = row.held == 0;
    return grant;
  }
  double available = std::max(0.0, 1 - (pool->shares - row.held));
  double share = RoundForMessage(std::min(available, TargetShare(*pool, row.demand, hosts)));
  if (!IsUseful(*allocator, *pool, row, share, hosts)) share = 0;
  grant.share = share;
  double counted = std::max(row.held, share);
  pool->shares += counted - own.share;
  own.share = counted;
  FillPool(*allocator, pool, now);
  grant.grant = TakeGrant(*allocator, pool, row, share > 0);
  return grant;
}

}  // namespace

void TickLimitAllocator(LimitAllocator* allocator, bool allocates, Time now) {
  if (!allocates) {
    allocator->active_since = Time();
    allocator->workspaces.clear();
    allocator->sequences.clear();
    return;
  }
  if (allocator->active_since == Time()) allocator->active_since = now;
  if (now < allocator->next_scan) return;
  allocator->next_scan = now + kCleanupInterval;
  for (auto it = allocator->workspaces.begin(); it != allocator->workspaces.end();) {
    if (now >= it->second.next_expiry) RemoveExpired(*allocator, &it->second, now);
    it = it->second.hosts.empty() ? allocator->workspaces.erase(it) : std::next(it);
  }
  auto& sequences = allocator->sequences;
  for (auto it = sequences.begin(); it != sequences.end();) {
    bool expired = now - it->second.second >= kLimitLeaseLifetime;
    it = expired ? sequences.erase(it) : std::next(it);
  }
}

LimitAnswer AllocateLimits(LimitAllocator* allocator, const HostId& host, const LimitAsk& ask,
                           Time now) {
  LimitAnswer answer;
  auto& [sequence, received] = allocator->sequences[host];
  if (ask.sequence <= sequence) return answer;
  sequence = ask.sequence;
  received = now;
  for (const LimitDemand& row : ask.rows) {
    WorkspacePool* pool = FindOrAdd(allocator, row, ask.revision, now);
    if (pool != nullptr) {
      answer.push_back(Allocate(allocator, pool, host, row, ask.hosts, now));
      continue;
    }
    LimitGrant grant;
    grant.unknown = true;
    // A share that this allocator does not know of is not renewed.
    if (IsNew(*allocator, now)) grant.share = row.held;
    grant.no_lease = grant.share == 0;
    answer.push_back(grant);
  }
  return answer;
}

}  // namespace ebonylift
