#ifndef EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_

// A stand-in of the users' platform on loopback addresses: settings files, replicas that sign their
// answers and send heartbeats, the operator's calls and a client. The daemons are real processes.

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
  kFull,         // 503 with the statement that the request did not run
  kFail,         // runs the request and answers 500
  kLoseAnswer,   // runs the request and closes the connection
  kBreakStream,  // closes the connection within the third event of a stream
  kForeign,      // answers with the id of another request
};

// One replica with its own thread. Thread safe.
class PlatformReplica {
 public:
  static constexpr int kEvents = 6;  // of each stream

  PlatformReplica(const std::string& id, const std::string& ip, const std::string& service,
                  const std::string& zone);
  ~PlatformReplica();
  PlatformReplica(const PlatformReplica&) = delete;
  PlatformReplica& operator=(const PlatformReplica&) = delete;

  void SetMode(ReplicaMode mode) { mode_ = mode; }
  // Requests that ran here, by id.
  std::vector<std::string> Runs() const;
  const std::string& id() const { return id_; }
  nlohmann::json Heartbeat(const std::string& state);

 private:
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void Stream(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              bool broken);

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

// Three zones in three regions, each with a control host and a gateway.
class PlatformDeployment {
 public:
  PlatformDeployment();
  ~PlatformDeployment();
  PlatformDeployment(const PlatformDeployment&) = delete;
  PlatformDeployment& operator=(const PlatformDeployment&) = delete;

  static const std::vector<std::string>& Zones();  // este-a, centro-a, norte-a
  static std::string RegionOf(const std::string& zone);

  // A replica of the service "model" or "portal" whose heartbeats go on until it is removed.
  PlatformReplica* AddReplica(const std::string& service, const std::string& zone);
  // The replica says that it leaves and sends no more heartbeats. Returns the status.
  int Drain(PlatformReplica* replica);

  // Calls to a control host; 0 when it did not answer.
  TestResponse Control(int host, const std::string& method, const std::string& path,
                       const std::string& body = "");
  // The same to all control hosts in turn until one answers with less than 500.
  TestResponse ControlAny(const std::string& method, const std::string& path,
                          const std::string& body = "");
  TestResponse Resolve(int host, const std::string& zone);

  // A request to the gateway of the zone.
  TestResponse Request(const std::string& zone, const std::string& method, const std::string& path,
                       const std::string& request_id,
                       const std::vector<std::pair<std::string, std::string>>& headers = {});

  // A configuration with routes /stream/, /check/ (not resumable, homes este and centro), /post/
  // (unsafe) and /look/ (safe).
  static nlohmann::json Configuration(int version);
  void PutConfiguration(const nlohmann::json& configuration);

  void KillControl(int host);
  void StartControl(int host, bool bootstrap);
  void WipeControl(int host);

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
  std::map<PlatformReplica*, std::string> heartbeats_;  // replica and its next address
  std::vector<std::unique_ptr<PlatformReplica>> replicas_;
  std::atomic<bool> stopping_{false};
  std::thread heart_;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_PLATFORM_DEPLOYMENT_H_
