#include "daemon/config_journal_records.h"

#include <string_view>
#include <utility>

#include "base/error.h"
#include "core/codec.h"

namespace ebonylift {
namespace {

enum class RecordKind : uint8_t { kConsensus = 1, kPulled = 2 };

void ReadSnapshot(std::string_view record, ConfigJournalContents* contents) {
  ByteReader reader(record);
  contents->consensus = DecodePersisted(reader.String());
  contents->pulled_tree = FromSnapshot(reader.String());
}

void ReadConsensusRecord(ByteReader* reader, ConfigJournalContents* contents) {
  PersistedState& state = contents->consensus;
  for (LogEntry& entry : DecodeEntries(reader->String())) {
    uint64_t last = state.base_index + state.log.size();
    if (entry.index <= state.base_index || entry.index > last + 1) {
      throw Error(ErrorKind::kStorageFailed,
                  "the journal is missing log entries before index " + std::to_string(entry.index));
    }
    state.log.resize(entry.index - state.base_index - 1);
    state.log.push_back(std::move(entry));
  }
  state.hard_state = DecodeHardState(reader->String());
}

void ReadRecord(std::string_view record, ConfigJournalContents* contents) {
  ByteReader reader(record);
  switch (static_cast<RecordKind>(reader.U8())) {
    case RecordKind::kConsensus:
      ReadConsensusRecord(&reader, contents);
      return;
    case RecordKind::kPulled:
      for (const StoredChange& change : DecodeChanges(reader.String())) {
        ApplyChange(&contents->pulled_tree, change);
      }
      return;
  }
  throw Error(ErrorKind::kStorageFailed, "unknown record kind in the configuration journal");
}

}  // namespace

std::string EncodeConsensusRecord(const Ready& ready, const HardState& hard_state) {
  ByteWriter writer;
  writer.U8(static_cast<uint8_t>(RecordKind::kConsensus));
  writer.String(EncodeEntries(ready.append));
  writer.String(EncodeHardState(hard_state));
  return writer.Take();
}

std::string EncodePulledRecord(const std::vector<StoredChange>& changes) {
  ByteWriter writer;
  writer.U8(static_cast<uint8_t>(RecordKind::kPulled));
  writer.String(EncodeChanges(changes));
  return writer.Take();
}

std::string EncodeJournalSnapshot(const PersistedState& consensus, const ConfigTree& pulled_tree) {
  ByteWriter writer;
  writer.String(EncodePersisted(consensus));
  writer.String(ToSnapshot(pulled_tree));
  return writer.Take();
}

ConfigJournalContents ReadConfigJournal(Journal* journal) {
  ConfigJournalContents contents;
  journal->Replay([&](std::string_view record, bool is_snapshot) {
    contents.empty = false;
    try {
      if (is_snapshot) {
        ReadSnapshot(record, &contents);
      } else {
        ReadRecord(record, &contents);
      }
    } catch (const Error& error) {
      throw Error(ErrorKind::kStorageFailed,
                  std::string("cannot read the configuration journal: ") + error.what());
    }
  });
  return contents;
}

}  // namespace ebonylift
