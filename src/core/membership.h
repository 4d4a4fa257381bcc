#ifndef EBONYLIFT_CORE_MEMBERSHIP_H_
#define EBONYLIFT_CORE_MEMBERSHIP_H_

// Which hosts are alive, what the failure domains can run, and which configuration revision is the
// newest.
//
// Inside the failure domain every host probes one member per period, in shuffled rounds. A member
// that does not answer in time is probed through other members; if no probe succeeds within the
// period it is suspected, and after the suspicion timeout it is considered failed. A suspected or
// failed host that learns of it raises its own version, which overrides the row everywhere.
//
// Between failure domains each host exchanges rows with a fixed number of random hosts per period,
// and with one that did not answer before, so the traffic of a host does not grow with the number
// of hosts. A host of another failure domain that does not answer this host is shown as suspected
// here only; its row is not changed, because other hosts may reach it.
//
// Rows carry versions and the larger version wins, so rows may arrive twice, late and in any order.
// A changed row is sent first and a bounded number of times. Rows that are missed after that are
// repaired through the hash over the host rows: while two hosts differ, they send each other all
// host rows in turn. Summaries are reported again at least every `summary_refresh`.
//
// Rows of hosts that are not configured are ignored, except with `find_hosts`: rows then carry the
// place of their host, and a row of an unknown host adds it. At most kMaxHosts hosts are known.
//
// Memory: one row per known host, at most kMaxSummaries summaries, and one record per probe of the
// last two periods.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxSummaries = 4096;
constexpr size_t kMaxHosts = 2048;
// Unread prompt tokens for each server by which a summary counts as moved.
constexpr int64_t kSummaryTokenThreshold = 4'000;

struct MembershipParams {
  Duration period = milliseconds(500);
  Duration ack_timeout = milliseconds(200);  // then indirect probes start
  int indirect_probes = 3;
  Duration suspicion_timeout = milliseconds(2500);
  int remote_probes = 1;  // random hosts of other failure domains per period
  Duration remote_timeout = milliseconds(1500);
  size_t max_row_bytes = 1000;  // rows of one message, by the estimate in RowBytes()
  int min_sends = 4;            // a changed row is sent at least this often, and
  int sends_per_log2 = 4;       // this often for each doubling of the number of hosts
  // Summaries change with the load, so they are sent less often than host rows; the next report
  // repairs a miss.
  int summary_sends = 4;
  Duration summary_interval = seconds(2);        // between reports of one summary whose load moved
  int summary_load_divisor = 8;                  // moved: by at least this part of the slots
  Duration summary_slow_interval = seconds(10);  // for smaller changes
  Duration summary_refresh = seconds(30);        // an unchanged summary is reported again
  Duration summary_lifetime = seconds(90);       // a summary that nobody reports is dropped
  bool find_hosts = false;                       // hosts that are not configured join by their rows
};

// One host as its newest known row says.
struct HostRow {
  HostId id;
  uint64_t incarnation = 0;  // of the process
  uint32_t version = 0;      // raised by the host itself: changed flags, or a refutation
  HostStatus status = HostStatus::kFailed;
  bool overloaded = false;
  std::optional<HostEntry> place =
      std::nullopt;  // identity and addresses; the other fields are unused
};

struct SummaryRow {
  DomainSummary summary;
  HostId reporter;
};

struct GossipMessage {
  uint64_t hosts_hash = 0;       // over the sender's host rows
  uint64_t revision = 0;         // configuration revision of the sender
  uint64_t newest_revision = 0;  // the newest the sender has heard of
  HostId newest_holder;
  std::vector<HostRow> hosts;
  std::vector<SummaryRow> summaries;
};

struct MemberHost {
  HostEntry configured;  // identity and addresses; the other fields are unused
  HostRow row;
  int send_count = 0;
  Time suspected_at;
  Time heard_at;             // last direct message
  bool heard = false;        // a direct message arrived since the start
  bool unreachable = false;  // the connection or the last exchange with this host failed
  bool rows_differ = false;  // its last message had another hash over the host rows
  uint64_t revision = 0;     // configuration revision by its last direct message
};

struct MemberSummary {
  SummaryRow row;
  Time learned_at;
  int send_count = 0;
};

enum class ProbeKind { kDirect, kIndirect, kRemote };

struct PendingProbe {
  HostId target;
  HostId via;
  ProbeKind kind = ProbeKind::kDirect;
  Time started;
  bool answered = false;
  bool failed = false;
  bool indirect_started = false;
};

// A message to send. For an indirect probe `target` names the host that `to` shall probe.
struct SendProbe {
  uint64_t token = 0;
  HostId to;
  HostId target;
  Duration timeout;
  GossipMessage message;
};

// A change of a host's status as this host sees it.
struct StatusChange {
  HostId host;
  HostStatus status = HostStatus::kAlive;
  uint64_t incarnation = 0;
  Duration silent;  // since the last direct message; 0 when there was none
};

struct Membership {
  Identity self;
  MembershipParams params;
  std::map<HostId, MemberHost> hosts;  // the own host included
  std::map<std::pair<DomainId, std::string>, MemberSummary> summaries;
  std::map<uint64_t, PendingProbe> probes;  // by token
  uint64_t next_token = 1;
  std::vector<HostId> probe_queue;  // members still to probe in this round
  Time next_period;
  Time last_tick;
  uint64_t revision = 0;
  uint64_t newest_revision = 0;
  HostId newest_holder;
  std::vector<StatusChange> changes;  // since the last TakeChanges()
  std::vector<HostEntry> found;       // hosts that joined since the last TakeFound()
  uint64_t hosts_hash = 0;            // over all host rows; equal where the same rows are known
  uint64_t changed = 0;               // grows with each change that a view shows
};

// `self` and `peers` are the configured hosts.
Membership MakeMembership(const HostEntry& self, const std::vector<HostEntry>& peers,
                          const MembershipParams& params);

// Starts the probes that are due and ends suspicions. Call it at least every 50 ms. After a gap of
// more than one period the own process was stopped, not the others: open probes and the time of
// suspicions start again.
std::vector<SendProbe> Tick(Membership* state, Time now, std::mt19937_64& rng);

// The message for one receiver. Marks the rows as sent.
GossipMessage MakeGossip(Membership* state, const HostId& to, std::mt19937_64& rng);

// A message arrived from `from`; returns the answer.
GossipMessage OnGossip(Membership* state, const HostId& from, const GossipMessage& message,
                       Time now, std::mt19937_64& rng);

// `from` answered the probe. For an indirect probe, `reached` tells whether the target answered.
void OnAck(Membership* state, uint64_t token, const HostId& from, const GossipMessage& message,
           bool reached, Time now);

// A probe could not be sent or got no answer.
void OnProbeFailed(Membership* state, uint64_t token, Time now);

// A connection to the host was opened or lost.
void OnConnection(Membership* state, const HostId& host, bool connected, Time now);

// Changes of the own host.
void SetLeaving(Membership* state);
void SetOverloaded(Membership* state, bool overloaded);
void SetRevision(Membership* state, uint64_t revision);

// Whether this host reports the summaries of its failure domain: it is the live host with the
// smallest id.
bool IsReporter(const Membership& state);

// Takes the current summaries of the own failure domain. Rows are sent at once when the
// number of servers changed, after `summary_interval` when the load moved, after
// `summary_slow_interval` for smaller changes, and after `summary_refresh` in any case. A model
// that is no longer in `rows` is reported once with zero servers. `stamp` is the version of new
// rows.
void ReportSummaries(Membership* state, const std::vector<DomainSummary>& rows, uint64_t stamp,
                     Time now);

// The host to pull the configuration from when a newer revision is known: reachable, with a newer
// revision, own failure domain first.
std::optional<HostId> PullTarget(const Membership& state, std::mt19937_64& rng);

// All hosts as the routing view shows them, by id.
std::vector<HostEntry> HostEntries(const Membership& state);
std::vector<DomainSummary> Summaries(const Membership& state);

std::vector<StatusChange> TakeChanges(Membership* state);

// The hosts that joined by their rows since the last call.
std::vector<HostEntry> TakeFound(Membership* state);

// The size that a row is expected to have in a message; `message_bytes` counts it.
size_t RowBytes(const HostRow& row);
size_t RowBytes(const SummaryRow& row);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_MEMBERSHIP_H_
