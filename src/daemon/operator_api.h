#ifndef EBONYLIFT_DAEMON_OPERATOR_API_H_
#define EBONYLIFT_DAEMON_OPERATOR_API_H_

// The HTTP API for operators under /admin/v1. Requests are authorised by a bearer token and by the
// configuration subtrees that the token grants access to, and are then passed to the control
// thread.

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "adapters/http_server.h"
#include "ports/control_port.h"

namespace ebonylift {

// An authenticated operator.
struct Operator {
  std::string name;
  bool root = false;                  // may access every path
  std::vector<std::string> subtrees;  // path prefixes the operator may read and change
};

// Returns the operator whose token is in the Authorization header. Throws Error(kUnauthorized) when
// the header has no bearer token or the token is unknown. Thread safe.
Operator AuthenticateOperator(const HttpHeaders& headers, const ConfigView& config,
                              const std::string& root_token_sha256);

// True if `path` is `subtree` or lies below it. Compares whole path segments: "/a/bc" is not below
// "/a/b". Thread safe.
bool IsInSubtree(const std::string& path, const std::string& subtree);

// True if the operator may read and change `path`. Thread safe.
bool HasAccess(const Operator& principal, const std::string& path);

struct OperatorApiOptions {
  ControlPort* control = nullptr;
  std::string root_token_sha256;
  std::function<void()> start_drain;  // shuts the daemon down gracefully
  // After the loss of a disk: accepts claims of idempotency keys again.
  std::function<void()> accept_claims;
};

// Handles a request below /admin/v1/. Results of the control thread are sent to the client from the
// thread that runs `io`. Thread safe.
void HandleOperatorRequest(asio::io_context& io, const OperatorApiOptions& options,
                           HttpRequest request, std::shared_ptr<HttpResponder> responder);

// Returns the percent-decoded value of the query parameter `name`, or "" when it is absent. Thread
// safe.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_OPERATOR_API_H_
