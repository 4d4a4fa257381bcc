#define BOOST_TEST_MODULE standin
#include <boost/test/included/unit_test.hpp>

#include "base/error.h"
#include "testing/answer.h"
#include "testing/batch.h"
#include "testing/faults.h"
#include "testing/generation.h"
#include "testing/prefix_cache.h"
#include "testing/proxy_link.h"
#include "tests/support/test_client.h"

namespace ebonylift::standin {
namespace {

BatchState StateWithSlots(int slots) {
  BatchState state;
  state.settings.slots = slots;
  state.settings.prefill_per_token = Duration(10);
  state.settings.decode_per_token = Duration(1000);
  state.settings.slowdown_per_job = 0.5;
  state.settings.max_prefill_tokens_per_step = 100;
  return state;
}

BatchJob Job(uint64_t id, int priority, int prompt_tokens, int output_tokens) {
  BatchJob job;
  job.id = id;
  job.priority = priority;
  job.prompt_tokens = prompt_tokens;
  job.output_tokens = output_tokens;
  return job;
}

}  // namespace

// Guards against answers that depend on the transport (stream) or not on the request.
BOOST_AUTO_TEST_CASE(AnswerDependsOnTheRequestOnly) {
  std::string plain = R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5})";
  std::string stream =
      R"({"stream":true,"max_tokens":5,"messages":[{"content":"a"}],"model":"m","user":"u"})";
  std::string other = R"({"model":"m","messages":[{"role":"user","content":"b"}],"max_tokens":5})";
  BOOST_TEST(AnswerTextForBody(plain) == AnswerTextForBody(stream));
  BOOST_TEST(AnswerTextForBody(plain) != AnswerTextForBody(other));
  BOOST_TEST(AnswerTokens(ParsePrompt(plain)).size() == 5u);
  // The value is also in scripts/demo.py, which implements the same function.
  BOOST_TEST(AnswerTextForBody(plain) == "273d4d42b91dda1b oak palm trail oak ");
  BOOST_CHECK_THROW(ParsePrompt("{}"), Error);
  BOOST_CHECK_THROW(ParsePrompt("no json"), Error);
}

// Guards against a chapter that starts before a waiting interactive request, and against more
// running jobs than slots.
BOOST_AUTO_TEST_CASE(BatchAdmitsByPriorityThenArrival) {
  BatchState state = StateWithSlots(2);
  for (const BatchJob& job : {Job(1, 2, 1, 1), Job(2, 0, 1, 1), Job(3, 1, 1, 1), Job(4, 0, 1, 1)}) {
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

// Guards against decode time that ignores the batch and against prefill that emits tokens.
BOOST_AUTO_TEST_CASE(StepTimeGrowsWithBatchAndPrefill) {
  BatchState state = StateWithSlots(4);
  Enqueue(state, Job(1, 0, 150, 2));
  AdmitWaiting(state);
  BatchStep step = PlanStep(state);
  BOOST_TEST(step.duration.count() == 1000);  // 100 prompt tokens of 10 us, no token yet
  BOOST_TEST(step.emitted.empty());
  Enqueue(state, Job(2, 0, 1, 1));
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

// Guards against a cancelled job that keeps its slot and against a queue without bound.
BOOST_AUTO_TEST_CASE(BatchRemovesJobsAndIsBounded) {
  BatchState state = StateWithSlots(1);
  state.settings.max_waiting = 1;
  BOOST_TEST(Enqueue(state, Job(1, 0, 10, 1)));
  AdmitWaiting(state);
  BOOST_TEST(Enqueue(state, Job(2, 0, 20, 1)));
  BOOST_TEST(!Enqueue(state, Job(3, 0, 1, 1)));
  BOOST_TEST(PrefillTokensWaiting(state) == 30);
  BOOST_TEST(Remove(state, 2));
  BOOST_TEST(Remove(state, 1));
  BOOST_TEST(!Remove(state, 1));
  BOOST_TEST(AdmitWaiting(state).empty());
}

// Guards against hits that are not a prefix and against a cache that grows past its capacity.
BOOST_AUTO_TEST_CASE(PrefixCacheHitsPrefixesAndEvicts) {
  PrefixCache cache(4 * kTokensPerBlock);
  std::vector<CacheChange> changes;
  std::string shared(2 * kBytesPerBlock, 'a');
  BOOST_TEST(cache.Use(shared + std::string(kBytesPerBlock, 'b'), changes) == 0);
  BOOST_TEST(cache.Use(shared + std::string(kBytesPerBlock, 'c'), changes) == 2 * kTokensPerBlock);
  BOOST_TEST(cache.Use(std::string(kBytesPerBlock, 'b'), changes) == 0);
  BOOST_TEST(cache.blocks() == 4u);
  BOOST_TEST(changes.size() == 6u);  // five stored, one evicted
  BOOST_TEST(!changes.back().stored);
}

// Guards against a resumed stream that repeats or skips bytes.
BOOST_AUTO_TEST_CASE(ResumeStartsAtTheExactByte) {
  Generation generation;
  generation.tokens = {"ab ", "cd "};
  generation.generated = 2;
  BOOST_TEST(SeekTo(generation, 4));
  BOOST_TEST(generation.written == 1u);
  BOOST_TEST(generation.skip_bytes == 1u);
  BOOST_TEST(SeekTo(generation, 6));
  BOOST_TEST(generation.written == 2u);
  BOOST_TEST(!SeekTo(generation, 7));
}

// Guards against stream events that a client cannot parse.
BOOST_AUTO_TEST_CASE(StreamEventsCarryTheText) {
  Generation generation;
  generation.prompt = ParsePrompt(R"({"model":"m \"q\"","prompt":"p","max_tokens":3})");
  generation.tokens = AnswerTokens(generation.prompt);
  for (bool chat : {true, false}) {
    generation.chat = chat;
    std::string body;
    for (const std::string& token : generation.tokens) body += ChunkEvent(generation, token, true);
    body += FinalEvents(generation);
    test::SseText parsed = test::ParseSse(body);
    BOOST_TEST(parsed.text == AnswerText(generation.prompt));
    BOOST_TEST(parsed.done);
    BOOST_TEST(test::AnswerOf(PlainAnswer(generation)) == parsed.text);
  }
}

// Guards against a switch that is misspelt and silently ignored by a test.
BOOST_AUTO_TEST_CASE(UnknownFaultsAreRefused) {
  Faults faults = ApplyFaults({}, R"({"break_after":3,"times":1})");
  BOOST_TEST(faults.break_after == 3);
  BOOST_TEST(TakeCountedFault(faults));
  BOOST_TEST(!TakeCountedFault(faults));
  BOOST_CHECK_THROW(ApplyFaults({}, R"({"brake_after":3})"), Error);
  BOOST_CHECK_THROW(ApplyFaults({}, R"({"slow":"yes"})"), Error);
  BOOST_TEST(ApplyFaults(faults, R"({"clear":true})").break_after == -1);
  BOOST_CHECK_THROW(ApplyLinkFaults({}, {{"drop", "sideways"}}), Error);
  BOOST_TEST(ApplyLinkFaults({}, {{"drop", "to_client"}}).drop_to_client);
}

}  // namespace ebonylift::standin
