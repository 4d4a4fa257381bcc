#include "testing/prefix_cache.h"

#include "base/hash.h"

namespace ebonylift::standin {

int PrefixCache::Use(std::string_view text, std::vector<CacheChange>& changes) {
  int hit_tokens = 0;
  bool hit = true;
  uint64_t prefix = 0;
  for (size_t at = 0; at + kBytesPerBlock <= text.size(); at += kBytesPerBlock) {
    prefix = Hash64(text.substr(at, kBytesPerBlock), prefix);
    auto found = entries_.find(prefix);
    if (found != entries_.end()) {
      if (hit) hit_tokens += kTokensPerBlock;
      recent_.splice(recent_.begin(), recent_, found->second);
      continue;
    }
    hit = false;
    if (capacity_blocks_ == 0) continue;
    recent_.push_front(prefix);
    entries_[prefix] = recent_.begin();
    changes.push_back({prefix, true});
    if (entries_.size() <= capacity_blocks_) continue;
    changes.push_back({recent_.back(), false});
    entries_.erase(recent_.back());
    recent_.pop_back();
  }
  return hit_tokens;
}

}  // namespace ebonylift::standin
