#include "base/seal.h"

#include <openssl/evp.h>

#include <algorithm>
#include <memory>
#include <stdexcept>

#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr int kTagBytes = 16;

using Context = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

const EVP_CIPHER* Cipher() {
  static const EVP_CIPHER* cipher = EVP_CIPHER_fetch(nullptr, "AES-256-SIV", nullptr);
  if (cipher == nullptr) throw std::runtime_error("OpenSSL does not provide AES-256-SIV");
  return cipher;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string* text) { return reinterpret_cast<unsigned char*>(text->data()); }

}  // namespace

Sealer::Sealer(std::string_view passphrase) {
  std::string key;
  for (const char* part : {"sealed secret 1", "sealed secret 2"})
    key += DecodeHex(HmacHex(passphrase, part)).value();
  std::copy(key.begin(), key.end(), key_.begin());
}

std::string Sealer::Seal(std::string_view secret) const {
  Context context(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  std::string text(secret.size(), '\0');
  std::string tag(kTagBytes, '\0');
  int size = 0;
  bool sealed =
      context != nullptr &&
      EVP_EncryptInit_ex2(context.get(), Cipher(), key_.data(), nullptr, nullptr) == 1 &&
      EVP_EncryptUpdate(context.get(), Bytes(&text), &size, Bytes(secret),
                        static_cast<int>(secret.size())) == 1 &&
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_AEAD_GET_TAG, kTagBytes, tag.data()) == 1;
  if (!sealed) throw std::runtime_error("a secret could not be sealed");
  return std::string(kSealPrefix) + ToHex(tag + text);
}

std::optional<std::string> Sealer::Unseal(std::string_view sealed) const {
  if (sealed.substr(0, kSealPrefix.size()) != kSealPrefix) return std::nullopt;
  std::optional<std::string> bytes = DecodeHex(sealed.substr(kSealPrefix.size()));
  if (!bytes || bytes->size() < kTagBytes) return std::nullopt;
  std::string_view text = std::string_view(*bytes).substr(kTagBytes);
  std::string secret(text.size(), '\0');
  Context context(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  int size = 0;
  bool valid =
      context != nullptr &&
      EVP_DecryptInit_ex2(context.get(), Cipher(), key_.data(), nullptr, nullptr) == 1 &&
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_AEAD_SET_TAG, kTagBytes, bytes->data()) == 1 &&
      EVP_DecryptUpdate(context.get(), Bytes(&secret), &size, Bytes(text),
                        static_cast<int>(text.size())) == 1;
  if (!valid) return std::nullopt;
  return secret;
}

}  // namespace ebonylift
