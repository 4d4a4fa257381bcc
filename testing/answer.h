#ifndef EBONYLIFT_TESTING_ANSWER_H_
#define EBONYLIFT_TESTING_ANSWER_H_

// Parses completion requests and computes the deterministic text that the engine stand-in
// generates.
//
// The text depends only on the model, the prompt text and the number of output tokens, so a client
// can compute the expected text of its own request and compare. It does not depend on `stream` or
// on fields that a gateway may add. scripts/demo.py implements the same function.

#include <string>
#include <vector>

namespace ebonylift::standin {

constexpr int kDefaultOutputTokens = 16;
constexpr int kMaxOutputTokens = 100'000;

// The fields of an OpenAI-compatible request body that the engine uses.
struct CompletionRequest {
  std::string model;
  std::string prompt_text;  // the contents of all messages joined by line feeds, or the prompt
  std::string user;         // a tag set by the client, copied to the run record
  int output_tokens = kDefaultOutputTokens;
  bool stream = false;
};

// Throws Error(kBadRequest) when the body is not a chat or completion request.
CompletionRequest ParseCompletionRequest(const std::string& body);

// Returns the generated tokens. Token 0 is a prefix of the SHA-256 of the model, the prompt text
// and the number of output tokens; the other tokens are words that the digest selects. Each token
// ends with a space.
std::vector<std::string> AnswerTokens(const CompletionRequest& request);

// Returns the concatenated tokens.
std::string AnswerText(const CompletionRequest& request);

// Returns the text that the engine generates for this request body.
std::string AnswerTextForBody(const std::string& body);

// Returns the length of the prompt in tokens, counting four bytes as one token; at least 1.
int PromptTokens(const CompletionRequest& request);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ANSWER_H_
