#ifndef EBONYLIFT_BASE_DESCRIPTOR_CLAIM_H_
#define EBONYLIFT_BASE_DESCRIPTOR_CLAIM_H_

// Detects two parts of the process that use the same file descriptor number. Such a conflict sends
// data to the wrong connection, and the close of one part closes the descriptor of the other.
//
// Each part holds a DescriptorClaim while it uses a descriptor. A conflict is logged
// (descriptor_conflict) and counted, and does not change what the parts do.

#include <cstdint>

namespace ebonylift {

// Larger numbers are not tracked.
constexpr int kMaxTrackedDescriptors = 1 << 16;

enum class DescriptorUser : uint8_t {
  kNone,
  kServerConnection,  // a connection of the HTTP server
  kClientSocket,      // a socket of the HTTP client
  kPeerConnection,    // a connection to or from another host
  kJournalFile,       // a journal file
};

// Returns the snake_case name that log lines use. Thread-safe.
const char* DescriptorUserName(DescriptorUser user);

// The use of one descriptor by one part of the process. Two claims for the same number at the same
// time are a conflict. Different claims may be used on different threads.
class DescriptorClaim {
 public:
  DescriptorClaim() = default;
  // Claims `fd`, which must have been opened before. Claims nothing if `fd` is negative or is not
  // tracked.
  DescriptorClaim(int fd, DescriptorUser user);
  DescriptorClaim(DescriptorClaim&& other) noexcept;
  DescriptorClaim& operator=(DescriptorClaim&& other) noexcept;
  ~DescriptorClaim() { Release(); }

  // Ends the claim. Must be called before the descriptor is closed, as another thread may open the
  // same number at once. Does nothing if there is no claim.
  void Release();

  // Whether a descriptor is claimed.
  bool is_held() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
  uint64_t token_ = 0;  // identifies this claim among all claims of the process
};

// Returns the number of conflicts since the process started. Thread-safe.
uint64_t DescriptorConflictCount();

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_DESCRIPTOR_CLAIM_H_
