#ifndef EBONYLIFT_CORE_MEMBERSHIP_H_
#define EBONYLIFT_CORE_MEMBERSHIP_H_

// SWIM-style membership: tracks which hosts are alive, summaries of the capacity of each failure
// domain, and the newest known configuration revision.
//
// Within a failure domain every host probes one other member per period, in shuffled rounds. If the
// member does not answer in time, other members probe it on this host's behalf. If no probe
// succeeds within the period the member becomes suspected, and after the suspicion timeout it is
// considered failed. A suspected or failed host that learns of this raises its own version, which
// overrides the row on every host.
//
// Across failure domains each host exchanges rows with a fixed number of random hosts per period,
// and with one that did not answer before, so the traffic per host does not grow with the number of
// hosts. A host of another failure domain that does not answer is shown as suspected by this host
// only. Its row is not changed, because other hosts may still reach it.
//
// Rows are versioned and the larger version wins, so they may arrive more than once, late and in
// any order. A changed row is sent with priority and a bounded number of times. Hosts that still
// miss it are repaired by comparing the hash of all host rows: while the hashes of two hosts
// differ, they send each other all host rows in turn. Summaries are reported again at least every
// `summary_refresh`. A host that has started gets all summaries from each host that it exchanges
// rows with, because it missed those that were sent often enough before.
//
// Rows of hosts that are not configured are ignored unless `find_hosts` is set. With it, rows also
// contain the identity and addresses of their host, and a row of an unknown host adds that host. At
// most kMaxHosts hosts are tracked.
//
// Memory: one row per known host, at most kMaxSummaries summaries, and one record per probe of the
// last two periods.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxSummaries = 4096;
constexpr size_t kMaxHosts = 2048;
// A change of the prompt tokens waiting for prefill by at least this many per server makes a
// summary's load change a large one.
constexpr int64_t kSummaryTokenThreshold = 4'000;

struct MembershipParams {
  Duration period = milliseconds(500);
  Duration ack_timeout = milliseconds(200);  // until indirect probes start
  int indirect_probes = 3;
  Duration suspicion_timeout = milliseconds(2500);
  int remote_probes = 1;  // random hosts of other failure domains probed per period
  Duration remote_timeout = milliseconds(1500);
  size_t max_row_bytes = 1000;  // limit for the rows of one message, by RowBytes()
  // A changed host row is sent max(min_sends, sends_per_log2 * floor(log2(number of hosts))) times.
  int min_sends = 4;
  int sends_per_log2 = 4;
  // How often a changed summary is sent. Summaries change with the load, so they are sent less
  // often than host rows: the next report makes up for one that was missed.
  int summary_sends = 4;
  Duration summary_interval = seconds(2);        // between reports after a large load change
  int summary_load_divisor = 8;                  // large: jobs change by >= slots / this
  Duration summary_slow_interval = seconds(10);  // between reports after smaller changes
  Duration summary_refresh = seconds(30);        // between reports without change
  Duration summary_lifetime = seconds(90);       // a summary that is not reported again is dropped
  bool find_hosts = false;                       // accept rows of hosts that are not configured
};

// The gossiped state of one host.
struct HostRow {
  HostId id;
  uint64_t incarnation = 0;  // of the process
  uint32_t version = 0;  // raised by the host itself when its flags change or to refute a suspicion
  HostStatus status = HostStatus::kFailed;
  bool overloaded = false;
  // Identity and addresses; the other fields are unused. Sent only with `find_hosts`.
  std::optional<HostEntry> host_entry = std::nullopt;
};

// The gossiped summary of one failure domain and served model.
struct SummaryRow {
  DomainSummary summary;
  HostId reporter;
};

struct GossipMessage {
  uint64_t hosts_hash = 0;       // over all host rows of the sender
  uint64_t revision = 0;         // configuration revision of the sender
  uint64_t newest_revision = 0;  // newest revision that the sender knows of
  HostId newest_holder;          // a host that has `newest_revision`
  std::vector<HostRow> hosts;
  std::vector<SummaryRow> summaries;
};

using SummaryKey = std::pair<DomainId, std::string>;  // failure domain and served name

// What this host knows about one host.
struct MemberHost {
  HostEntry entry;  // identity and addresses; the other fields are unused
  HostRow row;
  int send_count = 0;  // how often the current row was sent
  Time suspected_at;
  Time heard_at;                   // when the last direct message arrived
  bool heard = false;              // a direct message has arrived since the start of the process
  bool unreachable = false;        // the connection or the last exchange with the host failed
  bool rows_differ = false;        // its last message had a different hash of all host rows
  uint64_t heard_incarnation = 0;  // in its own row of the last direct message; 0: none
  // The host has started and has not been sent all summaries yet; `next_summary` is the first key
  // that is missing.
  bool needs_all_summaries = false;
  SummaryKey next_summary;
  uint64_t revision = 0;  // of the configuration, in its last direct message
};

struct MemberSummary {
  SummaryRow row;
  Time learned_at;
  int send_count = 0;
};

// Direct and indirect probes go to members of this host's failure domain, remote ones to other
// domains.
enum class ProbeKind { kDirect, kIndirect, kRemote };

struct PendingProbe {
  HostId target;
  HostId via;  // the host the message is sent to; differs from `target` for indirect probes
  ProbeKind kind = ProbeKind::kDirect;
  Time started;
  bool answered = false;
  bool failed = false;
  bool indirect_started = false;
};

// A probe to send. For an indirect probe `target` is the host that `to` is asked to probe;
// otherwise it is empty.
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
  Duration silent_for;  // since the last direct message; 0 if there was none
};

struct Membership {
  Identity self;
  MembershipParams params;
  std::map<HostId, MemberHost> hosts;  // including this host
  std::map<SummaryKey, MemberSummary> summaries;
  std::map<uint64_t, PendingProbe> probes;  // by token
  uint64_t next_token = 1;
  std::vector<HostId> probe_queue;  // members still to be probed in this round
  Time next_period;
  Time last_tick;
  uint64_t revision = 0;
  uint64_t newest_revision = 0;
  HostId newest_holder;
  HostId newest_source;  // whose message told of `newest_revision`; empty: this host made it
  std::vector<StatusChange> changes;  // since the last TakeChanges()
  // Hosts added by their rows since the last TakeDiscoveredHosts().
  std::vector<HostEntry> discovered_hosts;
  // XOR of the hashes of all host rows; equal on hosts that know the same rows.
  uint64_t hosts_hash = 0;
  uint64_t change_count = 0;  // counts the changes that are visible in views
};

// Creates the initial state. `self` and `peers` are the configured hosts.
Membership MakeMembership(const HostEntry& self, const std::vector<HostEntry>& peers,
                          const MembershipParams& params);

// Starts the probes that are due and expires suspicions. Call it at least every 50 ms. A gap of
// more than one period means that this process was paused, not that the others failed: pending
// probes are then discarded and suspicion timeouts start again.
std::vector<SendProbe> Tick(Membership* state, Time now, std::mt19937_64& rng);

// Builds the message for one receiver and counts its rows as sent.
GossipMessage MakeGossip(Membership* state, const HostId& to, std::mt19937_64& rng);

// Handles a message from `from` and returns the reply.
GossipMessage OnGossip(Membership* state, const HostId& from, const GossipMessage& message,
                       Time now, std::mt19937_64& rng);

// Handles the reply of `from` to a probe. For an indirect probe, `reached` tells whether the target
// answered.
void OnAck(Membership* state, uint64_t token, const HostId& from, const GossipMessage& message,
           bool reached, Time now);

// Records that a probe could not be sent or got no reply.
void OnProbeFailed(Membership* state, uint64_t token, Time now);

// Records that a connection to the host was opened or lost.
void OnConnection(Membership* state, const HostId& host, bool connected, Time now);

// Changes of this host's own row and revision.
void SetLeaving(Membership* state);
void SetOverloaded(Membership* state, bool overloaded);
void SetRevision(Membership* state, uint64_t revision);

// Whether this host reports the summaries of its failure domain: the live host with the smallest id
// does.
bool IsReporter(const Membership& state);

// Updates the summaries of this host's failure domain from `rows`. A new row is gossiped
// immediately if the number of servers has changed, after `summary_interval` for a large load
// change, after `summary_slow_interval` for a smaller one, and after `summary_refresh` in any case.
// A model that is no longer in `rows` is reported once with zero servers. `stamp` is the version of
// the new rows; it is raised if the known row already has that version.
void ReportSummaries(Membership* state, const std::vector<DomainSummary>& rows, uint64_t stamp,
                     Time now);

// The host to pull the configuration from if a newer revision is known: a random reachable host
// with a newer revision, with `prefer_own_domain` one in this failure domain if there is any; else
// a random one that is suspected; else the host that is said to have the newest one. Only hosts for
// which `may_ask` returns true.
std::optional<HostId> PullTarget(const Membership& state, std::mt19937_64& rng,
                                 const std::function<bool(const HostId&)>& may_ask,
                                 bool prefer_own_domain = true);

// At most `limit` random hosts of `connected` that are not known to have this host's revision of
// the configuration, live ones before suspected ones.
std::vector<HostId> HostsToTell(const Membership& state, const std::vector<HostId>& connected,
                                size_t limit, std::mt19937_64& rng);

// The name of a status in logs and in the status of a host.
const char* HostStatusName(HostStatus status);

// All hosts as the routing view shows them, ordered by id.
std::vector<HostEntry> HostEntries(const Membership& state);
std::vector<DomainSummary> Summaries(const Membership& state);

// Returns and clears the status changes since the last call.
std::vector<StatusChange> TakeChanges(Membership* state);

// Returns and clears the hosts that were added by their rows since the last call.
std::vector<HostEntry> TakeDiscoveredHosts(Membership* state);

// The estimated encoded size of a row, counted against `max_row_bytes`.
size_t RowBytes(const HostRow& row);
size_t RowBytes(const SummaryRow& row);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_MEMBERSHIP_H_
