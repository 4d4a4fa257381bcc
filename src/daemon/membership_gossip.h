#ifndef EBONYLIFT_DAEMON_MEMBERSHIP_GOSSIP_H_
#define EBONYLIFT_DAEMON_MEMBERSHIP_GOSSIP_H_

// Owns the host membership (core/membership.h), exchanges its rows with the other daemons, logs
// status changes, and connects to hosts that are discovered.
//
// Not thread safe: all methods and callbacks run on the control thread. Memory: what
// core/membership.h states.

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "adapters/rpc.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"

namespace ebonylift {

class MembershipGossip {
 public:
  // `on_change` runs when a change of the membership is visible in views. `rng` and `rpc` must
  // outlive this object's use and need not be constructed yet; this object must outlive the pending
  // calls of `rpc`.
  MembershipGossip(Membership membership, std::mt19937_64* rng, Rpc* rpc,
                   std::function<void()> on_change)
      : membership_(std::move(membership)),
        rng_(rng),
        rpc_(rpc),
        on_change_(std::move(on_change)) {}
  MembershipGossip(const MembershipGossip&) = delete;
  MembershipGossip& operator=(const MembershipGossip&) = delete;

  const Membership& membership() const { return membership_; }
  // After a change of the returned membership, call HandleChanges().
  Membership* mutable_membership() { return &membership_; }

  // Sends the probes that are due. Call it at least every 50 ms.
  void SendProbes(Time now);

  // Sends this host's membership rows at once, instead of with the next probe. `done` may be empty.
  void Push(const HostId& to, const std::function<void(bool answered)>& done = nullptr);

  // As Push(), but at most one such call to a host is open at a time. When it ends and the host
  // does not have this host's revision of the configuration, the next one follows.
  void PushRevision(const HostId& to);

  // Logs status changes, connects to discovered hosts, and calls `on_change` if a visible change
  // happened since the last call.
  void HandleChanges();

  // Handles a message of another host, as RpcHandler::OnPeerGossip().
  void OnMessage(const HostId& from, const GossipMessage& message, const HostId& target,
                 const RpcHandler::GossipAnswer& answer);

  // Marks this host as leaving and tells all connected hosts.
  void StartDrain();

  // Sets whether this host is overloaded and tells the hosts of its failure domain.
  void UpdateOverloaded(bool overloaded);

  // Returns the other hosts for which `match` returns true, ordered by id.
  std::vector<HostId> PeersWhere(const std::function<bool(const Identity&)>& match) const;

 private:
  void LogStatusChanges();

  Membership membership_;
  std::mt19937_64* rng_;
  Rpc* rpc_;
  std::function<void()> on_change_;
  uint64_t seen_change_ = 0;
  std::map<HostId, uint64_t> pushed_revisions_;  // of the open calls of PushRevision()
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_MEMBERSHIP_GOSSIP_H_
