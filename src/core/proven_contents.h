#ifndef EBONYLIFT_CORE_PROVEN_CONTENTS_H_
#define EBONYLIFT_CORE_PROVEN_CONTENTS_H_

// Remembers contents (core/poison.h) that a backend server has answered recently and survived.
//
// Not thread safe. Memory: see base/recent_map.h.

#include <cstddef>
#include <variant>

#include "base/recent_map.h"
#include "base/time.h"

namespace ebonylift {

constexpr size_t kMaxProvenContents = 8'192;
// A content is remembered for one to two times this long after its last answer.
constexpr Duration kProvenInterval = seconds(30);

struct ProvenContents {
  RecentMap<std::monostate> answered{kProvenInterval, kMaxProvenContents};
};

// Records that a server has answered a request with this content.
inline void MarkProven(ProvenContents& proven, uint64_t content, Time now) {
  proven.answered.Set(content, {}, now);
}

inline bool IsProven(const ProvenContents& proven, uint64_t content, Time now) {
  return proven.answered.Find(content, now) != nullptr;
}

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_PROVEN_CONTENTS_H_
