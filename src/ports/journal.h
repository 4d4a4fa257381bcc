#ifndef EBONYLIFT_PORTS_JOURNAL_H_
#define EBONYLIFT_PORTS_JOURNAL_H_

// A durable, append-only sequence of records with snapshots.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ebonylift {

class Journal {
 public:
  // `ok` is false when the record may not be durable; it must then not be relied on, although it
  // may appear in a later Replay().
  using Done = std::function<void(bool ok)>;

  virtual ~Journal() = default;

  // Calls `fn` for the snapshot (if there is one) and then for each record in order.
  // Precondition: no Append() yet. Throws Error(kStorageFailed) when the file is damaged before its
  // end; an incomplete last record is removed and logged.
  virtual void Replay(const std::function<void(std::string_view record, bool is_snapshot)>& fn) = 0;

  // Appends a record; `done` runs on the journal thread after the record is synced. Records become
  // durable in the order of the calls. Thread safe.
  virtual void Append(std::string record, Done done) = 0;

  // Replaces all records appended before this call by `snapshot`. Atomic under a crash.
  // Thread safe; `done` runs on the journal thread.
  virtual void Compact(std::string snapshot, Done done) = 0;

  // True when the journal was set up before and its contents are gone. Precondition: after
  // Replay().
  virtual bool LostContents() const { return false; }

  // Bytes in the files now. Thread safe.
  virtual uint64_t SizeBytes() const = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_PORTS_JOURNAL_H_
