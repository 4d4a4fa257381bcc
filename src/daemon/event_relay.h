#ifndef EBONYLIFT_DAEMON_EVENT_RELAY_H_
#define EBONYLIFT_DAEMON_EVENT_RELAY_H_

// Splits a stream of server-sent events into complete events and tracks their ids. The stream has
// no end marker; it ends with the HTTP message.
//
// Only complete events are passed on, so that a stream that breaks within an event can be continued
// by another backend server after the last complete one. Not thread safe. Memory: one incomplete
// event of at most kMaxEventBytes.

#include <string>
#include <string_view>

namespace ebonylift {

class EventRelay {
 public:
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Takes received bytes and returns the complete events, to be relayed in this order. An
  // incomplete event larger than kMaxEventBytes sets too_large().
  std::string Feed(std::string_view data);

  // Discards an incomplete event, so that the stream can be continued after last_event_id().
  void DiscardPartialEvent() { partial_ = std::string(); }

  // True when the stream may end here: all received events are complete.
  bool at_event_boundary() const { return partial_.empty() && !too_large_; }
  bool too_large() const { return too_large_; }
  size_t buffered_bytes() const { return partial_.capacity(); }

  // The id of the newest complete event that has one; empty before the first.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  void UpdateLastEventId(std::string_view events);

  std::string partial_;  // the incomplete event
  std::string last_event_id_;
  bool too_large_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_EVENT_RELAY_H_
