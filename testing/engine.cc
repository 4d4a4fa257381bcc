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

constexpr size_t kMaxEndedGenerations = 1024;
constexpr size_t kMaxCancelledAttempts = 10'000;
constexpr size_t kMaxCacheEvents = 20'000;
constexpr size_t kMaxOrderIds = 1024;
// Above this many unsent bytes, no further events of a stream are built; tokens that are generated
// meanwhile are written once the connection has drained.
constexpr size_t kMaxPendingBytes = 256 << 10;
// When a step timer fires late, the next step is shortened by at most this much to catch up. The
// limit prevents a burst of steps after a pause of the machine.
constexpr Duration kMaxTimerCatchUp = milliseconds(5);
constexpr Duration kIdlePollInterval = milliseconds(20);
constexpr Duration kWeightRetryDelay = milliseconds(200);
constexpr int kCrashExitCode = 70;
constexpr int kDefaultPriority = 1;
const char kCrashMarker[] = "crash-server";

// The gateway sends the name of the class or its number. Jobs with smaller numbers run first.
int ParsePriority(const std::string& text) {
  if (text == "interactive") return 0;
  if (text == "check") return 1;
  if (text == "chapter") return 2;
  return text.empty() ? kDefaultPriority : std::atoi(text.c_str());
}

std::string JsonToText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Returns the generation key for the `request_id` and `attempt` of a cancel or resume body; the
// attempt may be a number or a string.
std::string GenerationKeyFromBody(const json& body) {
  if (!body.is_object() || !body.contains("request_id") || !body.contains("attempt")) {
    throw Error(ErrorKind::kBadRequest, "request_id and attempt are required");
  }
  return GenerationKey(JsonToText(body["request_id"]), JsonToText(body["attempt"]));
}

uint64_t QueryNumber(const std::string& query, const std::string& name) {
  for (const std::string& part : Split(query, '&')) {
    if (part.rfind(name + "=", 0) == 0)
      return std::strtoull(part.c_str() + name.size() + 1, nullptr, 10);
  }
  return 0;
}

std::string StringField(const json& object, const char* name) {
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
  hooks.handle_request = [this](const HttpRequest& request,
                                const std::shared_ptr<HttpResponder>& responder) {
    Handle(request, responder);
  };
  hooks.state_json = [this] { return StateJson(); };
  hooks.on_fault_change = [this] { OnFaultChange(); };
  hooks.make_announcement = [this] { return MakeAnnouncement(); };
  hooks.measure_load = [this] { return MeasureLoad(); };
  hooks.on_leaving_announced = [this] { OnTerminate(); };
  server_ = std::make_unique<StandinServer>(io_, std::move(hooks));
}

Engine::~Engine() = default;

void Engine::Run() { server_->Run(); }

void Engine::RunAfter(Duration delay, std::function<void()> fn) {
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
  generation->request = ParseCompletionRequest(request.body);
  generation->chat = request.path == "/v1/chat/completions";
  RunEntry entry = EntryFromRequest(request);
  entry.user = generation->request.user;
  generation->key = GenerationKey(entry.request_id, entry.attempt);
  bool has_request_id = !entry.request_id.empty();
  generation->record_seq = server_->record().Add(std::move(entry));
  if (settings_.models.count(generation->request.model) == 0) {
    server_->record().Finish(generation->record_seq, "model_not_loaded");
    SendError(*responder, 404, "model_not_loaded", "the model is not loaded");
    return;
  }
  if (has_request_id && cancelled_keys_.count(generation->key) > 0) {
    server_->record().Finish(generation->record_seq, "cancelled");
    SendError(*responder, 409, "cancelled", "this attempt was cancelled before it arrived");
    return;
  }
  generation->id = next_id_++;
  BatchJob job;
  job.id = generation->id;
  job.priority = ParsePriority(FindHeader(request.headers, "x-ebonylift-priority"));
  job.prompt_tokens = PromptTokens(generation->request);
  job.output_tokens = generation->request.output_tokens;
  if (!Enqueue(batch_, job)) {
    server_->record().Finish(generation->record_seq, "queue_full");
    SendError(*responder, 503, "queue_full", "the waiting queue is full");
    return;
  }
  Faults& faults = server_->faults();
  if ((faults.lose_answer || faults.break_after >= 0) && ConsumeCountedFault(faults)) {
    generation->lose_answer = faults.lose_answer;
    generation->break_after = faults.break_after;
  }
  generation->tokens = AnswerTokens(generation->request);
  generations_[generation->id] = generation;
  if (has_request_id) generation_ids_by_key_[generation->key] = generation->id;
  AttachResponder(generation, responder);
  StartNextStep();
}

// The key of an attempt that has not arrived yet is stored, so that the attempt never starts after
// this response said `started: false`.
void Engine::HandleCancel(const HttpRequest& request, HttpResponder& responder) {
  std::string key = GenerationKeyFromBody(json::parse(request.body, nullptr, false));
  auto id = generation_ids_by_key_.find(key);
  if (id == generation_ids_by_key_.end()) {
    if (cancelled_keys_.insert(key).second) cancelled_key_queue_.push_back(key);
    if (cancelled_key_queue_.size() > kMaxCancelledAttempts) {
      cancelled_keys_.erase(cancelled_key_queue_.front());
      cancelled_key_queue_.pop_front();
    }
    SendJson(responder, 200, {{"started", false}, {"finished", false}});
    return;
  }
  GenerationPtr generation = generations_.at(id->second);
  json reply = {{"started", generation->started}, {"finished", generation->finished}};
  if (!generation->finished) Cancel(generation, "cancelled");
  SendJson(responder, 200, reply);
}

void Engine::HandleResume(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  json body = json::parse(request.body, nullptr, false);
  auto id = generation_ids_by_key_.find(GenerationKeyFromBody(body));
  if (id == generation_ids_by_key_.end() || !generations_.at(id->second)->request.stream) {
    SendError(*responder, 404, "unknown_stream", "no stream of this request and attempt");
    return;
  }
  if (!body.contains("offset") || !body["offset"].is_number_unsigned()) {
    throw Error(ErrorKind::kBadRequest, "offset is required and must be a non-negative integer");
  }
  GenerationPtr generation = generations_.at(id->second);
  if (!SeekTo(*generation, body["offset"].get<size_t>())) {
    SendError(*responder, 409, "offset_ahead", "the offset is beyond the generated text");
    return;
  }
  // The earlier connection may be half open; it must not receive bytes of the resumed stream.
  if (generation->responder) std::exchange(generation->responder, nullptr)->Abort();
  generation->headers_sent = false;
  generation->chunks = 0;
  AttachResponder(generation, responder);
  WriteAvailableTokens(generation);
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

void Engine::StartNextStep() {
  if (step_in_progress_) return;
  for (const BatchJob& job : AdmitWaiting(batch_)) OnAdmitted(job);
  if (batch_.running.empty()) {
    was_idle_ = true;
    return;
  }
  BatchStep step = PlanStep(batch_);
  auto duration = Duration(static_cast<int64_t>(step.duration.count() * server_->faults().slow));
  Time now = SteadyNow();
  Time start = was_idle_ ? now : std::max(step_due_, now - kMaxTimerCatchUp);
  step_due_ = start + duration;
  was_idle_ = false;
  step_in_progress_ = true;
  step_timer_.expires_at(step_due_);
  step_timer_.async_wait([this, step](const asio::error_code& error) {
    if (!error) FinishStep(step);
  });
}

void Engine::OnAdmitted(const BatchJob& job) {
  GenerationPtr generation = generations_.at(job.id);
  server_->record().Start(generation->record_seq);
  if (generation->request.prompt_text.find(kCrashMarker) != std::string::npos) {
    LOG(ERROR) << "request " << generation->key << " contains " << kCrashMarker << "; exiting";
    _exit(kCrashExitCode);
  }
  generation->started = true;
  std::vector<CacheChange> changes;
  generation->cached_tokens = cache_.LookupAndInsert(generation->request.prompt_text, changes);
  RecordCacheEvents(changes);
  SetPrefillTokens(batch_, job.id, std::max(0, job.prompt_tokens - generation->cached_tokens));
  WriteAvailableTokens(generation);
}

void Engine::FinishStep(const BatchStep& step) {
  step_in_progress_ = false;
  for (uint64_t id : step.emitted) {
    auto it = generations_.find(id);
    if (it == generations_.end() || it->second->finished) continue;
    GenerationPtr generation = it->second;
    ++generation->generated_tokens;
    if (generation->generated_tokens < generation->tokens.size()) WriteAvailableTokens(generation);
  }
  for (uint64_t id : step.finished) {
    auto it = generations_.find(id);
    if (it != generations_.end() && !it->second->finished) FinishGeneration(it->second);
  }
  StartNextStep();
}

void Engine::FinishGeneration(const GenerationPtr& generation) {
  generation->finished = true;
  const char* outcome = generation->lose_answer ? "answer_lost" : "completed";
  server_->record().Finish(generation->record_seq, outcome,
                           static_cast<int64_t>(generation->generated_tokens));
  RetainEndedGeneration(generation);
  if (generation->lose_answer && generation->responder) {
    std::exchange(generation->responder, nullptr)->Abort();
    return;
  }
  WriteAvailableTokens(generation);
}

void Engine::Cancel(const GenerationPtr& generation, const std::string& outcome) {
  RemoveJob(batch_, generation->id);
  generation->finished = true;
  server_->record().Finish(generation->record_seq, outcome,
                           static_cast<int64_t>(generation->generated_tokens));
  RetainEndedGeneration(generation);
  generation->tokens.resize(generation->generated_tokens);
  if (generation->responder) std::exchange(generation->responder, nullptr)->Abort();
}

// Retains an ended generation for cancel and resume calls that arrive late. Drops the oldest one
// above kMaxEndedGenerations.
void Engine::RetainEndedGeneration(const GenerationPtr& generation) {
  ended_ids_.push_back(generation->id);
  if (ended_ids_.size() <= kMaxEndedGenerations) return;
  auto oldest = generations_.find(ended_ids_.front());
  ended_ids_.pop_front();
  if (oldest == generations_.end()) return;
  auto key = generation_ids_by_key_.find(oldest->second->key);
  if (key != generation_ids_by_key_.end() && key->second == oldest->first)
    generation_ids_by_key_.erase(key);
  generations_.erase(oldest);
}

// ---- responses

void Engine::AttachResponder(const GenerationPtr& generation,
                             const std::shared_ptr<HttpResponder>& responder) {
  generation->responder = responder;
  uint64_t id = generation->id;
  const HttpResponder* attached = responder.get();
  responder->OnClosed([this, id, attached] { OnConnectionClosed(id, attached); });
  if (!generation->request.stream) return;
  std::weak_ptr<Generation> weak = generation;
  responder->OnDrained([this, weak] {
    if (GenerationPtr locked_generation = weak.lock()) WriteAvailableTokens(locked_generation);
  });
}

void Engine::OnConnectionClosed(uint64_t id, const HttpResponder* responder) {
  auto it = generations_.find(id);
  if (it == generations_.end() || it->second->responder.get() != responder) return;
  GenerationPtr generation = it->second;
  generation->responder = nullptr;
  if (generation->finished) return;
  if (!generation->request.stream || !generation->started) {
    Cancel(generation, generation->started ? "caller_gone" : "cancelled");
    return;
  }
  RunAfter(settings_.resume_window, [this, id] { CancelIfDetached(id); });
}

void Engine::CancelIfDetached(uint64_t id) {
  auto it = generations_.find(id);
  if (it == generations_.end() || it->second->responder || it->second->finished) return;
  Cancel(it->second, "caller_gone");
  StartNextStep();
}

// Passes generated tokens to the responder until kMaxPendingBytes are unsent. The response ends
// after the last token; without `stream` it is sent as a whole.
void Engine::WriteAvailableTokens(const GenerationPtr& generation) {
  std::shared_ptr<HttpResponder> responder = generation->responder;
  if (!responder || server_->faults().stall) return;
  if (!generation->request.stream) {
    if (!generation->finished) return;
    generation->responder = nullptr;
    responder->Send(200, {{"content-type", "application/json"}}, NonStreamingResponse(*generation));
    return;
  }
  if (!generation->headers_sent) {
    generation->headers_sent = true;
    responder->Begin(200, {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}});
  }
  std::string chunk;
  while (generation->written_tokens < generation->generated_tokens &&
         responder->PendingBytes() + chunk.size() < kMaxPendingBytes) {
    if (generation->break_after >= 0 && generation->chunks >= generation->break_after) {
      if (!chunk.empty()) responder->Write(std::move(chunk));
      InjectStreamBreak(generation);
      return;
    }
    std::string_view token = generation->tokens[generation->written_tokens];
    token.remove_prefix(std::exchange(generation->skip_bytes, 0));
    chunk += ChunkEvent(*generation, token, generation->written_tokens == 0);
    ++generation->written_tokens;
    ++generation->chunks;
  }
  bool ended = generation->finished && generation->written_tokens == generation->tokens.size();
  if (ended) chunk += FinalEvents(*generation);
  if (!chunk.empty()) responder->Write(std::move(chunk));
  if (!ended) return;
  generation->responder = nullptr;
  responder->End();
}

// Applies the fault `break_after`: closes the connection of a stream. The generation continues and
// can be resumed.
void Engine::InjectStreamBreak(const GenerationPtr& generation) {
  generation->break_after = -1;
  std::exchange(generation->responder, nullptr)->Abort();
  uint64_t id = generation->id;
  RunAfter(settings_.resume_window, [this, id] { CancelIfDetached(id); });
}

// ---- orders

void Engine::HandleOrder(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  json order = json::parse(request.body, nullptr, false);
  if (!order.is_object() || StringField(order, "order_id").empty()) {
    throw Error(ErrorKind::kBadRequest, "order_id is required");
  }
  std::string id = StringField(order, "order_id");
  uint64_t fencing = order.contains("fencing") && order["fencing"].is_number_unsigned()
                         ? order["fencing"].get<uint64_t>()
                         : 0;
  RunEntry entry = EntryFromRequest(request);
  entry.idempotency_key = id;
  entry.fencing = fencing;
  uint64_t seq = server_->record().Add(std::move(entry));
  OrderReply reply = [this, seq, id, responder](int status, const std::string& outcome) {
    server_->record().Finish(seq, outcome);
    SendJson(*responder, status,
             {{"accepted", status == 202},
              {"order_id", id},
              {"outcome", outcome},
              {"highest", highest_fencing_token_}});
  };
  if (settings_.checks_fencing && fencing < highest_fencing_token_) {
    reply(409, "order_refused");
    return;
  }
  highest_fencing_token_ = std::max(highest_fencing_token_, fencing);
  if (fetching_order_ids_.count(id) > 0) {
    reply(503, "order_pending");
  } else if (accepted_order_ids_.count(id) > 0) {
    reply(202, "order_repeated");
  } else {
    ExecuteOrder(order, reply);
  }
}

void Engine::ExecuteOrder(const json& order, const OrderReply& reply) {
  std::string action = StringField(order, "action");
  if (action == "load") {
    ++loading_;
    if (!settings_.weight_store.empty()) {
      fetching_order_ids_.insert(StringField(order, "order_id"));
      FetchWeightsAndLoad(order, reply);
      return;
    }
    LoadAfterDelay(order);
  } else if (action == "unload") {
    UnloadModel(order);
  } else if (action == "role") {
    settings_.role = StringField(order, "role");
    server_->announcer().AnnounceNow();
  } else {
    reply(409, "order_refused");
    return;
  }
  RememberOrder(StringField(order, "order_id"));
  reply(202, "order_accepted");
}

void Engine::RememberOrder(const std::string& id) {
  if (!accepted_order_ids_.insert(id).second) return;
  order_id_queue_.push_back(id);
  if (order_id_queue_.size() <= kMaxOrderIds) return;
  accepted_order_ids_.erase(order_id_queue_.front());
  order_id_queue_.pop_front();
}

void Engine::FetchWeightsAndLoad(const json& order, const OrderReply& reply) {
  HttpCall call;
  call.url = "http://" + settings_.weight_store + "/weights/" + StringField(order, "model") + "/" +
             StringField(order, "version");
  call.on_done = [this, order, reply](const CallResult& result) {
    bool reply_pending = reply != nullptr;
    fetching_order_ids_.erase(StringField(order, "order_id"));
    if (reply_pending && result.status == 429) {
      --loading_;
      reply(429, "order_busy");
      return;
    }
    if (reply_pending) {
      RememberOrder(StringField(order, "order_id"));
      reply(202, "order_accepted");
    }
    if (result.outcome == CallOutcome::kComplete && result.status == 200) {
      LoadAfterDelay(order);
    } else {
      RunAfter(kWeightRetryDelay, [this, order] { FetchWeightsAndLoad(order, nullptr); });
    }
  };
  client_->Start(std::move(call));
}

void Engine::LoadAfterDelay(const json& order) {
  RunAfter(settings_.load_time, [this, order] { InstallModel(order); });
}

void Engine::InstallModel(const json& order) {
  --loading_;
  EngineModel& model = settings_.models[StringField(order, "model")];
  if (!StringField(order, "version").empty()) model.version = StringField(order, "version");
  if (!StringField(order, "adapter").empty()) model.adapters.insert(StringField(order, "adapter"));
  server_->announcer().AnnounceNow();
}

void Engine::UnloadModel(const json& order) {
  auto model = settings_.models.find(StringField(order, "model"));
  if (model != settings_.models.end() && !StringField(order, "adapter").empty()) {
    model->second.adapters.erase(StringField(order, "adapter"));
  } else if (model != settings_.models.end()) {
    settings_.models.erase(model);
  }
  server_->announcer().AnnounceNow();
}

// ---- state

void Engine::RecordCacheEvents(const std::vector<CacheChange>& changes) {
  for (const CacheChange& change : changes) {
    ++cache_seq_;
    if (settings_.cache_event_gap > 0 && cache_seq_ % settings_.cache_event_gap == 0) continue;
    cache_events_.push_back({cache_seq_, SteadyNow(), change});
    if (cache_events_.size() > kMaxCacheEvents) cache_events_.pop_front();
  }
}

json Engine::MakeAnnouncement() const {
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

Load Engine::MeasureLoad() const {
  Load load;
  load.running = static_cast<int>(batch_.running.size());
  load.waiting = static_cast<int>(batch_.waiting.size());
  load.slots = batch_.settings.slots;
  load.prefill_tokens_waiting = PrefillTokensWaiting(batch_);
  return load;
}

json Engine::StateJson() const {
  return {{"running", batch_.running.size()},
          {"waiting", batch_.waiting.size()},
          {"cache_blocks", cache_.blocks()},
          {"cache_seq", cache_seq_},
          {"fencing", highest_fencing_token_},
          {"loading", loading_},
          {"leaving", leaving_},
          {"announcement", MakeAnnouncement()}};
}

void Engine::OnFaultChange() {
  if (server_->faults().stall) return;
  std::vector<GenerationPtr> all;
  all.reserve(generations_.size());
  for (const auto& [id, generation] : generations_) all.push_back(generation);
  for (const GenerationPtr& generation : all) WriteAvailableTokens(generation);
}

// Gateways may send requests until they learn that this server is leaving, so requests are accepted
// for `termination_grace` after SIGTERM.
void Engine::OnTerminate() {
  leaving_ = true;
  RunAfter(settings_.termination_grace, [this] {
    server_->StopAccepting();
    StopWhenIdle();
  });
}

void Engine::StopWhenIdle() {
  bool responses_pending =
      std::any_of(generations_.begin(), generations_.end(),
                  [](const auto& entry) { return entry.second->responder != nullptr; });
  if (batch_.running.empty() && batch_.waiting.empty() && !step_in_progress_ &&
      !responses_pending) {
    // One more poll interval lets the last bytes reach the network.
    RunAfter(kIdlePollInterval, [this] { server_->Stop(); });
    return;
  }
  RunAfter(kIdlePollInterval, [this] { StopWhenIdle(); });
}

}  // namespace ebonylift::standin
