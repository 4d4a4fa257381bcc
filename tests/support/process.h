#ifndef EBONYLIFT_TESTS_SUPPORT_PROCESS_H_
#define EBONYLIFT_TESTS_SUPPORT_PROCESS_H_

// A child process of a test. Not thread safe.

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonylift::test {

struct ProcessOptions {
  std::string binary;
  std::vector<std::string> arguments;              // without the program name
  std::map<std::string, std::string> environment;  // added to the environment of the test
  std::string log_file;                            // stdout and stderr, appended; empty: inherited
};

class Process {
 public:
  // Starts the binary. The child gets SIGKILL when the test dies. Throws std::runtime_error when
  // it cannot be started.
  explicit Process(const ProcessOptions& options);

  // Sends SIGKILL if the process still runs, and waits.
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  bool Running();

  void Signal(int signal);
  void Stop();       // SIGSTOP
  void Continue();   // SIGCONT
  void Terminate();  // SIGTERM
  void Kill();       // SIGKILL, and waits

  // The exit code, or minus the signal that ended the process; nothing when it still runs after
  // `timeout`.
  std::optional<int> Wait(Duration timeout);

 private:
  bool Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> result_;
};

// The binary under test: the environment variable EBONYLIFT_BINARY, else build/ebonylift.
std::string DaemonBinary();

// The stand-ins: the environment variable EBONYLIFT_STANDIN, else build/ebonylift-standin.
std::string StandinBinary();

// A new directory below the system's directory for temporary files, removed with its content in
// the destructor unless the environment variable EBONYLIFT_KEEP is set.
class TempDir {
 public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_PROCESS_H_
