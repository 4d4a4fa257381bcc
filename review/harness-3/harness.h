#ifndef EBONYLIFT_REVIEW_HARNESS_3_HARNESS_H_
#define EBONYLIFT_REVIEW_HARNESS_3_HARNESS_H_

// Stand-ins of the users' platform for the cases of the third review: settings files, replicas of
// plain services, the operator and clients. They use only POSIX and the C++ library. The daemons
// are real processes, started with the command of deploy/system.toml.
//
// A small deployment: three zones, each a region with one core machine and one front machine. All
// addresses are loopback addresses of this process alone.

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
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// False: the case runs without its disruption.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- record.txt

class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc), start_(Clock::now()) {}
  void Line(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    snprintf(time, sizeof(time), "%8.3f  ", SecondsSince(start_));
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point start_;
};

// ---- sockets

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline void SetTimeout(int fd, int64_t ms) {
  timeval value{};
  value.tv_sec = ms / 1000;
  value.tv_usec = (ms % 1000) * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

// Returns -1 if it cannot connect. `receive_buffer`: of the socket, in bytes; 0: the default.
inline int Connect(const std::string& ip, int port, int64_t timeout_ms, int receive_buffer = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  SetTimeout(fd, timeout_ms);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

// `receive_buffer` is that of accepted connections; 0: the default. Throws if it cannot listen.
inline int Listen(const std::string& ip, int* port, int receive_buffer = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  sockaddr_in address = Address(ip, *port);
  socklen_t size = sizeof(address);
  bool ok = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
            listen(fd, 512) == 0 &&
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!ok) throw std::runtime_error("cannot listen on " + ip);
  *port = ntohs(address.sin_port);
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// ---- HTTP

struct Head {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& field : fields) {
      if (strcasecmp(field.first.c_str(), name.c_str()) == 0) return true;
    }
    return false;
  }
  // Of a request line or a status line: 0, 1, 2.
  std::string Word(int index) const {
    std::istringstream in(first_line);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      in >> word;
    }
    return word;
  }
};

// Reads messages of a connection. `pace`: at most this many bytes a second; 0: without a limit.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  void SetPace(int64_t bytes_per_s) { pace_ = bytes_per_s; }

  bool ReadHead(Head* head) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    *head = Head();
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (head->first_line.empty()) {
        head->first_line = line;
        continue;
      }
      size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      size_t value = line.find_first_not_of(' ', colon + 1);
      head->fields.emplace_back(line.substr(0, colon),
                                value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }

  bool ReadBytes(size_t count, std::string* out) {
    while (buffer_.size() < count) {
      if (!Fill()) return false;
    }
    out->append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
  }

  // The body of a message with a length or in chunks.
  bool ReadBody(const Head& head, std::string* body) {
    if (head.Has("Content-Length"))
      return ReadBytes(std::stoul(head.Field("Content-Length")), body);
    if (strcasecmp(head.Field("Transfer-Encoding").c_str(), "chunked") != 0) return true;
    while (true) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) return false;
      }
      size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string chunk;
      if (!ReadBytes(size + 2, &chunk)) return false;
      body->append(chunk, 0, size);
      if (size == 0) return true;
    }
  }

 private:
  bool Fill() {
    constexpr int64_t kMaxPart = 64 << 10;
    constexpr int64_t kPartsPerSecond = 20;
    int64_t part = pace_ > 0 ? std::clamp<int64_t>(pace_ / kPartsPerSecond, 1, kMaxPart) : kMaxPart;
    if (pace_ > 0) SleepMs(1000 / kPartsPerSecond);
    std::string data(static_cast<size_t>(part), '\0');
    ssize_t n = 0;
    do {
      n = recv(fd_, &data[0], data.size(), 0);
    } while (n < 0 && errno == EINTR);
    if (n <= 0) return false;
    buffer_.append(data, 0, static_cast<size_t>(n));
    return true;
  }

  const int fd_;
  std::string buffer_;
  int64_t pace_ = 0;
};

struct Answer {
  bool complete = false;
  int status = 0;  // 0: no head
  Head head;
  std::string body;
};

inline Answer ReadAnswer(Reader* reader) {
  Answer answer;
  if (!reader->ReadHead(&answer.head)) return answer;
  answer.status = std::atoi(answer.head.Word(1).c_str());
  answer.complete = reader->ReadBody(answer.head, &answer.body);
  return answer;
}

// One call on a new connection.
inline Answer Call(const std::string& ip, int port, const std::string& method,
                   const std::string& path, const std::string& body, int64_t timeout_ms) {
  Answer answer;
  int fd = Connect(ip, port, timeout_ms);
  if (fd < 0) return answer;
  std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + ip +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\nConnection: close\r\n\r\n" + body;
  Reader reader(fd);
  if (SendAll(fd, request)) answer = ReadAnswer(&reader);
  close(fd);
  return answer;
}

// ---- processes

class Process {
 public:
  Process() = default;
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start(const std::vector<std::string>& command, const std::string& settings,
             const std::string& log) {
    std::vector<char*> arguments;
    for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    std::string node_file = "EBONYLIFT_NODE_FILE=" + settings;
    std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
    char* environment[] = {const_cast<char*>(node_file.c_str()), const_cast<char*>(path.c_str()),
                           nullptr};
    int log_fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    status_ = -1;
    ended_ = false;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(log_fd, STDOUT_FILENO);
      dup2(log_fd, STDERR_FILENO);
      execve(arguments[0], arguments.data(), environment);
      _exit(127);
    }
    close(log_fd);
    if (pid_ < 0) throw std::runtime_error("fork failed");
  }

  pid_t pid() const { return pid_; }

  bool Running() {
    if (pid_ <= 0 || ended_) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    ended_ = true;
    status_ = status;
    return false;
  }

  void Signal(int signal) {
    if (Running()) kill(pid_, signal);
  }

  void Kill() {
    if (!Running()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }

  // As of waitpid(). Precondition: the process has ended.
  int status() const { return status_; }

  // What the process holds now, in megabytes.
  int64_t ResidentMegabytes() {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.compare(0, 6, "VmRSS:") == 0) return std::atoll(line.c_str() + 6) / 1024;
    }
    return 0;
  }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = -1;
};

// ---- replicas

// A replica of a plain service: a thread for each connection, which reads requests and answers
// them.
class Replica {
 public:
  // Gets the head of a request; must read its body, answer and return whether the connection stays
  // open.
  using Handler = std::function<bool(Replica*, int fd, Reader* reader, const Head& head)>;

  Replica(std::string id, std::string service, std::string ip, std::string zone, int slots,
          Handler handler, int receive_buffer = 0)
      : id_(std::move(id)),
        service_(std::move(service)),
        ip_(std::move(ip)),
        zone_(std::move(zone)),
        slots_(slots),
        handler_(std::move(handler)),
        born_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()) {
    listener_ = Listen(ip_, &port_, receive_buffer);
    thread_ = std::thread([this] { AcceptLoop(); });
  }
  ~Replica() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    while (open_ > 0) SleepMs(10);
  }

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  bool stopping() const { return stopping_; }

  std::string Heartbeat(const std::string& state = "ready") {
    std::ostringstream out;
    out << R"({"service":")" << service_ << R"(","address":")" << ip_ << ":" << port_
        << R"(","zone":")" << zone_ << R"(","version":"v1","slots":)" << slots_ << R"(,"state":")"
        << state << R"(","cold_remaining_ms":0,"born":)" << born_ << R"(,"sequence":)"
        << ++sequence_ << "}";
    return out.str();
  }

  // Returns whether the request names this replica. If not, it is answered with 421.
  bool IsMine(int fd, const Head& head) {
    std::string expected = head.Field("Expect-Instance");
    if (expected.empty() || expected == id_) return true;
    SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + head.Field("Attempt-Id") +
                    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return false;
  }

  // Notes that the request began to run.
  void OnRun(const std::string& attempt_id) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[attempt_id];
  }
  std::map<std::string, int> Runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  size_t RunCount() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_.size();
  }

  std::string AnswerHead(const Head& head, size_t body_bytes) const {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + head.Field("Attempt-Id") +
           "\r\nServer-Seal: " + id_ +
           "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n";
  }

 private:
  void AcceptLoop() {
    while (!stopping_) {
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      ++open_;
      std::thread([this, fd] {
        SetTimeout(fd, 500);
        Serve(fd);
        close(fd);
        --open_;
      }).detach();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    Head head;
    while (!stopping_) {
      pollfd polled{fd, POLLIN, 0};
      if (poll(&polled, 1, 200) == 0) continue;
      SetTimeout(fd, 20'000);
      if (!reader.ReadHead(&head) || !handler_(this, fd, &reader, head)) return;
    }
  }

  const std::string id_;
  const std::string service_;
  const std::string ip_;
  const std::string zone_;
  const int slots_;
  const Handler handler_;
  const int64_t born_;
  std::atomic<int64_t> sequence_{0};
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::thread thread_;
};

// ---- the deployment

struct DeploymentOptions {
  int memory_mb = 260;  // of a front machine; a process above it is killed, as by the platform
  int grace_s = 8;
  int contact_ms = 6000;
};

class Deployment {
 public:
  static constexpr int kZones = 3;
  static constexpr int kHeartbeatMs = 1200;
  static constexpr char kHost[] = "a.example";

  // `program`: the directory with target/ebonylift-platform, in which the processes start.
  Deployment(const std::string& root, const DeploymentOptions& options)
      : options_(options), command_(ReadCommand(root)) {
    char name[] = "/tmp/ebonylift-review-XXXXXX";
    if (mkdtemp(name) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = name;
    if (access(command_[0].c_str(), X_OK) != 0)
      throw std::runtime_error("not built: " + command_[0]);
    int number = static_cast<int>(getpid()) % (200 * 200);
    net_ =
        "127." + std::to_string(20 + number / 200) + "." + std::to_string(20 + number % 200) + ".";
  }

  ~Deployment() {
    stopping_ = true;
    if (heartbeats_.joinable()) heartbeats_.join();
    for (Process& process : fronts_) process.Kill();
    for (Process& process : cores_) process.Kill();
    replicas_.clear();
    if (getenv("KEEP") == nullptr) {
      RemoveFolder(folder_);
    }
  }

  static std::string Zone(int zone) {
    return "zone-" + std::string(1, static_cast<char>('a' + zone));
  }
  static std::string Region(int zone) {
    return "region-" + std::string(1, static_cast<char>('a' + zone));
  }
  std::string CoreIp(int zone) const { return net_ + std::to_string(11 + zone); }
  std::string FrontIp(int zone) const { return net_ + std::to_string(31 + zone); }
  std::string ReplicaIp(int number) const { return net_ + std::to_string(101 + number); }
  int ControlPort() const { return 8146; }
  int FrontPort() const { return 8144; }
  int ReadyPort() const { return 8140; }

  void StartAll() {
    for (int zone = 0; zone < kZones; ++zone) {
      StartCore(zone, /*bootstrap=*/true);
      StartFront(zone, /*bootstrap=*/true);
    }
    heartbeats_ = std::thread([this] { SendHeartbeats(); });
  }
  void StartCore(int zone, bool bootstrap) {
    cores_[zone].Start(command_, WriteSettings(zone, true, bootstrap),
                       folder_ + "/core-" + Zone(zone) + ".log");
  }
  void StartFront(int zone, bool bootstrap) {
    fronts_[zone].Start(command_, WriteSettings(zone, false, bootstrap),
                        folder_ + "/front-" + Zone(zone) + ".log");
  }
  Process& front(int zone) { return fronts_[zone]; }
  Process& core(int zone) { return cores_[zone]; }
  const std::string& folder() const { return folder_; }

  Replica* AddReplica(const std::string& service, int zone, int slots, Replica::Handler handler,
                      int receive_buffer = 0) {
    std::lock_guard<std::mutex> lock(mutex_);
    int number = static_cast<int>(replicas_.size());
    replicas_.push_back(std::make_unique<Replica>("i-" + std::to_string(number + 1), service,
                                                  ReplicaIp(number), Zone(zone), slots,
                                                  std::move(handler), receive_buffer));
    return replicas_.back().get();
  }

  // Calls a core machine as the operator does: follows a redirect, goes on to the next one after a
  // failure.
  Answer Control(const std::string& method, const std::string& path, const std::string& body,
                 int first = 0) {
    Answer answer;
    for (int i = 0; i < 60 && !stopping_; ++i) {
      answer = ControlAt((first + i) % kZones, method, path, body);
      if (answer.complete && answer.status < 500) return answer;
      SleepMs(200);
    }
    return answer;
  }
  Answer ControlAt(int zone, const std::string& method, const std::string& path,
                   const std::string& body) {
    Answer answer = Call(CoreIp(zone), ControlPort(), method, path, body, 1500);
    for (int hop = 0; hop < 2 && answer.status == 307; ++hop) {
      std::string location = answer.head.Field("Location");  // http://IP:PORT/path
      size_t colon = location.find(':', 7);
      size_t slash = location.find('/', 7);
      if (colon == std::string::npos || slash == std::string::npos) break;
      answer = Call(location.substr(7, colon - 7), std::atoi(location.c_str() + colon + 1), method,
                    location.substr(slash), body, 1500);
    }
    return answer;
  }

  bool Ready(int zone) {
    return Call(FrontIp(zone), ReadyPort(), "GET", "/ready", "", 1000).status == 200;
  }
  bool WaitUntilReady(int seconds) {
    for (int i = 0; i < seconds * 10; ++i) {
      bool ready = true;
      for (int zone = 0; zone < kZones; ++zone) ready = ready && Ready(zone);
      if (ready) return true;
      SleepMs(100);
    }
    return false;
  }

  static std::string Route(const std::string& name, const std::string& type,
                           const std::string& service, int timeout_ms, int max_attempts) {
    std::ostringstream out;
    out << R"({"name":"r-)" << name << R"(","host":")" << kHost << R"(","path_prefix":"/)" << name
        << R"(/","route_type":")" << type << R"(","timeout_ms":)" << timeout_ms
        << R"(,"target_latency_ms":400,"priority":2,"service":")" << service
        << R"(","max_attempts":)" << max_attempts
        << R"(,"session_affinity":false,"resumable":false,"home_regions":[]})";
    return out.str();
  }
  static std::string Service(const std::string& name, int max_connections) {
    return R"({"name":")" + name + R"(","health_path":"/health","max_connections":)" +
           std::to_string(max_connections) +
           R"(,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0})";
  }
  static std::string Configuration(int64_t version, const std::vector<std::string>& routes,
                                   const std::vector<std::string>& services) {
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (size_t i = 0; i < routes.size(); ++i) text += (i ? "," : "") + routes[i];
    text += R"(],"services":[)";
    for (size_t i = 0; i < services.size(); ++i) text += (i ? "," : "") + services[i];
    return text +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  }

 private:
  // The command of the role that serves clients, in the deploy file of the repository.
  static std::vector<std::string> ReadCommand(const std::string& root) {
    std::ifstream in(root + "/deploy/system.toml");
    std::string line;
    while (std::getline(in, line)) {
      if (line.compare(0, 7, "run = \"") != 0) continue;
      std::istringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> command;
      std::string word;
      while (words >> word) command.push_back(word);
      command[0] = root + "/" + command[0];
      return command;
    }
    throw std::runtime_error("no run line in deploy/system.toml");
  }

  std::string WriteSettings(int zone, bool is_core, bool bootstrap) {
    std::string name = (is_core ? "core-" : "front-") + Zone(zone);
    std::string ip = is_core ? CoreIp(zone) : FrontIp(zone);
    std::string path = folder_ + "/" + name + ".yaml";
    std::string data = folder_ + "/" + name;
    if (is_core) mkdir(data.c_str(), 0755);
    std::ofstream out(path, std::ios::trunc);
    out << "node_name: \"" << name << "-1\"\nrole: \"" << (is_core ? "control" : "gateway")
        << "\"\nmachine_class: \"" << (is_core ? "core" : "front") << "\"\nserves:\n";
    out << (is_core ? "  - \"control\"\n  - \"directory\"\n" : "  - \"front\"\n");
    out << "ip: \"" << ip << "\"\nzone: \"" << Zone(zone) << "\"\nregion: \"" << Region(zone)
        << "\"\nzones:\n";
    for (int i = 0; i < kZones; ++i) out << "  " << Zone(i) << ": \"" << Region(i) << "\"\n";
    out << "listen:\n";
    if (is_core) {
      out << "  control: \"" << ip << ":" << ControlPort() << "\"\n  directory: \"" << ip
          << ":8143\"\n";
    } else {
      out << "  front: \"" << ip << ":" << FrontPort() << "\"\n  ready: \"" << ip << ":"
          << ReadyPort() << "\"\n";
    }
    out << "internal_ports:\n  - 7660\n  - 7675\nseeds:\n";
    for (int i = 0; i < kZones; ++i) out << "  - \"" << CoreIp(i) << ":" << ControlPort() << "\"\n";
    out << "bootstrap: " << (bootstrap ? "true" : "false")
        << "\nloss_counts: " << (is_core ? "true" : "false") << "\nlimits:\n  cpu_share: 0.25\n"
        << "  cores: 1\n  memory_mb: " << (is_core ? 256 : options_.memory_mb)
        << "\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: " << (is_core ? 128 : 0)
        << "\ndata_dir: " << (is_core ? "\"" + data + "\"" : "null")
        << "\ndiscovery: \"registry\"\nentry: \"directory\"\nheartbeat_ms: " << kHeartbeatMs
        << "\ncontracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - "
           "\"retry\"\n"
        << "  - \"recover\"\nfault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\nbounds:\n"
        << "  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: " << options_.contact_ms
        << "\n  ack_timeout_ms: 8000\n  catch_up_s: 6\n  drain_ms: 4000\n  grace_s: "
        << options_.grace_s << "\n  loss_slack_ms: 200\n  config_apply_ms: 4000\n"
        << "  rollback_slack_ms: 250\n  max_skew_ms: 10000\n  retry_budget_ratio: 0.2\n"
        << "  budget_window_s: 10\n  budget_slack: 52\n  cold_multiplier: 1.5\n  cold_slack: 3\n"
        << "  evacuation_ms: 5000\n  recovery_s: 12\n  pass_ms: 600\n  retry_after_s: 10\n"
        << "  ttl_max_s: 5\nconfig_mode: \"highest\"\n";
    return path;
  }

  void SendHeartbeats() {
    size_t turn = 0;
    while (!stopping_) {
      std::vector<Replica*> replicas;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& replica : replicas_) replicas.push_back(replica.get());
      }
      for (Replica* replica : replicas) {
        std::string body = replica->Heartbeat();
        for (int i = 0; i < kZones && !stopping_; ++i) {
          int zone = static_cast<int>((turn + static_cast<size_t>(i)) % kZones);
          Answer answer = Call(CoreIp(zone), ControlPort(), "POST",
                               "/Instances.Heartbeat/" + replica->id(), body, 1000);
          if (answer.status >= 200 && answer.status < 300) break;
        }
      }
      ++turn;
      for (int i = 0; i < kHeartbeatMs / 50 && !stopping_; ++i) SleepMs(50);
    }
  }

  static void RemoveFolder(const std::string& folder) {
    // Only this process's own folder, which mkdtemp() made.
    pid_t pid = fork();
    if (pid == 0) {
      execlp("rm", "rm", "-rf", folder.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    if (pid > 0) waitpid(pid, nullptr, 0);
  }

  const DeploymentOptions options_;
  const std::vector<std::string> command_;
  std::string folder_;
  std::string net_;
  Process cores_[kZones];
  Process fronts_[kZones];
  std::mutex mutex_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
};

// ---- clients

// A connection of a client to a front machine, which is kept between requests.
class ClientConnection {
 public:
  ClientConnection(const std::string& ip, int port, int64_t timeout_ms, int receive_buffer = 0)
      : fd_(Connect(ip, port, timeout_ms, receive_buffer)), reader_(fd_) {}
  ~ClientConnection() {
    if (fd_ >= 0) close(fd_);
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool connected() const { return fd_ >= 0; }
  Reader& reader() { return reader_; }
  int fd() const { return fd_; }

  bool Send(const std::string& method, const std::string& path, const std::string& attempt_id,
            int64_t deadline_ms, const std::string& body) {
    return SendAll(
        fd_, method + " " + path + " HTTP/1.1\r\nHost: " + Deployment::kHost + "\r\nAttempt-Id: " +
                 attempt_id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Answer Receive() { return ReadAnswer(&reader_); }

 private:
  const int fd_;
  Reader reader_;
};

}  // namespace review

#endif  // EBONYLIFT_REVIEW_HARNESS_3_HARNESS_H_
