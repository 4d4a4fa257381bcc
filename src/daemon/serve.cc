#include "daemon/serve.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <iostream>
#include <memory>
#include <random>

#include "adapters/file_journal.h"
#include "adapters/metrics.h"
#include "base/error.h"
#include "base/event.h"
#include "base/log_output.h"
#include "core/drain.h"
#include "core/entry_list.h"
#include "daemon/condemned_store.h"
#include "daemon/control.h"
#include "daemon/dispatcher.h"
#include "daemon/record_store.h"
#include "daemon/settings.h"
#include "daemon/stream_origin_table.h"
#include "daemon/traffic.h"

namespace ebonylift {
namespace {

// A shutdown accepts connections for this long, because callers may hold a list of entry hosts that
// is still valid and contains this host.
constexpr Duration kDrainGrace = milliseconds(1500);
constexpr Duration kPollInterval = milliseconds(20);
// Time for the sockets to deliver the last responses after the last request has ended.
constexpr Duration kFlushTime = milliseconds(200);

// Runs the main thread of the daemon, which starts the other threads, handles signals and carries
// out the shutdown.
class Daemon {
 public:
  explicit Daemon(const ServeOptions& options)
      : options_(options), settings_(options_.settings), signals_(io_), timer_(io_) {}

  int Run() {
    SetEventHost(settings_.name.empty() ? settings_.host.value() : settings_.name);
    LogEvent(EventId::kStarted, {{"http_address", settings_.http_address},
                                 {"peer_address", settings_.peer_address},
                                 {"region", settings_.region.value()},
                                 {"domain", settings_.domain.value()}});
    started_ = SteadyNow();
    OpenRecords();
    StartThreads();
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    WaitForSignal();
    WaitForConfiguration();
    io_.run();
    traffic_->Stop();
    control_.reset();
    return exit_code_;
  }

 private:
  // SIGHUP is only logged, because settings never change while the daemon runs.
  void WaitForSignal() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        LogEvent(EventId::kReloadRequested, {{"changed", "none"}});
      } else {
        BeginDrain("signal");
      }
      WaitForSignal();
    });
  }

  void OpenRecords() {
    records_ = std::make_unique<RecordStore>(settings_.host, OpenJournal("records"));
    records_->Recover(WallNow());
    condemned_ = std::make_unique<CondemnedStore>(OpenJournal("condemned"));
  }

  // Returns null for a host without a disk.
  std::shared_ptr<Journal> OpenJournal(const std::string& name) const {
    if (settings_.data_dir.empty()) return nullptr;
    return std::make_shared<FileJournal>(settings_.data_dir, name);
  }

  void StartThreads() {
    std::random_device seed;
    ControlOptions options = MakeControlOptions();
    control_ = StartControl(options);
    dispatcher_ = std::make_unique<Dispatcher>(
        control_.get(), ParseRoutingPolicy(settings_.routing_policy).value(),
        options_.dialect == nullptr ? SuspectPlacement::kAlone : SuspectPlacement::kAnywhere,
        seed());
    dispatcher_->SetLimitTolerance(settings_.limit_tolerance);
    dispatcher_->RestoreCondemned(
        condemned_->Load(WallNow()),
        [this](const KnownSuspect& condemned) { condemned_->Add(condemned, WallNow()); },
        [this](uint64_t content) { condemned_->Remove(content, WallNow()); });
    control_dispatcher_ = dispatcher_.get();
    TrafficOptions traffic;
    traffic.settings = settings_;
    traffic.listeners = options_.listeners;
    traffic.dialect = options_.dialect;
    traffic.control = control_.get();
    traffic.dispatcher = dispatcher_.get();
    traffic.records = records_.get();
    traffic.stream_origins = &stream_origins_;
    traffic.metrics = &metrics_;
    traffic.start_drain = [this] { asio::post(io_, [this] { BeginDrain("operator"); }); };
    traffic_ = std::make_unique<Traffic>(traffic);
    traffic_->Start();
  }

  ControlOptions MakeControlOptions() {
    ControlOptions options;
    options.self = Identity{settings_.host, settings_.region, settings_.domain};
    options.incarnation = static_cast<uint64_t>(WallNow());
    options.http_address = settings_.advertise_address;
    options.peer_address = settings_.peer_address;
    options.has_disk = !settings_.data_dir.empty();
    for (const PeerSetting& peer : settings_.peers) {
      ControlPeer control_peer;
      control_peer.identity = Identity{peer.host, peer.region, peer.domain};
      control_peer.rpc_address = peer.rpc_address;
      control_peer.http_address = peer.http_address;
      control_peer.has_disk = peer.has_disk;
      options.peers.push_back(control_peer);
    }
    options.voters = settings_.voters;
    options.find_hosts = settings_.find_hosts;
    options.may_bootstrap = settings_.first_start;
    options.server_scope = settings_.server_scope;
    options.max_server_ttl = settings_.max_server_ttl;
    options.departure_is_final = settings_.departure_is_final;
    options.share_work = settings_.share_work;
    options.persist_servers = settings_.persist_servers;
    options.pause_expiry_when_isolated = settings_.pause_expiry_when_isolated;
    options.caller_address = settings_.caller_address;
    options.operator_address = settings_.operator_address;
    options.revoke_keys_after = settings_.revoke_keys_after;
    options.cluster_key = settings_.cluster_key;
    options.data_folder = settings_.data_dir;
    options.on_suspect_report = [this](const SuspectReport& report) {
      Dispatcher* dispatcher = control_dispatcher_;
      if (dispatcher != nullptr) dispatcher->OnRemoteSuspect(report);
    };
    options.known_suspects = [this] {
      Dispatcher* dispatcher = control_dispatcher_;
      return dispatcher == nullptr ? std::vector<SuspectReport>()
                                   : dispatcher->KnownSuspects(SteadyNow());
    };
    options.on_room_report = [this](const RoomReport& report) {
      Dispatcher* dispatcher = control_dispatcher_;
      if (dispatcher != nullptr) dispatcher->OnRemoteRoomReport(report, SteadyNow());
    };
    options.find_versions = [this](const std::string& served) {
      return stream_origins_.FindVersions(*control_->View(), served, SteadyNow());
    };
    options.known_room_reports = [this] {
      Dispatcher* dispatcher = control_dispatcher_;
      return dispatcher == nullptr ? std::vector<RoomReport>()
                                   : dispatcher->KnownRoomReports(SteadyNow());
    };
    options.on_streams = [this](const std::vector<StreamRecord>& records) {
      stream_origins_.Add(records, SteadyNow());
    };
    options.find_stream = [this](uint64_t stream) {
      return stream_origins_.Find(stream, SteadyNow());
    };
    options.limit_tolerance = settings_.limit_tolerance;
    options.take_limit_ask = [this](Time now) {
      Dispatcher* dispatcher = control_dispatcher_;
      return dispatcher == nullptr ? std::nullopt : dispatcher->TakeLimitAsk(now);
    };
    options.on_limit_answer = [this](const std::optional<LimitAnswer>& answer, Time sent) {
      Dispatcher* dispatcher = control_dispatcher_;
      if (dispatcher != nullptr) dispatcher->OnLimitAnswer(answer, sent, SteadyNow());
    };
    options.on_stats = [this](const ControlStats& stats) {
      metrics_.SetPeerBytes(stats.sent_bytes, stats.received_bytes, stats.unsent_bytes);
      metrics_.SetPeerFlows(stats.flows);
      metrics_.SetConfigBehind(stats.config_behind);
      metrics_.SetControlDelay(stats.max_tick_delay);
    };
    options.on_config_lag = [this](Duration lag) { metrics_.ObserveConfigLag(lag); };
    return options;
  }

  // Logs that the daemon is ready as soon as it has a configuration.
  void WaitForConfiguration() {
    uint64_t revision = control_->View()->config->revision;
    if (revision > 0) {
      LogEvent(EventId::kReady, {{"revision", std::to_string(revision)},
                                 {"ms", std::to_string(ToMillis(SteadyNow() - started_))}});
      return;
    }
    RunAfter(kPollInterval, [this] {
      if (!draining_) WaitForConfiguration();
    });
  }

  void BeginDrain(const std::string& reason) {
    if (draining_) return;
    draining_ = true;
    drain_started_ = SteadyNow();
    LogEvent(EventId::kDrainStarted,
             {{"reason", reason}, {"open", std::to_string(traffic_->open_requests())}});
    LeaveWhenReplaced();
  }

  // Leaves the lists of entry hosts. If all other hosts of the region that take requests are
  // restarting as well, waits for a while, as callers would be sent to another region meanwhile.
  void LeaveWhenReplaced() {
    Duration waited = SteadyNow() - drain_started_;
    bool may_wait = waited < MaxDrainDelay(settings_.drain_timeout);
    if (may_wait && IsAwaitingReplacement(*control_->View())) {
      RunAfter(kPollInterval, [this] { LeaveWhenReplaced(); });
      return;
    }
    DrainTimes drain{drain_started_, drain_started_ + settings_.drain_timeout};
    Duration takes_long = TakesLongRequestsUntil(drain) - drain_started_;
    LogEvent(EventId::kEntryListLeft, {{"waited_ms", std::to_string(ToMillis(waited))},
                                       {"takes_ms", std::to_string(ToMillis(takes_long))},
                                       {"open", std::to_string(traffic_->open_requests())}});
    control_->StartDrain();
    traffic_->BeginDrain(drain);
    RunAfter(kDrainGrace, [this] {
      traffic_->StopAccepting();
      stopped_accepting_ = SteadyNow();
      WaitForRequests();
    });
  }

  // True when no request is open, and no connection either unless the idle grace period is over.
  bool IsDrained() const {
    if (traffic_->open_requests() > 0) return false;
    return traffic_->open_connections() == 0 ||
           SteadyNow() - stopped_accepting_ >= settings_.idle_grace;
  }

  // Stops the daemon when its requests have ended or the drain timeout has passed.
  void WaitForRequests() {
    bool timed_out = SteadyNow() - drain_started_ > settings_.drain_timeout;
    if (!timed_out && !IsDrained()) {
      RunAfter(kPollInterval, [this] { WaitForRequests(); });
      return;
    }
    exit_code_ = timed_out ? 1 : 0;
    if (timed_out) traffic_->EndRequests();
    RunAfter(kFlushTime, [this, timed_out] {
      // Another request may have arrived on an open connection in the meantime.
      if (!timed_out && !IsDrained()) {
        WaitForRequests();
        return;
      }
      LogEvent(EventId::kStopped, {{"ms", std::to_string(ToMillis(SteadyNow() - drain_started_))}});
      io_.stop();
    });
  }

  void RunAfter(Duration delay, std::function<void()> fn) {
    timer_.expires_after(delay);
    timer_.async_wait([fn = std::move(fn)](const asio::error_code& error) {
      if (!error) fn();
    });
  }

  const ServeOptions options_;
  const Settings& settings_;
  asio::io_context io_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  Metrics metrics_;
  StreamOriginTable stream_origins_;
  std::unique_ptr<RecordStore> records_;
  std::unique_ptr<CondemnedStore> condemned_;
  std::unique_ptr<ControlPort> control_;
  std::unique_ptr<Dispatcher> dispatcher_;
  // Null until `dispatcher_` is constructed; read by the control thread, which starts earlier.
  std::atomic<Dispatcher*> control_dispatcher_{nullptr};
  std::unique_ptr<Traffic> traffic_;
  Time started_;
  Time drain_started_;
  Time stopped_accepting_;
  bool draining_ = false;
  int exit_code_ = 0;
};

}  // namespace

int RunServe(const std::vector<std::string>& args) {
  std::vector<SettingIssue> issues;
  ServeOptions options;
  options.settings = ReadSettings(&issues);
  for (const std::string& argument : args) {
    issues.push_back({"argument", argument, "none"});
  }
  return Serve(options, std::move(issues));
}

namespace {

int RunDaemon(const ServeOptions& options, std::vector<SettingIssue> issues) {
  std::vector<SettingIssue> check_issues = CheckSettings(options.settings);
  issues.insert(issues.end(), check_issues.begin(), check_issues.end());
  for (const SettingIssue& issue : issues) {
    LogEvent(EventId::kSettingsRefused,
             {{"key", issue.key}, {"value", issue.value}, {"allowed", issue.expected}});
  }
  if (!issues.empty()) return 2;
  try {
    return Daemon(options).Run();
  } catch (const Error& error) {
    LogEvent(EventId::kStartFailed, {{"reason", error.what()}});
    return 1;
  }
}

}  // namespace

int Serve(const ServeOptions& options, std::vector<SettingIssue> issues) {
  StartLogOutput(STDOUT_FILENO);
  int exit_code = RunDaemon(options, std::move(issues));
  StopLogOutput();
  return exit_code;
}

}  // namespace ebonylift
