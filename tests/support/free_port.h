#ifndef EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
#define EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace ebonylift::test {

// Returns the first of `count` consecutive TCP ports of 127.0.0.1 that nothing listens on. The
// ports lie below the range that the kernel uses for outgoing connections, so no connection can
// occupy them before the caller listens. A process claims a block of kBlockPorts ports until it
// ends, so another test process, also of another checkout, never takes a port while a daemon
// restarts. It gets each port only once until it has used up the block. Throws std::runtime_error
// when no block or no port is free. Precondition: 0 < count <= kBlockPorts. Thread safe.
constexpr int kBlockPorts = 500;
uint16_t FreePorts(int count);

// Returns a port as FreePorts(1).
uint16_t FreePort();

// Returns "127.0.0.1:<port>" with a port from FreePort().
std::string FreeAddress();

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
