// Entry point of the ebonylift binary: parses flags and runs a command.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "cli/load.h"
#include "daemon/serve.h"
#include "daemon/settings.h"

namespace ebonylift {
namespace {

struct Command {
  const char* name;
  const char* summary;
  std::vector<std::string> flag_files;  // source files whose flags --help lists
  std::function<int(const std::vector<std::string>&)> run;
  bool is_daemon;  // true for the daemon: log at INFO level instead of ERROR
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"serve", "runs the daemon", {"settings.cc"}, RunServe, true},
      {"check-settings",
       "validates the daemon's settings and JSON configuration files: check-settings [FILE ...]",
       {"settings.cc"},
       RunCheckSettings,
       false},
      {"config",
       "reads and changes the configuration tree: config get|put|history|watch",
       {"cli/command.cc", "config_command.cc"},
       RunConfig,
       false},
      {"status",
       "shows the hosts, the backend servers and the configuration revision",
       {"cli/command.cc"},
       RunStatus,
       false},
      {"drain", "shuts a daemon down gracefully", {"cli/command.cc"}, RunDrain, false},
      {"accept-claims",
       "lets a host that lost its disk accept idempotency keys again",
       {"cli/command.cc"},
       RunAcceptClaims,
       false},
      {"timeline",
       "shows the events of all daemons or of log files, ordered by time: timeline [FILE ...]",
       {"cli/command.cc", "host_commands.cc"},
       RunTimeline,
       false},
      {"load",
       "sends load to entry hosts and reports latencies and errors",
       {"load.cc"},
       RunLoad,
       false},
  };
  return commands;
}

void PrintCommands(std::ostream& out) {
  out << "usage: ebonylift COMMAND [--flag=value ...] [arguments]\n\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << std::string(16 - std::string(command.name).size(), ' ')
        << command.summary << "\n";
  }
  out << "\nEach command lists its flags with --help. A flag can also be set by the environment\n"
         "variable EBONYLIFT_FLAG; the command line takes precedence.\n"
         "Exit codes: 0 success, 1 refused, 2 invalid usage, 3 no response or unknown outcome,\n"
         "4 conflict.\n";
}

bool EndsWith(const std::string& text, const std::string& suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

void PrintHelp(const Command& command) {
  printf("ebonylift %s: %s\n\n", command.name, command.summary);
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    for (const std::string& file : command.flag_files) {
      if (!EndsWith(flag.filename, file)) continue;
      printf("  --%s (%s, default \"%s\")\n      %s\n", flag.name.c_str(), flag.type.c_str(),
             flag.default_value.c_str(), flag.description.c_str());
    }
  }
}

bool HelpRequested() {
  std::string value;
  return gflags::GetCommandLineOption("help", &value) && value == "true";
}

int Main(int argc, char** argv) {
  std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help" || name.empty()) {
    PrintCommands(name.empty() ? std::cerr : std::cout);
    return name.empty() ? kExitUsage : kExitOk;
  }
  for (const Command& command : Commands()) {
    if (name != command.name) continue;
    argv[1] = argv[0];
    ++argv;
    --argc;
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (HelpRequested()) {
      PrintHelp(command);
      return kExitOk;
    }
    std::vector<SettingIssue> issues = ApplyEnvironment();
    for (const SettingIssue& issue : issues) std::cerr << FormatIssue(issue) << "\n";
    if (!issues.empty()) return kExitUsage;
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = command.is_daemon ? google::INFO : google::ERROR;
    google::InitGoogleLogging("ebonylift");
    return command.run(std::vector<std::string>(argv + 1, argv + argc));
  }
  std::cerr << "unknown command: " << name << "\n";
  PrintCommands(std::cerr);
  return kExitUsage;
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  try {
    return ebonylift::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return ebonylift::kExitRefused;
  }
}
