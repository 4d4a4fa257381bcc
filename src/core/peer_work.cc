#include "core/peer_work.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/server_speed.h"

namespace ebonylift {

void OnPeerWork(PeerWork* state, const HostId& from, std::vector<ServerWork> work, Time now) {
  PeerWork::List& list = state->lists[from];
  list.received_at = now;
  list.work = std::move(work);
}

void ApplyPeerWork(const PeerWork& state, Time now, std::vector<BackendServer>* servers) {
  std::vector<const PeerWork::List*> lists;
  for (const auto& [host, list] : state.lists) lists.push_back(&list);
  ApplyWorkLists(lists, now, servers);
}

void ApplyWorkLists(const std::vector<const PeerWork::List*>& lists, Time now,
                    std::vector<BackendServer>* servers) {
  std::unordered_map<ServerId, ServerWork> sums;
  std::unordered_map<ServerId, RequestLimit> limits;
  struct Speed {
    ObservedSpeed merged;
    Time received_at;
  };
  std::unordered_map<ServerId, Speed> speeds;
  for (const PeerWork::List* list : lists) {
    if (list == nullptr || now - list->received_at >= kPeerWorkTtl) continue;
    for (const ServerWork& work : list->work) {
      ServerWork& sum = sums[work.server];
      sum.in_flight += work.in_flight;
      sum.prefill_tokens += work.prefill_tokens;
      if (work.speed) {
        Speed& speed = speeds[work.server];
        MergeSpeed(*work.speed, &speed.merged);
        speed.received_at = std::max(speed.received_at, list->received_at);
      }
      if (!work.limit) continue;
      RequestLimit& newest = limits[work.server];
      Time seen_at = list->received_at - work.limit->age;
      if (seen_at > newest.seen_at) newest = {work.limit->per_s, seen_at};
    }
  }
  for (BackendServer& server : *servers) {
    auto found = sums.find(server.announced.id);
    bool known = found != sums.end();
    server.other_hosts_requests = known ? found->second.in_flight : 0;
    server.other_hosts_prefill_tokens = known ? found->second.prefill_tokens : 0;
    auto limit = limits.find(server.announced.id);
    server.other_hosts_limit = limit == limits.end() ? RequestLimit() : limit->second;
    auto speed = speeds.find(server.announced.id);
    bool speed_known = speed != speeds.end();
    server.other_hosts_speed.reset();
    if (speed_known) server.other_hosts_speed = speed->second.merged;
    server.other_hosts_speed_at = speed_known ? speed->second.received_at : Time();
  }
}

bool HasUrgentIncrease(const std::vector<ServerWork>& before,
                       const std::vector<ServerWork>& after) {
  std::unordered_map<ServerId, int64_t> known;
  for (const ServerWork& work : before) known[work.server] = work.prefill_tokens;
  return std::any_of(after.begin(), after.end(), [&](const ServerWork& work) {
    auto found = known.find(work.server);
    int64_t tokens = found == known.end() ? 0 : found->second;
    return work.prefill_tokens - tokens >= kUrgentTokenIncrease;
  });
}

Duration PeerWorkInterval(size_t hosts) {
  Duration min_interval =
      Duration(seconds(1)) * static_cast<int64_t>(hosts) / kMaxPeerWorkSendsPerSecond;
  return std::max<Duration>(kPeerWorkInterval, min_interval);
}

}  // namespace ebonylift
