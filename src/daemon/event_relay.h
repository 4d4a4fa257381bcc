#ifndef EBONYLIFT_DAEMON_EVENT_RELAY_H_
#define EBONYLIFT_DAEMON_EVENT_RELAY_H_

// Follows a stream of server-sent events with ids, whose end is the end of the message.
//
// Only whole events are passed on, so that a stream that breaks within an event can go on at
// another backend server after the last whole one. Not thread safe. Memory: one incomplete event of
// at most kMaxEventBytes.

#include <string>
#include <string_view>

namespace ebonylift {

class EventRelay {
 public:
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Takes received bytes and returns those of whole events, to relay in this order.
  std::string Feed(std::string_view data);

  // Forgets an incomplete event: the stream goes on after last_event().
  void DropPartial() { partial_.clear(); }

  // The message may end here.
  bool whole() const { return partial_.empty() && !too_large_; }
  bool too_large() const { return too_large_; }

  // The id of the newest whole event; empty before the first one.
  const std::string& last_event() const { return last_event_; }

 private:
  void TakeId(std::string_view event);

  std::string partial_;
  std::string last_event_;
  bool too_large_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_EVENT_RELAY_H_
