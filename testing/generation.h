#ifndef EBONYLIFT_TESTING_GENERATION_H_
#define EBONYLIFT_TESTING_GENERATION_H_

// The state of one completion of the engine stand-in and the encoding of its responses.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "testing/answer.h"

namespace ebonylift::standin {

struct Generation {
  uint64_t id = 0;          // id of the job in the batch
  uint64_t record_seq = 0;  // sequence number in the run record
  std::string key;          // see GenerationKey()
  bool chat = true;
  CompletionRequest request;
  std::vector<std::string> tokens;
  size_t generated_tokens = 0;  // number of tokens generated so far
  size_t written_tokens = 0;    // tokens passed to the responder
  size_t skip_bytes = 0;        // bytes of the next token that a resumed stream skips
  int cached_tokens = 0;
  int chunks = 0;            // stream events written on this connection
  int break_after = -1;      // see Faults
  bool lose_answer = false;  // see Faults
  bool started = false;
  bool finished = false;
  bool headers_sent = false;
  // Null when there is no connection and after the response ended.
  std::shared_ptr<HttpResponder> responder;
};

// Returns the key under which cancel and resume calls find a generation.
std::string GenerationKey(const std::string& request_id, const std::string& attempt);

// Returns the stream event that carries `text`. The first event of a chat stream also carries the
// role. Precondition: `text` needs no JSON escaping, which holds for all generated tokens.
std::string ChunkEvent(const Generation& generation, std::string_view text, bool first);

// Returns the last events of a stream: the finish reason with the token usage, and [DONE].
std::string FinalEvents(const Generation& generation);

// Returns the response body of a request without `stream`.
std::string NonStreamingResponse(const Generation& generation);

// Sets the position from which the stream is written to a byte offset in the generated text.
// Returns false when the offset is beyond the text generated so far.
bool SeekTo(Generation& generation, size_t offset);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_GENERATION_H_
