#ifndef EBONYLIFT_TESTING_PROXY_LINK_H_
#define EBONYLIFT_TESTING_PROXY_LINK_H_

// One link of the fault-injecting proxy: a listening address whose connections are forwarded to a
// target.
//
// The faults:
// - delay, jitter: added in each direction; the order of bytes is kept.
// - drop: a network partition that is not reported to either side. Data, connection ends and resets
//   are held back and arrive after the drop ends, like TCP retransmissions. The kernel accepts new
//   connections, but they reach the target only after a drop towards the target has ended. A drop
//   in one direction is an asymmetric partition.
// - freeze: like a drop in both directions; in addition nothing is read, so the TCP windows of the
//   senders fill up.
// - refuse: new connections are refused; open ones continue.
// - truncate: each connection closes after this many bytes from the target.
// While the target refuses connections, the link refuses them too, so that clients see a stopped
// process as they would without the proxy. Only the first connection after the stop is reset
// instead.
//
// Memory: about kMaxBufferedBytes for each direction of a connection. All functions run on the
// thread of `io`.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "base/time.h"

namespace ebonylift::standin {

constexpr size_t kMaxBufferedBytes = 1 << 20;

struct LinkFaults {
  Duration delay{0};
  Duration jitter{0};
  bool drop_to_target = false;
  bool drop_to_client = false;
  bool freeze = false;
  bool refuse = false;
  int64_t truncate_after = -1;  // -1: no limit
};

// Returns `faults` with the changes of `request`. Omitted fields keep their value. `drop` is
// "none", "to_target", "to_client" or "both". {"clear":true} turns all faults off but keeps delay
// and jitter. Throws Error(kBadRequest) for an unknown field or an invalid value.
LinkFaults ApplyLinkFaults(LinkFaults faults, const nlohmann::json& request);

struct LinkSettings {
  std::string name;
  std::string listen;
  std::string target;
  LinkFaults faults;
};

class ProxyConnection;

class ProxyLink {
 public:
  // Throws Error(kInternal) when the address cannot be bound.
  ProxyLink(asio::io_context& io, LinkSettings settings, uint64_t seed);
  ~ProxyLink();

  const std::string& name() const { return settings_.name; }
  const LinkFaults& faults() const { return settings_.faults; }
  const LinkSettings& settings() const { return settings_; }
  void SetFaults(const LinkFaults& faults);

  // Resets all open connections.
  void ResetConnections();

  nlohmann::json ToJson() const;

 private:
  friend class ProxyConnection;

  // Opens or closes the listening socket, depending on the faults and the target.
  void UpdateAcceptor();
  void Accept();
  void OnTargetRefused();
  // Connects to the target periodically until it accepts, then listens again.
  void ProbeTarget();
  Duration NextDelay();
  void Remove(const std::shared_ptr<ProxyConnection>& connection);

  asio::io_context& io_;
  LinkSettings settings_;
  asio::ip::tcp::endpoint listen_endpoint_;
  asio::ip::tcp::endpoint target_endpoint_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  asio::steady_timer probe_timer_;
  std::mt19937_64 random_;
  std::set<std::shared_ptr<ProxyConnection>> connections_;
  bool target_refuses_ = false;
  uint64_t accepted_ = 0;
  uint64_t bytes_to_target_ = 0;
  uint64_t bytes_to_client_ = 0;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_PROXY_LINK_H_
