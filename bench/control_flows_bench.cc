// Measures the control traffic of a deployment, by flow, without a network.
//
// All hosts run in one process on a simulated clock, with the real modules (membership, registry,
// announcement relay, work exchange) and the real encoders. Six failure domains in three regions
// have one control host each; the other hosts are gateways. Each host has ten backend servers,
// which send a heartbeat every 1.2 s to the control host of their failure domain. Each gateway
// serves 8 requests a second at random servers of its region. Consensus, puts and pulls are not
// included: they do not occur without configuration changes, apart from the heartbeats of the
// leader.
//
// Usage: control_flows_bench [HOSTS ...]      prints a table for each size and the growth
//        control_flows_bench --check FILE     compares 30 and 100 hosts with the lines
//            "control_flows_bench baseline, HOSTS hosts: BYTES B/s" of FILE, and fails if the bytes
//            that a host sends each second exceed one of them by more than a tenth
//
// The figures are the same in each run.

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "adapters/packed_stream.h"
#include "adapters/peer_codec.h"
#include "adapters/peer_flows.h"
#include "base/hash.h"
#include "core/domain_summary.h"
#include "core/membership.h"
#include "core/registry.h"
#include "core/work_exchange.h"
#include "core/work_rows.h"
#include "daemon/announcement_relay.h"
#include "peer.capnp.h"

namespace ebonylift {
namespace {

constexpr int kDomains = 6;
constexpr int kDomainsPerRegion = 2;
constexpr int kServersPerHost = 10;
constexpr Duration kTick = milliseconds(50);
constexpr Duration kHeartbeat = milliseconds(1200);
constexpr Duration kServerTtl = milliseconds(7600);
constexpr double kRequestsPerSecond = 8;  // of each gateway
constexpr double kMeanRequestSeconds = 0.5;
// The rows of the start are sent until then.
constexpr Duration kGossipWarmUp = seconds(40);
constexpr Duration kWarmUp = seconds(6);
constexpr Duration kMeasured = seconds(6);
constexpr double kAllowedGrowth = 1.1;
constexpr std::array<const char*, 4> kModels = {"trail-digest", "entry-check", "log-post",
                                                "map-tiles"};

struct Request {
  Time prefilled_at;
  Time ends_at;
  int server = 0;
  int64_t tokens = 0;
};

struct Server {
  Announcement announcement;
  Time next_heartbeat;
  int in_flight = 0;  // of all hosts
};

struct Timer {
  Time at;
  std::function<void()> fn;
};

struct Host {
  HostEntry entry;
  bool is_control = false;
  std::mt19937_64 rng;
  Membership membership;
  Registry registry;
  WorkExchange work;
  std::map<std::pair<HostId, WorkListKind>, WorkEncoder> encoders;
  std::map<std::pair<HostId, WorkListKind>, WorkDecoder> decoders;
  std::map<HostId, AliveKeys> alive_keys;
  std::unique_ptr<AnnouncementRelay> relay;
  std::vector<Timer> timers;
  std::vector<Request> requests;
  Time next_summary;
  FlowTracker tracker;
  uint32_t question = 0;
  FlowCounts counts;
};

// Counts a message as sent by `host`.
PeerFlow CountMessage(Host* host, PeerFlow flow, capnp::MallocMessageBuilder* message) {
  kj::VectorOutputStream out;
  auto segments = message->getSegmentsForOutput();
  if (flow == PeerFlow::kOther) {
    capnp::SegmentArrayMessageReader reader(segments);
    flow = host->tracker.OnSent(reader);
  }
  FlowCount& count = host->counts.sent[static_cast<size_t>(flow)];
  ++count.messages;
  count.bytes += WritePackedFrame(segments, &out);
  return flow;
}

// Counts a call of `from`, the answer of `to` and the end of the call. Method ordinals are those of
// interface Peer.
template <typename Params, typename Results>
void Call(Host* from, Host* to, uint16_t method,
          const std::function<void(typename Params::Builder)>& fill_params,
          const std::function<void(typename Results::Builder)>& fill_results) {
  constexpr uint64_t kHlc = uint64_t{1'790'000'000'000} << 16;
  uint32_t question = from->question++ % 64;
  capnp::MallocMessageBuilder call;
  auto out = call.initRoot<capnp::rpc::Message>().initCall();
  out.setQuestionId(question);
  out.setInterfaceId(capnp::typeId<wire::Peer>());
  out.setMethodId(method);
  out.initTarget().setImportedCap(1);
  auto params = out.initParams().getContent().initAs<Params>();
  params.setHlc(kHlc + question);
  fill_params(params);
  PeerFlow flow = CountMessage(from, PeerFlow::kOther, &call);
  capnp::MallocMessageBuilder answer;
  auto answered = answer.initRoot<capnp::rpc::Message>().initReturn();
  answered.setAnswerId(question);
  answered.setReleaseParamCaps(false);
  auto results = answered.initResults().getContent().initAs<Results>();
  results.setHlc(kHlc + question);
  fill_results(results);
  CountMessage(to, flow, &answer);
  capnp::MallocMessageBuilder finish;
  finish.initRoot<capnp::rpc::Message>().initFinish().setQuestionId(question);
  CountMessage(from, flow, &finish);
}

class Deployment {
 public:
  explicit Deployment(int hosts) : rng_(static_cast<uint64_t>(hosts)) {
    MakeHosts(hosts);
    MakeServers(hosts * kServersPerHost);
  }

  void Run() {
    RunUntil(now_ + kGossipWarmUp, false);
    RunUntil(now_ + kWarmUp, true);
    for (auto& host : hosts_) host->counts = FlowCounts();
    auto started = std::chrono::steady_clock::now();
    RunUntil(now_ + kMeasured, true);
    wall_seconds_ =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  }

  // The mean bytes or messages that a host of this kind sends each second.
  double Sent(bool control, PeerFlow flow, uint64_t FlowCount::*member) const {
    double sum = 0;
    int count = 0;
    for (const auto& host : hosts_) {
      if (host->is_control != control) continue;
      ++count;
      sum += static_cast<double>(host->counts.sent[static_cast<size_t>(flow)].*member);
    }
    return sum / count / std::chrono::duration<double>(kMeasured).count();
  }
  double SentBytes(bool control) const {
    double sum = 0;
    for (size_t i = 0; i < kPeerFlowCount; ++i) {
      sum += Sent(control, static_cast<PeerFlow>(i), &FlowCount::bytes);
    }
    return sum;
  }
  double SentBytesOfBusiestHost() const {
    double most = 0;
    for (const auto& host : hosts_) {
      double sum = 0;
      for (const FlowCount& count : host->counts.sent) sum += static_cast<double>(count.bytes);
      most = std::max(most, sum);
    }
    return most / std::chrono::duration<double>(kMeasured).count();
  }
  double SentBytesOfMeanHost() const {
    double controls = kDomains;
    double all = static_cast<double>(hosts_.size());
    return (SentBytes(true) * controls + SentBytes(false) * (all - controls)) / all;
  }
  // The mean difference between the requests that gateways believe other hosts have at a server and
  // those that they have, sampled while measuring.
  double MeanError() const { return error_sum_ / std::max(1.0, error_samples_); }
  double wall_seconds() const { return wall_seconds_; }
  size_t expired() const { return expired_; }

 private:
  void MakeHosts(int count) {
    std::vector<HostEntry> entries;
    for (int i = 0; i < count; ++i) {
      int domain = i % kDomains;
      HostEntry entry;
      char id[48];
      std::snprintf(id, sizeof(id), "%s-domain-%c-%03d", i < kDomains ? "core" : "front",
                    'a' + domain, i);
      entry.id = HostId(id);
      entry.domain = DomainId(std::string("domain-") + static_cast<char>('a' + domain));
      entry.region = RegionId("region-" + std::to_string(domain / kDomainsPerRegion));
      entry.http_address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
      entry.rpc_address = entry.http_address + ":7100";
      entry.http_address += ":7000";
      entry.incarnation = 1'790'000'000'000 + static_cast<uint64_t>(i);
      entry.has_disk = i < kDomains;
      if (i >= kDomains) entry.caller_address = entry.http_address;
      entries.push_back(entry);
    }
    for (int i = 0; i < count; ++i) {
      auto host = std::make_unique<Host>();
      host->entry = entries[static_cast<size_t>(i)];
      host->is_control = i < kDomains;
      host->rng.seed(static_cast<uint64_t>(i));
      std::vector<HostEntry> peers = entries;
      peers.erase(peers.begin() + i);
      MembershipParams params;
      params.find_hosts = true;
      params.summary_interval = milliseconds(500);
      params.summary_slow_interval = seconds(1);
      host->membership = MakeMembership(host->entry, peers, params);
      host->registry.self = host->membership.self;
      host->registry.scope = ServerScope::kRegion;
      host->registry.max_ttl = kServerTtl;
      host->work.self = host->entry.id;
      host->relay = std::make_unique<AnnouncementRelay>(MakeRelayOptions(host.get()));
      by_id_[host->entry.id] = host.get();
      hosts_.push_back(std::move(host));
    }
    for (auto& host : hosts_) {
      for (const HostEntry& peer : entries) {
        if (peer.id != host->entry.id) OnConnection(&host->membership, peer.id, true, now_);
      }
    }
  }

  AnnouncementRelay::Options MakeRelayOptions(Host* host) {
    AnnouncementRelay::Options options;
    options.self = host->membership.self;
    options.scope = ServerScope::kRegion;
    options.registry = &host->registry;
    options.membership = &host->membership;
    options.send = [this, host](const HostId& to, const std::vector<RelayedAnnouncement>& batch,
                                const std::function<void(AnnouncementRelay::UnknownKeys)>& done) {
      Announce(host, by_id_.at(to), batch, done);
    };
    options.run_after = [this, host](Duration delay, std::function<void()> fn) {
      host->timers.push_back({now_ + delay, std::move(fn)});
    };
    options.now = [this]() { return now_; };
    options.understands_alive_sets = [](const HostId&) { return true; };
    options.send_alive_set = [this, host](
                                 const HostId& to, const std::string& set,
                                 const std::function<void(std::optional<AliveReply>)>& done) {
      SendAliveSet(host, by_id_.at(to), set, done);
    };
    return options;
  }

  void MakeServers(int count) {
    for (int i = 0; i < count; ++i) {
      int domain = i % kDomains;
      Announcement announcement;
      char id[48];
      std::snprintf(id, sizeof(id), "i-%010llx",
                    static_cast<unsigned long long>(Hash64("server", i) >> 24));
      announcement.id = ServerId(id);
      announcement.incarnation = 1'790'000'000'000;
      announcement.seq = 1000;
      announcement.domain = DomainId(std::string("domain-") + static_cast<char>('a' + domain));
      announcement.region = RegionId("region-" + std::to_string(domain / kDomainsPerRegion));
      announcement.address =
          "10.8." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80";
      announcement.models = {
          {ModelId(kModels[static_cast<size_t>(i / kDomains) % kModels.size()]), {}, "7"}};
      announcement.software_version = "2026.12.1";
      announcement.capabilities = {kNoLoadReports};
      announcement.ttl = kServerTtl;
      announcement.load.slots = 16;
      announcement.load.seq = announcement.seq;
      servers_.push_back({announcement, now_ + kHeartbeat * i / count, 0});
      server_index_[announcement.id] = i;
      region_servers_[announcement.region].push_back(i);
    }
  }

  void RunUntil(Time end, bool with_load) {
    for (; now_ < end; now_ += kTick) {
      if (with_load) SendHeartbeats();
      for (auto& host : hosts_) {
        RunTimers(host.get());
        SendProbes(host.get());
        if (with_load) {
          UpdateRequests(host.get());
          ShareWork(host.get());
          if (now_ >= host->next_summary) ReportSummary(host.get());
        }
      }
      if (with_load && ++ticks_ % 7 == 0) SampleError();
    }
  }

  void RunTimers(Host* host) {
    for (size_t i = 0; i < host->timers.size();) {
      if (host->timers[i].at > now_) {
        ++i;
        continue;
      }
      std::function<void()> fn = std::move(host->timers[i].fn);
      host->timers.erase(host->timers.begin() + static_cast<int64_t>(i));
      fn();
    }
  }

  void SendProbes(Host* host) {
    for (SendProbe& probe : Tick(&host->membership, now_, host->rng)) {
      Host* to = by_id_.at(probe.to);
      GossipMessage reply = OnGossip(&to->membership, host->entry.id, probe.message, now_, to->rng);
      Call<wire::Peer::GossipParams, wire::Peer::GossipResults>(
          host, to, 0,
          [&](auto params) {
            params.setTarget(probe.target.value());
            WriteDigest(probe.message, now_, params.initDigest());
          },
          [&](auto results) { WriteDigest(reply, now_, results.initDigest()); });
      OnAck(&host->membership, probe.token, to->entry.id, reply, true, now_);
    }
    TakeChanges(&host->membership);
    TakeDiscoveredHosts(&host->membership);
  }

  void SendHeartbeats() {
    for (size_t i = 0; i < servers_.size(); ++i) {
      Server& server = servers_[i];
      if (now_ < server.next_heartbeat) continue;
      server.next_heartbeat += kHeartbeat;
      ++server.announcement.seq;
      server.announcement.load.seq = server.announcement.seq;
      Host* host = hosts_[i % kDomains].get();
      auto known = host->registry.entries.find(server.announcement.id);
      bool refresh = known != host->registry.entries.end() && known->second.live &&
                     known->second.key == AnnouncementKey(server.announcement);
      OnAnnouncement(&host->registry, server.announcement, Duration(0), now_);
      host->relay->Add(server.announcement, now_, refresh);
    }
  }

  void Announce(Host* from, Host* to, const std::vector<RelayedAnnouncement>& batch,
                const std::function<void(AnnouncementRelay::UnknownKeys)>& done) {
    std::vector<uint64_t> unknown;
    for (const RelayedAnnouncement& relayed : batch) {
      bool known = to->registry.by_key.count(AnnouncementKey(relayed.announcement)) > 0;
      if (relayed.refresh && !known) {
        unknown.push_back(AnnouncementKey(relayed.announcement));
      } else {
        OnAnnouncement(&to->registry, relayed.announcement, relayed.age, now_);
      }
    }
    Call<wire::Peer::AnnounceParams, wire::Peer::AnnounceResults>(
        from, to, 1, [&](auto params) { WriteAnnounceCall(batch, now_, params); },
        [&](auto results) { results.initUnknown(static_cast<uint32_t>(unknown.size())); });
    if (done) done(unknown);
  }

  void SendAliveSet(Host* from, Host* to, const std::string& bytes,
                    const std::function<void(std::optional<AliveReply>)>& done) {
    AliveReply reply;
    std::optional<AliveSet> set = ReadAliveSet(&to->alive_keys[from->entry.id], bytes);
    reply.gap = !set;
    for (uint64_t key : set ? set->keys : std::vector<uint64_t>()) {
      if (!OnAlive(&to->registry, key, set->age, now_)) reply.unknown.push_back(key);
    }
    Call<wire::Peer::AnnounceParams, wire::Peer::AnnounceResults>(
        from, to, 1, [&](auto params) { WriteAliveCall(bytes, now_, params); },
        [&](auto results) { results.initUnknown(static_cast<uint32_t>(reply.unknown.size())); });
    done(reply);
  }

  void UpdateRequests(Host* host) {
    if (!host->is_control) {
      const std::vector<int>& servers = region_servers_.at(host->entry.region);
      double tick_seconds = std::chrono::duration<double>(kTick).count();
      int arrivals = std::poisson_distribution<int>(kRequestsPerSecond * tick_seconds)(host->rng);
      for (int i = 0; i < arrivals; ++i) {
        Request request;
        request.server = servers[host->rng() % servers.size()];
        // One prompt in twenty is long.
        request.tokens = 200 + static_cast<int64_t>(host->rng() % 3'000);
        if (host->rng() % 20 == 0) request.tokens += 10'000;
        double run = std::exponential_distribution<double>(1 / kMeanRequestSeconds)(host->rng);
        request.ends_at = now_ + Duration(static_cast<int64_t>(run * 1e6));
        request.prefilled_at = now_ + (request.ends_at - now_) / 3;
        ++servers_[static_cast<size_t>(request.server)].in_flight;
        host->requests.push_back(request);
        ShareStream(host, request);
      }
    }
    auto ended =
        std::remove_if(host->requests.begin(), host->requests.end(), [&](Request& request) {
          if (request.ends_at > now_) return false;
          --servers_[static_cast<size_t>(request.server)].in_flight;
          return true;
        });
    host->requests.erase(ended, host->requests.end());
  }

  // The origin of every second request, to a control host of the region and one of another.
  void ShareStream(Host* host, const Request& request) {
    if (host->rng() % 2 == 0) return;
    int own = static_cast<int>(host->rng() % kDomainsPerRegion);
    int region = std::stoi(host->entry.region.value().substr(7));
    int regions = kDomains / kDomainsPerRegion;
    int other = region * kDomainsPerRegion + kDomainsPerRegion;
    StreamRecord record{
        host->rng(),
        {servers_[static_cast<size_t>(request.server)].announcement.models[0].name.value(),
         "2026.12.1"}};
    for (int holder : {region * kDomainsPerRegion + own, other % (regions * kDomainsPerRegion)}) {
      Call<wire::Peer::StreamsParams, wire::Peer::StreamsResults>(
          host, hosts_[static_cast<size_t>(holder)].get(), 8,
          [&](auto params) { WriteStream(record, params.initRows(1)[0]); }, [](auto) {});
    }
  }

  std::vector<ServerWork> WorkOf(const Host& host) const {
    std::map<ServerId, ServerWork> work;
    for (const Request& request : host.requests) {
      const ServerId& id = servers_[static_cast<size_t>(request.server)].announcement.id;
      ServerWork& row = work[id];
      row.server = id;
      ++row.in_flight;
      if (request.prefilled_at > now_) row.prefill_tokens += request.tokens;
    }
    std::vector<ServerWork> rows;
    for (auto& [id, row] : work) rows.push_back(row);
    return rows;
  }

  void ShareWork(Host* host) {
    host->work.roster =
        MakeWorkRoster(HostEntries(host->membership), host->membership.self, ServerScope::kRegion);
    SetOwnWork(&host->work, WorkOf(*host));
    for (WorkMessage& message : TakeWorkMessages(&host->work, now_)) {
      Host* to = by_id_.at(message.to);
      std::string changes =
          EncodeWork(&host->encoders[{message.to, message.kind}], message.work, now_);
      Call<wire::Peer::WorkParams, wire::Peer::WorkResults>(
          host, to, 7, [&](auto params) { WriteWorkChangesCall(message.kind, changes, params); },
          [](auto) {});
      std::optional<std::vector<ServerWork>> work =
          DecodeWork(&to->decoders[{host->entry.id, message.kind}], changes, now_);
      OnWorkList(&to->work, host->entry.id, message.kind, std::move(work.value()), now_);
    }
  }

  void ReportSummary(Host* host) {
    host->next_summary = now_ + milliseconds(500);
    expired_ += Expire(&host->registry, now_).size();
    if (!IsReporter(host->membership)) return;
    std::vector<BackendServer> servers = LiveServers(host->registry, now_);
    ApplyAllWork(host->work, now_, &servers);
    ReportSummaries(&host->membership, SummarizeDomain(host->membership.self, servers, now_),
                    static_cast<uint64_t>(now_.time_since_epoch().count()), now_);
  }

  void SampleError() {
    Host& host = *hosts_[kDomains + rng_() % (hosts_.size() - kDomains)];
    std::vector<BackendServer> servers = LiveServers(host.registry, now_);
    ApplyOthersWork(host.work, now_, &servers);
    std::map<ServerId, int> own;
    for (const ServerWork& row : WorkOf(host)) own[row.server] = row.in_flight;
    for (const BackendServer& server : servers) {
      const ServerId& id = server.announced.id;
      int known = server.other_hosts_requests + own[id];
      error_sum_ += std::abs(known - servers_[static_cast<size_t>(server_index_.at(id))].in_flight);
      error_samples_ += 1;
    }
  }

  std::mt19937_64 rng_;
  Time now_ = Time() + seconds(1'000);
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<HostId, Host*> by_id_;
  std::vector<Server> servers_;
  std::map<ServerId, int> server_index_;
  std::map<RegionId, std::vector<int>> region_servers_;
  uint64_t ticks_ = 0;
  double error_sum_ = 0;
  double error_samples_ = 0;
  double wall_seconds_ = 0;
  size_t expired_ = 0;
};

void PrintTable(int hosts, const Deployment& deployment) {
  std::printf("%d hosts, %d servers; sent by a host each second\n", hosts, hosts * kServersPerHost);
  std::printf("  %-16s %14s %14s %14s %14s\n", "flow", "gateway B/s", "gateway msg/s",
              "control B/s", "control msg/s");
  for (size_t i = 0; i < kPeerFlowCount; ++i) {
    auto flow = static_cast<PeerFlow>(i);
    double messages = deployment.Sent(false, flow, &FlowCount::messages) +
                      deployment.Sent(true, flow, &FlowCount::messages);
    if (messages == 0) continue;
    std::printf("  %-16s %14.0f %14.1f %14.0f %14.1f\n", PeerFlowName(flow),
                deployment.Sent(false, flow, &FlowCount::bytes),
                deployment.Sent(false, flow, &FlowCount::messages),
                deployment.Sent(true, flow, &FlowCount::bytes),
                deployment.Sent(true, flow, &FlowCount::messages));
  }
  std::printf("  %-16s %14.0f %14s %14.0f\n", "all", deployment.SentBytes(false), "",
              deployment.SentBytes(true));
  std::printf(
      "  mean host %.0f B/s, busiest %.0f; error of the known work %.3f requests a server; servers "
      "expired %zu; "
      "%.1f s for %.0f s\n",
      deployment.SentBytesOfMeanHost(), deployment.SentBytesOfBusiestHost(), deployment.MeanError(),
      deployment.expired(), deployment.wall_seconds(),
      std::chrono::duration<double>(kMeasured).count());
}

void PrintGrowth(int hosts, const Deployment& from, int more_hosts, const Deployment& to) {
  double size = std::log(static_cast<double>(more_hosts) / hosts);
  std::printf("growth from %d to %d hosts, as a power: gateway %.2f, control host %.2f\n\n", hosts,
              more_hosts, std::log(to.SentBytes(false) / from.SentBytes(false)) / size,
              std::log(to.SentBytes(true) / from.SentBytes(true)) / size);
}

void RunSizes(const std::vector<int>& sizes) {
  std::unique_ptr<Deployment> previous;
  int previous_hosts = 0;
  for (int hosts : sizes) {
    auto deployment = std::make_unique<Deployment>(hosts);
    deployment->Run();
    PrintTable(hosts, *deployment);
    if (previous) PrintGrowth(previous_hosts, *previous, hosts, *deployment);
    std::fflush(stdout);
    previous = std::move(deployment);
    previous_hosts = hosts;
  }
}

int Check(const char* file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  std::string document = text.str();
  std::regex line("control_flows_bench baseline, (\\d+) hosts: (\\d+) B/s");
  int baselines = 0;
  bool failed = false;
  for (std::sregex_iterator it(document.begin(), document.end(), line), end; it != end; ++it) {
    ++baselines;
    int hosts = std::stoi((*it)[1]);
    double recorded = std::stod((*it)[2]);
    Deployment deployment(hosts);
    deployment.Run();
    double measured = deployment.SentBytesOfMeanHost();
    bool worse = measured > recorded * kAllowedGrowth;
    std::printf("%d hosts: %.0f B/s a host, recorded %.0f%s\n", hosts, measured, recorded,
                worse ? ": more than a tenth above" : "");
    failed = failed || worse;
  }
  if (baselines == 0) std::printf("no baseline in %s\n", file);
  return failed || baselines == 0 ? 1 : 0;
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "--check") return ebonylift::Check(argv[2]);
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {10, 30, 100, 300};
  ebonylift::RunSizes(sizes);
  return 0;
}
