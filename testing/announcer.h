#ifndef EBONYLIFT_TESTING_ANNOUNCER_H_
#define EBONYLIFT_TESTING_ANNOUNCER_H_

// Announces a backend server to the entry hosts of its failure domain (design page, section 5.2).
// Announcements go to one entry host. When one fails, it is repeated immediately at the next entry
// host of the list, which is used from then on. All methods run on the thread of `io`.

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

// The load of a backend server at one moment.
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
  Duration load_lag{0};  // age of the load that an announcement reports
};

class Announcer {
 public:
  // `make_announcement` returns the announcement without `leaving`, `load` and `sent_at`, which
  // this class adds. `measure_load` returns the current load.
  Announcer(asio::io_context& io, AnnouncerSettings settings,
            std::function<nlohmann::json()> make_announcement, std::function<Load()> measure_load);
  ~Announcer();

  void Start();

  // Sends an announcement immediately, without waiting for the interval.
  void AnnounceNow();

  // Sets `leaving` in all further announcements and sends one. Calls `done` once an entry host has
  // accepted it or all entry hosts have failed.
  void AnnounceLeaving(std::function<void()> done);

  // Stops announcing without notice, like a server that lost its network. Start() resumes.
  void Stop();

  nlohmann::json ToJson() const;

 private:
  struct LoadSample {
    Time at;
    Load load;
  };

  void AnnouncePeriodically();
  void Send(size_t tries_left);
  void OnCallDone(const CallResult& result, size_t tries_left);
  void FinishLeaving();
  Load DelayedLoad();

  AnnouncerSettings settings_;
  std::function<nlohmann::json()> make_announcement_;
  std::function<Load()> measure_load_;
  std::unique_ptr<HttpClient> client_;
  asio::steady_timer timer_;
  std::deque<LoadSample> load_samples_;
  size_t host_index_ = 0;  // index of the current entry host in `entry_hosts`
  uint64_t seq_ = 0;
  uint64_t accepted_ = 0;
  uint64_t failed_ = 0;
  int last_status_ = 0;
  bool running_ = false;
  bool leaving_ = false;
  std::function<void()> leave_done_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ANNOUNCER_H_
