#ifndef EBONYLIFT_DAEMON_TIMELINE_MERGE_H_
#define EBONYLIFT_DAEMON_TIMELINE_MERGE_H_

// Merges the events of several daemons into one timeline.
//
// Every daemon returns one page of its events. A page may be cut off because of its size, so the
// merged timeline ends where the first page that was cut off ends: events after that time may be
// missing, and the caller asks again from there.
//
// Memory: at most kMaxTimelineEvents events in all pages together, or kMinTimelinePage for each
// daemon if that is more; and kTimelinePageBytes for each page.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapters/rpc.h"
#include "base/event.h"

namespace ebonylift {

// Limit for all pages of one merged timeline together.
constexpr size_t kMaxTimelineEvents = 50'000;
constexpr size_t kMinTimelinePage = 100;  // events
constexpr size_t kTimelinePageBytes = 4 << 20;

// Returns how many events to request from each of `daemons` daemons for a timeline of at most
// `limit` events. Precondition: `daemons` is not 0.
size_t TimelinePageLimit(size_t daemons, size_t limit);

// Returns the events of this process after `since`, or only those of one request if `request_id` is
// not empty, at most `limit` and about kTimelinePageBytes. Thread safe.
TimelinePage ReadTimelinePage(HlcStamp since, const std::string& request_id, size_t limit);

// Collects the pages of one timeline. Not thread safe.
class TimelineMerge {
 public:
  using Done = std::function<void(std::vector<Event>)>;

  // `pages` is the number of calls of AddPage() that will follow; not 0. The last of them calls
  // `done` with at most `limit` events, oldest first.
  TimelineMerge(size_t pages, size_t limit, Done done);

  // Adds the page of one daemon; std::nullopt if the daemon did not answer. The events of a page
  // must be ordered by their stamps.
  void AddPage(std::optional<TimelinePage> page);

 private:
  void Finish();

  std::vector<Event> events_;
  HlcStamp complete_to_ = UINT64_MAX;  // events after this time may be missing
  size_t waiting_;                     // pages still expected
  size_t limit_;
  Done done_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_TIMELINE_MERGE_H_
