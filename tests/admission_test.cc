#define BOOST_TEST_MODULE admission
#include "core/admission.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <random>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
const Time kNow(seconds(1'000));
const TeamId kTeam("rocha");

TeamLimits MakeLimits(double requests_per_s, int concurrency) {
  TeamLimits limits;
  limits.requests_per_s = requests_per_s;
  limits.concurrency = concurrency;
  return limits;
}

QueuedRequest MakeRequest(const std::string& id, TrafficClass traffic_class,
                          Duration time_left = seconds(60)) {
  QueuedRequest request;
  request.id = QueueId(id);
  request.team = kTeam;
  request.traffic_class = traffic_class;
  request.served = "m";
  request.bytes = 100;
  request.deadline = kNow + time_left;
  return request;
}

std::string PopId(Admission& admission, Time now = kNow) {
  auto dequeued = Dequeue(admission, now);
  return dequeued ? dequeued->id.value() : "";
}

constexpr TrafficClass kInteractive = TrafficClass::kInteractive;
constexpr TrafficClass kCheck = TrafficClass::kCheck;
constexpr TrafficClass kChapter = TrafficClass::kChapter;

}  // namespace

// Guards against a region whose hosts together admit more than the team's rate, or much less.
BOOST_AUTO_TEST_CASE(HostsShareTheRateLimit) {
  struct Row {
    double rate;
    int hosts;
  };
  for (const Row& row : std::vector<Row>{{100, 1}, {100, 7}, {5, 7}, {1'000, 6}, {10, 0}}) {
    constexpr int kSeconds = 100;
    double admitted = 0;
    for (int host = 0; host < std::max(row.hosts, 1); ++host) {
      Admission admission;
      for (int ms = 0; ms < kSeconds * 1'000; ms += 2) {
        Time now = kNow + milliseconds(ms);
        if (Admit(admission, kTeam, MakeLimits(row.rate, 0), row.hosts, now)) continue;
        Release(admission, kTeam);
        ++admitted;
      }
    }
    double burst = std::max(1.0, row.rate / std::max(row.hosts, 1)) * std::max(row.hosts, 1);
    BOOST_TEST(admitted <= row.rate * kSeconds + burst, row.rate << "/s, hosts " << row.hosts);
    BOOST_TEST(admitted >= row.rate * kSeconds * 0.98, row.rate << "/s, hosts " << row.hosts);
  }
}

// Guards against a retry time that is too short, so that the request is refused again, or longer
// than necessary.
BOOST_AUTO_TEST_CASE(RateLimitRetryAfterIsAccurate) {
  for (double rate : {0.5, 2.0, 5.0}) {
    Admission admission;
    TeamLimits limits = MakeLimits(rate, 0);
    std::optional<Refusal> refusal;
    while (!(refusal = Admit(admission, kTeam, limits, 1, kNow))) {
    }
    BOOST_TEST((refusal->error == ErrorKind::kRateLimited));
    Time too_early = kNow + refusal->retry_after - milliseconds(10);
    BOOST_TEST(Admit(admission, kTeam, limits, 1, too_early).has_value(), rate);
    Time on_time = kNow + refusal->retry_after + milliseconds(1);
    BOOST_TEST(!Admit(admission, kTeam, limits, 1, on_time).has_value(), rate);
  }
}

// Guards against exceeding the concurrency limit, against slots that are never released, and
// against refusals by the limit that consume rate tokens.
BOOST_AUTO_TEST_CASE(HostsShareTheConcurrencyLimit) {
  struct Row {
    int limit;
    int hosts;
    int expected;
  };
  for (const Row& row : std::vector<Row>{{12, 6, 2}, {12, 1, 12}, {3, 7, 1}, {0, 7, 50}}) {
    Admission admission;
    int admitted = 0;
    for (int i = 0; i < 50; ++i) {
      if (!Admit(admission, kTeam, MakeLimits(0, row.limit), row.hosts, kNow)) ++admitted;
    }
    BOOST_TEST(admitted == row.expected);
    Release(admission, kTeam);
    BOOST_TEST(!Admit(admission, kTeam, MakeLimits(0, row.limit), row.hosts, kNow).has_value());
  }
  Admission admission;
  BOOST_TEST(!Admit(admission, kTeam, MakeLimits(2, 1), 1, kNow).has_value());
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Admit(admission, kTeam, MakeLimits(2, 1), 1, kNow).has_value());
  }
  Release(admission, kTeam);
  BOOST_TEST(!Admit(admission, kTeam, MakeLimits(2, 1), 1, kNow).has_value(),
             "the refusals consumed no token");
}

// Guards against memory that grows with the number of team names, and against a full table that is
// never cleaned up.
BOOST_AUTO_TEST_CASE(TeamTableIsBounded) {
  Admission admission;
  for (size_t i = 0; i < kMaxTeams; ++i) {
    TeamId team(std::to_string(i));
    BOOST_TEST_REQUIRE(!Admit(admission, team, MakeLimits(1, 1), 1, kNow).has_value());
    if (i > 0) Release(admission, team);
  }
  auto refusal = Admit(admission, TeamId("more"), MakeLimits(1, 1), 1, kNow);
  BOOST_TEST((refusal && refusal->error == ErrorKind::kOverloaded));
  Time later = kNow + seconds(3'600);
  BOOST_TEST(!Admit(admission, TeamId("more"), MakeLimits(1, 1), 1, later).has_value());
  BOOST_TEST(admission.teams.size() == 2u, "the team with a running request is kept");
}

// Guards against a class that is served before a higher one, and against starvation of chapters.
BOOST_AUTO_TEST_CASE(HigherClassesFirstButChaptersNotStarved) {
  Admission admission;
  BOOST_TEST(!Enqueue(admission, MakeRequest("chapter", kChapter), kNow).has_value());
  BOOST_TEST(!Enqueue(admission, MakeRequest("check", kCheck), kNow).has_value());
  BOOST_TEST(!Enqueue(admission, MakeRequest("interactive", kInteractive), kNow).has_value());
  BOOST_TEST(!Enqueue(admission, MakeRequest("interactive2", kInteractive), kNow).has_value());
  for (const char* expected : {"interactive", "interactive2", "check", "chapter", ""}) {
    BOOST_TEST(PopId(admission) == expected);
  }

  std::map<TrafficClass, int> dequeued;
  for (int i = 0; i < 320; ++i) {
    for (TrafficClass each : {kInteractive, kCheck, kChapter}) {
      Enqueue(admission,
              MakeRequest(std::to_string(i) + TrafficClassName(each), each, seconds(100'000)),
              kNow);
    }
    auto request = Dequeue(admission, kNow + milliseconds(i));
    ++dequeued[request->traffic_class];
  }
  BOOST_TEST(dequeued[kChapter] == 320 / kDequeuesPerChapter);
  BOOST_TEST(dequeued[kCheck] == 0);
}

// Guards against requests for a model without servers that block requests for other models.
BOOST_AUTO_TEST_CASE(PopSkipsRequestsThatCannotRun) {
  Admission admission;
  QueuedRequest blocked = MakeRequest("blocked", kInteractive);
  blocked.served = "n";
  Enqueue(admission, blocked, kNow);
  Enqueue(admission, MakeRequest("free", kChapter), kNow);
  auto can_run = [](const QueuedRequest& request) { return request.served == "m"; };
  auto dequeued = Dequeue(admission, kNow, can_run);
  BOOST_REQUIRE(dequeued.has_value());
  BOOST_TEST(dequeued->id.value() == "free");
  BOOST_TEST(!Dequeue(admission, kNow, can_run).has_value());
  BOOST_TEST(PopId(admission) == "blocked");
}

// Guards against a queue that grows without bound.
BOOST_AUTO_TEST_CASE(QueueIsBounded) {
  for (TrafficClass each : {kInteractive, kCheck, kChapter}) {
    Admission admission;
    size_t limit = kMaxQueued[static_cast<size_t>(each)];
    for (size_t i = 0; i < limit; ++i) {
      BOOST_TEST_REQUIRE(
          !Enqueue(admission, MakeRequest(std::to_string(i), each), kNow).has_value());
    }
    auto refusal = Enqueue(admission, MakeRequest("more", each), kNow);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->error == ErrorKind::kOverloaded));
    BOOST_TEST(refusal->retry_after.count() > 0);
    BOOST_TEST(QueueLength(admission) == limit);
  }
  Admission admission;
  QueuedRequest large = MakeRequest("large", kChapter);
  large.bytes = kMaxQueuedBytes;
  BOOST_TEST(!Enqueue(admission, large, kNow).has_value());
  BOOST_TEST(Enqueue(admission, MakeRequest("small", kChapter), kNow).has_value());
  BOOST_TEST(Remove(admission, QueueId("large")));
  BOOST_TEST(!Remove(admission, QueueId("large")));
  BOOST_TEST(admission.queued_bytes == 0u);
  BOOST_TEST(!Enqueue(admission, MakeRequest("small", kChapter), kNow).has_value());
}

// Guards against queueing a request that will miss its deadline, and against a retry time that
// differs from the time to drain the queue.
BOOST_AUTO_TEST_CASE(EarlyRefusalMatchesDrainRate) {
  Admission admission;
  Time now = kNow;
  int next = 0;
  auto add = [&](Duration time_left) {
    QueuedRequest request = MakeRequest(std::to_string(next++), kInteractive);
    request.deadline = now + time_left;
    return Enqueue(admission, request, now);
  };
  for (int i = 0; i < 200; ++i) BOOST_TEST_REQUIRE(!add(seconds(600)).has_value());
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    Dequeue(admission, now);
  }
  BOOST_TEST(std::abs(admission.drain_rate_per_s - 10) < 0.5);
  // 100 requests at 10 per second drain in 10 s.
  auto refusal = add(seconds(8));
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->error == ErrorKind::kOverloaded));
  BOOST_TEST(std::abs(ToMillis(refusal->retry_after) - 10'000) < 500);
  BOOST_TEST(!add(seconds(12)).has_value());
  auto past_deadline = add(seconds(0));
  BOOST_REQUIRE(past_deadline.has_value());
  BOOST_TEST((past_deadline->error == ErrorKind::kDeadlineNotRun));

  // Idle time does not lower the drain rate.
  while (Dequeue(admission, now)) now += milliseconds(100);
  double before = admission.drain_rate_per_s;
  now += seconds(3'600);
  BOOST_TEST(!add(seconds(5)).has_value());
  now += milliseconds(100);
  BOOST_TEST(Dequeue(admission, now).has_value());
  BOOST_TEST(std::abs(admission.drain_rate_per_s - before) < 0.5);
}

// Guards against a request that leaves the queue twice or never, and against counters that drift.
// Compares random operations with a reference model based on plain vectors.
BOOST_AUTO_TEST_CASE(RandomOperationsMatchReferenceModel) {
  std::mt19937_64 rng(kSeed);
  for (int round = 0; round < 200; ++round) {
    Admission admission;
    std::vector<QueuedRequest> reference;
    int since_chapter = 0;
    int next = 0;
    Time now = kNow;
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(rng() % 50);
      switch (rng() % 5) {
        case 0:
        case 1: {
          QueuedRequest request =
              MakeRequest(std::to_string(next++), static_cast<TrafficClass>(rng() % 3));
          request.deadline = now + seconds(1 + rng() % 5);
          if (!Enqueue(admission, request, now)) reference.push_back(request);
          break;
        }
        case 2: {
          bool chapters = std::any_of(reference.begin(), reference.end(),
                                      [](const auto& r) { return r.traffic_class == kChapter; });
          std::vector<TrafficClass> order = {kInteractive, kCheck, kChapter};
          if (chapters && since_chapter >= kDequeuesPerChapter - 1)
            order.insert(order.begin(), kChapter);
          auto expected = reference.end();
          for (TrafficClass each : order) {
            if (expected != reference.end()) break;
            expected = std::find_if(reference.begin(), reference.end(), [&](const auto& r) {
              return r.traffic_class == each && r.deadline > now;
            });
          }
          auto dequeued = Dequeue(admission, now);
          BOOST_TEST_REQUIRE(dequeued.has_value() == (expected != reference.end()));
          if (!dequeued) break;
          BOOST_TEST_REQUIRE((dequeued->id == expected->id));
          bool counts = chapters && dequeued->traffic_class != kChapter;
          since_chapter = counts ? since_chapter + 1 : 0;
          reference.erase(expected);
          break;
        }
        case 3: {
          size_t expired = Expire(admission, now).size();
          size_t before = reference.size();
          reference.erase(std::remove_if(reference.begin(), reference.end(),
                                         [&](const auto& r) { return r.deadline <= now; }),
                          reference.end());
          BOOST_TEST_REQUIRE(expired == before - reference.size());
          break;
        }
        default: {
          QueueId id(std::to_string(rng() % (next + 1)));
          auto found = std::find_if(reference.begin(), reference.end(),
                                    [&](const auto& r) { return r.id == id; });
          BOOST_TEST_REQUIRE(Remove(admission, id) == (found != reference.end()));
          if (found != reference.end()) reference.erase(found);
        }
      }
      BOOST_TEST_REQUIRE(QueueLength(admission) == reference.size());
      BOOST_TEST_REQUIRE(admission.queued_bytes == 100 * reference.size());
    }
  }
}

}  // namespace ebonylift
