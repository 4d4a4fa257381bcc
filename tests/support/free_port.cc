#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <mutex>
#include <random>
#include <stdexcept>

namespace ebonylift::test {
namespace {

// The blocks lie from 10000 to 31999: by default, Linux uses ports from 32768 on for outgoing
// connections.
constexpr int kFirstPort = 10'000;
constexpr int kBlocks = 44;

bool CanBind(uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return bound;
}

// Returns whether this process now holds the block. The lock ends with the process.
bool ClaimBlock(int block) {
  std::filesystem::path path = std::filesystem::temp_directory_path() /
                               ("ebonylift-test-ports-" + std::to_string(block) + ".lock");
  int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (fd < 0) return false;
  if (flock(fd, LOCK_EX | LOCK_NB) == 0) return true;
  close(fd);
  return false;
}

// Returns the first port of the block that this process claims.
int FirstPortOfBlock() {
  int first = static_cast<int>(std::random_device()() % kBlocks);
  for (int tried = 0; tried < kBlocks; ++tried) {
    int block = (first + tried) % kBlocks;
    if (ClaimBlock(block)) return kFirstPort + block * kBlockPorts;
  }
  throw std::runtime_error("all blocks of TCP ports are claimed by other test processes");
}

bool CanBindAll(int first_port, int count) {
  for (int port = first_port; port < first_port + count; ++port) {
    if (!CanBind(static_cast<uint16_t>(port))) return false;
  }
  return true;
}

}  // namespace

uint16_t FreePorts(int count) {
  static std::mutex mutex;
  static const int block_start = FirstPortOfBlock();
  static int next_offset = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (int tried = 0; tried < kBlockPorts; ++tried) {
    if (next_offset + count > kBlockPorts) next_offset = 0;
    int port = block_start + next_offset;
    if (CanBindAll(port, count)) {
      next_offset += count;
      return static_cast<uint16_t>(port);
    }
    ++next_offset;
  }
  throw std::runtime_error("no free TCP port on 127.0.0.1");
}

uint16_t FreePort() { return FreePorts(1); }

std::string FreeAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

}  // namespace ebonylift::test
