#ifndef EBONYLIFT_DAEMON_ANSWER_RELAY_H_
#define EBONYLIFT_DAEMON_ANSWER_RELAY_H_

// The answer of one request on its way from the open attempt to the caller.
//
// A stream of server-sent events goes out in whole events as they arrive; any other answer is
// buffered, so that a failed attempt leaves nothing at the caller. Exactly one end is written: by
// Final(), Send() or Refuse().
//
// Not thread safe. Memory: a buffered answer of at most kMaxBuffer bytes, or what a stored answer
// needs of a stream (at most kMaxAnswerBytes).

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

  // `dialect` is null for the gateway's own interface, and outlives the relay.
  AnswerRelay(std::shared_ptr<HttpResponder> responder, const Dialect* dialect);

  // The caller.
  void OnCallerClosed(std::function<void()> fn);
  void DropCaller() { responder_ = nullptr; }
  bool caller_gone() const { return responder_ == nullptr; }

  // The open attempt.
  // A stream that goes on keeps the status and headers of its first answer.
  void OnHeaders(int status, const HttpHeaders& headers, AnswerKind kind);
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  AnswerKind kind() const { return kind_; }
  const std::string& body() const { return body_; }
  bool IsEventStream() const;
  // Adds to the buffered answer. False: it would be too large.
  bool Buffer(std::string_view data);

  // The stream.
  // Whole events of `data`, to pass to Write().
  std::string Feed(std::string_view data);
  // Starts the response; `on_drained` runs each time bytes were written to the caller, also after
  // the relay is gone. Does nothing when the stream has begun.
  void Begin(const std::function<HttpHeaders()>& headers, std::function<void()> on_drained);
  // `keep`: the answer is stored when it is whole.
  void Write(std::string events, bool keep);
  bool begun() const { return begun_; }
  // True when the caller reads too slowly: no more is taken until the relay is resumed.
  bool Pause();
  // True when the relay was paused and the caller has read enough.
  bool ResumeWhenDrained();
  // True when the relay was paused, whatever the caller has read.
  bool Resume();
  bool stream_whole() const;
  bool stream_failed() const { return stream_.error(); }
  bool event_too_large() const { return events_.too_large(); }
  uint64_t text_bytes() const { return stream_.text_bytes(); }
  const std::string& last_event() const { return events_.last_event(); }

  // Attempts after the first one.
  // Forgets the answer of a failed attempt. Precondition: the stream has not begun.
  void Restart();
  // The next attempt continues the stream after its last whole event.
  void Continue();
  int continuations() const { return continuations_; }

  // Ends.
  // Writes the end of the answer when it is called; holds what it needs, so that it may run after
  // the relay is gone.
  std::function<void()> Final(const HttpHeaders& headers) const;
  StoredAnswer Stored(const HttpHeaders& headers) const;
  void Send(int status, const HttpHeaders& headers, const std::string& body);
  void Refuse(const ErrorAnswer& answer);

 private:
  std::shared_ptr<HttpResponder> responder_;  // null after the caller has gone
  const Dialect* const dialect_;
  int status_ = 0;
  HttpHeaders headers_;
  AnswerKind kind_ = AnswerKind::kAnswer;
  std::string body_;  // buffered, or what a stored answer needs of a stream
  bool kept_ = true;  // false: the stream is too large to store
  bool begun_ = false;
  bool paused_ = false;
  int continuations_ = 0;
  StreamTracker stream_;  // of the own interface
  EventRelay events_;     // of a dialect
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANSWER_RELAY_H_
