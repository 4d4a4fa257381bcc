#include "daemon/answers.h"

#include <algorithm>
#include <cctype>

namespace ebonylift {
namespace {

int64_t RetryMillis(const ErrorAnswer& answer) {
  if (answer.retry_after > Duration{0}) return ToMillis(answer.retry_after);
  return LookupError(answer.kind).retry_after_ms;
}

}  // namespace

ErrorAnswer AnswerOf(const Error& error) {
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

std::optional<ErrorKind> ErrorKindOfBody(const std::string& body) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
    return std::nullopt;
  }
  return ErrorKindFromCode(parsed["error"].value("code", ""));
}

nlohmann::json ErrorAnswerJson(const ErrorAnswer& answer) {
  const ErrorInfo& info = LookupError(answer.kind);
  return {{"error",
           {{"message", answer.message.empty() ? info.meaning : answer.message},
            {"type", info.http_status < 500 ? "invalid_request_error" : "server_error"},
            {"code", info.code},
            {"run", RunName(info.run)},
            {"retry_after_ms", RetryMillis(answer)},
            {"request_id", answer.request.value()}}}};
}

std::string ErrorAnswerEvent(const ErrorAnswer& answer) {
  return "data: " + DumpJson(ErrorAnswerJson(answer)) + "\n\n";
}

void SendErrorAnswer(HttpResponder* responder, const ErrorAnswer& answer) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (!answer.request.empty()) {
    headers.emplace_back("x-ebonylift-request-id", answer.request.value());
  }
  int64_t retry_ms = RetryMillis(answer);
  if (retry_ms > 0) headers.emplace_back("Retry-After", std::to_string((retry_ms + 999) / 1000));
  const ErrorInfo& info = LookupError(answer.kind);
  responder->Send(info.http_status, headers, DumpJson(ErrorAnswerJson(answer)));
}

void SendJson(HttpResponder* responder, int status, const nlohmann::json& body) {
  responder->Send(status, {{"Content-Type", "application/json"}}, DumpJson(body));
}

}  // namespace ebonylift
