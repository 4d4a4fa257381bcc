#include <gflags/gflags.h>
#include <glog/logging.h>

#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "testing/commands.h"

// ebonylift-standin: test doubles for the components of the platform around the gateway. Usage:
//   ebonylift-standin engine|service|weight-store|directory|proxy [flags]
int main(int argc, char** argv) {
  using namespace ebonylift::standin;  // NOLINT(google-build-using-namespace)
  static const std::map<std::string, std::function<int()>> kCommands = {
      {"engine", RunEngine},       {"service", RunService}, {"weight-store", RunWeightStore},
      {"directory", RunDirectory}, {"proxy", RunProxy},
  };
  auto command = argc > 1 ? kCommands.find(argv[1]) : kCommands.end();
  if (command == kCommands.end()) {
    std::cerr << "usage: ebonylift-standin engine|service|weight-store|directory|proxy [flags]\n";
    return 2;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  --argc;
  ++argv;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return command->second();
  } catch (const std::exception& error) {
    std::cerr << "ebonylift-standin " << command->first << ": " << error.what() << "\n";
    return 1;
  }
}
