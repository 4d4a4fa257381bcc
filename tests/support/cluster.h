#ifndef EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_
#define EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_

// A test deployment of real processes on loopback addresses: daemons, simulated backend servers
// (engines, which serve a model, and plain services), the client directory, and a fault-injecting
// proxy between them. Not thread safe, but any thread may send requests to the addresses.
//
// All traffic between two hosts, from clients to a host, and between a host and a backend server
// goes through a named link of the proxy, <from>><to>, where <from> opens the connections:
//   <host>><host>/peer, <host>><host>/http   from one daemon to another
//   client><host>                            from clients to a host
//   <domain>><server>                        from the hosts of a failure domain to a backend server
//   servers-<domain>><host>                  announcements of the domain's servers to a host

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
  int disk_hosts = 1;  // how many hosts, from the first, have a data directory; these are voters
                       // and record hosts of the region
  int engines = 1;
  int services = 0;
};

struct RouteSpec {
  std::string id;
  nlohmann::json value;
};

struct TeamSpec {
  std::string id;
  std::string key;  // bearer token that clients send
  std::vector<std::string> regions;
  nlohmann::json limits = nlohmann::json::object();  // empty: no limits are configured
  std::vector<RouteSpec> routes;
};

struct ClusterSpec {
  std::vector<DomainSpec> domains;
  std::vector<TeamSpec> teams;
  std::string model = "summary";
  std::string model_version = "1";
  std::string service = "logbook";
  // One-way network delays. Hosts of the same failure domain have none between them.
  Duration same_region_delay = milliseconds(1);  // between failure domains of one region
  Duration between_regions_delay = milliseconds(55);
  Duration client_delay = milliseconds(3);     // between a client and a host
  Duration server_delay = milliseconds(1);     // between a host and a backend server
  std::vector<std::string> engine_arguments;   // extra command-line arguments of each engine
  std::vector<std::string> service_arguments;  // the same for each plain service
  std::vector<std::string> daemon_arguments;   // the same for each daemon
};

// 3 regions with one failure domain each and the default network delays of ClusterSpec; 6 entry
// hosts, 18 engines and 3 plain services in all. This is the deployment of the user Rocha.
ClusterSpec ThreeRegionWanSpec();
// The deployment of the user Punjab: 3 regions with one failure domain each; 6 entry hosts, 9
// engines and 3 plain services in all.
ClusterSpec PunjabSpec();
// One region with one failure domain and one plain service, without network delays.
ClusterSpec SmallSpec(int hosts, int engines);

struct HostHandle {
  std::string id;
  std::string region;
  std::string domain;
  bool disk = false;
  std::string http_address;    // the daemon's own, not through the proxy
  std::string peer_address;    // the daemon's own, not through the proxy
  std::string client_address;  // through the proxy link that clients use
  std::vector<std::string> arguments;
  std::string log_file;
  std::string data_dir;  // empty for a host without a disk
  std::optional<Process> process;
};

struct ServerHandle {
  std::string id;
  std::string region;
  std::string domain;
  bool service = false;  // a plain service; false: an engine
  std::string address;   // the server's own, not through the proxy
  std::string control;   // address of the /standin/* endpoints, which injected faults don't affect
  std::string record_file;  // log of the requests that the server ran; survives SIGKILL
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

  // Starts all processes, writes the configuration and waits until every host answers a request of
  // the first team (user "cluster-probe", one token). Throws std::runtime_error, which names the
  // directory of the log files, when one of these steps takes longer than `timeout`.
  void Start(Duration timeout = seconds(30));

  // Starts the processes without writing a configuration. Returns when /healthz of each daemon and
  // /standin/state of each simulated process answer.
  void StartProcesses(Duration timeout = seconds(15));
  // Writes the regions of the deployment and the settings of all teams.
  void PutConfiguration(Duration timeout = seconds(15));
  // Waits until every host has applied the newest revision that PutConfig() wrote.
  void WaitSameRevision(Duration timeout);
  // Calls WaitSameRevision() and then waits until every host answers a request of the first team.
  void WaitServing(Duration timeout = seconds(15));

  // Writes a configuration value with the operator token through `host` (empty: the host with
  // the lowest id). On any status other than 200 or 4xx, repeats the write with the same request
  // id, as after a refusal that says not_run. Throws std::runtime_error on a 4xx, or when the write
  // is not accepted within `timeout`.
  void PutConfig(const std::string& path, const nlohmann::json& value, uint64_t base_revision = 0,
                 const std::string& host = "", Duration timeout = seconds(10));

  // The revision in which a path was last written, to be passed as `base_revision`. Throws
  // std::runtime_error when the path does not exist.
  uint64_t RevisionOf(const std::string& path) const;

  std::vector<std::string> HostIds() const;
  std::vector<std::string> ServerIds() const;
  HostHandle& host(const std::string& id);
  ServerHandle& server(const std::string& id);
  const ClusterSpec& spec() const { return spec_; }

  // Kill*() sends SIGKILL. Restart*() does so too, starts the process again with the same addresses
  // and data directory, and returns when it listens. A restarted server has a new incarnation. The
  // links to a killed process refuse connections, as the kernel of its machine would.
  void KillHost(const std::string& id);
  void RestartHost(const std::string& id);
  // Like RestartHost(), but does not wait and leaves the links refusing connections: for a host
  // that is expected to exit at startup.
  void LaunchHost(const std::string& id);
  void KillServer(const std::string& id);
  void RestartServer(const std::string& id);

  // Injects faults into a backend server; see testing/faults.h for the fields.
  void SetServerFaults(const std::string& id, const nlohmann::json& faults);

  // Sets faults of all links whose names match the shell pattern; see testing/proxy_link.h for the
  // fields. ResetLinks() resets the open connections of these links.
  void SetLinks(const std::string& pattern, const nlohmann::json& faults);
  void ResetLinks(const std::string& pattern);

  // Partition() starts a network partition between the hosts that match the two patterns: no data
  // arrives and no connection is closed or reset. Heal() ends it; data sent meanwhile then arrives,
  // as TCP would retransmit it.
  void Partition(const std::string& hosts_a, const std::string& hosts_b);
  // Like Partition(), but only for data that hosts matching `from` send to hosts matching `to`.
  void PartitionOneWay(const std::string& from, const std::string& to);
  void Heal(const std::string& hosts_a, const std::string& hosts_b);
  // Partitions the hosts of a failure domain from those of all others; its clients and backend
  // servers still reach them.
  void PartitionDomain(const std::string& domain);
  void HealDomain(const std::string& domain);

  // The requests that all backend servers ran, read from their record files: one entry per run,
  // with its newest state. The probe requests of WaitServing() are left out.
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
  void SetLinksToRefuse(const std::string& id, bool refuse);
  void PostProxy(const std::string& path, const nlohmann::json& body) const;
  void SetLinksBetween(const std::string& a, const std::string& b, const nlohmann::json& a_to_b,
                       const nlohmann::json& b_to_a);
  // Throws std::runtime_error with `what` and the directory of the log files.
  [[noreturn]] void Fail(const std::string& what) const;

  ClusterSpec spec_;
  TempDir dir_;
  std::string cluster_key_;
  std::string platform_token_;
  uint64_t revision_ = 0;  // of the newest accepted write
  std::string operator_token_;
  std::string directory_address_;
  std::string proxy_address_;
  nlohmann::json links_ = nlohmann::json::array();
  std::map<std::string, std::string> link_addresses_;  // listening address by link name
  std::map<std::string, HostHandle> hosts_;
  std::map<std::string, ServerHandle> servers_;
  std::optional<Process> directory_;
  std::optional<Process> proxy_;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_CLUSTER_H_
