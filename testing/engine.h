#ifndef EBONYLIFT_TESTING_ENGINE_H_
#define EBONYLIFT_TESTING_ENGINE_H_

// The model engine stand-in: OpenAI-compatible answers with the timing of a batching engine.
//
// Paths: POST /v1/chat/completions, /v1/completions, /v1/cancel, /v1/resume, /v1/orders;
// GET /v1/models, /v1/cache-events?since=, /healthz; /standin/* of StandinServer.
//
// A message that contains "crash-server" ends the process with code 70 when it starts to run.
// A stream whose connection closes goes on for `resume_window`, so that it can be resumed, and is
// then cancelled. A request without `stream` is cancelled at once.
//
// Orders. An order id is executed once; a repetition is accepted without effect. With
// `checks_fencing`, any order with a token below the highest one seen is refused with 409. A load
// that the weight store refuses with 429 is answered with 429 and not remembered. The record has
// one entry for each order: order_accepted (executed), order_repeated, order_refused, order_busy,
// order_pending.
//
// Memory is bounded: the batch by its own limits, ended generations, tombstones of cancelled
// attempts, cache events and orders by the constants in engine.cc.

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
  Duration load_time{0};     // to load a model, adapter or version
  std::string weight_store;  // host:port; empty: none
  Duration resume_window = milliseconds(3000);
  Duration leave_time = milliseconds(3000);  // requests are accepted this long after SIGTERM
  Duration cache_event_delay = milliseconds(500);
  int cache_event_gap = 20;  // one of this many cache events is lost; 0: none
};

class Engine {
 public:
  Engine(asio::io_context& io, EngineSettings settings);
  ~Engine();

  // Serves until a planned stop ends.
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
  void Advance();
  void OnStarted(const BatchJob& job);
  void EndStep(const BatchStep& step);
  void FinishGeneration(const GenerationPtr& generation);
  void Cancel(const GenerationPtr& generation, const std::string& outcome);
  void Forget(const GenerationPtr& generation);

  // Answers.
  void Attach(const GenerationPtr& generation, const std::shared_ptr<HttpResponder>& responder);
  void OnConnectionClosed(uint64_t id, const HttpResponder* responder);
  void ExpireDetached(uint64_t id);
  void Pump(const GenerationPtr& generation);
  void BreakStream(const GenerationPtr& generation);

  // Orders.
  using OrderAnswer = std::function<void(int status, const std::string& outcome)>;
  void Execute(const nlohmann::json& order, const OrderAnswer& answer);
  void RememberOrder(const std::string& id);
  // `answer` may be empty: the order was answered before.
  void FetchWeights(const nlohmann::json& order, const OrderAnswer& answer);
  void LoadAfterDelay(const nlohmann::json& order);
  void InstallModel(const nlohmann::json& order);
  void UnloadModel(const nlohmann::json& order);

  void NoteCacheChanges(const std::vector<CacheChange>& changes);
  nlohmann::json Describe() const;
  nlohmann::json State() const;
  Load Measure() const;
  void OnFaultChange();
  void OnTerminate();
  void StopWhenIdle();
  void After(Duration delay, std::function<void()> fn);

  asio::io_context& io_;
  EngineSettings settings_;
  BatchState batch_;
  PrefixCache cache_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<StandinServer> server_;
  asio::steady_timer step_timer_;
  Time step_due_;
  bool stepping_ = false;
  bool idle_ = true;  // the last step ended with an empty batch
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, GenerationPtr> generations_;
  std::unordered_map<std::string, uint64_t> ids_by_key_;
  std::deque<uint64_t> ended_;
  std::set<std::string> cancelled_;  // attempts that must not start
  std::deque<std::string> cancelled_order_;
  std::deque<CacheEvent> cache_events_;
  uint64_t cache_seq_ = 0;
  uint64_t highest_fencing_ = 0;
  std::set<std::string> orders_;  // ids of accepted orders
  std::deque<std::string> order_ids_;
  std::set<std::string> fetching_;  // ids of orders whose first answer of the weight store is due
  int loading_ = 0;
  bool leaving_ = false;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ENGINE_H_
