#include "base/descriptor_claim.h"

#include <array>
#include <atomic>
#include <string>
#include <utility>

#include "base/event.h"

namespace ebonylift {
namespace {

std::atomic<uint64_t> conflict_count{0};

std::atomic<DescriptorUser>& UserOf(int fd) {
  static std::array<std::atomic<DescriptorUser>, kMaxTrackedDescriptors> users{};
  return users[static_cast<size_t>(fd)];
}

void ReportConflict(int fd, const char* action, DescriptorUser user, DescriptorUser other) {
  ++conflict_count;
  LogEvent(EventId::kDescriptorConflict, {{"descriptor", std::to_string(fd)},
                                          {"action", action},
                                          {"user", DescriptorUserName(user)},
                                          {"other", DescriptorUserName(other)}});
}

}  // namespace

const char* DescriptorUserName(DescriptorUser user) {
  switch (user) {
    case DescriptorUser::kNone:
      return "none";
    case DescriptorUser::kServerConnection:
      return "server_connection";
    case DescriptorUser::kClientSocket:
      return "client_socket";
    case DescriptorUser::kPeerConnection:
      return "peer_connection";
    case DescriptorUser::kJournalFile:
      return "journal_file";
  }
  return "none";
}

DescriptorClaim::DescriptorClaim(int fd, DescriptorUser user) {
  if (fd < 0 || fd >= kMaxTrackedDescriptors) return;
  fd_ = fd;
  user_ = user;
  DescriptorUser other = UserOf(fd).exchange(user);
  if (other != DescriptorUser::kNone) ReportConflict(fd, "claim", user, other);
}

DescriptorClaim::DescriptorClaim(DescriptorClaim&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), user_(other.user_) {}

DescriptorClaim& DescriptorClaim::operator=(DescriptorClaim&& other) noexcept {
  if (this == &other) return *this;
  Release();
  fd_ = std::exchange(other.fd_, -1);
  user_ = other.user_;
  return *this;
}

void DescriptorClaim::Release() {
  if (fd_ < 0) return;
  int fd = std::exchange(fd_, -1);
  DescriptorUser current = user_;
  // A claim that another part made since then stays.
  if (!UserOf(fd).compare_exchange_strong(current, DescriptorUser::kNone)) {
    ReportConflict(fd, "release", user_, current);
  }
}

uint64_t DescriptorConflictCount() { return conflict_count; }

}  // namespace ebonylift
