#include "core/consensus_log.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "core/consensus_members.h"

namespace ebonylift::consensus {

std::optional<uint64_t> TermAt(const Consensus& s, uint64_t index) {
  if (index == s.base_index) return s.base_term;
  if (index < s.base_index || index > s.base_index + s.log.size()) return std::nullopt;
  return s.log[index - s.base_index - 1].term;
}

uint64_t LastTerm(const Consensus& s) { return s.log.empty() ? s.base_term : s.log.back().term; }

void AppendEntry(Context& c, LogEntry entry) {
  bool changes_members = entry.kind == EntryKind::kMembers;
  c.ready.append.push_back(entry);
  c.s.log.push_back(std::move(entry));
  if (changes_members) UpdateMembers(c);
}

LogEntry& AppendNewEntry(Context& c, EntryKind kind, std::string data) {
  LogEntry entry;
  entry.index = LastIndex(c.s) + 1;
  entry.term = c.s.hard_state.term;
  entry.kind = kind;
  entry.data = std::move(data);
  AppendEntry(c, std::move(entry));
  return c.s.log.back();
}

void TruncateFrom(Context& c, uint64_t index) {
  if (index <= c.s.hard_state.commit) {
    throw Error(ErrorKind::kInternal, "log conflict with the leader at a committed entry");
  }
  c.s.log.resize(index - c.s.base_index - 1);
  c.s.durable_index = std::min(c.s.durable_index, index - 1);
  UpdateMembers(c);
}

void SetCommit(Context& c, uint64_t commit) {
  if (commit <= c.s.hard_state.commit) return;
  c.s.hard_state.commit = commit;
  c.ready.hard_state_changed = true;
}

}  // namespace ebonylift::consensus
