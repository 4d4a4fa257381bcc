#define BOOST_TEST_MODULE answer_relay
#include "daemon/answer_relay.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

// What the caller of one request has seen. Outlives the responder, which the relay owns.
struct CallerView {
  int status = 0;
  std::string body;
  int ends = 0;
  bool aborted = false;
  size_t pending = 0;
};

class FakeResponder : public HttpResponder {
 public:
  explicit FakeResponder(CallerView* view) : view_(view) {}
  void Send(int status, const HttpHeaders& /*headers*/, std::string body) override {
    view_->status = status;
    view_->body += body;
    ++view_->ends;
  }
  void Begin(int status, const HttpHeaders& /*headers*/) override { view_->status = status; }
  void Write(std::string chunk) override { view_->body += chunk; }
  void End() override { ++view_->ends; }
  void Abort() override { view_->aborted = true; }
  size_t PendingBytes() const override { return view_->pending; }
  void OnDrained(std::function<void()> /*fn*/) override {}
  void OnClosed(std::function<void()> /*fn*/) override {}

 private:
  CallerView* view_;
};

const HttpHeaders kStream = {{"content-type", "text/event-stream"}};

Dialect TestDialect() {
  Dialect dialect{};
  dialect.send_refusal = [](HttpResponder* responder, const ErrorAnswer& /*answer*/) {
    responder->Send(503, {}, "refused");
  };
  return dialect;
}

HttpHeaders NoHeaders() { return {}; }

void RelayEvents(AnswerRelay* relay, std::string_view data, bool keep = false) {
  std::string events = relay->Feed(data);
  if (events.empty()) return;
  relay->Begin(NoHeaders, [] {});
  relay->Write(std::move(events), keep);
}

}  // namespace

// Guards against bytes of a failed attempt in front of the answer of the next one.
BOOST_AUTO_TEST_CASE(BufferedBytesOfAFailedAttemptNeverReachTheCaller) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, {}, AnswerKind::kAnswer);
  BOOST_TEST(relay.Buffer("half of"));
  relay.Restart();
  relay.OnHeaders(200, {}, AnswerKind::kAnswer);
  BOOST_TEST(relay.Buffer("whole"));
  relay.Final({})();
  BOOST_TEST(view.body == "whole");
  BOOST_TEST(view.ends == 1);
}

// Guards against an event that the caller gets twice or in part when a stream goes on elsewhere.
BOOST_AUTO_TEST_CASE(ContinuedStreamHasEachEventOnce) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  RelayEvents(&relay, "id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(!relay.stream_whole());
  BOOST_TEST(relay.last_event() == "1");
  relay.Continue();
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  RelayEvents(&relay, "id: 2\ndata: b\n\n");
  BOOST_TEST(relay.stream_whole());
  relay.Final({})();
  BOOST_TEST(view.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(view.ends == 1);
}

// Guards against the status of a refused continuation in place of that of the stream.
BOOST_AUTO_TEST_CASE(ContinuedStreamKeepsItsFirstStatus) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  relay.Continue();
  relay.OnHeaders(503, {}, AnswerKind::kNotRun);
  BOOST_TEST(relay.status() == 200);
  BOOST_TEST(!relay.IsEventStream());
}

// Guards against a broken stream that looks complete to the caller.
BOOST_AUTO_TEST_CASE(RefusalAfterTheFirstEventClosesTheConnection) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  RelayEvents(&relay, "id: 1\ndata: a\n\n");
  relay.Refuse(ErrorAnswer{});
  BOOST_TEST(view.aborted);
  BOOST_TEST(view.ends == 0);
}

// Guards against memory that grows with a caller that does not read, and against a relay that stays
// paused after the caller has read.
BOOST_AUTO_TEST_CASE(SlowCallerPausesTheRelay) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  RelayEvents(&relay, "data: {\"choices\":[]}\n\n");
  BOOST_TEST(!relay.Pause());
  view.pending = AnswerRelay::kMaxPendingBytes + 1;
  BOOST_TEST(relay.Pause());
  BOOST_TEST(!relay.ResumeWhenDrained());
  view.pending = 0;
  BOOST_TEST(relay.ResumeWhenDrained());
  BOOST_TEST(!relay.ResumeWhenDrained());
}

// Guards against a part of a large stream that is stored and replayed as its whole answer.
BOOST_AUTO_TEST_CASE(StreamOverTheBoundIsStoredAsItsHashOnly) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, kStream, AnswerKind::kAnswer);
  relay.Begin(NoHeaders, [] {});
  relay.Write(std::string(kMaxAnswerBytes, 'a'), true);
  relay.Write("b", true);
  relay.Write("c", true);
  BOOST_TEST(relay.Stored({}).body.size() > kMaxAnswerBytes);
}

// Guards against a write to a caller who has gone.
BOOST_AUTO_TEST_CASE(NothingIsWrittenToACallerWhoHasGone) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, {}, AnswerKind::kAnswer);
  relay.Buffer("answer");
  relay.DropCaller();
  BOOST_TEST(relay.caller_gone());
  relay.Final({})();
  relay.Refuse(ErrorAnswer{});
  BOOST_TEST(view.ends == 0);
  BOOST_TEST(view.body.empty());
}

}  // namespace ebonylift
