#include "adapters/packed_stream.h"

#include <capnp/serialize-packed.h>

#include <algorithm>
#include <cstring>

namespace ebonylift {
namespace {

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

constexpr size_t kHeaderBytes = sizeof(uint32_t);
// The packed form of a word without zero bytes: a tag byte, the 8 bytes of the word and a count
// byte.
constexpr uint64_t kMaxPackedBytesPerWord = 10;

// The size of the segment table of a plain message, with its padding.
uint64_t SegmentTableBytes(size_t segments) { return (segments / 2 + 1) * sizeof(capnp::word); }

uint64_t PlainMessageBytes(Segments segments) {
  uint64_t bytes = SegmentTableBytes(segments.size());
  for (const auto& segment : segments) bytes += segment.size() * sizeof(capnp::word);
  return bytes;
}

uint64_t PlainMessageBytes(capnp::MessageReader& message) {
  uint32_t segments = 0;
  uint64_t bytes = 0;
  while (true) {
    auto segment = message.getSegment(segments);
    if (segment == nullptr) break;
    bytes += segment.size() * sizeof(capnp::word);
    ++segments;
  }
  return bytes + SegmentTableBytes(segments);
}

kj::Promise<void> WriteAll(kj::AsyncIoStream& stream, kj::Own<kj::VectorOutputStream> out) {
  kj::ArrayPtr<kj::byte> bytes = out->getArray();
  return stream.write(bytes.begin(), bytes.size()).attach(kj::mv(out));
}

// Yields the four bytes of `header`, which were already read from `rest`, and then `rest`.
class PrefixedInputStream final : public kj::AsyncInputStream {
 public:
  PrefixedInputStream(uint32_t header, kj::AsyncInputStream& rest) : rest_(rest) {
    for (size_t i = 0; i < kHeaderBytes; ++i) prefix_[i] = static_cast<kj::byte>(header >> (8 * i));
  }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    size_t count = std::min(max_bytes, kHeaderBytes - consumed_);
    std::memcpy(buffer, prefix_ + consumed_, count);
    consumed_ += count;
    if (count > 0 && count >= min_bytes) return count;
    return rest_
        .tryRead(static_cast<kj::byte*>(buffer) + count, min_bytes - count, max_bytes - count)
        .then([count](size_t read) { return count + read; });
  }

 private:
  kj::AsyncInputStream& rest_;
  kj::byte prefix_[kHeaderBytes] = {};
  size_t consumed_ = 0;
};

}  // namespace

size_t WritePackedFrame(Segments segments, kj::VectorOutputStream* out) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, segments);
  kj::ArrayPtr<kj::byte> bytes = packed.getArray();
  uint32_t header = kPackedFrameFlag | static_cast<uint32_t>(bytes.size());
  kj::byte little_endian[kHeaderBytes];
  for (size_t i = 0; i < kHeaderBytes; ++i)
    little_endian[i] = static_cast<kj::byte>(header >> (8 * i));
  out->write(little_endian, kHeaderBytes);
  out->write(bytes.begin(), bytes.size());
  return kHeaderBytes + bytes.size();
}

PackedStream::PackedStream(kj::AsyncIoStream& stream, ByteCounts* counts)
    : stream_(stream), plain_stream_(stream), counts_(counts) {}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> PackedStream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> /*fd_space*/, capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> /*scratch*/) {
  return stream_.tryRead(&header_buffer_, kHeaderBytes, kHeaderBytes)
      .then([this, options](size_t read) -> kj::Promise<Message> {
        if (read == 0) return Message(nullptr);
        if (read < kHeaderBytes) {
          kj::throwFatalException(
              KJ_EXCEPTION(DISCONNECTED, "the connection was closed in the middle of a message"));
        }
        auto* bytes = reinterpret_cast<const kj::byte*>(&header_buffer_);
        uint32_t header = 0;
        for (size_t i = 0; i < kHeaderBytes; ++i)
          header |= static_cast<uint32_t>(bytes[i]) << (8 * i);
        if ((header & kPackedFrameFlag) == 0) return ReadPlainMessage(header, options);
        return ReadPackedFrame(header & ~kPackedFrameFlag, options);
      });
}

kj::Promise<PackedStream::Message> PackedStream::ReadPackedFrame(uint32_t packed_bytes,
                                                                 capnp::ReaderOptions options) {
  // Bounds the allocation below. PackedMessageReader checks the unpacked size against
  // `traversalLimitInWords`.
  uint64_t limit = (options.traversalLimitInWords + 1) * kMaxPackedBytesPerWord;
  KJ_REQUIRE(packed_bytes <= limit, "message exceeds the size limit", packed_bytes);
  auto packed = kj::heapArray<kj::byte>(packed_bytes);
  auto* begin = packed.begin();
  return stream_.read(begin, packed_bytes).then([this, options, packed = kj::mv(packed)]() mutable {
    size_t bytes = kHeaderBytes + packed.size();
    counts_->received += bytes;
    auto input = kj::heap<kj::ArrayInputStream>(packed);
    auto reader = kj::heap<capnp::PackedMessageReader>(*input, options);
    kj::Own<capnp::MessageReader> message = reader.attach(kj::mv(input), kj::mv(packed));
    CountReceived(*message, bytes);
    return Message(capnp::MessageReaderAndFds{kj::mv(message), nullptr});
  });
}

kj::Promise<PackedStream::Message> PackedStream::ReadPlainMessage(uint32_t header,
                                                                  capnp::ReaderOptions options) {
  send_plain_ = true;
  auto input = kj::heap<PrefixedInputStream>(header, stream_);
  auto read = capnp::tryReadMessage(*input, options);
  return read.attach(kj::mv(input)).then([this](kj::Maybe<kj::Own<capnp::MessageReader>>&& read) {
    KJ_IF_MAYBE (message, read) {
      uint64_t bytes = PlainMessageBytes(**message);
      counts_->received += bytes;
      CountReceived(**message, bytes);
      return Message(capnp::MessageReaderAndFds{kj::mv(*message), nullptr});
    }
    return Message(nullptr);
  });
}

kj::Promise<void> PackedStream::writeMessage(kj::ArrayPtr<const int> fds, Segments segments) {
  if (send_plain_) {
    counts_->sent += PlainMessageBytes(segments);
    CountSent(segments, PlainMessageBytes(segments));
    return plain_stream_.writeMessage(fds, segments);
  }
  auto out = kj::heap<kj::VectorOutputStream>();
  AppendFrame(segments, out.get());
  return WriteCounted(kj::mv(out));
}

kj::Promise<void> PackedStream::writeMessages(kj::ArrayPtr<Segments> messages) {
  if (send_plain_) {
    for (Segments segments : messages) {
      counts_->sent += PlainMessageBytes(segments);
      CountSent(segments, PlainMessageBytes(segments));
    }
    return plain_stream_.writeMessages(messages);
  }
  auto out = kj::heap<kj::VectorOutputStream>();
  for (Segments segments : messages) AppendFrame(segments, out.get());
  return WriteCounted(kj::mv(out));
}

void PackedStream::CountSent(Segments segments, size_t bytes) {
  capnp::SegmentArrayMessageReader message(segments);
  FlowCount& count = counts_->flows.sent[static_cast<size_t>(flows_.OnSent(message))];
  ++count.messages;
  count.bytes += bytes;
}

void PackedStream::CountReceived(capnp::MessageReader& message, size_t bytes) {
  FlowCount& count = counts_->flows.received[static_cast<size_t>(flows_.OnReceived(message))];
  ++count.messages;
  count.bytes += bytes;
}

void PackedStream::AppendFrame(Segments segments, kj::VectorOutputStream* out) {
  CountSent(segments, WritePackedFrame(segments, out));
}

kj::Promise<void> PackedStream::WriteCounted(kj::Own<kj::VectorOutputStream> out) {
  size_t bytes = out->getArray().size();
  counts_->sent += bytes;
  counts_->unsent += bytes;
  auto written = kj::defer([counts = counts_, bytes]() { counts->unsent -= bytes; });
  return WriteAll(stream_, kj::mv(out)).attach(kj::mv(written));
}

}  // namespace ebonylift
