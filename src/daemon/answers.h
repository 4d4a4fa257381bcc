#ifndef EBONYLIFT_DAEMON_ANSWERS_H_
#define EBONYLIFT_DAEMON_ANSWERS_H_

// Error answers: from an error kind to status, headers and body. All functions are thread safe.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "adapters/http_server.h"
#include "base/error.h"
#include "base/ids.h"

namespace ebonylift {

// Response headers of routed requests.
inline constexpr char kRequestIdHeader[] = "x-ebonylift-request-id";
inline constexpr char kCallerIdHeader[] = "x-request-id";          // the caller's own, echoed
inline constexpr char kReplayedHeader[] = "x-ebonylift-replayed";  // a stored answer
inline constexpr char kKeyExpiresHeader[] = "x-ebonylift-key-expires-ms";

// Replaces all headers of this name, which is in lower case; an empty value only removes them.
void SetHeader(HttpHeaders* headers, const std::string& name, const std::string& value);

// Whole milliseconds until `time`, at least 0, as text.
std::string MillisUntilText(WallMillis time);

// A refusal or failure as the caller sees it.
struct ErrorAnswer {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Duration retry_after{0};  // 0: the default of the kind
  RequestId request;        // empty for requests that are not routed
};

// The answer to a request that is not routed.
ErrorAnswer AnswerOf(const Error& error);

// As text. Bytes that are not UTF-8 are replaced: messages may quote those of a request.
std::string DumpJson(const nlohmann::json& body);

// The `error` object of the body.
nlohmann::json ErrorAnswerJson(const ErrorAnswer& answer);

// The kind in a body of the error format; nullopt for another body.
std::optional<ErrorKind> ErrorKindOfBody(const std::string& body);

// The server-sent event that ends a broken stream; no `[DONE]` follows it.
std::string ErrorAnswerEvent(const ErrorAnswer& answer);

// Status, Retry-After (whole seconds, rounded up) and JSON body.
void SendErrorAnswer(HttpResponder* responder, const ErrorAnswer& answer);

void SendJson(HttpResponder* responder, int status, const nlohmann::json& body);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANSWERS_H_
