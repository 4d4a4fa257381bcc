#ifndef EBONYLIFT_ADAPTERS_METRICS_H_
#define EBONYLIFT_ADAPTERS_METRICS_H_

// The metrics of one daemon, exported in the Prometheus text format.
//
// Labels take values from closed sets such as traffic classes and error kinds, never teams or
// regions. The exceptions are bounded: at most kMaxWorkspaceLabels workspaces of the configuration,
// kMaxModelLabels models and services, and the limits of kMaxReportedLimits workspaces. All methods
// are thread safe. The Count, Add and Observe methods allocate nothing, except for the first late
// answer of a model.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/peer_flows.h"
#include "base/error.h"
#include "base/event.h"
#include "base/time.h"
#include "core/hedging.h"
#include "core/lateness.h"
#include "core/limit_shares.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxWorkspaceLabels = 64;
// Late answers of further models are counted under the model "other".
constexpr size_t kMaxModelLabels = 64;

// What became of the second attempt of a hedged request.
enum class HedgeEnd {
  kWon,       // it answered first
  kLost,      // the first attempt answered first, or the request ended otherwise
  kFailed,    // the first attempt went on
  kTookOver,  // the first attempt failed, and it went on
};

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Counts a request from a caller that was accepted for processing.
  void CountRequest(TrafficClass traffic_class);

  // Counts a request that ended with an error.
  void CountRefusal(ErrorKind kind);

  // Sets the workspaces of the configuration, of which the first ones are counted by name. Removes
  // the counters of others.
  void SetWorkspaces(const std::vector<WorkspaceId>& workspaces);

  // Count a request from a caller of the workspace, and its refusal. Ignored for a workspace that
  // is not counted by name.
  void CountWorkspaceRequest(const WorkspaceId& workspace);
  void CountWorkspaceRefusal(const WorkspaceId& workspace);

  // Counts a request that was forwarded to an entry host of another region.
  void CountSentAway(TrafficClass traffic_class);

  // Counts a complete response that was delivered to the caller after `attempts` attempts (at least
  // 1). `time` runs from the arrival of the request.
  void CountAnswer(TrafficClass traffic_class, int attempts, Duration time);

  // Counts a late answer of a model or service by what made it late.
  void CountLate(const std::string& served, LateCause cause);

  // Counts a failed attempt by its outcome.
  void CountAttemptFailure(CallOutcome outcome);

  // Records the time from the arrival of a request to the dispatch of its last attempt.
  void ObserveWait(TrafficClass traffic_class, Duration time);

  // Counts a hedge that was sent, its prompt tokens, and what became of it. See core/hedging.h.
  void CountHedgeSent(int64_t prompt_tokens);
  void CountHedgeEnd(HedgeEnd end);
  // Counts a request that was due for a hedge and got none.
  void CountHedgeWithheld(HedgeWithheld reason);

  // Counts the retry of a failed attempt on another server.
  void CountRetry(TrafficClass traffic_class);

  // Adds the cost of completed work. Negative values and NaN are ignored.
  void AddCostUnits(TrafficClass traffic_class, double units);

  // Records the time from the arrival of a request to the first byte of its response body.
  void ObserveFirstToken(TrafficClass traffic_class, Duration time);

  // Records the time between two consecutive events of one stream.
  void ObserveTokenGap(TrafficClass traffic_class, Duration time);

  // Records how long a traffic thread takes to handle what arrives at its connections.
  void ObserveEventLoopDelay(Duration delay);

  // Records the time from the first word of a configuration revision until it is in force on this
  // host.
  void ObserveConfigLag(Duration lag);

  // These set gauges to the current value.
  void SetQueueDepth(TrafficClass traffic_class, size_t requests);
  void SetLiveHosts(size_t hosts);
  void SetLiveServers(size_t servers);
  void SetConfigRevision(uint64_t revision);
  // For how long a configuration revision has been known that is not in force on this host.
  void SetConfigBehind(Duration behind);
  // The largest delay of a periodic task of the control thread in the last second.
  void SetControlDelay(Duration delay);

  // Sets the number of log lines dropped since the process started.
  void SetLogDrops(const LogDrops& drops);

  // Sets the message bytes exchanged with other daemons since the process started, without TCP and
  // IP headers, and those of the sent bytes that are not yet written out.
  void SetPeerBytes(uint64_t sent, uint64_t received, uint64_t unsent);
  // Sets the messages exchanged with other daemons since the process started, by flow.
  void SetPeerFlows(const FlowCounts& flows);
  void SetDescriptorConflicts(uint64_t conflicts);
  // Sets the limits of workspaces. The series of workspaces that are not among `states` are
  // removed.
  void SetLimits(const std::vector<LimitState>& states);

  // Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_METRICS_H_
