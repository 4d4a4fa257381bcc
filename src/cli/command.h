#ifndef EBONYLIFT_CLI_COMMAND_H_
#define EBONYLIFT_CLI_COMMAND_H_

// What the operators' commands share: flags, calls of a daemon's admin interface, tables.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ebonylift {

// Exit codes of every command.
enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,      // the daemon or a check refused
  kExitUsage = 2,        // the command line is wrong
  kExitUnreachable = 3,  // no daemon answered, or the outcome is unknown
  kExitConflict = 4,     // the configuration path has a newer revision
};

struct AdminReply {
  int status = 0;  // 0: no daemon of --server answered
  nlohmann::json body;
  std::string error;
};

// Calls the admin interface of the first daemon of --server that accepts the connection. After a
// connection was made, no other daemon is tried: the outcome would be ambiguous.
AdminReply CallAdmin(const std::string& method, const std::string& path, const std::string& body);

// Prints the error of a reply and returns the exit code for it; kExitOk for a success.
int ReportFailure(const AdminReply& reply);

// True if --json was given.
bool WantsJson();

// Prints rows as a table with aligned columns, in the order of `columns`.
void PrintTable(const std::vector<std::string>& columns,
                const std::vector<std::vector<std::string>>& rows);

// The text of a JSON scalar without quotes, or its compact form.
std::string ToText(const nlohmann::json& value);

// Percent-encodes a query value.
std::string EncodeQuery(const std::string& value);

// Commands. `args` are the arguments that are not flags, without the command name.
int RunConfig(const std::vector<std::string>& args);
int RunStatus(const std::vector<std::string>& args);
int RunDrain(const std::vector<std::string>& args);
int RunAcceptClaims(const std::vector<std::string>& args);
int RunTimeline(const std::vector<std::string>& args);
int RunCheckSettings(const std::vector<std::string>& args);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_COMMAND_H_
