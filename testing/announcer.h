#ifndef EBONYLIFT_TESTING_ANNOUNCER_H_
#define EBONYLIFT_TESTING_ANNOUNCER_H_

// Announces a backend server to the entry hosts of its failure domain (design page, section 5.2).
// Uses one entry host until it fails, then the next one at once. All methods run on the thread of
// `io`.

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "adapters/http_client.h"

namespace ebonylift::standin {

struct Load {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  int64_t prefill_tokens_waiting = 0;
};

struct AnnouncerSettings {
  std::vector<std::string> entry_hosts;  // host:port
  std::string token;
  Duration interval = milliseconds(700);
  Duration load_lag{0};
};

class Announcer {
 public:
  // `describe` returns the announcement without `leaving`, `load` and `sent_at`; `measure` the load
  // at this moment.
  Announcer(asio::io_context& io, AnnouncerSettings settings,
            std::function<nlohmann::json()> describe, std::function<Load()> measure);
  ~Announcer();

  void Start();

  // Announces at once, for a change that must be known soon.
  void AnnounceNow();

  // From now on announcements say `leaving`; `done` runs when an entry host has accepted one or
  // each was tried.
  void Leave(std::function<void()> done);

  // Stops announcing without saying so, as a cut-off server does; Start() goes on.
  void Stop();

  nlohmann::json ToJson() const;

 private:
  struct Sample {
    Time at;
    Load load;
  };

  void Tick();
  void Send(size_t tries_left);
  void OnSent(const CallResult& result, size_t tries_left);
  void FinishLeaving();
  Load LaggingLoad();

  AnnouncerSettings settings_;
  std::function<nlohmann::json()> describe_;
  std::function<Load()> measure_;
  std::unique_ptr<HttpClient> client_;
  asio::steady_timer timer_;
  std::deque<Sample> samples_;
  size_t host_ = 0;  // index of the entry host in use
  uint64_t seq_ = 0;
  uint64_t accepted_ = 0;
  uint64_t failed_ = 0;
  int last_status_ = 0;
  bool running_ = false;
  bool leaving_ = false;
  std::function<void()> left_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ANNOUNCER_H_
