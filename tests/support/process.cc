#include "tests/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

extern char** environ;

namespace ebonylift::test {
namespace {

constexpr Duration kPollInterval = milliseconds(5);
constexpr int kExecFailedStatus = 127;

std::vector<std::string> BuildEnvironment(const ProcessOptions& options) {
  std::vector<std::string> entries;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    std::string text = *entry;
    if (options.environment.count(text.substr(0, text.find('='))) == 0) entries.push_back(text);
  }
  for (const auto& [name, value] : options.environment) {
    std::string entry = name;
    entry += '=';
    entry += value;
    entries.push_back(entry);
  }
  return entries;
}

std::vector<char*> NullTerminatedPointers(std::vector<std::string>& strings) {
  std::vector<char*> pointers;
  pointers.reserve(strings.size() + 1);
  for (std::string& text : strings) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Runs in the child between fork and exec, where only async-signal-safe functions may be called.
[[noreturn]] void ExecChild(const char* binary, char** argv, char** env, int log_fd, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before prctl() took effect.
  if (getppid() != parent) _exit(kExecFailedStatus);
  if (log_fd >= 0) {
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
  }
  execve(binary, argv, env);
  _exit(kExecFailedStatus);
}

std::string EnvironmentVariableOr(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : fallback;
}

}  // namespace

Process::Process(const ProcessOptions& options) {
  if (access(options.binary.c_str(), X_OK) != 0) {
    throw std::runtime_error("cannot execute " + options.binary);
  }
  std::vector<std::string> arguments = options.arguments;
  arguments.insert(arguments.begin(), options.binary);
  std::vector<std::string> environment = BuildEnvironment(options);
  std::vector<char*> argv = NullTerminatedPointers(arguments);
  std::vector<char*> env = NullTerminatedPointers(environment);
  int log_fd = -1;
  if (!options.log_file.empty()) {
    log_fd = open(options.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log_fd < 0) throw std::runtime_error("cannot open log file " + options.log_file);
  }
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) ExecChild(options.binary.c_str(), argv.data(), env.data(), log_fd, parent);
  if (log_fd >= 0) close(log_fd);
  if (pid_ < 0) throw std::runtime_error("fork failed");
}

Process::~Process() { Kill(); }

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      exit_status_(std::exchange(other.exit_status_, std::nullopt)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  exit_status_ = std::exchange(other.exit_status_, std::nullopt);
  return *this;
}

bool Process::Reap(bool block) {
  if (pid_ < 0 || exit_status_) return true;
  int status = 0;
  pid_t ended = 0;
  do {
    ended = waitpid(pid_, &status, block ? 0 : WNOHANG);
  } while (ended < 0 && errno == EINTR);
  if (ended != pid_) return false;
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

bool Process::Running() { return pid_ >= 0 && !Reap(false); }

void Process::Signal(int signal) {
  if (Running()) kill(pid_, signal);
}

void Process::Stop() {
  Signal(SIGSTOP);
  // Its threads go on for a moment after the signal was sent.
  siginfo_t stopped{};
  if (pid_ > 0) waitid(P_PID, static_cast<id_t>(pid_), &stopped, WSTOPPED | WEXITED | WNOWAIT);
}
void Process::Continue() { Signal(SIGCONT); }
void Process::Terminate() { Signal(SIGTERM); }

void Process::Kill() {
  Signal(SIGKILL);
  Reap(true);
}

std::optional<int> Process::Wait(Duration timeout) {
  Time deadline = SteadyNow() + timeout;
  while (!Reap(false)) {
    if (SteadyNow() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  return exit_status_;
}

size_t PeakMemoryBytes(pid_t pid) {
  constexpr size_t kBytesPerKilobyte = 1'024;
  const std::string key = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, key.size(), key) != 0) continue;
    return std::stoul(line.substr(key.size())) * kBytesPerKilobyte;
  }
  throw std::runtime_error("process " + std::to_string(pid) + " does not run");
}

std::string DaemonBinary() { return EnvironmentVariableOr("EBONYLIFT_BINARY", "build/ebonylift"); }

std::string StandinBinary() {
  return EnvironmentVariableOr("EBONYLIFT_STANDIN", "build/ebonylift-standin");
}

TempDir::TempDir() {
  std::string name = (std::filesystem::temp_directory_path() / "ebonylift-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create directory " + name);
  path_ = name;
}

TempDir::~TempDir() {
  std::error_code ignored;
  if (std::getenv("EBONYLIFT_KEEP") == nullptr) std::filesystem::remove_all(path_, ignored);
}

}  // namespace ebonylift::test
