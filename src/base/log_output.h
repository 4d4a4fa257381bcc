#ifndef EBONYLIFT_BASE_LOG_OUTPUT_H_
#define EBONYLIFT_BASE_LOG_OUTPUT_H_

// The log lines of this process on their way to standard output.
//
// A line waits in a bounded queue for one writer thread. Whoever logs never waits: when the reader
// of the output is slow or stopped, the oldest lines are dropped and counted.
//
// All functions are thread safe, but StartLogOutput() and StopLogOutput() are called by one thread.
// Memory: kMaxQueuedLines lines, and kMaxUnwrittenBytes that the reader has not taken.

#include <cstddef>
#include <cstdint>
#include <string>

namespace ebonylift {

constexpr size_t kMaxQueuedLines = 1'024;
constexpr size_t kMaxUnwrittenBytes = 64u << 10;

// Writes the lines to `fd` from now on. Without it, lines go nowhere.
void StartLogOutput(int fd);

// Writes what the reader takes within about 100 ms and drops the rest.
void StopLogOutput();

// Does not block. Precondition: `line` has no line feed.
void WriteLogLine(const std::string& line);

// Lines dropped since the start because the reader was too slow.
uint64_t DroppedLogLines();

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_LOG_OUTPUT_H_
