#ifndef EBONYLIFT_CORE_PREFIX_INDEX_H_
#define EBONYLIFT_CORE_PREFIX_INDEX_H_

// What this host expects in the prefix caches of backend servers, from what it sent there.
//
// Not thread safe. Memory: at most kMaxPrefixes hashes with kServersPerPrefix caches each.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace ebonylift {

constexpr int64_t kPrefixBlockTokens = 128;  // tokens that each prefix hash adds to the one before
constexpr size_t kMaxPrefixHashes = 64;      // hashes of one request that are looked at
constexpr size_t kMaxPrefixes = 65'536;
constexpr size_t kServersPerPrefix = 4;
constexpr Duration kPrefixTtl = seconds(300);

// The prefixes of one prompt, shortest first.
struct PromptPrefixes {
  const std::vector<uint64_t>& hashes;
  const std::vector<int64_t>&
      tokens;                 // of each; empty: kPrefixBlockTokens more than the one before
  int64_t prompt_tokens = 0;  // no prefix counts for more
};

struct PrefixHolder {
  uint32_t cache_id = 0;  // 0: none
  Time expires_at;
};

struct PrefixIndex {
  std::unordered_map<uint64_t, std::array<PrefixHolder, kServersPerPrefix>> holders;
  std::deque<uint64_t> order;  // oldest hash first, for eviction
};

// The longest prefix that a cache is expected to hold.
struct CacheHit {
  uint32_t cache_id = 0;
  int64_t tokens = 0;
};

// One entry for each cache that is expected to hold a part of the prompt.
std::vector<CacheHit> PredictHits(const PrefixIndex& index, const PromptPrefixes& prefixes,
                                  Time now);

// The prefixes are expected in the cache from now on.
void ExpectPrefixes(PrefixIndex& index, const std::vector<uint64_t>& hashes, uint32_t cache_id,
                    Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PREFIX_INDEX_H_
