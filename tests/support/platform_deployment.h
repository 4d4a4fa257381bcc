#ifndef EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_

// A simulation, on loopback addresses, of the platform that the daemons are deployed on: settings
// files, replicas that sign their answers and send heartbeats, operator calls and a client. The
// daemons are real processes.

#include <asio/io_context.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
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
};

// A simulated service replica, which serves HTTP on a thread of its own. Thread safe.
class PlatformReplica {
 public:
  static constexpr int kEventsPerStream = 6;  // number of events in a complete stream

  PlatformReplica(const std::string& id, const std::string& ip, const std::string& service,
                  const std::string& zone);
  ~PlatformReplica();
  PlatformReplica(const PlatformReplica&) = delete;
  PlatformReplica& operator=(const PlatformReplica&) = delete;

  void SetMode(ReplicaMode mode) { mode_ = mode; }
  // Attempt-Ids of the requests that ran here, oldest first.
  std::vector<std::string> ExecutedRequestIds() const;
  const std::string& id() const { return id_; }
  // The body of the next heartbeat, with the given `state` and the next sequence number.
  nlohmann::json Heartbeat(const std::string& state);

 private:
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Stream(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              bool break_connection);

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  std::string address_;
  std::atomic<ReplicaMode> mode_{ReplicaMode::kServe};
  std::atomic<int> sequence_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> runs_;
  asio::io_context io_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

// Three zones, each in a region of its own and with one control host and one gateway.
class PlatformDeployment {
 public:
  PlatformDeployment();
  ~PlatformDeployment();
  PlatformDeployment(const PlatformDeployment&) = delete;
  PlatformDeployment& operator=(const PlatformDeployment&) = delete;

  static const std::vector<std::string>& Zones();  // este-a, centro-a, norte-a
  static std::string RegionOf(const std::string& zone);

  // Adds a replica of the service "model" or "portal". Its heartbeats go on until Drain().
  PlatformReplica* AddReplica(const std::string& service, const std::string& zone);
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

  // Sends a client request to the gateway of the zone.
  TestResponse Request(const std::string& zone, const std::string& method, const std::string& path,
                       const std::string& request_id,
                       const std::vector<std::pair<std::string, std::string>>& headers = {});

  // A configuration with the routes /stream/ (streaming, resumable), /check/ (streaming, not
  // resumable, home regions este and centro), /post/ (unsafe) and /look/ (safe).
  static nlohmann::json Configuration(int version);
  void PutConfiguration(const nlohmann::json& configuration);

  // KillControl() sends SIGKILL; WipeControl() deletes the data directory of a control host.
  void KillControl(int host);
  void StartControl(int host, bool bootstrap);
  void WipeControl(int host);

  // True when GET /ready of the gateway of the zone returns 200.
  bool Ready(const std::string& zone);

 private:
  std::string WriteSettings(const std::string& name, const std::string& ip, const std::string& zone,
                            bool control, bool bootstrap);
  Process StartDaemon(const std::string& settings_file, const std::string& name);
  void SendHeartbeats();
  static std::string ControlIp(int host);
  static std::string GatewayIp(int host);
  int ZoneIndex(const std::string& zone) const;

  TempDir dir_;
  int base_port_ = 0;
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
