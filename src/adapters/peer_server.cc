#include "adapters/peer_server.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "adapters/kj_types.h"
#include "adapters/peer_codec.h"
#include "adapters/peer_login.h"
#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr size_t kMaxHostIdBytes = 256;

// Passes the calls of a logged-in peer to the handler.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(RpcHandler* handler, std::shared_ptr<Session> session, uint32_t features)
      : handler_(handler), session_(std::move(session)), features_(features) {}

  kj::Promise<void> gossip(GossipContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    auto paf = kj::newPromiseAndFulfiller<GossipReply>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<GossipReply>>>(kj::mv(paf.fulfiller));
    handler_->OnPeerGossip(session_->host, ReadDigest(params.getDigest(), SteadyNow()),
                           HostId(ToStdString(params.getTarget())),
                           [fulfiller](GossipMessage message, bool reached) {
                             (*fulfiller)->fulfill(GossipReply{std::move(message), reached});
                           });
    return paf.promise.then([context](GossipReply&& reply) mutable {
      auto results = context.getResults();
      results.setHlc(ProcessClock().Now());
      WriteDigest(reply.message, SteadyNow(), results.initDigest());
      results.setReached(reply.reached);
    });
  }

  kj::Promise<void> announce(AnnounceContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    AliveReply reply;
    if (Has(PeerFeature::kAliveSets) && params.hasAlive()) {
      reply = handler_->OnPeerAlive(session_->host, Duration(params.getSentAtMicros()),
                                    ToStdString(params.getAlive()));
    } else {
      reply.unknown = ReadAnnouncements(params);
    }
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setGap(reply.gap);
    auto keys = results.initUnknown(static_cast<uint32_t>(reply.unknown.size()));
    for (uint32_t i = 0; i < keys.size(); ++i) keys.set(i, reply.unknown[i]);
    return kj::READY_NOW;
  }

  kj::Promise<void> consensus(ConsensusContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    handler_->OnPeerConsensus(session_->host, ToStdString(params.getMessage()));
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> configSince(ConfigSinceContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::string data = handler_->OnPeerConfigSince(params.getRevision(), params.getOffset());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setData(ToData(data));
    return kj::READY_NOW;
  }

  kj::Promise<void> proposePut(ProposePutContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    auto paf = kj::newPromiseAndFulfiller<kj::Own<PutAnswer>>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<kj::Own<PutAnswer>>>>(kj::mv(paf.fulfiller));
    ConfigPut put = ReadPut(params.getPut());
    uint32_t hops = params.getHops();
    // Frees the message, which may be large, before the change is committed.
    context.releaseParams();
    handler_->OnPeerPut(put, hops, [fulfiller](PutAnswer answer) {
      (*fulfiller)->fulfill(kj::heap<PutAnswer>(std::move(answer)));
    });
    return paf.promise.then([context](kj::Own<PutAnswer>&& answer) mutable {
      auto results = context.getResults();
      results.setHlc(ProcessClock().Now());
      WritePutAnswer(*answer, results.initAnswer());
    });
  }

  kj::Promise<void> suspect(SuspectContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::vector<SuspectReport> reports;
    for (wire::SuspectNote::Reader row : params.getNotes()) reports.push_back(ReadSuspectNote(row));
    handler_->OnPeerSuspects(reports);
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> work(WorkContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::optional<WorkListKind> kind = ReadWorkListKind(params.getKind());
    bool gap = false;
    if (kind && Has(PeerFeature::kWorkRows) && params.hasChanges()) {
      gap = !handler_->OnPeerWorkChanges(session_->host, *kind, ToStdString(params.getChanges()));
    } else if (kind) {
      std::vector<ServerWork> work;
      for (wire::ServerWork::Reader row : params.getRows()) work.push_back(ReadServerWork(row));
      handler_->OnPeerWorkList(session_->host, *kind, std::move(work));
    }
    context.getResults().setHlc(ProcessClock().Now());
    context.getResults().setGap(gap);
    return kj::READY_NOW;
  }

  kj::Promise<void> softwareVersions(SoftwareVersionsContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::set<std::string> versions = handler_->OnPeerFindVersions(ToStdString(params.getServed()));
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    auto rows = results.initVersions(static_cast<uint32_t>(versions.size()));
    uint32_t row = 0;
    for (const std::string& version : versions) rows.set(row++, version);
    return kj::READY_NOW;
  }

  kj::Promise<void> room(RoomContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::vector<RoomReport> reports;
    for (wire::RoomReport::Reader row : params.getReports()) reports.push_back(ReadRoomReport(row));
    handler_->OnPeerRoomReports(reports);
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> streams(StreamsContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::vector<StreamRecord> records;
    for (wire::Stream::Reader row : params.getRows()) {
      if (std::optional<StreamRecord> record = ReadStream(row)) records.push_back(*record);
    }
    handler_->OnPeerStreams(records);
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> findStream(FindStreamContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::optional<StreamOrigin> origin = handler_->OnPeerFindStream(params.getStream());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    if (origin) WriteStream({params.getStream(), *origin}, results.initFound());
    return kj::READY_NOW;
  }

  kj::Promise<void> limitShares(LimitSharesContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    LimitSharesReply reply =
        handler_->OnPeerLimitShares(session_->host, ToStdString(params.getAsk()));
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    if (reply.answer) results.setAnswer(ToData(*reply.answer));
    results.setLeader(reply.leader.value());
    return kj::READY_NOW;
  }

  kj::Promise<void> timeline(TimelineContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    TimelinePage page = handler_->OnPeerTimeline(
        params.getSince(), ToStdString(params.getRequestId()), params.getLimit());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setMore(page.more);
    auto rows = results.initEvents(static_cast<uint32_t>(page.events.size()));
    for (uint32_t i = 0; i < rows.size(); ++i) WriteEvent(page.events[i], rows[i]);
    return kj::READY_NOW;
  }

 private:
  // A host without a feature ignores its fields, as the releases before it do.
  bool Has(PeerFeature feature) const { return (features_ & static_cast<uint32_t>(feature)) != 0; }

  // Returns the keys of the refreshes that are not known.
  std::vector<uint64_t> ReadAnnouncements(wire::Peer::AnnounceParams::Reader params) {
    std::vector<RelayedAnnouncement> announcements;
    for (wire::Relayed::Reader row : params.getAnnouncements()) {
      RelayedAnnouncement relayed;
      relayed.announcement = ReadAnnouncement(row.getAnnouncement());
      relayed.age = Duration(static_cast<int64_t>(std::min<uint64_t>(
          row.getAgeMicros(), static_cast<uint64_t>(seconds(3600).count()) * 1'000'000)));
      announcements.push_back(std::move(relayed));
    }
    return handler_->OnPeerAnnounce(session_->host, Duration(params.getSentAtMicros()),
                                    announcements,
                                    ReadRefreshes(ToStdString(params.getRefreshes())));
  }

  RpcHandler* handler_;
  std::shared_ptr<Session> session_;
  uint32_t features_;
};

// The bootstrap interface of an incoming connection, on which the peer logs in.
class GateServer final : public wire::Gate::Server {
 public:
  GateServer(const RpcOptions* options, RpcHandler* handler, std::shared_ptr<Session> session,
             GateCallbacks callbacks)
      : options_(options),
        handler_(handler),
        session_(std::move(session)),
        callbacks_(std::move(callbacks)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setHost(options_->self.value());
    results.setNonce(session_->nonce);
    return kj::READY_NOW;
  }

  kj::Promise<void> login(LoginContext context) override {
    auto params = context.getParams();
    std::string host = ToStdString(params.getHost());
    if (host.size() > kMaxHostIdBytes) host.resize(kMaxHostIdBytes);
    std::string reason =
        LoginRefusalReason(host, params.getIncarnation(), ToStdString(params.getMac()));
    session_->login_attempted = true;
    if (!reason.empty()) {
      callbacks_.on_refused(host, reason);
      ThrowCallFailed("login refused: " + reason);
    }
    // Only after the check: a caller without the key must not be able to advance the clock.
    ProcessClock().Receive(params.getHlc());
    session_->logged_in = true;
    session_->pending_login = nullptr;
    session_->host = HostId(host);
    LogEvent(EventId::kPeerConnected, {{"host", host}, {"direction", "in"}});
    callbacks_.on_login(session_->host);
    handler_->OnPeerLogin(session_->host, params.getIncarnation());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setProof(
        ProofMac(options_->cluster_key, ToStdString(params.getNonce()), options_->self.value()));
    results.setFeatures(options_->features);
    results.setPeer(kj::heap<PeerServer>(handler_, session_, options_->features));
    return kj::READY_NOW;
  }

 private:
  // Returns an empty string if the login is accepted. Each nonce is valid for a single login, so a
  // recorded login cannot be replayed on the same or another connection.
  std::string LoginRefusalReason(const std::string& host, uint64_t incarnation,
                                 const std::string& mac) const {
    if (session_->login_attempted) return "second login on a connection";
    std::string expected =
        LoginMac(options_->cluster_key, session_->nonce, options_->self.value(), host, incarnation);
    if (!ConstantTimeEqual(mac, expected)) return "wrong mac";
    if (!callbacks_.is_allowed(HostId(host))) return "unknown host";
    return "";
  }

  const RpcOptions* options_;
  RpcHandler* handler_;
  std::shared_ptr<Session> session_;
  GateCallbacks callbacks_;
};

}  // namespace

kj::Own<wire::Gate::Server> MakeGate(const RpcOptions* options, RpcHandler* handler,
                                     std::shared_ptr<Session> session, GateCallbacks callbacks) {
  return kj::heap<GateServer>(options, handler, std::move(session), std::move(callbacks));
}

}  // namespace ebonylift
