#ifndef EBONYLIFT_ADAPTERS_HTTP_RESPONSE_TEXT_H_
#define EBONYLIFT_ADAPTERS_HTTP_RESPONSE_TEXT_H_

// The text of HTTP responses that the server writes itself.
//
// Stateless and thread safe.

#include <string>

#include "adapters/http_server.h"
#include "base/error.h"

namespace ebonylift {

// Returns the status line and the headers, without the empty line that ends them. Headers that
// frame the message are left out; line breaks and NUL in the others are replaced by spaces.
std::string ResponseHead(int status, const HttpHeaders& headers);

bool StatusForbidsBody(int status);

std::string ErrorResponseBody(const ErrorInfo& info);

// Returns a complete error response that announces the end of the connection.
std::string ClosingErrorResponse(ErrorKind kind);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_RESPONSE_TEXT_H_
