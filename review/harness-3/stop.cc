// A planned stop of a front machine while clients read their answers slowly.
//
// usage: stop ROOT RECORD

#include "harness.h"

using namespace review;

namespace {

constexpr char kService[] = "docs-app";
constexpr int kSlots = 6;
constexpr int kMaxConnections = 96;
constexpr int64_t kTimeoutMs = 10'000;  // of the route, and the deadline of the requests
constexpr int kClients = 2;
constexpr size_t kAnswerBytes = 8 << 20;
constexpr int64_t kClientPace = 1'250'000;  // bytes a second: 6.7 s for an answer
constexpr int kStopAfterMs = 300;           // from the requests to the SIGTERM
constexpr int kContactMs = 6'000;

struct Client {
  std::string id;
  bool looked = false;
  Answer answer;
  double seconds = 0;  // from the SIGTERM to the end of the answer or of the connection
  std::thread thread;
};

int Run(const std::string& root, const std::string& record_path) {
  Record record(record_path);
  DeploymentOptions options;
  Deployment deployment(root, options);
  deployment.StartAll();
  std::vector<Replica*> replicas;
  for (int zone = 0; zone < Deployment::kZones; ++zone) {
    replicas.push_back(deployment.AddReplica(
        kService, zone, kSlots, [](Replica* replica, int fd, Reader* reader, const Head& head) {
          if (!replica->IsMine(fd, head)) return false;
          bool large = head.Word(1).compare(0, 6, "/post/") == 0;
          if (large) replica->OnRun(head.Field("Attempt-Id"));
          std::string body;
          if (!reader->ReadBody(head, &body)) return false;
          SleepMs(15);
          size_t bytes = large ? kAnswerBytes : 200;
          return SendAll(fd, replica->AnswerHead(head, bytes) + std::string(bytes, 'x'));
        }));
  }
  Answer configured = deployment.Control(
      "POST", "/Config.Replace",
      Deployment::Configuration(1,
                                {Deployment::Route("look", "safe", kService, kTimeoutMs, 2),
                                 Deployment::Route("post", "unsafe", kService, kTimeoutMs, 1)},
                                {Deployment::Service(kService, kMaxConnections)}));
  if (configured.status != 200 || !deployment.WaitUntilReady(20)) {
    record.Line("the deployment did not become ready");
    return kCannotRun;
  }
  SleepMs(kContactMs + 1'000);
  record.Line("ready");
  Clock::time_point term = Clock::now() + milliseconds(kStopAfterMs + 500);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>());
    Client* client = clients.back().get();
    client->id = "a" + std::to_string(1000 + i);
    client->thread = std::thread([&, client] {
      ClientConnection connection(deployment.FrontIp(0), deployment.FrontPort(), 15'000, 64 << 10);
      if (!connection.connected()) return;
      connection.Send("GET", "/look/" + client->id, "look-" + client->id, kTimeoutMs, "");
      client->looked = connection.Receive().status == 200;
      if (!client->looked) return;
      std::this_thread::sleep_until(term - milliseconds(kStopAfterMs));
      connection.Send("POST", "/post/" + client->id, client->id, kTimeoutMs, "body");
      if (WithTrouble()) connection.reader().SetPace(kClientPace);
      client->answer = connection.Receive();
      client->seconds = std::chrono::duration<double>(Clock::now() - term).count();
    });
  }
  std::this_thread::sleep_until(term);
  deployment.front(0).Signal(SIGTERM);
  record.Line("SIGTERM to the front machine");
  double ended = 0;
  while (deployment.front(0).Running() && SecondsSince(term) < options.grace_s) SleepMs(10);
  if (deployment.front(0).Running()) {
    record.Line("SIGKILL at the end of the grace period");
    deployment.front(0).Kill();
  }
  ended = SecondsSince(term);
  record.Line("the front machine ended " + std::to_string(ended) +
              " s after the SIGTERM; grace_s is " + std::to_string(options.grace_s));
  for (auto& client : clients) client->thread.join();
  int lost = 0;
  int answered = 0;
  for (auto& client : clients) {
    bool passed_on = false;
    for (Replica* replica : replicas)
      passed_on = passed_on || replica->Runs().count(client->id) > 0;
    bool complete = client->answer.complete && client->answer.body.size() == kAnswerBytes;
    record.Line(client->id + (passed_on ? " passed on to a replica, " : " not passed on, ") +
                (complete ? "answered " + std::to_string(client->answer.status)
                          : "status " + std::to_string(client->answer.status) +
                                ", the connection ended within the body") +
                ", " + std::to_string(client->seconds) + " s after the SIGTERM");
    if (complete) ++answered;
    if (!complete && passed_on && client->seconds < options.grace_s + 1) ++lost;
  }
  if (lost > 0) {
    record.Line("LOST is broken: " + std::to_string(lost) + " of " + std::to_string(kClients) +
                " requests have no complete answer");
    return kBroken;
  }
  if (answered < kClients) return kCannotRun;
  record.Line("LOST held");
  return kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCannotRun;
  signal(SIGPIPE, SIG_IGN);
  try {
    return Run(argv[1], argv[2]);
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return kCannotRun;
  }
}
