#ifndef EBONYLIFT_BASE_HASH_H_
#define EBONYLIFT_BASE_HASH_H_

// Hash functions, checksums and random strings. All functions are thread-safe.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonylift {

// 64-bit xxHash (XXH64), for placement and content comparison. Not cryptographic: not for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Lower-case hexadecimal digits of the bytes.
std::string ToHex(std::string_view data);

// Returns nullopt if the text is not an even number of lower-case hexadecimal digits.
std::optional<std::string> DecodeHex(std::string_view text);

// CRC-32C checksum, for detecting corrupt files.
uint32_t Crc32c(std::string_view data);

// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

// A SHA-256 digest.
struct Sha256Digest {
  std::array<unsigned char, 32> bytes{};
  friend bool operator==(const Sha256Digest& a, const Sha256Digest& b) {
    return a.bytes == b.bytes;
  }
  friend bool operator!=(const Sha256Digest& a, const Sha256Digest& b) { return !(a == b); }
  friend bool operator<(const Sha256Digest& a, const Sha256Digest& b) { return a.bytes < b.bytes; }
};

// Throws std::runtime_error if the cryptographic library fails.
Sha256Digest Sha256(std::string_view data);

// In lower-case hexadecimal.
std::string ToHex(const Sha256Digest& digest);

// Returns nullopt if the text is not 64 lower-case hexadecimal digits.
std::optional<Sha256Digest> ParseSha256Hex(std::string_view text);

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
