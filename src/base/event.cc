#include "base/event.h"

#include <algorithm>
#include <cstdio>
#include <unordered_map>

#include "base/log_limit.h"
#include "base/log_output.h"

namespace ebonylift {
namespace {

constexpr size_t kMaxValueBytes = 256;

const std::vector<EventInfo>& Table() {
  // clang-format off
  static const std::vector<EventInfo> table = {
      {EventId::kStarted, 100, "started", "The daemon started: version, addresses, region, domain."},
      {EventId::kReady, 101, "ready", "The daemon has loaded a configuration and accepts requests: revision, ms."},
      {EventId::kDrainStarted, 102, "drain_started", "Graceful shutdown began: reason, open requests."},
      {EventId::kStopped, 103, "stopped", "Graceful shutdown ended: ms."},
      {EventId::kSettingsRefused, 104, "settings_refused", "A setting has an invalid value: key, value, allowed."},
      {EventId::kThreadFailed, 105, "thread_failed", "A thread terminated with an exception: thread, error."},
      {EventId::kReloadRequested, 106, "reload_requested", "The daemon was signalled to reload its settings: changed."},
      {EventId::kLogLinesDropped, 107, "log_lines_dropped", "Numbers of log lines dropped since the daemon started: routine and notable (over the rate limit of their kind), unread (the reader of the output was too slow)."},
      {EventId::kStartFailed, 108, "start_failed", "The daemon failed to start: reason."},
      {EventId::kDescriptorConflict, 109, "descriptor_conflict", "Two parts of the process use one file descriptor number, so data may reach the wrong connection: descriptor, action (claim or release), user (the part that acts), other (the part that holds the claim)."},
      {EventId::kEventLoopDelayed, 110, "event_loop_delayed", "A thread handles late what arrives at its connections, as it is short of processor time; at most once a second: thread, ms."},
      {EventId::kEntryListLeft, 111, "entry_list_left", "A host that shuts down left the lists of entry hosts: waited_ms (since the shutdown began, for the other hosts of its region), takes_ms (how long after the shutdown began it takes requests that may outlast it), open (requests)."},
      {EventId::kRequestReceived, 200, "request_received", "A request was accepted for processing: request_id, team, route, class, hops."},
      {EventId::kRequestDispatched, 201, "request_dispatched", "A request was sent to a backend server: request_id, attempt, server."},
      {EventId::kRequestAnswered, 202, "request_answered", "The complete response was delivered: request_id, caller_request_id, route, workspace (of the caller; empty: none), server, status, attempts; the inputs of the routing decision: tokens, hit_tokens, fetch_tokens, tokens_ahead; times since arrival: wait_ms (to the last dispatch), first_ms (to the first byte), ms (total); gap_ms (longest gap in the stream); late (what made the answer miss a target of its route: wait, read, pace or pause; none: it was in time); speed_percent (of the server, as expected when the request was sent; 100 is the mean of its model or service)."},
      {EventId::kRequestRefused, 203, "request_refused", "A request ended with an error: request_id, caller_request_id, workspace (of the caller; empty: none), kind, run; unless the error is relayed from another host, also route, attempts, tokens, retry_after_ms, ms. A request that is refused before it gets a request_id has only caller_request_id, kind, reason, version (of the routes in force here) and run."},
      {EventId::kRequestForwarded, 204, "request_forwarded", "A request was forwarded to another entry host: request_id, caller_request_id, host, hops, crossed (1 if into another region)."},
      {EventId::kAttemptFailed, 205, "attempt_failed", "An attempt to run a request failed: request_id, caller_request_id, attempt, server, outcome, status, silent_ms (since its last byte, or since it was sent), reason, run, content (hash of what was sent)."},
      {EventId::kAttemptRetried, 206, "attempt_retried", "A request is retried after a failed attempt: request_id, attempt."},
      {EventId::kCallerGone, 207, "caller_gone", "The caller closed its connection before the response was complete: request_id, caller_request_id, attempts (0: the request was not sent on), ms (since the request was read), sent_ms (since it was last sent on; empty: no attempt was open)."},
      {EventId::kStreamResumed, 208, "stream_resumed", "An interrupted response stream is continued: request_id, caller_request_id, server, offset; at another server also software (the version of the server that began the stream; empty: unknown)."},
      {EventId::kLateDataDropped, 209, "late_data_dropped", "Data received from an abandoned attempt was discarded: request_id, attempt."},
      {EventId::kForwardRejected, 210, "forward_rejected", "A forwarding header of another host was rejected: from, reason."},
      {EventId::kResidencyViolationRefused, 211, "residency_violation_refused", "A request was refused because the data residency rule does not allow its region: request_id, team, route, region."},
      {EventId::kStreamTakenUp, 212, "stream_taken_up", "A caller takes up a stream that an earlier request of it began: request_id, caller_request_id, resumes (caller_request_id of that request), offset, software (the version that began it; empty: unknown), ms (until it was found)."},
      {EventId::kKeysNotAccepted, 213, "keys_not_accepted", "This host has not heard from a majority of the control hosts for the time after which it must not rely on its configuration, and refuses requests that need a key: voters (number of control hosts), revision (of its configuration)."},
      {EventId::kKeysAccepted, 214, "keys_accepted", "This host hears from a majority of the control hosts and accepts keys again, or for the first time since its start: voters, revision."},
      {EventId::kLimitLeaseLost, 217, "limit_lease_lost", "A request for shares of limits of workspaces got no answer; when leases expire, this host admits only its reserve: host (asked; empty: none known)."},
      {EventId::kLimitAllocatorChanged, 218, "limit_allocator_changed", "Another host than before answers requests for shares of limits of workspaces: allocator, previous."},
      {EventId::kLimitAllocationStarted, 219, "limit_allocation_started", "This host allocates the limits of workspaces from now on, or no longer: active, term."},
      {EventId::kHedgeSent, 220, "hedge_sent", "A request without a first byte was also sent to a second backend server: request_id, caller_request_id, route, attempt, server, first_server, delay_ms (since the first attempt was sent), tokens."},
      {EventId::kHedgeWon, 221, "hedge_won", "The second attempt of a hedged request took the place of the first: request_id, caller_request_id, attempt, server, first_server, reason (first_byte: it answered first; first_failed: the first attempt failed), ms (since the hedge was sent)."},
      {EventId::kHedgeLost, 222, "hedge_lost", "The second attempt of a hedged request was cancelled: request_id, caller_request_id, attempt, server, reason (first_byte: the first attempt answered first; caller_gone; ended: the request ended otherwise; condemned), ms (since the hedge was sent)."},
      {EventId::kHedgeFailed, 223, "hedge_failed", "The second attempt of a hedged request failed, and the first goes on: request_id, caller_request_id, content, attempt, server, outcome, status, reason, run."},
      {EventId::kServerAnnounced, 300, "server_announced", "A backend server was announced for the first time or with a new incarnation: server, incarnation, kind, software (its version)."},
      {EventId::kServerExpired, 301, "server_expired", "A backend server sent no announcement within its time to live: server."},
      {EventId::kServerLeaving, 302, "server_leaving", "A backend server announced that it is shutting down, or said so in an answer: server, source (answer)."},
      {EventId::kServerStaleAnnouncement, 303, "server_stale_announcement", "An announcement with an outdated incarnation was rejected: server, incarnation, current."},
      {EventId::kServerEjected, 304, "server_ejected", "A backend server is temporarily excluded from routing after failures: server, ms."},
      {EventId::kServerOrderSent, 305, "server_order_sent", "An order was sent to a backend server: server, order, fencing."},
      {EventId::kServerOrderRefused, 306, "server_order_refused", "An order was refused by the backend server or not sent: server, order, reason."},
      {EventId::kServerOrderDone, 307, "server_order_done", "A backend server announced the state that an order requested: server, order, ms."},
      {EventId::kServerOrderStuck, 308, "server_order_stuck", "A backend server accepted an order but did not announce the requested state in time: server, order, ms."},
      {EventId::kOrdererLeaseTaken, 309, "orderer_lease_taken", "This host acquired the lease to send the orders of its failure domain: fencing, previous, wait_ms (delay before it sends orders to servers that do not check fencing tokens)."},
      {EventId::kOrdererLeaseEnded, 310, "orderer_lease_ended", "This host no longer holds the lease to send orders: fencing, reason."},
      {EventId::kAnnouncementRefused, 311, "announcement_refused", "An announcement could not be parsed and was ignored: server, reason."},
      {EventId::kServersNotKept, 312, "servers_not_kept", "The on-disk snapshot of the backend servers cannot be used: reason."},
      {EventId::kServerLimitChanged, 313, "server_limit_changed", "A backend server named, changed or withdrew its request limit in an answer: server, requests_per_s (from all hosts together; none if withdrawn)."},
      {EventId::kServerPaused, 314, "server_paused", "A backend server turned a request away and wants nothing from this host for a time: server, ms."},
      {EventId::kServersUnreachable, 315, "servers_unreachable", "This host has no path to its backend servers and hands requests to other hosts: server (the last one that failed), failed (how many did since the last answer)."},
      {EventId::kServersReached, 316, "servers_reached", "This host has a path to its backend servers again: server (the one that answered)."},
      {EventId::kServerBrittle, 317, "server_brittle", "A backend server said in an answer that it fails if it turns away more requests than this in a second, or no longer says so: server, rejections_per_s."},
      {EventId::kBrittleServerFull, 318, "brittle_server_full", "A brittle backend server turned a request of this host away for want of room, and the hosts that send to it were told: server."},
      {EventId::kBrittleServerHasRoom, 319, "brittle_server_has_room", "A brittle backend server served a request of this host that was sent after its last known rejection, and the hosts that send to it were told: server."},
      {EventId::kServerSpeedChanged, 320, "server_speed_changed", "The speed of a backend server, as learned from answers, differs by a quarter or more from the last one logged by this host: server, speed_percent (of the mean of its model or service)."},
      {EventId::kHostAlive, 400, "host_alive", "A host is reachable: host, incarnation."},
      {EventId::kHostSuspected, 401, "host_suspected", "A host did not answer probes and is suspected to have failed: host."},
      {EventId::kHostFailed, 402, "host_failed", "A host is considered failed: host, ms."},
      {EventId::kPeerConnected, 403, "peer_connected", "An authenticated connection with a peer was established: host, direction."},
      {EventId::kPeerLoginRefused, 404, "peer_login_refused", "Authentication of a peer failed: host, reason."},
      {EventId::kPeerMessageRefused, 405, "peer_message_refused", "A message of a peer was rejected: host, reason."},
      {EventId::kHostFound, 406, "host_found", "An unknown host announced itself and was added to the members: host, domain, address."},
      {EventId::kWorkCollectorChanged, 407, "work_collector_changed", "Another host collects this host's work at backend servers: collector (empty: it goes to all hosts directly), previous, silent (the previous one did not answer)."},
      {EventId::kCallersSentAway, 408, "callers_sent_away", "The directory named hosts of another region, because it knew of no usable one in the caller's: domain, region (of the caller), named, hosts (of the caller's region that take requests, with their status)."},
      {EventId::kConfigApplied, 500, "config_applied", "A configuration revision was applied: revision, path, bytes (of its log entry), operator."},
      {EventId::kConfigRefused, 501, "config_refused", "A configuration change was refused: path, kind."},
      {EventId::kConfigSnapshotLoaded, 502, "config_snapshot_loaded", "A configuration snapshot was loaded: revision, source."},
      {EventId::kConfigCaughtUp, 503, "config_caught_up", "The configuration replica was brought up to date by a peer: from, to, host."},
      {EventId::kConfigRevisionHeard, 504, "config_revision_heard", "A peer told of a configuration revision that is newer than all that this host knew of: revision, host (the peer), holder (a host that has it), held (the revision of this host)."},
      {EventId::kConfigPullStarted, 505, "config_pull_started", "A host was asked for newer configuration revisions: host, held, pending (earlier pulls without a response)."},
      {EventId::kConfigPullFailed, 506, "config_pull_failed", "A host did not respond to a configuration pull: host, ms."},
      {EventId::kConfigViewPublished, 507, "config_view_published", "A configuration revision is in force on this host: revision, ms (since the host had the first change of this view), build_ms."},
      {EventId::kLeaderElected, 510, "leader_elected", "This voter became the leader: term."},
      {EventId::kLeaderSteppedDown, 511, "leader_stepped_down", "This voter is no longer the leader: term, reason."},
      {EventId::kTermChanged, 512, "term_changed", "The consensus term changed: term, leader."},
      {EventId::kVoterChanged, 513, "voter_changed", "The set of voters changed: voters."},
      {EventId::kVoterDiskLost, 514, "voter_disk_lost", "The disk of this voter is not the one that its peers know; the host does not vote until it has caught up: reason."},
      {EventId::kVoterConfirmed, 515, "voter_confirmed", "The disk of this host was confirmed and the host may vote: reason."},
      {EventId::kVoterChangeStarted, 516, "voter_change_started", "The leader started to add or remove a voter: host, change."},
      {EventId::kJournalTornTail, 600, "journal_torn_tail", "An incomplete record at the end of a journal file was removed: file, bytes."},
      {EventId::kJournalCorrupt, 601, "journal_corrupt", "A journal file is corrupt before its end: file, offset."},
      {EventId::kJournalWriteFailed, 602, "journal_write_failed", "A write or sync of a journal file failed: file, error."},
      {EventId::kJournalTruncated, 603, "journal_truncated", "A journal was compacted: file, records."},
      {EventId::kRecordClaimed, 610, "record_claimed", "An idempotency key was claimed: request_id, team."},
      {EventId::kRecordReplayed, 611, "record_replayed", "The stored response of an idempotency key was sent again: request_id, team."},
      {EventId::kRecordRefused, 612, "record_refused", "The claim of an idempotency key was refused: request_id, kind."},
      {EventId::kRecordsRecovered, 613, "records_recovered", "Idempotency records were loaded at startup: records, unfinished."},
      {EventId::kJobAccepted, 620, "job_accepted", "A batch job was accepted and stored durably: job, team."},
      {EventId::kJobFinished, 621, "job_finished", "A batch job reached its final state: job, state."},
      {EventId::kJobCancelled, 622, "job_cancelled", "A batch job was cancelled: job."},
      {EventId::kJobsRecovered, 623, "jobs_recovered", "Batch jobs were loaded at startup: jobs, open."},
      {EventId::kSuspectRecorded, 700, "suspect_recorded", "A backend server was lost while it ran a request with this content: content, kind (request or prompt_part), server, losses (in succession), source (own)."},
      {EventId::kPoisonCondemned, 701, "poison_condemned", "Requests with this content are refused from now on: content, kind, server (the last one lost), losses (in succession), source (own, or peer if another host reported the loss)."},
      {EventId::kSuspectCleared, 702, "suspect_cleared", "A request with suspected content completed, or a part of a prompt was answered, so the suspicion was cleared: content, kind."},
      {EventId::kServerLossNotRecorded, 703, "server_loss_not_recorded", "A backend server broke off an attempt, but its loss was not recorded: request_id, content, server, reason (the outcome of the probe of the server)."},
      {EventId::kCondemnedNotKept, 704, "condemned_not_kept", "The file of condemned contents cannot be read, so they are not stored until the daemon restarts: reason."},
  };
  // clang-format on
  return table;
}

std::string& HostName() {
  static std::string host;
  return host;
}

void AppendJsonString(std::string* out, const std::string& text) {
  out->push_back('"');
  for (char c : text) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char buffer[8];
      snprintf(buffer, sizeof(buffer), "\\u%04x", static_cast<unsigned>(c));
      out->append(buffer);
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

bool HasRequestId(const Event& event, const std::string& request_id) {
  return std::any_of(event.fields.begin(), event.fields.end(), [&](const EventField& field) {
    bool names_request = field.name == "request_id" || field.name == "caller_request_id";
    return names_request && field.value == request_id;
  });
}

}  // namespace

const EventInfo& LookupEvent(EventId id) {
  static const std::unordered_map<int, const EventInfo*>* index = [] {
    auto* map = new std::unordered_map<int, const EventInfo*>();
    for (const EventInfo& info : Table()) (*map)[info.number] = &info;
    return map;
  }();
  return *index->at(static_cast<int>(id));
}

const std::vector<EventInfo>& AllEvents() { return Table(); }

void EventRecord::Add(Event event) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (events_.size() >= kCapacity) events_.pop_front();
  events_.push_back(std::move(event));
}

std::vector<Event> EventRecord::Read(HlcStamp since, const std::string& request_id,
                                     size_t limit) const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Event> found;
  for (const Event& event : events_) {
    if (event.hlc <= since) continue;
    if (!request_id.empty() && !HasRequestId(event, request_id)) continue;
    found.push_back(event);
    if (found.size() >= limit) break;
  }
  return found;
}

EventRecord& ProcessEvents() {
  static EventRecord record;
  return record;
}

namespace {

constexpr Duration kDropReportInterval = seconds(1);

// Applies the rate limits to the log lines of this process and decides when the counts of dropped
// lines are logged.
class LogRateLimiter {
 public:
  // Returns false if the line exceeds the rate limit of its kind and must not be written.
  bool Allow(LogLineKind kind, Time now) {
    std::lock_guard<std::mutex> lock(mutex_);
    return TryTakeLine(kind == LogLineKind::kRoutine ? routine_ : notable_, now);
  }

  // Returns the counts of dropped lines if they changed since the last report and that report is at
  // least kDropReportInterval old.
  std::optional<LogDrops> TakeDueReport(Time now) {
    LogDrops drops = Drops();
    std::lock_guard<std::mutex> lock(mutex_);
    if (drops == last_reported_ || now - last_report_at_ < kDropReportInterval) return std::nullopt;
    last_reported_ = drops;
    last_report_at_ = now;
    return drops;
  }

  LogDrops Drops() {
    uint64_t unread = LogOutputDropCount();
    std::lock_guard<std::mutex> lock(mutex_);
    return LogDrops{routine_.dropped, notable_.dropped, unread};
  }

 private:
  std::mutex mutex_;
  LogTokenBucket routine_{kRoutineLinesPerSecond, 0, Time(), 0};
  LogTokenBucket notable_{kNotableLinesPerSecond, 0, Time(), 0};
  LogDrops last_reported_;
  Time last_report_at_;
};

LogRateLimiter& ProcessRateLimiter() {
  static LogRateLimiter limiter;
  return limiter;
}

// True for events of a request or attempt that was retried.
bool IsRetried(const Event& event) {
  return std::any_of(event.fields.begin(), event.fields.end(), [](const EventField& field) {
    return (field.name == "attempts" || field.name == "attempt") && field.value != "1";
  });
}

// A retry means that an attempt failed, so the steps of a retried request are notable.
LogLineKind LineKindOf(const Event& event) {
  switch (event.id) {
    case EventId::kRequestReceived:
    case EventId::kRequestDispatched:
    case EventId::kRequestAnswered:
    case EventId::kRequestForwarded:
    case EventId::kRecordClaimed:
      return IsRetried(event) ? LogLineKind::kNotable : LogLineKind::kRoutine;
    default:
      return LogLineKind::kNotable;
  }
}

Event MakeEvent(EventId id, std::vector<EventField> fields) {
  Event event;
  event.hlc = ProcessClock().Now();
  event.id = id;
  event.host = HostName();
  event.fields = std::move(fields);
  for (EventField& field : event.fields) {
    if (field.value.size() > kMaxValueBytes) field.value.resize(kMaxValueBytes);
  }
  return event;
}

}  // namespace

LogDrops DroppedLines() { return ProcessRateLimiter().Drops(); }

void SetEventHost(const std::string& host) { HostName() = host; }

std::string EventToJson(const Event& event) {
  const EventInfo& info = LookupEvent(event.id);
  std::string out = "{\"event\":" + std::to_string(info.number) + ",\"name\":\"" + info.name +
                    "\",\"time\":" + std::to_string(HybridClock::ToWall(event.hlc)) +
                    ",\"hlc\":" + std::to_string(event.hlc) + ",\"daemon\":";
  AppendJsonString(&out, event.host);
  for (const EventField& field : event.fields) {
    out.push_back(',');
    AppendJsonString(&out, field.name);
    out.push_back(':');
    AppendJsonString(&out, field.value);
  }
  out.push_back('}');
  return out;
}

void LogEvent(EventId id, std::initializer_list<EventField> fields) {
  Event event = MakeEvent(id, fields);
  Time now = SteadyNow();
  if (ProcessRateLimiter().Allow(LineKindOf(event), now)) WriteLogLine(EventToJson(event));
  ProcessEvents().Add(std::move(event));
  std::optional<LogDrops> drops = ProcessRateLimiter().TakeDueReport(now);
  if (!drops) return;
  Event report = MakeEvent(EventId::kLogLinesDropped, {{"routine", std::to_string(drops->routine)},
                                                       {"notable", std::to_string(drops->notable)},
                                                       {"unread", std::to_string(drops->unread)}});
  WriteLogLine(EventToJson(report));
}

}  // namespace ebonylift
