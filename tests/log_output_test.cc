#define BOOST_TEST_MODULE log_output
#include "base/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <thread>

#include "base/event.h"
#include "base/log_limit.h"
#include "tests/support/wait_for.h"

namespace ebonylift {
namespace {

struct Pipe {
  Pipe() { BOOST_REQUIRE(pipe2(fds, O_CLOEXEC) == 0); }
  ~Pipe() {
    close(fds[0]);
    close(fds[1]);
  }
  // Reads all data in the pipe without blocking.
  std::string Read() {
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[65'536];
    for (ssize_t n = 0; (n = read(fds[0], buffer, sizeof(buffer))) > 0;) {
      text.append(buffer, static_cast<size_t>(n));
    }
    return text;
  }
  int fds[2] = {-1, -1};
};

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  size_t from = 0;
  for (size_t end = 0; (end = text.find('\n', from)) != std::string::npos; from = end + 1) {
    lines.push_back(text.substr(from, end - from));
  }
  return lines;
}

}  // namespace

// If the reader keeps up, every line must be delivered in order, and without waiting for a later
// line.
BOOST_AUTO_TEST_CASE(LinesAreDeliveredInOrder) {
  Pipe pipe;
  StartLogOutput(pipe.fds[1]);
  WriteLogLine("first");
  std::string text;
  BOOST_TEST(test::WaitFor([&] { return (text += pipe.Read()) == "first\n"; }, seconds(2)));
  for (int i = 0; i < 100; ++i) WriteLogLine("line " + std::to_string(i));
  StopLogOutput();
  std::vector<std::string> lines = Lines(pipe.Read());
  BOOST_REQUIRE(lines.size() == 100u);
  for (int i = 0; i < 100; ++i) BOOST_TEST(lines[i] == "line " + std::to_string(i));
}

// If the reader never reads, logging must not block, stopping must not hang, and dropped lines must
// be counted.
BOOST_AUTO_TEST_CASE(StalledReaderDoesNotBlockLogging) {
  Pipe pipe;
  StartLogOutput(pipe.fds[1]);
  const std::string line(500, 'x');
  constexpr uint64_t kLines = 50'000;
  Time start = SteadyNow();
  for (uint64_t i = 0; i < kLines; ++i) WriteLogLine(line);
  BOOST_TEST((SteadyNow() - start < seconds(2)));
  BOOST_TEST(test::WaitFor([] { return LogOutputDropCount() > 0; }, seconds(2)));
  uint64_t dropped = LogOutputDropCount();
  Time stopping = SteadyNow();
  StopLogOutput();
  BOOST_TEST((SteadyNow() - stopping < seconds(1)));
  std::vector<std::string> lines = Lines(pipe.Read());
  for (const std::string& written : lines) BOOST_TEST(written == line);
  BOOST_TEST(lines.size() + dropped <= kLines);
  // Lines that are neither written nor counted were in the queue or in the write buffer.
  BOOST_TEST(lines.size() + dropped + kMaxQueuedLines + kMaxUnwrittenBytes / line.size() >= kLines);
}

// The writer thread must not outlive its queue when the output stops while lines are queued; this
// occasionally crashed the process. All queued lines must be written.
BOOST_AUTO_TEST_CASE(StopWhileLinesAreQueued) {
  for (int round = 0; round < 300; ++round) {
    Pipe pipe;
    StartLogOutput(pipe.fds[1]);
    for (int i = 0; i < 20; ++i) WriteLogLine("line");
    StopLogOutput();
    BOOST_TEST(Lines(pipe.Read()).size() == 20u);
  }
}

// The rate limit keeps logging from using the CPU time of requests. It must allow a burst of one
// second, refill over time and count the dropped lines.
BOOST_AUTO_TEST_CASE(LinesOverTheRateLimitAreCounted) {
  LogTokenBucket bucket;
  bucket.lines_per_second = 10;
  Time now(seconds(1'000));
  int written = 0;
  for (int i = 0; i < 100; ++i) written += TryTakeLine(bucket, now) ? 1 : 0;
  BOOST_TEST(written == 10);
  BOOST_TEST(bucket.dropped == 90u);
  for (int i = 0; i < 100; ++i) written += TryTakeLine(bucket, now + milliseconds(500)) ? 1 : 0;
  BOOST_TEST(written == 15);
}

// Dropped lines must be reported in the log itself, and a high rate of successes must not cause
// lines about retries and refusals to be dropped.
BOOST_AUTO_TEST_CASE(DroppedLinesAreReportedInTheLog) {
  Pipe pipe;
  StartLogOutput(pipe.fds[1]);
  std::atomic<bool> stopped{false};
  std::string text;
  std::thread reader([&] {
    while (!stopped) text += pipe.Read();
    text += pipe.Read();
  });
  for (int i = 0; i < 2 * static_cast<int>(kRoutineLinesPerSecond); ++i) {
    LogEvent(EventId::kRequestAnswered, {{"request_id", "r"}, {"attempts", "1"}});
  }
  LogEvent(EventId::kRequestAnswered, {{"request_id", "repeated"}, {"attempts", "2"}});
  LogEvent(EventId::kRequestRefused, {{"request_id", "refused"}});
  StopLogOutput();
  stopped = true;
  reader.join();
  BOOST_TEST(DroppedLines().routine > 0u);
  BOOST_TEST(DroppedLines().notable == 0u);
  BOOST_TEST(text.find("\"name\":\"log_lines_dropped\"") != std::string::npos);
  BOOST_TEST(text.find("\"request_id\":\"repeated\"") != std::string::npos);
  BOOST_TEST(text.find("\"request_id\":\"refused\"") != std::string::npos);
}

}  // namespace ebonylift
