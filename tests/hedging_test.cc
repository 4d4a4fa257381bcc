#define BOOST_TEST_MODULE hedging
#include "core/hedging.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

namespace ebonylift {
namespace {

const Time kStart = Time() + seconds(100);
constexpr HedgingConfig kLimits{5, 5};

// A host that sends requests to servers of which each runs kSlots at a time, in steps of a
// millisecond. Two attempts in a hundred are ten times as slow.
class Simulation {
 public:
  Simulation(bool hedges, bool stops_under_pressure)
      : hedges_(hedges), stops_under_pressure_(stops_under_pressure) {}

  static constexpr int kServers = 10;
  static constexpr int kSlots = 4;
  static constexpr Duration kServiceTime = milliseconds(100);
  // The mean service time is 118 ms.
  static constexpr double kCapacityPerS = kServers * kSlots / 0.118;

  struct Counts {
    int requests = 0;
    int hedges = 0;
    std::vector<Duration> times;  // from arrival to first byte
  };

  // Runs at a share of the capacity. Each element of the result is a tenth of a second.
  std::vector<Counts> Run(double load, Duration time) {
    std::vector<Counts> slices;
    for (Time end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      if ((now_ - kStart).count() % Duration(milliseconds(100)).count() == 0) slices.emplace_back();
      counts_ = &slices.back();
      Finish();
      for (due_ += load * kCapacityPerS / 1000; due_ >= 1; due_ -= 1) Arrive();
      Place();
      SendHedges();
    }
    return slices;
  }
  size_t queued() const { return queue_.size(); }

 private:
  struct Request {
    Time arrived;
    Time sent;
    bool answered = false;
    bool hedged = false;
    bool checked = false;
  };
  struct Work {
    size_t request = 0;
    Time ends;
    bool is_hedge = false;
  };

  Duration DrawServiceTime() {
    bool slow = std::uniform_int_distribution<int>(0, 99)(rng_) < 2;
    auto jitter = milliseconds(std::uniform_int_distribution<int>(0, 20)(rng_) - 10);
    return (slow ? 10 * kServiceTime : kServiceTime) + jitter;
  }
  void Arrive() {
    ++counts_->requests;
    OnOwnRequest(state_, kLimits, 1'000);
    requests_.push_back({now_, Time()});
    queue_.push_back(requests_.size() - 1);
  }
  size_t LeastBusy() const {
    auto fewer = [](const auto& a, const auto& b) { return a.size() < b.size(); };
    return static_cast<size_t>(std::min_element(servers_.begin(), servers_.end(), fewer) -
                               servers_.begin());
  }
  void Place() {
    while (!queue_.empty() && servers_[LeastBusy()].size() < kSlots) {
      size_t request = queue_.front();
      queue_.pop_front();
      requests_[request].sent = now_;
      servers_[LeastBusy()].push_back({request, now_ + DrawServiceTime(), false});
      open_.push_back(request);
    }
    if (!queue_.empty()) OnRequestQueued(state_, now_);
  }
  void SendHedges() {
    for (size_t index : open_) {
      Request& request = requests_[index];
      std::optional<Duration> delay = HedgeDelay(state_, "r", 1'000, now_);
      bool due = hedges_ && !request.checked && delay && now_ >= request.sent + *delay;
      if (!due) continue;
      request.checked = true;
      size_t server = LeastBusy();
      bool has_room = servers_[server].size() < (stops_under_pressure_ ? kSlots / 2 : 2 * kSlots);
      HedgeWithheld withheld = CheckHedge(state_, "s", 1'000, queue_.size(), now_);
      if (!stops_under_pressure_ && withheld == HedgeWithheld::kQueue)
        withheld = HedgeWithheld::kNone;
      if (!has_room || withheld != HedgeWithheld::kNone) continue;
      OnHedgeSent(state_, 1'000);
      ++counts_->hedges;
      request.hedged = true;
      servers_[server].push_back({index, now_ + DrawServiceTime(), true});
    }
  }
  void Finish() {
    for (auto& server : servers_) {
      for (const Work& work : server) {
        Request& request = requests_[work.request];
        if (work.ends > now_ || request.answered) continue;
        request.answered = true;
        counts_->times.push_back(now_ - request.arrived);
        RecordFirstByteTime(state_, "r", 1'000, now_ - request.sent, now_);
      }
      // The loser is cancelled at once.
      server.erase(std::remove_if(server.begin(), server.end(),
                                  [&](const Work& w) { return requests_[w.request].answered; }),
                   server.end());
    }
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [&](size_t request) { return requests_[request].answered; }),
                open_.end());
  }

  const bool hedges_;
  const bool stops_under_pressure_;
  Time now_ = kStart;
  double due_ = 0;
  std::mt19937_64 rng_{1};
  HedgingState state_;
  std::vector<Request> requests_;
  std::deque<size_t> queue_;
  std::vector<size_t> open_;
  std::vector<std::vector<Work>> servers_{kServers};
  Counts* counts_ = nullptr;
};

int Hedges(const std::vector<Simulation::Counts>& slices, size_t from = 0) {
  int hedges = 0;
  for (size_t i = from; i < slices.size(); ++i) hedges += slices[i].hedges;
  return hedges;
}

Duration Quantile(const std::vector<Simulation::Counts>& slices, double share) {
  std::vector<Duration> times;
  for (const auto& slice : slices) {
    times.insert(times.end(), slice.times.begin(), slice.times.end());
  }
  std::sort(times.begin(), times.end());
  return times.at(static_cast<size_t>(share * static_cast<double>(times.size() - 1)));
}

// Returns the tenths of a second in which requests are queued during and after an overload.
int SlicesToRecover(Simulation* simulation) {
  simulation->Run(0.2, seconds(15));
  simulation->Run(2, seconds(3));
  int slices = 0;
  while (simulation->queued() > 0 && slices < 1'000) {
    simulation->Run(0.2, milliseconds(100));
    ++slices;
  }
  return slices;
}

HedgingState StateWithCredit() {
  HedgingState state;
  for (int i = 0; i < 1'000; ++i) OnOwnRequest(state, kLimits, 1'000);
  return state;
}

}  // namespace

// Guards against a delay of too few, old or other requests, and against one that a slow request
// moves.
BOOST_AUTO_TEST_CASE(DelayIsAQuantileOfTheLastSeconds) {
  HedgingState state;
  for (size_t i = 0; i < kMinDelaySamples; ++i) {
    BOOST_TEST(!HedgeDelay(state, "r", 100, kStart).has_value());
    RecordFirstByteTime(state, "r", 100, milliseconds(i == 0 ? 3'000 : 100), kStart);
  }
  BOOST_TEST((HedgeDelay(state, "r", 100, kStart) == Duration(milliseconds(100))));
  BOOST_TEST(!HedgeDelay(state, "other", 100, kStart).has_value());
  BOOST_TEST(!HedgeDelay(state, "r", 5'000, kStart).has_value());
  BOOST_TEST(!HedgeDelay(state, "r", 100, kStart + kSampleWindow).has_value());
  // The newest samples replace the oldest.
  Time later = kStart + seconds(1);
  for (size_t i = 0; i < kMaxDelaySamples; ++i) {
    RecordFirstByteTime(state, "r", 100, milliseconds(700), later);
  }
  BOOST_TEST((HedgeDelay(state, "r", 100, later) == Duration(milliseconds(700))));
  for (size_t i = 0; i < kMaxDelaySamples; ++i) {
    RecordFirstByteTime(state, "r", 100, Duration(1), later);
  }
  BOOST_TEST((HedgeDelay(state, "r", 100, later) == Duration(kMinHedgeDelay)));
}

// Guards against memory that grows with the names of routes.
BOOST_AUTO_TEST_CASE(ClassesAreBounded) {
  HedgingState state;
  for (size_t i = 0; i < 2 * kMaxHedgeClasses; ++i) {
    RecordFirstByteTime(state, "r" + std::to_string(i), 1, milliseconds(1), kStart);
    OnTurnedAway(state, "s" + std::to_string(i), kStart);
  }
  BOOST_TEST(state.first_bytes.size() == kMaxHedgeClasses);
  BOOST_TEST(state.turned_away_at.size() == kMaxTurnedAway);
  RecordFirstByteTime(state, "new", 1, milliseconds(1), kStart + kSampleWindow);
  OnTurnedAway(state, "new", kStart + kPressureTime);
  BOOST_TEST(state.first_bytes.size() == 1u);
  BOOST_TEST(state.turned_away_at.size() == 1u);
}

// Guards against more extra work than the operator allowed, in requests and in prompt tokens.
BOOST_AUTO_TEST_CASE(HedgesAreASShareOfRequestsAndTokens) {
  HedgingState state;
  int requests = 0;
  int hedges = 0;
  auto hedge = [&](int64_t tokens) {
    HedgeWithheld withheld = CheckHedge(state, "s", tokens, 0, kStart);
    if (withheld == HedgeWithheld::kNone) {
      OnHedgeSent(state, tokens);
      ++hedges;
    }
    return withheld;
  };
  while (requests < 1'000) {
    OnOwnRequest(state, kLimits, 1'000);
    ++requests;
    hedge(1'000);
    BOOST_TEST(hedges * 100 <= requests * kLimits.max_request_percent);
  }
  BOOST_TEST(hedges == 50);
  BOOST_TEST((hedge(0) == HedgeWithheld::kRequestLimit));
  // Short requests do not pay for hedges of long ones.
  for (int i = 0; i < 100; ++i) OnOwnRequest(state, kLimits, 10);
  BOOST_TEST((hedge(51) == HedgeWithheld::kTokenLimit));
  BOOST_TEST((hedge(40) == HedgeWithheld::kNone));
  // What was not used for long is not spent at once.
  for (int i = 0; i < 10'000; ++i) OnOwnRequest(state, kLimits, 1'000);
  hedges = 0;
  while (hedge(0) == HedgeWithheld::kNone) {
  }
  BOOST_TEST(hedges == static_cast<int>(kMaxRequestCredit));
}

// Guards against hedges while requests wait or servers turn requests away, and against a service
// that is not hedged because the servers of another one are full.
BOOST_AUTO_TEST_CASE(PressureWithholdsHedges) {
  HedgingState state = StateWithCredit();
  BOOST_TEST((CheckHedge(state, "s", 1, 0, kStart) == HedgeWithheld::kNone));
  BOOST_TEST((CheckHedge(state, "s", 1, 1, kStart) == HedgeWithheld::kQueue));
  OnTurnedAway(state, "s", kStart);
  Duration most = kPressureTime - Duration(1);
  BOOST_TEST((CheckHedge(state, "s", 1, 0, kStart + most) == HedgeWithheld::kTurnedAway));
  BOOST_TEST((CheckHedge(state, "other", 1, 0, kStart) == HedgeWithheld::kNone));
  BOOST_TEST((CheckHedge(state, "s", 1, 0, kStart + kPressureTime) == HedgeWithheld::kNone));
  OnRequestQueued(state, kStart);
  BOOST_TEST((CheckHedge(state, "other", 1, 0, kStart + most) == HedgeWithheld::kQueue));
  BOOST_TEST((CheckHedge(state, "other", 1, 0, kStart + kPressureTime) == HedgeWithheld::kNone));
}

// Guards against settings that the configuration cannot switch off.
BOOST_AUTO_TEST_CASE(ConfigurationGoesBeforeTheSettings) {
  BOOST_TEST(!IsHedgingOn(EffectiveHedging(std::nullopt, 0)));
  BOOST_TEST(IsHedgingOn(EffectiveHedging(std::nullopt, 5)));
  BOOST_TEST(!IsHedgingOn(EffectiveHedging(HedgingConfig{0, 5}, 5)));
  BOOST_TEST(!IsHedgingOn(EffectiveHedging(HedgingConfig{5, 0}, 5)));
  BOOST_TEST(EffectiveHedging(HedgingConfig{3, 4}, 5).max_token_percent == 4);
}

// Guards against hedges without effect: at a quarter of the capacity, the slowest answers are those
// of a server that is slow now and then.
BOOST_AUTO_TEST_CASE(HedgesReduceTheSlowestTimes) {
  Simulation without(false, true);
  Simulation with(true, true);
  auto slow = without.Run(0.25, seconds(30));
  auto fast = with.Run(0.25, seconds(30));
  BOOST_TEST(ToMillis(Quantile(slow, 0.99)) > 900);
  BOOST_TEST(ToMillis(Quantile(fast, 0.99)) < 300);
  BOOST_TEST_MESSAGE("p99 without " << ToMillis(Quantile(slow, 0.99)) << " ms, with "
                                    << ToMillis(Quantile(fast, 0.99)) << " ms");
  int requests = 0;
  for (const auto& slice : fast) requests += slice.requests;
  BOOST_TEST(Hedges(fast) * 100 <= requests * kLimits.max_request_percent);
}

// Guards against hedges that make an overload worse: on a step from a fifth of the capacity to
// twice the capacity, they end within a second, and the overload lasts no longer than without them.
BOOST_AUTO_TEST_CASE(HedgesStopUnderOverload) {
  Simulation simulation(true, true);
  BOOST_TEST(Hedges(simulation.Run(0.2, seconds(15))) > 0);
  auto overload = simulation.Run(2, seconds(5));
  constexpr size_t kSlicesPerSecond = 10;
  BOOST_TEST(Hedges(overload, kSlicesPerSecond) == 0);

  Simulation with(true, true);
  Simulation without(false, true);
  int slices_with = SlicesToRecover(&with);
  int slices_without = SlicesToRecover(&without);
  BOOST_TEST_MESSAGE("the queue lasts " << slices_without << " slices without hedges, "
                                        << slices_with << " with them");
  BOOST_TEST(slices_with <= slices_without + 1);

  // What the test guards against, shown with the check of the queue and the bound on the
  // utilization left out.
  Simulation unchecked(true, false);
  unchecked.Run(0.2, seconds(15));
  BOOST_TEST(Hedges(unchecked.Run(2, seconds(5)), kSlicesPerSecond) > 0);
}

}  // namespace ebonylift
