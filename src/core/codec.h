#ifndef EBONYLIFT_CORE_CODEC_H_
#define EBONYLIFT_CORE_CODEC_H_

// Binary encoding of the configuration: journal records, consensus messages and snapshots.
//
// Integers are little endian with a fixed width. Strings are a 32-bit length followed by their
// bytes. ByteReader checks every length against the remaining input, so that malformed input causes
// an error and never a read past its end.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace ebonylift {

class ByteWriter {
 public:
  void U8(uint8_t value) { out_.push_back(static_cast<char>(value)); }
  void U32(uint32_t value) { FixedInt(value, 4); }
  void U64(uint64_t value) { FixedInt(value, 8); }
  void I64(int64_t value) { FixedInt(static_cast<uint64_t>(value), 8); }
  void Bool(bool value) { U8(value ? 1 : 0); }
  void String(std::string_view text) {
    U32(static_cast<uint32_t>(text.size()));
    out_.append(text);
  }
  void OptionalString(const std::optional<std::string>& text) {
    Bool(text.has_value());
    if (text) String(*text);
  }
  std::string Take() { return std::move(out_); }

 private:
  void FixedInt(uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) out_.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }

  std::string out_;
};

// Every read throws Error(kBadRequest) if the input ends early. The input must outlive the reader.
class ByteReader {
 public:
  explicit ByteReader(std::string_view data) : data_(data) {}

  uint8_t U8() { return static_cast<uint8_t>(FixedInt(1)); }
  uint32_t U32() { return static_cast<uint32_t>(FixedInt(4)); }
  uint64_t U64() { return FixedInt(8); }
  int64_t I64() { return static_cast<int64_t>(FixedInt(8)); }
  bool Bool() { return U8() != 0; }
  std::string String() { return std::string(ReadRaw(U32())); }
  std::optional<std::string> OptionalString() {
    if (!Bool()) return std::nullopt;
    return String();
  }
  bool AtEnd() const { return data_.empty(); }

 private:
  std::string_view ReadRaw(size_t bytes) {
    if (bytes > data_.size()) throw Error(ErrorKind::kBadRequest, "encoded data is truncated");
    std::string_view part = data_.substr(0, bytes);
    data_.remove_prefix(bytes);
    return part;
  }
  uint64_t FixedInt(int bytes) {
    std::string_view part = ReadRaw(static_cast<size_t>(bytes));
    uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
      value |= static_cast<uint64_t>(static_cast<unsigned char>(part[i])) << (8 * i);
    }
    return value;
  }

  std::string_view data_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CODEC_H_
