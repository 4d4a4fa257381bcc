#ifndef EBONYLIFT_CLI_LOAD_H_
#define EBONYLIFT_CLI_LOAD_H_

namespace ebonylift {

// `ebonylift load`: sends requests to entry hosts at their intended times, whether earlier ones are
// answered or not (open loop), and reports. Latency counts from the intended send time, so a stall
// of the gateway or of this tool shows in it. Uses one thread.
//
// --targets=[region=]host:port,... A request of a region goes to the hosts of that region first and
// to the others when they cannot be reached. Returns 0 when the run ended, 2 for wrong flags.
int RunLoad(int argc, char** argv);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_H_
