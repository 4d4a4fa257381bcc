#include "tests/support/test_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace ebonylift::test {
namespace {

using nlohmann::json;

struct Transfer {
  const TestCall* call;
  TestResponse response;
  Time started;
};

size_t OnBody(char* data, size_t size, size_t count, void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  TestResponse& response = transfer->response;
  if (response.body.empty()) response.first_byte = SteadyNow() - transfer->started;
  std::string_view part(data, size * count);
  response.body.append(part);
  if (transfer->call->on_data && !transfer->call->on_data(part)) return 0;
  return part.size();
}

size_t OnHeader(char* data, size_t size, size_t count, void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  std::string line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.pop_back();
  size_t colon = line.find(':');
  if (colon == std::string::npos) return size * count;
  size_t value = line.find_first_not_of(' ', colon + 1);
  transfer->response.headers.emplace_back(line.substr(0, colon),
                                          value == std::string::npos ? "" : line.substr(value));
  return size * count;
}

// Appends the text of one choice of a chat (`delta`, `message`) or a completion (`text`).
void AppendChoice(const json& choice, std::string& text) {
  for (const char* field : {"delta", "message"}) {
    if (!choice.contains(field) || !choice[field].is_object()) continue;
    if (choice[field].contains("content") && choice[field]["content"].is_string()) {
      text += choice[field]["content"].get<std::string>();
    }
  }
  if (choice.contains("text") && choice["text"].is_string()) {
    text += choice["text"].get<std::string>();
  }
}

void AppendChoices(const json& event, std::string& text) {
  if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array()) return;
  for (const json& choice : event["choices"]) AppendChoice(choice, text);
}

void ParseEvent(const std::string& data, SseText& result) {
  ++result.events;
  if (data == "[DONE]") {
    result.done = true;
    return;
  }
  json event = json::parse(data, nullptr, false);
  if (event.is_object() && event.contains("error")) result.errors.push_back(data);
  AppendChoices(event, result.text);
}

}  // namespace

std::string TestResponse::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

TestResponse Call(const TestCall& call) {
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialised);
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), curl_easy_cleanup);
  CURL* curl = handle.get();
  Transfer transfer{&call, {}, SteadyNow()};
  // An empty Expect header keeps libcurl from waiting for "100 Continue" before a large body.
  curl_slist* header_list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : call.headers) {
    std::string line = name + ": " + value;
    header_list = curl_slist_append(header_list, line.c_str());
  }
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(header_list,
                                                                      curl_slist_free_all);
  curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(ToMillis(call.timeout)));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(ToMillis(call.connect_timeout)));
  CURLcode code = curl_easy_perform(curl);
  TestResponse response = std::move(transfer.response);
  response.total = SteadyNow() - transfer.started;
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  response.complete = code == CURLE_OK;
  response.refused = code == CURLE_COULDNT_CONNECT;
  if (code != CURLE_OK) response.error = curl_easy_strerror(code);
  return response;
}

TestResponse Get(const std::string& url) {
  TestCall call;
  call.url = url;
  return Call(call);
}

TestResponse PostJson(const std::string& url, const std::string& body,
                      const std::vector<std::pair<std::string, std::string>>& headers) {
  TestCall call;
  call.method = "POST";
  call.url = url;
  call.headers = headers;
  call.headers.emplace_back("content-type", "application/json");
  call.body = body;
  return Call(call);
}

SseText ParseSse(const std::string& body) {
  SseText result;
  size_t at = 0;
  while (at < body.size()) {
    size_t end = body.find("\n\n", at);
    if (end == std::string::npos) break;
    std::string event = body.substr(at, end - at);
    at = end + 2;
    size_t data = event.find("data: ");
    if (data != std::string::npos) ParseEvent(event.substr(data + 6), result);
  }
  return result;
}

std::string GeneratedText(const std::string& body) {
  std::string text;
  AppendChoices(json::parse(body, nullptr, false), text);
  return text;
}

}  // namespace ebonylift::test
