#include "adapters/rpc.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <capnp/serialize-async.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "adapters/kj_types.h"
#include "adapters/packed_stream.h"
#include "adapters/peer_codec.h"
#include "base/descriptor_claim.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

using VatId = capnp::rpc::twoparty::VatId;
using Side = capnp::rpc::twoparty::Side;

constexpr size_t kNonceBytes = 16;
constexpr size_t kMaxPendingLogins = 64;
constexpr size_t kMaxHostIdBytes = 256;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveCount = 3;
constexpr int kUserTimeoutMillis = 10'000;
constexpr Duration kNotificationTimeout = seconds(2);
constexpr Duration kConsensusTimeout = milliseconds(1500);
// Also the time for which a connection stays open after its login was refused.
constexpr Duration kAcceptRetryDelay = milliseconds(100);

capnp::Data::Reader ToData(const std::string& bytes) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

[[noreturn]] void ThrowCallFailed(const std::string& reason) {
  kj::throwFatalException(
      kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(reason.c_str())));
}

// The MAC covers a label and `to`, the id of the host that checks it, so that it cannot be reused
// for another purpose or on another host.
std::string LoginMac(const std::string& key, const std::string& nonce, const std::string& to,
                     const std::string& from, uint64_t incarnation) {
  return HmacHex(key,
                 "login\n" + nonce + "\n" + to + "\n" + from + "\n" + std::to_string(incarnation));
}

// Proves to the host that logs in that `host`, which accepts the login, has the cluster key, too.
std::string ProofMac(const std::string& key, const std::string& nonce, const std::string& host) {
  return HmacHex(key, "proof\n" + nonce + "\n" + host);
}

// Makes the kernel close a connection within about 11 s after the remote host has disappeared.
void SetSocketOptions(kj::AsyncIoStream* stream) {
  int on = 1;
  stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  stream->setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveCount, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis, sizeof(int));
}

DescriptorClaim ClaimConnection(const kj::AsyncIoStream& stream) {
  int fd = -1;
  KJ_IF_MAYBE (open, stream.getFd()) fd = *open;
  return DescriptorClaim(fd, DescriptorUser::kPeerConnection);
}

capnp::ReaderOptions ReaderLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word);
  return options;
}

// A PackedStream that reports why a message could not be read. The RPC system alone would close the
// connection without giving the reason.
class ErrorReportingStream final : public capnp::MessageStream {
 public:
  using ErrorCallback = std::function<void(const std::string& reason)>;

  // `stream` and `counts` must outlive this object.
  ErrorReportingStream(kj::AsyncIoStream& stream, ByteCounts* counts, ErrorCallback on_error)
      : inner_(stream, counts), on_error_(std::move(on_error)) {}

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override {
    return inner_.tryReadMessage(fd_space, options, scratch)
        .catch_([this](kj::Exception&& e) -> kj::Maybe<capnp::MessageReaderAndFds> {
          // FAILED means a malformed or oversized message; a lost connection has another type.
          if (e.getType() == kj::Exception::Type::FAILED) on_error_(e.getDescription().cStr());
          kj::throwFatalException(kj::mv(e));
        });
  }

  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override {
    return inner_.writeMessage(fds, segments);
  }

  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override {
    return inner_.writeMessages(messages);
  }

  kj::Maybe<int> getSendBufferSize() override { return inner_.getSendBufferSize(); }
  kj::Promise<void> end() override { return inner_.end(); }

 private:
  PackedStream inner_;
  ErrorCallback on_error_;
};

// The login state of an incoming connection.
struct Session {
  std::string nonce;
  bool login_attempted = false;
  bool logged_in = false;
  HostId host;
  std::shared_ptr<void> pending_login;  // counted in Impl::pending_logins until this is released
};

// An incoming connection. Members are destroyed in reverse order: the RPC system before the
// network, and the network before the stream.
struct IncomingConnection {
  // `count` is the number of such objects.
  explicit IncomingConnection(size_t* count) : open_count(count) { ++*open_count; }
  ~IncomingConnection() { --*open_count; }
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  size_t* open_count;
  kj::Own<kj::AsyncIoStream> stream;
  DescriptorClaim claim;
  kj::Own<ErrorReportingStream> messages;
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<VatId>> system;
};

// An outgoing connection. Members are destroyed in reverse order: the client before the RPC system,
// and the RPC system before the network and the stream.
struct OutgoingConnection {
  kj::Own<kj::AsyncIoStream> stream;
  DescriptorClaim claim;
  kj::Own<ErrorReportingStream> messages;
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<VatId>> system;
  kj::Maybe<wire::Peer::Client> client;       // set once logged in
  kj::Own<kj::PromiseFulfiller<void>> close;  // fulfilled to close the connection
  int pending_calls = 0;
  int consecutive_timeouts = 0;  // counted timeouts since the last response
};

// A peer and the state of the outgoing connection to it.
struct OutgoingPeer {
  RpcPeer config;
  std::shared_ptr<OutgoingConnection> connection;  // null while not logged in
  Duration backoff{0};
  uint64_t connect_attempts = 0;
  kj::Own<kj::PromiseFulfiller<void>>
      reconnect_now;  // fulfilled to end the wait before a reconnect
};

}  // namespace

struct Rpc::Impl final : public kj::TaskSet::ErrorHandler {
  Impl(kj::AsyncIoContext* context, RpcOptions rpc_options, RpcHandler* rpc_handler)
      : io(context),
        options(std::move(rpc_options)),
        handler(rpc_handler),
        rng(Hash64(options.self.value(), options.incarnation)),
        tasks(*this) {}

  void taskFailed(kj::Exception&& e) override {
    LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.getDescription().cStr()}});
  }

  kj::Timer& timer() { return io->provider->getTimer(); }

  // ---- incoming ----
  void Listen();
  kj::Promise<void> AcceptLoop();
  void Accept(kj::Own<kj::AsyncIoStream> stream);
  // Counts a connection as not logged in until the result is released.
  std::shared_ptr<void> CountPendingLogin();
  void LogLoginRefused(const std::string& host, const std::string& reason) const;
  // Whether the host may log in.
  bool IsLoginAllowed(const HostId& host) const;
  void ReconnectNow(const HostId& host);

  // ---- outgoing ----
  // Connects, and reconnects after every loss, until this object is destroyed.
  kj::Promise<void> ConnectLoop(OutgoingPeer* peer);
  // Opens a connection and logs in. The promise ends when the connection does.
  kj::Promise<void> Connect(OutgoingPeer* peer);
  kj::Promise<void> LogIn(OutgoingPeer* peer, const std::shared_ptr<OutgoingConnection>& connection,
                          wire::Gate::Client gate, const std::string& nonce);
  // Makes a logged-in connection available for calls. The promise ends when the connection does.
  kj::Promise<void> UseUntilClosed(OutgoingPeer* peer,
                                   const std::shared_ptr<OutgoingConnection>& connection);
  void DropConnection(OutgoingPeer* peer);
  Duration NextBackoff(OutgoingPeer* peer);
  // Counts a connection attempt and returns its timeout.
  Duration NextConnectTimeout(OutgoingPeer* peer) const;

  // Returns null if a message with `bytes` bytes of payload cannot be sent to the peer now.
  std::shared_ptr<OutgoingConnection> UsableConnection(const HostId& to, size_t bytes);

  // Runs `done` with std::nullopt from the event loop.
  template <typename T>
  void CompleteWithoutResult(std::function<void(std::optional<T>)> done) {
    tasks.add(kj::evalLater([done = std::move(done)]() { done(std::nullopt); }));
  }

  // Sends the request, converts the response with `parse_response` and passes the result to `done`.
  // If `counts_timeout`, a timeout counts towards RpcOptions::max_consecutive_timeouts.
  template <typename T, typename Request, typename ParseResponse>
  void Call(const std::shared_ptr<OutgoingConnection>& connection, Request&& request,
            Duration timeout, bool counts_timeout, ParseResponse parse_response,
            std::function<void(std::optional<T>)> done);

  kj::AsyncIoContext* io;
  RpcOptions options;
  RpcHandler* handler;
  std::mt19937_64 rng;
  ByteCounts byte_counts;  // before the connections, which use it
  std::map<HostId, OutgoingPeer> peers;
  size_t incoming_connections = 0;
  size_t pending_logins = 0;  // incoming connections that have not logged in
  uint32_t port = 0;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::TaskSet tasks;  // last, so that it is destroyed first: its tasks use the members above
};

namespace {

// Passes the calls of a logged-in peer to the handler.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(RpcHandler* handler, std::shared_ptr<Session> session)
      : handler_(handler), session_(std::move(session)) {}

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
    std::vector<RelayedAnnouncement> announcements;
    for (wire::Relayed::Reader row : params.getAnnouncements()) {
      RelayedAnnouncement relayed;
      relayed.announcement = ReadAnnouncement(row.getAnnouncement());
      relayed.age = Duration(static_cast<int64_t>(std::min<uint64_t>(
          row.getAgeMicros(), static_cast<uint64_t>(seconds(3600).count()) * 1'000'000)));
      announcements.push_back(std::move(relayed));
    }
    std::vector<uint64_t> unknown =
        handler_->OnPeerAnnounce(session_->host, Duration(params.getSentAtMicros()), announcements,
                                 ReadRefreshes(ToStdString(params.getRefreshes())));
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    auto keys = results.initUnknown(static_cast<uint32_t>(unknown.size()));
    for (uint32_t i = 0; i < keys.size(); ++i) keys.set(i, unknown[i]);
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
    handler_->OnPeerPut(ReadPut(params.getPut()), params.getHops(), [fulfiller](PutAnswer answer) {
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
    std::vector<ServerWork> work;
    for (wire::ServerWork::Reader row : params.getRows()) work.push_back(ReadServerWork(row));
    handler_->OnPeerWorkList(session_->host, std::move(work));
    context.getResults().setHlc(ProcessClock().Now());
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
  RpcHandler* handler_;
  std::shared_ptr<Session> session_;
};

// The bootstrap interface of an incoming connection, on which the peer logs in.
class GateServer final : public wire::Gate::Server {
 public:
  using RefusalCallback = std::function<void(const std::string& host, const std::string& reason)>;

  GateServer(const RpcOptions* options, RpcHandler* handler, std::shared_ptr<Session> session,
             RefusalCallback on_refused, std::function<bool(const HostId&)> is_allowed,
             std::function<void(const HostId&)> on_login)
      : options_(options),
        handler_(handler),
        session_(std::move(session)),
        on_refused_(std::move(on_refused)),
        is_allowed_(std::move(is_allowed)),
        on_login_(std::move(on_login)) {}

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
      on_refused_(host, reason);
      ThrowCallFailed("login refused: " + reason);
    }
    // Only after the check: a caller without the key must not be able to advance the clock.
    ProcessClock().Receive(params.getHlc());
    session_->logged_in = true;
    session_->pending_login = nullptr;
    session_->host = HostId(host);
    LogEvent(EventId::kPeerConnected, {{"host", host}, {"direction", "in"}});
    on_login_(session_->host);
    handler_->OnPeerLogin(session_->host, params.getIncarnation());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setProof(
        ProofMac(options_->cluster_key, ToStdString(params.getNonce()), options_->self.value()));
    results.setPeer(kj::heap<PeerServer>(handler_, session_));
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
    if (!is_allowed_(HostId(host))) return "unknown host";
    return "";
  }

  const RpcOptions* options_;
  RpcHandler* handler_;
  std::shared_ptr<Session> session_;
  RefusalCallback on_refused_;
  std::function<bool(const HostId&)> is_allowed_;
  std::function<void(const HostId&)> on_login_;
};

}  // namespace

// ---- incoming ----

void Rpc::Impl::Listen() {
  try {
    auto address = io->provider->getNetwork().parseAddress(options.listen_address.c_str());
    receiver = address.wait(io->waitScope)->listen();
    port = receiver->getPort();
  } catch (const kj::Exception& e) {
    throw Error(ErrorKind::kInternal, "cannot listen on peer address " + options.listen_address +
                                          ": " + e.getDescription().cStr());
  }
}

kj::Promise<void> Rpc::Impl::AcceptLoop() {
  return receiver->accept()
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) { Accept(kj::mv(stream)); })
      .catch_([this](kj::Exception&&) {
        // For example, the process is out of file descriptors.
        return timer().afterDelay(ToKjDuration(kAcceptRetryDelay));
      })
      .then([this]() { return AcceptLoop(); });
}

void Rpc::Impl::LogLoginRefused(const std::string& host, const std::string& reason) const {
  LogEvent(EventId::kPeerLoginRefused, {{"host", host}, {"reason", reason}});
}

bool Rpc::Impl::IsLoginAllowed(const HostId& host) const {
  return options.open || peers.count(host) > 0;
}

// A host that has just logged in is reachable again. Without an immediate reconnect, this
// host would keep suspecting it until the backoff ends.
void Rpc::Impl::ReconnectNow(const HostId& host) {
  auto found = peers.find(host);
  if (found == peers.end() || found->second.connection != nullptr) return;
  found->second.backoff = Duration(0);
  if (found->second.reconnect_now.get() != nullptr) found->second.reconnect_now->fulfill();
}

void Rpc::Impl::Accept(kj::Own<kj::AsyncIoStream> stream) {
  if (incoming_connections >= kMaxConnections || pending_logins >= kMaxPendingLogins) {
    LogLoginRefused("", "too many connections");
    return;
  }
  auto in = kj::heap<IncomingConnection>(&incoming_connections);
  in->stream = kj::mv(stream);
  in->claim = ClaimConnection(*in->stream);
  SetSocketOptions(in->stream.get());
  auto session = std::make_shared<Session>();
  session->nonce = RandomHex(kNonceBytes);
  session->pending_login = CountPendingLogin();
  in->messages = kj::heap<
      ErrorReportingStream>(*in->stream, &byte_counts, [session](const std::string& reason) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", session->host.value()}, {"reason", reason}});
  });
  in->network = kj::heap<capnp::TwoPartyVatNetwork>(*in->messages, Side::SERVER, ReaderLimits());
  auto refusal = kj::newPromiseAndFulfiller<void>();
  auto close = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(refusal.fulfiller));
  auto gate = kj::heap<GateServer>(
      &options, handler, session,
      [this, close](const std::string& host, const std::string& reason) {
        LogLoginRefused(host, reason);
        (*close)->fulfill();
      },
      [this](const HostId& host) { return IsLoginAllowed(host); },
      [this](const HostId& host) { ReconnectNow(host); });
  in->system = kj::heap(capnp::makeRpcServer(*in->network, wire::Gate::Client(kj::mv(gate))));
  auto login_timed_out = timer()
                             .afterDelay(ToKjDuration(options.login_timeout))
                             .then([this, session]() -> kj::Promise<void> {
                               if (session->logged_in) return kj::NEVER_DONE;
                               if (!session->login_attempted)
                                 LogLoginRefused("", "no login before the timeout");
                               return kj::READY_NOW;
                             });
  // The delay lets the refused caller read the reason before the connection closes.
  auto login_refused = refusal.promise.then(
      [this]() { return timer().afterDelay(ToKjDuration(kAcceptRetryDelay)); });
  auto closed = in->network->onDisconnect()
                    .exclusiveJoin(kj::mv(login_timed_out))
                    .exclusiveJoin(kj::mv(login_refused));
  tasks.add(closed.attach(kj::mv(in)));
}

std::shared_ptr<void> Rpc::Impl::CountPendingLogin() {
  ++pending_logins;
  return std::shared_ptr<void>(nullptr, [this](void*) { --pending_logins; });
}

// ---- outgoing ----

Duration Rpc::Impl::NextBackoff(OutgoingPeer* peer) {
  peer->backoff = std::min(std::max(peer->backoff * 2, options.min_backoff), options.max_backoff);
  // Jitter keeps hosts that lost the same peer from reconnecting at the same time.
  double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(rng);
  return Duration(static_cast<int64_t>(static_cast<double>(peer->backoff.count()) * jitter));
}

Duration Rpc::Impl::NextConnectTimeout(OutgoingPeer* peer) const {
  bool use_full = ++peer->connect_attempts % kFullConnectTimeoutInterval == 0;
  bool use_quick = options.quick_connect_timeout > Duration(0) && !use_full;
  return use_quick ? options.quick_connect_timeout : options.connect_timeout;
}

kj::Promise<void> Rpc::Impl::ConnectLoop(OutgoingPeer* peer) {
  return kj::evalNow([this, peer]() { return Connect(peer); })
      .catch_([](kj::Exception&&) {})
      .then([this, peer]() {
        DropConnection(peer);
        auto retry = kj::newPromiseAndFulfiller<void>();
        peer->reconnect_now = kj::mv(retry.fulfiller);
        return timer()
            .afterDelay(ToKjDuration(NextBackoff(peer)))
            .exclusiveJoin(kj::mv(retry.promise));
      })
      .then([this, peer]() { return ConnectLoop(peer); });
}

kj::Promise<void> Rpc::Impl::Connect(OutgoingPeer* peer) {
  auto opened = io->provider->getNetwork()
                    .parseAddress(peer->config.address.c_str())
                    .then([](kj::Own<kj::NetworkAddress>&& address) {
                      auto connected = address->connect();
                      return connected.attach(kj::mv(address));
                    });
  return timer()
      .timeoutAfter(ToKjDuration(NextConnectTimeout(peer)), kj::mv(opened))
      .then([this, peer](kj::Own<kj::AsyncIoStream>&& stream) {
        SetSocketOptions(stream.get());
        auto connection = std::make_shared<OutgoingConnection>();
        connection->stream = kj::mv(stream);
        connection->claim = ClaimConnection(*connection->stream);
        std::string name = peer->config.host.value();
        connection->messages = kj::heap<ErrorReportingStream>(
            *connection->stream, &byte_counts, [name](const std::string& reason) {
              LogEvent(EventId::kPeerMessageRefused, {{"host", name}, {"reason", reason}});
            });
        connection->network = kj::heap<capnp::TwoPartyVatNetwork>(*connection->messages,
                                                                  Side::CLIENT, ReaderLimits());
        connection->system = kj::heap(capnp::makeRpcClient(*connection->network));
        capnp::MallocMessageBuilder root(4);
        auto vat = root.initRoot<VatId>();
        vat.setSide(Side::SERVER);
        auto gate = connection->system->bootstrap(vat).castAs<wire::Gate>();
        auto request = gate.challengeRequest();
        request.setHlc(ProcessClock().Now());
        auto logged_in =
            request.send().then([this, peer, connection,
                                 gate](capnp::Response<wire::Gate::ChallengeResults>&& r) mutable {
              if (ToStdString(r.getHost()) != peer->config.host.value())
                ThrowCallFailed("a different host answered at this address");
              return LogIn(peer, connection, kj::mv(gate), ToStdString(r.getNonce()));
            });
        return timer()
            .timeoutAfter(ToKjDuration(options.login_timeout), kj::mv(logged_in))
            .then([this, peer, connection]() { return UseUntilClosed(peer, connection); });
      });
}

kj::Promise<void> Rpc::Impl::LogIn(OutgoingPeer* peer,
                                   const std::shared_ptr<OutgoingConnection>& connection,
                                   wire::Gate::Client gate, const std::string& nonce) {
  std::string own_nonce = RandomHex(kNonceBytes);
  auto request = gate.loginRequest();
  request.setHlc(ProcessClock().Now());
  request.setHost(options.self.value());
  request.setIncarnation(options.incarnation);
  request.setMac(LoginMac(options.cluster_key, nonce, peer->config.host.value(),
                          options.self.value(), options.incarnation));
  request.setNonce(own_nonce);
  return request.send().then(
      [this, peer, connection, own_nonce](capnp::Response<wire::Gate::LoginResults>&& r) {
        std::string expected = ProofMac(options.cluster_key, own_nonce, peer->config.host.value());
        if (!ConstantTimeEqual(ToStdString(r.getProof()), expected)) {
          LogLoginRefused(peer->config.host.value(), "wrong proof");
          ThrowCallFailed("wrong proof");
        }
        ProcessClock().Receive(r.getHlc());
        connection->client = r.getPeer();
      });
}

kj::Promise<void> Rpc::Impl::UseUntilClosed(OutgoingPeer* peer,
                                            const std::shared_ptr<OutgoingConnection>& connection) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  connection->close = kj::mv(paf.fulfiller);
  peer->connection = connection;
  peer->backoff = Duration(0);
  LogEvent(EventId::kPeerConnected, {{"host", peer->config.host.value()}, {"direction", "out"}});
  handler->OnPeerConnection(peer->config.host, true);
  return connection->network->onDisconnect().exclusiveJoin(kj::mv(paf.promise));
}

void Rpc::Impl::DropConnection(OutgoingPeer* peer) {
  if (peer->connection == nullptr) return;
  std::shared_ptr<OutgoingConnection> connection = std::move(peer->connection);
  peer->connection = nullptr;
  // Pending calls hold the connection until their promises resolve. Destroying the RPC system makes
  // them fail at once.
  connection->client = nullptr;
  connection->system = nullptr;
  handler->OnPeerConnection(peer->config.host, false);
}

std::shared_ptr<OutgoingConnection> Rpc::Impl::UsableConnection(const HostId& to, size_t bytes) {
  auto it = peers.find(to);
  if (it == peers.end() || it->second.connection == nullptr) return nullptr;
  std::shared_ptr<OutgoingConnection> connection = it->second.connection;
  if (bytes > kMaxPayloadBytes) {
    LogEvent(EventId::kPeerMessageRefused,
             {{"host", to.value()},
              {"reason", "outgoing message too large, bytes: " + std::to_string(bytes)}});
    return nullptr;
  }
  if (connection->pending_calls >= options.max_calls) return nullptr;
  if (connection->network->getCurrentQueueSize() + bytes > options.max_queued_bytes) return nullptr;
  return connection;
}

template <typename T, typename Request, typename ParseResponse>
void Rpc::Impl::Call(const std::shared_ptr<OutgoingConnection>& connection, Request&& request,
                     Duration timeout, bool counts_timeout, ParseResponse parse_response,
                     std::function<void(std::optional<T>)> done) {
  ++connection->pending_calls;
  int max_consecutive_timeouts = options.max_consecutive_timeouts;
  auto result =
      request.send().then([connection, parse_response](auto&& response) -> std::optional<T> {
        ProcessClock().Receive(response.getHlc());
        std::optional<T> value = parse_response(response);
        connection->consecutive_timeouts = 0;
        return value;
      });
  tasks.add(timer()
                .timeoutAfter(ToKjDuration(timeout), kj::mv(result))
                .catch_([connection, counts_timeout,
                         max_consecutive_timeouts](kj::Exception&& e) -> std::optional<T> {
                  // OVERLOADED is the type that timeoutAfter() throws.
                  bool timed_out = e.getType() == kj::Exception::Type::OVERLOADED;
                  if (counts_timeout && timed_out &&
                      ++connection->consecutive_timeouts >= max_consecutive_timeouts) {
                    connection->close->fulfill();
                  }
                  return std::nullopt;
                })
                .then([connection, done = std::move(done)](std::optional<T>&& value) {
                  --connection->pending_calls;
                  if (done) done(std::move(value));
                }));
}

// ---- public interface ----

Rpc::Rpc(kj::AsyncIoContext* io, RpcOptions options, RpcHandler* handler)
    : impl_(kj::heap<Impl>(io, std::move(options), handler)) {
  impl_->Listen();
}

Rpc::~Rpc() = default;

void Rpc::Start() {
  impl_->tasks.add(impl_->AcceptLoop());
  for (const RpcPeer& peer : impl_->options.peers) AddPeer(peer);
}

void Rpc::AddPeer(const RpcPeer& peer) {
  if (peer.host == impl_->options.self || peer.address.empty()) return;
  OutgoingPeer state;
  state.config = peer;
  auto [entry, added] = impl_->peers.emplace(peer.host, std::move(state));
  // The pointer into the map stays valid because peers are never removed.
  if (added) impl_->tasks.add(impl_->ConnectLoop(&entry->second));
}

uint64_t Rpc::sent_bytes() const { return impl_->byte_counts.sent; }

uint64_t Rpc::unsent_bytes() const { return impl_->byte_counts.unsent; }

uint64_t Rpc::received_bytes() const { return impl_->byte_counts.received; }

uint32_t Rpc::port() const { return impl_->port; }

bool Rpc::IsConnected(const HostId& host) const {
  auto it = impl_->peers.find(host);
  return it != impl_->peers.end() && it->second.connection != nullptr;
}

std::vector<HostId> Rpc::Connected() const {
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : impl_->peers) {
    if (peer.connection != nullptr) hosts.push_back(host);
  }
  return hosts;
}

void Rpc::Gossip(const HostId& to, const GossipMessage& message, const HostId& target,
                 Duration timeout, std::function<void(std::optional<GossipReply>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).gossipRequest();
  request.setHlc(ProcessClock().Now());
  request.setTarget(target.value());
  WriteDigest(message, SteadyNow(), request.initDigest());
  auto parse_response = [](auto& response) {
    GossipReply reply;
    reply.message = ReadDigest(response.getDigest(), SteadyNow());
    reply.reached = response.getReached();
    return reply;
  };
  impl_->Call<GossipReply>(connection, kj::mv(request), timeout, true, parse_response,
                           std::move(done));
}

void Rpc::Announce(const HostId& to, const std::vector<RelayedAnnouncement>& announcements,
                   std::function<void(std::optional<std::vector<uint64_t>>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  std::vector<const RelayedAnnouncement*> full;
  std::vector<ServerRefresh> refreshes;
  for (const RelayedAnnouncement& relayed : announcements) {
    if (!relayed.refresh) {
      full.push_back(&relayed);
      continue;
    }
    ServerRefresh refresh;
    refresh.key = AnnouncementKey(relayed.announcement);
    refresh.seq = relayed.announcement.seq;
    refresh.load = relayed.announcement.load;
    refresh.age = relayed.age;
    refreshes.push_back(refresh);
  }
  auto request = KJ_ASSERT_NONNULL(connection->client).announceRequest();
  request.setHlc(ProcessClock().Now());
  request.setSentAtMicros(SteadyNow().time_since_epoch().count());
  auto rows = request.initAnnouncements(static_cast<uint32_t>(full.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) {
    WriteAnnouncement(full[i]->announcement, rows[i].initAnnouncement());
    rows[i].setAgeMicros(static_cast<uint64_t>(std::max<int64_t>(0, full[i]->age.count())));
  }
  request.setRefreshes(ToData(WriteRefreshes(refreshes)));
  auto parse_response = [](auto& response) {
    std::vector<uint64_t> unknown;
    for (uint64_t key : response.getUnknown()) unknown.push_back(key);
    return unknown;
  };
  impl_->Call<std::vector<uint64_t>>(connection, kj::mv(request), kNotificationTimeout, true,
                                     parse_response, std::move(done));
}

void Rpc::Consensus(const HostId& to, const std::string& message) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, message.size());
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).consensusRequest();
  request.setHlc(ProcessClock().Now());
  request.setMessage(ToData(message));
  impl_->Call<bool>(
      connection, kj::mv(request), kConsensusTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::ConfigSince(const HostId& to, uint64_t revision, uint64_t offset, Duration timeout,
                      std::function<void(std::optional<std::string>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).configSinceRequest();
  request.setHlc(ProcessClock().Now());
  request.setRevision(revision);
  request.setOffset(offset);
  impl_->Call<std::string>(
      connection, kj::mv(request), timeout, false,
      [](auto& response) { return ToStdString(response.getData()); }, std::move(done));
}

void Rpc::ProposePut(const HostId& to, const ConfigPut& put, uint32_t hops, Duration timeout,
                     std::function<void(std::optional<PutAnswer>)> done) {
  size_t bytes = put.path.size() + (put.value ? put.value->size() : 0);
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, bytes);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).proposePutRequest();
  request.setHlc(ProcessClock().Now());
  request.setHops(hops);
  WritePut(put, request.initPut());
  impl_->Call<PutAnswer>(
      connection, kj::mv(request), timeout, false,
      [](auto& response) { return ReadPutAnswer(response.getAnswer()); }, std::move(done));
}

void Rpc::Suspects(const HostId& to, const std::vector<SuspectReport>& reports) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).suspectRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initNotes(static_cast<uint32_t>(reports.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteSuspectNote(reports[i], rows[i]);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::Work(const HostId& to, const std::vector<ServerWork>& work) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).workRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initRows(static_cast<uint32_t>(work.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteServerWork(work[i], rows[i]);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::Timeline(const HostId& to, HlcStamp since, const std::string& request_id, size_t limit,
                   Duration timeout, std::function<void(std::optional<TimelinePage>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).timelineRequest();
  request.setHlc(ProcessClock().Now());
  request.setSince(since);
  request.setRequestId(request_id);
  request.setLimit(static_cast<uint32_t>(std::min<size_t>(limit, UINT32_MAX)));
  auto parse_response = [](auto& response) {
    TimelinePage page;
    page.more = response.getMore();
    for (wire::EventEntry::Reader row : response.getEvents()) {
      Event event = ReadEvent(row);
      if (IsKnownEvent(event.id)) page.events.push_back(std::move(event));
    }
    return page;
  };
  impl_->Call<TimelinePage>(connection, kj::mv(request), timeout, false, parse_response,
                            std::move(done));
}

}  // namespace ebonylift
