#ifndef EBONYLIFT_DAEMON_CONTROL_LOOP_H_
#define EBONYLIFT_DAEMON_CONTROL_LOOP_H_

// The event loop of the control thread.
//
// ControlLoop creates the parts of the control thread, calls them at their times, passes messages
// and calls to them, and builds the routing views from their states. Each part is a module of its
// own: membership_gossip.h, server_registration.h, announcement_relay.h, config_replica.h,
// config_proposer.h, config_puller.h, voter_maintenance.h, suspect_outbox.h, suspect_history.h,
// publish_timer.h, timeline_merge.h and status_json.h.
//
// Messages, calls and new connections that concern several parts are handled here.
//
// Not thread safe: all methods run on the control thread.

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "adapters/rpc.h"
#include "base/error.h"
#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/control_contact.h"
#include "core/limit_allocator.h"
#include "core/work_exchange.h"
#include "core/work_rows.h"
#include "daemon/announcement_relay.h"
#include "daemon/config_lag.h"
#include "daemon/config_proposer.h"
#include "daemon/config_puller.h"
#include "daemon/config_replica.h"
#include "daemon/control.h"
#include "daemon/membership_gossip.h"
#include "daemon/publish_timer.h"
#include "daemon/server_registration.h"
#include "daemon/status_json.h"
#include "daemon/suspect_history.h"
#include "daemon/suspect_outbox.h"
#include "daemon/task_queue.h"
#include "daemon/timeline_merge.h"
#include "daemon/voter_maintenance.h"
#include "ports/control_port.h"
#include "ports/views.h"

namespace ebonylift {

class ControlLoop final : public RpcHandler, public kj::TaskSet::ErrorHandler {
 public:
  using Publish = std::function<void(std::shared_ptr<const RoutingView>)>;

  // `publish` is called on the control thread with each new view. The pointers must outlive this
  // object. Throws Error(kStorageFailed) when the data folder cannot be used, and Error(kInternal)
  // when the peer address cannot be used or this host is a voter without a disk.
  ControlLoop(kj::AsyncIoContext* io, const ControlOptions* options, TaskQueue* task_queue,
              Publish publish);

  // The KJ members have destructors that may throw, but the base class requires noexcept.
  ~ControlLoop() noexcept override {}
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Loads the stored state, publishes the first view, and starts the connections and the timers.
  // Precondition: called once, before every other method. Throws Error(kStorageFailed) when the
  // journal of the configuration is corrupt.
  void Start();

  // Returns after Stop().
  void Wait() { stop_.promise.wait(io_->waitScope); }
  void Stop() { stop_.fulfiller->fulfill(); }

  // Calls of the traffic threads, which Control posts; see ports/control_port.h.
  void Announce(const Announcement& announcement,
                const std::function<void(std::optional<Error>)>& done);
  void Leave(const ServerId& server, uint64_t incarnation, const std::function<void()>& done);
  void Put(const ConfigPut& put, uint32_t hops, const std::function<void(PutAnswer)>& done) {
    config_proposer_.Put(put, hops, done);
  }
  void ReadLinearizable(const std::string& path, const std::function<void(LinearizableRead)>& done);
  void BroadcastSuspects(const std::vector<SuspectReport>& reports);
  void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                std::function<void(std::vector<Event>)> done);
  StatusJson Status() const {
    return MakeStatusJson(*options_, replica_, gossip_.membership(), servers_.registry(), rpc_);
  }
  void ShareWork(std::vector<ServerWork> work);
  void BroadcastRoom(const RoomReport& report);
  void ShareStreams(const std::map<HostId, std::vector<StreamRecord>>& by_holder);
  void FindStream(const std::vector<HostId>& hosts, uint64_t stream,
                  const std::function<void(const StreamSearch&)>& done);
  void FindVersions(const std::vector<HostId>& hosts, const std::string& served,
                    const std::function<void(const VersionSearch&)>& done);
  // Sends the request for shares of limits that is due, if any.
  void AskForLimits();
  void StartDrain() { gossip_.StartDrain(); }
  void UpdateOverloaded(bool overloaded) { gossip_.UpdateOverloaded(overloaded); }
  ConfigReplica* replica() { return &replica_; }

  // RpcHandler: messages of the other daemons.
  void OnPeerGossip(const HostId& from, const GossipMessage& message, const HostId& target,
                    GossipAnswer answer) override {
    gossip_.OnMessage(from, message, target, answer);
  }
  std::vector<uint64_t> OnPeerAnnounce(const HostId& from, Duration sent_at,
                                       const std::vector<RelayedAnnouncement>& announcements,
                                       const std::vector<ServerRefresh>& refreshes) override {
    return servers_.RegisterRelayed(from, sent_at, announcements, refreshes);
  }
  AliveReply OnPeerAlive(const HostId& from, Duration sent_at, const std::string& set) override {
    return servers_.RegisterAlive(from, sent_at, set);
  }
  void OnPeerConsensus(const HostId& from, const std::string& message) override {
    replica_.OnMessage(from, message);
  }
  std::string OnPeerConfigSince(uint64_t revision, uint64_t offset) override {
    return replica_.MakePullResponse(revision, offset);
  }
  void OnPeerPut(const ConfigPut& put, uint32_t hops, PutDone answer) override {
    Put(put, hops, answer);
  }
  void OnPeerSuspects(const std::vector<SuspectReport>& reports) override;
  TimelinePage OnPeerTimeline(HlcStamp since, const std::string& request_id,
                              size_t limit) override {
    return ReadTimelinePage(since, request_id, limit);
  }
  void OnPeerWorkList(const HostId& from, WorkListKind kind, std::vector<ServerWork> work) override;
  bool OnPeerWorkChanges(const HostId& from, WorkListKind kind,
                         const std::string& changes) override;
  std::set<std::string> OnPeerFindVersions(const std::string& served) override {
    return options_->find_versions ? options_->find_versions(served) : std::set<std::string>();
  }
  void OnPeerRoomReports(const std::vector<RoomReport>& reports) override {
    if (!options_->on_room_report) return;
    for (const RoomReport& report : reports) options_->on_room_report(report);
  }
  void OnPeerStreams(const std::vector<StreamRecord>& records) override {
    if (options_->on_streams) options_->on_streams(records);
  }
  std::optional<StreamOrigin> OnPeerFindStream(uint64_t stream) override {
    return options_->find_stream ? options_->find_stream(stream) : std::nullopt;
  }
  LimitSharesReply OnPeerLimitShares(const HostId& from, const std::string& ask) override;
  void OnPeerLogin(const HostId& host, uint64_t incarnation) override;
  void OnPeerConnection(const HostId& host, bool connected) override;

  void taskFailed(kj::Exception&& e) override {
    LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.getDescription().cStr()}});
  }

 private:
  ConfigReplica::Options MakeReplicaOptions();
  AnnouncementRelay::Options MakeRelayOptions();
  ConfigProposer::Options MakeProposerOptions();
  ConfigPuller::Options MakePullerOptions();
  kj::Timer& timer() { return io_->provider->getTimer(); }
  kj::Promise<void> TickLoop();
  kj::Promise<void> TaskQueueLoop();
  void RunPostedTasks();
  void OnTick(Time now);
  void ReportDomainSummaries(Time now);
  void SendSuspects();
  void SendWork(const WorkMessage& message, Time now);
  void OnRevisionChanged();
  void UpdateConfigLag(Time now);
  void UpdateControlContact(Time now);
  void AskForVoters(const HostId& host);
  void ReportStats(Time now);
  void UpdateLimitAllocator(Time now);
  HostId LimitAllocatorHost();
  void SendLimitAsk(const HostId& to, const std::string& ask, Time sent, bool may_redirect);
  void OnLimitReply(const HostId& from, const std::optional<LimitAnswer>& answer, Time sent);
  void SchedulePublish(Duration interval) { publish_timer_.Schedule(interval); }
  void RunAfter(Duration delay, std::function<void()> fn);
  void PublishNow();

  kj::AsyncIoContext* io_;
  const ControlOptions* options_;
  TaskQueue* task_queue_;
  Publish publish_;
  std::mt19937_64 rng_;
  PublishTimer publish_timer_;
  ServerRegistration servers_;
  MembershipGossip gossip_;
  AnnouncementRelay relay_;
  WorkExchange work_exchange_;
  // By the other host and the kind of list. An encoder is reset when a message may have been lost.
  std::map<std::pair<HostId, WorkListKind>, WorkEncoder> work_encoders_;
  std::map<std::pair<HostId, WorkListKind>, WorkDecoder> work_decoders_;
  ConfigProposer config_proposer_;
  ConfigPuller config_puller_;
  VoterMaintenance voter_maintenance_;
  SuspectOutbox suspect_outbox_;
  SuspectHistory suspect_history_;
  Time next_summary_;
  ConfigLag config_lag_;
  LimitAllocator limit_allocator_;
  HostId limit_leader_hint_;  // from an answer; empty: none
  size_t next_limit_voter_ = 0;
  HostId last_limit_allocator_;  // that answered last
  bool limits_answered_ = true;  // the last request for shares
  Time next_stats_;
  Time last_tick_;
  Duration max_tick_delay_{0};  // since the last report
  ControlContact control_contact_;
  Time published_keys_valid_until_;
  bool keys_accepted_ = true;
  bool disk_was_lost_ = false;
  bool published_disk_confirmed_ = false;
  kj::Own<kj::AsyncInputStream> wakeup_pipe_;
  char wakeup_buffer_[64] = {};
  Rpc rpc_;
  ConfigReplica replica_;
  kj::PromiseFulfillerPair<void> stop_;
  kj::TaskSet tasks_;  // last, so that it is destroyed first: its tasks use the members above
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONTROL_LOOP_H_
