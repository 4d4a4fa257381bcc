#ifndef EBONYLIFT_CORE_PROVEN_CONTENTS_H_
#define EBONYLIFT_CORE_PROVEN_CONTENTS_H_

// Remembers contents (core/poison.h) that a backend server has answered recently and survived.
//
// Not thread safe. Memory: two sets of at most kMaxProvenContents hashes.

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "base/time.h"

namespace ebonylift {

constexpr size_t kMaxProvenContents = 8'192;
// A content is remembered for one to two times this long after its last answer.
constexpr Duration kProvenInterval = seconds(30);

struct ProvenContents {
  std::unordered_set<uint64_t> current;
  std::unordered_set<uint64_t> previous;  // of the interval before
  Time interval_start;
};

// Records that a server has answered a request with this content.
void MarkProven(ProvenContents& proven, uint64_t content, Time now);

bool IsProven(const ProvenContents& proven, uint64_t content, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PROVEN_CONTENTS_H_
