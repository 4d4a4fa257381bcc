#ifndef EBONYLIFT_PORTS_VIEWS_H_
#define EBONYLIFT_PORTS_VIEWS_H_

// Immutable snapshots that the control thread publishes to the traffic threads.
//
// A RoutingView and everything it refers to is never changed after publication, so any thread may
// read it without a lock. Memory: one view holds the servers of the own failure domain only (at
// most 4,096) and one summary row for each failure domain and model.

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/shared_map.h"
#include "base/time.h"

namespace ebonylift {

struct IngressConfig;  // core/ingress.h

enum class TrafficClass { kInteractive, kCheck, kChapter };
enum class ServerKind { kModel, kService };

// "interactive", "check" or "chapter".
inline const char* TrafficClassName(TrafficClass traffic_class) {
  switch (traffic_class) {
    case TrafficClass::kInteractive:
      return "interactive";
    case TrafficClass::kCheck:
      return "check";
    case TrafficClass::kChapter:
      return "chapter";
  }
  return "interactive";
}

// ---- configuration
// -------------------------------------------------------------------------------

struct RouteConfig {
  TeamId team;
  RouteId id;
  ServerKind kind = ServerKind::kModel;
  ModelId model;                  // kModel: the model name that callers send
  std::string adapter;            // empty: any
  std::string version;            // empty: any
  std::string service;            // kService: the service name
  std::vector<RegionId> regions;  // where the data may go; never empty
  RegionId home;                  // one of `regions`; owns the idempotency records
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  bool key_from_body = false;  // derive an idempotency key from the body when none is given
  Duration deadline = seconds(60);
  bool send_away = true;          // may run outside the region of the entry host
  double weight_latency = 1.0;    // cost of one second of waiting
  double weight_cost = 1.0;       // cost of one second of backend server time
  double weight_remote = 1.0;     // cost of being sent to another region
  int max_attempts = 0;           // backend servers that one request may reach; 0: kMaxAttempts
  bool resumable = false;         // a broken stream may go on at another backend server
  Duration first_byte_target{0};  // the answer starts within this time; 0: no target
  int rank = 0;                   // 0 is the most urgent
};

struct TeamLimits {
  double requests_per_s = 0;  // 0: no limit; shared evenly by the live entry hosts of a region
  int concurrency = 0;        // 0: no limit
  int retry_percent = 10;     // retries allowed per 100 requests
};

struct TeamConfig {
  TeamId id;
  std::vector<RegionId> regions;  // residency; never empty
  TeamLimits limits;
  std::map<RouteId, RouteConfig> routes;
};

struct OperatorConfig {
  std::string name;
  std::string token_sha256;
  std::vector<std::string> subtrees;  // path prefixes the operator may change
};

struct RegionConfig {
  RegionId id;
  std::vector<DomainId> domains;
  std::vector<HostId> record_hosts;
  bool takeover = false;  // new record hosts need not wait for the retention of the previous owners
};

// The desired state of a model; the orderer of each failure domain brings the servers to it.
struct DesiredModel {
  uint64_t revision = 0;  // of the configuration path; part of the order ids
  std::string version;
  std::vector<std::string> adapters;
  int min_available_percent = 75;
  int max_loading = 1;
};

// The newest lease on sending orders in a failure domain. The revision is the fencing token.
struct OrdererEntry {
  uint64_t revision = 0;
  HostId host;
  Duration lease{0};
};

struct ConfigView {
  uint64_t revision = 0;
  // Views of two revisions share the teams and keys that did not change.
  SharedMap<TeamId, TeamConfig> teams;
  SharedMap<std::string, TeamId> keys;  // SHA-256 of a key to its team
  std::map<RegionId, RegionConfig> regions;
  std::vector<OperatorConfig> operators;
  std::map<ModelId, DesiredModel> models;
  std::map<DomainId, OrdererEntry> orderers;
  // Routes by host name and path; null when there are none. Their RouteConfigs are those of the
  // team kIngressTeam.
  std::shared_ptr<const IngressConfig> ingress;
  std::set<DomainId> evacuated;  // no new work for the backend servers of these failure domains
};

// ---- backend servers
// -----------------------------------------------------------------------------

struct ServedModel {
  ModelId name;
  std::vector<std::string> adapters;
  std::string version;
  friend bool operator==(const ServedModel& a, const ServedModel& b) {
    return std::tie(a.name, a.adapters, a.version) == std::tie(b.name, b.adapters, b.version);
  }
};

struct ServerLoad {
  uint64_t seq = 0;  // grows with each report of one incarnation
  int running = 0;
  int waiting = 0;
  int slots = 1;  // requests that one batch holds
  int64_t prefill_tokens_waiting = 0;
  friend bool operator==(const ServerLoad& a, const ServerLoad& b) {
    return std::tie(a.seq, a.running, a.waiting, a.slots, a.prefill_tokens_waiting) ==
           std::tie(b.seq, b.running, b.waiting, b.slots, b.prefill_tokens_waiting);
  }
};

// A capability: the announcements carry no load, so hosts go by what they sent.
inline constexpr char kNoLoadReports[] = "no_load_reports";

// What a backend server says of itself; the body of POST /v1/backend-servers/announce.
struct Announcement {
  ServerId id;
  uint64_t incarnation = 0;  // larger after each restart of the server
  uint64_t seq = 0;          // grows with each announcement of one incarnation (`load.seq`)
  ServerKind kind = ServerKind::kModel;
  DomainId domain;
  RegionId region;
  std::string address;  // host:port
  std::vector<ServedModel> models;
  std::vector<std::string> services;
  std::string role;
  std::vector<std::string> capabilities;  // resume, cancel, kv_export, kv_import, priorities
  bool checks_fencing = false;
  Duration ttl = milliseconds(2000);
  bool leaving = false;
  Duration cold_for{0};  // how long the server stays slow after its start, from the announcement on
  ServerLoad load;
};

// Which backend servers a host sends work to itself; the others are reached through a host there.
enum class ServerScope { kDomain, kRegion };

struct BackendServer {
  Announcement announced;
  Time first_seen;   // of this incarnation; slow start counts from here
  Time reported_at;  // when the newest announcement was sent, by this host's clock
  Time expires_at;   // no new work from this time on
  // Work that other hosts have there, as they said last.
  int elsewhere = 0;
  int64_t elsewhere_tokens = 0;  // of prompts that are not read yet
};

// ---- hosts
// ---------------------------------------------------------------------------------------

enum class HostStatus { kAlive, kSuspect, kFailed, kLeaving };

struct HostEntry {
  HostId id;
  RegionId region;
  DomainId domain;
  std::string http_address;  // host:port, as this host reaches it
  uint64_t incarnation = 0;
  HostStatus status = HostStatus::kAlive;
  bool overloaded = false;
  bool has_disk = false;
  // Known of hosts that were found by gossip; empty for configured peers.
  std::string rpc_address;
  std::string caller_address;    // empty: callers do not use this host
  std::string operator_address;  // empty: operators do not use this host
};

// What one failure domain can run of one model or service, told to the other failure domains.
struct DomainSummary {
  DomainId domain;
  RegionId region;
  std::string served;  // model or service name
  uint64_t version = 0;
  int servers = 0;
  int slots = 0;
  int running = 0;
  int waiting = 0;
  int64_t prefill_tokens = 0;  // of prompts that are not read yet
  Time reported_at;            // by this host's clock
};

// Work that one host has at a backend server.
struct ServerWork {
  ServerId server;
  int in_flight = 0;
  int64_t prefill_tokens = 0;  // of prompts that are not read yet
};

struct Identity {
  HostId host;
  RegionId region;
  DomainId domain;
};

// True when a host at `self` sends work to a backend server at this place itself.
inline bool InScope(const Identity& self, ServerScope scope, const DomainId& domain,
                    const RegionId& region) {
  return region == self.region && (scope == ServerScope::kRegion || domain == self.domain);
}

struct RoutingView {
  Identity self;
  std::shared_ptr<const ConfigView> config;  // never null; revision 0 before the first one arrives
  std::vector<BackendServer> servers;        // of the own failure domain or region, by id
  std::vector<HostEntry> hosts;              // all known hosts, this one included, by id
  std::vector<DomainSummary> summaries;      // all failure domains, the own one included
  ServerScope server_scope = ServerScope::kDomain;
  bool disk_confirmed = false;  // the peers know this host's disk; see ConfigReplica
  bool disk_was_lost = false;  // peers know this voter with another disk, since the process started
};

// Null when the view has none. The pointer is valid as long as the view. Thread safe.
inline const BackendServer* FindServer(const RoutingView& view, const ServerId& id) {
  auto found = std::lower_bound(
      view.servers.begin(), view.servers.end(), id,
      [](const BackendServer& server, const ServerId& key) { return server.announced.id < key; });
  if (found == view.servers.end() || found->announced.id != id) return nullptr;
  return &*found;
}
inline const HostEntry* FindHost(const RoutingView& view, const HostId& id) {
  for (const HostEntry& host : view.hosts) {
    if (host.id == id) return &host;
  }
  return nullptr;
}

}  // namespace ebonylift

#endif  // EBONYLIFT_PORTS_VIEWS_H_
