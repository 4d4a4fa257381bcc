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
  // What is in the pipe now; does not wait.
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

// Guards against lines that are lost or wait for later ones when the reader keeps up.
BOOST_AUTO_TEST_CASE(LinesReachAReaderInOrder) {
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

// Guards against a request that waits for the reader of the log, against a process that cannot end
// because of it, and against drops that nobody counts.
BOOST_AUTO_TEST_CASE(ReaderThatNeverReadsBlocksNobody) {
  Pipe pipe;
  StartLogOutput(pipe.fds[1]);
  const std::string line(500, 'x');
  constexpr uint64_t kLines = 50'000;
  Time started = SteadyNow();
  for (uint64_t i = 0; i < kLines; ++i) WriteLogLine(line);
  BOOST_TEST((SteadyNow() - started < seconds(2)));
  BOOST_TEST(test::WaitFor([] { return DroppedLogLines() > 0; }, seconds(2)));
  uint64_t dropped = DroppedLogLines();
  Time stopping = SteadyNow();
  StopLogOutput();
  BOOST_TEST((SteadyNow() - stopping < seconds(1)));
  std::vector<std::string> lines = Lines(pipe.Read());
  for (const std::string& written : lines) BOOST_TEST(written == line);
  BOOST_TEST(lines.size() + dropped <= kLines);
  // What is neither written nor counted waits in the queue or is not yet taken by the reader.
  BOOST_TEST(lines.size() + dropped + kMaxQueuedLines + kMaxUnwrittenBytes / line.size() >= kLines);
}

// Guards against a writer thread that outlives its queue, which ended the process now and then.
BOOST_AUTO_TEST_CASE(OutputStopsWhileLinesAreOnTheirWay) {
  for (int round = 0; round < 300; ++round) {
    Pipe pipe;
    StartLogOutput(pipe.fds[1]);
    for (int i = 0; i < 20; ++i) WriteLogLine("line");
    StopLogOutput();
    BOOST_TEST(Lines(pipe.Read()).size() == 20u);
  }
}

// Guards against a log that takes the processor time of the requests, and against successes that
// displace failures.
BOOST_AUTO_TEST_CASE(LinesOverTheRateAreCounted) {
  LogBudget budget;
  budget.lines_per_second = 10;
  Time now(seconds(1'000));
  int written = 0;
  for (int i = 0; i < 100; ++i) written += TakeLine(budget, now) ? 1 : 0;
  BOOST_TEST(written == 10);
  BOOST_TEST(budget.dropped == 90u);
  for (int i = 0; i < 100; ++i) written += TakeLine(budget, now + milliseconds(500)) ? 1 : 0;
  BOOST_TEST(written == 15);
}

// Guards against dropped lines that the log itself never mentions, and against refusals that are
// dropped because of many successes.
BOOST_AUTO_TEST_CASE(LogSaysWhatItDropped) {
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
