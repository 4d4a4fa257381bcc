#include "daemon/traffic.h"

#include <glog/logging.h>
#include <sys/resource.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "adapters/event_loop_delay.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/descriptor_claim.h"
#include "base/event.h"
#include "base/hash.h"
#include "base/log_output.h"
#include "core/entry_list.h"
#include "daemon/announce.h"
#include "daemon/exchange.h"
#include "daemon/ingress_request.h"
#include "daemon/job_api.h"
#include "daemon/operator_api.h"
#include "daemon/orderer.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = milliseconds(20);
// A restarted host has its configuration within some tens of milliseconds. A request that arrives
// earlier is better served after that time than refused.
constexpr Duration kMaxStartHoldTime = milliseconds(400);
constexpr Duration kRecordsTickPeriod = seconds(1);
constexpr Duration kDirectoryPublishPeriod = seconds(2);
// A longer delay is logged. Callers notice it: it comes on top of the time of each step of a
// request.
constexpr Duration kNotableLoopDelay = milliseconds(100);
constexpr Duration kLoopDelayLogPeriod = seconds(1);
constexpr size_t kMaxRequestBytes = 8u << 20;
// Queue length at which this host reports itself as overloaded, so that entry lists prefer other
// hosts.
constexpr size_t kOverloadQueueLength = 500;

// Bounds the connections of callers, so that descriptors are left for those to backend servers.
// Idle connections are ended first, as callers may keep one for each request that they have sent.
void LimitConnections(HttpLimits* limits, int threads) {
  constexpr size_t kMaxShareDivisor = 4;   // three of four descriptors
  constexpr size_t kKeptShareDivisor = 2;  // one of two
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return;
  size_t share = descriptors.rlim_cur / static_cast<size_t>(threads);
  limits->max_connections = std::min(limits->max_connections, share - share / kMaxShareDivisor);
  limits->max_kept_connections = std::min(limits->max_kept_connections, share / kKeptShareDivisor);
}

json EntryListJson(const EntryList& list) {
  json hosts = json::array();
  for (const EntryHost& host : list.hosts) {
    hosts.push_back({{"host", host.host.value()},
                     {"address", host.address},
                     {"region", host.region.value()},
                     {"domain", host.domain.value()},
                     {"weight", host.weight}});
  }
  return {{"ttl_ms", ToMillis(list.ttl)}, {"hosts", hosts}};
}

}  // namespace

class TrafficThread : public ListenerContext {
 public:
  TrafficThread(const TrafficOptions& options, size_t index, const std::atomic<bool>* draining,
                AnnouncementDelayEstimator* delay_estimator)
      : options_(options),
        index_(index),
        draining_(draining),
        delay_estimator_(delay_estimator),
        work_guard_(asio::make_work_guard(io_)),
        client_(MakeHttpClient(io_, options_.settings.source_address)),
        context_(MakeContext()),
        jobs_(context_),
        orderer_(&io_, client_.get(), options_.control, options_.settings),
        loop_delay_(io_),
        tick_timer_(io_) {
    HttpLimits limits;
    limits.max_body_bytes = kMaxRequestBytes;
    LimitConnections(&limits, options_.settings.traffic_threads);
    server_ =
        StartHttpServer(io_, options_.settings.http_address, limits,
                        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                          HandleRequest(std::move(request), std::move(responder));
                        });
    for (const Listener& listener : options_.listeners) StartListener(listener);
    if (index_ == 0 && !options_.settings.metrics_address.empty()) StartMetricsServer();
  }
  ~TrafficThread() override = default;
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  // ---- ListenerContext ----
  asio::io_context& io() override { return io_; }
  ControlPort* control() override { return options_.control; }
  bool ready() const override {
    return !*draining_ && options_.control->View()->config->ingress != nullptr;
  }
  void CountRefusal(ErrorKind kind) override { options_.metrics->CountRefusal(kind); }
  void StartExchange(RequestSpec spec, const std::shared_ptr<HttpResponder>& responder) override {
    table_.Start(context_, std::move(spec), responder);
  }

  void Start() {
    asio::post(io_, [this] { Tick(); });
    thread_ = std::thread([this] { RunEventLoop(); });
  }

  void BeginDrain(const DrainTimes& drain) {
    asio::post(io_, [this, drain] {
      drain_ = drain;
      for (const auto& server : Servers()) server->DisableKeepAlive();
    });
  }
  void StopAccepting() {
    asio::post(io_, [this] {
      for (const auto& server : Servers()) server->StopAccepting();
      UpdateOpenCounts();
    });
  }
  void EndRequests() {
    asio::post(io_, [this] { table_.EndForShutdown(); });
  }
  size_t open_requests() const { return std::max<size_t>(table_.size(), unanswered_requests_); }
  size_t open_connections() const { return connections_; }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  ExchangeContext MakeContext() {
    ExchangeContext context;
    context.io = &io_;
    context.client = client_.get();
    context.dispatcher = options_.dispatcher;
    context.records = options_.records;
    context.stream_origins = options_.stream_origins;
    context.control = options_.control;
    context.metrics = options_.metrics;
    context.cluster_key = options_.settings.cluster_key;
    context.hedge_percent = options_.settings.hedge_percent;
    context.load_shedding = &load_shedding_;
    context.drain = &drain_;
    context.table = &table_;
    return context;
  }

  void RunEventLoop() {
    try {
      io_.run();
    } catch (const std::exception& error) {
      // The state of this thread's requests is unknown, so terminate the process to be restarted.
      LogEvent(EventId::kThreadFailed,
               {{"thread", "traffic " + std::to_string(index_)}, {"error", error.what()}});
      StopLogOutput();
      LOG(FATAL) << "traffic thread failed with an uncaught exception: " << error.what();
    }
  }

  // Updates the counts of open requests and connections. A request without an exchange, such as a
  // job submission or a configuration change, counts as open while its responder is referenced.
  void UpdateOpenCounts() {
    auto answered = [](const std::weak_ptr<HttpResponder>& responder) {
      return responder.expired();
    };
    responders_.erase(std::remove_if(responders_.begin(), responders_.end(), answered),
                      responders_.end());
    unanswered_requests_ = responders_.size();
    size_t connections = 0;
    for (const auto& server : Servers()) connections += server->connection_count();
    connections_ = connections;
  }

  std::vector<HttpServer*> Servers() const {
    std::vector<HttpServer*> servers = {server_.get()};
    for (const auto& server : listener_servers_) servers.push_back(server.get());
    return servers;
  }

  void StartListener(const Listener& listener) {
    auto handle = listener.handle;
    bool waits = listener.waits_for_configuration;
    HttpLimits limits = listener.limits;
    LimitConnections(&limits, options_.settings.traffic_threads);
    listener_servers_.push_back(
        StartHttpServer(io_, listener.address, limits,
                        [=](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                          TrackResponder(responder);
                          if (waits && !HasIngress() && SteadyNow() < hold_until_) {
                            held_requests_.push_back([this, handle, request, responder] {
                              handle(this, request, responder);
                            });
                            return;
                          }
                          handle(this, request, responder);
                        }));
  }

  bool HasIngress() const { return options_.control->View()->config->ingress != nullptr; }

  // Handles the requests that waited for the configuration, when it is there or the time is up.
  void HandleHeldRequests() {
    if (held_requests_.empty() || (!HasIngress() && SteadyNow() < hold_until_)) return;
    for (const auto& handle : std::exchange(held_requests_, {})) handle();
  }

  // Excluded from Servers() so that a metrics collector with a persistent connection does not delay
  // shutdown.
  void StartMetricsServer() {
    auto answer = [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& to) {
      if (request.path == "/metrics") {
        SendMetrics(to.get());
      } else {
        SendErrorResponse(to.get(), ToErrorResponse(Error(ErrorKind::kUnknownPath, request.path)));
      }
    };
    metrics_server_ = StartHttpServer(io_, options_.settings.metrics_address, HttpLimits(), answer);
  }

  void SendMetrics(HttpResponder* responder) {
    options_.metrics->SetLogDrops(DroppedLines());
    options_.metrics->SetDescriptorConflicts(DescriptorConflictCount());
    responder->Send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    options_.metrics->Render());
  }

  // Counts a request as open until its responder is destroyed.
  void TrackResponder(const std::shared_ptr<HttpResponder>& responder) {
    responders_.push_back(responder);
    unanswered_requests_ = responders_.size();
  }

  void HandleRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    TrackResponder(responder);
    try {
      RouteRequest(std::move(request), responder);
    } catch (const Error& error) {
      if (error.kind() == ErrorKind::kForwardRefused) {
        LogEvent(EventId::kForwardRejected, {{"reason", error.what()}});
      }
      SendErrorResponse(responder.get(), ToErrorResponse(error));
    } catch (const json::exception& error) {
      SendErrorResponse(responder.get(),
                        {ErrorKind::kBadRequest, "a JSON field has an unexpected type", Duration{0},
                         RequestId()});
    }
  }

  void RouteRequest(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
    const std::string& path = request.path;
    if (options_.dialect != nullptr && IsForwardedIngress(request.headers)) {
      StartExchange(
          ParseForwardedIngress(std::move(request), options_.control->View(), *options_.dialect,
                                options_.settings.cluster_key, SteadyNow()),
          responder);
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
      if (request.method != "POST") throw Error(ErrorKind::kMethodNotAllowed, request.method);
      ServeRequest(std::move(request), responder);
    } else if (path.rfind("/svc/", 0) == 0) {
      ServeRequest(std::move(request), responder);
    } else if (path == "/v1/backend-servers/announce") {
      HandleAnnouncement(request, responder);
    } else if (path.rfind("/admin/v1/", 0) == 0) {
      OperatorApiOptions operators{options_.control, options_.settings.operator_token_sha256,
                                   options_.start_drain,
                                   [records = options_.records] { records->AcceptClaims(); }};
      HandleOperatorRequest(io_, operators, std::move(request), responder);
    } else if (path == "/v1/jobs" || path.rfind("/v1/jobs/", 0) == 0) {
      jobs_.Handle(std::move(request), responder);
    } else if (path == "/v1/models") {
      ListModels(request, responder.get());
    } else if (path == "/v1/entry-hosts") {
      ListEntryHosts(request, responder.get());
    } else if (path == "/healthz") {
      SendJson(responder.get(), 200, {{"status", "ok"}});
    } else if (path == "/metrics") {
      SendMetrics(responder.get());
    } else if (path == "/readyz") {
      SendReadiness(responder.get());
    } else {
      throw Error(ErrorKind::kUnknownPath, request.method + " " + path);
    }
  }

  void ServeRequest(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
    RequestSpec spec = ParseRequest(std::move(request), options_.control->View(),
                                    options_.settings.cluster_key, SteadyNow());
    table_.Start(context_, std::move(spec), responder);
  }

  void HandleAnnouncement(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
    std::string expected = "Bearer " + options_.settings.platform_token;
    if (!ConstantTimeEqual(FindHeader(request.headers, "authorization"), expected)) {
      throw Error(ErrorKind::kUnauthorized, "invalid platform token");
    }
    ReceivedAnnouncement received = ParseAnnouncement(request.body);
    Announcement announcement = std::move(received.announcement);
    // Subtract the time between sending and processing: a delayed announcement extends the server's
    // lease only by the rest of its TTL, which may be nothing.
    announcement.ttl -=
        delay_estimator_->Delay(announcement.id, received.sent_at, SteadyNow(), WallNow());
    options_.control->Announce(announcement, [this, responder](std::optional<Error> error) {
      asio::post(io_, [responder, error] {
        if (error) {
          SendErrorResponse(responder.get(), ToErrorResponse(*error));
        } else {
          SendJson(responder.get(), 200, {{"accepted", true}});
        }
      });
    });
  }

  void ListModels(const HttpRequest& request, HttpResponder* responder) {
    std::shared_ptr<const RoutingView> view = options_.control->View();
    TeamId team = AuthenticateTeam(request.headers, *view->config);
    json models = json::array();
    auto found = view->config->teams.find(team);
    if (found != view->config->teams.end()) {
      for (const auto& [id, route] : found->second.routes) {
        if (route.kind != ServerKind::kModel) continue;
        models.push_back({{"id", route.model.value()},
                          {"object", "model"},
                          {"created", 0},
                          {"owned_by", team.value()}});
      }
    }
    SendJson(responder, 200, {{"object", "list"}, {"data", models}});
  }

  void ListEntryHosts(const HttpRequest& request, HttpResponder* responder) {
    std::shared_ptr<const RoutingView> view = options_.control->View();
    TeamId team = AuthenticateTeam(request.headers, *view->config);
    auto found = view->config->teams.find(team);
    std::vector<RegionId> allowed;
    if (found != view->config->teams.end()) allowed = found->second.regions;
    RegionId region(QueryValue(request.query, "region"));
    uint64_t client_hash = Hash64(request.remote_address);
    SendJson(responder, 200, EntryListJson(EntryHosts(*view, allowed, region, client_hash)));
  }

  void SendReadiness(HttpResponder* responder) {
    if (*draining_) throw Error(ErrorKind::kDraining, "");
    uint64_t revision = options_.control->View()->config->revision;
    if (revision == 0) throw Error(ErrorKind::kNotReady, "");
    SendJson(responder, 200, {{"status", "ready"}, {"revision", revision}});
  }

  void Tick() {
    tick_timer_.expires_after(kTickPeriod);
    tick_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) Tick();
    });
    UpdateOpenCounts();
    HandleHeldRequests();
    Time now = SteadyNow();
    UpdateLoopDelay(now);
    if (index_ != 0) return;
    std::shared_ptr<const RoutingView> view = options_.control->View();
    if (view != last_view_) {
      last_view_ = view;
      options_.dispatcher->OnView(view, now);
      UpdateViewMetrics(*view);
      if (view->disk_was_lost) options_.records->OnDiskLost();
      if (view->disk_confirmed) options_.records->OnDiskConfirmed();
      auto region = view->config->regions.find(view->self.region);
      if (region != view->config->regions.end()) {
        options_.records->SetRecordHosts(region->second.record_hosts, region->second.takeover);
      }
    }
    options_.dispatcher->Tick(now);
    if (options_.settings.share_work) {
      options_.control->ShareWork(options_.dispatcher->WorkInFlight());
    }
    auto unsent_streams = options_.stream_origins->TakeUnsent(*view, now);
    if (!unsent_streams.empty()) options_.control->ShareStreams(std::move(unsent_streams));
    UpdateOverload();
    if (!*draining_ && view->config->revision > 0) jobs_.RunPending();
    if (!*draining_) orderer_.Tick(*view, now);
    if (now >= next_records_tick_) {
      next_records_tick_ = now + kRecordsTickPeriod;
      options_.records->Tick(WallNow());
      options_.stream_origins->RecordVersions(*view, now);
      options_.metrics->SetLimits(options_.dispatcher->LimitStates(now));
    }
    if (!options_.settings.directory_address.empty() && now >= next_directory_publish_) {
      next_directory_publish_ = now + kDirectoryPublishPeriod;
      PublishEntryHosts(*view);
    }
  }

  void UpdateLoopDelay(Time now) {
    Duration delay = loop_delay_.Current(now);
    loop_delay_.Measure(now);
    options_.metrics->ObserveEventLoopDelay(delay);
    OnLoopDelay(load_shedding_, delay, now);
    if (delay < kNotableLoopDelay || now < next_loop_delay_log_) return;
    next_loop_delay_log_ = now + kLoopDelayLogPeriod;
    LogEvent(EventId::kEventLoopDelayed, {{"thread", "traffic " + std::to_string(index_)},
                                          {"ms", std::to_string(ToMillis(delay))}});
  }

  void UpdateViewMetrics(const RoutingView& view) {
    size_t live = 0;
    for (const HostEntry& host : view.hosts) {
      if (host.status == HostStatus::kAlive) ++live;
    }
    options_.metrics->SetLiveHosts(live);
    options_.metrics->SetLiveServers(view.servers.size());
    options_.metrics->SetConfigRevision(view.config->revision);
    UpdateWorkspaceMetrics(view.config->ingress);
  }

  void UpdateWorkspaceMetrics(const std::shared_ptr<const IngressConfig>& ingress) {
    if (ingress == counted_ingress_) return;
    counted_ingress_ = ingress;
    options_.metrics->SetWorkspaces(WorkspaceIds(ingress.get()));
  }

  void UpdateOverload() {
    DispatcherStats stats = options_.dispatcher->Stats();
    for (size_t i = 0; i < stats.queued_by_class.size(); ++i) {
      options_.metrics->SetQueueDepth(static_cast<TrafficClass>(i), stats.queued_by_class[i]);
    }
    // A host without a path to servers, or short of processor time, takes no work of others either,
    // and callers go elsewhere. This thread's delay stands for that of all.
    bool overloaded = stats.queued >= kOverloadQueueLength || load_shedding_.overloaded ||
                      options_.dispatcher->IsCutOff();
    if (overloaded == overloaded_) return;
    overloaded_ = overloaded;
    options_.control->SetOverloaded(overloaded);
  }

  // Errors are ignored: the next period publishes the full list again.
  void PublishEntryHosts(const RoutingView& view) {
    std::vector<RegionId> all;
    for (const auto& [id, region] : view.config->regions) all.push_back(id);
    HttpCall call;
    call.method = "PUT";
    call.url = "http://" + options_.settings.directory_address + "/directory/entry-hosts";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = EntryListJson(EntryHosts(view, all, RegionId())).dump();
    call.timeout = kDirectoryPublishPeriod;
    client_->Start(std::move(call));
  }

  const TrafficOptions options_;
  const size_t index_;
  const std::atomic<bool>* const draining_;
  AnnouncementDelayEstimator* const delay_estimator_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::unique_ptr<HttpClient> client_;
  LoadShedding load_shedding_;
  DrainTimes drain_;
  ExchangeTable table_;
  ExchangeContext context_;
  JobApi jobs_;
  Orderer orderer_;  // used only by thread 0
  std::unique_ptr<HttpServer> server_;
  std::vector<std::unique_ptr<HttpServer>> listener_servers_;
  std::unique_ptr<HttpServer> metrics_server_;  // only on thread 0, if metrics_address is set
  EventLoopDelay loop_delay_;
  Time next_loop_delay_log_;
  asio::steady_timer tick_timer_;
  // Of the open requests and of those that ended since the last tick, which removes the latter.
  std::vector<std::weak_ptr<HttpResponder>> responders_;
  // Of listeners that wait for the configuration, until `hold_until_`.
  std::vector<std::function<void()>> held_requests_;
  const Time hold_until_ = SteadyNow() + kMaxStartHoldTime;
  std::atomic<size_t> unanswered_requests_{0};
  std::atomic<size_t> connections_{0};
  std::shared_ptr<const RoutingView> last_view_;
  std::shared_ptr<const IngressConfig> counted_ingress_;
  Time next_records_tick_;
  Time next_directory_publish_;
  bool overloaded_ = false;
  std::thread thread_;
};

Traffic::Traffic(const TrafficOptions& options)
    : delay_estimator_(std::make_unique<AnnouncementDelayEstimator>()) {
  for (int i = 0; i < options.settings.traffic_threads; ++i) {
    threads_.push_back(std::make_unique<TrafficThread>(options, static_cast<size_t>(i), &draining_,
                                                       delay_estimator_.get()));
  }
}

Traffic::~Traffic() { Stop(); }

void Traffic::Start() {
  for (auto& thread : threads_) thread->Start();
}

void Traffic::BeginDrain(const DrainTimes& drain) {
  draining_ = true;
  for (auto& thread : threads_) thread->BeginDrain(drain);
}

void Traffic::EndRequests() {
  for (auto& thread : threads_) thread->EndRequests();
}

void Traffic::StopAccepting() {
  for (auto& thread : threads_) thread->StopAccepting();
}

size_t Traffic::open_requests() const {
  size_t open = 0;
  for (const auto& thread : threads_) open += thread->open_requests();
  return open;
}

size_t Traffic::open_connections() const {
  size_t open = 0;
  for (const auto& thread : threads_) open += thread->open_connections();
  return open;
}

void Traffic::Stop() {
  for (auto& thread : threads_) thread->Stop();
}

}  // namespace ebonylift
