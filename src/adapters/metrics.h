#ifndef EBONYLIFT_ADAPTERS_METRICS_H_
#define EBONYLIFT_ADAPTERS_METRICS_H_

// The metrics of one daemon, in the Prometheus text format.
//
// Labels take values of closed sets only (traffic class, error kind), so the number of time series
// is fixed: teams and regions are no labels. All methods are thread safe; the ones that count or
// observe allocate nothing.

#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http_client.h"
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

  // A request of a caller was accepted for processing.
  void CountRequest(TrafficClass traffic_class);

  // A request ended with an error.
  void CountRefusal(ErrorKind kind);

  // A request was sent to an entry host of another region.
  void CountSentAway(TrafficClass traffic_class);

  // A whole answer was delivered: time from arrival, and `attempts` of at least 1.
  void CountAnswer(TrafficClass traffic_class, int attempts, Duration time);

  // An attempt failed; see CallOutcome.
  void CountAttemptFailure(CallOutcome outcome);

  // From the arrival of the request to the dispatch of its last attempt.
  void ObserveWait(TrafficClass traffic_class, Duration time);

  // A failed attempt is repeated on another server.
  void CountRetry(TrafficClass traffic_class);

  // Cost of finished work. Negative values and NaN are ignored.
  void AddCostUnits(TrafficClass traffic_class, double units);

  // From the arrival of the request to the first byte of its answer's body.
  void ObserveFirstToken(TrafficClass traffic_class, Duration time);

  // Between two events of one stream.
  void ObserveTokenGap(TrafficClass traffic_class, Duration time);

  // Current values.
  void SetQueueDepth(TrafficClass traffic_class, size_t requests);
  void SetLiveHosts(size_t hosts);
  void SetLiveServers(size_t servers);
  void SetConfigRevision(uint64_t revision);

  // Lines that the log did not write since the start.
  void SetLogDrops(const LogDrops& drops);

  // Bytes of messages to and from other daemons since the start, without TCP and IP headers.
  void SetPeerBytes(uint64_t sent, uint64_t received);

  // All metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_METRICS_H_
