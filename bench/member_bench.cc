// Runs the control thread of one host of a failure domain, with the given parameters of the failure
// detector, until the process is killed. Every second it prints the wall-clock time in milliseconds
// and the number of bytes sent to peers so far. Its events go to stderr.
//
// `scripts/measure detector` starts several of these processes, connects them through the
// fault-injecting proxy, and reads their output.
//
// Usage: member_bench SELF PERIOD_MS ACK_MS SUSPICION_MS LISTEN ADDRESS...
// LISTEN is the address that this host listens on. There is one ADDRESS per host: the one at which
// this host reaches it. SELF is the index of this host among them; its own ADDRESS is not used.

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

Identity MemberIdentity(int index) {
  return {HostId("host-" + std::to_string(index)), RegionId("region"), DomainId("domain")};
}

void PrintSentBytes(ControlPort* port) {
  port->Status([](const std::string& status) {
    auto sent = nlohmann::json::parse(status).at("peer_sent_bytes").get<uint64_t>();
    std::cout << WallNow() << " " << sent << std::endl;
  });
}

void RunHost(char** argv, int argc) {
  constexpr int kFirstAddressArgument = 6;
  int self = std::atoi(argv[1]);
  ControlOptions options;
  options.self = MemberIdentity(self);
  options.incarnation = static_cast<uint64_t>(WallNow());
  options.peer_address = argv[5];
  options.http_address = "127.0.0.1:80";
  options.cluster_key = "bench";
  options.membership.period = milliseconds(std::atoi(argv[2]));
  options.membership.ack_timeout = milliseconds(std::atoi(argv[3]));
  options.membership.suspicion_timeout = milliseconds(std::atoi(argv[4]));
  for (int i = kFirstAddressArgument; i < argc; ++i) {
    if (i - kFirstAddressArgument == self) continue;
    ControlPeer peer;
    peer.identity = MemberIdentity(i - kFirstAddressArgument);
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
