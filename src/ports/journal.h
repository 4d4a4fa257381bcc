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
  // `ok` is false when the record may not be durable. The caller must then not rely on it, although
  // a later Replay() may still return it.
  using Done = std::function<void(bool ok)>;

  virtual ~Journal() = default;

  // Calls `fn` for the snapshot (if there is one) and then for each record in order.
  // Precondition: Append() was not called yet. Throws Error(kStorageFailed) when the file is
  // damaged anywhere but at its end; an incomplete last record is removed and logged.
  virtual void Replay(const std::function<void(std::string_view record, bool is_snapshot)>& fn) = 0;

  // Appends a record; `done` runs on the journal thread after the record is synced to disk. Records
  // become durable in the order of the calls. Thread safe.
  virtual void Append(std::string record, Done done) = 0;

  // Replaces the snapshot and all records appended before this call by `snapshot`. After a crash
  // either the old or the new contents are there. `done` runs on the journal thread. Thread safe.
  virtual void Compact(std::string snapshot, Done done) = 0;

  // True when the journal existed at an earlier start and its contents are gone. Precondition:
  // Replay() has returned.
  virtual bool LostContents() const { return false; }

  // Returns the current size of the files in bytes. Thread safe.
  virtual uint64_t SizeBytes() const = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_PORTS_JOURNAL_H_
