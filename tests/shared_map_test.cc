#define BOOST_TEST_MODULE shared_map
#include "base/shared_map.h"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

namespace ebonylift {
namespace {

using Numbers = SharedMap<std::string, int>;
using Reference = std::map<std::string, int>;

Reference Contents(const Numbers& map) { return Reference(map.begin(), map.end()); }

}  // namespace

// Guards against a change of one copy that another copy shows, and against entries that iteration,
// search or the size miss: random changes to copies, compared with plain maps.
BOOST_AUTO_TEST_CASE(CopiesAreIndependent) {
  constexpr uint64_t kSeed = 20261203;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937_64 rng(kSeed);
  std::vector<std::pair<Numbers, Reference>> copies(1);
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

// Guards against a change that copies everything: copies must share the entries they have in
// common.
BOOST_AUTO_TEST_CASE(CopiesShareUnchangedEntries) {
  Numbers map;
  for (int i = 0; i < 5000; ++i) map["key-" + std::to_string(i)] = i;
  Numbers copy = map;
  copy["key-7"] = -1;
  int shared = 0;
  for (const auto& [key, value] : map) shared += &value == &copy.at(key) ? 1 : 0;
  BOOST_TEST(shared > 4900);
  BOOST_TEST(map.at("key-7") == 7);
  BOOST_TEST(copy.at("key-7") == -1);
}

BOOST_AUTO_TEST_CASE(EmptyMap) {
  Numbers map;
  BOOST_TEST((map.begin() == map.end()));
  BOOST_TEST((map.find("a") == map.end()));
  BOOST_TEST(map.erase("a") == 0u);
  BOOST_CHECK_THROW(map.at("a"), std::out_of_range);
}

}  // namespace ebonylift
