#include "testing/standin_server.h"

#include <csignal>
#include <iostream>
#include <utility>

#include "base/error.h"
#include "testing/flags.h"

namespace ebonylift::standin {
namespace {

const char kControlPrefix[] = "/standin/";

ListenMode ListenModeForFaults(const Faults& faults) {
  if (faults.refuse) return ListenMode::kRefuse;
  if (faults.reset_before) return ListenMode::kReset;
  return ListenMode::kServe;
}

AnnouncerSettings AnnouncerSettingsFromFlags() {
  AnnouncerSettings settings;
  settings.entry_hosts = Split(FLAGS_entry_hosts, ',');
  settings.token = FLAGS_platform_token;
  settings.interval = milliseconds(FLAGS_announce_ms);
  settings.load_lag = milliseconds(FLAGS_load_lag_ms);
  return settings;
}

}  // namespace

void SendError(HttpResponder& responder, int status, const std::string& code,
               const std::string& message) {
  SendJson(responder, status,
           {{"error", {{"message", message}, {"type", "standin"}, {"code", code}}}});
}

void SendJson(HttpResponder& responder, int status, const nlohmann::json& body) {
  responder.Send(status, {{"content-type", "application/json"}},
                 body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

nlohmann::json AnnouncementFromFlags(const std::string& address) {
  return {{"id", FLAGS_id},
          {"incarnation", IncarnationFromFlags()},
          {"domain", FLAGS_domain},
          {"region", FLAGS_region},
          {"address", FLAGS_advertise.empty() ? address : FLAGS_advertise},
          {"ttl_ms", FLAGS_ttl_ms},
          {"models", nlohmann::json::array()},
          {"services", nlohmann::json::array()},
          {"capabilities", nlohmann::json::array()},
          {"role", ""},
          {"checks_fencing", false}};
}

StandinServer::StandinServer(asio::io_context& io, StandinHooks hooks)
    : io_(io),
      hooks_(std::move(hooks)),
      record_({FLAGS_id, IncarnationFromFlags(), FLAGS_region, FLAGS_domain}, FLAGS_record_file),
      signals_(io, SIGTERM, SIGINT) {
  auto handler = [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
    Handle(std::move(request), responder);
  };
  listener_ = std::make_unique<Listener>(io_, FLAGS_listen, FLAGS_control, handler);
  AnnouncerSettings settings = AnnouncerSettingsFromFlags();
  if (!hooks_.make_announcement) settings.entry_hosts.clear();
  announcer_ =
      std::make_unique<Announcer>(io_, settings, hooks_.make_announcement, hooks_.measure_load);
  signals_.async_wait([this](const asio::error_code& error, int /*signal*/) {
    if (!error) Terminate();
  });
}

StandinServer::~StandinServer() = default;

void StandinServer::Run() {
  announcer_->Start();
  std::cout << nlohmann::json({{"listening", address()}}).dump() << std::endl;
  io_.run();
}

void StandinServer::Stop() { io_.stop(); }

void StandinServer::StopAccepting() { listener_->SetMode(ListenMode::kRefuse); }

void StandinServer::Terminate() {
  announcer_->AnnounceLeaving([this] {
    if (hooks_.on_leaving_announced) {
      hooks_.on_leaving_announced();
    } else {
      Stop();
    }
  });
}

void StandinServer::Handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
  if (request.path.rfind(kControlPrefix, 0) == 0) {
    HandleControl(request, *responder);
    return;
  }
  bool fault_active = faults_.reset_after || faults_.error_status != 0;
  if (!fault_active || !ConsumeCountedFault(faults_)) {
    hooks_.handle_request(std::move(request), responder);
    return;
  }
  uint64_t seq = record_.Add(EntryFromRequest(request));
  if (faults_.reset_after) {
    record_.Finish(seq, "reset_after");
    responder->Abort();
    return;
  }
  record_.Finish(seq, "error_status");
  SendError(*responder, faults_.error_status, "fault", "error status set by /standin/fault");
}

void StandinServer::HandleControl(const HttpRequest& request, HttpResponder& responder) {
  try {
    if (request.path == "/standin/record") {
      responder.Send(200, {{"content-type", "application/x-ndjson"}}, record_.ToJsonLines());
    } else if (request.path == "/standin/fault") {
      if (request.method == "POST") SetFaults(request.body);
      responder.Send(200, {{"content-type", "application/json"}}, FaultsToJson(faults_));
    } else if (request.path == "/standin/state") {
      nlohmann::json state = hooks_.state_json ? hooks_.state_json() : nlohmann::json::object();
      state["announcer"] = announcer_->ToJson();
      SendJson(responder, 200, state);
    } else {
      SendError(responder, 404, "unknown_path", "no such path: " + request.path);
    }
  } catch (const Error& error) {
    SendError(responder, LookupError(error.kind()).http_status, LookupError(error.kind()).code,
              error.what());
  }
}

void StandinServer::SetFaults(const std::string& body) {
  faults_ = ApplyFaults(faults_, body);
  listener_->SetMode(ListenModeForFaults(faults_));
  if (faults_.silent) {
    announcer_->Stop();
  } else {
    announcer_->Start();
  }
  if (hooks_.on_fault_change) hooks_.on_fault_change();
}

}  // namespace ebonylift::standin
