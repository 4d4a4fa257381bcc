// Measures the cost of the control thread of a host while nothing fails: bytes sent to peers and
// CPU time.
//
// Runs the control threads of all hosts of three failure domains in one process. The backend
// servers of each failure domain announce themselves every 700 ms.
//
// Usage: control_bench [hosts per domain] [servers per domain] [seconds]

#include <glog/logging.h>
#include <sys/resource.h>

#include <cstdlib>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "daemon/control.h"

namespace ebonylift {
namespace {

constexpr int kDomains = 3;
constexpr int kFirstPort = 21'000;

ControlPeer MakePeer(int index, int hosts) {
  int domain = index / hosts;
  ControlPeer peer;
  peer.identity.host = HostId("host-" + std::to_string(index));
  peer.identity.domain = DomainId("domain-" + std::to_string(domain));
  peer.identity.region = RegionId("region-" + std::to_string(domain));
  peer.rpc_address = "127.0.0.1:" + std::to_string(kFirstPort + index);
  peer.http_address = "127.0.0.1:80";
  return peer;
}

std::vector<std::unique_ptr<ControlPort>> StartControlThreads(int hosts) {
  std::vector<std::unique_ptr<ControlPort>> ports;
  for (int i = 0; i < hosts * kDomains; ++i) {
    ControlOptions options;
    options.self = MakePeer(i, hosts).identity;
    options.incarnation = 1;
    options.peer_address = MakePeer(i, hosts).rpc_address;
    options.http_address = MakePeer(i, hosts).http_address;
    options.cluster_key = "bench";
    for (int j = 0; j < hosts * kDomains; ++j) {
      if (j != i) options.peers.push_back(MakePeer(j, hosts));
    }
    ports.push_back(StartControl(std::move(options)));
  }
  return ports;
}

// Sends one announcement of each backend server to a host of its failure domain.
void AnnounceServers(const std::vector<std::unique_ptr<ControlPort>>& ports, int hosts, int servers,
                     uint64_t seq) {
  for (int domain = 0; domain < kDomains; ++domain) {
    for (int i = 0; i < servers; ++i) {
      int host = domain * hosts + i % hosts;
      Announcement announcement;
      announcement.id = ServerId("server-" + std::to_string(domain) + "-" + std::to_string(i));
      announcement.incarnation = 1;
      announcement.seq = seq;
      announcement.domain = MakePeer(host, hosts).identity.domain;
      announcement.region = MakePeer(host, hosts).identity.region;
      announcement.address = "10.0.0.1:8000";
      ServedModel model;
      model.name = ModelId("model-" + std::to_string(i % 2));
      announcement.models.push_back(model);
      announcement.load.slots = 8;
      announcement.load.running = static_cast<int>(seq % 8);
      ports[static_cast<size_t>(host)]->Announce(announcement, [](std::optional<Error>) {});
    }
  }
}

uint64_t PeerSentBytes(ControlPort* port) {
  auto answer = std::make_shared<std::promise<std::string>>();
  port->Status([answer](std::string status) { answer->set_value(std::move(status)); });
  return nlohmann::json::parse(answer->get_future().get()).at("peer_sent_bytes").get<uint64_t>();
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto to_seconds = [](const timeval& value) {
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / 1e6;
  };
  return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

void Measure(int hosts, int servers, int run_seconds) {
  auto ports = StartControlThreads(hosts);
  uint64_t seq = 0;
  auto announce_for = [&](Duration duration) {
    for (Time end = SteadyNow() + duration; SteadyNow() < end;) {
      AnnounceServers(ports, hosts, servers, ++seq);
      std::this_thread::sleep_for(milliseconds(700));
    }
  };
  announce_for(seconds(10));  // lets every host discover all others
  // Holds the bytes sent since `start`. Subtracting the initial counts wraps around below zero, and
  // adding the final counts wraps back.
  uint64_t sent_bytes = 0;
  for (const auto& port : ports) sent_bytes -= PeerSentBytes(port.get());
  double cpu_seconds = -CpuSeconds();
  Time start = SteadyNow();
  announce_for(seconds(run_seconds));
  double elapsed = static_cast<double>((SteadyNow() - start).count()) / 1e6;
  for (const auto& port : ports) sent_bytes += PeerSentBytes(port.get());
  cpu_seconds += CpuSeconds();
  double host_seconds = elapsed * static_cast<double>(ports.size());
  std::cout << ports.size() << " hosts, " << servers
            << " servers per domain: " << static_cast<double>(sent_bytes) / host_seconds
            << " bytes/s and " << 100 * cpu_seconds / host_seconds << "% of a core per host\n";
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  int hosts = argc > 1 ? std::atoi(argv[1]) : 6;
  int servers = argc > 2 ? std::atoi(argv[2]) : 0;
  int run_seconds = argc > 3 ? std::atoi(argv[3]) : 20;
  FLAGS_minloglevel = google::GLOG_ERROR;
  ebonylift::Measure(hosts, servers, run_seconds);
}
