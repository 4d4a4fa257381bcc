#define BOOST_TEST_MODULE descriptor_claim
#include "base/descriptor_claim.h"

#include <boost/test/included/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/event.h"

namespace ebonylift {
namespace {

constexpr int kDescriptor = 5'000;

std::string FieldOf(const Event& event, const std::string& name) {
  for (const EventField& field : event.fields) {
    if (field.name == name) return field.value;
  }
  return "";
}

// Returns the logged conflicts of the descriptor as "action user other".
std::vector<std::string> LoggedConflicts(int fd) {
  std::vector<std::string> conflicts;
  for (const Event& event : ProcessEvents().Read(0, "", EventRecord::kCapacity)) {
    if (event.id != EventId::kDescriptorConflict) continue;
    if (FieldOf(event, "descriptor") != std::to_string(fd)) continue;
    conflicts.push_back(FieldOf(event, "action") + " " + FieldOf(event, "user") + " " +
                        FieldOf(event, "other"));
  }
  return conflicts;
}

// Guards against a conflict that is not reported: data could reach the wrong connection unnoticed.
BOOST_AUTO_TEST_CASE(SecondClaimOfADescriptorIsReported) {
  uint64_t before = DescriptorConflictCount();
  DescriptorClaim stale(kDescriptor, DescriptorUser::kClientSocket);
  DescriptorClaim current(kDescriptor, DescriptorUser::kServerConnection);
  stale.Release();
  current.Release();
  std::vector<std::string> expected = {"claim server_connection client_socket",
                                       "release client_socket server_connection"};
  BOOST_TEST(LoggedConflicts(kDescriptor) == expected);
  BOOST_TEST(DescriptorConflictCount() - before == 2u);
}

// Guards against a late release that goes unnoticed because the next claim has the same user: the
// descriptor of that claim is then closed without a trace in the log.
BOOST_AUTO_TEST_CASE(ReleaseAfterAClaimOfTheSameUserIsReported) {
  constexpr int kOtherDescriptor = kDescriptor + 1;
  DescriptorClaim stale(kOtherDescriptor, DescriptorUser::kClientSocket);
  DescriptorClaim current(kOtherDescriptor, DescriptorUser::kClientSocket);
  stale.Release();
  current.Release();
  std::vector<std::string> expected = {"claim client_socket client_socket",
                                       "release client_socket client_socket"};
  BOOST_TEST(LoggedConflicts(kOtherDescriptor) == expected);
}

// Guards against reports about a descriptor that is used by one part after the other.
BOOST_AUTO_TEST_CASE(ReuseAfterReleaseIsNotAConflict) {
  uint64_t before = DescriptorConflictCount();
  {
    DescriptorClaim first(kDescriptor, DescriptorUser::kClientSocket);
    DescriptorClaim moved(std::move(first));
    moved.Release();
    DescriptorClaim second(kDescriptor, DescriptorUser::kServerConnection);
    moved = std::move(second);
  }
  DescriptorClaim after_destruction(kDescriptor, DescriptorUser::kPeerConnection);
  BOOST_TEST(DescriptorConflictCount() == before);
}

// Guards against accesses outside the table.
BOOST_AUTO_TEST_CASE(UntrackedNumbersAreIgnored) {
  uint64_t before = DescriptorConflictCount();
  for (int fd : {-1, kMaxTrackedDescriptors}) {
    DescriptorClaim first(fd, DescriptorUser::kClientSocket);
    DescriptorClaim second(fd, DescriptorUser::kServerConnection);
  }
  BOOST_TEST(DescriptorConflictCount() == before);
}

}  // namespace
}  // namespace ebonylift
