#ifndef EBONYLIFT_DAEMON_DURABLE_OUTBOX_H_
#define EBONYLIFT_DAEMON_DURABLE_OUTBOX_H_

// Consensus messages that wait for journal writes. A message is sent only after its own write and
// all earlier ones are durable. Not thread safe.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/consensus.h"

namespace ebonylift {

class DurableOutbox {
 public:
  // What is due after a write, or at once when `needs_write` is false.
  struct Item {
    bool needs_write = false;
    PersistMark mark;  // of the write
    std::vector<ConsensusMessage> send;
  };

  // Adds an item and returns the ID of its write; 0 when it needs none.
  uint64_t Add(Item item);

  // Whether the write is to be reported to OnWritten(), or was dropped by Clear().
  bool IsExpected(uint64_t write_id) const { return write_id >= first_expected_id_; }

  // Records that a write is durable.
  void OnWritten(uint64_t write_id);

  // Removes and returns the oldest item if everything that it waits for is durable.
  std::optional<Item> TakeNext();

  // Drops all items after a failed write. Their writes are no longer expected.
  void Clear();

 private:
  struct Entry {
    Item item;
    uint64_t write_id = 0;  // 0: nothing to write
    bool durable = false;
  };

  std::deque<Entry> entries_;
  uint64_t next_id_ = 1;
  uint64_t first_expected_id_ = 1;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DURABLE_OUTBOX_H_
