#ifndef EBONYLIFT_DAEMON_CONFIG_JOURNAL_RECORDS_H_
#define EBONYLIFT_DAEMON_CONFIG_JOURNAL_RECORDS_H_

// The format of the journal of a configuration replica.
//
// The journal starts with a snapshot of the consensus state and of the tree of pulled revisions.
// Each record after it adds either log entries with the hard state of the consensus, or pulled
// changes. All functions are thread safe.

#include <string>
#include <vector>

#include "core/config_tree.h"
#include "core/consensus.h"
#include "ports/control_port.h"
#include "ports/journal.h"

namespace ebonylift {

// What ReadConfigJournal() found.
struct ConfigJournalContents {
  bool empty = true;  // the journal has neither a snapshot nor a record
  PersistedState consensus;
  ConfigTree pulled_tree;
};

// Encodes the log entries of `ready`, which may be none, and the hard state.
std::string EncodeConsensusRecord(const Ready& ready, const HardState& hard_state);

// Encodes changes that were pulled from a peer. They apply to the pulled tree of the journal.
std::string EncodePulledRecord(const std::vector<StoredChange>& changes);

// Encodes the whole state.
std::string EncodeJournalSnapshot(const PersistedState& consensus, const ConfigTree& pulled_tree);

// Replays the journal. Throws Error(kStorageFailed) when a record is malformed, unknown or does not
// continue the log, and the errors of Journal::Replay().
ConfigJournalContents ReadConfigJournal(Journal* journal);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_JOURNAL_RECORDS_H_
