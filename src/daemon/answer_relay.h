#ifndef EBONYLIFT_DAEMON_ANSWER_RELAY_H_
#define EBONYLIFT_DAEMON_ANSWER_RELAY_H_

// Relays the response of a request from its open attempt to the caller.
//
// A stream of server-sent events is sent event by event as complete events arrive. Any other
// response is buffered, so that the caller receives nothing of a failed attempt. The end of the
// response is written exactly once: by the function that MakeEndWriter() returns, Send() or
// Refuse().
//
// Not thread safe. Memory: a buffered response of at most kMaxBuffer bytes, or the copy of a stream
// that is to be stored (at most kMaxAnswerBytes).

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http_server.h"
#include "core/records.h"
#include "daemon/answers.h"
#include "daemon/dialect.h"
#include "daemon/event_relay.h"
#include "daemon/stream.h"

namespace ebonylift {

class AnswerRelay {
 public:
  static constexpr size_t kMaxPendingBytes = 256u << 10;
  static constexpr size_t kMaxBuffer = 16u << 20;

  // `dialect` is null for the gateway's own interface; otherwise it must outlive the relay.
  AnswerRelay(std::shared_ptr<HttpResponder> responder, const Dialect* dialect);

  // Connection to the caller.

  void OnCallerClosed(std::function<void()> fn);
  void DetachCaller() { responder_ = nullptr; }
  bool caller_disconnected() const { return responder_ == nullptr; }
  // Whether the caller has closed its connection and OnCallerClosed() may not have been called yet.
  bool CallerHasLeft() const { return responder_ != nullptr && responder_->ClosedByClient(); }

  // Response of the open attempt.

  // A continued stream keeps the status and headers of its first response for the caller.
  void OnHeaders(int status, const HttpHeaders& headers, ResponseKind kind);
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  ResponseKind kind() const { return kind_; }
  const std::string& body() const { return body_; }
  // Of the open attempt's own response, also if it is to continue a stream.
  bool IsEventStream() const { return is_event_stream_; }
  // Appends to the buffered response. Returns false when it would exceed kMaxBuffer.
  bool Buffer(std::string_view data);
  // The memory that the response takes until it can be relayed, in bytes. A copy that is to be
  // stored does not count.
  size_t BufferedBytes() const;

  // Streaming.

  // Takes received bytes and returns the complete events, to be passed to Write().
  std::string Feed(std::string_view data);
  // Starts the response. `on_drained` runs each time bytes were written to the caller, and may run
  // after the relay is destroyed. Does nothing when the stream has begun.
  void Begin(const std::function<HttpHeaders()>& headers, std::function<void()> on_drained);
  // `store`: also keeps a copy, to be stored when the response is complete.
  void Write(std::string events, bool store);
  bool begun() const { return begun_; }
  // Pauses the relay if more than kMaxPendingBytes are waiting to be sent to the caller. If it
  // returns true, the relay takes no more data until it is resumed.
  bool PauseIfCallerIsSlow();
  // Resumes a paused relay once at most half of kMaxPendingBytes is waiting. Returns whether it
  // did.
  bool ResumeWhenDrained();
  // Resumes a paused relay unconditionally. Returns whether it was paused.
  bool Resume();
  // True when the stream may end here: it is complete, or ended with an error event.
  bool stream_complete() const;
  // True when only the end of its connection ends the response, which the loss of the server ends,
  // too: the response has neither a length nor chunks.
  bool ends_with_connection() const { return ends_with_connection_; }
  bool stream_failed() const { return stream_tracker_.error(); }
  bool event_too_large() const { return event_relay_.too_large() || stream_tracker_.too_large(); }
  uint64_t generated_text_bytes() const { return stream_tracker_.generated_text_bytes(); }
  const std::string& last_event_id() const { return event_relay_.last_event_id(); }

  // Further attempts.

  // Discards the response of a failed attempt. Precondition: the stream has not begun.
  void Reset();
  // Prepares for an attempt that continues the stream after its last complete event.
  void ContinueStream();
  int continuations() const { return continuations_; }

  // End of the response.

  // Returns a function that sends the buffered response or ends the stream. It holds copies of all
  // it needs, so it may run after the relay is destroyed.
  std::function<void()> MakeEndWriter(const HttpHeaders& headers) const;
  // Returns the response as it is stored for the idempotency key.
  StoredAnswer MakeStoredAnswer(const HttpHeaders& headers) const;
  void Send(int status, const HttpHeaders& headers, const std::string& body);
  void Refuse(const ErrorResponse& response);

 private:
  std::shared_ptr<HttpResponder> responder_;  // null after the caller disconnected
  const Dialect* const dialect_;
  int status_ = 0;
  HttpHeaders headers_;
  ResponseKind kind_ = ResponseKind::kAnswer;
  // Of the open attempt's response.
  bool is_event_stream_ = false;
  bool ends_with_connection_ = true;
  bool has_event_ = false;
  std::string body_;      // the buffered response, or the copy of a stream to be stored
  bool storable_ = true;  // false: the stream is too large to store
  bool begun_ = false;
  bool paused_ = false;
  int continuations_ = 0;
  StreamTracker stream_tracker_;  // used with the gateway's own interface
  EventRelay event_relay_;        // used with a dialect
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANSWER_RELAY_H_
