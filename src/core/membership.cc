#include "core/membership.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace ebonylift {
namespace {

// Order of statuses within one version: suspicion and failure override the row that they are about,
// and are overridden only by a larger version.
int StatusPrecedence(HostStatus status) {
  switch (status) {
    case HostStatus::kAlive:
    case HostStatus::kLeaving:
      return 0;
    case HostStatus::kSuspect:
      return 1;
    case HostStatus::kFailed:
      return 2;
  }
  return 0;
}

bool Supersedes(const HostRow& a, const HostRow& b) {
  return std::make_tuple(a.incarnation, a.version, StatusPrecedence(a.status)) >
         std::make_tuple(b.incarnation, b.version, StatusPrecedence(b.status));
}

bool IsLive(HostStatus status) {
  return status == HostStatus::kAlive || status == HostStatus::kLeaving;
}

uint64_t RowHash(const HostRow& row) {
  if (row.incarnation == 0) return 0;
  return Hash64(row.id.value() + '/' + std::to_string(row.incarnation) + '/' +
                std::to_string(row.version) + '/' + std::to_string(StatusPrecedence(row.status)));
}

MemberHost& Self(Membership* state) { return state->hosts.at(state->self.host); }

int SendLimit(const Membership& state) {
  int doublings = 0;
  for (size_t n = state.hosts.size(); n > 1; n /= 2) ++doublings;
  return std::max(state.params.min_sends, state.params.sends_per_log2 * doublings);
}

void RecordStatusChange(Membership* state, const MemberHost& host, Time now) {
  StatusChange change;
  change.host = host.row.id;
  change.status = host.row.status;
  change.incarnation = host.row.incarnation;
  if (host.heard) change.silent_for = now - host.heard_at;
  state->changes.push_back(change);
}

// Every change of a row must go through here to keep `hosts_hash` up to date.
void ReplaceRow(Membership* state, MemberHost* host, const HostRow& row) {
  state->hosts_hash ^= RowHash(host->row) ^ RowHash(row);
  host->row = row;
  host->send_count = 0;
  ++state->change_count;
}

void UpdateRow(Membership* state, MemberHost* host, const HostRow& row, Time now) {
  HostStatus old_status = host->row.status;
  bool first_row = host->row.incarnation == 0;
  ReplaceRow(state, host, row);
  if (row.status == HostStatus::kSuspect && old_status != HostStatus::kSuspect) {
    host->suspected_at = now;
  }
  if (row.status != old_status || first_row) RecordStatusChange(state, *host, now);
}

void SetStatus(Membership* state, MemberHost* host, HostStatus status, Time now) {
  HostRow row = host->row;
  row.status = status;
  UpdateRow(state, host, row, now);
}

// Raises the version of this host's own row above `row`, so that it overrides `row` on every host.
void Refute(Membership* state, const HostRow& row) {
  HostRow own = Self(state).row;
  own.incarnation = std::max(own.incarnation, row.incarnation);
  own.version = std::max(own.version, row.version) + 1;
  ReplaceRow(state, &Self(state), own);
}

bool SameHostEntry(const HostEntry& a, const HostEntry& b) {
  return std::tie(a.domain, a.region, a.rpc_address, a.http_address, a.caller_address,
                  a.operator_address, a.has_disk) == std::tie(b.domain, b.region, b.rpc_address,
                                                              b.http_address, b.caller_address,
                                                              b.operator_address, b.has_disk);
}

// Takes the identity and addresses of a host from its row, and adds the host if it is unknown. Only
// with `find_hosts`.
void LearnHostEntry(Membership* state, const HostRow& row) {
  if (!state->params.find_hosts || !row.host_entry || row.id.empty()) return;
  auto it = state->hosts.find(row.id);
  if (it == state->hosts.end()) {
    if (state->hosts.size() >= kMaxHosts) return;
    it = state->hosts.emplace(row.id, MemberHost()).first;
    it->second.row.id = row.id;
    state->discovered_hosts.push_back(*row.host_entry);
  }
  if (SameHostEntry(it->second.entry, *row.host_entry)) return;
  it->second.entry = *row.host_entry;
  ++state->change_count;
}

void MergeHost(Membership* state, const HostRow& row, Time now) {
  if (row.id == state->self.host) {
    if (Supersedes(row, Self(state).row)) Refute(state, row);
    return;
  }
  LearnHostEntry(state, row);
  auto it = state->hosts.find(row.id);
  if (it == state->hosts.end()) return;
  if (Supersedes(row, it->second.row)) UpdateRow(state, &it->second, row, now);
}

bool SummarySupersedes(const SummaryRow& a, const SummaryRow& b) {
  return std::tie(a.summary.version, a.reporter) > std::tie(b.summary.version, b.reporter);
}

void MergeSummary(Membership* state, const SummaryRow& row, Time now) {
  auto key = std::make_pair(row.summary.domain, row.summary.served);
  auto it = state->summaries.find(key);
  if (it != state->summaries.end() && !SummarySupersedes(row, it->second.row)) return;
  if (now - row.summary.reported_at >= state->params.summary_lifetime) return;
  if (it == state->summaries.end()) {
    if (state->summaries.size() >= kMaxSummaries) return;
    it = state->summaries.emplace(key, MemberSummary()).first;
  }
  it->second.row = row;
  it->second.learned_at = now;
  it->second.send_count = 0;
  ++state->change_count;
}

void Merge(Membership* state, const HostId& from, const GossipMessage& message, Time now) {
  for (const HostRow& row : message.hosts) MergeHost(state, row, now);
  for (const SummaryRow& row : message.summaries) MergeSummary(state, row, now);
  uint64_t known = state->newest_revision;
  if (message.newest_revision > state->newest_revision) {
    state->newest_revision = message.newest_revision;
    state->newest_holder = message.newest_holder;
  }
  if (message.revision >= state->newest_revision && message.revision > 0) {
    state->newest_revision = message.revision;
    state->newest_holder = from;
  }
  if (state->newest_revision > known) state->newest_source = from;
}

// Processes a direct message: a request or a reply.
void ReceiveDirect(Membership* state, const HostId& from, const GossipMessage& message, Time now) {
  uint64_t incarnation = 0;
  for (const HostRow& row : message.hosts) {
    if (row.id != from) continue;
    LearnHostEntry(state, row);
    incarnation = row.incarnation;
  }
  auto it = state->hosts.find(from);
  if (it == state->hosts.end()) return;
  MemberHost& host = it->second;
  if (incarnation > host.heard_incarnation) {
    host.heard_incarnation = incarnation;
    host.needs_all_summaries = true;
    host.next_summary = SummaryKey();
  }
  host.heard = true;
  host.heard_at = now;
  // Not the maximum: a process that has started again may have less than the one before.
  host.revision = message.revision;
  Merge(state, from, message, now);
  host.rows_differ = message.hosts_hash != state->hosts_hash;
}

bool SameDomain(const Membership& state, const MemberHost& host) {
  return host.entry.domain == state.self.domain;
}

std::vector<HostId> OtherHosts(const Membership& state, bool same_domain) {
  std::vector<HostId> ids;
  for (const auto& [id, host] : state.hosts) {
    if (id != state.self.host && SameDomain(state, host) == same_domain) ids.push_back(id);
  }
  return ids;
}

// The next member of the shuffled round. Every member is probed once per round.
std::optional<HostId> NextProbeTarget(Membership* state, std::mt19937_64& rng) {
  if (state->probe_queue.empty()) {
    state->probe_queue = OtherHosts(*state, true);
    std::shuffle(state->probe_queue.begin(), state->probe_queue.end(), rng);
  }
  if (state->probe_queue.empty()) return std::nullopt;
  HostId next = state->probe_queue.back();
  state->probe_queue.pop_back();
  return next;
}

SendProbe StartProbe(Membership* state, const HostId& to, const HostId& target, ProbeKind kind,
                     Time now, std::mt19937_64& rng) {
  SendProbe send;
  send.token = state->next_token++;
  send.to = to;
  if (kind == ProbeKind::kIndirect) send.target = target;
  send.timeout = kind == ProbeKind::kRemote ? state->params.remote_timeout : state->params.period;
  send.message = MakeGossip(state, to, rng);
  PendingProbe probe;
  probe.target = target;
  probe.via = to;
  probe.kind = kind;
  probe.started = now;
  state->probes.emplace(send.token, probe);
  return send;
}

void StartProbePeriod(Membership* state, Time now, std::mt19937_64& rng,
                      std::vector<SendProbe>* out) {
  std::optional<HostId> member = NextProbeTarget(state, rng);
  if (member) out->push_back(StartProbe(state, *member, *member, ProbeKind::kDirect, now, rng));
  std::vector<HostId> remote = OtherHosts(*state, false);
  std::shuffle(remote.begin(), remote.end(), rng);
  size_t count = std::min<size_t>(remote.size(), static_cast<size_t>(state->params.remote_probes));
  for (size_t i = 0; i < count; ++i) {
    out->push_back(StartProbe(state, remote[i], remote[i], ProbeKind::kRemote, now, rng));
  }
  // Also retry one host whose last exchange failed. Otherwise it would be shown as suspected until
  // it is picked at random again.
  for (size_t i = count; i < remote.size(); ++i) {
    const MemberHost& host = state->hosts.at(remote[i]);
    if (!host.unreachable || !IsLive(host.row.status)) continue;
    out->push_back(StartProbe(state, remote[i], remote[i], ProbeKind::kRemote, now, rng));
    break;
  }
}

void StartIndirectProbes(Membership* state, const HostId& target, Time now, std::mt19937_64& rng,
                         std::vector<SendProbe>* out) {
  std::vector<HostId> helpers;
  for (const HostId& id : OtherHosts(*state, true)) {
    if (id != target && IsLive(state->hosts.at(id).row.status)) helpers.push_back(id);
  }
  std::shuffle(helpers.begin(), helpers.end(), rng);
  size_t limit = static_cast<size_t>(state->params.indirect_probes);
  if (helpers.size() > limit) helpers.resize(limit);
  for (const HostId& helper : helpers) {
    out->push_back(StartProbe(state, helper, target, ProbeKind::kIndirect, now, rng));
  }
}

void MarkSuspect(Membership* state, const HostId& id, Time now) {
  MemberHost& host = state->hosts.at(id);
  if (IsLive(host.row.status)) SetStatus(state, &host, HostStatus::kSuspect, now);
}

// Starts indirect probes for members that have not answered in time, and marks members that no
// probe has reached as suspected.
void CheckProbes(Membership* state, Time now, std::mt19937_64& rng, std::vector<SendProbe>* out) {
  std::vector<HostId> unanswered;
  for (auto it = state->probes.begin(); it != state->probes.end();) {
    PendingProbe& probe = it->second;
    Duration waited = now - probe.started;
    bool direct = probe.kind == ProbeKind::kDirect;
    if (direct && !probe.answered && !probe.indirect_started &&
        (probe.failed || waited >= state->params.ack_timeout)) {
      probe.indirect_started = true;
      unanswered.push_back(probe.target);
    }
    bool period_over = waited >= state->params.period;
    if (direct && period_over && !probe.answered) MarkSuspect(state, probe.target, now);
    bool remote_over = waited >= state->params.remote_timeout + state->params.period;
    bool erase = direct ? period_over : remote_over;
    it = erase ? state->probes.erase(it) : std::next(it);
  }
  for (const HostId& target : unanswered) StartIndirectProbes(state, target, now, rng, out);
}

void ExpireSuspicions(Membership* state, Time now) {
  for (auto& [id, host] : state->hosts) {
    if (host.row.status != HostStatus::kSuspect) continue;
    if (now - host.suspected_at < state->params.suspicion_timeout) continue;
    // Only members of the same failure domain probe a host often enough to declare it failed.
    if (SameDomain(*state, host)) SetStatus(state, &host, HostStatus::kFailed, now);
  }
}

void ResetProbes(Membership* state, Time now) {
  state->probes.clear();
  for (auto& [id, host] : state->hosts) {
    if (host.row.status == HostStatus::kSuspect) host.suspected_at = now;
  }
}

void DropExpiredSummaries(Membership* state, Time now) {
  for (auto it = state->summaries.begin(); it != state->summaries.end();) {
    bool expired = now - it->second.row.summary.reported_at >= state->params.summary_lifetime;
    if (expired) ++state->change_count;
    it = expired ? state->summaries.erase(it) : std::next(it);
  }
}

void AddHostRows(Membership* state, const HostId& to, bool rows_differ, size_t budget,
                 std::mt19937_64& rng, GossipMessage* message) {
  struct Candidate {
    int send_count;
    uint64_t shuffle;
    MemberHost* host;
  };
  std::vector<Candidate> candidates;
  int limit = SendLimit(*state);
  for (auto& [id, host] : state->hosts) {
    if (id == state->self.host || host.row.incarnation == 0) continue;
    // A host must learn that it is suspected or considered failed in order to refute it.
    bool about_receiver = id == to;
    if (about_receiver && IsLive(host.row.status)) continue;
    if (!about_receiver && !rows_differ && host.send_count >= limit) continue;
    candidates.push_back({about_receiver ? -1 : host.send_count, rng(), &host});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.send_count, a.shuffle) < std::tie(b.send_count, b.shuffle);
  });
  size_t used = 0;
  for (const Candidate& candidate : candidates) {
    used += RowBytes(candidate.host->row);
    if (used > budget) break;
    message->hosts.push_back(candidate.host->row);
    ++candidate.host->send_count;
  }
}

// Adds the next summaries for a host that needs all of them, in the order of their keys. Returns
// the bytes of the added rows.
size_t AddMissingSummaries(Membership* state, MemberHost* receiver, size_t budget,
                           GossipMessage* message) {
  size_t used = 0;
  auto it = state->summaries.lower_bound(receiver->next_summary);
  for (; it != state->summaries.end(); ++it) {
    size_t bytes = RowBytes(it->second.row);
    if (used + bytes > budget) {
      receiver->next_summary = it->first;
      return used;
    }
    used += bytes;
    message->summaries.push_back(it->second.row);
    ++it->second.send_count;
  }
  receiver->needs_all_summaries = false;
  return used;
}

void AddChangedSummaries(Membership* state, size_t budget, GossipMessage* message) {
  std::vector<MemberSummary*> candidates;
  int limit = state->params.summary_sends;
  for (auto& [key, summary] : state->summaries) {
    if (summary.send_count < limit) candidates.push_back(&summary);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const MemberSummary* a, const MemberSummary* b) { return a->send_count < b->send_count; });
  size_t used = 0;
  for (MemberSummary* candidate : candidates) {
    used += RowBytes(candidate->row);
    if (used > budget) break;
    message->summaries.push_back(candidate->row);
    ++candidate->send_count;
  }
}

size_t HostRowBytes(const GossipMessage& message) {
  size_t bytes = 0;
  for (const HostRow& row : message.hosts) bytes += RowBytes(row);
  return bytes;
}

bool SameLoad(const DomainSummary& a, const DomainSummary& b) {
  return std::tie(a.servers, a.slots, a.running, a.waiting, a.prefill_tokens) ==
         std::tie(b.servers, b.slots, b.running, b.waiting, b.prefill_tokens);
}

// The minimum time between the reports of `last` and `next`.
Duration ReportInterval(const MembershipParams& params, const DomainSummary& last,
                        const DomainSummary& next) {
  bool other_servers =
      last.servers != next.servers || last.software_versions != next.software_versions;
  if (other_servers) return Duration(0);
  if (SameLoad(last, next)) return params.summary_refresh;
  int job_delta = std::abs((next.running + next.waiting) - (last.running + last.waiting));
  bool large_change = job_delta > 0 && job_delta >= next.slots / params.summary_load_divisor;
  int64_t token_delta = std::abs(next.prefill_tokens - last.prefill_tokens);
  large_change = large_change || token_delta >= kSummaryTokenThreshold * std::max(next.servers, 1);
  return large_change ? params.summary_interval : params.summary_slow_interval;
}

void ReportSummary(Membership* state, const DomainSummary& row, uint64_t stamp, Time now) {
  auto it = state->summaries.find({row.domain, row.served});
  if (it != state->summaries.end()) {
    const DomainSummary& last = it->second.row.summary;
    if (now - last.reported_at < ReportInterval(state->params, last, row)) return;
    if (last.version >= stamp) stamp = last.version + 1;
  }
  SummaryRow report;
  report.summary = row;
  report.summary.version = stamp;
  report.summary.reported_at = now;
  report.reporter = state->self.host;
  MergeSummary(state, report, now);
}

}  // namespace

Membership MakeMembership(const HostEntry& self, const std::vector<HostEntry>& peers,
                          const MembershipParams& params) {
  Membership state;
  state.self = {self.id, self.region, self.domain};
  state.params = params;
  for (const HostEntry& peer : peers) {
    MemberHost host;
    host.entry = peer;
    host.row.id = peer.id;
    state.hosts[peer.id] = host;
  }
  MemberHost own;
  own.entry = self;
  own.row.id = self.id;
  state.hosts[self.id] = own;
  own.row.incarnation = self.incarnation;
  own.row.version = 1;
  own.row.status = HostStatus::kAlive;
  if (params.find_hosts) own.row.host_entry = self;
  ReplaceRow(&state, &Self(&state), own.row);
  return state;
}

std::vector<SendProbe> Tick(Membership* state, Time now, std::mt19937_64& rng) {
  std::vector<SendProbe> out;
  if (now - state->last_tick > state->params.period) ResetProbes(state, now);
  state->last_tick = now;
  CheckProbes(state, now, rng, &out);
  ExpireSuspicions(state, now);
  if (now >= state->next_period) {
    DropExpiredSummaries(state, now);
    StartProbePeriod(state, now, rng, &out);
    state->next_period = now + state->params.period;
  }
  return out;
}

GossipMessage MakeGossip(Membership* state, const HostId& to, std::mt19937_64& rng) {
  auto receiver = state->hosts.find(to);
  bool rows_differ = receiver != state->hosts.end() && receiver->second.rows_differ;
  GossipMessage message;
  message.hosts_hash = state->hosts_hash;
  message.revision = state->revision;
  message.newest_revision = state->newest_revision;
  message.newest_holder = state->newest_holder;
  message.hosts.push_back(Self(state).row);
  size_t max_bytes = state->params.max_row_bytes;
  size_t budget = max_bytes - std::min(max_bytes, HostRowBytes(message));
  bool needs_summaries = receiver != state->hosts.end() && receiver->second.needs_all_summaries;
  if (needs_summaries) {
    // Half of the message, because a started host misses most host rows too.
    budget -= AddMissingSummaries(state, &receiver->second, budget / 2, &message);
  }
  AddHostRows(state, to, rows_differ, budget, rng, &message);
  if (!needs_summaries) {
    AddChangedSummaries(state, max_bytes - std::min(max_bytes, HostRowBytes(message)), &message);
  }
  return message;
}

GossipMessage OnGossip(Membership* state, const HostId& from, const GossipMessage& message,
                       Time now, std::mt19937_64& rng) {
  ReceiveDirect(state, from, message, now);
  return MakeGossip(state, from, rng);
}

void OnAck(Membership* state, uint64_t token, const HostId& from, const GossipMessage& message,
           bool reached, Time now) {
  ReceiveDirect(state, from, message, now);
  // Only a reply shows that this host can reach the other one; a request shows the opposite
  // direction.
  OnConnection(state, from, true, now);
  auto it = state->probes.find(token);
  if (it == state->probes.end()) return;
  if (it->second.kind == ProbeKind::kIndirect && !reached) return;
  HostId target = it->second.target;
  for (auto& [other, probe] : state->probes) {
    if (probe.kind == ProbeKind::kDirect && probe.target == target) probe.answered = true;
  }
}

void OnProbeFailed(Membership* state, uint64_t token, Time now) {
  auto it = state->probes.find(token);
  if (it == state->probes.end()) return;
  it->second.failed = true;
  if (it->second.kind == ProbeKind::kRemote) OnConnection(state, it->second.target, false, now);
}

void OnConnection(Membership* state, const HostId& host, bool connected, Time now) {
  (void)now;
  auto it = state->hosts.find(host);
  if (it == state->hosts.end() || it->second.unreachable == !connected) return;
  it->second.unreachable = !connected;
  ++state->change_count;
}

void SetLeaving(Membership* state) {
  HostRow own = Self(state).row;
  if (own.status == HostStatus::kLeaving) return;
  own.status = HostStatus::kLeaving;
  ++own.version;
  ReplaceRow(state, &Self(state), own);
}

void SetOverloaded(Membership* state, bool overloaded) {
  HostRow own = Self(state).row;
  if (own.overloaded == overloaded) return;
  own.overloaded = overloaded;
  ++own.version;
  ReplaceRow(state, &Self(state), own);
}

void SetRevision(Membership* state, uint64_t revision) {
  state->revision = revision;
  Self(state).revision = revision;
  if (revision < state->newest_revision) return;
  if (revision > state->newest_revision) state->newest_source = HostId();
  state->newest_revision = revision;
  state->newest_holder = state->self.host;
}

bool IsReporter(const Membership& state) {
  for (const auto& [id, host] : state.hosts) {
    if (!SameDomain(state, host) || !IsLive(host.row.status)) continue;
    return id == state.self.host;
  }
  return false;
}

void ReportSummaries(Membership* state, const std::vector<DomainSummary>& rows, uint64_t stamp,
                     Time now) {
  for (const DomainSummary& row : rows) ReportSummary(state, row, stamp, now);
  std::vector<DomainSummary> removed;
  for (const auto& [key, summary] : state->summaries) {
    const DomainSummary& known = summary.row.summary;
    if (known.domain != state->self.domain || known.servers == 0) continue;
    bool listed = std::any_of(rows.begin(), rows.end(),
                              [&](const DomainSummary& row) { return row.served == known.served; });
    if (listed) continue;
    DomainSummary empty;
    empty.domain = known.domain;
    empty.region = known.region;
    empty.served = known.served;
    removed.push_back(empty);
  }
  for (const DomainSummary& row : removed) ReportSummary(state, row, stamp, now);
}

std::optional<HostId> PullTarget(const Membership& state, std::mt19937_64& rng,
                                 const std::function<bool(const HostId&)>& may_ask,
                                 bool prefer_own_domain) {
  if (state.newest_revision <= state.revision) return std::nullopt;
  std::vector<HostId> preferred;
  std::vector<HostId> others;
  // A host that is short of processor time takes many others for lost.
  std::vector<HostId> suspected;
  for (const auto& [id, host] : state.hosts) {
    if (id == state.self.host || host.revision <= state.revision || !may_ask(id)) continue;
    if (host.unreachable || !IsLive(host.row.status)) {
      suspected.push_back(id);
    } else {
      (prefer_own_domain && SameDomain(state, host) ? preferred : others).push_back(id);
    }
  }
  for (const std::vector<HostId>* group : {&preferred, &others, &suspected}) {
    if (!group->empty()) return (*group)[rng() % group->size()];
  }
  const HostId& holder = state.newest_holder;
  if (holder.empty() || holder == state.self.host || !may_ask(holder)) return std::nullopt;
  return holder;
}

std::vector<HostId> HostsToTell(const Membership& state, const std::vector<HostId>& connected,
                                size_t limit, std::mt19937_64& rng) {
  std::vector<HostId> hosts;
  std::vector<HostId> suspected;
  for (const HostId& id : connected) {
    auto host = state.hosts.find(id);
    if (host == state.hosts.end() || host->second.revision >= state.revision) continue;
    bool live = !host->second.unreachable && IsLive(host->second.row.status);
    (live ? hosts : suspected).push_back(id);
  }
  std::shuffle(hosts.begin(), hosts.end(), rng);
  std::shuffle(suspected.begin(), suspected.end(), rng);
  hosts.insert(hosts.end(), suspected.begin(), suspected.end());
  if (hosts.size() > limit) hosts.resize(limit);
  return hosts;
}

const char* HostStatusName(HostStatus status) {
  switch (status) {
    case HostStatus::kAlive:
      return "alive";
    case HostStatus::kSuspect:
      return "suspect";
    case HostStatus::kFailed:
      return "failed";
    case HostStatus::kLeaving:
      return "leaving";
  }
  return "failed";
}

std::vector<HostEntry> HostEntries(const Membership& state) {
  std::vector<HostEntry> entries;
  entries.reserve(state.hosts.size());
  for (const auto& [id, host] : state.hosts) {
    HostEntry entry = host.entry;
    entry.incarnation = host.row.incarnation;
    entry.status = host.row.status;
    entry.overloaded = host.row.overloaded;
    if (host.unreachable && IsLive(entry.status)) entry.status = HostStatus::kSuspect;
    entries.push_back(entry);
  }
  return entries;
}

std::vector<DomainSummary> Summaries(const Membership& state) {
  std::vector<DomainSummary> rows;
  rows.reserve(state.summaries.size());
  for (const auto& [key, summary] : state.summaries) rows.push_back(summary.row.summary);
  return rows;
}

std::vector<StatusChange> TakeChanges(Membership* state) {
  return std::exchange(state->changes, {});
}

std::vector<HostEntry> TakeDiscoveredHosts(Membership* state) {
  return std::exchange(state->discovered_hosts, {});
}

// Encoded size plus a margin for pointers.
size_t RowBytes(const HostRow& row) {
  size_t bytes = 48 + row.id.value().size();
  if (!row.host_entry) return bytes;
  const HostEntry& entry = *row.host_entry;
  return bytes + 64 + entry.domain.value().size() + entry.region.value().size() +
         entry.rpc_address.size() + entry.http_address.size() + entry.caller_address.size() +
         entry.operator_address.size();
}

size_t RowBytes(const SummaryRow& row) {
  // In a message, the rows of one failure domain share its names.
  return 24 + row.summary.served.size();
}

}  // namespace ebonylift
