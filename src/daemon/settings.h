#ifndef EBONYLIFT_DAEMON_SETTINGS_H_
#define EBONYLIFT_DAEMON_SETTINGS_H_

// Settings of the daemon.
//
// Each setting is a flag `--name` and an environment variable `EBONYLIFT_NAME`; the flag takes
// precedence. `serve` and `check-settings` run the same checks; `serve` refuses to start when there
// is an issue. Settings never change while the daemon runs; what changes is in the configuration
// tree.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/registry.h"
#include "ports/views.h"

namespace ebonylift {

// Another daemon as this one reaches it.
struct PeerSetting {
  HostId host;
  DomainId domain;
  RegionId region;
  std::string rpc_address;   // host:port of its --peer_address
  std::string http_address;  // host:port of its --http_address
  bool has_disk = false;
};

struct Settings {
  HostId host;
  std::string name;  // in log lines; the host id when empty
  RegionId region;
  DomainId domain;
  std::string http_address;
  std::string advertise_address;  // what callers are told; http_address when empty
  std::string peer_address;
  std::vector<PeerSetting> peers;
  std::vector<HostId> voters;
  bool find_hosts = false;  // `peers` are only the hosts to ask first; the others join by gossip
  bool first_start = true;  // false: a voter whose disk is empty has lost it
  ServerScope server_scope = ServerScope::kDomain;
  Duration max_server_ttl = kMaxServerTtl;
  bool leaving_is_final = false;  // see core/registry.h
  bool expire_by_news = false;    // see core/registry.h
  bool keep_servers = false;      // on disk, see daemon/server_snapshot.h
  // The backend servers do not report their load: hosts tell each other what they have there.
  bool share_work = false;
  // Of listeners beside http_address; empty: this host has none.
  std::string caller_address;
  std::string operator_address;
  std::string data_dir;  // empty: this host has no disk
  std::string cluster_key;
  std::string platform_token;
  std::string operator_token_sha256;
  std::string directory_address;        // empty: no client directory
  std::string metrics_address;          // empty: metrics are read at http_address only
  std::string routing_policy = "cost";  // see ParseRoutingPolicy()
  int traffic_threads = 2;
  Duration drain_timeout = seconds(120);
  // After the grace time of a shutdown, connections without a request stay open for this time: a
  // caller that reuses one gets an answer that asks it to close.
  Duration idle_grace = seconds(3);
  Duration orderer_lease = seconds(300);
};

struct SettingIssue {
  std::string key;
  std::string value;  // empty for secrets
  std::string allowed;
};

// Copies EBONYLIFT_* variables into flags that the command line did not set. Call after the command
// line is parsed. Returns an issue for each variable whose value a flag does not accept.
std::vector<SettingIssue> ApplyEnvironment();

// Reads the flags. Malformed entries of lists are returned in `issues`.
Settings ReadSettings(std::vector<SettingIssue>* issues);

// Checks values and their relations; empty when the daemon may start.
std::vector<SettingIssue> CheckSettings(const Settings& settings);

// `key "value": allowed` on one line.
std::string FormatIssue(const SettingIssue& issue);

// True for an IP number and a port, such as 127.0.0.1:8080. Names are not accepted.
bool IsAddress(const std::string& address);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SETTINGS_H_
