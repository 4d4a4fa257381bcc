// Replicas run safe requests and lose some of the answers: the connection is reset. Are requests
// that are sent once more handed more time than their clients have left?

#include "deployment.h"

using namespace review;

namespace {

constexpr int kRunMs = 700;
constexpr int kDeadlineMs = 3000;
constexpr int kTroubleMs = 4000;
constexpr int kIntervalMs = 20;
constexpr double kLostShare = 0.4;  // of the answers, at three of five replicas
constexpr int kSlackMs = 500;
constexpr size_t kAllowed = 20;

struct Arrival {
  int64_t at = 0;
  std::string replica;
  int64_t deadline_ms = 0;
};

std::mutex mutex;
std::map<std::string, std::vector<Arrival>> arrivals;  // by Attempt-Id
std::map<std::string, int64_t> client_ends;
std::map<std::string, int> counts;
std::atomic<bool> trouble_now{false};

bool Serve(Replica* self, Connection* connection, const Request& request) {
  std::string id = Header(request.headers, "Attempt-Id");
  bool lost = false;
  {
    std::lock_guard<std::mutex> lock(mutex);
    std::string deadline = Header(request.headers, "Deadline-Ms");
    arrivals[id].push_back(
        {NowMs(), self->id(), deadline.empty() ? -1 : std::atoll(deadline.c_str())});
    // Two of five at the replicas i-1 to i-3.
    if (trouble_now && self->id() < "i-4")
      lost = (counts[self->id()]++ % 5) < static_cast<int>(5 * kLostShare);
  }
  SleepMs(kRunMs);
  if (!lost) return WriteAnswer(connection, id, "answer to " + id);
  Record("replica " + self->id() + " has run " + id + " and loses its answer");
  connection->Reset();
  return false;
}

int Run() {
  Deployment deployment({2, 1, 1});
  for (int i = 0; i < 5; ++i) deployment.AddReplica("portal", "este-a", 32, Serve);
  RouteText route{"look", "safe", "portal", 2, false, 5000, 1500};
  if (!deployment.PutConfiguration(Configuration(1, {route}, {"portal"}))) return 2;
  if (!deployment.WaitReady(15000)) return 2;
  SleepMs(3000);
  std::atomic<int> open{0};
  std::atomic<int> served{0};
  int64_t start = NowMs();
  int sent = 0;
  for (; NowMs() < start + 15000; ++sent) {
    int64_t since = NowMs() - start;
    trouble_now = Trouble() && since >= 5000 && since < 5000 + kTroubleMs;
    ++open;
    std::thread([&, sent] {
      std::string id = "q" + std::to_string(sent);
      {
        std::lock_guard<std::mutex> lock(mutex);
        client_ends[id] = NowMs() + kDeadlineMs;
      }
      Response response = Call(
          deployment.Gateway("este-a", sent % 2), "GET", "/look/" + id,
          {{"Host", "a.example"}, {"Attempt-Id", id}, {"Deadline-Ms", std::to_string(kDeadlineMs)}},
          "", kDeadlineMs);
      Record("client " + id + ": " + std::to_string(response.status) + " " + response.error);
      if (response.status == 200) ++served;
      --open;
    }).detach();
    SleepMs(kIntervalMs);
  }
  while (open > 0) SleepMs(10);
  SleepMs(kRunMs + 300);

  size_t again_late = 0, too_much = 0, same_replica = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [id, list] : arrivals) {
    for (size_t i = 1; i < list.size(); ++i) {
      const Arrival& first = list[0];
      const Arrival& now = list[i];
      if (now.at - first.at <= kSlackMs) continue;
      ++again_late;
      int64_t end = now.at + now.deadline_ms;
      bool over = now.deadline_ms < 0 || (end > first.at + first.deadline_ms + kSlackMs &&
                                          end > client_ends[id] + kSlackMs);
      if (!over) continue;
      ++too_much;
      if (now.replica == list[i - 1].replica) ++same_replica;
      Record(id + " arrives again at " + now.replica + " after " +
             std::to_string(now.at - first.at) + " ms, Deadline-Ms " +
             std::to_string(now.deadline_ms));
    }
  }
  Record("= requests " + std::to_string(sent) + ", served " + std::to_string(served) +
         ", sent once more later than 0.5 s " + std::to_string(again_late));
  Record("= of these with a deadline over 0.5 s after the first and the client's own: " +
         std::to_string(too_much) + " (allowed: 20 and a fifth), at the same replica " +
         std::to_string(same_replica));
  if (deployment.AnyEnded()) return 2;
  if (!Trouble() && served < sent * 9 / 10) return 2;
  return too_much > kAllowed && too_much > again_late / 5 ? 1 : 0;
}

}  // namespace

int main() {
  int result = Run();
  Record("= result " + std::to_string(result));
  return result;
}
