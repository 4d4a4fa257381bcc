#ifndef EBONYLIFT_DAEMON_CONDEMNED_STORE_H_
#define EBONYLIFT_DAEMON_CONDEMNED_STORE_H_

// Stores the condemned contents (core/poison.h) that a host knows on its disk, so that they are not
// run again after all hosts were killed at once. Suspects that are not condemned are not stored.
//
// A failed write is logged by the journal; the next condemned content leads to another attempt.
//
// Load() is called once, before any other method and on one thread. Add() and Remove() are thread
// safe and do not wait for the disk. Memory: kMaxSuspects entries of 16 bytes, and one encoded list
// for each write that has not ended.

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/poison.h"
#include "ports/journal.h"

namespace ebonylift {

class CondemnedStore {
 public:
  // `journal` may be null; nothing is stored then.
  explicit CondemnedStore(std::shared_ptr<Journal> journal) : journal_(std::move(journal)) {}

  // Returns the stored contents that have not expired at `now`, with their ages by the wall clock.
  // A file that cannot be read is logged and counts as empty; nothing is stored from then on.
  std::vector<KnownSuspect> Load(WallMillis now);

  // Stores a content that was condemned.
  void Add(const KnownSuspect& condemned, WallMillis now);

  // Removes a content whose condemnation was revoked; does nothing if it is not stored.
  void Remove(uint64_t content, WallMillis now);

 private:
  void RemoveExpired(WallMillis now);
  std::string Encode() const;

  std::shared_ptr<Journal> journal_;
  std::mutex mutex_;                            // guards last_losses_
  std::map<uint64_t, WallMillis> last_losses_;  // time of the last loss, by content
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONDEMNED_STORE_H_
