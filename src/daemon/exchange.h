#ifndef EBONYLIFT_DAEMON_EXCHANGE_H_
#define EBONYLIFT_DAEMON_EXCHANGE_H_

// Handles one request, from its arrival to its final response.
//
// An Exchange belongs to the ExchangeTable of one traffic thread and is identified by its id. Every
// callback looks the id up again, so a callback that fires after the exchange has ended is ignored.
// The stages are: admission, claim of the idempotency key (or forwarding to the host that owns the
// key), placement, dispatch to a backend server or another host, response. The caller gets exactly
// one final response, whatever fails.
//
// Not thread safe: all methods run on the traffic thread. Memory of an exchange: the request body
// (bounded by the HTTP limits) and the buffers of its AnswerRelay.

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "core/attempt.h"
#include "core/drain.h"
#include "core/hedging.h"
#include "core/lateness.h"
#include "core/load_shedding.h"
#include "core/outcome.h"
#include "daemon/answer_relay.h"
#include "daemon/attempt_call.h"
#include "daemon/dispatcher.h"
#include "daemon/key_claim.h"
#include "daemon/request.h"
#include "daemon/stream_origin_table.h"
#include "ports/control_port.h"

namespace ebonylift {

class ExchangeTable;

// Dependencies shared by all exchanges of one traffic thread. The pointed-to objects must outlive
// the table.
struct ExchangeContext {
  asio::io_context* io = nullptr;
  HttpClient* client = nullptr;
  Dispatcher* dispatcher = nullptr;
  RecordStore* records = nullptr;
  StreamOriginTable* stream_origins = nullptr;
  ControlPort* control = nullptr;
  Metrics* metrics = nullptr;
  LoadShedding* load_shedding = nullptr;
  const DrainTimes* drain = nullptr;
  std::string cluster_key;
  int hedge_percent = 0;  // see Settings
  ExchangeTable* table = nullptr;
};

// The second attempt of a hedged request. Its response has no body yet.
struct HedgeAttempt {
  OpenAttempt open;
  int status = 0;  // 0: no headers have arrived
  HttpHeaders headers;
  ResponseKind kind = ResponseKind::kAnswer;
};

class Exchange {
 public:
  Exchange(uint64_t id, const ExchangeContext& context, RequestSpec spec,
           std::shared_ptr<HttpResponder> responder);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Starts processing; the exchange may have ended when this returns.
  void Start();

  // Ends the exchange because this process ends. A caller that has had no part of a response gets
  // one that says whether the request may have run.
  void EndForShutdown();

  // Whether an attempt is open. A hedge is open only beside another attempt.
  bool is_sent() const { return open_attempt_.number != 0; }

  // Whether the exchange has ended. It is erased later, so events may still be queued for it.
  bool finished() const { return finished_; }

  // The memory that the response of the open attempt takes, in bytes; 0 if none is open.
  size_t BufferedBytes() const { return is_sent() ? relay_.BufferedBytes() : 0; }

  // Ends the open attempt because the responses of all requests take too much memory.
  // Precondition: is_sent().
  void EndLargestResponse();

 private:
  // The cost of the request that was charged to the limit of its workspace.
  struct LimitCharge {
    WorkspaceId workspace;
    double cost = 0;
  };

  void AdmitToLimit(bool first);
  void StartStages();
  // Stages: claim of the key, placement, queueing and dispatch.
  void ClaimKey();
  void OnClaim(const ClaimResult& result, std::optional<ErrorKind> error);
  void ForwardToOwner(const HostId& owner);
  bool TakesUpStream() const;
  void FindOrigin();
  void OnStreamSearched(const StreamSearch& search);
  void ConfirmOnlyOrigin();
  void TakeUpStream(const std::optional<StreamOrigin>& origin);
  void Place();
  // Returns whether it refused the request, which ends the exchange.
  bool RefuseIfCondemned();
  std::optional<Error> RefreshView();
  void HandlePlacement(const Choice& choice);
  void EnqueueRequest(Time hold_until);
  void OnQueueResult(const Choice& choice);
  void DispatchToServer(const Choice& choice);
  void DispatchToHost(const HostEntry& host, bool crosses_region, const DomainId& domain);

  // Events of the open attempt. A callback of an earlier attempt carries that attempt's number and
  // is ignored.
  void OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers);
  bool OnData(uint32_t attempt, std::string_view data);
  void OnDone(uint32_t attempt, const CallResult& result);
  void EndContinuation(int status, const HttpHeaders& headers);
  void OnComplete();
  void OnForwardedError();
  void OnDialectResponse();
  void OnStreamEnd();
  void OnAttemptFailed(const CallResult& result, ebonylift::Run run);
  void RecordPathFailure(const OpenAttempt& attempt, const CallResult& result);
  void RecordAttemptFailure(ebonylift::Run run, ServerOutcome outcome);
  void ConfirmNotStarted(const CallResult& result);
  void CheckServerLost(const CallResult& result);
  HttpCall MakeProbeCall(const std::string& address) const;
  void ProbeLostServer(const OpenAttempt& attempt);
  // Says why the open attempt, which its server broke off, does not count as a loss of the server.
  void LogLossNotRecorded(const char* reason) const;
  void ProbeServer(const LossEvidence& evidence, const CallResult& result, int probes);
  void RetryOrRefuse(ebonylift::Run run);
  void ScheduleRetry();
  bool TryResumeOnSameServer();
  bool TryContinueOnOtherServer();
  void ScheduleLivenessCheck(uint32_t attempt);
  void CheckLiveness(uint32_t attempt);
  void CheckConnection(Time now);
  bool WaitsOnLostPath(Duration silence, Time now) const;

  // Hedging: a second attempt beside the open one, which has had no byte yet; see core/hedging.h.
  HedgingConfig HedgeLimits() const;
  bool MayBeHedged() const;
  std::string HedgeRoute() const;
  void RecordFirstByteTime(Time now) const;
  void ScheduleHedge();
  void OnHedgeDue(uint32_t attempt);
  void SendHedge(const Choice& choice, const BackendServer& server);
  bool IsHedge(uint32_t attempt) const { return hedge_ && hedge_->open.number == attempt; }
  void OnHedgeHeaders(int status, const HttpHeaders& headers);
  void OnHedgeDone(const CallResult& result);
  bool FirstAttemptIsGood() const;
  void WinHedge();
  bool TakeOverByHedge();
  void PromoteHedge(const char* reason);
  void FailHedge(const CallResult& result, ebonylift::Run run);
  void EndHedge(const char* reason);

  // End of an attempt or of the exchange.
  void SendResponse();
  void RelayPeerError(ErrorKind kind);
  void RefuseWithOutcomeKind();
  void Refuse(ErrorKind kind, const std::string& message, Duration retry_after = Duration{0});
  std::string WorkspaceName() const;  // empty: none
  void CountWorkspaceRefusal();
  void OnCallerDisconnected();
  // Ends the exchange if its caller has left, also if that event is still queued. Returns whether
  // the exchange has ended.
  bool EndIfCallerLeft();
  void EndAttempt(ServerOutcome outcome);
  void EndPlacement(const OpenAttempt& attempt, ServerOutcome outcome);
  void CancelAttempt();
  void CancelCall(OpenAttempt* attempt);
  void Finish();

  // Helpers.
  bool NeedsKeyClaim() const;
  TeamId RetryBudgetKey() const;
  RetryState CurrentRetryState() const;
  LateCause CauseOfLateness() const;
  double ExpectedEvents() const;
  RouteQuery MakeRouteQuery() const;
  Time FirstByteDeadline() const;
  Time FirstByteTime() const;
  HttpHeaders MakeResponseHeaders() const;
  HttpCall NewCall(const std::string& url, uint32_t attempt);
  void StartAttempt(const std::string& address, const std::string& path, HttpHeaders headers);
  void RelayStreamData(std::string_view data);
  void RelayEvents(std::string events);
  void RecordStreamBegin();
  OpenAttempt MakeServerAttempt(const Choice& choice, Time now);
  void SetServer(const BackendServer& server, OpenAttempt* attempt) const;
  ResponseKind ClassifyHeaders(const OpenAttempt& attempt, int status, const HttpHeaders& headers);
  bool NamesOtherRequest(const HttpHeaders& headers) const;
  void EndUnusableAttempt(const char* reason);
  void RecordDataReceived();
  void ReportPace(Time now);
  void ReportAnsweredParts(Time now);
  // Calls `step` after `delay`, unless the exchange has ended, CancelStep() is called or another
  // step is set before that.
  void RunAfter(Duration delay, std::function<void(Exchange*)> step);
  void CancelStep();

  const uint64_t id_;
  const ExchangeContext context_;
  RequestSpec spec_;
  AnswerRelay relay_;
  KeyClaim claim_;
  RequestAttempts attempts_;
  OpenAttempt open_attempt_;
  std::optional<HedgeAttempt> hedge_;  // until the first good data of either attempt arrives
  bool hedge_sent_ = false;
  asio::steady_timer hedge_timer_;
  asio::steady_timer timer_;
  // Of the step that may run: the timer cannot cancel a step that is already queued.
  uint64_t step_number_ = 0;
  asio::steady_timer liveness_timer_;

  bool admitted_ = false;                      // holds one of the team's concurrency slots
  std::optional<LimitCharge> waiting_charge_;  // set while the request waits for a share
  std::optional<LimitCharge> limit_charge_;
  std::optional<QueueId> queue_id_;  // set while the request is in the dispatcher's queue
  bool finished_ = false;
  bool to_key_owner_ = false;  // the open attempt goes to the host that owns the idempotency key
  bool condemnation_checked_ = false;
  int origin_searches_ = 0;
  int connect_failures_ = 0;              // at servers
  std::vector<ServerId> failed_servers_;  // attempts there failed
  std::vector<HostId> tried_hosts_;       // already forwarded to

  Time last_data_at_;  // when the open attempt last received data, or was sent
  Time first_byte_at_;
  Duration longest_gap_{0};  // between two consecutive chunks of the response
  bool first_byte_seen_ = false;
};

// Responses that are not relayed as they arrive are held in memory: at most
// AnswerRelay::kMaxBuffer each and this much for all requests of a traffic thread together. Servers
// may send without end, so this bounds the memory of a host whatever its number of requests.
constexpr size_t kMaxBufferedBytes = 32u << 20;
// What all responses take is added up each time this much was received.
constexpr size_t kBufferCheckBytes = 1u << 20;

// Owns the exchanges of one traffic thread, by id.
class ExchangeTable {
 public:
  // Adds and starts an exchange.
  void Start(const ExchangeContext& context, RequestSpec spec,
             std::shared_ptr<HttpResponder> responder);
  // Returns null when the exchange has ended, also if it is not erased yet: an event that was
  // queued before its end must be undone like one that comes after it is erased.
  Exchange* Find(uint64_t id);
  void Erase(uint64_t id);
  // Calls EndForShutdown() of all exchanges.
  void EndForShutdown();
  // Counts received bytes of responses. Returns whether LimitBufferedBytes() is due.
  bool OnReceived(size_t bytes);
  // While all responses together take more than kMaxBufferedBytes, ends the attempt with the
  // largest. Must not be called by a callback of the HTTP client.
  void LimitBufferedBytes();
  size_t size() const { return size_; }  // thread safe

 private:
  uint64_t next_id_ = 1;
  std::atomic<size_t> size_{0};
  size_t received_since_check_ = 0;  // bytes
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_EXCHANGE_H_
