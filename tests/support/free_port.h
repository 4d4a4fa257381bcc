#ifndef EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
#define EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace ebonylift::test {

// A TCP port of 127.0.0.1 that nothing listens on. Ports are below the range that the kernel uses
// for outgoing connections and are handed out once per process, so another process's connection
// cannot take one before the caller listens. Two processes start at different ports. Throws
// std::runtime_error when none is free. Thread safe.
uint16_t FreePort();

// "127.0.0.1:<FreePort()>".
std::string FreeAddress();

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_FREE_PORT_H_
