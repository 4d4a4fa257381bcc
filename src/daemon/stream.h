#ifndef EBONYLIFT_DAEMON_STREAM_H_
#define EBONYLIFT_DAEMON_STREAM_H_

// StreamTracker: incremental parser for a model's server-sent events (SSE) response.
//
// Splits the stream into complete events, detects the end marker and counts the bytes of generated
// text. That count is the offset from which an interrupted stream is resumed.
//
// Not thread safe. Buffers at most one incomplete event of up to kMaxEventBytes.

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

class StreamTracker {
 public:
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Appends received bytes and returns the events that they complete, in order, ready to relay.
  // Withholds the end marker `data: [DONE]`; see end_marker(). Sets error() if an incomplete event
  // exceeds kMaxEventBytes.
  std::string Feed(std::string_view data);

  // Discards the buffered incomplete event before the stream is resumed at offset
  // generated_text_bytes().
  void DiscardPartialEvent() { partial_event_ = std::string(); }

  bool done() const { return done_; }            // received the end marker
  bool error() const { return error_; }          // received an error event or an oversized event
  bool too_large() const { return too_large_; }  // received an oversized event
  size_t buffered_bytes() const { return partial_event_.capacity(); }
  // The end marker as received. The caller sends it once the response is recorded.
  const std::string& end_marker() const { return end_marker_; }

  // Bytes of generated text in all events returned by Feed().
  uint64_t generated_text_bytes() const { return generated_text_bytes_; }

 private:
  void ProcessEvent(std::string_view event, std::string* out);

  std::string partial_event_;
  std::string end_marker_;
  uint64_t generated_text_bytes_ = 0;
  bool done_ = false;
  bool error_ = false;
  bool too_large_ = false;
};

// Returns the UTF-8 length of the generated text in one event: the decoded string value of the
// first JSON key "content" or, if that is missing or not a string, of the first key "text". Returns
// 0 if neither is a string. Thread safe.
uint64_t EventTextBytes(std::string_view event);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_STREAM_H_
