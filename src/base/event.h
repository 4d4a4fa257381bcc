#ifndef EBONYLIFT_BASE_EVENT_H_
#define EBONYLIFT_BASE_EVENT_H_

// Structured log events, each with a stable number and name.
//
// LogEvent() writes an event as one line of JSON to standard output and keeps it in a bounded
// in-memory buffer. The line is subject to the rate limits of log_limit.h and is written
// asynchronously (log_output.h), so that the caller never blocks. The timeline command merges the
// buffers of all daemons. docs/events.md is generated from the table in event.cc. Fields must never
// contain the text of a prompt, log or ordinance.

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/hlc.h"

namespace ebonylift {

enum class EventId : int {
  kStarted = 100,
  kReady = 101,
  kDrainStarted = 102,
  kStopped = 103,
  kSettingsRefused = 104,
  kThreadFailed = 105,
  kReloadRequested = 106,
  kLogLinesDropped = 107,
  kStartFailed = 108,
  kDescriptorConflict = 109,
  kEventLoopDelayed = 110,
  kEntryListLeft = 111,

  kRequestReceived = 200,
  kRequestDispatched = 201,
  kRequestAnswered = 202,
  kRequestRefused = 203,
  kRequestForwarded = 204,
  kAttemptFailed = 205,
  kAttemptRetried = 206,
  kCallerGone = 207,
  kStreamResumed = 208,
  kLateDataDropped = 209,
  kForwardRejected = 210,
  kResidencyViolationRefused = 211,
  kStreamTakenUp = 212,
  kKeysNotAccepted = 213,
  kKeysAccepted = 214,
  kLimitLeaseLost = 217,
  kLimitAllocatorChanged = 218,
  kLimitAllocationStarted = 219,
  kHedgeSent = 220,
  kHedgeWon = 221,
  kHedgeLost = 222,
  kHedgeFailed = 223,

  kServerAnnounced = 300,
  kServerExpired = 301,
  kServerLeaving = 302,
  kServerStaleAnnouncement = 303,
  kServerEjected = 304,
  kServerOrderSent = 305,
  kServerOrderRefused = 306,
  kServerOrderDone = 307,
  kServerOrderStuck = 308,
  kOrdererLeaseTaken = 309,
  kOrdererLeaseEnded = 310,
  kAnnouncementRefused = 311,
  kServersNotKept = 312,
  kServerLimitChanged = 313,
  kServerPaused = 314,
  kServersUnreachable = 315,
  kServersReached = 316,
  kServerBrittle = 317,
  kBrittleServerFull = 318,
  kBrittleServerHasRoom = 319,
  kServerSpeedChanged = 320,

  kHostAlive = 400,
  kHostSuspected = 401,
  kHostFailed = 402,
  kPeerConnected = 403,
  kPeerLoginRefused = 404,
  kPeerMessageRefused = 405,
  kHostFound = 406,
  kWorkCollectorChanged = 407,
  kCallersSentAway = 408,

  kConfigApplied = 500,
  kConfigRefused = 501,
  kConfigSnapshotLoaded = 502,
  kConfigCaughtUp = 503,
  kConfigRevisionHeard = 504,
  kConfigPullStarted = 505,
  kConfigPullFailed = 506,
  kConfigViewPublished = 507,
  kLeaderElected = 510,
  kLeaderSteppedDown = 511,
  kTermChanged = 512,
  kVoterChanged = 513,
  kVoterDiskLost = 514,
  kVoterConfirmed = 515,
  kVoterChangeStarted = 516,

  kJournalTornTail = 600,
  kJournalCorrupt = 601,
  kJournalWriteFailed = 602,
  kJournalTruncated = 603,
  kRecordClaimed = 610,
  kRecordReplayed = 611,
  kRecordRefused = 612,
  kRecordsRecovered = 613,
  kJobAccepted = 620,
  kJobFinished = 621,
  kJobCancelled = 622,
  kJobsRecovered = 623,

  kSuspectRecorded = 700,
  kPoisonCondemned = 701,
  kSuspectCleared = 702,
  kServerLossNotRecorded = 703,
  kCondemnedNotKept = 704,
};

struct EventInfo {
  EventId id;
  int number;
  const char* name;
  const char* meaning;
};

// Returns the table row of an event. Precondition: the id is in the table. Thread-safe.
const EventInfo& LookupEvent(EventId id);

// Returns all table rows. Thread-safe.
const std::vector<EventInfo>& AllEvents();

struct EventField {
  std::string name;
  std::string value;
};

struct Event {
  HlcStamp hlc = 0;
  EventId id = EventId::kStarted;
  std::string host;
  std::vector<EventField> fields;
};

// A bounded buffer of the most recent events; when it is full, the oldest event is removed.
// Thread-safe.
class EventRecord {
 public:
  static constexpr size_t kCapacity = 20'000;

  void Add(Event event);

  // Returns at most `limit` events with a timestamp greater than `since`, in the order in which
  // they were added. If `request_id` is not empty, returns only events whose field "request_id" or
  // "caller_request_id" has this value.
  std::vector<Event> Read(HlcStamp since, const std::string& request_id, size_t limit) const;

 private:
  mutable std::mutex mutex_;
  std::deque<Event> events_;
};

// The event buffer of this process, to which LogEvent() adds.
EventRecord& ProcessEvents();

// Sets the host name of the events that LogEvent() creates. Not thread-safe: call it once before
// other threads start.
void SetEventHost(const std::string& host);

// Buffers and logs an event. Field values longer than 256 bytes are truncated. Thread-safe.
void LogEvent(EventId id, std::initializer_list<EventField> fields);

// Numbers of log lines dropped since the process started, by cause.
struct LogDrops {
  uint64_t routine = 0;  // routine lines over their rate limit
  uint64_t notable = 0;  // notable lines over their rate limit
  uint64_t unread = 0;   // lines dropped because the reader of the output was too slow
  friend bool operator==(const LogDrops& a, const LogDrops& b) {
    return std::tie(a.routine, a.notable, a.unread) == std::tie(b.routine, b.notable, b.unread);
  }
};

// Returns the current counts of this process. Thread-safe.
LogDrops DroppedLines();

// Formats an event as one JSON object without a line feed. Its field "time" is the wall-clock time
// in milliseconds since 1970-01-01 UTC.
std::string EventToJson(const Event& event);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_EVENT_H_
