#define BOOST_TEST_MODULE packed_stream
#include "adapters/packed_stream.h"

#include <capnp/message.h>
#include <kj/async-io.h>

#include <boost/test/included/unit_test.hpp>
#include <functional>
#include <set>
#include <string>

#include "adapters/peer_codec.h"
#include "peer.capnp.h"

namespace ebonylift {
namespace {

constexpr uint64_t kLimitWords = 1 << 16;

capnp::ReaderOptions ReaderLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kLimitWords;
  return options;
}

struct StreamPairFixture {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::TwoWayPipe pipe = kj::newTwoWayPipe();
  ByteCounts local_counts;
  ByteCounts remote_counts;
  PackedStream local{*pipe.ends[0], &local_counts};
  PackedStream remote{*pipe.ends[1], &remote_counts};

  // Sends a put with a path of `bytes` characters from `from` to `to` and returns the path
  // received.
  std::string SendAndReceive(capnp::MessageStream& from, capnp::MessageStream& to, size_t bytes) {
    // The first segment has only 16 words, so that larger messages have several segments.
    capnp::MallocMessageBuilder message(16);
    message.initRoot<wire::Put>().setPath(std::string(bytes, 'p'));
    auto write = from.writeMessage(message).eagerlyEvaluate(nullptr);
    auto read = to.readMessage(ReaderLimits()).wait(io.waitScope);
    write.wait(io.waitScope);
    return read->getRoot<wire::Put>().getPath().cStr();
  }
};

// Guards against frames that lose or reorder segments, with messages that do and do not fit into
// the first segment, and against sender and receiver counting different numbers of bytes.
BOOST_FIXTURE_TEST_CASE(MessagesRoundTripAndBothSidesCountTheSameBytes, StreamPairFixture) {
  for (size_t bytes : {0u, 1u, 100u, 1000u, 100'000u}) {
    BOOST_TEST(SendAndReceive(local, remote, bytes) == std::string(bytes, 'p'));
  }
  BOOST_TEST(local_counts.sent == remote_counts.received);
  BOOST_TEST(local_counts.sent > 100'000u);
  BOOST_TEST(remote_counts.sent == 0u);
}

// Guards against answers and ends of calls that are counted for no flow or for a flow of the other
// direction, where the same question ids are in use.
BOOST_FIXTURE_TEST_CASE(CallsAndTheirAnswersCountTowardsTheirFlow, StreamPairFixture) {
  auto send = [this](capnp::MessageStream& from, capnp::MessageStream& to,
                     const std::function<void(capnp::rpc::Message::Builder)>& fill) {
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<capnp::rpc::Message>());
    auto write = from.writeMessage(message).eagerlyEvaluate(nullptr);
    to.readMessage(ReaderLimits()).wait(io.waitScope);
    write.wait(io.waitScope);
  };
  auto call = [](uint16_t method, WorkListKind kind) {
    return [method, kind](capnp::rpc::Message::Builder message) {
      auto out = message.initCall();
      out.setQuestionId(1);
      out.setInterfaceId(capnp::typeId<wire::Peer>());
      out.setMethodId(method);
      auto params = out.initParams().getContent().initAs<wire::Peer::WorkParams>();
      if (method == 7) params.setKind(WriteWorkListKind(kind));
    };
  };
  send(local, remote, call(7, WorkListKind::kOfOthers));
  send(remote, local, call(0, WorkListKind::kOwn));
  send(remote, local, [](auto message) { message.initReturn().setAnswerId(1); });
  send(local, remote, [](auto message) { message.initReturn().setAnswerId(1); });
  send(local, remote, [](auto message) { message.initFinish().setQuestionId(1); });
  auto messages = [](const std::array<FlowCount, kPeerFlowCount>& counts, PeerFlow flow) {
    return counts[static_cast<size_t>(flow)].messages;
  };
  const FlowCounts& here = local_counts.flows;
  const FlowCounts& there = remote_counts.flows;
  BOOST_TEST(messages(here.sent, PeerFlow::kWorkSums) == 2u);
  BOOST_TEST(messages(here.received, PeerFlow::kWorkSums) == 1u);
  BOOST_TEST(messages(here.sent, PeerFlow::kGossip) == 1u);
  BOOST_TEST(messages(there.received, PeerFlow::kWorkSums) == 2u);
  BOOST_TEST(messages(there.sent, PeerFlow::kGossip) == 1u);
  uint64_t bytes = 0;
  for (const FlowCount& count : here.sent) bytes += count.bytes;
  BOOST_TEST(bytes == local_counts.sent);
}

// Guards against a peer that knows only the plain encoding being unable to exchange messages.
BOOST_FIXTURE_TEST_CASE(PlainPeerReceivesPlainMessages, StreamPairFixture) {
  capnp::AsyncIoMessageStream plain(*pipe.ends[0]);
  BOOST_TEST(SendAndReceive(plain, remote, 100) == std::string(100, 'p'));
  BOOST_TEST(SendAndReceive(remote, plain, 5000) == std::string(5000, 'p'));
  BOOST_TEST(SendAndReceive(plain, remote, 5000) == std::string(5000, 'p'));
  BOOST_TEST(remote_counts.sent > 5000u);
}

// Guards against allocating memory for a message that is small when packed but exceeds the limit
// when unpacked.
BOOST_FIXTURE_TEST_CASE(MessageOverTheLimitAfterUnpackingIsRejected, StreamPairFixture) {
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Put>().initPath(static_cast<uint32_t>(2 * kLimitWords * 8));
  auto write = local.writeMessage(message).eagerlyEvaluate(nullptr);
  BOOST_CHECK_EXCEPTION(
      remote.readMessage(ReaderLimits()).wait(io.waitScope), kj::Exception,
      [](const kj::Exception& e) { return e.getType() == kj::Exception::Type::FAILED; });
  BOOST_TEST(local_counts.sent < 100'000u);
}

// Guards against allocating gigabytes for a frame whose header states such a length.
BOOST_FIXTURE_TEST_CASE(FrameLengthOverTheLimitIsRejected, StreamPairFixture) {
  const unsigned char header[] = {0xff, 0xff, 0xff, 0xff};
  auto write = pipe.ends[0]->write(header, sizeof(header)).eagerlyEvaluate(nullptr);
  BOOST_CHECK_EXCEPTION(
      remote.readMessage(ReaderLimits()).wait(io.waitScope), kj::Exception,
      [](const kj::Exception& e) { return e.getType() == kj::Exception::Type::FAILED; });
}

// Guards against reporting a connection that closes in the middle of a message as a clean end of
// stream or as a malformed message.
BOOST_FIXTURE_TEST_CASE(TruncatedMessageIsReportedAsDisconnect, StreamPairFixture) {
  const unsigned char header[] = {10, 0, 0, 0x80, 1};
  auto write = pipe.ends[0]->write(header, sizeof(header)).eagerlyEvaluate(nullptr);
  auto read = remote.readMessage(ReaderLimits()).eagerlyEvaluate(nullptr);
  write.wait(io.waitScope);
  pipe.ends[0]->shutdownWrite();
  BOOST_CHECK_EXCEPTION(read.wait(io.waitScope), kj::Exception, [](const kj::Exception& e) {
    return e.getType() == kj::Exception::Type::DISCONNECTED;
  });
}

ServerRefresh MakeRefresh(uint64_t key, uint64_t seq, uint64_t load_seq, int running) {
  ServerRefresh refresh;
  refresh.key = key;
  refresh.seq = seq;
  refresh.load.seq = load_seq;
  refresh.load.running = running;
  refresh.load.slots = 8;
  refresh.load.prefill_tokens_waiting = 500 * running;
  refresh.age = milliseconds(370);
  return refresh;
}

// Guards against the refresh encoding losing a field and against reading past truncated input.
BOOST_AUTO_TEST_CASE(RefreshesRoundTrip) {
  std::vector<ServerRefresh> sent = {MakeRefresh(0xabcdef012345, 1, 1, 0),
                                     MakeRefresh(0, UINT64_MAX, 3, 200),
                                     MakeRefresh(7, 3, UINT64_MAX, 1)};
  std::string bytes = WriteRefreshes(sent);
  std::vector<ServerRefresh> read = ReadRefreshes(bytes);
  BOOST_REQUIRE_EQUAL(read.size(), sent.size());
  for (size_t i = 0; i < sent.size(); ++i) {
    BOOST_TEST(read[i].key == sent[i].key);
    BOOST_TEST(read[i].seq == sent[i].seq);
    BOOST_TEST((read[i].load == sent[i].load));
    BOOST_TEST(read[i].age.count() == sent[i].age.count());
  }
  for (size_t length = 0; length < bytes.size(); ++length) {
    BOOST_TEST(ReadRefreshes(std::string_view(bytes).substr(0, length)).size() < sent.size());
  }
  BOOST_TEST(WriteRefreshes({sent[0]}).size() <= 16u);
}

// Guards against the digest encoding losing a field of a summary, and against grouping that assigns
// rows to the wrong failure domain.
BOOST_AUTO_TEST_CASE(SummariesRoundTrip) {
  GossipMessage sent;
  Time now(seconds(1000));
  for (int i = 0; i < 12; ++i) {
    SummaryRow row;
    row.summary.domain = DomainId("d" + std::to_string(i % 3));
    row.summary.region = RegionId("r" + std::to_string(i % 2));
    row.summary.served = "model-" + std::string(static_cast<size_t>(i) * 20, 'm');
    row.summary.version = (uint64_t{1} << 60) + static_cast<uint64_t>(i * i * 1000);
    row.summary.servers = i;
    row.summary.slots = 100 * i;
    row.summary.running = 7 * i;
    row.summary.waiting = 1000 * i;
    row.summary.reported_at = now - milliseconds(100 * i);
    for (int j = 0; j < i % 3; ++j) {
      row.summary.software_versions.push_back("v" + std::to_string(i) + "." + std::to_string(j));
    }
    row.reporter = HostId("h" + std::to_string(i % 4));
    sent.summaries.push_back(row);
  }
  capnp::MallocMessageBuilder message;
  WriteDigest(sent, now, message.initRoot<wire::Digest>());
  GossipMessage read = ReadDigest(message.getRoot<wire::Digest>().asReader(), now);
  auto text = [](const SummaryRow& row) {
    const DomainSummary& s = row.summary;
    std::string all = s.domain.value() + "/" + s.region.value() + "/" + s.served + "/" +
                      row.reporter.value() + "/" + std::to_string(s.version);
    for (int64_t number : {int64_t{s.servers}, int64_t{s.slots}, int64_t{s.running},
                           int64_t{s.waiting}, int64_t{s.reported_at.time_since_epoch().count()}}) {
      all += "/" + std::to_string(number);
    }
    for (const std::string& version : s.software_versions) all += "/" + version;
    return all;
  };
  std::set<std::string> expected;
  std::set<std::string> found;
  for (const SummaryRow& row : sent.summaries) expected.insert(text(row));
  for (const SummaryRow& row : read.summaries) found.insert(text(row));
  BOOST_TEST(found == expected, boost::test_tools::per_element());
  BOOST_TEST(read.summaries.size() == sent.summaries.size());
}

}  // namespace
}  // namespace ebonylift
