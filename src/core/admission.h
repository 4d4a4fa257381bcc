#ifndef EBONYLIFT_CORE_ADMISSION_H_
#define EBONYLIFT_CORE_ADMISSION_H_

// Per-team rate and concurrency limits, and bounded queues of requests that wait for a server.
//
// Contract:
// - Admit() takes one rate token and one concurrency slot of the team, or returns a refusal with a
//   retry time. Each live entry host of a region enforces an equal share of the team's limits, so
//   that the region as a whole stays within them. Each host allows at least one concurrent request.
// - The caller must call Release() exactly once for each admitted request, whether or not it was
//   queued.
// - Dequeue() serves the classes in the order interactive, check, chapter. While chapters wait,
//   one in kDequeuesPerChapter dequeued requests is a chapter, which prevents their starvation.
// - Enqueue() refuses a request at once if its expected wait exceeds its deadline. The retry time
//   follows from the measured drain rate.
// - A queued request leaves the queue by exactly one of Dequeue(), Expire() and Remove().
//
// Not thread safe: the caller must serialise all calls on one Admission. The functions throw no
// errors. Memory: up to kMaxQueued requests per class, with bodies of kMaxQueuedBytes in total, and
// up to kMaxTeams team entries. Idle entries are dropped when the table is full.

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr std::array<size_t, 3> kMaxQueued = {1'000, 1'000, 4'000};  // by TrafficClass
constexpr size_t kMaxQueuedBytes = 64u << 20;
constexpr size_t kMaxTeams = 65'536;
constexpr int kDequeuesPerChapter = 16;
// Requests of one class that one Dequeue() offers to `can_run`.
constexpr size_t kMaxDequeueScan = 64;
constexpr Duration kMinAdmissionRetry = milliseconds(100);
constexpr Duration kMaxAdmissionRetry = seconds(30);
// Token bucket size in seconds of the rate. A bucket holds at least one token.
constexpr double kBurstSeconds = 1.0;

struct TeamUsage {
  double tokens = 0;
  Time refilled_at;
  int running = 0;  // admitted and not yet released
};

// A place in the queues. A RequestId is not unique there: another host may forward a request to
// this host again before this host has noticed the end of the first connection.
using QueueId = Id<struct QueueTag>;

struct QueuedRequest {
  QueueId id;
  TeamId team;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  std::string served;  // model or service name, for the `can_run` of Dequeue()
  size_t bytes = 0;    // size of the body
  Time deadline;
  Time enqueued_at;  // set by Enqueue()
};

struct Admission {
  std::unordered_map<TeamId, TeamUsage> teams;
  std::array<std::list<QueuedRequest>, 3> queues;  // by TrafficClass, oldest first
  std::unordered_map<QueueId, std::list<QueuedRequest>::iterator> queued;
  size_t queued_bytes = 0;
  int dequeues_since_chapter = 0;
  double drain_rate_per_s = 0;   // smoothed dequeues/s while requests wait; 0: unknown
  Time drain_interval_start;     // the last dequeue, or the first enqueue into empty queues
  bool measuring_drain = false;  // requests have waited since drain_interval_start
};

// Why a request was not admitted or queued, and after which time a retry may succeed. The request
// has not run (Run::kNotRun).
struct Refusal {
  ErrorKind error = ErrorKind::kOverloaded;
  Duration retry_after{0};
};

// Returns std::nullopt on success. `live_entry_hosts` includes this host. Values below 1 are
// treated as 1.
std::optional<Refusal> Admit(Admission& admission, const TeamId& team, const TeamLimits& limits,
                             int live_entry_hosts, Time now);
void Release(Admission& admission, const TeamId& team);

// Returns std::nullopt on success. Refuses with kOverloaded if the queue of the class or the byte
// limit is full or the expected wait ends after the deadline, and with kDeadlineNotRun if the
// deadline has passed. Precondition: the id is not queued.
std::optional<Refusal> Enqueue(Admission& admission, QueuedRequest request, Time now);

// Removes and returns the first request that `can_run` accepts, by class and then by age. An empty
// `can_run` accepts every request. A request that cannot run does not block those behind it: up to
// kMaxDequeueScan requests of each class are offered. Skips requests past their deadline, which are
// left for Expire().
std::optional<QueuedRequest> Dequeue(Admission& admission, Time now,
                                     const std::function<bool(const QueuedRequest&)>& can_run = {});

// True if the next Dequeue() offers chapters before the other classes.
bool IsChapterTurn(const Admission& admission);

// Removes and returns the requests whose deadline has passed. The caller must answer each of them,
// with kDeadlineNotRun if the deadline is that of the request itself.
std::vector<QueuedRequest> Expire(Admission& admission, Time now);

// Removes a request whose caller disconnected. Returns false if it is not queued.
bool Remove(Admission& admission, const QueueId& id);

// The number of requests in all queues.
size_t QueueLength(const Admission& admission);

// The number of queued requests that are served before a new one of this class.
size_t QueuedAhead(const Admission& admission, TrafficClass traffic_class);

// The expected wait of a new request of this class. 0 while the drain rate is unknown.
Duration ExpectedWait(const Admission& admission, TrafficClass traffic_class);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ADMISSION_H_
