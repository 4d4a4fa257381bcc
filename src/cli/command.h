#ifndef EBONYLIFT_CLI_COMMAND_H_
#define EBONYLIFT_CLI_COMMAND_H_

// Shared code of the operator commands: exit codes, admin API calls and output.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ebonylift {

// Exit codes of every command.
enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,      // the daemon refused the request, or a check failed
  kExitUsage = 2,        // invalid command line
  kExitUnreachable = 3,  // no daemon responded, or the outcome of the request is unknown
  kExitConflict = 4,     // the configuration path has a newer revision than the base
};

struct AdminResponse {
  int status = 0;       // HTTP status; 0 if no complete response arrived
  nlohmann::json body;  // a JSON string with the raw text if the body is not JSON
  std::string error;    // of the last call, if status is 0
};

// Calls the admin API of the first daemon in --server that accepts a connection. Once connected, it
// does not fail over to another daemon: the first one may have executed the request already.
AdminResponse CallAdmin(const std::string& method, const std::string& path,
                        const std::string& body);

// Returns kExitOk for a successful response. Otherwise prints the error to standard error and
// returns the matching exit code.
int ReportError(const AdminResponse& response);

// Returns true if --json is set.
bool JsonRequested();

// Prints a table with aligned columns. `columns` are the headings; each row has one cell for each.
void PrintTable(const std::vector<std::string>& columns,
                const std::vector<std::vector<std::string>>& rows);

// Returns a JSON string without quotes, and any other value as compact JSON.
std::string JsonToText(const nlohmann::json& value);

// Percent-encodes the value of a URL query parameter.
std::string EncodeQuery(const std::string& value);

// The commands. `args` are the positional arguments without the command name. Each command returns
// an ExitCode.
int RunConfig(const std::vector<std::string>& args);
int RunStatus(const std::vector<std::string>& args);
int RunDrain(const std::vector<std::string>& args);
int RunAcceptClaims(const std::vector<std::string>& args);
int RunTimeline(const std::vector<std::string>& args);
int RunCheckSettings(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_COMMAND_H_
