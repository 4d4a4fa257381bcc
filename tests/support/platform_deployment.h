#ifndef EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_

// A simulation, on loopback addresses, of the platform that the daemons are deployed on: settings
// files, replicas that sign their answers and send heartbeats, operator calls and a client. The
// daemons are real processes.

#include <asio/io_context.hpp>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_server.h"
#include "tests/support/process.h"
#include "tests/support/test_client.h"

namespace ebonylift::test {

enum class ReplicaMode {
  kServe,
  kRefuse,          // answers 503 with the Not-Executed header: the request did not run
  kFail,            // runs the request and answers 500
  kLoseAnswer,      // runs the request and closes the connection without an answer
  kBreakStream,     // closes the connection in the middle of the third event of a stream
  kWrongAttemptId,  // answers with the Attempt-Id of another request
  kNotFound,        // answers 404 with a body that looks like an event
  kMalformedHead,   // runs the request and answers with a space in the name of a header field
};

// What a replica does with the requests of hosts to which it has no path.
enum class CutMode {
  kSilent,  // reads them and never answers
  kReset,   // resets their connections
};

// A simulated service replica, which serves HTTP on a thread of its own. Thread safe.
//
// A request whose path contains kCrashPath, or whose prompt has the part kCrashPart before the last
// one, crashes it: the replica closes its port and all its
// connections, and starts again after kCrashedTime, by turns with a new id and with the id that it
// had.
class PlatformReplica {
 public:
  static constexpr int kEventsPerStream = 6;  // number of events in a complete stream
  static constexpr char kCrashPath[] = "/crash";
  static constexpr char kCrashPart[] = "dead:100,";  // in the Prompt-Prefix header
  static constexpr Duration kCrashedTime = milliseconds(1'000);
  static constexpr size_t kSlots = 8;

  PlatformReplica(const std::string& id, const std::string& ip, const std::string& service,
                  const std::string& zone, const std::string& version);
  ~PlatformReplica();
  PlatformReplica(const PlatformReplica&) = delete;
  PlatformReplica& operator=(const PlatformReplica&) = delete;

  void SetMode(ReplicaMode mode) { mode_ = mode; }
  // Attempt-Ids of the requests that ran here, oldest first.
  std::vector<std::string> ExecutedRequestIds() const;
  // When requests that crash the replica began to run, oldest first.
  std::vector<Time> CrashTimes() const;
  // Names this limit, in requests per second, in all answers from now on; empty: names none.
  void SetLimit(const std::string& limit);
  // Says in all answers from now on that it leaves; its heartbeats do not say so.
  void SetLeaving() { leaving_ = true; }
  // Says in all answers from now on that it is brittle, with this number; empty: does not say so.
  void SetBrittle(const std::string& rejections_per_s);
  // From now on requests take `service_time` in one of kSlots slots, at most `max_waiting` more
  // wait for one, and the others are turned away with 503. A brittle replica that has to turn away
  // more than it bears in a second crashes.
  void SetRoom(Duration service_time, size_t max_waiting);
  // When it crashed because it had to turn too many requests away, oldest first.
  std::vector<Time> FallTimes() const;
  // Answers every request with 503 and this Retry-After from now on; empty: runs them again.
  void SetPause(const std::string& retry_after);
  // Cuts the path from the hosts with these IP addresses; none: heals it.
  void SetCut(CutMode mode, std::set<std::string> hosts);
  // The requests that arrived from each host, by its IP address, also those on a cut path.
  std::map<std::string, int> ArrivalsByHost() const;
  // When requests arrived that were meant for this replica, oldest first.
  std::vector<Time> ArrivalTimes() const;
  // When requests began to run, oldest first.
  std::vector<Time> RunTimes() const;
  // The headers of the requests that ran here, oldest first.
  std::vector<HttpHeaders> RunHeaders() const;
  // False from a crash until the restart.
  bool Running() const;
  std::string id() const;
  // Of its software.
  const std::string& version() const { return version_; }
  // The body of the next heartbeat, with the given `state` and the next sequence number.
  nlohmann::json Heartbeat(const std::string& state);

 private:
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Returns whether the path from the sender is cut; the request is then dealt with.
  bool DropIfCut(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  // Runs the request in a slot, at once or when one is free, or turns it away.
  void HandleInRoom(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void StartWaiting();
  void TurnAway(const std::shared_ptr<HttpResponder>& responder);
  void Run(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Stream(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              bool break_connection);
  // Adds what the replica says of itself.
  void AddNotices(HttpHeaders* headers) const;
  void Listen(const std::string& address);
  void Crash();
  void Restart();
  void RunAfter(Duration delay, std::function<void()> fn);

  struct Room {
    Duration service_time{0};
    size_t max_waiting = 0;
  };

  const std::string first_id_;
  const std::string service_;
  const std::string zone_;
  const std::string version_;
  std::string address_;
  std::atomic<ReplicaMode> mode_{ReplicaMode::kServe};
  mutable std::mutex mutex_;
  std::vector<std::string> runs_;
  std::vector<Time> run_times_;
  std::vector<HttpHeaders> run_headers_;
  std::vector<Time> crash_times_;
  std::vector<Time> arrival_times_;
  std::map<std::string, int> arrivals_by_host_;
  CutMode cut_mode_ = CutMode::kSilent;
  std::set<std::string> cut_hosts_;
  std::vector<std::shared_ptr<HttpResponder>>
      unanswered_;  // of a silent cut; on the replica's thread
  std::string limit_;
  std::string pause_;
  std::string brittle_;
  std::optional<Room> room_;
  std::vector<Time> fall_times_;
  // On the replica's thread.
  size_t busy_slots_ = 0;
  std::deque<std::function<void()>> waiting_;
  std::deque<Time> rejections_;  // of the last second
  bool falling_ = false;         // until the crash
  std::atomic<bool> leaving_{false};
  bool running_ = true;
  int restarts_ = 0;
  std::string id_;
  int64_t born_ = 0;  // Unix milliseconds of the last start
  int sequence_ = 0;  // of the heartbeats since the last start
  asio::io_context io_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

// Three zones, each in a region of its own and with one control host and one gateway, or several.
class PlatformDeployment {
 public:
  // `bounds` are further lines of that mapping of the settings files.
  explicit PlatformDeployment(int gateways_per_zone = 1, const std::string& bounds = "");
  ~PlatformDeployment();
  PlatformDeployment(const PlatformDeployment&) = delete;
  PlatformDeployment& operator=(const PlatformDeployment&) = delete;

  static const std::vector<std::string>& Zones();  // este-a, centro-a, norte-a
  static std::string RegionOf(const std::string& zone);

  // Adds a replica of the service "model" or "portal". Its heartbeats go on until Drain().
  PlatformReplica* AddReplica(const std::string& service, const std::string& zone,
                              const std::string& version = "v1");
  // Announces that the replica is draining and ends its heartbeats. Returns the HTTP status of the
  // announcement.
  int Drain(PlatformReplica* replica);

  // Calls a control host and follows one redirect. The status is 0 when the host did not answer.
  TestResponse Control(int host, const std::string& method, const std::string& path,
                       const std::string& body = "");
  // Like Control(), but tries all control hosts in turn until one answers with a status below 500.
  TestResponse ControlAny(const std::string& method, const std::string& path,
                          const std::string& body = "");
  // Asks the directory of a control host for the gateways that a client in the zone should use.
  TestResponse Resolve(int host, const std::string& zone);

  // Sends a client request to the gateway of the zone, or to each of its gateways in turn.
  TestResponse Request(const std::string& zone, const std::string& method, const std::string& path,
                       const std::string& request_id,
                       const std::vector<std::pair<std::string, std::string>>& headers = {});
  // The same, to the gateway with this number in the zone.
  TestResponse RequestAt(const std::string& zone, int gateway, const std::string& method,
                         const std::string& path, const std::string& request_id,
                         const std::vector<std::pair<std::string, std::string>>& headers = {});

  // A configuration with the routes /stream/ (streaming, resumable), /check/ (streaming, not
  // resumable, home regions este and centro), /post/ (unsafe) and /look/ (safe).
  static nlohmann::json Configuration(int version);
  void PutConfiguration(const nlohmann::json& configuration);

  // Adds `count` safe routes to the service "portal", /extra-0/ and so on, to a configuration.
  static void AddRoutes(int count, nlohmann::json* configuration);

  // The files below the directory of the deployment, data folders and logs, that contain the text.
  std::vector<std::string> FilesWith(const std::string& text) const;

  // The number of events of this name that the control hosts have logged.
  size_t ControlEventCount(const std::string& event) const;

  // The most memory that a control host, or any gateway, has used since its start, in bytes.
  size_t PeakControlMemory(int host) const;
  size_t PeakGatewayMemory() const;

  // KillControl() sends SIGKILL; WipeControl() deletes the data directory of a control host.
  void KillControl(int host);
  void StartControl(int host, bool bootstrap);
  void WipeControl(int host);

  // Of the gateway with this number in the zone.
  void KillGateway(const std::string& zone, int number = 0);
  void StartGateway(const std::string& zone, int number = 0);
  // Sends SIGTERM.
  void TerminateGateway(const std::string& zone, int number = 0);
  // Of the first gateway of the zone. StopGateway() sends SIGSTOP and ContinueGateway() SIGCONT.
  void StopGateway(const std::string& zone);
  void ContinueGateway(const std::string& zone);

  // Where clients reach the gateway, as ip:port.
  std::string GatewayAddress(const std::string& zone, int number = 0) const;
  std::string GatewayIpIn(const std::string& zone, int number) const {
    return GatewayIp(ZoneIndex(zone), number);
  }

  // True when GET /ready of each gateway of the zone returns 200.
  bool Ready(const std::string& zone);

 private:
  static std::string ControlIp(int host);
  static std::string GatewayIp(int host, int number);
  std::string WriteSettings(const std::string& name, const std::string& ip, const std::string& zone,
                            bool control, bool bootstrap);
  Process StartDaemon(const std::string& settings_file, const std::string& name);
  void SendHeartbeats();
  std::string GatewayName(const std::string& zone, int number) const;
  // The index of a gateway in gateways_.
  size_t GatewayIndex(const std::string& zone, int number) const;
  int ZoneIndex(const std::string& zone) const;

  TempDir dir_;
  const int gateways_per_zone_;
  const std::string bounds_;
  int base_port_ = 0;
  std::atomic<int> next_gateway_{0};
  std::vector<Process> controls_;
  std::vector<Process> gateways_;
  std::mutex mutex_;
  // Where each replica sends its next heartbeat.
  std::map<PlatformReplica*, std::string> heartbeat_addresses_;
  std::vector<std::unique_ptr<PlatformReplica>> replicas_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeat_thread_;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_
