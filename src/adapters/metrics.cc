#include "adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace ebonylift {
namespace {

constexpr std::array<TrafficClass, 3> kClasses = {TrafficClass::kInteractive, TrafficClass::kCheck,
                                                  TrafficClass::kChapter};

// The targets of the design page, 1.4 s and 33 ms, are bounds of buckets.
const prometheus::Histogram::BucketBoundaries& FirstTokenSeconds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 3.0, 5.0, 10.0, 30.0};
  return bounds;
}

const prometheus::Histogram::BucketBoundaries& TokenGapSeconds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.033, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0, 5.0};
  return bounds;
}

const prometheus::Histogram::BucketBoundaries& AnswerSeconds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0};
  return bounds;
}

// Values of the label `attempts`; the last one stands for more as well.
constexpr std::array<const char*, 3> kAttempts = {"1", "2", "more"};

constexpr std::array<CallOutcome, 5> kOutcomes = {
    CallOutcome::kComplete, CallOutcome::kNotConnected, CallOutcome::kNothingWritten,
    CallOutcome::kFailed, CallOutcome::kTimedOut};

size_t Index(TrafficClass traffic_class) { return static_cast<size_t>(traffic_class); }

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

struct Metrics::Families {
  template <typename Metric>
  using PerClass = std::array<Metric*, kClasses.size()>;

  PerClass<prometheus::Counter> Counters(const char* name, const char* help) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    PerClass<prometheus::Counter> result;
    for (TrafficClass c : kClasses)
      result[Index(c)] = &family.Add({{"class", TrafficClassName(c)}});
    return result;
  }

  PerClass<prometheus::Histogram> Histograms(
      const char* name, const char* help, const prometheus::Histogram::BucketBoundaries& bounds) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    PerClass<prometheus::Histogram> result;
    for (TrafficClass c : kClasses) {
      result[Index(c)] = &family.Add({{"class", TrafficClassName(c)}}, bounds);
    }
    return result;
  }

  PerClass<prometheus::Gauge> Gauges(const char* name, const char* help) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    PerClass<prometheus::Gauge> result;
    for (TrafficClass c : kClasses)
      result[Index(c)] = &family.Add({{"class", TrafficClassName(c)}});
    return result;
  }

  std::array<prometheus::Counter*, kAttempts.size()> AnswerCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_answers_total")
                       .Help("Whole answers, by the attempts that they took.")
                       .Register(registry);
    std::array<prometheus::Counter*, kAttempts.size()> result{};
    for (size_t i = 0; i < kAttempts.size(); ++i) {
      result[i] = &family.Add({{"attempts", kAttempts[i]}});
    }
    return result;
  }

  std::array<prometheus::Counter*, kOutcomes.size()> OutcomeCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_attempt_failures_total")
                       .Help("Failed attempts, by the outcome of the call.")
                       .Register(registry);
    std::array<prometheus::Counter*, kOutcomes.size()> result{};
    for (CallOutcome outcome : kOutcomes) {
      result[static_cast<size_t>(outcome)] = &family.Add({{"outcome", CallOutcomeName(outcome)}});
    }
    return result;
  }

  prometheus::Gauge* DropGauge(const char* reason) {
    return &prometheus::BuildGauge()
                .Name("ebonylift_log_lines_dropped")
                .Help("Log lines not written since the start, by reason.")
                .Register(registry)
                .Add({{"reason", reason}});
  }

  prometheus::Gauge* Gauge(const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
  }

  std::vector<prometheus::Counter*> ErrorCounters(const char* name, const char* help) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    std::vector<prometheus::Counter*> result;
    for (const ErrorInfo& info : AllErrors()) {
      result.push_back(&family.Add({{"code", info.code}, {"run", RunName(info.run)}}));
    }
    return result;
  }

  prometheus::Registry registry;
  PerClass<prometheus::Counter> requests =
      Counters("ebonylift_requests_total", "Requests accepted for processing.");
  std::vector<prometheus::Counter*> refusals =
      ErrorCounters("ebonylift_refusals_total", "Requests that ended with an error, by its code.");
  PerClass<prometheus::Counter> sent_away =
      Counters("ebonylift_sent_away_total", "Requests sent to another region.");
  PerClass<prometheus::Counter> retries =
      Counters("ebonylift_retries_total", "Attempts repeated on another server.");
  PerClass<prometheus::Counter> cost =
      Counters("ebonylift_cost_units_total", "Cost units of finished work.");
  PerClass<prometheus::Histogram> first_token =
      Histograms("ebonylift_first_token_seconds", "Time from request to first byte of the answer.",
                 FirstTokenSeconds());
  PerClass<prometheus::Histogram> token_gap = Histograms(
      "ebonylift_token_gap_seconds", "Time between two events of a stream.", TokenGapSeconds());
  std::array<prometheus::Counter*, kAttempts.size()> answers = AnswerCounters();
  std::array<prometheus::Counter*, kOutcomes.size()> attempt_failures = OutcomeCounters();
  PerClass<prometheus::Histogram> answer_time = Histograms(
      "ebonylift_answer_seconds", "Time from request to the end of its answer.", AnswerSeconds());
  PerClass<prometheus::Histogram> wait =
      Histograms("ebonylift_wait_seconds", "Time from request to the dispatch of its last attempt.",
                 AnswerSeconds());
  prometheus::Gauge* routine_dropped = DropGauge("routine_rate");
  prometheus::Gauge* notable_dropped = DropGauge("notable_rate");
  prometheus::Gauge* unread_dropped = DropGauge("unread");
  PerClass<prometheus::Gauge> queue_depth =
      Gauges("ebonylift_queue_depth", "Requests that wait for a server.");
  prometheus::Gauge* live_hosts = Gauge("ebonylift_live_hosts", "Entry hosts considered alive.");
  prometheus::Gauge* live_servers =
      Gauge("ebonylift_live_servers", "Backend servers that are announced and not expired.");
  prometheus::Gauge* config_revision =
      Gauge("ebonylift_config_revision", "Configuration revision in force.");
  prometheus::Gauge* peer_sent =
      Gauge("ebonylift_peer_sent_bytes", "Bytes of messages to other daemons since the start.");
  prometheus::Gauge* peer_received = Gauge("ebonylift_peer_received_bytes",
                                           "Bytes of messages from other daemons since the start.");
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRequest(TrafficClass traffic_class) {
  families_->requests[Index(traffic_class)]->Increment();
}

void Metrics::CountRefusal(ErrorKind kind) {
  families_->refusals[static_cast<size_t>(kind)]->Increment();
}

void Metrics::CountSentAway(TrafficClass traffic_class) {
  families_->sent_away[Index(traffic_class)]->Increment();
}

void Metrics::CountAnswer(TrafficClass traffic_class, int attempts, Duration time) {
  size_t index = static_cast<size_t>(std::max(attempts, 1)) - 1;
  families_->answers[std::min(index, kAttempts.size() - 1)]->Increment();
  families_->answer_time[Index(traffic_class)]->Observe(Seconds(time));
}

void Metrics::CountAttemptFailure(CallOutcome outcome) {
  families_->attempt_failures[static_cast<size_t>(outcome)]->Increment();
}

void Metrics::ObserveWait(TrafficClass traffic_class, Duration time) {
  families_->wait[Index(traffic_class)]->Observe(Seconds(time));
}

void Metrics::CountRetry(TrafficClass traffic_class) {
  families_->retries[Index(traffic_class)]->Increment();
}

void Metrics::AddCostUnits(TrafficClass traffic_class, double units) {
  if (units > 0) families_->cost[Index(traffic_class)]->Increment(units);
}

void Metrics::ObserveFirstToken(TrafficClass traffic_class, Duration time) {
  families_->first_token[Index(traffic_class)]->Observe(Seconds(time));
}

void Metrics::ObserveTokenGap(TrafficClass traffic_class, Duration time) {
  families_->token_gap[Index(traffic_class)]->Observe(Seconds(time));
}

void Metrics::SetQueueDepth(TrafficClass traffic_class, size_t requests) {
  families_->queue_depth[Index(traffic_class)]->Set(static_cast<double>(requests));
}

void Metrics::SetLiveHosts(size_t hosts) { families_->live_hosts->Set(static_cast<double>(hosts)); }

void Metrics::SetLiveServers(size_t servers) {
  families_->live_servers->Set(static_cast<double>(servers));
}

void Metrics::SetConfigRevision(uint64_t revision) {
  families_->config_revision->Set(static_cast<double>(revision));
}

void Metrics::SetLogDrops(const LogDrops& drops) {
  families_->routine_dropped->Set(static_cast<double>(drops.routine));
  families_->notable_dropped->Set(static_cast<double>(drops.notable));
  families_->unread_dropped->Set(static_cast<double>(drops.unread));
}

void Metrics::SetPeerBytes(uint64_t sent, uint64_t received) {
  families_->peer_sent->Set(static_cast<double>(sent));
  families_->peer_received->Set(static_cast<double>(received));
}

std::string Metrics::Render() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families_->registry.Collect());
  return out.str();
}

}  // namespace ebonylift
