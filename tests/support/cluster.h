#ifndef EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_
#define EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_

// A deployment of real processes on loopback: daemons, engines, plain services, the client
// directory and the fault-injecting proxy between them. Not thread safe, but calls to the addresses
// may come from any thread.
//
// Every pair of hosts, every way from callers to a host and between a host and a backend server
// goes through a link of the proxy:
//   <host>><host>/peer, <host>><host>/http   between daemons, by the connecting host
//   client><host>                            callers
//   <domain>><server>                        hosts of the failure domain to a backend server
//   servers-<domain>><host>                  announcements

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "tests/support/process.h"
#include "tests/support/test_client.h"

namespace ebonylift::test {

struct DomainSpec {
  std::string id;
  std::string region;
  int hosts = 1;
  int disk_hosts = 1;  // the first ones; they are voters and record hosts of the region
  int engines = 1;
  int services = 0;
};

struct RouteSpec {
  std::string id;
  nlohmann::json value;
};

struct TeamSpec {
  std::string id;
  std::string key;  // as callers send it
  std::vector<std::string> regions;
  nlohmann::json limits = nlohmann::json::object();  // empty: not put
  std::vector<RouteSpec> routes;
};

struct ClusterSpec {
  std::vector<DomainSpec> domains;
  std::vector<TeamSpec> teams;
  std::string model = "summary";
  std::string model_version = "1";
  std::string service = "logbook";
  Duration same_region_delay = milliseconds(1);  // one way, between failure domains
  Duration between_regions_delay = milliseconds(55);
  Duration client_delay = milliseconds(3);
  Duration server_delay = milliseconds(1);     // between a host and a backend server
  std::vector<std::string> engine_arguments;   // added to each engine
  std::vector<std::string> service_arguments;  // added to each plain service
  std::vector<std::string> daemon_arguments;   // added to each daemon
};

// Rocha's deployment: 3 regions of one failure domain, 6 entry hosts, 18 engines, 3 services.
ClusterSpec RochaSpec();
// Punjab's deployment: 3 regions, 6 entry hosts, 9 engines, 3 services.
ClusterSpec PunjabSpec();
// One region, one failure domain, without delays.
ClusterSpec SmallSpec(int hosts, int engines);

struct HostHandle {
  std::string id;
  std::string region;
  std::string domain;
  bool disk = false;
  std::string http_address;    // direct, without the proxy
  std::string peer_address;    // direct
  std::string client_address;  // as callers reach it
  std::vector<std::string> arguments;
  std::string log_file;
  std::string data_dir;  // empty without a disk
  std::optional<Process> process;
};

struct ServerHandle {
  std::string id;
  std::string region;
  std::string domain;
  bool service = false;
  std::string address;      // direct
  std::string control;      // /standin/* that faults do not touch
  std::string record_file;  // outlives a kill
  std::vector<std::string> arguments;
  std::string log_file;
  std::optional<Process> process;
};

class Cluster {
 public:
  explicit Cluster(ClusterSpec spec);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts all processes, puts the configuration and waits until every host answers a request of
  // the first team (user "cluster-probe", one token). Throws std::runtime_error with the place of
  // the logs when that takes longer than `timeout`.
  void Start(Duration timeout = seconds(30));

  // Starts the processes without configuration and returns when /healthz answers everywhere.
  void StartProcesses(Duration timeout = seconds(15));
  void PutConfiguration(Duration timeout = seconds(15));
  void WaitSameRevision(Duration timeout);
  void WaitServing(Duration timeout = seconds(15));

  // A change by the root operator through `host`. Throws std::runtime_error when it is not accepted
  // within `timeout`; refusals that say not_run are repeated with the same request id.
  void PutConfig(const std::string& path, const nlohmann::json& value, uint64_t base_revision = 0,
                 const std::string& host = "", Duration timeout = seconds(10));

  // The revision of a path, for `base_revision`. Throws std::runtime_error when there is none.
  uint64_t RevisionOf(const std::string& path) const;

  std::vector<std::string> HostIds() const;
  std::vector<std::string> ServerIds() const;
  HostHandle& host(const std::string& id);
  ServerHandle& server(const std::string& id);
  const ClusterSpec& spec() const { return spec_; }

  // SIGKILL, and start again with the same addresses and data directory; a restart returns when the
  // process listens. A restarted server has a new incarnation. The links to a killed process refuse
  // connections, as the kernel of its machine would.
  void KillHost(const std::string& id);
  void RestartHost(const std::string& id);
  // The same without waiting: for a host that is expected to refuse to start.
  void LaunchHost(const std::string& id);
  void KillServer(const std::string& id);
  void RestartServer(const std::string& id);

  // Sets fault switches of a backend server (testing/faults.h).
  void SetServerFaults(const std::string& id, const nlohmann::json& faults);

  // Sets faults of all links whose names match the shell pattern (testing/proxy_link.h).
  void SetLinks(const std::string& pattern, const nlohmann::json& faults);
  void ResetLinks(const std::string& pattern);

  // A silent partition between the hosts that match the two patterns, and its end.
  void Cut(const std::string& hosts_a, const std::string& hosts_b);
  // Loses what the hosts of `from` send to the hosts of `to`; the other way stays open.
  void CutOneWay(const std::string& from, const std::string& to);
  void Heal(const std::string& hosts_a, const std::string& hosts_b);
  // Cuts a failure domain from all others; its callers and backend servers still reach it.
  void CutDomain(const std::string& domain);
  void HealDomain(const std::string& domain);

  // What all backend servers ran, from their record files, one entry per run in its newest state,
  // without the probes of WaitServing().
  std::vector<nlohmann::json> Records() const;

  const std::string& directory_address() const { return directory_address_; }
  const std::string& proxy_address() const { return proxy_address_; }
  const std::string& operator_token() const { return operator_token_; }
  const std::string& path() const { return dir_.path(); }

 private:
  void Plan();
  void PlanDomain(const DomainSpec& domain);
  void PlanServers(const DomainSpec& domain, bool service, int count);
  void PlanLinks();
  std::string AddLink(const std::string& name, const std::string& target, Duration delay);
  Duration DelayBetween(const HostHandle& a, const HostHandle& b) const;
  std::vector<std::string> HostArguments(const HostHandle& host) const;
  std::string PeersOf(const HostHandle& host) const;
  Process Launch(const std::string& binary, const std::vector<std::string>& arguments,
                 const std::string& log_file) const;
  void StartHost(HostHandle& host);
  void StartServer(ServerHandle& server);
  void RefuseLinksTo(const std::string& id, bool refuse);
  void PostProxy(const std::string& path, const nlohmann::json& body) const;
  void SetBetween(const std::string& a, const std::string& b, const nlohmann::json& a_to_b,
                  const nlohmann::json& b_to_a);
  [[noreturn]] void Fail(const std::string& what) const;

  ClusterSpec spec_;
  TempDir dir_;
  std::string cluster_key_;
  std::string platform_token_;
  uint64_t newest_ = 0;  // revision of the newest accepted put
  std::string operator_token_;
  std::string directory_address_;
  std::string proxy_address_;
  nlohmann::json links_ = nlohmann::json::array();
  std::map<std::string, std::string> link_addresses_;  // by link name
  std::map<std::string, HostHandle> hosts_;
  std::map<std::string, ServerHandle> servers_;
  std::optional<Process> directory_;
  std::optional<Process> proxy_;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_
