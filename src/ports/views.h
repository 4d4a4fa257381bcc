#ifndef EBONYLIFT_PORTS_VIEWS_H_
#define EBONYLIFT_PORTS_VIEWS_H_

// Immutable snapshots of the deployment that the control thread publishes to the traffic threads.
//
// A RoutingView and everything it refers to never changes after publication, so any thread may read
// it without a lock. Memory: one view holds the servers of this host's failure domain or region (at
// most 4,096, see ServerScope) and one DomainSummary for each failure domain and each model or
// service.

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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

// Returns "interactive", "check" or "chapter".
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

// How the requests of a team for one model or service are served.
struct RouteConfig {
  TeamId team;
  RouteId id;
  ServerKind kind = ServerKind::kModel;
  ModelId model;                  // kModel: the model name in the requests of callers
  std::string adapter;            // empty: any
  std::string version;            // empty: any
  std::string service;            // kService: the service name
  std::vector<RegionId> regions;  // where the data of requests may go; never empty
  RegionId home;                  // one of `regions`; its hosts keep the idempotency records
  TrafficClass traffic_class = TrafficClass::kInteractive;
  bool idempotent = true;
  bool key_from_body = false;  // derives an idempotency key from the body when none is given
  Duration deadline = seconds(60);
  bool send_away = true;          // requests may run outside the region of the entry host
  double weight_latency = 1.0;    // cost of one second of waiting
  double weight_cost = 1.0;       // cost of one second of backend server time
  double weight_remote = 1.0;     // cost of sending a request to another region
  int max_attempts = 0;           // most backend servers tried per request; 0: kMaxAttempts
  bool resumable = false;         // a broken stream may be resumed at another backend server
  Duration first_byte_target{0};  // target for the time to the first byte; 0: none
  int rank = 0;                   // priority; 0 is the most urgent
  bool open = false;              // callers need no key of a workspace
  Duration max_event_gap{0};      // longest acceptable pause between two events; 0: none
  bool hedge = true;              // may be hedged, if the deployment hedges requests
};

struct TeamLimits {
  double requests_per_s = 0;  // 0: no limit; split evenly among the live entry hosts of a region
  int concurrency = 0;        // 0: no limit
  int retry_percent = 10;     // retries allowed per 100 requests
};

struct TeamConfig {
  TeamId id;
  std::vector<RegionId> regions;  // data residency: the regions its data may be in; never empty
  TeamLimits limits;
  std::map<RouteId, RouteConfig> routes;
};

enum class LimitUnit { kRequests, kTokens };

// What a workspace may use over all hosts together: at most per_s x T + burst in any time T.
struct WorkspaceLimit {
  double per_s = 0;  // 0: no limit
  double burst = 0;
  LimitUnit unit = LimitUnit::kRequests;
  double plain_cost = 1;  // of a request without token counts, with LimitUnit::kTokens
};

// An organisation that shares the routes matched by host and path with others. Its callers are
// identified by keys.
struct WorkspaceConfig {
  WorkspaceId id;
  std::vector<RegionId> regions;  // where the data of its requests may go; never empty
  std::optional<int> rank;        // goes before the rank of the route; 0 if it has none
  WorkspaceLimit limit;
};

// How urgent a request is: the rank of its workspace goes before that of its route. Lower ones are
// more urgent.
struct RequestRank {
  int workspace = 0;
  int route = 0;
  friend bool operator==(const RequestRank& a, const RequestRank& b) {
    return std::tie(a.workspace, a.route) == std::tie(b.workspace, b.route);
  }
  friend bool operator<(const RequestRank& a, const RequestRank& b) {
    return std::tie(a.workspace, a.route) < std::tie(b.workspace, b.route);
  }
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
  // Record hosts accept keys of previous owners at once instead of after the retention time.
  bool takeover = false;
};

// The desired state of a model. In each failure domain the host that holds the orderer lease sends
// the servers the orders that bring them to this state; see core/orders.h.
struct DesiredModel {
  uint64_t revision = 0;  // of the configuration path; part of each order id
  std::string version;
  std::vector<std::string> adapters;
  int min_available_percent = 75;  // percentage of the servers that must stay available
  int max_loading = 1;             // most servers that may load at the same time
};

// The newest lease that entitles a host to send orders to the servers of a failure domain. Its
// revision is the fencing token of the orders.
struct OrdererEntry {
  uint64_t revision = 0;
  HostId host;
  Duration lease{0};
};

// How much extra work hedged requests may cause; see core/hedging.h.
struct HedgingConfig {
  int max_request_percent = 0;  // hedges per 100 requests; 0: requests are not hedged
  int max_token_percent = 0;    // prompt tokens of hedges per 100 prompt tokens of requests
};

struct ConfigView {
  uint64_t revision = 0;
  // The views of different revisions share the teams and keys that are equal in both.
  SharedMap<TeamId, TeamConfig> teams;
  SharedMap<std::string, TeamId> keys;  // SHA-256 of an API key to its team
  std::map<RegionId, RegionConfig> regions;
  std::vector<OperatorConfig> operators;
  std::map<ModelId, DesiredModel> models;
  std::map<DomainId, OrdererEntry> orderers;
  // Routes that are matched by host name and path; null when there are none. Their RouteConfigs
  // belong to the team kIngressTeam.
  std::shared_ptr<const IngressConfig> ingress;
  std::set<DomainId> evacuated;          // failure domains whose backend servers get no new work
  std::optional<HedgingConfig> hedging;  // nullopt: the settings of each host decide
};

// ---- backend servers
// -----------------------------------------------------------------------------

// A model that a backend server has loaded.
struct ServedModel {
  ModelId name;
  std::vector<std::string> adapters;
  std::string version;
  friend bool operator==(const ServedModel& a, const ServedModel& b) {
    return std::tie(a.name, a.adapters, a.version) == std::tie(b.name, b.adapters, b.version);
  }
};

// A load report of a backend server.
struct ServerLoad {
  uint64_t seq = 0;  // increases with each report of one incarnation
  int running = 0;
  int waiting = 0;
  int slots = 1;  // requests that can run at the same time (the batch size)
  int64_t prefill_tokens_waiting = 0;
  friend bool operator==(const ServerLoad& a, const ServerLoad& b) {
    return std::tie(a.seq, a.running, a.waiting, a.slots, a.prefill_tokens_waiting) ==
           std::tie(b.seq, b.running, b.waiting, b.slots, b.prefill_tokens_waiting);
  }
};

// A capability that marks a server whose announcements contain no load. Hosts then estimate its
// load from the requests that they sent to it.
inline constexpr char kNoLoadReports[] = "no_load_reports";

// A backend server's description of itself; the body of POST /v1/backend-servers/announce.
struct Announcement {
  ServerId id;
  uint64_t incarnation = 0;  // increases with each restart of the server
  uint64_t seq = 0;          // increases with each announcement of one incarnation (`load.seq`)
  ServerKind kind = ServerKind::kModel;
  DomainId domain;
  RegionId region;
  std::string address;  // host:port
  std::vector<ServedModel> models;
  std::vector<std::string> services;
  // Of its software, not of the models' weights; empty: unknown. Versions have no order.
  std::string software_version;
  std::string role;
  std::vector<std::string> capabilities;  // resume, cancel, kv_export, kv_import, priorities
  bool checks_fencing = false;            // rejects orders with an outdated fencing token
  Duration ttl = milliseconds(2000);      // time to live of this announcement
  bool leaving = false;                   // accepts no new work
  Duration cold_for{0};  // remaining time in which the server is slow because it just started
  ServerLoad load;
};

// Which backend servers a host sends requests to directly: those of its failure domain or those of
// its region. Requests for other servers are forwarded to a host that reaches them directly.
enum class ServerScope { kDomain, kRegion };

// The limit that a backend server named, or withdrew, in an answer.
struct RequestLimit {
  double per_s = 0;  // requests per second from all hosts together; 0: no limit
  Time seen_at;      // when the answer arrived, by this host's clock; Time(): it never named one
};

// What a host, or several together, learned of the speed of a server from its answers; see
// core/server_speed.h. Factors are relative to the mean of the servers of the model.
struct ObservedSpeed {
  double factor = 1;        // over tens of seconds
  double weight = 0;        // of `factor`, in samples; 0: nothing is known
  double recent = 1;        // over the last few pieces of answers, relative to `factor`
  uint8_t incarnation = 0;  // see IncarnationTag()
};

// A live backend server as this host knows it.
struct BackendServer {
  Announcement announced;
  Time first_seen;   // start of this incarnation as seen by this host; slow start begins here
  Time reported_at;  // when the newest announcement was sent, by this host's clock
  Time expires_at;   // the server gets no new work from this time on
  // Requests that other hosts have at this server, by their latest reports.
  int other_hosts_requests = 0;
  // Prompt tokens of these requests that are still to be prefilled.
  int64_t other_hosts_prefill_tokens = 0;
  // The newest limit that one of them saw.
  RequestLimit other_hosts_limit;
  // What they know of its speed, merged, and when this host heard of it.
  std::optional<ObservedSpeed> other_hosts_speed;
  Time other_hosts_speed_at;
};

// ---- hosts
// ---------------------------------------------------------------------------------------

enum class HostStatus { kAlive, kSuspect, kFailed, kLeaving };

// A host in the membership.
struct HostEntry {
  HostId id;
  RegionId region;
  DomainId domain;
  std::string http_address;  // host:port, as this host reaches it
  uint64_t incarnation = 0;
  HostStatus status = HostStatus::kAlive;
  bool overloaded = false;  // or without a path to its servers; see ControlPort::SetOverloaded()
  bool has_disk = false;
  // Learned by gossip for hosts that are not configured as peers; empty for configured peers.
  std::string rpc_address;
  std::string caller_address;    // empty: callers do not use this host
  std::string operator_address;  // empty: operators do not use this host
};

// Returns false for hosts that have time for the duties of a deployment, because callers do not use
// them; they also survive what ends all hosts that callers use.
inline bool TakesCallers(const HostEntry& host) { return !host.caller_address.empty(); }

// Capacity and load of one model or service in one failure domain, published to the other failure
// domains.
struct DomainSummary {
  DomainId domain;
  RegionId region;
  std::string served;  // model or service name
  uint64_t version = 0;
  int servers = 0;
  int slots = 0;
  int running = 0;
  int waiting = 0;
  int64_t prefill_tokens = 0;                  // prompt tokens that are still to be prefilled
  std::vector<std::string> software_versions;  // of the servers, sorted; empty: unknown
  Time reported_at;                            // by this host's clock
};

// A limit that a host saw a backend server name, or withdraw.
struct ObservedLimit {
  double per_s = 0;  // 0: withdrawn
  Duration age{0};   // since the answer that showed it
};

// The requests that one host has at a backend server, and the limit and speed that it saw there.
struct ServerWork {
  ServerId server;
  int in_flight = 0;
  int64_t prefill_tokens = 0;          // prompt tokens that are still to be prefilled
  std::optional<ObservedLimit> limit;  // nullopt: the host saw none
  // nullopt: the host knows none that differs from the mean.
  std::optional<ObservedSpeed> speed = std::nullopt;
};

enum class RoomState { kUnknown, kFull, kHasRoom };

// What a host saw in an answer of a brittle backend server, for the other hosts that send to it.
struct RoomReport {
  ServerId server;
  uint64_t incarnation = 0;
  std::optional<double> max_rejections_per_s;  // nullopt: the server is brittle no longer
  RoomState room = RoomState::kUnknown;
};

// Whose work a list has; see core/work_exchange.h.
enum class WorkListKind {
  kOwn,           // the sender's, for a host that shares servers with it
  kForCollector,  // the sender's, for the host that collects for it
  kCollected,     // that of all hosts that the sender collects for
  kOfOthers,      // that of all hosts but the receiver
};

// The servers that may continue a stream.
struct StreamOrigin {
  std::string service;
  std::string software_version;  // never empty
  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return std::tie(a.service, a.software_version) == std::tie(b.service, b.software_version);
  }
};

// A stream, identified by StreamKey() in core/stream_origins.h, and its origin.
struct StreamRecord {
  uint64_t stream = 0;
  StreamOrigin origin;
};

// What the hosts that were asked for the origin of a stream know.
struct StreamSearch {
  std::optional<StreamOrigin> origin;
  bool all_answered = false;  // and at least one was asked
};

// The software versions that hosts have lately known of the servers of a service or model.
struct VersionSearch {
  std::set<std::string> versions;
  std::vector<HostId> answered;
};

// A host and its location.
struct Identity {
  HostId host;
  RegionId region;
  DomainId domain;
};

// True when the host `self` sends requests directly to a backend server in `domain` and `region`.
inline bool InScope(const Identity& self, ServerScope scope, const DomainId& domain,
                    const RegionId& region) {
  return region == self.region && (scope == ServerScope::kRegion || domain == self.domain);
}

// Everything that routing a request needs to know about the deployment.
struct RoutingView {
  Identity self;
  std::shared_ptr<const ConfigView> config;  // never null; revision 0 until a configuration arrives
  std::vector<BackendServer> servers;        // those within `server_scope`, sorted by id
  std::vector<HostEntry> hosts;              // all known hosts including this one, sorted by id
  std::vector<DomainSummary> summaries;      // of all failure domains including this host's
  ServerScope server_scope = ServerScope::kDomain;
  // When the other hosts had the work that `servers` shows, on average; Time(): no lists are
  // exchanged.
  Time work_known_at;
  // The voters have accepted this host's disk; see ConfigReplica::DiskConfirmed().
  bool disk_confirmed = false;
  // When this host stops accepting the keys of workspaces unless it hears from the control hosts;
  // see core/control_contact.h.
  Time keys_valid_until = Time::max();
  // Since the process started, peers have reported that they know this voter with another disk.
  bool disk_was_lost = false;
};

// Both return null when the view has no such server or host. The pointer is valid as long as the
// view. Thread safe.
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
