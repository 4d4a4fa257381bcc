#ifndef EBONYLIFT_TESTING_COMMANDS_H_
#define EBONYLIFT_TESTING_COMMANDS_H_

// The subcommands of ebonylift-standin. Each reads its flags, serves until SIGTERM and returns the
// exit code. Each prints {"listening":"ip:port"} to standard output once it accepts requests.

namespace ebonylift::standin {

int RunEngine();
int RunService();
int RunWeightStore();
int RunDirectory();
int RunProxy();

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_COMMANDS_H_
