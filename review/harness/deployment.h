// A small deployment for the scripts of the review: the project's processes, started with the
// commands of the deploy file, and stand-ins for the replicas, the operator and the clients.
#ifndef EBONYLIFT_REVIEW_DEPLOYMENT_H_
#define EBONYLIFT_REVIEW_DEPLOYMENT_H_

#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

inline std::string Quote(const std::string& text) { return "\"" + text + "\""; }

// The file record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  int64_t Ms() const { return NowMs() - started_; }

 private:
  std::mutex mutex_;
  FILE* file_;
  int64_t started_;
};

struct Zone {
  std::string name;
  std::string region;
};

class Deployment;

// What a replica answers to a request that it runs.
struct Answer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  int work_ms = 15;     // before the answer
  int events = 0;       // more than 0: a stream of so many events instead of `body`
  int gap_ms = 100;     // between two events
  int break_after = 0;  // the connection ends within the event after so many events of this answer
  bool crash = false;   // the replica crashes after `work_ms` instead of answering
  bool lose = false;    // the connection ends after `work_ms` instead of the answer
  // More than 0: after the head, so many bytes a millisecond that are no answer, until the caller
  // closes.
  int endless_bytes_per_ms = 0;
  Headers headers;  // besides Attempt-Id and Server-Seal
};

struct Run {
  int64_t ms = 0;
  std::string replica;
  std::string version;
  uint64_t start = 0;  // number of the replica's start
  std::string attempt_id;
  std::string target;
  int first_event = 0;
};

// A replica: a listener with one thread for each connection, and its heartbeats.
class Replica {
 public:
  struct Options {
    std::string id;
    std::string service;
    Zone zone;
    std::string ip;
    std::string version = "v1";
    int slots = 32;
  };
  using Handler = std::function<Answer(const Message& request, Replica* replica)>;

  Replica(Deployment* deployment, Options options, Handler handler);
  ~Replica();

  void Start();  // begins to listen and to send heartbeats
  // The process is gone: all connections are reset, nothing listens, no heartbeats.
  void Crash();
  // A new process at the same address under the same id. It sends a heartbeat at once.
  void Restart(const std::string& version);

  // From now on its heartbeats arrive so much later than they were sent. None is acknowledged
  // within a second then, so each is followed by one to the next control machine.
  void DelayHeartbeats(int ms) { beats_late_ms_ = ms; }

  const Options& options() const { return options_; }
  std::string version() const;
  bool up() const { return listener_ >= 0; }
  int running() const { return running_; }
  // Reports `draining` from now on. Returns when that was first acknowledged (NowMs()); 0: it was
  // not within a second for each control machine.
  int64_t Drain();
  // Sends Instances.Deregister until it is acknowledged, as before an exit.
  void Deregister();
  std::string Heartbeat(const std::string& state);
  std::string address() const;

 private:
  void Accept(int listener, uint64_t start);
  void Serve(int fd, uint64_t start);
  bool Respond(int fd, const Message& request, uint64_t start);
  bool SendStream(int fd, const Message& request, const Answer& answer, uint64_t start);
  void SendWithoutEnd(int fd, int bytes_per_ms, uint64_t start);
  bool StillUp(uint64_t start) const { return start == start_ && listener_ >= 0; }
  void Beat();

  Deployment* const deployment_;
  const Options options_;
  const Handler handler_;
  mutable std::mutex mutex_;
  std::string version_;
  int64_t born_ = 0;
  uint64_t sequence_ = 0;
  std::set<int> connections_;
  std::atomic<uint64_t> start_{0};
  std::atomic<int> listener_{-1};
  std::atomic<int> running_{0};
  std::atomic<int> threads_{0};
  std::atomic<int> beats_late_ms_{0};
  std::atomic<bool> ended_{false};
  std::atomic<bool> draining_{false};
  std::thread beats_;
};

// One of the project's processes.
struct Daemon {
  std::string name;
  std::string role;  // "gateway" or "control"
  Zone zone;
  std::string ip;
  bool first_start = true;
  pid_t pid = -1;
  bool wanted = true;  // it is started again if it ends
  bool ended_by_us = false;
  int own_ends = 0;          // how often it ended by itself
  int64_t memory_limit = 0;  // bytes
  int64_t most_memory = 0;   // the most that its process was seen to use
};

// What a client saw of one request.
struct Outcome {
  std::string attempt_id;
  std::string gateway;
  int64_t sent_ms = 0;  // NowMs()
  int64_t end_ms = 0;
  bool kept_connection = false;  // the connection had carried a request before
  bool connected = true;
  Message answer;
  bool answered() const { return answer.complete && answer.status() != 0; }
  // The connection ended before the deadline and no line of an answer had come.
  bool closed_unanswered() const {
    return connected && answer.first_line.empty() && !answer.complete && !answer.timed_out;
  }
};

struct Request {
  std::string method = "POST";
  std::string target;
  std::string attempt_id;
  std::string body;
  int deadline_ms = 5000;
  Headers headers;
};

// A client with one kept connection. It asks the directory which gateway to use.
class Client {
 public:
  Client(Deployment* deployment, Zone zone) : deployment_(deployment), zone_(std::move(zone)) {}
  ~Client() { Close(); }
  Outcome Send(const Request& request);
  void Close();
  // Only for clients that keep to one of the addresses that the directory named.
  void PreferGateway(const std::string& ip) { preferred_ = ip; }

 private:
  bool Resolve();

  Deployment* const deployment_;
  const Zone zone_;
  std::vector<std::string> addresses_;
  int64_t resolved_until_ = 0;
  std::string preferred_;
  std::string gateway_;
  int fd_ = -1;
  int requests_ = 0;
  unsigned next_ = 0;
};

class Deployment {
 public:
  // `gateways` for each zone. Throws std::runtime_error if the case can't run.
  Deployment(Record* record, std::vector<Zone> zones, int gateways);
  ~Deployment();

  void StartAll();
  Daemon* FindDaemon(const std::string& name);
  std::vector<Daemon*> Daemons();
  void Signal(Daemon* daemon, int signal);  // to a process that this case started
  // Ends the process and starts it again after `down_ms` if that is not negative.
  void Kill(Daemon* daemon, int down_ms);
  bool WaitUntilReady(int timeout_ms);  // all gateways answer /ready with 200
  bool SendConfiguration(const std::string& body, int timeout_ms);
  Message CallControl(const std::string& ip, const std::string& method, const std::string& target,
                      const std::string& body, int timeout_ms = 1000);
  std::string ControlIp(size_t index) const;
  size_t control_count() const { return zones_.size(); }
  std::string GatewayIp(const std::string& name);

  Replica* AddReplica(const std::string& id, const std::string& service, const Zone& zone,
                      Replica::Handler handler, const std::string& version = "v1", int slots = 32);
  void AddRun(const Run& run);
  std::vector<Run> Runs();
  std::vector<Replica*> Replicas();
  const std::vector<Zone>& zones() const { return zones_; }
  Record& record() { return *record_; }
  bool stopping() const { return stopping_; }
  const std::string& log_dir() const { return dir_; }
  int OwnEnds();
  void StopReplicas();

 private:
  void WriteSettings(const Daemon& daemon);
  void Start(Daemon* daemon);
  void Watch();
  // Ends a process that uses more than its memory_mb, as the platform does.
  void EnforceMemory(Daemon* daemon);

  Record* const record_;
  const std::vector<Zone> zones_;
  std::string dir_;
  std::string net_;  // the first three numbers of this case's addresses
  std::mutex mutex_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<Daemon*, int64_t> restart_at_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<Run> runs_;
  std::atomic<bool> stopping_{false};
  std::thread watcher_;
};

// Ports, the same on all machines.
constexpr int kFrontPort = 8144;
constexpr int kReadyPort = 8140;
constexpr int kControlPort = 8146;
constexpr int kDirectoryPort = 8147;
constexpr int kFirstInternalPort = 7660;
constexpr int kLastInternalPort = 7675;
constexpr int kReplicaPort = 8080;

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
std::string NewAttemptId();
// Whether the disruption of the case is on: TROUBLE is not 0.
bool Trouble();

struct RouteText {
  std::string name;
  std::string type = "safe";
  std::string service;
  int attempts = 1;
  bool resumable = false;
  std::vector<std::string> homes;
  int timeout_ms = 5000;
  int target_ms = 800;
  int priority = 0;
  std::string host = "a.example";
};
// A document for Config.Replace. The prefix of a route is /NAME/, its name r-NAME.
std::string Configuration(int version, const std::vector<RouteText>& routes,
                          const std::vector<std::string>& services);

}  // namespace review

#endif  // EBONYLIFT_REVIEW_DEPLOYMENT_H_
