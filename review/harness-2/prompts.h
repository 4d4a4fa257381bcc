// Replicas and clients for prompts of which one part crashes each replica that begins to write an
// answer on it. Used by the cases 8 and 9.
#ifndef REVIEW_HARNESS_2_PROMPTS_H_
#define REVIEW_HARNESS_2_PROMPTS_H_

#include <algorithm>

#include "deployment.h"

namespace review {

constexpr int kContactMs = 5000;
constexpr int kBackMs = 3000;  // "the replica is back after some seconds"

struct SentPrompt {
  int64_t at = 0;
  bool crashes = false;
  bool began = false;  // its first attempt brought a success
};

struct PromptArrival {
  int64_t at = 0;
  std::string gateway;  // its IP address
};

class PromptTest {
 public:
  // A replica writes for `crash_after_ms` on the part before it crashes; 0: it crashes before the
  // first byte.
  explicit PromptTest(int crash_after_ms) : crash_after_ms_(crash_after_ms) {}

  Replica::Handler Handler() {
    return [this](Replica* self, Connection* connection, const Request& request) {
      return Serve(self, connection, request);
    };
  }

  // Two replicas in each zone, a gateway in each, and the route /digest/.
  bool Prepare(Deployment* deployment) {
    for (int i = 0; i < 2; ++i) {
      for (const std::string& zone : Deployment::Zones())
        deployment->AddReplica("model", zone, 32, Handler());
    }
    RouteText route{"digest", "streaming", "model", 2, true, 10000, 800};
    if (!deployment->PutConfiguration(Configuration(1, {route}, {"model"}))) return false;
    if (!deployment->WaitReady(15000)) return false;
    SleepMs(2500);
    return true;
  }

  // Sends a request, on a thread of its own, to the gateways of the zones in turn. No two are
  // alike: each has its own last part. All share the first part.
  void Send(const Deployment& deployment, bool crashes) {
    int number = ++sent_count_;
    std::string gateway = deployment.Gateway(Deployment::Zones()[(crashes ? ++turn_ : number) % 3]);
    ++open_;
    std::thread([this, number, gateway, crashes] {
      char own_part[32];
      snprintf(own_part, sizeof(own_part), "%x:20", 0x100000 + number);
      std::string id = (crashes ? "bad" : "sound") + std::to_string(number);
      int64_t at = NowMs();
      Response response =
          Call(gateway, "POST", "/digest/" + id,
               {{"Host", "a.example"},
                {"Attempt-Id", id},
                {"Model", "m"},
                {"Token-Usage", "920,45"},
                {"Prompt-Prefix",
                 std::string("a1:800,") + (crashes ? "dead:100," : "c3:100,") + own_part},
                {"Deadline-Ms", "5000"}},
               "body of " + id, 6000);
      Record("client " + id + " at " + gateway + ": " + std::to_string(response.status) + " " +
             response.error);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        sent_.push_back({at, crashes, response.complete && response.status == 200});
      }
      --open_;
    }).detach();
  }

  void WaitForAnswers() {
    while (open_ > 0) SleepMs(10);
  }

  // No replica starts again from now on.
  void Finish() {
    finished_ = true;
    while (restarting_ > 0) SleepMs(10);
  }

  std::vector<int64_t> Crashes() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return crashes_;
  }
  std::vector<SentPrompt> Sent() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return sent_;
  }
  // Requests with the part that reached a replica.
  std::vector<PromptArrival> Arrivals() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }
  // The time of the fifth crash; of the last, if there are fewer.
  int64_t FifthCrash() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return crashes_.empty() ? 0 : crashes_[std::min<size_t>(crashes_.size(), 5) - 1];
  }

 private:
  bool Serve(Replica* self, Connection* connection, const Request& request) {
    std::string id = Header(request.headers, "Attempt-Id");
    int first = std::atoi(Header(request.headers, "Last-Event-Id").c_str()) + 1;
    int generation = self->generation;
    bool crashes = Header(request.headers, "Prompt-Prefix").find(",dead:") != std::string::npos;
    if (crashes) {
      {
        std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back({NowMs(), request.peer_ip});
      }
      SleepMs(40);
      if (crash_after_ms_ > 0) {
        if (!WriteStreamHead(connection, id)) return false;
        for (int ms = 0; ms < crash_after_ms_ && self->generation == generation; ms += 100) {
          if (!WriteEvent(connection, first++, "e")) return false;
          SleepMs(100);
        }
      }
      CrashFor(self, generation, id);
      return false;
    }
    if (!WriteStreamHead(connection, id)) return false;
    for (int event = first; event <= 5; ++event) {
      if (self->generation != generation || !WriteEvent(connection, event, "e")) return false;
      SleepMs(30);
    }
    return self->generation == generation && WriteStreamEnd(connection);
  }

  void CrashFor(Replica* self, int generation, const std::string& id) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (self->generation != generation || !self->running()) return;
      crashes_.push_back(NowMs());
      ++restarting_;
      Record("replica " + self->id() + " crashes on " + id);
      self->Crash();
    }
    std::thread([this, self] {
      for (int ms = 0; ms < kBackMs && !finished_; ms += 50) SleepMs(50);
      if (!finished_) self->Restart("r-" + std::to_string(++restarts_), "v1");
      --restarting_;
    }).detach();
  }

  const int crash_after_ms_;
  mutable std::mutex mutex_;
  std::vector<int64_t> crashes_;
  std::vector<SentPrompt> sent_;
  std::vector<PromptArrival> arrivals_;
  std::atomic<int> sent_count_{0};
  std::atomic<int> turn_{0};
  std::atomic<int> open_{0};
  std::atomic<int> restarts_{0};
  std::atomic<int> restarting_{0};
  std::atomic<bool> finished_{false};
};

}  // namespace review

#endif  // REVIEW_HARNESS_2_PROMPTS_H_
