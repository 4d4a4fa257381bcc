#include "tests/support/platform_deployment.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "tests/support/free_port.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

constexpr Duration kHeartbeatInterval = milliseconds(300);
constexpr Duration kControlTimeout = milliseconds(1'500);
constexpr Duration kStartTimeout = seconds(20);
constexpr Duration kTimeToCrash = milliseconds(40);  // from the start of a request that crashes
// Ports that a host listens on, as offsets from its base port.
constexpr int kControlPortOffset = 20;
constexpr int kDirectoryPortOffset = 21;
constexpr int kCallerPortOffset = 22;
constexpr int kReadyPortOffset = 23;
constexpr int kLastInternalPortOffset = 15;

std::string PlatformBinary() {
  std::filesystem::path daemon(DaemonBinary());
  return (daemon.parent_path() / "ebonylift-platform").string();
}

std::string Endpoint(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

int FreeBasePort() {
  // Only deployments like this one listen on addresses of 127.20.0.0/16, and each process has ports
  // of its own.
  constexpr int kPortsPerHost = 32;
  return FreePorts(kPortsPerHost);
}

}  // namespace

PlatformReplica::PlatformReplica(const std::string& id, const std::string& ip,
                                 const std::string& service, const std::string& zone,
                                 const std::string& version)
    : first_id_(id), service_(service), zone_(zone), version_(version), id_(id), born_(WallNow()) {
  Listen(Endpoint(ip, 0));
  address_ = Endpoint(ip, server_->port());
  thread_ = std::thread([this] {
    auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

PlatformReplica::~PlatformReplica() {
  io_.stop();
  thread_.join();
}

void PlatformReplica::Listen(const std::string& address) {
  server_ = StartHttpServer(
      io_, address, HttpLimits(),
      [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        Handle(request, responder);
      });
}

void PlatformReplica::RunAfter(Duration delay, std::function<void()> fn) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, fn = std::move(fn)](const asio::error_code& error) {
    if (!error) fn();
  });
}

void PlatformReplica::Crash() {
  if (server_ == nullptr) return;  // another request crashed it first
  server_.reset();
  waiting_.clear();
  rejections_.clear();
  falling_ = false;
  busy_slots_ = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    running_ = false;
  }
  RunAfter(kCrashedTime, [this] { Restart(); });
}

void PlatformReplica::Restart() {
  Listen(address_);
  std::lock_guard<std::mutex> lock(mutex_);
  ++restarts_;
  if (restarts_ % 2 == 1) id_ = first_id_ + "-" + std::to_string(restarts_);
  born_ = WallNow();
  sequence_ = 0;
  running_ = true;
}

void PlatformReplica::SetLimit(const std::string& limit) {
  std::lock_guard<std::mutex> lock(mutex_);
  limit_ = limit;
}

void PlatformReplica::SetPause(const std::string& retry_after) {
  std::lock_guard<std::mutex> lock(mutex_);
  pause_ = retry_after;
}

void PlatformReplica::SetCut(CutMode mode, std::set<std::string> hosts) {
  bool heals = hosts.empty();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    cut_mode_ = mode;
    cut_hosts_ = std::move(hosts);
  }
  if (!heals) return;
  RunAfter(Duration(0), [this] {
    for (const auto& responder : unanswered_) responder->Abort();
    unanswered_.clear();
  });
}

std::map<std::string, int> PlatformReplica::ArrivalsByHost() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_by_host_;
}

bool PlatformReplica::DropIfCut(const HttpRequest& request,
                                const std::shared_ptr<HttpResponder>& responder) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++arrivals_by_host_[request.remote_address];
  if (cut_hosts_.count(request.remote_address) == 0) return false;
  if (cut_mode_ == CutMode::kSilent) {
    unanswered_.push_back(responder);
  } else {
    responder->Abort();
  }
  return true;
}

void PlatformReplica::SetBrittle(const std::string& rejections_per_s) {
  std::lock_guard<std::mutex> lock(mutex_);
  brittle_ = rejections_per_s;
}

void PlatformReplica::SetRoom(Duration service_time, size_t max_waiting) {
  std::lock_guard<std::mutex> lock(mutex_);
  room_ = Room{service_time, max_waiting};
}

std::vector<Time> PlatformReplica::FallTimes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return fall_times_;
}

std::vector<Time> PlatformReplica::ArrivalTimes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return arrival_times_;
}

std::vector<Time> PlatformReplica::RunTimes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return run_times_;
}

std::vector<HttpHeaders> PlatformReplica::RunHeaders() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return run_headers_;
}

std::vector<Time> PlatformReplica::CrashTimes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return crash_times_;
}

bool PlatformReplica::Running() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

std::string PlatformReplica::id() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return id_;
}

std::vector<std::string> PlatformReplica::ExecutedRequestIds() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

json PlatformReplica::Heartbeat(const std::string& state) {
  std::lock_guard<std::mutex> lock(mutex_);
  return {{"service", service_},     {"address", address_}, {"zone", zone_},
          {"version", version_},     {"slots", kSlots},     {"state", state},
          {"sequence", ++sequence_}, {"born", born_},       {"cold_remaining_ms", 0},
          {"models", json::array()}};
}

void PlatformReplica::Handle(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder) {
  if (DropIfCut(request, responder)) return;
  const std::string& expected = FindHeader(request.headers, "Expect-Instance");
  if (expected != id()) {
    responder->Send(421, {{"Instance-Id", id()}}, "");
    return;
  }
  std::string pause;
  bool has_room_limit = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    arrival_times_.push_back(SteadyNow());
    pause = pause_;
    has_room_limit = room_.has_value();
  }
  if (mode_ == ReplicaMode::kRefuse || !pause.empty()) {
    HttpHeaders refusal = {{"Not-Executed", "1"}};
    if (!pause.empty()) refusal.emplace_back("Retry-After", pause);
    AddNotices(&refusal);
    responder->Send(503, refusal, "");
    return;
  }
  if (has_room_limit) {
    HandleInRoom(request, responder);
  } else {
    Run(request, responder);
  }
}

void PlatformReplica::HandleInRoom(const HttpRequest& request,
                                   const std::shared_ptr<HttpResponder>& responder) {
  Room room;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    room = *room_;
  }
  if (busy_slots_ >= kSlots && waiting_.size() >= room.max_waiting) {
    TurnAway(responder);
    return;
  }
  waiting_.push_back([this, room, request, responder, start = restarts_] {
    RunAfter(room.service_time, [this, request, responder, start] {
      if (start != restarts_ || server_ == nullptr) return;
      Run(request, responder);
      --busy_slots_;
      StartWaiting();
    });
  });
  StartWaiting();
}

void PlatformReplica::StartWaiting() {
  while (busy_slots_ < kSlots && !waiting_.empty()) {
    ++busy_slots_;
    auto start = std::move(waiting_.front());
    waiting_.pop_front();
    start();
  }
}

void PlatformReplica::TurnAway(const std::shared_ptr<HttpResponder>& responder) {
  HttpHeaders refusal = {{"Not-Executed", "1"}};
  AddNotices(&refusal);
  responder->Send(503, refusal, "");
  Time now = SteadyNow();
  rejections_.push_back(now);
  while (now - rejections_.front() > seconds(1)) rejections_.pop_front();
  std::lock_guard<std::mutex> lock(mutex_);
  if (brittle_.empty() || static_cast<double>(rejections_.size()) <= std::stod(brittle_)) return;
  // More may be turned away before it has closed its port.
  if (falling_) return;
  falling_ = true;
  fall_times_.push_back(now);
  RunAfter(Duration(0), [this] { Crash(); });
}

void PlatformReplica::Run(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  ReplicaMode mode = mode_;
  std::string request_id = FindHeader(request.headers, "Attempt-Id");
  bool crashes = request.path.find(kCrashPath) != std::string::npos ||
                 FindHeader(request.headers, "Prompt-Prefix").find(kCrashPart) != std::string::npos;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(request_id);
    run_times_.push_back(SteadyNow());
    run_headers_.push_back(request.headers);
    if (crashes) crash_times_.push_back(SteadyNow());
  }
  if (crashes) {
    // The responder keeps the connection open until the crash.
    RunAfter(kTimeToCrash, [this, responder] { Crash(); });
    return;
  }
  if (mode == ReplicaMode::kNotFound) {
    responder->Send(404, {{"Attempt-Id", request_id}}, "id: 9\ndata: not found\n\n");
    return;
  }
  if (mode == ReplicaMode::kLoseAnswer) {
    responder->Abort();
    return;
  }
  if (request.path.rfind("/stream/", 0) == 0 || request.path.rfind("/check/", 0) == 0) {
    Stream(request, responder, mode == ReplicaMode::kBreakStream);
    return;
  }
  if (mode == ReplicaMode::kWrongAttemptId) request_id = "another";
  HttpHeaders headers = {{"Attempt-Id", request_id}, {"Server-Seal", id()}};
  AddNotices(&headers);
  if (mode == ReplicaMode::kMalformedHead) headers.emplace_back("Server Note", "1");
  int status = mode == ReplicaMode::kFail ? 500 : 200;
  responder->Send(status, headers, request.method + " " + request.path + " " + request.body);
}

void PlatformReplica::AddNotices(HttpHeaders* headers) const {
  if (leaving_) headers->emplace_back("Server-Leaving", "1");
  std::lock_guard<std::mutex> lock(mutex_);
  if (!limit_.empty()) headers->emplace_back("Server-Limit", limit_);
  if (!brittle_.empty()) headers->emplace_back("Server-Brittle", brittle_);
}

void PlatformReplica::Stream(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder,
                             bool break_connection) {
  HttpHeaders headers = {{"Attempt-Id", FindHeader(request.headers, "Attempt-Id")},
                         {"Server-Seal", id()},
                         {"Content-Type", "text/event-stream"}};
  AddNotices(&headers);
  responder->Begin(200, headers);
  int first = std::atoi(FindHeader(request.headers, "Last-Event-Id").c_str()) + 1;
  for (int event = first; event <= kEventsPerStream; ++event) {
    std::string text =
        "id: " + std::to_string(event) + "\ndata: e" + std::to_string(event) + "\n\n";
    if (break_connection && event == first + 2) {
      responder->Write(text.substr(0, text.size() / 2));
      // The delay lets the gateway receive the bytes written so far before the connection closes.
      RunAfter(milliseconds(50), [responder] { responder->Abort(); });
      return;
    }
    responder->Write(text);
  }
  responder->End();
}

// ---- PlatformDeployment

namespace {

json RouteJson(const std::string& name, const std::string& type, bool resumable,
               const std::string& service, int attempts) {
  return {{"name", name},
          {"host", "a.example"},
          {"path_prefix", "/" + name + "/"},
          {"route_type", type},
          {"timeout_ms", 3000},
          {"target_latency_ms", 800},
          {"priority", 0},
          {"service", service},
          {"max_attempts", attempts},
          {"session_affinity", false},
          {"resumable", resumable},
          {"gap_target_ms", 400},
          {"home_regions", json::array()}};
}

}  // namespace

const std::vector<std::string>& PlatformDeployment::Zones() {
  static const std::vector<std::string> zones = {"este-a", "centro-a", "norte-a"};
  return zones;
}

std::string PlatformDeployment::RegionOf(const std::string& zone) {
  return zone.substr(0, zone.size() - 2);
}

std::string PlatformDeployment::ControlIp(int host) {
  return "127.20.0." + std::to_string(host + 1);
}

std::string PlatformDeployment::GatewayIp(int host, int number) {
  constexpr int kZonesPerNumber = 8;
  return "127.20.1." + std::to_string(kZonesPerNumber * number + host + 1);
}

std::string PlatformDeployment::GatewayName(const std::string& zone, int number) const {
  return "front-" + zone + "-" + std::to_string(number + 1);
}

size_t PlatformDeployment::GatewayIndex(const std::string& zone, int number) const {
  int index = ZoneIndex(zone) * gateways_per_zone_ + number;
  return static_cast<size_t>(index);
}

int PlatformDeployment::ZoneIndex(const std::string& zone) const {
  for (size_t i = 0; i < Zones().size(); ++i) {
    if (Zones()[i] == zone) return static_cast<int>(i);
  }
  throw std::runtime_error("unknown zone " + zone);
}

PlatformDeployment::PlatformDeployment(int gateways_per_zone, const std::string& bounds)
    : gateways_per_zone_(gateways_per_zone), bounds_(bounds), base_port_(FreeBasePort()) {
  controls_.reserve(Zones().size());
  for (size_t i = 0; i < Zones().size(); ++i) {
    int host = static_cast<int>(i);
    std::string name = "core-" + Zones()[i];
    controls_.push_back(
        StartDaemon(WriteSettings(name, ControlIp(host), Zones()[i], true, true), name));
    for (int number = 0; number < gateways_per_zone_; ++number) {
      name = GatewayName(Zones()[i], number);
      std::string settings = WriteSettings(name, GatewayIp(host, number), Zones()[i], false, true);
      gateways_.push_back(StartDaemon(settings, name));
    }
  }
  heartbeat_thread_ = std::thread([this] { SendHeartbeats(); });
}

PlatformDeployment::~PlatformDeployment() {
  stopping_ = true;
  heartbeat_thread_.join();
}

std::string PlatformDeployment::WriteSettings(const std::string& name, const std::string& ip,
                                              const std::string& zone, bool control,
                                              bool bootstrap) {
  std::string path = dir_.path() + "/" + name + ".yaml";
  std::ofstream out(path);
  out << "node_name: \"" << name << "\"\nip: \"" << ip << "\"\nzone: \"" << zone << "\"\nregion: \""
      << RegionOf(zone) << "\"\nzones:\n";
  for (const std::string& other_zone : Zones()) {
    out << "  " << other_zone << ": \"" << RegionOf(other_zone) << "\"\n";
  }
  out << "listen:\n";
  if (control) {
    out << "  control: \"" << Endpoint(ip, base_port_ + kControlPortOffset) << "\"\n  directory: \""
        << Endpoint(ip, base_port_ + kDirectoryPortOffset) << "\"\n";
  } else {
    out << "  front: \"" << Endpoint(ip, base_port_ + kCallerPortOffset) << "\"\n  ready: \""
        << Endpoint(ip, base_port_ + kReadyPortOffset) << "\"\n";
  }
  out << "internal_ports:\n  - " << base_port_ << "\n  - " << base_port_ + kLastInternalPortOffset
      << "\nseeds:\n";
  for (size_t i = 0; i < Zones().size(); ++i) {
    out << "  - \"" << Endpoint(ControlIp(static_cast<int>(i)), base_port_ + kControlPortOffset)
        << "\"\n";
  }
  std::string data_dir = dir_.path() + "/" + name;
  if (control) std::filesystem::create_directories(data_dir);
  out << "bootstrap: " << (bootstrap ? "true" : "false")
      << "\ndata_dir: " << (control ? "\"" + data_dir + "\"" : "null")
      << "\nheartbeat_ms: " << ToMillis(kHeartbeatInterval)
      << "\nbounds:\n  grace_s: 8\n  ttl_max_s: 5\n"
      << bounds_;
  return path;
}

Process PlatformDeployment::StartDaemon(const std::string& settings_file, const std::string& name) {
  ProcessOptions options;
  options.binary = PlatformBinary();
  options.arguments = {"--connect_from_own_ip"};
  options.environment = {{"EBONYLIFT_NODE_FILE", settings_file}};
  options.log_file = dir_.path() + "/" + name + ".log";
  return Process(options);
}

void PlatformDeployment::KillControl(int host) { controls_[static_cast<size_t>(host)].Kill(); }

void PlatformDeployment::StartControl(int host, bool bootstrap) {
  const std::string& zone = Zones()[static_cast<size_t>(host)];
  std::string name = "core-" + zone;
  controls_[static_cast<size_t>(host)] =
      StartDaemon(WriteSettings(name, ControlIp(host), zone, true, bootstrap), name);
}

void PlatformDeployment::KillGateway(const std::string& zone, int number) {
  gateways_[GatewayIndex(zone, number)].Kill();
}

void PlatformDeployment::StartGateway(const std::string& zone, int number) {
  std::string name = GatewayName(zone, number);
  std::string ip = GatewayIp(ZoneIndex(zone), number);
  gateways_[GatewayIndex(zone, number)] =
      StartDaemon(WriteSettings(name, ip, zone, false, false), name);
}

void PlatformDeployment::TerminateGateway(const std::string& zone, int number) {
  gateways_[GatewayIndex(zone, number)].Terminate();
}

void PlatformDeployment::StopGateway(const std::string& zone) {
  gateways_[GatewayIndex(zone, 0)].Stop();
}

void PlatformDeployment::ContinueGateway(const std::string& zone) {
  gateways_[GatewayIndex(zone, 0)].Continue();
}

void PlatformDeployment::WipeControl(int host) {
  std::filesystem::remove_all(dir_.path() + "/core-" + Zones()[static_cast<size_t>(host)]);
}

std::vector<std::string> PlatformDeployment::FilesWith(const std::string& text) const {
  std::vector<std::string> found;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(dir_.path())) {
    if (!entry.is_regular_file()) continue;
    std::ifstream in(entry.path(), std::ios::binary);
    std::string content((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (content.find(text) != std::string::npos) found.push_back(entry.path());
  }
  return found;
}

void PlatformDeployment::SendHeartbeats() {
  while (!stopping_) {
    std::map<PlatformReplica*, std::string> targets;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      targets = heartbeat_addresses_;
    }
    for (const auto& [replica, address] : targets) {
      if (!replica->Running()) continue;
      TestCall call;
      call.method = "POST";
      call.url = "http://" + address + "/Instances.Heartbeat/" + replica->id();
      call.body = replica->Heartbeat("ready").dump();
      call.timeout = kControlTimeout;
      TestResponse response = Call(call);
      json answer = json::parse(response.body, nullptr, false);
      std::string next = Endpoint(ControlIp(std::rand() % 3), base_port_ + kControlPortOffset);
      if (response.status == 200 && answer.is_object()) next = answer.value("heartbeat_addr", next);
      std::lock_guard<std::mutex> lock(mutex_);
      if (heartbeat_addresses_.count(replica) != 0) heartbeat_addresses_[replica] = next;
    }
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

PlatformReplica* PlatformDeployment::AddReplica(const std::string& service, const std::string& zone,
                                                const std::string& version) {
  size_t number = replicas_.size() + 1;
  std::string ip = "127.20.2." + std::to_string(number);
  replicas_.push_back(
      std::make_unique<PlatformReplica>("i-" + std::to_string(number), ip, service, zone, version));
  PlatformReplica* replica = replicas_.back().get();
  std::lock_guard<std::mutex> lock(mutex_);
  heartbeat_addresses_[replica] = Endpoint(ControlIp(0), base_port_ + kControlPortOffset);
  return replica;
}

int PlatformDeployment::Drain(PlatformReplica* replica) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    heartbeat_addresses_.erase(replica);
  }
  return ControlAny("POST", "/Instances.Heartbeat/" + replica->id(),
                    replica->Heartbeat("draining").dump())
      .status;
}

TestResponse PlatformDeployment::Control(int host, const std::string& method,
                                         const std::string& path, const std::string& body) {
  TestCall call;
  call.method = method;
  call.url = "http://" + Endpoint(ControlIp(host), base_port_ + kControlPortOffset) + path;
  call.body = body;
  call.timeout = kControlTimeout;
  TestResponse response = Call(call);
  if (response.status != 307) return response;
  call.url = response.Header("Location");
  return Call(call);
}

TestResponse PlatformDeployment::ControlAny(const std::string& method, const std::string& path,
                                            const std::string& body) {
  TestResponse response;
  WaitFor(
      [&] {
        for (int host = 0; host < 3; ++host) {
          response = Control(host, method, path, body);
          if (response.status != 0 && response.status < 500) return true;
        }
        return false;
      },
      kStartTimeout);
  return response;
}

TestResponse PlatformDeployment::Resolve(int host, const std::string& zone) {
  return Get("http://" + Endpoint(ControlIp(host), base_port_ + kDirectoryPortOffset) +
             "/resolve?name=a.example&region=" + RegionOf(zone) + "&zone=" + zone);
}

bool PlatformDeployment::Ready(const std::string& zone) {
  for (int number = 0; number < gateways_per_zone_; ++number) {
    std::string ip = GatewayIp(ZoneIndex(zone), number);
    if (Get("http://" + Endpoint(ip, base_port_ + kReadyPortOffset) + "/ready").status != 200)
      return false;
  }
  return true;
}

TestResponse PlatformDeployment::Request(
    const std::string& zone, const std::string& method, const std::string& path,
    const std::string& request_id,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  int gateway = next_gateway_++ % gateways_per_zone_;
  return RequestAt(zone, gateway, method, path, request_id, headers);
}

std::string PlatformDeployment::GatewayAddress(const std::string& zone, int number) const {
  return Endpoint(GatewayIp(ZoneIndex(zone), number), base_port_ + kCallerPortOffset);
}

TestResponse PlatformDeployment::RequestAt(
    const std::string& zone, int gateway, const std::string& method, const std::string& path,
    const std::string& request_id,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  TestCall call;
  call.method = method;
  call.url = "http://" + GatewayAddress(zone, gateway) + path;
  call.headers = {{"Host", "a.example"}, {"Attempt-Id", request_id}, {"Deadline-Ms", "5000"}};
  call.headers.insert(call.headers.end(), headers.begin(), headers.end());
  if (method == "POST") call.body = "body of " + request_id;
  return Call(call);
}

json PlatformDeployment::Configuration(int version) {
  auto service = [](const std::string& name) {
    return json{{"name", name},
                {"health_path", "/health"},
                {"max_connections", 100},
                {"cold_start_s", 0.0},
                {"cold_per_s", 0.0}};
  };
  json check = RouteJson("check", "streaming", false, "model", 1);
  check["home_regions"] = {"este", "centro"};
  return {{"version", version},
          {"routes",
           {RouteJson("stream", "streaming", true, "model", 2), check,
            RouteJson("post", "unsafe", false, "portal", 1),
            RouteJson("look", "safe", false, "portal", 2)}},
          {"services", {service("model"), service("portal")}},
          {"limits", {{"max_header_bytes", 16384}}}};
}

void PlatformDeployment::AddRoutes(int count, json* configuration) {
  for (int i = 0; i < count; ++i) {
    (*configuration)["routes"].push_back(
        RouteJson("extra-" + std::to_string(i), "safe", false, "portal", 2));
  }
}

size_t PlatformDeployment::PeakControlMemory(int host) const {
  return PeakMemoryBytes(controls_[static_cast<size_t>(host)].pid());
}

size_t PlatformDeployment::PeakGatewayMemory() const {
  size_t peak = 0;
  for (const Process& gateway : gateways_) peak = std::max(peak, PeakMemoryBytes(gateway.pid()));
  return peak;
}

size_t PlatformDeployment::ControlEventCount(const std::string& event) const {
  const std::string name = R"("name":")" + event + '"';
  size_t count = 0;
  for (const std::string& zone : Zones()) {
    std::ifstream log(dir_.path() + "/core-" + zone + ".log");
    for (std::string line; std::getline(log, line);) {
      if (line.find(name) != std::string::npos) ++count;
    }
  }
  return count;
}

void PlatformDeployment::PutConfiguration(const json& configuration) {
  TestResponse response = ControlAny("POST", "/Config.Replace", configuration.dump());
  if (response.status != 200) throw std::runtime_error("the configuration was not accepted");
}

}  // namespace ebonylift::test
