#ifndef EBONYLIFT_DAEMON_DIALECT_H_
#define EBONYLIFT_DAEMON_DIALECT_H_

// How the callers and backend servers of one interface speak, as an Exchange needs to know it.
//
// A dialect reads and writes messages; what to do is decided by the Exchange. The functions are
// pure and thread safe. An Exchange without a dialect speaks the gateway's own interface.

#include <cstdint>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "base/ids.h"
#include "base/time.h"
#include "daemon/answers.h"

namespace ebonylift {

// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

// What a request says about itself.
struct RequestFacts {
  std::string host;      // the host name that the caller asked for, without port
  Duration patience{0};  // how long the caller waits; 0: not said
  ModelId model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;  // in order
};

// What one attempt adds to the request of the caller.
struct AttemptFacts {
  ServerId server;  // empty: the attempt goes through another host
  Duration left{0};
  int rank = 0;
  std::string fetch_from;  // address of a server whose prefix cache has more; empty: none
  std::string last_event;  // a stream goes on after this event; empty: as the caller said
};

enum class AnswerKind {
  kAnswer,       // the answer of the backend server
  kNotRun,       // the server says that it did not run the request
  kWrongServer,  // the same, as another server than the one that was meant
  kFailed,       // the server ran the request and failed
  kForeign,      // not an answer of this server to this request
};

struct Dialect {
  // Throws Error(kBadRequest).
  RequestFacts (*read_request)(const HttpRequest& request);
  // All headers of an attempt, from the end-to-end headers of the caller.
  HttpHeaders (*attempt_headers)(const HttpHeaders& caller, const AttemptFacts& attempt);
  AnswerKind (*read_answer)(const HttpHeaders& caller, int status, const HttpHeaders& answer);
  // Answers a request that has no answer of a backend server.
  void (*send_refusal)(HttpResponder* responder, const ErrorAnswer& answer);
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_DIALECT_H_
