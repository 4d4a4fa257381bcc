#ifndef EBONYLIFT_ADAPTERS_PEER_SERVER_H_
#define EBONYLIFT_ADAPTERS_PEER_SERVER_H_

// The side of a connection between daemons that answers: the login of a peer and its calls, which
// are passed to an RpcHandler.
//
// Not thread safe: everything runs on the thread of the KJ event loop.

#include <capnp/capability.h>

#include <functional>
#include <memory>
#include <string>

#include "adapters/rpc.h"
#include "base/ids.h"
#include "peer.capnp.h"

namespace ebonylift {

// The login state of an incoming connection.
struct Session {
  std::string nonce;
  bool login_attempted = false;
  bool logged_in = false;
  HostId host;
  std::shared_ptr<void> pending_login;  // counted in Impl::pending_logins until this is released
};

struct GateCallbacks {
  // A login was refused.
  std::function<void(const std::string& host, const std::string& reason)> on_refused;
  // Whether the host may log in.
  std::function<bool(const HostId& host)> is_allowed;
  // A login was accepted, before RpcHandler::OnPeerLogin().
  std::function<void(const HostId& host)> on_login;
};

// Returns the bootstrap interface of an incoming connection, on which the peer logs in. The
// pointers must outlive it.
kj::Own<wire::Gate::Server> MakeGate(const RpcOptions* options, RpcHandler* handler,
                                     std::shared_ptr<Session> session, GateCallbacks callbacks);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_SERVER_H_
