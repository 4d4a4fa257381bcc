#include "core/proven_contents.h"

#include <utility>

namespace ebonylift {

void MarkProven(ProvenContents& proven, uint64_t content, Time now) {
  bool interval_over = now - proven.interval_start >= kProvenInterval;
  if (interval_over || proven.current.size() >= kMaxProvenContents) {
    bool previous_is_recent = now - proven.interval_start < 2 * kProvenInterval;
    proven.previous = std::exchange(proven.current, {});
    if (!previous_is_recent) proven.previous.clear();
    proven.interval_start = now;
  }
  proven.current.insert(content);
}

bool IsProven(const ProvenContents& proven, uint64_t content, Time now) {
  if (now - proven.interval_start >= 2 * kProvenInterval) return false;
  return proven.current.count(content) != 0 || proven.previous.count(content) != 0;
}

}  // namespace ebonylift
