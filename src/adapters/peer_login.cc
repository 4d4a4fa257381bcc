#include "adapters/peer_login.h"

#include <kj/exception.h>

#include "base/hash.h"

namespace ebonylift {

std::string LoginMac(const std::string& key, const std::string& nonce, const std::string& to,
                     const std::string& from, uint64_t incarnation) {
  return HmacHex(key,
                 "login\n" + nonce + "\n" + to + "\n" + from + "\n" + std::to_string(incarnation));
}

std::string ProofMac(const std::string& key, const std::string& nonce, const std::string& host) {
  return HmacHex(key, "proof\n" + nonce + "\n" + host);
}

void ThrowCallFailed(const std::string& reason) {
  kj::throwFatalException(
      kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(reason.c_str())));
}

}  // namespace ebonylift
