#ifndef EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
#define EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace ebonylift::test {

// Returns a TCP port of 127.0.0.1 that nothing listens on. The port lies below the range that the
// kernel uses for outgoing connections, so no connection can occupy it before the caller listens.
// A process gets each port only once until it has used up the range, and each process starts at a
// random port, so that test processes that run at the same time rarely get the same one. Throws
// std::runtime_error when no port is free. Thread safe.
uint16_t FreePort();

// Returns "127.0.0.1:<port>" with a port from FreePort().
std::string FreeAddress();

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
