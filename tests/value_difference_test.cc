#define BOOST_TEST_MODULE value_difference
#include "core/value_difference.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>
#include <random>
#include <string>

#include "base/error.h"

namespace ebonylift {
namespace {

constexpr size_t kMaxBytes = 8 << 20;

// A document of `routes` entries that share most of their text.
std::string Document(int routes, uint64_t seed) {
  std::mt19937_64 rng(seed);
  std::string text = "[";
  for (int i = 0; i < routes; ++i) {
    text += R"({"backends":[{"service":"portal","weight":1}],"deadline_ms":3000,"id":"r-)" +
            std::to_string(rng()) + R"(","idempotent":true,"max_attempts":2},)";
  }
  return text + "]";
}

}  // namespace

// Guards against a value that comes back changed, for values with and without a base.
BOOST_AUTO_TEST_CASE(AppliedDifferenceGivesTheValue) {
  constexpr uint32_t kSeed = 20'264;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  std::string base;
  for (int i = 0; i < 200; ++i) {
    std::string value = base;
    size_t at = value.empty() ? 0 : rng() % value.size();
    if (rng() % 3 == 0) value.erase(at, rng() % 1'000);
    value.insert(std::min(at, value.size()), Document(static_cast<int>(rng() % 5), rng()));
    std::string difference = EncodeDifference(base, value);
    BOOST_REQUIRE(ApplyDifference(base, difference, kMaxBytes) == value);
    base = value;
  }
  BOOST_TEST(ApplyDifference("", EncodeDifference("", ""), 0).empty());
}

// Guards against differences of a large document that are as large as the document.
BOOST_AUTO_TEST_CASE(DifferenceIsAboutAsLargeAsWhatChanged) {
  constexpr int kRoutes = 30'000;
  std::string base = Document(kRoutes, 1);
  BOOST_REQUIRE(base.size() > (3u << 20));
  std::string value = base;
  value.replace(value.size() / 2, 4, "5000");
  value.insert(100, "{\"a\":\"new route\"},");
  BOOST_TEST(EncodeDifference(base, value).size() <= base.size() / 100);
  BOOST_TEST(EncodeDifference("", base).size() <= base.size() / 4);
}

// Guards against a value that is made from another base than the one of the difference, and against
// malformed input that allocates memory without bound.
BOOST_AUTO_TEST_CASE(WrongInputIsRejected) {
  std::string base = Document(1'000, 1);
  std::string value = base + "x";
  std::string difference = EncodeDifference(base, value);
  BOOST_CHECK_THROW(ApplyDifference(Document(1'000, 2), difference, kMaxBytes), Error);
  BOOST_CHECK_THROW(ApplyDifference("", difference, kMaxBytes), Error);
  BOOST_CHECK_THROW(ApplyDifference(base, difference, value.size() - 1), Error);
  for (size_t n = 0; n < difference.size(); ++n) {
    BOOST_CHECK_THROW(ApplyDifference(base, difference.substr(0, n), kMaxBytes), Error);
  }
  std::string malformed(100, '\xff');
  BOOST_CHECK_THROW(ApplyDifference(base, malformed, kMaxBytes), Error);
}

}  // namespace ebonylift
