#ifndef EBONYLIFT_BASE_SEAL_H_
#define EBONYLIFT_BASE_SEAL_H_

// Encrypts short secrets that are stored within documents.
//
// AES-256-SIV with a key that is derived from a passphrase. The derivation is not stretched, so the
// passphrase must have the entropy of a random key; with a public one (platform/settings.cc),
// sealing only keeps secrets from being read by chance. It is deterministic, so that equal
// documents stay equal, and reveals which secrets are equal and how long they are.

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace ebonylift {

// What a sealed text begins with; lower-case hexadecimal digits follow.
inline constexpr std::string_view kSealPrefix = "sealed:";

// Thread-safe.
class Sealer {
 public:
  explicit Sealer(std::string_view passphrase);

  // Throws std::runtime_error if the cryptographic library fails.
  std::string Seal(std::string_view secret) const;

  // Returns nullopt if the text was not sealed with the same passphrase.
  std::optional<std::string> Unseal(std::string_view sealed) const;

 private:
  std::array<unsigned char, 64> key_{};  // two keys of AES-256
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_SEAL_H_
