#include "deployment.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int kHeartbeatMs = 1200;
constexpr int kRestartDelayMs = 300;
constexpr int64_t kGatewayMemoryMb = 260;
constexpr int64_t kControlMemoryMb = 256;

// The `run` of a role in deploy/system.toml.
std::vector<std::string> CommandOf(const std::string& role) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  bool in_role = false;
  while (std::getline(file, line)) {
    if (line.rfind("[", 0) == 0) in_role = line == "[roles." + role + "]";
    if (!in_role || line.rfind("run = \"", 0) != 0) continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> command;
    std::string word;
    while (words >> word) command.push_back(word);
    return command;
  }
  throw std::runtime_error("deploy/system.toml has no command for " + role);
}

}  // namespace

Record::Record(const std::string& path) : file_(fopen(path.c_str(), "w")), started_(NowMs()) {
  if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
  setvbuf(file_, nullptr, _IOLBF, 0);
}

Record::~Record() { fclose(file_); }

void Record::Line(const char* format, ...) {
  std::lock_guard<std::mutex> lock(mutex_);
  fprintf(file_, "%8.3f ", static_cast<double>(Ms()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  vfprintf(file_, format, arguments);
  va_end(arguments);
  fputc('\n', file_);
}

bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string NewAttemptId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard<std::mutex> lock(mutex);
  char text[24];
  snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

std::string Configuration(int version, const std::vector<RouteText>& routes,
                          const std::vector<std::string>& services) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteText& route = routes[i];
    std::string homes;
    for (const std::string& home : route.homes) homes += (homes.empty() ? "" : ",") + Quote(home);
    text += std::string(i ? "," : "") + "{\"name\":" + Quote("r-" + route.name) +
            ",\"host\":" + Quote(route.host) + ",\"path_prefix\":" + Quote("/" + route.name + "/") +
            ",\"route_type\":" + Quote(route.type) +
            ",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(route.target_ms) +
            ",\"priority\":" + std::to_string(route.priority) +
            ",\"service\":" + Quote(route.service) +
            ",\"max_attempts\":" + std::to_string(route.attempts) +
            ",\"session_affinity\":false,\"resumable\":" + (route.resumable ? "true" : "false") +
            ",\"gap_target_ms\":400,\"home_regions\":[" + homes + "]}";
  }
  text += "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    text += std::string(i ? "," : "") + "{\"name\":" + Quote(services[i]) +
            ",\"health_path\":\"/health\",\"max_connections\":230,\"protocol\":\"h1\","
            "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// ---- Replica

Replica::Replica(Deployment* deployment, Options options, Handler handler)
    : deployment_(deployment),
      options_(std::move(options)),
      handler_(std::move(handler)),
      version_(options_.version) {}

Replica::~Replica() {
  ended_ = true;
  Crash();
  if (beats_.joinable()) beats_.join();
  while (threads_ > 0) SleepMs(5);
}

void Replica::Start() { Restart(options_.version); }

std::string Replica::version() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

std::string Replica::address() const { return options_.ip + ":" + std::to_string(kReplicaPort); }

void Replica::Crash() {
  std::lock_guard<std::mutex> lock(mutex_);
  int listener = listener_.exchange(-1);
  if (listener < 0) return;
  ++start_;
  shutdown(listener, SHUT_RDWR);
  for (int fd : connections_) Reset(fd);
  if (!ended_) deployment_->record().Line("replica %s crashed", options_.id.c_str());
}

void Replica::Restart(const std::string& version) {
  int listener = -1;
  for (int tries = 0; listener < 0 && tries < 100; ++tries) {
    listener = Listen(options_.ip, kReplicaPort);
    if (listener < 0) SleepMs(20);
  }
  if (listener < 0) throw std::runtime_error("no port for a replica");
  uint64_t start = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    version_ = version;
    born_ = UnixMs();
    sequence_ = 0;
    start = ++start_;
    listener_ = listener;
  }
  deployment_->record().Line("replica %s (%s, %s) started, software %s", options_.id.c_str(),
                             options_.service.c_str(), options_.zone.name.c_str(), version.c_str());
  ++threads_;
  std::thread([this, listener, start] {
    Accept(listener, start);
    close(listener);
    --threads_;
  }).detach();
  if (!beats_.joinable()) beats_ = std::thread([this] { Beat(); });
}

void Replica::Accept(int listener, uint64_t start) {
  while (StillUp(start)) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!StillUp(start)) {
        Reset(fd);
        close(fd);
        return;
      }
      connections_.insert(fd);
    }
    ++threads_;
    std::thread([this, fd, start] {
      Serve(fd, start);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(fd);
        close(fd);
      }
      --threads_;
    }).detach();
  }
}

void Replica::Serve(int fd, uint64_t start) {
  constexpr int kIdleMs = 30000;
  Reader reader(fd);
  while (StillUp(start)) {
    Message request = ReadMessage(&reader, NowMs() + kIdleMs);
    // A request has no body without a length.
    bool whole = request.complete && request.head_received;
    if (!whole || !StillUp(start) || !Respond(fd, request, start)) return;
  }
}

bool Replica::Respond(int fd, const Message& request, uint64_t start) {
  std::string id = Find(request.headers, "Attempt-Id");
  Headers headers = {{"Attempt-Id", id}};
  if (request.method() == "GET" && request.target() == "/health") {
    return SendAll(
        fd, FormatHead("HTTP/1.1 200 OK", {{"Instance-Id", options_.id}, {"Content-Length", "0"}}));
  }
  std::string expected = Find(request.headers, "Expect-Instance");
  headers.emplace_back("Content-Length", "0");
  if (id.empty()) {
    headers.emplace_back("Not-Executed", "1");
    return SendAll(fd, FormatHead("HTTP/1.1 400 Bad Request", headers));
  }
  if (!expected.empty() && expected != options_.id)
    return SendAll(fd, FormatHead("HTTP/1.1 421 Misdirected Request", headers));
  if (running_ >= options_.slots) {
    headers.emplace_back("Not-Executed", "1");
    return SendAll(fd, FormatHead("HTTP/1.1 503 Service Unavailable", headers));
  }
  ++running_;
  Run run;
  run.ms = NowMs();
  run.replica = options_.id;
  run.version = version();
  run.start = start;
  run.attempt_id = id;
  run.target = request.target();
  run.first_event = atoi(Find(request.headers, "Last-Event-Id").c_str()) + 1;
  deployment_->AddRun(run);
  deployment_->record().Line("run %s at %s (start %d, software %s) %s from event %d", id.c_str(),
                             options_.id.c_str(), static_cast<int>(start), run.version.c_str(),
                             run.target.c_str(), run.first_event);
  Answer answer = handler_(request, this);
  SleepMs(answer.work_ms);
  bool go_on = false;
  if (answer.crash) {
    Crash();
  } else if (answer.lose) {
    deployment_->record().Line("the answer %s of %s is lost", id.c_str(), options_.id.c_str());
    Reset(fd);
  } else if (StillUp(start)) {
    headers = answer.headers;
    headers.emplace_back("Attempt-Id", id);
    headers.emplace_back("Server-Seal", options_.id + "." + run.version);
    headers.emplace_back("Content-Type",
                         answer.events > 0 ? "text/event-stream" : answer.content_type);
    std::string status_line =
        "HTTP/1.1 " + std::to_string(answer.status) + (answer.status < 400 ? " OK" : " Error");
    if (answer.endless_bytes_per_ms > 0) {
      deployment_->record().Line("%s answers %s without end", options_.id.c_str(), id.c_str());
      if (SendAll(fd, FormatHead(status_line, headers)))
        SendWithoutEnd(fd, answer.endless_bytes_per_ms, start);
    } else if (answer.events > 0) {
      headers.emplace_back("Transfer-Encoding", "chunked");
      go_on =
          SendAll(fd, FormatHead(status_line, headers)) && SendStream(fd, request, answer, start);
    } else {
      headers.emplace_back("Content-Length", std::to_string(answer.body.size()));
      go_on = SendAll(fd, FormatHead(status_line, headers) + answer.body);
      deployment_->record().Line("answer %s by %s: %d, %zu bytes", id.c_str(), options_.id.c_str(),
                                 answer.status, answer.body.size());
    }
  }
  --running_;
  return go_on;
}

bool Replica::SendStream(int fd, const Message& request, const Answer& answer, uint64_t start) {
  int first = atoi(Find(request.headers, "Last-Event-Id").c_str()) + 1;
  for (int event = first; event <= answer.events; ++event) {
    if (event > first) SleepMs(answer.gap_ms);
    if (!StillUp(start)) return false;
    std::string text = "id: " + std::to_string(event) + "\ndata: " + version() + " piece " +
                       std::to_string(event) + " of " + Find(request.headers, "Attempt-Id") +
                       "\n\n";
    if (answer.break_after > 0 && event - first >= answer.break_after) {
      SendAll(fd, FormatChunk(text.substr(0, text.size() / 2)));
      SleepMs(30);
      Reset(fd);
      return false;
    }
    if (!SendAll(fd, FormatChunk(text))) return false;
  }
  return SendAll(fd, "0\r\n\r\n");
}

void Replica::SendWithoutEnd(int fd, int bytes_per_ms, uint64_t start) {
  constexpr int kStepMs = 10;
  std::string bytes(static_cast<size_t>(bytes_per_ms * kStepMs), 'x');
  while (StillUp(start) && SendAll(fd, bytes)) SleepMs(kStepMs);
}

int64_t Replica::Drain() {
  draining_ = true;
  for (size_t i = 0; i < deployment_->control_count(); ++i) {
    std::string ip = deployment_->ControlIp(i);
    Message answer = deployment_->CallControl(ip, "POST", "/Instances.Heartbeat/" + options_.id,
                                              Heartbeat("draining"));
    if (answer.status() != 200) continue;
    deployment_->record().Line("%s acknowledged that %s is draining", ip.c_str(),
                               options_.id.c_str());
    return NowMs();
  }
  return 0;
}

void Replica::Deregister() {
  for (size_t i = 0; i < deployment_->control_count(); ++i) {
    std::string ip = deployment_->ControlIp(i);
    Message answer =
        deployment_->CallControl(ip, "POST", "/Instances.Deregister/" + options_.id, "");
    if (answer.status() != 200) continue;
    deployment_->record().Line("%s acknowledged that %s is gone", ip.c_str(), options_.id.c_str());
    return;
  }
}

std::string Replica::Heartbeat(const std::string& state) {
  std::lock_guard<std::mutex> lock(mutex_);
  return "{\"service\":" + Quote(options_.service) + ",\"address\":" + Quote(address()) +
         ",\"zone\":" + Quote(options_.zone.name) + ",\"version\":" + Quote(version_) +
         ",\"slots\":" + std::to_string(options_.slots) + ",\"state\":" + Quote(state) +
         ",\"cold_remaining_ms\":0,\"born\":" + std::to_string(born_) +
         ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
         ",\"sequence\":" +
         std::to_string(++sequence_) + "}";
}

// Every heartbeat goes to the control machine of the own zone, and on to the next one if it is not
// acknowledged within a second.
void Replica::Beat() {
  constexpr int kAckMs = 1000;
  size_t target = 0;
  for (size_t i = 0; i < deployment_->zones().size(); ++i) {
    if (deployment_->zones()[i].name == options_.zone.name) target = i;
  }
  int64_t next = 0;
  uint64_t start = 0;
  while (!ended_) {
    SleepMs(10);
    if (!up()) continue;
    int64_t now = NowMs();
    if (start == start_ && now < next) continue;
    start = start_;
    std::string ip = deployment_->ControlIp(target);
    std::string text = Heartbeat(draining_ ? "draining" : "ready");
    std::string path = "/Instances.Heartbeat/" + options_.id;
    int late_ms = beats_late_ms_;
    if (late_ms > 0) {
      ++threads_;
      std::thread([this, ip, path, text, late_ms, version = version()] {
        for (int waited = 0; waited < late_ms && !ended_; waited += 20) SleepMs(20);
        if (!ended_) {
          deployment_->record().Line("heartbeat of %s (software %s) arrives at %s, %d ms late",
                                     options_.id.c_str(), version.c_str(), ip.c_str(), late_ms);
          deployment_->CallControl(ip, "POST", path, text, kAckMs);
        }
        --threads_;
      }).detach();
      target = (target + 1) % deployment_->control_count();
      next = now + kAckMs;
    } else if (deployment_->CallControl(ip, "POST", path, text, kAckMs).status() == 200) {
      next = now + kHeartbeatMs;
    } else {
      target = (target + 1) % deployment_->control_count();
      next = now + 100;
    }
  }
}

// ---- Client

void Client::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  requests_ = 0;
}

bool Client::Resolve() {
  if (NowMs() < resolved_until_ && !addresses_.empty()) return true;
  size_t own = 0;
  for (size_t i = 0; i < deployment_->zones().size(); ++i) {
    if (deployment_->zones()[i].name == zone_.name) own = i;
  }
  for (size_t i = 0; i < deployment_->control_count(); ++i) {
    std::string ip = deployment_->ControlIp((own + i) % deployment_->control_count());
    Message answer = CallOnce(
        ip, kDirectoryPort, "GET",
        "/resolve?name=a.example&region=" + zone_.region + "&zone=" + zone_.name, "", 1000);
    size_t list = answer.body.find("\"addresses\":[");
    if (answer.status() != 200 || list == std::string::npos) continue;
    addresses_.clear();
    size_t end = answer.body.find(']', list);
    size_t quote = answer.body.find('"', list + 13);
    while (quote < end) {
      size_t close_quote = answer.body.find('"', quote + 1);
      std::string address = answer.body.substr(quote + 1, close_quote - quote - 1);
      addresses_.push_back(address.substr(0, address.find(':')));
      quote = answer.body.find('"', close_quote + 1);
    }
    resolved_until_ = NowMs() + 2000;
    return !addresses_.empty();
  }
  return !addresses_.empty();
}

Outcome Client::Send(const Request& request) {
  Outcome outcome;
  outcome.attempt_id = request.attempt_id;
  bool resolved = Resolve();
  bool listed = std::find(addresses_.begin(), addresses_.end(), gateway_) != addresses_.end();
  if (fd_ >= 0 && !listed) Close();
  // A connection that the gateway has closed meanwhile is not used again.
  if (fd_ >= 0) {
    pollfd polled{fd_, POLLIN, 0};
    if (poll(&polled, 1, 0) != 0) Close();
  }
  if (fd_ < 0 && resolved) {
    bool preferred =
        std::find(addresses_.begin(), addresses_.end(), preferred_) != addresses_.end();
    gateway_ = preferred ? preferred_ : addresses_[next_++ % addresses_.size()];
    fd_ = Connect(gateway_, kFrontPort, 1000);
  }
  outcome.gateway = gateway_;
  outcome.sent_ms = NowMs();
  if (fd_ < 0) {
    outcome.connected = false;
    outcome.end_ms = NowMs();
    return outcome;
  }
  outcome.kept_connection = requests_++ > 0;
  Headers headers = {{"Host", "a.example"},
                     {"Attempt-Id", request.attempt_id},
                     {"Deadline-Ms", std::to_string(request.deadline_ms)}};
  headers.insert(headers.end(), request.headers.begin(), request.headers.end());
  if (request.method == "POST")
    headers.emplace_back("Content-Length", std::to_string(request.body.size()));
  Reader reader(fd_);
  if (SendAll(fd_, FormatHead(request.method + " " + request.target + " HTTP/1.1", headers) +
                       request.body)) {
    outcome.answer = ReadMessage(&reader, outcome.sent_ms + request.deadline_ms);
  }
  outcome.end_ms = NowMs();
  bool keep = outcome.answer.complete && reader.empty() &&
              strcasecmp(Find(outcome.answer.headers, "Connection").c_str(), "close") != 0;
  deployment_->record().Line(
      "client %s %s at %s%s: %s, %zu bytes, %d ms", request.attempt_id.c_str(),
      request.target.c_str(), gateway_.c_str(), outcome.kept_connection ? " (kept)" : "",
      outcome.answered() ? outcome.answer.first_line.c_str()
                         : (outcome.answer.timed_out ? "deadline passed" : "connection ended"),
      outcome.answer.body.size(), static_cast<int>(outcome.end_ms - outcome.sent_ms));
  if (!keep) Close();
  return outcome;
}

// ---- Deployment

Deployment::Deployment(Record* record, std::vector<Zone> zones, int gateways)
    : record_(record), zones_(std::move(zones)) {
  char dir[] = "/tmp/review-XXXXXX";
  if (mkdtemp(dir) == nullptr) throw std::runtime_error("no temporary folder");
  dir_ = dir;
  // Addresses of 127/8 on which nobody listens yet.
  for (int tries = 0; tries < 50 && net_.empty(); ++tries) {
    int number = (static_cast<int>(getpid()) + tries * 97) % 30000;
    std::string net =
        "127." + std::to_string(100 + number / 250) + "." + std::to_string(1 + number % 250);
    int fd = Listen(net + ".1", kControlPort);
    if (fd < 0) continue;
    close(fd);
    net_ = net;
  }
  if (net_.empty()) throw std::runtime_error("no free addresses");
  for (size_t i = 0; i < zones_.size(); ++i) {
    auto control = std::make_unique<Daemon>();
    control->name = "core-" + zones_[i].name;
    control->role = "control";
    control->zone = zones_[i];
    control->ip = ControlIp(i);
    control->memory_limit = kControlMemoryMb << 20;
    daemons_.push_back(std::move(control));
    for (int number = 0; number < gateways; ++number) {
      auto gateway = std::make_unique<Daemon>();
      gateway->name = "front-" + zones_[i].name + "-" + std::to_string(number + 1);
      gateway->role = "gateway";
      gateway->zone = zones_[i];
      gateway->memory_limit = kGatewayMemoryMb << 20;
      gateway->ip = net_ + "." + std::to_string(20 + static_cast<int>(i) * 10 + number);
      daemons_.push_back(std::move(gateway));
    }
  }
}

Deployment::~Deployment() {
  stopping_ = true;
  StopReplicas();
  if (watcher_.joinable()) watcher_.join();
  for (auto& daemon : daemons_) {
    if (daemon->pid > 0) kill(daemon->pid, SIGKILL);
  }
  for (auto& daemon : daemons_) {
    if (daemon->pid > 0) waitpid(daemon->pid, nullptr, 0);
  }
  if (getenv("REVIEW_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(dir_, ignored);
  } else {
    fprintf(stderr, "logs: %s\n", dir_.c_str());
  }
}

void Deployment::StopReplicas() { replicas_.clear(); }

std::string Deployment::ControlIp(size_t index) const {
  return net_ + "." + std::to_string(1 + index);
}

std::string Deployment::GatewayIp(const std::string& name) { return FindDaemon(name)->ip; }

Daemon* Deployment::FindDaemon(const std::string& name) {
  for (auto& daemon : daemons_) {
    if (daemon->name == name) return daemon.get();
  }
  throw std::runtime_error("no process " + name);
}

std::vector<Daemon*> Deployment::Daemons() {
  std::vector<Daemon*> all;
  for (auto& daemon : daemons_) all.push_back(daemon.get());
  return all;
}

void Deployment::WriteSettings(const Daemon& daemon) {
  bool control = daemon.role == "control";
  std::ofstream out(dir_ + "/" + daemon.name + ".yaml");
  out << "node_name: " << Quote(daemon.name) << "\nrole: " << Quote(daemon.role)
      << "\nmachine_class: " << Quote(control ? "core" : "front") << "\nserves:\n"
      << (control ? "  - \"control\"\n  - \"directory\"\n" : "  - \"front\"\n")
      << "ip: " << Quote(daemon.ip) << "\nzone: " << Quote(daemon.zone.name)
      << "\nregion: " << Quote(daemon.zone.region) << "\nzones:\n";
  for (const Zone& zone : zones_) out << "  " << zone.name << ": " << Quote(zone.region) << "\n";
  auto endpoint = [&](int port) { return Quote(daemon.ip + ":" + std::to_string(port)); };
  out << "listen:\n";
  if (control) {
    out << "  control: " << endpoint(kControlPort) << "\n  directory: " << endpoint(kDirectoryPort)
        << "\n";
  } else {
    out << "  front: " << endpoint(kFrontPort) << "\n  ready: " << endpoint(kReadyPort) << "\n";
  }
  out << "internal_ports:\n  - " << kFirstInternalPort << "\n  - " << kLastInternalPort
      << "\nseeds:\n";
  for (size_t i = 0; i < zones_.size() && i < 3; ++i)
    out << "  - " << Quote(ControlIp(i) + ":" + std::to_string(kControlPort)) << "\n";
  out << "bootstrap: " << (daemon.first_start ? "true" : "false")
      << "\nloss_counts: " << (control ? "true" : "false")
      << "\nlimits:\n  cpu_share: " << (control ? 0.3 : 0.25)
      << "\n  cores: 1\n  memory_mb: " << (control ? kControlMemoryMb : kGatewayMemoryMb)
      << "\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: " << (control ? 128 : 0)
      << "\ndata_dir: " << (control ? Quote(dir_ + "/" + daemon.name) : "null")
      << "\ndiscovery: \"registry\"\nentry: \"directory\"\nheartbeat_ms: " << kHeartbeatMs
      << "\ncontracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n"
         "  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"places\"\n"
         "fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\n"
         "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 5000\n"
         "  ack_timeout_ms: 6000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 8\n"
         "  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n"
         "  max_skew_ms: 8000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
         "  budget_slack: 52\n  cold_multiplier: 1.5\n  cold_slack: 3\n  evacuation_ms: 5000\n"
         "  recovery_s: 12\n  pass_ms: 600\n  retry_after_s: 10\n  ttl_max_s: 5\n"
         "config_mode: \"highest\"\n";
  if (control) mkdir((dir_ + "/" + daemon.name).c_str(), 0700);
}

void Deployment::Start(Daemon* daemon) {
  WriteSettings(*daemon);
  std::vector<std::string> command = CommandOf(daemon->role);
  std::string log = dir_ + "/" + daemon->name + ".log";
  std::string settings = "EBONYLIFT_NODE_FILE=" + dir_ + "/" + daemon->name + ".yaml";
  std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin:/bin");
  std::vector<char*> arguments;
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  char* environment[] = {settings.data(), path.data(), nullptr};
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    rlimit none{0, 0};
    setrlimit(RLIMIT_CORE, &none);
    rlimit descriptors{4096, 4096};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment);
    _exit(127);
  }
  close(out);
  daemon->pid = pid;
  daemon->ended_by_us = false;
  record_->Line("process %s started, pid %d", daemon->name.c_str(), static_cast<int>(pid));
}

void Deployment::StartAll() {
  if (access(CommandOf("gateway")[0].c_str(), X_OK) != 0)
    throw std::runtime_error("the program of the deploy file is not built");
  for (auto& daemon : daemons_) Start(daemon.get());
  watcher_ = std::thread([this] { Watch(); });
}

void Deployment::Watch() {
  while (!stopping_) {
    SleepMs(10);
    std::lock_guard<std::mutex> lock(mutex_);
    int64_t now = NowMs();
    for (auto& daemon : daemons_) {
      int status = 0;
      if (daemon->pid > 0 && waitpid(daemon->pid, &status, WNOHANG) == daemon->pid) {
        daemon->pid = -1;
        daemon->first_start = false;
        daemon->most_memory = 0;
        if (daemon->ended_by_us) {
          record_->Line("process %s was ended", daemon->name.c_str());
        } else {
          ++daemon->own_ends;
          record_->Line("process %s ENDED BY ITSELF: %s %d", daemon->name.c_str(),
                        WIFSIGNALED(status) ? "signal" : "exit code",
                        WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
          restart_at_[daemon.get()] = now + kRestartDelayMs;
        }
      }
      EnforceMemory(daemon.get());
      auto restart = restart_at_.find(daemon.get());
      if (daemon->pid < 0 && restart != restart_at_.end() && now >= restart->second) {
        restart_at_.erase(restart);
        Start(daemon.get());
      }
    }
  }
}

void Deployment::EnforceMemory(Daemon* daemon) {
  if (daemon->pid <= 0) return;
  long pages = 0;
  std::ifstream("/proc/" + std::to_string(daemon->pid) + "/statm") >> pages >> pages;
  daemon->most_memory = std::max<int64_t>(daemon->most_memory, pages * sysconf(_SC_PAGESIZE));
  if (daemon->most_memory <= daemon->memory_limit) return;
  record_->Line("process %s uses %lld bytes, over its memory_mb: SIGKILL", daemon->name.c_str(),
                static_cast<long long>(daemon->most_memory));
  daemon->most_memory = 0;
  kill(daemon->pid, SIGKILL);
}

int Deployment::OwnEnds() {
  std::lock_guard<std::mutex> lock(mutex_);
  int ends = 0;
  for (auto& daemon : daemons_) ends += daemon->own_ends;
  return ends;
}

void Deployment::Signal(Daemon* daemon, int signal) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (daemon->pid <= 0) return;
  record_->Line("signal %d to %s", signal, daemon->name.c_str());
  kill(daemon->pid, signal);
}

void Deployment::Kill(Daemon* daemon, int down_ms) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (daemon->pid <= 0) return;
  record_->Line("SIGKILL to %s", daemon->name.c_str());
  daemon->ended_by_us = true;
  kill(daemon->pid, SIGKILL);
  if (down_ms >= 0) restart_at_[daemon] = NowMs() + down_ms;
}

bool Deployment::WaitUntilReady(int timeout_ms) {
  int64_t deadline = NowMs() + timeout_ms;
  for (auto& daemon : daemons_) {
    if (daemon->role != "gateway") continue;
    while (CallOnce(daemon->ip, kReadyPort, "GET", "/ready", "", 500).status() != 200) {
      if (NowMs() > deadline) return false;
      SleepMs(50);
    }
  }
  return true;
}

Message Deployment::CallControl(const std::string& ip, const std::string& method,
                                const std::string& target, const std::string& body,
                                int timeout_ms) {
  Message answer = CallOnce(ip, kControlPort, method, target, body, timeout_ms);
  for (int hops = 0; hops < 2 && answer.status() == 307; ++hops) {
    std::string location = Find(answer.headers, "Location");
    std::string address = location.substr(std::min<size_t>(7, location.size()));
    std::string next_ip = address.substr(0, address.find(':'));
    answer = CallOnce(next_ip, kControlPort, method, target, body, timeout_ms);
  }
  return answer;
}

bool Deployment::SendConfiguration(const std::string& body, int timeout_ms) {
  int64_t deadline = NowMs() + timeout_ms;
  for (size_t target = 0; NowMs() < deadline; ++target) {
    Message answer =
        CallControl(ControlIp(target % control_count()), "POST", "/Config.Replace", body, 2000);
    if (answer.status() == 200) {
      record_->Line("configuration acknowledged: %s", body.c_str());
      return true;
    }
    SleepMs(100);
  }
  return false;
}

Replica* Deployment::AddReplica(const std::string& id, const std::string& service, const Zone& zone,
                                Replica::Handler handler, const std::string& version, int slots) {
  Replica::Options options;
  options.id = id;
  options.service = service;
  options.zone = zone;
  options.version = version;
  options.slots = slots;
  options.ip = net_ + "." + std::to_string(100 + replicas_.size());
  replicas_.push_back(std::make_unique<Replica>(this, options, std::move(handler)));
  replicas_.back()->Start();
  return replicas_.back().get();
}

std::vector<Replica*> Deployment::Replicas() {
  std::vector<Replica*> all;
  for (auto& replica : replicas_) all.push_back(replica.get());
  return all;
}

void Deployment::AddRun(const Run& run) {
  std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(run);
}

std::vector<Run> Deployment::Runs() {
  std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

}  // namespace review
