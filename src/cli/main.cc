// The one binary: dispatches to a subcommand.

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
  std::vector<std::string> flag_files;  // whose flags `--help` shows
  std::function<int(const std::vector<std::string>&)> run;
  bool serves;  // logs informational events
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"serve", "runs the daemon", {"settings.cc"}, RunServe, true},
      {"check-settings",
       "checks the daemon's settings, and configuration files of the form {PATH: VALUE}",
       {"settings.cc"},
       RunCheckSettings,
       false},
      {"config",
       "get, put, history, watch: reads and changes the configuration tree",
       {"cli/command.cc", "config_command.cc"},
       RunConfig,
       false},
      {"status",
       "shows hosts, backend servers and the configuration revision",
       {"cli/command.cc"},
       RunStatus,
       false},
      {"drain", "shuts a daemon down gracefully", {"cli/command.cc"}, RunDrain, false},
      {"accept-claims",
       "takes idempotency keys again on a host that lost its disk",
       {"cli/command.cc"},
       RunAcceptClaims,
       false},
      {"timeline",
       "shows the events of all daemons in one order, or those of log files: timeline [FILE ...]",
       {"cli/command.cc", "host_commands.cc"},
       RunTimeline,
       false},
      {"load", "sends a measured load", {"load.cc"}, RunLoad, false},
  };
  return commands;
}

void PrintCommands(std::ostream& out) {
  out << "usage: ebonylift COMMAND [--flag=value ...] [arguments]\n\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << std::string(16 - std::string(command.name).size(), ' ')
        << command.summary << "\n";
  }
  out << "\nEach command has --help. Each flag can be set as EBONYLIFT_FLAG; the command line "
         "wins.\n"
         "Exit codes: 0 done, 1 refused, 2 usage, 3 no answer or outcome unknown, 4 conflict.\n";
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
    FLAGS_minloglevel = command.serves ? google::INFO : google::ERROR;
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
