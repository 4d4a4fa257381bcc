#include "adapters/peer_flows.h"

#include <kj/exception.h>

#include "peer.capnp.h"

namespace ebonylift {
namespace {

using capnp::rpc::Message;

PeerFlow FlowOfWork(wire::WorkListKind kind) {
  switch (kind) {
    case wire::WorkListKind::OWN:
      return PeerFlow::kWorkDirect;
    case wire::WorkListKind::FOR_COLLECTOR:
      return PeerFlow::kWorkOwn;
    case wire::WorkListKind::COLLECTED:
      return PeerFlow::kWorkCollected;
    case wire::WorkListKind::OF_OTHERS:
      return PeerFlow::kWorkSums;
  }
  return PeerFlow::kOther;
}

PeerFlow FlowOfAnnounce(wire::Peer::AnnounceParams::Reader params) {
  return params.getAnnouncements().size() > 0 ? PeerFlow::kAnnouncements : PeerFlow::kRefreshes;
}

// The ordinals are those of interface Peer in schema/peer.capnp.
PeerFlow FlowOfCall(capnp::rpc::Call::Reader call) {
  if (call.getInterfaceId() != capnp::typeId<wire::Peer>()) return PeerFlow::kLogin;
  auto params = call.getParams().getContent();
  switch (call.getMethodId()) {
    case 0:
      return PeerFlow::kGossip;
    case 1:
      return FlowOfAnnounce(params.getAs<wire::Peer::AnnounceParams>());
    case 2:
      return PeerFlow::kConsensus;
    case 3:
      return PeerFlow::kConfigPulls;
    case 4:
      return PeerFlow::kPuts;
    case 5:
      return PeerFlow::kSuspects;
    case 6:
      return PeerFlow::kTimeline;
    case 7:
      return FlowOfWork(params.getAs<wire::Peer::WorkParams>().getKind());
    case 8:
      return PeerFlow::kStreams;
    case 9:
      return PeerFlow::kFindStream;
    case 10:
      return PeerFlow::kRoom;
    case 11:
      return PeerFlow::kVersions;
    case 12:
      return PeerFlow::kLimits;
    default:
      return PeerFlow::kOther;
  }
}

PeerFlow Lookup(const std::vector<PeerFlow>& calls, uint32_t question) {
  return question < calls.size() ? calls[question] : PeerFlow::kOther;
}

void Record(uint32_t question, PeerFlow flow, std::vector<PeerFlow>* calls) {
  if (question >= kMaxTrackedCalls) return;
  if (question >= calls->size()) calls->resize(question + 1, PeerFlow::kOther);
  (*calls)[question] = flow;
}

}  // namespace

const char* PeerFlowName(PeerFlow flow) {
  static constexpr std::array<const char*, kPeerFlowCount> kNames = {
      "gossip",         "announcements", "refreshes", "consensus",   "config_pulls",
      "puts",           "suspects",      "timeline",  "work_direct", "work_own",
      "work_collected", "work_sums",     "streams",   "find_stream", "room",
      "versions",       "limits",        "login",     "other"};
  return kNames[static_cast<size_t>(flow)];
}

PeerFlow FlowTracker::Find(capnp::MessageReader& message, Calls* senders, Calls* receivers) {
  PeerFlow flow = PeerFlow::kOther;
  // The RPC system reports a malformed message.
  (void)kj::runCatchingExceptions([&]() {
    auto root = message.getRoot<Message>();
    switch (root.which()) {
      case Message::BOOTSTRAP:
        flow = PeerFlow::kLogin;
        Record(root.getBootstrap().getQuestionId(), flow, senders);
        break;
      case Message::CALL:
        flow = FlowOfCall(root.getCall());
        Record(root.getCall().getQuestionId(), flow, senders);
        break;
      case Message::RETURN:
        flow = Lookup(*receivers, root.getReturn().getAnswerId());
        break;
      case Message::FINISH:
        flow = Lookup(*senders, root.getFinish().getQuestionId());
        break;
      default:
        break;
    }
  });
  return flow;
}

}  // namespace ebonylift
