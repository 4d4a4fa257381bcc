#include "base/log_limit.h"

#include <algorithm>

namespace ebonylift {

bool TryTakeLine(LogTokenBucket& bucket, Time now) {
  if (bucket.refilled_at == Time()) bucket.available_lines = bucket.lines_per_second;
  double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.available_lines =
      std::min(bucket.available_lines + std::max(elapsed, 0.0) * bucket.lines_per_second,
               bucket.lines_per_second);
  bucket.refilled_at = now;
  if (bucket.available_lines < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.available_lines -= 1;
  return true;
}

}  // namespace ebonylift
