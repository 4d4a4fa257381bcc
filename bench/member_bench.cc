// One host of a failure domain with given parameters of the failure detector, until it is killed.
//
// scripts/measure detector starts several of them behind the proxy and reads their events. Usage:
// member_bench SELF PERIOD_MS ACK_MS SUSPICION_MS LISTEN ADDRESS... with the address of each host
// as this one reaches it; SELF is the index of the own one.

#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/event.h"
#include "daemon/control.h"

namespace ebonylift {
namespace {

constexpr Duration kReportInterval = seconds(1);

Identity Member(int index) {
  return {HostId("host-" + std::to_string(index)), RegionId("region"), DomainId("domain")};
}

void PrintSentBytes(ControlPort* port) {
  port->Status([](const std::string& status) {
    auto sent = nlohmann::json::parse(status).at("peer_sent_bytes").get<uint64_t>();
    std::cout << WallNow() << " " << sent << std::endl;
  });
}

void RunHost(char** argv, int argc) {
  constexpr int kFirstAddress = 6;
  int self = std::atoi(argv[1]);
  ControlOptions options;
  options.self = Member(self);
  options.incarnation = static_cast<uint64_t>(WallNow());
  options.peer_address = argv[5];
  options.http_address = "127.0.0.1:80";
  options.cluster_key = "bench";
  options.membership.period = milliseconds(std::atoi(argv[2]));
  options.membership.ack_timeout = milliseconds(std::atoi(argv[3]));
  options.membership.suspicion_timeout = milliseconds(std::atoi(argv[4]));
  for (int i = kFirstAddress; i < argc; ++i) {
    if (i - kFirstAddress == self) continue;
    ControlPeer peer;
    peer.identity = Member(i - kFirstAddress);
    peer.rpc_address = argv[i];
    peer.http_address = options.http_address;
    options.peers.push_back(peer);
  }
  SetEventHost(options.self.host.value());
  std::unique_ptr<ControlPort> port = StartControl(std::move(options));
  while (true) {
    std::this_thread::sleep_for(kReportInterval);
    PrintSentBytes(port.get());
  }
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  if (argc < 8) return 2;
  FLAGS_logtostderr = true;
  ebonylift::RunHost(argv, argc);
}
