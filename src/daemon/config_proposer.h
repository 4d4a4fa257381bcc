#ifndef EBONYLIFT_DAEMON_CONFIG_PROPOSER_H_
#define EBONYLIFT_DAEMON_CONFIG_PROPOSER_H_

// Brings configuration changes to the leader of the voters.
//
// A change is proposed to the local replica. If another host is the leader, the change is forwarded
// to it, or to any connected voter when the leader is not connected. A change is forwarded at most
// kMaxPutHops times.
//
// The host that received the change from the operator retries it for up to kMaxLeaderWait while
// there is no leader. Nothing was proposed in that case, so the retry cannot apply a change twice.
// A change whose forwarding timed out may have been applied and is not retried.
//
// Not thread safe: all methods and callbacks run on the control thread. Memory: at most
// kMaxWaitingPuts waiting changes.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/control_port.h"

namespace ebonylift {

constexpr Duration kPutTimeout = seconds(10);  // of a forwarded change
// How long a configuration change waits for a leader. An election ends sooner, and changes by
// operators are rarer than requests and cost more to send again, so waiting is better than failing.
constexpr Duration kMaxLeaderWait = seconds(2);
constexpr size_t kMaxWaitingPuts = 64;
constexpr uint32_t kMaxPutHops = 2;

class ConfigProposer {
 public:
  using PutDone = std::function<void(PutAnswer)>;

  struct Options {
    // ConfigReplica::Put() and ConfigReplica::Voters() of the local replica.
    std::function<std::optional<HostId>(const ConfigPut& put, const PutDone& done)> propose;
    std::function<std::vector<HostId>()> voters;
    // Rpc::IsConnected() and Rpc::ProposePut(), with the timeout kPutTimeout.
    std::function<bool(const HostId& host)> is_connected;
    std::function<void(const HostId& to, const ConfigPut& put, uint32_t hops,
                       std::function<void(std::optional<PutAnswer>)> done)>
        forward;
    std::function<Time()> clock = SteadyNow;  // steady clock
  };

  explicit ConfigProposer(Options options) : options_(std::move(options)) {}

  // Proposes a change that was forwarded `hops` times before it arrived here. `done` runs exactly
  // once, with the errors of ConfigReplica::Put(): kNoQuorum means that nothing was proposed, and
  // kConfigUnknown that the leader did not answer.
  void Put(const ConfigPut& put, uint32_t hops, const PutDone& done);

  // Tries the waiting changes again. Call it at short intervals.
  void RetryWaiting();

 private:
  // A configuration change that waits for a leader.
  struct WaitingPut {
    ConfigPut put;
    PutDone done;
    Time deadline;
  };

  void Try(const WaitingPut& waiting);
  void PutWithoutWaiting(const ConfigPut& put, uint32_t hops, const PutDone& done);
  std::optional<HostId> ForwardTarget(const HostId& leader) const;

  Options options_;
  std::vector<WaitingPut> waiting_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PROPOSER_H_
