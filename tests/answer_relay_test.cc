#define BOOST_TEST_MODULE answer_relay
#include "daemon/answer_relay.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

// What the caller of one request received. Must outlive the responder, which the relay owns.
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
  bool ClosedByClient() const override { return false; }

 private:
  CallerView* view_;
};

const HttpHeaders kStream = {{"content-type", "text/event-stream"}};

Dialect TestDialect() {
  Dialect dialect{};
  dialect.send_error = [](HttpResponder* responder, const ErrorResponse& /*response*/) {
    responder->Send(503, {}, "refused");
  };
  return dialect;
}

HttpHeaders NoHeaders() { return {}; }

void RelayEvents(AnswerRelay* relay, std::string_view data, bool store = false) {
  std::string events = relay->Feed(data);
  if (events.empty()) return;
  relay->Begin(NoHeaders, [] {});
  relay->Write(std::move(events), store);
}

}  // namespace

// Guards against sending buffered bytes of a failed attempt before the response of its retry.
BOOST_AUTO_TEST_CASE(FailedAttemptSendsNothingToTheCaller) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, {}, ResponseKind::kAnswer);
  BOOST_TEST(relay.Buffer("half of"));
  relay.Reset();
  relay.OnHeaders(200, {}, ResponseKind::kAnswer);
  BOOST_TEST(relay.Buffer("whole"));
  relay.MakeEndWriter({})();
  BOOST_TEST(view.body == "whole");
  BOOST_TEST(view.ends == 1);
}

// Guards against sending an event twice or in part when a stream breaks within an event and another
// attempt continues it.
BOOST_AUTO_TEST_CASE(ContinuedStreamSendsEachEventOnce) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  RelayEvents(&relay, "id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(!relay.stream_complete());
  BOOST_TEST(relay.last_event_id() == "1");
  relay.ContinueStream();
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  RelayEvents(&relay, "id: 2\ndata: b\n\n");
  BOOST_TEST(relay.stream_complete());
  relay.MakeEndWriter({})();
  BOOST_TEST(view.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(view.ends == 1);
}

// Guards against replacing the status of the stream by that of an attempt that refused to continue
// it.
BOOST_AUTO_TEST_CASE(ContinuedStreamKeepsTheStatusOfItsFirstResponse) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  relay.ContinueStream();
  relay.OnHeaders(503, {}, ResponseKind::kNotRun);
  BOOST_TEST(relay.status() == 200);
  BOOST_TEST(!relay.IsEventStream());
}

// Guards against a broken stream that looks complete to the caller: the connection must be closed
// without a regular end.
BOOST_AUTO_TEST_CASE(RefusalOfABegunStreamClosesTheConnection) {
  CallerView view;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), &dialect);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  RelayEvents(&relay, "id: 1\ndata: a\n\n");
  relay.Refuse(ErrorResponse{});
  BOOST_TEST(view.aborted);
  BOOST_TEST(view.ends == 0);
}

// Guards against unbounded memory use when a caller does not read, and against a relay that stays
// paused after the caller has read.
BOOST_AUTO_TEST_CASE(SlowCallerPausesTheRelayUntilDrained) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  RelayEvents(&relay, "data: {\"choices\":[]}\n\n");
  BOOST_TEST(!relay.PauseIfCallerIsSlow());
  view.pending = AnswerRelay::kMaxPendingBytes + 1;
  BOOST_TEST(relay.PauseIfCallerIsSlow());
  BOOST_TEST(!relay.ResumeWhenDrained());
  view.pending = 0;
  BOOST_TEST(relay.ResumeWhenDrained());
  BOOST_TEST(!relay.ResumeWhenDrained());
}

// Guards against storing part of a stream that exceeds kMaxAnswerBytes and replaying it as the
// complete response.
BOOST_AUTO_TEST_CASE(OversizedStreamIsStoredAsHashOnly) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  relay.Begin(NoHeaders, [] {});
  relay.Write(std::string(kMaxAnswerBytes, 'a'), true);
  relay.Write("b", true);
  relay.Write("c", true);
  BOOST_TEST(relay.MakeStoredAnswer({}).body.size() > kMaxAnswerBytes);
}

// Guards against writing to a caller that has disconnected.
BOOST_AUTO_TEST_CASE(NothingIsWrittenAfterTheCallerDisconnects) {
  CallerView view;
  AnswerRelay relay(std::make_shared<FakeResponder>(&view), nullptr);
  relay.OnHeaders(200, {}, ResponseKind::kAnswer);
  relay.Buffer("answer");
  relay.DetachCaller();
  BOOST_TEST(relay.caller_disconnected());
  relay.MakeEndWriter({})();
  relay.Refuse(ErrorResponse{});
  BOOST_TEST(view.ends == 0);
  BOOST_TEST(view.body.empty());
}

// Guards against a stream that looks complete to the caller although its server was lost: a
// response with neither a length nor chunks ends with its connection in both cases.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithItsConnectionNeedsAWholeEvent) {
  CallerView caller;
  Dialect dialect = TestDialect();
  AnswerRelay relay(std::make_shared<FakeResponder>(&caller), &dialect);
  relay.OnHeaders(200, kStream, ResponseKind::kAnswer);
  BOOST_TEST(relay.ends_with_connection());
  BOOST_TEST(!relay.stream_complete());
  RelayEvents(&relay, "id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(!relay.stream_complete());
  RelayEvents(&relay, "ta: b\n\n");
  BOOST_TEST(relay.stream_complete());

  AnswerRelay framed(std::make_shared<FakeResponder>(&caller), &dialect);
  HttpHeaders headers = kStream;
  headers.emplace_back("Transfer-Encoding", "chunked");
  framed.OnHeaders(200, headers, ResponseKind::kAnswer);
  BOOST_TEST(!framed.ends_with_connection());
  BOOST_TEST(framed.stream_complete());
}

}  // namespace ebonylift
