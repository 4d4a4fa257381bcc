#define BOOST_TEST_MODULE work_rows
#include "core/work_rows.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <random>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000));

std::vector<ServerWork> RandomWork(std::mt19937_64& rng, size_t servers) {
  std::vector<ServerWork> work;
  for (size_t i = 0; i < servers; ++i) {
    if (rng() % 3 != 0) continue;
    ServerWork row{ServerId("i-" + std::to_string(i * 7919 % servers)), 0, 0, std::nullopt};
    row.in_flight = static_cast<int>(rng() % 6) - 1;
    if (rng() % 4 == 0) row.prefill_tokens = static_cast<int64_t>(rng() % 100'000) - 10;
    if (rng() % 16 == 0) row.limit = ObservedLimit{0.25 * static_cast<double>(rng() % 9), {}};
    if (row.limit) row.limit->age = milliseconds(static_cast<int64_t>(rng() % 9'000));
    if (row.in_flight != 0 || row.prefill_tokens != 0 || row.limit) work.push_back(row);
  }
  return work;
}

void CheckSame(std::vector<ServerWork> a, std::vector<ServerWork> b) {
  auto by_server = [](const ServerWork& x, const ServerWork& y) { return x.server < y.server; };
  std::sort(a.begin(), a.end(), by_server);
  std::sort(b.begin(), b.end(), by_server);
  BOOST_REQUIRE_EQUAL(a.size(), b.size());
  for (size_t i = 0; i < a.size(); ++i) {
    BOOST_TEST(a[i].server == b[i].server);
    BOOST_TEST(a[i].in_flight == b[i].in_flight);
    BOOST_TEST(a[i].prefill_tokens == b[i].prefill_tokens);
    BOOST_REQUIRE_EQUAL(a[i].limit.has_value(), b[i].limit.has_value());
    if (!a[i].limit) continue;
    BOOST_TEST(a[i].limit->per_s == b[i].limit->per_s);
    BOOST_TEST(std::abs(ToMillis(a[i].limit->age - b[i].limit->age)) <= 5);
  }
}

}  // namespace

// Guards against rows that are lost, kept or mixed up by changes in either form, for lists of any
// order, with limits, and with negative sums.
BOOST_AUTO_TEST_CASE(ReceiverHasTheSameList) {
  std::mt19937_64 rng(1);
  for (size_t servers : {1u, 3u, 50u, 1'000u}) {
    WorkEncoder encoder;
    WorkDecoder decoder;
    std::vector<ServerWork> work;
    for (int i = 0; i < 40; ++i) {
      Time now = kNow + i * milliseconds(100);
      // Some messages change a few rows only.
      if (i % 4 == 0) work = RandomWork(rng, servers);
      if (!work.empty()) work[rng() % work.size()].in_flight = 1 + i;
      auto decoded = DecodeWork(&decoder, EncodeWork(&encoder, work, now), now);
      BOOST_REQUIRE(decoded.has_value());
      CheckSame(*decoded, work);
    }
  }
}

// Guards against messages that grow with what did not change.
BOOST_AUTO_TEST_CASE(OnlyChangesAreSent) {
  std::mt19937_64 rng(1);
  WorkEncoder encoder;
  std::vector<ServerWork> work = RandomWork(rng, 1'000);
  BOOST_TEST(EncodeWork(&encoder, work, kNow).size() > 1'000u);
  // Limits that only age do not change.
  for (ServerWork& row : work) {
    if (row.limit) row.limit->age += milliseconds(100);
  }
  BOOST_TEST(EncodeWork(&encoder, work, kNow + milliseconds(100)).size() < 5u);
  work[7].in_flight += 1;
  BOOST_TEST(EncodeWork(&encoder, work, kNow + milliseconds(100)).size() < 25u);
  // With every row changed, small numbers of requests take two bits a server.
  for (ServerWork& row : work) row = {row.server, row.in_flight == 1 ? 2 : 1, 0, std::nullopt};
  BOOST_TEST(EncodeWork(&encoder, work, kNow).size() <= work.size() / 4 + 8);
}

// Guards against speeds that get lost where only changes are sent, and against rows that are sent
// again for each answer of a server.
BOOST_AUTO_TEST_CASE(SpeedsAreSentWhenTheyChange) {
  WorkEncoder encoder;
  WorkDecoder decoder;
  std::vector<ServerWork> work = {{ServerId("a"), 0, 0, std::nullopt},
                                  {ServerId("b"), 1, 500, std::nullopt}};
  work[0].speed = ObservedSpeed{0.6, 12, 1, 7};
  auto send = [&] { return DecodeWork(&decoder, EncodeWork(&encoder, work, kNow), kNow); };
  auto decoded = send();
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE_EQUAL(decoded->size(), 2u);
  BOOST_REQUIRE(decoded->front().speed.has_value());
  BOOST_TEST(decoded->front().speed->factor == 0.6, boost::test_tools::tolerance(0.02));
  BOOST_TEST(decoded->front().speed->weight == 12);
  BOOST_TEST(decoded->front().speed->recent == 1);
  BOOST_TEST(decoded->front().speed->incarnation == 7);
  BOOST_TEST(!decoded->back().speed.has_value());
  work[0].speed->weight = 13;
  std::string unchanged = EncodeWork(&encoder, work, kNow);
  BOOST_TEST(unchanged.size() < 5u);
  BOOST_REQUIRE(DecodeWork(&decoder, unchanged, kNow).has_value());
  work[0].speed->recent = 0.4;
  decoded = send();
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->front().speed->recent == 0.4, boost::test_tools::tolerance(0.02));
}

// Guards against changes that are applied to another list than the one they were made for, after a
// message was lost, and against a receiver that stays without a list.
BOOST_AUTO_TEST_CASE(LostMessageIsAGapUntilTheNextCompleteList) {
  WorkEncoder encoder;
  WorkDecoder decoder;
  auto list = [](int in_flight) {
    return std::vector<ServerWork>{{ServerId("a"), in_flight, 0, std::nullopt},
                                   {ServerId("b"), 1, 0, std::nullopt}};
  };
  BOOST_TEST(DecodeWork(&decoder, EncodeWork(&encoder, list(1), kNow), kNow).has_value());
  EncodeWork(&encoder, list(2), kNow);  // lost
  for (int i = 3; i < 6; ++i) {
    BOOST_TEST(!DecodeWork(&decoder, EncodeWork(&encoder, list(i), kNow), kNow).has_value());
  }
  ResetEncoder(&encoder);
  auto decoded = DecodeWork(&decoder, EncodeWork(&encoder, list(6), kNow), kNow);
  BOOST_REQUIRE(decoded.has_value());
  CheckSame(*decoded, list(6));
}

// Guards against changes after a lost complete list that are taken for changes of the list before,
// because they have the same number.
BOOST_AUTO_TEST_CASE(LostCompleteListIsAGap) {
  WorkEncoder encoder;
  WorkDecoder decoder;
  std::vector<ServerWork> one = {{ServerId("a"), 1, 0, std::nullopt}};
  std::vector<ServerWork> other = {{ServerId("b"), 1, 0, std::nullopt}};
  DecodeWork(&decoder, EncodeWork(&encoder, one, kNow), kNow);
  ResetEncoder(&encoder);
  EncodeWork(&encoder, other, kNow);  // lost
  other[0].in_flight = 2;
  BOOST_TEST(!DecodeWork(&decoder, EncodeWork(&encoder, other, kNow), kNow).has_value());
}

// Guards against a malformed message of a peer that is read past its end or takes much memory.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  std::mt19937_64 rng(1);
  WorkEncoder encoder;
  std::string message = EncodeWork(&encoder, RandomWork(rng, 100), kNow);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = message.substr(0, 1 + rng() % message.size());
    bytes[rng() % bytes.size()] = static_cast<char>(rng());
    WorkDecoder decoder;
    DecodeWork(&decoder, bytes, kNow);
    BOOST_REQUIRE_LE(decoder.rows.size(), bytes.size());
  }
  WorkDecoder decoder;
  BOOST_TEST(!DecodeWork(&decoder, "", kNow).has_value());
}

}  // namespace ebonylift
