#ifndef EBONYLIFT_BASE_HASH_H_
#define EBONYLIFT_BASE_HASH_H_

// Hashes. All functions are thread safe.

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

// 64-bit xxhash, for placement and content comparison; not for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// CRC32C of the data, for detecting damaged files.
uint32_t Crc32c(std::string_view data);

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view data);

// Lower-case hexadecimal HMAC-SHA-256.
std::string HmacHex(std::string_view key, std::string_view data);

// Compares without an early exit, so that the time does not show the position of a difference.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// `bytes` random bytes of the system's generator, as hexadecimal.
std::string RandomHex(size_t bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_HASH_H_
