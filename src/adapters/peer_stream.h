#ifndef EBONYLIFT_ADAPTERS_PEER_STREAM_H_
#define EBONYLIFT_ADAPTERS_PEER_STREAM_H_

// The message stream of a connection between daemons.
//
// Not thread safe. Memory: as PackedStream.

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <functional>
#include <string>
#include <utility>

#include "adapters/packed_stream.h"

namespace ebonylift {

// A PackedStream that reports why a message could not be read. The RPC system alone would close the
// connection without giving the reason.
class ErrorReportingStream final : public capnp::MessageStream {
 public:
  using ErrorCallback = std::function<void(const std::string& reason)>;

  // `stream` and `counts` must outlive this object.
  ErrorReportingStream(kj::AsyncIoStream& stream, ByteCounts* counts, ErrorCallback on_error)
      : inner_(stream, counts), on_error_(std::move(on_error)) {}

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override {
    return inner_.tryReadMessage(fd_space, options, scratch)
        .catch_([this](kj::Exception&& e) -> kj::Maybe<capnp::MessageReaderAndFds> {
          // FAILED means a malformed or oversized message; a lost connection has another type.
          if (e.getType() == kj::Exception::Type::FAILED) on_error_(e.getDescription().cStr());
          kj::throwFatalException(kj::mv(e));
        });
  }

  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override {
    return inner_.writeMessage(fds, segments);
  }

  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override {
    return inner_.writeMessages(messages);
  }

  kj::Maybe<int> getSendBufferSize() override { return inner_.getSendBufferSize(); }
  kj::Promise<void> end() override { return inner_.end(); }

 private:
  PackedStream inner_;
  ErrorCallback on_error_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_STREAM_H_
