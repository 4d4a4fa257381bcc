#include "core/work_exchange.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "core/server_speed.h"

namespace ebonylift {
namespace {

bool MayCollect(const HostEntry& host) {
  return host.status == HostStatus::kAlive && !host.region.empty();
}

// Smaller is better. The hash spreads the failure domains of hosts that are alike.
using CollectorRank = std::tuple<bool, uint64_t, HostId>;

CollectorRank RankCollector(const HostEntry& host) {
  return {TakesCallers(host), Hash64(host.id.value()), host.id};
}

// How many hosts of a failure domain with `hosts` hosts collect.
size_t CollectorCount(size_t hosts) {
  return std::max<size_t>(1, (hosts + kMaxCollectorMembers - 2) / kMaxCollectorMembers);
}

bool IsSlowNow(const ServerWork& row) { return row.speed && row.speed->recent < 1; }

// Ignores limits, whose age always differs, and speeds, which change with each answer; they are
// sent with the next refresh. The start of a slow period counts, because it lasts less than a
// second.
bool SameWork(const std::vector<ServerWork>& a, const std::vector<ServerWork>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const ServerWork& x, const ServerWork& y) {
                      return std::tie(x.server, x.in_flight, x.prefill_tokens) ==
                                 std::tie(y.server, y.in_flight, y.prefill_tokens) &&
                             IsSlowNow(x) == IsSlowNow(y);
                    });
}

// The newest limit that was observed at a server and the newest one of another host, so that a host
// is not told its own observation.
struct NewestLimits {
  HostId host;
  std::optional<ObservedLimit> newest;
  std::optional<ObservedLimit> of_other_host;
};

void AddLimit(const HostId& host, const ObservedLimit& limit, NewestLimits* limits) {
  if (!limits->newest || limit.age < limits->newest->age) {
    if (limits->newest && limits->host != host) limits->of_other_host = limits->newest;
    limits->host = host;
    limits->newest = limit;
  } else if (limits->host != host &&
             (!limits->of_other_host || limit.age < limits->of_other_host->age)) {
    limits->of_other_host = limit;
  }
}

struct ServerSum {
  int in_flight = 0;
  int64_t prefill_tokens = 0;
  NewestLimits limits;
  ObservedSpeed speed;
};

using WorkSums = std::map<ServerId, ServerSum>;

void AddList(const HostId& host, const std::vector<ServerWork>& work, Duration age,
             WorkSums* sums) {
  for (const ServerWork& row : work) {
    ServerSum& sum = (*sums)[row.server];
    sum.in_flight += row.in_flight;
    sum.prefill_tokens += row.prefill_tokens;
    if (row.speed) MergeSpeed(*row.speed, &sum.speed);
    if (row.limit) AddLimit(host, {row.limit->per_s, row.limit->age + age}, &sum.limits);
  }
}

bool Counts(const PeerWork::List& list, Time now) { return now - list.received_at < kPeerWorkTtl; }

void AddReceived(const HostId& host, const PeerWork& received, Time now, WorkSums* sums) {
  auto list = received.lists.find(host);
  if (list == received.lists.end() || !Counts(list->second, now)) return;
  AddList(host, list->second.work, now - list->second.received_at, sums);
}

// Returns the sums without the list `own` of `receiver`.
std::vector<ServerWork> SumsFor(const HostId& receiver, const WorkSums& sums,
                                const std::vector<ServerWork>& own) {
  std::map<ServerId, const ServerWork*> own_rows;
  for (const ServerWork& row : own) own_rows[row.server] = &row;
  std::vector<ServerWork> work;
  for (const auto& [server, sum] : sums) {
    ServerWork row{server, sum.in_flight, sum.prefill_tokens, sum.limits.newest};
    ObservedSpeed speed = sum.speed;
    if (sum.limits.host == receiver) row.limit = sum.limits.of_other_host;
    auto own_row = own_rows.find(server);
    if (own_row != own_rows.end()) {
      row.in_flight -= own_row->second->in_flight;
      row.prefill_tokens -= own_row->second->prefill_tokens;
      if (own_row->second->speed) SubtractSpeed(*own_row->second->speed, &speed);
    }
    if (speed.weight > 0) row.speed = speed;
    bool empty = row.in_flight == 0 && row.prefill_tokens == 0 && !row.limit && !row.speed;
    if (!empty) work.push_back(std::move(row));
  }
  return work;
}

// A collector that does not answer is skipped for kCollectorRetryInterval. If all are skipped, the
// host collects for itself.
HostId ChooseCollector(const WorkExchange& state, Time now) {
  for (const HostId& host : state.roster.collectors) {
    if (!IsSilent(state, host, now)) return host;
  }
  return state.self;
}

void UpdateCollector(WorkExchange* state, Time now) {
  bool waiting = !state->collector.empty() && state->collector != state->self;
  if (waiting && now - state->collector_heard_at >= kCollectorTimeout) {
    state->silent_until[state->collector] = now + kCollectorRetryInterval;
  }
  HostId collector = ChooseCollector(*state, now);
  if (collector == state->collector) return;
  state->collector = collector;
  state->collector_heard_at = now;
  state->own_changed = true;
  state->others = PeerWork::List();
}

// Returns whether the own work has to be sent now, and takes note of that.
bool TakeOwnDue(WorkExchange* state, Duration interval, Time now) {
  Duration since = now - state->own_sent_at;
  bool due = state->own_urgent || (since >= interval && state->own_changed) ||
             since >= std::max(interval, kWorkRefreshInterval);
  if (!due) return false;
  state->own_sent_at = now;
  state->own_changed = false;
  state->own_urgent = false;
  return true;
}

void AddDirectMessages(WorkExchange* state, Time now, std::vector<WorkMessage>* messages) {
  bool nothing_to_send = state->own.empty() && !state->own_changed;
  if (nothing_to_send) return;
  if (!TakeOwnDue(state, PeerWorkInterval(state->roster.peers.size()), now)) return;
  for (const HostId& peer : state->roster.peers) {
    messages->push_back({peer, WorkListKind::kOwn, state->own});
  }
}

// The hosts that need the sum of the lists that this host collects: the other collectors, as this
// host ranks them and as they have shown themselves.
std::set<HostId> OtherCollectors(const WorkExchange& state, Time now) {
  std::set<HostId> hosts(state.roster.other_collectors.begin(),
                         state.roster.other_collectors.end());
  if (!state.roster.collectors.empty()) hosts.insert(state.roster.collectors.front());
  for (const auto& [host, list] : state.collected.lists) {
    if (Counts(list, now)) hosts.insert(host);
  }
  hosts.erase(state.self);
  return hosts;
}

bool TakeCollectedDue(WorkExchange* state, Time now) {
  Duration since = now - state->collected_at;
  bool changed = state->collected_changed || state->own_changed;
  bool due =
      state->own_urgent || (since >= kWorkInterval && changed) || since >= kWorkRefreshInterval;
  if (!due) return false;
  state->collected_at = now;
  state->collected_changed = false;
  return true;
}

void AddCollectedMessages(WorkExchange* state, Time now, std::vector<WorkMessage>* messages) {
  if (!TakeCollectedDue(state, now)) return;
  WorkSums sums;
  // Work that goes to another collector, or to all hosts, is counted there.
  if (state->collector == state->self) AddList(state->self, state->own, Duration(0), &sums);
  for (const auto& [member, last] : state->members) AddReceived(member, state->lists, now, &sums);
  std::vector<ServerWork> collected = SumsFor(HostId(), sums, {});
  for (const HostId& host : OtherCollectors(*state, now)) {
    messages->push_back({host, WorkListKind::kCollected, collected});
  }
  for (const auto& [host, list] : state->collected.lists) {
    AddReceived(host, state->collected, now, &sums);
  }
  for (const auto& [member, last] : state->members) {
    std::vector<ServerWork> others = SumsFor(member, sums, state->lists.lists[member].work);
    messages->push_back({member, WorkListKind::kOfOthers, std::move(others)});
  }
}

void DropSilentMembers(WorkExchange* state, Time now) {
  for (auto it = state->members.begin(); it != state->members.end();) {
    it = now - it->second >= kPeerWorkTtl ? state->members.erase(it) : std::next(it);
  }
}

// The lists that together have the work of all other hosts.
std::vector<const PeerWork::List*> ListsOfOthers(const WorkExchange& state, Time now) {
  if (Counts(state.others, now)) return {&state.others};
  std::vector<const PeerWork::List*> lists;
  for (const auto& [host, list] : state.lists.lists) lists.push_back(&list);
  for (const auto& [host, list] : state.collected.lists) lists.push_back(&list);
  return lists;
}

}  // namespace

WorkRoster MakeWorkRoster(const std::vector<HostEntry>& hosts, const Identity& self,
                          ServerScope scope, const std::function<bool(const HostId&)>& shares) {
  WorkRoster roster;
  std::map<DomainId, std::vector<CollectorRank>> domains;
  for (const HostEntry& host : hosts) {
    if (!InScope(self, scope, host.domain, host.region)) continue;
    if (host.id != self.host && host.status != HostStatus::kFailed) roster.peers.push_back(host.id);
    if (MayCollect(host)) domains[host.domain].push_back(RankCollector(host));
  }
  for (auto& [domain, ranks] : domains) {
    std::sort(ranks.begin(), ranks.end());
    auto end =
        std::stable_partition(ranks.begin() + 1, ranks.end(), [&](const CollectorRank& rank) {
          const HostId& host = std::get<HostId>(rank);
          return !shares || host == self.host || shares(host);
        });
    auto sharing = static_cast<size_t>(end - ranks.begin());
    size_t count = std::min(CollectorCount(ranks.size()), sharing);
    bool is_own = domain == self.domain;
    for (size_t i = 0; i < ranks.size(); ++i) {
      const HostId& host = std::get<HostId>(ranks[i]);
      if (is_own) roster.collectors.push_back(host);
      bool exchanges = i < count && (!is_own || count > 1);
      if (exchanges && host != self.host) roster.other_collectors.push_back(host);
    }
    if (!is_own) continue;
    // A collector collects for itself. The others spread over the collectors, and only those of one
    // that is lost choose another one.
    auto preference = [&self](const HostId& collector) {
      return collector == self.host ? 0 : Hash64(collector.value(), Hash64(self.host.value())) | 1;
    };
    auto chosen = roster.collectors.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(roster.collectors.begin(), chosen,
              [&](const HostId& a, const HostId& b) { return preference(a) < preference(b); });
  }
  return roster;
}

void SetOwnWork(WorkExchange* state, std::vector<ServerWork> work) {
  if (SameWork(work, state->own)) return;
  state->own_urgent = state->own_urgent || HasUrgentIncrease(state->own, work);
  state->own_changed = true;
  state->own = std::move(work);
}

void OnWorkList(WorkExchange* state, const HostId& from, WorkListKind kind,
                std::vector<ServerWork> work, Time now) {
  switch (kind) {
    case WorkListKind::kOwn:
      OnPeerWork(&state->lists, from, std::move(work), now);
      return;
    case WorkListKind::kForCollector:
      OnPeerWork(&state->lists, from, std::move(work), now);
      state->members[from] = now;
      state->collected_changed = true;
      return;
    case WorkListKind::kCollected:
      OnPeerWork(&state->collected, from, std::move(work), now);
      state->collected_changed = true;
      return;
    case WorkListKind::kOfOthers:
      if (from != state->collector) return;
      state->others = {now, std::move(work)};
      state->collector_heard_at = now;
      return;
  }
}

void ApplyOthersWork(const WorkExchange& state, Time now, std::vector<BackendServer>* servers) {
  ApplyWorkLists(ListsOfOthers(state, now), now, servers);
}

void ApplyAllWork(const WorkExchange& state, Time now, std::vector<BackendServer>* servers) {
  std::vector<const PeerWork::List*> lists = ListsOfOthers(state, now);
  PeerWork::List own{now, state.own};
  lists.push_back(&own);
  ApplyWorkLists(lists, now, servers);
}

bool IsSilent(const WorkExchange& state, const HostId& collector, Time now) {
  auto silent = state.silent_until.find(collector);
  return silent != state.silent_until.end() && now < silent->second;
}

Time WorkKnownAt(const WorkExchange& state, Time now) {
  if (state.roster.peers.empty()) return Time();
  // Each step delays a list by half an interval on average.
  if (state.collector.empty()) return now - PeerWorkInterval(state.roster.peers.size()) / 2;
  if (state.collector == state.self) return now - kWorkInterval;
  if (!Counts(state.others, now)) return now - kPeerWorkTtl;
  return state.others.received_at - kWorkInterval;
}

std::vector<WorkMessage> TakeWorkMessages(WorkExchange* state, Time now) {
  std::vector<WorkMessage> messages;
  DropSilentMembers(state, now);
  bool direct = state->roster.peers.size() <= kMaxDirectWorkPeers;
  if (direct) {
    state->collector = HostId();
    state->others = PeerWork::List();
  } else {
    UpdateCollector(state, now);
  }
  bool collects_own = state->collector == state->self;
  if (collects_own || !state->members.empty()) AddCollectedMessages(state, now, &messages);
  if (direct) {
    AddDirectMessages(state, now, &messages);
  } else if (collects_own) {
    state->own_changed = false;
    state->own_urgent = false;
  } else if (TakeOwnDue(state, kWorkInterval, now)) {
    messages.push_back({state->collector, WorkListKind::kForCollector, state->own});
  }
  return messages;
}

}  // namespace ebonylift
