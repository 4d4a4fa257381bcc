#ifndef EBONYLIFT_CLI_LOAD_H_
#define EBONYLIFT_CLI_LOAD_H_

#include <string>
#include <vector>

namespace ebonylift {

// `ebonylift load`: an open-loop load generator. Sends each request to an entry host at its
// intended time, regardless of whether earlier requests have completed, and prints a report.
// Latency is measured from the intended send time, so it includes stalls of the gateway and of this
// tool (no coordinated omission). Uses one thread.
//
// --targets=[region=]host:port,... lists the entry hosts. A request with a region tries the hosts
// of its region first, and the other hosts if those cannot be reached. Returns kExitOk when the run
// has ended, and kExitUsage for invalid flags or if `args` is not empty. Precondition: the flags
// have been parsed.
int RunLoad(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_H_
