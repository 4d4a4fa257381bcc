#ifndef EBONYLIFT_CORE_CONSENSUS_LOG_H_
#define EBONYLIFT_CORE_CONSENSUS_LOG_H_

// The log entries after the base, and the commit index.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include <cstdint>
#include <optional>
#include <string>

#include "core/consensus.h"
#include "core/consensus_context.h"

namespace ebonylift::consensus {

// Returns the term of the entry at `index`, or nullopt when the log does not have it. The base
// counts as an entry.
std::optional<uint64_t> TermAt(const Consensus& s, uint64_t index);

// Returns the term of the entry at LastIndex().
uint64_t LastTerm(const Consensus& s);

// Appends an entry, which the caller of the input function persists. Precondition: its index
// follows the last one.
void AppendEntry(Context& c, LogEntry entry);

// Appends a new entry of the current term on the leader.
LogEntry& AppendNewEntry(Context& c, EntryKind kind, std::string data);

// Removes the entries from `index` on, which conflict with those of the leader. Throws
// Error(kInternal) when one of them is committed.
void TruncateFrom(Context& c, uint64_t index);

// Records that the entries up to `commit` are committed; ignores an older index.
void SetCommit(Context& c, uint64_t commit);

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_LOG_H_
