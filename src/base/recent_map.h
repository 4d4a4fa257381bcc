#ifndef EBONYLIFT_BASE_RECENT_MAP_H_
#define EBONYLIFT_BASE_RECENT_MAP_H_

// A map that forgets: each entry is kept for one to two intervals after it was last set.
//
// The entries of the current and of the previous interval are two hash maps, so that forgetting
// costs nothing for each entry. When an interval has `max_entries` entries it ends early.
//
// Not thread safe. Memory: two maps of at most `max_entries` entries.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace ebonylift {

// Keys are hashes. Value must be copyable.
template <typename Value>
class RecentMap {
 public:
  RecentMap(Duration interval, size_t max_entries)
      : interval_(interval), max_entries_(max_entries) {}

  void Set(uint64_t key, Value value, Time now) {
    if (now - interval_start_ >= interval_ || current_.size() >= max_entries_) {
      bool current_is_recent = now - interval_start_ < 2 * interval_;
      previous_ = std::exchange(current_, {});
      if (!current_is_recent) previous_.clear();
      interval_start_ = now;
    }
    current_.insert_or_assign(key, std::move(value));
  }

  // Returns null if there is no such entry. The pointer is valid until the next Set().
  const Value* Find(uint64_t key, Time now) const {
    Duration age = now - interval_start_;
    if (age >= 2 * interval_) return nullptr;
    auto found = current_.find(key);
    if (found != current_.end()) return &found->second;
    // When nothing was set for a while, the entries of the previous interval are too old.
    if (age >= interval_) return nullptr;
    found = previous_.find(key);
    return found == previous_.end() ? nullptr : &found->second;
  }

 private:
  Duration interval_;
  size_t max_entries_;
  std::unordered_map<uint64_t, Value> current_;
  std::unordered_map<uint64_t, Value> previous_;
  Time interval_start_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_RECENT_MAP_H_
