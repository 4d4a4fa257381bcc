#ifndef EBONYLIFT_ADAPTERS_RPC_H_
#define EBONYLIFT_ADAPTERS_RPC_H_

// Cap'n Proto RPC between daemons, run on the control thread.
//
// Rpc listens on the peer address and keeps one outgoing connection to every configured peer. A
// login (section 5.4 of the design) precedes all other calls on an outgoing connection. After a
// connection is lost or refused, Rpc reconnects with jitter and a delay that doubles up to
// `max_backoff`.
//
// Calls never block, and every call completes. `done`, if there is one, runs on the control thread
// from the event loop, never from inside the call, and at most once. It runs exactly once for every
// call except an Announce() that is not sent. It receives std::nullopt if the peer is not
// connected, refuses the call, returns an error or does not respond within the timeout, if the
// message is too large, or if too many calls or bytes are already pending for this peer.
//
// After `max_consecutive_timeouts` timeouts without a response in between, a connection is closed
// and reopened, which frees the messages queued for an unresponsive peer. Timeouts of
// ConfigSince(), ProposePut() and Timeline() do not count.
//
// A login from a host that is not a configured peer is refused unless `open` is set. AddPeer() adds
// a connection back to such a host.
//
// The following are refused, logged as kPeerLoginRefused or kPeerMessageRefused, and close the
// connection: a wrong MAC, a second login on one connection, an unknown host, no login within
// `login_timeout`, and a message larger than kMaxMessageBytes.
//
// Not thread safe: all methods and callbacks run on the thread of the KJ event loop.
//
// Memory: for each peer, `max_queued_bytes` of unsent messages and `max_calls` pending calls; for
// each connection, one message of up to kMaxMessageBytes while it is read. At most kMaxConnections
// incoming connections are open at a time.

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapters/peer_flows.h"
#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"
#include "core/registry.h"
#include "ports/control_port.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxMessageBytes = 8 << 20;
// Leaves room for framing and for the other fields of the message.
constexpr size_t kMaxPayloadBytes = kMaxMessageBytes - (1 << 16);
constexpr size_t kMaxConnections = 1024;  // incoming

// What a host understands beyond the first release, as bits of a number that it sends with the
// answer to a login. Hosts without a feature are sent the earlier form.
enum class PeerFeature : uint32_t {
  kWorkRows = 1,          // lists of work as changes; see core/work_rows.h
  kAliveSets = 2,         // see core/alive_sets.h
  kSharedCollectors = 4,  // a failure domain may have several collectors; see core/work_exchange.h
};
constexpr uint32_t kAllPeerFeatures = static_cast<uint32_t>(PeerFeature::kWorkRows) |
                                      static_cast<uint32_t>(PeerFeature::kAliveSets) |
                                      static_cast<uint32_t>(PeerFeature::kSharedCollectors);

struct RpcPeer {
  HostId host;
  std::string address;
};

// See RpcOptions::quick_connect_timeout.
constexpr int kFullConnectTimeoutInterval = 4;

struct RpcOptions {
  HostId self;
  uint64_t incarnation = 0;
  std::string listen_address;
  std::string cluster_key;
  std::vector<RpcPeer> peers;
  bool open = false;  // any host with the cluster key may log in, not only the peers
  Duration connect_timeout = seconds(3);
  // If not 0, the timeout of all connection attempts except every kFullConnectTimeoutInterval-th,
  // which still gets `connect_timeout`. Retrying early recovers faster from a lost SYN, which the
  // kernel retransmits only after a second. If 0, every attempt gets `connect_timeout`.
  Duration quick_connect_timeout{0};
  Duration login_timeout = seconds(3);
  Duration min_backoff = milliseconds(100);
  Duration max_backoff = seconds(5);
  uint32_t features = kAllPeerFeatures;  // that this host tells its peers
  size_t max_queued_bytes = 16 << 20;    // unsent, for each peer
  int max_calls = 256;                   // pending, for each peer
  int max_consecutive_timeouts = 3;      // until the connection is reopened
};

// An announcement of a backend server that a host passes on to its peers.
struct RelayedAnnouncement {
  Announcement announcement;
  Duration age{0};  // since the server sent it
  // Only the sequence number and the load differ from what the receivers have, so a ServerRefresh
  // is sent instead of the whole announcement.
  bool refresh = false;
};

// The answer to an alive set.
struct AliveReply {
  std::vector<uint64_t> unknown;  // keys of servers that are not known or not live
  bool gap = false;               // keys are missing, so the set was not read
};

struct TimelinePage {
  std::vector<Event> events;  // oldest first
  bool more = false;          // newer events exist beyond the limit
};

// The answer to a request for shares of limits; both messages are those of core/limit_shares.h.
struct LimitSharesReply {
  std::optional<std::string> answer;  // absent: this host does not allocate limits
  HostId leader;                      // without an answer: the host that may; empty: unknown
};

// Handles messages from logged-in peers. All methods are called on the control thread. An `answer`
// callback may be called after the method has returned, at most once; the calling peer has its own
// timeout.
class RpcHandler {
 public:
  using GossipAnswer = std::function<void(GossipMessage message, bool reached)>;
  using PutDone = std::function<void(PutAnswer)>;

  virtual ~RpcHandler() = default;
  // A probe that carries membership rows. If `target` is not empty, that host is to be probed, and
  // `reached` tells whether it responded.
  virtual void OnPeerGossip(const HostId& from, const GossipMessage& message, const HostId& target,
                            GossipAnswer answer) = 0;
  // `sent_at` is the sender's steady clock at sending. Returns the keys of the refreshes for which
  // the whole announcement is not known.
  virtual std::vector<uint64_t> OnPeerAnnounce(
      const HostId& from, Duration sent_at, const std::vector<RelayedAnnouncement>& announcements,
      const std::vector<ServerRefresh>& refreshes) = 0;
  // An alive set (core/alive_sets.h) that was sent at `sent_at` by the sender's steady clock.
  virtual AliveReply OnPeerAlive(const HostId& from, Duration sent_at, const std::string& set) = 0;
  // `message` is an opaque consensus message.
  virtual void OnPeerConsensus(const HostId& from, const std::string& message) = 0;
  // Returns the configuration changes after `revision`, or the part of a snapshot that starts at
  // byte `offset`.
  virtual std::string OnPeerConfigSince(uint64_t revision, uint64_t offset) = 0;
  // Proposes a configuration change, which was forwarded `hops` times before.
  virtual void OnPeerPut(const ConfigPut& put, uint32_t hops, PutDone answer) = 0;
  virtual void OnPeerSuspects(const std::vector<SuspectReport>& reports) = 0;
  // Returns at most `limit` events after `since`, or only those of one request if `request_id` is
  // not empty.
  virtual TimelinePage OnPeerTimeline(HlcStamp since, const std::string& request_id,
                                      size_t limit) = 0;
  // `work` replaces the list of this kind received from this peer before.
  virtual void OnPeerWorkList(const HostId& from, WorkListKind kind,
                              std::vector<ServerWork> work) = 0;
  // The same as changes of that list (core/work_rows.h). Returns false if they cannot be applied.
  virtual bool OnPeerWorkChanges(const HostId& from, WorkListKind kind,
                                 const std::string& changes) = 0;
  virtual void OnPeerRoomReports(const std::vector<RoomReport>& reports) = 0;
  virtual void OnPeerStreams(const std::vector<StreamRecord>& records) = 0;
  virtual std::optional<StreamOrigin> OnPeerFindStream(uint64_t stream) = 0;
  virtual std::set<std::string> OnPeerFindVersions(const std::string& served) = 0;
  // A request for shares of limits of workspaces.
  virtual LimitSharesReply OnPeerLimitShares(const HostId& from, const std::string& ask) = 0;
  // A peer logged in on an incoming connection.
  virtual void OnPeerLogin(const HostId& host, uint64_t incarnation) = 0;
  // An outgoing connection to the peer has logged in, or was lost.
  virtual void OnPeerConnection(const HostId& host, bool connected) = 0;
};

struct GossipReply {
  GossipMessage message;
  bool reached = false;  // for an indirect probe: the target responded
};

class Rpc {
 public:
  // Starts listening. Throws Error(kInternal) if it cannot listen on the address. `io` and
  // `handler` must outlive this object.
  Rpc(kj::AsyncIoContext* io, RpcOptions options, RpcHandler* handler);
  ~Rpc();
  Rpc(const Rpc&) = delete;
  Rpc& operator=(const Rpc&) = delete;

  // Starts accepting connections and connecting to the peers.
  void Start();

  // Adds a discovered host as a peer and connects to it. Does nothing if it already is a peer.
  // Precondition: Start() was called.
  void AddPeer(const RpcPeer& peer);

  // The port on which this object listens.
  uint32_t port() const;

  // Bytes of all messages sent to and received from peers, excluding TCP and IP headers.
  uint64_t sent_bytes() const;
  // Of the sent bytes, those of messages that are not yet written out.
  uint64_t unsent_bytes() const;
  uint64_t received_bytes() const;
  // The same messages by flow.
  const FlowCounts& flows() const;

  bool IsConnected(const HostId& host) const;
  // Whether the peer is connected and has the feature.
  bool Understands(const HostId& host, PeerFeature feature) const;
  std::vector<HostId> Connected() const;

  // Probes `to` and exchanges membership rows. If `target` is not empty, `to` probes that host, and
  // GossipReply::reached holds the result.
  void Gossip(const HostId& to, const GossipMessage& message, const HostId& target,
              Duration timeout, std::function<void(std::optional<GossipReply>)> done);
  // The ages of the announcements are as of this call, whose steady clock time is sent along.
  // `done` receives the keys of the refreshes for which the receiver lacks the whole announcement.
  // If the message cannot be sent, `done` is not called.
  void Announce(const HostId& to, const std::vector<RelayedAnnouncement>& announcements,
                std::function<void(std::optional<std::vector<uint64_t>>)> done = nullptr);
  // Sends an opaque consensus message to another voter.
  void Consensus(const HostId& to, const std::string& message);
  // Requests the configuration changes after `revision`, or the part of a snapshot that starts at
  // byte `offset`.
  void ConfigSince(const HostId& to, uint64_t revision, uint64_t offset, Duration timeout,
                   std::function<void(std::optional<std::string>)> done);
  // Proposes a configuration change. `hops` counts how often it was forwarded before.
  void ProposePut(const HostId& to, const ConfigPut& put, uint32_t hops, Duration timeout,
                  std::function<void(std::optional<PutAnswer>)> done);
  // Sends suspicions and withdrawals of suspicions.
  void Suspects(const HostId& to, const std::vector<SuspectReport>& reports);
  // Sends work on the backend servers that both hosts use. It replaces the list of this kind sent
  // before.
  void Work(const HostId& to, WorkListKind kind, const std::vector<ServerWork>& work);
  // Sends changes of such a list. The result of `done` is false if the peer cannot apply them, and
  // empty if it did not answer. Precondition: the peer understands PeerFeature::kWorkRows.
  void WorkChanges(const HostId& to, WorkListKind kind, const std::string& changes,
                   std::function<void(std::optional<bool>)> done);
  // Sends an alive set. Precondition: the peer understands PeerFeature::kAliveSets.
  void Alive(const HostId& to, const std::string& set,
             std::function<void(std::optional<AliveReply>)> done);
  // Tells what answers of brittle servers showed.
  void RoomReports(const HostId& to, const std::vector<RoomReport>& reports);
  // Sends streams that began at this host.
  void Streams(const HostId& to, const std::vector<StreamRecord>& records);
  // Asks for the software versions of a service or model. The result of `done` is empty if the peer
  // did not answer.
  void SoftwareVersions(const HostId& to, const std::string& served, Duration timeout,
                        std::function<void(std::optional<std::set<std::string>>)> done);
  // Asks where a stream began. The result of `done` is empty if the peer did not answer, the inner
  // one if it does not know the stream.
  void FindStream(const HostId& to, uint64_t stream, Duration timeout,
                  std::function<void(std::optional<std::optional<StreamOrigin>>)> done);
  // Asks for shares of limits of workspaces. The result of `done` is empty if the peer did not
  // answer, or is of a release without these.
  void LimitShares(const HostId& to, const std::string& ask, Duration timeout,
                   std::function<void(std::optional<LimitSharesReply>)> done);
  // Requests the events after `since`, or only those of one request if `request_id` is not empty.
  void Timeline(const HostId& to, HlcStamp since, const std::string& request_id, size_t limit,
                Duration timeout, std::function<void(std::optional<TimelinePage>)> done);

 private:
  struct Impl;
  kj::Own<Impl> impl_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_RPC_H_
