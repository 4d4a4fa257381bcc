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

constexpr int kHlcCounterBits = 16;
constexpr int kReadTimeoutSeconds = 30;

void ReadRefusal(const std::string& body, CallerAnswer* answer) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) return;
  answer->code = parsed["error"].value("code", "");
  answer->run = parsed["error"].value("run", "");
}

bool IsWhole(const CallerRequest& request, const TestResponse& response, const std::string& body) {
  if (response.status != 200 || !response.complete) return false;
  std::string want = standin::AnswerTextForBody(body);
  if (!request.stream) return AnswerOf(response.body) == want;
  SseText text = ParseSse(response.body);
  return text.done && text.errors.empty() && text.text == want;
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

CallerAnswer Ask(const Cluster& cluster, const std::string& address, const CallerRequest& request) {
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
  answer.whole = IsWhole(request, answer.response, call.body);
  ReadRefusal(answer.response.body, &answer);
  return answer;
}

// ---- KeepAliveCaller

KeepAliveCaller::KeepAliveCaller(std::string address) : address_(std::move(address)) {}

KeepAliveCaller::~KeepAliveCaller() { Close(); }

void KeepAliveCaller::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

bool KeepAliveCaller::StillOpen() const {
  if (fd_ < 0) return false;
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool KeepAliveCaller::Connect(TestResponse* response) {
  Close();
  size_t colon = address_.rfind(':');
  sockaddr_in to = {};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(address_.substr(colon + 1))));
  inet_pton(AF_INET, address_.substr(0, colon).c_str(), &to.sin_addr);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout = {kReadTimeoutSeconds, 0};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr* address = static_cast<const sockaddr*>(static_cast<const void*>(&to));
  if (connect(fd_, address, sizeof(to)) == 0) return true;
  Close();
  response->refused = true;
  response->error = "could not connect";
  return false;
}

void KeepAliveCaller::ReadResponse(TestResponse* response) {
  std::string text;
  char buffer[16 << 10];
  size_t head = std::string::npos;
  size_t length = 0;
  while (head == std::string::npos || text.size() < head + length) {
    ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      response->error = "closed after " + std::to_string(text.size()) + " bytes of the response";
      Close();
      return;
    }
    text.append(buffer, static_cast<size_t>(n));
    if (head != std::string::npos) continue;
    head = text.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    head += 4;
    for (size_t at = text.find("\r\n") + 2; at < head - 2;) {
      size_t end = text.find("\r\n", at);
      size_t colon = text.find(": ", at);
      response->headers.emplace_back(text.substr(at, colon - at),
                                     text.substr(colon + 2, end - colon - 2));
      at = end + 2;
    }
    length = static_cast<size_t>(std::atol(response->Header("content-length").c_str()));
    response->status = std::atoi(text.c_str() + sizeof("HTTP/1.1"));
  }
  response->body = text.substr(head);
  response->complete = true;
  if (strcasecmp(response->Header("connection").c_str(), "close") == 0) Close();
}

CallerAnswer KeepAliveCaller::Ask(const Cluster& cluster, const CallerRequest& request) {
  CallerAnswer answer;
  if (!StillOpen() && !Connect(&answer.response)) return answer;
  std::string body = ChatBody(cluster, request);
  std::string message =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address_ + "\r\nAuthorization: Bearer " +
      cluster.spec().teams.front().key +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  if (send(fd_, message.data(), message.size(), MSG_NOSIGNAL) < 0) {
    answer.response.error = "the request could not be written";
    Close();
    return answer;
  }
  ReadResponse(&answer.response);
  answer.whole = IsWhole(request, answer.response, body);
  ReadRefusal(answer.response.body, &answer);
  return answer;
}

// ---- EntryCaller

EntryCaller::EntryCaller(Cluster& cluster, const std::string& first)
    : cluster_(cluster), hosts_(EntryHostsOf(cluster, first)) {}

void EntryCaller::Next() {
  at_ = hosts_.empty() ? 0 : (at_ + 1) % hosts_.size();
  for (size_t i = 0; i < hosts_.size(); ++i) {
    std::vector<std::string> list = EntryHostsOf(cluster_, hosts_[(at_ + i) % hosts_.size()]);
    if (list.empty()) continue;
    hosts_ = std::move(list);
    at_ = 0;
    return;
  }
}

CallerAnswer EntryCaller::Ask(const CallerRequest& request) {
  CallerAnswer answer;
  auto taken = [&] {
    answer = test::Ask(cluster_, cluster_.host(hosts_.at(at_)).http_address, request);
    bool next = answer.response.refused || answer.code == "draining" ||
                strcasecmp(answer.response.Header("connection").c_str(), "close") == 0;
    if (next) Next();
    return !answer.response.refused && answer.code != "draining";
  };
  WaitFor(taken, request.timeout);
  return answer;
}

Load::Load(int threads, std::function<void(int thread, int n)> turn) {
  for (int thread = 0; thread < threads; ++thread) {
    threads_.emplace_back([this, thread, turn] {
      for (int n = 1; !stopped_; ++n) turn(thread, n);
    });
  }
}

Load::~Load() { Stop(); }

void Load::Stop() {
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

int64_t EventMillis(const json& event) {
  const json& hlc = event.at("hlc");
  uint64_t stamp = hlc.is_string() ? std::stoull(hlc.get<std::string>()) : hlc.get<uint64_t>();
  return static_cast<int64_t>(stamp >> kHlcCounterBits);
}

TestResponse Operator(Cluster& cluster, const std::string& host, const std::string& method,
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
  TestResponse response = Operator(cluster, host, "GET", "status");
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
