#include "daemon/timeline_merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace ebonylift {
namespace {

size_t EventBytes(const Event& event) {
  size_t bytes = 64 + event.host.size();
  for (const EventField& field : event.fields) bytes += 32 + field.name.size() + field.value.size();
  return bytes;
}

// Sorts the events, oldest first, and drops duplicates. Daemons that run in the same process, as in
// tests, return the same events.
void SortEvents(std::vector<Event>* events) {
  auto earlier = [](const Event& a, const Event& b) {
    return std::tie(a.hlc, a.host, a.id) < std::tie(b.hlc, b.host, b.id);
  };
  auto same_event = [](const Event& a, const Event& b) {
    return a.hlc == b.hlc && a.host == b.host && a.id == b.id;
  };
  std::sort(events->begin(), events->end(), earlier);
  events->erase(std::unique(events->begin(), events->end(), same_event), events->end());
}

}  // namespace

size_t TimelinePageLimit(size_t daemons, size_t limit) {
  return std::min(std::max(kMinTimelinePage, kMaxTimelineEvents / daemons), limit);
}

TimelinePage ReadTimelinePage(HlcStamp since, const std::string& request_id, size_t limit) {
  limit = std::min(limit, EventRecord::kCapacity);
  TimelinePage page;
  page.events = ProcessEvents().Read(since, request_id, limit + 1);
  size_t bytes = 0;
  size_t count = 0;
  while (count < page.events.size() && count < limit && bytes < kTimelinePageBytes) {
    bytes += EventBytes(page.events[count]);
    ++count;
  }
  page.more = count < page.events.size();
  page.events.resize(count);
  return page;
}

TimelineMerge::TimelineMerge(size_t pages, size_t limit, Done done)
    : waiting_(pages), limit_(limit), done_(std::move(done)) {}

void TimelineMerge::AddPage(std::optional<TimelinePage> page) {
  if (page) {
    // A daemon that returned only a part of its events may have more after the last one, so the
    // merged timeline is complete only up to there.
    if (page->more) {
      HlcStamp last = page->events.empty() ? 0 : page->events.back().hlc;
      complete_to_ = std::min(complete_to_, last);
    }
    std::move(page->events.begin(), page->events.end(), std::back_inserter(events_));
  }
  if (--waiting_ == 0) Finish();
}

void TimelineMerge::Finish() {
  SortEvents(&events_);
  auto after =
      std::upper_bound(events_.begin(), events_.end(), complete_to_,
                       [](HlcStamp stamp, const Event& event) { return stamp < event.hlc; });
  events_.erase(after, events_.end());
  if (events_.size() > limit_) events_.resize(limit_);
  done_(std::move(events_));
}

}  // namespace ebonylift
