#define BOOST_TEST_MODULE limit_shares
#include "core/limit_shares.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "core/limit_allocator.h"

namespace ebonylift {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kFarDelay = milliseconds(55);  // one way, between regions
constexpr Duration kRetry = milliseconds(20);
constexpr int kBinsPerSecond = 10;
constexpr int kWindowBins = 8 * kBinsPerSecond;
constexpr Duration kElection = seconds(3);
const Time kStart(seconds(1'000'000));
const WorkspaceId kWorkspace("w");

struct Request {
  double cost = 0;
  Time arrived;
  Time retry_at;
};

struct Host {
  LimitShares shares;
  std::deque<Request> waiting;
  Duration delay = kFarDelay;
  bool cut = false;     // no message passes
  bool frozen = false;  // the process does not run; its callers wait
  double due = 0;       // demand that has not become a request yet
};

struct Message {
  Time at;
  std::function<void()> deliver;
};

// Hosts with callers of one workspace, and the allocator among the control hosts.
struct Fleet {
  Fleet(int count, double mean_cost, LimitTolerance tolerance) : mean_cost(mean_cost) {
    hosts.resize(static_cast<size_t>(count));
    limit.per_s = 100'000;
    limit.burst = 200'000;
    limit.unit = LimitUnit::kTokens;
    for (size_t i = 0; i < hosts.size(); ++i) {
      hosts[i].shares.hosts = static_cast<uint32_t>(count);
      hosts[i].shares.tolerance = tolerance;
      hosts[i].shares.seed = i * 7919;
      if (i % 3 == 0) hosts[i].delay = milliseconds(1);
    }
    allocator.tolerance = tolerance;
  }

  HostId Id(size_t i) const { return HostId("h" + std::to_string(i)); }

  void Send(size_t i, const LimitAsk& ask) {
    Host& host = hosts[i];
    Time sent = now;
    std::string bytes = EncodeLimitAsk(ask);
    ++messages;
    sent_bytes += bytes.size();
    if (host.cut) return;
    Post(host.delay, [this, i, bytes, sent] {
      if (!leader || hosts[i].cut) return;
      LimitAnswer answer = AllocateLimits(&allocator, Id(i), *DecodeLimitAsk(bytes), now);
      std::string reply = EncodeLimitAnswer(answer);
      Post(hosts[i].delay, [this, i, reply, sent] {
        // A frozen process reads the answer when it runs again.
        if (hosts[i].cut) return;
        if (!hosts[i].frozen) {
          OnLimitAnswer(&hosts[i].shares, *DecodeLimitAnswer(reply), sent, now);
        }
      });
    });
  }

  void Post(Duration delay, std::function<void()> fn) { queue.emplace(now + delay, std::move(fn)); }

  void Decide(Host* host, Request request, bool first) {
    LimitVerdict verdict =
        AdmitToLimit(&host->shares, kWorkspace, limit, request.cost, request.arrived, first, now);
    if (verdict.decision == LimitDecision::kWait) {
      request.retry_at = now + kRetry;
      host->waiting.push_back(request);
    } else if (verdict.decision == LimitDecision::kAdmitted) {
      admitted.back() += request.cost;
    } else {
      max_wait = std::max(max_wait, now - request.arrived);
    }
  }

  void Serve(size_t i) {
    Host& host = hosts[i];
    double demand = offered(i, now - kStart) * std::chrono::duration<double>(kStep).count();
    host.due += std::poisson_distribution<int>(demand / mean_cost)(rng) * mean_cost;
    if (host.frozen) return;
    size_t waiting = host.waiting.size();
    for (size_t n = 0; n < waiting; ++n) {
      Request request = host.waiting.front();
      host.waiting.pop_front();
      if (now < request.retry_at) {
        host.waiting.push_back(request);
      } else {
        Decide(&host, request, false);
      }
    }
    for (; host.due >= mean_cost; host.due -= mean_cost) {
      offered_work.back() += mean_cost;
      Decide(&host, {mean_cost, now, now}, true);
    }
    if (std::optional<LimitAsk> ask = TakeLimitAsk(&host.shares, now)) Send(i, *ask);
  }

  void Run(Duration duration) {
    for (Time end = now + duration; now < end; now += kStep) {
      auto bin = static_cast<size_t>((now - kStart) * kBinsPerSecond / Duration(seconds(1)));
      if (admitted.size() <= bin) admitted.resize(bin + 1);
      if (offered_work.size() <= bin) offered_work.resize(bin + 1);
      while (!queue.empty() && queue.begin()->first <= now) {
        std::function<void()> fn = std::move(queue.begin()->second);
        queue.erase(queue.begin());
        fn();
      }
      TickLimitAllocator(&allocator, leader, now);
      for (size_t i = 0; i < hosts.size(); ++i) Serve(i);
      max_shares = std::max(max_shares, SharesInUse());
    }
  }

  double SharesInUse() const {
    double sum = 0;
    for (const Host& host : hosts) {
      for (const auto& [id, share] : host.shares.workspaces) {
        if (!host.frozen && share.leased && now < share.expires) sum += share.share;
      }
    }
    return sum;
  }

  void ChangeLeader() {
    leader = false;
    Run(kElection);
    leader = true;
  }

  static double Sum(const std::vector<double>& work, size_t from, size_t to) {
    double sum = 0;
    for (size_t i = from; i < std::min(to, work.size()); ++i) sum += work[i];
    return sum;
  }
  size_t Bin() const { return admitted.size(); }

  // The most work admitted in a window that starts at or after `from`, relative to the bound.
  double WorstWindow(size_t from = 0) const {
    double bound = limit.per_s * 8 * (1 + allocator.tolerance.overshoot) + limit.burst +
                   allocator.tolerance.slack;
    double worst = 0;
    for (size_t i = from; i < admitted.size(); ++i) {
      worst = std::max(worst, Sum(admitted, i, i + kWindowBins) / bound);
    }
    return worst;
  }

  // Admitted work since `from`, relative to what the limit and the demand allow.
  double Used(size_t from) const {
    double seconds = static_cast<double>(Bin() - from) / kBinsPerSecond;
    double allowed = std::min(limit.per_s * seconds, Sum(offered_work, from, Bin()));
    return Sum(admitted, from, Bin()) / allowed;
  }

  double mean_cost;
  WorkspaceLimit limit;
  std::vector<Host> hosts;
  LimitAllocator allocator;
  bool leader = true;
  std::multimap<Time, std::function<void()>> queue;
  std::function<double(size_t host, Duration since)> offered;  // per second
  std::vector<double> admitted;                                // by tenth of a second
  std::vector<double> offered_work;
  Duration max_wait{0};
  double max_shares = 0;
  uint64_t messages = 0;
  uint64_t sent_bytes = 0;
  std::mt19937_64 rng{7};
  Time now = kStart;
};

enum class Shape { kEven, kSkewed, kMoving };

void SetDemand(Fleet* fleet, Shape shape, double factor) {
  double total = fleet->limit.per_s * factor;
  size_t count = fleet->hosts.size();
  double harmonic = 0;
  for (size_t i = 0; i < count; ++i) harmonic += 1.0 / static_cast<double>(i + 1);
  fleet->offered = [=](size_t host, Duration since) {
    if (shape == Shape::kEven) return total / static_cast<double>(count);
    if (shape == Shape::kSkewed) return total / static_cast<double>(host + 1) / harmonic;
    constexpr Duration kStay = seconds(10);
    return host == static_cast<size_t>(since / kStay) * 7 % count ? total : 0.0;
  };
}

const LimitTolerance kTolerance{0.1, 0};

struct Case {
  int hosts;
  Shape shape;
  double factor;  // demand relative to the limit
  double cost;
  LimitTolerance tolerance;
};

// Guards against refusals within the limit, and against work above it, with hosts that are all
// connected.
BOOST_AUTO_TEST_CASE(LimitIsUsedAndKept) {
  const LimitTolerance strict{0, 0};
  const LimitTolerance slack{0.1, 140'000};
  const std::vector<Case> cases = {
      {1, Shape::kEven, 2, 1000, kTolerance},      {1, Shape::kEven, 0.8, 1000, strict},
      {10, Shape::kEven, 2, 1000, kTolerance},     {10, Shape::kSkewed, 0.8, 1000, strict},
      {10, Shape::kMoving, 0.7, 1000, kTolerance}, {70, Shape::kEven, 2, 100, kTolerance},
      {70, Shape::kSkewed, 3, 100, strict},        {70, Shape::kSkewed, 0.8, 100, strict},
      {70, Shape::kMoving, 0.7, 100, kTolerance},  {70, Shape::kEven, 2, 2000, kTolerance},
      {70, Shape::kEven, 0.8, 2000, slack},        {70, Shape::kSkewed, 2, 2000, slack},
      {370, Shape::kEven, 2, 1000, kTolerance},    {370, Shape::kSkewed, 0.8, 1000, kTolerance},
      {370, Shape::kMoving, 0.7, 1000, kTolerance}};
  for (const Case& c : cases) {
    Fleet fleet(c.hosts, c.cost, c.tolerance);
    SetDemand(&fleet, c.shape, c.factor);
    fleet.Run(seconds(10));
    size_t from = fleet.Bin();
    fleet.Run(seconds(30));
    BOOST_TEST_MESSAGE(c.hosts << " hosts, shape " << static_cast<int>(c.shape) << ", demand "
                               << c.factor << ", cost " << c.cost << ": used " << fleet.Used(from)
                               << ", worst window " << fleet.WorstWindow() << ", messages/s/host "
                               << fleet.messages / 40.0 / c.hosts);
    BOOST_TEST_CONTEXT(c.hosts << " hosts, shape " << static_cast<int>(c.shape) << ", demand "
                               << c.factor << ", cost " << c.cost) {
      BOOST_TEST(fleet.WorstWindow() <= 1.0);
      BOOST_TEST(fleet.max_shares <= 1.0001);
      BOOST_TEST(fleet.Used(from) >= 0.95);
      BOOST_TEST((fleet.max_wait <= kMaxLimitWait + kRetry));
    }
  }
}

// Guards against the hosts that ask first taking what others need when callers arrive at all of
// them at once, as after a pause: until the next request of the first ones, after 3 s, a tenth to
// a quarter of the requests were admitted.
BOOST_AUTO_TEST_CASE(AllHostsGetSharesWhenCallersArriveAtOnce) {
  constexpr Duration kPause = seconds(12);
  for (double per_s : {100'000.0, 400'000.0, 2'800'000.0}) {
    Fleet fleet(69, 2'400, {0.1, 140'000});
    fleet.limit.per_s = per_s;
    fleet.limit.burst = per_s;
    fleet.offered = [=](size_t host, Duration since) {
      double uneven = host % 3 == 0 ? 2 : 0.5;
      return since < kPause ? 0.0 : 0.55 * per_s / 69 * uneven;
    };
    fleet.Run(kPause);
    size_t from = fleet.Bin();
    fleet.Run(seconds(4));
    BOOST_TEST(fleet.Used(from) >= 0.95, "limit " << per_s);
    BOOST_TEST(fleet.WorstWindow() <= 1.0, "limit " << per_s);
  }
}

// Guards against two hosts that use the same part of the limit while machines or links fail.
BOOST_AUTO_TEST_CASE(FailuresDoNotExceedTheLimit) {
  using Fault = std::function<void(Fleet*)>;
  const std::map<std::string, Fault> faults = {{"third of the hosts partitioned",
                                                [](Fleet* f) {
                                                  for (size_t i = 0; i < f->hosts.size(); i += 3)
                                                    f->hosts[i].cut = true;
                                                  f->Run(seconds(10));
                                                  for (Host& host : f->hosts) host.cut = false;
                                                }},
                                               {"leader changes",
                                                [](Fleet* f) {
                                                  f->ChangeLeader();
                                                  f->Run(seconds(4));
                                                  f->ChangeLeader();
                                                }},
                                               {"restarts",
                                                [](Fleet* f) {
                                                  for (size_t i = 0; i < f->hosts.size(); i += 4) {
                                                    LimitShares fresh;
                                                    fresh.hosts = f->hosts[i].shares.hosts;
                                                    fresh.seed = f->hosts[i].shares.seed;
                                                    fresh.tolerance = f->hosts[i].shares.tolerance;
                                                    f->hosts[i].shares = fresh;
                                                    f->hosts[i].waiting.clear();
                                                    f->Run(milliseconds(200));
                                                  }
                                                }},
                                               {"demand is uneven and moves",
                                                [](Fleet* f) {
                                                  SetDemand(f, Shape::kMoving, 2);
                                                  f->Run(seconds(15));
                                                  SetDemand(f, Shape::kSkewed, 4);
                                                }},
                                               {"frozen hosts resume", [](Fleet* f) {
                                                  for (size_t i = 0; i < f->hosts.size(); i += 3)
                                                    f->hosts[i].frozen = true;
                                                  f->Run(seconds(9));
                                                  for (Host& host : f->hosts) host.frozen = false;
                                                }}};
  for (const auto& [name, fault] : faults) {
    for (int hosts : {10, 70, 370}) {
      // With little burst, work above the limit is not hidden by unused burst.
      Fleet fleet(hosts, 40, LimitTolerance{0.05, 0});
      fleet.limit.burst = 20'000;
      SetDemand(&fleet, Shape::kEven, 2);
      fleet.Run(seconds(12));
      fault(&fleet);
      fleet.Run(seconds(8));
      size_t from = fleet.Bin();
      fleet.Run(seconds(8));
      BOOST_TEST_MESSAGE(name << ", " << hosts << " hosts: worst window " << fleet.WorstWindow()
                              << ", used afterwards " << fleet.Used(from));
      BOOST_TEST_CONTEXT(name << ", " << hosts << " hosts") {
        BOOST_TEST(fleet.WorstWindow() <= 1.0);
        BOOST_TEST(fleet.max_shares <= 1.0001);
        BOOST_TEST(fleet.Used(from) >= 0.95);
      }
    }
  }
}

// Guards against leases that keep the old limit in force.
BOOST_AUTO_TEST_CASE(LowerLimitAppliesWithinAWindow) {
  for (int hosts : {1, 70}) {
    Fleet fleet(hosts, 500, kTolerance);
    SetDemand(&fleet, Shape::kEven, 2);
    fleet.Run(seconds(15));
    fleet.limit.per_s /= 4;
    fleet.limit.burst /= 4;
    for (Host& host : fleet.hosts) host.shares.revision = 2;
    size_t changed = fleet.Bin();
    fleet.Run(seconds(20));
    BOOST_TEST(fleet.WorstWindow(changed) <= 1.0);
    BOOST_TEST(fleet.Used(changed + kWindowBins) >= 0.95);
  }
}

// Guards against a burst that is available more than once: at the hosts, in leases and in the pool.
BOOST_AUTO_TEST_CASE(SavedBurstIsUsedOnce) {
  for (int hosts : {1, 10, 70}) {
    Fleet fleet(hosts, 100, LimitTolerance{0, 0});
    SetDemand(&fleet, Shape::kEven, 0.1);
    fleet.Run(seconds(20));
    SetDemand(&fleet, Shape::kEven, 8);
    fleet.Run(seconds(10));
    BOOST_TEST_MESSAGE(hosts << " hosts: worst window " << fleet.WorstWindow());
    BOOST_TEST(fleet.WorstWindow() <= 1.0);
  }
}

// Guards against work that is lost for the workspace although it did not run.
BOOST_AUTO_TEST_CASE(RefundedWorkIsAdmittedAgain) {
  LimitShares shares;
  WorkspaceLimit limit{1, 8, LimitUnit::kRequests, 1};
  Time now = kStart;
  auto admit = [&] { return AdmitToLimit(&shares, kWorkspace, limit, 1, now, true, now).decision; };
  BOOST_TEST((admit() == LimitDecision::kAdmitted));
  BOOST_TEST((admit() == LimitDecision::kAdmitted));
  BOOST_TEST((admit() == LimitDecision::kWait));
  RefundToLimit(&shares, kWorkspace, 1, now);
  BOOST_TEST((admit() == LimitDecision::kAdmitted));
}

// Guards against grants that are too small by the rounding of messages, which admit nothing.
BOOST_AUTO_TEST_CASE(GrantIsEnoughForTheRequestThatWaits) {
  for (double cost : {1.0, 370.0, 1001.0, 77'777.0}) {
    LimitShares shares;
    const WorkspaceLimit limit{100, 0, LimitUnit::kTokens, 1};
    Time now = kStart;
    auto admit = [&](bool first) {
      return AdmitToLimit(&shares, kWorkspace, limit, cost, kStart, first, now).decision;
    };
    BOOST_TEST((admit(true) == LimitDecision::kWait));
    std::optional<LimitAsk> ask = TakeLimitAsk(&shares, now);
    BOOST_REQUIRE(ask.has_value());
    LimitGrant grant;
    grant.grant = DecodeLimitAsk(EncodeLimitAsk(*ask))->rows[0].wanted;
    now += kFarDelay;
    OnLimitAnswer(&shares, *DecodeLimitAnswer(EncodeLimitAnswer({grant})), kStart, now);
    BOOST_TEST((admit(false) == LimitDecision::kAdmitted));
  }
}

// Guards against messages that lose values, and against a crash by malformed ones.
BOOST_AUTO_TEST_CASE(MessagesKeepTheirValues) {
  for (double value : {0.0, 1e-5, 0.31, 1.0, 77.5, 1e12}) {
    double rounded = RoundForMessage(value);
    BOOST_TEST(rounded <= value * (1 + 1e-9));
    BOOST_TEST(rounded >= value * 0.999);
    BOOST_TEST(RoundForMessage(rounded) == rounded);
  }
  LimitAsk ask{5, 6, 7, {}};
  ask.rows.push_back({LimitKey(kWorkspace), RoundForMessage(9), RoundForMessage(3), 1, 0.5, {}});
  ask.rows.push_back({1, 0, 0, 0, 0, WorkspaceLimit{0.25, 8, LimitUnit::kTokens, 1}});
  std::string bytes = EncodeLimitAsk(ask);
  std::optional<LimitAsk> read = DecodeLimitAsk(bytes);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->rows.size() == 2u);
  BOOST_TEST(read->rows[0].workspace == ask.rows[0].workspace);
  BOOST_TEST(read->rows[0].wanted == ask.rows[0].wanted);
  BOOST_TEST(read->rows[1].limit->per_s == 0.25);
  for (size_t size = 0; size < bytes.size(); ++size) DecodeLimitAsk(bytes.substr(0, size));
  BOOST_TEST(!DecodeLimitAnswer("x").has_value());
}

}  // namespace
}  // namespace ebonylift
