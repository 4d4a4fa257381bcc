#include "testing/engine.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "testing/flags.h"

namespace ebonylift::standin {
namespace {

using nlohmann::json;

constexpr size_t kEndedGenerations = 1024;
constexpr size_t kTombstones = 10'000;
constexpr size_t kCacheEvents = 20'000;
constexpr size_t kOrders = 1024;
// A stream stops writing above this many unsent bytes; the tokens are kept as text only.
constexpr size_t kMaxPendingBytes = 256 << 10;
// A late timer is made up for by at most this much, so that a pause of the machine is not followed
// by a burst.
constexpr Duration kMaxCatchUp = milliseconds(5);
constexpr Duration kIdlePoll = milliseconds(20);
constexpr Duration kWeightRetry = milliseconds(200);
constexpr int kCrashExitCode = 70;
constexpr int kDefaultPriority = 1;
const char kCrashMarker[] = "crash-server";

// The gateway sends the class name or its number; smaller runs first.
int ParsePriority(const std::string& text) {
  if (text == "interactive") return 0;
  if (text == "check") return 1;
  if (text == "chapter") return 2;
  return text.empty() ? kDefaultPriority : std::atoi(text.c_str());
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// `request_id` and `attempt` of a cancel or resume body; the attempt may be a number or a string.
std::string KeyOf(const json& body) {
  if (!body.is_object() || !body.contains("request_id") || !body.contains("attempt")) {
    throw Error(ErrorKind::kBadRequest, "request_id and attempt are needed");
  }
  return GenerationKey(TextOf(body["request_id"]), TextOf(body["attempt"]));
}

uint64_t QueryNumber(const std::string& query, const std::string& name) {
  for (const std::string& part : Split(query, '&')) {
    if (part.rfind(name + "=", 0) == 0)
      return std::strtoull(part.c_str() + name.size() + 1, nullptr, 10);
  }
  return 0;
}

std::string Field(const json& object, const char* name) {
  auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

Engine::Engine(asio::io_context& io, EngineSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      cache_(settings_.cache_tokens),
      client_(MakeHttpClient(io)),
      step_timer_(io) {
  batch_.settings = settings_.batch;
  StandinHooks hooks;
  hooks.work = [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    Handle(request, responder);
  };
  hooks.state = [this] { return State(); };
  hooks.on_fault_change = [this] { OnFaultChange(); };
  hooks.describe = [this] { return Describe(); };
  hooks.measure = [this] { return Measure(); };
  hooks.on_terminate = [this] { OnTerminate(); };
  server_ = std::make_unique<StandinServer>(io_, std::move(hooks));
}

Engine::~Engine() = default;

void Engine::Run() { server_->Run(); }

void Engine::After(Duration delay, std::function<void()> fn) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, fn = std::move(fn)](const asio::error_code& error) {
    if (!error) fn();
  });
}

// ---- requests

void Engine::Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  try {
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
      HandleCompletion(request, responder);
    } else if (request.path == "/v1/cancel") {
      HandleCancel(request, *responder);
    } else if (request.path == "/v1/resume") {
      HandleResume(request, responder);
    } else if (request.path == "/v1/orders") {
      HandleOrder(request, responder);
    } else if (request.path == "/v1/cache-events") {
      HandleCacheEvents(request, *responder);
    } else if (request.path == "/v1/models") {
      HandleModels(*responder);
    } else if (request.path == "/healthz") {
      SendJson(*responder, 200, {{"status", "ok"}});
    } else {
      SendError(*responder, 404, "unknown_path", "no such path: " + request.path);
    }
  } catch (const Error& error) {
    SendError(*responder, LookupError(error.kind()).http_status, LookupError(error.kind()).code,
              error.what());
  }
}

void Engine::HandleCompletion(const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  auto generation = std::make_shared<Generation>();
  generation->prompt = ParsePrompt(request.body);
  generation->chat = request.path == "/v1/chat/completions";
  RunEntry entry = EntryFromRequest(request);
  entry.user = generation->prompt.user;
  generation->key = GenerationKey(entry.request_id, entry.attempt);
  bool named = !entry.request_id.empty();
  generation->record_seq = server_->record().Add(std::move(entry));
  if (settings_.models.count(generation->prompt.model) == 0) {
    server_->record().Finish(generation->record_seq, "model_not_loaded");
    SendError(*responder, 404, "model_not_loaded", "the model is not loaded");
    return;
  }
  if (named && cancelled_.count(generation->key) > 0) {
    server_->record().Finish(generation->record_seq, "cancelled");
    SendError(*responder, 409, "cancelled", "this attempt was cancelled before it arrived");
    return;
  }
  generation->id = next_id_++;
  BatchJob job;
  job.id = generation->id;
  job.priority = ParsePriority(FindHeader(request.headers, "x-ebonylift-priority"));
  job.prompt_tokens = PromptTokens(generation->prompt);
  job.output_tokens = generation->prompt.output_tokens;
  if (!Enqueue(batch_, job)) {
    server_->record().Finish(generation->record_seq, "queue_full");
    SendError(*responder, 503, "queue_full", "the waiting queue is full");
    return;
  }
  Faults& faults = server_->faults();
  if ((faults.lose_answer || faults.break_after >= 0) && TakeCountedFault(faults)) {
    generation->lose_answer = faults.lose_answer;
    generation->break_after = faults.break_after;
  }
  generation->tokens = AnswerTokens(generation->prompt);
  generations_[generation->id] = generation;
  if (named) ids_by_key_[generation->key] = generation->id;
  Attach(generation, responder);
  Advance();
}

// An attempt that has not arrived yet is remembered, so that `started: false` stays true.
void Engine::HandleCancel(const HttpRequest& request, HttpResponder& responder) {
  std::string key = KeyOf(json::parse(request.body, nullptr, false));
  auto id = ids_by_key_.find(key);
  if (id == ids_by_key_.end()) {
    if (cancelled_.insert(key).second) cancelled_order_.push_back(key);
    if (cancelled_order_.size() > kTombstones) {
      cancelled_.erase(cancelled_order_.front());
      cancelled_order_.pop_front();
    }
    SendJson(responder, 200, {{"started", false}, {"finished", false}});
    return;
  }
  GenerationPtr generation = generations_.at(id->second);
  json answer = {{"started", generation->started}, {"finished", generation->finished}};
  if (!generation->finished) Cancel(generation, "cancelled");
  SendJson(responder, 200, answer);
}

void Engine::HandleResume(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  json body = json::parse(request.body, nullptr, false);
  auto id = ids_by_key_.find(KeyOf(body));
  if (id == ids_by_key_.end() || !generations_.at(id->second)->prompt.stream) {
    SendError(*responder, 404, "unknown_stream", "no stream of this request and attempt");
    return;
  }
  if (!body.contains("offset") || !body["offset"].is_number_unsigned()) {
    throw Error(ErrorKind::kBadRequest, "offset is needed");
  }
  GenerationPtr generation = generations_.at(id->second);
  if (!SeekTo(*generation, body["offset"].get<size_t>())) {
    SendError(*responder, 409, "offset_ahead", "the offset is beyond the generated text");
    return;
  }
  // The earlier connection may be half open; it must not get bytes of the resumed stream.
  if (generation->responder) std::exchange(generation->responder, nullptr)->Abort();
  generation->begun = false;
  generation->chunks = 0;
  Attach(generation, responder);
  Pump(generation);
}

void Engine::HandleCacheEvents(const HttpRequest& request, HttpResponder& responder) {
  uint64_t since = QueryNumber(request.query, "since");
  Time visible = SteadyNow() - settings_.cache_event_delay;
  json events = json::array();
  for (const CacheEvent& event : cache_events_) {
    if (event.seq <= since || event.at > visible) continue;
    events.push_back({{"seq", event.seq},
                      {"action", event.change.stored ? "stored" : "evicted"},
                      {"block", event.change.block}});
  }
  SendJson(responder, 200, {{"events", events}});
}

void Engine::HandleModels(HttpResponder& responder) {
  json data = json::array();
  for (const auto& [name, model] : settings_.models) {
    data.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", FLAGS_id}});
  }
  SendJson(responder, 200, {{"object", "list"}, {"data", data}});
}

// ---- batch

void Engine::Advance() {
  if (stepping_) return;
  for (const BatchJob& job : AdmitWaiting(batch_)) OnStarted(job);
  if (batch_.running.empty()) {
    idle_ = true;
    return;
  }
  BatchStep step = PlanStep(batch_);
  auto duration = Duration(static_cast<int64_t>(step.duration.count() * server_->faults().slow));
  Time now = SteadyNow();
  Time start = idle_ ? now : std::max(step_due_, now - kMaxCatchUp);
  step_due_ = start + duration;
  idle_ = false;
  stepping_ = true;
  step_timer_.expires_at(step_due_);
  step_timer_.async_wait([this, step](const asio::error_code& error) {
    if (!error) EndStep(step);
  });
}

void Engine::OnStarted(const BatchJob& job) {
  GenerationPtr generation = generations_.at(job.id);
  server_->record().Start(generation->record_seq);
  if (generation->prompt.text.find(kCrashMarker) != std::string::npos) {
    LOG(ERROR) << "request " << generation->key << " contains " << kCrashMarker << "; exiting";
    _exit(kCrashExitCode);
  }
  generation->started = true;
  std::vector<CacheChange> changes;
  generation->cached_tokens = cache_.Use(generation->prompt.text, changes);
  NoteCacheChanges(changes);
  SetPrefill(batch_, job.id, std::max(0, job.prompt_tokens - generation->cached_tokens));
  Pump(generation);
}

void Engine::EndStep(const BatchStep& step) {
  stepping_ = false;
  for (uint64_t id : step.emitted) {
    auto it = generations_.find(id);
    if (it == generations_.end() || it->second->finished) continue;
    GenerationPtr generation = it->second;
    ++generation->generated;
    if (generation->generated < generation->tokens.size()) Pump(generation);
  }
  for (uint64_t id : step.finished) {
    auto it = generations_.find(id);
    if (it != generations_.end() && !it->second->finished) FinishGeneration(it->second);
  }
  Advance();
}

void Engine::FinishGeneration(const GenerationPtr& generation) {
  generation->finished = true;
  const char* outcome = generation->lose_answer ? "answer_lost" : "completed";
  server_->record().Finish(generation->record_seq, outcome,
                           static_cast<int64_t>(generation->generated));
  Forget(generation);
  if (generation->lose_answer && generation->responder) {
    std::exchange(generation->responder, nullptr)->Abort();
    return;
  }
  Pump(generation);
}

void Engine::Cancel(const GenerationPtr& generation, const std::string& outcome) {
  Remove(batch_, generation->id);
  generation->finished = true;
  server_->record().Finish(generation->record_seq, outcome,
                           static_cast<int64_t>(generation->generated));
  Forget(generation);
  generation->tokens.resize(generation->generated);
  if (generation->responder) std::exchange(generation->responder, nullptr)->Abort();
}

// Keeps the ended generation for late cancels and resumes, and drops the oldest one.
void Engine::Forget(const GenerationPtr& generation) {
  ended_.push_back(generation->id);
  if (ended_.size() <= kEndedGenerations) return;
  auto oldest = generations_.find(ended_.front());
  ended_.pop_front();
  if (oldest == generations_.end()) return;
  auto key = ids_by_key_.find(oldest->second->key);
  if (key != ids_by_key_.end() && key->second == oldest->first) ids_by_key_.erase(key);
  generations_.erase(oldest);
}

// ---- answers

void Engine::Attach(const GenerationPtr& generation,
                    const std::shared_ptr<HttpResponder>& responder) {
  generation->responder = responder;
  uint64_t id = generation->id;
  const HttpResponder* attached = responder.get();
  responder->OnClosed([this, id, attached] { OnConnectionClosed(id, attached); });
  if (!generation->prompt.stream) return;
  std::weak_ptr<Generation> weak = generation;
  responder->OnDrained([this, weak] {
    if (GenerationPtr held = weak.lock()) Pump(held);
  });
}

void Engine::OnConnectionClosed(uint64_t id, const HttpResponder* responder) {
  auto it = generations_.find(id);
  if (it == generations_.end() || it->second->responder.get() != responder) return;
  GenerationPtr generation = it->second;
  generation->responder = nullptr;
  if (generation->finished) return;
  if (!generation->prompt.stream || !generation->started) {
    Cancel(generation, generation->started ? "caller_gone" : "cancelled");
    return;
  }
  After(settings_.resume_window, [this, id] { ExpireDetached(id); });
}

void Engine::ExpireDetached(uint64_t id) {
  auto it = generations_.find(id);
  if (it == generations_.end() || it->second->responder || it->second->finished) return;
  Cancel(it->second, "caller_gone");
  Advance();
}

// Hands to the responder what was generated and fits in its buffer.
void Engine::Pump(const GenerationPtr& generation) {
  std::shared_ptr<HttpResponder> responder = generation->responder;
  if (!responder || server_->faults().stall) return;
  if (!generation->prompt.stream) {
    if (!generation->finished) return;
    generation->responder = nullptr;
    responder->Send(200, {{"content-type", "application/json"}}, PlainAnswer(*generation));
    return;
  }
  if (!generation->begun) {
    generation->begun = true;
    responder->Begin(200, {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}});
  }
  std::string chunk;
  while (generation->written < generation->generated &&
         responder->PendingBytes() + chunk.size() < kMaxPendingBytes) {
    if (generation->break_after >= 0 && generation->chunks >= generation->break_after) {
      if (!chunk.empty()) responder->Write(std::move(chunk));
      BreakStream(generation);
      return;
    }
    std::string_view token = generation->tokens[generation->written];
    token.remove_prefix(std::exchange(generation->skip_bytes, 0));
    chunk += ChunkEvent(*generation, token, generation->written == 0);
    ++generation->written;
    ++generation->chunks;
  }
  bool ended = generation->finished && generation->written == generation->tokens.size();
  if (ended) chunk += FinalEvents(*generation);
  if (!chunk.empty()) responder->Write(std::move(chunk));
  if (!ended) return;
  generation->responder = nullptr;
  responder->End();
}

// Ends the connection of a stream; generation goes on and can be resumed.
void Engine::BreakStream(const GenerationPtr& generation) {
  generation->break_after = -1;
  std::exchange(generation->responder, nullptr)->Abort();
  uint64_t id = generation->id;
  After(settings_.resume_window, [this, id] { ExpireDetached(id); });
}

// ---- orders

void Engine::HandleOrder(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  json order = json::parse(request.body, nullptr, false);
  if (!order.is_object() || Field(order, "order_id").empty()) {
    throw Error(ErrorKind::kBadRequest, "order_id is needed");
  }
  std::string id = Field(order, "order_id");
  uint64_t fencing = order.contains("fencing") && order["fencing"].is_number_unsigned()
                         ? order["fencing"].get<uint64_t>()
                         : 0;
  RunEntry entry = EntryFromRequest(request);
  entry.idempotency_key = id;
  entry.fencing = fencing;
  uint64_t seq = server_->record().Add(std::move(entry));
  OrderAnswer answer = [this, seq, id, responder](int status, const std::string& outcome) {
    server_->record().Finish(seq, outcome);
    SendJson(*responder, status,
             {{"accepted", status == 202},
              {"order_id", id},
              {"outcome", outcome},
              {"highest", highest_fencing_}});
  };
  if (settings_.checks_fencing && fencing < highest_fencing_) {
    answer(409, "order_refused");
    return;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  if (fetching_.count(id) > 0) {
    answer(503, "order_pending");
  } else if (orders_.count(id) > 0) {
    answer(202, "order_repeated");
  } else {
    Execute(order, answer);
  }
}

void Engine::Execute(const json& order, const OrderAnswer& answer) {
  std::string action = Field(order, "action");
  if (action == "load") {
    ++loading_;
    if (!settings_.weight_store.empty()) {
      fetching_.insert(Field(order, "order_id"));
      FetchWeights(order, answer);
      return;
    }
    LoadAfterDelay(order);
  } else if (action == "unload") {
    UnloadModel(order);
  } else if (action == "role") {
    settings_.role = Field(order, "role");
    server_->announcer().AnnounceNow();
  } else {
    answer(409, "order_refused");
    return;
  }
  RememberOrder(Field(order, "order_id"));
  answer(202, "order_accepted");
}

void Engine::RememberOrder(const std::string& id) {
  if (!orders_.insert(id).second) return;
  order_ids_.push_back(id);
  if (order_ids_.size() <= kOrders) return;
  orders_.erase(order_ids_.front());
  order_ids_.pop_front();
}

void Engine::FetchWeights(const json& order, const OrderAnswer& answer) {
  HttpCall call;
  call.url = "http://" + settings_.weight_store + "/weights/" + Field(order, "model") + "/" +
             Field(order, "version");
  call.on_done = [this, order, answer](const CallResult& result) {
    bool first = answer != nullptr;
    fetching_.erase(Field(order, "order_id"));
    if (first && result.status == 429) {
      --loading_;
      answer(429, "order_busy");
      return;
    }
    if (first) {
      RememberOrder(Field(order, "order_id"));
      answer(202, "order_accepted");
    }
    if (result.outcome == CallOutcome::kComplete && result.status == 200) {
      LoadAfterDelay(order);
    } else {
      After(kWeightRetry, [this, order] { FetchWeights(order, nullptr); });
    }
  };
  client_->Start(std::move(call));
}

void Engine::LoadAfterDelay(const json& order) {
  After(settings_.load_time, [this, order] { InstallModel(order); });
}

void Engine::InstallModel(const json& order) {
  --loading_;
  EngineModel& model = settings_.models[Field(order, "model")];
  if (!Field(order, "version").empty()) model.version = Field(order, "version");
  if (!Field(order, "adapter").empty()) model.adapters.insert(Field(order, "adapter"));
  server_->announcer().AnnounceNow();
}

void Engine::UnloadModel(const json& order) {
  auto model = settings_.models.find(Field(order, "model"));
  if (model != settings_.models.end() && !Field(order, "adapter").empty()) {
    model->second.adapters.erase(Field(order, "adapter"));
  } else if (model != settings_.models.end()) {
    settings_.models.erase(model);
  }
  server_->announcer().AnnounceNow();
}

// ---- state

void Engine::NoteCacheChanges(const std::vector<CacheChange>& changes) {
  for (const CacheChange& change : changes) {
    ++cache_seq_;
    if (settings_.cache_event_gap > 0 && cache_seq_ % settings_.cache_event_gap == 0) continue;
    cache_events_.push_back({cache_seq_, SteadyNow(), change});
    if (cache_events_.size() > kCacheEvents) cache_events_.pop_front();
  }
}

json Engine::Describe() const {
  json body = AnnouncementFromFlags(server_->address());
  body["kind"] = "model";
  body["role"] = settings_.role;
  body["capabilities"] = settings_.capabilities;
  body["checks_fencing"] = settings_.checks_fencing;
  for (const auto& [name, model] : settings_.models) {
    body["models"].push_back(
        {{"name", name}, {"adapters", model.adapters}, {"version", model.version}});
  }
  return body;
}

Load Engine::Measure() const {
  Load load;
  load.running = static_cast<int>(batch_.running.size());
  load.waiting = static_cast<int>(batch_.waiting.size());
  load.slots = batch_.settings.slots;
  load.prefill_tokens_waiting = PrefillTokensWaiting(batch_);
  return load;
}

json Engine::State() const {
  return {{"running", batch_.running.size()},
          {"waiting", batch_.waiting.size()},
          {"cache_blocks", cache_.blocks()},
          {"cache_seq", cache_seq_},
          {"fencing", highest_fencing_},
          {"loading", loading_},
          {"leaving", leaving_},
          {"announcement", Describe()}};
}

void Engine::OnFaultChange() {
  if (server_->faults().stall) return;
  std::vector<GenerationPtr> all;
  all.reserve(generations_.size());
  for (const auto& [id, generation] : generations_) all.push_back(generation);
  for (const GenerationPtr& generation : all) Pump(generation);
}

// Requests that gateways sent before they knew of the stop are still accepted for `leave_time`.
void Engine::OnTerminate() {
  leaving_ = true;
  After(settings_.leave_time, [this] {
    server_->StopAccepting();
    StopWhenIdle();
  });
}

void Engine::StopWhenIdle() {
  bool answering = std::any_of(generations_.begin(), generations_.end(), [](const auto& entry) {
    return entry.second->responder != nullptr;
  });
  if (batch_.running.empty() && batch_.waiting.empty() && !stepping_ && !answering) {
    // One more turn lets the last bytes leave the process.
    After(kIdlePoll, [this] { server_->Stop(); });
    return;
  }
  After(kIdlePoll, [this] { StopWhenIdle(); });
}

}  // namespace ebonylift::standin
