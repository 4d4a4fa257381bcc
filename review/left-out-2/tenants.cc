// The operator takes the last tenant away. Do requests with keys that no configuration ever held
// run?

#include "deployment.h"

using namespace review;

namespace {

constexpr int kApplyMs = 4000;  // config_apply_ms of the sheet

std::mutex mutex;
std::map<std::string, int> runs_by_key;
int keys_passed_on = 0;

bool Serve(Replica* self, Connection* connection, const Request& request) {
  std::string id = Header(request.headers, "Attempt-Id");
  std::string key = Header(request.headers, "Authorization");
  Record("replica " + self->id() + " runs " + id + ", Tenant '" +
         Header(request.headers, "Tenant") + "', Authorization '" + key + "'");
  {
    std::lock_guard<std::mutex> lock(mutex);
    ++runs_by_key[id.substr(0, id.find('-'))];
    if (!key.empty()) ++keys_passed_on;
  }
  return WriteAnswer(connection, id, "answer to " + id);
}

int next_id = 1;

int Send(const Deployment& deployment, const std::string& who, const std::string& key) {
  std::string id = who + "-" + std::to_string(next_id++);
  Headers headers = {
      {"Host", "a.example"}, {"Attempt-Id", id}, {"Tenant", "acme"}, {"Deadline-Ms", "3000"}};
  if (!key.empty()) headers.push_back({"Authorization", "Bearer " + key});
  Response response = Call(deployment.Gateway("este-a"), "GET", "/look/" + id, headers, "", 4000);
  Record("client " + id + ": " + std::to_string(response.status));
  return response.status;
}

std::string WithTenants(int version, const std::string& tenants) {
  RouteText route{"look", "safe", "portal", 2, false, 2500, 300};
  return Configuration(version, {route}, {"portal"}, ",\"tenants\":[" + tenants + "]");
}

int Run() {
  Deployment deployment({1, 1, 1});
  deployment.AddReplica("portal", "este-a", 6, Serve);
  deployment.AddReplica("portal", "este-a", 6, Serve);
  const std::string acme = "{\"name\":\"acme\",\"api_keys\":[\"key-of-acme\"]}";
  if (!deployment.PutConfiguration(WithTenants(1, acme))) return 2;
  if (!deployment.WaitReady(15000)) return 2;
  SleepMs(3000);
  for (int i = 0; i < 10; ++i) {
    if (Send(deployment, "acme", "key-of-acme") != 200) return 2;
    if (Send(deployment, "stranger", "never-held") != 401) return 2;
    if (Send(deployment, "nokey", "") != 401) return 2;
  }
  Record("= version 1: acme is served, strangers get 401");
  // With TROUBLE=0 the tenant keeps its place and loses its key.
  const std::string left = Trouble() ? "" : "{\"name\":\"acme\",\"api_keys\":[]}";
  if (!deployment.PutConfiguration(WithTenants(2, left))) return 2;
  Record("= version 2 is acknowledged: tenants [" + left + "]");
  SleepMs(kApplyMs + 500);
  std::map<int, int> statuses;
  for (int i = 0; i < 10; ++i) {
    ++statuses[Send(deployment, "stranger", "never-held")];
    ++statuses[Send(deployment, "nokey", "")];
    ++statuses[Send(deployment, "acme", "key-of-acme")];
  }
  for (const auto& [status, count] : statuses)
    Record("= after it: status " + std::to_string(status) + ": " + std::to_string(count));
  std::lock_guard<std::mutex> lock(mutex);
  int runs = runs_by_key["stranger"];
  Record("= runs of a key that no configuration ever held: " + std::to_string(runs) +
         ", without a key: " + std::to_string(runs_by_key["nokey"]) +
         ", with the key passed on: " + std::to_string(keys_passed_on));
  if (deployment.AnyEnded()) return 2;
  return runs > 0 ? 1 : 0;
}

}  // namespace

int main() {
  int result = Run();
  Record("= result " + std::to_string(result));
  return result;
}
