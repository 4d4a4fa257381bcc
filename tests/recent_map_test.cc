#define BOOST_TEST_MODULE recent_map
#include "base/recent_map.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

constexpr Duration kInterval = seconds(30);
constexpr size_t kMaxEntries = 4;
const Time kStart = Time() + seconds(1'000);

bool Has(const RecentMap<int>& map, uint64_t key, Time now) {
  return map.Find(key, now) != nullptr;
}

}  // namespace

// Guards against an entry that is forgotten before one interval has passed, or kept for more than
// two, with and without later entries.
BOOST_AUTO_TEST_CASE(KeepsEntriesForOneToTwoIntervals) {
  RecentMap<int> map(kInterval, kMaxEntries);
  map.Set(1, 10, kStart);
  BOOST_TEST(*map.Find(1, kStart + kInterval - milliseconds(1)) == 10);
  BOOST_TEST(!Has(map, 2, kStart));
  BOOST_TEST(!Has(map, 1, kStart + 2 * kInterval));
  // Set late in its interval, and followed by one entry of the next one.
  map.Set(3, 30, kStart + kInterval - milliseconds(1));
  map.Set(4, 40, kStart + kInterval);
  BOOST_TEST(Has(map, 3, kStart + 2 * kInterval - milliseconds(1)));
  BOOST_TEST(!Has(map, 3, kStart + 2 * kInterval + milliseconds(1)));
  BOOST_TEST(Has(map, 4, kStart + 2 * kInterval + milliseconds(1)));
  // After a pause longer than two intervals nothing is left, also when a new entry is set.
  map.Set(5, 50, kStart + 10 * kInterval);
  BOOST_TEST(!Has(map, 4, kStart + 10 * kInterval));
  BOOST_TEST(Has(map, 5, kStart + 10 * kInterval));
}

// Guards against memory that grows with the rate of entries, and against dropping the newest ones.
BOOST_AUTO_TEST_CASE(DropsTheOldestEntriesWhenFull) {
  RecentMap<int> map(kInterval, kMaxEntries);
  for (uint64_t key = 0; key < 3 * kMaxEntries; ++key) map.Set(key, 0, kStart);
  size_t kept = 0;
  for (uint64_t key = 0; key < 3 * kMaxEntries; ++key) kept += Has(map, key, kStart) ? 1 : 0;
  BOOST_TEST(kept == 2 * kMaxEntries);
  BOOST_TEST(Has(map, 3 * kMaxEntries - 1, kStart));
}

}  // namespace ebonylift
