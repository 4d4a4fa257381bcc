#ifndef EBONYLIFT_TESTING_ENGINE_H_
#define EBONYLIFT_TESTING_ENGINE_H_

// Stand-in for a model engine: OpenAI-compatible responses with the timing of an engine that
// batches requests.
//
// Paths: POST /v1/chat/completions, /v1/completions, /v1/cancel, /v1/resume, /v1/orders;
// GET /v1/models, /v1/cache-events?since=, /healthz; /standin/* of StandinServer.
//
// A request whose prompt contains "crash-server" makes the process exit with code 70 when it starts
// to run. A stream whose connection closes continues for `resume_window`, so that it can be
// resumed, and is then cancelled. A request without `stream` is cancelled as soon as its connection
// closes.
//
// Orders. An order id is executed once; a duplicate is accepted without effect. With
// `checks_fencing`, an order whose fencing token is below the highest one seen is rejected with
// 409. When the weight store rejects a load with 429, the response is 429 and the order id is not
// remembered, so the order can be retried. The run record has one entry for each received order,
// with the outcome order_accepted (executed), order_repeated, order_refused, order_busy or
// order_pending.
//
// Memory is bounded: the batch by its own limits; ended generations, cancelled attempts, cache
// events and order ids by the constants in engine.cc.

#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "testing/batch.h"
#include "testing/generation.h"
#include "testing/prefix_cache.h"
#include "testing/standin_server.h"

namespace ebonylift::standin {

struct EngineModel {
  std::string version;
  std::set<std::string> adapters;
};

struct EngineSettings {
  BatchSettings batch;
  int64_t cache_tokens = 200'000;
  std::map<std::string, EngineModel> models;
  std::string role = "mixed";
  std::vector<std::string> capabilities;
  bool checks_fencing = true;
  Duration load_time{0};     // time to load a model, adapter or version
  std::string weight_store;  // host:port; empty: none
  Duration resume_window = milliseconds(3000);
  Duration termination_grace = milliseconds(3000);  // requests are accepted this long after SIGTERM
  Duration cache_event_delay = milliseconds(500);
  int cache_event_gap = 20;  // one in this many cache events is dropped; 0: none
};

class Engine {
 public:
  Engine(asio::io_context& io, EngineSettings settings);
  ~Engine();

  // Serves until a graceful shutdown has completed.
  void Run();

 private:
  struct CacheEvent {
    uint64_t seq = 0;
    Time at;
    CacheChange change;
  };
  using GenerationPtr = std::shared_ptr<Generation>;

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void HandleCompletion(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder);
  void HandleCancel(const HttpRequest& request, HttpResponder& responder);
  void HandleResume(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void HandleOrder(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void HandleCacheEvents(const HttpRequest& request, HttpResponder& responder);
  void HandleModels(HttpResponder& responder);

  // Batch.
  // Does nothing while a step is in progress or when there is no job.
  void StartNextStep();
  void OnAdmitted(const BatchJob& job);
  void FinishStep(const BatchStep& step);
  void FinishGeneration(const GenerationPtr& generation);
  void Cancel(const GenerationPtr& generation, const std::string& outcome);
  void RetainEndedGeneration(const GenerationPtr& generation);

  // Responses.
  void AttachResponder(const GenerationPtr& generation,
                       const std::shared_ptr<HttpResponder>& responder);
  void OnConnectionClosed(uint64_t id, const HttpResponder* responder);
  void CancelIfDetached(uint64_t id);
  void WriteAvailableTokens(const GenerationPtr& generation);
  void InjectStreamBreak(const GenerationPtr& generation);

  // Orders.
  using OrderReply = std::function<void(int status, const std::string& outcome)>;
  void ExecuteOrder(const nlohmann::json& order, const OrderReply& reply);
  void RememberOrder(const std::string& id);
  // `reply` is empty when the response to the order was already sent.
  void FetchWeightsAndLoad(const nlohmann::json& order, const OrderReply& reply);
  void LoadAfterDelay(const nlohmann::json& order);
  void InstallModel(const nlohmann::json& order);
  void UnloadModel(const nlohmann::json& order);

  void RecordCacheEvents(const std::vector<CacheChange>& changes);
  nlohmann::json MakeAnnouncement() const;
  nlohmann::json StateJson() const;
  Load MeasureLoad() const;
  void OnFaultChange();
  void OnTerminate();
  void StopWhenIdle();
  void RunAfter(Duration delay, std::function<void()> fn);

  asio::io_context& io_;
  EngineSettings settings_;
  BatchState batch_;
  PrefixCache cache_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<StandinServer> server_;
  asio::steady_timer step_timer_;
  Time step_due_;
  bool step_in_progress_ = false;
  bool was_idle_ = true;  // the batch was empty, so the next step starts without catch-up
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, GenerationPtr> generations_;
  std::unordered_map<std::string, uint64_t> generation_ids_by_key_;
  std::deque<uint64_t> ended_ids_;               // ids of retained ended generations, oldest first
  std::set<std::string> cancelled_keys_;         // keys of attempts that must not start
  std::deque<std::string> cancelled_key_queue_;  // the same keys, oldest first
  std::deque<CacheEvent> cache_events_;
  uint64_t cache_seq_ = 0;
  uint64_t highest_fencing_token_ = 0;        // highest fencing token of any order so far
  std::set<std::string> accepted_order_ids_;  // ids of accepted orders
  std::deque<std::string> order_id_queue_;    // the same ids, oldest first
  // Ids of orders that wait for the first response of the weight store.
  std::set<std::string> fetching_order_ids_;
  int loading_ = 0;
  bool leaving_ = false;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ENGINE_H_
