#ifndef EBONYLIFT_BASE_EVENT_H_
#define EBONYLIFT_BASE_EVENT_H_

// Numbered log events.
//
// LogEvent() writes one JSON line to standard output, within the rates of log_limit.h and without
// ever waiting (log_output.h), and keeps the event in the bounded record of this process, from
// which the time line of all processes is merged. docs/events.md is generated from the table in
// event.cc. Fields never carry the text of a prompt, log or ordinance.

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

  kHostAlive = 400,
  kHostSuspected = 401,
  kHostFailed = 402,
  kPeerConnected = 403,
  kPeerLoginRefused = 404,
  kPeerMessageRefused = 405,
  kHostFound = 406,

  kConfigApplied = 500,
  kConfigRefused = 501,
  kConfigSnapshotLoaded = 502,
  kConfigCaughtUp = 503,
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
};

struct EventInfo {
  EventId id;
  int number;
  const char* name;
  const char* meaning;
};

// The row of an event. Precondition: the id is in the table. Thread safe.
const EventInfo& LookupEvent(EventId id);
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

// The newest events of this process, oldest dropped first. Thread safe.
class EventRecord {
 public:
  static constexpr size_t kCapacity = 20'000;

  void Add(Event event);

  // Events with a stamp above `since` whose field `request_id` equals `request_id` (every event
  // when it is empty), oldest first, at most `limit`.
  std::vector<Event> Read(HlcStamp since, const std::string& request_id, size_t limit) const;

 private:
  mutable std::mutex mutex_;
  std::deque<Event> events_;
};

EventRecord& ProcessEvents();

// Sets the host name that LogEvent() writes. Call once before other threads start.
void SetEventHost(const std::string& host);

// Records and logs an event. Thread safe. Values are at most 256 bytes; longer ones are cut.
void LogEvent(EventId id, std::initializer_list<EventField> fields);

// Lines since the start that were not written.
struct LogDrops {
  uint64_t routine = 0;  // over their rate
  uint64_t notable = 0;  // over their rate
  uint64_t unread = 0;   // the reader of the output was too slow
  friend bool operator==(const LogDrops& a, const LogDrops& b) {
    return std::tie(a.routine, a.notable, a.unread) == std::tie(b.routine, b.notable, b.unread);
  }
};

// Thread safe.
LogDrops DroppedLines();

// One JSON object on one line. `time` is in wall milliseconds.
std::string EventToJson(const Event& event);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_EVENT_H_
