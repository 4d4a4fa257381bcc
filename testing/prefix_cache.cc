#include "testing/prefix_cache.h"

#include "base/hash.h"

namespace ebonylift::standin {

int PrefixCache::LookupAndInsert(std::string_view text, std::vector<CacheChange>& changes) {
  int hit_tokens = 0;
  bool prefix_cached = true;
  uint64_t prefix_hash = 0;
  for (size_t offset = 0; offset + kBytesPerBlock <= text.size(); offset += kBytesPerBlock) {
    prefix_hash = Hash64(text.substr(offset, kBytesPerBlock), prefix_hash);
    auto found = entries_.find(prefix_hash);
    if (found != entries_.end()) {
      if (prefix_cached) hit_tokens += kTokensPerBlock;
      lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
      continue;
    }
    prefix_cached = false;
    if (capacity_blocks_ == 0) continue;
    lru_blocks_.push_front(prefix_hash);
    entries_[prefix_hash] = lru_blocks_.begin();
    changes.push_back({prefix_hash, true});
    if (entries_.size() <= capacity_blocks_) continue;
    changes.push_back({lru_blocks_.back(), false});
    entries_.erase(lru_blocks_.back());
    lru_blocks_.pop_back();
  }
  return hit_tokens;
}

}  // namespace ebonylift::standin
