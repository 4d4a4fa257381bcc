#include "tests/support/caller.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <utility>

#include "testing/answer.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

// The low bits of a hybrid logical clock stamp count events within one millisecond.
constexpr int kHlcCounterBits = 16;
constexpr int kReadTimeoutSeconds = 30;

void ParseError(const std::string& body, CallerAnswer* answer) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) return;
  answer->code = parsed["error"].value("code", "");
  answer->run = parsed["error"].value("run", "");
}

// True when the response is complete and holds exactly the text expected for the request body.
bool IsExpectedAnswer(const CallerRequest& request, const TestResponse& response,
                      const std::string& body) {
  if (response.status != 200 || !response.complete) return false;
  std::string expected = standin::AnswerTextForBody(body);
  if (!request.stream) return GeneratedText(response.body) == expected;
  SseText text = ParseSse(response.body);
  return text.done && text.errors.empty() && text.text == expected;
}

}  // namespace

std::string ChatBody(const Cluster& cluster, const CallerRequest& request) {
  json body = {
      {"model", request.model.empty() ? cluster.spec().model : request.model},
      {"user", request.user},
      {"max_tokens", request.tokens},
      {"stream", request.stream},
      {"messages", json::array({{{"role", "user"}, {"content", "Sendero " + request.user}}})}};
  return body.dump();
}

CallerAnswer SendRequest(const Cluster& cluster, const std::string& address,
                         const CallerRequest& request) {
  TestCall call;
  call.method = "POST";
  call.url = "http://" + address + "/v1/chat/completions";
  call.headers = {{"content-type", "application/json"},
                  {"authorization", "Bearer " + cluster.spec().teams.front().key}};
  if (!request.idempotency_key.empty()) {
    call.headers.emplace_back("idempotency-key", request.idempotency_key);
  }
  call.body = ChatBody(cluster, request);
  call.timeout = request.timeout;
  if (request.on_data) call.on_data = [&](std::string_view) { return request.on_data(); };
  CallerAnswer answer;
  answer.response = Call(call);
  answer.as_expected = IsExpectedAnswer(request, answer.response, call.body);
  ParseError(answer.response.body, &answer);
  return answer;
}

// ---- KeepAliveCaller

KeepAliveCaller::KeepAliveCaller(std::string address) : address_(std::move(address)) {}

KeepAliveCaller::~KeepAliveCaller() { Close(); }

void KeepAliveCaller::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

bool KeepAliveCaller::IsOpen() const {
  if (fd_ < 0) return false;
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool KeepAliveCaller::Connect(TestResponse* response) {
  Close();
  size_t colon = address_.rfind(':');
  sockaddr_in server = {};
  server.sin_family = AF_INET;
  server.sin_port = htons(static_cast<uint16_t>(std::stoi(address_.substr(colon + 1))));
  inet_pton(AF_INET, address_.substr(0, colon).c_str(), &server.sin_addr);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout = {kReadTimeoutSeconds, 0};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const sockaddr* address = static_cast<const sockaddr*>(static_cast<const void*>(&server));
  if (connect(fd_, address, sizeof(server)) == 0) return true;
  Close();
  response->refused = true;
  response->error = "connecting to the server failed";
  return false;
}

void KeepAliveCaller::ReadResponse(TestResponse* response) {
  std::string text;
  char buffer[16 << 10];
  size_t body_start = std::string::npos;
  size_t content_length = 0;
  while (body_start == std::string::npos || text.size() < body_start + content_length) {
    ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      response->error = "connection closed or timed out after " + std::to_string(text.size()) +
                        " bytes of the response";
      Close();
      return;
    }
    text.append(buffer, static_cast<size_t>(n));
    if (body_start != std::string::npos) continue;
    body_start = text.find("\r\n\r\n");
    if (body_start == std::string::npos) continue;
    body_start += 4;
    for (size_t line_start = text.find("\r\n") + 2; line_start < body_start - 2;) {
      size_t line_end = text.find("\r\n", line_start);
      size_t colon = text.find(": ", line_start);
      response->headers.emplace_back(text.substr(line_start, colon - line_start),
                                     text.substr(colon + 2, line_end - colon - 2));
      line_start = line_end + 2;
    }
    content_length = static_cast<size_t>(std::atol(response->Header("content-length").c_str()));
    response->status = std::atoi(text.c_str() + sizeof("HTTP/1.1"));
  }
  response->body = text.substr(body_start);
  response->complete = true;
  if (strcasecmp(response->Header("connection").c_str(), "close") == 0) Close();
}

CallerAnswer KeepAliveCaller::SendRequest(const Cluster& cluster, const CallerRequest& request) {
  CallerAnswer answer;
  if (!IsOpen() && !Connect(&answer.response)) return answer;
  std::string body = ChatBody(cluster, request);
  std::string message =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address_ + "\r\nAuthorization: Bearer " +
      cluster.spec().teams.front().key +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  if (send(fd_, message.data(), message.size(), MSG_NOSIGNAL) < 0) {
    answer.response.error = "sending the request failed";
    Close();
    return answer;
  }
  ReadResponse(&answer.response);
  answer.as_expected = IsExpectedAnswer(request, answer.response, body);
  ParseError(answer.response.body, &answer);
  return answer;
}

// ---- EntryHostClient

EntryHostClient::EntryHostClient(Cluster& cluster, const std::string& first)
    : cluster_(cluster), hosts_(EntryHostsOf(cluster, first)) {}

void EntryHostClient::AdvanceHost() {
  host_index_ = hosts_.empty() ? 0 : (host_index_ + 1) % hosts_.size();
  for (size_t i = 0; i < hosts_.size(); ++i) {
    std::vector<std::string> list =
        EntryHostsOf(cluster_, hosts_[(host_index_ + i) % hosts_.size()]);
    if (list.empty()) continue;
    hosts_ = std::move(list);
    host_index_ = 0;
    return;
  }
}

CallerAnswer EntryHostClient::SendRequest(const CallerRequest& request) {
  CallerAnswer answer;
  auto accepted = [&] {
    answer =
        test::SendRequest(cluster_, cluster_.host(hosts_.at(host_index_)).http_address, request);
    bool advance = answer.response.refused || answer.code == "draining" ||
                   strcasecmp(answer.response.Header("connection").c_str(), "close") == 0;
    if (advance) AdvanceHost();
    return !answer.response.refused && answer.code != "draining";
  };
  WaitFor(accepted, request.timeout);
  return answer;
}

LoadGenerator::LoadGenerator(int threads, std::function<void(int thread, int n)> run_iteration) {
  for (int thread = 0; thread < threads; ++thread) {
    threads_.emplace_back([this, thread, run_iteration] {
      for (int n = 1; !stopped_; ++n) run_iteration(thread, n);
    });
  }
}

LoadGenerator::~LoadGenerator() { Stop(); }

void LoadGenerator::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

std::vector<json> LoggedEvents(const HostHandle& host) {
  std::vector<json> events;
  std::ifstream file(host.log_file);
  for (std::string line; std::getline(file, line);) {
    size_t start = line.find("{\"");
    if (start == std::string::npos) continue;
    json event = json::parse(line.substr(start), nullptr, false);
    if (event.is_object() && event.contains("event")) events.push_back(std::move(event));
  }
  return events;
}

int64_t EventWallMillis(const json& event) {
  const json& hlc = event.at("hlc");
  uint64_t stamp = hlc.is_string() ? std::stoull(hlc.get<std::string>()) : hlc.get<uint64_t>();
  return static_cast<int64_t>(stamp >> kHlcCounterBits);
}

TestResponse CallAdmin(Cluster& cluster, const std::string& host, const std::string& method,
                       const std::string& path, const json& body) {
  TestCall call;
  call.method = method;
  call.url = "http://" + cluster.host(host).http_address + "/admin/v1/" + path;
  call.headers = {{"authorization", "Bearer " + cluster.operator_token()},
                  {"content-type", "application/json"}};
  if (!body.is_null()) call.body = body.dump();
  call.timeout = seconds(12);
  return Call(call);
}

json StatusOf(Cluster& cluster, const std::string& host) {
  TestResponse response = CallAdmin(cluster, host, "GET", "status");
  return response.status == 200 ? json::parse(response.body, nullptr, false) : json();
}

std::vector<std::string> EntryHostsOf(Cluster& cluster, const std::string& host) {
  TestCall call;
  call.url = "http://" + cluster.host(host).http_address + "/v1/entry-hosts";
  call.headers = {{"authorization", "Bearer " + cluster.spec().teams.front().key}};
  std::vector<std::string> ids;
  json body = json::parse(Call(call).body, nullptr, false);
  if (!body.is_object() || !body.contains("hosts")) return ids;
  for (const json& entry : body["hosts"]) ids.push_back(entry.value("host", ""));
  return ids;
}

}  // namespace ebonylift::test
