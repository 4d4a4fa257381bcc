#include "adapters/listening_socket.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace ebonylift {
namespace {

// The byte of the TCP header that holds the flags. The filter of a TCP socket sees each segment
// from its TCP header on.
constexpr uint32_t kFlagsOffset = 13;
constexpr uint32_t kSynFlag = 0x02;
constexpr uint32_t kAckFlag = 0x10;
constexpr uint32_t kDropSegment = 0;
constexpr uint32_t kPassSegment = UINT32_MAX;

}  // namespace

bool IgnoreNewConnections(int fd) {
  std::array<sock_filter, 5> program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynFlag | kAckFlag),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDropSegment),
      BPF_STMT(BPF_RET | BPF_K, kPassSegment),
  }};
  sock_fprog filter = {program.size(), program.data()};
  return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

}  // namespace ebonylift
