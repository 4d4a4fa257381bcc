#ifndef EBONYLIFT_TESTING_PREFIX_CACHE_H_
#define EBONYLIFT_TESTING_PREFIX_CACHE_H_

// Prefix cache of the engine stand-in. It holds blocks of prompt text, each identified by the hash
// of the whole prefix up to the end of the block, and evicts the least recently used one. Memory is
// bounded by the capacity.

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
  uint64_t block = 0;   // hash of the prefix that ends with the block
  bool stored = false;  // false: evicted
};

class PrefixCache {
 public:
  explicit PrefixCache(int64_t capacity_tokens)
      : capacity_blocks_(static_cast<size_t>(capacity_tokens / kTokensPerBlock)) {}

  // Returns the number of tokens in the longest cached prefix of `text` and stores all complete
  // blocks of `text`. Appends the stored and evicted blocks to `changes`.
  int LookupAndInsert(std::string_view text, std::vector<CacheChange>& changes);

  size_t blocks() const { return entries_.size(); }

 private:
  size_t capacity_blocks_;
  std::list<uint64_t> lru_blocks_;  // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_PREFIX_CACHE_H_
