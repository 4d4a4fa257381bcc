// The two gateways of a zone are stopped and started in turn, one second apart. Are requests that
// come late in the grace of the second one, are passed on and outlast it, cut?

#include <signal.h>

#include "deployment.h"

using namespace review;

namespace {

constexpr int kGapMs = 1000;    // between the two stops
constexpr int kGraceMs = 8000;  // grace_s; SIGKILL after it
constexpr int kEarlyMs =
    3000;                      // requests sent up to then may be cut in the last sixth of the grace
constexpr int kLateMs = 3200;  // after its SIGTERM the second gateway gets more requests
constexpr int kLateRequests = 8;
constexpr int kOpenRequests = 4;  // that are open when SIGTERM comes
constexpr int kEventMs = 200;

std::mutex mutex;
std::map<std::string, int64_t> reached;  // when a request reached a replica

int EventsOf(const std::string& target) {
  if (target.find("/short/") != std::string::npos) return 2;
  return target.find("/open/") != std::string::npos ? 28 : 35;
}

bool Serve(Replica* self, Connection* connection, const Request& request) {
  std::string id = Header(request.headers, "Attempt-Id");
  {
    std::lock_guard<std::mutex> lock(mutex);
    reached.emplace(id, NowMs());
  }
  Record("replica " + self->id() + " runs " + id + " from " + request.peer_ip);
  int last = EventsOf(request.target);
  bool open = WriteStreamHead(connection, id);
  int first = std::atoi(Header(request.headers, "Last-Event-Id").c_str()) + 1;
  for (int event = first; open && event <= last; ++event) {
    open = WriteEvent(connection, event, "e");
    SleepMs(last > 2 ? kEventMs : 1);
  }
  if (!open) Record("replica " + self->id() + ": the connection of " + id + " is closed");
  return open && WriteStreamEnd(connection);
}

Response Send(Connection* connection, const std::string& id, const std::string& path) {
  char own_part[32];
  snprintf(own_part, sizeof(own_part), "%zx:20", std::hash<std::string>()(id) | 1);
  return CallOn(connection, "POST", path + id,
                {{"Host", "a.example"},
                 {"Attempt-Id", id},
                 {"Model", "m"},
                 {"Token-Usage", "920,300"},
                 {"Prompt-Prefix", std::string("a1:800,c3:100,") + own_part},
                 {"Deadline-Ms", "10000"}},
                "body of " + id, 11000);
}

struct Result {
  std::string id;
  int64_t sent = 0;
  int64_t ended = 0;
  int status = 0;
  bool complete = false;
};

int Run() {
  Deployment deployment({2, 1, 1});
  for (const std::string& zone : Deployment::Zones()) {
    for (int i = 0; i < 2; ++i) deployment.AddReplica("model", zone, 32, Serve);
  }
  RouteText route{"digest", "streaming", "model", 2, true, 10000, 800};
  if (!deployment.PutConfiguration(Configuration(1, {route}, {"model"}))) return 2;
  if (!deployment.WaitReady(15000)) return 2;
  SleepMs(3000);

  // Clients keep the connections of their first requests and use them again later.
  std::vector<std::unique_ptr<Connection>> kept;
  const std::string second = deployment.Gateway("este-a", 1);
  for (int i = 0; i < kLateRequests + kOpenRequests; ++i) {
    kept.push_back(Connection::To(second, 1000));
    if (!kept.back()) return 2;
    if (!Send(kept.back().get(), "w" + std::to_string(i), "/digest/short/").complete) return 2;
  }
  std::vector<Result> results(kept.size());
  auto send = [&](size_t number, const std::string& kind) {
    return std::thread([&, number, kind] {
      Result& result = results[number];
      result.id = kind + std::to_string(number);
      result.sent = NowMs();
      Response response = Send(kept[number].get(), result.id, "/digest/" + kind + "/");
      result.ended = NowMs();
      result.status = response.status;
      result.complete = response.complete;
      Record("client " + result.id + ": " + std::to_string(response.status) + " " + response.error);
    });
  };

  std::vector<std::thread> threads;
  if (Trouble()) {
    deployment.Signal(deployment.Pid("front-este-a-1"), SIGTERM);
    Record("= front-este-a-1 gets SIGTERM");
  }
  std::thread first_gateway([&] {
    for (int64_t end = NowMs() + kGraceMs; Trouble() && NowMs() < end; SleepMs(20)) {
      if (kill(deployment.Pid("front-este-a-1"), 0) != 0) break;
    }
  });
  SleepMs(kGapMs / 2);
  for (int i = 0; i < kOpenRequests; ++i) threads.push_back(send(kLateRequests + i, "open"));
  SleepMs(kGapMs / 2);
  int64_t term = NowMs();
  if (Trouble()) {
    deployment.Signal(deployment.Pid("front-este-a-2"), SIGTERM);
    Record("= front-este-a-2 gets SIGTERM");
  }
  SleepMs(kLateMs);
  for (int i = 0; i < kLateRequests; ++i) threads.push_back(send(i, "late"));
  // The platform ends it with SIGKILL after the grace.
  while (NowMs() < term + kGraceMs) SleepMs(20);
  if (Trouble()) deployment.Kill("front-este-a-2");
  for (std::thread& thread : threads) thread.join();
  first_gateway.join();

  int lost = 0;
  int refused = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (const Result& result : results) {
    if (result.status == 503 && result.complete) ++refused;
    bool passed_on = reached.count(result.id) != 0;
    bool late = result.sent > term + kEarlyMs;
    if (!late || !passed_on || result.complete) continue;
    ++lost;
    Record("= " + result.id + ", sent " + std::to_string(result.sent - term) +
           " ms after SIGTERM, was passed on and has no complete answer: its connection ended " +
           std::to_string(result.ended - term) + " ms after SIGTERM");
  }
  Record("= late requests " + std::to_string(kLateRequests) + ", refused as not run " +
         std::to_string(refused) + ", passed on and cut " + std::to_string(lost));
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main() {
  int result = Run();
  Record("= result " + std::to_string(result));
  return result;
}
