#ifndef EBONYLIFT_CORE_ALIVE_SETS_H_
#define EBONYLIFT_CORE_ALIVE_SETS_H_

// Tells other hosts which backend servers announced themselves again without any change, at a bit
// for each server.
//
// The sender numbers the servers by their AnnouncementKey(). A message has the keys that its
// receiver has not been sent yet, and a set of numbers. A receiver that lacks keys, because a
// message was lost or because it has started, reports a gap; it is then sent all keys again. The
// generation changes when the sender numbers the servers anew.
//
// Not thread safe. Memory: at most kMaxNumberedServers keys for a sender, and for each sender that
// a receiver hears.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace ebonylift {

// Keys of servers that have ended or changed keep their numbers until this many are in use.
constexpr size_t kMaxNumberedServers = 8192;

struct AliveNumbering {
  uint64_t generation = 0;
  std::vector<uint64_t> keys;                    // by number
  std::unordered_map<uint64_t, size_t> numbers;  // by key
};

// Returns the number of the key. May start a new generation, in which earlier numbers are not
// valid.
size_t NumberOfKey(AliveNumbering* numbering, uint64_t key);

// Encodes the set of `numbers` for a receiver that has the first `known` keys. `age` is the time
// since the oldest announcement of the set.
std::string WriteAliveSet(const AliveNumbering& numbering, size_t known,
                          const std::vector<size_t>& numbers, Duration age);

// The keys that a receiver has from one sender.
struct AliveKeys {
  uint64_t generation = 0;
  std::vector<uint64_t> keys;
};

struct AliveSet {
  std::vector<uint64_t> keys;
  Duration age{0};
};

// Returns nullopt if keys are missing or the message is malformed; then the receiver forgets the
// keys of this sender.
std::optional<AliveSet> ReadAliveSet(AliveKeys* known, std::string_view bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ALIVE_SETS_H_
