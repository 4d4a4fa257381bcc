#include "daemon/answers.h"

namespace ebonylift {
namespace {

int64_t RetryMillis(const ErrorAnswer& answer) {
  if (answer.retry_after > Duration{0}) return ToMillis(answer.retry_after);
  return LookupError(answer.kind).retry_after_ms;
}

}  // namespace

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
  return "data: " + ErrorAnswerJson(answer).dump() + "\n\n";
}

void SendErrorAnswer(HttpResponder* responder, const ErrorAnswer& answer) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (!answer.request.empty()) {
    headers.emplace_back("x-ebonylift-request-id", answer.request.value());
  }
  int64_t retry_ms = RetryMillis(answer);
  if (retry_ms > 0) headers.emplace_back("Retry-After", std::to_string((retry_ms + 999) / 1000));
  const ErrorInfo& info = LookupError(answer.kind);
  responder->Send(info.http_status, headers, ErrorAnswerJson(answer).dump());
}

void SendJson(HttpResponder* responder, int status, const nlohmann::json& body) {
  responder->Send(status, {{"Content-Type", "application/json"}}, body.dump());
}

}  // namespace ebonylift
