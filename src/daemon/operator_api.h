#ifndef EBONYLIFT_DAEMON_OPERATOR_API_H_
#define EBONYLIFT_DAEMON_OPERATOR_API_H_

// The admin interface under /admin/v1: authorisation by token and subtree, and the calls of the
// control thread behind it.

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
  bool root = false;
  std::vector<std::string> subtrees;
};

// The operator whose token is in the Authorization header. Throws Error(kUnauthorized). Thread
// safe.
Operator AuthenticateOperator(const HttpHeaders& headers, const ConfigView& config,
                              const std::string& root_token_sha256);

// True if `path` is at or below `subtree`, by whole path segments. Thread safe.
bool IsBelow(const std::string& path, const std::string& subtree);

// True if the operator may read and change `path`. Thread safe.
bool Covers(const Operator& who, const std::string& path);

struct OperatorApiOptions {
  ControlPort* control = nullptr;
  std::string root_token_sha256;
  std::function<void()> start_drain;    // shuts the daemon down gracefully
  std::function<void()> accept_claims;  // takes idempotency keys again after a lost disk
};

// Answers a request below /admin/v1/ on the thread that runs `io`. Thread safe.
void HandleOperatorRequest(asio::io_context& io, const OperatorApiOptions& options,
                           HttpRequest request, std::shared_ptr<HttpResponder> responder);

// The decoded value of a query parameter; empty when it is absent. Thread safe.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_OPERATOR_API_H_
