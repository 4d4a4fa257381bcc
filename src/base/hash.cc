#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <memory>
#include <stdexcept>
#include <vector>

namespace ebonylift {
namespace {

constexpr char kDigits[] = "0123456789abcdef";

std::string Hex(const unsigned char* data, size_t size) {
  std::string out;
  out.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    out.push_back(kDigits[data[i] >> 4]);
    out.push_back(kDigits[data[i] & 15]);
  }
  return out;
}

std::array<uint32_t, 256> MakeCrcTable() {
  constexpr uint32_t kCastagnoli = 0x82f63b78;  // bit-reversed polynomial of CRC-32C
  std::array<uint32_t, 256> table{};
  for (uint32_t i = 0; i < 256; ++i) {
    uint32_t crc = i;
    for (int bit = 0; bit < 8; ++bit) crc = (crc & 1) ? (crc >> 1) ^ kCastagnoli : crc >> 1;
    table[i] = crc;
  }
  return table;
}

}  // namespace

std::string ToHex(std::string_view data) {
  return Hex(reinterpret_cast<const unsigned char*>(data.data()), data.size());
}

std::optional<std::string> DecodeHex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  auto digit = [](char c) {
    if (c >= '0' && c <= '9') return c - '0';
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (size_t i = 0; i < text.size(); i += 2) {
    int high = digit(text[i]);
    int low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes.push_back(static_cast<char>(high << 4 | low));
  }
  return bytes;
}

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

uint32_t Crc32c(std::string_view data) {
  static const std::array<uint32_t, 256> table = MakeCrcTable();
  uint32_t crc = 0xffffffff;
  for (char c : data) crc = (crc >> 8) ^ table[(crc ^ static_cast<unsigned char>(c)) & 0xff];
  return ~crc;
}

// SHA256() of OpenSSL looks its implementation up, under locks, in each call, which takes longer
// than the digest of a short text. So each thread keeps a context.
Sha256Digest Sha256(std::string_view data) {
  static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
  thread_local const Context context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  Sha256Digest digest;
  bool done = algorithm != nullptr && context != nullptr &&
              EVP_DigestInit_ex2(context.get(), algorithm, nullptr) == 1 &&
              EVP_DigestUpdate(context.get(), data.data(), data.size()) == 1 &&
              EVP_DigestFinal_ex(context.get(), digest.bytes.data(), nullptr) == 1;
  if (!done) throw std::runtime_error("SHA-256 failed");
  return digest;
}

std::string ToHex(const Sha256Digest& digest) {
  return Hex(digest.bytes.data(), digest.bytes.size());
}

std::optional<Sha256Digest> ParseSha256Hex(std::string_view text) {
  Sha256Digest digest;
  std::optional<std::string> bytes = DecodeHex(text);
  if (!bytes || bytes->size() != digest.bytes.size()) return std::nullopt;
  std::copy(bytes->begin(), bytes->end(), digest.bytes.begin());
  return digest;
}

std::string Sha256Hex(std::string_view data) { return ToHex(Sha256(data)); }

std::string HmacHex(std::string_view key, std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest, &size);
  return Hex(digest, size);
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(size_t bytes) {
  std::vector<unsigned char> data(bytes);
  if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("the cryptographic random generator failed");
  }
  return Hex(data.data(), data.size());
}

}  // namespace ebonylift
