#include "core/consensus_disks.h"

#include <set>
#include <string>

#include "core/codec.h"
#include "core/consensus_log.h"
#include "core/consensus_members.h"
#include "core/consensus_roles.h"
#include "core/consensus_sending.h"

namespace ebonylift::consensus {

namespace {

// Marks a peer's disk ID in HardState::peer_disk_ids that was recorded from a kRejoin entry.
constexpr char kRejoinedPrefix[] = "rejoined:";
// How long after proposing a kRejoin entry the leader may propose it again.
constexpr Duration kRejoinRetryInterval = milliseconds(2'000);
constexpr Duration kMaxFirstElectionDelay = milliseconds(400);

// Proposes the kRejoin entry that confirms `disk_id` on `host`.
void MaybeProposeRejoin(Context& c, const HostId& host, const std::string& disk_id) {
  if (c.s.role != Role::kLeader || !CanPropose(c.s) || !IsMember(c.s.members, host)) return;
  auto found = c.s.progress.find(host);
  if (found == c.s.progress.end()) return;
  Progress& progress = found->second;
  // A host that is far behind would receive the entry as part of a snapshot and not apply it.
  if (progress.confirmed || progress.match + kMaxAppendEntries < c.s.hard_state.commit) return;
  if (progress.match < c.s.base_index) return;
  bool proposed_recently = progress.rejoin_proposed_at != Time() &&
                           c.now - progress.rejoin_proposed_at < kRejoinRetryInterval;
  if (proposed_recently) return;
  progress.rejoin_proposed_at = c.now;
  ByteWriter writer;
  writer.String(host.value());
  writer.String(disk_id);
  AppendNewEntry(c, EntryKind::kRejoin, writer.Take());
  Broadcast(c);
}

}  // namespace

void SendHellos(Context& c) {
  if (c.now < c.s.hello_due) return;
  c.s.hello_due = c.now + kHelloInterval;
  std::set<HostId> hosts = c.s.members.voters;
  if (!c.s.leader.empty()) hosts.insert(c.s.leader);
  for (const HostId& host : hosts) {
    if (host != c.s.self) Send(c, host, Hello{c.s.hard_state.disk_id});
  }
}

void MaybeConfirmFirstStart(Context& c) {
  if (c.s.hard_state.confirmed || !c.s.hard_state.may_bootstrap || LastIndex(c.s) != 0) return;
  if (c.s.members.voters.count(c.s.self) == 0) return;
  for (const HostId& host : c.s.members.voters) {
    if (host == c.s.self) continue;
    auto found = c.s.hello_replies.find(host);
    if (found == c.s.hello_replies.end()) return;
    if (!found->second.is_new && found->second.known_disk_id != c.s.hard_state.disk_id) return;
  }
  c.s.hard_state.confirmed = true;
  for (const auto& [host, reply] : c.s.hello_replies)
    c.s.hard_state.peer_disk_ids[host] = reply.disk_id;
  c.ready.hard_state_changed = true;
  // This disk has never helped to elect a leader, so no lease can depend on it and this host need
  // not wait for kMinElectionTimeout.
  c.s.last_leader_contact = c.now - kMinElectionTimeout;
  c.s.election_due = RandomDeadline(c, Duration(0), kMaxFirstElectionDelay);
  AddNotice(c, NoticeKind::kConfirmed, "confirmed at the first start");
}

void ApplyRejoin(Context& c, const LogEntry& entry) {
  ByteReader reader(entry.data);
  HostId host(reader.String());
  std::string disk_id = reader.String();
  if (host != c.s.self) {
    c.s.hard_state.peer_disk_ids[host] = kRejoinedPrefix + disk_id;
    c.ready.hard_state_changed = true;
  } else if (disk_id == c.s.hard_state.disk_id && !c.s.hard_state.confirmed) {
    c.s.hard_state.confirmed = true;
    c.s.disk_lost = false;
    c.ready.hard_state_changed = true;
    AddNotice(c, NoticeKind::kConfirmed,
              "rejoin committed at index " + std::to_string(entry.index));
  }
}

void OnHello(Context& c, const ConsensusMessage& m, const Hello& hello) {
  HelloReply reply;
  reply.hello_disk_id = hello.disk_id;
  reply.disk_id = c.s.hard_state.disk_id;
  reply.is_new = !c.s.hard_state.confirmed && LastIndex(c.s) == 0 && c.s.hard_state.may_bootstrap;
  auto known = c.s.hard_state.peer_disk_ids.find(m.from);
  if (known != c.s.hard_state.peer_disk_ids.end()) reply.known_disk_id = known->second;
  Send(c, m.from, reply);
  MaybeProposeRejoin(c, m.from, hello.disk_id);
}

void OnHelloReply(Context& c, const ConsensusMessage& m, const HelloReply& reply) {
  if (c.s.hard_state.confirmed || reply.hello_disk_id != c.s.hard_state.disk_id) return;
  c.s.hello_replies[m.from] = reply;
  bool other_disk = !reply.known_disk_id.empty() && reply.known_disk_id != c.s.hard_state.disk_id &&
                    reply.known_disk_id != kRejoinedPrefix + c.s.hard_state.disk_id;
  if (other_disk && !c.s.disk_lost) {
    c.s.disk_lost = true;
    AddNotice(c, NoticeKind::kDiskLost, "another disk is recorded on " + m.from.value());
  }
  MaybeConfirmFirstStart(c);
}

}  // namespace ebonylift::consensus
