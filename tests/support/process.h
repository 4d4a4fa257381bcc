#ifndef EBONYLIFT_TESTS_SUPPORT_PROCESS_H_
#define EBONYLIFT_TESTS_SUPPORT_PROCESS_H_

// Child processes and temporary directories of tests. Not thread safe.

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
  std::string log_file;  // stdout and stderr are appended here; empty: inherited
};

class Process {
 public:
  // Starts the binary. The kernel sends the child SIGKILL when the test process ends. Throws
  // std::runtime_error when the binary cannot be started.
  explicit Process(const ProcessOptions& options);

  // Kills the process if it still runs.
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
  void Kill();       // SIGKILL; waits until the process has ended

  // Waits for the process to end. Returns its exit code or, if a signal ended it, the negated
  // signal number; nullopt when it still runs after `timeout`.
  std::optional<int> Wait(Duration timeout);

 private:
  // Collects the exit status if the process has ended; with `block`, waits for that. Returns
  // whether it has ended.
  bool Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> exit_status_;
};

// Returns the most memory that the process has used since its start, in bytes. Throws
// std::runtime_error when the process does not run.
size_t PeakMemoryBytes(pid_t pid);

// Path of the daemon under test: the environment variable EBONYLIFT_BINARY, or build/ebonylift.
std::string DaemonBinary();

// Path of the simulated backend servers, directory and proxy: the environment variable
// EBONYLIFT_STANDIN, or build/ebonylift-standin.
std::string StandinBinary();

// A new directory below the system's directory for temporary files. The destructor deletes it and
// its contents unless the environment variable EBONYLIFT_KEEP is set.
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
