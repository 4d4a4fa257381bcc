#define BOOST_TEST_MODULE alive_sets
#include "core/alive_sets.h"

#include <boost/test/included/unit_test.hpp>
#include <random>

namespace ebonylift {
namespace {

struct Fixture {
  AliveNumbering numbering{7, {}, {}};
  AliveKeys received;

  // Encodes a set for a receiver with the first `known` keys.
  std::string Write(const std::vector<uint64_t>& keys, size_t known) {
    std::vector<size_t> numbers;
    for (uint64_t key : keys) numbers.push_back(NumberOfKey(&numbering, key));
    return WriteAliveSet(numbering, known, numbers, milliseconds(250));
  }
};

}  // namespace

// Guards against servers that are taken for others, and against keys that are sent each time.
BOOST_FIXTURE_TEST_CASE(KeysAreSentOnceAndThenABitForEachServer, Fixture) {
  std::vector<uint64_t> keys;
  for (uint64_t i = 0; i < 500; ++i) keys.push_back((i * 0x9e3779b97f4a7c15) >> 16);
  auto set = ReadAliveSet(&received, Write(keys, 0));
  BOOST_REQUIRE(set.has_value());
  BOOST_TEST(set->keys == keys);
  BOOST_TEST((set->age == milliseconds(250)));
  std::vector<uint64_t> some = {keys[0], keys[8], keys[499], 12345};
  std::string message = Write(some, keys.size());
  BOOST_TEST(message.size() < 80u);
  set = ReadAliveSet(&received, message);
  BOOST_REQUIRE(set.has_value());
  BOOST_TEST(set->keys == some);
}

// Guards against numbers that mean other servers to the receiver, after a lost message and after
// the sender numbered its servers anew.
BOOST_FIXTURE_TEST_CASE(MissingKeysAreAGap, Fixture) {
  BOOST_TEST(ReadAliveSet(&received, Write({1, 2}, 0)).has_value());
  Write({3}, 2);  // lost
  BOOST_TEST(!ReadAliveSet(&received, Write({4}, 3)).has_value());
  auto set = ReadAliveSet(&received, Write({4}, 0));
  BOOST_REQUIRE(set.has_value());
  BOOST_TEST(set->keys == std::vector<uint64_t>{4});
  AliveNumbering restarted{8, {9, 10}, {{9, 0}, {10, 1}}};
  BOOST_TEST(!ReadAliveSet(&received, WriteAliveSet(restarted, 2, {1}, Duration(0))).has_value());
}

// Guards against a numbering that grows with each new announcement.
BOOST_FIXTURE_TEST_CASE(NumbersStartAgainInANewGeneration, Fixture) {
  for (uint64_t key = 0; key < kMaxNumberedServers; ++key) NumberOfKey(&numbering, key);
  BOOST_TEST(numbering.generation == 7u);
  BOOST_TEST(NumberOfKey(&numbering, 1 << 20) == 0u);
  BOOST_TEST(numbering.generation == 8u);
  BOOST_TEST(numbering.keys.size() == 1u);
}

// Guards against a malformed message of a peer that is read past its end or takes much memory.
BOOST_FIXTURE_TEST_CASE(MalformedMessagesAreRejected, Fixture) {
  std::mt19937_64 rng(1);
  std::string message = Write({1, 2, 3, 1ULL << 47}, 0);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = message.substr(0, 1 + rng() % message.size());
    bytes[rng() % bytes.size()] = static_cast<char>(rng());
    ReadAliveSet(&received, bytes);
    BOOST_REQUIRE_LE(received.keys.size(), 8u);
  }
}

}  // namespace ebonylift
