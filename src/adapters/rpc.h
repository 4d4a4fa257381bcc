#ifndef EBONYLIFT_ADAPTERS_RPC_H_
#define EBONYLIFT_ADAPTERS_RPC_H_

// Cap'n Proto RPC between daemons, on the control thread.
//
// Rpc listens on the peer address and keeps one outgoing connection to every configured peer. An
// outgoing connection logs in (section 5.4 of the design) before any other call; a lost or refused
// one is tried again after a delay that doubles up to `max_backoff`, with jitter.
//
// No call blocks and every call ends: `done` runs exactly once on the control thread, from the
// event loop and never from inside the call. It gets std::nullopt when the peer is not connected,
// refuses, answers with an error or does not answer within the timeout, or when too much is already
// waiting for this peer. A connection on which `max_timeouts` counted calls in a row got no answer
// is closed and opened again, which frees what was queued for a frozen peer.
//
// A host that is not among the peers is refused unless `open` is set; AddPeer() connects back to
// it.
//
// Refused, with events kPeerLoginRefused or kPeerMessageRefused: a wrong MAC, a second login on a
// connection, an unknown host, no login within `login_timeout`, and a message over
// kMaxMessageBytes. All of them close the connection.
//
// Not thread safe: everything runs on the thread of the KJ event loop.
//
// Memory: for each peer `max_queued_bytes` of unsent messages and `max_calls` open calls; one
// message of kMaxMessageBytes for each connection while it is read. At most kMaxConnections
// incoming connections.

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"
#include "core/registry.h"
#include "ports/control_port.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxMessageBytes = 8 << 20;
// Leaves room for the framing and for the other fields of the message.
constexpr size_t kMaxPayloadBytes = kMaxMessageBytes - (1 << 16);
constexpr size_t kMaxConnections = 1024;

struct RpcPeer {
  HostId host;
  std::string address;
};

constexpr int kLongConnect = 4;  // attempts, see RpcOptions::quick_connect_timeout

struct RpcOptions {
  HostId self;
  uint64_t incarnation = 0;
  std::string listen_address;
  std::string cluster_key;
  std::vector<RpcPeer> peers;
  bool open = false;  // hosts that are not known yet may log in with the cluster key
  Duration connect_timeout = seconds(3);
  // Attempts to connect end after this time, but for every kLongConnect-th; 0: all may take
  // `connect_timeout`. The kernel repeats a lost first packet only after a second.
  Duration quick_connect_timeout{0};
  Duration login_timeout = seconds(3);
  Duration min_backoff = milliseconds(100);
  Duration max_backoff = seconds(5);
  size_t max_queued_bytes = 16 << 20;
  int max_calls = 256;
  int max_timeouts = 3;
};

struct RelayedAnnouncement {
  Announcement announcement;
  Duration age{0};
  bool refresh = false;  // the receivers know all but the order and the load
};

struct SuspectNote {
  uint64_t content = 0;
  ServerId server;  // empty when cleared
  bool alone = false;
  bool cleared = false;
};

struct TimelinePage {
  std::vector<Event> events;  // oldest first
  bool more = false;          // newer events were left out
};

// What the control thread does with the messages of logged-in peers. Called on the control thread.
// An `answer` function may be called later, once; the caller has its own timeout.
class RpcHandler {
 public:
  using GossipAnswer = std::function<void(GossipMessage message, bool reached)>;
  using PutDone = std::function<void(PutAnswer)>;

  virtual ~RpcHandler() = default;
  virtual void OnPeerGossip(const HostId& from, const GossipMessage& message, const HostId& target,
                            GossipAnswer answer) = 0;
  // `sent_at` is the sender's steady clock. Returns the keys of unknown refreshes.
  virtual std::vector<uint64_t> OnPeerAnnounce(
      const HostId& from, Duration sent_at, const std::vector<RelayedAnnouncement>& announcements,
      const std::vector<ServerRefresh>& refreshes) = 0;
  virtual void OnPeerConsensus(const HostId& from, const std::string& message) = 0;
  virtual std::string OnPeerConfigSince(uint64_t revision, uint64_t offset) = 0;
  virtual void OnPeerPut(const ConfigPut& put, uint32_t hops, PutDone answer) = 0;
  virtual void OnPeerSuspects(const std::vector<SuspectNote>& notes) = 0;
  virtual TimelinePage OnPeerTimeline(HlcStamp since, const std::string& request_id,
                                      size_t limit) = 0;
  virtual void OnPeerWorkList(const HostId& from, std::vector<ServerWork> work) = 0;
  // A peer logged in here.
  virtual void OnPeerLogin(const HostId& host, uint64_t incarnation) = 0;
  // An outgoing connection was logged in or lost.
  virtual void OnPeerConnection(const HostId& host, bool connected) = 0;
};

struct GossipReply {
  GossipMessage message;
  bool reached = false;
};

class Rpc {
 public:
  // Listens at once. Throws Error(kInternal) when the address cannot be used. `io` and `handler`
  // outlive this object.
  Rpc(kj::AsyncIoContext* io, RpcOptions options, RpcHandler* handler);
  ~Rpc();
  Rpc(const Rpc&) = delete;
  Rpc& operator=(const Rpc&) = delete;

  // Starts to accept and to connect.
  void Start();

  // Connects to a host that was found. Does nothing when it is known. Precondition: Start() ran.
  void AddPeer(const RpcPeer& peer);

  // The port that is listened on.
  uint32_t port() const;

  // Bytes of all messages sent to and received from peers, without TCP and IP headers.
  uint64_t sent_bytes() const;
  uint64_t received_bytes() const;

  bool IsConnected(const HostId& host) const;
  std::vector<HostId> Connected() const;

  void Gossip(const HostId& to, const GossipMessage& message, const HostId& target,
              Duration timeout, std::function<void(std::optional<GossipReply>)> done);
  // The ages of the announcements are those at `sent_at`, now by the own steady clock. `done` gets
  // the keys of refreshes that the receiver does not know.
  void Announce(const HostId& to, const std::vector<RelayedAnnouncement>& announcements,
                std::function<void(std::optional<std::vector<uint64_t>>)> done = nullptr);
  void Consensus(const HostId& to, const std::string& message);
  void ConfigSince(const HostId& to, uint64_t revision, uint64_t offset, Duration timeout,
                   std::function<void(std::optional<std::string>)> done);
  void ProposePut(const HostId& to, const ConfigPut& put, uint32_t hops, Duration timeout,
                  std::function<void(std::optional<PutAnswer>)> done);
  void Suspects(const HostId& to, const std::vector<SuspectNote>& notes);
  void Work(const HostId& to, const std::vector<ServerWork>& work);
  void Timeline(const HostId& to, HlcStamp since, const std::string& request_id, size_t limit,
                Duration timeout, std::function<void(std::optional<TimelinePage>)> done);

 private:
  struct Impl;
  kj::Own<Impl> impl_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_RPC_H_
