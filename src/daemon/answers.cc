#include "daemon/answers.h"

#include <algorithm>
#include <cctype>

#include "base/json_parse.h"

namespace ebonylift {
namespace {

int64_t RetryMillis(const ErrorResponse& response) {
  if (response.retry_after > Duration{0}) return ToMillis(response.retry_after);
  return LookupError(response.kind).retry_after_ms;
}

// Hosts of the previous release do not send kErrorCodeHeader. Their errors name the request by the
// id that hosts use among themselves; a response with the server header comes from a server, which
// the native interface tells that id.
std::optional<ErrorKind> ErrorKindOfEarlierVersion(const HttpHeaders& headers,
                                                   const std::string& body,
                                                   const RequestId& request) {
  if (!FindHeader(headers, kServerHeader).empty()) return std::nullopt;
  nlohmann::json parsed = ParseForeignJson(body);
  if (!parsed.is_object() || !parsed.contains("error")) return std::nullopt;
  const nlohmann::json& error = parsed["error"];
  // A backend server may write any type, such as the status as a number.
  auto text = [&error](const char* key) {
    bool valid = error.is_object() && error.contains(key) && error[key].is_string();
    return valid ? error[key].get<std::string>() : std::string();
  };
  if (request.empty() || text("request_id") != request.value()) return std::nullopt;
  return ErrorKindFromCode(text("code"));
}

}  // namespace

ErrorResponse ToErrorResponse(const Error& error) {
  return {error.kind(), error.what(), Duration{0}, RequestId()};
}

std::string DumpJson(const nlohmann::json& body) {
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SetHeader(HttpHeaders* headers, const std::string& name, const std::string& value) {
  auto same_name = [&name](const auto& header) {
    return header.first.size() == name.size() &&
           std::equal(name.begin(), name.end(), header.first.begin(),
                      [](unsigned char a, unsigned char b) { return a == std::tolower(b); });
  };
  headers->erase(std::remove_if(headers->begin(), headers->end(), same_name), headers->end());
  if (!value.empty()) headers->emplace_back(name, value);
}

std::string MillisUntilText(WallMillis time) {
  return std::to_string(std::max<WallMillis>(0, time - WallNow()));
}

HttpHeaders ErrorResponseHeaders(const ErrorResponse& response) {
  HttpHeaders headers = {{"Content-Type", "application/json"},
                         {kErrorCodeHeader, LookupError(response.kind).code}};
  if (!response.request.empty()) headers.emplace_back(kRequestIdHeader, response.request.value());
  return headers;
}

std::optional<ErrorKind> HostErrorKind(const HttpHeaders& headers, const std::string& body,
                                       const RequestId& request) {
  const std::string& code = FindHeader(headers, kErrorCodeHeader);
  if (!code.empty()) return ErrorKindFromCode(code);
  return ErrorKindOfEarlierVersion(headers, body, request);
}

nlohmann::json ErrorResponseJson(const ErrorResponse& response) {
  const ErrorInfo& info = LookupError(response.kind);
  return {{"error",
           {{"message", response.message.empty() ? info.meaning : response.message},
            {"type", info.http_status < 500 ? "invalid_request_error" : "server_error"},
            {"code", info.code},
            {"run", RunName(info.run)},
            {"retry_after_ms", RetryMillis(response)},
            {"request_id", response.request.value()}}}};
}

std::string ErrorResponseEvent(const ErrorResponse& response) {
  return "data: " + DumpJson(ErrorResponseJson(response)) + "\n\n";
}

void SendErrorResponse(HttpResponder* responder, const ErrorResponse& response) {
  HttpHeaders headers = ErrorResponseHeaders(response);
  int64_t retry_ms = RetryMillis(response);
  if (retry_ms > 0) headers.emplace_back("Retry-After", std::to_string((retry_ms + 999) / 1000));
  const ErrorInfo& info = LookupError(response.kind);
  responder->Send(info.http_status, headers, DumpJson(ErrorResponseJson(response)));
}

void SendJson(HttpResponder* responder, int status, const nlohmann::json& body) {
  responder->Send(status, {{"Content-Type", "application/json"}}, DumpJson(body));
}

}  // namespace ebonylift
