#include "core/prefix_index.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Returns the length in tokens of the prefix with this index.
int64_t TokensAt(const PromptPrefixes& prefixes, size_t index) {
  int64_t tokens = index < prefixes.tokens.size()
                       ? prefixes.tokens[index]
                       : static_cast<int64_t>(index + 1) * kPrefixBlockTokens;
  return std::min(tokens, prefixes.prompt_tokens);
}

bool HasCache(const std::vector<CacheHit>& hits, uint32_t cache_id) {
  return std::any_of(hits.begin(), hits.end(),
                     [&](const CacheHit& hit) { return hit.cache_id == cache_id; });
}

void EvictOldest(PrefixIndex& index) {
  index.caches.erase(index.order.front());
  index.order.pop_front();
}

}  // namespace

std::vector<CacheHit> PredictHits(const PrefixIndex& index, const PromptPrefixes& prefixes,
                                  Time now) {
  std::vector<CacheHit> hits;
  size_t count = std::min(prefixes.hashes.size(), kMaxPrefixHashes);
  for (size_t i = count; i-- > 0;) {
    auto found = index.caches.find(prefixes.hashes[i]);
    if (found == index.caches.end()) continue;
    for (const PrefixHolder& holder : found->second) {
      if (holder.cache_id == 0 || holder.expires_at <= now) continue;
      if (!HasCache(hits, holder.cache_id))
        hits.push_back({holder.cache_id, TokensAt(prefixes, i)});
    }
  }
  return hits;
}

void RecordPrefixes(PrefixIndex& index, const std::vector<uint64_t>& hashes, uint32_t cache_id,
                    Time now) {
  size_t count = std::min(hashes.size(), kMaxPrefixHashes);
  for (size_t i = 0; i < count; ++i) {
    auto [entry, added] = index.caches.try_emplace(hashes[i]);
    if (added) index.order.push_back(hashes[i]);
    auto& caches = entry->second;
    auto slot = std::find_if(caches.begin(), caches.end(), [&](const PrefixHolder& holder) {
      return holder.cache_id == cache_id;
    });
    if (slot == caches.end()) {
      slot = std::min_element(
          caches.begin(), caches.end(),
          [](const PrefixHolder& a, const PrefixHolder& b) { return a.expires_at < b.expires_at; });
    }
    *slot = {cache_id, now + kPrefixTtl};
    if (index.caches.size() > kMaxPrefixes) EvictOldest(index);
  }
}

}  // namespace ebonylift
