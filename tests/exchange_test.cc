#define BOOST_TEST_MODULE exchange
#include "daemon/exchange.h"

#include <asio/post.hpp>
#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <thread>

#include "daemon/job_api.h"
#include "tests/support/exchange_fixture.h"

namespace ebonylift {
namespace {

using test::DialectFixture;
using test::FakeResponder;
using test::Fixture;
using test::kTestTimeout;

// The exchange checks a silent server every 250 ms, and repeats a probe after 50 ms.
constexpr Duration kBeforeNextCheck = milliseconds(215);
constexpr Duration kAfterProbeDelay = milliseconds(200);

// Loses the connection of a stream, and then the server while the exchange waits for its next
// probe. The thread is `busy` for a time before it handles the timers.
struct ResumeFixture : Fixture {
  void LoseServerBetweenProbes(Duration busy);
};

void ResumeFixture::LoseServerBetweenProbes(Duration busy) {
  const HttpHeaders stream = {{"content-type", "text/event-stream"}};
  const CallResult lost{CallOutcome::kFailed, 200, "connection reset", true};
  std::shared_ptr<FakeResponder> caller = Start(Spec());
  BOOST_REQUIRE(client.calls.size() == 1u);
  client.calls[0].on_headers(200, stream);
  client.calls[0].on_data("data: {\"text\":\"a\"}\n\n");

  // The exchange reads the view for its check of a silent server.
  int reads = control.reads;
  RunUntil([&] { return control.reads > reads; }, "the server counts as silent");
  std::this_thread::sleep_for(kBeforeNextCheck);
  Publish(Duration(0));
  client.calls[0].on_done(lost);
  BOOST_REQUIRE(client.calls.size() == 2u);
  client.calls[1].on_done(lost);
  std::this_thread::sleep_for(busy);
  RunUntil([&] { return client.calls.size() > 2; }, "the stream is resumed");
  BOOST_REQUIRE(client.calls[2].url == "http://127.0.0.1:1/v1/resume");

  Time end = SteadyNow() + kAfterProbeDelay;
  RunUntil([&] { return SteadyNow() > end; }, "the delay of the probe has passed");
  BOOST_TEST(client.calls.size() == 3u);
  // Before the fix: the late probe finds the server gone, and both resumed calls get the rest.
  if (client.calls.size() > 3) {
    client.calls[3].on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", false});
  }
  for (size_t i = 2; i < client.calls.size(); ++i) {
    if (client.calls[i].url != client.calls[2].url) continue;
    client.calls[i].on_headers(200, stream);
    client.calls[i].on_data("data: {\"text\":\"b\"}\n\n");
  }
  BOOST_TEST(caller->text == "data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\n");
}

JobSpec MakeJob() {
  JobSpec spec;
  spec.id = JobId("j-1.este");
  spec.team = TeamId("rocha");
  spec.route = RouteId("summaries");
  spec.path = "/v1/completions";
  spec.body = R"({"model":"m","prompt":"x"})";
  return spec;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(exchange, Fixture)

// Guards against a response that a server sends twice: the second copy arrives when the connection
// carries the next request, whose caller would get it.
BOOST_AUTO_TEST_CASE(ResponseOfAnotherRequestIsNotRelayed) {
  for (const char* type : {"application/json", "text/event-stream"}) {
    Fixture f;
    std::shared_ptr<FakeResponder> caller = f.Start(f.Spec());
    BOOST_REQUIRE(f.client.calls.size() == 1u);
    f.client.calls[0].on_headers(
        200, {{"content-type", type}, {"x-ebonylift-request-id", "r-of-the-request-before"}});
    f.client.calls[0].on_data("data: {\"text\":\"other\"}\n\n");
    f.client.calls[0].on_done(CallResult{CallOutcome::kComplete, 200, "", 0, true});
    BOOST_TEST(caller->text.find("other") == std::string::npos, type);
    BOOST_TEST(caller->sent_status != 200, type);
    BOOST_TEST(f.client.cancelled.size() == 1u, type);
  }
}

// Guards against work for a caller that has left, and against a key that stays claimed: the claim
// becomes durable when the end of its exchange is already queued.
BOOST_AUTO_TEST_CASE(ClaimAfterTheCallerLeftIsReleased) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.idempotency_key = "k";
  std::shared_ptr<FakeResponder> caller = Start(spec);
  QueueClose(caller);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.empty());
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);

  Start(spec);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == 1u);
}

// Guards against a caller that repeats its failed request at once and is told that the first one is
// still in progress.
BOOST_AUTO_TEST_CASE(FailureIsRecordedBeforeTheCallerHearsOfIt) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.idempotency_key = "k";
  std::shared_ptr<FakeResponder> caller = Start(spec);
  journal->Sync();
  RunQueuedEvents();
  BOOST_REQUIRE(client.calls.size() == 1u);
  std::shared_ptr<FakeResponder> repeated;
  caller->on_send = [&] { repeated = Start(spec); };
  client.calls[0].on_headers(500, {});
  client.calls[0].on_done(CallResult{CallOutcome::kComplete, 500, "", false});
  RunQueuedEvents();
  BOOST_TEST(caller->text.find("server_failed") != std::string::npos, caller->text);
  BOOST_REQUIRE(repeated != nullptr);
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(repeated->text.find("outcome_unknown") != std::string::npos, repeated->text);
}

// Guards against work for a caller that has left, and against a slot of a server that is never
// given back: the request is placed when the end of its exchange is already queued.
BOOST_AUTO_TEST_CASE(PlacementAfterTheCallerLeftIsUndone) {
  std::shared_ptr<FakeResponder> waiting = FillServer();
  size_t running = client.calls.size();
  QueueClose(waiting);
  EndCall(0);
  BOOST_REQUIRE(dispatcher.Stats().queued == 0u);
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == running);
  for (size_t i = 1; i < running; ++i) EndCall(i);
  RunQueuedEvents();
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  BOOST_TEST(table.size() == 0u);
}

// Guards against a request that is sent on after its caller has left, when the thread is late and
// has not handled the end of the connection: at the start, from the queue, and at a retry.
BOOST_AUTO_TEST_CASE(RequestOfACallerThatLeftIsNotSent) {
  auto left = std::make_shared<FakeResponder>();
  left->closed_by_client = true;
  table.Start(context, Spec(), left);
  BOOST_TEST(client.calls.empty());

  std::shared_ptr<FakeResponder> waiting = FillServer();
  size_t running = client.calls.size();
  waiting->closed_by_client = true;
  EndCall(0);
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == running);
  for (size_t i = 1; i < running; ++i) EndCall(i);
  RunQueuedEvents();

  std::shared_ptr<FakeResponder> retried = Start(Spec());
  BOOST_REQUIRE(client.calls.size() == running + 1);
  retried->closed_by_client = true;
  client.calls.back().on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", false});
  RunUntil([&] { return table.size() == 0u; }, "the exchange has ended");
  BOOST_TEST(client.calls.size() == running + 1);
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  for (const auto& caller : {left, waiting, retried}) BOOST_TEST(caller->sent_status == 0);
}

// Guards against a host short of processor time that takes more requests than it can handle, and
// against work of another host that is lost there.
BOOST_AUTO_TEST_CASE(LateThreadRefusesNewRequests) {
  OnLoopDelay(load_shedding, kMaxLoopDelay, SteadyNow());
  std::shared_ptr<FakeResponder> caller = Start(Spec());
  BOOST_TEST(caller->sent_status == 503);
  BOOST_TEST(caller->text.find("overloaded") != std::string::npos, caller->text);
  BOOST_TEST(caller->text.find("not_run") != std::string::npos, caller->text);
  BOOST_TEST(client.calls.empty());
  RequestSpec forwarded = Spec();
  forwarded.forwarded = true;
  Start(forwarded);
  BOOST_TEST(client.calls.size() == 1u);
}

// Guards against work above the limit of a workspace, against a refusal while the share of the
// limit is on its way, and against work that is lost for the workspace although it has not run.
BOOST_AUTO_TEST_CASE(LimitOfAWorkspaceIsKept) {
  WorkspaceConfig workspace;
  workspace.id = WorkspaceId("w");
  // This host may admit one request without a lease.
  workspace.limit = {/*per_s=*/0.001, /*burst=*/1 / kOwnBurst, LimitUnit::kRequests, 1};
  auto limited = [&] {
    RequestSpec spec = Spec();
    spec.workspace = &workspace;
    return spec;
  };
  auto answer = [&](double granted) {
    std::optional<LimitAsk> ask;
    Time sent;
    auto is_due = [&] {
      if (!ask) {
        sent = SteadyNow();
        ask = dispatcher.TakeLimitAsk(sent);
      }
      return ask.has_value();
    };
    RunUntil(is_due, "a share is asked for");
    BOOST_REQUIRE(ask->rows.size() == 1u);
    // Rounded up for the message.
    BOOST_TEST(ask->rows[0].wanted >= 1);
    BOOST_TEST(ask->rows[0].wanted <= 1.001);
    LimitGrant grant;
    grant.grant = granted;
    dispatcher.OnLimitAnswer(LimitAnswer{grant}, sent, SteadyNow());
  };
  RequestSpec late = limited();
  late.deadline = SteadyNow();
  BOOST_TEST(Start(late)->sent_status == 504);
  Start(limited());
  BOOST_TEST(client.calls.size() == 1u);
  EndCall(0);

  std::shared_ptr<FakeResponder> waiting = Start(limited());
  BOOST_TEST(control.limit_asks > 0);
  answer(1);
  RunUntil([&] { return client.calls.size() == 2; }, "the granted request runs");
  EndCall(1);

  std::shared_ptr<FakeResponder> refused = Start(limited());
  answer(0);
  RunUntil([&] { return refused->sent_status != 0; }, "the request is refused");
  BOOST_TEST(refused->sent_status == 429);
  BOOST_TEST(refused->text.find("not_run") != std::string::npos, refused->text);
  RequestSpec forwarded = limited();
  forwarded.forwarded = true;
  Start(forwarded);
  BOOST_TEST(client.calls.size() == 3u);
}

// Guards against requests that come late in a planned stop and are cut at its end, also those that
// another host forwards; and against refusals of those that end in time.
BOOST_AUTO_TEST_CASE(LateRequestOfADrainIsRefused) {
  RequestSpec early = Spec();
  RequestSpec late = Spec();
  RequestSpec forwarded = Spec();
  forwarded.forwarded = true;
  RequestSpec short_one = Spec();
  drain = {SteadyNow(), SteadyNow() + seconds(9)};
  early.deadline = late.deadline = forwarded.deadline = drain.ends + seconds(1);
  short_one.deadline = drain.ends - milliseconds(1);
  Start(early);
  BOOST_TEST(client.calls.size() == 1u);
  drain.began -= seconds(4);
  drain.ends -= seconds(4);
  for (const RequestSpec& spec : {late, forwarded}) {
    std::shared_ptr<FakeResponder> caller = Start(spec);
    BOOST_TEST(caller->sent_status == 503);
    BOOST_TEST(caller->text.find("draining") != std::string::npos, caller->text);
    BOOST_TEST(caller->text.find("not_run") != std::string::npos, caller->text);
  }
  BOOST_TEST(client.calls.size() == 1u);
  short_one.deadline = drain.ends;
  Start(short_one);
  BOOST_TEST(client.calls.size() == 2u);
}

// Guards against callers whose connections are cut without an answer at the end of a planned stop,
// against answers that deny work that may have run, and against queued requests that are sent on
// when others end.
BOOST_AUTO_TEST_CASE(OpenRequestsAreAnsweredAtTheEndOfADrain) {
  std::shared_ptr<FakeResponder> sent = Start(Spec());
  std::shared_ptr<FakeResponder> waiting = FillServer();
  size_t calls = client.calls.size();
  table.EndForShutdown();
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == calls);
  BOOST_TEST(client.cancelled.size() == calls);
  BOOST_TEST(sent->sent_status == 502);
  BOOST_TEST(sent->text.find("may_have_run") != std::string::npos, sent->text);
  BOOST_TEST(waiting->sent_status == 503);
  BOOST_TEST(waiting->text.find("not_run") != std::string::npos, waiting->text);
  BOOST_TEST(table.size() == 0u);
}

// Guards against two queued requests that share an entry of the queue. Another host may forward a
// request to this host again, through a third host, before this host has noticed the end of the
// first connection. Both have the same request id.
BOOST_AUTO_TEST_CASE(RequestsWithOneIdAreQueuedSeparately) {
  FillServer();
  RequestSpec spec = Spec();
  spec.forwarded = true;
  std::shared_ptr<FakeResponder> first = Start(spec);
  std::shared_ptr<FakeResponder> second = Start(spec);
  std::shared_ptr<FakeResponder> third = Start(spec);
  BOOST_TEST(dispatcher.Stats().queued == 4u);
  QueueClose(second);
  RunQueuedEvents();
  BOOST_TEST(dispatcher.Stats().queued == 3u);

  for (size_t i = 0; i < client.calls.size(); ++i) {
    EndCall(i);
    RunQueuedEvents();
  }
  BOOST_TEST(first->sent_status == 200);
  BOOST_TEST(second->sent_status == 0);
  BOOST_TEST(third->sent_status == 200);
  BOOST_TEST(dispatcher.Stats().in_flight == 0u);
  BOOST_TEST(table.size() == 0u);
}

// Guards against a step of a failed attempt that runs in a later one: after the connection of a
// stream is lost, its server is probed again after a delay, and meanwhile the stream is resumed
// because the server is no longer live. The late probe would end the resumed attempt and resume it
// a second time, and the caller would get the same events twice.
BOOST_FIXTURE_TEST_CASE(NoProbeOfALostConnectionAfterTheStreamIsResumed, ResumeFixture) {
  LoseServerBetweenProbes(Duration(0));
}

// As above, when the step is already queued behind the check that resumes the stream.
BOOST_FIXTURE_TEST_CASE(NoQueuedProbeOfALostConnectionAfterTheStreamIsResumed, ResumeFixture) {
  LoseServerBetweenProbes(kAfterProbeDelay);
}

// Guards against a request that crashes the servers of the platform and never becomes a suspect,
// and against one that becomes a suspect although its server only reset the connection.
BOOST_FIXTURE_TEST_CASE(LossOfAServerIsRecordedWithADialect, DialectFixture) {
  const CallResult broken{CallOutcome::kFailed, 0, "connection reset", false};
  CallResult connected;
  connected.outcome = CallOutcome::kComplete;
  CallResult not_connected;
  not_connected.outcome = CallOutcome::kNotConnected;
  CallResult refused = not_connected;
  refused.connect_errno = ECONNREFUSED;
  struct Case {
    CallResult probe;
    PoisonVerdict verdict;
  };
  // A server that cannot be reached may be cut off.
  for (const Case& row :
       {Case{connected, PoisonVerdict::kClear}, Case{not_connected, PoisonVerdict::kClear},
        Case{refused, PoisonVerdict::kSuspect}}) {
    RequestSpec spec = LookSpec();
    Start(spec);
    size_t call = client.calls.size() - 1;
    client.calls[call].on_done(broken);
    BOOST_REQUIRE(client.calls.size() == call + 2);
    BOOST_TEST(client.calls[call + 1].connect_only);
    client.calls[call + 1].on_done(row.probe);
    BOOST_TEST((VerdictOf(spec) == row.verdict));
    RunQueuedEvents();
  }
}

// Guards against a server that resets each connection and counts as crashed, because the reset of
// the probe arrives before the connection counts as established: requests that it broke off were
// then refused as poison.
BOOST_AUTO_TEST_CASE(ServerThatResetsTheProbeIsNotLost) {
  RequestSpec spec = Spec();
  spec.idempotent = false;
  spec.content.content = 7;
  std::shared_ptr<FakeResponder> caller = Start(spec);
  client.calls[0].on_done(CallResult{CallOutcome::kFailed, 0, "connection reset", false});
  CallResult reset;
  reset.outcome = CallOutcome::kNotConnected;
  reset.connect_errno = ECONNRESET;
  for (size_t probe = 1; caller->sent_status == 0; ++probe) {
    RunUntil([&] { return client.calls.size() > probe; }, "the server is probed");
    client.calls[probe].on_done(reset);
  }
  BOOST_TEST((dispatcher.Verdict(spec.content.content, SteadyNow()) == PoisonVerdict::kClear));
}

// Guards against a request that is run although it has crashed one server after the other, because
// the losses are not counted or the waiting request is not checked again, and against reports that
// other hosts cannot add their own losses to.
BOOST_FIXTURE_TEST_CASE(RequestIsRefusedAfterLossesInSuccession, DialectFixture) {
  const CallResult broken{CallOutcome::kFailed, 0, "connection reset", false};
  CallResult gone;
  gone.outcome = CallOutcome::kNotConnected;
  gone.connect_errno = ECONNREFUSED;
  RequestSpec spec = LookSpec();
  for (int losses = 1; losses <= kLossesToCondemn; ++losses) {
    std::shared_ptr<FakeResponder> caller = Start(spec);
    client.calls.back().on_done(broken);
    client.calls.back().on_done(gone);
    BOOST_TEST(caller->sent_status == 502);
    BOOST_REQUIRE(control.reports.size() == static_cast<size_t>(losses));
    BOOST_TEST(control.reports.back().losses == losses);
    RunQueuedEvents();
  }
  size_t calls = client.calls.size();
  std::shared_ptr<FakeResponder> refused = Start(spec);
  BOOST_TEST(refused->sent_status == 503);
  int64_t retry_after_ms =
      nlohmann::json::parse(refused->text)["error"]["retry_after_ms"].get<int64_t>();
  BOOST_TEST(retry_after_ms <= ToMillis(kSuspectTtl));
  BOOST_TEST(retry_after_ms > ToMillis(kSuspectTtl - kTestTimeout));
  BOOST_TEST(client.calls.size() == calls);
}

// Guards against a server whose event never ends: the bytes would fill the memory of this host
// until the deadline.
BOOST_AUTO_TEST_CASE(EventWithoutEndEndsTheAttempt) { SendEventWithoutEnd(Spec()); }

// As above, with a dialect.
BOOST_FIXTURE_TEST_CASE(EventWithoutEndEndsTheAttemptOfADialect, DialectFixture) {
  SendEventWithoutEnd(LookSpec());
}

// Guards against a host that runs out of memory because many responses without end are each within
// the limit of one, and against the loss of a sound response among them.
BOOST_AUTO_TEST_CASE(ResponsesWithoutEndShareOneLimit) {
  constexpr size_t kFaulty = 8;
  constexpr size_t kBytesOfEach = AnswerRelay::kMaxBuffer / 2;
  const std::string chunk(256 << 10, 'x');
  DialectFixture f;
  f.ChangeView([](RoutingView* view) { view->servers[0].announced.load.slots = 100; });
  const HttpHeaders headers = {{"Attempt-Id", "39ed"}, {"Server-Seal", "s1"}};
  std::vector<std::shared_ptr<FakeResponder>> callers;
  for (size_t i = 0; i <= kFaulty; ++i) {
    callers.push_back(f.Start(f.LookSpec()));
    BOOST_REQUIRE(f.client.calls.size() == i + 1);
    f.client.calls[i].on_headers(200, headers);
  }
  f.client.calls[kFaulty].on_data("sound");
  size_t most = 0;
  for (size_t sent = 0; sent < kBytesOfEach; sent += chunk.size()) {
    for (size_t i = 0; i < kFaulty; ++i) {
      f.client.calls[i].on_data(chunk);
      f.RunQueuedEvents();
    }
    size_t open = kFaulty - f.client.cancelled.size();
    most = std::max(most, open * (sent + chunk.size()));
  }
  BOOST_TEST(most <= kMaxBufferedBytes + kFaulty * chunk.size());
  BOOST_TEST(f.client.cancelled.size() < kFaulty, "no more are ended than needed");
  f.client.calls[kFaulty].on_done(CallResult{CallOutcome::kComplete, 200, "", 0, true});
  BOOST_TEST(callers[kFaulty]->sent_status == 200);
  BOOST_TEST(callers[kFaulty]->text == "sound");
}

// Guards against work for a job that was cancelled while its start was being written.
BOOST_AUTO_TEST_CASE(JobCancelledBeforeItStartsIsNotRun) {
  JobApi jobs(context);
  JobSpec spec = MakeJob();
  spec.idempotent = true;
  records.SubmitJob(spec, [](SubmitKind, bool) {});
  journal->Sync();
  jobs.RunPending();
  BOOST_REQUIRE(records.CancelJob(spec.id));
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.empty());

  spec.id = JobId("j-2.este");
  records.SubmitJob(spec, [](SubmitKind, bool) {});
  journal->Sync();
  jobs.RunPending();
  journal->Sync();
  RunQueuedEvents();
  BOOST_TEST(client.calls.size() == 1u);
}

// Guards against a job that runs again because the code in its server's error is also the code of a
// host's refusal.
BOOST_AUTO_TEST_CASE(ServerErrorEndsAJob) {
  JobApi jobs(context);
  JobSpec spec = MakeJob();
  records.SubmitJob(spec, [](SubmitKind, bool) {});
  journal->Sync();
  jobs.RunPending();
  journal->Sync();
  RunQueuedEvents();
  BOOST_REQUIRE(client.calls.size() == 1u);
  client.calls[0].on_headers(400, {});
  client.calls[0].on_data(R"({"error":{"code":"overloaded"}})");
  client.calls[0].on_done(CallResult{CallOutcome::kComplete, 400, "", 0, true});
  journal->Sync();
  RunQueuedEvents();
  std::optional<Job> job = records.FindJob(spec.id);
  BOOST_REQUIRE(job.has_value());
  BOOST_TEST((job->state == JobState::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift
