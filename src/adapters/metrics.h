#ifndef EBONYLIFT_ADAPTERS_METRICS_H_
#define EBONYLIFT_ADAPTERS_METRICS_H_

// The metrics of one daemon, exported in the Prometheus text format.
//
// Labels take values only from closed sets such as traffic classes and error kinds, never teams or
// regions, so the number of time series is fixed. All methods are thread safe. The Count, Add and
// Observe methods allocate nothing.

#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http_client.h"
#include "adapters/peer_flows.h"
#include "base/error.h"
#include "base/event.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

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

  // Counts a request that was forwarded to an entry host of another region.
  void CountSentAway(TrafficClass traffic_class);

  // Counts a complete response that was delivered to the caller after `attempts` attempts (at least
  // 1). `time` runs from the arrival of the request.
  void CountAnswer(TrafficClass traffic_class, int attempts, Duration time);

  // Counts a failed attempt by its outcome.
  void CountAttemptFailure(CallOutcome outcome);

  // Records the time from the arrival of a request to the dispatch of its last attempt.
  void ObserveWait(TrafficClass traffic_class, Duration time);

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

  // Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_METRICS_H_
