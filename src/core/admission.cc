#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ebonylift {
namespace {

constexpr double kDrainSmoothing = 0.1;  // weight of the newest sample
constexpr std::array<TrafficClass, 3> kClassesByPriority = {
    TrafficClass::kInteractive, TrafficClass::kCheck, TrafficClass::kChapter};

size_t ClassIndex(TrafficClass traffic_class) { return static_cast<size_t>(traffic_class); }

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double value) {
  return Duration(static_cast<int64_t>(std::min(value, 1e9) * 1e6));
}

Duration ClampRetry(Duration wait) {
  return std::clamp(wait, kMinAdmissionRetry, kMaxAdmissionRetry);
}

Duration DefaultRetryAfter(ErrorKind kind) {
  return milliseconds(LookupError(kind).retry_after_ms);
}

// Drops teams that have no request running and sent none for ten minutes. Any rate limit above one
// request in ten minutes has refilled its bucket in that time, so nothing is lost when the entry is
// created again with a full bucket.
void DropIdleTeams(Admission& admission, Time now) {
  constexpr Duration kIdleTime = seconds(600);
  for (auto it = admission.teams.begin(); it != admission.teams.end();) {
    bool idle = it->second.running == 0 && now - it->second.refilled_at > kIdleTime;
    it = idle ? admission.teams.erase(it) : std::next(it);
  }
}

double BucketSize(double rate) { return std::max(1.0, rate * kBurstSeconds); }

void Refill(TeamUsage& usage, double rate, Time now) {
  if (now > usage.refilled_at) {
    usage.tokens += rate * ToSeconds(now - usage.refilled_at);
    usage.refilled_at = now;
  }
  usage.tokens = std::min(usage.tokens, BucketSize(rate));
}

std::optional<Refusal> TakeToken(TeamUsage& usage, double rate, Time now) {
  if (rate <= 0) return std::nullopt;
  Refill(usage, rate, now);
  if (usage.tokens < 1) {
    return Refusal{ErrorKind::kRateLimited, ClampRetry(FromSeconds((1 - usage.tokens) / rate))};
  }
  usage.tokens -= 1;
  return std::nullopt;
}

bool AtConcurrencyLimit(const TeamUsage& usage, int limit, int hosts) {
  if (limit <= 0) return false;
  return usage.running >= std::max(1, limit / hosts);
}

TeamUsage* FindOrAddTeam(Admission& admission, const TeamId& team, double rate, Time now) {
  auto found = admission.teams.find(team);
  if (found != admission.teams.end()) return &found->second;
  if (admission.teams.size() >= kMaxTeams) DropIdleTeams(admission, now);
  if (admission.teams.size() >= kMaxTeams) return nullptr;
  TeamUsage& usage = admission.teams[team];
  usage.tokens = BucketSize(rate);
  usage.refilled_at = now;
  return &usage;
}

// Updates the drain rate after a request was dequeued. Counts only intervals in which requests
// waited: otherwise the interval reflects how rarely requests arrive, not how fast they are served.
void UpdateDrainRate(Admission& admission, Time now) {
  if (admission.measuring_drain) {
    double interval = std::max(ToSeconds(now - admission.drain_interval_start), 1e-6);
    double mean = admission.drain_rate_per_s > 0 ? 1 / admission.drain_rate_per_s : interval;
    mean = (1 - kDrainSmoothing) * mean + kDrainSmoothing * interval;
    admission.drain_rate_per_s = 1 / mean;
  }
  admission.drain_interval_start = now;
  admission.measuring_drain = QueueLength(admission) > 0;
}

QueuedRequest RemoveFromQueue(Admission& admission, std::list<QueuedRequest>::iterator position) {
  QueuedRequest request = std::move(*position);
  admission.queues[ClassIndex(request.traffic_class)].erase(position);
  admission.queued.erase(request.id);
  admission.queued_bytes -= request.bytes;
  return request;
}

std::optional<QueuedRequest> DequeueFromClass(
    Admission& admission, TrafficClass traffic_class, Time now,
    const std::function<bool(const QueuedRequest&)>& can_run) {
  auto& queue = admission.queues[ClassIndex(traffic_class)];
  size_t offered = 0;
  for (auto it = queue.begin(); it != queue.end() && offered < kMaxDequeueScan; ++it) {
    if (it->deadline <= now) continue;
    ++offered;
    if (!can_run || can_run(*it)) return RemoveFromQueue(admission, it);
  }
  return std::nullopt;
}

}  // namespace

std::optional<Refusal> Admit(Admission& admission, const TeamId& team, const TeamLimits& limits,
                             int live_entry_hosts, Time now) {
  int hosts = std::max(live_entry_hosts, 1);
  double rate = limits.requests_per_s / hosts;
  TeamUsage* usage = FindOrAddTeam(admission, team, rate, now);
  if (usage == nullptr)
    return Refusal{ErrorKind::kOverloaded, DefaultRetryAfter(ErrorKind::kOverloaded)};
  // Check concurrency first, because a request refused for it must not consume a token.
  if (AtConcurrencyLimit(*usage, limits.concurrency, hosts)) {
    return Refusal{ErrorKind::kRateLimited, DefaultRetryAfter(ErrorKind::kRateLimited)};
  }
  if (auto refusal = TakeToken(*usage, rate, now)) return refusal;
  ++usage->running;
  return std::nullopt;
}

void Release(Admission& admission, const TeamId& team) {
  auto found = admission.teams.find(team);
  if (found != admission.teams.end() && found->second.running > 0) --found->second.running;
}

std::optional<Refusal> Enqueue(Admission& admission, QueuedRequest request, Time now) {
  if (request.deadline <= now) {
    return Refusal{ErrorKind::kDeadlineNotRun, DefaultRetryAfter(ErrorKind::kDeadlineNotRun)};
  }
  auto& queue = admission.queues[ClassIndex(request.traffic_class)];
  Duration wait = ExpectedWait(admission, request.traffic_class);
  bool full = queue.size() >= kMaxQueued[ClassIndex(request.traffic_class)] ||
              admission.queued_bytes + request.bytes > kMaxQueuedBytes;
  if (full || now + wait > request.deadline) {
    Duration retry = wait > Duration::zero() ? wait : DefaultRetryAfter(ErrorKind::kOverloaded);
    return Refusal{ErrorKind::kOverloaded, ClampRetry(retry)};
  }
  if (!admission.measuring_drain) {
    admission.measuring_drain = true;
    admission.drain_interval_start = now;
  }
  request.enqueued_at = now;
  admission.queued_bytes += request.bytes;
  queue.push_back(std::move(request));
  admission.queued[queue.back().id] = std::prev(queue.end());
  return std::nullopt;
}

std::optional<QueuedRequest> Dequeue(Admission& admission, Time now,
                                     const std::function<bool(const QueuedRequest&)>& can_run) {
  std::optional<QueuedRequest> dequeued;
  bool chapters_wait = !admission.queues[ClassIndex(TrafficClass::kChapter)].empty();
  if (IsChapterTurn(admission)) {
    dequeued = DequeueFromClass(admission, TrafficClass::kChapter, now, can_run);
  }
  for (TrafficClass each : kClassesByPriority) {
    if (!dequeued) dequeued = DequeueFromClass(admission, each, now, can_run);
  }
  if (!dequeued) return std::nullopt;
  bool counts = chapters_wait && dequeued->traffic_class != TrafficClass::kChapter;
  admission.dequeues_since_chapter = counts ? admission.dequeues_since_chapter + 1 : 0;
  UpdateDrainRate(admission, now);
  return dequeued;
}

bool IsChapterTurn(const Admission& admission) {
  return !admission.queues[ClassIndex(TrafficClass::kChapter)].empty() &&
         admission.dequeues_since_chapter >= kDequeuesPerChapter - 1;
}

std::vector<QueuedRequest> Expire(Admission& admission, Time now) {
  std::vector<QueuedRequest> expired;
  for (auto& queue : admission.queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      auto position = it++;
      if (position->deadline <= now) expired.push_back(RemoveFromQueue(admission, position));
    }
  }
  admission.measuring_drain = admission.measuring_drain && QueueLength(admission) > 0;
  return expired;
}

bool Remove(Admission& admission, const QueueId& id) {
  auto found = admission.queued.find(id);
  if (found == admission.queued.end()) return false;
  RemoveFromQueue(admission, found->second);
  admission.measuring_drain = admission.measuring_drain && QueueLength(admission) > 0;
  return true;
}

size_t QueueLength(const Admission& admission) { return admission.queued.size(); }

// Interactive and check requests also wait for the chapters dequeued in between. A chapter
// waits for all other requests, but no longer than it takes until its guaranteed share reaches it.
size_t QueuedAhead(const Admission& admission, TrafficClass traffic_class) {
  size_t ahead = 0;
  for (TrafficClass each : kClassesByPriority) {
    ahead += admission.queues[ClassIndex(each)].size();
    if (each == traffic_class) break;
  }
  size_t chapters = admission.queues[ClassIndex(TrafficClass::kChapter)].size();
  if (traffic_class == TrafficClass::kChapter) {
    return std::min(ahead, (chapters + 1) * kDequeuesPerChapter);
  }
  return ahead + std::min(chapters, ahead / kDequeuesPerChapter);
}

Duration ExpectedWait(const Admission& admission, TrafficClass traffic_class) {
  if (admission.drain_rate_per_s <= 0) return Duration::zero();
  size_t ahead = QueuedAhead(admission, traffic_class);
  return FromSeconds(static_cast<double>(ahead) / admission.drain_rate_per_s);
}

}  // namespace ebonylift
