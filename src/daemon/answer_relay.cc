#include "daemon/answer_relay.h"

#include <algorithm>
#include <utility>

namespace ebonylift {

AnswerRelay::AnswerRelay(std::shared_ptr<HttpResponder> responder, const Dialect* dialect)
    : responder_(std::move(responder)), dialect_(dialect) {}

void AnswerRelay::OnCallerClosed(std::function<void()> fn) { responder_->OnClosed(std::move(fn)); }

void AnswerRelay::OnHeaders(int status, const HttpHeaders& headers, ResponseKind kind) {
  kind_ = kind;
  is_event_stream_ = status == 200 && kind == ResponseKind::kAnswer &&
                     FindHeader(headers, "content-type").rfind("text/event-stream", 0) == 0;
  ends_with_connection_ = FindHeader(headers, "content-length").empty() &&
                          FindHeader(headers, "transfer-encoding").empty();
  has_event_ = false;
  if (continuations_ > 0) return;
  status_ = status;
  headers_ = headers;
}

bool AnswerRelay::Buffer(std::string_view data) {
  size_t size = body_.size() + data.size();
  if (size > kMaxBuffer) return false;
  // The string would grow to twice the limit.
  if (size > body_.capacity()) body_.reserve(std::min(2 * size, kMaxBuffer));
  body_.append(data);
  return true;
}

size_t AnswerRelay::BufferedBytes() const {
  size_t held = begun_ ? 0 : body_.capacity();
  return held + stream_tracker_.buffered_bytes() + event_relay_.buffered_bytes();
}

std::string AnswerRelay::Feed(std::string_view data) {
  std::string events = dialect_ == nullptr ? stream_tracker_.Feed(data) : event_relay_.Feed(data);
  has_event_ = has_event_ || !events.empty();
  return events;
}

void AnswerRelay::Begin(const std::function<HttpHeaders()>& headers,
                        std::function<void()> on_drained) {
  if (begun_) return;
  begun_ = true;
  if (!responder_) return;
  responder_->Begin(status_, headers());
  responder_->OnDrained(std::move(on_drained));
}

bool AnswerRelay::ResumeWhenDrained() {
  if (!paused_ || !responder_ || responder_->PendingBytes() > kMaxPendingBytes / 2) return false;
  paused_ = false;
  return true;
}

void AnswerRelay::Write(std::string events, bool store) {
  // A stored response must be complete, so a response that exceeds the limit is not kept at all.
  if (store && storable_) {
    storable_ = body_.size() + events.size() <= kMaxAnswerBytes;
    if (storable_) {
      body_ += events;
    } else {
      body_.clear();
    }
  }
  if (responder_) responder_->Write(std::move(events));
}

bool AnswerRelay::PauseIfCallerIsSlow() {
  if (!responder_ || !begun_ || responder_->PendingBytes() <= kMaxPendingBytes) return false;
  paused_ = true;
  return true;
}

bool AnswerRelay::Resume() { return std::exchange(paused_, false); }

bool AnswerRelay::stream_complete() const {
  if (dialect_ == nullptr) return stream_tracker_.done() || stream_tracker_.error();
  // A connection that ends before the first event was more likely lost than complete.
  if (!has_event_ && ends_with_connection_) return false;
  return event_relay_.at_event_boundary();
}

void AnswerRelay::Reset() {
  body_ = std::string();
  status_ = 0;
  headers_.clear();
  is_event_stream_ = false;
  stream_tracker_ = StreamTracker();
  event_relay_ = EventRelay();
}

void AnswerRelay::ContinueStream() {
  ++continuations_;
  is_event_stream_ = false;
  stream_tracker_.DiscardPartialEvent();
  event_relay_.DiscardPartialEvent();
}

std::function<void()> AnswerRelay::MakeEndWriter(const HttpHeaders& headers) const {
  return [responder = responder_, begun = begun_, status = status_, headers, body = body_,
          end = stream_tracker_.end_marker(), end_marker_only = stream_tracker_.done()] {
    if (!responder) return;
    if (begun) {
      responder->Write(end);
      responder->End();
    } else {
      responder->Send(status, headers, end_marker_only ? end : body);
    }
  };
}

StoredAnswer AnswerRelay::MakeStoredAnswer(const HttpHeaders& headers) const {
  StoredAnswer stored;
  stored.status = status_;
  stored.headers = headers;
  if (storable_) {
    stored.body = body_ + stream_tracker_.end_marker();
  } else {
    // The record store keeps only the hash of a body above the limit.
    stored.body.assign(kMaxAnswerBytes + 1, ' ');
  }
  return stored;
}

void AnswerRelay::Send(int status, const HttpHeaders& headers, const std::string& body) {
  if (responder_) responder_->Send(status, headers, body);
}

void AnswerRelay::Refuse(const ErrorResponse& response) {
  if (!responder_) return;
  if (dialect_ == nullptr && begun_) {
    responder_->Write(ErrorResponseEvent(response));
    responder_->End();
  } else if (dialect_ == nullptr) {
    SendErrorResponse(responder_.get(), response);
  } else if (begun_) {
    // The connection is closed, so that the incomplete stream does not look complete to the caller.
    responder_->Abort();
  } else {
    dialect_->send_error(responder_.get(), response);
  }
}

}  // namespace ebonylift
