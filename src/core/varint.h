#ifndef EBONYLIFT_CORE_VARINT_H_
#define EBONYLIFT_CORE_VARINT_H_

// Numbers of variable length: seven bits in each byte, the lowest first; all bytes but the last
// have the highest bit set.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonylift {

constexpr int kVarintBits = 7;
constexpr int kMaxVarintShift = 63;

inline void AppendVarint(uint64_t value, std::string* out) {
  while (value >= (1u << kVarintBits)) {
    out->push_back(static_cast<char>(value | (1u << kVarintBits)));
    value >>= kVarintBits;
  }
  out->push_back(static_cast<char>(value));
}

// Decodes a varint and removes it from the front of `bytes`. Returns nullopt if it is malformed.
inline std::optional<uint64_t> ConsumeVarint(std::string_view* bytes) {
  uint64_t value = 0;
  for (int shift = 0; shift <= kMaxVarintShift && !bytes->empty(); shift += kVarintBits) {
    auto byte = static_cast<unsigned char>(bytes->front());
    bytes->remove_prefix(1);
    value |= static_cast<uint64_t>(byte & ((1u << kVarintBits) - 1)) << shift;
    if ((byte >> kVarintBits) == 0) return value;
  }
  return std::nullopt;
}

// Maps numbers with a small absolute value to small unsigned ones.
inline uint64_t ZigZag(int64_t value) {
  return (static_cast<uint64_t>(value) << 1) ^ static_cast<uint64_t>(value >> 63);
}

inline int64_t UnZigZag(uint64_t value) {
  return static_cast<int64_t>(value >> 1) ^ -static_cast<int64_t>(value & 1);
}

// A text is encoded as its length and its bytes.
inline void AppendText(std::string_view text, std::string* out) {
  AppendVarint(text.size(), out);
  *out += text;
}

inline std::optional<std::string> ConsumeText(std::string_view* bytes) {
  std::optional<uint64_t> length = ConsumeVarint(bytes);
  if (!length || *length > bytes->size()) return std::nullopt;
  std::string text(bytes->substr(0, *length));
  bytes->remove_prefix(*length);
  return text;
}

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_VARINT_H_
