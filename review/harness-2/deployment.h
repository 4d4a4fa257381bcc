// A small deployment on loopback addresses for the cases of the second review: the project's
// program as separate processes, and stand-ins for replicas, clients and the operator.
//
// Three zones, each a region of its own: one control host in each, and as many gateways as a case
// asks for. Needs a POSIX system and the C++ standard library only.
#ifndef REVIEW_HARNESS_2_DEPLOYMENT_H_
#define REVIEW_HARNESS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// The value of the first header with this name, ignoring case; empty: none.
std::string Header(const Headers& headers, const std::string& name);

// Milliseconds since the program started (steady clock), and since 1970.
int64_t NowMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

// Whether the disruption is wanted: false with TROUBLE=0 in the environment.
bool Trouble();

// Writes a line, with the time, to record.txt in the folder of the case and to standard output.
void Record(const std::string& line);

// A TCP connection whose reads end at a deadline. Owns its descriptor.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to "ip:port" from `source_ip` (empty: any). Null if that fails.
  static std::unique_ptr<Connection> To(const std::string& address, int timeout_ms);

  bool Write(const std::string& bytes);
  // Returns up to and including `mark`, or "" at the end, an error or the deadline.
  std::string ReadUntil(const std::string& mark, int64_t deadline_ms);
  // Reads exactly `size` bytes; false as above.
  bool ReadExactly(size_t size, std::string* out, int64_t deadline_ms);
  // Reads until the peer closes. Returns false at an error or the deadline.
  bool ReadToEnd(std::string* out, int64_t deadline_ms);
  // Whether the peer has closed the connection, or sent bytes that nobody asked for.
  bool ClosedOrReadable();
  void Close();
  // Closes with a reset.
  void Reset();
  std::string peer_ip() const;
  int fd() const { return fd_; }

 private:
  bool Fill(int64_t deadline_ms);

  int fd_;
  std::string buffer_;
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer_ip;
  bool first_on_connection = true;
};

struct Response {
  int status = 0;  // 0: no answer, or none that is complete
  Headers headers;
  std::string body;
  bool complete = false;
  std::string error;
};

// Reads one message; false if there is no whole one.
bool ReadRequest(Connection* connection, Request* request, int64_t deadline_ms);
Response ReadResponse(Connection* connection, int64_t deadline_ms);

// Sends a request on a connection of its own, or on `connection`, and reads the answer.
Response Call(const std::string& address, const std::string& method, const std::string& target,
              const Headers& headers, const std::string& body, int timeout_ms);
Response CallOn(Connection* connection, const std::string& method, const std::string& target,
                const Headers& headers, const std::string& body, int timeout_ms);

// A replica. Each connection has a thread; `handle` answers one request and returns whether the
// connection goes on.
class Replica {
 public:
  using Handler = std::function<bool(Replica*, Connection*, const Request&)>;

  // Starts to listen at "ip:port" (port 0: any).
  Replica(std::string id, std::string ip, int port, std::string service, std::string zone,
          std::string version, int slots, Handler handle);
  ~Replica();

  // The process ends: the port and all connections close, with a reset where bytes are unread.
  void Crash();
  // It starts again at its address: with a new id or the one that it had.
  void Restart(const std::string& id, const std::string& version);
  bool running() const { return running_; }

  std::string id() const;
  std::string version() const;
  std::string address() const { return address_; }
  const std::string& service() const { return service_; }
  // The body of the next heartbeat.
  std::string Heartbeat(const std::string& state);
  // Whether heartbeats are sent. They may be seconds late.
  std::atomic<bool> heartbeats{true};
  std::string extra_fields;  // of the heartbeat, beginning with a comma
  std::atomic<int> generation{0};

 private:
  void Listen();
  void AcceptLoop(int listener, int generation);

  const std::string ip_;
  const std::string service_;
  const std::string zone_;
  const int slots_;
  const Handler handle_;
  mutable std::mutex mutex_;
  std::string id_;
  std::string version_;
  std::string address_;
  int port_;
  int listener_ = -1;
  int64_t born_ = 0;
  int64_t sequence_ = 0;
  std::atomic<bool> running_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_threads_{0};
  std::map<int, std::weak_ptr<Connection>> connections_;
  int next_connection_ = 0;
};

struct RouteText {
  std::string name;
  std::string type;  // safe, unsafe, streaming
  std::string service;
  int max_attempts = 1;
  bool resumable = false;
  int timeout_ms = 10000;
  int target_ms = 1000;
};

// Writes the head of a stream of events, one event of it, and its end, in chunks.
bool WriteStreamHead(Connection* connection, const std::string& attempt_id);
bool WriteEvent(Connection* connection, int id, const std::string& data);
bool WriteStreamEnd(Connection* connection);
// Writes a whole answer with status 200.
bool WriteAnswer(Connection* connection, const std::string& attempt_id, const std::string& body);

// The JSON of a configuration of routes "/NAME/" at host "a.example".
std::string Configuration(int version, const std::vector<RouteText>& routes,
                          const std::vector<std::string>& services,
                          const std::string& more_fields = "");

class Deployment {
 public:
  // `gateways` are the numbers of gateways in the zones este-a, centro-a and norte-a.
  explicit Deployment(const std::vector<int>& gateways);
  ~Deployment();

  static const std::vector<std::string>& Zones();

  Replica* AddReplica(const std::string& service, const std::string& zone, int slots,
                      Replica::Handler handle, const std::string& version = "v1");
  // Sends a heartbeat of the replica now. Returns the status.
  int SendHeartbeat(Replica* replica, const std::string& state = "ready");
  // Calls control hosts in turn, and follows redirects, until one answers below 500.
  Response Control(const std::string& method, const std::string& path, const std::string& body);
  bool PutConfiguration(const std::string& configuration);
  // Waits until all gateways say that they are ready, and are, by serving the probe.
  bool WaitReady(int timeout_ms);

  std::string Gateway(const std::string& zone, int number = 0) const;  // its address for clients
  std::string ControlAddress(int number) const;
  pid_t GatewayPid(const std::string& zone, int number = 0) const;
  std::string GatewayIp(const std::string& zone, int number = 0) const;
  void Signal(pid_t pid, int signal);
  // Kills a process with SIGKILL, or starts it again; `wipe`: with an empty data folder.
  void Kill(const std::string& name);
  void StartAgain(const std::string& name, bool wipe = false);
  pid_t Pid(const std::string& name) const;
  // Whether a process ended by itself.
  bool AnyEnded();
  // The process's largest memory so far, in KiB (VmHWM).
  static long PeakKib(pid_t pid);
  const std::string& folder() const { return folder_; }

 private:
  struct Process {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t pid = 0;
    bool control = false;
  };
  void Start(Process* process, bool bootstrap);
  void HeartbeatLoop();

  std::string folder_;
  std::string prefix_;  // first three numbers of all addresses
  int base_port_ = 0;
  std::vector<Process> processes_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::map<Replica*, std::string> heartbeat_addresses_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeat_thread_;
  int next_replica_ = 1;
};

}  // namespace review

#endif  // REVIEW_HARNESS_2_DEPLOYMENT_H_
