#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();
constexpr int kHeartbeatMs = 1200;
constexpr int kControlOffset = 20;
constexpr int kDirectoryOffset = 21;
constexpr int kCallerOffset = 22;
constexpr int kReadyOffset = 23;
constexpr int kMetricsPort = 9464;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int Listener(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool WaitFd(int fd, short events, int64_t deadline_ms) {
  int64_t left = deadline_ms - NowMs();
  pollfd polled{fd, events, 0};
  return left > 0 && poll(&polled, 1, static_cast<int>(left)) > 0;
}

std::string Trim(const std::string& text) {
  size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool ParseHead(const std::string& head, std::string* first_line, Headers* headers) {
  std::istringstream in(head);
  std::string line;
  if (!std::getline(in, line)) return false;
  *first_line = Trim(line);
  while (std::getline(in, line) && !Trim(line).empty()) {
    size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    headers->emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return true;
}

// Reads a chunked body; false if it ends too early.
bool ReadChunks(Connection* connection, std::string* body, int64_t deadline_ms) {
  while (true) {
    std::string line = connection->ReadUntil("\r\n", deadline_ms);
    if (line.empty()) return false;
    size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0) return !connection->ReadUntil("\r\n", deadline_ms).empty();
    std::string chunk;
    if (!connection->ReadExactly(size, &chunk, deadline_ms)) {
      *body += chunk;
      return false;
    }
    *body += chunk;
    if (connection->ReadUntil("\r\n", deadline_ms).empty()) return false;
  }
}

std::string Text(const std::string& first_line, const Headers& headers, const std::string& body,
                 bool with_length) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (with_length) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace

std::string Header(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record(const std::string& line) {
  static std::mutex mutex;
  static std::ofstream file([] {
    const char* path = std::getenv("RECORD_FILE");
    return std::string(path == nullptr ? "record.txt" : path);
  }());
  char time[32];
  snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(NowMs()) / 1000);
  std::lock_guard<std::mutex> lock(mutex);
  file << time << line << std::endl;
  if (line.rfind("= ", 0) == 0) std::printf("%s%s\n", time, line.c_str()), std::fflush(stdout);
}

// ---- Connection

Connection::~Connection() { Close(); }

std::unique_ptr<Connection> Connection::To(const std::string& address, int timeout_ms) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  sockaddr_in to = Address(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int result = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  int error = 0;
  socklen_t size = sizeof(error);
  if (result != 0 && (errno != EINPROGRESS || !WaitFd(fd, POLLOUT, NowMs() + timeout_ms) ||
                      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

bool Connection::Write(const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    ssize_t written = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (written <= 0) return false;
    done += static_cast<size_t>(written);
  }
  return true;
}

bool Connection::Fill(int64_t deadline_ms) {
  char data[65536];
  if (!WaitFd(fd_, POLLIN, deadline_ms)) return false;
  ssize_t received = recv(fd_, data, sizeof(data), 0);
  if (received <= 0) return false;
  buffer_.append(data, static_cast<size_t>(received));
  return true;
}

std::string Connection::ReadUntil(const std::string& mark, int64_t deadline_ms) {
  while (true) {
    size_t found = buffer_.find(mark);
    if (found != std::string::npos) {
      std::string taken = buffer_.substr(0, found + mark.size());
      buffer_.erase(0, taken.size());
      return taken;
    }
    if (!Fill(deadline_ms)) return "";
  }
}

bool Connection::ReadExactly(size_t size, std::string* out, int64_t deadline_ms) {
  while (buffer_.size() < size) {
    if (!Fill(deadline_ms)) {
      *out = std::exchange(buffer_, "");
      return false;
    }
  }
  *out = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Connection::ReadToEnd(std::string* out, int64_t deadline_ms) {
  while (NowMs() < deadline_ms) {
    if (!WaitFd(fd_, POLLIN, deadline_ms)) return false;
    char data[65536];
    ssize_t received = recv(fd_, data, sizeof(data), 0);
    if (received < 0) return false;
    if (received == 0) {
      *out += std::exchange(buffer_, "");
      return true;
    }
    buffer_.append(data, static_cast<size_t>(received));
  }
  return false;
}

bool Connection::ClosedOrReadable() {
  pollfd polled{fd_, POLLIN, 0};
  return fd_ < 0 || !buffer_.empty() || poll(&polled, 1, 0) > 0;
}

void Connection::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void Connection::Reset() {
  linger value{1, 0};
  if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
  Close();
}

std::string Connection::peer_ip() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  char text[INET_ADDRSTRLEN] = "";
  if (getpeername(fd_, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return text;
}

// ---- messages

bool ReadRequest(Connection* connection, Request* request, int64_t deadline_ms) {
  std::string head = connection->ReadUntil("\r\n\r\n", deadline_ms);
  std::string line;
  if (head.empty() || !ParseHead(head, &line, &request->headers)) return false;
  std::istringstream words(line);
  words >> request->method >> request->target;
  request->peer_ip = connection->peer_ip();
  if (!Header(request->headers, "Transfer-Encoding").empty())
    return ReadChunks(connection, &request->body, deadline_ms);
  size_t size = std::strtoul(Header(request->headers, "Content-Length").c_str(), nullptr, 10);
  return connection->ReadExactly(size, &request->body, deadline_ms);
}

Response ReadResponse(Connection* connection, int64_t deadline_ms) {
  Response response;
  std::string head = connection->ReadUntil("\r\n\r\n", deadline_ms);
  std::string line;
  if (head.empty() || !ParseHead(head, &line, &response.headers)) {
    response.error = NowMs() >= deadline_ms ? "no answer in time" : "closed without an answer";
    return response;
  }
  int status = std::atoi(line.c_str() + std::min<size_t>(9, line.size()));
  if (!Header(response.headers, "Transfer-Encoding").empty()) {
    response.complete = ReadChunks(connection, &response.body, deadline_ms);
  } else if (!Header(response.headers, "Content-Length").empty()) {
    size_t size = std::strtoul(Header(response.headers, "Content-Length").c_str(), nullptr, 10);
    response.complete = connection->ReadExactly(size, &response.body, deadline_ms);
  } else {
    response.complete = connection->ReadToEnd(&response.body, deadline_ms);
  }
  response.status = status;
  if (!response.complete) response.error = "the answer broke off";
  return response;
}

Response CallOn(Connection* connection, const std::string& method, const std::string& target,
                const Headers& headers, const std::string& body, int timeout_ms) {
  bool with_body = !body.empty() || method == "POST";
  Response response;
  if (!connection->Write(Text(method + " " + target + " HTTP/1.1", headers, body, with_body))) {
    response.error = "cannot write";
    return response;
  }
  return ReadResponse(connection, NowMs() + timeout_ms);
}

Response Call(const std::string& address, const std::string& method, const std::string& target,
              const Headers& headers, const std::string& body, int timeout_ms) {
  std::unique_ptr<Connection> connection = Connection::To(address, std::min(timeout_ms, 1000));
  Response response;
  if (!connection) {
    response.error = "no connection";
    return response;
  }
  Headers all = headers;
  if (Header(all, "Host").empty()) all.insert(all.begin(), {"Host", address});
  return CallOn(connection.get(), method, target, all, body, timeout_ms);
}

bool WriteStreamHead(Connection* connection, const std::string& attempt_id) {
  return connection->Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt_id +
      "\r\nServer-Seal: s-" + attempt_id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool WriteEvent(Connection* connection, int id, const std::string& data) {
  std::string event = "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
  char size[24];
  snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return connection->Write(size + event + "\r\n");
}

bool WriteStreamEnd(Connection* connection) { return connection->Write("0\r\n\r\n"); }

bool WriteAnswer(Connection* connection, const std::string& attempt_id, const std::string& body) {
  return connection->Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt_id + "\r\nServer-Seal: s-" +
                           attempt_id + "\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body);
}

// ---- Replica

Replica::Replica(std::string id, std::string ip, int port, std::string service, std::string zone,
                 std::string version, int slots, Handler handle)
    : ip_(std::move(ip)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      handle_(std::move(handle)),
      id_(std::move(id)),
      version_(std::move(version)),
      port_(port) {
  born_ = UnixMs();
  Listen();
}

Replica::~Replica() {
  stopping_ = true;
  Crash();
  while (open_threads_ > 0) SleepMs(5);
}

void Replica::Listen() {
  int listener = -1;
  for (int i = 0; i < 100 && listener < 0; ++i) {
    listener = Listener(ip_, port_);
    if (listener < 0) SleepMs(20);
  }
  if (listener < 0) {
    Record("= a replica cannot listen at " + ip_);
    std::exit(2);
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    address_ = ip_ + ":" + std::to_string(port_);
    listener_ = listener;
  }
  running_ = true;
  ++open_threads_;
  int generation_now = generation;
  std::thread([this, listener, generation_now] {
    AcceptLoop(listener, generation_now);
    --open_threads_;
  }).detach();
}

void Replica::AcceptLoop(int listener, int generation_now) {
  while (true) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (generation != generation_now || stopping_) {
      if (fd >= 0) close(fd);
      return;
    }
    if (fd < 0) {
      SleepMs(1);
      continue;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    int number = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      number = next_connection_++;
      connections_[number] = connection;
    }
    ++open_threads_;
    std::thread([this, connection, number, generation_now] {
      bool first = true;
      while (generation == generation_now) {
        Request request;
        request.first_on_connection = first;
        first = false;
        if (!ReadRequest(connection.get(), &request, NowMs() + 120000)) break;
        if (generation != generation_now) break;
        std::string expected = Header(request.headers, "Expect-Instance");
        if (!expected.empty() && expected != id()) {
          connection->Write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id() +
                            "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!handle_(this, connection.get(), request)) break;
      }
      {
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(number);
        if (generation == generation_now) connection->Close();
      }
      --open_threads_;
    }).detach();
  }
}

void Replica::Crash() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!running_) return;
  running_ = false;
  ++generation;
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
  for (auto& [number, weak] : connections_) {
    if (auto connection = weak.lock()) {
      linger value{1, 0};
      setsockopt(connection->fd(), SOL_SOCKET, SO_LINGER, &value, sizeof(value));
      // A reset at once; the descriptor is closed by its thread.
      sockaddr unspecified{};
      unspecified.sa_family = AF_UNSPEC;
      connect(connection->fd(), &unspecified, sizeof(unspecified));
    }
  }
}

void Replica::Restart(const std::string& id, const std::string& version) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    id_ = id;
    version_ = version;
    born_ = UnixMs();
    sequence_ = 0;
  }
  Listen();
}

std::string Replica::id() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return id_;
}

std::string Replica::version() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

std::string Replica::Heartbeat(const std::string& state) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  out << "{\"service\":\"" << service_ << "\",\"address\":\"" << address_ << "\",\"zone\":\""
      << zone_ << "\",\"version\":\"" << version_ << "\",\"slots\":" << slots_ << ",\"state\":\""
      << state << "\",\"cold_remaining_ms\":0,\"sequence\":" << ++sequence_ << ",\"born\":" << born_
      << extra_fields << "}";
  return out.str();
}

// ---- Deployment

std::string Configuration(int version, const std::vector<RouteText>& routes,
                          const std::vector<std::string>& services,
                          const std::string& more_fields) {
  std::ostringstream out;
  out << "{\"version\":" << version << ",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteText& route = routes[i];
    out << (i == 0 ? "" : ",") << "{\"name\":\"" << route.name
        << "\",\"host\":\"a.example\",\"path_prefix\":\"/" << route.name << "/\",\"route_type\":\""
        << route.type << "\",\"timeout_ms\":" << route.timeout_ms
        << ",\"target_latency_ms\":" << route.target_ms << ",\"priority\":0,\"service\":\""
        << route.service << "\",\"max_attempts\":" << route.max_attempts
        << ",\"session_affinity\":" << (route.type == "streaming" ? "true" : "false")
        << ",\"resumable\":" << (route.resumable ? "true" : "false")
        << ",\"gap_target_ms\":400,\"home_regions\":[]}";
  }
  out << "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    out << (i == 0 ? "" : ",") << "{\"name\":\"" << services[i]
        << "\",\"health_path\":\"/health\",\"max_connections\":230,\"protocol\":\"h1\",\"tls\":"
           "false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
  }
  out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
      << more_fields << "}";
  return out.str();
}

const std::vector<std::string>& Deployment::Zones() {
  static const std::vector<std::string> zones = {"este-a", "centro-a", "norte-a"};
  return zones;
}

Deployment::Deployment(const std::vector<int>& gateways) {
  signal(SIGPIPE, SIG_IGN);
  char name[] = "/tmp/review-2-XXXXXX";
  folder_ = mkdtemp(name);
  std::random_device random;
  for (int i = 0; i < 50; ++i) {
    prefix_ =
        "127." + std::to_string(40 + random() % 180) + "." + std::to_string(random() % 250) + ".";
    base_port_ = 20000 + static_cast<int>(random() % 30000);
    bool all_free = true;
    for (int offset : {0, 1, kControlOffset, kDirectoryOffset, kCallerOffset, kReadyOffset,
                       kMetricsPort - base_port_}) {
      int fd = Listener(prefix_ + "1", base_port_ + offset);
      all_free = all_free && fd >= 0;
      if (fd >= 0) close(fd);
    }
    if (all_free) break;
  }
  for (size_t zone = 0; zone < Zones().size(); ++zone) {
    Process process;
    process.name = "core-" + Zones()[zone] + "-1";
    process.zone = Zones()[zone];
    process.ip = prefix_ + std::to_string(zone + 1);
    process.control = true;
    processes_.push_back(process);
  }
  for (size_t zone = 0; zone < Zones().size(); ++zone) {
    for (int number = 0; number < gateways[zone]; ++number) {
      Process process;
      process.name = "front-" + Zones()[zone] + "-" + std::to_string(number + 1);
      process.zone = Zones()[zone];
      process.ip = prefix_ + std::to_string(10 + static_cast<int>(zone) * 10 + number);
      processes_.push_back(process);
    }
  }
  for (Process& process : processes_) Start(&process, true);
  heartbeat_thread_ = std::thread([this] { HeartbeatLoop(); });
}

Deployment::~Deployment() {
  stopping_ = true;
  heartbeat_thread_.join();
  for (Process& process : processes_) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGCONT);
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  replicas_.clear();
  std::string keep = std::getenv("KEEP_LOGS") == nullptr ? "" : std::getenv("KEEP_LOGS");
  if (keep.empty() && std::system(("rm -rf '" + folder_ + "'").c_str()) != 0) return;
}

void Deployment::Start(Process* process, bool bootstrap) {
  std::string path = folder_ + "/" + process->name + ".yaml";
  std::string region = process->zone.substr(0, process->zone.size() - 2);
  std::ofstream out(path);
  auto at = [&](int offset) {
    return "\"" + process->ip + ":" + std::to_string(base_port_ + offset) + "\"";
  };
  out << "node_name: \"" << process->name << "\"\nip: \"" << process->ip << "\"\nzone: \""
      << process->zone << "\"\nregion: \"" << region << "\"\nzones:\n";
  for (const std::string& zone : Zones())
    out << "  " << zone << ": \"" << zone.substr(0, zone.size() - 2) << "\"\n";
  out << "listen:\n";
  if (process->control) {
    out << "  control: " << at(kControlOffset) << "\n  directory: " << at(kDirectoryOffset) << "\n";
  } else {
    out << "  front: " << at(kCallerOffset) << "\n  ready: " << at(kReadyOffset) << "\n";
  }
  out << "internal_ports:\n  - " << base_port_ << "\n  - " << base_port_ + 15 << "\nseeds:\n";
  for (int i = 0; i < 3; ++i) out << "  - \"" << ControlAddress(i) << "\"\n";
  std::string data = folder_ + "/" + process->name;
  if (process->control) mkdir(data.c_str(), 0755);
  out << "bootstrap: " << (bootstrap ? "true" : "false")
      << "\ndata_dir: " << (process->control ? "\"" + data + "\"" : "null")
      << "\nheartbeat_ms: " << kHeartbeatMs
      << "\nfault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\nbounds:\n  contact_ms: "
         "5000\n"
         "  drain_ms: 3000\n  grace_s: 8\n  config_apply_ms: 3000\n  retry_budget_ratio: 0.2\n"
         "  budget_window_s: 10\n  budget_slack: 54\n  evacuation_ms: 5000\n  recovery_s: 12\n"
         "  ttl_max_s: 5\n";
  out.close();
  std::string settings = "EBONYLIFT_NODE_FILE=" + path;
  // The command of deploy/system.toml. Each process has an address of its own.
  std::string metrics = "--metrics_port=" + std::to_string(kMetricsPort);
  std::string log = folder_ + "/" + process->name + ".log";
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    const char* program = "target/ebonylift-platform";
    char* arguments[] = {const_cast<char*>(program), const_cast<char*>(metrics.c_str()), nullptr};
    char* environment[] = {const_cast<char*>(settings.c_str()),
                           const_cast<char*>("PATH=/usr/bin:/bin"), const_cast<char*>("HOME=/tmp"),
                           const_cast<char*>("LANG=C"), nullptr};
    execve(program, arguments, environment);
    _exit(127);
  }
  process->pid = pid;
}

std::string Deployment::ControlAddress(int number) const {
  return prefix_ + std::to_string(number + 1) + ":" + std::to_string(base_port_ + kControlOffset);
}

std::string Deployment::GatewayIp(const std::string& zone, int number) const {
  int seen = 0;
  for (const Process& process : processes_) {
    if (!process.control && process.zone == zone && seen++ == number) return process.ip;
  }
  return "";
}

std::string Deployment::Gateway(const std::string& zone, int number) const {
  return GatewayIp(zone, number) + ":" + std::to_string(base_port_ + kCallerOffset);
}

pid_t Deployment::GatewayPid(const std::string& zone, int number) const {
  std::string ip = GatewayIp(zone, number);
  for (const Process& process : processes_) {
    if (process.ip == ip) return process.pid;
  }
  return 0;
}

void Deployment::Signal(pid_t pid, int signal) { kill(pid, signal); }

pid_t Deployment::Pid(const std::string& name) const {
  for (const Process& process : processes_) {
    if (process.name == name) return process.pid;
  }
  return 0;
}

void Deployment::Kill(const std::string& name) {
  for (Process& process : processes_) {
    if (process.name != name || process.pid == 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
  }
}

void Deployment::StartAgain(const std::string& name, bool wipe) {
  for (Process& process : processes_) {
    if (process.name != name || process.pid != 0) continue;
    if (wipe && std::system(("rm -rf '" + folder_ + "/" + name + "'").c_str()) != 0) return;
    Start(&process, false);
  }
}

bool Deployment::AnyEnded() {
  bool ended = false;
  for (Process& process : processes_) {
    int status = 0;
    if (process.pid == 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) continue;
    Record("= process " + process.name + " ended, status " + std::to_string(status));
    process.pid = 0;
    ended = true;
  }
  return ended;
}

long Deployment::PeakKib(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

Replica* Deployment::AddReplica(const std::string& service, const std::string& zone, int slots,
                                Replica::Handler handle, const std::string& version) {
  int number = next_replica_++;
  std::string ip = prefix_ + std::to_string(100 + number);
  auto replica = std::make_unique<Replica>("i-" + std::to_string(number), ip, 0, service, zone,
                                           version, slots, std::move(handle));
  Replica* added = replica.get();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    replicas_.push_back(std::move(replica));
  }
  return added;
}

int Deployment::SendHeartbeat(Replica* replica, const std::string& state) {
  std::string to;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    to = heartbeat_addresses_[replica];
  }
  if (to.empty()) to = ControlAddress(std::rand() % 3);
  Response response = Call(to, "POST", "/Instances.Heartbeat/" + replica->id(),
                           {{"Content-Type", "application/json"}}, replica->Heartbeat(state), 1000);
  const std::string key = "\"heartbeat_addr\":\"";
  size_t found = response.body.find(key);
  std::string next;
  if (response.status == 200 && found != std::string::npos) {
    next = response.body.substr(found + key.size());
    next = next.substr(0, next.find('"'));
  }
  std::lock_guard<std::mutex> lock(mutex_);
  heartbeat_addresses_[replica] = next;
  return response.status;
}

void Deployment::HeartbeatLoop() {
  int64_t due = NowMs();
  while (!stopping_) {
    std::vector<Replica*> replicas;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& replica : replicas_) replicas.push_back(replica.get());
    }
    for (Replica* replica : replicas) {
      if (replica->running() && replica->heartbeats) SendHeartbeat(replica);
    }
    due += kHeartbeatMs;
    while (!stopping_ && NowMs() < due) SleepMs(20);
  }
}

Response Deployment::Control(const std::string& method, const std::string& path,
                             const std::string& body) {
  Response response;
  for (int64_t end = NowMs() + 20000; NowMs() < end; SleepMs(100)) {
    for (int host = 0; host < 3; ++host) {
      std::string to = ControlAddress(host);
      std::string target = path;
      for (int hop = 0; hop < 3; ++hop) {
        response = Call(to, method, target, {{"Content-Type", "application/json"}}, body, 3000);
        if (response.status != 307) break;
        std::string location = Header(response.headers, "Location").substr(7);
        to = location.substr(0, location.find('/'));
        target = location.substr(location.find('/'));
      }
      if (response.status != 0 && response.status < 500) return response;
    }
  }
  return response;
}

bool Deployment::PutConfiguration(const std::string& configuration) {
  Response response = Control("POST", "/Config.Replace", configuration);
  Record("operator: Config.Replace -> " + std::to_string(response.status));
  return response.status == 200;
}

bool Deployment::WaitReady(int timeout_ms) {
  for (int64_t end = NowMs() + timeout_ms; NowMs() < end; SleepMs(100)) {
    bool all = true;
    for (const Process& process : processes_) {
      if (process.control) continue;
      std::string ready = process.ip + ":" + std::to_string(base_port_ + kReadyOffset);
      all = all && Call(ready, "GET", "/ready", {}, "", 1000).status == 200;
    }
    if (all) return true;
  }
  return false;
}

}  // namespace review
