#include "daemon/answer_relay.h"

#include <utility>

namespace ebonylift {

AnswerRelay::AnswerRelay(std::shared_ptr<HttpResponder> responder, const Dialect* dialect)
    : responder_(std::move(responder)), dialect_(dialect) {}

void AnswerRelay::OnCallerClosed(std::function<void()> fn) { responder_->OnClosed(std::move(fn)); }

void AnswerRelay::OnHeaders(int status, const HttpHeaders& headers, AnswerKind kind) {
  kind_ = kind;
  if (continuations_ > 0) return;
  status_ = status;
  headers_ = headers;
}

bool AnswerRelay::IsEventStream() const {
  return status_ == 200 && kind_ == AnswerKind::kAnswer &&
         FindHeader(headers_, "content-type").rfind("text/event-stream", 0) == 0;
}

bool AnswerRelay::Buffer(std::string_view data) {
  if (body_.size() + data.size() > kMaxBuffer) return false;
  body_.append(data);
  return true;
}

std::string AnswerRelay::Feed(std::string_view data) {
  return dialect_ == nullptr ? stream_.Feed(data) : events_.Feed(data);
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

void AnswerRelay::Write(std::string events, bool keep) {
  // A stored answer must be whole, so an answer over the bound is not kept at all.
  if (keep && kept_) {
    kept_ = body_.size() + events.size() <= kMaxAnswerBytes;
    if (kept_) {
      body_ += events;
    } else {
      body_.clear();
    }
  }
  if (responder_) responder_->Write(std::move(events));
}

bool AnswerRelay::Pause() {
  if (!responder_ || !begun_ || responder_->PendingBytes() <= kMaxPendingBytes) return false;
  paused_ = true;
  return true;
}

bool AnswerRelay::Resume() { return std::exchange(paused_, false); }

bool AnswerRelay::stream_whole() const {
  return dialect_ == nullptr ? stream_.done() || stream_.error() : events_.whole();
}

void AnswerRelay::Restart() {
  body_.clear();
  status_ = 0;
  headers_.clear();
  stream_ = StreamTracker();
  events_ = EventRelay();
}

void AnswerRelay::Continue() {
  ++continuations_;
  stream_.DropPartial();
  events_.DropPartial();
}

std::function<void()> AnswerRelay::Final(const HttpHeaders& headers) const {
  return [responder = responder_, begun = begun_, status = status_, headers, body = body_,
          end = stream_.end_event(), only_end = stream_.done()] {
    if (!responder) return;
    if (begun) {
      responder->Write(end);
      responder->End();
    } else {
      responder->Send(status, headers, only_end ? end : body);
    }
  };
}

StoredAnswer AnswerRelay::Stored(const HttpHeaders& headers) const {
  StoredAnswer stored;
  stored.status = status_;
  stored.headers = headers;
  if (kept_) {
    stored.body = body_ + stream_.end_event();
  } else {
    stored.body.assign(kMaxAnswerBytes + 1, ' ');  // kept as its hash only
  }
  return stored;
}

void AnswerRelay::Send(int status, const HttpHeaders& headers, const std::string& body) {
  if (responder_) responder_->Send(status, headers, body);
}

void AnswerRelay::Refuse(const ErrorAnswer& answer) {
  if (!responder_) return;
  if (dialect_ == nullptr && begun_) {
    responder_->Write(ErrorAnswerEvent(answer));
    responder_->End();
  } else if (dialect_ == nullptr) {
    SendErrorAnswer(responder_.get(), answer);
  } else if (begun_) {
    // A stream that is not whole must not look complete, so its connection is closed.
    responder_->Abort();
  } else {
    dialect_->send_refusal(responder_.get(), answer);
  }
}

}  // namespace ebonylift
