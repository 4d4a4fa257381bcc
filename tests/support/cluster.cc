#include "tests/support/cluster.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "base/hash.h"
#include "tests/support/free_port.h"
#include "tests/support/wait_for.h"

namespace ebonylift::test {
namespace {

using nlohmann::json;

// `user` of the requests that check whether a host serves; Records() leaves these out.
const char kProbeUser[] = "cluster-probe";
constexpr size_t kTokenBytes = 16;
constexpr Duration kRestartTimeout = seconds(15);

std::string LinkName(const std::string& from, const std::string& to) { return from + ">" + to; }

json ModelRoute(const std::string& model, const std::vector<std::string>& regions,
                const std::string& traffic_class, bool idempotent, int deadline_ms) {
  return {{"kind", "model"},
          {"model", model},
          {"regions", regions},
          {"home", regions.front()},
          {"class", traffic_class},
          {"idempotent", idempotent},
          {"deadline_ms", deadline_ms},
          {"send_away", true},
          {"weight_latency", 1.0},
          {"weight_cost", 1.0},
          {"weight_remote", 1.0}};
}

json ServiceRoute(const std::string& service, const std::vector<std::string>& regions) {
  return {{"kind", "service"},       {"service", service},     {"regions", regions},
          {"home", regions.front()}, {"class", "interactive"}, {"idempotent", false},
          {"deadline_ms", 10'000},   {"send_away", true}};
}

TeamSpec MakeTeamSpec(const std::string& id, const ClusterSpec& spec,
                      const std::vector<std::string>& regions) {
  TeamSpec team;
  team.id = id;
  team.key = "key-" + id;
  team.regions = regions;
  team.routes.push_back({spec.model, ModelRoute(spec.model, regions, "interactive", true, 30'000)});
  team.routes.push_back({spec.service, ServiceRoute(spec.service, regions)});
  return team;
}

DomainSpec MakeDomainSpec(const std::string& id, const std::string& region, int engines) {
  DomainSpec domain;
  domain.id = id;
  domain.region = region;
  domain.hosts = 2;
  domain.disk_hosts = 1;
  domain.engines = engines;
  domain.services = 1;
  return domain;
}

std::string JoinWithCommas(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) text += (text.empty() ? "" : ",") + part;
  return text;
}

// True when a GET of the URL returns status 200.
bool IsUp(const std::string& url) {
  TestCall call;
  call.url = url;
  call.timeout = seconds(1);
  return Call(call).status == 200;
}

}  // namespace

ClusterSpec ThreeRegionWanSpec() {
  ClusterSpec spec;
  spec.domains = {MakeDomainSpec("este-a", "este", 6), MakeDomainSpec("centro-a", "centro", 6),
                  MakeDomainSpec("norte-a", "norte", 6)};
  spec.teams = {MakeTeamSpec("registros", spec, {"este", "centro", "norte"})};
  return spec;
}

ClusterSpec PunjabSpec() {
  ClusterSpec spec;
  spec.model = "rewrite";
  spec.service = "easy-read-packs";
  spec.same_region_delay = Duration(1500);
  spec.server_delay = Duration(1500);
  spec.domains = {MakeDomainSpec("lhr-hall-a", "lahore", 3),
                  MakeDomainSpec("khi-hall-b", "karachi", 3),
                  MakeDomainSpec("psh-hall-c", "peshawar", 3)};
  spec.teams = {MakeTeamSpec("sahulat", spec, {"lahore", "karachi", "peshawar"})};
  return spec;
}

ClusterSpec SmallSpec(int hosts, int engines) {
  ClusterSpec spec;
  DomainSpec domain = MakeDomainSpec("este-a", "este", engines);
  domain.hosts = hosts;
  spec.domains = {domain};
  spec.teams = {MakeTeamSpec("registros", spec, {"este"})};
  spec.same_region_delay = Duration(0);
  spec.between_regions_delay = Duration(0);
  spec.client_delay = Duration(0);
  spec.server_delay = Duration(0);
  return spec;
}

Cluster::Cluster(ClusterSpec spec)
    : spec_(std::move(spec)),
      cluster_key_(RandomHex(kTokenBytes)),
      platform_token_(RandomHex(kTokenBytes)),
      operator_token_(RandomHex(kTokenBytes)),
      directory_address_(FreeAddress()),
      proxy_address_(FreeAddress()) {
  Plan();
}

Cluster::~Cluster() = default;

void Cluster::Fail(const std::string& what) const {
  throw std::runtime_error(what + "; logs are in " + dir_.path() +
                           " (set EBONYLIFT_KEEP=1 to keep them)");
}

// ---- planning: addresses, proxy links and command lines, before any process starts

void Cluster::Plan() {
  for (const DomainSpec& domain : spec_.domains) PlanDomain(domain);
  PlanLinks();
  for (const DomainSpec& domain : spec_.domains) {
    PlanServers(domain, false, domain.engines);
    PlanServers(domain, true, domain.services);
  }
  for (auto& [id, host] : hosts_) host.arguments = HostArguments(host);
}

void Cluster::PlanDomain(const DomainSpec& domain) {
  for (int i = 1; i <= domain.hosts; ++i) {
    HostHandle host;
    host.id = domain.id + "-" + std::to_string(i);
    host.region = domain.region;
    host.domain = domain.id;
    host.disk = i <= domain.disk_hosts;
    host.http_address = FreeAddress();
    host.peer_address = FreeAddress();
    host.log_file = dir_.path() + "/" + host.id + ".log";
    if (host.disk) {
      host.data_dir = dir_.path() + "/" + host.id;
      std::filesystem::create_directory(host.data_dir);
    }
    hosts_[host.id] = std::move(host);
  }
}

void Cluster::PlanLinks() {
  for (auto& [id, host] : hosts_) {
    host.client_address = AddLink(LinkName("client", id), host.http_address, spec_.client_delay);
    AddLink(LinkName("servers-" + host.domain, id), host.http_address, spec_.server_delay);
    for (const auto& [from_id, from] : hosts_) {
      if (from_id == id) continue;
      Duration delay = DelayBetween(from, host);
      AddLink(LinkName(from_id, id) + "/peer", host.peer_address, delay);
      AddLink(LinkName(from_id, id) + "/http", host.http_address, delay);
    }
  }
}

Duration Cluster::DelayBetween(const HostHandle& a, const HostHandle& b) const {
  if (a.region != b.region) return spec_.between_regions_delay;
  return a.domain == b.domain ? Duration(0) : spec_.same_region_delay;
}

std::string Cluster::AddLink(const std::string& name, const std::string& target, Duration delay) {
  std::string listen = FreeAddress();
  links_.push_back(
      {{"name", name}, {"listen", listen}, {"target", target}, {"delay_us", delay.count()}});
  link_addresses_[name] = listen;
  return listen;
}

void Cluster::PlanServers(const DomainSpec& domain, bool service, int count) {
  std::vector<std::string> entry_hosts;
  for (const auto& [id, host] : hosts_) {
    if (host.domain != domain.id) continue;
    entry_hosts.push_back(link_addresses_.at(LinkName("servers-" + domain.id, id)));
  }
  for (int i = 1; i <= count; ++i) {
    ServerHandle server;
    server.id = domain.id + (service ? "-service-" : "-engine-") + std::to_string(i);
    server.region = domain.region;
    server.domain = domain.id;
    server.service = service;
    server.address = FreeAddress();
    server.control = FreeAddress();
    server.log_file = dir_.path() + "/" + server.id + ".log";
    server.record_file = dir_.path() + "/" + server.id + ".record";
    std::string advertise =
        AddLink(LinkName(domain.id, server.id), server.address, spec_.server_delay);
    server.arguments = {service ? "service" : "engine",
                        "--id=" + server.id,
                        "--domain=" + domain.id,
                        "--region=" + domain.region,
                        "--listen=" + server.address,
                        "--control=" + server.control,
                        "--advertise=" + advertise,
                        "--entry_hosts=" + JoinWithCommas(entry_hosts),
                        "--platform_token=" + platform_token_,
                        "--record_file=" + server.record_file};
    server.arguments.push_back(service ? "--services=" + spec_.service
                                       : "--models=" + spec_.model + ":" + spec_.model_version);
    const auto& extra_arguments = service ? spec_.service_arguments : spec_.engine_arguments;
    server.arguments.insert(server.arguments.end(), extra_arguments.begin(), extra_arguments.end());
    servers_[server.id] = std::move(server);
  }
}

std::string Cluster::PeersOf(const HostHandle& host) const {
  std::vector<std::string> peers;
  for (const auto& [id, peer] : hosts_) {
    if (id == host.id) continue;
    std::string text = id + "@" + peer.domain + "@" + peer.region;
    text += "@" + link_addresses_.at(LinkName(host.id, id) + "/peer");
    text += "@" + link_addresses_.at(LinkName(host.id, id) + "/http");
    if (peer.disk) text += "@disk";
    peers.push_back(text);
  }
  return JoinWithCommas(peers);
}

std::vector<std::string> Cluster::HostArguments(const HostHandle& host) const {
  std::vector<std::string> voters;
  for (const auto& [id, other] : hosts_) {
    if (other.disk) voters.push_back(id);
  }
  std::vector<std::string> arguments = {"serve",
                                        "--host=" + host.id,
                                        "--region=" + host.region,
                                        "--domain=" + host.domain,
                                        "--http_address=" + host.http_address,
                                        "--advertise_address=" + host.client_address,
                                        "--peer_address=" + host.peer_address,
                                        "--peers=" + PeersOf(host),
                                        "--voters=" + JoinWithCommas(voters),
                                        "--data_dir=" + host.data_dir,
                                        "--cluster_key=" + cluster_key_,
                                        "--platform_token=" + platform_token_,
                                        "--operator_token_sha256=" + Sha256Hex(operator_token_),
                                        "--directory_address=" + directory_address_};
  arguments.insert(arguments.end(), spec_.daemon_arguments.begin(), spec_.daemon_arguments.end());
  return arguments;
}

// ---- processes

Process Cluster::Launch(const std::string& binary, const std::vector<std::string>& arguments,
                        const std::string& log_file) const {
  ProcessOptions options;
  options.binary = binary;
  options.arguments = arguments;
  options.log_file = log_file;
  options.environment["GLOG_logtostderr"] = "1";
  return Process(options);
}

void Cluster::StartHost(HostHandle& host) {
  host.process.emplace(Launch(DaemonBinary(), host.arguments, host.log_file));
}

void Cluster::StartServer(ServerHandle& server) {
  server.process.emplace(Launch(StandinBinary(), server.arguments, server.log_file));
}

void Cluster::StartProcesses(Duration timeout) {
  std::string links_file = dir_.path() + "/links.json";
  std::ofstream(links_file) << json({{"links", links_}}).dump(1);
  proxy_.emplace(Launch(StandinBinary(),
                        {"proxy", "--listen=" + proxy_address_, "--links_file=" + links_file},
                        dir_.path() + "/proxy.log"));
  directory_.emplace(Launch(StandinBinary(), {"directory", "--listen=" + directory_address_},
                            dir_.path() + "/directory.log"));
  auto proxy_and_directory_ready = [this] {
    return IsUp("http://" + proxy_address_ + "/proxy/links") &&
           IsUp("http://" + directory_address_ + "/standin/state");
  };
  if (!WaitFor(proxy_and_directory_ready, timeout)) Fail("proxy or directory did not start");
  for (auto& [id, host] : hosts_) StartHost(host);
  for (auto& [id, server] : servers_) StartServer(server);
  for (auto& [id, host] : hosts_) {
    std::string url = "http://" + host.http_address + "/healthz";
    if (!WaitFor([&url] { return IsUp(url); }, timeout)) Fail("host " + id + " did not start");
  }
  for (auto& [id, server] : servers_) {
    std::string url = "http://" + server.control + "/standin/state";
    if (!WaitFor([&url] { return IsUp(url); }, timeout)) Fail("server " + id + " did not start");
  }
}

void Cluster::Start(Duration timeout) {
  StartProcesses(timeout);
  PutConfiguration(timeout);
  WaitServing(timeout);
}

// Each host receives the configuration changes independently, in order. A host that already serves
// the first team may therefore not know the keys of the other teams yet.
void Cluster::WaitSameRevision(Duration timeout) {
  auto revision = [](const HostHandle& host) {
    json ready = json::parse(Get("http://" + host.http_address + "/readyz").body, nullptr, false);
    return ready.is_object() ? ready.value("revision", uint64_t{0}) : 0;
  };
  for (const auto& [id, host] : hosts_) {
    if (WaitFor([&, &waiting = host] { return revision(waiting) >= revision_; }, timeout)) continue;
    Fail("host " + id + " did not apply configuration revision " + std::to_string(revision_));
  }
}

void Cluster::WaitServing(Duration timeout) {
  WaitSameRevision(timeout);
  if (spec_.teams.empty()) return;
  json body = {{"model", spec_.model},
               {"user", kProbeUser},
               {"max_tokens", 1},
               {"messages", json::array({{{"role", "user"}, {"content", "probe"}}})}};
  std::vector<std::pair<std::string, std::string>> headers = {
      {"authorization", "Bearer " + spec_.teams.front().key}};
  Time deadline = SteadyNow() + timeout;
  for (const auto& [id, host] : hosts_) {
    std::string url = "http://" + host.http_address + "/v1/chat/completions";
    TestResponse last;
    auto served = [&] {
      last = PostJson(url, body.dump(), headers);
      return last.status == 200;
    };
    if (!WaitFor(served, deadline - SteadyNow())) {
      Fail("host " + id + " does not serve: status " + std::to_string(last.status) + " " +
           last.error + " " + last.body);
    }
  }
}

void Cluster::SetLinksToRefuse(const std::string& id, bool refuse) {
  SetLinks(LinkName("*", id), {{"refuse", refuse}});
  if (hosts_.count(id) > 0) SetLinks(LinkName("*", id) + "/*", {{"refuse", refuse}});
}

void Cluster::KillHost(const std::string& id) {
  SetLinksToRefuse(id, true);
  host(id).process->Kill();
}

void Cluster::LaunchHost(const std::string& id) {
  KillHost(id);
  StartHost(host(id));
}

void Cluster::RestartHost(const std::string& id) {
  LaunchHost(id);
  std::string url = "http://" + host(id).http_address + "/healthz";
  if (!WaitFor([&url] { return IsUp(url); }, kRestartTimeout)) Fail(id + " did not restart");
  SetLinksToRefuse(id, false);
}

void Cluster::KillServer(const std::string& id) {
  SetLinksToRefuse(id, true);
  server(id).process->Kill();
}

void Cluster::RestartServer(const std::string& id) {
  KillServer(id);
  StartServer(server(id));
  std::string url = "http://" + server(id).control + "/standin/state";
  if (!WaitFor([&url] { return IsUp(url); }, kRestartTimeout)) Fail(id + " did not restart");
  SetLinksToRefuse(id, false);
}

std::vector<std::string> Cluster::HostIds() const {
  std::vector<std::string> ids;
  ids.reserve(hosts_.size());
  for (const auto& [id, host] : hosts_) ids.push_back(id);
  return ids;
}

std::vector<std::string> Cluster::ServerIds() const {
  std::vector<std::string> ids;
  ids.reserve(servers_.size());
  for (const auto& [id, server] : servers_) ids.push_back(id);
  return ids;
}

HostHandle& Cluster::host(const std::string& id) { return hosts_.at(id); }
ServerHandle& Cluster::server(const std::string& id) { return servers_.at(id); }

// ---- configuration

void Cluster::PutConfig(const std::string& path, const json& value, uint64_t base_revision,
                        const std::string& host_id, Duration timeout) {
  const HostHandle& target = host_id.empty() ? hosts_.begin()->second : hosts_.at(host_id);
  TestCall call;
  call.method = "PUT";
  call.url = "http://" + target.http_address + "/admin/v1/config";
  call.headers = {{"authorization", "Bearer " + operator_token_},
                  {"content-type", "application/json"}};
  json body = {{"path", path}, {"base_revision", base_revision}};
  body["value"] = value;
  body["request_id"] = RandomHex(kTokenBytes);
  call.body = body.dump();
  TestResponse last;
  auto accepted = [&] {
    last = Call(call);
    return last.status == 200 || (last.status >= 400 && last.status < 500);
  };
  if (!WaitFor(accepted, timeout) || last.status != 200) {
    Fail("configuration write to " + path + " failed: status " + std::to_string(last.status) + " " +
         last.error + " " + last.body);
  }
  json answer = json::parse(last.body, nullptr, false);
  if (answer.is_object()) revision_ = std::max(revision_, answer.value("revision", uint64_t{0}));
}

uint64_t Cluster::RevisionOf(const std::string& path) const {
  TestCall call;
  call.url = "http://" + hosts_.begin()->second.http_address + "/admin/v1/config?path=" + path;
  call.headers = {{"authorization", "Bearer " + operator_token_}};
  TestResponse response = Call(call);
  json body = json::parse(response.body, nullptr, false);
  if (response.status != 200) Fail("cannot read revision of " + path + ": " + response.body);
  for (const json& entry : body["entries"]) {
    if (entry["path"] == path) return entry["revision"];
  }
  Fail("no configuration entry " + path);
}

void Cluster::PutConfiguration(Duration timeout) {
  std::map<std::string, json> regions;
  for (const DomainSpec& domain : spec_.domains) {
    json& region = regions[domain.region];
    region["domains"].push_back(domain.id);
    for (const auto& [id, host] : hosts_) {
      if (host.domain == domain.id && host.disk) region["record_hosts"].push_back(id);
    }
  }
  for (const auto& [id, region] : regions) {
    PutConfig("/deployment/regions/" + id, region, 0, "", timeout);
  }
  for (const TeamSpec& team : spec_.teams) {
    std::string path = "/teams/" + team.id;
    PutConfig(path + "/residency", {{"regions", team.regions}}, 0, "", timeout);
    PutConfig(path + "/keys/main", {{"sha256", Sha256Hex(team.key)}}, 0, "", timeout);
    if (!team.limits.empty()) PutConfig(path + "/limits", team.limits, 0, "", timeout);
    for (const RouteSpec& route : team.routes) {
      PutConfig(path + "/routes/" + route.id, route.value, 0, "", timeout);
    }
  }
}

// ---- faults

void Cluster::SetServerFaults(const std::string& id, const json& faults) {
  TestResponse response =
      PostJson("http://" + server(id).control + "/standin/fault", faults.dump());
  if (response.status != 200) Fail("fault injection into " + id + " was refused: " + response.body);
}

void Cluster::PostProxy(const std::string& path, const json& body) const {
  TestResponse response = PostJson("http://" + proxy_address_ + path, body.dump());
  if (response.status != 200) Fail("proxy refused " + body.dump() + ": " + response.body);
}

void Cluster::SetLinks(const std::string& pattern, const json& faults) {
  json body = faults;
  body["links"] = pattern;
  PostProxy("/proxy/set", body);
}

void Cluster::ResetLinks(const std::string& pattern) {
  PostProxy("/proxy/reset", {{"links", pattern}});
}

void Cluster::SetLinksBetween(const std::string& a, const std::string& b, const json& a_to_b,
                              const json& b_to_a) {
  SetLinks(LinkName(a, b) + "/*", a_to_b);
  SetLinks(LinkName(b, a) + "/*", b_to_a);
}

void Cluster::Partition(const std::string& hosts_a, const std::string& hosts_b) {
  SetLinksBetween(hosts_a, hosts_b, {{"drop", "both"}}, {{"drop", "both"}});
}

void Cluster::PartitionOneWay(const std::string& from, const std::string& to) {
  SetLinksBetween(from, to, {{"drop", "to_target"}}, {{"drop", "to_client"}});
}

void Cluster::Heal(const std::string& hosts_a, const std::string& hosts_b) {
  SetLinksBetween(hosts_a, hosts_b, {{"drop", "none"}}, {{"drop", "none"}});
}

void Cluster::PartitionDomain(const std::string& domain) {
  for (const DomainSpec& other : spec_.domains) {
    if (other.id != domain) Partition(domain + "-*", other.id + "-*");
  }
}

void Cluster::HealDomain(const std::string& domain) {
  for (const DomainSpec& other : spec_.domains) {
    if (other.id != domain) Heal(domain + "-*", other.id + "-*");
  }
}

// ---- run records

std::vector<json> Cluster::Records() const {
  std::map<std::string, json> runs;
  for (const auto& [id, server] : servers_) {
    std::ifstream file(server.record_file);
    for (std::string line; std::getline(file, line);) {
      json entry = json::parse(line, nullptr, false);
      // The last line is incomplete when the process was killed while writing it.
      if (!entry.is_object() || entry["user"] == kProbeUser) continue;
      std::string key = id + "/" + entry["incarnation"].dump() + "/" + entry["seq"].dump();
      runs[key] = std::move(entry);
    }
  }
  std::vector<json> entries;
  entries.reserve(runs.size());
  for (auto& [key, entry] : runs) entries.push_back(std::move(entry));
  return entries;
}

}  // namespace ebonylift::test
