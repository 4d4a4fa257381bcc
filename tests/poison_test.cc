#define BOOST_TEST_MODULE poison
#include "core/poison.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <random>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;
const Time kNow(seconds(100'000));
const ServerId kS1("s1");
const ServerId kS2("s2");

const char* VerdictName(PoisonVerdict verdict) {
  switch (verdict) {
    case PoisonVerdict::kClear:
      return "clear";
    case PoisonVerdict::kSuspect:
      return "suspect";
    case PoisonVerdict::kCondemned:
      return "condemned";
  }
  return "?";
}

struct Step {
  char kind;  // l: loss observed by this host, r: loss reported by another host, c: completion
  const char* server;
  std::vector<uint64_t> contents;
  bool alone;
  int64_t at_s;
  uint64_t incarnation = 0;
};

// The contents as a host dispatches them that knows all that the state says.
std::vector<RunningContent> Dispatched(const PoisonState& poison,
                                       const std::vector<uint64_t>& contents, Time now) {
  std::vector<RunningContent> dispatched;
  for (uint64_t content : contents) {
    dispatched.push_back({content, KnownLosses(poison, content, now)});
  }
  return dispatched;
}

struct Row {
  const char* name;
  std::vector<Step> steps;
  const char* verdict_1;  // expected verdict of content 1 at the end
  const char* verdict_2 = "clear";
};

}  // namespace

// Guards against a request that crashes servers and is run again and again, and against another
// request that is condemned because it ran on the same server.
BOOST_AUTO_TEST_CASE(SecondLossAloneCondemns) {
  const std::vector<Row> rows = {
      {"nothing", {}, "clear"},
      {"first loss", {{'l', "s1", {1, 2}, false, 0}}, "suspect", "suspect"},
      {"a first loss alone doesn't condemn", {{'l', "s1", {1}, true, 0}}, "suspect"},
      {"second loss alone",
       {{'l', "s1", {1, 2}, false, 0}, {'l', "s2", {1}, true, 60}},
       "condemned",
       "suspect"},
      {"second loss with other work on the server",
       {{'l', "s1", {1, 2}, false, 0}, {'l', "s2", {1, 2}, true, 60}},
       "suspect",
       "suspect"},
      {"two requests with the content on one server",
       {{'l', "s1", {1, 1}, true, 0}, {'l', "s2", {1, 1}, true, 60}},
       "suspect"},
      {"two losses in succession, never alone",
       {{'l', "s1", {1, 2}, false, 0}, {'l', "s2", {1, 2}, false, 60}},
       "suspect",
       "suspect"},
      {"three losses in succession, never alone",
       {{'l', "s1", {1, 2}, false, 0},
        {'l', "s2", {1, 2}, false, 60},
        {'l', "s1", {1}, false, 120}},
       "condemned",
       "suspect"},
      {"reverting a condemnation leaves the losses in succession",
       {{'l', "s1", {1, 2}, false, 0},
        {'l', "s2", {1}, true, 60},
        {'l', "s1", {1}, false, 120},
        {'r', "s2", {2}, false, 61}},
       "condemned",
       "suspect"},
      {"a completion between the losses",
       {{'l', "s1", {1}, false, 0},
        {'l', "s2", {1}, false, 60},
        {'c', "", {1}, false, 61},
        {'l', "s1", {1}, false, 120}},
       "suspect"},
      {"completed", {{'l', "s1", {1}, false, 0}, {'c', "", {1}, false, 1}}, "clear"},
      {"completed, then lost alone: a first loss again",
       {{'l', "s1", {1}, false, 0}, {'c', "", {1}, false, 1}, {'l', "s2", {1}, true, 60}},
       "suspect"},
      {"a completion doesn't clear a condemnation",
       {{'l', "s1", {1}, false, 0}, {'l', "s2", {1}, true, 60}, {'c', "", {1}, false, 61}},
       "condemned"},
      {"reported first loss, own loss alone",
       {{'r', "s1", {1}, false, 0}, {'l', "s2", {1}, true, 60}},
       "condemned"},
      {"own first loss, reported loss alone",
       {{'l', "s1", {1}, false, 0}, {'r', "s2", {1}, true, 60}},
       "condemned"},
      {"a report of the loss seen here is not a second loss",
       {{'l', "s1", {1}, false, 0}, {'r', "s1", {1}, true, 1}},
       "suspect"},
      {"another host had work there, reported later",
       {{'l', "s1", {1}, false, 0}, {'l', "s2", {1}, true, 60}, {'r', "s2", {2}, false, 61}},
       "suspect",
       "suspect"},
      {"another host had work there, reported before",
       {{'l', "s1", {1}, false, 0}, {'r', "s2", {2}, false, 59}, {'l', "s2", {1}, true, 60}},
       "suspect",
       "suspect"},
      {"two hosts believed to be alone on one server",
       {{'l', "s1", {1, 2}, false, 0}, {'l', "s2", {1}, true, 60}, {'r', "s2", {2}, true, 60}},
       "suspect",
       "suspect"},
      {"a later loss of the server with other work",
       {{'l', "s1", {1}, false, 0}, {'l', "s2", {1}, true, 60}, {'r', "s2", {2}, false, 90}},
       "condemned",
       "suspect"},
      {"the server restarted at once and was lost again",
       {{'l', "s1", {1, 2}, false, 0, 7}, {'l', "s1", {1}, true, 2, 8}},
       "condemned",
       "suspect"},
      {"expired in between",
       {{'l', "s1", {1}, false, 0}, {'l', "s2", {1}, true, 3'600}},
       "suspect"},
  };
  for (const Row& row : rows) {
    PoisonState poison;
    Time now = kNow;
    for (const Step& step : row.steps) {
      now = kNow + seconds(step.at_s);
      ServerId server(step.server);
      if (step.kind == 'l') {
        OnServerLost(poison, server, Dispatched(poison, step.contents, now), step.alone, now,
                     step.incarnation);
      } else if (step.kind == 'r') {
        OnLossReported(poison, server, step.contents[0], step.alone, 1, now);
      } else {
        OnCompleted(poison, step.contents[0]);
      }
    }
    BOOST_TEST(VerdictName(Verdict(poison, 1, now)) == row.verdict_1, row.name);
    BOOST_TEST(VerdictName(Verdict(poison, 2, now)) == row.verdict_2, row.name);
  }
}

// Guards against verdicts that never expire, and against servers that are kept free although there
// is no suspect.
BOOST_AUTO_TEST_CASE(VerdictsExpire) {
  PoisonState poison;
  BOOST_TEST((SetAsideUntil(poison) == Time()));
  OnServerLost(poison, kS1, {{1, 0}}, false, kNow);
  BOOST_TEST((SetAsideUntil(poison) == kNow + kSetAsideDuration));
  OnServerLost(poison, kS2, {{1, 1}}, true, kNow + seconds(60));
  Time last = kNow + seconds(60) + kSuspectTtl;
  BOOST_TEST(VerdictName(Verdict(poison, 1, last - seconds(1))) == "condemned");
  BOOST_TEST(VerdictName(Verdict(poison, 1, last)) == "clear");
  BOOST_TEST(Expire(poison, last) == 1u);
  BOOST_TEST(poison.suspects.empty());
  BOOST_TEST(poison.losses.empty());

  OnServerLost(poison, kS1, {{1, 0}}, false, last);
  OnCompleted(poison, 1);
  BOOST_TEST((SetAsideUntil(poison) == Time()));
}

// Guards against memory that grows without limit with the number of contents, and against many new
// suspects that evict condemned contents.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  PoisonState poison;
  OnServerLost(poison, kS1, {{1, 0}}, false, kNow);
  OnServerLost(poison, kS2, {{1, 1}}, true, kNow + seconds(60));
  std::vector<RunningContent> many;
  for (uint64_t i = 10; i < 10 + 2 * kMaxSuspects; ++i) many.push_back({i, 0});
  OnServerLost(poison, kS1, many, false, kNow + seconds(120));
  BOOST_TEST(poison.suspects.size() == kMaxSuspects);
  BOOST_TEST(poison.losses.size() <= kMaxLosses);
  BOOST_TEST(VerdictName(Verdict(poison, 1, kNow + seconds(121))) == "condemned");
}

// Random traffic in which content 0 crashes every server that runs it, and suspects run alone.
// Guards against a rule that does not condemn content 0, that condemns another content, or that
// needs more than the loss of two servers for it.
BOOST_AUTO_TEST_CASE(RandomTrafficCondemnsOnlyTheCrashingContent) {
  std::mt19937_64 rng(kSeed);
  for (int round = 0; round < 500; ++round) {
    PoisonState poison;
    Time now = kNow;
    int lost = 0;
    while (Verdict(poison, 0, now) != PoisonVerdict::kCondemned) {
      now += seconds(10);
      std::vector<uint64_t> batch = {rng() % 20, rng() % 20, rng() % 20};
      if (rng() % 2 == 0) batch[rng() % 3] = 0;
      std::vector<uint64_t> sent_together;
      for (uint64_t content : batch) {
        PoisonVerdict verdict = Verdict(poison, content, now);
        if (verdict == PoisonVerdict::kClear) sent_together.push_back(content);
        if (verdict != PoisonVerdict::kSuspect) continue;
        now += seconds(10);
        if (content == 0) {
          OnServerLost(poison, kS2, Dispatched(poison, {content}, now), true, now);
          ++lost;
        } else {
          OnCompleted(poison, content);
        }
      }
      bool crash = std::count(sent_together.begin(), sent_together.end(), 0u) > 0;
      if (crash) {
        OnServerLost(poison, kS1, Dispatched(poison, sent_together, now), false, now);
        ++lost;
      }
      for (uint64_t content : sent_together) {
        if (!crash) OnCompleted(poison, content);
      }
      for (uint64_t content = 1; content < 20; ++content) {
        BOOST_TEST_REQUIRE((Verdict(poison, content, now) != PoisonVerdict::kCondemned),
                           "round " << round << ", seed " << kSeed);
      }
    }
    BOOST_TEST_REQUIRE(lost == 2, "round " << round << ", seed " << kSeed);
  }
}

// Guards against a harmless request that is condemned because all servers that ran it were lost at
// the same moment, as with their failure domain, or because several hosts report one loss.
BOOST_AUTO_TEST_CASE(LossesAtTheSameTimeAreNotInSuccession) {
  PoisonState poison;
  for (int i = 0; i < 2 * kLossesToCondemn; ++i) {
    OnServerLost(poison, ServerId("s" + std::to_string(i)), {{1, 0}}, false, kNow);
    OnLossReported(poison, ServerId("r" + std::to_string(i)), 1, false, 1, kNow);
  }
  BOOST_TEST(VerdictName(Verdict(poison, 1, kNow)) == "suspect");
  BOOST_TEST(KnownLosses(poison, 1, kNow) == 1);
}

// Guards against a request that crashes one server after the other, each beside other work and each
// reported by another host, and is never condemned; and against a report that arrives late.
BOOST_AUTO_TEST_CASE(LossesOfSeveralHostsAreInSuccession) {
  PoisonState poison;
  OnLossReported(poison, kS2, 1, false, 2, kNow);
  BOOST_TEST(KnownLosses(poison, 1, kNow) == 2);
  LossFinding late = OnLossReported(poison, kS1, 1, false, 1, kNow);
  BOOST_TEST(late.losses == 2);
  std::vector<LossFinding> findings =
      OnServerLost(poison, kS1, {{1, 2}, {2, 0}}, false, kNow + seconds(10));
  BOOST_TEST(VerdictName(findings[0].verdict) == "condemned");
  BOOST_TEST(findings[0].losses == kLossesToCondemn);
  BOOST_TEST(findings[0].is_news);
  BOOST_TEST(VerdictName(findings[1].verdict) == "suspect");
}

// Guards against reports of one loss that hosts send to each other again and again.
BOOST_AUTO_TEST_CASE(RepeatedObservationIsNoNews) {
  PoisonState poison;
  BOOST_TEST(OnServerLost(poison, kS1, {{1, 0}}, false, kNow)[0].is_news);
  BOOST_TEST(!OnServerLost(poison, kS1, {{1, 0}}, false, kNow)[0].is_news);
  BOOST_TEST(!OnLossReported(poison, kS1, 1, false, 1, kNow).is_news);
  OnCompleted(poison, 1);
  BOOST_TEST(!OnLossReported(poison, kS1, 1, false, 1, kNow).is_news);
  BOOST_TEST(VerdictName(Verdict(poison, 1, kNow)) == "clear");
}

// Guards against a host that missed the reports and runs a condemned request, against suspicions
// that never expire because hosts tell each other of them, and against a condemnation that one host
// reverts and another keeps.
BOOST_AUTO_TEST_CASE(KnownSuspectsAreShared) {
  PoisonState poison;
  OnLossReported(poison, kS1, 1, false, kLossesToCondemn, kNow);
  OnLossReported(poison, kS1, 2, false, 1, kNow + seconds(10));
  OnLossReported(poison, kS1, 3, false, 1, kNow + seconds(20));
  OnServerLost(poison, kS2, {{3, 1}}, true, kNow + seconds(30));
  BOOST_TEST(VerdictName(Verdict(poison, 3, kNow + seconds(30))) == "condemned");
  std::vector<KnownSuspect> known = KnownSuspects(poison, 2, kNow + seconds(31));
  BOOST_REQUIRE(known.size() == 2u);
  BOOST_TEST(known[0].content == 1u);
  BOOST_TEST(known[1].content == 3u);
  BOOST_TEST(known[1].losses == 2);
  known = KnownSuspects(poison, 3, kNow + seconds(60));
  BOOST_REQUIRE(known.size() == 3u);
  BOOST_TEST(known[0].content == 3u);
  BOOST_TEST(known[0].losses == kLossesToCondemn);

  PoisonState other;
  Time later = kNow + seconds(500'000);  // the steady clocks of two hosts differ
  for (const KnownSuspect& suspect : known) {
    bool condemned = suspect.losses >= kLossesToCondemn;
    BOOST_TEST(OnSuspectKnown(other, suspect, later) == condemned);
    BOOST_TEST(!OnSuspectKnown(other, suspect, later));
  }
  BOOST_TEST(VerdictName(Verdict(other, 1, later)) == "condemned");
  BOOST_TEST(VerdictName(Verdict(other, 2, later)) == "suspect");
  BOOST_TEST(VerdictName(Verdict(other, 1, later + kSuspectTtl - seconds(60))) == "clear");
  BOOST_TEST(!OnSuspectKnown(other, {9, kLossesToCondemn, kSuspectTtl}, later));
  BOOST_TEST(VerdictName(Verdict(other, 9, later)) == "clear");
}

}  // namespace ebonylift
