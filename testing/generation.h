#ifndef EBONYLIFT_TESTING_GENERATION_H_
#define EBONYLIFT_TESTING_GENERATION_H_

// One answer of the engine stand-in and its formats.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "testing/answer.h"

namespace ebonylift::standin {

struct Generation {
  uint64_t id = 0;          // in the batch
  uint64_t record_seq = 0;  // in the run record
  std::string key;          // request id and attempt
  bool chat = true;
  Prompt prompt;
  std::vector<std::string> tokens;
  size_t generated = 0;   // tokens generated so far
  size_t written = 0;     // tokens handed to the responder
  size_t skip_bytes = 0;  // bytes of the next token that a resumed stream leaves out
  int cached_tokens = 0;
  int chunks = 0;  // stream events written on this connection
  int break_after = -1;
  bool lose_answer = false;
  bool started = false;
  bool finished = false;
  bool begun = false;                        // response headers were sent
  std::shared_ptr<HttpResponder> responder;  // null when detached or answered
};

// Id of a run for cancel and resume.
std::string GenerationKey(const std::string& request_id, const std::string& attempt);

// The stream event that carries `text`. Precondition: `text` needs no JSON escape, which holds for
// all answer tokens.
std::string ChunkEvent(const Generation& generation, std::string_view text, bool first);

// The last events: the finish reason and [DONE].
std::string FinalEvents(const Generation& generation);

// The whole answer of a request without `stream`.
std::string PlainAnswer(const Generation& generation);

// Positions a stream at the byte offset of the generated text. False when the offset is beyond what
// was generated.
bool SeekTo(Generation& generation, size_t offset);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_GENERATION_H_
