#ifndef EBONYLIFT_ADAPTERS_PEER_LOGIN_H_
#define EBONYLIFT_ADAPTERS_PEER_LOGIN_H_

// The proofs that two daemons exchange when one logs in to the other; section 5.4 of the design.
//
// All functions are pure and thread safe.

#include <cstddef>
#include <cstdint>
#include <string>

namespace ebonylift {

constexpr size_t kNonceBytes = 16;

// Returns the MAC with which `from` logs in to `to`, the host that checks it. It covers a label and
// `to`, so that it cannot be reused for another purpose or on another host.
std::string LoginMac(const std::string& key, const std::string& nonce, const std::string& to,
                     const std::string& from, uint64_t incarnation);

// Returns the MAC that proves to the host that logs in that `host`, which accepts the login, has
// the cluster key, too.
std::string ProofMac(const std::string& key, const std::string& nonce, const std::string& host);

// Makes a call of a peer fail with the reason.
[[noreturn]] void ThrowCallFailed(const std::string& reason);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_LOGIN_H_
