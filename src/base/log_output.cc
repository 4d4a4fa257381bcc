#include "base/log_output.h"

#include <limits.h>
#include <poll.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace ebonylift {
namespace {

constexpr int kMaxReaderWaitMs = 100;
constexpr size_t kWriterThreads = 1;
// poll() reports a pipe as writable only if a write of PIPE_BUF bytes does not block.
constexpr size_t kMaxWriteBytes = PIPE_BUF;

// Writes lines to a file descriptor and waits only a limited time for a slow reader. Runs on the
// writer thread, but dropped() may be called on any thread.
class FdSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // `pool` owns the writer thread and joins it in its destructor. It is a plain pointer because a
  // shared pointer could let the writer thread release the last reference and destroy its own pool.
  FdSink(int fd, spdlog::details::thread_pool* pool) : fd_(fd), pool_(pool) {}

  // Writes the lines that were still buffered when the output stopped.
  ~FdSink() override { FdSink::flush_(); }

  uint64_t dropped() const { return dropped_; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (unwritten_.size() + message.payload.size() >= kMaxUnwrittenBytes) {
      ++dropped_;
    } else {
      unwritten_.append(message.payload.data(), message.payload.size());
      unwritten_ += '\n';
    }
    // While more lines are queued, they are collected so that one write() covers several lines.
    bool more = pool_->queue_size() > 0;
    if (!more || unwritten_.size() >= kMaxWriteBytes) flush_();
  }

  void flush_() override {
    size_t written = 0;
    while (written < unwritten_.size() && WaitForReader()) {
      size_t size = std::min(unwritten_.size() - written, kMaxWriteBytes);
      ssize_t count = write(fd_, unwritten_.data() + written, size);
      if (count <= 0) break;
      written += static_cast<size_t>(count);
    }
    unwritten_.erase(0, written);
  }

  // Waits until the descriptor is writable; returns false after kMaxReaderWaitMs. After such a
  // timeout, later calls return at once until the reader reads again.
  bool WaitForReader() {
    pollfd ready{fd_, POLLOUT, 0};
    int wait_ms = reader_slow_ ? 0 : kMaxReaderWaitMs;
    reader_slow_ = poll(&ready, 1, wait_ms) <= 0 || (ready.revents & POLLOUT) == 0;
    return !reader_slow_;
  }

  const int fd_;
  spdlog::details::thread_pool* const pool_;
  std::string unwritten_;
  bool reader_slow_ = false;
  std::atomic<uint64_t> dropped_{0};
};

// Members are destroyed in reverse order: the pool outlives the logger and the sink.
struct LogOutput {
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<FdSink> sink;
  std::shared_ptr<spdlog::async_logger> logger;
};

std::mutex& OutputMutex() {
  static std::mutex mutex;
  return mutex;
}

std::shared_ptr<const LogOutput>& Output() {
  static std::shared_ptr<const LogOutput> output;
  return output;
}

std::shared_ptr<const LogOutput> CurrentOutput() {
  std::lock_guard<std::mutex> lock(OutputMutex());
  return Output();
}

}  // namespace

void StartLogOutput(int fd) {
  auto output = std::make_shared<LogOutput>();
  output->pool = std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, kWriterThreads);
  output->sink = std::make_shared<FdSink>(fd, output->pool.get());
  output->logger = std::make_shared<spdlog::async_logger>(
      "events", output->sink, output->pool, spdlog::async_overflow_policy::overrun_oldest);
  std::lock_guard<std::mutex> lock(OutputMutex());
  Output() = std::move(output);
}

void StopLogOutput() {
  std::shared_ptr<const LogOutput> output;
  {
    std::lock_guard<std::mutex> lock(OutputMutex());
    output.swap(Output());
  }
}

void WriteLogLine(const std::string& line) {
  std::shared_ptr<const LogOutput> output = CurrentOutput();
  if (output != nullptr) output->logger->info(line);
}

uint64_t LogOutputDropCount() {
  std::shared_ptr<const LogOutput> output = CurrentOutput();
  if (output == nullptr) return 0;
  return output->pool->overrun_counter() + output->sink->dropped();
}

}  // namespace ebonylift
