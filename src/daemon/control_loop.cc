#include "daemon/control_loop.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "adapters/file_journal.h"
#include "adapters/kj_types.h"
#include "base/hash.h"
#include "core/domain_summary.h"
#include "core/registry.h"
#include "daemon/control_options.h"

namespace ebonylift {
namespace {

// The maximum that Membership and ConfigReplica allow.
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kSummaryInterval = milliseconds(500);
constexpr Duration kTimelineTimeout = seconds(2);
// Three round trips between regions.
constexpr Duration kFindStreamTimeout = milliseconds(350);
constexpr Duration kAskForVotersTimeout = seconds(1);
// The leader tells at most this many hosts of a new revision at once.
constexpr size_t kMaxLeaderPushes = 128;
// Every other host that gets a revision tells so many more. With probes alone, what the leader did
// not tell spreads in seconds when hosts are short of processor time.
constexpr size_t kMaxPushes = 3;

}  // namespace

ControlLoop::ControlLoop(kj::AsyncIoContext* io, const ControlOptions* options,
                         TaskQueue* task_queue, Publish publish)
    : io_(io),
      options_(options),
      task_queue_(task_queue),
      publish_(std::move(publish)),
      rng_(Hash64(options->self.host.value() + RandomHex(8))),
      publish_timer_(
          [this](Duration delay, std::function<void()> fn) { RunAfter(delay, std::move(fn)); },
          [this]() { PublishNow(); }),
      servers_(MakeRegistry(*options), MakeServerJournal(*options),
               [this](Duration interval) { SchedulePublish(interval); }),
      gossip_(MakeMembership(SelfEntry(*options), PeerEntries(*options),
                             MakeMembershipParams(*options)),
              &rng_, &rpc_, [this]() { SchedulePublish(kPublishInterval); }),
      relay_(MakeRelayOptions()),
      config_proposer_(MakeProposerOptions()),
      config_puller_(MakePullerOptions()),
      voter_maintenance_(&gossip_.membership(), &replica_),
      rpc_(io, MakeRpcOptions(*options), this),
      replica_(MakeReplicaOptions()),
      stop_(kj::newPromiseAndFulfiller<void>()),
      tasks_(*this) {
  work_exchange_.self = options->self.host;
  control_contact_.revoke_after = options->revoke_keys_after;
  limit_allocator_.tolerance = options->limit_tolerance;
}

void ControlLoop::Start() {
  replica_.SetRevisionChangedCallback([this]() { OnRevisionChanged(); });
  replica_.SetViewChangedCallback([this]() { SchedulePublish(kPublishInterval); });
  replica_.Start(SteadyNow());
  servers_.Load(SteadyNow());
  PublishNow();
  rpc_.Start();
  wakeup_pipe_ = io_->lowLevelProvider->wrapInputFd(task_queue_->read_fd());
  tasks_.add(TickLoop());
  tasks_.add(TaskQueueLoop());
}

ConfigReplica::Options ControlLoop::MakeReplicaOptions() {
  ConfigReplica::Options replica;
  replica.self = options_->self.host;
  replica.voters = options_->voters;
  replica.may_bootstrap = options_->may_bootstrap;
  if (!options_->data_folder.empty()) {
    replica.journal = std::make_shared<FileJournal>(options_->data_folder, "config");
  }
  replica.seed = rng_();
  replica.send = [this](const HostId& to, const std::string& bytes) { rpc_.Consensus(to, bytes); };
  TaskQueue* task_queue = task_queue_;
  replica.post = [task_queue](std::function<void()> fn) { task_queue->Post(std::move(fn)); };
  return replica;
}

AnnouncementRelay::Options ControlLoop::MakeRelayOptions() {
  AnnouncementRelay::Options relay;
  relay.self = options_->self;
  relay.scope = options_->server_scope;
  relay.registry = &servers_.registry();
  relay.membership = &gossip_.membership();
  relay.send = [this](const HostId& to, const std::vector<RelayedAnnouncement>& batch,
                      std::function<void(AnnouncementRelay::UnknownKeys)> done) {
    rpc_.Announce(to, batch, std::move(done));
  };
  relay.understands_alive_sets = [this](const HostId& host) {
    return rpc_.Understands(host, PeerFeature::kAliveSets);
  };
  relay.send_alive_set = [this](const HostId& to, const std::string& set,
                                std::function<void(std::optional<AliveReply>)> done) {
    rpc_.Alive(to, set, std::move(done));
  };
  relay.incarnation = options_->incarnation;
  relay.run_after = [this](Duration delay, std::function<void()> fn) {
    RunAfter(delay, std::move(fn));
  };
  return relay;
}

ConfigProposer::Options ControlLoop::MakeProposerOptions() {
  ConfigProposer::Options proposer;
  proposer.propose = [this](const ConfigPut& put, const ConfigProposer::PutDone& done) {
    return replica_.Put(put, done);
  };
  proposer.voters = [this]() { return replica_.Voters(); };
  proposer.leader = [this]() { return replica_.Leader(); };
  proposer.is_connected = [this](const HostId& host) { return rpc_.IsConnected(host); };
  proposer.forward = [this](const HostId& to, const ConfigPut& put, uint32_t hops,
                            std::function<void(std::optional<PutAnswer>)> done) {
    rpc_.ProposePut(to, put, hops, kPutTimeout, std::move(done));
  };
  return proposer;
}

ConfigPuller::Options ControlLoop::MakePullerOptions() {
  ConfigPuller::Options puller;
  puller.needs_pull = [this]() { return replica_.NeedsPull(); };
  puller.in_snapshot = [this]() { return replica_.in_snapshot(); };
  puller.choose_host = [this](const std::set<HostId>& excluded) {
    // A host that has just started has heard of many hosts to which it is not connected yet.
    auto may_ask = [&](const HostId& host) {
      return excluded.count(host) == 0 && rpc_.IsConnected(host);
    };
    // What keeps one host of this failure domain from answering may concern all of them.
    bool prefer_own_domain = excluded.empty();
    return PullTarget(gossip_.membership(), rng_, may_ask, prefer_own_domain);
  };
  puller.revision = [this]() { return replica_.revision(); };
  puller.pull = [this](const HostId& host, Duration timeout, ConfigPuller::PullDone done) {
    rpc_.ConfigSince(host, replica_.revision(), replica_.pull_offset(host), timeout,
                     std::move(done));
  };
  puller.on_failed = [this](const HostId& host) { replica_.OnPullFailed(host); };
  puller.apply = [this](const std::string& data, const HostId& host) {
    return replica_.ApplyPullResponse(data, host);
  };
  return puller;
}

// ---- loops ----

kj::Promise<void> ControlLoop::TickLoop() {
  return timer()
      .afterDelay(ToKjDuration(kTickInterval))
      .then([this]() { OnTick(SteadyNow()); })
      .catch_([this](kj::Exception&& e) { taskFailed(kj::mv(e)); })
      .then([this]() { return TickLoop(); });
}

kj::Promise<void> ControlLoop::TaskQueueLoop() {
  return wakeup_pipe_->tryRead(wakeup_buffer_, 1, sizeof(wakeup_buffer_))
      .then([this](size_t) { RunPostedTasks(); })
      .then([this]() { return TaskQueueLoop(); });
}

void ControlLoop::RunAfter(Duration delay, std::function<void()> fn) {
  tasks_.add(timer().afterDelay(ToKjDuration(delay)).then([fn = std::move(fn)]() { fn(); }));
}

void ControlLoop::RunPostedTasks() {
  for (std::function<void()>& fn : task_queue_->Take()) {
    try {
      fn();
    } catch (const std::exception& e) {
      LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.what()}});
    }
  }
}

void ControlLoop::OnTick(Time now) {
  if (last_tick_ != Time()) {
    max_tick_delay_ = std::max(max_tick_delay_, now - last_tick_ - kTickInterval);
  }
  last_tick_ = now;
  if (servers_.RemoveExpired(now)) SchedulePublish(kPublishInterval);
  // The servers in a view expire if no view follows, although nothing has changed.
  if (options_->pause_expiry_when_isolated) SchedulePublish(kIsolationGrace / 2);
  replica_.Tick(now);
  config_proposer_.RetryWaiting();
  UpdateLimitAllocator(now);
  AskForLimits();
  disk_was_lost_ = disk_was_lost_ || replica_.DiskLost();
  if (replica_.DiskConfirmed() != published_disk_confirmed_) SchedulePublish(kPublishInterval);
  gossip_.SendProbes(now);
  if (now >= next_summary_) {
    next_summary_ = now + kSummaryInterval;
    ReportDomainSummaries(now);
  }
  UpdateConfigLag(now);
  UpdateControlContact(now);
  config_puller_.Tick();
  servers_.SaveIfDue(now);
  if (options_->find_hosts) voter_maintenance_.Tick(now);
  gossip_.HandleChanges();
  if (options_->on_stats && now >= next_stats_) ReportStats(now);
}

void ControlLoop::ReportStats(Time now) {
  next_stats_ = now + kControlStatsInterval;
  ControlStats stats;
  stats.sent_bytes = rpc_.sent_bytes();
  stats.received_bytes = rpc_.received_bytes();
  stats.unsent_bytes = rpc_.unsent_bytes();
  stats.flows = rpc_.flows();
  stats.config_behind = config_lag_.Behind(now);
  stats.max_tick_delay = std::exchange(max_tick_delay_, Duration(0));
  options_->on_stats(stats);
}

// ---- view ----

void ControlLoop::PublishNow() {
  // A process that was suspended may publish before its next tick.
  servers_.RemoveExpired(SteadyNow());
  auto view = std::make_shared<RoutingView>();
  view->self = options_->self;
  view->server_scope = options_->server_scope;
  view->config = replica_.View();
  view->servers = LiveServers(servers_.registry(), SteadyNow());
  ApplyOthersWork(work_exchange_, SteadyNow(), &view->servers);
  if (options_->share_work) view->work_known_at = WorkKnownAt(work_exchange_, SteadyNow());
  view->hosts = HostEntries(gossip_.membership());
  auto shares = [this](const HostId& host) {
    return rpc_.Understands(host, PeerFeature::kSharedCollectors);
  };
  work_exchange_.roster =
      MakeWorkRoster(view->hosts, options_->self, options_->server_scope, shares);
  view->summaries = Summaries(gossip_.membership());
  // A voter gets a configuration only after its peers have said whether they know its disk, so a
  // view with a configuration also has the final value of `disk_was_lost`.
  disk_was_lost_ = disk_was_lost_ || replica_.DiskLost();
  view->disk_was_lost = disk_was_lost_;
  published_disk_confirmed_ = replica_.DiskConfirmed();
  view->disk_confirmed = published_disk_confirmed_;
  published_keys_valid_until_ =
      KeysValidUntil(control_contact_, gossip_.membership(), replica_.Voters(), SteadyNow());
  view->keys_valid_until = published_keys_valid_until_;
  publish_timer_.MarkPublished();
  publish_(std::move(view));
}

// ---- backend servers ----

void ControlLoop::Announce(const Announcement& announcement,
                           const std::function<void(std::optional<Error>)>& done) {
  Time now = SteadyNow();
  bool refresh = servers_.OnlyLoadChanged(announcement);
  AnnounceResult result = servers_.Register(announcement, Duration(0), now);
  switch (result) {
    case AnnounceResult::kOtherDomain:
      if (options_->server_scope == ServerScope::kRegion) {
        relay_.Add(announcement, now, false);
        return done(std::nullopt);
      }
      return done(
          Error(ErrorKind::kForbidden, "this host serves only backend servers of failure domain " +
                                           options_->self.domain.value()));
    case AnnounceResult::kOldIncarnation:
      return done(Error(ErrorKind::kBadRequest,
                        "a newer incarnation of this backend server is already registered"));
    case AnnounceResult::kInvalid:
      return done(
          Error(ErrorKind::kBadRequest, "the backend server's id and address are required"));
    case AnnounceResult::kFull:
      return done(Error(ErrorKind::kOverloaded, "too many backend servers are registered"));
    case AnnounceResult::kDuplicate:
    case AnnounceResult::kExpiredOnArrival:
      return done(std::nullopt);
    default:
      relay_.Add(announcement, now, refresh && result == AnnounceResult::kRefreshed);
      return done(std::nullopt);
  }
}

void ControlLoop::Leave(const ServerId& server, uint64_t incarnation,
                        const std::function<void()>& done) {
  Announcement notice;
  notice.id = server;
  notice.incarnation = incarnation;
  notice.leaving = true;
  servers_.Register(notice, Duration(0), SteadyNow());
  relay_.SendLeaveNotice(notice);
  done();
}

void ControlLoop::ReportDomainSummaries(Time now) {
  if (!IsReporter(gossip_.membership())) return;
  std::vector<BackendServer> servers = LiveServers(servers_.registry(), SteadyNow());
  ApplyAllWork(work_exchange_, now, &servers);
  ReportSummaries(gossip_.mutable_membership(), SummarizeDomain(options_->self, servers, now),
                  ProcessClock().Now(), now);
}

// ---- configuration ----

// Runs before the view of the revision is built: the other hosts need not wait for that.
void ControlLoop::OnRevisionChanged() {
  SetRevision(gossip_.mutable_membership(), replica_.revision());
  size_t limit = replica_.IsLeader() ? kMaxLeaderPushes : kMaxPushes;
  for (const HostId& host : HostsToTell(gossip_.membership(), rpc_.Connected(), limit, rng_)) {
    gossip_.PushRevision(host);
  }
}

void ControlLoop::UpdateConfigLag(Time now) {
  const Membership& membership = gossip_.membership();
  config_lag_.OnHeard(membership.newest_revision, membership.newest_source,
                      membership.newest_holder, replica_.revision(), now);
  std::optional<Duration> lag = config_lag_.OnInForce(replica_.View()->revision, now);
  if (lag && options_->on_config_lag) options_->on_config_lag(*lag);
}

// Pulls the configuration, whose answer names the voters.
void ControlLoop::AskForVoters(const HostId& host) {
  rpc_.ConfigSince(host, replica_.revision(), replica_.pull_offset(host), kAskForVotersTimeout,
                   [this, host](const std::optional<std::string>& data) {
                     if (!data) return;
                     try {
                       replica_.ApplyPullResponse(*data, host);
                     } catch (const Error& error) {
                       LogEvent(EventId::kPeerMessageRefused,
                                {{"host", host.value()}, {"reason", error.what()}});
                     }
                   });
}

void ControlLoop::UpdateControlContact(Time now) {
  if (control_contact_.revoke_after <= Duration(0)) return;
  constexpr int kPublishDivisor = 8;
  std::vector<HostId> voters = replica_.Voters();
  for (const HostId& host : VotersToAsk(&control_contact_, gossip_.membership(), voters, now)) {
    gossip_.Push(host);
  }
  if (!replica_.in_snapshot()) {
    std::optional<HostId> informed = HostToAskForVoters(&control_contact_, gossip_.membership(),
                                                        voters, rpc_.Connected(), now, rng_);
    if (informed) AskForVoters(*informed);
  }
  Time valid_until = KeysValidUntil(control_contact_, gossip_.membership(), voters, now);
  Duration gained = valid_until - published_keys_valid_until_;
  bool accepted = valid_until > now;
  if (gained > control_contact_.revoke_after / kPublishDivisor || accepted != keys_accepted_)
    SchedulePublish(kPublishInterval);
  if (accepted == keys_accepted_) return;
  keys_accepted_ = accepted;
  LogEvent(accepted ? EventId::kKeysAccepted : EventId::kKeysNotAccepted,
           {{"voters", std::to_string(voters.size())},
            {"revision", std::to_string(replica_.revision())}});
}

void ControlLoop::ReadLinearizable(const std::string& path,
                                   const std::function<void(LinearizableRead)>& done) {
  std::optional<HostId> leader =
      replica_.ReadCurrent(path, [done](const std::optional<Error>& error, const ConfigRead& read) {
        LinearizableRead answer;
        if (error) answer.error = error->kind();
        answer.read = read;
        done(answer);
      });
  if (!leader) return;
  LinearizableRead answer;
  answer.error = ErrorKind::kNoQuorum;
  answer.redirect_host = *leader;
  done(answer);
}

// ---- suspect reports ----

void ControlLoop::BroadcastSuspects(const std::vector<SuspectReport>& reports) {
  bool scheduled = !suspect_outbox_.IsEmpty();
  for (const SuspectReport& report : reports) suspect_outbox_.Add(report);
  if (suspect_outbox_.IsUrgent()) {
    SendSuspects();
  } else if (!scheduled) {
    RunAfter(kSuspectReportDelay, [this]() { SendSuspects(); });
  }
}

// Callers return through hosts of any region, so all hosts need to know.
void ControlLoop::SendSuspects() {
  std::vector<SuspectReport> reports = suspect_outbox_.Take();
  if (reports.empty()) return;
  for (const SuspectReport& report : reports) suspect_history_.Add(report, SteadyNow());
  auto any = [](const Identity&) { return true; };
  for (const HostId& host : gossip_.PeersWhere(any)) rpc_.Suspects(host, reports);
}

void ControlLoop::OnPeerSuspects(const std::vector<SuspectReport>& reports) {
  if (!options_->on_suspect_report) return;
  for (const SuspectReport& report : reports) options_->on_suspect_report(report);
}

void ControlLoop::OnPeerLogin(const HostId& host, uint64_t incarnation) {
  servers_.OnLogin(host, incarnation);
  // The host sends complete lists first.
  for (auto it = work_decoders_.begin(); it != work_decoders_.end();) {
    it = it->first.first == host ? work_decoders_.erase(it) : std::next(it);
  }
}

void ControlLoop::OnPeerConnection(const HostId& host, bool connected) {
  Time now = SteadyNow();
  OnConnection(gossip_.mutable_membership(), host, connected, now);
  gossip_.HandleChanges();
  if (!connected) relay_.OnDisconnected(host);
  // Messages of the last connection may have been lost.
  for (auto& [key, encoder] : work_encoders_) {
    if (key.first == host) ResetEncoder(&encoder);
  }
  if (!connected) return;
  gossip_.Push(host);
  auto it = gossip_.membership().hosts.find(host);
  if (it == gossip_.membership().hosts.end()) return;
  const HostEntry& peer = it->second.entry;
  if (relay_.SharesServersWith({host, peer.region, peer.domain})) {
    relay_.SendAll(host, now);
    // A host that has just started would fill brittle servers as if they were sound.
    std::vector<RoomReport> rooms;
    if (options_->known_room_reports) rooms = options_->known_room_reports();
    if (!rooms.empty()) rpc_.RoomReports(host, rooms);
  }
  // The host may have missed reports, of this host or of one that has ended since.
  std::vector<SuspectReport> reports;
  if (options_->known_suspects) reports = options_->known_suspects();
  std::vector<SuspectReport> recent = suspect_history_.Recent(now);
  reports.insert(reports.end(), recent.begin(), recent.end());
  if (!reports.empty()) rpc_.Suspects(host, reports);
}

// ---- shared work ----

void ControlLoop::ShareWork(std::vector<ServerWork> work) {
  HostId previous = work_exchange_.collector;
  Time now = SteadyNow();
  SetOwnWork(&work_exchange_, std::move(work));
  for (const WorkMessage& message : TakeWorkMessages(&work_exchange_, now)) {
    SendWork(message, now);
  }
  if (work_exchange_.collector == previous) return;
  LogEvent(EventId::kWorkCollectorChanged,
           {{"collector", work_exchange_.collector.value()},
            {"previous", previous.value()},
            {"silent", IsSilent(work_exchange_, previous, now) ? "1" : "0"}});
}

void ControlLoop::OnPeerWorkList(const HostId& from, WorkListKind kind,
                                 std::vector<ServerWork> work) {
  OnWorkList(&work_exchange_, from, kind, std::move(work), SteadyNow());
  SchedulePublish(kPublishInterval);
}

void ControlLoop::SendWork(const WorkMessage& message, Time now) {
  if (!rpc_.Understands(message.to, PeerFeature::kWorkRows)) {
    return rpc_.Work(message.to, message.kind, message.work);
  }
  std::pair<HostId, WorkListKind> key(message.to, message.kind);
  rpc_.WorkChanges(message.to, message.kind, EncodeWork(&work_encoders_[key], message.work, now),
                   [this, key](std::optional<bool> applied) {
                     if (!applied.value_or(false)) ResetEncoder(&work_encoders_[key]);
                   });
}

bool ControlLoop::OnPeerWorkChanges(const HostId& from, WorkListKind kind,
                                    const std::string& changes) {
  std::optional<std::vector<ServerWork>> work =
      DecodeWork(&work_decoders_[{from, kind}], changes, SteadyNow());
  if (!work) return false;
  OnPeerWorkList(from, kind, std::move(*work));
  return true;
}

// Sent without delay, as each request that another host sends meanwhile may be turned away, too.
void ControlLoop::BroadcastRoom(const RoomReport& report) {
  auto shares_servers = [this](const Identity& host) { return relay_.SharesServersWith(host); };
  for (const HostId& host : gossip_.PeersWhere(shares_servers)) rpc_.RoomReports(host, {report});
}

// ---- limits of workspaces ----

void ControlLoop::UpdateLimitAllocator(Time now) {
  bool was_active = limit_allocator_.active_since != Time();
  bool active = replica_.HoldsLease(now);
  TickLimitAllocator(&limit_allocator_, active, now);
  if (active == was_active) return;
  LogEvent(EventId::kLimitAllocationStarted,
           {{"active", active ? "1" : "0"}, {"term", std::to_string(replica_.term())}});
}

// The leader, if this host knows it and is connected to it; otherwise a connected voter, which may
// name the leader. Empty if there is none.
HostId ControlLoop::LimitAllocatorHost() {
  const HostId& self = options_->self.host;
  for (const HostId& host : {limit_leader_hint_, replica_.Leader().value_or(HostId())}) {
    if (!host.empty() && host != self && rpc_.IsConnected(host)) return host;
  }
  std::vector<HostId> voters = replica_.Voters();
  for (size_t i = 0; i < voters.size(); ++i) {
    const HostId& voter = voters[next_limit_voter_++ % voters.size()];
    if (voter != self && rpc_.IsConnected(voter)) return voter;
  }
  return HostId();
}

void ControlLoop::AskForLimits() {
  if (!options_->take_limit_ask) return;
  Time now = SteadyNow();
  std::optional<LimitAsk> ask = options_->take_limit_ask(now);
  if (!ask) return;
  UpdateLimitAllocator(now);
  if (limit_allocator_.active_since != Time()) {
    OnLimitReply(options_->self.host,
                 AllocateLimits(&limit_allocator_, options_->self.host, *ask, now), now);
    return;
  }
  HostId to = LimitAllocatorHost();
  if (to.empty()) return OnLimitReply(to, std::nullopt, now);
  SendLimitAsk(to, EncodeLimitAsk(*ask), now, /*may_redirect=*/true);
}

void ControlLoop::SendLimitAsk(const HostId& to, const std::string& ask, Time sent,
                               bool may_redirect) {
  rpc_.LimitShares(to, ask, kLimitAskTimeout, [=](const std::optional<LimitSharesReply>& reply) {
    if (reply && reply->answer) {
      limit_leader_hint_ = to;
      return OnLimitReply(to, DecodeLimitAnswer(*reply->answer), sent);
    }
    limit_leader_hint_ = reply ? reply->leader : HostId();
    bool redirect = may_redirect && !limit_leader_hint_.empty() && limit_leader_hint_ != to &&
                    rpc_.IsConnected(limit_leader_hint_);
    if (redirect) return SendLimitAsk(limit_leader_hint_, ask, sent, /*may_redirect=*/false);
    OnLimitReply(to, std::nullopt, sent);
  });
}

void ControlLoop::OnLimitReply(const HostId& from, const std::optional<LimitAnswer>& answer,
                               Time sent) {
  if (limits_answered_ && !answer) LogEvent(EventId::kLimitLeaseLost, {{"host", from.value()}});
  limits_answered_ = answer.has_value();
  if (answer && from != last_limit_allocator_) {
    LogEvent(EventId::kLimitAllocatorChanged,
             {{"allocator", from.value()}, {"previous", last_limit_allocator_.value()}});
    last_limit_allocator_ = from;
  }
  if (options_->on_limit_answer) options_->on_limit_answer(answer, sent);
}

LimitSharesReply ControlLoop::OnPeerLimitShares(const HostId& from, const std::string& ask) {
  Time now = SteadyNow();
  UpdateLimitAllocator(now);
  LimitSharesReply reply;
  if (limit_allocator_.active_since == Time()) {
    reply.leader = replica_.Leader().value_or(HostId());
    if (reply.leader == options_->self.host) reply.leader = HostId();
    return reply;
  }
  std::optional<LimitAsk> request = DecodeLimitAsk(ask);
  LimitAnswer answer;
  if (request) answer = AllocateLimits(&limit_allocator_, from, *request, now);
  reply.answer = EncodeLimitAnswer(answer);
  return reply;
}

// ---- origins of streams ----

void ControlLoop::ShareStreams(const std::map<HostId, std::vector<StreamRecord>>& by_holder) {
  for (const auto& [host, records] : by_holder) rpc_.Streams(host, records);
}

void ControlLoop::FindStream(const std::vector<HostId>& hosts, uint64_t stream,
                             const std::function<void(const StreamSearch&)>& done) {
  if (hosts.empty()) return done(StreamSearch());
  auto waiting = std::make_shared<size_t>(hosts.size());  // answers; 0 once `done` has run
  auto search = std::make_shared<StreamSearch>(StreamSearch{std::nullopt, true});
  for (const HostId& host : hosts) {
    rpc_.FindStream(host, stream, kFindStreamTimeout,
                    [waiting, search, done](std::optional<std::optional<StreamOrigin>> answer) {
                      if (*waiting == 0) return;
                      --*waiting;
                      if (!answer) search->all_answered = false;
                      if (answer) search->origin = *answer;
                      if (!search->origin && *waiting > 0) return;
                      *waiting = 0;
                      done(*search);
                    });
  }
}

void ControlLoop::FindVersions(const std::vector<HostId>& hosts, const std::string& served,
                               const std::function<void(const VersionSearch&)>& done) {
  if (hosts.empty()) return done(VersionSearch());
  auto waiting = std::make_shared<size_t>(hosts.size());
  auto search = std::make_shared<VersionSearch>();
  for (const HostId& host : hosts) {
    rpc_.SoftwareVersions(host, served, kFindStreamTimeout,
                          [=](std::optional<std::set<std::string>> versions) {
                            --*waiting;
                            if (versions) {
                              search->versions.merge(*versions);
                              search->answered.push_back(host);
                            }
                            if (*waiting == 0) done(*search);
                          });
  }
}

// ---- timeline ----

void ControlLoop::Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                           std::function<void(std::vector<Event>)> done) {
  std::vector<HostId> hosts = rpc_.Connected();
  size_t daemons = hosts.size() + 1;
  size_t page_limit = TimelinePageLimit(daemons, limit);
  auto merge = std::make_shared<TimelineMerge>(daemons, limit, std::move(done));
  merge->AddPage(ReadTimelinePage(since, request_id, page_limit));
  for (const HostId& host : hosts) {
    rpc_.Timeline(host, since, request_id, page_limit, kTimelineTimeout,
                  [merge](std::optional<TimelinePage> page) { merge->AddPage(std::move(page)); });
  }
}

}  // namespace ebonylift
