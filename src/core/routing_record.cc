// What routing records: dispatches, their ends, and what a new view changes.

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "core/routing.h"

namespace ebonylift {
namespace {

constexpr double kServiceSmoothing = 0.2;  // weight of the newest service time

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// The caller reads the clock again after the choice, so its time is that of the choice or slightly
// later; the newest time up to it is at most that much off.
void RemoveSent(ServerUse& use, Time dispatched_at) {
  if (use.in_flight > 0) --use.in_flight;
  auto after = std::upper_bound(use.sent.begin(), use.sent.end(), dispatched_at);
  if (after != use.sent.begin()) use.sent.erase(std::prev(after));
}

void AddSent(ServerUse& use, Time now) {
  ++use.in_flight;
  if (use.sent.size() >= kMaxSentTimes) use.sent.erase(use.sent.begin());
  use.sent.insert(std::upper_bound(use.sent.begin(), use.sent.end(), now), now);
}

void UpdateService(ServerUse& use, Duration service) {
  if (use.mean_service == Duration::zero()) {
    use.mean_service = service;
    return;
  }
  double mean = (1 - kServiceSmoothing) * static_cast<double>(use.mean_service.count()) +
                kServiceSmoothing * static_cast<double>(service.count());
  use.mean_service = Duration(static_cast<int64_t>(mean));
}

bool MayEjectOneMore(const LocalLoad& load, const RoutingView& view, Time now) {
  int live = 0;
  int ejected = 0;
  for (const BackendServer& server : view.servers) {
    if (server.announced.leaving || now >= server.expires_at) continue;
    ++live;
    auto found = load.servers.find(server.announced.id);
    if (found != load.servers.end() && now < found->second.ejected_until) ++ejected;
  }
  return ejected + 1 <= kMaxEjectedShare * live;
}

Duration EjectionTime(int ejections) {
  Duration time = kEjectionMin * (1 << std::min(ejections, 10));
  return std::min(time, kEjectionMax);
}

bool EjectIfFailing(ServerUse& use, const LocalLoad& load, const RoutingView& view, Time now) {
  if (use.failures < kFailuresToEject || now < use.ejected_until) return false;
  if (!MayEjectOneMore(load, view, now)) return false;
  use.ejected_until = now + EjectionTime(use.ejections);
  ++use.ejections;
  // The first failure after the ejection ejects again, for twice the time.
  use.failures = kFailuresToEject - 1;
  return true;
}

bool DomainKnown(const RoutingView& view, const DomainId& domain) {
  return std::any_of(view.summaries.begin(), view.summaries.end(),
                     [&](const DomainSummary& summary) { return summary.domain == domain; });
}

// The same for views from which hosts set the same servers aside, in any order.
uint64_t MembersHash(const RoutingView& view) {
  uint64_t hash = 0;
  for (const BackendServer& server : view.servers) {
    uint64_t member = Hash64(server.announced.id.value(), server.announced.leaving ? 1 : 0);
    for (const ServedModel& model : server.announced.models)
      member ^= Hash64(model.name.value(), member);
    hash ^= member;
  }
  for (const HostEntry& host : view.hosts) hash ^= Hash64(host.id.value());
  return hash;
}

}  // namespace

void OnDispatch(LocalLoad& load, const RouteQuery& query, const Choice& choice, Time now) {
  uint64_t incarnation = choice.incarnation;
  ++load.round_robin;
  if (query.traffic_class != TrafficClass::kChapter) load.reserved_until = now + kReserveFor;
  ServerUse& use = load.servers[choice.server];
  if (use.cache_id == 0 || use.incarnation != incarnation) {
    use.cache_id = load.next_cache_id++;
    use.incarnation = incarnation;
    use.incarnation_from = now;
    use.failures = 0;
    use.ejections = 0;
    use.ejected_until = Time();
    use.unreachable_at = Time();
    use.gone = false;
  }
  if (query.suspect) {
    use.shared = use.in_flight > 0;
    use.exclusive = true;
  } else if (use.exclusive) {
    use.shared = true;
  }
  AddSent(use, now);
  use.prefill_tokens += choice.prefill_tokens;
  if (choice.cold_interval > Duration(0)) use.cold_next = now + choice.cold_interval;
  ExpectPrefixes(load.prefixes, query.prefix_hashes, use.cache_id, now);
}

void OnFirstByte(LocalLoad& load, const std::string& served, const Choice& choice,
                 Time dispatched_at, Time now) {
  auto found = load.servers.find(choice.server);
  if (found == load.servers.end()) return;
  ServerUse& use = found->second;
  use.prefill_tokens = std::max<int64_t>(0, use.prefill_tokens - choice.prefill_tokens);
  use.unreachable_at = Time();
  if (choice.prefill_tokens < kMinRateTokens || now <= dispatched_at) return;
  double read = static_cast<double>(choice.prefill_tokens + choice.tokens_ahead);
  double sample = read / Seconds(now - dispatched_at);
  // An answer that waited for something else, as after a start of all hosts, says nothing of the
  // rate.
  sample = std::max(sample, kPrefillTokensPerSecond);
  auto [rate, first] = load.prefill_rates.try_emplace(served, sample);
  if (!first) rate->second += kRateSmoothing * (sample - rate->second);
}

std::vector<ServerWork> OwnWork(const LocalLoad& load) {
  std::vector<ServerWork> work;
  for (const auto& [server, use] : load.servers) {
    if (use.in_flight > 0) work.push_back({server, use.in_flight, use.prefill_tokens});
  }
  return work;
}

bool OnServerOutcome(LocalLoad& load, const RoutingView& view, const ServerId& server,
                     Time dispatched_at, ServerOutcome outcome, Time now, int64_t prefill_tokens) {
  auto found = load.servers.find(server);
  if (found == load.servers.end()) return false;
  ServerUse& use = found->second;
  RemoveSent(use, dispatched_at);
  use.prefill_tokens = std::max<int64_t>(0, use.prefill_tokens - prefill_tokens);
  if (use.in_flight == 0) {
    use.exclusive = false;
    use.shared = false;
  }
  if (outcome == ServerOutcome::kCancelled) return false;
  if (dispatched_at >= use.incarnation_from) {
    use.gone = use.gone || outcome == ServerOutcome::kGone;
    if (outcome == ServerOutcome::kUnreachable) use.unreachable_at = now;
  }
  if (outcome == ServerOutcome::kGone || outcome == ServerOutcome::kUnreachable) return false;
  if (outcome == ServerOutcome::kOk) {
    use.failures = 0;
    use.ejections = 0;
    use.unreachable_at = Time();
    UpdateService(use, now - dispatched_at);
    return false;
  }
  if (dispatched_at < use.incarnation_from) return false;
  ++use.failures;
  return EjectIfFailing(use, load, view, now);
}

void OnForward(LocalLoad& load, const DomainId& domain, Time now) {
  AddSent(load.domains[domain], now);
}

void OnForwardEnded(LocalLoad& load, const DomainId& domain, Time dispatched_at, ForwardEnd end,
                    Time now) {
  auto found = load.domains.find(domain);
  if (found == load.domains.end()) return;
  RemoveSent(found->second, dispatched_at);
  if (end == ForwardEnd::kUnreachable) found->second.ejected_until = now + kDomainUnreachableFor;
  if (end == ForwardEnd::kRefused) found->second.full_until = now + kDomainFullFor;
}

bool RanAlone(const LocalLoad& load, const BackendServer& server) {
  auto found = load.servers.find(server.announced.id);
  if (found == load.servers.end()) return false;
  const ServerUse& use = found->second;
  const ServerLoad& report = server.announced.load;
  return use.exclusive && !use.shared && use.in_flight == 1 && report.running + report.waiting <= 1;
}

void Prune(LocalLoad& load, const RoutingView& view, Time now) {
  uint64_t members = MembersHash(view);
  if (members != load.members_hash) load.members_changed_at = now;
  load.members_hash = members;
  for (auto it = load.servers.begin(); it != load.servers.end();) {
    const BackendServer* server = FindServer(view, it->first);
    if (server == nullptr && it->second.in_flight == 0) {
      it = load.servers.erase(it);
      continue;
    }
    if (server != nullptr && it->second.exclusive) {
      const ServerLoad& report = server->announced.load;
      if (report.running + report.waiting > 1) it->second.shared = true;
    }
    ++it;
  }
  for (auto it = load.domains.begin(); it != load.domains.end();) {
    bool gone = it->second.in_flight == 0 && !DomainKnown(view, it->first);
    it = gone ? load.domains.erase(it) : std::next(it);
  }
}

void ForgetPrefixes(LocalLoad& load, const ServerId& server) {
  auto found = load.servers.find(server);
  if (found != load.servers.end()) found->second.cache_id = load.next_cache_id++;
}

}  // namespace ebonylift
