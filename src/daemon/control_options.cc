#include "daemon/control_options.h"

#include "adapters/file_journal.h"

namespace ebonylift {
namespace {

// Used with `find_hosts`: hosts must reconnect soon after a partition to learn what they missed.
constexpr Duration kDiscoveryMaxBackoff = milliseconds(400);
constexpr Duration kDiscoveryConnectTimeout = milliseconds(400);
// Used with `share_work`: when backend servers do not report their load, summaries are the only
// information about the load of other regions, so they are sent more often.
constexpr Duration kSharedWorkSummaryInterval = milliseconds(500);

}  // namespace

HostEntry SelfEntry(const ControlOptions& options) {
  HostEntry entry;
  entry.id = options.self.host;
  entry.region = options.self.region;
  entry.domain = options.self.domain;
  entry.http_address = options.http_address;
  entry.incarnation = options.incarnation;
  entry.has_disk = options.has_disk;
  entry.rpc_address = options.peer_address;
  entry.caller_address = options.caller_address;
  entry.operator_address = options.operator_address;
  return entry;
}

std::vector<HostEntry> PeerEntries(const ControlOptions& options) {
  std::vector<HostEntry> entries;
  for (const ControlPeer& peer : options.peers) {
    HostEntry entry;
    entry.id = peer.identity.host;
    entry.region = peer.identity.region;
    entry.domain = peer.identity.domain;
    entry.http_address = peer.http_address;
    entry.has_disk = peer.has_disk;
    entry.rpc_address = peer.rpc_address;
    entries.push_back(entry);
  }
  return entries;
}

RpcOptions MakeRpcOptions(const ControlOptions& options) {
  RpcOptions rpc;
  rpc.self = options.self.host;
  rpc.incarnation = options.incarnation;
  rpc.listen_address = options.peer_address;
  rpc.cluster_key = options.cluster_key;
  rpc.open = options.find_hosts;
  rpc.features = options.peer_features;
  if (options.find_hosts) {
    rpc.max_backoff = kDiscoveryMaxBackoff;
    rpc.quick_connect_timeout = kDiscoveryConnectTimeout;
  }
  for (const ControlPeer& peer : options.peers) {
    rpc.peers.push_back({peer.identity.host, peer.rpc_address});
  }
  return rpc;
}

MembershipParams MakeMembershipParams(const ControlOptions& options) {
  MembershipParams params = options.membership;
  params.find_hosts = options.find_hosts;
  if (options.share_work) {
    params.summary_interval = kSharedWorkSummaryInterval;
    params.summary_slow_interval = 2 * kSharedWorkSummaryInterval;
  }
  return params;
}

Registry MakeRegistry(const ControlOptions& options) {
  Registry registry;
  registry.self = options.self;
  registry.scope = options.server_scope;
  registry.max_ttl = options.max_server_ttl;
  registry.departure_is_final = options.departure_is_final;
  registry.pause_expiry_when_isolated = options.pause_expiry_when_isolated;
  return registry;
}

std::shared_ptr<Journal> MakeServerJournal(const ControlOptions& options) {
  if (!options.persist_servers || options.data_folder.empty()) return nullptr;
  return std::make_shared<FileJournal>(options.data_folder, "servers");
}

}  // namespace ebonylift
