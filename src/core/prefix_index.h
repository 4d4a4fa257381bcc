#ifndef EBONYLIFT_CORE_PREFIX_INDEX_H_
#define EBONYLIFT_CORE_PREFIX_INDEX_H_

// Predicts the contents of the backend servers' prefix caches from the requests that this host sent
// to them.
//
// Not thread-safe. Memory: at most kMaxPrefixes hashes with kCachesPerPrefix caches each.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace ebonylift {

constexpr int64_t kPrefixBlockTokens = 128;  // tokens that each prefix adds to the previous one
constexpr size_t kMaxPrefixHashes = 64;      // hashes used of each request
constexpr size_t kMaxPrefixes = 65'536;
constexpr size_t kCachesPerPrefix = 4;
constexpr Duration kPrefixTtl = seconds(300);

// The prefixes of one prompt, shortest first.
struct PromptPrefixes {
  const std::vector<uint64_t>& hashes;
  // The length of each prefix; empty: each is kPrefixBlockTokens longer than the previous one.
  const std::vector<int64_t>& tokens;
  int64_t prompt_tokens = 0;  // upper bound on the length of every prefix
};

// A cache that is expected to hold a prefix.
struct PrefixHolder {
  uint32_t cache_id = 0;  // 0: unused
  Time expires_at;
};

struct PrefixIndex {
  std::unordered_map<uint64_t, std::array<PrefixHolder, kCachesPerPrefix>> caches;
  std::deque<uint64_t> order;  // hashes in order of insertion, for eviction
};

// The longest prefix of a prompt that a cache is expected to hold.
struct CacheHit {
  uint32_t cache_id = 0;
  int64_t tokens = 0;
};

// Returns one entry for each cache that is expected to hold a prefix of the prompt.
std::vector<CacheHit> PredictHits(const PrefixIndex& index, const PromptPrefixes& prefixes,
                                  Time now);

// Records that the cache is expected to hold these prefixes until kPrefixTtl from now.
void RecordPrefixes(PrefixIndex& index, const std::vector<uint64_t>& hashes, uint32_t cache_id,
                    Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PREFIX_INDEX_H_
