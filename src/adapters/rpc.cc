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

#include "adapters/packed_stream.h"
#include "adapters/peer_codec.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

using VatId = capnp::rpc::twoparty::VatId;
using Side = capnp::rpc::twoparty::Side;

constexpr size_t kNonceBytes = 16;
constexpr size_t kMaxPendingLogins = 64;
constexpr size_t kMaxIdBytes = 256;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveCount = 3;
constexpr int kUserTimeoutMillis = 10'000;
constexpr Duration kOneWayTimeout = seconds(2);
constexpr Duration kConsensusTimeout = milliseconds(1500);
constexpr Duration kAcceptRetry = milliseconds(100);

std::string Str(capnp::Text::Reader text) { return std::string(text.cStr(), text.size()); }

std::string Str(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

[[noreturn]] void FailCall(const std::string& reason) {
  kj::throwFatalException(
      kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(reason.c_str())));
}

kj::Duration ToKj(Duration duration) { return duration.count() * kj::MICROSECONDS; }

// The label and the id of the host that is logged in to keep a MAC from being used for another
// purpose or at another host.
std::string LoginMac(const std::string& key, const std::string& nonce, const std::string& to,
                     const std::string& from, uint64_t incarnation) {
  return HmacHex(key,
                 "login\n" + nonce + "\n" + to + "\n" + from + "\n" + std::to_string(incarnation));
}

std::string ProofMac(const std::string& key, const std::string& nonce, const std::string& host) {
  return HmacHex(key, "proof\n" + nonce + "\n" + host);
}

// Closes the connection of a host that is gone within about 11 s.
void SetSocketOptions(kj::AsyncIoStream* stream) {
  int on = 1;
  stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  stream->setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveCount, sizeof(int));
  stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis, sizeof(int));
}

capnp::ReaderOptions Limits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word);
  return options;
}

// Reports why a message was refused; the RPC system itself would only close the connection.
class BoundedStream final : public capnp::MessageStream {
 public:
  using Refused = std::function<void(const std::string& reason)>;

  // `counts` outlives this object.
  BoundedStream(kj::AsyncIoStream& stream, ByteCounts* counts, Refused refused)
      : inner_(stream, counts), refused_(std::move(refused)) {}

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override {
    return inner_.tryReadMessage(fd_space, options, scratch)
        .catch_([this](kj::Exception&& e) -> kj::Maybe<capnp::MessageReaderAndFds> {
          // FAILED is a malformed or oversized message; a lost connection has another type.
          if (e.getType() == kj::Exception::Type::FAILED) refused_(e.getDescription().cStr());
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
  Refused refused_;
};

// One incoming connection.
struct Session {
  std::string nonce;
  bool login_tried = false;
  bool logged_in = false;
  HostId host;
  std::shared_ptr<void> pending;  // counts the session as one without login while it is held
};

// Members are destroyed in reverse order: the RPC system before the network and the stream.
struct Incoming {
  explicit Incoming(size_t* count) : connections(count) { ++*connections; }
  ~Incoming() { --*connections; }
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  size_t* connections;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<BoundedStream> messages;
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<VatId>> system;
};

// An outgoing connection that is logged in. Members are destroyed in reverse order: the client
// before the RPC system, that before the network and the stream.
struct Link {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<BoundedStream> messages;
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<VatId>> system;
  kj::Maybe<wire::Peer::Client> peer;
  kj::Own<kj::PromiseFulfiller<void>> close;
  int calls = 0;
  int timeouts = 0;
};

struct Outgoing {
  RpcPeer peer;
  std::shared_ptr<Link> link;  // null while not logged in
  Duration backoff{0};
  uint64_t connects = 0;                      // attempts
  kj::Own<kj::PromiseFulfiller<void>> retry;  // ends the wait before the next attempt
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
  std::shared_ptr<void> CountPendingLogin();
  void RefuseLogin(const std::string& host, const std::string& reason) const;
  bool KnownPeer(const HostId& host) const;
  void RetrySoon(const HostId& host);

  // ---- outgoing ----
  kj::Promise<void> ConnectLoop(Outgoing* out);
  kj::Promise<void> Connect(Outgoing* out);
  kj::Promise<void> LogIn(Outgoing* out, const std::shared_ptr<Link>& link, wire::Gate::Client gate,
                          const std::string& nonce);
  kj::Promise<void> Serve(Outgoing* out, const std::shared_ptr<Link>& link);
  void Lost(Outgoing* out);
  Duration NextBackoff(Outgoing* out);
  Duration ConnectTimeout(Outgoing* out) const;

  std::shared_ptr<Link> UsableLink(const HostId& to, size_t bytes);

  template <typename T>
  void Fail(std::function<void(std::optional<T>)> done) {
    tasks.add(kj::evalLater([done = std::move(done)]() { done(std::nullopt); }));
  }

  template <typename T, typename Request, typename Convert>
  void Call(const std::shared_ptr<Link>& link, Request&& request, Duration timeout, bool counted,
            Convert convert, std::function<void(std::optional<T>)> done);

  kj::AsyncIoContext* io;
  RpcOptions options;
  RpcHandler* handler;
  std::mt19937_64 rng;
  std::map<HostId, Outgoing> outgoing;
  size_t connections = 0;
  size_t pending_logins = 0;
  ByteCounts bytes;
  uint32_t port = 0;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::TaskSet tasks;  // destroyed first: its tasks use everything above
};

namespace {

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
                           HostId(Str(params.getTarget())),
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
                                 ReadRefreshes(Str(params.getRefreshes())));
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    auto keys = results.initUnknown(static_cast<uint32_t>(unknown.size()));
    for (uint32_t i = 0; i < keys.size(); ++i) keys.set(i, unknown[i]);
    return kj::READY_NOW;
  }

  kj::Promise<void> consensus(ConsensusContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    handler_->OnPeerConsensus(session_->host, Str(params.getMessage()));
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
    std::vector<SuspectNote> notes;
    for (wire::SuspectNote::Reader row : params.getNotes()) notes.push_back(ReadNote(row));
    handler_->OnPeerSuspects(notes);
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> work(WorkContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    std::vector<ServerWork> work;
    for (wire::ServerWork::Reader row : params.getRows()) {
      work.push_back({ServerId(Str(row.getServer())), row.getInFlight(), row.getPrefillTokens()});
    }
    handler_->OnPeerWorkList(session_->host, std::move(work));
    context.getResults().setHlc(ProcessClock().Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> timeline(TimelineContext context) override {
    auto params = context.getParams();
    ProcessClock().Receive(params.getHlc());
    TimelinePage page =
        handler_->OnPeerTimeline(params.getSince(), Str(params.getRequestId()), params.getLimit());
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

class GateServer final : public wire::Gate::Server {
 public:
  using Refuse = std::function<void(const std::string& host, const std::string& reason)>;

  GateServer(const RpcOptions* options, RpcHandler* handler, std::shared_ptr<Session> session,
             Refuse refuse, std::function<bool(const HostId&)> known,
             std::function<void(const HostId&)> accepted)
      : options_(options),
        handler_(handler),
        session_(std::move(session)),
        refuse_(std::move(refuse)),
        known_(std::move(known)),
        accepted_(std::move(accepted)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setHost(options_->self.value());
    results.setNonce(session_->nonce);
    return kj::READY_NOW;
  }

  kj::Promise<void> login(LoginContext context) override {
    auto params = context.getParams();
    std::string host = Str(params.getHost());
    if (host.size() > kMaxIdBytes) host.resize(kMaxIdBytes);
    std::string reason = Check(host, params.getIncarnation(), Str(params.getMac()));
    session_->login_tried = true;
    if (!reason.empty()) {
      refuse_(host, reason);
      FailCall("login refused: " + reason);
    }
    // Only now: a stamp of somebody without the key must not move the clock.
    ProcessClock().Receive(params.getHlc());
    session_->logged_in = true;
    session_->pending = nullptr;
    session_->host = HostId(host);
    LogEvent(EventId::kPeerConnected, {{"host", host}, {"direction", "in"}});
    accepted_(session_->host);
    handler_->OnPeerLogin(session_->host, params.getIncarnation());
    auto results = context.getResults();
    results.setHlc(ProcessClock().Now());
    results.setProof(
        ProofMac(options_->cluster_key, Str(params.getNonce()), options_->self.value()));
    results.setPeer(kj::heap<PeerServer>(handler_, session_));
    return kj::READY_NOW;
  }

 private:
  // Empty: accepted. A nonce serves one login, so a recorded login is of no use on another
  // connection or on the same one.
  std::string Check(const std::string& host, uint64_t incarnation, const std::string& mac) const {
    if (session_->login_tried) return "second login on a connection";
    std::string want =
        LoginMac(options_->cluster_key, session_->nonce, options_->self.value(), host, incarnation);
    if (!ConstantTimeEqual(mac, want)) return "wrong mac";
    if (!known_(HostId(host))) return "unknown host";
    return "";
  }

  const RpcOptions* options_;
  RpcHandler* handler_;
  std::shared_ptr<Session> session_;
  Refuse refuse_;
  std::function<bool(const HostId&)> known_;
  std::function<void(const HostId&)> accepted_;
};

}  // namespace

// ---- incoming ----

void Rpc::Impl::Listen() {
  try {
    auto address = io->provider->getNetwork().parseAddress(options.listen_address.c_str());
    receiver = address.wait(io->waitScope)->listen();
    port = receiver->getPort();
  } catch (const kj::Exception& e) {
    throw Error(ErrorKind::kInternal,
                "peer address " + options.listen_address + ": " + e.getDescription().cStr());
  }
}

kj::Promise<void> Rpc::Impl::AcceptLoop() {
  return receiver->accept()
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) { Accept(kj::mv(stream)); })
      .catch_([this](kj::Exception&&) {
        // For example no file descriptor is free.
        return timer().afterDelay(ToKj(kAcceptRetry));
      })
      .then([this]() { return AcceptLoop(); });
}

void Rpc::Impl::RefuseLogin(const std::string& host, const std::string& reason) const {
  LogEvent(EventId::kPeerLoginRefused, {{"host", host}, {"reason", reason}});
}

bool Rpc::Impl::KnownPeer(const HostId& host) const {
  return options.open || outgoing.count(host) > 0;
}

// A host that logs in can be reached again: without this, it is suspected until the backoff ends.
void Rpc::Impl::RetrySoon(const HostId& host) {
  auto found = outgoing.find(host);
  if (found == outgoing.end() || found->second.link != nullptr) return;
  found->second.backoff = Duration(0);
  if (found->second.retry.get() != nullptr) found->second.retry->fulfill();
}

void Rpc::Impl::Accept(kj::Own<kj::AsyncIoStream> stream) {
  if (connections >= kMaxConnections || pending_logins >= kMaxPendingLogins) {
    RefuseLogin("", "too many connections");
    return;
  }
  auto in = kj::heap<Incoming>(&connections);
  in->stream = kj::mv(stream);
  SetSocketOptions(in->stream.get());
  auto session = std::make_shared<Session>();
  session->nonce = RandomHex(kNonceBytes);
  session->pending = CountPendingLogin();
  in->messages = kj::heap<BoundedStream>(*in->stream, &bytes, [session](const std::string& reason) {
    LogEvent(EventId::kPeerMessageRefused, {{"host", session->host.value()}, {"reason", reason}});
  });
  in->network = kj::heap<capnp::TwoPartyVatNetwork>(*in->messages, Side::SERVER, Limits());
  auto refused = kj::newPromiseAndFulfiller<void>();
  auto close = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(refused.fulfiller));
  auto gate = kj::heap<GateServer>(
      &options, handler, session,
      [this, close](const std::string& host, const std::string& reason) {
        RefuseLogin(host, reason);
        (*close)->fulfill();
      },
      [this](const HostId& host) { return KnownPeer(host); },
      [this](const HostId& host) { RetrySoon(host); });
  in->system = kj::heap(capnp::makeRpcServer(*in->network, wire::Gate::Client(kj::mv(gate))));
  auto login_over =
      timer().afterDelay(ToKj(options.login_timeout)).then([this, session]() -> kj::Promise<void> {
        if (session->logged_in) return kj::NEVER_DONE;
        if (!session->login_tried) RefuseLogin("", "no login in time");
        return kj::READY_NOW;
      });
  // The short delay lets the caller read why it is refused.
  auto kicked = refused.promise.then([this]() { return timer().afterDelay(ToKj(kAcceptRetry)); });
  auto over =
      in->network->onDisconnect().exclusiveJoin(kj::mv(login_over)).exclusiveJoin(kj::mv(kicked));
  tasks.add(over.attach(kj::mv(in)));
}

std::shared_ptr<void> Rpc::Impl::CountPendingLogin() {
  ++pending_logins;
  return std::shared_ptr<void>(nullptr, [this](void*) { --pending_logins; });
}

// ---- outgoing ----

Duration Rpc::Impl::NextBackoff(Outgoing* out) {
  out->backoff = std::min(std::max(out->backoff * 2, options.min_backoff), options.max_backoff);
  // Jitter keeps hosts that lost the same peer from coming back at the same moment.
  double part = std::uniform_real_distribution<double>(0.5, 1.0)(rng);
  return Duration(static_cast<int64_t>(static_cast<double>(out->backoff.count()) * part));
}

Duration Rpc::Impl::ConnectTimeout(Outgoing* out) const {
  bool is_long = ++out->connects % kLongConnect == 0;
  bool quick = options.quick_connect_timeout > Duration(0) && !is_long;
  return quick ? options.quick_connect_timeout : options.connect_timeout;
}

kj::Promise<void> Rpc::Impl::ConnectLoop(Outgoing* out) {
  return kj::evalNow([this, out]() { return Connect(out); })
      .catch_([](kj::Exception&&) {})
      .then([this, out]() {
        Lost(out);
        auto retry = kj::newPromiseAndFulfiller<void>();
        out->retry = kj::mv(retry.fulfiller);
        return timer().afterDelay(ToKj(NextBackoff(out))).exclusiveJoin(kj::mv(retry.promise));
      })
      .then([this, out]() { return ConnectLoop(out); });
}

kj::Promise<void> Rpc::Impl::Connect(Outgoing* out) {
  auto opened = io->provider->getNetwork()
                    .parseAddress(out->peer.address.c_str())
                    .then([](kj::Own<kj::NetworkAddress>&& address) {
                      auto connected = address->connect();
                      return connected.attach(kj::mv(address));
                    });
  return timer()
      .timeoutAfter(ToKj(ConnectTimeout(out)), kj::mv(opened))
      .then([this, out](kj::Own<kj::AsyncIoStream>&& stream) {
        SetSocketOptions(stream.get());
        auto link = std::make_shared<Link>();
        link->stream = kj::mv(stream);
        std::string name = out->peer.host.value();
        link->messages =
            kj::heap<BoundedStream>(*link->stream, &bytes, [name](const std::string& reason) {
              LogEvent(EventId::kPeerMessageRefused, {{"host", name}, {"reason", reason}});
            });
        link->network =
            kj::heap<capnp::TwoPartyVatNetwork>(*link->messages, Side::CLIENT, Limits());
        link->system = kj::heap(capnp::makeRpcClient(*link->network));
        capnp::MallocMessageBuilder root(4);
        auto vat = root.initRoot<VatId>();
        vat.setSide(Side::SERVER);
        auto gate = link->system->bootstrap(vat).castAs<wire::Gate>();
        auto request = gate.challengeRequest();
        request.setHlc(ProcessClock().Now());
        auto logged_in = request.send().then(
            [this, out, link, gate](capnp::Response<wire::Gate::ChallengeResults>&& r) mutable {
              if (Str(r.getHost()) != out->peer.host.value()) FailCall("another host answers");
              return LogIn(out, link, kj::mv(gate), Str(r.getNonce()));
            });
        return timer()
            .timeoutAfter(ToKj(options.login_timeout), kj::mv(logged_in))
            .then([this, out, link]() { return Serve(out, link); });
      });
}

kj::Promise<void> Rpc::Impl::LogIn(Outgoing* out, const std::shared_ptr<Link>& link,
                                   wire::Gate::Client gate, const std::string& nonce) {
  std::string own_nonce = RandomHex(kNonceBytes);
  auto request = gate.loginRequest();
  request.setHlc(ProcessClock().Now());
  request.setHost(options.self.value());
  request.setIncarnation(options.incarnation);
  request.setMac(LoginMac(options.cluster_key, nonce, out->peer.host.value(), options.self.value(),
                          options.incarnation));
  request.setNonce(own_nonce);
  return request.send().then(
      [this, out, link, own_nonce](capnp::Response<wire::Gate::LoginResults>&& r) {
        std::string want = ProofMac(options.cluster_key, own_nonce, out->peer.host.value());
        if (!ConstantTimeEqual(Str(r.getProof()), want)) {
          RefuseLogin(out->peer.host.value(), "wrong proof");
          FailCall("wrong proof");
        }
        ProcessClock().Receive(r.getHlc());
        link->peer = r.getPeer();
      });
}

kj::Promise<void> Rpc::Impl::Serve(Outgoing* out, const std::shared_ptr<Link>& link) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  link->close = kj::mv(paf.fulfiller);
  out->link = link;
  out->backoff = Duration(0);
  LogEvent(EventId::kPeerConnected, {{"host", out->peer.host.value()}, {"direction", "out"}});
  handler->OnPeerConnection(out->peer.host, true);
  return link->network->onDisconnect().exclusiveJoin(kj::mv(paf.promise));
}

void Rpc::Impl::Lost(Outgoing* out) {
  if (out->link == nullptr) return;
  std::shared_ptr<Link> link = std::move(out->link);
  out->link = nullptr;
  // Calls in flight hold the link until their promises have ended; without the RPC system these
  // end at once.
  link->peer = nullptr;
  link->system = nullptr;
  handler->OnPeerConnection(out->peer.host, false);
}

std::shared_ptr<Link> Rpc::Impl::UsableLink(const HostId& to, size_t bytes) {
  auto it = outgoing.find(to);
  if (it == outgoing.end() || it->second.link == nullptr) return nullptr;
  std::shared_ptr<Link> link = it->second.link;
  if (bytes > kMaxPayloadBytes) {
    LogEvent(EventId::kPeerMessageRefused,
             {{"host", to.value()}, {"reason", "own message of " + std::to_string(bytes)}});
    return nullptr;
  }
  if (link->calls >= options.max_calls) return nullptr;
  if (link->network->getCurrentQueueSize() + bytes > options.max_queued_bytes) return nullptr;
  return link;
}

template <typename T, typename Request, typename Convert>
void Rpc::Impl::Call(const std::shared_ptr<Link>& link, Request&& request, Duration timeout,
                     bool counted, Convert convert, std::function<void(std::optional<T>)> done) {
  ++link->calls;
  int max_timeouts = options.max_timeouts;
  auto answered = request.send().then([link, convert](auto&& response) -> std::optional<T> {
    ProcessClock().Receive(response.getHlc());
    std::optional<T> value = convert(response);
    link->timeouts = 0;
    return value;
  });
  tasks.add(timer()
                .timeoutAfter(ToKj(timeout), kj::mv(answered))
                .catch_([link, counted, max_timeouts](kj::Exception&& e) -> std::optional<T> {
                  bool timed_out = e.getType() == kj::Exception::Type::OVERLOADED;
                  if (counted && timed_out && ++link->timeouts >= max_timeouts) {
                    link->close->fulfill();
                  }
                  return std::nullopt;
                })
                .then([link, done = std::move(done)](std::optional<T>&& value) {
                  --link->calls;
                  if (done) done(std::move(value));
                }));
}

// ---- interface ----

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
  Outgoing out;
  out.peer = peer;
  auto [entry, added] = impl_->outgoing.emplace(peer.host, std::move(out));
  // A pointer into the map stays valid: no peer is removed.
  if (added) impl_->tasks.add(impl_->ConnectLoop(&entry->second));
}

uint64_t Rpc::sent_bytes() const { return impl_->bytes.sent; }

uint64_t Rpc::received_bytes() const { return impl_->bytes.received; }

uint32_t Rpc::port() const { return impl_->port; }

bool Rpc::IsConnected(const HostId& host) const {
  auto it = impl_->outgoing.find(host);
  return it != impl_->outgoing.end() && it->second.link != nullptr;
}

std::vector<HostId> Rpc::Connected() const {
  std::vector<HostId> hosts;
  for (const auto& [host, out] : impl_->outgoing) {
    if (out.link != nullptr) hosts.push_back(host);
  }
  return hosts;
}

void Rpc::Gossip(const HostId& to, const GossipMessage& message, const HostId& target,
                 Duration timeout, std::function<void(std::optional<GossipReply>)> done) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return impl_->Fail(std::move(done));
  auto request = KJ_ASSERT_NONNULL(link->peer).gossipRequest();
  request.setHlc(ProcessClock().Now());
  request.setTarget(target.value());
  WriteDigest(message, SteadyNow(), request.initDigest());
  auto convert = [](auto& response) {
    GossipReply reply;
    reply.message = ReadDigest(response.getDigest(), SteadyNow());
    reply.reached = response.getReached();
    return reply;
  };
  impl_->Call<GossipReply>(link, kj::mv(request), timeout, true, convert, std::move(done));
}

void Rpc::Announce(const HostId& to, const std::vector<RelayedAnnouncement>& announcements,
                   std::function<void(std::optional<std::vector<uint64_t>>)> done) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return;
  std::vector<const RelayedAnnouncement*> whole;
  std::vector<ServerRefresh> refreshes;
  for (const RelayedAnnouncement& relayed : announcements) {
    if (!relayed.refresh) {
      whole.push_back(&relayed);
      continue;
    }
    ServerRefresh refresh;
    refresh.key = AnnouncementKey(relayed.announcement);
    refresh.seq = relayed.announcement.seq;
    refresh.load = relayed.announcement.load;
    refresh.age = relayed.age;
    refreshes.push_back(refresh);
  }
  auto request = KJ_ASSERT_NONNULL(link->peer).announceRequest();
  request.setHlc(ProcessClock().Now());
  request.setSentAtMicros(SteadyNow().time_since_epoch().count());
  auto rows = request.initAnnouncements(static_cast<uint32_t>(whole.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) {
    WriteAnnouncement(whole[i]->announcement, rows[i].initAnnouncement());
    rows[i].setAgeMicros(static_cast<uint64_t>(std::max<int64_t>(0, whole[i]->age.count())));
  }
  request.setRefreshes(ToData(WriteRefreshes(refreshes)));
  auto convert = [](auto& response) {
    std::vector<uint64_t> unknown;
    for (uint64_t key : response.getUnknown()) unknown.push_back(key);
    return unknown;
  };
  impl_->Call<std::vector<uint64_t>>(link, kj::mv(request), kOneWayTimeout, true, convert,
                                     std::move(done));
}

void Rpc::Consensus(const HostId& to, const std::string& message) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, message.size());
  if (link == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(link->peer).consensusRequest();
  request.setHlc(ProcessClock().Now());
  request.setMessage(ToData(message));
  impl_->Call<bool>(
      link, kj::mv(request), kConsensusTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::ConfigSince(const HostId& to, uint64_t revision, uint64_t offset, Duration timeout,
                      std::function<void(std::optional<std::string>)> done) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return impl_->Fail(std::move(done));
  auto request = KJ_ASSERT_NONNULL(link->peer).configSinceRequest();
  request.setHlc(ProcessClock().Now());
  request.setRevision(revision);
  request.setOffset(offset);
  impl_->Call<std::string>(
      link, kj::mv(request), timeout, false, [](auto& response) { return Str(response.getData()); },
      std::move(done));
}

void Rpc::ProposePut(const HostId& to, const ConfigPut& put, uint32_t hops, Duration timeout,
                     std::function<void(std::optional<PutAnswer>)> done) {
  size_t bytes = put.path.size() + (put.value ? put.value->size() : 0);
  std::shared_ptr<Link> link = impl_->UsableLink(to, bytes);
  if (link == nullptr) return impl_->Fail(std::move(done));
  auto request = KJ_ASSERT_NONNULL(link->peer).proposePutRequest();
  request.setHlc(ProcessClock().Now());
  request.setHops(hops);
  WritePut(put, request.initPut());
  impl_->Call<PutAnswer>(
      link, kj::mv(request), timeout, false,
      [](auto& response) { return ReadPutAnswer(response.getAnswer()); }, std::move(done));
}

void Rpc::Suspects(const HostId& to, const std::vector<SuspectNote>& notes) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(link->peer).suspectRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initNotes(static_cast<uint32_t>(notes.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteNote(notes[i], rows[i]);
  impl_->Call<bool>(
      link, kj::mv(request), kOneWayTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::Work(const HostId& to, const std::vector<ServerWork>& work) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return;
  auto request = KJ_ASSERT_NONNULL(link->peer).workRequest();
  request.setHlc(ProcessClock().Now());
  auto rows = request.initRows(static_cast<uint32_t>(work.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) {
    rows[i].setServer(work[i].server.value());
    rows[i].setInFlight(work[i].in_flight);
    rows[i].setPrefillTokens(work[i].prefill_tokens);
  }
  impl_->Call<bool>(
      link, kj::mv(request), kOneWayTimeout, true, [](auto&) { return true; }, nullptr);
}

void Rpc::Timeline(const HostId& to, HlcStamp since, const std::string& request_id, size_t limit,
                   Duration timeout, std::function<void(std::optional<TimelinePage>)> done) {
  std::shared_ptr<Link> link = impl_->UsableLink(to, 0);
  if (link == nullptr) return impl_->Fail(std::move(done));
  auto request = KJ_ASSERT_NONNULL(link->peer).timelineRequest();
  request.setHlc(ProcessClock().Now());
  request.setSince(since);
  request.setRequestId(request_id);
  request.setLimit(static_cast<uint32_t>(std::min<size_t>(limit, UINT32_MAX)));
  auto convert = [](auto& response) {
    TimelinePage page;
    page.more = response.getMore();
    for (wire::EventEntry::Reader row : response.getEvents()) {
      Event event = ReadEvent(row);
      if (IsKnownEvent(event.id)) page.events.push_back(std::move(event));
    }
    return page;
  };
  impl_->Call<TimelinePage>(link, kj::mv(request), timeout, false, convert, std::move(done));
}

}  // namespace ebonylift
