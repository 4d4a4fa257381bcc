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
// A forwarded change whose leader is replaced before it answers is brought to the new leader at
// once if it has a request id, which keeps it from being applied twice. Otherwise its outcome is
// unknown. A frozen or cut-off leader would hold it until the timeout.
//
// Not thread safe: all methods and callbacks run on the control thread. Memory: at most
// kMaxWaitingPuts waiting changes, and the forwarded ones, which the calls to peers limit.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
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
    // ConfigReplica::Leader().
    std::function<std::optional<HostId>()> leader;
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
  // kConfigUnknown that the leader did not answer or was replaced before it did.
  void Put(const ConfigPut& put, uint32_t hops, const PutDone& done);

  // Tries the waiting changes again, and those whose leader was replaced. Call it at short
  // intervals.
  void RetryWaiting();

 private:
  // A configuration change that waits for a leader.
  struct WaitingPut {
    ConfigPut put;
    PutDone done;
    Time deadline;
  };

  // A change that was sent to another host and is not answered yet.
  struct ForwardedPut {
    ConfigPut put;
    uint32_t hops = 0;             // before it was sent
    std::optional<HostId> leader;  // as this host believed then; nullopt: not known
    PutDone done;
  };

  void Try(const WaitingPut& waiting);
  void OnForwardAnswer(uint64_t number, const std::optional<PutAnswer>& answer);
  void FollowLeader();
  void PutWithoutWaiting(const ConfigPut& put, uint32_t hops, const PutDone& done);
  std::optional<HostId> ForwardTarget(const HostId& leader) const;

  Options options_;
  std::vector<WaitingPut> waiting_;
  std::map<uint64_t, ForwardedPut> forwarded_;  // by number
  uint64_t last_forward_ = 0;                   // number
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_PROPOSER_H_
