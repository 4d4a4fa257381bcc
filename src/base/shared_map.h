#ifndef EBONYLIFT_BASE_SHARED_MAP_H_
#define EBONYLIFT_BASE_SHARED_MAP_H_

// A copy-on-write map: copying it is cheap, because copies share their unmodified entries.
//
// The entries are distributed by the hash of the key over kShards ordered maps (shards). A copy
// shares all shards with its source; a modification first copies the one shard that it affects if
// another map shares it. The configuration is copied for each change, and a full copy for 28,000
// teams took 20 ms and 50 MB.
//
// Thread safety: any number of threads may read the same map, and maps that share shards may be
// read and copied on different threads. A map may be modified only if it shares no shard with
// another map, or if it is a new copy whose source outlives the modifications. This ensures that a
// shard that is modified in place is not read by another thread.
//
// Iterators stay valid until the map is modified. The iteration order is not the key order.

#include <array>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <stdexcept>
#include <utility>

namespace ebonylift {

template <typename Key, typename Value>
class SharedMap {
 public:
  using Shard = std::map<Key, Value>;
  using value_type = typename Shard::value_type;
  static constexpr size_t kShards = 256;

  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = typename Shard::value_type;
    using difference_type = std::ptrdiff_t;
    using pointer = const value_type*;
    using reference = const value_type&;

    Iterator() = default;
    reference operator*() const { return *entry_; }
    pointer operator->() const { return &*entry_; }
    Iterator& operator++() {
      ++entry_;
      SkipExhaustedShards();
      return *this;
    }
    Iterator operator++(int) {
      Iterator before = *this;
      ++*this;
      return before;
    }
    friend bool operator==(const Iterator& a, const Iterator& b) {
      return a.shard_ == b.shard_ && (a.shard_ == kShards || a.entry_ == b.entry_);
    }
    friend bool operator!=(const Iterator& a, const Iterator& b) { return !(a == b); }

   private:
    friend class SharedMap;
    Iterator(const SharedMap* map, size_t shard) : map_(map), shard_(shard) {}
    Iterator(const SharedMap* map, size_t shard, typename Shard::const_iterator entry)
        : map_(map), shard_(shard), entry_(entry) {}

    // If entry_ is at the end of its shard, advances to the first entry of the next non-empty
    // shard, or to end().
    void SkipExhaustedShards() {
      while (shard_ < kShards &&
             (!map_->shards_[shard_] || entry_ == map_->shards_[shard_]->end())) {
        ++shard_;
        if (shard_ < kShards && map_->shards_[shard_]) entry_ = map_->shards_[shard_]->begin();
      }
    }

    const SharedMap* map_ = nullptr;
    size_t shard_ = kShards;
    typename Shard::const_iterator entry_;
  };

  Iterator begin() const {
    Iterator it(this, 0);
    if (shards_[0]) it.entry_ = shards_[0]->begin();
    it.SkipExhaustedShards();
    return it;
  }
  Iterator end() const { return Iterator(this, kShards); }

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  size_t count(const Key& key) const { return find(key) == end() ? 0 : 1; }

  Iterator find(const Key& key) const {
    size_t shard = ShardIndex(key);
    if (!shards_[shard]) return end();
    auto entry = shards_[shard]->find(key);
    if (entry == shards_[shard]->end()) return end();
    return Iterator(this, shard, entry);
  }

  // Throws std::out_of_range if the key does not exist.
  const Value& at(const Key& key) const {
    Iterator entry = find(key);
    if (entry == end()) throw std::out_of_range("SharedMap: the key does not exist");
    return entry->second;
  }

  // Inserts a default-constructed value if the key does not exist. Do not write through the
  // reference once the map has been copied: the copy would be modified too.
  Value& operator[](const Key& key) {
    Shard& shard = MutableShard(ShardIndex(key));
    auto [entry, added] = shard.try_emplace(key);
    if (added) ++size_;
    return entry->second;
  }

  // Returns the number of removed entries: 0 or 1.
  size_t erase(const Key& key) {
    if (find(key) == end()) return 0;
    --size_;
    return MutableShard(ShardIndex(key)).erase(key);
  }

 private:
  static size_t ShardIndex(const Key& key) { return std::hash<Key>()(key) % kShards; }

  // Returns a shard that no other map shares, for modification.
  Shard& MutableShard(size_t index) {
    std::shared_ptr<Shard>& shard = shards_[index];
    if (!shard) {
      shard = std::make_shared<Shard>();
    } else if (shard.use_count() > 1) {
      shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
  }

  std::array<std::shared_ptr<Shard>, kShards> shards_;
  size_t size_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_SHARED_MAP_H_
