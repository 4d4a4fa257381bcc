#ifndef EBONYLIFT_CORE_ADMISSION_H_
#define EBONYLIFT_CORE_ADMISSION_H_

// Limits of teams and the bounded queues of waiting requests.
//
// Contract:
// - Admit() takes one token and one concurrency slot of the team or says when to come back. The
//   team's limits are divided by the number of live entry hosts of the region, so that the region
//   as a whole keeps to them; each host allows at least one concurrent request.
// - Each admitted request is released with Release() exactly once, also when it was queued.
// - Pop() serves interactive before check before chapter; while chapters wait, one of
//   kChapterEvery pops is a chapter.
// - A request whose expected wait exceeds its deadline is refused at once, with a retry time from
//   the measured drain rate.
// - A queued request leaves by exactly one of Pop(), Expire() and Remove().
//
// Not thread safe: the caller serialises all calls on one Admission. No errors are thrown.
// Memory: kMaxQueued requests per class and kMaxQueuedBytes of bodies together; kMaxTeams team
// rows, of which idle ones are dropped when the map is full.

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
constexpr int kPopsPerChapter = 16;
constexpr size_t kMaxPopScan = 64;  // entries of one class that Pop() offers to its predicate
constexpr Duration kMinAdmissionRetry = milliseconds(100);
constexpr Duration kMaxAdmissionRetry = seconds(30);
constexpr double kBurstSeconds = 1.0;  // bucket size in seconds of the rate, at least one token

struct TeamUsage {
  double tokens = 0;
  Time refilled_at;
  int running = 0;  // admitted and not released
};

struct QueuedRequest {
  RequestId id;
  TeamId team;
  TrafficClass traffic_class = TrafficClass::kInteractive;
  std::string served;  // model or service, for the caller's predicate
  size_t bytes = 0;    // of the body
  Time deadline;
  Time enqueued_at;  // set by Enqueue()
};

struct Admission {
  std::unordered_map<TeamId, TeamUsage> teams;
  std::array<std::list<QueuedRequest>, 3> queues;  // by TrafficClass, oldest first
  std::unordered_map<RequestId, std::list<QueuedRequest>::iterator> queued;
  size_t queued_bytes = 0;
  int pops_since_chapter = 0;
  double drain_rate_per_s = 0;   // smoothed pops per second while requests waited; 0: unknown
  Time drain_interval_start;     // start of the current interval
  bool measuring_drain = false;  // requests have waited since last_pop
};

// std::nullopt on success; otherwise the refusal (always kNotRun) and when a resend may succeed.
struct Refusal {
  ErrorKind error = ErrorKind::kOverloaded;
  Duration retry_after{0};
};

// Precondition: live_entry_hosts counts this host; values below 1 are taken as 1.
std::optional<Refusal> Admit(Admission& admission, const TeamId& team, const TeamLimits& limits,
                             int live_entry_hosts, Time now);
void Release(Admission& admission, const TeamId& team);

// Precondition: the id is not queued. kOverloaded when the class or the byte bound is full or the
// expected wait ends after the deadline; kDeadlineNotRun when the deadline has passed.
std::optional<Refusal> Enqueue(Admission& admission, QueuedRequest request, Time now);

// The next request that `can_run` accepts, in order of priority and age; requests past their
// deadline are left for Expire(). The default accepts all. Within a class, an entry that cannot run
// now does not hold up the next kPopScan entries.
std::optional<QueuedRequest> Pop(Admission& admission, Time now,
                                 const std::function<bool(const QueuedRequest&)>& can_run = {});

// True when the next Pop() offers a chapter first.
bool IsChapterTurn(const Admission& admission);

// Removes and returns the requests whose deadline has passed; answer them with kDeadlineNotRun.
std::vector<QueuedRequest> Expire(Admission& admission, Time now);

// Removes a request whose caller has gone. False when it is not queued.
bool Remove(Admission& admission, const RequestId& id);

// Requests in all queues.
size_t QueueLength(const Admission& admission);

// Requests that are served before a new one of this class.
size_t QueuedAhead(const Admission& admission, TrafficClass traffic_class);

// The expected wait of a new request of this class; 0 while the drain rate is unknown.
Duration ExpectedWait(const Admission& admission, TrafficClass traffic_class);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ADMISSION_H_
