#define BOOST_TEST_MODULE suspect_outbox
#include "daemon/suspect_outbox.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

SuspectReport Loss(uint64_t content, int losses) {
  return {content, ServerId("s1"), /*alone=*/false, /*cleared=*/false, losses};
}

SuspectReport Cleared(uint64_t content) {
  return {content, ServerId(), /*alone=*/false, /*cleared=*/true, 0};
}

}  // namespace

// Guards against two messages to each host for each harmless request that ran on a lost server.
BOOST_AUTO_TEST_CASE(ContentThatCompletesSoonIsNotReported) {
  SuspectOutbox outbox;
  outbox.Add(Loss(1, 1));
  outbox.Add(Loss(2, 1));
  outbox.Add(Cleared(1));
  BOOST_TEST(!outbox.IsUrgent());
  std::vector<SuspectReport> sent = outbox.Take();
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST(sent[0].content == 2u);
  BOOST_TEST(outbox.IsEmpty());
}

// Guards against a suspicion that other hosts keep because the completion is not reported: they may
// know of it from an earlier report.
BOOST_AUTO_TEST_CASE(CompletionOfAReportedContentIsReported) {
  SuspectOutbox outbox;
  outbox.Add(Loss(1, 1));
  outbox.Take();
  outbox.Add(Cleared(1));
  BOOST_REQUIRE(outbox.Take().size() == 1u);
  outbox.Add(Loss(2, 2));
  outbox.Add(Cleared(2));
  BOOST_TEST(outbox.Take().size() == 2u);
}

// Guards against further servers that are lost while the report waits.
BOOST_AUTO_TEST_CASE(FurtherLossIsUrgent) {
  SuspectOutbox outbox;
  outbox.Add(Loss(1, 1));
  BOOST_TEST(!outbox.IsUrgent());
  outbox.Add(Loss(1, 2));
  BOOST_TEST(outbox.IsUrgent());
  BOOST_TEST(outbox.Take().size() == 2u);
  BOOST_TEST(!outbox.IsUrgent());
}

// Guards against memory that grows without limit with the number of lost servers.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  SuspectOutbox outbox;
  for (uint64_t i = 0; i < 2 * kMaxPendingSuspects; ++i) outbox.Add(Loss(i, 1));
  BOOST_TEST(outbox.Take().size() == kMaxPendingSuspects);
}

}  // namespace ebonylift
