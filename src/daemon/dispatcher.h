#ifndef EBONYLIFT_DAEMON_DISPATCHER_H_
#define EBONYLIFT_DAEMON_DISPATCHER_H_

// Shared state and decisions of a daemon's traffic threads: server load, admission limits, queues
// of waiting requests, retry budgets and the contents suspected to crash servers.
//
// All methods are thread safe: one mutex protects the state, and each call takes microseconds.
// The callback of a queued request runs without the mutex, on the thread whose call placed or
// expired the request, and must post to the request's own thread. Memory is bounded by the modules
// in src/core.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/hedging.h"
#include "core/limit_shares.h"
#include "core/poison.h"
#include "core/proven_contents.h"
#include "core/retry.h"
#include "core/routing.h"
#include "core/server_paths.h"
#include "ports/control_port.h"

namespace ebonylift {

// A part of a prompt that crashes servers does so within about a tenth of a second after the answer
// begins.
constexpr Duration kPartProofTime = milliseconds(500);
constexpr size_t kMaxSharedSuspects = 256;  // in one message to a host that connects

// The requests that this host had in flight on a server when the server was suspected to be lost.
struct LossEvidence {
  ServerId server;
  uint64_t incarnation = 0;
  std::vector<RunningContent> contents;
  // Parts of their prompts, each once, of which no server has answered a request recently.
  std::vector<RunningContent> parts;
  bool alone = false;  // see RanAlone() in core/routing.h
};

// Counts for metrics and the status API.
struct DispatcherStats {
  size_t queued = 0;
  std::array<size_t, 3> queued_by_class = {0, 0, 0};
  size_t in_flight = 0;
  size_t suspects = 0;
};

// A server for a hedge, or why there is none.
struct HedgePlacement {
  HedgeWithheld withheld = HedgeWithheld::kNone;
  Choice choice;  // kLocal if `withheld` is kNone
};

// How requests with suspected content (core/poison.h) run until they complete or are condemned.
enum class SuspectPlacement {
  kAlone,     // only on servers without other work
  kAnywhere,  // like others: for servers that report no load, none of which is known to be idle
};

class Dispatcher {
 public:
  using PlacementCallback = std::function<void(Choice)>;

  // Runs without the mutex on the thread whose call condemned the content.
  using CondemnedCallback = std::function<void(const KnownSuspect&)>;
  // Runs with the mutex held.
  using RevokedCallback = std::function<void(uint64_t content)>;

  // Suspects are reported to `control`, which must outlive the dispatcher.
  Dispatcher(ControlPort* control, RoutingPolicy policy, SuspectPlacement suspect_placement,
             uint64_t seed);

  // Admits a request of a team, or returns the reason for the refusal. Each admitted request must
  // be released with Release() exactly once.
  std::optional<Refusal> Admit(const TeamId& team, const RoutingView& view, Time now);
  void Release(const TeamId& team);

  // Chooses where the request runs. For kLocal and kForward, also records the dispatch, which must
  // be ended with EndLocal() or EndForward().
  Choice Place(RouteQuery query, const RoutingView& view, Time now);

  // Returns an id for QueuedRequest that this dispatcher has not returned before.
  QueueId NewQueueId();

  // Queues the request until it can be placed. `on_ready` runs exactly once: with a dispatch that
  // is already recorded, as by Place(), or with kRefuse. It does not run after Remove() has
  // returned true. Returns the refusal when the request cannot be queued.
  std::optional<Refusal> Enqueue(QueuedRequest request, RouteQuery query,
                                 PlacementCallback on_ready, Time now);
  bool Remove(const QueueId& id);

  // Ends a dispatch to a server and places queued requests in the capacity it frees.
  // `prefill_tokens` is that of the choice, or 0 after OnFirstByte().
  void EndLocal(const ServerId& server, uint64_t content, Time dispatched_at, ServerOutcome outcome,
                Time now, int64_t prefill_tokens);

  // Undoes a recorded placement whose request was not sent.
  void CancelPlacement(const Choice& choice, uint64_t content, Time now);

  // Records that the first byte of the response to a local dispatch arrived.
  void OnFirstByte(const std::string& served, const Choice& choice, Time dispatched_at, Time now);

  // Records that a local dispatch ended without the first byte of a response.
  void OnNoFirstByte(const std::string& served, const Choice& choice, Time dispatched_at, Time now);

  // Records the time between two events of a stream of a local dispatch.
  void OnEventGap(const std::string& served, const Choice& choice, Duration gap, Time now);

  // Records that an attempt at the server ended, or went on, without a byte of an answer since
  // `since`; see core/server_paths.h.
  void RecordSilence(const ServerId& server, Time since, Time now);
  // Whether this host has lost its paths to its servers.
  bool IsCutOff() const;
  // See core/server_paths.h.
  bool TakeConnectionCheck(const ServerId& server, Time now);
  void RecordConnection(const ServerId& server, bool connected, Time now);
  // Whether this host is cut off and cannot connect to the server.
  bool CannotConnect(const ServerId& server, Time now) const;

  // Records what the server says in an answer to a local dispatch. `attributable` is false if the
  // answer may not be of this server: it does not show that the server names no limit. Tells the
  // other hosts whether a brittle server is full.
  void OnServerNotice(const ServerId& server, uint64_t incarnation, const ServerNotice& notice,
                      bool attributable, Time dispatched_at, Time now);
  // Records what another host saw.
  void OnRemoteRoomReport(const RoomReport& report, Time now);
  // Returns what this host knows of brittle servers.
  std::vector<RoomReport> KnownRoomReports(Time now) const;

  // Returns the work that this host currently has at each backend server, and the limits it saw.
  std::vector<ServerWork> WorkInFlight() const;

  // Ends a dispatch to another host and places queued requests.
  void EndForward(const DomainId& domain, Time dispatched_at, ForwardOutcome outcome, Time now);

  // Returns the requests that this host has in flight on the server. Call before EndLocal(),
  // which removes the request from them.
  LossEvidence CollectLossEvidence(const ServerId& server) const;

  // Records that the server was lost and reports its contents as suspects to the other hosts.
  void RecordServerLoss(const LossEvidence& evidence, Time now);
  // Records contents that were condemned before this process started, then calls `on_condemned` for
  // each content that is condemned from now on, and `on_revoked` for each part that is no longer
  // suspected. Call it before any other method.
  void RestoreCondemned(const std::vector<KnownSuspect>& contents, CondemnedCallback on_condemned,
                        RevokedCallback on_revoked);
  // Returns what this host knows of suspects, to tell a host that may have missed reports.
  std::vector<SuspectReport> KnownSuspects(Time now) const;
  // Another host reported a suspect, or that its content completed.
  void OnRemoteSuspect(const SuspectReport& report);
  // A request with this content completed here, which clears a suspicion.
  void OnCompleted(uint64_t content);
  // A server has written an answer to a request with these parts for kPartProofTime, or the whole
  // answer.
  void OnPartsAnswered(const std::vector<uint64_t>& parts);
  PoisonVerdict Verdict(uint64_t content, Time now) const;
  // Returns the time until a request may run again whose content or one of whose parts is
  // condemned; nullopt if none is.
  std::optional<Duration> RefusedFor(const RequestContent& content, Time now) const;
  // Returns whether reports of other hosts may revoke a condemnation: only one by a loss of a
  // server on which a suspect was placed alone.
  bool MayRevokeCondemnations() const { return suspect_placement_ == SuspectPlacement::kAlone; }
  // Returns whether a request with this content must run alone on a server.
  bool MustRunAlone(uint64_t content, Time now) const;

  // Retry budgets; see core/retry.h.
  void CountRequest(const TeamId& team, int retry_percent);
  RetryDecision MayRetry(const TeamId& team, const RetryState& retry_state, Run outcome,
                         Time deadline, Time now);

  // Hedging; see core/hedging.h. `route` names the route among all teams.

  void OnOwnRequest(const HedgingConfig& limits, int64_t prompt_tokens);
  void RecordFirstByteTime(const std::string& route, int64_t prompt_tokens, Duration time,
                           Time now);
  std::optional<Duration> HedgeDelay(const std::string& route, int64_t prompt_tokens,
                                     Time now) const;
  void OnTurnedAway(const std::string& served, Time now);
  // Places the hedge of an open attempt, whose server the query avoids: checks the pressure, the
  // limits and the retry budget, and draws on them. A placement is recorded as by Place().
  // `retry_state` counts the open attempt as a run.
  HedgePlacement PlaceHedge(RouteQuery query, const RoutingView& view, const TeamId& budget,
                            const RetryState& retry_state, Time now);

  // Limits of workspaces; see core/limit_shares.h.
  void SetLimitTolerance(const LimitTolerance& tolerance);
  LimitVerdict AdmitToLimit(const WorkspaceConfig& workspace, double cost, Time arrived, bool first,
                            Time now);
  void CancelLimitWait(const WorkspaceId& workspace, double cost);
  void RefundToLimit(const WorkspaceId& workspace, double cost, Time now);
  std::optional<LimitAsk> TakeLimitAsk(Time now);
  void OnLimitAnswer(const std::optional<LimitAnswer>& answer, Time sent, Time now);
  std::vector<LimitState> LimitStates(Time now) const;

  // Installs a new routing view and places queued requests.
  void OnView(std::shared_ptr<const RoutingView> view, Time now);

  // Expires queued requests and suspects. Call about every 20 ms.
  void Tick(Time now);

  DispatcherStats Stats() const;

 private:
  struct WaitingRequest {
    RouteQuery query;
    std::shared_ptr<const ConfigView> config;  // keeps query.route alive
    PlacementCallback on_ready;
  };
  bool IsSuspect(const RouteQuery& query, Time now) const;
  using ReadyCallbacks = std::vector<std::pair<PlacementCallback, Choice>>;

  // Whether the request is to run through another host.
  // The newest view, or an empty one before the first.
  const RoutingView& ViewOrEmpty() const;
  bool MustRelay(const RouteQuery& query, Time now) const;
  void RecordPlacement(const Choice& choice, const RouteQuery& query, Time now);
  void PlaceQueued(Time now, ReadyCallbacks* ready_callbacks);
  Choice RefusalOfExpired(const RouteQuery& query, Time now);
  void SetRetryAfter(const RouteQuery& query, Time now, Duration* retry_after);
  static void RunCallbacks(ReadyCallbacks ready_callbacks);

  void SetServersAside();
  // A request in flight on a server.
  struct RunningRequest {
    RunningContent content;
    std::vector<RunningContent> parts;
  };

  PoisonState& PoisonOf(bool is_part) { return is_part ? part_poison_ : poison_; }
  void OnSuspectKnown(const SuspectReport& report);
  // Whether the report is of a part that servers answer for this host, which disproves it.
  bool IsAnsweredHere(const SuspectReport& report, Time now) const;
  void ClearSuspicion(const SuspectReport& report);
  // Removes a part that was answered. Returns whether it was a suspect.
  bool RemovePart(uint64_t part);
  // The parts of the requests, each once, of which no server has answered a request recently.
  std::vector<RunningContent> UnprovenParts(const std::vector<RunningRequest>& requests) const;
  void ReportCompletion(uint64_t content, bool is_part);
  // Appends reports of the findings that are news.
  void AddReports(const std::vector<LossFinding>& findings, const LossEvidence& evidence,
                  bool is_part, std::vector<SuspectReport>* reports);
  // Logs a loss, and passes on that it condemned the content. `source` is "own" if this host
  // observed the loss, "peer" if another one reported it; `age` is the time since the loss.
  void HandleFinding(const LossFinding& finding, bool is_part, const ServerId& server,
                     const char* source, Duration age = Duration(0));

  ControlPort* const control_;
  const SuspectPlacement suspect_placement_;
  CondemnedCallback on_condemned_;  // may be null
  RevokedCallback on_revoked_;      // may be null
  mutable std::mutex mutex_;
  std::mt19937_64 rng_;
  RoutingState routing_state_;
  ServerPaths paths_;
  Admission admission_;
  RetryBudgets budgets_;
  HedgingState hedging_;
  PoisonState poison_;       // of whole requests
  PoisonState part_poison_;  // of parts of prompts
  ProvenContents proven_parts_;
  LimitShares limits_;
  std::shared_ptr<const RoutingView> view_;
  std::unordered_map<QueueId, WaitingRequest> waiting_;
  std::atomic<uint64_t> last_queue_id_{0};
  std::unordered_map<ServerId, std::vector<RunningRequest>> running_;  // in flight
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DISPATCHER_H_
