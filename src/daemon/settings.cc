#include "daemon/settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <cctype>
#include <cstdlib>
#include <set>
#include <sstream>

#include "core/orders.h"
#include "core/routing.h"

DEFINE_string(host, "", "name of this host, unique in the deployment");
DEFINE_string(region, "", "region of this host");
DEFINE_string(domain, "", "failure domain of this host");
DEFINE_string(http_address, "127.0.0.1:8080",
              "ip:port that serves callers, backend servers and operators");
DEFINE_string(advertise_address, "",
              "ip:port given to callers as the address of this host; empty: --http_address");
DEFINE_string(peer_address, "127.0.0.1:8081", "ip:port on which other daemons connect to this one");
DEFINE_string(peers, "", "all other daemons: id@domain@region@rpc_ip:port@http_ip:port[@disk],...");
DEFINE_string(voters, "",
              "comma-separated names of the hosts that vote on the configuration: 1, 3, 5 or 7");
DEFINE_bool(
    find_hosts, false,
    "treat --peers as seed hosts only; other hosts that have the cluster key are discovered");
DEFINE_bool(
    first_start, true,
    "set to false once the deployment exists: a voter whose --data_dir is empty then counts as "
    "having lost its disk");
DEFINE_string(
    server_scope, "domain",
    "which backend servers this host sends requests to directly: those in its failure domain "
    "(domain) or in its region (region)");
DEFINE_string(data_dir, "", "directory for durable state; empty on a host without a disk");
DEFINE_string(cluster_key, "", "secret shared by all daemons, at least 16 characters");
DEFINE_string(platform_token, "", "token with which backend servers authenticate");
DEFINE_string(operator_token_sha256, "", "SHA-256 of the root operator's token, hexadecimal");
DEFINE_string(
    metrics_address, "",
    "ip:port that serves only /metrics; empty: /metrics is served at --http_address only");
DEFINE_string(directory_address, "", "ip:port of the client directory; empty: none");
DEFINE_string(routing_policy, "cost",
              "how a backend server is chosen: cost, round_robin, least_reported, power_of_two, "
              "prefix_hash");
DEFINE_string(source_address, "",
              "IP address from which HTTP connections are opened; empty: chosen by the kernel");
DEFINE_int32(traffic_threads, 2, "number of threads that serve requests, 1 to 16");
DEFINE_int32(
    orderer_lease_ms, 300000,
    "length in milliseconds of the lease that a host needs to send orders to backend servers, "
    "2000 to 3600000");
DEFINE_int32(
    hedge_percent, 0,
    "hedged requests allowed per 100 requests, and their prompt tokens per 100, 0 to 100; "
    "0: requests are not hedged; the configuration path /deployment/hedging goes before it");
DEFINE_int32(drain_timeout_s, 120,
             "seconds that a shutdown waits for open requests to finish, 1 to 3600");

namespace ebonylift {
namespace {

constexpr size_t kMinClusterKeyBytes = 16;
constexpr size_t kMaxVoters = 7;
constexpr size_t kMaxPeers = 1024;
constexpr int kMaxTrafficThreads = 16;
constexpr int kMaxDrainSeconds = 3600;
constexpr Duration kMaxOrdererLease = seconds(3600);

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, separator)) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

std::string EnvironmentName(const std::string& flag) {
  std::string name = "EBONYLIFT_" + flag;
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return name;
}

bool IsValidName(const std::string& name) {
  constexpr size_t kMaxNameBytes = 64;
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::islower(c) || std::isdigit(c) || c == '-' || c == '_' || c == '.';
         });
}

bool IsSha256(const std::string& text) {
  return text.size() == 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

std::vector<PeerSetting> ParsePeers(const std::string& text, std::vector<SettingIssue>* issues) {
  std::vector<PeerSetting> peers;
  for (const std::string& entry : Split(text, ',')) {
    std::vector<std::string> fields = Split(entry, '@');
    bool has_disk = fields.size() == 6 && fields[5] == "disk";
    if (fields.size() != 5 && !has_disk) {
      issues->push_back({"peers", entry, "id@domain@region@rpc_ip:port@http_ip:port[@disk]"});
      continue;
    }
    PeerSetting peer;
    peer.host = HostId(fields[0]);
    peer.domain = DomainId(fields[1]);
    peer.region = RegionId(fields[2]);
    peer.rpc_address = fields[3];
    peer.http_address = fields[4];
    peer.has_disk = has_disk;
    peers.push_back(peer);
  }
  return peers;
}

void CheckPeers(const Settings& settings, std::vector<SettingIssue>* issues) {
  std::set<HostId> seen_hosts = {settings.host};
  for (const PeerSetting& peer : settings.peers) {
    if (!seen_hosts.insert(peer.host).second) {
      issues->push_back(
          {"peers", peer.host.value(), "every other host exactly once and not this host"});
    }
    // The failure domain and region of a seed host are learned from the host itself.
    bool has_location = IsValidName(peer.domain.value()) && IsValidName(peer.region.value());
    if (!IsValidName(peer.host.value()) || (!has_location && !settings.find_hosts)) {
      issues->push_back(
          {"peers", peer.host.value(), "host, domain and region names of a-z, 0-9, '-', '_', '.'"});
    }
    if (!IsAddress(peer.rpc_address) || !IsAddress(peer.http_address)) {
      issues->push_back({"peers", peer.host.value(), "two addresses of the form ip:port"});
    }
  }
  if (settings.peers.size() > kMaxPeers) {
    issues->push_back({"peers", std::to_string(settings.peers.size()), "at most 1024 peers"});
  }
}

void CheckVoters(const Settings& settings, std::vector<SettingIssue>* issues) {
  std::set<HostId> known_hosts = {settings.host};
  for (const PeerSetting& peer : settings.peers) known_hosts.insert(peer.host);
  for (const HostId& voter : settings.voters) {
    if (known_hosts.count(voter) == 0) {
      issues->push_back({"voters", voter.value(), "the name of this host or of a host in --peers"});
    }
  }
  size_t count = settings.voters.size();
  if (count == 0 || count > kMaxVoters || count % 2 == 0) {
    issues->push_back({"voters", std::to_string(count) + " hosts", "1, 3, 5 or 7 hosts"});
  }
  bool is_voter = std::find(settings.voters.begin(), settings.voters.end(), settings.host) !=
                  settings.voters.end();
  if (is_voter && settings.data_dir.empty()) {
    issues->push_back({"data_dir", "", "a directory, because a voter needs a disk"});
  }
}

}  // namespace

bool IsAddress(const std::string& address) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) return false;
  std::string ip = address.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  std::error_code error;
  asio::ip::make_address(ip, error);
  if (error) return false;
  std::string port = address.substr(colon + 1);
  bool digits =
      std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  return digits && port.size() <= 5 && std::stoi(port) <= 65535;
}

std::vector<SettingIssue> ApplyEnvironment() {
  std::vector<SettingIssue> issues;
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    if (flag.filename.find("src/") == std::string::npos || !flag.is_default) continue;
    std::string name = EnvironmentName(flag.name);
    const char* value = std::getenv(name.c_str());
    if (value == nullptr) continue;
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      issues.push_back({name, value, "a value of type " + flag.type});
    }
  }
  return issues;
}

Settings ReadSettings(std::vector<SettingIssue>* issues) {
  Settings settings;
  settings.host = HostId(FLAGS_host);
  settings.region = RegionId(FLAGS_region);
  settings.domain = DomainId(FLAGS_domain);
  settings.http_address = FLAGS_http_address;
  settings.advertise_address =
      FLAGS_advertise_address.empty() ? FLAGS_http_address : FLAGS_advertise_address;
  settings.peer_address = FLAGS_peer_address;
  settings.peers = ParsePeers(FLAGS_peers, issues);
  for (const std::string& voter : Split(FLAGS_voters, ',')) {
    settings.voters.push_back(HostId(voter));
  }
  settings.find_hosts = FLAGS_find_hosts;
  settings.first_start = FLAGS_first_start;
  if (FLAGS_server_scope == "region") {
    settings.server_scope = ServerScope::kRegion;
  } else if (FLAGS_server_scope != "domain") {
    issues->push_back({"server_scope", FLAGS_server_scope, "domain or region"});
  }
  settings.data_dir = FLAGS_data_dir;
  settings.cluster_key = FLAGS_cluster_key;
  settings.platform_token = FLAGS_platform_token;
  settings.operator_token_sha256 = FLAGS_operator_token_sha256;
  settings.directory_address = FLAGS_directory_address;
  settings.metrics_address = FLAGS_metrics_address;
  settings.source_address = FLAGS_source_address;
  settings.routing_policy = FLAGS_routing_policy;
  settings.traffic_threads = FLAGS_traffic_threads;
  settings.drain_timeout = seconds(FLAGS_drain_timeout_s);
  settings.orderer_lease = milliseconds(FLAGS_orderer_lease_ms);
  settings.hedge_percent = FLAGS_hedge_percent;
  return settings;
}

std::vector<SettingIssue> CheckSettings(const Settings& settings) {
  std::vector<SettingIssue> issues;
  const char* const kNameFormat = "a name of a-z, 0-9, '-', '_', '.' with 1 to 64 characters";
  if (!IsValidName(settings.host.value()))
    issues.push_back({"host", settings.host.value(), kNameFormat});
  if (!IsValidName(settings.region.value())) {
    issues.push_back({"region", settings.region.value(), kNameFormat});
  }
  if (!IsValidName(settings.domain.value())) {
    issues.push_back({"domain", settings.domain.value(), kNameFormat});
  }
  const std::pair<const char*, const std::string*> addresses[] = {
      {"http_address", &settings.http_address},
      {"advertise_address", &settings.advertise_address},
      {"peer_address", &settings.peer_address}};
  for (const auto& [key, value] : addresses) {
    if (!IsAddress(*value)) issues.push_back({key, *value, "ip:port"});
  }
  if (!settings.directory_address.empty() && !IsAddress(settings.directory_address)) {
    issues.push_back({"directory_address", settings.directory_address, "ip:port or empty"});
  }
  if (!settings.metrics_address.empty() && !IsAddress(settings.metrics_address)) {
    issues.push_back({"metrics_address", settings.metrics_address, "ip:port or empty"});
  }
  if (settings.cluster_key.size() < kMinClusterKeyBytes) {
    issues.push_back({"cluster_key", "", "at least 16 characters"});
  }
  if (settings.platform_token.empty()) issues.push_back({"platform_token", "", "not empty"});
  if (!IsSha256(settings.operator_token_sha256)) {
    issues.push_back(
        {"operator_token_sha256", settings.operator_token_sha256, "64 hexadecimal characters"});
  }
  if (!ParseRoutingPolicy(settings.routing_policy)) {
    issues.push_back({"routing_policy", settings.routing_policy, kRoutingPolicyNames});
  }
  if (settings.traffic_threads < 1 || settings.traffic_threads > kMaxTrafficThreads) {
    issues.push_back({"traffic_threads", std::to_string(settings.traffic_threads), "1 to 16"});
  }
  if (settings.drain_timeout < seconds(1) || settings.drain_timeout > seconds(kMaxDrainSeconds)) {
    issues.push_back(
        {"drain_timeout_s", std::to_string(ToMillis(settings.drain_timeout) / 1000), "1 to 3600"});
  }
  if (settings.orderer_lease < kMinLease || settings.orderer_lease > kMaxOrdererLease) {
    issues.push_back(
        {"orderer_lease_ms", std::to_string(ToMillis(settings.orderer_lease)), "2000 to 3600000"});
  }
  if (settings.hedge_percent < 0 || settings.hedge_percent > 100) {
    issues.push_back({"hedge_percent", std::to_string(settings.hedge_percent), "0 to 100"});
  }
  CheckPeers(settings, &issues);
  CheckVoters(settings, &issues);
  return issues;
}

std::string FormatIssue(const SettingIssue& issue) {
  return issue.key + " \"" + issue.value + "\": expected " + issue.expected;
}

}  // namespace ebonylift
