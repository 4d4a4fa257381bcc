#ifndef EBONYLIFT_BASE_HASH_H_
#define EBONYLIFT_BASE_HASH_H_

// Hash functions, checksums and random strings. All functions are thread-safe.

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

// 64-bit xxHash (XXH64), for placement and content comparison. Not cryptographic: not for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// CRC-32C checksum, for detecting corrupt files.
uint32_t Crc32c(std::string_view data);

// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

// HMAC-SHA-256 in lower-case hexadecimal.
std::string HmacHex(std::string_view key, std::string_view data);

// Compares without an early exit, so that the time taken does not reveal the position of the first
// difference. It does reveal whether the lengths differ.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns `bytes` cryptographically secure random bytes in lower-case hexadecimal, which is twice
// as many characters. Throws std::runtime_error if the random generator fails.
std::string RandomHex(size_t bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_HASH_H_
