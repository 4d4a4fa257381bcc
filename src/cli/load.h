#ifndef EBONYLIFT_CLI_LOAD_H_
#define EBONYLIFT_CLI_LOAD_H_

#include <string>
#include <vector>

namespace ebonylift {

// `ebonylift load`: sends requests to entry hosts at their intended times, whether earlier ones are
// answered or not (open loop), and reports. Latency counts from the intended send time, so a stall
// of the gateway or of this tool shows in it. Uses one thread.
//
// --targets=[region=]host:port,... A request of a region goes to the hosts of that region first and
// to the others when they cannot be reached. Returns kExitOk when the run ended and kExitUsage for
// wrong flags. Precondition: the flags are parsed; `args` must be empty.
int RunLoad(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_H_
