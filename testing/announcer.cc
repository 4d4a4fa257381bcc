#include "testing/announcer.h"

#include <glog/logging.h>

#include <utility>

namespace ebonylift::standin {
namespace {

constexpr Duration kLoadSamplePeriod = milliseconds(50);
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr int kFirstNonSuccessStatus = 300;

}  // namespace

Announcer::Announcer(asio::io_context& io, AnnouncerSettings settings,
                     std::function<nlohmann::json()> make_announcement,
                     std::function<Load()> measure_load)
    : settings_(std::move(settings)),
      make_announcement_(std::move(make_announcement)),
      measure_load_(std::move(measure_load)),
      client_(MakeHttpClient(io)),
      timer_(io) {}

Announcer::~Announcer() = default;

void Announcer::Start() {
  if (running_ || settings_.entry_hosts.empty()) return;
  running_ = true;
  AnnouncePeriodically();
}

void Announcer::Stop() {
  running_ = false;
  timer_.cancel();
}

void Announcer::AnnouncePeriodically() {
  if (!running_) return;
  AnnounceNow();
  timer_.expires_after(settings_.interval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) AnnouncePeriodically();
  });
}

void Announcer::AnnounceNow() {
  if (running_) Send(settings_.entry_hosts.size());
}

void Announcer::AnnounceLeaving(std::function<void()> done) {
  leaving_ = true;
  leave_done_ = std::move(done);
  if (running_) {
    AnnounceNow();
  } else {
    FinishLeaving();
  }
}

void Announcer::FinishLeaving() {
  if (leave_done_) std::exchange(leave_done_, nullptr)();
}

// Returns the load as it was `load_lag` ago. The number of samples kept is bounded by
// load_lag / kLoadSamplePeriod.
Load Announcer::DelayedLoad() {
  Time now = SteadyNow();
  if (load_samples_.empty() || now - load_samples_.back().at >= kLoadSamplePeriod) {
    load_samples_.push_back({now, measure_load_()});
  }
  while (load_samples_.size() > 1 && load_samples_[1].at <= now - settings_.load_lag)
    load_samples_.pop_front();
  return settings_.load_lag.count() == 0 ? measure_load_() : load_samples_.front().load;
}

void Announcer::Send(size_t tries_left) {
  nlohmann::json body = make_announcement_();
  Load load = DelayedLoad();
  body["leaving"] = leaving_;
  body["sent_at"] = WallNow();
  body["load"] = {{"seq", ++seq_},
                  {"running", load.running},
                  {"waiting", load.waiting},
                  {"slots", load.slots},
                  {"prefill_tokens_waiting", load.prefill_tokens_waiting}};
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + settings_.entry_hosts[host_index_] + "/v1/backend-servers/announce";
  call.headers = {{"content-type", "application/json"},
                  {"authorization", "Bearer " + settings_.token}};
  call.body = body.dump();
  call.connect_timeout = kConnectTimeout;
  call.timeout = kCallTimeout;
  call.on_done = [this, tries_left](const CallResult& result) { OnCallDone(result, tries_left); };
  client_->Start(std::move(call));
}

void Announcer::OnCallDone(const CallResult& result, size_t tries_left) {
  last_status_ = result.status;
  if (result.outcome == CallOutcome::kComplete && result.status < kFirstNonSuccessStatus) {
    ++accepted_;
    if (leaving_) FinishLeaving();
    return;
  }
  ++failed_;
  LOG(INFO) << "announcement to " << settings_.entry_hosts[host_index_] << " failed: status "
            << result.status << " " << result.error << "; trying the next entry host";
  host_index_ = (host_index_ + 1) % settings_.entry_hosts.size();
  if (tries_left > 1 && running_) {
    Send(tries_left - 1);
  } else if (leaving_) {
    FinishLeaving();
  }
}

nlohmann::json Announcer::ToJson() const {
  return {{"seq", seq_},         {"accepted", accepted_},
          {"failed", failed_},   {"last_status", last_status_},
          {"leaving", leaving_}, {"announcing", running_}};
}

}  // namespace ebonylift::standin
