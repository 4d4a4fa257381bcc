#ifndef EBONYLIFT_ADAPTERS_PACKED_STREAM_H_
#define EBONYLIFT_ADAPTERS_PACKED_STREAM_H_

// Sends and receives Cap'n Proto messages in the packed encoding over a stream.
//
// Most bytes of an RPC message are zero: without packing, a gossip call is more than twice as
// large.
//
// A frame is a 32-bit little-endian header, kPackedFrameFlag plus the length of the packed message,
// followed by the packed message. An unpacked ("plain") message starts with its segment count minus
// one, which is always smaller than kPackedFrameFlag, so the first four bytes distinguish the two
// encodings. Messages are sent packed until a plain one arrives. A plain message means that the
// other side runs a version without packing, so from then on it is sent plain messages.
//
// Memory: one message while it is read, plus the frames being written. Reading throws a
// kj::Exception of type FAILED for a malformed or oversized message, and of another type
// (DISCONNECTED) for a lost connection.

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/io.h>

#include <cstdint>

#include "adapters/peer_flows.h"

namespace ebonylift {

// The bit of a frame header that marks a packed message.
constexpr uint32_t kPackedFrameFlag = 0x80000000;

// Message bytes as written to and read from TCP. Several streams may share one object.
struct ByteCounts {
  uint64_t sent = 0;  // includes `unsent`
  uint64_t received = 0;
  uint64_t unsent = 0;  // of messages whose writing has begun and not ended
  FlowCounts flows;
};

// Appends the frame of a message to `out` and returns its size.
size_t WritePackedFrame(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments,
                        kj::VectorOutputStream* out);

class PackedStream final : public capnp::MessageStream {
 public:
  using capnp::MessageStream::tryReadMessage;
  using capnp::MessageStream::writeMessage;
  using capnp::MessageStream::writeMessages;

  // `stream` must outlive this object, and `counts` also the promises that it returns.
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

  void CountSent(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments, size_t bytes);
  void CountReceived(capnp::MessageReader& message, size_t bytes);

  // Packs a message and counts it towards its flow.
  void AppendFrame(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments,
                   kj::VectorOutputStream* out);
  // Writes packed frames and counts them.
  kj::Promise<void> WriteCounted(kj::Own<kj::VectorOutputStream> out);

  // Reads the `packed_bytes` that follow the header of a packed frame.
  kj::Promise<Message> ReadPackedFrame(uint32_t packed_bytes, capnp::ReaderOptions options);
  // Reads a plain message whose first four bytes, `header`, were already read.
  kj::Promise<Message> ReadPlainMessage(uint32_t header, capnp::ReaderOptions options);

  kj::AsyncIoStream& stream_;
  capnp::AsyncIoMessageStream plain_stream_;
  ByteCounts* counts_;
  FlowTracker flows_;
  uint32_t header_buffer_ = 0;  // the first four bytes of the message being read, as received
  bool send_plain_ = false;     // a plain message has arrived
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PACKED_STREAM_H_
