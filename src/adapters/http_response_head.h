#ifndef EBONYLIFT_ADAPTERS_HTTP_RESPONSE_HEAD_H_
#define EBONYLIFT_ADAPTERS_HTTP_RESPONSE_HEAD_H_

// Reads the heads of HTTP/1.1 responses (RFC 9112) line by line.
//
// The reader is strict: a line that is malformed, or that leaves the end of the body in doubt,
// makes the response invalid. A lenient reader takes a head with a damaged length for one without a
// length, and so a damaged response for a complete one.
//
// Stateless and thread safe.

#include <string_view>

#include "adapters/http_server.h"

namespace ebonylift {

// What the lines read so far say. Starts over, but for the status, after an interim (1xx) response.
struct ReceivedHead {
  int status = 0;          // 0: no status line was read
  bool in_fields = false;  // a status line was read, and not yet the empty line after its fields
  bool http_1_0 = false;
  HttpHeaders headers;
  bool has_length = false;  // of the body, in bytes
  bool chunked = false;     // the body uses the chunked transfer coding
  bool complete = false;    // the empty line after the fields of the final response was read
};

// Adds the next line, including its line break. Returns nullptr, or why the response is invalid,
// for logs. Precondition: the head is not complete.
const char* AddHeadLine(std::string_view line, ReceivedHead* head);

// Removes CR LF from the end of the line. Returns false if the line does not end with it.
bool RemoveLineBreak(std::string_view* line);

// Returns whether the line, without its line break, is a header or trailer field.
bool IsFieldLine(std::string_view line);

// Returns whether the text is without control bytes but tabs.
bool IsHeaderText(std::string_view text);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_RESPONSE_HEAD_H_
