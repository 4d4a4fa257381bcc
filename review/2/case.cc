// Case 2: a replica fails part of its requests, and its JSON error names the code "overloaded". The
// requests must not run twice; their route's homes are lahore and karachi, so those of clients in
// peshawar reach the replica through two gateways. Exits with 1 if the rule TWICE was broken, 0 if
// it held, 2 if the case couldn't run.

#include <cstdio>
#include <stdexcept>

#include "deployment.h"

using namespace review;

namespace {

constexpr int kTrafficMs = 18000;
constexpr int kTroubleFromMs = 5000;
constexpr int kTroubleMs = 6500;
constexpr int kClients = 6;  // in each zone
constexpr char kGreyReplica[] = "p-khi-1";
constexpr char kErrorBody[] =
    R"({"error":{"code":"overloaded","message":"The store did not answer in time."}})";

std::atomic<bool> failing{false};

Answer Handle(const Message& request, Replica* replica) {
  static std::atomic<int> count{0};
  Answer answer;
  answer.body = "done " + request.target();
  if (failing && replica->options().id == kGreyReplica && ++count % 5 < 2) {
    answer.status = 500;
    answer.body = kErrorBody;
  }
  return answer;
}

struct Tally {
  std::mutex mutex;
  int requests = 0;
  int served = 0;
  int failed_by_replica = 0;
  std::vector<Outcome> outcomes;
};

void RunClient(Deployment* deployment, const Zone& zone, const std::string& name, int64_t until,
               Tally* tally) {
  Client client(deployment, zone);
  for (int count = 0; NowMs() < until; ++count) {
    Request request;
    request.target = "/post/" + name + "-" + std::to_string(count);
    request.attempt_id = NewAttemptId();
    request.body = std::string(600, 'x');
    Outcome outcome = client.Send(request);
    {
      std::lock_guard<std::mutex> lock(tally->mutex);
      ++tally->requests;
      tally->served += outcome.answered() && outcome.answer.status() == 200;
      tally->failed_by_replica += outcome.answered() && outcome.answer.status() == 500;
      tally->outcomes.push_back(outcome);
    }
    SleepMs(150);
  }
}

int RunCase(Record* record) {
  std::vector<Zone> zones = {
      {"lhr-hall-a", "lahore"}, {"khi-hall-b", "karachi"}, {"psh-hall-c", "peshawar"}};
  Deployment deployment(record, zones, 2);
  deployment.StartAll();
  const char* short_names[] = {"lhr", "khi", "psh"};
  const int replicas[] = {4, 3, 2};
  for (size_t zone = 0; zone < 3; ++zone) {
    for (int number = 1; number <= replicas[zone]; ++number) {
      deployment.AddReplica(std::string("p-") + short_names[zone] + "-" + std::to_string(number),
                            "portal", zones[zone], Handle);
    }
  }
  std::vector<RouteText> routes(1);
  routes[0] = {"post", "unsafe", "portal", 1, false, {"lahore", "karachi"}, 3000, 400, 0};
  if (!deployment.SendConfiguration(Configuration(1, routes, {"portal"}), 20000) ||
      !deployment.WaitUntilReady(20000)) {
    fprintf(stderr, "the deployment did not start\n");
    return 2;
  }
  SleepMs(3000);
  Tally tally;
  int64_t until = NowMs() + kTrafficMs;
  std::vector<std::thread> clients;
  for (size_t zone = 0; zone < 3; ++zone) {
    for (int number = 0; number < kClients; ++number) {
      std::string name = std::string(short_names[zone]) + std::to_string(number);
      clients.emplace_back(RunClient, &deployment, zones[zone], name, until, &tally);
    }
  }
  SleepMs(kTroubleFromMs);
  if (Trouble()) {
    record->Line("replica %s fails two fifths of its requests", kGreyReplica);
    failing = true;
    SleepMs(kTroubleMs);
    failing = false;
    record->Line("replica %s fails none any more", kGreyReplica);
  }
  for (std::thread& client : clients) client.join();

  std::map<std::string, std::vector<std::string>> runs;
  for (const Run& run : deployment.Runs()) runs[run.attempt_id].push_back(run.replica);
  int twice = 0, refused = 0;
  for (const auto& [id, at] : runs) {
    if (at.size() < 2) continue;
    ++twice;
    std::string names;
    for (const std::string& replica : at) names += " " + replica;
    record->Line("TWICE %s ran at%s", id.c_str(), names.c_str());
  }
  for (const Outcome& outcome : tally.outcomes) {
    int status = outcome.answered() ? outcome.answer.status() : 0;
    bool promised = status == 503 || status == 429 || status == 408 || status == 421;
    if (!promised || runs.count(outcome.attempt_id) == 0) continue;
    ++refused;
    record->Line("REFUSED %s was answered %d and ran at %s", outcome.attempt_id.c_str(), status,
                 runs[outcome.attempt_id][0].c_str());
  }
  record->Line(
      "%d requests, %d served, %d failed by their replica; %d ran twice (TWICE %s); %d were "
      "refused as not run, but ran",
      tally.requests, tally.served, tally.failed_by_replica, twice, twice > 0 ? "BROKEN" : "held",
      refused);
  printf(
      "%d requests, %d served, %d failed by their replica, %d ran twice, %d refused but ran: "
      "TWICE %s\n",
      tally.requests, tally.served, tally.failed_by_replica, twice, refused,
      twice > 0 ? "broken" : "held");
  if (tally.served == 0) return 2;
  return twice > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Record record(argc > 1 ? argv[1] : "record.txt");
    return RunCase(&record);
  } catch (const std::exception& error) {
    fprintf(stderr, "the case couldn't run: %s\n", error.what());
    return 2;
  }
}
