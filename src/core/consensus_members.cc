#include "core/consensus_members.h"

#include <iterator>
#include <set>
#include <string>

namespace ebonylift::consensus {

namespace {

std::string FormatMembers(const MemberSet& members) {
  std::string text;
  for (const HostId& host : members.voters) text += (text.empty() ? "" : ",") + host.value();
  for (const HostId& host : members.learners) text += "," + host.value() + "(learner)";
  return text;
}

}  // namespace

bool IsMember(const MemberSet& members, const HostId& host) {
  return members.voters.count(host) != 0 || members.learners.count(host) != 0;
}

size_t QuorumSize(const Consensus& s) { return s.members.voters.size() / 2 + 1; }

MemberSet MembersAt(const Consensus& s, uint64_t index) {
  for (auto it = s.log.rbegin(); it != s.log.rend(); ++it) {
    if (it->index <= index && it->kind == EntryKind::kMembers) return DecodeMembers(it->data);
  }
  return s.base_members;
}

void LoadMembersFromLog(Consensus* s) {
  s->members = s->base_members;
  s->members_index = s->base_index;
  for (auto it = s->log.rbegin(); it != s->log.rend(); ++it) {
    if (it->kind != EntryKind::kMembers) continue;
    s->members = DecodeMembers(it->data);
    s->members_index = it->index;
    return;
  }
}

void UpdateMembers(Context& c) {
  MemberSet before = c.s.members;
  LoadMembersFromLog(&c.s);
  if (before == c.s.members) return;
  AddNotice(c, NoticeKind::kMembersChanged, FormatMembers(c.s.members));
  if (c.s.role == Role::kLeader) UpdateProgressHosts(c);
}

void UpdateProgressHosts(Context& c) {
  for (const std::set<HostId>* hosts : {&c.s.members.voters, &c.s.members.learners}) {
    for (const HostId& host : *hosts) {
      if (host == c.s.self) continue;
      auto [it, added] = c.s.progress.try_emplace(host);
      if (added) it->second.next = LastIndex(c.s) + 1;
      it->second.removed_at.reset();
    }
  }
  for (auto& [host, progress] : c.s.progress) {
    if (!IsMember(c.s.members, host) && !progress.removed_at) progress.removed_at = c.now;
  }
}

void DropRemovedHosts(Context& c) {
  for (auto it = c.s.progress.begin(); it != c.s.progress.end();) {
    bool expired =
        it->second.removed_at && c.now - *it->second.removed_at > kRemovedMemberRetention;
    it = expired ? c.s.progress.erase(it) : std::next(it);
  }
}

}  // namespace ebonylift::consensus
