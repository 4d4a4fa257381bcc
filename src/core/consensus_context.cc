#include "core/consensus_context.h"

namespace ebonylift::consensus {

void AddNotice(Context& c, NoticeKind kind, std::string details) {
  c.ready.notices.push_back({kind, std::move(details)});
}

Time RandomDeadline(Context& c, Duration min_delay, Duration max_extra) {
  std::uniform_int_distribution<int64_t> extra(0, max_extra.count());
  return c.now + min_delay + microseconds(extra(c.rng));
}

}  // namespace ebonylift::consensus
