#include "adapters/packed_stream.h"

#include <capnp/serialize-packed.h>

#include <algorithm>
#include <cstring>

namespace ebonylift {
namespace {

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

constexpr size_t kHeadBytes = sizeof(uint32_t);
// A word without zero bytes is packed with a tag and a count.
constexpr uint64_t kMaxPackedBytesPerWord = 10;

// The table of segment sizes with its padding.
uint64_t TableBytes(size_t segments) { return (segments / 2 + 1) * sizeof(capnp::word); }

uint64_t PlainBytes(Segments segments) {
  uint64_t bytes = TableBytes(segments.size());
  for (const auto& segment : segments) bytes += segment.size() * sizeof(capnp::word);
  return bytes;
}

uint64_t PlainBytes(capnp::MessageReader& message) {
  uint32_t segments = 0;
  uint64_t bytes = 0;
  while (true) {
    auto segment = message.getSegment(segments);
    if (segment == nullptr) break;
    bytes += segment.size() * sizeof(capnp::word);
    ++segments;
  }
  return bytes + TableBytes(segments);
}

void AppendFrame(Segments segments, kj::VectorOutputStream* out) {
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, segments);
  kj::ArrayPtr<kj::byte> bytes = packed.getArray();
  uint32_t head = kPackedFrame | static_cast<uint32_t>(bytes.size());
  kj::byte little_endian[kHeadBytes];
  for (size_t i = 0; i < kHeadBytes; ++i) little_endian[i] = static_cast<kj::byte>(head >> (8 * i));
  out->write(little_endian, kHeadBytes);
  out->write(bytes.begin(), bytes.size());
}

kj::Promise<void> WriteAll(kj::AsyncIoStream& stream, kj::Own<kj::VectorOutputStream> out) {
  kj::ArrayPtr<kj::byte> bytes = out->getArray();
  return stream.write(bytes.begin(), bytes.size()).attach(kj::mv(out));
}

// A stream from which the first bytes were already read.
class Resumed final : public kj::AsyncInputStream {
 public:
  Resumed(uint32_t head, kj::AsyncInputStream& rest) : rest_(rest) {
    for (size_t i = 0; i < kHeadBytes; ++i) head_[i] = static_cast<kj::byte>(head >> (8 * i));
  }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    size_t count = std::min(max_bytes, kHeadBytes - used_);
    std::memcpy(buffer, head_ + used_, count);
    used_ += count;
    if (count > 0 && count >= min_bytes) return count;
    return rest_
        .tryRead(static_cast<kj::byte*>(buffer) + count, min_bytes - count, max_bytes - count)
        .then([count](size_t read) { return count + read; });
  }

 private:
  kj::AsyncInputStream& rest_;
  kj::byte head_[kHeadBytes] = {};
  size_t used_ = 0;
};

}  // namespace

PackedStream::PackedStream(kj::AsyncIoStream& stream, ByteCounts* counts)
    : stream_(stream), plain_stream_(stream), counts_(counts) {}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> PackedStream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> /*fd_space*/, capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> /*scratch*/) {
  return stream_.tryRead(&head_, kHeadBytes, kHeadBytes)
      .then([this, options](size_t read) -> kj::Promise<Message> {
        if (read == 0) return Message(nullptr);
        if (read < kHeadBytes) {
          kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection ended in a message"));
        }
        auto* bytes = reinterpret_cast<const kj::byte*>(&head_);
        uint32_t head = 0;
        for (size_t i = 0; i < kHeadBytes; ++i) head |= static_cast<uint32_t>(bytes[i]) << (8 * i);
        if ((head & kPackedFrame) == 0) return ReadPlain(head, options);
        return ReadFrame(head & ~kPackedFrame, options);
      });
}

kj::Promise<PackedStream::Message> PackedStream::ReadFrame(uint32_t bytes,
                                                           capnp::ReaderOptions options) {
  // The reader checks the unpacked size against the same limit.
  uint64_t limit = (options.traversalLimitInWords + 1) * kMaxPackedBytesPerWord;
  KJ_REQUIRE(bytes <= limit, "message is too large", bytes);
  auto packed = kj::heapArray<kj::byte>(bytes);
  auto* begin = packed.begin();
  return stream_.read(begin, bytes).then([this, options, packed = kj::mv(packed)]() mutable {
    counts_->received += kHeadBytes + packed.size();
    auto input = kj::heap<kj::ArrayInputStream>(packed);
    auto reader = kj::heap<capnp::PackedMessageReader>(*input, options);
    kj::Own<capnp::MessageReader> message = reader.attach(kj::mv(input), kj::mv(packed));
    return Message(capnp::MessageReaderAndFds{kj::mv(message), nullptr});
  });
}

kj::Promise<PackedStream::Message> PackedStream::ReadPlain(uint32_t first,
                                                           capnp::ReaderOptions options) {
  plain_ = true;
  auto input = kj::heap<Resumed>(first, stream_);
  auto read = capnp::tryReadMessage(*input, options);
  return read.attach(kj::mv(input)).then([this](kj::Maybe<kj::Own<capnp::MessageReader>>&& read) {
    KJ_IF_MAYBE (message, read) {
      counts_->received += PlainBytes(**message);
      return Message(capnp::MessageReaderAndFds{kj::mv(*message), nullptr});
    }
    return Message(nullptr);
  });
}

kj::Promise<void> PackedStream::writeMessage(kj::ArrayPtr<const int> fds, Segments segments) {
  if (plain_) {
    counts_->sent += PlainBytes(segments);
    return plain_stream_.writeMessage(fds, segments);
  }
  auto out = kj::heap<kj::VectorOutputStream>();
  AppendFrame(segments, out.get());
  counts_->sent += out->getArray().size();
  return WriteAll(stream_, kj::mv(out));
}

kj::Promise<void> PackedStream::writeMessages(kj::ArrayPtr<Segments> messages) {
  if (plain_) {
    for (Segments segments : messages) counts_->sent += PlainBytes(segments);
    return plain_stream_.writeMessages(messages);
  }
  auto out = kj::heap<kj::VectorOutputStream>();
  for (Segments segments : messages) AppendFrame(segments, out.get());
  counts_->sent += out->getArray().size();
  return WriteAll(stream_, kj::mv(out));
}

}  // namespace ebonylift
