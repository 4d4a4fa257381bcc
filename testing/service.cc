#include <gflags/gflags.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "testing/commands.h"
#include "testing/flags.h"
#include "testing/standin_server.h"

DEFINE_string(services, "", "names of the services to announce, comma separated");
DEFINE_int64(service_us, 1000, "duration of one call, in microseconds");
DEFINE_int32(service_slots, 64, "slots to announce as part of the load");

namespace ebonylift::standin {
namespace {

using nlohmann::json;

constexpr Duration kIdlePollInterval = milliseconds(20);
constexpr Duration kTerminationGrace = milliseconds(3000);

// Stand-in for an HTTP service that is not a model engine. Each response describes the request that
// the service received.
class EchoService {
 public:
  explicit EchoService(asio::io_context& io) : io_(io) {
    StandinHooks hooks;
    hooks.handle_request = [this](const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& responder) {
      Handle(request, responder);
    };
    hooks.state_json = [this] {
      return json({{"running", running_}, {"stalled", stalled_responses_.size()}});
    };
    hooks.on_fault_change = [this] { SendStalledResponses(); };
    hooks.make_announcement = [this] { return MakeAnnouncement(); };
    hooks.measure_load = [this] { return Load{running_, 0, FLAGS_service_slots, 0}; };
    hooks.on_leaving_announced = [this] {
      RunAfter(kTerminationGrace, [this] { StopWhenIdle(); });
    };
    server_ = std::make_unique<StandinServer>(io_, std::move(hooks));
  }

  void Run() { server_->Run(); }

 private:
  struct PendingResponse {
    std::shared_ptr<HttpResponder> responder;
    std::string body;
  };

  void RunAfter(Duration delay, std::function<void()> fn) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, fn = std::move(fn)](const asio::error_code& error) {
      if (!error) fn();
    });
  }

  json MakeAnnouncement() const {
    json body = AnnouncementFromFlags(server_->address());
    body["kind"] = "service";
    body["services"] = Split(FLAGS_services, ',');
    return body;
  }

  static std::string EchoBody(const HttpRequest& request, const std::string& body_sha256) {
    json headers = json::object();
    for (const auto& [name, value] : request.headers) headers[name] = value;
    json echo = {{"server", FLAGS_id},     {"method", request.method}, {"path", request.path},
                 {"query", request.query}, {"headers", headers},       {"body_sha256", body_sha256},
                 {"body", request.body}};
    return echo.dump(-1, ' ', false, json::error_handler_t::replace);
  }

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    RunEntry entry = EntryFromRequest(request);
    std::string echo = EchoBody(request, entry.body_sha256);
    uint64_t seq = server_->record().Add(std::move(entry));
    server_->record().Start(seq);
    ++running_;
    Faults& faults = server_->faults();
    bool lose_answer = faults.lose_answer && ConsumeCountedFault(faults);
    auto service_time = Duration(static_cast<int64_t>(FLAGS_service_us * faults.slow));
    RunAfter(service_time, [this, seq, lose_answer, responder, echo] {
      Finish(seq, lose_answer, {responder, echo});
    });
  }

  void Finish(uint64_t seq, bool lose_answer, PendingResponse response) {
    --running_;
    server_->record().Finish(seq, lose_answer ? "answer_lost" : "completed");
    if (lose_answer) {
      response.responder->Abort();
    } else if (server_->faults().stall) {
      stalled_responses_.push_back(std::move(response));
    } else {
      SendResponse(std::move(response));
    }
  }

  static void SendResponse(PendingResponse response) {
    response.responder->Send(200, {{"content-type", "application/json"}}, std::move(response.body));
  }

  void SendStalledResponses() {
    if (server_->faults().stall) return;
    while (!stalled_responses_.empty()) {
      PendingResponse response = std::move(stalled_responses_.front());
      stalled_responses_.pop_front();
      SendResponse(std::move(response));
    }
  }

  void StopWhenIdle() {
    server_->StopAccepting();
    if (running_ == 0 && stalled_responses_.empty()) {
      RunAfter(kIdlePollInterval, [this] { server_->Stop(); });
    } else {
      RunAfter(kIdlePollInterval, [this] { StopWhenIdle(); });
    }
  }

  asio::io_context& io_;
  std::unique_ptr<StandinServer> server_;
  std::deque<PendingResponse> stalled_responses_;
  int running_ = 0;
};

}  // namespace

int RunService() {
  asio::io_context io;
  EchoService service(io);
  service.Run();
  return 0;
}

}  // namespace ebonylift::standin
