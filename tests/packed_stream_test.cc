#define BOOST_TEST_MODULE packed_stream
#include "adapters/packed_stream.h"

#include <capnp/message.h>
#include <kj/async-io.h>

#include <boost/test/included/unit_test.hpp>
#include <set>
#include <string>

#include "adapters/peer_codec.h"
#include "peer.capnp.h"

namespace ebonylift {
namespace {

constexpr uint64_t kLimitWords = 1 << 16;

capnp::ReaderOptions Limits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kLimitWords;
  return options;
}

struct Fixture {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::TwoWayPipe pipe = kj::newTwoWayPipe();
  ByteCounts near_counts;
  ByteCounts far_counts;
  PackedStream near{*pipe.ends[0], &near_counts};
  PackedStream far{*pipe.ends[1], &far_counts};

  // `bytes` of the data that a put carries from `from` to `to`.
  std::string Pass(capnp::MessageStream& from, capnp::MessageStream& to, size_t bytes) {
    capnp::MallocMessageBuilder message(16);  // small segments, so that a message has several
    message.initRoot<wire::Put>().setPath(std::string(bytes, 'p'));
    auto write = from.writeMessage(message).eagerlyEvaluate(nullptr);
    auto read = to.readMessage(Limits()).wait(io.waitScope);
    write.wait(io.waitScope);
    return read->getRoot<wire::Put>().getPath().cStr();
  }
};

// Guards against frames that lose or reorder segments, at sizes around the first segment, and
// against sides that count different bytes.
BOOST_FIXTURE_TEST_CASE(MessagesArriveAndBothSidesCountTheSame, Fixture) {
  for (size_t bytes : {0u, 1u, 100u, 1000u, 100'000u}) {
    BOOST_TEST(Pass(near, far, bytes) == std::string(bytes, 'p'));
  }
  BOOST_TEST(near_counts.sent == far_counts.received);
  BOOST_TEST(near_counts.sent > 100'000u);
  BOOST_TEST(far_counts.sent == 0u);
}

// Guards against a host of the plain encoding that cannot talk to this one.
BOOST_FIXTURE_TEST_CASE(PlainMessagesAreAnsweredPlain, Fixture) {
  capnp::AsyncIoMessageStream plain(*pipe.ends[0]);
  BOOST_TEST(Pass(plain, far, 100) == std::string(100, 'p'));
  BOOST_TEST(Pass(far, plain, 5000) == std::string(5000, 'p'));
  BOOST_TEST(Pass(plain, far, 5000) == std::string(5000, 'p'));
  BOOST_TEST(far_counts.sent > 5000u);
}

// Guards against memory for a message that is small when packed and large after it.
BOOST_FIXTURE_TEST_CASE(MessageThatUnpacksOverTheLimitIsRefused, Fixture) {
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Put>().initPath(static_cast<uint32_t>(2 * kLimitWords * 8));
  auto write = near.writeMessage(message).eagerlyEvaluate(nullptr);
  BOOST_CHECK_EXCEPTION(
      far.readMessage(Limits()).wait(io.waitScope), kj::Exception,
      [](const kj::Exception& e) { return e.getType() == kj::Exception::Type::FAILED; });
  BOOST_TEST(near_counts.sent < 100'000u);
}

// Guards against a stated length that makes the reader allocate gigabytes.
BOOST_FIXTURE_TEST_CASE(FrameOverTheLimitIsRefused, Fixture) {
  const unsigned char head[] = {0xff, 0xff, 0xff, 0xff};
  auto write = pipe.ends[0]->write(head, sizeof(head)).eagerlyEvaluate(nullptr);
  BOOST_CHECK_EXCEPTION(
      far.readMessage(Limits()).wait(io.waitScope), kj::Exception,
      [](const kj::Exception& e) { return e.getType() == kj::Exception::Type::FAILED; });
}

// Guards against a cut connection that is taken for the end of the messages or for a malformed one.
BOOST_FIXTURE_TEST_CASE(EndInsideAMessageIsALostConnection, Fixture) {
  const unsigned char head[] = {10, 0, 0, 0x80, 1};
  auto write = pipe.ends[0]->write(head, sizeof(head)).eagerlyEvaluate(nullptr);
  auto read = far.readMessage(Limits()).eagerlyEvaluate(nullptr);
  write.wait(io.waitScope);
  pipe.ends[0]->shutdownWrite();
  BOOST_CHECK_EXCEPTION(read.wait(io.waitScope), kj::Exception, [](const kj::Exception& e) {
    return e.getType() == kj::Exception::Type::DISCONNECTED;
  });
}

ServerRefresh Refresh(uint64_t key, uint64_t seq, uint64_t load_seq, int running) {
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

// Guards against a field that the encoding of refreshes loses, and against input that ends early.
BOOST_AUTO_TEST_CASE(RefreshesKeepTheirFields) {
  std::vector<ServerRefresh> sent = {Refresh(0xabcdef012345, 1, 1, 0),
                                     Refresh(0, UINT64_MAX, 3, 200), Refresh(7, 3, UINT64_MAX, 1)};
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

// Guards against a field of a summary that a message loses, and against rows that end up in another
// failure domain than their own.
BOOST_AUTO_TEST_CASE(SummariesKeepTheirFields) {
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
