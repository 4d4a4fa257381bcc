#ifndef EBONYLIFT_DAEMON_STREAM_H_
#define EBONYLIFT_DAEMON_STREAM_H_

// Follows a server-sent-event answer of a model: whole events, the end marker and the number of
// bytes of generated text, which is the offset at which a broken stream is resumed.
//
// Not thread safe. Memory: one incomplete event of at most kMaxEventBytes.

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

class StreamTracker {
 public:
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Takes received bytes and returns those of whole events, to relay in this order. The end marker
  // `data: [DONE]` is kept back; see end_event(). An incomplete event over kMaxEventBytes sets
  // error().
  std::string Feed(std::string_view data);

  // Forgets an incomplete event: the stream is continued at text_bytes().
  void DropPartial() { partial_.clear(); }

  bool done() const { return done_; }    // the end marker arrived
  bool error() const { return error_; }  // an error event arrived, or an event was too large
  const std::string& end_event() const { return end_event_; }

  // Bytes of generated text in the events that Feed() returned.
  uint64_t text_bytes() const { return text_bytes_; }

 private:
  void OnEvent(std::string_view event, std::string* out);

  std::string partial_;
  std::string end_event_;
  uint64_t text_bytes_ = 0;
  bool done_ = false;
  bool error_ = false;
};

// Bytes of the generated text in one event: the decoded length of the first JSON string that
// follows the key "content" or "text". Thread safe.
uint64_t EventTextBytes(std::string_view event);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_STREAM_H_
