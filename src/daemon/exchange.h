#ifndef EBONYLIFT_DAEMON_EXCHANGE_H_
#define EBONYLIFT_DAEMON_EXCHANGE_H_

// One request from arrival to its final answer.
//
// An Exchange lives in the ExchangeTable of one traffic thread and is addressed by its id: every
// callback looks the id up again, so an answer that arrives after the end finds nothing. The stages
// are: admit, claim the idempotency key (or forward to its owner), place, run, answer. Whatever
// fails, exactly one final answer goes to the caller.
//
// Not thread safe: all methods run on the traffic thread. Memory of an exchange: the request body
// (bounded by the HTTP limits) and what its AnswerRelay holds.

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
#include "core/outcome.h"
#include "daemon/answer_relay.h"
#include "daemon/attempt_call.h"
#include "daemon/dispatcher.h"
#include "daemon/key_claim.h"
#include "daemon/request.h"
#include "ports/control_port.h"

namespace ebonylift {

class ExchangeTable;

// What the exchanges of one traffic thread share. Pointers outlive the table.
struct ExchangeContext {
  asio::io_context* io = nullptr;
  HttpClient* client = nullptr;
  Dispatcher* dispatcher = nullptr;
  RecordStore* records = nullptr;
  ControlPort* control = nullptr;
  Metrics* metrics = nullptr;
  std::string cluster_key;
  ExchangeTable* table = nullptr;
};

class Exchange {
 public:
  Exchange(uint64_t id, const ExchangeContext& context, RequestSpec spec,
           std::shared_ptr<HttpResponder> responder);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Begins; may end the exchange before it returns.
  void Start();

 private:
  // Stages.
  void ClaimKey();
  void OnClaim(const ClaimResult& result, std::optional<ErrorKind> error);
  void ForwardToOwner(const HostId& owner);
  void Place();
  bool RefreshView();
  void OnPlace(const Choice& choice);
  void Wait();
  void OnWake(const Choice& choice);
  void Run(const Choice& choice);
  void Forward(const HostEntry& host, bool crosses, const DomainId& domain);

  // Progress of the open attempt; late callbacks carry an older attempt number.
  void OnHeaders(uint32_t attempt, int status, const HttpHeaders& headers);
  bool OnData(uint32_t attempt, std::string_view data);
  void OnDone(uint32_t attempt, const CallResult& result);
  void OnComplete();
  void OnForwardedAnswer();
  void OnDialectAnswer();
  void OnStreamEnd();
  void OnAttemptFailed(const CallResult& result, ebonylift::Run run);
  void FailAttempt(ebonylift::Run run, ServerOutcome outcome);
  void ConfirmNotStarted(const CallResult& result);
  void CheckServerLost(const CallResult& result);
  void ProbeServer(const LossEvidence& evidence, const CallResult& result, int probes);
  void RetryOrRefuse(ebonylift::Run run);
  void Repeat();
  bool TryResume();
  bool TryResumeElsewhere();
  void WatchAttempt(uint32_t attempt);
  void OnWatch(uint32_t attempt);

  // Ends.
  void Deliver();
  void RelayPeerError();
  void RefuseOutcome();
  void Refuse(ErrorKind kind, const std::string& message, Duration retry_after = Duration{0});
  void OnCallerGone();
  void EndAttempt(ServerOutcome outcome);
  void CancelAttempt();
  void Finish();

  // Helpers.
  bool NeedsRecord() const;
  TeamId BudgetKey() const;
  RetryRule MakeRetryRule() const;
  RouteQuery Query() const;
  Time FirstByteBy() const;
  Time FirstByteAt() const;
  HttpHeaders AnswerHeaders() const;
  HttpCall NewCall(const std::string& url, uint32_t attempt);
  void StartAttempt(const std::string& address, const std::string& path, HttpHeaders headers,
                    Time now);
  void Relay(std::string_view data);
  void CountByte();
  void RunLater(Duration delay, std::function<void(Exchange*)> step);

  const uint64_t id_;
  const ExchangeContext context_;
  RequestSpec spec_;
  AnswerRelay answer_;
  KeyClaim claim_;
  RequestAttempts attempts_;
  OpenAttempt open_;
  asio::steady_timer timer_;
  asio::steady_timer watch_timer_;

  bool admitted_ = false;
  bool waiting_ = false;
  bool finished_ = false;
  bool to_owner_ = false;  // the open attempt goes to the owner of the key
  bool condemnation_checked_ = false;
  std::vector<ServerId> avoid_servers_;
  std::vector<HostId> avoid_hosts_;

  Time last_byte_;  // of the open attempt
  Time first_byte_at_;
  Duration longest_gap_{0};  // between two bytes of the answer
  bool first_byte_seen_ = false;
};

// The exchanges of one traffic thread, by id.
class ExchangeTable {
 public:
  // Adds and starts an exchange.
  void Start(const ExchangeContext& context, RequestSpec spec,
             std::shared_ptr<HttpResponder> responder);
  Exchange* Find(uint64_t id);
  void Erase(uint64_t id);
  size_t size() const { return size_; }  // thread safe

 private:
  uint64_t next_id_ = 1;
  std::atomic<size_t> size_{0};
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_EXCHANGE_H_
