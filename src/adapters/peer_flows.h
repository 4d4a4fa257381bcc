#ifndef EBONYLIFT_ADAPTERS_PEER_FLOWS_H_
#define EBONYLIFT_ADAPTERS_PEER_FLOWS_H_

// Counts the messages between daemons by what they are for.
//
// The counts are those of the RPC messages on the wire: a call, its answer and the message that
// ends it all count towards the flow of the call, in the direction in which each was sent.
//
// Not thread safe. Memory: two bytes for each call that was open at a time on a connection, for at
// most kMaxTrackedCalls calls each way.

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ebonylift {

enum class PeerFlow : uint8_t {
  kGossip,
  kAnnouncements,  // with at least one full announcement
  kRefreshes,      // announcements of which only the load or the time changed, also as alive sets
  kConsensus,
  kConfigPulls,
  kPuts,
  kSuspects,
  kTimeline,
  kWorkDirect,     // WorkListKind::kOwn
  kWorkOwn,        // kForCollector
  kWorkCollected,  // kCollected
  kWorkSums,       // kOfOthers
  kStreams,
  kFindStream,
  kRoom,
  kVersions,
  kLimits,
  kLogin,
  kOther,
};
constexpr size_t kPeerFlowCount = static_cast<size_t>(PeerFlow::kOther) + 1;

// The value of the label `flow`.
const char* PeerFlowName(PeerFlow flow);

struct FlowCount {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

struct FlowCounts {
  std::array<FlowCount, kPeerFlowCount> sent;
  std::array<FlowCount, kPeerFlowCount> received;
};

// Tells the flows of the messages on one connection.
class FlowTracker {
 public:
  // Returns the flow of a message. Malformed messages are PeerFlow::kOther.
  PeerFlow OnSent(capnp::MessageReader& message) {
    return Find(message, &own_calls_, &peer_calls_);
  }
  PeerFlow OnReceived(capnp::MessageReader& message) {
    return Find(message, &peer_calls_, &own_calls_);
  }

 private:
  using Calls = std::vector<PeerFlow>;  // by question id

  // `senders` are the calls that the sender of the message made, `receivers` those of the other.
  static PeerFlow Find(capnp::MessageReader& message, Calls* senders, Calls* receivers);

  Calls own_calls_;
  Calls peer_calls_;
};

// Question ids are reused, so they stay below the largest number of open calls.
constexpr uint32_t kMaxTrackedCalls = 4096;

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_FLOWS_H_
