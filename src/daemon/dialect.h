#ifndef EBONYLIFT_DAEMON_DIALECT_H_
#define EBONYLIFT_DAEMON_DIALECT_H_

// Dialect: a table of functions that translate between an Exchange and one HTTP interface of
// callers and backend servers.
//
// A dialect only parses and formats messages; Exchange decides how to handle a request. The
// functions are pure and thread safe. An Exchange without a dialect uses the gateway's native
// interface (/v1/... and /svc/...).

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/server_notice.h"
#include "daemon/answers.h"

namespace ebonylift {

// One segment of a prompt. Requests whose prompts begin with the same segments can share cached
// prefixes.
struct PromptPart {
  uint64_t id = 0;  // identifies the segment's content
  int64_t tokens = 0;
};

// Fields that the dialect extracts from a caller's request.
struct DialectRequest {
  std::string caller_request_id;  // identifies the request to its caller; empty if it has none
  // The caller_request_id of the request that brought the first event of a stream, which this
  // request takes up after `resume_after`; empty if the caller names none.
  std::string resumes;
  std::string resume_after;    // id of the last event that the caller has; empty: none
  std::string host;            // from the Host header, without the port
  std::string key;             // identifies the caller; empty: none. Must not be logged.
  Duration caller_timeout{0};  // 0 if the caller specified none
  ModelId model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  int64_t expected_output_tokens = 0;  // by the caller's estimate; 0: none
  std::vector<PromptPart> prompt;      // in prompt order
};

// Per-attempt values that the dialect writes into the headers of an outgoing request.
struct AttemptParameters {
  ServerId server;        // empty if the attempt is forwarded through another host
  Duration time_left{0};  // time until the request's deadline
  RequestRank rank;
  std::string fetch_from;     // address of a server that caches a longer prefix; empty if none
  std::string last_event_id;  // id of the event to resume after; empty: keep the caller's header
  // The configuration has workspaces: the key of the caller is not passed on, and the backend
  // server is told the workspace instead, if the caller has one.
  bool has_workspaces = false;
  WorkspaceId workspace;  // empty: none
};

// Classifies a response to an attempt.
enum class ResponseKind {
  kAnswer,       // a valid response of the backend server, to be relayed
  kNotRun,       // the server states that it did not run the request
  kWrongServer,  // not run: the attempt reached a different server than the intended one
  kFailed,       // the server ran the request and failed
  // Cannot be attributed to this server and this request, for example because the request id
  // differs or an intermediary generated the response. The request may have run.
  kUnattributable,
};

struct Dialect {
  // Extracts the routing fields of a caller's request. Throws Error(kBadRequest) on invalid
  // headers.
  DialectRequest (*read_request)(const HttpRequest& request);
  // Returns the complete header list for an attempt. `caller` holds the caller's end-to-end
  // headers.
  HttpHeaders (*attempt_headers)(const HttpHeaders& caller, const AttemptParameters& attempt);
  // Classifies a response by its status and headers.
  ResponseKind (*classify_response)(const HttpHeaders& caller, int status,
                                    const HttpHeaders& response);
  // Returns what the backend server says of itself in a response. Values that are not valid are
  // left out.
  ServerNotice (*server_notice)(int status, const HttpHeaders& response);
  // Sends an error response that the gateway generates itself.
  void (*send_error)(HttpResponder* responder, const ErrorResponse& response);
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DIALECT_H_
