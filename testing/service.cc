#include <gflags/gflags.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "testing/commands.h"
#include "testing/flags.h"
#include "testing/standin_server.h"

DEFINE_string(services, "", "names of the plain services, comma separated");
DEFINE_int64(service_us, 1000, "time of one call, microseconds");
DEFINE_int32(service_slots, 64, "calls announced as concurrent");

namespace ebonylift::standin {
namespace {

using nlohmann::json;

constexpr Duration kIdlePoll = milliseconds(20);
constexpr Duration kLeaveTime = milliseconds(3000);

// A plain HTTP service that answers each call with what it received.
class EchoService {
 public:
  explicit EchoService(asio::io_context& io) : io_(io) {
    StandinHooks hooks;
    hooks.work = [this](const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
      Handle(request, responder);
    };
    hooks.state = [this] { return json({{"running", running_}, {"stalled", stalled_.size()}}); };
    hooks.on_fault_change = [this] { AnswerStalled(); };
    hooks.describe = [this] { return Describe(); };
    hooks.measure = [this] { return Load{running_, 0, FLAGS_service_slots, 0}; };
    hooks.on_terminate = [this] { After(kLeaveTime, [this] { StopWhenIdle(); }); };
    server_ = std::make_unique<StandinServer>(io_, std::move(hooks));
  }

  void Run() { server_->Run(); }

 private:
  struct Pending {
    std::shared_ptr<HttpResponder> responder;
    std::string body;
  };

  void After(Duration delay, std::function<void()> fn) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, fn = std::move(fn)](const asio::error_code& error) {
      if (!error) fn();
    });
  }

  json Describe() const {
    json body = AnnouncementFromFlags(server_->address());
    body["kind"] = "service";
    body["services"] = Split(FLAGS_services, ',');
    return body;
  }

  static std::string Echo(const HttpRequest& request, const std::string& body_sha256) {
    json headers = json::object();
    for (const auto& [name, value] : request.headers) headers[name] = value;
    json echo = {{"server", FLAGS_id},     {"method", request.method}, {"path", request.path},
                 {"query", request.query}, {"headers", headers},       {"body_sha256", body_sha256},
                 {"body", request.body}};
    return echo.dump(-1, ' ', false, json::error_handler_t::replace);
  }

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    RunEntry entry = EntryFromRequest(request);
    std::string echo = Echo(request, entry.body_sha256);
    uint64_t seq = server_->record().Add(std::move(entry));
    server_->record().Start(seq);
    ++running_;
    Faults& faults = server_->faults();
    bool lose = faults.lose_answer && TakeCountedFault(faults);
    auto time = Duration(static_cast<int64_t>(FLAGS_service_us * faults.slow));
    After(time, [this, seq, lose, responder, echo] { Finish(seq, lose, {responder, echo}); });
  }

  void Finish(uint64_t seq, bool lose, Pending pending) {
    --running_;
    server_->record().Finish(seq, lose ? "answer_lost" : "completed");
    if (lose) {
      pending.responder->Abort();
    } else if (server_->faults().stall) {
      stalled_.push_back(std::move(pending));
    } else {
      Answer(std::move(pending));
    }
  }

  static void Answer(Pending pending) {
    pending.responder->Send(200, {{"content-type", "application/json"}}, std::move(pending.body));
  }

  void AnswerStalled() {
    if (server_->faults().stall) return;
    while (!stalled_.empty()) {
      Pending pending = std::move(stalled_.front());
      stalled_.pop_front();
      Answer(std::move(pending));
    }
  }

  void StopWhenIdle() {
    server_->StopAccepting();
    if (running_ == 0 && stalled_.empty()) {
      After(kIdlePoll, [this] { server_->Stop(); });
    } else {
      After(kIdlePoll, [this] { StopWhenIdle(); });
    }
  }

  asio::io_context& io_;
  std::unique_ptr<StandinServer> server_;
  std::deque<Pending> stalled_;
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
