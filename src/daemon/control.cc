#include "daemon/control.h"

#include <fcntl.h>
#include <kj/async-io.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "adapters/file_journal.h"
#include "adapters/rpc.h"
#include "base/hash.h"
#include "core/domain_summary.h"
#include "core/peer_work.h"
#include "core/registry.h"
#include "core/voter_keeper.h"
#include "daemon/config_replica.h"
#include "daemon/server_snapshot.h"

namespace ebonylift {
namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kSummaryInterval = milliseconds(500);
constexpr Duration kRelayInterval = milliseconds(20);
// A longer wait puts the load reports of more servers into one message; the age that is sent along
// keeps the expiry right.
constexpr Duration kLoadRelayInterval = milliseconds(500);
constexpr Duration kIndirectTimeout = milliseconds(250);
constexpr Duration kPushTimeout = seconds(1);
constexpr Duration kPullTimeout = seconds(5);
constexpr Duration kPullRetry = milliseconds(200);
constexpr Duration kPutTimeout = seconds(10);
// A change waits this long for a leader: an election ends sooner, and the order of an operator is
// rarer and costs more to send again than a request.
constexpr Duration kLeaderWait = seconds(2);
constexpr size_t kMaxWaitingPuts = 64;
constexpr uint32_t kMaxPutHops = 2;
constexpr Duration kTimelineTimeout = seconds(2);
constexpr Duration kNoteLifetime = seconds(60);
// All pages of one merged timeline together.
constexpr size_t kTimelineEvents = 50'000;
constexpr size_t kMinTimelinePage = 100;
constexpr size_t kTimelinePageBytes = 4 << 20;
// Announcements relayed in one message; far below the message limit.
constexpr size_t kMaxRelayBatch = 256;
// The leader tells this many hosts of a new revision at once; the others hear of it by gossip.
constexpr size_t kMaxRevisionPushes = 128;
// A host that was away learns which servers left meanwhile.
constexpr Duration kLeftRepeatedFor = seconds(60);
// With hosts that are found, a host must learn soon after a partition what it missed.
constexpr Duration kFoundPeerBackoff = milliseconds(400);
constexpr Duration kFoundPeerConnect = milliseconds(400);
// With servers that do not report their load, summaries are the only picture of other regions.
constexpr Duration kSharedWorkSummary = milliseconds(500);

kj::Duration ToKj(Duration duration) { return duration.count() * kj::MICROSECONDS; }

HostEntry SelfEntry(const ControlOptions& options) {
  HostEntry entry;
  entry.id = options.self.host;
  entry.region = options.self.region;
  entry.domain = options.self.domain;
  entry.http_address = options.http_address;
  entry.incarnation = options.incarnation;
  entry.has_disk = options.has_disk;
  entry.rpc_address = options.peer_address;
  entry.caller_address = options.caller_address;
  entry.operator_address = options.operator_address;
  return entry;
}

std::vector<HostEntry> PeerEntries(const ControlOptions& options) {
  std::vector<HostEntry> entries;
  for (const ControlPeer& peer : options.peers) {
    HostEntry entry;
    entry.id = peer.identity.host;
    entry.region = peer.identity.region;
    entry.domain = peer.identity.domain;
    entry.http_address = peer.http_address;
    entry.has_disk = peer.has_disk;
    entry.rpc_address = peer.rpc_address;
    entries.push_back(entry);
  }
  return entries;
}

RpcOptions MakeRpcOptions(const ControlOptions& options) {
  RpcOptions rpc;
  rpc.self = options.self.host;
  rpc.incarnation = options.incarnation;
  rpc.listen_address = options.peer_address;
  rpc.cluster_key = options.cluster_key;
  rpc.open = options.find_hosts;
  if (options.find_hosts) {
    rpc.max_backoff = kFoundPeerBackoff;
    rpc.quick_connect_timeout = kFoundPeerConnect;
  }
  for (const ControlPeer& peer : options.peers) {
    rpc.peers.push_back({peer.identity.host, peer.rpc_address});
  }
  return rpc;
}

MembershipParams MakeMembershipParams(const ControlOptions& options) {
  MembershipParams params = options.membership;
  params.find_hosts = options.find_hosts;
  if (options.share_work) {
    params.summary_interval = kSharedWorkSummary;
    params.summary_slow_interval = 2 * kSharedWorkSummary;
  }
  return params;
}

Registry MakeRegistry(const ControlOptions& options) {
  Registry registry;
  registry.self = options.self;
  registry.scope = options.server_scope;
  registry.max_ttl = options.max_server_ttl;
  registry.leaving_is_final = options.leaving_is_final;
  registry.expire_by_news = options.expire_by_news;
  return registry;
}

std::shared_ptr<Journal> MakeServerJournal(const ControlOptions& options) {
  if (!options.keep_servers || options.data_folder.empty()) return nullptr;
  return std::make_shared<FileJournal>(options.data_folder, "servers");
}

bool IsLeaveNotice(const Announcement& announcement) {
  return announcement.leaving && announcement.address.empty();
}

const char* StatusName(HostStatus status) {
  switch (status) {
    case HostStatus::kAlive:
      return "alive";
    case HostStatus::kSuspect:
      return "suspect";
    case HostStatus::kFailed:
      return "failed";
    case HostStatus::kLeaving:
      return "leaving";
  }
  return "failed";
}

size_t EventBytes(const Event& event) {
  size_t bytes = 64 + event.host.size();
  for (const EventField& field : event.fields) bytes += 32 + field.name.size() + field.value.size();
  return bytes;
}

// Oldest first. Drops what two daemons of one process both returned.
void SortEvents(std::vector<Event>* events) {
  auto less = [](const Event& a, const Event& b) {
    return std::tie(a.hlc, a.host, a.id) < std::tie(b.hlc, b.host, b.id);
  };
  auto same = [](const Event& a, const Event& b) {
    return a.hlc == b.hlc && a.host == b.host && a.id == b.id;
  };
  std::sort(events->begin(), events->end(), less);
  events->erase(std::unique(events->begin(), events->end(), same), events->end());
}

// Functions that other threads post to the control thread. A pipe wakes the event loop.
class Mailbox {
 public:
  Mailbox() {
    if (pipe2(fds_, O_CLOEXEC | O_NONBLOCK) != 0) {
      throw Error(ErrorKind::kInternal, "no file descriptor for the control thread");
    }
  }
  ~Mailbox() {
    close(fds_[0]);
    close(fds_[1]);
  }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  int read_fd() const { return fds_[0]; }

  // Thread safe. Does nothing after Close().
  void Post(std::function<void()> fn) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return;
    queue_.push_back(std::move(fn));
    if (queue_.size() > 1) return;  // a wake-up is on its way
    char byte = 0;
    ssize_t written = 0;
    do {
      written = write(fds_[1], &byte, 1);
    } while (written < 0 && errno == EINTR);
  }

  std::vector<std::function<void()>> Take() {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(queue_, {});
  }

  void Close() {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }

 private:
  int fds_[2] = {-1, -1};
  std::mutex mutex_;
  std::vector<std::function<void()>> queue_;
  bool closed_ = false;
};

struct WaitingPut {
  ConfigPut put;
  std::function<void(PutAnswer)> done;
  Time deadline;
};

// Everything that only the control thread touches.
class ControlLoop final : public RpcHandler, public kj::TaskSet::ErrorHandler {
 public:
  using Publish = std::function<void(std::shared_ptr<const RoutingView>)>;

  ControlLoop(kj::AsyncIoContext* io, const ControlOptions* options, Mailbox* mailbox,
              Publish publish)
      : io_(io),
        options_(options),
        mailbox_(mailbox),
        publish_(std::move(publish)),
        rng_(Hash64(options->self.host.value() + RandomHex(8))),
        registry_(MakeRegistry(*options)),
        server_snapshot_(MakeServerJournal(*options)),
        membership_(MakeMembership(SelfEntry(*options), PeerEntries(*options),
                                   MakeMembershipParams(*options))),
        rpc_(io, MakeRpcOptions(*options), this),
        replica_(MakeReplicaOptions()),
        stop_(kj::newPromiseAndFulfiller<void>()),
        tasks_(*this) {}

  // KJ types have destructors that may throw; the base class does not allow it.
  ~ControlLoop() noexcept override {}
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start() {
    replica_.OnApplied([this]() { OnConfigApplied(); });
    replica_.Start(SteadyNow());
    LoadServers(SteadyNow());
    OnConfigApplied();
    PublishNow();
    rpc_.Start();
    wake_ = io_->lowLevelProvider->wrapInputFd(mailbox_->read_fd());
    tasks_.add(TickLoop());
    tasks_.add(MailLoop());
  }

  // Returns after Stop().
  void Wait() { stop_.promise.wait(io_->waitScope); }
  void Stop() { stop_.fulfiller->fulfill(); }

  // ---- requests of the traffic threads ----
  void Announce(const Announcement& announcement,
                const std::function<void(std::optional<Error>)>& done);
  void Leave(const ServerId& server, uint64_t incarnation, const std::function<void()>& done);
  void Put(const ConfigPut& put, uint32_t hops, const std::function<void(PutAnswer)>& done);
  void TryPut(const WaitingPut& waiting);
  void RetryPuts();
  void PutNow(const ConfigPut& put, uint32_t hops, const std::function<void(PutAnswer)>& done);
  void ReadNewest(const std::string& path, const std::function<void(NewestRead)>& done);
  void Suspect(const SuspectNote& note);
  void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                std::function<void(std::vector<Event>)> done);
  StatusJson Status() const;
  void ShareWork(std::vector<ServerWork> work);
  void StartDrain();
  void Overloaded(bool overloaded);
  ConfigReplica* replica() { return &replica_; }

  // ---- RpcHandler ----
  void OnPeerGossip(const HostId& from, const GossipMessage& message, const HostId& target,
                    GossipAnswer answer) override;
  std::vector<uint64_t> OnPeerAnnounce(const HostId& from, Duration sent_at,
                                       const std::vector<RelayedAnnouncement>& announcements,
                                       const std::vector<ServerRefresh>& refreshes) override;
  void OnPeerConsensus(const HostId& from, const std::string& message) override {
    replica_.OnMessage(from, message);
  }
  std::string OnPeerConfigSince(uint64_t revision, uint64_t offset) override {
    return replica_.Since(revision, offset);
  }
  void OnPeerPut(const ConfigPut& put, uint32_t hops, PutDone answer) override {
    Put(put, hops, answer);
  }
  void OnPeerSuspects(const std::vector<SuspectNote>& notes) override;
  TimelinePage OnPeerTimeline(HlcStamp since, const std::string& request_id, size_t limit) override;
  void OnPeerWorkList(const HostId& from, std::vector<ServerWork> work) override;
  void OnPeerLogin(const HostId& host, uint64_t incarnation) override;
  void OnPeerConnection(const HostId& host, bool connected) override;

  void taskFailed(kj::Exception&& e) override {
    LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.getDescription().cStr()}});
  }

 private:
  struct Merge {
    std::vector<Event> events;
    HlcStamp complete_to = UINT64_MAX;  // later events of some daemon may be missing
    size_t waiting = 0;
    size_t limit = 0;
    std::function<void(std::vector<Event>)> done;
  };

  ConfigReplica::Options MakeReplicaOptions();
  kj::Timer& timer() { return io_->provider->getTimer(); }
  kj::Promise<void> TickLoop();
  kj::Promise<void> MailLoop();
  void RunMail();
  void OnTick(Time now);
  void SendProbes(Time now);
  void PushGossip(const HostId& to);
  void Relay(const Announcement& announcement, Time sent, bool refresh);
  bool KnowsAllButLoad(const Announcement& announcement) const;
  void FlushRelay();
  void RelayTo(const HostId& host, const std::vector<RelayedAnnouncement>& batch);
  bool IsNear(const Identity& host) const;
  void SendServers(const HostId& host, Time now);
  void SendUnknown(const HostId& host, const std::vector<uint64_t>& keys);
  void SendInFull(const HostId& host, const std::vector<const BackendServer*>& servers, Time now);
  AnnounceResult Register(const Announcement& announcement, Duration age, Time now);
  void KeepVoters(Time now);
  void LoadServers(Time now);
  void SaveServers(Time now);
  void ReportOwnSummaries(Time now);
  void PullConfig(Time now);
  void PullFrom(const HostId& host);
  void OnPulled(const HostId& host, const std::optional<std::string>& data);
  std::optional<HostId> ForwardTarget(const HostId& wanted) const;
  void OnConfigApplied();
  void LogChanges();
  void TakeChanged();
  void Dirty(Duration within);
  void PublishNow();
  bool ExpireServers(Time now);
  std::vector<HostId> PeersWhere(const std::function<bool(const Identity&)>& match) const;
  static void AddPage(Merge* merge, TimelinePage page);
  static void FinishMerge(Merge* merge);

  kj::AsyncIoContext* io_;
  const ControlOptions* options_;
  Mailbox* mailbox_;
  Publish publish_;
  std::mt19937_64 rng_;
  Registry registry_;
  ServerSnapshot server_snapshot_;
  Membership membership_;
  PeerWork peer_work_;
  std::vector<ServerWork> own_work_;
  Time next_work_;
  uint64_t seen_change_ = 0;
  struct PendingRelay {
    Announcement announcement;
    Time sent;
    bool refresh = false;
  };
  std::vector<PendingRelay> relay_;
  Duration relay_within_{0};  // of the flush that is due, while `relay_` is not empty
  std::map<HostId, TransitMeter> transit_;
  std::vector<WaitingPut> waiting_puts_;  // for a leader
  std::deque<std::pair<SuspectNote, Time>> notes_;
  Time next_summary_;
  Time next_voter_check_;
  bool changing_voters_ = false;
  Time next_count_;
  bool pulling_ = false;
  Time next_pull_;
  Time last_publish_;
  std::optional<Time> publish_due_;
  bool disk_was_lost_ = false;
  bool disk_confirmed_ = false;  // as published
  uint64_t publish_order_ = 0;
  kj::Own<kj::AsyncInputStream> wake_;
  char wake_buffer_[64] = {};
  Rpc rpc_;
  ConfigReplica replica_;
  kj::PromiseFulfillerPair<void> stop_;
  kj::TaskSet tasks_;  // destroyed first: its tasks use everything above
};

ConfigReplica::Options ControlLoop::MakeReplicaOptions() {
  ConfigReplica::Options replica;
  replica.self = options_->self.host;
  replica.voters = options_->voters;
  replica.may_found = options_->may_found;
  if (!options_->data_folder.empty()) {
    replica.journal = std::make_shared<FileJournal>(options_->data_folder, "config");
  }
  replica.seed = rng_();
  replica.send = [this](const HostId& to, const std::string& bytes) { rpc_.Consensus(to, bytes); };
  Mailbox* mailbox = mailbox_;
  replica.post = [mailbox](std::function<void()> fn) { mailbox->Post(std::move(fn)); };
  return replica;
}

// ---- loops ----

kj::Promise<void> ControlLoop::TickLoop() {
  return timer()
      .afterDelay(ToKj(kTickInterval))
      .then([this]() { OnTick(SteadyNow()); })
      .catch_([this](kj::Exception&& e) { taskFailed(kj::mv(e)); })
      .then([this]() { return TickLoop(); });
}

kj::Promise<void> ControlLoop::MailLoop() {
  return wake_->tryRead(wake_buffer_, 1, sizeof(wake_buffer_))
      .then([this](size_t) { RunMail(); })
      .then([this]() { return MailLoop(); });
}

void ControlLoop::RunMail() {
  for (std::function<void()>& fn : mailbox_->Take()) {
    try {
      fn();
    } catch (const std::exception& e) {
      LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.what()}});
    }
  }
}

void ControlLoop::OnTick(Time now) {
  if (ExpireServers(now)) Dirty(kPublishInterval);
  replica_.Tick(now);
  RetryPuts();
  disk_was_lost_ = disk_was_lost_ || replica_.DiskLost();
  if (replica_.DiskConfirmed() != disk_confirmed_) Dirty(kPublishInterval);
  SendProbes(now);
  if (now >= next_summary_) {
    next_summary_ = now + kSummaryInterval;
    ReportOwnSummaries(now);
  }
  PullConfig(now);
  SaveServers(now);
  KeepVoters(now);
  TakeChanged();
  if (options_->on_peer_bytes && now >= next_count_) {
    next_count_ = now + kCountInterval;
    options_->on_peer_bytes(rpc_.sent_bytes(), rpc_.received_bytes());
  }
}

void ControlLoop::SendProbes(Time now) {
  for (SendProbe& probe : Tick(&membership_, now, rng_)) {
    uint64_t token = probe.token;
    HostId to = probe.to;
    rpc_.Gossip(to, probe.message, probe.target, probe.timeout,
                [this, token, to](std::optional<GossipReply> reply) {
                  if (reply) {
                    OnAck(&membership_, token, to, reply->message, reply->reached, SteadyNow());
                  } else {
                    OnProbeFailed(&membership_, token, SteadyNow());
                  }
                  TakeChanged();
                });
  }
}

// Sends the own rows now and not with the next probe.
void ControlLoop::PushGossip(const HostId& to) {
  rpc_.Gossip(to, MakeGossip(&membership_, to, rng_), HostId(), kPushTimeout,
              [this, to](std::optional<GossipReply> reply) {
                if (reply) OnAck(&membership_, 0, to, reply->message, false, SteadyNow());
                TakeChanged();
              });
}

void ControlLoop::TakeChanged() {
  LogChanges();
  for (const HostEntry& host : TakeFound(&membership_)) {
    LogEvent(EventId::kHostFound, {{"host", host.id.value()},
                                   {"domain", host.domain.value()},
                                   {"address", host.rpc_address}});
    rpc_.AddPeer({host.id, host.rpc_address});
  }
  if (membership_.changed == seen_change_) return;
  seen_change_ = membership_.changed;
  Dirty(kPublishInterval);
}

void ControlLoop::LogChanges() {
  for (const StatusChange& change : TakeChanges(&membership_)) {
    std::string host = change.host.value();
    switch (change.status) {
      case HostStatus::kAlive:
        LogEvent(EventId::kHostAlive,
                 {{"host", host}, {"incarnation", std::to_string(change.incarnation)}});
        break;
      case HostStatus::kSuspect:
        LogEvent(EventId::kHostSuspected, {{"host", host}});
        break;
      case HostStatus::kFailed:
        LogEvent(EventId::kHostFailed,
                 {{"host", host}, {"ms", std::to_string(ToMillis(change.silent))}});
        break;
      case HostStatus::kLeaving:
        break;
    }
  }
}

// ---- view ----

void ControlLoop::Dirty(Duration within) {
  Time now = SteadyNow();
  Time due = std::max(now, last_publish_ + within);
  if (publish_due_ && *publish_due_ <= due) return;
  publish_due_ = due;
  uint64_t order = ++publish_order_;
  // The order and not the time is compared: the timer counts from the time at which the event loop
  // woke up and may fire early.
  tasks_.add(timer().afterDelay(ToKj(due - now)).then([this, order]() {
    if (publish_due_ && order == publish_order_) PublishNow();
  }));
}

bool ControlLoop::ExpireServers(Time now) {
  std::vector<ServerId> expired = Expire(&registry_, now);
  for (const ServerId& id : expired) LogEvent(EventId::kServerExpired, {{"server", id.value()}});
  return !expired.empty();
}

void ControlLoop::PublishNow() {
  // A process that was stopped may publish before its next tick.
  ExpireServers(SteadyNow());
  auto view = std::make_shared<RoutingView>();
  view->self = options_->self;
  view->server_scope = options_->server_scope;
  view->config = replica_.View();
  view->servers = LiveServers(registry_, SteadyNow());
  AddPeerWork(peer_work_, SteadyNow(), &view->servers);
  view->hosts = HostEntries(membership_);
  view->summaries = Summaries(membership_);
  // A view with a configuration comes after the peers have said whether they know this disk.
  disk_was_lost_ = disk_was_lost_ || replica_.DiskLost();
  view->disk_was_lost = disk_was_lost_;
  disk_confirmed_ = replica_.DiskConfirmed();
  view->disk_confirmed = disk_confirmed_;
  last_publish_ = SteadyNow();
  publish_due_.reset();
  publish_(std::move(view));
}

// ---- backend servers ----

// The leader replaces voters that are gone.
void ControlLoop::KeepVoters(Time now) {
  if (!options_->find_hosts || !replica_.IsLeader()) return;
  if (changing_voters_ || now < next_voter_check_) return;
  next_voter_check_ = now + kVoterCheckInterval;
  VoterChange change =
      NextVoterChange(HostEntries(membership_), replica_.Voters(), options_->self.host);
  if (change.kind == VoterChange::Kind::kNone) return;
  bool add = change.kind == VoterChange::Kind::kAdd;
  LogEvent(EventId::kVoterChangeStarted,
           {{"host", change.host.value()}, {"change", add ? "add" : "remove"}});
  changing_voters_ = true;
  auto done = [this](const PutAnswer&) { changing_voters_ = false; };
  std::optional<HostId> other =
      add ? replica_.AddVoter(change.host, done) : replica_.RemoveVoter(change.host, done);
  if (other) changing_voters_ = false;  // no longer the leader
}

void ControlLoop::LoadServers(Time now) {
  for (const Announcement& announcement : server_snapshot_.Load()) {
    Register(announcement, Duration(0), now);
  }
}

void ControlLoop::SaveServers(Time now) {
  if (!server_snapshot_.Due(now)) return;
  std::vector<Announcement> servers;
  for (const BackendServer& server : LiveServers(registry_, SteadyNow()))
    servers.push_back(server.announced);
  for (const BackendServer& server : RecentlyLeft(registry_, kLeftRepeatedFor, now)) {
    servers.push_back(server.announced);
  }
  server_snapshot_.Save(servers, now);
}

AnnounceResult ControlLoop::Register(const Announcement& announcement, Duration age, Time now) {
  AnnounceResult result = IsLeaveNotice(announcement)
                              ? OnLeave(&registry_, announcement.id, announcement.incarnation, now)
                              : OnAnnouncement(&registry_, announcement, age, now);
  std::string server = announcement.id.value();
  switch (result) {
    case AnnounceResult::kNew:
    case AnnounceResult::kNewIncarnation:
      LogEvent(EventId::kServerAnnounced,
               {{"server", server},
                {"incarnation", std::to_string(announcement.incarnation)},
                {"kind", announcement.kind == ServerKind::kModel ? "model" : "service"}});
      server_snapshot_.OnChange(false);
      Dirty(kPublishInterval);
      break;
    case AnnounceResult::kLeft:
      LogEvent(EventId::kServerLeaving, {{"server", server}});
      server_snapshot_.OnChange(true);
      Dirty(kPublishInterval);
      break;
    case AnnounceResult::kOldIncarnation:
      LogEvent(
          EventId::kServerStaleAnnouncement,
          {{"server", server},
           {"incarnation", std::to_string(announcement.incarnation)},
           {"current",
            std::to_string(registry_.entries.at(announcement.id).server.announced.incarnation)}});
      break;
    case AnnounceResult::kRefreshed:
      Dirty(kLoadPublishInterval);
      break;
    default:
      break;
  }
  return result;
}

void ControlLoop::Announce(const Announcement& announcement,
                           const std::function<void(std::optional<Error>)>& done) {
  Time now = SteadyNow();
  bool refresh = KnowsAllButLoad(announcement);
  AnnounceResult result = Register(announcement, Duration(0), now);
  switch (result) {
    case AnnounceResult::kOtherDomain:
      if (options_->server_scope == ServerScope::kRegion) {
        Relay(announcement, now, false);
        return done(std::nullopt);
      }
      return done(Error(ErrorKind::kForbidden,
                        "this host serves failure domain " + options_->self.domain.value()));
    case AnnounceResult::kOldIncarnation:
      return done(Error(ErrorKind::kBadRequest, "a newer incarnation of this server is known"));
    case AnnounceResult::kInvalid:
      return done(Error(ErrorKind::kBadRequest, "id and address are required"));
    case AnnounceResult::kFull:
      return done(Error(ErrorKind::kOverloaded, "too many backend servers"));
    case AnnounceResult::kDuplicate:
    case AnnounceResult::kTooOld:
      return done(std::nullopt);
    default:
      Relay(announcement, now, refresh && result == AnnounceResult::kRefreshed);
      return done(std::nullopt);
  }
}

void ControlLoop::Leave(const ServerId& server, uint64_t incarnation,
                        const std::function<void()>& done) {
  Announcement notice;
  notice.id = server;
  notice.incarnation = incarnation;
  notice.leaving = true;
  Register(notice, Duration(0), SteadyNow());
  std::vector<RelayedAnnouncement> batch = {{notice, Duration(0), false}};
  auto all = [](const Identity&) { return true; };
  for (const HostId& host : PeersWhere(all)) rpc_.Announce(host, batch);
  done();
}

bool ControlLoop::KnowsAllButLoad(const Announcement& announcement) const {
  auto it = registry_.entries.find(announcement.id);
  return it != registry_.entries.end() && it->second.live &&
         it->second.key == AnnouncementKey(announcement);
}

void ControlLoop::Relay(const Announcement& announcement, Time sent, bool refresh) {
  Duration within = refresh ? kLoadRelayInterval : kRelayInterval;
  relay_.push_back({announcement, sent, refresh});
  if (relay_.size() >= kMaxRelayBatch) return FlushRelay();
  if (relay_.size() > 1 && within >= relay_within_) return;
  relay_within_ = within;
  tasks_.add(timer().afterDelay(ToKj(within)).then([this]() { FlushRelay(); }));
}

void ControlLoop::FlushRelay() {
  if (relay_.empty()) return;
  Time now = SteadyNow();
  std::vector<RelayedAnnouncement> batch;
  for (PendingRelay& pending : relay_) {
    batch.push_back({std::move(pending.announcement), now - pending.sent, pending.refresh});
  }
  relay_.clear();
  for (const auto& [id, host] : membership_.hosts) {
    if (id == options_->self.host) continue;
    Identity place{id, host.configured.region, host.configured.domain};
    std::vector<RelayedAnnouncement> wanted;
    for (const RelayedAnnouncement& relayed : batch) {
      const Announcement& server = relayed.announcement;
      if (InScope(place, options_->server_scope, server.domain, server.region)) {
        wanted.push_back(relayed);
      }
    }
    if (!wanted.empty()) RelayTo(id, wanted);
  }
}

void ControlLoop::RelayTo(const HostId& host, const std::vector<RelayedAnnouncement>& batch) {
  rpc_.Announce(host, batch, [this, host](const std::optional<std::vector<uint64_t>>& unknown) {
    if (unknown) SendUnknown(host, *unknown);
  });
}

// Whether the host keeps the same backend servers as this one.
bool ControlLoop::IsNear(const Identity& host) const {
  return InScope(options_->self, options_->server_scope, host.domain, host.region);
}

// A full message may have been dropped, or the host may have restarted.
void ControlLoop::SendUnknown(const HostId& host, const std::vector<uint64_t>& keys) {
  std::vector<const BackendServer*> servers;
  for (uint64_t key : keys) {
    auto id = registry_.by_key.find(key);
    if (id == registry_.by_key.end()) continue;
    auto entry = registry_.entries.find(id->second);
    if (entry != registry_.entries.end() && entry->second.live) {
      servers.push_back(&entry->second.server);
    }
  }
  SendInFull(host, servers, SteadyNow());
}

// A host that was away learns the servers now and not with their next announcements.
void ControlLoop::SendServers(const HostId& host, Time now) {
  std::vector<const BackendServer*> servers;
  for (const auto& [id, entry] : registry_.entries) {
    if (entry.live) servers.push_back(&entry.server);
  }
  std::vector<BackendServer> left = RecentlyLeft(registry_, kLeftRepeatedFor, now);
  for (const BackendServer& server : left) servers.push_back(&server);
  SendInFull(host, servers, now);
}

void ControlLoop::SendInFull(const HostId& host, const std::vector<const BackendServer*>& servers,
                             Time now) {
  std::vector<RelayedAnnouncement> batch;
  for (const BackendServer* server : servers) {
    batch.push_back({server->announced, now - server->reported_at, false});
    if (batch.size() < kMaxRelayBatch) continue;
    rpc_.Announce(host, batch);
    batch.clear();
  }
  if (!batch.empty()) rpc_.Announce(host, batch);
}

std::vector<uint64_t> ControlLoop::OnPeerAnnounce(
    const HostId& from, Duration sent_at, const std::vector<RelayedAnnouncement>& announcements,
    const std::vector<ServerRefresh>& refreshes) {
  Time now = SteadyNow();
  Duration waited = TransitExcess(&transit_[from], sent_at, now);
  for (const RelayedAnnouncement& relayed : announcements) {
    Register(relayed.announcement, relayed.age + waited, now);
  }
  std::vector<uint64_t> unknown;
  for (const ServerRefresh& refresh : refreshes) {
    std::optional<Announcement> announcement = ApplyRefresh(registry_, refresh);
    if (announcement) {
      Register(*announcement, refresh.age + waited, now);
    } else {
      unknown.push_back(refresh.key);
    }
  }
  return unknown;
}

void ControlLoop::OnPeerLogin(const HostId& host, uint64_t incarnation) {
  TransitMeter& meter = transit_[host];
  if (meter.incarnation == incarnation) return;
  // The clock of a machine starts again when it boots.
  meter = TransitMeter();
  meter.incarnation = incarnation;
}

void ControlLoop::ReportOwnSummaries(Time now) {
  if (!IsReporter(membership_)) return;
  std::vector<BackendServer> servers = LiveServers(registry_, SteadyNow());
  PeerWork all = peer_work_;
  OnPeerWork(&all, options_->self.host, own_work_, now);
  AddPeerWork(all, now, &servers);
  ReportSummaries(&membership_, SummarizeDomain(options_->self, servers, now), ProcessClock().Now(),
                  now);
}

// ---- configuration ----

void ControlLoop::OnConfigApplied() {
  SetRevision(&membership_, replica_.revision());
  Dirty(kPublishInterval);
  if (!replica_.IsLeader()) return;
  std::vector<HostId> hosts = rpc_.Connected();
  if (hosts.size() > kMaxRevisionPushes) hosts.resize(kMaxRevisionPushes);
  for (const HostId& host : hosts) PushGossip(host);
}

void ControlLoop::PullConfig(Time now) {
  if (pulling_ || now < next_pull_ || !replica_.NeedsPull()) return;
  std::optional<HostId> host = PullTarget(membership_, rng_);
  if (host) PullFrom(*host);
}

void ControlLoop::PullFrom(const HostId& host) {
  pulling_ = true;
  rpc_.ConfigSince(host, replica_.revision(), replica_.pull_offset(), kPullTimeout,
                   [this, host](const std::optional<std::string>& data) { OnPulled(host, data); });
}

void ControlLoop::OnPulled(const HostId& host, const std::optional<std::string>& data) {
  pulling_ = false;
  if (!data) {
    next_pull_ = SteadyNow() + kPullRetry;
    return;
  }
  try {
    if (replica_.ApplySince(*data, host)) PullFrom(host);
  } catch (const Error& e) {
    next_pull_ = SteadyNow() + kPullRetry;
    LogEvent(EventId::kPeerMessageRefused, {{"host", host.value()}, {"reason", e.what()}});
  }
}

std::optional<HostId> ControlLoop::ForwardTarget(const HostId& wanted) const {
  if (rpc_.IsConnected(wanted)) return wanted;
  // Any voter knows the leader.
  for (const HostId& voter : replica_.Voters()) {
    if (rpc_.IsConnected(voter)) return voter;
  }
  return std::nullopt;
}

void ControlLoop::Put(const ConfigPut& put, uint32_t hops,
                      const std::function<void(PutAnswer)>& done) {
  if (hops > 0) return PutNow(put, hops, done);  // the first host waits
  TryPut({put, done, SteadyNow() + kLeaderWait});
}

// Nothing was proposed when there is no leader, so the change may be tried again.
void ControlLoop::TryPut(const WaitingPut& waiting) {
  PutNow(waiting.put, 0, [this, waiting](const PutAnswer& answer) {
    bool wait = answer.error == ErrorKind::kNoQuorum && SteadyNow() < waiting.deadline &&
                waiting_puts_.size() < kMaxWaitingPuts;
    if (wait) {
      waiting_puts_.push_back(waiting);
    } else {
      waiting.done(answer);
    }
  });
}

void ControlLoop::RetryPuts() {
  std::vector<WaitingPut> waiting = std::exchange(waiting_puts_, {});
  for (const WaitingPut& put : waiting) TryPut(put);
}

void ControlLoop::PutNow(const ConfigPut& put, uint32_t hops,
                         const std::function<void(PutAnswer)>& done) {
  std::optional<HostId> leader = replica_.Put(put, done);
  if (!leader) return;
  std::optional<HostId> to = ForwardTarget(*leader);
  PutAnswer answer;
  if (!to || hops >= kMaxPutHops) {
    answer.error = ErrorKind::kNoQuorum;
    answer.message = "the leader of the configuration cannot be reached";
    return done(answer);
  }
  rpc_.ProposePut(*to, put, hops + 1, kPutTimeout, [done](std::optional<PutAnswer> reply) {
    if (reply) return done(*reply);
    PutAnswer unknown;
    unknown.error = ErrorKind::kConfigUnknown;
    unknown.message = "no answer of the leader; send the change again with the same request id";
    done(unknown);
  });
}

void ControlLoop::ReadNewest(const std::string& path, const std::function<void(NewestRead)>& done) {
  std::optional<HostId> leader =
      replica_.ReadCurrent(path, [done](const std::optional<Error>& error, const ConfigRead& read) {
        NewestRead answer;
        if (error) answer.error = error->kind();
        answer.read = read;
        done(answer);
      });
  if (!leader) return;
  NewestRead answer;
  answer.error = ErrorKind::kNoQuorum;
  answer.ask = *leader;
  done(answer);
}

// ---- suspects ----

std::vector<HostId> ControlLoop::PeersWhere(
    const std::function<bool(const Identity&)>& match) const {
  std::vector<HostId> hosts;
  for (const auto& [id, host] : membership_.hosts) {
    if (id == options_->self.host) continue;
    if (match({id, host.configured.region, host.configured.domain})) hosts.push_back(id);
  }
  return hosts;
}

void ControlLoop::Suspect(const SuspectNote& note) {
  Time now = SteadyNow();
  while (!notes_.empty() &&
         (notes_.size() >= kMaxRecentNotes || now - notes_.front().second >= kNoteLifetime)) {
    notes_.pop_front();
  }
  notes_.emplace_back(note, now);
  auto same_region = [this](const Identity& peer) { return peer.region == options_->self.region; };
  for (const HostId& host : PeersWhere(same_region)) rpc_.Suspects(host, {note});
}

void ControlLoop::OnPeerSuspects(const std::vector<SuspectNote>& notes) {
  if (!options_->on_suspect) return;
  for (const SuspectNote& note : notes) {
    options_->on_suspect(note.content, note.server, note.alone, note.cleared);
  }
}

void ControlLoop::OnPeerConnection(const HostId& host, bool connected) {
  Time now = SteadyNow();
  OnConnection(&membership_, host, connected, now);
  TakeChanged();
  if (!connected) return;
  PushGossip(host);
  auto it = membership_.hosts.find(host);
  if (it == membership_.hosts.end()) return;
  const HostEntry& peer = it->second.configured;
  if (IsNear({host, peer.region, peer.domain})) SendServers(host, now);
  if (peer.region != options_->self.region) return;
  // What was reported while the host could not be reached.
  std::vector<SuspectNote> notes;
  for (const auto& [note, at] : notes_) {
    if (now - at < kNoteLifetime) notes.push_back(note);
  }
  if (!notes.empty()) rpc_.Suspects(host, notes);
}

// ---- membership ----

void ControlLoop::OnPeerGossip(const HostId& from, const GossipMessage& message,
                               const HostId& target, GossipAnswer answer) {
  GossipMessage reply = OnGossip(&membership_, from, message, SteadyNow(), rng_);
  TakeChanged();
  if (target.empty()) return answer(std::move(reply), false);
  rpc_.Gossip(target, MakeGossip(&membership_, target, rng_), HostId(), kIndirectTimeout,
              [this, target, reply, answer](std::optional<GossipReply> probed) {
                if (probed) OnAck(&membership_, 0, target, probed->message, false, SteadyNow());
                TakeChanged();
                answer(reply, probed.has_value());
              });
}

void ControlLoop::ShareWork(std::vector<ServerWork> work) {
  bool nothing = work.empty() && own_work_.empty();
  bool soon = MuchMoreWork(own_work_, work);
  own_work_ = std::move(work);
  Time now = SteadyNow();
  if (nothing || (now < next_work_ && !soon)) return;
  auto near = [this](const Identity& peer) { return IsNear(peer); };
  std::vector<HostId> hosts = PeersWhere(near);
  next_work_ = now + PeerWorkInterval(hosts.size());
  for (const HostId& host : hosts) rpc_.Work(host, own_work_);
}

void ControlLoop::OnPeerWorkList(const HostId& from, std::vector<ServerWork> work) {
  OnPeerWork(&peer_work_, from, std::move(work), SteadyNow());
  Dirty(kPublishInterval);
}

void ControlLoop::StartDrain() {
  SetLeaving(&membership_);
  TakeChanged();
  for (const HostId& host : rpc_.Connected()) PushGossip(host);
}

void ControlLoop::Overloaded(bool overloaded) {
  uint64_t before = membership_.changed;
  SetOverloaded(&membership_, overloaded);
  if (membership_.changed == before) return;
  TakeChanged();
  auto near = [this](const Identity& peer) { return peer.domain == options_->self.domain; };
  for (const HostId& host : PeersWhere(near)) PushGossip(host);
}

// ---- timeline and status ----

TimelinePage ControlLoop::OnPeerTimeline(HlcStamp since, const std::string& request_id,
                                         size_t limit) {
  limit = std::min(limit, EventRecord::kCapacity);
  TimelinePage page;
  page.events = ProcessEvents().Read(since, request_id, limit + 1);
  size_t bytes = 0;
  size_t count = 0;
  while (count < page.events.size() && count < limit && bytes < kTimelinePageBytes) {
    bytes += EventBytes(page.events[count]);
    ++count;
  }
  page.more = count < page.events.size();
  page.events.resize(count);
  return page;
}

// If a daemon left out events, everything after its last one would have gaps.
void ControlLoop::AddPage(Merge* merge, TimelinePage page) {
  if (page.more) {
    HlcStamp last = page.events.empty() ? 0 : page.events.back().hlc;
    merge->complete_to = std::min(merge->complete_to, last);
  }
  std::move(page.events.begin(), page.events.end(), std::back_inserter(merge->events));
}

void ControlLoop::FinishMerge(Merge* merge) {
  SortEvents(&merge->events);
  auto after =
      std::upper_bound(merge->events.begin(), merge->events.end(), merge->complete_to,
                       [](HlcStamp stamp, const Event& event) { return stamp < event.hlc; });
  merge->events.erase(after, merge->events.end());
  if (merge->events.size() > merge->limit) merge->events.resize(merge->limit);
  merge->done(std::move(merge->events));
}

void ControlLoop::Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                           std::function<void(std::vector<Event>)> done) {
  std::vector<HostId> hosts = rpc_.Connected();
  size_t page_limit = std::max(kMinTimelinePage, kTimelineEvents / (hosts.size() + 1));
  page_limit = std::min(page_limit, limit);
  auto merge = std::make_shared<Merge>();
  merge->limit = limit;
  merge->done = std::move(done);
  merge->waiting = hosts.size();
  AddPage(merge.get(), OnPeerTimeline(since, request_id, page_limit));
  if (hosts.empty()) return FinishMerge(merge.get());
  for (const HostId& host : hosts) {
    rpc_.Timeline(host, since, request_id, page_limit, kTimelineTimeout,
                  [merge](std::optional<TimelinePage> page) {
                    if (page) AddPage(merge.get(), std::move(*page));
                    if (--merge->waiting == 0) FinishMerge(merge.get());
                  });
  }
}

StatusJson ControlLoop::Status() const {
  using nlohmann::json;
  json status = {{"host", options_->self.host.value()},
                 {"region", options_->self.region.value()},
                 {"domain", options_->self.domain.value()},
                 {"incarnation", options_->incarnation},
                 {"revision", replica_.revision()},
                 {"newest_revision", membership_.newest_revision},
                 {"term", replica_.term()},
                 {"is_leader", replica_.IsLeader()},
                 {"is_voter", replica_.IsVoter()},
                 {"disk_lost", replica_.DiskLost()},
                 {"storage_ok", replica_.StorageOk()},
                 {"peer_sent_bytes", rpc_.sent_bytes()},
                 {"peer_received_bytes", rpc_.received_bytes()}};
  std::optional<HostId> leader = replica_.Leader();
  status["leader"] = leader ? json(leader->value()) : json(nullptr);
  status["voters"] = json::array();
  for (const HostId& voter : replica_.Voters()) status["voters"].push_back(voter.value());
  status["hosts"] = json::array();
  for (const HostEntry& host : HostEntries(membership_)) {
    status["hosts"].push_back({{"host", host.id.value()},
                               {"region", host.region.value()},
                               {"domain", host.domain.value()},
                               {"address", host.http_address},
                               {"incarnation", host.incarnation},
                               {"status", StatusName(host.status)},
                               {"overloaded", host.overloaded},
                               {"revision", membership_.hosts.at(host.id).revision},
                               {"connected", rpc_.IsConnected(host.id)}});
  }
  Time now = SteadyNow();
  status["servers"] = json::array();
  for (const BackendServer& server : LiveServers(registry_, SteadyNow())) {
    const Announcement& announced = server.announced;
    status["servers"].push_back({{"server", announced.id.value()},
                                 {"incarnation", announced.incarnation},
                                 {"address", announced.address},
                                 {"served", ServedNames(announced)},
                                 {"age_ms", ToMillis(now - server.reported_at)},
                                 {"running", announced.load.running},
                                 {"waiting", announced.load.waiting},
                                 {"slots", announced.load.slots}});
  }
  status["summaries"] = json::array();
  for (const DomainSummary& row : Summaries(membership_)) {
    status["summaries"].push_back({{"domain", row.domain.value()},
                                   {"region", row.region.value()},
                                   {"served", row.served},
                                   {"servers", row.servers},
                                   {"slots", row.slots},
                                   {"running", row.running},
                                   {"waiting", row.waiting},
                                   {"age_ms", ToMillis(now - row.reported_at)}});
  }
  // Ids come from outside and may hold bytes that are not UTF-8.
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The ControlPort. Its methods run on any thread and post to the loop.
class Control final : public ControlPort {
 public:
  explicit Control(ControlOptions options) : options_(std::move(options)) {
    auto view = std::make_shared<RoutingView>();
    view->self = options_.self;
    view->config = std::make_shared<ConfigView>();
    view->hosts.push_back(SelfEntry(options_));
    SetView(view);
    std::promise<void> started;
    std::future<void> result = started.get_future();
    thread_ = std::thread([this, &started]() { Run(&started); });
    try {
      result.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }

  ~Control() override {
    Post([](ControlLoop* loop) { loop->Stop(); });
    mailbox_.Close();
    thread_.join();
  }

  void Announce(const Announcement& announcement,
                std::function<void(std::optional<Error>)> done) override {
    Post([announcement, done = std::move(done)](ControlLoop* loop) {
      loop->Announce(announcement, done);
    });
  }

  void Leave(const ServerId& server, uint64_t incarnation, std::function<void()> done) override {
    Post([server, incarnation, done = std::move(done)](ControlLoop* loop) {
      loop->Leave(server, incarnation, done);
    });
  }

  void ReadNewest(const std::string& path, std::function<void(NewestRead)> done) override {
    Post([path, done = std::move(done)](ControlLoop* loop) { loop->ReadNewest(path, done); });
  }

  void Put(const ConfigPut& put, std::function<void(PutAnswer)> done) override {
    Post([put, done = std::move(done)](ControlLoop* loop) { loop->Put(put, 0, done); });
  }

  void Read(const std::string& path, std::function<void(ConfigRead)> done) override {
    Post([path, done = std::move(done)](ControlLoop* loop) { done(loop->replica()->Read(path)); });
  }

  void History(const std::string& path, size_t limit,
               std::function<void(std::vector<ConfigChange>)> done) override {
    Post([path, limit, done = std::move(done)](ControlLoop* loop) {
      done(loop->replica()->History(path, limit));
    });
  }

  void Watch(uint64_t from, Duration timeout,
             std::function<void(std::vector<ConfigChange>)> done) override {
    Time deadline = SteadyNow() + timeout;
    Post([from, deadline, done = std::move(done)](ControlLoop* loop) {
      loop->replica()->Watch(from, deadline, done);
    });
  }

  void ReportSuspect(uint64_t content, const ServerId& server, bool alone) override {
    SuspectNote note;
    note.content = content;
    note.server = server;
    note.alone = alone;
    Post([note](ControlLoop* loop) { loop->Suspect(note); });
  }

  void ClearSuspect(uint64_t content) override {
    SuspectNote note;
    note.content = content;
    note.cleared = true;
    Post([note](ControlLoop* loop) { loop->Suspect(note); });
  }

  void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                std::function<void(std::vector<Event>)> done) override {
    Post([since, request_id, limit, done = std::move(done)](ControlLoop* loop) {
      loop->Timeline(since, request_id, limit, done);
    });
  }

  void Status(std::function<void(StatusJson)> done) override {
    Post([done = std::move(done)](ControlLoop* loop) { done(loop->Status()); });
  }

  void ShareWork(std::vector<ServerWork> work) override {
    Post([work = std::move(work)](ControlLoop* loop) mutable { loop->ShareWork(std::move(work)); });
  }

  void StartDrain() override {
    Post([](ControlLoop* loop) { loop->StartDrain(); });
  }

  void SetOverloaded(bool overloaded) override {
    Post([overloaded](ControlLoop* loop) { loop->Overloaded(overloaded); });
  }

  std::shared_ptr<const RoutingView> View() const override { return std::atomic_load(&view_); }

 private:
  void Post(std::function<void(ControlLoop*)> fn) {
    mailbox_.Post([this, fn = std::move(fn)]() { fn(loop_); });
  }

  void SetView(std::shared_ptr<const RoutingView> view) {
    std::atomic_store(&view_, std::move(view));
  }

  void Run(std::promise<void>* started) {
    bool running = false;
    try {
      kj::AsyncIoContext io = kj::setupAsyncIo();
      ControlLoop loop(&io, &options_, &mailbox_,
                       [this](std::shared_ptr<const RoutingView> view) { SetView(view); });
      loop_ = &loop;
      loop.Start();
      running = true;
      started->set_value();
      loop.Wait();
    } catch (const std::exception& e) {
      if (!running) return started->set_exception(std::current_exception());
      LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.what()}});
    }
  }

  ControlOptions options_;
  Mailbox mailbox_;
  ControlLoop* loop_ = nullptr;  // used on the control thread only
  std::shared_ptr<const RoutingView> view_;
  std::thread thread_;
};

void CheckOptions(const ControlOptions& options) {
  if (options.self.host.empty()) throw Error(ErrorKind::kInternal, "the host id is empty");
  if (options.incarnation == 0) throw Error(ErrorKind::kInternal, "the incarnation is 0");
  if (options.cluster_key.empty()) throw Error(ErrorKind::kInternal, "the cluster key is empty");
}

}  // namespace

std::unique_ptr<ControlPort> StartControl(ControlOptions options) {
  CheckOptions(options);
  return std::make_unique<Control>(std::move(options));
}

}  // namespace ebonylift
