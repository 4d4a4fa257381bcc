#ifndef EBONYLIFT_DAEMON_SETTINGS_H_
#define EBONYLIFT_DAEMON_SETTINGS_H_

// Settings of the daemon.
//
// Each setting can be given as a flag `--name` or as an environment variable `EBONYLIFT_NAME`; the
// flag takes precedence. `serve` and `check-settings` run the same checks, and `serve` does not
// start when a check fails. Settings are fixed while the daemon runs; everything that can change at
// run time is in the configuration tree.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/limit_shares.h"
#include "core/registry.h"
#include "ports/views.h"

namespace ebonylift {

// Another daemon, with the addresses at which this one reaches it.
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
  std::string name;  // shown in log lines; empty: the host id
  RegionId region;
  DomainId domain;
  std::string http_address;
  std::string advertise_address;  // given to callers; empty: http_address
  std::string peer_address;
  std::vector<PeerSetting> peers;
  std::vector<HostId> voters;
  bool find_hosts = false;  // `peers` are only seed hosts; other hosts are discovered by gossip
  bool first_start = true;  // false: a voter whose disk is empty has lost its data
  ServerScope server_scope = ServerScope::kDomain;
  Duration max_server_ttl = kMaxServerTtl;
  bool departure_is_final = false;          // see Registry in core/registry.h
  bool pause_expiry_when_isolated = false;  // see Registry in core/registry.h
  bool persist_servers = false;  // stores the server list on disk; see daemon/server_snapshot.h
  // For backend servers that do not report their load: hosts tell each other how much work they
  // have sent to each server.
  bool share_work = false;
  // Addresses of listeners other than http_address, announced to the other hosts; empty: none.
  std::string caller_address;
  std::string operator_address;
  std::string data_dir;  // empty: this host has no disk
  std::string cluster_key;
  std::string platform_token;
  std::string operator_token_sha256;
  std::string directory_address;        // empty: no client directory
  std::string source_address;           // of outgoing HTTP connections; empty: the kernel chooses
  std::string metrics_address;          // empty: metrics are served at http_address only
  std::string routing_policy = "cost";  // see ParseRoutingPolicy()
  int traffic_threads = 2;
  Duration drain_timeout = seconds(120);
  // How long a shutdown keeps idle connections open after its grace period. A caller that reuses
  // one in this time gets a response that tells it to close the connection.
  Duration idle_grace = seconds(3);
  Duration orderer_lease = seconds(300);
  // How long this host accepts keys of workspaces without word from a majority of the control
  // hosts; 0: as long as it runs. See core/control_contact.h.
  Duration revoke_keys_after{0};
  // Hedges per 100 requests and their prompt tokens per 100; 0: requests are not hedged. The
  // configuration path /deployment/hedging goes before it.
  int hedge_percent = 0;
  // How far all hosts together may exceed limits of workspaces; see core/limit_shares.h.
  LimitTolerance limit_tolerance;
};

// A setting whose value is invalid.
struct SettingIssue {
  std::string key;
  std::string value;     // empty for secrets
  std::string expected;  // describes the valid values
};

// Sets each flag that the command line left at its default from its EBONYLIFT_* environment
// variable. Call this after the command line is parsed. Returns an issue for each variable whose
// value cannot be converted to the type of the flag.
std::vector<SettingIssue> ApplyEnvironment();

// Reads the flags. Appends an issue for each value that cannot be parsed: malformed entries of
// lists and unknown names of options.
Settings ReadSettings(std::vector<SettingIssue>* issues);

// Checks each value and the values against each other. Returns an empty list when the daemon may
// start.
std::vector<SettingIssue> CheckSettings(const Settings& settings);

// Formats the issue as one line: `key "value": expected <expected>`.
std::string FormatIssue(const SettingIssue& issue);

// True for a numeric IP address and a port, such as 127.0.0.1:8080 or [::1]:8080. Host names are
// not accepted.
bool IsAddress(const std::string& address);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SETTINGS_H_
