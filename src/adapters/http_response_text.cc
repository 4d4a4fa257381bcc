#include "adapters/http_response_text.h"

#include "adapters/http_headers.h"

namespace ebonylift {
namespace {

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 508:
      return "Loop Detected";
    default:
      return "Status";
  }
}

// Appends `text` with spaces in place of line breaks and NUL, as a line break would start another
// header.
void AppendSanitized(std::string* out, const std::string& text) {
  for (char c : text) out->push_back(c == '\r' || c == '\n' || c == '\0' ? ' ' : c);
}

}  // namespace

std::string ResponseHead(int status, const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  for (const auto& [name, value] : headers) {
    if (IsFramingHeader(name)) continue;
    AppendSanitized(&head, name);
    head += ": ";
    AppendSanitized(&head, value);
    head += "\r\n";
  }
  return head;
}

bool StatusForbidsBody(int status) { return status < 200 || status == 204 || status == 304; }

std::string ErrorResponseBody(const ErrorInfo& info) {
  const char* type = info.http_status < 500 ? "invalid_request_error" : "server_error";
  return std::string(R"({"error":{"message":")") + info.meaning + R"(","type":")" + type +
         R"(","code":")" + info.code + R"(","run":")" + RunName(info.run) +
         R"(","retry_after_ms":)" + std::to_string(info.retry_after_ms) + R"(,"request_id":""}})";
}

std::string ClosingErrorResponse(ErrorKind kind) {
  const ErrorInfo& info = LookupError(kind);
  std::string body = ErrorResponseBody(info);
  return ResponseHead(info.http_status, {{"content-type", "application/json"}}) +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace ebonylift
