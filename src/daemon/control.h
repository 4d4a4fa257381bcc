#ifndef EBONYLIFT_DAEMON_CONTROL_H_
#define EBONYLIFT_DAEMON_CONTROL_H_

// The control thread of a daemon.
//
// StartControl() starts one thread, which owns the host membership, the registry of backend
// servers, the configuration replica and the connections to the other daemons. It returns the
// ControlPort through which the traffic threads use it. Destroying the port stops the thread and
// joins it.
//
// Changes are published as a new RoutingView. Consecutive views are at least kPublishInterval
// apart, or kLoadPublishInterval when only load reports changed, so a change becomes visible within
// that time.
//
// Memory: what registry.h, membership.h, rpc.h, config_replica.h, config_proposer.h,
// suspect_outbox.h and suspect_history.h state, and one entry per call of the traffic threads that
// is not answered yet.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "adapters/peer_flows.h"
#include "adapters/rpc.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/limit_shares.h"
#include "core/membership.h"
#include "core/registry.h"
#include "ports/control_port.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kPublishInterval = milliseconds(20);
constexpr Duration kLoadPublishInterval = milliseconds(100);
constexpr Duration kControlStatsInterval = seconds(1);

// Identity and addresses of another host, as configured on this host.
struct ControlPeer {
  Identity identity;
  std::string rpc_address;   // host:port
  std::string http_address;  // host:port
  bool has_disk = false;
};

// What the control thread reports for the metrics.
struct ControlStats {
  // Bytes sent to and received from other daemons since the start, and the sent bytes that are not
  // yet written out.
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
  uint64_t unsent_bytes = 0;
  FlowCounts flows;  // the sent and received messages by flow
  // For how long this host has known of a configuration revision that is not in force on it.
  Duration config_behind{0};
  // The largest delay of a periodic task of the control thread since the last report.
  Duration max_tick_delay{0};
};

struct ControlOptions {
  Identity self;
  uint64_t incarnation = 0;  // must grow with each start of the process; not 0
  std::string peer_address;  // listen address for the other daemons
  std::string http_address;  // advertised in this host's entry of the host list
  bool has_disk = false;
  std::string caller_address;    // advertised to callers; empty: callers do not use this host
  std::string operator_address;  // advertised to operators; empty: operators do not use this host
  std::vector<ControlPeer> peers;
  // True: hosts outside `peers` may join with the cluster key. `peers` then are seeds to contact
  // first; their region and domain may be empty and are learned by gossip, as for all other hosts.
  bool find_hosts = false;
  std::vector<HostId> voters;  // initial voters of a new deployment
  // False: the deployment already exists, so a voter with an empty disk has lost its data.
  bool may_bootstrap = true;
  ServerScope server_scope = ServerScope::kDomain;
  Duration max_server_ttl = kMaxServerTtl;
  bool departure_is_final = false;          // see Registry
  bool pause_expiry_when_isolated = false;  // see Registry
  bool persist_servers = false;             // persist backend servers, see daemon/server_snapshot.h
  // True: ShareWork() is called, because the backend servers do not report their load.
  bool share_work = false;
  Duration revoke_keys_after{0};  // see Settings
  std::string cluster_key;
  uint32_t peer_features = kAllPeerFeatures;  // PeerFeature; fewer in tests of mixed releases
  std::string data_folder;                    // empty: no disk
  MembershipParams membership;

  // Called on the control thread for each suspect that another host reports.
  std::function<void(const SuspectReport& report)> on_suspect_report;

  // Called on the control thread when a host connects. Returns the suspects that this host knows.
  std::function<std::vector<SuspectReport>()> known_suspects;

  // Called on the control thread with streams that began at another host, and for a stream that
  // another host asks for.
  std::function<void(const std::vector<StreamRecord>&)> on_streams;
  // Returns the software versions that this host has lately known of a service or model.
  std::function<std::set<std::string>(const std::string& served)> find_versions;
  // Another host saw whether a brittle server has room.
  std::function<void(const RoomReport& report)> on_room_report;
  // Returns what this host knows of brittle servers, for a host that connects.
  std::function<std::vector<RoomReport>()> known_room_reports;
  std::function<std::optional<StreamOrigin>(uint64_t stream)> find_stream;

  // Limits of workspaces (core/limit_shares.h). Called on the control thread; null: none are asked
  // for. The first returns the request to send now, if any; the second gets its answer, or nullopt.
  std::function<std::optional<LimitAsk>(Time now)> take_limit_ask;
  std::function<void(const std::optional<LimitAnswer>& answer, Time sent)> on_limit_answer;
  LimitTolerance limit_tolerance;

  // Called on the control thread every kControlStatsInterval.
  std::function<void(const ControlStats& stats)> on_stats;

  // Called on the control thread with the time from the first word of a configuration revision
  // until it is in force on this host.
  std::function<void(Duration lag)> on_config_lag;
};

// Throws Error(kInternal) when the peer address cannot be used or a required option is missing, and
// Error(kStorageFailed) when a journal in the data folder is corrupt.
std::unique_ptr<ControlPort> StartControl(ControlOptions options);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONTROL_H_
