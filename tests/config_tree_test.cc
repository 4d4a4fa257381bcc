#define BOOST_TEST_MODULE config_tree
#include "core/config_tree.h"

#include <boost/test/included/unit_test.hpp>
#include <iostream>
#include <random>

namespace ebonylift {
namespace {

ConfigPut MakePut(const std::string& path, std::optional<std::string> value, uint64_t base,
                  const std::string& request_id = "") {
  ConfigPut put;
  put.path = path;
  put.value = std::move(value);
  put.base_revision = base;
  put.request_id = request_id;
  put.operator_name = "ana";
  return put;
}

}  // namespace

// Guards against two puts with the same base revision that both succeed.
BOOST_AUTO_TEST_CASE(OneOfTwoPutsWithEqualBaseSucceeds) {
  ConfigTree tree;
  PutResult first = ApplyPut(&tree, MakePut("/a", "1", 0), 10);
  PutResult second = ApplyPut(&tree, MakePut("/a", "2", 0), 11);
  BOOST_TEST((first.outcome == PutOutcome::kApplied));
  BOOST_TEST(first.revision == 1u);
  BOOST_TEST((second.outcome == PutOutcome::kConflict));
  BOOST_TEST(second.revision == 1u);
  BOOST_TEST(*second.current_value == "1");
  BOOST_TEST(tree.entries.at("/a").value == "1");
}

// Guards against a resent put that is applied again or gets a different result than the original.
BOOST_AUTO_TEST_CASE(ResentPutGetsTheOriginalResult) {
  ConfigTree tree;
  ApplyPut(&tree, MakePut("/a", "1", 0, "r1"), 10);
  PutResult conflict = ApplyPut(&tree, MakePut("/a", "2", 0, "r2"), 10);
  ApplyPut(&tree, MakePut("/a", "3", 1, "r3"), 10);
  PutResult again = ApplyPut(&tree, MakePut("/a", "1", 0, "r1"), 12);
  BOOST_TEST((again.outcome == PutOutcome::kDuplicate));
  BOOST_TEST((again.original_outcome == PutOutcome::kApplied));
  BOOST_TEST(again.revision == 1u);
  PutResult conflict_again = ApplyPut(&tree, MakePut("/a", "2", 0, "r2"), 12);
  BOOST_TEST((conflict_again.original_outcome == PutOutcome::kConflict));
  BOOST_TEST(*conflict_again.current_value == *conflict.current_value);
  BOOST_TEST(tree.revision == 2u);
}

// Guards against returning a recorded result to a different change with the same request id, and
// against conflicts between operators who happen to use the same request id.
BOOST_AUTO_TEST_CASE(RequestIdIdentifiesOneChangeOfOneOperator) {
  ConfigTree tree;
  ApplyPut(&tree, MakePut("/a", "1", 0, "r1"), 10);
  BOOST_TEST((ApplyPut(&tree, MakePut("/b", "1", 0, "r1"), 10).outcome == PutOutcome::kIdReused));
  ConfigPut other = MakePut("/b", "1", 0, "r1");
  other.operator_name = "bilal";
  BOOST_TEST((ApplyPut(&tree, other, 10).outcome == PutOutcome::kApplied));
}

// Guards against deletions that leave the path in place, or that accept a path that does not exist.
BOOST_AUTO_TEST_CASE(DeletionRequiresTheCurrentRevision) {
  ConfigTree tree;
  ApplyPut(&tree, MakePut("/a", "1", 0), 10);
  BOOST_TEST(
      (ApplyPut(&tree, MakePut("/a", std::nullopt, 0), 10).outcome == PutOutcome::kConflict));
  BOOST_TEST((ApplyPut(&tree, MakePut("/a", std::nullopt, 1), 10).outcome == PutOutcome::kApplied));
  BOOST_TEST(PathRevision(tree, "/a") == 0u);
  BOOST_TEST((ApplyPut(&tree, MakePut("/a", std::nullopt, 0), 10).outcome == PutOutcome::kInvalid));
  BOOST_TEST(tree.revision == 2u);
}

// Guards against subtree reads that include siblings whose names start with the same text.
BOOST_AUTO_TEST_CASE(SubtreeEndsAtSegmentBoundaries) {
  ConfigTree tree;
  for (const char* path :
       {"/teams/a/limits", "/teams/a-b/limits", "/teams/a", "/teams/ab/limits"}) {
    ApplyPut(&tree, MakePut(path, "1", 0), 10);
  }
  BOOST_TEST(ReadTree(tree, "/teams/a").size() == 2u);
  BOOST_TEST(ReadTree(tree, "/teams/a/").size() == 2u);
  BOOST_TEST(ReadTree(tree, "/").size() == 4u);
  BOOST_TEST(ReadTree(tree, "").size() == 4u);
  BOOST_TEST(ReadHistory(tree, "/teams/a", 10).size() == 2u);
  BOOST_TEST(ReadHistory(tree, "/", 3).front().path == "/teams/ab/limits");
}

// Guards against unbounded growth of the history and of the request results.
BOOST_AUTO_TEST_CASE(HistoryAndRequestsAreBounded) {
  ConfigTree tree;
  for (uint64_t i = 0; i < kMaxHistory + 50; ++i) {
    ApplyPut(&tree, MakePut("/a", "1", i, "r" + std::to_string(i)), 10);
  }
  BOOST_TEST(tree.history.size() == kMaxHistory);
  BOOST_TEST(tree.requests.size() <= kMaxRequests);
  BOOST_TEST(tree.requests.size() == tree.request_order.size());
  BOOST_TEST(!DeltasSince(tree, 49, 1 << 30).has_value());
  BOOST_TEST(DeltasSince(tree, 50, 1 << 30)->size() == kMaxHistory);
  BOOST_TEST(!DeltasSince(tree, tree.revision + 1, 1 << 30).has_value());
  BOOST_TEST(DeltasSince(tree, 50, 1)->size() == 1u);

  ConfigTree large;
  std::string value(kMaxValueBytes, 'x');
  for (uint64_t i = 0; i < 1'200; ++i) {
    ApplyPut(&large, MakePut("/a", value, i, "r" + std::to_string(i)), 10);
    ApplyPut(&large, MakePut("/a", value, 0, "c" + std::to_string(i)), 10);
  }
  BOOST_TEST(large.history_bytes <= kMaxHistoryBytes);
  BOOST_TEST(large.request_bytes <= kMaxRequestBytes);
  BOOST_TEST((ApplyPut(&large, MakePut("/b", value + "x", 0), 10).outcome == PutOutcome::kInvalid));
}

// Guards against replicas that diverge after deltas or snapshots. Applies random puts to a tree
// that is repeatedly restored from a snapshot and to a std::map as reference; a follower applies
// deltas.
BOOST_AUTO_TEST_CASE(DeltasAndSnapshotsReproduceTheTree) {
  constexpr uint32_t kSeed = 20'261;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 rng(kSeed);
  ConfigTree tree;
  ConfigTree follower;
  std::map<std::string, std::string> reference;
  for (int i = 0; i < 3'000; ++i) {
    std::string path = "/p/" + std::to_string(rng() % 20);
    uint64_t base = rng() % 4 == 0 ? rng() % 5 : PathRevision(tree, path);
    bool matches = base == PathRevision(tree, path);
    std::optional<std::string> value;
    if (rng() % 5 != 0) value = std::to_string(rng() % 1'000);
    bool expected = matches && (value || base != 0);
    PutResult result = ApplyPut(&tree, MakePut(path, value, base, std::to_string(i)), i);
    BOOST_REQUIRE((result.outcome == PutOutcome::kApplied) == expected);
    if (expected && value) reference[path] = *value;
    if (expected && !value) reference.erase(path);
    if (rng() % 10 == 0) {
      auto deltas = DeltasSince(tree, follower.revision, 500);
      for (const StoredChange& change : DecodeChanges(EncodeChanges(*deltas))) {
        BOOST_REQUIRE(ApplyChange(&follower, change));
      }
    }
    if (rng() % 100 == 0) tree = FromSnapshot(ToSnapshot(tree));
  }
  while (follower.revision < tree.revision) {
    std::vector<StoredChange> deltas = DeltasSince(tree, follower.revision, 500).value();
    for (const StoredChange& change : deltas) {
      BOOST_REQUIRE(ApplyChange(&follower, change));
    }
  }
  BOOST_TEST((follower.entries == tree.entries));
  BOOST_TEST(tree.entries.size() == reference.size());
  for (const auto& [path, value] : reference) BOOST_TEST(tree.entries.at(path).value == value);
  BOOST_TEST(ToSnapshot(FromSnapshot(ToSnapshot(tree))) == ToSnapshot(tree));
  BOOST_TEST(!ApplyChange(&follower, StoredChange()));
}

// Guards against reads past the end of truncated input.
BOOST_AUTO_TEST_CASE(TruncatedEncodingsAreRejected) {
  ConfigTree tree;
  ApplyPut(&tree, MakePut("/a", "1", 0, "r1"), 10);
  std::string snapshot = ToSnapshot(tree);
  std::string put = EncodePut(MakePut("/a", "1", 0, "r1"), 10);
  for (size_t n = 0; n < snapshot.size(); ++n) {
    BOOST_CHECK_THROW(FromSnapshot(snapshot.substr(0, n)), Error);
  }
  for (size_t n = 0; n < put.size(); ++n) {
    BOOST_CHECK_THROW(DecodePut(put.substr(0, n)), Error);
  }
}

}  // namespace ebonylift
