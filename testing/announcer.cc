#include "testing/announcer.h"

#include <glog/logging.h>

#include <utility>

namespace ebonylift::standin {
namespace {

constexpr Duration kSamplePeriod = milliseconds(50);
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr int kFirstErrorStatus = 300;

}  // namespace

Announcer::Announcer(asio::io_context& io, AnnouncerSettings settings,
                     std::function<nlohmann::json()> describe, std::function<Load()> measure)
    : settings_(std::move(settings)),
      describe_(std::move(describe)),
      measure_(std::move(measure)),
      client_(MakeHttpClient(io)),
      timer_(io) {}

Announcer::~Announcer() = default;

void Announcer::Start() {
  if (running_ || settings_.entry_hosts.empty()) return;
  running_ = true;
  Tick();
}

void Announcer::Stop() {
  running_ = false;
  timer_.cancel();
}

void Announcer::Tick() {
  if (!running_) return;
  AnnounceNow();
  timer_.expires_after(settings_.interval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

void Announcer::AnnounceNow() {
  if (running_) Send(settings_.entry_hosts.size());
}

void Announcer::Leave(std::function<void()> done) {
  leaving_ = true;
  left_ = std::move(done);
  if (running_) {
    AnnounceNow();
  } else {
    FinishLeaving();
  }
}

void Announcer::FinishLeaving() {
  if (left_) std::exchange(left_, nullptr)();
}

// The load as it was `load_lag` ago. Samples are bounded by load_lag / kSamplePeriod.
Load Announcer::LaggingLoad() {
  Time now = SteadyNow();
  if (samples_.empty() || now - samples_.back().at >= kSamplePeriod) {
    samples_.push_back({now, measure_()});
  }
  while (samples_.size() > 1 && samples_[1].at <= now - settings_.load_lag) samples_.pop_front();
  return settings_.load_lag.count() == 0 ? measure_() : samples_.front().load;
}

void Announcer::Send(size_t tries_left) {
  nlohmann::json body = describe_();
  Load load = LaggingLoad();
  body["leaving"] = leaving_;
  body["sent_at"] = WallNow();
  body["load"] = {{"seq", ++seq_},
                  {"running", load.running},
                  {"waiting", load.waiting},
                  {"slots", load.slots},
                  {"prefill_tokens_waiting", load.prefill_tokens_waiting}};
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + settings_.entry_hosts[host_] + "/v1/backend-servers/announce";
  call.headers = {{"content-type", "application/json"},
                  {"authorization", "Bearer " + settings_.token}};
  call.body = body.dump();
  call.connect_timeout = kConnectTimeout;
  call.timeout = kCallTimeout;
  call.on_done = [this, tries_left](const CallResult& result) { OnSent(result, tries_left); };
  client_->Start(std::move(call));
}

void Announcer::OnSent(const CallResult& result, size_t tries_left) {
  last_status_ = result.status;
  if (result.outcome == CallOutcome::kComplete && result.status < kFirstErrorStatus) {
    ++accepted_;
    if (leaving_) FinishLeaving();
    return;
  }
  ++failed_;
  LOG(INFO) << "announcement to " << settings_.entry_hosts[host_] << " failed: status "
            << result.status << " " << result.error << "; trying the next entry host";
  host_ = (host_ + 1) % settings_.entry_hosts.size();
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
