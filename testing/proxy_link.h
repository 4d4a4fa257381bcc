#ifndef EBONYLIFT_TESTING_PROXY_LINK_H_
#define EBONYLIFT_TESTING_PROXY_LINK_H_

// One link of the fault-injecting proxy: a listening address whose connections are copied to a
// target.
//
// What the faults model:
// - delay, jitter: each way, order kept.
// - drop: a silent partition. Bytes, ends and resets are held back and arrive after the drop ends,
//   as TCP would retransmit them. New connections are accepted by the kernel but do not reach the
//   target until then. A drop one way is a one-way cut.
// - freeze: as drop both ways, and nothing is read, so senders see a full window.
// - refuse: new connections are refused; open ones go on.
// - truncate: each connection ends after this many bytes from the target.
// While the target refuses connections the link refuses too, so that callers see a stopped process
// as they would without the proxy; the first connection after the stop is reset instead.
//
// Memory: at most kMaxBufferedBytes for each direction of a connection. All functions run on the
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

// Fields that the request leaves out keep their value. `drop` is "none", "to_target", "to_client"
// or "both". {"clear":true} ends all faults but keeps delay and jitter. Throws Error(kBadRequest).
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

  void UpdateAcceptor();
  void Accept();
  void OnTargetRefused();
  void ProbeTarget();
  Duration NextDelay();
  void Remove(const std::shared_ptr<ProxyConnection>& connection);

  asio::io_context& io_;
  LinkSettings settings_;
  asio::ip::tcp::endpoint listen_;
  asio::ip::tcp::endpoint target_;
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
