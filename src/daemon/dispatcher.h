#ifndef EBONYLIFT_DAEMON_DISPATCHER_H_
#define EBONYLIFT_DAEMON_DISPATCHER_H_

// The decision state that the traffic threads of a daemon share: load of servers, limits, queues,
// retry budgets, suspects.
//
// All methods are thread safe: one mutex covers the state, and each call takes microseconds.
// Callbacks of waiting requests run on the thread that caused them, without the mutex; the request
// posts to its own thread. Memory is bounded by the modules in src/core.

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/poison.h"
#include "core/retry.h"
#include "core/routing.h"
#include "ports/control_port.h"

namespace ebonylift {

// What ran on a server when it was suspected to be lost.
struct LossEvidence {
  ServerId server;
  uint64_t incarnation = 0;
  std::vector<uint64_t> contents;
  bool alone = false;
};

// Numbers for metrics and status.
struct DispatcherStats {
  size_t queued = 0;
  std::array<size_t, 3> queued_by_class = {0, 0, 0};
  size_t in_flight = 0;
  size_t suspects = 0;
};

class Dispatcher {
 public:
  using Wake = std::function<void(Choice)>;

  // `control` gets reports of suspects and must outlive the dispatcher.
  Dispatcher(ControlPort* control, RoutingPolicy policy, uint64_t seed);

  // Admits a request of a team, or says why not. Release() exactly once after a success.
  std::optional<Refusal> Admit(const TeamId& team, const RoutingView& view, Time now);
  void Release(const TeamId& team);

  // Chooses a place and, for kLocal and kForward, records the dispatch. End it with EndLocal() or
  // EndForward().
  Choice Place(const RouteQuery& query, const RoutingView& view, Time now);

  // Waits for a place. `wake` runs exactly once, with a place that is recorded as by Place(), or
  // with kRefuse; not after Remove() returned true. Returns the refusal when the queue is full.
  std::optional<Refusal> Enqueue(QueuedRequest request, RouteQuery query, Wake wake, Time now);
  bool Remove(const RequestId& request);

  // Ends a dispatch to a server; waiting requests may get its place. `prefill_tokens` is that of
  // the choice, or 0 after OnFirstByte().
  void EndLocal(const ServerId& server, uint64_t content, Time dispatched_at, ServerOutcome outcome,
                Time now, int64_t prefill_tokens);

  // Ends a placement that was not used.
  void GiveBack(const Choice& choice, uint64_t content, Time now);

  // The answer of a dispatch started.
  void OnFirstByte(const std::string& served, const Choice& choice, Time dispatched_at, Time now);

  // What this host has at the backend servers now.
  std::vector<ServerWork> OwnWork() const;

  void EndForward(const DomainId& domain, Time dispatched_at, ForwardEnd end, Time now);

  // What runs on the server now; call before EndLocal().
  LossEvidence Evidence(const ServerId& server) const;

  // The server is lost: records and reports the suspects.
  void OnLost(const LossEvidence& evidence, Time now);
  void OnRemoteSuspect(uint64_t content, const ServerId& server, bool alone, bool cleared);
  void OnCompleted(uint64_t content);
  PoisonVerdict Verdict(uint64_t content, Time now) const;

  // Retry budgets.
  void CountRequest(const TeamId& team, int retry_percent);
  RetryVerdict MayRetry(const TeamId& team, const RetryRule& rule, Run outcome, Time deadline,
                        Time now);

  // A new view: places waiting requests.
  void OnView(std::shared_ptr<const RoutingView> view, Time now);

  // Expires waiting requests and suspects; call about every 20 ms.
  void Tick(Time now);

  DispatcherStats Stats() const;

 private:
  struct Waiting {
    RouteQuery query;
    std::shared_ptr<const ConfigView> config;  // keeps query.route alive
    Wake wake;
  };
  using Wakes = std::vector<std::pair<Wake, Choice>>;

  void RecordPlace(const Choice& choice, const RouteQuery& query, Time now);
  void PlaceWaiting(Time now, Wakes* wakes);
  void SetRetryAfter(const RouteQuery& query, Time now, Duration* retry_after);
  static void RunWakes(Wakes wakes);

  ControlPort* const control_;
  mutable std::mutex mutex_;
  std::mt19937_64 rng_;
  LocalLoad load_;
  Admission admission_;
  RetryBudgets budgets_;
  Poison poison_;
  std::shared_ptr<const RoutingView> view_;
  std::unordered_map<RequestId, Waiting> waiting_;
  std::unordered_map<ServerId, std::vector<uint64_t>> running_;  // contents on each server
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DISPATCHER_H_
