#ifndef EBONYLIFT_CORE_BYTES_H_
#define EBONYLIFT_CORE_BYTES_H_

// Length-prefixed binary encoding of journal entries and snapshots.
//
// Integers are 8 bytes, little endian. Strings are their length as such an integer, followed by
// their bytes. A reader never reads past its input: a length larger than the rest of the input is
// an error, and after the first error ok() is false and every further value is 0 or empty.
//
// Memory: only the values read.

#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

inline void PutInt(std::string& out, uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8) out.push_back(static_cast<char>(value >> shift));
}

inline void PutString(std::string& out, std::string_view value) {
  PutInt(out, value.size());
  out.append(value);
}

// Decodes values from `data`, which must outlive the reader. Unlike ByteReader in codec.h it does
// not throw. The class names must differ: both classes are inline, so equal names would violate the
// one-definition rule.
class NonThrowingReader {
 public:
  explicit NonThrowingReader(std::string_view data) : remaining_(data) {}

  bool ok() const { return ok_; }
  bool AtEnd() const { return remaining_.empty(); }

  char Byte() {
    if (!Require(1)) return 0;
    char value = remaining_.front();
    remaining_.remove_prefix(1);
    return value;
  }

  uint64_t Int() {
    if (!Require(8)) return 0;
    uint64_t value = 0;
    for (int i = 0; i < 8; ++i) {
      value |= static_cast<uint64_t>(static_cast<unsigned char>(remaining_[i])) << (8 * i);
    }
    remaining_.remove_prefix(8);
    return value;
  }

  std::string String() { return std::string(Bytes()); }

  // Reads a string as a view into the input.
  std::string_view Bytes() {
    uint64_t size = Int();
    if (!Require(size)) return {};
    std::string_view value = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return value;
  }

 private:
  // Whether `size` more bytes are left; if not, the reader fails.
  bool Require(uint64_t size) {
    ok_ = ok_ && size <= remaining_.size();
    return ok_;
  }

  std::string_view remaining_;
  bool ok_ = true;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_BYTES_H_
