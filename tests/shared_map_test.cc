#define BOOST_TEST_MODULE shared_map
#include "base/shared_map.h"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

namespace ebonylift {
namespace {

using IntMap = SharedMap<std::string, int>;
using ReferenceMap = std::map<std::string, int>;

ReferenceMap Contents(const IntMap& map) { return ReferenceMap(map.begin(), map.end()); }

}  // namespace

// Applies random modifications to several copies and compares each copy with a std::map. Detects a
// modification that is visible in another copy, and entries missing from iteration, find() or
// size().
BOOST_AUTO_TEST_CASE(CopiesAreIndependent) {
  constexpr uint64_t kSeed = 20261203;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937_64 rng(kSeed);
  std::vector<std::pair<IntMap, ReferenceMap>> copies(1);
  for (int step = 0; step < 3000; ++step) {
    if (step % 300 == 0) copies.push_back(copies[rng() % copies.size()]);
    auto& [map, reference] = copies[rng() % copies.size()];
    std::string key = "key-" + std::to_string(rng() % 700);
    if (rng() % 3 == 0) {
      BOOST_TEST(map.erase(key) == reference.erase(key));
    } else {
      map[key] = step;
      reference[key] = step;
    }
  }
  for (const auto& [map, reference] : copies) {
    BOOST_TEST((Contents(map) == reference));
    BOOST_TEST(map.size() == reference.size());
    for (int i = 0; i < 700; ++i) {
      std::string key = "key-" + std::to_string(i);
      auto found = map.find(key);
      auto expected = reference.find(key);
      BOOST_TEST((found == map.end()) == (expected == reference.end()));
      if (found != map.end()) BOOST_TEST(found->second == expected->second);
    }
  }
}

// A modification must copy only the affected shard; all other entries stay shared.
BOOST_AUTO_TEST_CASE(CopiesShareUnmodifiedEntries) {
  IntMap map;
  for (int i = 0; i < 5000; ++i) map["key-" + std::to_string(i)] = i;
  IntMap copy = map;
  copy["key-7"] = -1;
  int shared = 0;
  for (const auto& [key, value] : map) shared += &value == &copy.at(key) ? 1 : 0;
  BOOST_TEST(shared > 4900);
  BOOST_TEST(map.at("key-7") == 7);
  BOOST_TEST(copy.at("key-7") == -1);
}

BOOST_AUTO_TEST_CASE(EmptyMap) {
  IntMap map;
  BOOST_TEST((map.begin() == map.end()));
  BOOST_TEST((map.find("a") == map.end()));
  BOOST_TEST(map.erase("a") == 0u);
  BOOST_CHECK_THROW(map.at("a"), std::out_of_range);
}

}  // namespace ebonylift
