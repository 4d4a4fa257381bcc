#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ebonylift {
namespace {

constexpr double kDrainSmoothing = 0.1;  // weight of the newest interval between pops
constexpr std::array<TrafficClass, 3> kByPriority = {TrafficClass::kInteractive,
                                                     TrafficClass::kCheck, TrafficClass::kChapter};

size_t Index(TrafficClass traffic_class) { return static_cast<size_t>(traffic_class); }

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double value) {
  return Duration(static_cast<int64_t>(std::min(value, 1e9) * 1e6));
}

Duration BoundedRetry(Duration wait) { return std::clamp(wait, kRetryMin, kRetryMax); }

Duration DefaultRetry(ErrorKind kind) { return milliseconds(LookupError(kind).retry_after_ms); }

// Drops teams with nothing running that have sent nothing for a time in which the bucket of any
// team with more than one request in ten minutes has filled; they are created again with a full
// bucket.
void DropIdleTeams(Admission& admission, Time now) {
  constexpr Duration kIdle = seconds(600);
  for (auto it = admission.teams.begin(); it != admission.teams.end();) {
    bool idle = it->second.running == 0 && now - it->second.refilled_at > kIdle;
    it = idle ? admission.teams.erase(it) : std::next(it);
  }
}

double BucketSize(double rate) { return std::max(1.0, rate * kBurstSeconds); }

void Refill(TeamUse& use, double rate, Time now) {
  if (now > use.refilled_at) {
    use.tokens += rate * Seconds(now - use.refilled_at);
    use.refilled_at = now;
  }
  use.tokens = std::min(use.tokens, BucketSize(rate));
}

std::optional<Refusal> TakeToken(TeamUse& use, double rate, Time now) {
  if (rate <= 0) return std::nullopt;
  Refill(use, rate, now);
  if (use.tokens < 1) {
    return Refusal{ErrorKind::kRateLimited, BoundedRetry(FromSeconds((1 - use.tokens) / rate))};
  }
  use.tokens -= 1;
  return std::nullopt;
}

bool OverConcurrency(const TeamUse& use, int limit, int hosts) {
  if (limit <= 0) return false;
  return use.running >= std::max(1, limit / hosts);
}

TeamUse* FindOrAddTeam(Admission& admission, const TeamId& team, double rate, Time now) {
  auto found = admission.teams.find(team);
  if (found != admission.teams.end()) return &found->second;
  if (admission.teams.size() >= kMaxTeams) DropIdleTeams(admission, now);
  if (admission.teams.size() >= kMaxTeams) return nullptr;
  TeamUse& use = admission.teams[team];
  use.tokens = BucketSize(rate);
  use.refilled_at = now;
  return &use;
}

// Measures the drain rate only over intervals in which requests waited: the time between pops of an
// empty queue says how seldom requests arrive, not how fast they are served.
void MeasureDrain(Admission& admission, Time now) {
  if (admission.draining) {
    double interval = std::max(Seconds(now - admission.last_pop), 1e-6);
    double mean = admission.drain_per_s > 0 ? 1 / admission.drain_per_s : interval;
    mean = (1 - kDrainSmoothing) * mean + kDrainSmoothing * interval;
    admission.drain_per_s = 1 / mean;
  }
  admission.last_pop = now;
  admission.draining = QueueLength(admission) > 0;
}

QueuedRequest Take(Admission& admission, std::list<QueuedRequest>::iterator position) {
  QueuedRequest request = std::move(*position);
  admission.queues[Index(request.traffic_class)].erase(position);
  admission.queued.erase(request.id);
  admission.queued_bytes -= request.bytes;
  return request;
}

std::optional<QueuedRequest> PopClass(Admission& admission, TrafficClass traffic_class, Time now,
                                      const std::function<bool(const QueuedRequest&)>& can_run) {
  auto& queue = admission.queues[Index(traffic_class)];
  size_t offered = 0;
  for (auto it = queue.begin(); it != queue.end() && offered < kPopScan; ++it) {
    if (it->deadline <= now) continue;
    ++offered;
    if (!can_run || can_run(*it)) return Take(admission, it);
  }
  return std::nullopt;
}

}  // namespace

std::optional<Refusal> Admit(Admission& admission, const TeamId& team, const TeamLimits& limits,
                             int live_entry_hosts, Time now) {
  int hosts = std::max(live_entry_hosts, 1);
  double rate = limits.requests_per_s / hosts;
  TeamUse* use = FindOrAddTeam(admission, team, rate, now);
  if (use == nullptr) return Refusal{ErrorKind::kOverloaded, DefaultRetry(ErrorKind::kOverloaded)};
  // Concurrency first: a request refused for it must not use up a token.
  if (OverConcurrency(*use, limits.concurrency, hosts)) {
    return Refusal{ErrorKind::kRateLimited, DefaultRetry(ErrorKind::kRateLimited)};
  }
  if (auto refusal = TakeToken(*use, rate, now)) return refusal;
  ++use->running;
  return std::nullopt;
}

void Release(Admission& admission, const TeamId& team) {
  auto found = admission.teams.find(team);
  if (found != admission.teams.end() && found->second.running > 0) --found->second.running;
}

std::optional<Refusal> Enqueue(Admission& admission, QueuedRequest request, Time now) {
  if (request.deadline <= now) {
    return Refusal{ErrorKind::kDeadlineNotRun, DefaultRetry(ErrorKind::kDeadlineNotRun)};
  }
  auto& queue = admission.queues[Index(request.traffic_class)];
  Duration wait = ExpectedWait(admission, request.traffic_class);
  bool full = queue.size() >= kMaxQueued[Index(request.traffic_class)] ||
              admission.queued_bytes + request.bytes > kMaxQueuedBytes;
  if (full || now + wait > request.deadline) {
    Duration retry = wait > Duration::zero() ? wait : DefaultRetry(ErrorKind::kOverloaded);
    return Refusal{ErrorKind::kOverloaded, BoundedRetry(retry)};
  }
  if (!admission.draining) {
    admission.draining = true;
    admission.last_pop = now;
  }
  request.enqueued_at = now;
  admission.queued_bytes += request.bytes;
  queue.push_back(std::move(request));
  admission.queued[queue.back().id] = std::prev(queue.end());
  return std::nullopt;
}

std::optional<QueuedRequest> Pop(Admission& admission, Time now,
                                 const std::function<bool(const QueuedRequest&)>& can_run) {
  std::optional<QueuedRequest> popped;
  bool chapters_wait = !admission.queues[Index(TrafficClass::kChapter)].empty();
  if (IsChapterTurn(admission)) {
    popped = PopClass(admission, TrafficClass::kChapter, now, can_run);
  }
  for (TrafficClass each : kByPriority) {
    if (!popped) popped = PopClass(admission, each, now, can_run);
  }
  if (!popped) return std::nullopt;
  bool counts = chapters_wait && popped->traffic_class != TrafficClass::kChapter;
  admission.pops_since_chapter = counts ? admission.pops_since_chapter + 1 : 0;
  MeasureDrain(admission, now);
  return popped;
}

bool IsChapterTurn(const Admission& admission) {
  return !admission.queues[Index(TrafficClass::kChapter)].empty() &&
         admission.pops_since_chapter >= kChapterEvery - 1;
}

std::vector<QueuedRequest> Expire(Admission& admission, Time now) {
  std::vector<QueuedRequest> expired;
  for (auto& queue : admission.queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      auto position = it++;
      if (position->deadline <= now) expired.push_back(Take(admission, position));
    }
  }
  admission.draining = admission.draining && QueueLength(admission) > 0;
  return expired;
}

bool Remove(Admission& admission, const RequestId& id) {
  auto found = admission.queued.find(id);
  if (found == admission.queued.end()) return false;
  Take(admission, found->second);
  admission.draining = admission.draining && QueueLength(admission) > 0;
  return true;
}

size_t QueueLength(const Admission& admission) { return admission.queued.size(); }

// A class above the chapters also waits for their share of its own pops; the chapters wait for all
// others, but not longer than their share takes.
size_t QueuedAhead(const Admission& admission, TrafficClass traffic_class) {
  size_t ahead = 0;
  for (TrafficClass each : kByPriority) {
    ahead += admission.queues[Index(each)].size();
    if (each == traffic_class) break;
  }
  size_t chapters = admission.queues[Index(TrafficClass::kChapter)].size();
  if (traffic_class == TrafficClass::kChapter) {
    return std::min(ahead, (chapters + 1) * kChapterEvery);
  }
  return ahead + std::min(chapters, ahead / kChapterEvery);
}

Duration ExpectedWait(const Admission& admission, TrafficClass traffic_class) {
  if (admission.drain_per_s <= 0) return Duration::zero();
  size_t ahead = QueuedAhead(admission, traffic_class);
  return FromSeconds(static_cast<double>(ahead) / admission.drain_per_s);
}

}  // namespace ebonylift
