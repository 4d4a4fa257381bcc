#include "base/descriptor_claim.h"

#include <array>
#include <atomic>
#include <string>
#include <utility>

#include "base/event.h"

namespace ebonylift {
namespace {

std::atomic<uint64_t> conflict_count{0};
std::atomic<uint64_t> last_claim_number{0};

// A token holds the number of the claim and, in the low byte, its user. 0 means that nothing is
// claimed.
uint64_t NewToken(DescriptorUser user) {
  return (++last_claim_number << 8) | static_cast<uint64_t>(user);
}

DescriptorUser UserOf(uint64_t token) { return static_cast<DescriptorUser>(token & 0xff); }

// Returns the token of the current claim of the descriptor.
std::atomic<uint64_t>& ClaimOf(int fd) {
  static std::array<std::atomic<uint64_t>, kMaxTrackedDescriptors> claims{};
  return claims[static_cast<size_t>(fd)];
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
  token_ = NewToken(user);
  uint64_t other = ClaimOf(fd).exchange(token_);
  if (other != 0) ReportConflict(fd, "claim", user, UserOf(other));
}

DescriptorClaim::DescriptorClaim(DescriptorClaim&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), token_(other.token_) {}

DescriptorClaim& DescriptorClaim::operator=(DescriptorClaim&& other) noexcept {
  if (this == &other) return *this;
  Release();
  fd_ = std::exchange(other.fd_, -1);
  token_ = other.token_;
  return *this;
}

void DescriptorClaim::Release() {
  if (fd_ < 0) return;
  int fd = std::exchange(fd_, -1);
  uint64_t current = token_;
  // A claim that was made since then stays.
  if (!ClaimOf(fd).compare_exchange_strong(current, 0)) {
    ReportConflict(fd, "release", UserOf(token_), UserOf(current));
  }
}

uint64_t DescriptorConflictCount() { return conflict_count; }

}  // namespace ebonylift
