#ifndef EBONYLIFT_TESTING_PREFIX_CACHE_H_
#define EBONYLIFT_TESTING_PREFIX_CACHE_H_

// Prefix cache of the engine stand-in: blocks of prompt text, each identified by the hash of the
// whole prefix up to its end, with least-recently-used eviction. Memory is bounded by the capacity.

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebonylift::standin {

constexpr int kTokensPerBlock = 16;
constexpr size_t kBytesPerBlock = kTokensPerBlock * 4;

struct CacheChange {
  uint64_t block = 0;
  bool stored = false;  // false: evicted
};

class PrefixCache {
 public:
  explicit PrefixCache(int64_t capacity_tokens)
      : capacity_blocks_(static_cast<size_t>(capacity_tokens / kTokensPerBlock)) {}

  // Returns the tokens of the longest cached prefix of `text`, then stores all whole blocks of it.
  // Appends what was stored and evicted to `changes`.
  int Use(std::string_view text, std::vector<CacheChange>& changes);

  size_t blocks() const { return entries_.size(); }

 private:
  size_t capacity_blocks_;
  std::list<uint64_t> recent_;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_PREFIX_CACHE_H_
