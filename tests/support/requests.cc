#include "tests/support/requests.h"

#include <algorithm>

#include "testing/answer.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {

using nlohmann::json;

std::string ChatRequestBody(const Cluster& cluster, const ChatRequest& request) {
  json body = {{"model", cluster.spec().model},
               {"user", request.user},
               {"max_tokens", request.tokens},
               {"stream", request.stream},
               {"messages", json::array({{{"role", "user"}, {"content", request.prompt}}})}};
  return body.dump();
}

TestCall ChatRequestCall(Cluster& cluster, const ChatRequest& request) {
  constexpr Duration kTimeoutMargin = seconds(5);
  TestCall call;
  call.method = "POST";
  call.url = "http://" + cluster.host(request.host).client_address + "/v1/chat/completions";
  call.headers = {{"content-type", "application/json"},
                  {"authorization", "Bearer " + cluster.spec().teams.at(request.team).key},
                  {"x-ebonylift-idempotent", request.idempotent ? "true" : "false"},
                  {"x-ebonylift-deadline-ms", std::to_string(ToMillis(request.deadline))}};
  if (!request.key.empty()) call.headers.emplace_back("idempotency-key", request.key);
  call.body = ChatRequestBody(cluster, request);
  call.timeout = request.deadline + kTimeoutMargin;
  return call;
}

TestResponse Send(Cluster& cluster, const ChatRequest& request) {
  return Call(ChatRequestCall(cluster, request));
}

std::future<TestResponse> SendAsync(Cluster& cluster, const ChatRequest& request) {
  return std::async(std::launch::async, [&cluster, request] { return Send(cluster, request); });
}

bool IsExpectedAnswer(const Cluster& cluster, const ChatRequest& request,
                      const TestResponse& response) {
  if (!response.complete || response.status != 200) return false;
  std::string expected = standin::AnswerTextForBody(ChatRequestBody(cluster, request));
  if (!request.stream) return GeneratedText(response.body) == expected;
  SseText text = ParseSse(response.body);
  return text.done && text.errors.empty() && text.text == expected;
}

ErrorBody ErrorOf(const TestResponse& response) {
  json body = json::parse(response.body, nullptr, false);
  if (!body.is_object()) {
    SseText text = ParseSse(response.body);
    if (text.errors.empty()) return {};
    body = json::parse(text.errors.back(), nullptr, false);
  }
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) return {};
  const json& error = body["error"];
  return {error.value("code", ""), error.value("run", ""),
          error.value("retry_after_ms", int64_t{0})};
}

std::string Describe(const TestResponse& response) {
  constexpr size_t kMaxBodyBytes = 300;
  return "status " + std::to_string(response.status) + " after " +
         std::to_string(ToMillis(response.total)) + " ms " + response.error + " " +
         response.body.substr(0, kMaxBodyBytes);
}

std::vector<json> RecordsOf(const Cluster& cluster, const std::string& user) {
  std::vector<json> entries;
  for (json& entry : cluster.Records()) {
    if (entry["user"] == user) entries.push_back(std::move(entry));
  }
  return entries;
}

int CountRuns(const Cluster& cluster, const std::string& user) {
  int runs = 0;
  for (const json& entry : RecordsOf(cluster, user)) runs += entry["started"] != 0 ? 1 : 0;
  return runs;
}

bool WaitForRuns(const Cluster& cluster, const std::string& user, int count) {
  return WaitFor([&] { return CountRuns(cluster, user) >= count; }, seconds(10));
}

namespace {

// GET /healthz of the engine at the address that it announces, which is a link of the proxy.
TestResponse ProbeThroughProxy(Cluster& cluster, const std::string& id) {
  std::string control = "http://" + cluster.server(id).control + "/standin/state";
  std::string address = json::parse(Get(control).body).at("announcement").at("address");
  return Get("http://" + address + "/healthz");
}

}  // namespace

bool WaitServerReachable(Cluster& cluster, const std::string& id) {
  if (cluster.server(id).service) return true;  // its /standin/state lacks the proxy address
  return WaitFor([&] { return ProbeThroughProxy(cluster, id).status == 200; }, seconds(10));
}

bool WaitAllReachable(Cluster& cluster) {
  std::vector<std::string> ids = cluster.ServerIds();
  return std::all_of(ids.begin(), ids.end(),
                     [&](const std::string& id) { return WaitServerReachable(cluster, id); });
}

bool WaitServerRefuses(Cluster& cluster, const std::string& id) {
  if (cluster.server(id).service) return true;
  // Matches libcurl's messages for a failed connection, "Could not connect to server" or "Couldn't
  // connect to server", by version.
  auto refused = [&] {
    return ProbeThroughProxy(cluster, id).error.find("onnect to server") != std::string::npos;
  };
  return WaitFor(refused, seconds(10));
}

ClusterSpec ThreeRegionsSpec() {
  ClusterSpec spec = SmallSpec(1, 1);
  DomainSpec domain = spec.domains.front();
  domain.services = 0;
  spec.domains.clear();
  for (const char* region : {"este", "centro", "norte"}) {
    domain.id = std::string(region) + "-a";
    domain.region = region;
    spec.domains.push_back(domain);
  }
  TeamSpec& team = spec.teams.front();
  team.regions = {"este", "centro", "norte"};
  team.limits = {{"retry_percent", 100}};
  team.routes.resize(1);
  team.routes[0].value["regions"] = team.regions;
  return spec;
}

void SetAllServerFaults(Cluster& cluster, const json& faults) {
  for (const std::string& id : cluster.ServerIds()) cluster.SetServerFaults(id, faults);
}

}  // namespace ebonylift::test
