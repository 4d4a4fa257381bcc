#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <random>
#include <stdexcept>

namespace ebonylift::test {
namespace {

// The ports from 10000 to 31999 are handed out: by default, Linux uses ports from 32768 on for
// outgoing connections.
constexpr int kFirstPort = 10'000;
constexpr int kPortCount = 22'000;

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

}  // namespace

uint16_t FreePort() {
  static std::mutex mutex;
  static int next_offset = static_cast<int>(std::random_device()() % kPortCount);
  std::lock_guard<std::mutex> lock(mutex);
  for (int tried = 0; tried < kPortCount; ++tried) {
    auto port = static_cast<uint16_t>(kFirstPort + next_offset);
    next_offset = (next_offset + 1) % kPortCount;
    if (CanBind(port)) return port;
  }
  throw std::runtime_error("no free TCP port on 127.0.0.1");
}

std::string FreeAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

}  // namespace ebonylift::test
