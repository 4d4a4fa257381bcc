#ifndef EBONYLIFT_DAEMON_ANSWERS_H_
#define EBONYLIFT_DAEMON_ANSWERS_H_

// Builds and sends JSON and error responses. All functions are thread safe.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "adapters/http_server.h"
#include "base/error.h"
#include "base/ids.h"

namespace ebonylift {

// Response headers of routed requests.
inline constexpr char kRequestIdHeader[] = "x-ebonylift-request-id";
inline constexpr char kCallerIdHeader[] = "x-request-id";          // echoed from the request
inline constexpr char kReplayedHeader[] = "x-ebonylift-replayed";  // "true": a stored response
inline constexpr char kKeyExpiresHeader[] = "x-ebonylift-key-expires-ms";
inline constexpr char kRegionHeader[] = "x-ebonylift-region";  // of the server that ran it
inline constexpr char kServerHeader[] = "x-ebonylift-server";
// The code of the error, in every error response that a host makes itself. Headers of this name are
// removed from relayed responses of backend servers (see EndToEndHeaders()), so it tells the error
// of another host from that of a server behind it.
inline constexpr char kErrorCodeHeader[] = "x-ebonylift-error";

// Replaces all headers named `name`, which must be in lower case, by one. An empty `value` only
// removes them.
void SetHeader(HttpHeaders* headers, const std::string& name, const std::string& value);

// Returns the whole milliseconds until `time`, at least 0, as decimal text.
std::string MillisUntilText(WallMillis time);

// The content of an error response to a caller.
struct ErrorResponse {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;      // empty: the default text of the kind
  Duration retry_after{0};  // 0: the default of the kind
  RequestId request;        // empty for requests that are not routed
};

// Returns the error response to a request that is not routed.
ErrorResponse ToErrorResponse(const Error& error);

// Serializes `body`. Invalid UTF-8 is replaced, because messages may quote bytes of a request.
std::string DumpJson(const nlohmann::json& body);

// Returns the body: an object with the member `error`.
nlohmann::json ErrorResponseJson(const ErrorResponse& response);

// Returns the headers of an error response, without Retry-After.
HttpHeaders ErrorResponseHeaders(const ErrorResponse& response);

// Returns the kind of the error that another host answered to the request that was forwarded to it,
// or nullopt if the response is that of a backend server, which the host relayed.
std::optional<ErrorKind> HostErrorKind(const HttpHeaders& headers, const std::string& body,
                                       const RequestId& request);

// Returns the server-sent event that ends a broken stream. No `[DONE]` follows it.
std::string ErrorResponseEvent(const ErrorResponse& response);

// Sends the status, Retry-After (whole seconds, rounded up) and the JSON body.
void SendErrorResponse(HttpResponder* responder, const ErrorResponse& response);

void SendJson(HttpResponder* responder, int status, const nlohmann::json& body);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANSWERS_H_
