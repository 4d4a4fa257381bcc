#ifndef EBONYLIFT_BASE_LOG_OUTPUT_H_
#define EBONYLIFT_BASE_LOG_OUTPUT_H_

// Asynchronous output of log lines to a file descriptor.
//
// A bounded queue passes the lines to one writer thread, so that logging never blocks. If the
// reader of the output is slow or stopped, lines are dropped and counted: the oldest ones of the
// queue when it is full, and newly dequeued ones when the write buffer is full.
//
// All functions are thread-safe, but StartLogOutput() and StopLogOutput() must be called by the
// same thread. Memory: at most kMaxQueuedLines lines in the queue, and a write buffer of at most
// kMaxUnwrittenBytes for lines that the reader has not accepted yet.

#include <cstddef>
#include <cstdint>
#include <string>

namespace ebonylift {

constexpr size_t kMaxQueuedLines = 1'024;
constexpr size_t kMaxUnwrittenBytes = 64u << 10;

// Starts writing lines to `fd`, which must stay open until the output is stopped. Lines logged
// while no output is started are discarded and not counted.
void StartLogOutput(int fd);

// Writes the remaining lines and stops the writer thread. Gives up and discards the rest once the
// reader accepts no data for about 100 ms.
void StopLogOutput();

// Queues `line`; a line feed is appended when it is written. Does not block on the reader.
// Precondition: `line` contains no line feed.
void WriteLogLine(const std::string& line);

// Returns the number of lines dropped since StartLogOutput() because the reader was too slow; 0 if
// no output is started.
uint64_t LogOutputDropCount();

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_LOG_OUTPUT_H_
