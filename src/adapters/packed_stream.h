#ifndef EBONYLIFT_ADAPTERS_PACKED_STREAM_H_
#define EBONYLIFT_ADAPTERS_PACKED_STREAM_H_

// Cap'n Proto messages in the packed encoding over a stream.
//
// Most bytes of an RPC message are zero: a gossip call is more than twice as large without packing.
// A frame is a 32-bit little-endian number, kPackedFrame plus the length, followed by the packed
// message. A message in the plain encoding starts with the number of its segments, which is smaller
// than kPackedFrame, so both are told apart by their first bytes. Messages are sent packed until a
// plain one arrives; then the other side is an earlier version and gets plain ones.
//
// Memory: one message while it is read and the frames that are being written. Reading fails with
// FAILED for a malformed or oversized message; a lost connection has another type.

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <cstdint>

namespace ebonylift {

constexpr uint32_t kPackedFrame = 0x80000000;

// Bytes of all messages of some streams, as written to TCP.
struct ByteCounts {
  uint64_t sent = 0;
  uint64_t received = 0;
};

class PackedStream final : public capnp::MessageStream {
 public:
  using capnp::MessageStream::tryReadMessage;
  using capnp::MessageStream::writeMessage;
  using capnp::MessageStream::writeMessages;

  // Both arguments outlive this object.
  PackedStream(kj::AsyncIoStream& stream, ByteCounts* counts);

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
  kj::Maybe<int> getSendBufferSize() override { return plain_stream_.getSendBufferSize(); }
  kj::Promise<void> end() override { return plain_stream_.end(); }

 private:
  using Message = kj::Maybe<capnp::MessageReaderAndFds>;

  kj::Promise<Message> ReadFrame(uint32_t bytes, capnp::ReaderOptions options);
  kj::Promise<Message> ReadPlain(uint32_t first, capnp::ReaderOptions options);

  kj::AsyncIoStream& stream_;
  capnp::AsyncIoMessageStream plain_stream_;
  ByteCounts* counts_;
  uint32_t head_ = 0;
  bool plain_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PACKED_STREAM_H_
