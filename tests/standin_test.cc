#define BOOST_TEST_MODULE standin
#include <asio.hpp>
#include <boost/test/included/unit_test.hpp>

#include "base/error.h"
#include "testing/answer.h"
#include "testing/batch.h"
#include "testing/faults.h"
#include "testing/generation.h"
#include "testing/listener.h"
#include "testing/prefix_cache.h"
#include "testing/proxy_link.h"
#include "testing/sockets.h"
#include "tests/support/test_client.h"

namespace ebonylift::standin {
namespace {

BatchState BatchWithSlots(int slots) {
  BatchState state;
  state.settings.slots = slots;
  state.settings.prefill_per_token = Duration(10);
  state.settings.decode_per_token = Duration(1000);
  state.settings.slowdown_per_job = 0.5;
  state.settings.max_prefill_tokens_per_step = 100;
  return state;
}

BatchJob MakeJob(uint64_t id, int priority, int prompt_tokens, int output_tokens) {
  BatchJob job;
  job.id = id;
  job.priority = priority;
  job.prompt_tokens = prompt_tokens;
  job.output_tokens = output_tokens;
  return job;
}

}  // namespace

// Guards against generated text that depends on `stream`, and against text that does not depend on
// the request.
BOOST_AUTO_TEST_CASE(GeneratedTextDependsOnTheRequestOnly) {
  std::string plain = R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5})";
  std::string stream =
      R"({"stream":true,"max_tokens":5,"messages":[{"content":"a"}],"model":"m","user":"u"})";
  std::string other = R"({"model":"m","messages":[{"role":"user","content":"b"}],"max_tokens":5})";
  BOOST_TEST(AnswerTextForBody(plain) == AnswerTextForBody(stream));
  BOOST_TEST(AnswerTextForBody(plain) != AnswerTextForBody(other));
  BOOST_TEST(AnswerTokens(ParseCompletionRequest(plain)).size() == 5u);
  // The value is also in scripts/demo.py, which implements the same function.
  BOOST_TEST(AnswerTextForBody(plain) == "273d4d42b91dda1b oak palm trail oak ");
  BOOST_CHECK_THROW(ParseCompletionRequest("{}"), Error);
  BOOST_CHECK_THROW(ParseCompletionRequest("no json"), Error);
}

// Guards against a job that starts before a waiting job of higher priority, such as a chapter
// before an interactive request, and against more running jobs than slots.
BOOST_AUTO_TEST_CASE(BatchAdmitsByPriorityThenArrival) {
  BatchState state = BatchWithSlots(2);
  for (const BatchJob& job :
       {MakeJob(1, 2, 1, 1), MakeJob(2, 0, 1, 1), MakeJob(3, 1, 1, 1), MakeJob(4, 0, 1, 1)}) {
    BOOST_TEST(Enqueue(state, job));
  }
  std::vector<BatchJob> admitted = AdmitWaiting(state);
  BOOST_TEST(admitted.size() == 2u);
  BOOST_TEST(admitted[0].id == 2u);
  BOOST_TEST(admitted[1].id == 4u);
  PlanStep(state);
  admitted = AdmitWaiting(state);
  BOOST_TEST(admitted[0].id == 3u);
  BOOST_TEST(admitted[1].id == 1u);
}

// Guards against a decode time that does not grow with the batch, and against emitting a token
// before prefill is complete.
BOOST_AUTO_TEST_CASE(StepTimeGrowsWithBatchAndPrefill) {
  BatchState state = BatchWithSlots(4);
  Enqueue(state, MakeJob(1, 0, 150, 2));
  AdmitWaiting(state);
  BatchStep step = PlanStep(state);
  BOOST_TEST(step.duration.count() == 1000);  // 100 prompt tokens of 10 us, no token yet
  BOOST_TEST(step.emitted.empty());
  Enqueue(state, MakeJob(2, 0, 1, 1));
  AdmitWaiting(state);
  step = PlanStep(state);
  BOOST_TEST(step.duration.count() == 51 * 10 + 1500);  // two jobs: 1 + 0.5
  BOOST_TEST(step.emitted.size() == 2u);
  BOOST_TEST(step.finished.size() == 1u);
  BOOST_TEST(step.finished[0] == 2u);
  step = PlanStep(state);
  BOOST_TEST(step.duration.count() == 1000);
  BOOST_TEST(state.running.empty());
}

// Guards against a cancelled job that keeps its slot, and against an unbounded queue.
BOOST_AUTO_TEST_CASE(BatchRemovesJobsAndLimitsQueue) {
  BatchState state = BatchWithSlots(1);
  state.settings.max_waiting = 1;
  BOOST_TEST(Enqueue(state, MakeJob(1, 0, 10, 1)));
  AdmitWaiting(state);
  BOOST_TEST(Enqueue(state, MakeJob(2, 0, 20, 1)));
  BOOST_TEST(!Enqueue(state, MakeJob(3, 0, 1, 1)));
  BOOST_TEST(PrefillTokensWaiting(state) == 30);
  BOOST_TEST(RemoveJob(state, 2));
  BOOST_TEST(RemoveJob(state, 1));
  BOOST_TEST(!RemoveJob(state, 1));
  BOOST_TEST(AdmitWaiting(state).empty());
}

// Guards against cache hits on blocks that are not a prefix of the prompt, and against a cache that
// exceeds its capacity.
BOOST_AUTO_TEST_CASE(PrefixCacheHitsPrefixesAndEvicts) {
  PrefixCache cache(4 * kTokensPerBlock);
  std::vector<CacheChange> changes;
  std::string shared(2 * kBytesPerBlock, 'a');
  BOOST_TEST(cache.LookupAndInsert(shared + std::string(kBytesPerBlock, 'b'), changes) == 0);
  BOOST_TEST(cache.LookupAndInsert(shared + std::string(kBytesPerBlock, 'c'), changes) ==
             2 * kTokensPerBlock);
  BOOST_TEST(cache.LookupAndInsert(std::string(kBytesPerBlock, 'b'), changes) == 0);
  BOOST_TEST(cache.blocks() == 4u);
  BOOST_TEST(changes.size() == 6u);  // five stored, one evicted
  BOOST_TEST(!changes.back().stored);
}

// Guards against a resumed stream that repeats or skips bytes.
BOOST_AUTO_TEST_CASE(ResumeStartsAtTheExactByte) {
  Generation generation;
  generation.tokens = {"ab ", "cd "};
  generation.generated_tokens = 2;
  BOOST_TEST(SeekTo(generation, 4));
  BOOST_TEST(generation.written_tokens == 1u);
  BOOST_TEST(generation.skip_bytes == 1u);
  BOOST_TEST(SeekTo(generation, 6));
  BOOST_TEST(generation.written_tokens == 2u);
  BOOST_TEST(!SeekTo(generation, 7));
}

// Guards against stream events that a client cannot parse.
BOOST_AUTO_TEST_CASE(StreamEventsContainTheText) {
  Generation generation;
  generation.request = ParseCompletionRequest(R"({"model":"m \"q\"","prompt":"p","max_tokens":3})");
  generation.tokens = AnswerTokens(generation.request);
  for (bool chat : {true, false}) {
    generation.chat = chat;
    std::string body;
    for (const std::string& token : generation.tokens) body += ChunkEvent(generation, token, true);
    body += FinalEvents(generation);
    test::SseText parsed = test::ParseSse(body);
    BOOST_TEST(parsed.text == AnswerText(generation.request));
    BOOST_TEST(parsed.done);
    BOOST_TEST(test::GeneratedText(NonStreamingResponse(generation)) == parsed.text);
  }
}

// Guards against silently ignoring a misspelt fault name or an invalid value in a test.
BOOST_AUTO_TEST_CASE(RejectsUnknownFaults) {
  Faults faults = ApplyFaults({}, R"({"break_after":3,"times":1})");
  BOOST_TEST(faults.break_after == 3);
  BOOST_TEST(ConsumeCountedFault(faults));
  BOOST_TEST(!ConsumeCountedFault(faults));
  BOOST_CHECK_THROW(ApplyFaults({}, R"({"brake_after":3})"), Error);
  BOOST_CHECK_THROW(ApplyFaults({}, R"({"slow":"yes"})"), Error);
  BOOST_TEST(ApplyFaults(faults, R"({"clear":true})").break_after == -1);
  BOOST_CHECK_THROW(ApplyLinkFaults({}, {{"drop", "sideways"}}), Error);
  BOOST_TEST(ApplyLinkFaults({}, {{"drop", "to_client"}}).drop_to_client);
}

// Guards against the event of a connection that is handled after the mode has changed: it must not
// use the acceptor, which no longer exists.
BOOST_AUTO_TEST_CASE(ListenerServesAfterItResetConnections) {
  using asio::ip::tcp;
  asio::io_context io;
  Listener listener(io, "127.0.0.1:0", "",
                    [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                      responder->Send(200, {}, "served");
                    });
  listener.SetMode(ListenMode::kReset);
  tcp::endpoint endpoint = ParseEndpoint(listener.address());
  tcp::socket first(io);
  tcp::socket second(io);
  first.connect(endpoint);
  second.connect(endpoint);
  first.non_blocking(true);
  // Accepts the first connection. The event of the second one is then queued.
  auto first_is_open = [&first] {
    char byte = 0;
    asio::error_code error;
    first.read_some(asio::buffer(&byte, 1), error);
    return error == asio::error::would_block;
  };
  while (first_is_open()) BOOST_REQUIRE(io.run_one_for(seconds(5)) == 1u);

  listener.SetMode(ListenMode::kServe);
  tcp::socket caller(io);
  caller.connect(endpoint);
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
  std::string response;
  bool done = false;
  asio::async_read(caller, asio::dynamic_buffer(response),
                   [&done](const asio::error_code&, size_t) { done = true; });
  while (!done) BOOST_REQUIRE(io.run_one_for(seconds(5)) == 1u);
  BOOST_TEST(response.find("served") != std::string::npos);
}

}  // namespace ebonylift::standin
