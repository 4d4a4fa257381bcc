#include "daemon/membership_gossip.h"

#include <optional>
#include <string>

#include "base/event.h"

namespace ebonylift {
namespace {

constexpr Duration kIndirectProbeTimeout = milliseconds(250);
constexpr Duration kGossipPushTimeout = seconds(1);

}  // namespace

void MembershipGossip::SendProbes(Time now) {
  for (SendProbe& probe : Tick(&membership_, now, *rng_)) {
    uint64_t token = probe.token;
    HostId to = probe.to;
    rpc_->Gossip(to, probe.message, probe.target, probe.timeout,
                 [this, token, to](std::optional<GossipReply> reply) {
                   if (reply) {
                     OnAck(&membership_, token, to, reply->message, reply->reached, SteadyNow());
                   } else {
                     OnProbeFailed(&membership_, token, SteadyNow());
                   }
                   HandleChanges();
                 });
  }
}

void MembershipGossip::Push(const HostId& to, const std::function<void(bool answered)>& done) {
  rpc_->Gossip(to, MakeGossip(&membership_, to, *rng_), HostId(), kGossipPushTimeout,
               [this, to, done](std::optional<GossipReply> reply) {
                 if (reply) OnAck(&membership_, 0, to, reply->message, false, SteadyNow());
                 HandleChanges();
                 if (done) done(reply.has_value());
               });
}

// A host that is too busy to answer would otherwise get a call for each change of a burst, and the
// connection is closed after a few calls that time out.
void MembershipGossip::PushRevision(const HostId& to) {
  if (!pushed_revisions_.emplace(to, membership_.revision).second) return;
  Push(to, [this, to](bool answered) {
    uint64_t pushed = pushed_revisions_.at(to);
    pushed_revisions_.erase(to);
    auto host = membership_.hosts.find(to);
    bool is_behind =
        host != membership_.hosts.end() && host->second.revision < membership_.revision;
    if (answered && is_behind && membership_.revision > pushed) PushRevision(to);
  });
}

void MembershipGossip::HandleChanges() {
  LogStatusChanges();
  for (const HostEntry& host : TakeDiscoveredHosts(&membership_)) {
    LogEvent(EventId::kHostFound, {{"host", host.id.value()},
                                   {"domain", host.domain.value()},
                                   {"address", host.rpc_address}});
    rpc_->AddPeer({host.id, host.rpc_address});
  }
  if (membership_.change_count == seen_change_) return;
  seen_change_ = membership_.change_count;
  on_change_();
}

void MembershipGossip::LogStatusChanges() {
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
                 {{"host", host}, {"ms", std::to_string(ToMillis(change.silent_for))}});
        break;
      case HostStatus::kLeaving:
        break;
    }
  }
}

void MembershipGossip::OnMessage(const HostId& from, const GossipMessage& message,
                                 const HostId& target, const RpcHandler::GossipAnswer& answer) {
  GossipMessage reply = OnGossip(&membership_, from, message, SteadyNow(), *rng_);
  HandleChanges();
  if (target.empty()) return answer(std::move(reply), false);
  rpc_->Gossip(target, MakeGossip(&membership_, target, *rng_), HostId(), kIndirectProbeTimeout,
               [this, target, reply, answer](std::optional<GossipReply> probed) {
                 if (probed) OnAck(&membership_, 0, target, probed->message, false, SteadyNow());
                 HandleChanges();
                 answer(reply, probed.has_value());
               });
}

void MembershipGossip::StartDrain() {
  SetLeaving(&membership_);
  HandleChanges();
  for (const HostId& host : rpc_->Connected()) Push(host);
}

void MembershipGossip::UpdateOverloaded(bool overloaded) {
  uint64_t before = membership_.change_count;
  SetOverloaded(&membership_, overloaded);
  if (membership_.change_count == before) return;
  HandleChanges();
  auto same_domain = [this](const Identity& peer) {
    return peer.domain == membership_.self.domain;
  };
  for (const HostId& host : PeersWhere(same_domain)) Push(host);
}

std::vector<HostId> MembershipGossip::PeersWhere(
    const std::function<bool(const Identity&)>& match) const {
  std::vector<HostId> hosts;
  for (const auto& [id, host] : membership_.hosts) {
    if (id == membership_.self.host) continue;
    if (match({id, host.entry.region, host.entry.domain})) hosts.push_back(id);
  }
  return hosts;
}

}  // namespace ebonylift
