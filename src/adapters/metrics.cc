#include "adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <vector>

namespace ebonylift {
namespace {

constexpr std::array<TrafficClass, 3> kTrafficClasses = {
    TrafficClass::kInteractive, TrafficClass::kCheck, TrafficClass::kChapter};

// The latency targets of the design, 1.4 s to the first token and 33 ms between tokens, are bucket
// bounds, so that a histogram shows the share of observations within the target.
const prometheus::Histogram::BucketBoundaries& FirstTokenBuckets() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 3.0, 5.0, 10.0, 30.0};
  return bounds;
}

const prometheus::Histogram::BucketBoundaries& TokenGapBuckets() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.033, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0, 5.0};
  return bounds;
}

const prometheus::Histogram::BucketBoundaries& ResponseTimeBuckets() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0};
  return bounds;
}

// Values of the label `attempts`. The last one covers 3 or more attempts.
constexpr std::array<const char*, 3> kAttemptLabels = {"1", "2", "more"};

constexpr std::array<CallOutcome, 5> kCallOutcomes = {
    CallOutcome::kComplete, CallOutcome::kNotConnected, CallOutcome::kNothingWritten,
    CallOutcome::kFailed, CallOutcome::kTimedOut};

const std::string kOtherModel = "other";
constexpr std::array<const char*, 4> kHedgeEndLabels = {"won", "lost", "failed", "took_over"};

size_t ClassIndex(TrafficClass traffic_class) { return static_cast<size_t>(traffic_class); }

double ToSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

struct Metrics::Families {
  template <typename Metric>
  using PerTrafficClass = std::array<Metric*, kTrafficClasses.size()>;

  PerTrafficClass<prometheus::Counter> Counters(const char* name, const char* help) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    PerTrafficClass<prometheus::Counter> result;
    for (TrafficClass c : kTrafficClasses)
      result[ClassIndex(c)] = &family.Add({{"class", TrafficClassName(c)}});
    return result;
  }

  PerTrafficClass<prometheus::Histogram> Histograms(
      const char* name, const char* help, const prometheus::Histogram::BucketBoundaries& bounds) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    PerTrafficClass<prometheus::Histogram> result;
    for (TrafficClass c : kTrafficClasses) {
      result[ClassIndex(c)] = &family.Add({{"class", TrafficClassName(c)}}, bounds);
    }
    return result;
  }

  PerTrafficClass<prometheus::Gauge> Gauges(const char* name, const char* help) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    PerTrafficClass<prometheus::Gauge> result;
    for (TrafficClass c : kTrafficClasses)
      result[ClassIndex(c)] = &family.Add({{"class", TrafficClassName(c)}});
    return result;
  }

  std::array<prometheus::Counter*, kAttemptLabels.size()> CompleteResponseCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_answers_total")
                       .Help("Complete responses, by the number of attempts they took.")
                       .Register(registry);
    std::array<prometheus::Counter*, kAttemptLabels.size()> result{};
    for (size_t i = 0; i < kAttemptLabels.size(); ++i) {
      result[i] = &family.Add({{"attempts", kAttemptLabels[i]}});
    }
    return result;
  }

  std::array<prometheus::Counter*, kCallOutcomes.size()> OutcomeCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_attempt_failures_total")
                       .Help("Failed attempts, by the outcome of the call.")
                       .Register(registry);
    std::array<prometheus::Counter*, kCallOutcomes.size()> result{};
    for (CallOutcome outcome : kCallOutcomes) {
      result[static_cast<size_t>(outcome)] = &family.Add({{"outcome", CallOutcomeName(outcome)}});
    }
    return result;
  }

  prometheus::Counter* LateCounter(const std::string& served, LateCause cause) {
    std::lock_guard<std::mutex> lock(late_mutex);
    bool has_label = late.count(served) != 0 || late.size() < kMaxModelLabels;
    const std::string& model = has_label ? served : kOtherModel;
    prometheus::Counter*& counter = late[model][static_cast<size_t>(cause)];
    if (counter == nullptr) {
      counter = &late_family.Add({{"model", model}, {"cause", LateCauseName(cause)}});
    }
    return counter;
  }

  prometheus::Counter* Counter(const char* name, const char* help) {
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
  }

  std::array<prometheus::Counter*, kHedgeEndLabels.size()> HedgeEndCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_hedges_ended_total")
                       .Help("Second attempts of hedged requests, by what became of them.")
                       .Register(registry);
    std::array<prometheus::Counter*, kHedgeEndLabels.size()> result{};
    for (size_t i = 0; i < kHedgeEndLabels.size(); ++i) {
      result[i] = &family.Add({{"result", kHedgeEndLabels[i]}});
    }
    return result;
  }

  // Indexed by HedgeWithheld. That of kNone is null.
  std::vector<prometheus::Counter*> HedgeWithheldCounters() {
    auto& family = prometheus::BuildCounter()
                       .Name("ebonylift_hedges_withheld_total")
                       .Help("Requests that were due for a hedge and got none, by reason.")
                       .Register(registry);
    std::vector<prometheus::Counter*> result(std::size(kHedgeWithheldReasons) + 1);
    for (HedgeWithheld reason : kHedgeWithheldReasons) {
      result[static_cast<size_t>(reason)] = &family.Add({{"reason", HedgeWithheldName(reason)}});
    }
    return result;
  }

  struct FlowCounters {
    std::array<prometheus::Counter*, kPeerFlowCount> messages{};
    std::array<prometheus::Counter*, kPeerFlowCount> bytes{};
  };

  FlowCounters PeerFlowCounters(const char* direction) {
    auto& messages = prometheus::BuildCounter()
                         .Name("ebonylift_peer_messages_total")
                         .Help("RPC messages exchanged with other daemons, by flow.")
                         .Register(registry);
    auto& bytes = prometheus::BuildCounter()
                      .Name("ebonylift_peer_bytes_total")
                      .Help("Bytes of the RPC messages exchanged with other daemons, by flow.")
                      .Register(registry);
    FlowCounters counters;
    for (size_t i = 0; i < kPeerFlowCount; ++i) {
      const char* flow = PeerFlowName(static_cast<PeerFlow>(i));
      counters.messages[i] = &messages.Add({{"flow", flow}, {"direction", direction}});
      counters.bytes[i] = &bytes.Add({{"flow", flow}, {"direction", direction}});
    }
    return counters;
  }

  // Raises a counter to a total that is counted elsewhere.
  static void Raise(prometheus::Counter* counter, uint64_t total) {
    counter->Increment(std::max(0.0, static_cast<double>(total) - counter->Value()));
  }

  static void RaiseAll(const std::array<FlowCount, kPeerFlowCount>& totals,
                       FlowCounters* counters) {
    for (size_t i = 0; i < kPeerFlowCount; ++i) {
      Raise(counters->messages[i], totals[i].messages);
      Raise(counters->bytes[i], totals[i].bytes);
    }
  }

  prometheus::Gauge* LogDropGauge(const char* reason) {
    return &prometheus::BuildGauge()
                .Name("ebonylift_log_lines_dropped")
                .Help("Log lines dropped since the process started, by reason.")
                .Register(registry)
                .Add({{"reason", reason}});
  }

  prometheus::Histogram* ResponseTimeHistogram(const char* name, const char* help) {
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
        {}, ResponseTimeBuckets());
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

  prometheus::Family<prometheus::Counter>* CounterFamily(const char* name, const char* help) {
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  }

  struct WorkspaceCounters {
    prometheus::Counter* requests = nullptr;
    prometheus::Counter* refusals = nullptr;
  };

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>* workspace_requests =
      CounterFamily("ebonylift_workspace_requests_total", "Requests of callers, by workspace.");
  prometheus::Family<prometheus::Counter>* workspace_refusals = CounterFamily(
      "ebonylift_workspace_refusals_total", "Requests that ended with an error, by workspace.");
  std::mutex workspaces_mutex;
  std::map<WorkspaceId, WorkspaceCounters> workspaces;

  // Gauges of the limit of one workspace, in the order of `limit_families`.
  static constexpr size_t kLimitGauges = 4;
  using LimitSeries = std::array<prometheus::Gauge*, kLimitGauges>;

  prometheus::Family<prometheus::Gauge>* LimitFamily(const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
  }
  LimitSeries AddLimit(const WorkspaceId& workspace) {
    LimitSeries series{};
    for (size_t i = 0; i < kLimitGauges; ++i) {
      series[i] = &limit_families[i]->Add({{"workspace", workspace.value()}});
    }
    return series;
  }
  void RemoveLimit(const LimitSeries& series) {
    for (size_t i = 0; i < kLimitGauges; ++i) limit_families[i]->Remove(series[i]);
  }

  std::array<prometheus::Family<prometheus::Gauge>*, kLimitGauges> limit_families = {
      LimitFamily("ebonylift_limit_admitted_requests",
                  "Requests within the limit of the workspace since it became active here."),
      LimitFamily("ebonylift_limit_refused_requests",
                  "Requests over the limit of the workspace since it became active here."),
      LimitFamily("ebonylift_limit_rate",
                  "Part of the limit of the workspace that this host may use, per second."),
      LimitFamily("ebonylift_limit_lease_age_seconds",
                  "Age of the lease of the limit of the workspace; -1: none.")};
  std::mutex limits_mutex;  // guards `limits`
  std::map<WorkspaceId, LimitSeries> limits;
  PerTrafficClass<prometheus::Counter> requests =
      Counters("ebonylift_requests_total", "Requests accepted for processing.");
  std::vector<prometheus::Counter*> errors = ErrorCounters(
      "ebonylift_refusals_total", "Requests that ended with an error, by error code.");
  PerTrafficClass<prometheus::Counter> forwarded =
      Counters("ebonylift_sent_away_total", "Requests forwarded to another region.");
  PerTrafficClass<prometheus::Counter> retries =
      Counters("ebonylift_retries_total", "Failed attempts retried on another server.");
  prometheus::Counter* hedges_sent =
      Counter("ebonylift_hedges_sent_total", "Requests also sent to a second server.");
  prometheus::Counter* hedge_tokens =
      Counter("ebonylift_hedge_tokens_total", "Prompt tokens of requests sent to a second server.");
  std::array<prometheus::Counter*, kHedgeEndLabels.size()> hedges_ended = HedgeEndCounters();
  std::vector<prometheus::Counter*> hedges_withheld = HedgeWithheldCounters();
  PerTrafficClass<prometheus::Counter> cost_units =
      Counters("ebonylift_cost_units_total", "Cost units of completed work.");
  PerTrafficClass<prometheus::Histogram> time_to_first_token =
      Histograms("ebonylift_first_token_seconds",
                 "Time from the arrival of a request to the first byte of its response body.",
                 FirstTokenBuckets());
  PerTrafficClass<prometheus::Histogram> inter_token_time =
      Histograms("ebonylift_token_gap_seconds", "Time between two consecutive events of a stream.",
                 TokenGapBuckets());
  std::array<prometheus::Counter*, kAttemptLabels.size()> responses = CompleteResponseCounters();
  std::array<prometheus::Counter*, kCallOutcomes.size()> attempt_failures = OutcomeCounters();
  prometheus::Family<prometheus::Counter>& late_family =
      prometheus::BuildCounter()
          .Name("ebonylift_late_answers_total")
          .Help("Answers that missed a target of their route, by model or service and by cause.")
          .Register(registry);
  std::mutex late_mutex;
  std::map<std::string, std::array<prometheus::Counter*, kLateCauses>> late;  // by model
  PerTrafficClass<prometheus::Histogram> response_time = Histograms(
      "ebonylift_answer_seconds", "Time from the arrival of a request to the end of its response.",
      ResponseTimeBuckets());
  PerTrafficClass<prometheus::Histogram> wait_time =
      Histograms("ebonylift_wait_seconds",
                 "Time from the arrival of a request to the dispatch of its last attempt.",
                 ResponseTimeBuckets());
  prometheus::Gauge* routine_dropped = LogDropGauge("routine_rate");
  prometheus::Gauge* notable_dropped = LogDropGauge("notable_rate");
  prometheus::Gauge* unread_dropped = LogDropGauge("unread");
  PerTrafficClass<prometheus::Gauge> queue_depth =
      Gauges("ebonylift_queue_depth", "Requests waiting for a server.");
  prometheus::Gauge* live_hosts = Gauge("ebonylift_live_hosts", "Entry hosts considered alive.");
  prometheus::Gauge* live_servers =
      Gauge("ebonylift_live_servers", "Backend servers whose announcement has not expired.");
  prometheus::Gauge* config_revision =
      Gauge("ebonylift_config_revision", "Configuration revision in force.");
  prometheus::Gauge* config_behind =
      Gauge("ebonylift_config_behind_seconds",
            "Time for which a configuration revision has been known that is not in force.");
  prometheus::Gauge* control_delay =
      Gauge("ebonylift_control_delay_seconds",
            "Largest delay of a periodic task of the control thread in the last second.");
  prometheus::Histogram* config_lag = ResponseTimeHistogram(
      "ebonylift_config_lag_seconds",
      "Time from the first word of a configuration revision until it is in force.");
  prometheus::Gauge* peer_sent =
      Gauge("ebonylift_peer_sent_bytes",
            "Message bytes sent to other daemons since the process started.");
  prometheus::Gauge* peer_received =
      Gauge("ebonylift_peer_received_bytes",
            "Message bytes received from other daemons since the process started.");
  prometheus::Gauge* peer_unsent =
      Gauge("ebonylift_peer_unsent_bytes",
            "Message bytes to other daemons that are not yet written to their connections.");
  FlowCounters sent_flows = PeerFlowCounters("sent");
  FlowCounters received_flows = PeerFlowCounters("received");
  prometheus::Gauge* descriptor_conflicts =
      Gauge("ebonylift_descriptor_conflicts",
            "Descriptors used by two parts of the process at once, since the process started.");
  prometheus::Histogram* event_loop_delay = ResponseTimeHistogram(
      "ebonylift_event_loop_delay_seconds",
      "Time that a traffic thread takes to handle what arrives at its connections.");
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRequest(TrafficClass traffic_class) {
  families_->requests[ClassIndex(traffic_class)]->Increment();
}

void Metrics::CountRefusal(ErrorKind kind) {
  families_->errors[static_cast<size_t>(kind)]->Increment();
}

void Metrics::SetWorkspaces(const std::vector<WorkspaceId>& workspaces) {
  size_t count = std::min(workspaces.size(), kMaxWorkspaceLabels);
  std::set<WorkspaceId> counted(workspaces.begin(),
                                workspaces.begin() + static_cast<std::ptrdiff_t>(count));
  std::lock_guard<std::mutex> lock(families_->workspaces_mutex);
  auto& known = families_->workspaces;
  for (auto it = known.begin(); it != known.end();) {
    if (counted.count(it->first) != 0) {
      ++it;
      continue;
    }
    families_->workspace_requests->Remove(it->second.requests);
    families_->workspace_refusals->Remove(it->second.refusals);
    it = known.erase(it);
  }
  for (const WorkspaceId& id : counted) {
    if (known.count(id) != 0) continue;
    known[id] = {&families_->workspace_requests->Add({{"workspace", id.value()}}),
                 &families_->workspace_refusals->Add({{"workspace", id.value()}})};
  }
}

void Metrics::CountWorkspaceRequest(const WorkspaceId& workspace) {
  std::lock_guard<std::mutex> lock(families_->workspaces_mutex);
  auto found = families_->workspaces.find(workspace);
  if (found != families_->workspaces.end()) found->second.requests->Increment();
}

void Metrics::CountWorkspaceRefusal(const WorkspaceId& workspace) {
  std::lock_guard<std::mutex> lock(families_->workspaces_mutex);
  auto found = families_->workspaces.find(workspace);
  if (found != families_->workspaces.end()) found->second.refusals->Increment();
}

void Metrics::CountSentAway(TrafficClass traffic_class) {
  families_->forwarded[ClassIndex(traffic_class)]->Increment();
}

void Metrics::CountAnswer(TrafficClass traffic_class, int attempts, Duration time) {
  size_t index = static_cast<size_t>(std::max(attempts, 1)) - 1;
  families_->responses[std::min(index, kAttemptLabels.size() - 1)]->Increment();
  families_->response_time[ClassIndex(traffic_class)]->Observe(ToSeconds(time));
}

void Metrics::CountLate(const std::string& served, LateCause cause) {
  if (cause != LateCause::kNone) families_->LateCounter(served, cause)->Increment();
}

void Metrics::CountAttemptFailure(CallOutcome outcome) {
  families_->attempt_failures[static_cast<size_t>(outcome)]->Increment();
}

void Metrics::ObserveWait(TrafficClass traffic_class, Duration time) {
  families_->wait_time[ClassIndex(traffic_class)]->Observe(ToSeconds(time));
}

void Metrics::CountRetry(TrafficClass traffic_class) {
  families_->retries[ClassIndex(traffic_class)]->Increment();
}

void Metrics::CountHedgeSent(int64_t prompt_tokens) {
  families_->hedges_sent->Increment();
  families_->hedge_tokens->Increment(static_cast<double>(prompt_tokens));
}

void Metrics::CountHedgeEnd(HedgeEnd end) {
  families_->hedges_ended[static_cast<size_t>(end)]->Increment();
}

void Metrics::CountHedgeWithheld(HedgeWithheld reason) {
  prometheus::Counter* counter = families_->hedges_withheld[static_cast<size_t>(reason)];
  if (counter != nullptr) counter->Increment();
}

void Metrics::AddCostUnits(TrafficClass traffic_class, double units) {
  if (units > 0) families_->cost_units[ClassIndex(traffic_class)]->Increment(units);
}

void Metrics::ObserveFirstToken(TrafficClass traffic_class, Duration time) {
  families_->time_to_first_token[ClassIndex(traffic_class)]->Observe(ToSeconds(time));
}

void Metrics::ObserveTokenGap(TrafficClass traffic_class, Duration time) {
  families_->inter_token_time[ClassIndex(traffic_class)]->Observe(ToSeconds(time));
}

void Metrics::SetQueueDepth(TrafficClass traffic_class, size_t requests) {
  families_->queue_depth[ClassIndex(traffic_class)]->Set(static_cast<double>(requests));
}

void Metrics::SetLiveHosts(size_t hosts) { families_->live_hosts->Set(static_cast<double>(hosts)); }

void Metrics::SetLiveServers(size_t servers) {
  families_->live_servers->Set(static_cast<double>(servers));
}

void Metrics::SetConfigRevision(uint64_t revision) {
  families_->config_revision->Set(static_cast<double>(revision));
}

void Metrics::SetConfigBehind(Duration behind) { families_->config_behind->Set(ToSeconds(behind)); }

void Metrics::SetControlDelay(Duration delay) { families_->control_delay->Set(ToSeconds(delay)); }

void Metrics::ObserveConfigLag(Duration lag) { families_->config_lag->Observe(ToSeconds(lag)); }

void Metrics::SetLogDrops(const LogDrops& drops) {
  families_->routine_dropped->Set(static_cast<double>(drops.routine));
  families_->notable_dropped->Set(static_cast<double>(drops.notable));
  families_->unread_dropped->Set(static_cast<double>(drops.unread));
}

void Metrics::SetPeerBytes(uint64_t sent, uint64_t received, uint64_t unsent) {
  families_->peer_sent->Set(static_cast<double>(sent));
  families_->peer_received->Set(static_cast<double>(received));
  families_->peer_unsent->Set(static_cast<double>(unsent));
}

void Metrics::SetLimits(const std::vector<LimitState>& states) {
  std::lock_guard<std::mutex> lock(families_->limits_mutex);
  std::map<WorkspaceId, Families::LimitSeries> previous = std::move(families_->limits);
  families_->limits.clear();
  for (const LimitState& state : states) {
    auto found = previous.find(state.workspace);
    Families::LimitSeries series =
        found != previous.end() ? found->second : families_->AddLimit(state.workspace);
    if (found != previous.end()) previous.erase(found);
    series[0]->Set(static_cast<double>(state.admitted));
    series[1]->Set(static_cast<double>(state.refused));
    series[2]->Set(state.rate);
    series[3]->Set(state.lease_age < Duration(0) ? -1 : ToSeconds(state.lease_age));
    families_->limits[state.workspace] = series;
  }
  for (const auto& [workspace, series] : previous) families_->RemoveLimit(series);
}

void Metrics::SetPeerFlows(const FlowCounts& flows) {
  Families::RaiseAll(flows.sent, &families_->sent_flows);
  Families::RaiseAll(flows.received, &families_->received_flows);
}

void Metrics::SetDescriptorConflicts(uint64_t conflicts) {
  families_->descriptor_conflicts->Set(static_cast<double>(conflicts));
}

void Metrics::ObserveEventLoopDelay(Duration delay) {
  families_->event_loop_delay->Observe(ToSeconds(delay));
}

std::string Metrics::Render() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families_->registry.Collect());
  return out.str();
}

}  // namespace ebonylift
