#define BOOST_TEST_MODULE attempt
#include "core/attempt.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <random>
#include <set>
#include <string>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
const Time kNow(seconds(1'000));

uint32_t Dispatch(RequestAttempts& request) { return OnDispatch(request, ServerId("s"), 1, kNow); }

std::string Describe(ChunkDecision decision) {
  switch (decision.action) {
    case ChunkAction::kRelay:
      return "relay " + std::to_string(decision.skip);
    case ChunkAction::kDrop:
      return "drop";
    case ChunkAction::kGap:
      return "gap";
  }
  return "?";
}

}  // namespace

// Guards against repeated or missing bytes in the caller's stream, and against bytes of two
// attempts in one stream (invariant I4).
BOOST_AUTO_TEST_CASE(BytesAreRelayedOnceAndInOrder) {
  RequestAttempts request;
  uint32_t first = Dispatch(request);
  uint32_t hedge = Dispatch(request);
  BOOST_TEST(Describe(OnChunk(request, first, 0, 10)) == "relay 0");
  BOOST_TEST(Describe(OnChunk(request, hedge, 0, 10)) == "drop");
  BOOST_TEST(Describe(OnChunk(request, first, 10, 5)) == "relay 0");
  // After a resume, the server sends some bytes again.
  BOOST_TEST(Describe(OnChunk(request, first, 12, 10)) == "relay 3");
  BOOST_TEST(Describe(OnChunk(request, first, 0, 22)) == "drop");
  BOOST_TEST(Describe(OnChunk(request, first, 23, 1)) == "gap");
  BOOST_TEST(Describe(OnChunk(request, 99, 0, 1)) == "drop");
  BOOST_TEST(BytesRelayed(request) == 22u);
  Abandon(request, first);
  BOOST_TEST(Describe(OnChunk(request, first, 22, 1)) == "drop");
}

// Guards against bytes that reach the caller after their attempt was abandoned, failed or finished.
BOOST_AUTO_TEST_CASE(LateDataIsDropped) {
  for (const char* end : {"abandon", "fail", "finish"}) {
    RequestAttempts request;
    uint32_t id = Dispatch(request);
    if (end == std::string("abandon")) Abandon(request, id);
    if (end == std::string("fail")) OnFailure(request, id, Run::kMayHaveRun);
    if (end == std::string("finish")) BOOST_TEST(Finish(request, id));
    BOOST_TEST(Describe(OnChunk(request, id, 0, 1)) == "drop", end);
  }
}

// Guards against two answers for one request.
BOOST_AUTO_TEST_CASE(OnlyOneAttemptAnswers) {
  RequestAttempts request;
  uint32_t first = Dispatch(request);
  uint32_t second = Dispatch(request);
  BOOST_TEST(Finish(request, second));
  BOOST_TEST(!Finish(request, first));
  BOOST_TEST(!Finish(request, second));
  BOOST_TEST((FindAttempt(request, first)->state == AttemptState::kAbandoned));

  RequestAttempts relayed;
  first = Dispatch(relayed);
  second = Dispatch(relayed);
  OnChunk(relayed, first, 0, 1);
  BOOST_TEST(!Finish(relayed, second), "the caller has bytes of another attempt");
  BOOST_TEST(Finish(relayed, first));

  RequestAttempts late;
  first = Dispatch(late);
  Abandon(late, first);
  BOOST_TEST(!Finish(late, first));
  BOOST_TEST((RequestRun(late) == Run::kRan));
}

// Guards against a refusal that says not_run although the work may have run (invariant I5).
BOOST_AUTO_TEST_CASE(RequestRunCombinesAttempts) {
  struct Row {
    const char* name;
    std::vector<Run> failures;
    Run expected;
  };
  const Run not_run = Run::kNotRun;
  const Run may = Run::kMayHaveRun;
  const Run ran = Run::kRan;
  for (const Row& row : std::vector<Row>{{"no attempt", {}, not_run},
                                         {"refused", {not_run}, not_run},
                                         {"all refused", {not_run, not_run}, not_run},
                                         {"lost", {may}, may},
                                         {"lost, then refused", {may, not_run}, may},
                                         {"refused, then lost", {not_run, may}, may},
                                         {"ran, then refused", {ran, not_run}, ran},
                                         {"lost, then ran", {may, ran}, ran}}) {
    RequestAttempts request;
    for (Run run : row.failures) OnFailure(request, Dispatch(request), run);
    BOOST_TEST((RequestRun(request) == row.expected), row.name);
  }

  RequestAttempts request;
  uint32_t id = Dispatch(request);
  BOOST_TEST((RequestRun(request) == may), "open");
  Abandon(request, id);
  BOOST_TEST(UnresolvedAttempts(request).size() == 1u);
  OnFailure(request, id, not_run);
  BOOST_TEST((RequestRun(request) == not_run), "the reply to the cancel arrived late");
  BOOST_TEST(UnresolvedAttempts(request).empty());
  OnChunk(request, id, 0, 1);
  BOOST_TEST((RequestRun(request) == may), "bytes contradict the reply to the cancel");
  OnFailure(request, id, not_run);
  BOOST_TEST((RequestRun(request) == may), "a repeated reply does not outweigh the bytes");
}

// Applies random sequences of events for servers whose true state is known. Guards against a run
// status that denies work that ran, and against a stream that is not a prefix of one attempt's
// answer.
BOOST_AUTO_TEST_CASE(RandomSequencesKeepInvariants) {
  std::mt19937_64 rng(kSeed);
  for (int round = 0; round < 5'000; ++round) {
    RequestAttempts request;
    std::vector<bool> started;
    std::set<uint32_t> ids;
    uint32_t relayed_from = 0;
    uint64_t relayed = 0;
    int answers = 0;
    for (int step = 0; step < 12; ++step) {
      if (started.empty() || rng() % 4 == 0) {
        uint32_t id = Dispatch(request);
        BOOST_TEST_REQUIRE(ids.insert(id).second);
        started.push_back(rng() % 2 == 0);
        continue;
      }
      auto id = static_cast<uint32_t>(1 + rng() % started.size());
      bool runs = started[id - 1];
      switch (rng() % 4) {
        case 0: {
          if (!runs) break;
          uint64_t offset = rng() % (relayed + 3);
          uint64_t size = 1 + rng() % 5;
          ChunkDecision decision = OnChunk(request, id, offset, size);
          if (decision.action != ChunkAction::kRelay) break;
          BOOST_TEST_REQUIRE((relayed_from == 0 || relayed_from == id));
          BOOST_TEST_REQUIRE(offset + decision.skip == relayed);
          BOOST_TEST_REQUIRE(answers == 0);
          relayed_from = id;
          relayed = offset + size;
          break;
        }
        case 1:
          OnFailure(request, id, runs ? Run::kMayHaveRun : Run::kNotRun);
          break;
        case 2:
          Abandon(request, id);
          break;
        default:
          if (runs && Finish(request, id)) {
            ++answers;
            BOOST_TEST_REQUIRE((relayed_from == 0 || relayed_from == id));
          }
      }
      bool any = std::count(started.begin(), started.end(), true) > 0;
      if (any) BOOST_TEST_REQUIRE((RequestRun(request) != Run::kNotRun));
      if (!any) BOOST_TEST_REQUIRE((RequestRun(request) != Run::kRan));
      BOOST_TEST_REQUIRE(answers <= 1);
      BOOST_TEST_REQUIRE(BytesRelayed(request) == relayed);
    }
  }
}

}  // namespace ebonylift
