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
#include "adapters/peer_codec.h"
#include "adapters/peer_login.h"
#include "adapters/peer_server.h"
#include "adapters/peer_stream.h"
#include "base/descriptor_claim.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

using VatId = capnp::rpc::twoparty::VatId;
using Side = capnp::rpc::twoparty::Side;

constexpr size_t kMaxPendingLogins = 64;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveCount = 3;
constexpr int kUserTimeoutMillis = 10'000;
constexpr Duration kNotificationTimeout = seconds(2);
constexpr Duration kConsensusTimeout = milliseconds(1500);
// Also the time for which a connection stays open after its login was refused.
constexpr Duration kAcceptRetryDelay = milliseconds(100);

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
  uint32_t features = 0;                      // of the peer
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
  GateCallbacks callbacks;
  callbacks.on_refused = [this, close](const std::string& host, const std::string& reason) {
    LogLoginRefused(host, reason);
    (*close)->fulfill();
  };
  callbacks.is_allowed = [this](const HostId& host) { return IsLoginAllowed(host); };
  callbacks.on_login = [this](const HostId& host) { ReconnectNow(host); };
  auto gate = MakeGate(&options, handler, session, std::move(callbacks));
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
        connection->features = r.getFeatures();
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

const FlowCounts& Rpc::flows() const { return impl_->byte_counts.flows; }

uint32_t Rpc::port() const { return impl_->port; }

bool Rpc::IsConnected(const HostId& host) const {
  auto it = impl_->peers.find(host);
  return it != impl_->peers.end() && it->second.connection != nullptr;
}

bool Rpc::Understands(const HostId& host, PeerFeature feature) const {
  auto it = impl_->peers.find(host);
  if (it == impl_->peers.end() || it->second.connection == nullptr) return false;
  return (it->second.connection->features & static_cast<uint32_t>(feature)) != 0;
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
  auto request = KJ_ASSERT_NONNULL(connection->client).announceRequest();
  request.setHlc(ProcessClock().Now());
  WriteAnnounceCall(announcements, SteadyNow(), request);
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

void Rpc::Work(const HostId& to, WorkListKind kind, const std::vector<ServerWork>& work) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).workRequest();
  request.setHlc(ProcessClock().Now());
  WriteWorkCall(kind, work, request);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::WorkChanges(const HostId& to, WorkListKind kind, const std::string& changes,
                      std::function<void(std::optional<bool>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, changes.size());
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).workRequest();
  request.setHlc(ProcessClock().Now());
  WriteWorkChangesCall(kind, changes, request);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true,
      [](auto& response) { return !response.getGap(); }, std::move(done));
}

void Rpc::Alive(const HostId& to, const std::string& set,
                std::function<void(std::optional<AliveReply>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, set.size());
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).announceRequest();
  request.setHlc(ProcessClock().Now());
  WriteAliveCall(set, SteadyNow(), request);
  auto parse_response = [](auto& response) {
    AliveReply reply;
    for (uint64_t key : response.getUnknown()) reply.unknown.push_back(key);
    reply.gap = response.getGap();
    return reply;
  };
  impl_->Call<AliveReply>(connection, kj::mv(request), kNotificationTimeout, true, parse_response,
                          std::move(done));
}

void Rpc::RoomReports(const HostId& to, const std::vector<RoomReport>& reports) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).roomRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initReports(static_cast<uint32_t>(reports.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteRoomReport(reports[i], rows[i]);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::Streams(const HostId& to, const std::vector<StreamRecord>& records) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(connection->client).streamsRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initRows(static_cast<uint32_t>(records.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteStream(records[i], rows[i]);
  impl_->Call<bool>(
      connection, kj::mv(request), kNotificationTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::SoftwareVersions(const HostId& to, const std::string& served, Duration timeout,
                           std::function<void(std::optional<std::set<std::string>>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).softwareVersionsRequest();
  request.setHlc(ProcessClock().Now());
  request.setServed(served);
  auto parse_response = [](auto& response) {
    std::set<std::string> versions;
    for (auto version : response.getVersions()) versions.insert(ToStdString(version));
    return versions;
  };
  impl_->Call<std::set<std::string>>(connection, kj::mv(request), timeout, false, parse_response,
                                     std::move(done));
}

void Rpc::FindStream(const HostId& to, uint64_t stream, Duration timeout,
                     std::function<void(std::optional<std::optional<StreamOrigin>>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, 0);
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).findStreamRequest();
  request.setHlc(ProcessClock().Now());
  request.setStream(stream);
  auto parse_response = [](auto& response) {
    std::optional<StreamOrigin> origin;
    if (!response.hasFound()) return origin;
    std::optional<StreamRecord> record = ReadStream(response.getFound());
    if (record) origin = std::move(record->origin);
    return origin;
  };
  impl_->Call<std::optional<StreamOrigin>>(connection, kj::mv(request), timeout, false,
                                           parse_response, std::move(done));
}

void Rpc::LimitShares(const HostId& to, const std::string& ask, Duration timeout,
                      std::function<void(std::optional<LimitSharesReply>)> done) {
  std::shared_ptr<OutgoingConnection> connection = impl_->UsableConnection(to, ask.size());
  if (connection == nullptr) return impl_->CompleteWithoutResult(std::move(done));
  auto request = KJ_ASSERT_NONNULL(connection->client).limitSharesRequest();
  request.setHlc(ProcessClock().Now());
  request.setAsk(ToData(ask));
  auto parse_response = [](auto& response) {
    LimitSharesReply reply;
    if (response.hasAnswer()) reply.answer = ToStdString(response.getAnswer());
    reply.leader = HostId(ToStdString(response.getLeader()));
    return reply;
  };
  impl_->Call<LimitSharesReply>(connection, kj::mv(request), timeout, false, parse_response,
                                std::move(done));
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
